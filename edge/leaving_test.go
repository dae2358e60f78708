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

// arrival is a request that reached a backend server, with the entry instance that sent it and
// the time at which its caller did.
type arrival struct {
	node   string
	sentAt time.Time
}

// departingServer is a backend server that says from some time on that it leaves, while its
// entry in the store stays as it is.
type departingServer struct {
	mu       sync.Mutex
	leaves   bool
	arrivals []arrival
}

func (s *departingServer) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	sentAt, err := time.Parse(time.RFC3339Nano, req.Header.Get("X-Sent-At"))
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.arrivals = append(s.arrivals, arrival{node: req.Header.Get("X-Node"), sentAt: sentAt})
	leaves := s.leaves
	s.mu.Unlock()
	if leaves {
		w.Header().Set("X-Leaving", "1")
	}
	w.Header().Set("X-Request", req.Header.Get("X-Request"))
	w.Header().Set("X-Proof", "p")
	_, _ = io.WriteString(w, "ok")
}

func (s *departingServer) setLeaves() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaves = true
}

// Guards against a backend server that gets requests from an entry instance that has passed on
// its answer that it leaves, while the list of servers does not say so and the store is out of
// reach. One entry instance is not bound by what another one has passed on.
func TestLeavingServerGetsNoRequests(t *testing.T) {
	const nodes, senders = 3, 6
	tc := newTestCluster(t, 23, nodes)
	servers := make([]*departingServer, 2)
	for i := range servers {
		s := &departingServer{}
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		srv := &http.Server{Handler: s}
		go func() { _ = srv.Serve(l) }()
		t.Cleanup(func() { _ = srv.Close() })
		id := fmt.Sprint("p", i)
		tc.store.put("servers", id, fleet.Server{ID: ident.InstanceID(id), Incarnation: "1", Service: "plain", Address: l.Addr().String(), DataCentre: "a", Slots: 100})
		servers[i] = s
	}
	tc.store.put("op", "config", config(1, "k1"))
	var mu sync.Mutex
	passedOn := make(map[string]time.Time)
	refused := 0
	send := func(node int) int {
		sentAt := time.Now()
		req, err := http.NewRequest(http.MethodGet, "http://"+tc.nodes[node].settings.CallerAddress+"/l/", nil)
		assert.NilError(t, err)
		req.Host = "a.example"
		req.Header.Set("X-Request", "id")
		req.Header.Set("Authorization", "Bearer k1")
		req.Header.Set("X-Node", fmt.Sprint(node))
		req.Header.Set("X-Sent-At", sentAt.Format(time.RFC3339Nano))
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return 0
		}
		defer func() { _ = resp.Body.Close() }()
		_, _ = io.Copy(io.Discard, resp.Body)
		mu.Lock()
		defer mu.Unlock()
		if _, known := passedOn[fmt.Sprint(node)]; !known && resp.Header.Get("X-Leaving") != "" {
			passedOn[fmt.Sprint(node)] = time.Now()
		}
		return resp.StatusCode
	}
	for i := range nodes {
		tc.eventually(5*time.Second, "requests are answered", func() bool { return send(i) == http.StatusOK })
	}
	for _, n := range tc.nodes {
		n.view.hang()
	}
	servers[0].setLeaves()
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i := range senders {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if send(i%nodes) != http.StatusOK {
					mu.Lock()
					refused++
					mu.Unlock()
				}
			}
		})
	}
	time.Sleep(3 * time.Second)
	close(stop)
	wg.Wait()
	assert.Equal(t, len(passedOn), nodes)
	assert.Equal(t, refused, 0)
	late := 0
	for _, a := range servers[0].arrivals {
		if at, ok := passedOn[a.node]; ok && a.sentAt.After(at) {
			late++
		}
	}
	assert.Equal(t, late, 0, "requests to a server whose leaving had been passed on, of %d to the other one", len(servers[1].arrivals))
}
