package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
)

// The users' bound on requests to a backend server that names a limit: limitFactor times the
// limit, and limitSlack more, in limitWindow.
const (
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
)

// limitedServer is a backend server that names a request limit in its answers.
type limitedServer struct {
	mu       sync.Mutex
	arrivals []time.Time
	// limit is the value of the header, or empty for none.
	limit string
}

func (s *limitedServer) setLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
}

func (s *limitedServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	s.mu.Lock()
	s.arrivals = append(s.arrivals, time.Now())
	limit := s.limit
	s.mu.Unlock()
	if limit != "" {
		w.Header().Set("X-Limit", limit)
	}
	w.Header().Set("X-Request", req.Header.Get("X-Request"))
	w.Header().Set("X-Proof", "p")
	_, _ = io.WriteString(w, "ok")
}

func (s *limitedServer) start(tc *testCluster, id string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tc.t, err)
	srv := &http.Server{Handler: s}
	go func() { _ = srv.Serve(l) }()
	tc.t.Cleanup(func() { _ = srv.Close() })
	tc.store.put("servers", id, fleet.Server{ID: ident.InstanceID(id), Incarnation: "1", Service: "plain", Address: l.Addr().String(), DataCentre: "a", Slots: 100})
}

// mostIn returns the largest number of arrivals in a window, of those after a time.
func (s *limitedServer) mostIn(window time.Duration, after time.Time) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most := 0
	for i, first := range s.arrivals {
		if first.Before(after) {
			continue
		}
		n := 0
		for _, at := range s.arrivals[i:] {
			if at.Sub(first) < window {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}

// Guards against a backend server in need that gets more requests than the limit that it
// names, from several entry instances together, and against one that gets none any more.
func TestNamedRequestLimitIsKept(t *testing.T) {
	const limit, senders, settleTime = 6.0, 12, time.Second
	tc := newTestCluster(t, 22, 3)
	servers := make([]*limitedServer, 2)
	for i := range servers {
		servers[i] = &limitedServer{limit: fmt.Sprint(limit)}
		servers[i].start(tc, fmt.Sprint("p", i))
	}
	tc.store.put("op", "config", config(1, "k1"))
	tc.eventually(5*time.Second, "requests are answered", func() bool { status, _ := tc.get(tc.nodes[0], "/l/", "k1"); return status == http.StatusOK })
	tc.eventually(5*time.Second, "the instances know each other", func() bool { return tc.nodes[0].peers.AliveInstances() == 3 })
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range senders {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(100 * time.Millisecond):
					status, _ := tc.get(tc.nodes[i%len(tc.nodes)], "/l/", "k1")
					assert.Check(t, status == http.StatusOK || status == http.StatusServiceUnavailable, "status %d", status)
				}
			}
		})
	}
	begin := time.Now()
	time.Sleep(settleTime + limitWindow + time.Second)
	for i, s := range servers {
		got := s.mostIn(limitWindow, begin.Add(settleTime))
		assert.Check(t, float64(got) <= limitFactor*limit*limitWindow.Seconds()+limitSlack, "server %d got %d requests in %v", i, got, limitWindow)
		assert.Check(t, float64(got) >= limit*limitWindow.Seconds()/2, "server %d got only %d requests in %v", i, got, limitWindow)
		s.setLimit("")
	}
	time.Sleep(2 * time.Second)
	recovered := time.Now()
	time.Sleep(time.Second)
	close(stop)
	wg.Wait()
	for i, s := range servers {
		got := s.mostIn(time.Second, recovered)
		assert.Check(t, float64(got) > 2*limit, "server %d got only %d requests in a second after its limit had ended", i, got)
	}
}
