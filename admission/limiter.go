package admission

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// bucket is the state of one account.
type bucket struct {
	tokens  float64
	last    time.Duration
	open    int
	offered rateMeter
	// othersOffered is the rate that callers offer to the other entry instances,
	// entries is their number with this one.
	othersOffered float64
	entries       int
}

// Limiter holds the accounts of one service to their rate and concurrency. It
// enforces this entry instance's part of the limits, which follows what callers
// offer here and elsewhere. (To give each entry instance what the others leave
// makes all of them open and close together.) Zero limits are unlimited.
type Limiter struct {
	buckets map[ident.Account]*bucket
}

// NewLimiter returns a limiter.
func NewLimiter() *Limiter { return &Limiter{buckets: make(map[ident.Account]*bucket)} }

// Acquire counts a request of an account, or refuses it. Each opened request is
// closed once.
func (l *Limiter) Acquire(now time.Duration, a service.Account) (Refusal, bool) {
	b, ok := l.buckets[a.Name]
	if !ok {
		b = &bucket{last: now, entries: 1}
		b.tokens = burst(a)
		l.buckets[a.Name] = b
	}
	b.offered.add(now)
	part := b.part(now)
	if a.Concurrency > 0 && float64(b.open) >= max(1, float64(a.Concurrency)*part) {
		return Refusal{Reason: ReasonConcurrency, RetryAfter: minRetryAfter}, true
	}
	if a.RequestsPerSecond > 0 {
		b.tokens = min(max(1, burst(a)*part), b.tokens+(now-b.last).Seconds()*a.RequestsPerSecond*part)
		b.last = now
		if b.tokens < 1 {
			wait := time.Duration((1 - b.tokens) / (a.RequestsPerSecond * part) * float64(time.Second))
			return Refusal{Reason: ReasonRate, RetryAfter: max(wait, minRetryAfter)}, true
		}
		b.tokens--
	}
	b.open++
	return Refusal{}, false
}

// part is this entry instance's part of the account's limits: that of the
// offered requests, and at least an equal part.
func (b *bucket) part(now time.Duration) float64 {
	if b.othersOffered <= 0 {
		return 1
	}
	own := b.offered.perSecond(now)
	return max(own/(own+b.othersOffered), 1/float64(max(1, b.entries)))
}

// Offered yields the rate of each account in use here, refused requests included.
func (l *Limiter) Offered(now time.Duration, yield func(account ident.Account, perSecond float64)) {
	for name, b := range l.buckets {
		if rate := b.offered.perSecond(now); rate > 0 {
			yield(name, rate)
		}
	}
}

// SetPeerRate tells what an account offers to the other entry instances.
func (l *Limiter) SetPeerRate(a ident.Account, perSecond float64, entries int) {
	if b, ok := l.buckets[a]; ok {
		b.othersOffered, b.entries = perSecond, entries
	}
}

// Release ends an opened request.
func (l *Limiter) Release(a ident.Account) {
	if b, ok := l.buckets[a]; ok && b.open > 0 {
		b.open--
	}
}

func burst(a service.Account) float64 { return float64(max(1, a.Burst)) }

// retryPart is the part of first attempts that may be retried.
const retryPart = 0.1

// maxRetryTokens bounds the retries that a quiet time can save up.
const maxRetryTokens = 20

// RetryBudget bounds retries, so that a failing backend server does not
// multiply its load.
type RetryBudget struct{ tokens float64 }

// NewRetryBudget returns a budget that starts full.
func NewRetryBudget() *RetryBudget { return &RetryBudget{tokens: maxRetryTokens} }

// RecordFirstAttempt counts a first attempt.
func (b *RetryBudget) RecordFirstAttempt() { b.tokens = min(maxRetryTokens, b.tokens+retryPart) }

// TakeRetry takes one retry from the budget if it can.
func (b *RetryBudget) TakeRetry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a retry whose attempt did not reach a backend server.
func (b *RetryBudget) Refund() { b.tokens = min(maxRetryTokens, b.tokens+1) }
