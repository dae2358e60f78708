package credit

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Limits are the limits of one backend server.
type Limits struct {
	Requests, ColdRequests, HeldTokens int
	ColdRamp                           time.Duration
	// LongestRequest is how long requests of a lost entry instance count when
	// no load report shows that they ended. 0 means defaultLostRequestTTL.
	LongestRequest time.Duration
}

// Event is an input of Owner.Step: Report, BackendRemoved or Sync.
type Event interface{ isEvent() }

// Report is the result of the owner's poll of a backend server. Incarnation
// of a group changes if its epoch or the incarnation of any member changes. Plain
// backend servers are not polled: their Report is derived from the service
// document, and Polled is false.
type Report struct {
	Backend     BackendID
	Incarnation string
	Limits      Limits
	Cold        bool
	Polled      bool
	Running     int
	// Sent and Received are when the poll was sent and when its response arrived.
	Sent, Received time.Duration
}

// BackendRemoved is the event that a backend server left the service.
type BackendRemoved struct{ Backend BackendID }

func (Report) isEvent()         {}
func (BackendRemoved) isEvent() {}
func (Sync) isEvent()           {}

// Action is an output of Owner.Step: Reply.
type Action interface{ isAction() }

func (Reply) isAction() {}

// holderKey identifies one run of an entry instance.
type holderKey struct {
	entry       ident.InstanceID
	incarnation ident.Incarnation
}

// holderState is what the owner keeps about the last syncs of one holder.
type holderState struct {
	lastSeq    uint64
	lastSync   time.Duration
	accounts   []AccountRate
	receivedAt map[uint64]time.Duration
}

// maxReceiptTimes is the number of syncs per holder whose receipt time is kept.
const maxReceiptTimes = 32

// Owner splits the limits of the backend servers of one service among holders.
// The caller serialises its methods.
type Owner struct {
	epoch               ident.Epoch
	started             time.Duration
	ledgers             map[BackendID]*ledger
	retiredIncarnations map[BackendID][]string
	holders             map[holderKey]*holderState
}

// NewOwner returns an owner that acts under the given epoch from the time started
// on. Every earlier owner must have stopped acting by then.
func NewOwner(epoch ident.Epoch, started time.Duration) *Owner {
	return &Owner{
		epoch:               epoch,
		started:             started,
		ledgers:             make(map[BackendID]*ledger),
		retiredIncarnations: make(map[BackendID][]string),
		holders:             make(map[holderKey]*holderState),
	}
}

// Step applies one event. It returns the reply to a Sync, and no action for other
// events.
func (o *Owner) Step(now time.Duration, event Event) []Action {
	switch e := event.(type) {
	case Report:
		o.handleReport(now, e)
	case BackendRemoved:
		if l, ok := o.ledgers[e.Backend]; ok {
			l.removed = true
		}
	case Sync:
		if reply, ok := o.handleSync(now, e); ok {
			return []Action{reply}
		}
	}
	return nil
}

// Recovering reports whether allocations of an earlier owner may still be valid.
func (o *Owner) Recovering(now time.Duration) bool {
	return now < o.started+withDrift(AllocationTTL)
}

// maxRetiredIncarnations is the number of ended incarnations that are kept per
// backend server, to ignore late reports about them.
const maxRetiredIncarnations = 8

func (o *Owner) handleReport(now time.Duration, r Report) {
	l, known := o.ledgers[r.Backend]
	switch {
	case !known:
		l = o.newLedger(now, r)
		l.unknownHolders = &holderAccount{inFlight: Amount{r.Limits.Requests, r.Limits.HeldTokens}, lastSync: o.started}
		if !r.Polled {
			l.unknownHolders = nil
		}
		l.unknownReservesEnd = o.started + withDrift(ReserveTTL)
		o.ledgers[r.Backend] = l
	case r.Polled && r.Sent < l.lastPollSent, o.isRetired(r.Backend, r.Incarnation):
		return
	case r.Incarnation != l.incarnation:
		// The requests of the earlier incarnation ended when it did.
		o.retire(r.Backend, l.incarnation)
		l = o.newLedger(now, r)
		l.cold = true
		o.ledgers[r.Backend] = l
	}
	l.removed = false
	l.limits = r.Limits
	l.lastPollSent, l.running = r.Sent, r.Running
	if l.grantsPaused && r.Sent > l.grantsPausedAt {
		l.grantsPaused = false
	}
	l.setCold(now, r.Cold)
	if r.Polled && len(l.pendingReports) < maxSamples {
		l.pendingReports = append(l.pendingReports, r)
	}
	l.applyReports(now)
}

func (o *Owner) newLedger(now time.Duration, r Report) *ledger {
	return &ledger{
		incarnation: r.Incarnation,
		limits:      r.Limits,
		rampEnd:     now,
		cold:        r.Cold,
		byHolder:    make(map[holderKey]*holderAccount),
	}
}

func (o *Owner) retire(b BackendID, incarnation string) {
	list := append(o.retiredIncarnations[b], incarnation)
	if len(list) > maxRetiredIncarnations {
		list = list[1:]
	}
	o.retiredIncarnations[b] = list
}

func (o *Owner) isRetired(b BackendID, incarnation string) bool {
	for _, i := range o.retiredIncarnations[b] {
		if i == incarnation {
			return true
		}
	}
	return false
}

// handleSync applies a sync and returns the reply. It returns false if a later
// sync was handled already, because the usage in s is out of date.
func (o *Owner) handleSync(now time.Duration, s Sync) (Reply, bool) {
	key := holderKey{s.Entry, s.Incarnation}
	st, ok := o.holders[key]
	if !ok {
		st = &holderState{receivedAt: make(map[uint64]time.Duration)}
		o.holders[key] = st
	}
	if s.Seq <= st.lastSeq {
		return Reply{}, false
	}
	st.lastSeq, st.lastSync, st.accounts = s.Seq, now, s.Accounts
	st.receivedAt[s.Seq] = now
	delete(st.receivedAt, s.Seq-maxReceiptTimes)
	acked := uint64(0)
	if s.Epoch == o.epoch {
		acked = s.Acked
	}
	ackedReceivedAt := st.receivedAt[acked]
	reply := Reply{Epoch: o.epoch, Seq: s.Seq, Recovering: o.Recovering(now)}
	for _, u := range s.Usage {
		if a, ok := o.allocate(now, key, s, u, acked, ackedReceivedAt, &reply); ok {
			reply.Allocations = append(reply.Allocations, a)
		}
	}
	reply.Accounts, reply.LiveEntries = o.otherAccountRates(now, key)
	o.removeStale(now)
	return reply, true
}

// allocate applies the usage of one backend server and returns the next
// allocation. It returns false if the backend server is unknown or the owner is
// recovering.
func (o *Owner) allocate(now time.Duration, key holderKey, s Sync, u Usage, acked uint64, ackedReceivedAt time.Duration, reply *Reply) (Allocation, bool) {
	l, ok := o.ledgers[u.Backend]
	if !ok {
		return Allocation{}, false
	}
	if u.Changed && now-u.ChangedAge > l.lastPollSent && !l.grantsPaused {
		l.grantsPaused, l.grantsPausedAt = true, now
	}
	a := l.account(key)
	a.lastSync = now
	a.dropEndedGrants(acked, s.Sent)
	if u.Incarnation == l.incarnation {
		a.applyUsage(now, u, ackedReceivedAt)
		if u.RampLeft > 0 && now < o.started+withDrift(ReserveTTL) {
			l.rampEnd = max(l.rampEnd, now+min(u.RampLeft, l.limits.ColdRamp))
		}
	}
	a.demand = u.Demand
	l.applyReports(now)
	l.claimExclusive(now, key, u.Exclusive)
	if reply.Recovering {
		return Allocation{}, false
	}
	return l.grant(now, u.Backend, key, a, s, reply), true
}

// applyUsage stores the usage that a holder reports.
func (a *holderAccount) applyUsage(now time.Duration, u Usage, ackedReceivedAt time.Duration) {
	a.inFlight = u.InFlight
	a.addFloorSample(floorSample{received: now, provenUntil: ackedReceivedAt, floor: u.Floor})
	a.reportedReserve, a.reportedReserveEnd = Amount{}, 0
	if u.ReserveLeft > 0 {
		a.reportedReserve, a.reportedReserveEnd = u.Reserve, now+withDrift(u.ReserveLeft)
	}
}

// grant computes and records the next allocation of one holder.
func (l *ledger) grant(now time.Duration, b BackendID, key holderKey, a *holderAccount, s Sync, reply *Reply) Allocation {
	out := Allocation{Backend: b, Incarnation: l.incarnation, Cold: l.cold, RampLeft: max(0, l.rampEnd-now)}
	l.setTargets(now)
	free := l.limit(now).sub(l.othersMaxInFlight(now, key))
	want := a.target
	if now < l.exclusiveEnd && l.exclusiveHolder == key {
		// The isolated run of a suspect request (see package quarantine) needs one
		// request more than are in flight.
		want = want.maxWith(Amount{a.inFlight.Requests + 1, a.inFlight.Tokens + free.Tokens/2})
		out.Exclusive = true
	}
	if l.grantsPaused || l.removed {
		want = Amount{}
	}
	out.Amount = want.minWith(free)
	if out.Amount.Requests > 0 {
		a.lastGranted = now
	}
	out.Exclusive = out.Exclusive && out.Amount.Requests > 0
	g := grant{
		seq: s.Seq, amount: out.Amount,
		holderEnd: s.Sent + AllocationTTL, ownerEnd: now + withDrift(AllocationTTL),
	}
	if now < l.unknownReservesEnd {
		out.KeepReserve = l.warm(now) && !l.grantsPaused
		if out.KeepReserve {
			g.reserve = a.reportedReserve
		}
	} else if !l.grantsPaused && !l.removed {
		g.reserve = l.reserveShare(now).minWith(free)
	}
	out.Reserve = g.reserve
	g.reserveHolderEnd, g.reserveOwnerEnd = s.Sent+ReserveTTL, now+withDrift(ReserveTTL)
	if last := len(a.grants) - 1; last >= 0 && out.Amount.Requests < a.grants[last].amount.Requests {
		reply.Resync = reply.Resync || l.anotherHolderWaits(key)
	}
	a.grants = append(a.grants, g)
	return out
}

// removeStale deletes the ledgers of backend servers that left the service, once
// no request can be running there, and the state of holders that stopped syncing.
// A holder is kept long enough for any delayed sync to arrive, because its
// sequence numbers restart only with its next incarnation.
func (o *Owner) removeStale(now time.Duration) {
	for b, l := range o.ledgers {
		// The empty key excludes no holder.
		if l.removed && l.othersMaxInFlight(now, holderKey{}).isZero() {
			delete(o.ledgers, b)
			delete(o.retiredIncarnations, b)
		}
	}
	for key, st := range o.holders {
		if now-st.lastSync > defaultLostRequestTTL {
			delete(o.holders, key)
		}
	}
}
