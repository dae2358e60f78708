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
	// balancerTick drives early shedding and looks for new groups.
	balancerTick = 50 * time.Millisecond
	// starvedSync separates the syncs of a service whose requests wait.
	starvedSync = 100 * time.Millisecond
	// resumeWait bounds the wait of a stream that continues on another group:
	// its caller has no deadline any more.
	resumeWait = 10 * time.Second
	// ownerChangeTime is longer than a change of the credit owner: about 5 s from
	// its loss to the first grants of the next one.
	ownerChangeTime = 8 * time.Second
	// pauseGap between two ticks means that this process was paused.
	pauseGap = time.Second
	// maxPrefixBlocks bounds the prompt prefixes that are looked up.
	maxPrefixBlocks = 64
	// maxHints bounds the prefix hints per service, at 24 bytes each.
	maxHints = 1 << 16
	// maxPicks bounds the groups that are tried for one waiting request.
	maxPicks = 4
)

// Balancer is a Router that queues requests fairly, chooses a group by the
// expected delay of the first token and takes a shared concurrency credit.
type Balancer struct {
	snapshot func() *view.Snapshot
	now      func() time.Duration
	self     view.Entry
	accounts *AccountLimits
	refused  refusals
	counters balancerCounters
	wake     chan ident.ServiceName
	recorder *trace.Recorder

	mu    sync.RWMutex
	lanes map[ident.ServiceName]*lane
}

type balancerCounters struct {
	granted      tally.Counter
	waited       tally.Counter
	apart        tally.Counter
	retryRefused tally.Counter
}

// NewBalancer returns a balancer. Run drives it.
func NewBalancer(self view.Entry, snapshot func() *view.Snapshot, now func() time.Duration, m *telemetry.Metrics) *Balancer {
	return &Balancer{
		snapshot: snapshot, now: now, self: self,
		accounts: NewAccountLimits(now, m),
		refused:  newRefusals(m),
		counters: balancerCounters{
			granted:      m.Scope.Counter("credits_granted_total"),
			waited:       m.Scope.Counter("credit_waits_total"),
			apart:        m.Scope.Counter("copy_waits_total"),
			retryRefused: m.Scope.Counter("retry_budget_refused_total"),
		},
		wake:  make(chan ident.ServiceName, 64),
		lanes: make(map[ident.ServiceName]*lane),
	}
}

// AccountLimits is the filter that holds accounts to their limits. Its part of
// the limits follows from the exchange with the credit owner.
func (b *Balancer) AccountLimits(next Endpoint) Endpoint { return b.accounts.Filter(next) }

// Run sheds and restarts waiting requests until the context ends.
func (b *Balancer) Run(ctx context.Context) {
	tick := time.NewTicker(balancerTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			b.mu.RLock()
			for _, l := range b.lanes {
				l.tick(b.now())
			}
			b.mu.RUnlock()
		}
	}
}

func (b *Balancer) lane(name ident.ServiceName) *lane {
	b.mu.RLock()
	l, ok := b.lanes[name]
	b.mu.RUnlock()
	if ok {
		return l
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if l, ok = b.lanes[name]; !ok {
		l = newLane(b, name)
		b.lanes[name] = l
	}
	return l
}

// Acquire implements Router.
func (b *Balancer) Acquire(ctx context.Context, r *Request, excluded []ident.GroupID) (Grant, error) {
	t := &ticket{request: r, tokens: r.Tokens}
	for _, id := range excluded {
		t.excluded = append(t.excluded, GroupBackend(id))
	}
	if r.Completion != nil {
		prompt := r.Completion.Text()
		t.route.Prefixes = prefixes(prompt)
		t.route.PromptTokens = engine.TokenCount(prompt)
	}
	p, err := b.acquire(ctx, t)
	if err != nil {
		return Grant{}, err
	}
	return Grant{Group: p.target.group, Cold: p.credit.Cold, Release: p.release}, nil
}

// AcquireServer picks a backend server of a plain service and takes a credit
// there. Release must be called once; further calls have no effect.
func (b *Balancer) AcquireServer(ctx context.Context, r *Request, excluded []ident.InstanceID) (*view.Backend, func(Result), error) {
	t := &ticket{request: r}
	for _, id := range excluded {
		t.excluded = append(t.excluded, ServerBackend(id))
	}
	p, err := b.acquire(ctx, t)
	if err != nil {
		return nil, nil, err
	}
	return p.target.server, p.release, nil
}

// acquire waits for a credit until the request's deadline.
func (b *Balancer) acquire(ctx context.Context, t *ticket) (*permit, error) {
	l := b.lane(t.request.Name)
	if t.request.Isolated {
		t.waiter = newWaiter(t.request, b.now())
		return l.acquireAlone(ctx, t)
	}
	t.result = make(chan outcome, 1)
	t.waiter = newWaiter(t.request, b.now())
	l.enter(t)
	select {
	case o := <-t.result: // decided without a wait
		return o.permit, o.err
	default:
	}
	select {
	case o := <-t.result:
		return o.permit, o.err
	case <-ctx.Done():
	}
	if !l.leave(t) {
		// The outcome was decided at the same moment.
		o := <-t.result
		if o.permit == nil {
			return nil, o.err
		}
		o.permit.release(Result{Err: ctx.Err()})
	}
	return nil, ProblemNoCapacity.With("service %q", t.request.Name).After(time.Second)
}

func newWaiter(r *Request, now time.Duration) *admission.Waiter {
	deadline := r.Deadline
	if started(r) {
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

// newLane returns the state of one service.
func newLane(b *Balancer, name ident.ServiceName) *lane {
	seed := ident.Score(string(name), b.self.Instance)
	random := rand.NewPCG(seed, seed)
	return &lane{
		b: b, name: name,
		holder:  credit.NewHolder(b.self.Instance, b.self.Incarnation),
		queue:   admission.NewQueue(admission.DefaultConfig()),
		retries: admission.NewRetryBudget(),
		table:   routing.NewTable(routing.Location{DataCentre: b.self.DataCentre, Region: b.self.Region}, maxHints),
		policy:  routing.ExpectedDelay{Rand: rand.New(random)},
		random:  random,
		waiting: make(map[*admission.Waiter]*ticket),
		copies:  routing.NewCopies(),

		isolating: make(map[credit.BackendID]int),
		failedAt:  make(map[credit.BackendID]time.Duration),
	}
}

// targetsOf lists where requests of a service can go.
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
