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

// Timings of the exchange about suspects.
const (
	// spreadTimeout bounds the wait for peers before a failure is answered.
	spreadTimeout = 300 * time.Millisecond
	// spreadTries and spreadDelay repeat a message that a peer did not confirm.
	spreadTries = 5
	spreadDelay = 200 * time.Millisecond
	// suspectPoll separates questions to the owner while another run of the
	// same request is under way.
	suspectPoll = 50 * time.Millisecond
	// renewInterval is a third of the lease of a run alone.
	renewInterval = 10 * time.Second
)

// ProblemCrashes refuses a request that crashed backend servers.
var ProblemCrashes = newProblem("request-crashes-backends", 422, OutcomeNotRun,
	"This request crashed a backend server each time it ran: change it, or retry after the given time")

// errCrashes marks the refusal of a convicted request.
var errCrashes = errors.New("request is convicted of crashing backend servers")

// crashesError is the refusal of a convicted request.
type crashesError struct{ *Problem }

// Is makes the error match errCrashes.
func (*crashesError) Is(target error) bool { return target == errCrashes }

// Unwrap returns the problem.
func (e *crashesError) Unwrap() error { return e.Problem }

// Quarantine isolates requests that are suspected of crashing backend servers.
type Quarantine struct {
	opts OrderOptions
	wg   sync.WaitGroup

	crashes, convictions, cleared, refused, lostSpreads, probesBusy tally.Counter

	mu      sync.Mutex
	tracker *quarantine.Tracker
	owner   *quarantine.Owner
	// spreading holds the crashes that are being spread; the channel closes
	// when the peers have confirmed or the time is over.
	spreading map[quarantine.Server]chan struct{}
}

// NewQuarantine returns an empty quarantine.
func NewQuarantine(cfg quarantine.Config, opts OrderOptions) *Quarantine {
	t := quarantine.NewTracker(cfg)
	return &Quarantine{
		opts:        opts,
		crashes:     opts.Scope.Counter("quarantine_crashes_total"),
		convictions: opts.Scope.Counter("quarantine_convictions_total"),
		cleared:     opts.Scope.Counter("quarantine_cleared_total"),
		refused:     opts.Scope.Counter("quarantine_refused_total"),
		lostSpreads: opts.Scope.Counter("quarantine_spread_failures_total"),
		probesBusy:  opts.Scope.Counter("quarantine_probes_busy_total"),
		tracker:     t,
		owner:       quarantine.NewOwner(t),
		spreading:   make(map[quarantine.Server]chan struct{}),
	}
}

// suspectRun is one run of a request on a backend server, from the permission
// to its end. A nil run is one without a quarantine.
type suspectRun struct {
	q      *Quarantine
	f      ident.Fingerprint
	holder quarantine.Holder
	alone  bool
	stop   context.CancelFunc // ends the renewals of a run alone
	server quarantine.Server
}

// permit waits until a request may run, alone or with others.
func (q *Quarantine) permit(ctx context.Context, r *Request) (*suspectRun, error) {
	run := &suspectRun{q: q, f: r.Fingerprint}
	deadline := r.Deadline
	if started(r) {
		deadline = q.opts.Now() + resumeWait
	}
	for {
		switch standing, remaining := q.standing(run.f); standing {
		case quarantine.NotSuspect:
			return run, nil
		case quarantine.Convicted:
			q.refused.Inc(1)
			return nil, &crashesError{ProblemCrashes.After(remaining)}
		}
		if run.holder.Attempt == "" {
			run.holder = quarantine.Holder{
				Entry: q.opts.Self.Instance, Incarnation: q.opts.Self.Incarnation, Attempt: ident.AttemptID(uuid.NewString()),
			}
		}
		switch q.acquire(ctx, run.f, run.holder) {
		case quarantine.PermitIsolated:
			run.alone = true
			run.renew()
			return run, nil
		case quarantine.PermitShared:
			return run, nil
		case quarantine.PermitRefused:
			q.apply(quarantine.Finding{Fingerprint: run.f, Status: quarantine.Convicted})
			continue
		}
		if q.opts.Now()+suspectPoll >= deadline {
			return nil, ProblemNoCapacity.With("the request waits for a run alone after a crash").After(time.Second)
		}
		select {
		case <-ctx.Done():
			return nil, ProblemNoCapacity.With("the request waits for a run alone after a crash").After(time.Second)
		case <-time.After(suspectPoll):
		}
	}
}

// renew keeps the lease of a run alone until the run ends.
func (s *suspectRun) renew() {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	s.q.wg.Add(1)
	go func() {
		defer s.q.wg.Done()
		t := time.NewTicker(renewInterval)
		defer t.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-t.C:
				s.q.acquire(ctx, s.f, s.holder)
			}
		}
	}()
}

// begin notes the backend server. It returns false when the request became a
// suspect since it was permitted to run with others.
func (s *suspectRun) begin(server quarantine.Server) bool {
	if s == nil {
		return true
	}
	s.server = server
	now := s.q.opts.Now()
	s.q.mu.Lock()
	defer s.q.mu.Unlock()
	if !s.alone {
		return s.q.tracker.BeginShared(now, server, s.f)
	}
	s.q.tracker.Begin(now, server, s.f)
	return true
}

// cancel ends a permission that was not used.
func (s *suspectRun) cancel() {
	if s != nil && s.alone {
		s.stop()
		s.q.release(s.f, s.holder, quarantine.RunInconclusive)
	}
}

// end notes the result. A crash is spread before end returns.
func (s *suspectRun) end(result quarantine.RunResult) {
	if s == nil {
		return
	}
	q := s.q
	if result == quarantine.RunCrashed {
		q.crashed(s.server)
	}
	now := q.opts.Now()
	q.mu.Lock()
	cleared := q.tracker.End(now, s.server, s.f, result == quarantine.RunSucceeded)
	q.mu.Unlock()
	if s.alone {
		s.stop()
		q.release(s.f, s.holder, result)
	}
	if cleared {
		q.cleared.Inc(1)
		q.spread(kindSuspectFinding, quarantine.Finding{Fingerprint: s.f}, false)
	}
}

func (q *Quarantine) standing(f ident.Fingerprint) (quarantine.Status, time.Duration) {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.tracker.Status(now, f), q.tracker.Remaining(now, f)
}

func (q *Quarantine) apply(f quarantine.Finding) {
	now := q.opts.Now()
	q.mu.Lock()
	defer q.mu.Unlock()
	q.tracker.Apply(now, f)
}

// crashed makes the requests in flight suspects and spreads them. Requests that
// notice the same crash wait for the same spread.
func (q *Quarantine) crashed(s quarantine.Server) {
	q.mu.Lock()
	if done, ok := q.spreading[s]; ok {
		q.mu.Unlock()
		<-done
		return
	}
	done := make(chan struct{})
	q.spreading[s] = done
	c := q.tracker.RecordCrash(q.opts.Now(), s)
	q.mu.Unlock()
	q.crashes.Inc(1)
	q.spread(kindSuspectCrash, c, true)
	close(done)
	q.mu.Lock()
	delete(q.spreading, s)
	q.mu.Unlock()
}

// guardRouter is a Router that keeps suspects apart.
type guardRouter struct {
	q    *Quarantine
	next Router
}

// Router wraps the router of model services. A suspect gets a grant with
// Request.Isolated set.
func (q *Quarantine) Router(next Router) Router { return guardRouter{q: q, next: next} }

// Acquire implements Router.
func (g guardRouter) Acquire(ctx context.Context, r *Request, excluded []ident.GroupID) (Grant, error) {
	for {
		run, err := g.q.permit(ctx, r)
		if err != nil {
			return Grant{}, err
		}
		r.Isolated = run.alone
		grant, err := g.next.Acquire(ctx, r, excluded)
		if err != nil {
			run.cancel()
			return Grant{}, err
		}
		if !run.beginOn(grant.Group) {
			grant.Release(Result{Err: errOutdated})
			continue
		}
		return run.guard(grant), nil
	}
}

// beginOn notes the begin of a run on a group.
func (s *suspectRun) beginOn(g *view.Group) bool {
	return s.begin(quarantine.Server{Instance: g.Leader.Instance, Incarnation: g.Leader.Incarnation, DataCentre: g.DataCentre})
}

// guard notes the end of a run on a group.
func (s *suspectRun) guard(grant Grant) Grant {
	release := grant.Release
	var once sync.Once
	grant.Release = func(result Result) {
		once.Do(func() { s.end(runResult(result.Err)) })
		release(result)
	}
	return grant
}

// errOutdated gives a credit back unused.
var errOutdated = errors.New("request became a suspect while it waited for a credit")

// runResult tells what the end of an attempt says about the request.
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

// attemptPlain makes one attempt at a call of a plain service, under quarantine.
// It returns no backend server if nothing was sent.
func (g *Gateway) attemptPlain(ctx context.Context, r *Request, excluded []ident.InstanceID) (*Answer, *view.Backend, error) {
	if g.now() >= r.Deadline {
		return nil, nil, ProblemNoCapacity.With("service %q", r.Name).After(time.Second)
	}
	q := g.opts.Quarantine
	if q == nil {
		return g.callPlain(ctx, r, excluded, nil)
	}
	for {
		run, err := q.permit(ctx, r)
		if err != nil {
			return nil, nil, err
		}
		r.Isolated = run.alone
		a, b, err := g.callPlain(ctx, r, excluded, run)
		if !errors.Is(err, errOutdated) {
			return a, b, err
		}
	}
}

// callPlain acquires a backend server and calls it. Run may be nil.
func (g *Gateway) callPlain(ctx context.Context, r *Request, excluded []ident.InstanceID, run *suspectRun) (*Answer, *view.Backend, error) {
	b, release, err := g.acquireServer(ctx, r, excluded)
	if err != nil {
		run.cancel()
		return nil, nil, err
	}
	if !run.begin(quarantine.Server{Instance: b.Instance, Incarnation: b.Incarnation, DataCentre: b.DataCentre}) {
		release(Result{Err: errOutdated})
		return nil, nil, errOutdated
	}
	r.trace.server = ident.GroupID(b.Instance)
	a, err := g.backends.call(ctx, r, b, ident.AttemptID(r.AnswerID))
	run.end(plainRunResult(ctx, err))
	release(Result{Err: err})
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

// Wait waits for messages that are still being repeated.
func (q *Quarantine) Wait() { q.wg.Wait() }
