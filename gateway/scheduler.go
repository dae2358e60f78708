package gateway

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/routing"
	"github.com/bulrushfall/bulrushfall/view"
)

// target is a place where requests of a service run: a group of a model service or
// a backend server of a plain service.
type target struct {
	backend credit.BackendID
	group   *view.Group
	server  *view.Backend
}

// usable reports whether new requests may be sent to the target.
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

// acquireResult is the permit or the error that ends the wait of a pendingRequest.
type acquireResult struct {
	permit *permit
	err    error
}

// pendingRequest is an attempt that waits for a credit.
type pendingRequest struct {
	request  *Request
	waiter   *admission.Waiter
	tokens   int
	excluded []credit.BackendID
	isRetry  bool // an earlier attempt failed
	route    routing.Request
	result   chan acquireResult
	// copyWaitUntil is when the request stops waiting for a credit at a target that
	// runs copies of it. waitsAtCopies is set while it has to wait for such a
	// credit outside the queue.
	copyWaitUntil time.Duration
	waitsAtCopies bool
}

// permit is an acquired credit at a target.
type permit struct {
	scheduler      *scheduler
	pending        *pendingRequest
	target         target
	credit         credit.Credit
	started        time.Duration
	uncachedTokens int
	// exclusive is set if the request is suspected of crashing backend servers. It
	// then has an exclusive credit and did not pass through the queue.
	exclusive bool
	// silent is set while the target is silent. The run then does not count as a copy
	// that others of its request wait for. It is protected by the scheduler's mutex.
	silent bool
	once   sync.Once
}

// release returns the credit. Calls after the first have no effect.
func (p *permit) release(r Result) {
	p.once.Do(func() { p.scheduler.release(p, r) })
}

// scheduler queues the requests of one service and assigns them to targets that
// have free credits. mu protects all fields below it.
type scheduler struct {
	balancer *Balancer
	name     ident.ServiceName

	mu      sync.Mutex
	holder  *credit.Holder
	queue   *admission.Queue
	retries *admission.RetryBudget
	table   *routing.Table
	policy  routing.Policy
	waiting map[*admission.Waiter]*pendingRequest
	// copies tracks the targets where copies of a request run: requests with the
	// same fingerprint. Until one of them has succeeded, they run at as few targets
	// as possible, in case they crash them. copyWaiters contains the requests that
	// wait outside the queue for a credit there.
	copies      *routing.Copies
	copyWaiters []*pendingRequest
	// isolatedSuspects counts, per target, the requests suspected of crashing backend
	// servers that wait for the target or run there.
	isolatedSuspects map[credit.BackendID]int
	// waitingTokens is the sum of the tokens of the waiting requests. largestTokens is
	// the largest token count of a request since the scheduler last had no waiting
	// requests.
	waitingTokens int
	largestTokens int

	snapshot           *view.Snapshot
	snapshotAppliedAt  time.Duration
	lastSyncForWaiting time.Duration // last sync requested because requests wait
	targets            []target
	contextTokenLimit  int // context tokens that fit on one backend server
	// freeCredits is the number of free credits at each target. It is updated at
	// the start of each dispatch.
	freeCredits []int
	// creditsAtCopies is freeCredits for the targets that run copies of the current
	// request and 0 for all others.
	creditsAtCopies []int
	// creditReplyExpectedSince is when the credit owner last answered or when a pause
	// of this process ended, whichever is later: the credits expired during the
	// pause, and the owner has had no time to answer yet.
	creditReplyExpectedSince time.Duration
	// lastRunAt is when the scheduler ran last. A long gap means that the process
	// was paused.
	lastRunAt time.Duration
	// failedAt is the time of the last failed attempt at each target.
	failedAt map[credit.BackendID]time.Duration
	// limits are the request limits that targets name.
	limits map[credit.BackendID]*targetLimit
	// random is the random source of the policy.
	random *rand.PCG
	trace  schedulerTrace
}

// enqueue adds a request to the queue or refuses it, and dispatches what can
// start.
func (s *scheduler) enqueue(pr *pendingRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.balancer.now()
	s.detectPause(now)
	s.applySnapshot(now)
	switch {
	case s.contextTokenLimit > 0 && pr.tokens > s.contextTokenLimit:
		pr.result <- acquireResult{err: ProblemTooManyTokens.WithDetail("%d tokens, limit %d", pr.tokens, s.contextTokenLimit)}
		return
	case s.outOfCredits(now) && !answerStarted(pr.request):
		pr.result <- acquireResult{err: s.outOfCreditsProblem()}
		return
	case !s.ensureAllowedTarget(pr):
		pr.result <- acquireResult{err: ProblemNoCapacity.WithDetail("every backend server of service %q failed an attempt", s.name).WithRetryAfter(time.Second)}
		return
	case s.refusedForPause(now, pr):
		return
	case !s.chargeRetryBudget(pr):
		s.balancer.counters.retryRefused.Inc(1)
		pr.result <- acquireResult{err: ProblemNoCapacity.WithDetail("retry budget of service %q is used up", s.name).WithRetryAfter(time.Second)}
		return
	}
	s.waiting[pr.waiter] = pr
	s.waitingTokens += pr.tokens
	s.largestTokens = max(s.largestTokens, pr.tokens)
	if refusal, refused := s.queue.Enqueue(now, pr.waiter); refused {
		s.refuse(refusal)
	}
	s.dispatch(now)
	if _, waits := s.waiting[pr.waiter]; waits {
		s.balancer.counters.creditWaits.Inc(1)
		s.requestSync()
	}
}

// ensureAllowedTarget reports whether some target is not excluded. If all groups
// of a model service are excluded, it clears the exclusions, because a group may
// have been re-formed since its failure. It then sets isRetry, so that the request
// is still charged as a retry.
func (s *scheduler) ensureAllowedTarget(pr *pendingRequest) bool {
	if len(pr.excluded) == 0 {
		return true
	}
	// One that leaves is no replacement for those that failed, unless all leave.
	least := s.leastUse(s.balancer.now(), func(int) bool { return true })
	for i := range s.targets {
		if !slices.Contains(pr.excluded, s.targets[i].backend) && s.use(s.balancer.now(), i) <= least {
			return true
		}
	}
	if pr.request.Completion == nil {
		return false
	}
	pr.excluded, pr.isRetry = nil, true
	return true
}

// chargeRetryBudget charges a retry to the retry budget and reports whether it may
// run. First attempts refill the budget. A stream that resumes is exempt, because
// its caller has already received a part of the answer.
func (s *scheduler) chargeRetryBudget(pr *pendingRequest) bool {
	switch {
	case len(pr.excluded) == 0 && !pr.isRetry:
		s.retries.RecordFirstAttempt()
		return true
	case answerStarted(pr.request):
		return true
	}
	return s.retries.TakeRetry()
}

// cancelWait ends the wait of a request. It returns false if the wait has already
// ended with a result.
func (s *scheduler) cancelWait(pr *pendingRequest) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.removeCopyWaiter(pr) && !s.queue.Cancel(s.balancer.now(), pr.waiter) {
		return false
	}
	s.removeWaiting(pr.waiter)
	return true
}

func (s *scheduler) removeWaiting(w *admission.Waiter) *pendingRequest {
	pr := s.waiting[w]
	delete(s.waiting, w)
	s.waitingTokens -= pr.tokens
	if len(s.waiting) == 0 {
		s.largestTokens = 0
	}
	return pr
}

func (s *scheduler) refuse(r admission.Refusal) {
	s.removeWaiting(r.Waiter).result <- acquireResult{err: s.balancer.refused.problem(r)}
}

// tick refuses requests that can no longer start in time, dispatches the others,
// and requests syncs while requests wait, or suspects wait or run.
func (s *scheduler) tick(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.detectPause(now)
	s.applySnapshot(now)
	for _, r := range s.queue.Shed(now) {
		s.refuse(r)
	}
	if s.outOfCredits(now) {
		s.refuseWaiting(now)
	}
	s.refusePaused(now, true)
	s.dispatch(now)
	if waits := s.queue.Len() > 0 || len(s.copyWaiters) > 0 || len(s.isolatedSuspects) > 0; waits && now-s.lastSyncForWaiting >= syncForWaitingInterval {
		s.lastSyncForWaiting = now
		s.requestSync()
	}
}

// applySnapshot updates the targets and the routing table if there is a new
// snapshot, at most once per balancerTick.
func (s *scheduler) applySnapshot(now time.Duration) {
	snap := s.balancer.snapshot()
	if snap == s.snapshot || (len(s.targets) > 0 && now-s.snapshotAppliedAt < balancerTick) {
		return
	}
	s.snapshot, s.snapshotAppliedAt = snap, now
	svc := snap.Service(s.name)
	if svc == nil {
		s.targets = nil
		return
	}
	s.targets = targetsOf(svc)
	s.contextTokenLimit = svc.Document.Backend.HeldTokens
	rows := make([]routing.Group, 0, len(s.targets))
	for i := range s.targets {
		s.holder.Track(s.targets[i].backend)
		rows = append(rows, s.targets[i].routingGroup(&svc.Document.Backend.Requests))
	}
	s.removeGoneTargets()
	s.table.Update(now, rows)
	s.trace.rowLimit = svc.Document.Backend.Requests
	s.traceGroups(now)
	s.observePolls(svc.Groups)
	s.setSlots(now)
	s.freeCredits, s.creditsAtCopies = make([]int, len(s.targets)), make([]int, len(s.targets))
}

// removeGoneTargets drops the state of targets that are no longer listed. The
// holder keeps those that still run requests.
func (s *scheduler) removeGoneTargets() {
	present := make(map[credit.BackendID]bool, len(s.targets))
	for i := range s.targets {
		present[s.targets[i].backend] = true
	}
	s.holder.Retain(func(b credit.BackendID) bool { return present[b] })
	for b := range s.limits {
		if !present[b] {
			delete(s.limits, b)
		}
	}
	for b := range s.failedAt {
		if !present[b] {
			delete(s.failedAt, b)
		}
	}
}

// routingGroup returns the target's row for the routing table.
func (t *target) routingGroup(serverLimit *int) routing.Group {
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

// setSlots estimates how many requests of this entry instance can run
// concurrently: the number of its credits, but at least the sum of the limits of
// all usable groups, divided by the number of entry instances.
func (s *scheduler) setSlots(now time.Duration) {
	allocated, limits := 0, 0
	for i := range s.targets {
		t := &s.targets[i]
		if !t.usable(now) {
			continue
		}
		allocated += s.holder.FreeCredits(now, t.backend, true) + s.holder.InFlight(t.backend)
		if t.group != nil {
			limits += t.group.Limit
		}
	}
	s.queue.SetSlots(max(allocated, limits/max(1, len(s.snapshot.Entries))))
}

func (s *scheduler) grant(now time.Duration, pr *pendingRequest, i int, c credit.Credit) {
	p := &permit{
		scheduler: s, pending: pr, target: s.targets[i], credit: c, started: now,
		uncachedTokens: s.table.UncachedTokens(i, &pr.route),
	}
	s.takeFromLimit(now, p.target.backend)
	if !s.limitAllows(now, p.target.backend) {
		s.freeCredits[i] = 0
	}
	s.table.RecordStart(now, ident.GroupID(p.target.backend), pr.route.Prefixes)
	s.copies.RecordStart(pr.request.Fingerprint, ident.GroupID(p.target.backend))
	s.balancer.counters.granted.Inc(1)
	s.removeWaiting(pr.waiter).result <- acquireResult{permit: p}
}

// release returns the credit of a permit and dispatches waiting requests.
func (s *scheduler) release(p *permit, r Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.balancer.now()
	s.holder.Release(p.credit)
	if r.Header != nil {
		s.observe(now, &p.target, r.Header)
	}
	if s.holder.AllocationUsedUp(p.target.backend) {
		s.requestSync()
	}
	if p.exclusive {
		s.endIsolation(p.target.backend)
	} else {
		s.queue.Done(now, p.pending.waiter)
	}
	hold := now - p.started
	if r.Err != nil {
		hold = 0
		s.recordFailure(now, p.target.backend, r.Err)
		if errors.Is(r.Err, errGroupNotNeeded) && !answerStarted(p.pending.request) {
			s.retries.Refund() // see chargeRetryBudget
		}
	}
	s.traceRelease(now, p, r.FirstToken, hold, r.Err != nil)
	s.table.RecordEnd(now, ident.GroupID(p.target.backend), p.uncachedTokens, r.FirstToken, hold)
	s.endCopy(p, r.Err)
	s.dispatch(now)
}
