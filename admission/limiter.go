package admission

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// bucket is the state of one account.
type bucket struct {
	tokens float64
	last   time.Duration
	open   int
}

// Limiter holds the accounts of one service to their rate and concurrency at
// one entry instance. Zero limits are unlimited.
type Limiter struct {
	buckets map[ident.Account]*bucket
}

// NewLimiter returns a limiter.
func NewLimiter() *Limiter { return &Limiter{buckets: make(map[ident.Account]*bucket)} }

// Open counts a request of an account, or refuses it. Each opened request is
// closed once.
func (l *Limiter) Open(now time.Duration, a service.Account) (Refusal, bool) {
	b, ok := l.buckets[a.Name]
	if !ok {
		b = &bucket{tokens: burst(a), last: now}
		l.buckets[a.Name] = b
	}
	if a.Concurrency > 0 && b.open >= a.Concurrency {
		return Refusal{Reason: ReasonConcurrency, RetryAfter: minRetryAfter}, true
	}
	if a.RequestsPerSecond > 0 {
		b.tokens = min(burst(a), b.tokens+(now-b.last).Seconds()*a.RequestsPerSecond)
		b.last = now
		if b.tokens < 1 {
			wait := time.Duration((1 - b.tokens) / a.RequestsPerSecond * float64(time.Second))
			return Refusal{Reason: ReasonRate, RetryAfter: max(wait, minRetryAfter)}, true
		}
		b.tokens--
	}
	b.open++
	return Refusal{}, false
}

// Close ends an opened request.
func (l *Limiter) Close(a ident.Account) {
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

// First counts a first attempt.
func (b *RetryBudget) First() { b.tokens = min(maxRetryTokens, b.tokens+retryPart) }

// Retry takes one retry from the budget if it can.
func (b *RetryBudget) Retry() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Refund returns a retry whose attempt did not reach a backend server.
func (b *RetryBudget) Refund() { b.tokens = min(maxRetryTokens, b.tokens+1) }
