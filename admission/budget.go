package admission

import "time"

// Parameters of a budget. In any window, what was saved up before and what comes
// in stay below the bound over all entry instances.
const (
	// inflow is the part of the bound that comes in, saved the part that can be
	// saved up.
	inflow = 0.5
	saved  = 0.45
)

// Budget bounds the requests that are sent once more to a part of all requests
// plus a number in each window. Each entry instance takes its part of the number.
type Budget struct {
	ratio  float64
	slack  float64
	window time.Duration

	tokens float64
	// recent is the smoothed number of requests in a window.
	recent float64
	last   time.Duration
}

// NewBudget returns a budget of ratio x requests + slack in each window.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio, slack: slack, window: max(window, time.Second), tokens: 1}
}

// First counts a request.
func (b *Budget) First() {
	b.recent++
	b.tokens += b.ratio * inflow
}

// Retry takes one repeat from the budget. Entries is the number of entry
// instances that share the slack.
func (b *Budget) Retry(now time.Duration, entries int) bool {
	b.refill(now, entries)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (b *Budget) refill(now time.Duration, entries int) {
	part := b.slack / float64(max(1, entries))
	elapsed := min(1, float64(now-b.last)/float64(b.window))
	b.last = now
	b.tokens += part * inflow * elapsed
	b.recent -= b.recent * elapsed
	b.tokens = min(b.tokens, max(1, saved*(part+b.ratio*b.recent)))
}
