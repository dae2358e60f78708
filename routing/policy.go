package routing

import (
	"math/rand/v2"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Request holds the properties of a request that a policy uses.
type Request struct {
	// PromptTokens is the length of the prompt.
	PromptTokens int
	// Fingerprint makes all entry instances choose the same group for copies of a
	// request, among groups with similar scores. 0 makes the choice random.
	Fingerprint ident.Fingerprint
	// Prefixes are the hashes of the block-aligned prefixes of the prompt, shortest
	// first.
	Prefixes []uint64
	// FreeCredits is the number of free credits by index of the table's groups. Groups
	// without a free credit are skipped. nil means that no group is skipped.
	FreeCredits []int
	// Skip reports whether a group cannot run the request for another reason. It
	// may be nil.
	Skip func(index int) bool
}

// Policy chooses among the groups of a table.
type Policy interface {
	// Pick returns the index of a group, or -1 if no group can run the request.
	Pick(now time.Duration, t *Table, r *Request) int
}

// Random chooses a group at random.
type Random struct{ Rand *rand.Rand }

// Pick implements Policy.
func (p Random) Pick(_ time.Duration, t *Table, r *Request) int {
	eligible, chosen := 0, -1
	for i := range t.groups {
		if t.skipped(i, r) {
			continue
		}
		eligible++
		if p.Rand.IntN(eligible) == 0 {
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

// LeastOutstanding chooses the group with the fewest requests in flight from this
// entry instance.
type LeastOutstanding struct{ Rand *rand.Rand }

// Pick implements Policy.
func (p LeastOutstanding) Pick(_ time.Duration, t *Table, r *Request) int {
	best, ties := -1, 0
	for i := range t.groups {
		switch {
		case t.skipped(i, r):
		case best < 0 || t.groups[i].ownInFlight < t.groups[best].ownInFlight:
			best, ties = i, 1
		case t.groups[i].ownInFlight == t.groups[best].ownInFlight:
			ties++
			if p.Rand.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

// ExpectedDelay chooses by the expected delay of the first token. Of the groups
// whose score is close to the best, it chooses the one with the highest rendezvous
// score for the request. Thus different requests are distributed over the groups,
// and copies of one request go to the same group from every entry instance. For a
// request without a fingerprint it chooses the better of two random groups.
type ExpectedDelay struct{ Rand *rand.Rand }

// Pick implements Policy.
func (p ExpectedDelay) Pick(now time.Duration, t *Table, r *Request) int {
	t.matchPrefixes(now, r.Prefixes)
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
	bound := best + time.Duration(float64(best)*candidateSpread)
	if r.Fingerprint != 0 {
		return pickByRendezvous(t, r.Fingerprint, bound+rendezvousSlack)
	}
	return p.pickBetterOfTwo(t, bound+candidateSlack)
}

// pickByRendezvous returns the group with the highest rendezvous score for a
// request among the groups whose score does not exceed the bound.
func pickByRendezvous(t *Table, f ident.Fingerprint, bound time.Duration) int {
	chosen, highest := -1, uint64(0)
	for i, s := range t.scores {
		if s > bound {
			continue
		}
		if w := rendezvousScore(f, t.terms[i].hash); chosen < 0 || w > highest {
			chosen, highest = i, w
		}
	}
	return chosen
}

// rendezvousScore mixes a fingerprint with the hash of a group ID. Both are
// uniformly distributed; the multiplications are those of splitmix64.
func rendezvousScore(f ident.Fingerprint, hash uint32) uint64 {
	x := uint64(f) ^ uint64(hash)<<32 ^ uint64(hash)
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

// pickBetterOfTwo returns the better of two random groups whose score does not
// exceed the bound.
func (p ExpectedDelay) pickBetterOfTwo(t *Table, bound time.Duration) int {
	candidates := t.candidates[:0]
	for i, s := range t.scores {
		if s <= bound {
			candidates = append(candidates, int32(i))
		}
	}
	a, b := candidates[p.Rand.IntN(len(candidates))], candidates[p.Rand.IntN(len(candidates))]
	if t.scores[b] < t.scores[a] {
		return int(b)
	}
	return int(a)
}
