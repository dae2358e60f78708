package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/routing"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/trace"
	"github.com/bulrushfall/bulrushfall/view"
)

// Parameters of the balancer.
const (
	// balancerTick is the interval at which late requests are refused and new
	// groups are looked up.
	balancerTick = 50 * time.Millisecond
	// syncForWaitingInterval is the minimum interval between the syncs of a service
	// with waiting requests.
	syncForWaitingInterval = 100 * time.Millisecond
	// resumeWait limits the wait of a stream that resumes on another group. Its
	// request no longer has a deadline.
	resumeWait = 10 * time.Second
	// ownerChangeDuration is longer than a change of the credit owner takes: about
	// 5 s from its loss to the first grants of the next one.
	ownerChangeDuration = 8 * time.Second
	// pauseGap is the minimum gap between two ticks that is treated as a pause of
	// this process.
	pauseGap = time.Second
	// maxPrefixBlocks limits the number of prompt prefixes that are looked up.
	maxPrefixBlocks = 64
	// maxHints limits the prefix hints per service, at 24 bytes each.
	maxHints = 1 << 16
	// maxPicks limits the targets that are tried for one waiting request.
	maxPicks = 4
)

// Balancer is a Router and a ServerRouter. It queues requests fairly, chooses the
// target with the lowest expected delay of the first token and acquires a credit
// there. The concurrency credits are shared among the entry instances.
type Balancer struct {
	snapshot     func() *view.Snapshot
	now          func() time.Duration
	self         view.Entry
	accounts     *AccountLimits
	refused      refusals
	counters     balancerCounters
	syncRequests chan ident.ServiceName
	recorder     *trace.Recorder
	// departures are the backend servers that get no new requests because they leave.
	departures *departures
	pauses     *ServerPauses

	mu         sync.RWMutex
	schedulers map[ident.ServiceName]*scheduler
}

type balancerCounters struct {
	granted      tally.Counter
	creditWaits  tally.Counter
	copyWaits    tally.Counter
	retryRefused tally.Counter
}

// NewBalancer returns a balancer. Run must be called to refuse late requests and
// to retry waiting ones.
func NewBalancer(self view.Entry, snapshot func() *view.Snapshot, now func() time.Duration, m *telemetry.Metrics) *Balancer {
	return &Balancer{
		snapshot: snapshot, now: now, self: self,
		accounts: NewAccountLimits(now, m),
		refused:  newRefusals(m),
		counters: balancerCounters{
			granted:      m.Scope.Counter("credits_granted_total"),
			creditWaits:  m.Scope.Counter("credit_waits_total"),
			copyWaits:    m.Scope.Counter("copy_waits_total"),
			retryRefused: m.Scope.Counter("retry_budget_refused_total"),
		},
		syncRequests: make(chan ident.ServiceName, 64),
		departures:   newDepartures(m.Scope.Counter("backend_servers_leaving_total")),
		pauses:       NewServerPauses(now, nil),
		schedulers:   make(map[ident.ServiceName]*scheduler),
	}
}

// AccountLimits is a filter that enforces the limits of client accounts. This
// entry instance's part of a limit depends on the usage that is exchanged with the
// credit owner.
func (b *Balancer) AccountLimits(next Endpoint) Endpoint { return b.accounts.Filter(next) }

// Run refuses late requests and dispatches waiting ones until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	tick := time.NewTicker(balancerTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.departures.updateList(b.now(), b.snapshot)
			b.mu.RLock()
			for _, s := range b.schedulers {
				s.tick(b.now())
			}
			b.mu.RUnlock()
		}
	}
}

func (b *Balancer) scheduler(name ident.ServiceName) *scheduler {
	b.mu.RLock()
	s, ok := b.schedulers[name]
	b.mu.RUnlock()
	if ok {
		return s
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s, ok = b.schedulers[name]; !ok {
		s = newScheduler(b, name)
		b.schedulers[name] = s
	}
	return s
}

// Acquire implements Router.
func (b *Balancer) Acquire(ctx context.Context, r *Request, excluded []ident.GroupID) (Grant, error) {
	pr := &pendingRequest{request: r, tokens: r.Tokens}
	for _, id := range excluded {
		pr.excluded = append(pr.excluded, GroupBackend(id))
	}
	if r.Completion != nil {
		prompt := r.Completion.Text()
		pr.route.Prefixes = prefixes(prompt)
		pr.route.PromptTokens = engine.TokenCount(prompt)
	}
	p, err := b.acquire(ctx, pr)
	if err != nil {
		return Grant{}, err
	}
	return Grant{Group: p.target.group, Cold: p.credit.Cold, Release: p.release, Observe: p.observe, Silence: p.observeSilence}, nil
}

// AcquireServer implements ServerRouter.
func (b *Balancer) AcquireServer(ctx context.Context, r *Request, excluded []ident.InstanceID) (*view.Backend, func(Result), error) {
	pr := &pendingRequest{request: r}
	for _, id := range excluded {
		pr.excluded = append(pr.excluded, ServerBackend(id))
	}
	p, err := b.acquire(ctx, pr)
	if err != nil {
		return nil, nil, err
	}
	return p.target.server, p.release, nil
}

// acquire waits for a credit until the request's deadline.
func (b *Balancer) acquire(ctx context.Context, pr *pendingRequest) (*permit, error) {
	s := b.scheduler(pr.request.Name)
	if pr.request.Isolated {
		pr.waiter = newWaiter(pr.request, b.now())
		return s.acquireExclusive(ctx, pr)
	}
	pr.result = make(chan acquireResult, 1)
	pr.waiter = newWaiter(pr.request, b.now())
	s.enqueue(pr)
	select {
	case o := <-pr.result: // no wait was necessary
		return o.permit, o.err
	default:
	}
	select {
	case o := <-pr.result:
		return o.permit, o.err
	case <-ctx.Done():
	}
	if !s.cancelWait(pr) {
		// The request got a result at the same moment.
		o := <-pr.result
		if o.permit == nil {
			return nil, o.err
		}
		o.permit.release(Result{Err: ctx.Err()})
	}
	return nil, ProblemNoCapacity.WithDetail("service %q", pr.request.Name).WithRetryAfter(time.Second)
}

func newWaiter(r *Request, now time.Duration) *admission.Waiter {
	deadline := r.Deadline
	if answerStarted(r) {
		deadline = now + resumeWait
	}
	return &admission.Waiter{
		Account: r.Account.Name, Weight: r.Account.Weight, Class: r.Class,
		Bytes: len(r.Body), Deadline: deadline,
	}
}

func prefixes(prompt string) []uint64 {
	h := engine.PrefixHashes(prompt)
	return h[:min(len(h), maxPrefixBlocks)]
}

// newScheduler returns the scheduler of one service.
func newScheduler(b *Balancer, name ident.ServiceName) *scheduler {
	seed := ident.Score(string(name), b.self.Instance)
	random := rand.NewPCG(seed, seed)
	return &scheduler{
		balancer: b, name: name,
		holder:  credit.NewHolder(b.self.Instance, b.self.Incarnation),
		queue:   admission.NewQueue(admission.DefaultConfig()),
		retries: admission.NewRetryBudget(),
		table:   routing.NewTable(routing.Location{DataCentre: b.self.DataCentre, Region: b.self.Region}, maxHints),
		policy:  routing.ExpectedDelay{Rand: rand.New(random)},
		random:  random,
		waiting: make(map[*admission.Waiter]*pendingRequest),
		copies:  routing.NewCopies(),

		isolatedSuspects: make(map[credit.BackendID]int),
		failedAt:         make(map[credit.BackendID]time.Duration),
		limits:           make(map[credit.BackendID]*targetLimit),
	}
}

// targetsOf lists the targets of a service.
func targetsOf(svc *view.Service) []target {
	var out []target
	if svc.Document.Kind == service.KindPlain {
		for _, s := range svc.Backends {
			out = append(out, target{backend: ServerBackend(s.Instance), server: s})
		}
		return out
	}
	for _, g := range svc.Groups {
		if g.Role != engine.RolePrefill {
			out = append(out, target{backend: GroupBackend(g.ID), group: g})
		}
	}
	return out
}
