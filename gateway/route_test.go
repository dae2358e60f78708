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

// balance makes a harness route through a Balancer whose credit owner runs in
// the test. Prepare is called before the Balancer runs.
func balance(t testing.TB, out **Balancer, every time.Duration, prepare ...func(*Balancer)) func(*Options) {
	return func(o *Options) {
		b := NewBalancer(o.Self, o.Snapshot, o.Now, telemetry.New())
		*out, o.Router = b, b
		for _, p := range prepare {
			p(b)
		}
		o.Filters = []Filter{b.AccountLimits}
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go b.Run(ctx)
		go serveCredits(ctx, b, o.Snapshot, o.Now, every, 0)
	}
}

// serveCredits is a credit owner of some age beside the balancer.
func serveCredits(ctx context.Context, b *Balancer, snapshot func() *view.Snapshot, now func() time.Duration, every, age time.Duration) {
	owner := credit.NewOwner(1, now()-age)
	limits := credit.Limits{Requests: testLimit, ColdRequests: 1, HeldTokens: 10_000, ColdRamp: time.Millisecond}
	tick := time.NewTicker(every)
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

// idle reports whether every credit, queue slot and routing count is returned.
func (l *lane) idle() (bool, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	load := 0
	for i := range l.targets {
		load += l.holder.InFlight(l.targets[i].backend)
	}
	return load == 0 && l.queue.Len() == 0 && l.queue.Running() == 0 && len(l.waiting) == 0 &&
		l.waitingTokens == 0 && l.holder.Acquired() == 0, load
}

// TestReleaseOnce guards against credits that stay acquired, or are released
// twice, when backends crash, callers leave, deadlines pass and requests are
// refused; and against more requests at an engine than its limit.
func TestReleaseOnce(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.PoisonMarker, cfg.ColdTime, cfg.RestartDelay = "poison", 100*time.Millisecond, 50*time.Millisecond
	var b *Balancer
	h := newHarness(t, 2, cfg, balance(t, &b, 20*time.Millisecond))
	_, body := completionBody(20, true)
	h.waitFor("credits are given", func() bool { return h.post(body, HeaderDeadline, "500").StatusCode == 200 })
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for n := range 5 {
				deadline := "2000"
				if i%4 == 0 {
					deadline = "5" // most of these pass while they wait
				}
				resp := h.post(body, HeaderDeadline, deadline)
				if i%4 == 1 && n > 0 {
					_ = resp.Body.Close() // the caller leaves
					continue
				}
				_, _ = io.Copy(io.Discard, resp.Body)
			}
		}()
	}
	h.engines[0].Crash("crash during requests")
	wg.Wait()
	l := b.lane(testService)
	h.waitFor("everything is returned", func() bool { ok, _ := l.idle(); return ok })
	for _, e := range h.engines {
		assert.Assert(t, e.Record().MaxRunning <= testLimit, "engine held %d requests", e.Record().MaxRunning)
	}
	h.assign(0)
	h.waitFor("both engines serve again", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		free := 0
		for i := range l.targets {
			free += l.holder.FreeCredits(b.now(), l.targets[i].backend, false)
		}
		return free > testLimit
	})
}

// TestServerLimit guards against more calls at a backend server of a plain
// service than its document allows, and against calls that wait in vain when
// every backend server failed.
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
		cancel() // does not wait
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
	assert.Assert(t, err != nil, "a second release freed a credit")
	_, err = acquire("p")
	assert.ErrorContains(t, err, "every backend server")
}

// TestCutOff guards against an entry instance that refuses at once although
// its credits are about to come: for a service that it has just learnt of, and
// after a pause in which its credits ended. It also guards against one that
// lets requests wait although no owner answers.
func TestCutOff(t *testing.T) {
	now := 100 * time.Second
	doc := service.DefaultDocument()
	doc.Service, doc.Kind = testService, service.KindModel
	snapshot := view.New(view.Snapshot{Ready: true, Services: []*view.Service{{Document: doc}}})
	b := NewBalancer(view.Entry{Instance: "entry"}, func() *view.Snapshot { return snapshot }, func() time.Duration { return now }, telemetry.New())
	l := b.lane(testService)
	runFor := func(d time.Duration) bool {
		for end := now + d; now < end; now += balancerTick {
			l.tick(now)
		}
		return l.cutOff(now)
	}
	assert.Assert(t, !runFor(time.Second), "a new service")
	assert.Assert(t, runFor(ownerChangeTime), "no answer for longer than a change of owner")
	now += 10 * time.Second
	assert.Assert(t, !runFor(time.Second), "after a pause")
	assert.Assert(t, runFor(ownerChangeTime), "no answer after the pause either")
	b.ApplyReply(now, testService, credit.Reply{})
	assert.Assert(t, !runFor(time.Second), "after an answer")
}
