package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

// Guards against engines in need that get more completions than the limit that they name, and
// against none at all.
func TestNamedRequestLimitOfEngines(t *testing.T) {
	const engines, limit, senders, window, settleTime = 2, 6.0, 8, 4 * time.Second, time.Second
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime, cfg.RequestLimit = 0, 0, limit
	var b *Balancer
	h := newHarness(t, engines, cfg, routeWithBalancer(t, &b, 20*time.Millisecond))
	_, body := completionBody(2, true)
	h.waitFor("credits are granted", func() bool { return h.post(body, HeaderDeadline, "500").StatusCode == http.StatusOK })
	var answered atomic.Int32
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for range senders {
		wg.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(20 * time.Millisecond):
				}
				if h.post(body, HeaderDeadline, "200").StatusCode == http.StatusOK {
					answered.Add(1)
				}
			}
		})
	}
	time.Sleep(settleTime)
	before := answered.Load()
	time.Sleep(window)
	got := float64(answered.Load() - before)
	close(stop)
	wg.Wait()
	// The users' bound for each engine.
	assert.Assert(t, got <= engines*(1.5*limit*window.Seconds()+5), "%v completions in %v", got, window)
	assert.Assert(t, got >= engines*limit*window.Seconds()/2, "only %v completions in %v", got, window)
}

// Guards against a limit that each of several entry instances keeps for itself alone, against
// one that holds after a response that names none, and against one whose end is never seen.
func TestNamedLimitOfSeveralInstances(t *testing.T) {
	var entries []view.Entry
	for _, id := range []ident.InstanceID{"e1", "e2", "e3", "e4", "e5"} {
		entries = append(entries, view.Entry{Instance: id, Alive: true})
	}
	snap := view.New(view.Snapshot{Ready: true, Entries: entries})
	clock := time.Second
	const limit, target = 2.0, "p"
	sent, firstOther := 0, (*scheduler)(nil)
	for _, e := range entries {
		b := NewBalancer(e, func() *view.Snapshot { return snap }, func() time.Duration { return clock }, telemetry.New())
		s := b.scheduler(testService)
		s.observeLimit(clock, target, RequestLimit{PerSecond: limit, Named: true, Received: true})
		own := 0
		for now := clock; now < clock+4*time.Second; now += 20 * time.Millisecond {
			for s.limitAllows(now, target) {
				s.takeFromLimit(now, target)
				own++
			}
		}
		sent += own
		if own == 0 {
			firstOther = s
		}
	}
	assert.Assert(t, sent >= 6 && sent <= 17, "%d requests in 4 s", sent)
	assert.Assert(t, firstOther != nil)
	later := clock + limitProbeInterval*time.Duration(len(entries))
	assert.Assert(t, firstOther.limitAllows(later, target))
	firstOther.takeFromLimit(later, target)
	assert.Assert(t, !firstOther.limitAllows(later, target))
	firstOther.observeLimit(later, target, RequestLimit{Received: true})
	for range 10 {
		assert.Assert(t, firstOther.limitAllows(later, target))
		firstOther.takeFromLimit(later, target)
	}
}

// Guards against limits that are no rates.
func TestRequestLimitHeader(t *testing.T) {
	for _, c := range []struct {
		value string
		want  RequestLimit
	}{
		{"", RequestLimit{Received: true}},
		{"5.1", RequestLimit{PerSecond: 5.1, Named: true, Received: true}},
		{"0", RequestLimit{Named: true, Received: true}},
		{"-1", RequestLimit{Received: true}},
		{"NaN", RequestLimit{Received: true}},
		{"+Inf", RequestLimit{Received: true}},
		{"many", RequestLimit{Received: true}},
	} {
		h := http.Header{}
		h.Set(engine.HeaderRequestLimit, c.value)
		assert.Equal(t, requestLimit(h), c.want, c.value)
	}
}
