package gateway

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/quarantine"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

// waitingRouter gives its grant after something happened.
type waitingRouter struct{ happens func() }

func (w waitingRouter) Acquire(context.Context, *Request, []ident.GroupID) (Grant, error) {
	w.happens()
	return Grant{Group: &view.Group{}, Release: func(Result) {}}, nil
}

// TestConvictedInQueue guards against a request that runs although it was
// convicted while it waited for a credit, and against one that escapes its
// conviction by another layout of the same JSON.
func TestConvictedInQueue(t *testing.T) {
	q := NewQuarantine(quarantine.DefaultConfig(), OrderOptions{
		Snapshot: func() *view.Snapshot { return view.New(view.Snapshot{}) },
		Now:      func() time.Duration { return 0 }, Scope: tally.NoopScope,
	})
	r := &Request{Completion: &engine.CompletionRequest{}, Body: []byte(`{"prompt":"x","n":[1, 2],"stream":true}`), Deadline: time.Hour}
	r.Fingerprint = fingerprint(r)
	other := *r
	other.Body = []byte(`{ "n":[1,2], "prompt":"\u0078" }`)
	assert.Equal(t, fingerprint(&other), r.Fingerprint)
	router := q.Router(waitingRouter{func() {
		q.apply(quarantine.Finding{Fingerprint: r.Fingerprint, Status: quarantine.Convicted})
	}})
	_, err := router.Acquire(t.Context(), r, nil)
	assert.ErrorIs(t, err, errCrashes)
}

// TestPoisonRunsAlone guards against a completion that crashes more than two
// engines, against a suspect that takes other requests down with it, and
// against innocent streams that do not come to their end.
func TestPoisonRunsAlone(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.PoisonMarker, cfg.ColdTime, cfg.LoadTime, cfg.RestartDelay = "poison", 0, 0, time.Hour
	var b *Balancer
	h := newHarness(t, 4, cfg, func(o *Options) {
		b = NewBalancer(o.Self, o.Snapshot, o.Now, telemetry.New())
		go serveCredits(t.Context(), b, o.Snapshot, o.Now, 20*time.Millisecond, time.Hour)
		o.Quarantine = NewQuarantine(quarantine.DefaultConfig(), OrderOptions{
			Snapshot: o.Snapshot, Now: o.Now, Self: o.Self, Scope: o.Metrics.Scope,
		})
		o.Router = o.Quarantine.Router(b)
	})
	_, body := completionBody(60, true)
	h.waitFor("credits are given", func() bool { return h.post(body, HeaderDeadline, "500").StatusCode == 200 })
	var wg sync.WaitGroup
	for range 6 {
		wg.Go(func() {
			resp := h.post(body, HeaderDeadline, "10000")
			_, _, done := readText(resp.Body)
			assert.Check(t, done, "innocent stream was cut")
		})
	}
	poison := []byte(`{"model":"` + testService + `","prompt":"poison","stream":true}`)
	for range 5 {
		resp := h.post(poison, HeaderDeadline, "10000")
		text, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, ProblemCrashes.Status, string(text))
	}
	wg.Wait()
	lost := 0
	for _, e := range h.engines {
		if _, err := engine.NewControl().Status(t.Context(), e.Addr()); err != nil {
			lost++
		}
	}
	assert.Equal(t, lost, 2)
	resp := h.post(body)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_, _, done := readText(resp.Body)
	assert.Assert(t, done)
	h.waitFor("everything is returned", func() bool { ok, _ := b.lane(testService).idle(); return ok })
	assert.Equal(t, len(b.lane(testService).isolating), 0)
}

// TestProbe guards against a run alone while a peer that missed the crash runs
// the same request, or while a live peer does not answer.
func TestProbe(t *testing.T) {
	f := newOrderFleet(t, 3)
	const poison = ident.Fingerprint(666)
	q, peer := f.entries[0].quarantine, f.entries[1].quarantine
	server := quarantine.Server{Instance: "s"}
	run := &suspectRun{q: peer, f: poison}
	assert.Assert(t, run.begin(server))
	q.apply(quarantine.Finding{Fingerprint: poison, Status: quarantine.Suspect})
	holder := quarantine.Holder{Entry: "entry-0", Attempt: "a"}
	assert.Equal(t, q.acquireOwn(poison, holder, 0), quarantine.PermitRetryLater)
	late := &suspectRun{q: peer, f: poison}
	assert.Assert(t, !late.begin(server), "the question makes the request a suspect")
	run.end(quarantine.RunInconclusive)
	assert.Equal(t, q.acquireOwn(poison, holder, 0), quarantine.PermitIsolated)
	q.release(poison, holder, quarantine.RunInconclusive)
	f.entries[2].stop()
	assert.Equal(t, q.acquireOwn(poison, holder, 0), quarantine.PermitRetryLater)
}

// TestCallerLeavesNoSuspects guards against a caller that leaves, or a deadline
// that passes, being taken for a crash of the engine: all requests in flight
// there would become suspects.
func TestCallerLeavesNoSuspects(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime, cfg.TokenInterval = 0, 0, 10*time.Millisecond
	cfg.PrefillPerToken = 20 * time.Millisecond
	var q *Quarantine
	var shares *StaticShares
	h := newHarness(t, 1, cfg, func(o *Options) {
		shares = o.Router.(*StaticShares)
		q = NewQuarantine(quarantine.DefaultConfig(), OrderOptions{
			Snapshot: o.Snapshot, Now: o.Now, Self: o.Self, Scope: o.Metrics.Scope,
		})
		o.Router = q.Router(o.Router)
	})
	_, body := completionBody(100_000, true)
	resp := h.post(body)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	_ = resp.Body.Close()
	late := h.post(body, HeaderDeadline, "5")
	assert.Assert(t, late.StatusCode >= http.StatusBadRequest)
	h.waitFor("the runs have ended", func() bool {
		shares.mu.Lock()
		defer shares.mu.Unlock()
		return shares.inFlight["group-0"] == 0
	})
	q.mu.Lock()
	defer q.mu.Unlock()
	assert.Equal(t, q.tracker.Len(), 0)
}
