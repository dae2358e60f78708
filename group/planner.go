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

// phase tells how much the planner knows of the table.
type phase int

const (
	// phaseIdle has no lease.
	phaseIdle phase = iota
	// phaseReading has asked for all rows.
	phaseReading
	// phaseActive plans.
	phaseActive
)

// pauseGap is the time between two events after which the planner assumes that
// its own process was paused and that silence of members tells nothing.
const pauseGap = time.Second

// missedLists is the number of lists in a row without an instance after which
// it has left: a single list may be incomplete.
const missedLists = 2

// instance is what the planner knows of one engine instance.
type instance struct {
	info infra.Instance
	// listed tells whether the last list names the instance, and missed how many
	// reads in a row did not.
	listed bool
	missed int
	// out instances may get no new work: they are leaving, drained or excluded
	// by the document.
	out    bool
	report Report
	// lastOK is when the last answered poll was sent.
	lastOK time.Duration

	// assigned is the instance's row if it belongs to this service.
	assigned *Assignment
	version  uint64
	// member is the group whose current epoch the instance belongs to.
	member *group
	// strayFrom is when the group of the row went on without the instance.
	strayFrom time.Duration

	commands commandState

	blockedUntil time.Duration
	avoidUntil   time.Duration
	preloadFrom  time.Duration
	slow         slowState
}

// group is a group of this service in the table.
type group struct {
	row     Row
	version uint64
	// members are the instances in rank order.
	members []*instance
	// loss and serves are as of the last tick.
	loss   loss
	serves bool
	// since is when the state or epoch was written or first read.
	since time.Duration
	// graceful groups finish running requests while they stop.
	graceful bool
	// repair keeps the group's identity and surviving members after the stop.
	repair bool
	// brokenSince and drainedSince are when a loss or drain was first seen.
	brokenSince, drainedSince time.Duration
	// leftAt is when a first member of a stopping group was seen to have left.
	// Entries confirm the group from polls sent until then.
	leftAt time.Duration
}

// Planner plans the groups of one service and carries the plan out.
type Planner struct {
	cfg     Config
	service ident.ServiceName
	doc     service.Document
	hasDoc  bool

	phase phase
	grant lease.Grant
	held  bool
	retry time.Duration
	txn   *pendingTxn
	// head is the version of the head row.
	head uint64

	instances map[ident.InstanceID]*instance
	order     []*instance
	// allListed tells that the last list names all instances.
	allListed bool
	groups    map[ident.GroupID]*group
	sorted    []*group
	drains    drainSet
	times     []int
	nextSpeed time.Duration
	nextSpare time.Duration

	// reachableFrom is the earliest instant from which silence of a member
	// counts.
	reachableFrom time.Duration
	lastStep      time.Duration
	// readEpoch is the lease epoch under which the table was last read.
	readEpoch   ident.Epoch
	attempts    uint64
	nextGroup   uint64
	nextCommand uint64
	byCommand   map[uint64]*instance
	out         []Action
	Counters    Counters
}

// Counters counts decisions since the start.
type Counters struct {
	Formed, Swapped, Stopped, Dissolved, Conflicts, UnknownOutcomes, CommandsLost uint64
}

// Add sums two sets of counters.
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
		cfg:       cfg,
		service:   name,
		instances: make(map[ident.InstanceID]*instance),
		groups:    make(map[ident.GroupID]*group),
		byCommand: make(map[uint64]*instance),
	}
}

// Step handles one event.
func (p *Planner) Step(now time.Duration, ev Event) []Action {
	p.out = nil
	if now-p.lastStep > pauseGap {
		p.reachableFrom = now
	}
	p.lastStep = now
	if p.held && now >= p.grant.Expires {
		p.loseLease()
	}
	switch e := ev.(type) {
	case Report:
		// Reports only update an instance; decisions follow with the tick.
		p.report(e)
		return nil
	case DocumentChanged:
		p.doc, p.hasDoc = e.Document, true
		p.updateDrained()
	case InstancesListed:
		p.list(e.Instances)
		p.updateDrained()
	case InstancesUnchanged:
		p.listAgain()
	case DrainsChanged:
		p.drains = newDrainSet(e)
		p.updateDrained()
	case LeaseChanged:
		p.leaseChanged(now, e)
	case TransactionAnswered:
		p.committed(now, e)
	case RowRead:
		p.rowRead(now, e)
	case AllRead:
		p.allRead(now, e)
	case CommandAnswered:
		p.commandAnswered(now, e)
	}
	p.advance(now)
	return p.out
}

func (p *Planner) emit(a Action) { p.out = append(p.out, a) }

// advance starts whatever is due.
func (p *Planner) advance(now time.Duration) {
	if !p.held || !p.hasDoc {
		return
	}
	switch p.phase {
	case phaseIdle:
		if now >= p.retry {
			p.phase = phaseReading
			p.emit(ReadAll{})
		}
	case phaseReading:
	case phaseActive:
		p.updateStragglers(now)
		for _, g := range p.sorted {
			p.runGroup(now, g)
		}
		p.runStrays(now)
		if p.txn == nil && now >= p.retry {
			p.plan(now)
		}
		p.driveTxn(now)
		p.preload(now)
	}
}

func (p *Planner) leaseChanged(now time.Duration, e LeaseChanged) {
	if !e.Held {
		p.loseLease()
		return
	}
	if !p.held || p.grant.Epoch != e.Grant.Epoch {
		p.loseLease()
		p.reachableFrom = now
	}
	p.held, p.grant = true, e.Grant
}

// loseLease forgets all that only the holder may know. Transactions under way
// fail in the store by the version of the epoch row.
func (p *Planner) loseLease() {
	p.held, p.phase, p.txn = false, phaseIdle, nil
	clear(p.groups)
	p.sorted = nil
	for _, i := range p.instances {
		i.assigned, i.version, i.member = nil, 0, nil
	}
}

// report stores a poll unless a newer one is known.
func (p *Planner) report(r Report) {
	i, ok := p.instances[r.Instance]
	if !ok || r.SentAt < i.report.SentAt {
		return
	}
	if !r.OK {
		i.commands.silent()
		return
	}
	i.report = r
	i.lastOK = r.SentAt
	i.commands.reached(r.SentAt, p.cfg.CommandFlight)
}

// list takes a new instance list. An instance that left stays known while it
// has an assignment row.
func (p *Planner) list(list []infra.Instance) {
	for _, i := range p.instances {
		i.listed = false
		i.missed++
	}
	for _, info := range list {
		if info.Kind != infra.KindEngine {
			continue
		}
		i := p.instance(info.ID)
		i.info, i.listed, i.missed = info, true, 0
	}
	p.dropGone()
}

// listAgain counts a further read of the same list for the instances that it
// lacks.
func (p *Planner) listAgain() {
	if p.allListed {
		return
	}
	for _, i := range p.instances {
		if !i.listed {
			i.missed++
		}
	}
	p.dropGone()
	p.updateDrained()
}

// dropGone forgets the instances that left and nothing depends on.
func (p *Planner) dropGone() {
	p.allListed = true
	for id, i := range p.instances {
		if i.missed >= missedLists && i.assigned == nil && i.commands.pending == 0 {
			delete(p.instances, id)
			continue
		}
		p.allListed = p.allListed && i.listed
	}
	p.order = p.order[:0]
	for _, i := range p.instances {
		p.order = append(p.order, i)
	}
	slices.SortFunc(p.order, func(a, b *instance) int { return cmp.Compare(a.info.ID, b.info.ID) })
}

func (p *Planner) instance(id ident.InstanceID) *instance {
	i, ok := p.instances[id]
	if !ok {
		// Two missed lists are needed before an instance that only a row
		// names counts as gone.
		i = &instance{info: infra.Instance{ID: id}}
		p.instances[id] = i
		p.allListed = false
		p.order = append(p.order, i)
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

func (p *Planner) updateDrained() {
	for _, i := range p.order {
		i.out = p.drained(i)
	}
}

// drained reports whether an instance may get no new work.
func (p *Planner) drained(i *instance) bool {
	if i.info.State == infra.StateLeaving || p.drains.instances[i.info.ID] ||
		p.drains.dataCentres[i.info.DataCentre] || (i.info.Partner != "" && p.drains.partners[i.info.Partner]) {
		return true
	}
	pl := &p.doc.Placement
	return (len(pl.DataCentres) > 0 && !slices.Contains(pl.DataCentres, i.info.DataCentre)) ||
		(len(pl.Partners) > 0 && i.info.Partner != "" && !slices.Contains(pl.Partners, i.info.Partner))
}

func (i *instance) gone() bool { return i.missed >= missedLists }

// silent reports whether a member has not answered for the loss timeout.
func (p *Planner) silent(now time.Duration, i *instance) bool {
	return now-max(i.lastOK, p.reachableFrom) >= p.cfg.LossTimeout
}

// fresh reports whether an instance answered lately enough to be given work.
func (p *Planner) fresh(now time.Duration, i *instance) bool {
	return i.report.OK && now-i.lastOK < p.cfg.LossTimeout
}

// serves reports whether the last report of a member is of this group and epoch.
func serves(i *instance, row *Row) bool {
	s := &i.report.Status
	return i.report.OK && s.Group == row.ID && s.Epoch == row.Epoch
}

// ready reports whether each member of a group confirms it.
func (p *Planner) ready(now time.Duration, g *group) bool {
	if g.row.State != StateActive {
		return false
	}
	for n, i := range g.members {
		if !serves(i, &g.row) || !confirms(&i.report, p.service, now) ||
			i.report.Status.Incarnation != g.row.Members[n].Incarnation {
			return false
		}
	}
	return true
}

// roles returns the roles that the document wants, combined by default.
func (p *Planner) roles() []engine.Role {
	if len(p.doc.Model.Roles) == 0 {
		return []engine.Role{engine.RoleCombined}
	}
	return p.doc.Model.Roles
}
