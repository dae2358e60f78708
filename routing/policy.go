package routing

import (
	"math/rand/v2"
	"time"
)

// Request is what a choice depends on.
type Request struct {
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Prefixes are the hashes of its block-aligned prefixes, shortest first.
	Prefixes []uint64
	// Free is the number of free credits by index of the table's groups. Groups
	// without one are passed over. nil means that all can take the request.
	Free []int
	// Skip tells which other groups cannot take the request, or is nil.
	Skip func(index int) bool
}

// Policy chooses among the groups of a table. It returns the index of a group,
// or -1 when none can take the request.
type Policy interface {
	Pick(now time.Duration, t *Table, r *Request) int
}

// Random chooses any group.
type Random struct{ Rand *rand.Rand }

// Pick implements Policy.
func (p Random) Pick(_ time.Duration, t *Table, r *Request) int {
	seen, chosen := 0, -1
	for i := range t.groups {
		if t.skipped(i, r) {
			continue
		}
		seen++
		if p.Rand.IntN(seen) == 0 {
			chosen = i
		}
	}
	return chosen
}

// RoundRobin chooses groups in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ time.Duration, t *Table, r *Request) int {
	for range t.groups {
		i := p.next % len(t.groups)
		p.next = i + 1
		if !t.skipped(i, r) {
			return i
		}
	}
	return -1
}

// LeastOutstanding chooses the group with the fewest own requests in flight.
type LeastOutstanding struct{ Rand *rand.Rand }

// Pick implements Policy.
func (p LeastOutstanding) Pick(_ time.Duration, t *Table, r *Request) int {
	best, ties := -1, 0
	for i := range t.groups {
		switch {
		case t.skipped(i, r):
		case best < 0 || t.groups[i].own < t.groups[best].own:
			best, ties = i, 1
		case t.groups[i].own == t.groups[best].own:
			ties++
			if p.Rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// ExpectedDelay chooses by the expected delay of the first token. Of the groups
// close to the best it draws two and takes the better one, so that entry
// instances with the same reports do not all choose the same group.
type ExpectedDelay struct{ Rand *rand.Rand }

// Pick implements Policy.
func (p ExpectedDelay) Pick(now time.Duration, t *Table, r *Request) int {
	t.match(now, r.Prefixes)
	best := noScore
	for i := range t.terms {
		s := noScore
		if !t.skipped(i, r) {
			s = t.score(i, r)
		}
		t.scores[i] = s
		best = min(best, s)
	}
	if best == noScore {
		return -1
	}
	return p.draw(t, best+time.Duration(float64(best)*choiceSpread)+choiceSlack)
}

// draw returns the better of two random groups that score within the bound.
func (p ExpectedDelay) draw(t *Table, bound time.Duration) int {
	near := t.near[:0]
	for i, s := range t.scores {
		if s <= bound {
			near = append(near, int32(i))
		}
	}
	a, b := near[p.Rand.IntN(len(near))], near[p.Rand.IntN(len(near))]
	if t.scores[b] < t.scores[a] {
		return int(b)
	}
	return int(a)
}
