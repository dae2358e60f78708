package routing

import (
	"math/rand/v2"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Request is what a choice depends on.
type Request struct {
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Fingerprint lets all entry instances choose the same group for copies of a
	// request among groups that are equally good. 0 chooses at random.
	Fingerprint ident.Fingerprint
	// Prefixes are the hashes of its block-aligned prefixes, shortest first.
	Prefixes []uint64
	// FreeCredits is the number of free credits by index of the table's groups. Groups
	// without one are passed over. nil means that all can take the request.
	FreeCredits []int
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
// close to the best it takes the one with the highest rendezvous score for the
// request: different requests spread, and copies of one request meet, through
// whichever entry instance they come. Without a fingerprint it draws two and
// takes the better one.
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
	bound := best + time.Duration(float64(best)*choiceSpread)
	if r.Fingerprint != 0 {
		return meet(t, r.Fingerprint, bound+meetSlack)
	}
	return p.draw(t, bound+choiceSlack)
}

// meet returns the group with the highest rendezvous score for a request among
// those that score within the bound.
func meet(t *Table, f ident.Fingerprint, bound time.Duration) int {
	chosen, highest := -1, uint64(0)
	for i, s := range t.scores {
		if s > bound {
			continue
		}
		if w := weight(f, t.terms[i].key); chosen < 0 || w > highest {
			chosen, highest = i, w
		}
	}
	return chosen
}

// weight mixes a fingerprint with the key of a group. Both are hashes already;
// the multiplications are those of splitmix64.
func weight(f ident.Fingerprint, key uint32) uint64 {
	x := uint64(f) ^ uint64(key)<<32 ^ uint64(key)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
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
