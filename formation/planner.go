package formation

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/route"
)

// Planner plans the groups of one service. It is not safe for concurrent use.
type Planner struct {
	cfg Config

	leaseHeld       bool
	grant           lease.Grant
	leaseAcquiredAt time.Duration
	rowsLoaded      bool
	// readAttempt is the read under way, or 0, and attemptCount the number of reads and writes.
	readAttempt, attemptCount uint64
	barrier                   barrier
	// conflictsDue is set when the rows were read and not yet searched for servers in two groups.
	conflictsDue bool
	// storeRetryAt is the earliest time of the next read or write of the table after a
	// failed one, and storeRetryDelay the delay from which it was set.
	storeRetryAt, storeRetryDelay time.Duration
	// adoption is set while the rows are brought in line with the servers' entries.
	adoption *adoption
	// fenced is set when a server has rejected an order because of a newer token or
	// epoch. The planner does nothing more until the lease is renewed.
	fenced bool

	service   *route.Service
	evacuated []ident.DataCentre
	// leaving are the servers that are given up.
	leaving map[ident.InstanceID]bool
	// reassigned are the servers that are to hold another model.
	reassigned map[ident.InstanceID]string
	// unrepeatableTime is that of the configuration, and unrepeatableUntil when the last
	// requests of earlier configurations end.
	unrepeatableTime, unrepeatableUntil time.Duration
	servers                             *fleet.Snapshot
	groups                              map[ident.GroupID]*group
	dead                                map[ident.InstanceID]deadMark
	probeSentAt                         map[ident.InstanceID]time.Duration
	// probeAnsweredAt is when a server last answered a probe, failedProbes holds the
	// servers that did not answer.
	probeAnsweredAt map[ident.InstanceID]time.Duration
	failedProbes    map[ident.InstanceID]failedProbe
	stagingLoads    map[ident.InstanceID]stagingLoad
	// leaveResendAt is when a server may be ordered again to leave its group.
	leaveResendAt map[ident.InstanceID]time.Duration
	// demand is the measured demand for each model, in slots.
	demand map[string]float64
	// loadStarts are the times at which loads started within the last LoadWindow.
	loadStarts     []time.Duration
	trafficStarted bool
	// assigned is the result of assignedServers, or nil if the groups have changed since.
	assigned map[ident.InstanceID]*group
	// layoutTargets is the planned number of servers of each domain that are to hold each
	// model. It was planned for domains of layoutSizes and for layoutService.
	layoutTargets map[ident.Domain][]int
	layoutSizes   map[ident.Domain]int
	layoutService *route.Service
	// maxListLength is the largest number of servers that a list had so far, and
	// listGrewAt when it was reached.
	maxListLength int
	listGrewAt    time.Duration
	groupCounter  int
	lastEpoch     ident.Epoch
	nextSummaryAt time.Duration

	actions []Action
}

// group is a group's stored row and the planner's own state of the group. Times of
// zero are not set.
type group struct {
	Row
	// version is the version of the stored row, or 0 if there is none yet.
	version uint64
	// writing is set while a row is being written, and afterwards until its outcome is known.
	// attempt identifies the write.
	writing bool
	attempt uint64
	// superseded is set if a row with a higher version names one of the row's servers.
	superseded bool
	// epochSeen is the highest epoch of the groups whose rows lost a conflict against this one.
	epochSeen ident.Epoch
	// pending is the row that is being written, or nil for a deletion.
	pending *Row
	// rowWrittenAt is when the row was written or read. The next fields are when each
	// order was last sent.
	rowWrittenAt time.Duration
	joinSentAt   map[ident.InstanceID]time.Duration
	openSentAt   time.Duration
	closeSentAt  time.Duration
	// incompleteSince is when a member was first missing from the list, or when the
	// head was first seen broken.
	incompleteSince time.Duration
	// drainingSince is when a member was first seen draining.
	drainingSince  time.Duration
	probeRequested bool
	// headFailingSince is when all requests to the head were first reported to fail.
	headFailingSince time.Duration
	servingLogged    bool
}

// deadMark marks an incarnation of a server as dead until a time.
type deadMark struct {
	incarnation ident.Incarnation
	until       time.Duration
}

// stagingLoad is a load of a model's weights onto a free server.
type stagingLoad struct {
	model       string
	incarnation ident.Incarnation
	startedAt   time.Duration
}

// New returns a planner that does not hold the lease.
func New(cfg Config) *Planner {
	return &Planner{
		cfg:             cfg,
		groups:          make(map[ident.GroupID]*group),
		dead:            make(map[ident.InstanceID]deadMark),
		probeSentAt:     make(map[ident.InstanceID]time.Duration),
		probeAnsweredAt: make(map[ident.InstanceID]time.Duration),
		failedProbes:    make(map[ident.InstanceID]failedProbe),
		stagingLoads:    make(map[ident.InstanceID]stagingLoad),
		leaveResendAt:   make(map[ident.InstanceID]time.Duration),
		demand:          make(map[string]float64),
	}
}

// Step handles one event and returns the actions to perform.
func (p *Planner) Step(now time.Duration, ev Event) []Action {
	p.actions, p.assigned = nil, nil
	switch e := ev.(type) {
	case ServersChanged:
		p.servers = e.Servers
		if n := len(e.Servers.Servers); n > p.maxListLength {
			p.maxListLength, p.listGrewAt = n, now
		}
	case ConfigChanged:
		p.service, p.evacuated = e.Service, e.Evacuated
		p.recordUnrepeatable(now, e.UnrepeatableTime)
	case LeaseChanged:
		p.handleLeaseChanged(now, e)
	case RowsRead:
		p.handleRowsRead(now, e)
	case ReadFailed:
		if e.Attempt == p.readAttempt {
			p.readAttempt = 0
			p.delayStoreRetry(now)
		}
	case Written:
		p.handleWritten(now, e)
	case Ordered:
		p.handleOrdered(e)
	case GroupStalled:
		p.handleGroupStalled(e)
	case HeadFailing:
		p.handleHeadFailing(now, e)
	case Probed:
		p.handleProbed(now, e)
	case Leaving:
		p.leaving = e.Servers
	case Reassigned:
		p.reassigned = e.Models
	case TrafficStarted:
		p.trafficStarted = true
	case Demand:
		for _, u := range e.PerModel {
			p.demand[u.Model] = u.Slots
		}
	}
	p.reconcile(now)
	return p.actions
}

func (p *Planner) emit(a Action) { p.actions = append(p.actions, a) }

func (p *Planner) handleLeaseChanged(now time.Duration, e LeaseChanged) {
	if e.Held && !p.leaseHeld {
		// The acquisition makes earlier writes impossible: each has the former version of the
		// lease's epoch row as a condition.
		p.leaseAcquiredAt, p.rowsLoaded, p.readAttempt, p.barrier = now, false, 0, barrier{}
		clear(p.groups)
		clear(p.stagingLoads)
		clear(p.leaveResendAt)
		p.loadStarts = nil
	}
	p.leaseHeld, p.grant, p.fenced = e.Held, e.Grant, false
}

// recordUnrepeatable records how long requests may run that no other group can take over.
func (p *Planner) recordUnrepeatable(now, longest time.Duration) {
	if p.unrepeatableTime > 0 {
		p.unrepeatableUntil = now + p.unrepeatableTime
	}
	p.unrepeatableTime = longest
}

func (p *Planner) handleRowsRead(now time.Duration, e RowsRead) {
	if e.Attempt != p.readAttempt {
		return // It was requested before the lease was acquired again.
	}
	p.readAttempt, p.rowsLoaded, p.storeRetryDelay = 0, true, 0
	p.barrier, p.conflictsDue = barrier{}, true
	known := maps.Clone(p.groups)
	clear(p.groups)
	adoptedEra := uint64(0)
	for _, r := range e.Rows {
		switch r.Key {
		case eraKey:
			var err error
			if adoptedEra, err = decodeEraRow(r); err != nil {
				p.emit(LogEntry{Text: "era row skipped", Detail: err.Error()})
			}
			continue
		case barrierKey:
			p.barrier.version = r.Version
			continue
		}
		row, err := decodeRow(r)
		if err != nil {
			p.emit(LogEntry{Text: "group row skipped", Group: ident.GroupID(r.Key), Detail: err.Error()})
			continue
		}
		g, ok := known[row.Group]
		if !ok || g.version != r.Version {
			g = &group{Row: row, version: r.Version, rowWrittenAt: now, joinSentAt: make(map[ident.InstanceID]time.Duration)}
		}
		g.writing, g.pending = false, nil
		p.groups[row.Group] = g
	}
	p.beginAdoption(now, e, adoptedEra)
}

func (p *Planner) handleWritten(now time.Duration, e Written) {
	switch e.Group {
	case eraKey:
		p.handleAdoptionRecorded(now, e)
		return
	case barrierKey:
		p.handleBarrierWritten(now, e)
		return
	}
	g, ok := p.groups[e.Group]
	if !ok || !g.writing || g.attempt != e.Attempt {
		return
	}
	switch e.Outcome {
	case infra.OutcomeApplied:
		g.writing, g.headFailingSince, p.storeRetryDelay = false, 0, 0
		if g.pending == nil {
			p.releaseMembers(now, g)
			delete(p.groups, e.Group)
			return
		}
		p.releaseFormerMembers(now, g)
		g.Row, g.version, g.rowWrittenAt = *g.pending, e.Version, now
		g.openSentAt, g.closeSentAt, g.incompleteSince, g.drainingSince, g.probeRequested, g.servingLogged = 0, 0, 0, 0, false, false
		g.pending = nil
		clear(g.joinSentAt)
	case infra.OutcomeNotApplied:
		p.delayStoreRetry(now)
		g.writing, g.pending = false, nil
		if g.version == 0 {
			delete(p.groups, e.Group)
		}
	default:
		// The row has changed or may be written yet. The group stays as it is until the rows
		// are read behind a barrier.
		if !p.barrier.due {
			p.delayStoreRetry(now)
		}
		p.barrier.due = true
	}
}

// delayStoreRetry sets the earliest time of the next read or write of the table after a
// failed one. Without the delay each event would cause another one, and one that the
// store refuses costs it as much as one that it performs.
func (p *Planner) delayStoreRetry(now time.Duration) {
	p.storeRetryDelay = min(max(p.cfg.StoreRetryMin, 2*p.storeRetryDelay), p.cfg.StoreRetryMax)
	p.storeRetryAt = now + p.storeRetryDelay
}

// releaseFormerMembers orders the members that are not in the new row to leave, except
// those that orderLeave skips.
func (p *Planner) releaseFormerMembers(now time.Duration, g *group) {
	for _, m := range g.Members {
		if !slices.ContainsFunc(g.pending.Members, func(n Member) bool { return n.ID == m.ID }) {
			p.releaseMember(now, g, m)
		}
	}
}

// releaseMembers orders all members of a dissolved group to leave.
func (p *Planner) releaseMembers(now time.Duration, g *group) {
	for _, m := range g.Members {
		p.releaseMember(now, g, m)
	}
}

// releaseMember orders a former member of a group to leave, unless the row of another group
// names it.
func (p *Planner) releaseMember(now time.Duration, g *group, m Member) {
	for _, other := range p.groups {
		if other != g && slices.Contains(other.latestRow().Members, m) {
			return
		}
	}
	p.orderLeave(now, m.ID)
}

// orderLeave orders a server to leave its group, unless it is in none, dead, or was
// ordered to leave recently.
func (p *Planner) orderLeave(now time.Duration, id ident.InstanceID) {
	s, ok := p.servers.Get(id)
	if !ok || s.State == fleet.NoGroup || now < p.leaveResendAt[id] || p.isDead(id, s.Incarnation) {
		return
	}
	p.leaveResendAt[id] = now + p.cfg.ResendAfter
	p.sendOrder(s, Order{Kind: Leave, Group: s.Group, Epoch: s.Epoch})
}

func (p *Planner) sendOrder(s *fleet.Server, o Order) {
	o.Server, o.Address, o.Fence = s.ID, s.Address, p.grant.Epoch
	p.emit(SendOrder{Order: o})
}

func (p *Planner) handleOrdered(e Ordered) {
	if e.Outcome.Fenced {
		p.fenced = true
		p.emit(LogEntry{Text: "order refused by a newer token", Group: e.Order.Group, Epoch: e.Order.Epoch, Detail: e.Outcome.Err.Error()})
	}
	if e.Order.Kind == Stage && !e.Outcome.Accepted {
		// The load is planned again. A server that is loading already accepts the
		// repeated order.
		delete(p.stagingLoads, e.Order.Server)
	}
}

func (p *Planner) handleGroupStalled(e GroupStalled) {
	if g, ok := p.groups[e.Group]; ok && g.Epoch == e.Epoch {
		g.probeRequested = true
	}
}

// handleHeadFailing requests probes of the group. If they find no member dead within
// HeadProbeWait, replaceHead makes the head the last member: it is alive, but fails its
// requests. A dead head is handled as a lost member.
func (p *Planner) handleHeadFailing(now time.Duration, e HeadFailing) {
	if g, ok := p.groups[e.Group]; ok && g.Epoch == e.Epoch && g.headFailingSince == 0 && !g.writing && p.leaseHeld {
		g.headFailingSince, g.probeRequested = now, true
	}
}

// reconcile compares the rows with the list of servers and emits the actions that bring
// the servers to the state of the rows. It does nothing without the lease.
func (p *Planner) reconcile(now time.Duration) {
	if !p.leaseHeld || p.fenced || now >= p.grant.Expires || p.service == nil || p.servers == nil || len(p.service.Models) == 0 {
		return
	}
	if !p.rowsLoaded {
		if p.readAttempt == 0 && now >= p.storeRetryAt {
			p.readAttempt = p.nextAttempt()
			p.emit(ReadRows{Attempt: p.readAttempt})
		}
		return
	}
	if now-p.leaseAcquiredAt < p.cfg.SettleDelay && len(p.groups) > 0 {
		return
	}
	if p.waitsForList(now) {
		return
	}
	p.writeBarrier(now)
	p.removeExpired(now)
	p.markDeadServers(now)
	if p.adoptGroups(now) {
		return
	}
	if p.conflictsDue {
		p.findConflicts()
	}
	for _, g := range p.sortedGroups() {
		p.reconcileGroup(now, g)
	}
	p.releaseStrayServers(now)
	if !p.formGroups(now) {
		p.stageReassigned(now)
		p.stageWeights(now)
	}
	p.logSummary(now)
}

// waitsForList reports whether the first groups have to wait until the list of servers
// is complete. Domains are assigned to models by their sizes, and a load that was
// started for the wrong model is not undone.
func (p *Planner) waitsForList(now time.Duration) bool {
	return !p.trafficStarted && len(p.groups) == 0 && now-p.listGrewAt < p.cfg.ListStableTime && now-p.leaseAcquiredAt < p.cfg.ListMaxWait
}

// sortedGroups returns the groups in the order of their ids.
func (p *Planner) sortedGroups() []*group {
	list := make([]*group, 0, len(p.groups))
	for _, g := range p.groups {
		list = append(list, g)
	}
	slices.SortFunc(list, func(a, b *group) int { return cmp.Compare(a.Group, b.Group) })
	return list
}

// removeExpired removes dead marks, staging loads and probe and leave times that no
// longer apply.
func (p *Planner) removeExpired(now time.Duration) {
	for id, mark := range p.dead {
		s, ok := p.servers.Get(id)
		if !ok && now < mark.until+p.cfg.DeadUnlistedTTL {
			continue // A server that has left the list too is dead for longer.
		}
		if now >= mark.until || (ok && s.Incarnation != mark.incarnation) {
			delete(p.dead, id)
		}
	}
	for id, load := range p.stagingLoads {
		s, ok := p.servers.Get(id)
		if !ok || s.Incarnation != load.incarnation || s.HasStaged(load.model) || s.State != fleet.NoGroup {
			delete(p.stagingLoads, id)
		}
	}
	for id, at := range p.probeAnsweredAt {
		if now-at >= p.cfg.ProbeInterval {
			delete(p.probeAnsweredAt, id)
		}
	}
	for id, at := range p.probeSentAt {
		if now-at > p.cfg.ProbeInterval {
			delete(p.probeSentAt, id)
		}
	}
	for id, resendAt := range p.leaveResendAt {
		if now >= resendAt {
			delete(p.leaveResendAt, id)
		}
	}
}

// logSummary logs the numbers of groups and spares of each model every SummaryInterval,
// together with the number of empty servers and that of the loads of all models.
func (p *Planner) logSummary(now time.Duration) {
	if now < p.nextSummaryAt {
		return
	}
	p.nextSummaryAt = now + p.cfg.SummaryInterval
	assigned := p.assignedServers()
	for _, m := range p.service.Models {
		groups, serving, spare := 0, 0, 0
		for _, g := range p.groups {
			if g.latestRow().Model != m.Name {
				continue
			}
			groups++
			if c, _ := p.condition(g, g.Row.head()); c == memberOpen && len(p.remainingMembers(g)) == m.Size {
				serving++
			}
		}
		empty := 0
		for _, s := range p.servers.Servers {
			switch {
			case !p.isIdle(s) || assigned[s.ID] != nil:
			case s.HasStaged(m.Name):
				spare++
			case len(s.Staged) == 0:
				empty++
			}
		}
		p.emit(LogEntry{Text: "formation", Model: m.Name, Detail: fmt.Sprintf(
			"%d groups, %d serve, %d spares loaded, %d servers empty, %d loads under way", groups, serving, spare, empty, p.activeLoads())})
	}
}

// head returns the first member, or the zero Member if there is none.
func (r *Row) head() Member {
	if len(r.Members) == 0 {
		return Member{}
	}
	return r.Members[0]
}

// epochsPerHolder is the number of group epochs that each holder of the lease has for
// itself.
const epochsPerHolder = 1 << 20

// nextEpoch returns an epoch above all epochs that a server may have seen. After a group
// is dissolved, no row or entry names its epoch any more. Therefore the planner
// remembers the last epoch it used, and each holder of the lease begins above the range
// of former holders.
func (p *Planner) nextEpoch() ident.Epoch {
	p.lastEpoch = max(p.lastEpoch, p.grant.Epoch*epochsPerHolder)
	for _, g := range p.groups {
		p.lastEpoch = max(p.lastEpoch, g.latestRow().Epoch)
	}
	for _, s := range p.servers.Servers {
		p.lastEpoch = max(p.lastEpoch, s.Epoch)
	}
	p.lastEpoch++
	return p.lastEpoch
}

// writeRow starts to write a group's next row, or to delete the row if next is nil. The
// transaction fails if the lease has a newer holder, the row has changed or a barrier was
// written since.
func (p *Planner) writeRow(g *group, next *Row) {
	g.writing, g.attempt, g.pending, p.assigned = true, p.nextAttempt(), next, nil
	t := infra.Txn{Conditions: []infra.Condition{
		{RowKey: lease.EpochKey(LeaseName), Version: p.grant.EpochVersion},
		{RowKey: Key(g.Group), Version: g.version},
		{RowKey: Key(barrierKey), Version: p.barrier.version},
	}}
	if next == nil {
		t.Writes = []infra.Write{{RowKey: Key(g.Group), Delete: true}}
	} else {
		t.Writes = []infra.Write{{RowKey: Key(g.Group), Value: encodeRow(next)}}
	}
	p.emit(WriteRow{Attempt: g.attempt, Group: g.Group, Txn: t})
}

// LeaseName is the name of the planner's lease.
const LeaseName ident.ServiceName = "formation"

// encodeRow marshals a row. Row holds only strings and integers, so marshalling cannot
// fail.
func encodeRow(r *Row) []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err)
	}
	return b
}

// newGroupID returns an id that no group has had. It contains the lease's epoch, which
// differs for each holder.
func (p *Planner) newGroupID() ident.GroupID {
	p.groupCounter++
	return ident.GroupID(fmt.Sprintf("g%d-%d", p.grant.Epoch, p.groupCounter))
}
