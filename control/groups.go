package control

import (
	"context"
	"reflect"
	"strings"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/lease/leaseio"
	"github.com/bulrushfall/bulrushfall/service"
)

// scanLimit is the number of rows per page of a scan.
const scanLimit = 1000

// groupsState holds the lease and the planner of each service.
type groupsState struct {
	services map[ident.ServiceName]*serviceControl
	drains   group.DrainsChanged
	// documentsView and drainsView are the views that documents and drains were last
	// read from. A view is replaced when anything in it changes.
	documentsView, drainsView *config.View
	shuttingDown              bool // this entry instance is shutting down
	counters                  groupCounters
	// ctx ends the I/O that the lease machines and planners requested.
	ctx    context.Context
	cancel context.CancelFunc
}

// serviceControl holds the lease machine and the planner of one service.
type serviceControl struct {
	name    ident.ServiceName
	doc     service.Document
	lease   *lease.Machine
	planner *group.Planner
	// rank is the place of this entry instance among the live ones, in rendezvous
	// order for the service.
	rank      int
	rankKnown bool
}

type groupCounters struct {
	leasesAcquired, leasesEnded, leaseWrites     tally.Counter
	commands, commandErrors                      tally.Counter
	transactions                                 tally.Counter
	groupsFormed, groupsSwapped, groupsDissolved tally.Gauge
	transactionConflicts, unknownOutcomes        tally.Gauge
	leasesHeld                                   tally.Gauge
}

func (l *Loop) startGroups() {
	g := &l.groups
	g.services = make(map[ident.ServiceName]*serviceControl)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	s := l.opts.Scope
	g.counters = groupCounters{
		leasesAcquired:       s.Counter("leases_acquired_total"),
		leasesEnded:          s.Counter("leases_ended_total"),
		leaseWrites:          s.Counter("lease_writes_total"),
		commands:             s.Counter("engine_commands_total"),
		commandErrors:        s.Counter("engine_command_errors_total"),
		transactions:         s.Counter("group_transactions_total"),
		groupsFormed:         s.Gauge("groups_formed"),
		groupsSwapped:        s.Gauge("groups_swapped"),
		groupsDissolved:      s.Gauge("groups_dissolved"),
		transactionConflicts: s.Gauge("group_transaction_conflicts"),
		unknownOutcomes:      s.Gauge("group_transaction_outcomes_unknown"),
		leasesHeld:           s.Gauge("leases_held"),
	}
}

// plannerEvent carries an event to the planner of a service.
type plannerEvent struct {
	service ident.ServiceName
	event   group.Event
}

func (e plannerEvent) apply(l *Loop, now time.Duration) {
	if c, ok := l.groups.services[e.service]; ok {
		l.stepPlanner(now, c, e.event)
	}
}

// tickGroups applies changed documents and drains, and runs the time-driven work of
// the lease machines and planners.
func (l *Loop) tickGroups(now time.Duration) {
	l.updateServices(now)
	drainsChanged := l.updateDrains()
	live, liveChanged := l.liveEntries()
	leasesHeld := 0
	var sum group.Counters
	for _, c := range l.groups.services {
		if drainsChanged {
			l.stepPlanner(now, c, l.groups.drains)
		}
		if liveChanged || !c.rankKnown {
			c.rank, c.rankKnown = lease.Rank(c.name, l.opts.Self.Instance, live), true
		}
		l.stepLease(now, c, lease.RankChanged{Rank: c.rank})
		l.stepPlanner(now, c, group.Tick{})
		if _, ok := c.lease.Held(now); ok {
			leasesHeld++
		}
		sum = sum.Add(c.planner.Counters)
	}
	l.groups.counters.report(sum, leasesHeld)
}

func (c *groupCounters) report(sum group.Counters, leasesHeld int) {
	c.leasesHeld.Update(float64(leasesHeld))
	c.groupsFormed.Update(float64(sum.Formed))
	c.groupsSwapped.Update(float64(sum.Swapped))
	c.groupsDissolved.Update(float64(sum.Dissolved))
	c.transactionConflicts.Update(float64(sum.Conflicts))
	c.unknownOutcomes.Update(float64(sum.UnknownOutcomes))
}

// updateServices applies the documents in force. It starts control of new services.
// A plain service has a lease, whose holder owns its credits, but no groups. The
// groups of a service without a document are released.
func (l *Loop) updateServices(now time.Duration) {
	if !l.ready() {
		// The configuration may still be outdated, and an outdated document must
		// not change groups.
		return
	}
	v := l.config.shell.View()
	if v == l.groups.documentsView {
		return
	}
	l.groups.documentsView = v
	inForce := make(map[ident.ServiceName]bool)
	for _, doc := range l.serviceDocuments() {
		c, ok := l.groups.services[doc.Service]
		if doc.Kind != service.KindModel {
			doc = service.Document{Service: doc.Service}
		}
		inForce[doc.Service] = true
		if !ok {
			c = l.addService(now, doc.Service)
		}
		l.setDocument(now, c, doc)
	}
	for name, c := range l.groups.services {
		if !inForce[name] {
			l.setDocument(now, c, service.Document{Service: name})
		}
	}
}

func (l *Loop) addService(now time.Duration, name ident.ServiceName) *serviceControl {
	self := lease.Identity{Instance: l.opts.Self.Instance, Incarnation: l.opts.Self.Incarnation}
	c := &serviceControl{
		name:    name,
		lease:   lease.New(lease.DefaultConfig(), self, name),
		planner: group.New(group.DefaultConfig(), name),
	}
	l.groups.services[name] = c
	if l.groups.shuttingDown {
		l.stepLease(now, c, lease.Leave{})
	}
	l.stepPlanner(now, c, l.groups.drains)
	l.stepPlanner(now, c, group.InstancesListed{Instances: l.instances})
	return c
}

func (l *Loop) setDocument(now time.Duration, c *serviceControl, doc service.Document) {
	if reflect.DeepEqual(c.doc, doc) {
		return
	}
	c.doc = doc
	l.stepPlanner(now, c, group.DocumentChanged{Document: doc})
}

// updateDrains reads the drains of a new view and reports whether they changed.
func (l *Loop) updateDrains() bool {
	v := l.config.shell.View()
	if v == l.groups.drainsView {
		return false
	}
	l.groups.drainsView = v
	drains := l.groupDrains()
	changed := !reflect.DeepEqual(drains, l.groups.drains)
	l.groups.drains = drains
	return changed
}

// groupDrains returns the data centres, instances and partners that operators took
// out of service.
func (l *Loop) groupDrains() group.DrainsChanged {
	var out group.DrainsChanged
	for _, d := range l.config.shell.View().Drains {
		if !d.Drain.Out {
			continue
		}
		switch d.Drain.Kind {
		case config.DrainDataCentre:
			out.DataCentres = append(out.DataCentres, ident.DataCentre(d.Drain.Name))
		case config.DrainInstance:
			out.Instances = append(out.Instances, ident.InstanceID(d.Drain.Name))
		case config.DrainPartner:
			out.Partners = append(out.Partners, ident.Partner(d.Drain.Name))
		}
	}
	return out
}

// stepPlanners passes an event to the planners of all services.
func (l *Loop) stepPlanners(now time.Duration, e group.Event) {
	for _, c := range l.groups.services {
		l.stepPlanner(now, c, e)
	}
}

// reportToPlanners passes the result of a status poll to all planners.
func (l *Loop) reportToPlanners(now time.Duration, e memberPolled) {
	r := group.Report{Instance: e.instance, SentAt: e.sentAt, OK: e.err == nil, Status: e.status}
	for _, c := range l.groups.services {
		l.stepPlanner(now, c, r)
	}
}

// groupStopping reports whether this entry instance holds the lease of a group's
// service and has decided to stop the group.
func (l *Loop) groupStopping(name ident.ServiceName, id ident.GroupID) bool {
	c, ok := l.groups.services[name]
	return ok && c.planner.IsStopping(id)
}

// stepPlanner passes one event to a planner and starts the I/O that it requests.
func (l *Loop) stepPlanner(now time.Duration, c *serviceControl, ev group.Event) {
	for _, a := range c.planner.Step(now, ev) {
		switch a := a.(type) {
		case group.ReadAll:
			l.spawn(l.groups.ctx, func() event { return plannerEvent{c.name, l.readGroupRows(c.name)} })
		case group.ReadRow:
			l.spawn(l.groups.ctx, func() event {
				ctx, cancel := context.WithTimeout(l.groups.ctx, storeTimeout)
				defer cancel()
				row, err := leaseio.Get(ctx, l.opts.Table, a.Key)
				return plannerEvent{c.name, group.RowRead{Attempt: a.Attempt, OK: err == nil, Row: row}}
			})
		case group.Transact:
			l.spawn(l.groups.ctx, func() event { return plannerEvent{c.name, l.transact(a)} })
		case group.Command:
			l.spawn(l.groups.ctx, func() event { return plannerEvent{c.name, l.sendCommand(a)} })
		}
	}
}

// readGroupRows reads the head row and the group rows of a service, and the
// assignments of instances to the groups of all services. It runs outside the
// control goroutine.
func (l *Loop) readGroupRows(name ident.ServiceName) group.AllRead {
	ctx, cancel := context.WithTimeout(l.groups.ctx, 5*storeTimeout)
	defer cancel()
	head, err := leaseio.Get(ctx, l.opts.Table, group.HeadKey(name))
	if err != nil {
		return group.AllRead{}
	}
	groups, err := scanRows(ctx, l.opts.Table, group.Table, string(name)+"/")
	if err != nil {
		return group.AllRead{}
	}
	assignments, err := scanRows(ctx, l.opts.Table, group.AssignmentTable, "")
	return group.AllRead{OK: err == nil, Head: head, Groups: groups, Assignments: assignments}
}

// scanRows reads all rows of a table with a key prefix.
func scanRows(ctx context.Context, table infra.Table, name, prefix string) ([]infra.Row, error) {
	var out []infra.Row
	for after := prefix; ; {
		rows, err := table.Scan(ctx, name, after, scanLimit)
		if err != nil {
			return nil, err
		}
		for _, r := range rows {
			if !strings.HasPrefix(r.Key, prefix) {
				return out, nil
			}
			out = append(out, r)
			after = r.Key
		}
		if len(rows) < scanLimit {
			return out, nil
		}
	}
}

// transact sends a transaction to the store. After its deadline, for example because
// the process was paused, it sends nothing.
func (l *Loop) transact(a group.Transact) group.TransactionAnswered {
	out := group.TransactionAnswered{Attempt: a.Attempt, Outcome: infra.OutcomeNotApplied}
	remaining := a.Deadline - l.opts.Now()
	if remaining <= 0 {
		return out
	}
	ctx, cancel := context.WithTimeout(l.groups.ctx, min(remaining, storeTimeout))
	defer cancel()
	l.groups.counters.transactions.Inc(1)
	version, err := l.opts.Table.Txn(ctx, a.Txn)
	out.Version, out.Outcome = version, infra.OutcomeOf(err)
	var conflict *infra.ConflictError
	if errors.As(err, &conflict) {
		out.Rows = conflict.Rows
	}
	return out
}

// sendCommand sends a command to an engine. After its deadline it sends nothing.
func (l *Loop) sendCommand(a group.Command) group.CommandAnswered {
	remaining := a.Deadline - l.opts.Now()
	if remaining <= 0 {
		return group.CommandAnswered{ID: a.ID, Outcome: group.CommandRefused}
	}
	ctx, cancel := context.WithTimeout(l.groups.ctx, remaining)
	defer cancel()
	l.groups.counters.commands.Inc(1)
	var err error
	switch {
	case a.Assign != nil:
		err = l.opts.Engines.Assign(ctx, a.Address, *a.Assign)
	case a.Release != nil:
		err = l.opts.Engines.Release(ctx, a.Address, *a.Release)
	case a.Preload != nil:
		err = l.opts.Engines.Preload(ctx, a.Address, *a.Preload)
	}
	return group.CommandAnswered{ID: a.ID, Outcome: l.commandOutcome(err)}
}

// commandOutcome counts a failed command and maps its error to an outcome.
func (l *Loop) commandOutcome(err error) group.CommandOutcome {
	if err == nil {
		return group.CommandDone
	}
	l.groups.counters.commandErrors.Inc(1)
	if errors.Is(err, engine.ErrCommandOutcomeUnknown) {
		return group.CommandUnknown
	}
	return group.CommandRefused
}
