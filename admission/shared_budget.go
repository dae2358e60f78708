package admission

import "time"

// Parameters of a SharedRetryBudget, as fractions of the limit. Their sum is below 1, so
// that the saved and the added retries of a window together stay below the limit over
// all entry instances.
const (
	// refillFraction is the fraction of the limit that is added within a window.
	refillFraction = 0.5
	// burstFraction is the fraction of the limit that can be saved up.
	burstFraction = 0.45
)

// SharedRetryBudget limits the retries of all entry instances in each window to a
// fraction of the requests plus a constant. Each entry instance has an equal share of the
// constant.
type SharedRetryBudget struct {
	ratio  float64 // retries per request
	slack  float64 // additional retries in each window, over all entry instances
	window time.Duration

	tokens float64
	// recentRequests is the smoothed number of requests in a window.
	recentRequests float64
	lastRefill     time.Duration
}

// NewSharedRetryBudget returns a budget of ratio * requests + slack retries in each
// window of at least a second.
func NewSharedRetryBudget(ratio, slack float64, window time.Duration) *SharedRetryBudget {
	return &SharedRetryBudget{ratio: ratio, slack: slack, window: max(window, time.Second), tokens: 1}
}

// RecordRequest counts a request.
func (b *SharedRetryBudget) RecordRequest() {
	b.recentRequests++
	b.tokens += b.ratio * refillFraction
}

// TakeRetry takes one retry from the budget and reports whether there was one. entryInstances
// is the number of entry instances that share the slack.
func (b *SharedRetryBudget) TakeRetry(now time.Duration, entryInstances int) bool {
	b.refill(now, entryInstances)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *SharedRetryBudget) refill(now time.Duration, entryInstances int) {
	slackShare := b.slack / float64(max(1, entryInstances))
	elapsed := min(1, float64(now-b.lastRefill)/float64(b.window))
	b.lastRefill = now
	b.tokens += slackShare * refillFraction * elapsed
	b.recentRequests -= b.recentRequests * elapsed
	b.tokens = min(b.tokens, max(1, burstFraction*(slackShare+b.ratio*b.recentRequests)))
}
