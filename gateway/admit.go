package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/telemetry"
)

// Problems of admission. A request that is refused with one of them has not run.
var (
	ProblemAccountLimit = newProblem("account-limit", http.StatusTooManyRequests, OutcomeNotRun,
		"The client account exceeds its request rate or concurrency: retry after the given time")
	ProblemOverload = newProblem("overload", http.StatusServiceUnavailable, OutcomeNotRun,
		"The request could not start before its deadline: retry after the given time or with a later deadline")
	ProblemTooManyTokens = newProblem("too-many-tokens", http.StatusRequestEntityTooLarge, OutcomeNotRun,
		"The request holds more context tokens than a backend server bears: shorten the prompt or max_tokens")
)

// refusals counts refused requests by reason.
type refusals map[admission.Reason]tally.Counter

func newRefusals(m *telemetry.Metrics) refusals {
	out := make(refusals)
	for _, r := range []admission.Reason{
		admission.ReasonRate, admission.ReasonConcurrency, admission.ReasonDeadline, admission.ReasonMemory,
	} {
		out[r] = m.Scope.Tagged(map[string]string{"reason": string(r)}).Counter("admission_refused_total")
	}
	return out
}

// problem counts a refusal and converts it to a Problem.
func (c refusals) problem(r admission.Refusal) *Problem {
	c[r.Reason].Inc(1)
	p := ProblemOverload
	if r.Reason == admission.ReasonRate || r.Reason == admission.ReasonConcurrency {
		p = ProblemAccountLimit
	}
	return p.WithDetail("%s", r.Reason).WithRetryAfter(r.RetryAfter)
}

// AccountLimits enforces the rate and concurrency limits that the service document
// sets for each client account.
type AccountLimits struct {
	now     func() time.Duration
	refused refusals

	mu       sync.Mutex
	limiters map[ident.ServiceName]*admission.Limiter
}

// NewAccountLimits returns the limits of one entry instance.
func NewAccountLimits(now func() time.Duration, m *telemetry.Metrics) *AccountLimits {
	return &AccountLimits{now: now, refused: newRefusals(m), limiters: make(map[ident.ServiceName]*admission.Limiter)}
}

// Filter refuses requests that exceed the limits of their client account. A stream
// that resumes was admitted before and is not counted again.
func (l *AccountLimits) Filter(next Endpoint) Endpoint {
	return func(ctx context.Context, r *Request) (*Answer, error) {
		if answerStarted(r) {
			return next(ctx, r)
		}
		if err := l.open(r.Name, r.Account); err != nil {
			return nil, err
		}
		defer l.close(r.Name, r.Account.Name)
		return next(ctx, r)
	}
}

func (l *AccountLimits) open(name ident.ServiceName, a service.Account) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim, ok := l.limiters[name]
	if !ok {
		lim = admission.NewLimiter()
		l.limiters[name] = lim
	}
	if refusal, refused := lim.Acquire(l.now(), a); refused {
		return l.refused.problem(refusal)
	}
	return nil
}

func (l *AccountLimits) close(name ident.ServiceName, a ident.Account) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limiters[name].Release(a)
}

// answerStarted reports whether the caller has received a part of the answer.
func answerStarted(r *Request) bool { return r.Sink != nil && r.Sink.Started() }

// usage returns the accounts of a service that send requests to this entry
// instance, with their request rates.
func (l *AccountLimits) usage(now time.Duration, name ident.ServiceName) []credit.AccountRate {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim, ok := l.limiters[name]
	if !ok {
		return nil
	}
	var out []credit.AccountRate
	lim.Offered(now, func(a ident.Account, perSecond float64) {
		out = append(out, credit.AccountRate{Account: a, RequestsPerSecond: perSecond})
	})
	return out
}

// setOtherEntries applies the request rates at the other entry instances. They
// remain in effect while the credit owner cannot be reached.
func (l *AccountLimits) setOtherEntries(name ident.ServiceName, r credit.Reply) {
	l.mu.Lock()
	defer l.mu.Unlock()
	lim, ok := l.limiters[name]
	if !ok {
		return
	}
	for _, u := range r.Accounts {
		lim.SetPeerRate(u.Account, u.RequestsPerSecond, r.LiveEntries)
	}
}
