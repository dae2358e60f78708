package gateway

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

const testLimit = 4

// routeWithBalancer makes a harness use a Balancer whose credit owner runs in the
// test. The prepare functions are called before the Balancer runs.
func routeWithBalancer(t testing.TB, out **Balancer, interval time.Duration, prepare ...func(*Balancer)) func(*Options) {
	return func(o *Options) {
		b := NewBalancer(o.Self, o.Snapshot, o.Now, telemetry.New())
		*out, o.Router = b, b
		o.Pauses = b.pauses
		for _, p := range prepare {
			p(b)
		}
		o.Filters = []Filter{b.AccountLimits}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go b.Run(ctx)
		go serveCredits(ctx, b, o.Snapshot, o.Now, interval, 0)
	}
}

// serveCredits runs a credit owner for the balancer. The owner has existed for the
// given age.
func serveCredits(ctx context.Context, b *Balancer, snapshot func() *view.Snapshot, now func() time.Duration, interval, age time.Duration) {
	owner := credit.NewOwner(1, now()-age)
	limits := credit.Limits{Requests: testLimit, ColdRequests: 1, HeldTokens: 10_000, ColdRamp: time.Millisecond}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		case <-b.SyncRequests():
		}
		for _, g := range snapshot().Services[0].Groups {
			owner.Step(now(), credit.Report{
				Backend: GroupBackend(g.ID), Incarnation: g.Incarnation, Limits: limits, Cold: g.Cold, Polled: true,
				Running: g.Status.Running, Sent: g.Confirmed, Received: now(),
			})
		}
		for _, a := range owner.Step(now(), b.NextSync(now(), testService)) {
			b.ApplyReply(now(), testService, a.(credit.Reply))
		}
	}
}

// idle reports whether no request waits or runs and no credit is in use. The second
// result is the number of credits of the targets that are in use.
func (s *scheduler) idle() (bool, int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	inFlight := 0
	for i := range s.targets {
		inFlight += s.holder.InFlight(s.targets[i].backend)
	}
	return inFlight == 0 && s.queue.Len() == 0 && s.queue.Running() == 0 && len(s.waiting) == 0 &&
		s.waitingTokens == 0 && s.holder.Acquired() == 0, inFlight
}

// TestReleaseOnce guards against credits that are never released, or released
// twice, when backends crash, callers disconnect, deadlines pass and requests are
// refused. It also guards against exceeding the limit of an engine.
func TestReleaseOnce(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.PoisonMarker, cfg.ColdTime, cfg.RestartDelay = "poison", 100*time.Millisecond, 50*time.Millisecond
	var b *Balancer
	h := newHarness(t, 2, cfg, routeWithBalancer(t, &b, 20*time.Millisecond))
	_, body := completionBody(20, true)
	h.waitFor("credits are granted", func() bool { return h.post(body, HeaderDeadline, "500").StatusCode == 200 })
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 5 {
				deadline := "2000"
				if i%4 == 0 {
					deadline = "5" // most of these deadlines pass while the request waits
				}
				resp := h.post(body, HeaderDeadline, deadline)
				if i%4 == 1 && n > 0 {
					_ = resp.Body.Close() // the caller disconnects
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		}()
	}
	h.engines[0].Crash("crash during requests")
	wg.Wait()
	s := b.scheduler(testService)
	h.waitFor("all credits are released", func() bool { ok, _ := s.idle(); return ok })
	for _, e := range h.engines {
		assert.Assert(t, e.Record().MaxRunning <= testLimit, "engine ran %d requests concurrently", e.Record().MaxRunning)
	}
	h.assign(0)
	h.waitFor("both engines serve again", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		free := 0
		for i := range s.targets {
			free += s.holder.FreeCredits(b.now(), s.targets[i].backend, false)
		}
		return free > testLimit
	})
}

// TestServerLimit guards against more concurrent calls at a backend server of a
// plain service than the document allows, and against calls that wait although
// every backend server has failed.
func TestServerLimit(t *testing.T) {
	doc := service.DefaultDocument()
	doc.Service, doc.Kind, doc.Backend.Requests = testService, service.KindPlain, 2
	svc := &view.Service{Document: doc, Backends: []*view.Backend{{Instance: "p"}}}
	snap := view.New(view.Snapshot{Ready: true, Services: []*view.Service{svc}, Entries: []view.Entry{{Instance: "e"}}})
	clock := time.Duration(0)
	b := NewBalancer(view.Entry{Instance: "e"}, func() *view.Snapshot { return snap }, func() time.Duration { return clock }, telemetry.New())
	owner := credit.NewOwner(1, 0)
	exchange := func() {
		owner.Step(clock, credit.Report{Backend: ServerBackend("p"), Limits: credit.Limits{Requests: 2, HeldTokens: 1}, Sent: clock})
		for _, a := range owner.Step(clock, b.NextSync(clock, testService)) {
			b.ApplyReply(clock, testService, a.(credit.Reply))
		}
	}
	for ; clock < 40*time.Second; clock += time.Second {
		exchange()
	}
	exchange()
	acquire := func(excluded ...ident.InstanceID) (func(Result), error) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // makes acquire return without waiting
		_, release, err := b.AcquireServer(ctx, &Request{Name: testService, Deadline: clock + time.Second}, excluded)
		return release, err
	}
	first, err := acquire()
	assert.NilError(t, err)
	_, err = acquire()
	assert.NilError(t, err)
	_, err = acquire()
	assert.Assert(t, err != nil)
	first(Result{})
	first(Result{})
	_, err = acquire()
	assert.NilError(t, err)
	_, err = acquire()
	assert.Assert(t, err != nil, "the second release of a permit freed a credit")
	_, err = acquire("p")
	assert.ErrorContains(t, err, "every backend server")
}

// TestOutOfCredits guards against an entry instance that refuses requests at once
// although it will get credits soon: for a new service, and after a pause during
// which its credits expired. It also guards against requests that wait although no
// owner answers.
func TestOutOfCredits(t *testing.T) {
	now := 100 * time.Second
	doc := service.DefaultDocument()
	doc.Service, doc.Kind = testService, service.KindModel
	snapshot := view.New(view.Snapshot{Ready: true, Services: []*view.Service{{Document: doc}}})
	b := NewBalancer(view.Entry{Instance: "entry"}, func() *view.Snapshot { return snapshot }, func() time.Duration { return now }, telemetry.New())
	s := b.scheduler(testService)
	runFor := func(d time.Duration) bool {
		for end := now + d; now < end; now += balancerTick {
			s.tick(now)
		}
		return s.outOfCredits(now)
	}
	assert.Assert(t, !runFor(time.Second), "new service")
	assert.Assert(t, runFor(ownerChangeDuration), "no answer for longer than a change of owner")
	now += 10 * time.Second
	assert.Assert(t, !runFor(time.Second), "after a pause")
	assert.Assert(t, runFor(ownerChangeDuration), "no answer after the pause either")
	b.ApplyReply(now, testService, credit.Reply{})
	assert.Assert(t, !runFor(time.Second), "after an answer")
}
