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

// copyModel is entry instances that share backend servers, on a clock that the
// test moves. Nothing in it runs by itself.
type copyModel struct {
	t     *testing.T
	now   time.Duration
	limit int
	svc   *view.Service
	lanes []*lane
	owner *credit.Owner
}

func newCopyModel(t *testing.T, entries, servers, limit int) *copyModel {
	doc := service.DefaultDocument()
	doc.Service, doc.Kind, doc.Backend.Requests = testService, service.KindPlain, limit
	m := &copyModel{t: t, now: time.Hour, limit: limit, svc: &view.Service{Document: doc}, owner: credit.NewOwner(1, 0)}
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
		m.lanes = append(m.lanes, b.lane(testService))
	}
	m.step(20)
	return m
}

// step lets time pass: each 10 ms all entry instances exchange their credits.
func (m *copyModel) step(n int) {
	for range n {
		m.now += 10 * time.Millisecond
		for _, s := range m.svc.Backends {
			m.owner.Step(m.now, credit.Report{
				Backend: ServerBackend(s.Instance), Limits: credit.Limits{Requests: m.limit, HeldTokens: 1}, Sent: m.now,
			})
		}
		for _, l := range m.lanes {
			for _, a := range m.owner.Step(m.now, l.b.NextSync(m.now, testService)) {
				l.b.ApplyReply(m.now, testService, a.(credit.Reply))
			}
			l.tick(m.now)
		}
	}
}

func (m *copyModel) enter(l *lane, f ident.Fingerprint) *ticket {
	r := &Request{Name: testService, Fingerprint: f, Deadline: m.now + 10*time.Second}
	t := &ticket{request: r, waiter: newWaiter(r, m.now), result: make(chan outcome, 1)}
	l.enter(t)
	return t
}

// granted collects the permits of the tickets that started.
func (m *copyModel) granted(tickets []*ticket) []*permit {
	var out []*permit
	for _, t := range tickets {
		select {
		case o := <-t.result:
			assert.NilError(m.t, o.err)
			t.result <- o
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

// TestFirstCopiesMeet guards against first copies of one request that run on
// more backend servers than they need before anything is known about it: one
// until copyWait, and after it as many as their number fills and one more for
// each entry instance. It also guards against copies that wait longer, against other requests that wait behind them,
// and against a wait that goes on after a copy ended well.
func TestFirstCopiesMeet(t *testing.T) {
	const entries, servers, limit = 7, 60, 16
	const poison = ident.Fingerprint(666)
	for seed := range uint64(12) {
		rng := rand.New(rand.NewPCG(seed, 1))
		m := newCopyModel(t, entries, servers, limit)
		for i := range rng.IntN(3 * entries) { // others run already
			m.enter(m.lanes[rng.IntN(entries)], ident.Fingerprint(10_000+1000*seed+uint64(i)))
		}
		copies := 1 + rng.IntN(50)
		var tickets []*ticket
		for range copies {
			tickets = append(tickets, m.enter(m.lanes[rng.IntN(entries)], poison))
		}
		m.step(8) // less than copyWait
		early := m.granted(tickets)
		assert.Equal(t, serversOf(early), 1, "seed %d: %d copies", seed, copies)
		assert.Assert(t, len(early) >= min(copies, limit-3), "seed %d: %d of %d copies started", seed, len(early), copies)
		var others []*ticket
		for i, l := range m.lanes {
			others = append(others, m.enter(l, ident.Fingerprint(1000*seed+uint64(i)+1)))
		}
		assert.Equal(t, len(m.granted(others)), entries, "seed %d: others wait behind copies", seed)
		if seed%2 == 0 {
			early[0].release(Result{})
			assert.Equal(t, len(early[0].lane.apart), 0, "seed %d: copies wait although one has ended well", seed)
		}
		m.step(10)
		all := m.granted(tickets)
		assert.Equal(t, len(all), copies, "seed %d: copies wait on", seed)
		if seed%2 != 0 {
			assert.Assert(t, serversOf(all) <= (copies+limit-1)/limit+entries, "seed %d: %d servers for %d copies", seed, serversOf(all), copies)
		}
	}
}

// TestWaitingCopyBecomesSuspect guards against a copy that waits beside others
// and starts with other requests on the next backend server after theirs has
// crashed, and against one that starts elsewhere in the moment between a crash
// and the news of it.
func TestWaitingCopyBecomesSuspect(t *testing.T) {
	metrics := telemetry.New() // its goroutine does not end
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
				assert.Check(t, r.Isolated || f != 666 || q.suspectFor(f) == 0, "a copy of a suspect runs with others")
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
		assert.Assert(t, q.suspectFor(666) > 0)
		next.Release(Result{})

		first := <-acquire(777)
		first.Release(Result{Err: engine.ErrNotSent}) // another copy has just crashed it
		second := acquire(777)
		time.Sleep(crashNotice / 2)
		q.apply(quarantine.Finding{Fingerprint: 777, Status: quarantine.Convicted})
		assert.ErrorIs(t, (<-second).err, errCrashes, "a copy ran between the crash and the news")
	})
}
