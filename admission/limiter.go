package admission

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// bucket is the token bucket of one account, with its number of requests in flight.
type bucket struct {
	tokens     float64
	lastRefill time.Duration
	inFlight   int
	// offered is the rate of requests here, including refused ones.
	offered rateMeter
	// peerRate is the rate of requests that the other entry instances get, entries the
	// number of entry instances including this one.
	peerRate float64
	entries  int
}

// Limiter enforces the request rate and concurrency limits of the accounts of one
// service. It enforces this entry instance's share of the limits, in proportion to the
// requests that callers send here and to other entry instances. (Giving each entry
// instance what the others leave unused makes all of them accept and refuse in step.)
// A limit of zero means unlimited.
type Limiter struct {
	buckets map[ident.Account]*bucket
}

func NewLimiter() *Limiter { return &Limiter{buckets: make(map[ident.Account]*bucket)} }

// Acquire admits a request of an account, or returns a refusal and true. Release must be
// called once for each admitted request.
func (l *Limiter) Acquire(now time.Duration, a service.Account) (Refusal, bool) {
	b, ok := l.buckets[a.Name]
	if !ok {
		b = &bucket{lastRefill: now, entries: 1}
		b.tokens = burst(a)
		l.buckets[a.Name] = b
	}
	b.offered.add(now)
	fraction := b.limitFraction(now)
	if a.Concurrency > 0 && float64(b.inFlight) >= max(1, float64(a.Concurrency)*fraction) {
		return Refusal{Reason: ReasonConcurrency, RetryAfter: minRetryAfter}, true
	}
	if a.RequestsPerSecond > 0 {
		b.tokens = min(max(1, burst(a)*fraction), b.tokens+(now-b.lastRefill).Seconds()*a.RequestsPerSecond*fraction)
		b.lastRefill = now
		if b.tokens < 1 {
			wait := time.Duration((1 - b.tokens) / (a.RequestsPerSecond * fraction) * float64(time.Second))
			return Refusal{Reason: ReasonRate, RetryAfter: max(wait, minRetryAfter)}, true
		}
		b.tokens--
	}
	b.inFlight++
	return Refusal{}, false
}

// limitFraction returns this entry instance's fraction of the account's limits: its
// fraction of the account's requests, but at least that of an equal division.
func (b *bucket) limitFraction(now time.Duration) float64 {
	if b.peerRate <= 0 {
		return 1
	}
	own := b.offered.perSecond(now)
	return max(own/(own+b.peerRate), 1/float64(max(1, b.entries)))
}

// Offered calls yield with the rate of requests of each active account at this entry
// instance, including refused requests.
func (l *Limiter) Offered(now time.Duration, yield func(account ident.Account, perSecond float64)) {
	for name, b := range l.buckets {
		if rate := b.offered.perSecond(now); rate > 0 {
			yield(name, rate)
		}
	}
}

// SetPeerRate sets the rate of requests of an account at the other entry instances, and
// the number of entry instances including this one.
func (l *Limiter) SetPeerRate(a ident.Account, perSecond float64, entries int) {
	if b, ok := l.buckets[a]; ok {
		b.peerRate, b.entries = perSecond, entries
	}
}

// Release ends a request that Acquire admitted.
func (l *Limiter) Release(a ident.Account) {
	if b, ok := l.buckets[a]; ok && b.inFlight > 0 {
		b.inFlight--
	}
}

func burst(a service.Account) float64 { return float64(max(1, a.Burst)) }

// retryFraction is the number of retries that each first attempt adds to the budget.
const retryFraction = 0.1

// maxRetryTokens limits the retries that can be saved up.
const maxRetryTokens = 20

// RetryBudget limits the retries of one entry instance to a fraction of its first
// attempts, so that retries do not multiply the load of a failing backend server.
type RetryBudget struct{ tokens float64 }

// NewRetryBudget returns a budget that starts full.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxRetryTokens} }

// RecordFirstAttempt counts a first attempt, which adds to the budget.
func (b *RetryBudget) RecordFirstAttempt() { b.tokens = min(maxRetryTokens, b.tokens+retryFraction) }

// TakeRetry takes one retry from the budget and reports whether there was one.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a retry whose attempt did not reach a backend server.
func (b *RetryBudget) Refund() { b.tokens = min(maxRetryTokens, b.tokens+1) }
