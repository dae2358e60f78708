package credit

import (
	"math"
	"slices"
	"time"
)

// grant is one reply's allocation and reserve. Its ends are kept on the
// holder's clock and, later by delay and drift, on the owner's.
type grant struct {
	seq            uint64
	amount         Amount
	holderEnd, end time.Duration
	reserve        Amount
	reserveHolder  time.Duration
	reserveEnd     time.Duration
}

// floorSample is a lower bound of the requests in flight up to an instant.
type floorSample struct {
	received, provenUntil time.Duration
	floor                 int
}

// maxSamples bounds the floor samples and the load reports that are kept.
const maxSamples = 16

// account is the part of one entry incarnation in one ledger.
type account struct {
	inFlight, demand Amount
	target           Amount
	// reserved is the reserve that the holder reported.
	reserved    Amount
	reservedEnd time.Duration
	grants      []grant
	floors      []floorSample
	lastSync    time.Duration
	// granted is when the account last had an allocation.
	granted time.Duration
	key     holderKey
	// bounded is set when the engine's report bounds what still runs.
	bounded bool
	bound   Amount
}

// charge is the most that the entry instance can hold in flight.
func (a *account) charge(now time.Duration) Amount {
	c := a.inFlight
	var live Amount
	for i := range a.grants {
		g := &a.grants[i]
		c = c.most(g.amount).most(g.reserve)
		if now < g.end {
			live = live.most(g.amount)
		}
		if now < g.reserveEnd {
			live = live.most(g.reserve)
		}
	}
	if now < a.reservedEnd {
		live = live.most(a.reserved)
	}
	if a.bounded {
		c = c.least(a.bound)
	}
	return c.most(live)
}

// lost reports whether the account started no request after an instant, other
// than under its reserve.
func (a *account) lost(since time.Duration) bool {
	if a.lastSync > since-AllocationTTL {
		return false
	}
	for i := range a.grants {
		if a.grants[i].end > since {
			return false
		}
	}
	return true
}

// settle drops the grants that a sync proves to have ended.
func (a *account) settle(acked uint64, sent time.Duration) {
	kept := a.grants[:0]
	for _, g := range a.grants {
		if g.seq < acked {
			continue
		}
		if g.holderEnd <= sent {
			g.amount = Amount{}
		}
		if g.reserveHolder <= sent {
			g.reserve = Amount{}
		}
		if !g.amount.zero() || !g.reserve.zero() {
			kept = append(kept, g)
		}
	}
	a.grants = kept
	a.bounded = false
}

func (a *account) sample(s floorSample) {
	if len(a.floors) == maxSamples {
		a.floors[1].floor = min(a.floors[0].floor, a.floors[1].floor)
		a.floors = append(a.floors[:0], a.floors[1:]...)
	}
	a.floors = append(a.floors, s)
}

// floorBetween is a lower bound of the requests in flight at every instant of
// a span, or 0 when the samples do not cover it.
func (a *account) floorBetween(from, to time.Duration) int {
	least, covered := -1, false
	for _, s := range a.floors {
		if s.received < from {
			continue
		}
		if least < 0 || s.floor < least {
			least = s.floor
		}
		covered = covered || s.provenUntil >= to
	}
	if !covered {
		return 0
	}
	return max(0, least)
}

// limitTo lowers the bound of a lost account.
func (a *account) limitTo(requests int) {
	b := Amount{Requests: requests}
	if requests > 0 {
		b.Tokens = math.MaxInt
	}
	if a.bounded {
		b = b.least(a.bound)
	}
	a.bounded, a.bound = true, b
}

// ledger is the owner's account of one incarnation of one backend server.
type ledger struct {
	incarnation string
	limits      Limits
	cold        bool
	rampEnd     time.Duration
	lastPoll    time.Duration
	running     int // in the last report
	// frozen stops grants until a poll sent after frozenAt shows the true state.
	frozen   bool
	frozenAt time.Duration
	// gone ledgers grant nothing; they end when nothing can run any more.
	gone bool

	accounts map[holderKey]*account
	// list holds the accounts, because each exchange passes over all of them.
	list []*account
	// unknown stands for requests of entry instances that this owner never
	// heard of; it exists on ledgers that an earlier owner may have used.
	unknown *account
	// strayEnd is the end of reserves that an earlier owner gave.
	strayEnd time.Duration

	reports []Report
	order   []*account // scratch
	scratch scratch

	exclusive      holderKey
	exclusiveUntil time.Duration
}

// limit is what the backend server bears at an instant.
func (l *ledger) limit(now time.Duration) Amount {
	full := Amount{l.limits.Requests, l.limits.HeldTokens}
	cold := Amount{min(l.limits.ColdRequests, full.Requests), full.Tokens}
	if l.cold {
		return cold
	}
	if left := l.rampEnd - now; left > 0 && l.limits.ColdRamp > 0 {
		grown := float64(full.Requests-cold.Requests) * (1 - float64(left)/float64(l.limits.ColdRamp))
		return Amount{cold.Requests + int(grown), full.Tokens}
	}
	return full
}

// setCold starts the ramp when the backend server turns warm.
func (l *ledger) setCold(now time.Duration, cold bool) {
	if l.cold && !cold {
		l.rampEnd = now + l.limits.ColdRamp
	}
	l.cold = cold
}

// warm reports whether reserves may be given.
func (l *ledger) warm(now time.Duration) bool {
	return !l.cold && now >= l.rampEnd
}

// othersCharge sums what everyone but one holder can have in flight.
func (l *ledger) othersCharge(now time.Duration, self holderKey) Amount {
	var sum, reserves Amount
	for _, a := range l.list {
		if a.key != self {
			sum = sum.add(a.charge(now))
		}
		reserves = reserves.add(a.reserved)
	}
	return sum.add(l.unattributed(now, reserves))
}

// unattributed is what an earlier owner gave to holders that this one does not
// know: running requests, and reserves beyond those that were reported.
func (l *ledger) unattributed(now time.Duration, reserves Amount) Amount {
	var sum Amount
	if l.unknown != nil {
		sum = l.unknown.charge(now)
	}
	if now < l.strayEnd {
		half := Amount{l.limits.Requests / 2, l.limits.HeldTokens / 2}
		sum = sum.add(half.sub(reserves))
	}
	return sum
}

// applyReports compares settled engine reports with the entry instances' own.
// What the engine runs beyond the live entries' floors is all that lost ones
// can still have.
func (l *ledger) applyReports(now time.Duration) {
	for len(l.reports) > 0 && l.settled(now, l.reports[0].Received) {
		r := l.reports[0]
		l.reports = l.reports[1:]
		l.applyReport(r)
	}
	if l.unknown != nil && l.unknown.charge(now).Requests == 0 {
		l.unknown = nil
	}
	l.list = slices.DeleteFunc(l.list, func(a *account) bool {
		silent := now - a.lastSync
		gone := silent > liveWindow && (silent > l.longest() || a.charge(now).Requests == 0)
		if gone {
			delete(l.accounts, a.key)
		}
		return gone
	})
}

// longest is how long a lost entry's requests count without proof.
func (l *ledger) longest() time.Duration {
	if l.limits.LongestRequest > 0 {
		return max(l.limits.LongestRequest, withDrift(ReserveTTL))
	}
	return lostEntryLimit
}

// settled reports whether all live accounts proved their numbers up to an
// instant, or had the time to do so.
func (l *ledger) settled(now, until time.Duration) bool {
	if now >= until+settleTime {
		return true
	}
	for _, a := range l.list {
		if now-a.lastSync > liveWindow {
			continue
		}
		if n := len(a.floors); n == 0 || a.floors[n-1].provenUntil < until {
			return false
		}
	}
	return true
}

func (l *ledger) applyReport(r Report) {
	from := r.Sent - reportLag
	rest := r.Running
	for _, a := range l.list {
		rest -= a.floorBetween(from, r.Received)
	}
	rest = max(0, rest)
	for _, a := range l.list {
		if a.lost(from) {
			a.limitTo(rest)
		}
	}
	if l.unknown != nil && l.unknown.lost(from) {
		l.unknown.limitTo(rest)
	}
}

func (l *ledger) account(key holderKey) *account {
	a, ok := l.accounts[key]
	if !ok {
		a = &account{key: key}
		l.accounts[key] = a
		l.list = append(l.list, a)
	}
	return a
}

// claimExclusive lets one holder at a time run a suspect.
func (l *ledger) claimExclusive(now time.Duration, key holderKey, want bool) {
	mine := l.exclusive == key && now < l.exclusiveUntil
	switch {
	case want && (mine || now >= l.exclusiveUntil):
		l.exclusive, l.exclusiveUntil = key, now+exclusiveTTL
	case !want && mine:
		l.exclusiveUntil = now
	}
}

func (l *ledger) someoneWaits(self holderKey) bool {
	for _, a := range l.list {
		if a.key != self && a.demand.Requests > a.inFlight.Requests {
			return true
		}
	}
	return false
}
