package credit

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Limits are what one backend server bears.
type Limits struct {
	Requests, ColdRequests, HeldTokens int
	ColdRamp                           time.Duration
	// LongestRequest is how long requests of a lost entry instance count when
	// no load report proves that they ended. 0 means lostEntryLimit.
	LongestRequest time.Duration
}

// Event is an input of the Owner: Report, BackendRemoved or Sync.
type Event interface{ isEvent() }

// Report is a poll of a backend server by the owner. Incarnation covers all
// members of a group. Plain backend servers have no poll; their Report is made
// from the service document and leaves Polled false.
type Report struct {
	Backend     BackendID
	Incarnation string
	Limits      Limits
	Cold        bool
	Polled      bool
	Running     int
	// Sent and Received are when the poll was sent and answered.
	Sent, Received time.Duration
}

// BackendRemoved tells that a backend server left the service.
type BackendRemoved struct{ Backend BackendID }

func (Report) isEvent()         {}
func (BackendRemoved) isEvent() {}
func (Sync) isEvent()           {}

// Action is an output of the Owner: Reply.
type Action interface{ isAction() }

func (Reply) isAction() {}

// holderKey is one run of one entry instance.
type holderKey struct {
	entry       ident.InstanceID
	incarnation ident.Incarnation
}

// syncState orders the syncs of one holder.
type syncState struct {
	seq      uint64
	last     time.Duration
	accounts []AccountRate
	received map[uint64]time.Duration
}

// maxRemembered bounds the remembered receipt times per holder.
const maxRemembered = 32

// Owner splits the limits of one service's backend servers.
type Owner struct {
	epoch   ident.Epoch
	started time.Duration
	ledgers map[BackendID]*ledger
	retired map[BackendID][]string
	holders map[holderKey]*syncState
}

// NewOwner returns the owner that holds the service's lease under an epoch
// since an instant. By then the lease of any earlier owner had ended.
func NewOwner(epoch ident.Epoch, started time.Duration) *Owner {
	return &Owner{
		epoch:   epoch,
		started: started,
		ledgers: make(map[BackendID]*ledger),
		retired: make(map[BackendID][]string),
		holders: make(map[holderKey]*syncState),
	}
}

// Step applies one event.
func (o *Owner) Step(now time.Duration, event Event) []Action {
	switch e := event.(type) {
	case Report:
		o.report(now, e)
	case BackendRemoved:
		if l, ok := o.ledgers[e.Backend]; ok {
			l.gone = true
		}
	case Sync:
		if reply, ok := o.sync(now, e); ok {
			return []Action{reply}
		}
	}
	return nil
}

// Recovering reports whether allocations of an earlier owner may be in force.
func (o *Owner) Recovering(now time.Duration) bool {
	return now < o.started+withDrift(AllocationTTL)
}

// maxRetired bounds the remembered incarnations per backend server.
const maxRetired = 8

func (o *Owner) report(now time.Duration, r Report) {
	l, known := o.ledgers[r.Backend]
	switch {
	case !known:
		l = o.newLedger(now, r)
		l.unknown = &account{inFlight: Amount{r.Limits.Requests, r.Limits.HeldTokens}, lastSync: o.started}
		if !r.Polled {
			l.unknown = nil
		}
		l.strayEnd = o.started + withDrift(ReserveTTL)
		o.ledgers[r.Backend] = l
	case r.Polled && r.Sent < l.lastPoll, o.isRetired(r.Backend, r.Incarnation):
		return
	case r.Incarnation != l.incarnation:
		// Requests of the earlier incarnation ended with it.
		o.retire(r.Backend, l.incarnation)
		l = o.newLedger(now, r)
		l.cold = true
		o.ledgers[r.Backend] = l
	}
	l.gone = false
	l.limits = r.Limits
	l.lastPoll, l.running = r.Sent, r.Running
	if l.frozen && r.Sent > l.frozenAt {
		l.frozen = false
	}
	l.setCold(now, r.Cold)
	if r.Polled && len(l.reports) < maxSamples {
		l.reports = append(l.reports, r)
	}
	l.applyReports(now)
}

func (o *Owner) newLedger(now time.Duration, r Report) *ledger {
	return &ledger{
		incarnation: r.Incarnation,
		limits:      r.Limits,
		rampEnd:     now,
		cold:        r.Cold,
		accounts:    make(map[holderKey]*account),
	}
}

func (o *Owner) retire(b BackendID, incarnation string) {
	list := append(o.retired[b], incarnation)
	if len(list) > maxRetired {
		list = list[1:]
	}
	o.retired[b] = list
}

func (o *Owner) isRetired(b BackendID, incarnation string) bool {
	for _, i := range o.retired[b] {
		if i == incarnation {
			return true
		}
	}
	return false
}

// sync applies a holder's message. A message overtaken by a later one has no
// reply, because its numbers are out of date.
func (o *Owner) sync(now time.Duration, s Sync) (Reply, bool) {
	key := holderKey{s.Entry, s.Incarnation}
	st, ok := o.holders[key]
	if !ok {
		st = &syncState{received: make(map[uint64]time.Duration)}
		o.holders[key] = st
	}
	if s.Seq <= st.seq {
		return Reply{}, false
	}
	st.seq, st.last, st.accounts = s.Seq, now, s.Accounts
	st.received[s.Seq] = now
	delete(st.received, s.Seq-maxRemembered)
	acked := uint64(0)
	if s.Epoch == o.epoch {
		acked = s.Acked
	}
	proven := st.received[acked]
	reply := Reply{Epoch: o.epoch, Seq: s.Seq, Recovering: o.Recovering(now)}
	for _, u := range s.Usage {
		if a, ok := o.allocate(now, key, s, u, acked, proven, &reply); ok {
			reply.Allocations = append(reply.Allocations, a)
		}
	}
	reply.Accounts, reply.LiveEntries = o.others(now, key)
	o.forget(now)
	return reply, true
}

// allocate counts one usage and grants its next allocation.
func (o *Owner) allocate(now time.Duration, key holderKey, s Sync, u Usage, acked uint64, proven time.Duration, reply *Reply) (Allocation, bool) {
	l, ok := o.ledgers[u.Backend]
	if !ok {
		return Allocation{}, false
	}
	if u.Changed && now-u.ChangedAge > l.lastPoll && !l.frozen {
		l.frozen, l.frozenAt = true, now
	}
	a := l.account(key)
	a.lastSync = now
	a.settle(acked, s.Sent)
	if u.Incarnation == l.incarnation {
		a.count(now, u, proven)
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

// count stores what the holder reports.
func (a *account) count(now time.Duration, u Usage, proven time.Duration) {
	a.inFlight = u.InFlight
	a.sample(floorSample{received: now, provenUntil: proven, floor: u.Floor})
	a.reserved, a.reservedEnd = Amount{}, 0
	if u.ReserveLeft > 0 {
		a.reserved, a.reservedEnd = u.Reserve, now+withDrift(u.ReserveLeft)
	}
}

// grant computes and records the next allocation of one account.
func (l *ledger) grant(now time.Duration, b BackendID, key holderKey, a *account, s Sync, reply *Reply) Allocation {
	out := Allocation{Backend: b, Incarnation: l.incarnation, Cold: l.cold, RampLeft: max(0, l.rampEnd-now)}
	l.divide(now)
	free := l.limit(now).sub(l.othersCharge(now, key))
	want := a.target
	if now < l.exclusiveUntil && l.exclusive == key {
		// The suspect needs a place beside what runs already.
		want = want.most(Amount{a.inFlight.Requests + 1, a.inFlight.Tokens + free.Tokens/2})
		out.Exclusive = true
	}
	if l.frozen || l.gone {
		want = Amount{}
	}
	out.Amount = want.least(free)
	if out.Amount.Requests > 0 {
		a.granted = now
	}
	out.Exclusive = out.Exclusive && out.Amount.Requests > 0
	g := grant{
		seq: s.Seq, amount: out.Amount,
		holderEnd: s.Sent + AllocationTTL, end: now + withDrift(AllocationTTL),
	}
	if now < l.strayEnd {
		out.KeepReserve = l.warm(now) && !l.frozen
		if out.KeepReserve {
			g.reserve = a.reserved
		}
	} else if !l.frozen && !l.gone {
		g.reserve = l.reserveShare(now).least(free)
	}
	out.Reserve = g.reserve
	g.reserveHolder, g.reserveEnd = s.Sent+ReserveTTL, now+withDrift(ReserveTTL)
	if last := len(a.grants) - 1; last >= 0 && out.Amount.Requests < a.grants[last].amount.Requests {
		reply.Resync = reply.Resync || l.someoneWaits(key)
	}
	a.grants = append(a.grants, g)
	return out
}

// forget drops ledgers of backend servers that left, once nothing can run
// there, and the order of holders that fell silent. Their sequence restarts
// with their next incarnation only, so the wait covers any delayed message.
func (o *Owner) forget(now time.Duration) {
	for b, l := range o.ledgers {
		if l.gone && l.othersCharge(now, holderKey{}).zero() {
			delete(o.ledgers, b)
			delete(o.retired, b)
		}
	}
	for key, st := range o.holders {
		if now-st.last > lostEntryLimit {
			delete(o.holders, key)
		}
	}
}
