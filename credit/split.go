package credit

import (
	"cmp"
	"slices"
	"sort"
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
	for key, a := range l.accounts {
		a.target, a.key = Amount{}, key
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
	slices.SortFunc(live, func(a, b *account) int {
		return cmp.Or(cmp.Compare(a.granted, b.granted), strings.Compare(string(a.key.entry), string(b.key.entry)),
			strings.Compare(string(a.key.incarnation), string(b.key.incarnation)))
	})
	requests, tokens := make([]int, len(live)), make([]int, len(live))
	for i, a := range live {
		requests[i], tokens[i] = a.demand.Requests, a.demand.Tokens
	}
	fairShares(shared.Requests, requests)
	fairShares(shared.Tokens, tokens)
	for i, a := range live {
		a.target = Amount{requests[i], tokens[i]}
	}
}

// fairShares replaces demands by max-min fair shares of a limit.
func fairShares(limit int, demands []int) {
	sorted := append([]int(nil), demands...)
	sort.Ints(sorted)
	left, n := limit, len(sorted)
	level, extra := 0, 0
	for i, d := range sorted {
		share := left / (n - i)
		if d >= share {
			// All from here on want at least the share; the remainder goes to
			// the first ones, so that a limit below their number is used.
			level, extra = share, left%(n-i)
			left = 0
			break
		}
		level = d
		left -= d
	}
	spare := left / n
	for i, d := range demands {
		got := min(d, level)
		if d > level && extra > 0 {
			got++
			extra--
		}
		demands[i] = got + spare
	}
}

// reserveShare is one live entry's part of the reserve.
func (l *ledger) reserveShare(now time.Duration) Amount {
	n := 0
	for _, a := range l.accounts {
		if now-a.lastSync <= liveWindow {
			n++
		}
	}
	if n == 0 || !l.warm(now) {
		return Amount{}
	}
	return Amount{l.limits.Requests / 2 / n, l.limits.HeldTokens / 2 / n}
}
