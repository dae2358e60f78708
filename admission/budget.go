package admission

import "time"

// Budget bounds the requests that are sent once more to a part of all requests
// plus a number in each window. Each entry instance takes its part of the number.
type Budget struct {
	ratio  float64
	slack  float64
	window time.Duration

	tokens float64
	last   time.Duration
}

// budgetMargin keeps the sum over entry instances below the bound, although the
// requests and the repeats of one window are counted in different windows.
const budgetMargin = 0.7

// NewBudget returns a budget of ratio x requests + slack in each window.
func NewBudget(ratio, slack float64, window time.Duration) *Budget {
	return &Budget{ratio: ratio * budgetMargin, slack: slack * budgetMargin, window: window, tokens: 1}
}

// First counts a request.
func (b *Budget) First() { b.tokens = min(b.tokens+b.ratio, b.slack) }

// Retry takes one repeat from the budget. Entries is the number of entry
// instances that share the slack.
func (b *Budget) Retry(now time.Duration, entries int) bool {
	part := b.slack / float64(max(1, entries))
	if b.window > 0 {
		b.tokens += part * float64(now-b.last) / float64(b.window)
	}
	b.last = now
	b.tokens = min(b.tokens, part)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
