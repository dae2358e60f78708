package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/routing"
	"github.com/bulrushfall/bulrushfall/view"
)

// target is a group or a backend server of a plain service.
type target struct {
	backend credit.BackendID
	group   *view.Group
	server  *view.Backend
}

// usable reports whether new work may go to the target.
func (t *target) usable(now time.Duration) bool {
	if t.group != nil {
		return t.group.Usable(now)
	}
	return !t.server.Draining
}

func (t *target) incarnation() string {
	if t.group != nil {
		return t.group.Incarnation
	}
	return ""
}

// outcome ends the wait of a ticket.
type outcome struct {
	permit *permit
	err    error
}

// ticket is one request that waits for a credit.
type ticket struct {
	request  *Request
	waiter   *admission.Waiter
	tokens   int
	excluded []credit.BackendID
	retry    bool // an earlier attempt failed
	route    routing.Request
	result   chan outcome
	// apartUntil is when the wait for a place beside the other copies of the
	// request ends, and apart marks a ticket that has to leave the queue for it.
	apartUntil time.Duration
	apart      bool
}

// permit is a granted credit.
type permit struct {
	lane     *lane
	ticket   *ticket
	target   target
	credit   credit.Credit
	started  time.Duration
	uncached int
	alone    bool // outside the queue, on an exclusive credit
	once     sync.Once
}

// release gives the credit back. Only the first call has an effect.
func (p *permit) release(r Result) {
	p.once.Do(func() { p.lane.release(p, r) })
}

// lane is the traffic state of one service: its queue, routing table and
// credits. The mutex covers all fields below it.
type lane struct {
	b    *Balancer
	name ident.ServiceName

	mu      sync.Mutex
	holder  *credit.Holder
	queue   *admission.Queue
	retries *admission.RetryBudget
	table   *routing.Table
	policy  routing.Policy
	waiting map[*admission.Waiter]*ticket
	// copies knows where copies of a request run, and apart holds the tickets
	// that wait outside the queue for a place there.
	copies *routing.Copies
	apart  []*ticket
	// isolating counts the suspects that wait or run at a target.
	isolating     map[credit.BackendID]int
	waitingTokens int
	largestTokens int

	snapshot  *view.Snapshot
	refreshed time.Duration
	woken     time.Duration // last sync asked for because requests wait
	targets   []target
	heldLimit int // context tokens that one backend server bears
	// free is the number of credits left at each target during a dispatch.
	free []int
	// beside is the part of free at the targets where copies of a request run.
	beside []int
	// granted is when the owner of the credits answered last, or when this
	// process went on after a pause: its credits have ended then, and the owner
	// has had no time to answer.
	granted time.Duration
	// awake is the last instant at which the lane ran.
	awake time.Duration
	// failedAt is when an attempt at a target failed last.
	failedAt map[credit.BackendID]time.Duration
	// random is the source of the policy.
	random *rand.PCG
	trace  laneTrace
}

// enter queues a ticket and starts what can start.
func (l *lane) enter(t *ticket) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.b.now()
	l.wake(now)
	l.refresh(now)
	switch {
	case l.heldLimit > 0 && t.tokens > l.heldLimit:
		t.result <- outcome{err: ProblemTooManyTokens.With("%d tokens, limit %d", t.tokens, l.heldLimit)}
		return
	case l.cutOff(now) && !started(t.request):
		t.result <- outcome{err: l.cutOffProblem()}
		return
	case !l.allowed(t):
		t.result <- outcome{err: ProblemNoCapacity.With("every backend server of service %q failed an attempt", l.name).After(time.Second)}
		return
	case !l.mayTry(t):
		l.b.counters.retryRefused.Inc(1)
		t.result <- outcome{err: ProblemNoCapacity.With("retry budget of service %q is used up", l.name).After(time.Second)}
		return
	}
	l.waiting[t.waiter] = t
	l.waitingTokens += t.tokens
	l.largestTokens = max(l.largestTokens, t.tokens)
	if refusal, refused := l.queue.Enqueue(now, t.waiter); refused {
		l.refuse(refusal)
	}
	l.dispatch(now)
	if _, waits := l.waiting[t.waiter]; waits {
		l.b.counters.waited.Inc(1)
		l.wakeSync()
	}
}

// allowed reports whether some target is not excluded. When every group failed
// an attempt, the exclusions end: a group may have been re-formed.
func (l *lane) allowed(t *ticket) bool {
	if len(t.excluded) == 0 {
		return true
	}
	for i := range l.targets {
		if !slices.Contains(t.excluded, l.targets[i].backend) {
			return true
		}
	}
	if t.request.Completion == nil {
		return false
	}
	t.excluded, t.retry = nil, true
	return true
}

// mayTry charges a retry to the budget. A stream that continues is exempt: its
// caller already has a part of the answer.
func (l *lane) mayTry(t *ticket) bool {
	switch {
	case len(t.excluded) == 0 && !t.retry:
		l.retries.RecordFirstAttempt()
		return true
	case started(t.request):
		return true
	}
	return l.retries.TakeRetry()
}

// leave gives up the wait. It reports false when the outcome was decided.
func (l *lane) leave(t *ticket) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.leaveApart(t) && !l.queue.Cancel(l.b.now(), t.waiter) {
		return false
	}
	l.forget(t.waiter)
	return true
}

func (l *lane) forget(w *admission.Waiter) *ticket {
	t := l.waiting[w]
	delete(l.waiting, w)
	l.waitingTokens -= t.tokens
	if len(l.waiting) == 0 {
		l.largestTokens = 0
	}
	return t
}

func (l *lane) refuse(r admission.Refusal) {
	l.forget(r.Waiter).result <- outcome{err: l.b.refused.problem(r)}
}

// tick sheds what cannot start in time any more, tries the rest again and asks
// for syncs while requests or suspects wait.
func (l *lane) tick(now time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wake(now)
	l.refresh(now)
	for _, r := range l.queue.Shed(now) {
		l.refuse(r)
	}
	if l.cutOff(now) {
		l.refuseWaiting(now)
	}
	l.dispatch(now)
	if waits := l.queue.Len() > 0 || len(l.apart) > 0 || len(l.isolating) > 0; waits && now-l.woken >= starvedSync {
		l.woken = now
		l.wakeSync()
	}
}

// refresh takes over a new snapshot.
func (l *lane) refresh(now time.Duration) {
	snap := l.b.snapshot()
	if snap == l.snapshot || (len(l.targets) > 0 && now-l.refreshed < balancerTick) {
		return
	}
	l.snapshot, l.refreshed = snap, now
	svc := snap.Service(l.name)
	if svc == nil {
		l.targets = nil
		return
	}
	l.targets = targetsOf(svc)
	l.heldLimit = svc.Document.Backend.HeldTokens
	rows := make([]routing.Group, 0, len(l.targets))
	for i := range l.targets {
		l.holder.Track(l.targets[i].backend)
		rows = append(rows, l.targets[i].row(&svc.Document.Backend.Requests))
	}
	l.dropGone()
	l.table.Update(now, rows)
	l.trace.rowLimit = svc.Document.Backend.Requests
	l.traceGroups(now)
	l.observe(svc.Groups)
	l.setSlots(now)
	l.free, l.beside = make([]int, len(l.targets)), make([]int, len(l.targets))
}

// dropGone ends the syncs about targets that left, once nothing runs there.
func (l *lane) dropGone() {
	have := make(map[credit.BackendID]bool, len(l.targets))
	for i := range l.targets {
		have[l.targets[i].backend] = true
	}
	l.holder.Retain(func(b credit.BackendID) bool { return have[b] })
	for b := range l.failedAt {
		if !have[b] {
			delete(l.failedAt, b)
		}
	}
}

// row is the routing table's input for a target.
func (t *target) row(serverLimit *int) routing.Group {
	id := ident.GroupID(t.backend)
	if t.group == nil {
		return routing.Group{ID: id, DataCentre: t.server.DataCentre, Region: t.server.Region, Limit: *serverLimit}
	}
	g := t.group
	return routing.Group{
		ID: id, Epoch: g.Epoch, DataCentre: g.DataCentre, Region: g.Region, Limit: g.Limit,
		Running: g.Status.Running, Queued: g.Status.Queued, ReportedAt: g.Confirmed,
	}
}

// setSlots estimates how many requests can run at a time from here: what is
// allocated, but at least an equal part of the limits in service.
func (l *lane) setSlots(now time.Duration) {
	allocated, limits := 0, 0
	for i := range l.targets {
		t := &l.targets[i]
		if !t.usable(now) {
			continue
		}
		allocated += l.holder.FreeCredits(now, t.backend, true) + l.holder.InFlight(t.backend)
		if t.group != nil {
			limits += t.group.Limit
		}
	}
	l.queue.SetSlots(max(allocated, limits/max(1, len(l.snapshot.Entries))))
}

func (l *lane) grant(now time.Duration, t *ticket, i int, c credit.Credit) {
	p := &permit{
		lane: l, ticket: t, target: l.targets[i], credit: c, started: now,
		uncached: l.table.UncachedTokens(i, &t.route),
	}
	l.table.RecordStart(now, ident.GroupID(p.target.backend), t.route.Prefixes)
	l.copies.RecordStart(t.request.Fingerprint, ident.GroupID(p.target.backend))
	l.b.counters.granted.Inc(1)
	l.forget(t.waiter).result <- outcome{permit: p}
}

// release ends a permit and starts what waits.
func (l *lane) release(p *permit, r Result) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.b.now()
	l.holder.Release(p.credit)
	if l.holder.AllocationUsedUp(p.target.backend) {
		l.wakeSync()
	}
	if p.alone {
		l.endIsolating(p.target.backend)
	} else {
		l.queue.Done(now, p.ticket.waiter)
	}
	hold := now - p.started
	if r.Err != nil {
		hold = 0
		l.fail(now, p.target.backend, r.Err)
	}
	l.traceRelease(now, p, r.FirstToken, hold, r.Err != nil)
	l.table.RecordEnd(now, ident.GroupID(p.target.backend), p.uncached, r.FirstToken, hold)
	l.endCopy(p, r.Err)
	l.dispatch(now)
}
