package gateway

import (
	"context"
	"flag"
	"io"
	"math/rand"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	stopSeed     = flag.Int64("stop.seed", 1, "seed of TestStopBesideSilences")
	stopRequests = flag.Int("stop.requests", 96, "number of requests of TestStopBesideSilences")
)

// TestStopBesideSilences guards against a request that a stopping entry instance has accepted and
// that ends without a whole answer, because its engine or backend server is silent one to three
// times, before any segments of the response.
func TestStopBesideSilences(t *testing.T) {
	random := rand.New(rand.NewSource(*stopSeed))
	calls := segmentCalls()
	var requests, stops sync.WaitGroup
	for i := range *stopRequests {
		call, framing := calls[i%len(calls)], framings[random.Intn(len(framings))]
		segments := len(call.segmented(framing, "a").segments)
		cuts := make([]int, 1+random.Intn(3))
		silences := make([]time.Duration, len(cuts))
		for k := range cuts {
			cuts[k], silences[k] = random.Intn(segments), time.Duration(900+random.Intn(1600/len(cuts)))*time.Millisecond
		}
		slices.Sort(cuts)
		received := make(chan struct{})
		receive := sync.OnceFunc(func() { close(received) })
		s := startRawServer(t, func(c *net.TCPConn, r *http.Request) bool {
			receive()
			response := call.segmented(framing, attemptOf(r))
			begin := 0
			for k, cut := range cuts {
				_, _ = io.WriteString(c, response.before(cut)[len(response.before(begin)):])
				time.Sleep(silences[k])
				begin = cut
			}
			_, _ = io.WriteString(c, response.after(begin))
			return !response.closes
		})
		h := newRawHarness(t, s, call.kind)
		requests.Go(func() {
			defer receive()
			if _, err := call.do(h, segmentDeadline); err != nil {
				t.Errorf("seed %d, %s, %s, silences of %v before segments %v: %v", *stopSeed, call.name, framing, silences, cuts, err)
			}
			if n := s.requestCount(); n != 1 {
				t.Errorf("seed %d, %s, %s, silences of %v before segments %v: %d attempts", *stopSeed, call.name, framing, silences, cuts, n)
			}
		})
		// As the daemon does at SIGTERM.
		delay := time.Duration(random.Intn(3000)) * time.Millisecond
		stops.Go(func() {
			<-received
			time.Sleep(delay)
			h.gateway.SetDraining()
			ctx, cancel := context.WithTimeout(context.Background(), segmentDeadline)
			defer cancel()
			assert.Check(t, h.server.Shutdown(ctx))
			_ = h.server.Close() // The process ends here.
		})
	}
	requests.Wait()
	stops.Wait()
}
