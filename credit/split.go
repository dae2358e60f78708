package credit

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// divide sets the target of each live account: max-min fair by demand, then an
// equal part of what nobody asked for. The remainder of that part stays with
// the owner, so that a low limit is free for the first entry that needs it. What
// the remainder of a fair share cannot give to all goes to those first whose
// last credit is the oldest.
func (l *ledger) divide(now time.Duration) {
	live := l.order[:0]
	shared := l.limit(now)
	var reserves Amount
	for _, a := range l.list {
		a.target = Amount{}
		reserves = reserves.add(a.reserved)
		if now-a.lastSync <= liveWindow {
			live = append(live, a)
		} else {
			shared = shared.sub(a.charge(now))
		}
	}
	l.order = live
	if len(live) == 0 {
		return
	}
	shared = shared.sub(l.unattributed(now, reserves))
	requests, tokens := l.scratch.amounts(live)
	byRequests, byTokens := l.scratch.shares(shared.Requests, requests), l.scratch.shares(shared.Tokens, tokens)
	if byRequests.extra > 0 || byTokens.extra > 0 {
		// Only what cannot be divided depends on the order.
		slices.SortFunc(live, func(a, b *account) int {
			return cmp.Or(cmp.Compare(a.granted, b.granted), strings.Compare(string(a.key.entry), string(b.key.entry)),
				strings.Compare(string(a.key.incarnation), string(b.key.incarnation)))
		})
	}
	for _, a := range live {
		a.target = Amount{byRequests.next(a.demand.Requests), byTokens.next(a.demand.Tokens)}
	}
}

// scratch is the space of a division.
type scratch struct{ requests, tokens, sorted []int }

// amounts returns the demands of accounts.
func (s *scratch) amounts(live []*account) ([]int, []int) {
	s.requests, s.tokens = s.requests[:0], s.tokens[:0]
	for _, a := range live {
		s.requests, s.tokens = append(s.requests, a.demand.Requests), append(s.tokens, a.demand.Tokens)
	}
	return s.requests, s.tokens
}

// fairShares are max-min fair shares of a limit by demand. Whoever wants more
// than the level gets the level, and the first ones of them one more each.
type fairShares struct{ level, extra, spare int }

func (s *scratch) shares(limit int, demands []int) fairShares {
	s.sorted = append(s.sorted[:0], demands...)
	slices.Sort(s.sorted)
	var out fairShares
	left, n := limit, len(demands)
	for i, d := range s.sorted {
		share := left / (n - i)
		if d >= share {
			// All from here on want at least the share; the remainder goes to
			// the first ones, so that a limit below their number is used.
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

// next is the share of the next demand.
func (f *fairShares) next(demand int) int {
	got := min(demand, f.level)
	if demand > f.level && f.extra > 0 {
		got++
		f.extra--
	}
	return got + f.spare
}

// reserveShare is one live entry's part of the reserve.
func (l *ledger) reserveShare(now time.Duration) Amount {
	n := 0
	for _, a := range l.list {
		if now-a.lastSync <= liveWindow {
			n++
		}
	}
	if n == 0 || !l.warm(now) {
		return Amount{}
	}
	return Amount{l.limits.Requests / 2 / n, l.limits.HeldTokens / 2 / n}
}
