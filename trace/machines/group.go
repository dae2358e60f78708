package machines

import (
	"fmt"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/trace"
)

const (
	// pollInterval is the interval at which engines and backend servers are polled.
	pollInterval = 250 * time.Millisecond
	// leaseDuration is how long the modelled lease lasts without a renewal.
	leaseDuration = 4900 * time.Millisecond
	// commandDelay is the time until a command reaches an engine.
	commandDelay = 10 * time.Millisecond
	// loadTime is the time to load weights that are not in memory.
	loadTime = 2 * time.Second
	// preloadedTime is the time to load weights that are in memory.
	preloadedTime = 200 * time.Millisecond
)

// Group replays the group planner of one service, with models of its engines. The
// planner holds the lease while the store answers.
type Group struct {
	store       *store
	schedule    schedule
	planner     *group.Planner
	engines     map[ident.InstanceID]*groupEngine
	engineOrder []ident.InstanceID
	drains      group.DrainsChanged
	leaseHeld   bool
	// holder is the entry instance that runs the planner: the first one of the
	// trace. While it is paused, events are queued in inbox.
	holder ident.InstanceID
	paused bool
	inbox  []group.Event
	// leaseExpires is the expiry of the lease that was last passed to the planner.
	leaseExpires     time.Duration
	epoch            ident.Epoch
	lastStoreContact time.Duration
	nextPoll         time.Duration
	// confirmedCount is the last reported number of confirmed groups, or -1.
	confirmedCount int
}

// groupEngine models one engine instance.
type groupEngine struct {
	instance  infra.Instance
	bootCount int
	status    engine.Status
	// alive is false after the engine was killed or crashed. reachable is false
	// while it is lost for any reason.
	alive, reachable bool
	weights          map[string]bool
	// loadCount counts assignments and releases. A load that is in progress when
	// it changes is discarded.
	loadCount int
	members   []engine.Member
	// lostIncarnation is the incarnation in the engine's last member-lost event. It
	// may be empty.
	lostIncarnation ident.Incarnation
}

// Name implements trace.Machine.
func (g *Group) Name() string { return "group" }

// Start implements trace.Machine.
func (g *Group) Start(trace.Header) error {
	*g = Group{
		store:          newStore(),
		planner:        group.New(group.DefaultConfig(), serviceName),
		engines:        make(map[ident.InstanceID]*groupEngine),
		confirmedCount: -1,
	}
	return nil
}

// Step implements trace.Machine.
func (g *Group) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := g.schedule.runDue(now)
	switch e.Kind {
	case trace.KindStore:
		g.store.state = e.Store.State
	case trace.KindInstance:
		out = append(out, g.updateInstance(now, *e.Instance)...)
	case trace.KindMemberLost:
		g.paused = g.paused || e.Member.Instance == g.holder && e.Member.Reason == "paused"
		g.applyLoss(e.Member)
	case trace.KindMemberReturned:
		g.applyReturn(e.Member)
		if e.Member.Instance == g.holder && g.paused {
			out = append(out, g.resume(now)...)
		}
	case trace.KindDrain:
		out = append(out, g.applyDrain(now, e.Drain)...)
	case trace.KindEdit:
		doc, err := editedDocument(e.Edit)
		if err != nil {
			return nil, err
		}
		if doc.Service == serviceName && !e.Edit.Refused {
			out = append(out, g.deliver(now, group.DocumentChanged{Document: doc})...)
		}
	case trace.KindTick:
		out = append(out, g.tick(now)...)
	}
	return append(out, g.checkConfirmed(now)...), nil
}

// editedDocument returns the document of an edit. For a deleted document, it returns
// one that requests no groups.
func editedDocument(e *trace.Edit) (service.Document, error) {
	if e.Document == "" {
		return service.Document{Service: e.Service}, nil
	}
	return service.Parse([]byte(e.Document))
}

// updateInstance adds or changes an instance and passes the list of engines to the
// planner.
func (g *Group) updateInstance(now time.Duration, inst infra.Instance) []trace.Decision {
	if inst.Kind == infra.KindEntry && g.holder == "" {
		g.holder = inst.ID
	}
	if inst.Kind != infra.KindEngine {
		return nil
	}
	if e, ok := g.engines[inst.ID]; ok {
		e.instance = inst
	} else {
		g.engineOrder = append(g.engineOrder, inst.ID)
		g.engines[inst.ID] = &groupEngine{instance: inst}
		g.engines[inst.ID].boot()
	}
	var all []infra.Instance
	for _, id := range g.engineOrder {
		all = append(all, g.engines[id].instance)
	}
	return g.deliver(now, group.InstancesListed{Instances: all})
}

// boot starts a new incarnation that has no weights loaded.
func (e *groupEngine) boot() {
	e.bootCount++
	e.alive, e.reachable = true, true
	e.weights = make(map[string]bool)
	e.members = nil
	e.status = engine.Status{
		Instance: e.instance.ID, Incarnation: ident.Incarnation(fmt.Sprintf("%s-%d", e.instance.ID, e.bootCount)),
		State: engine.StateIdle, ColdLimit: 2, Limit: 16, TokenCapacity: 100_000, TokenMicros: 20_000,
	}
}

// applyLoss applies the loss of an engine.
func (g *Group) applyLoss(m *trace.Member) {
	e, ok := g.engines[m.Instance]
	if !ok {
		return
	}
	e.reachable, e.lostIncarnation = false, m.Incarnation
	if m.Reason == "killed" || m.Reason == "crashed" {
		e.alive = false
	}
}

// applyReturn applies the return of an engine. It is a new incarnation if the lost one
// was killed or crashed, or if the event names another incarnation.
func (g *Group) applyReturn(m *trace.Member) {
	e, ok := g.engines[m.Instance]
	if !ok {
		return
	}
	if !e.alive || m.Incarnation != e.lostIncarnation {
		e.boot()
	}
	e.reachable = true
}

// applyDrain updates the drains and passes them to the planner.
func (g *Group) applyDrain(now time.Duration, d *trace.Drain) []trace.Decision {
	c := &g.drains
	switch d.Kind {
	case "datacentre":
		c.DataCentres = withValue(c.DataCentres, ident.DataCentre(d.Name), !d.Restored)
	case "instance":
		c.Instances = withValue(c.Instances, ident.InstanceID(d.Name), !d.Restored)
	case "partner":
		c.Partners = withValue(c.Partners, ident.Partner(d.Name), !d.Restored)
	}
	return g.deliver(now, *c)
}

// withValue returns a copy of a list that contains a value if in is set, and does not
// contain it otherwise.
func withValue[T comparable](list []T, v T, in bool) []T {
	var out []T
	for _, x := range list {
		if x != v {
			out = append(out, x)
		}
	}
	if in {
		out = append(out, v)
	}
	return out
}

// resume ends the pause of the holder. It delivers the queued events before the
// holder's lease is checked.
func (g *Group) resume(now time.Duration) []trace.Decision {
	inbox := g.inbox
	g.paused, g.inbox = false, nil
	var out []trace.Decision
	for _, ev := range inbox {
		out = append(out, g.deliver(now, ev)...)
	}
	return out
}

// tick updates the lease and the engines, and passes polls and a tick to the planner.
func (g *Group) tick(now time.Duration) []trace.Decision {
	if g.paused {
		g.failLeaders()
		return nil
	}
	out := g.updateLease(now)
	g.failLeaders()
	if now >= g.nextPoll {
		g.nextPoll = now + pollInterval
		for _, id := range g.engineOrder {
			e := g.engines[id]
			out = append(out, g.deliver(now, group.Report{Instance: id, SentAt: now, OK: e.reachable, Status: e.status})...)
		}
	}
	return append(out, g.deliver(now, group.Tick{})...)
}

// updateLease renews the lease while the store answers. After an outage that is longer
// than the lease, it acquires the lease with a new epoch.
func (g *Group) updateLease(now time.Duration) []trace.Decision {
	lapsed := now >= g.lastStoreContact+leaseDuration
	if g.store.state != trace.StoreDown {
		g.lastStoreContact = now
	}
	expires := g.lastStoreContact + leaseDuration
	switch {
	case g.leaseHeld && lapsed:
		g.leaseHeld = false
		return append(g.deliver(now, group.LeaseChanged{}), decide("lease-lost", serviceName, "epoch %d", g.epoch))
	case !g.leaseHeld && g.store.state != trace.StoreDown:
		g.leaseHeld = true
		g.epoch++
		key := lease.EpochKey(serviceName)
		// The row is written with the previous version as its condition.
		g.store.version++
		g.store.rows[key] = infra.Row{RowKey: key, Version: g.store.version}
	case !g.leaseHeld:
		return nil
	}
	g.leaseExpires = expires
	return g.deliver(now, group.LeaseChanged{Held: true, Grant: lease.Grant{
		Epoch: g.epoch, EpochVersion: g.store.get(lease.EpochKey(serviceName)).Version, Expires: expires,
	}})
}

// failLeaders sets a group's leader to failed when a member of the group is
// unreachable or idle.
func (g *Group) failLeaders() {
	for _, id := range g.engineOrder {
		e := g.engines[id]
		if !e.alive || e.status.Rank != 0 || e.status.State != engine.StateReady {
			continue
		}
		for _, m := range e.members {
			o := g.engines[m.Instance]
			if o != nil && (!o.reachable || o.status.State == engine.StateIdle) {
				e.status.State = engine.StateFailed
			}
		}
	}
}

// deliver passes an event to the planner and executes its actions. While the holder is
// paused, it queues the event.
func (g *Group) deliver(now time.Duration, ev group.Event) []trace.Decision {
	if g.paused {
		g.inbox = append(g.inbox, ev)
		return nil
	}
	var out []trace.Decision
	for _, a := range g.planner.Step(now, ev) {
		switch a := a.(type) {
		case group.ReadAll:
			done := group.AllRead{
				OK: g.store.state != trace.StoreDown, Head: g.store.get(group.HeadKey(serviceName)),
				Groups: g.store.scan(group.Table), Assignments: g.store.scan(group.AssignmentTable),
			}
			g.deliverAfter(now, g.store.callDelay(), done)
		case group.ReadRow:
			g.deliverAfter(now, g.store.callDelay(), group.RowRead{Attempt: a.Attempt, OK: g.store.state != trace.StoreDown, Row: g.store.get(a.Key)})
		case group.Transact:
			out = append(out, g.checkDeadline(now, a.Deadline)...)
			outcome, version, rows := g.store.txn(a.Txn)
			g.deliverAfter(now, g.store.callDelay(), group.TransactionAnswered{Attempt: a.Attempt, Outcome: outcome, Version: version, Rows: rows})
			out = append(out, g.checkMembership()...)
		case group.Command:
			out = append(out, g.checkDeadline(now, a.Deadline)...)
			g.schedule.after(now, commandDelay, func(now time.Duration) []trace.Decision { return g.executeCommand(now, a) })
		}
	}
	return out
}

// checkDeadline reports a violation when an action may be executed after the lease has
// ended.
func (g *Group) checkDeadline(now, deadline time.Duration) []trace.Decision {
	if now < g.leaseExpires && deadline <= g.leaseExpires {
		return nil
	}
	return []trace.Decision{decide(ActionViolation, serviceName, "acts until %s, its lease ends at %s", deadline, g.leaseExpires)}
}

// deliverAfter delivers an event to the planner after a delay.
func (g *Group) deliverAfter(now, delay time.Duration, ev group.Event) {
	g.schedule.after(now, delay, func(now time.Duration) []trace.Decision { return g.deliver(now, ev) })
}

// executeCommand executes a command on the model of an engine and delivers the result
// to the planner.
func (g *Group) executeCommand(now time.Duration, c group.Command) []trace.Decision {
	e := g.engines[c.Instance]
	if e == nil || !e.reachable {
		return g.deliver(now, group.CommandAnswered{ID: c.ID, Outcome: group.CommandUnknown})
	}
	var out []trace.Decision
	switch {
	case c.Assign != nil:
		out = g.assign(now, e, c.Assign)
	case c.Release != nil:
		if e.status.Group == c.Release.Group && e.status.Epoch == c.Release.Epoch {
			e.leaveGroup()
		}
		out = append(out, decide("release", string(c.Instance), "%s/%d", c.Release.Group, c.Release.Epoch))
	case c.Preload != nil:
		name := c.Preload.Model + "@" + c.Preload.Version
		boot := e.bootCount
		g.schedule.after(now, loadTime, func(time.Duration) []trace.Decision {
			if e.bootCount == boot {
				e.weights[name] = true
				e.status.Preloaded = []string{name}
			}
			return nil
		})
		out = append(out, decide("preload", string(c.Instance), "%s", name))
	}
	return append(out, g.deliver(now, group.CommandAnswered{ID: c.ID, Outcome: group.CommandDone})...)
}

// leaveGroup makes the engine idle.
func (e *groupEngine) leaveGroup() {
	e.loadCount++
	e.members = nil
	e.status.State, e.status.Group, e.status.Epoch, e.status.Service = engine.StateIdle, "", 0, ""
	e.status.Rank, e.status.Size = 0, 0
}

// assign makes an engine a member of a group and starts to load the model.
func (g *Group) assign(now time.Duration, e *groupEngine, c *engine.AssignCommand) []trace.Decision {
	s := &e.status
	if s.Group == c.Group && s.Epoch == c.Epoch {
		return nil
	}
	out := []trace.Decision{decide("assign", string(e.instance.ID), "%s/%d rank %d of %d", c.Group, c.Epoch, c.Rank, len(c.Members))}
	if s.Group != "" && s.Group != c.Group {
		out = append(out, decide(ActionViolation, string(e.instance.ID), "assigned to %s while it holds %s", c.Group, s.Group))
	}
	s.Group, s.Epoch, s.Service, s.Role, s.Rank, s.Size = c.Group, c.Epoch, c.Service, c.Role, c.Rank, len(c.Members)
	s.Model, s.Version, s.Adapters, s.Fencing = c.Model, c.Version, c.Adapters, c.Fencing
	s.State = engine.StateLoading
	e.members = c.Members
	e.loadCount++
	load, boot, name := e.loadCount, e.bootCount, c.Model+"@"+c.Version
	wait := loadTime
	if e.weights[name] {
		wait = preloadedTime
	}
	g.schedule.after(now, wait, func(time.Duration) []trace.Decision {
		if e.bootCount == boot && e.loadCount == load {
			e.status.State = engine.StateReady
			e.weights[name] = true
		}
		return nil
	})
	return out
}

// checkMembership reports a violation when the store lists an instance in two groups.
func (g *Group) checkMembership() []trace.Decision {
	var out []trace.Decision
	groupOf := make(map[ident.InstanceID]ident.GroupID)
	for _, r := range g.store.scan(group.Table) {
		row, ok := group.DecodeRow(r)
		if !ok {
			continue
		}
		for _, m := range row.Members {
			if other, exists := groupOf[m.Instance]; exists {
				out = append(out, decide(ActionViolation, string(m.Instance), "the store lists it in %s and %s", other, row.ID))
			}
			groupOf[m.Instance] = row.ID
		}
	}
	return out
}

// checkConfirmed reports changes of the number of confirmed groups. It reports a
// violation when a member of a confirmed group already belongs to another group.
func (g *Group) checkConfirmed(now time.Duration) []trace.Decision {
	var out []trace.Decision
	confirmed := g.planner.Confirmed(now)
	for _, c := range confirmed {
		for _, id := range c.Members {
			s := &g.engines[id].status
			if s.Group != "" && (s.Group != c.ID || s.Epoch != c.Epoch) {
				out = append(out, decide(ActionViolation, string(c.ID), "confirmed with %s, which holds %s/%d", id, s.Group, s.Epoch))
			}
		}
	}
	if len(confirmed) != g.confirmedCount {
		g.confirmedCount = len(confirmed)
		out = append(out, decide("confirmed-groups", serviceName, "%d", g.confirmedCount))
	}
	return out
}
