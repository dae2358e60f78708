package credit

import (
	"math"
	"slices"
	"time"
)

// grant is the allocation and the reserve of one reply. The ends on the holder's
// clock are times of that clock; the ends on the owner's clock are later, by the
// network delay and the allowed drift.
type grant struct {
	seq                 uint64
	amount              Amount
	holderEnd, ownerEnd time.Duration
	reserve             Amount
	reserveHolderEnd    time.Duration
	reserveOwnerEnd     time.Duration
}

// floorSample is a lower bound of a holder's requests in flight, valid up to
// provenUntil. received is when the owner got it.
type floorSample struct {
	received, provenUntil time.Duration
	floor                 int
}

// maxSamples bounds the floor samples of a holder and the pending load reports of
// a ledger.
const maxSamples = 16

// holderAccount is what a ledger records about one holder.
type holderAccount struct {
	inFlight, demand Amount
	target           Amount
	// reportedReserve is the reserve that the holder reported in its last sync.
	reportedReserve    Amount
	reportedReserveEnd time.Duration
	grants             []grant
	floors             []floorSample
	lastSync           time.Duration
	// lastGranted is when the holder last got at least one credit.
	lastGranted time.Duration
	key         holderKey
	// hasReportBound is true if a load report of the engine bounds what the
	// requests of a lost holder can still use.
	hasReportBound bool
	reportBound    Amount
}

// maxInFlight returns an upper bound of what the holder can have in flight.
func (a *holderAccount) maxInFlight(now time.Duration) Amount {
	c := a.inFlight
	var live Amount
	for i := range a.grants {
		g := &a.grants[i]
		c = c.maxWith(g.amount).maxWith(g.reserve)
		if now < g.ownerEnd {
			live = live.maxWith(g.amount)
		}
		if now < g.reserveOwnerEnd {
			live = live.maxWith(g.reserve)
		}
	}
	if now < a.reportedReserveEnd {
		live = live.maxWith(a.reportedReserve)
	}
	if a.hasReportBound {
		c = c.minWith(a.reportBound)
	}
	return c.maxWith(live)
}

// couldNotStartAfter reports whether the holder cannot have started a request
// after the given time, except under its reserve.
func (a *holderAccount) couldNotStartAfter(after time.Duration) bool {
	if a.lastSync > after-AllocationTTL {
		return false
	}
	for i := range a.grants {
		if a.grants[i].ownerEnd > after {
			return false
		}
	}
	return true
}

// dropEndedGrants removes the grants that a sync shows to have ended: a later one
// was acknowledged, or their time was over when the holder sent the sync.
func (a *holderAccount) dropEndedGrants(acked uint64, sent time.Duration) {
	kept := a.grants[:0]
	for _, g := range a.grants {
		if g.seq < acked {
			continue
		}
		if g.holderEnd <= sent {
			g.amount = Amount{}
		}
		if g.reserveHolderEnd <= sent {
			g.reserve = Amount{}
		}
		if !g.amount.isZero() || !g.reserve.isZero() {
			kept = append(kept, g)
		}
	}
	a.grants = kept
	a.hasReportBound = false
}

// addFloorSample adds a sample. If there is no room, it merges the two oldest ones.
func (a *holderAccount) addFloorSample(s floorSample) {
	if len(a.floors) == maxSamples {
		a.floors[1].floor = min(a.floors[0].floor, a.floors[1].floor)
		a.floors = append(a.floors[:0], a.floors[1:]...)
	}
	a.floors = append(a.floors, s)
}

// floorBetween returns a lower bound of the requests in flight during the whole
// period, or 0 if the samples do not cover the period.
func (a *holderAccount) floorBetween(from, to time.Duration) int {
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

// lowerReportBound limits the requests that a lost holder can still have in
// flight. It never raises an earlier bound.
func (a *holderAccount) lowerReportBound(requests int) {
	b := Amount{Requests: requests}
	if requests > 0 {
		b.Tokens = math.MaxInt
	}
	if a.hasReportBound {
		b = b.minWith(a.reportBound)
	}
	a.hasReportBound, a.reportBound = true, b
}

// ledger records the allocations and the usage of one incarnation of one backend
// server.
type ledger struct {
	incarnation  string
	limits       Limits
	cold         bool
	rampEnd      time.Duration
	lastPollSent time.Duration
	running      int // requests in the last load report
	// grantsPaused stops grants after a holder observed a restart or a cold start.
	// A poll sent after grantsPausedAt resumes them.
	grantsPaused   bool
	grantsPausedAt time.Duration
	// removed is true after the backend server left the service. The ledger then
	// grants nothing and is deleted when no request can be running.
	removed bool

	byHolder map[holderKey]*holderAccount
	// accounts are the values of byHolder in a slice, because each sync iterates
	// over all of them.
	accounts []*holderAccount
	// unknownHolders counts the requests of entry instances that have not synced
	// with this owner. It is nil unless an earlier owner may have granted credits
	// for this incarnation.
	unknownHolders *holderAccount
	// unknownReservesEnd is when all reserves granted by earlier owners have ended.
	unknownReservesEnd time.Duration

	pendingReports []Report
	// liveBuffer and buffers are reused by setTargets.
	liveBuffer []*holderAccount
	buffers    shareBuffers

	exclusiveHolder holderKey
	exclusiveEnd    time.Duration
}

// limit returns the limit of the backend server at the given time. During the
// ramp, the number of requests grows linearly from the cold to the full limit.
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

// setCold stores whether the backend server is cold and starts the ramp when it
// becomes warm.
func (l *ledger) setCold(now time.Duration, cold bool) {
	if l.cold && !cold {
		l.rampEnd = now + l.limits.ColdRamp
	}
	l.cold = cold
}

// warm reports whether the ramp is over. Reserves are granted only then.
func (l *ledger) warm(now time.Duration) bool {
	return !l.cold && now >= l.rampEnd
}

// othersMaxInFlight returns an upper bound of what all holders except self can
// have in flight, including holders that this owner does not know.
func (l *ledger) othersMaxInFlight(now time.Duration, self holderKey) Amount {
	var sum, reserves Amount
	for _, a := range l.accounts {
		if a.key != self {
			sum = sum.add(a.maxInFlight(now))
		}
		reserves = reserves.add(a.reportedReserve)
	}
	return sum.add(l.unattributed(now, reserves))
}

// unattributed returns an upper bound of what holders unknown to this owner can
// have in flight from grants of an earlier owner: running requests, and reserves
// in addition to the reported ones.
func (l *ledger) unattributed(now time.Duration, reserves Amount) Amount {
	var sum Amount
	if l.unknownHolders != nil {
		sum = l.unknownHolders.maxInFlight(now)
	}
	if now < l.unknownReservesEnd {
		half := Amount{l.limits.Requests / 2, l.limits.HeldTokens / 2}
		sum = sum.add(half.sub(reserves))
	}
	return sum
}

// applyReports reconciles the load reports of the engine with the usage that the
// holders report, and removes the accounts of lost holders that can run nothing.
// The requests that the engine runs in addition to the floors of the live
// holders are the most that lost holders can still have in flight.
func (l *ledger) applyReports(now time.Duration) {
	for len(l.pendingReports) > 0 && l.readyToReconcile(now, l.pendingReports[0].Received) {
		r := l.pendingReports[0]
		l.pendingReports = l.pendingReports[1:]
		l.applyReport(r)
	}
	if l.unknownHolders != nil && l.unknownHolders.maxInFlight(now).Requests == 0 {
		l.unknownHolders = nil
	}
	l.accounts = slices.DeleteFunc(l.accounts, func(a *holderAccount) bool {
		silent := now - a.lastSync
		gone := silent > liveTimeout && (silent > l.lostRequestTTL() || a.maxInFlight(now).Requests == 0)
		if gone {
			delete(l.byHolder, a.key)
		}
		return gone
	})
}

// lostRequestTTL returns how long the requests of a lost entry instance count if
// no load report shows that they ended.
func (l *ledger) lostRequestTTL() time.Duration {
	if l.limits.LongestRequest > 0 {
		return max(l.limits.LongestRequest, withDrift(ReserveTTL))
	}
	return defaultLostRequestTTL
}

// readyToReconcile reports whether the floors of all live holders are proven up to
// the given time, or reconcileDelay has passed since.
func (l *ledger) readyToReconcile(now, until time.Duration) bool {
	if now >= until+reconcileDelay {
		return true
	}
	for _, a := range l.accounts {
		if now-a.lastSync > liveTimeout {
			continue
		}
		if n := len(a.floors); n == 0 || a.floors[n-1].provenUntil < until {
			return false
		}
	}
	return true
}

// applyReport bounds what lost holders can still have in flight by one load report.
func (l *ledger) applyReport(r Report) {
	from := r.Sent - maxReportAge
	unaccounted := r.Running
	for _, a := range l.accounts {
		unaccounted -= a.floorBetween(from, r.Received)
	}
	unaccounted = max(0, unaccounted)
	for _, a := range l.accounts {
		if a.couldNotStartAfter(from) {
			a.lowerReportBound(unaccounted)
		}
	}
	if l.unknownHolders != nil && l.unknownHolders.couldNotStartAfter(from) {
		l.unknownHolders.lowerReportBound(unaccounted)
	}
}

// account returns the account of a holder and creates it if there is none.
func (l *ledger) account(key holderKey) *holderAccount {
	a, ok := l.byHolder[key]
	if !ok {
		a = &holderAccount{key: key}
		l.byHolder[key] = a
		l.accounts = append(l.accounts, a)
	}
	return a
}

// claimExclusive grants, renews or ends the exclusive claim of a holder. At most
// one holder at a time may run a suspect: a request that is suspected of crashing
// backend servers.
func (l *ledger) claimExclusive(now time.Duration, key holderKey, want bool) {
	mine := l.exclusiveHolder == key && now < l.exclusiveEnd
	switch {
	case want && (mine || now >= l.exclusiveEnd):
		l.exclusiveHolder, l.exclusiveEnd = key, now+exclusiveTTL
	case !want && mine:
		l.exclusiveEnd = now
	}
}

// anotherHolderWaits reports whether requests of another holder wait for credits.
func (l *ledger) anotherHolderWaits(self holderKey) bool {
	for _, a := range l.accounts {
		if a.key != self && a.demand.Requests > a.inFlight.Requests {
			return true
		}
	}
	return false
}
