package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/view"
)

// Timings of the messages between entry instances about suspects.
const (
	// broadcastTimeout limits the wait for the peers before the caller gets the
	// failure.
	broadcastTimeout = 300 * time.Millisecond
	// broadcastAttempts and broadcastRetryDelay control the retries of a message
	// that a peer did not confirm.
	broadcastAttempts   = 5
	broadcastRetryDelay = 200 * time.Millisecond
	// permissionPollInterval is how often the owner is asked again while another
	// run of the same request is in progress.
	permissionPollInterval = 50 * time.Millisecond
	// leaseRenewInterval is one third of the lease of an exclusive run.
	leaseRenewInterval = 10 * time.Second
)

// ProblemRequestCrashesBackends is the refusal of a request that crashed backend
// servers.
var ProblemRequestCrashesBackends = newProblem("request-crashes-backends", 422, OutcomeNotRun,
	"This request crashed a backend server each time it ran: change it, or retry after the given time")

// errConvicted identifies the refusal of a convicted request.
var errConvicted = errors.New("request is convicted of crashing backend servers")

// convictedError is the refusal of a convicted request. It is a Problem that
// matches errConvicted.
type convictedError struct{ *Problem }

// Is reports whether target is errConvicted.
func (*convictedError) Is(target error) bool { return target == errConvicted }

// Unwrap returns the problem.
func (e *convictedError) Unwrap() error { return e.Problem }

// Quarantine isolates requests that are suspected of crashing backend servers.
type Quarantine struct {
	opts OrderOptions
	wg   sync.WaitGroup

	crashes, convictions, cleared, refused, failedBroadcasts, busyProbes tally.Counter

	mu      sync.Mutex
	tracker *quarantine.Tracker
	owner   *quarantine.Owner
	// correlator finds what different requests have in common that crash backend servers.
	// exchanging is true while its findings are being exchanged with the peers.
	correlator *quarantine.Correlator
	exchanging bool
	// reporting contains the crashes that are being reported to the peers. A
	// channel is closed when the peers have confirmed the report or the time is
	// up.
	reporting map[quarantine.Server]chan struct{}
}

// NewQuarantine returns a quarantine without suspects.
func NewQuarantine(cfg quarantine.Config, opts OrderOptions) *Quarantine {
	t := quarantine.NewTracker(cfg)
	return &Quarantine{
		opts:             opts,
		crashes:          opts.Scope.Counter("quarantine_crashes_total"),
		convictions:      opts.Scope.Counter("quarantine_convictions_total"),
		cleared:          opts.Scope.Counter("quarantine_cleared_total"),
		refused:          opts.Scope.Counter("quarantine_refused_total"),
		failedBroadcasts: opts.Scope.Counter("quarantine_spread_failures_total"),
		busyProbes:       opts.Scope.Counter("quarantine_probes_busy_total"),
		tracker:          t,
		owner:            quarantine.NewOwner(t),
		correlator:       quarantine.NewCorrelator(quarantine.DefaultCorrelatorConfig()),
		reporting:        make(map[quarantine.Server]chan struct{}),
	}
}

// trackedRun is a run of a request on a backend server, from the permission to run
// until its end. It is nil if there is no quarantine.
type trackedRun struct {
	q           *Quarantine
	fingerprint ident.Fingerprint
	holder      quarantine.Holder
	exclusive   bool
	permission  *exclusivePermission // of an exclusive run
	server      quarantine.Server
	// traits is what the request may have in common with others, and traitRun the run as
	// the correlator sees it.
	traits   []quarantine.Trait
	traitRun *quarantine.TraitRun
}

// permit returns a run that shares the permission of a silent run of the request.
// Without one, it waits for a permission.
func (q *Quarantine) permit(ctx context.Context, r *Request) (*trackedRun, error) {
	run := r.silentRun.replacement()
	if run == nil {
		return q.waitForPermission(ctx, r)
	}
	remaining, convicted := q.traitsConvicted(run.traits)
	if standing, left := q.standing(run.fingerprint); standing == quarantine.Convicted {
		remaining, convicted = left, true
	}
	if convicted {
		run.cancel()
		q.refused.Inc(1)
		return nil, &convictedError{ProblemRequestCrashesBackends.WithRetryAfter(remaining)}
	}
	return run, nil
}

// exclusivePermission is the permission for an exclusive run. While the backend server
// of the run is silent, the run that shall replace it shares the permission.
type exclusivePermission struct {
	stopRenewal context.CancelFunc
	// runs is the number of runs that have not ended, and succeeded is set if one of
	// them has succeeded. Both are protected by Quarantine.mu.
	runs      int
	succeeded bool
}

// replacement returns a run under the permission of an exclusive run that has not
// ended, or nil.
func (s *trackedRun) replacement() *trackedRun {
	if s == nil || !s.exclusive {
		return nil
	}
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	if s.permission.runs == 0 {
		return nil
	}
	s.permission.runs++
	return &trackedRun{
		q: s.q, fingerprint: s.fingerprint, holder: s.holder, exclusive: true, permission: s.permission, traits: s.traits,
	}
}

// releasePermission ends an exclusive run. The permission ends with its last run, or
// with a crash.
func (s *trackedRun) releasePermission(result quarantine.RunResult) {
	p := s.permission
	s.q.mu.Lock()
	if p.runs == 0 {
		s.q.mu.Unlock()
		return
	}
	p.runs--
	p.succeeded = p.succeeded || result == quarantine.RunSucceeded
	switch {
	case result == quarantine.RunCrashed:
		p.runs = 0
	case p.succeeded:
		result = quarantine.RunSucceeded
	}
	ended := p.runs == 0
	s.q.mu.Unlock()
	if ended {
		p.stopRenewal()
		s.q.release(s.fingerprint, s.holder, result)
	}
}

// waitForPermission waits until a request may run, either as the only suspect on
// its backend server or normally. It refuses convicted requests.
func (q *Quarantine) waitForPermission(ctx context.Context, r *Request) (*trackedRun, error) {
	run := &trackedRun{q: q, fingerprint: r.Fingerprint, traits: traitsOf(r)}
	deadline := r.Deadline
	if answerStarted(r) {
		deadline = q.opts.Now() + resumeWait
	}
	for {
		if remaining, convicted := q.traitsConvicted(run.traits); convicted {
			q.refused.Inc(1)
			return nil, &convictedError{ProblemRequestCrashesBackends.WithRetryAfter(remaining)}
		}
		switch standing, remaining := q.standing(run.fingerprint); standing {
		case quarantine.NotSuspect:
			return run, nil
		case quarantine.Convicted:
			q.refused.Inc(1)
			return nil, &convictedError{ProblemRequestCrashesBackends.WithRetryAfter(remaining)}
		}
		if run.holder.Attempt == "" {
			run.holder = quarantine.Holder{
				Entry: q.opts.Self.Instance, Incarnation: q.opts.Self.Incarnation, Attempt: ident.AttemptID(uuid.NewString()),
			}
		}
		switch q.acquire(ctx, run.fingerprint, run.holder) {
		case quarantine.PermitIsolated:
			run.exclusive = true
			run.renewLease()
			return run, nil
		case quarantine.PermitShared:
			return run, nil
		case quarantine.PermitRefused:
			q.applyFinding(quarantine.Finding{Fingerprint: run.fingerprint, Status: quarantine.Convicted})
			continue
		}
		if q.opts.Now()+permissionPollInterval >= deadline {
			return nil, ProblemNoCapacity.WithDetail("the request waits for a run alone after a crash").WithRetryAfter(time.Second)
		}
		select {
		case <-ctx.Done():
			return nil, ProblemNoCapacity.WithDetail("the request waits for a run alone after a crash").WithRetryAfter(time.Second)
		case <-time.After(permissionPollInterval):
		}
	}
}

// renewLease keeps renewing the lease of an exclusive run until the run ends.
func (s *trackedRun) renewLease() {
	ctx, cancel := context.WithCancel(context.Background())
	s.permission = &exclusivePermission{stopRenewal: cancel, runs: 1}
	s.q.wg.Add(1)
	go func() {
		defer s.q.wg.Done()
		t := time.NewTicker(leaseRenewInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				s.q.acquire(ctx, s.fingerprint, s.holder)
			}
		}
	}()
}

// begin records that the run starts on the backend server. It returns false if the
// request has become a suspect since it got the permission for a normal run.
func (s *trackedRun) begin(server quarantine.Server) bool {
	if s == nil {
		return true
	}
	s.server = server
	now := s.q.opts.Now()
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	if _, convicted := s.q.correlator.Convicted(now, s.traits); convicted {
		return false
	}
	if !s.exclusive && !s.q.tracker.BeginShared(now, server, s.fingerprint) {
		return false
	}
	if s.exclusive {
		s.q.tracker.Begin(now, server, s.fingerprint)
	}
	s.traitRun = s.q.correlator.Begin(now, server, s.traits)
	return true
}

// recordAnswering records that the backend server has sent a part of the answer.
func (s *trackedRun) recordAnswering() {
	if s == nil || s.traitRun == nil {
		return
	}
	now := s.q.opts.Now()
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	s.q.correlator.Answering(now, s.traitRun)
}

// cancel ends a run that has not begun.
func (s *trackedRun) cancel() {
	if s != nil && s.exclusive {
		s.releasePermission(quarantine.RunInconclusive)
	}
}

// end records the result of the run. It returns after a crash was reported to the
// peers.
func (s *trackedRun) end(result quarantine.RunResult) {
	if s == nil {
		return
	}
	q := s.q
	if s.traitRun != nil {
		q.mu.Lock()
		q.correlator.End(q.opts.Now(), s.traitRun, result)
		q.mu.Unlock()
	}
	if result == quarantine.RunCrashed {
		q.reportCrash(s.server)
	}
	now := q.opts.Now()
	q.mu.Lock()
	cleared := q.tracker.End(now, s.server, s.fingerprint, result == quarantine.RunSucceeded)
	q.mu.Unlock()
	if s.exclusive {
		s.releasePermission(result)
	}
	if cleared {
		q.cleared.Inc(1)
		q.broadcast(kindSuspectFinding, quarantine.Finding{Fingerprint: s.fingerprint}, false)
	}
}

func (q *Quarantine) standing(f ident.Fingerprint) (quarantine.Status, time.Duration) {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Status(now, f), q.tracker.Remaining(now, f)
}

func (q *Quarantine) applyFinding(f quarantine.Finding) {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.Apply(now, f)
}

// reportCrash makes all requests that were in flight at a backend server suspects
// and reports them to the peers. Concurrent calls about the same crash wait for
// the same report.
func (q *Quarantine) reportCrash(s quarantine.Server) {
	q.mu.Lock()
	if done, ok := q.reporting[s]; ok {
		q.mu.Unlock()
		<-done
		return
	}
	done := make(chan struct{})
	q.reporting[s] = done
	now := q.opts.Now()
	c := q.tracker.RecordCrash(now, s)
	q.correlator.RecordCrash(now, s)
	q.mu.Unlock()
	q.crashes.Inc(1)
	q.exchangeFindings()
	q.broadcast(kindSuspectCrash, c, true)
	close(done)
	q.mu.Lock()
	delete(q.reporting, s)
	q.mu.Unlock()
}

// quarantineRouter is a Router that runs suspects isolated.
type quarantineRouter struct {
	q    *Quarantine
	next Router
}

// Router wraps the router of model services. It sets Request.Isolated for
// suspects.
func (q *Quarantine) Router(next Router) Router { return quarantineRouter{q: q, next: next} }

// Acquire implements Router.
func (g quarantineRouter) Acquire(ctx context.Context, r *Request, excluded []ident.GroupID) (Grant, error) {
	for {
		run, err := g.q.permit(ctx, r)
		if err != nil {
			return Grant{}, err
		}
		r.Isolated = run.exclusive
		grant, err := g.next.Acquire(ctx, r, excluded)
		if err != nil {
			run.cancel()
			return Grant{}, err
		}
		if !run.beginOnGroup(grant.Group) {
			run.cancel()
			grant.Release(Result{Err: errBecameSuspect})
			continue
		}
		r.run = run
		return run.endOnRelease(grant), nil
	}
}

// beginOnGroup records that the run starts on a group.
func (s *trackedRun) beginOnGroup(g *view.Group) bool {
	return s.begin(quarantine.Server{Instance: g.Leader.Instance, Incarnation: g.Leader.Incarnation, DataCentre: g.DataCentre})
}

// endOnRelease makes the release of the grant end the run.
func (s *trackedRun) endOnRelease(grant Grant) Grant {
	release := grant.Release
	var once sync.Once
	grant.Release = func(result Result) {
		once.Do(func() { s.end(runResult(result.Err)) })
		release(result)
	}
	return grant
}

// errBecameSuspect is the result of a grant that is released unused because its
// request has become a suspect.
var errBecameSuspect = errors.New("request became a suspect while it waited for a credit")

// runResult converts the error of an attempt to the result of its run.
func runResult(err error) quarantine.RunResult {
	switch {
	case err == nil:
		return quarantine.RunSucceeded
	case errors.Is(err, engine.ErrConnectionFailed):
		return quarantine.RunCrashed
	default:
		return quarantine.RunInconclusive
	}
}

// attemptPlain makes one attempt at a call to a plain service, under quarantine.
// The returned backend server is nil if nothing was sent.
func (g *Gateway) attemptPlain(ctx context.Context, r *Request, excluded []ident.InstanceID) (*Answer, *view.Backend, error) {
	if g.now() >= r.Deadline {
		return nil, nil, ProblemNoCapacity.WithDetail("service %q", r.Name).WithRetryAfter(time.Second)
	}
	q := g.opts.Quarantine
	if q == nil {
		return g.callPlain(ctx, r, excluded, nil)
	}
	for {
		run, err := q.waitForPermission(ctx, r)
		if err != nil {
			return nil, nil, err
		}
		r.Isolated = run.exclusive
		a, b, err := g.callPlain(ctx, r, excluded, run)
		if !errors.Is(err, errBecameSuspect) {
			return a, b, err
		}
	}
}

// callPlain acquires a backend server and calls it. run may be nil.
func (g *Gateway) callPlain(ctx context.Context, r *Request, excluded []ident.InstanceID, run *trackedRun) (*Answer, *view.Backend, error) {
	b, release, err := g.acquireServer(ctx, r, excluded)
	if err != nil {
		run.cancel()
		return nil, nil, err
	}
	if !run.begin(quarantine.Server{Instance: b.Instance, Incarnation: b.Incarnation, DataCentre: b.DataCentre}) {
		run.cancel()
		release(Result{Err: errBecameSuspect})
		return nil, nil, errBecameSuspect
	}
	r.trace.lastTarget = ident.GroupID(b.Instance)
	a, header, err := g.backends.send(ctx, r, b, ident.AttemptID(r.AnswerID))
	run.end(plainRunResult(ctx, err))
	release(Result{Err: err, Header: header})
	return a, b, err
}

func plainRunResult(ctx context.Context, err error) quarantine.RunResult {
	switch {
	case err == nil, errors.Is(err, errAnswerTooLarge):
		return quarantine.RunSucceeded
	case errors.Is(err, ErrBackendOutcomeUnknown) && ctx.Err() == nil:
		return quarantine.RunCrashed
	default:
		return quarantine.RunInconclusive
	}
}

// Wait waits until no messages are being sent or retried in the background.
func (q *Quarantine) Wait() { q.wg.Wait() }
