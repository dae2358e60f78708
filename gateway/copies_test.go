package gateway

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

// schedulerModel contains the schedulers of several entry instances that share
// backend servers. The test moves their clock; nothing runs in the background.
type schedulerModel struct {
	t          *testing.T
	now        time.Duration
	limit      int
	svc        *view.Service
	schedulers []*scheduler
	owner      *credit.Owner
}

func newSchedulerModel(t *testing.T, entries, servers, limit int) *schedulerModel {
	doc := service.DefaultDocument()
	doc.Service, doc.Kind, doc.Backend.Requests = testService, service.KindPlain, limit
	m := &schedulerModel{t: t, now: time.Hour, limit: limit, svc: &view.Service{Document: doc}, owner: credit.NewOwner(1, 0)}
	for i := range servers {
		m.svc.Backends = append(m.svc.Backends, &view.Backend{Instance: ident.InstanceID(fmt.Sprint("server-", i))})
	}
	var list []view.Entry
	for i := range entries {
		list = append(list, view.Entry{Instance: ident.InstanceID(fmt.Sprint("entry-", i)), Alive: true})
	}
	snap := view.New(view.Snapshot{Ready: true, Services: []*view.Service{m.svc}, Entries: list})
	for i := range entries {
		b := NewBalancer(list[i], func() *view.Snapshot { return snap }, func() time.Duration { return m.now }, telemetry.New())
		m.schedulers = append(m.schedulers, b.scheduler(testService))
	}
	m.advance(20)
	return m
}

// advance moves the clock by n steps of 10 ms. In each step, all entry instances
// exchange credits with the owner.
func (m *schedulerModel) advance(n int) {
	for range n {
		m.now += 10 * time.Millisecond
		for _, server := range m.svc.Backends {
			m.owner.Step(m.now, credit.Report{
				Backend: ServerBackend(server.Instance), Limits: credit.Limits{Requests: m.limit, HeldTokens: 1}, Sent: m.now,
			})
		}
		for _, s := range m.schedulers {
			for _, a := range m.owner.Step(m.now, s.balancer.NextSync(m.now, testService)) {
				s.balancer.ApplyReply(m.now, testService, a.(credit.Reply))
			}
			s.tick(m.now)
		}
	}
}

func (m *schedulerModel) enqueue(s *scheduler, f ident.Fingerprint) *pendingRequest {
	r := &Request{Name: testService, Fingerprint: f, Deadline: m.now + 10*time.Second}
	pr := &pendingRequest{request: r, waiter: newWaiter(r, m.now), result: make(chan acquireResult, 1)}
	s.enqueue(pr)
	return pr
}

// granted returns the permits of the requests that have started.
func (m *schedulerModel) granted(pending []*pendingRequest) []*permit {
	var out []*permit
	for _, pr := range pending {
		select {
		case o := <-pr.result:
			assert.NilError(m.t, o.err)
			pr.result <- o
			out = append(out, o.permit)
		default:
		}
	}
	return out
}

func serversOf(permits []*permit) int {
	seen := make(map[credit.BackendID]bool)
	for _, p := range permits {
		seen[p.target.backend] = true
	}
	return len(seen)
}

// TestFirstCopiesShareServer guards against concurrent copies of a new request
// that run on more backend servers than necessary before one of them has ended.
// Until copyWait has passed, they must run on one backend server. After it, they
// may use as many as their number fills, plus one for each entry instance. The
// test also guards against copies that wait longer than that, against other
// requests that wait behind them, and against copies that keep waiting after one
// has succeeded.
func TestFirstCopiesShareServer(t *testing.T) {
	const entries, servers, limit = 7, 60, 16
	const poison = ident.Fingerprint(666)
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := newSchedulerModel(t, entries, servers, limit)
		for i := range rng.IntN(3 * entries) { // other requests run already
			m.enqueue(m.schedulers[rng.IntN(entries)], ident.Fingerprint(10_000+1000*seed+uint64(i)))
		}
		copies := 1 + rng.IntN(50)
		var copyRequests []*pendingRequest
		for range copies {
			copyRequests = append(copyRequests, m.enqueue(m.schedulers[rng.IntN(entries)], poison))
		}
		m.advance(8) // less than copyWait
		early := m.granted(copyRequests)
		assert.Equal(t, serversOf(early), 1, "seed %d: %d copies", seed, copies)
		assert.Assert(t, len(early) >= min(copies, limit-3), "seed %d: %d of %d copies started", seed, len(early), copies)
		var others []*pendingRequest
		for i, s := range m.schedulers {
			others = append(others, m.enqueue(s, ident.Fingerprint(1000*seed+uint64(i)+1)))
		}
		assert.Equal(t, len(m.granted(others)), entries, "seed %d: other requests wait behind copies", seed)
		if seed%2 == 0 {
			early[0].release(Result{})
			assert.Equal(t, len(early[0].scheduler.copyWaiters), 0, "seed %d: copies still wait although one has succeeded", seed)
		}
		m.advance(10)
		all := m.granted(copyRequests)
		assert.Equal(t, len(all), copies, "seed %d: copies still wait after copyWait", seed)
		if seed%2 != 0 {
			assert.Assert(t, serversOf(all) <= (copies+limit-1)/limit+entries, "seed %d: %d servers for %d copies", seed, serversOf(all), copies)
		}
	}
}

// TestWaitingCopyBecomesSuspect guards against a copy that waits while other
// copies crash their backend server and then runs together with other requests on
// the next one. It also guards against a copy that starts elsewhere between a
// crash and its report.
func TestWaitingCopyBecomesSuspect(t *testing.T) {
	metrics := telemetry.New() // created outside the bubble because its goroutine does not end
	synctest.Test(t, func(t *testing.T) {
		begin := time.Now().Add(-time.Hour)
		now := func() time.Duration { return time.Since(begin) }
		doc := service.DefaultDocument()
		doc.Service, doc.Kind = testService, service.KindModel
		self := view.Entry{Instance: "entry", Alive: true}
		snapshot := func() *view.Snapshot {
			svc := &view.Service{Document: doc}
			for _, id := range []string{"a", "b", "c"} {
				svc.Groups = append(svc.Groups, &view.Group{
					ID: ident.GroupID(id), Epoch: 1, Incarnation: id, Limit: 1, Confirmed: now(),
					Leader: view.Backend{Instance: ident.InstanceID(id)},
				})
			}
			return view.New(view.Snapshot{Ready: true, Services: []*view.Service{svc}, Entries: []view.Entry{self}})
		}
		b := NewBalancer(self, snapshot, now, metrics)
		go b.Run(t.Context())
		go serveCredits(t.Context(), b, snapshot, now, 10*time.Millisecond, time.Hour)
		time.Sleep(time.Second)
		q := NewQuarantine(quarantine.DefaultConfig(), OrderOptions{Snapshot: snapshot, Now: now, Self: self, Scope: tally.NoopScope})
		router := q.Router(b)
		type result struct {
			Grant
			err error
		}
		acquire := func(f ident.Fingerprint) chan result {
			out := make(chan result, 1)
			go func() {
				r := &Request{Name: testService, Completion: &engine.CompletionRequest{}, Fingerprint: f, Deadline: now() + time.Minute}
				g, err := router.Acquire(t.Context(), r, nil)
				assert.Check(t, r.Isolated || f != 666 || q.suspectAge(f) == 0, "a copy of a suspect runs without isolation")
				out <- result{g, err}
			}()
			synctest.Wait()
			return out
		}
		var full []result
		for range testLimit {
			full = append(full, <-acquire(666))
		}
		waits := acquire(666)
		for _, g := range full {
			assert.NilError(t, g.err)
			assert.Equal(t, g.Group.ID, full[0].Group.ID)
			g.Release(Result{Err: engine.ErrConnectionFailed})
		}
		next := <-waits
		assert.NilError(t, next.err)
		assert.Assert(t, q.suspectAge(666) > 0)
		next.Release(Result{})

		first := <-acquire(777)
		first.Release(Result{Err: engine.ErrNotSent}) // another copy has just crashed it
		second := acquire(777)
		time.Sleep(crashReportDelay / 2)
		q.applyFinding(quarantine.Finding{Fingerprint: 777, Status: quarantine.Convicted})
		assert.ErrorIs(t, (<-second).err, errConvicted, "a copy ran between the crash and its report")
	})
}
