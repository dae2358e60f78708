package credit

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// setTargets sets the target of each live holder to its max-min fair share by
// demand, plus an equal part of what exceeds the total demand. The remainder of
// the equal parts is not allocated, so that under a low limit it is free for the
// first entry instance that needs it. The remainder of the fair shares goes to the
// holders that have been without a new credit for the longest time.
func (l *ledger) setTargets(now time.Duration) {
	live := l.liveBuffer[:0]
	shared := l.limit(now)
	var reserves Amount
	for _, a := range l.accounts {
		a.target = Amount{}
		reserves = reserves.add(a.reportedReserve)
		if now-a.lastSync <= liveTimeout {
			live = append(live, a)
		} else {
			shared = shared.sub(a.maxInFlight(now))
		}
	}
	l.liveBuffer = live
	if len(live) == 0 {
		return
	}
	shared = shared.sub(l.unattributed(now, reserves))
	requests, tokens := l.buffers.demands(live)
	byRequests, byTokens := l.buffers.maxMinShares(shared.Requests, requests), l.buffers.maxMinShares(shared.Tokens, tokens)
	if byRequests.extra > 0 || byTokens.extra > 0 {
		// Only the remainder of the division depends on the order.
		slices.SortFunc(live, func(a, b *holderAccount) int {
			return cmp.Or(cmp.Compare(a.lastGranted, b.lastGranted), strings.Compare(string(a.key.entry), string(b.key.entry)),
				strings.Compare(string(a.key.incarnation), string(b.key.incarnation)))
		})
	}
	for _, a := range live {
		a.target = Amount{byRequests.next(a.demand.Requests), byTokens.next(a.demand.Tokens)}
	}
}

// shareBuffers holds slices that setTargets reuses.
type shareBuffers struct{ requests, tokens, sorted []int }

// demands returns the demanded requests and tokens of the holders.
func (s *shareBuffers) demands(live []*holderAccount) ([]int, []int) {
	s.requests, s.tokens = s.requests[:0], s.tokens[:0]
	for _, a := range live {
		s.requests, s.tokens = append(s.requests, a.demand.Requests), append(s.tokens, a.demand.Tokens)
	}
	return s.requests, s.tokens
}

// fairShares are max-min fair shares of a limit by demand. A demand up to
// level gets what it asks for, a larger one gets level. The first of the larger
// ones, extra in number, get one more. Each share also gets spare, an equal part of
// what exceeds the total demand.
type fairShares struct{ level, extra, spare int }

// maxMinShares computes the fair shares of a limit. demands must not be empty.
func (s *shareBuffers) maxMinShares(limit int, demands []int) fairShares {
	s.sorted = append(s.sorted[:0], demands...)
	slices.Sort(s.sorted)
	var out fairShares
	left, n := limit, len(demands)
	for i, d := range s.sorted {
		share := left / (n - i)
		if d >= share {
			// This demand and all further ones are at least the share. The
			// remainder goes to the first of them that exceed it, so that a limit
			// below their number is used up.
			out.level, out.extra = share, left%(n-i)
			left = 0
			break
		}
		out.level = d
		left -= d
	}
	out.spare = left / n
	return out
}

// next returns the share of the next demand.
func (f *fairShares) next(demand int) int {
	got := min(demand, f.level)
	if demand > f.level && f.extra > 0 {
		got++
		f.extra--
	}
	return got + f.spare
}

// reserveShare returns the reserve of each live holder: an equal part of half the
// limit, or nothing before the ramp is over.
func (l *ledger) reserveShare(now time.Duration) Amount {
	n := 0
	for _, a := range l.accounts {
		if now-a.lastSync <= liveTimeout {
			n++
		}
	}
	if n == 0 || !l.warm(now) {
		return Amount{}
	}
	return Amount{l.limits.Requests / 2 / n, l.limits.HeldTokens / 2 / n}
}
