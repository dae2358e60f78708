package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/service"
)

// phase is the planner's progress in reading the table.
type phase int

const (
	// phaseIdle has not read the rows: there is no lease, or they have to be read
	// again.
	phaseIdle phase = iota
	// phaseReading waits for all rows.
	phaseReading
	// phaseActive has read the rows and plans.
	phaseActive
)

// pauseThreshold is the time between two events above which the planner assumes
// that its own process was paused, so that unanswered polls until then say
// nothing about the members.
const pauseThreshold = time.Second

// delistedAfterReads is the number of consecutive reads of the instance list
// without an instance after which it has left. A single list may be incomplete.
const delistedAfterReads = 2

// instance is what the planner knows of one engine instance.
type instance struct {
	info infra.Instance
	// inLastList is true if the last instance list has the instance; missedReads
	// counts the consecutive reads that lacked it.
	inLastList  bool
	missedReads int
	// outOfService instances must not get new work: they are leaving, drained by an
	// operator, or excluded by the document.
	outOfService bool
	lastReport   Report
	// lastAnsweredPoll is when the last answered poll was sent.
	lastAnsweredPoll time.Duration

	// assignment is the instance's row if it is of this service, and
	// assignmentVersion the version of that row.
	assignment        *Assignment
	assignmentVersion uint64
	// memberOf is the group whose current epoch the instance belongs to.
	memberOf *group
	// orphanedAt is when the group of the row was re-formed or dissolved without
	// the instance.
	orphanedAt time.Duration

	commands commandState

	// conflictBackoffUntil and assignBackoffUntil are when the instance may be
	// assigned again, after a conflict with another service and after a failed
	// assignment.
	conflictBackoffUntil time.Duration
	assignBackoffUntil   time.Duration
	// preloadStartedAt is when a preload was sent, 0 if none is running.
	preloadStartedAt time.Duration
	straggler        stragglerState
}

// group is a group of this service in the table, with the state that the planner
// keeps for it.
type group struct {
	row        Row
	rowVersion uint64
	// members are the instances in rank order.
	members []*instance
	// losses and ready are as of the last update.
	losses lossCounts
	ready  bool
	// stateSince is when the state or epoch was written or first read.
	stateSince time.Duration
	// gracefulStop lets running requests finish while the group stops.
	gracefulStop bool
	// repairAfterStop re-forms the stopped group under the same ID, with its
	// usable members.
	repairAfterStop bool
	// brokenSince and drainedSince are when a lost or drained member was first
	// observed, 0 if there is none.
	brokenSince, drainedSince time.Duration
	// firstMemberLeftAt is when the first member of a stopping group was found to
	// have left. Until then, entry instances may send polls that confirm the group.
	firstMemberLeftAt time.Duration
}

// Planner decides on the groups of one service and emits the transactions and
// commands that put its decisions into effect.
type Planner struct {
	cfg     Config
	service ident.ServiceName
	doc     service.Document
	hasDoc  bool

	phase     phase
	grant     lease.Grant
	leaseHeld bool
	retryAt   time.Duration
	txn       *pendingTxn
	// headVersion is the version of the head row.
	headVersion uint64

	instances    map[ident.InstanceID]*instance
	instanceList []*instance
	// allInLastList is true if the last list has all instances.
	allInLastList      bool
	groups             map[ident.GroupID]*group
	sortedGroups       []*group
	drains             drainSet
	tokenTimes         []int
	nextStragglerCheck time.Duration
	nextSpareCheck     time.Duration

	// missedPollsCountFrom is the time from which unanswered polls count against a
	// member. Before, the planner had no lease or its process was paused.
	missedPollsCountFrom time.Duration
	lastStepAt           time.Duration
	// rowsReadEpoch is the lease epoch at the last read of the table.
	rowsReadEpoch     ident.Epoch
	attemptCounter    uint64
	groupCounter      uint64
	commandCounter    uint64
	instanceByCommand map[uint64]*instance
	actions           []Action
	Counters          Counters
}

// Counters counts the planner's decisions and failures since its start.
type Counters struct {
	Formed, Swapped, Stopped, Dissolved, Conflicts, UnknownOutcomes, CommandsLost uint64
}

// Add returns the sum of two sets of counters.
func (c Counters) Add(o Counters) Counters {
	return Counters{
		c.Formed + o.Formed, c.Swapped + o.Swapped, c.Stopped + o.Stopped, c.Dissolved + o.Dissolved,
		c.Conflicts + o.Conflicts, c.UnknownOutcomes + o.UnknownOutcomes, c.CommandsLost + o.CommandsLost,
	}
}

type drainSet struct {
	dataCentres map[ident.DataCentre]bool
	instances   map[ident.InstanceID]bool
	partners    map[ident.Partner]bool
}

// New returns a planner for a service.
func New(cfg Config, name ident.ServiceName) *Planner {
	return &Planner{
		cfg:               cfg,
		service:           name,
		instances:         make(map[ident.InstanceID]*instance),
		groups:            make(map[ident.GroupID]*group),
		instanceByCommand: make(map[uint64]*instance),
	}
}

// Step handles one event and returns the actions to perform.
func (p *Planner) Step(now time.Duration, ev Event) []Action {
	p.actions = nil
	if now-p.lastStepAt > pauseThreshold {
		p.missedPollsCountFrom = now
	}
	p.lastStepAt = now
	if p.leaseHeld && now >= p.grant.Expires {
		p.clearLeaseState()
	}
	switch e := ev.(type) {
	case Report:
		// A report only updates its instance. Decisions follow at the next tick.
		p.handleReport(e)
		return nil
	case DocumentChanged:
		p.doc, p.hasDoc = e.Document, true
		p.updateOutOfService()
	case InstancesListed:
		p.handleInstancesListed(e.Instances)
		p.updateOutOfService()
	case InstancesUnchanged:
		p.handleInstancesUnchanged()
	case DrainsChanged:
		p.drains = newDrainSet(e)
		p.updateOutOfService()
	case LeaseChanged:
		p.handleLeaseChanged(now, e)
	case TransactionAnswered:
		p.handleTransactionAnswered(now, e)
	case RowRead:
		p.handleRowRead(now, e)
	case AllRead:
		p.handleAllRead(now, e)
	case CommandAnswered:
		p.handleCommandAnswered(now, e)
	}
	p.advance(now)
	return p.actions
}

func (p *Planner) emit(a Action) { p.actions = append(p.actions, a) }

// advance emits the actions that are due.
func (p *Planner) advance(now time.Duration) {
	if !p.leaseHeld || !p.hasDoc {
		return
	}
	switch p.phase {
	case phaseIdle:
		if now >= p.retryAt {
			p.phase = phaseReading
			p.emit(ReadAll{})
		}
	case phaseReading:
	case phaseActive:
		p.updateStragglers(now)
		for _, g := range p.sortedGroups {
			p.updateGroup(now, g)
		}
		p.releaseOrphans(now)
		if p.txn == nil && now >= p.retryAt {
			p.plan(now)
		}
		p.continueTxn(now)
		p.startPreloads(now)
	}
}

func (p *Planner) handleLeaseChanged(now time.Duration, e LeaseChanged) {
	if !e.Held {
		p.clearLeaseState()
		return
	}
	if !p.leaseHeld || p.grant.Epoch != e.Grant.Epoch {
		p.clearLeaseState()
		p.missedPollsCountFrom = now
	}
	p.leaseHeld, p.grant = true, e.Grant
}

// clearLeaseState discards the state that is valid only under the lease. Pending
// transactions fail in the store, because they require the old version of the
// epoch row.
func (p *Planner) clearLeaseState() {
	p.leaseHeld, p.phase, p.txn = false, phaseIdle, nil
	clear(p.groups)
	p.sortedGroups = nil
	for _, i := range p.instances {
		i.assignment, i.assignmentVersion, i.memberOf = nil, 0, nil
	}
}

// handleReport stores the answer of a poll, and ignores polls that were sent before
// the one whose answer is stored. A failed poll stores nothing and only marks the
// instance as not reachable.
func (p *Planner) handleReport(r Report) {
	i, ok := p.instances[r.Instance]
	if !ok || r.SentAt < i.lastReport.SentAt {
		return
	}
	if !r.OK {
		i.commands.pollFailed()
		return
	}
	i.lastReport = r
	i.lastAnsweredPoll = r.SentAt
	i.commands.pollAnswered(r.SentAt, p.cfg.MaxCommandFlight)
}

// handleInstancesListed applies a new instance list. An instance that has left
// is kept while it has an assignment row.
func (p *Planner) handleInstancesListed(list []infra.Instance) {
	for _, i := range p.instances {
		i.inLastList = false
		i.missedReads++
	}
	for _, info := range list {
		if info.Kind != infra.KindEngine {
			continue
		}
		i := p.ensureInstance(info.ID)
		i.info, i.inLastList, i.missedReads = info, true, 0
	}
	p.dropDelisted()
}

// handleInstancesUnchanged counts another read of the same list for the
// instances that it lacks.
func (p *Planner) handleInstancesUnchanged() {
	if p.allInLastList {
		return
	}
	for _, i := range p.instances {
		if !i.inLastList {
			i.missedReads++
		}
	}
	p.dropDelisted()
	p.updateOutOfService()
}

// dropDelisted drops the instances that have left and have neither an assignment
// row nor a pending command.
func (p *Planner) dropDelisted() {
	p.allInLastList = true
	for id, i := range p.instances {
		if i.missedReads >= delistedAfterReads && i.assignment == nil && i.commands.pendingID == 0 {
			delete(p.instances, id)
			continue
		}
		p.allInLastList = p.allInLastList && i.inLastList
	}
	p.instanceList = p.instanceList[:0]
	for _, i := range p.instances {
		p.instanceList = append(p.instanceList, i)
	}
	slices.SortFunc(p.instanceList, func(a, b *instance) int { return cmp.Compare(a.info.ID, b.info.ID) })
}

// ensureInstance returns an instance and adds it if it is not known.
func (p *Planner) ensureInstance(id ident.InstanceID) *instance {
	i, ok := p.instances[id]
	if !ok {
		// An instance that is known only from a row counts as delisted after
		// delistedAfterReads further reads without it.
		i = &instance{info: infra.Instance{ID: id}}
		p.instances[id] = i
		p.allInLastList = false
		p.instanceList = append(p.instanceList, i)
	}
	return i
}

func newDrainSet(e DrainsChanged) drainSet {
	d := drainSet{
		dataCentres: make(map[ident.DataCentre]bool, len(e.DataCentres)),
		instances:   make(map[ident.InstanceID]bool, len(e.Instances)),
		partners:    make(map[ident.Partner]bool, len(e.Partners)),
	}
	for _, v := range e.DataCentres {
		d.dataCentres[v] = true
	}
	for _, v := range e.Instances {
		d.instances[v] = true
	}
	for _, v := range e.Partners {
		d.partners[v] = true
	}
	return d
}

func (p *Planner) updateOutOfService() {
	for _, i := range p.instanceList {
		i.outOfService = p.isOutOfService(i)
	}
}

// isOutOfService reports whether an instance must not get new work.
func (p *Planner) isOutOfService(i *instance) bool {
	if i.info.State == infra.StateLeaving || p.drains.instances[i.info.ID] ||
		p.drains.dataCentres[i.info.DataCentre] || (i.info.Partner != "" && p.drains.partners[i.info.Partner]) {
		return true
	}
	pl := &p.doc.Placement
	return (len(pl.DataCentres) > 0 && !slices.Contains(pl.DataCentres, i.info.DataCentre)) ||
		(len(pl.Partners) > 0 && i.info.Partner != "" && !slices.Contains(pl.Partners, i.info.Partner))
}

// delisted reports whether an instance has left the platform's list.
func (i *instance) delisted() bool { return i.missedReads >= delistedAfterReads }

// unresponsive reports whether a member has not answered for LossTimeout.
func (p *Planner) unresponsive(now time.Duration, i *instance) bool {
	return now-max(i.lastAnsweredPoll, p.missedPollsCountFrom) >= p.cfg.LossTimeout
}

// answeredRecently reports whether an instance answered recently enough to get
// commands.
func (p *Planner) answeredRecently(now time.Duration, i *instance) bool {
	return i.lastReport.OK && now-i.lastAnsweredPoll < p.cfg.LossTimeout
}

// reportsGroup reports whether the last report of a member names this group and
// epoch.
func reportsGroup(i *instance, row *Row) bool {
	s := &i.lastReport.Status
	return i.lastReport.OK && s.Group == row.ID && s.Epoch == row.Epoch
}

// groupReady reports whether each member confirms an active group.
func (p *Planner) groupReady(now time.Duration, g *group) bool {
	if g.row.State != StateActive {
		return false
	}
	for n, i := range g.members {
		if !reportsGroup(i, &g.row) || !confirms(&i.lastReport, p.service, now) ||
			i.lastReport.Status.Incarnation != g.row.Members[n].Incarnation {
			return false
		}
	}
	return true
}

// roles returns the roles that the document asks for, RoleCombined by default.
func (p *Planner) roles() []engine.Role {
	if len(p.doc.Model.Roles) == 0 {
		return []engine.Role{engine.RoleCombined}
	}
	return p.doc.Model.Roles
}
