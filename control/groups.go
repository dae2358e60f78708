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

// groupsPart drives a lease and a planner per model service.
type groupsPart struct {
	services map[ident.ServiceName]*serviceControl
	drains   group.DrainsChanged
	// documentsFrom and drainsFrom are the views that documents and drains were
	// taken over from. A view is replaced when anything in it changes.
	documentsFrom, drainsFrom *config.View
	leaving                   bool
	counters                  groupCounters
	// ctx ends the I/O that the machines asked for.
	ctx    context.Context
	cancel context.CancelFunc
}

// serviceControl is the control of one service.
type serviceControl struct {
	name    ident.ServiceName
	doc     service.Document
	lease   *lease.Machine
	planner *group.Planner
	// rank is the place of this entry instance among the live ones.
	rank   int
	ranked bool
}

type groupCounters struct {
	acquired, lost, leaseWrites tally.Counter
	commands, commandErrors     tally.Counter
	transactions                tally.Counter
	formed, swapped, dissolved  tally.Gauge
	conflicts, unknown          tally.Gauge
	held                        tally.Gauge
}

func (l *Loop) startGroups() {
	g := &l.groups
	g.services = make(map[ident.ServiceName]*serviceControl)
	g.ctx, g.cancel = context.WithCancel(context.Background())
	s := l.opts.Scope
	g.counters = groupCounters{
		acquired:      s.Counter("leases_acquired_total"),
		lost:          s.Counter("leases_ended_total"),
		leaseWrites:   s.Counter("lease_writes_total"),
		commands:      s.Counter("engine_commands_total"),
		commandErrors: s.Counter("engine_command_errors_total"),
		transactions:  s.Counter("group_transactions_total"),
		formed:        s.Gauge("groups_formed"),
		swapped:       s.Gauge("groups_swapped"),
		dissolved:     s.Gauge("groups_dissolved"),
		conflicts:     s.Gauge("group_transaction_conflicts"),
		unknown:       s.Gauge("group_transaction_outcomes_unknown"),
		held:          s.Gauge("leases_held"),
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

// tickGroups follows the documents and lets time pass for the machines.
func (l *Loop) tickGroups(now time.Duration) {
	l.followDocuments(now)
	changed := l.followDrains()
	live, ranked := l.liveEntries()
	held := 0
	var sum group.Counters
	for _, c := range l.groups.services {
		if changed {
			l.stepPlanner(now, c, l.groups.drains)
		}
		if ranked || !c.ranked {
			c.rank, c.ranked = lease.Rank(c.name, l.opts.Self.Instance, live), true
		}
		l.stepLease(now, c, lease.RankChanged{Rank: c.rank})
		l.stepPlanner(now, c, group.Tick{})
		if _, ok := c.lease.Held(now); ok {
			held++
		}
		sum = sum.Add(c.planner.Counters)
	}
	l.groups.counters.report(sum, held)
}

func (c *groupCounters) report(sum group.Counters, held int) {
	c.held.Update(float64(held))
	c.formed.Update(float64(sum.Formed))
	c.swapped.Update(float64(sum.Swapped))
	c.dissolved.Update(float64(sum.Dissolved))
	c.conflicts.Update(float64(sum.Conflicts))
	c.unknown.Update(float64(sum.UnknownOutcomes))
}

// followDocuments starts control of new services. A plain service has a lease,
// whose holder owns its credits, but no groups. A service without a document
// gives up its groups.
func (l *Loop) followDocuments(now time.Duration) {
	if !l.ready() {
		// An older document must not change groups.
		return
	}
	v := l.config.shell.View()
	if v == l.groups.documentsFrom {
		return
	}
	l.groups.documentsFrom = v
	seen := make(map[ident.ServiceName]bool)
	for _, doc := range l.serviceDocuments() {
		c, ok := l.groups.services[doc.Service]
		if doc.Kind != service.KindModel {
			doc = service.Document{Service: doc.Service}
		}
		seen[doc.Service] = true
		if !ok {
			c = l.addService(now, doc.Service)
		}
		l.setDocument(now, c, doc)
	}
	for name, c := range l.groups.services {
		if !seen[name] {
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
	if l.groups.leaving {
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

// followDrains takes the drains of a new view over and reports a change.
func (l *Loop) followDrains() bool {
	v := l.config.shell.View()
	if v == l.groups.drainsFrom {
		return false
	}
	l.groups.drainsFrom = v
	drains := l.groupDrains()
	changed := !reflect.DeepEqual(drains, l.groups.drains)
	l.groups.drains = drains
	return changed
}

// groupDrains returns what operators took out of service.
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

// groupInstances passes a read of the instance list to the planners.
func (l *Loop) groupInstances(now time.Duration, e group.Event) {
	for _, c := range l.groups.services {
		l.stepPlanner(now, c, e)
	}
}

// groupReport passes a status poll to the planners.
func (l *Loop) groupReport(now time.Duration, e memberPolled) {
	r := group.Report{Instance: e.instance, SentAt: e.sent, OK: e.err == nil, Status: e.status}
	for _, c := range l.groups.services {
		l.stepPlanner(now, c, r)
	}
}

// groupStopping reports whether this entry holds the lease of a group's service
// and has decided that the group stops.
func (l *Loop) groupStopping(name ident.ServiceName, id ident.GroupID) bool {
	c, ok := l.groups.services[name]
	return ok && c.planner.IsStopping(id)
}

// stepPlanner handles one event and starts the I/O that the planner asks for.
func (l *Loop) stepPlanner(now time.Duration, c *serviceControl, ev group.Event) {
	for _, a := range c.planner.Step(now, ev) {
		switch a := a.(type) {
		case group.ReadAll:
			l.spawn(l.groups.ctx, func() event { return plannerEvent{c.name, l.readAll(c.name)} })
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
			l.spawn(l.groups.ctx, func() event { return plannerEvent{c.name, l.command(a)} })
		}
	}
}

// readAll reads the rows of a service. It runs outside the control goroutine.
func (l *Loop) readAll(name ident.ServiceName) group.AllRead {
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

// transact sends a transaction unless its deadline has passed, for instance
// because the process was paused.
func (l *Loop) transact(a group.Transact) group.TransactionAnswered {
	out := group.TransactionAnswered{Attempt: a.Attempt, Outcome: infra.OutcomeNotApplied}
	left := a.Deadline - l.opts.Now()
	if left <= 0 {
		return out
	}
	ctx, cancel := context.WithTimeout(l.groups.ctx, min(left, storeTimeout))
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

// command sends an engine command unless its deadline has passed.
func (l *Loop) command(a group.Command) group.CommandAnswered {
	left := a.Deadline - l.opts.Now()
	if left <= 0 {
		return group.CommandAnswered{ID: a.ID, Outcome: group.CommandRefused}
	}
	ctx, cancel := context.WithTimeout(l.groups.ctx, left)
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
