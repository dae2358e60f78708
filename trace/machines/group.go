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
	pollInterval = 250 * time.Millisecond
	// leaseLength is how long the modelled lease lasts without the store.
	leaseLength = 4900 * time.Millisecond
	commandTime = 10 * time.Millisecond
	loadTime    = 2 * time.Second
	// preloadedTime is the load time of weights that are in memory.
	preloadedTime = 200 * time.Millisecond
)

// Group replays the planner of one service with models of its engines. The
// lease is held while the store answers.
type Group struct {
	store    *store
	schedule schedule
	planner  *group.Planner
	engines  map[ident.InstanceID]*groupEngine
	order    []ident.InstanceID
	drains   group.DrainsChanged
	held     bool
	// holder is the entry instance that runs the planner: the first one of the
	// trace. While it is paused, answers wait in inbox.
	holder ident.InstanceID
	paused bool
	inbox  []group.Event
	// expires is when the lease that the planner knows of ends.
	expires   time.Duration
	epoch     ident.Epoch
	lastStore time.Duration
	nextPoll  time.Duration
	ready     int
}

type groupEngine struct {
	info   infra.Instance
	run    int
	status engine.Status
	// alive and reachable are false while the engine is dead or cut off.
	alive, reachable bool
	weights          map[string]bool
	loads            int
	members          []engine.Member
	// lost is the incarnation that was lost last, where the trace tells it.
	lost ident.Incarnation
}

// Name implements trace.Machine.
func (g *Group) Name() string { return "group" }

// Start implements trace.Machine.
func (g *Group) Start(trace.Header) error {
	*g = Group{
		store:   newStore(),
		planner: group.New(group.DefaultConfig(), serviceName),
		engines: make(map[ident.InstanceID]*groupEngine),
		ready:   -1,
	}
	return nil
}

// Step implements trace.Machine.
func (g *Group) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := g.schedule.due(now)
	switch e.Kind {
	case trace.KindStore:
		g.store.state = e.Store.State
	case trace.KindInstance:
		out = append(out, g.listed(now, *e.Instance)...)
	case trace.KindMemberLost:
		g.paused = g.paused || e.Member.Instance == g.holder && e.Member.Reason == "paused"
		g.lose(e.Member)
	case trace.KindMemberReturned:
		g.back(e.Member)
		if e.Member.Instance == g.holder && g.paused {
			out = append(out, g.wake(now)...)
		}
	case trace.KindDrain:
		out = append(out, g.drain(now, e.Drain)...)
	case trace.KindEdit:
		doc, err := editedDocument(e.Edit)
		if err != nil {
			return nil, err
		}
		if doc.Service == serviceName && !e.Edit.Refused {
			out = append(out, g.feed(now, group.DocumentChanged{Document: doc})...)
		}
	case trace.KindTick:
		out = append(out, g.tick(now)...)
	}
	return append(out, g.observe(now)...), nil
}

// editedDocument returns the document of an edit. A deleted one asks for no
// groups.
func editedDocument(e *trace.Edit) (service.Document, error) {
	if e.Document == "" {
		return service.Document{Service: e.Service}, nil
	}
	return service.Parse([]byte(e.Document))
}

func (g *Group) listed(now time.Duration, inst infra.Instance) []trace.Decision {
	if inst.Kind == infra.KindEntry && g.holder == "" {
		g.holder = inst.ID
	}
	if inst.Kind != infra.KindEngine {
		return nil
	}
	if e, ok := g.engines[inst.ID]; ok {
		e.info = inst
	} else {
		g.order = append(g.order, inst.ID)
		g.engines[inst.ID] = &groupEngine{info: inst}
		g.engines[inst.ID].boot()
	}
	var all []infra.Instance
	for _, id := range g.order {
		all = append(all, g.engines[id].info)
	}
	return g.feed(now, group.InstancesListed{Instances: all})
}

// boot starts a new, cold incarnation without weights.
func (e *groupEngine) boot() {
	e.run++
	e.alive, e.reachable = true, true
	e.weights = make(map[string]bool)
	e.members = nil
	e.status = engine.Status{
		Instance: e.info.ID, Incarnation: ident.Incarnation(fmt.Sprintf("%s-%d", e.info.ID, e.run)),
		State: engine.StateIdle, ColdLimit: 2, Limit: 16, TokenCapacity: 100_000, TokenMicros: 20_000,
	}
}

func (g *Group) lose(m *trace.Member) {
	e, ok := g.engines[m.Instance]
	if !ok {
		return
	}
	e.reachable, e.lost = false, m.Incarnation
	if m.Reason == "killed" || m.Reason == "crashed" {
		e.alive = false
	}
}

func (g *Group) back(m *trace.Member) {
	e, ok := g.engines[m.Instance]
	if !ok {
		return
	}
	if !e.alive || m.Incarnation != e.lost {
		e.boot()
	}
	e.reachable = true
}

func (g *Group) drain(now time.Duration, d *trace.Drain) []trace.Decision {
	c := &g.drains
	switch d.Kind {
	case "datacentre":
		c.DataCentres = toggle(c.DataCentres, ident.DataCentre(d.Name), !d.Restored)
	case "instance":
		c.Instances = toggle(c.Instances, ident.InstanceID(d.Name), !d.Restored)
	case "partner":
		c.Partners = toggle(c.Partners, ident.Partner(d.Name), !d.Restored)
	}
	return g.feed(now, *c)
}

// toggle returns a copy with or without a value.
func toggle[T comparable](list []T, v T, in bool) []T {
	var out []T
	for _, have := range list {
		if have != v {
			out = append(out, have)
		}
	}
	if in {
		out = append(out, v)
	}
	return out
}

// wake delivers what came for the paused holder, before it looks at its lease.
func (g *Group) wake(now time.Duration) []trace.Decision {
	inbox := g.inbox
	g.paused, g.inbox = false, nil
	var out []trace.Decision
	for _, ev := range inbox {
		out = append(out, g.feed(now, ev)...)
	}
	return out
}

func (g *Group) tick(now time.Duration) []trace.Decision {
	if g.paused {
		g.failLeaders()
		return nil
	}
	out := g.lease(now)
	g.failLeaders()
	if now >= g.nextPoll {
		g.nextPoll = now + pollInterval
		for _, id := range g.order {
			e := g.engines[id]
			out = append(out, g.feed(now, group.Report{Instance: id, SentAt: now, OK: e.reachable, Status: e.status})...)
		}
	}
	return append(out, g.feed(now, group.Tick{})...)
}

// lease keeps the lease while the store answers and gives it a new epoch after
// an outage that outlasted it.
func (g *Group) lease(now time.Duration) []trace.Decision {
	lapsed := now >= g.lastStore+leaseLength
	if g.store.state != trace.StoreDown {
		g.lastStore = now
	}
	expires := g.lastStore + leaseLength
	switch {
	case g.held && lapsed:
		g.held = false
		return append(g.feed(now, group.LeaseChanged{}), decide("lease-lost", serviceName, "epoch %d", g.epoch))
	case !g.held && g.store.state != trace.StoreDown:
		g.held = true
		g.epoch++
		key := lease.EpochKey(serviceName)
		// The row is written with the previous version as its condition.
		g.store.version++
		g.store.rows[key] = infra.Row{RowKey: key, Version: g.store.version}
	case !g.held:
		return nil
	}
	g.expires = expires
	return g.feed(now, group.LeaseChanged{Held: true, Grant: lease.Grant{
		Epoch: g.epoch, EpochVersion: g.store.get(lease.EpochKey(serviceName)).Version, Expires: expires,
	}})
}

// failLeaders lets a leader notice that a member of its group is gone.
func (g *Group) failLeaders() {
	for _, id := range g.order {
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

// feed hands an event to the planner and carries out its actions.
func (g *Group) feed(now time.Duration, ev group.Event) []trace.Decision {
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
			g.answer(now, g.store.delay(), done)
		case group.ReadRow:
			g.answer(now, g.store.delay(), group.RowRead{Attempt: a.Attempt, OK: g.store.state != trace.StoreDown, Row: g.store.get(a.Key)})
		case group.Transact:
			out = append(out, g.bounded(now, a.Deadline)...)
			outcome, version, rows := g.store.txn(a.Txn)
			g.answer(now, g.store.delay(), group.TransactionAnswered{Attempt: a.Attempt, Outcome: outcome, Version: version, Rows: rows})
			out = append(out, g.membership()...)
		case group.Command:
			out = append(out, g.bounded(now, a.Deadline)...)
			g.schedule.after(now, commandTime, func(now time.Duration) []trace.Decision { return g.command(now, a) })
		}
	}
	return out
}

// bounded reports an action that may be carried out after the lease.
func (g *Group) bounded(now, deadline time.Duration) []trace.Decision {
	if now < g.expires && deadline <= g.expires {
		return nil
	}
	return []trace.Decision{decide(ActionViolation, serviceName, "acts until %s, its lease ends at %s", deadline, g.expires)}
}

func (g *Group) answer(now, delay time.Duration, ev group.Event) {
	g.schedule.after(now, delay, func(now time.Duration) []trace.Decision { return g.feed(now, ev) })
}

// command delivers a command to an engine model.
func (g *Group) command(now time.Duration, c group.Command) []trace.Decision {
	e := g.engines[c.Instance]
	if e == nil || !e.reachable {
		return g.feed(now, group.CommandAnswered{ID: c.ID, Outcome: group.CommandUnknown})
	}
	var out []trace.Decision
	switch {
	case c.Assign != nil:
		out = g.assign(now, e, c.Assign)
	case c.Release != nil:
		if e.status.Group == c.Release.Group && e.status.Epoch == c.Release.Epoch {
			e.leave()
		}
		out = append(out, decide("release", string(c.Instance), "%s/%d", c.Release.Group, c.Release.Epoch))
	case c.Preload != nil:
		name := c.Preload.Model + "@" + c.Preload.Version
		run := e.run
		g.schedule.after(now, loadTime, func(time.Duration) []trace.Decision {
			if e.run == run {
				e.weights[name] = true
				e.status.Preloaded = []string{name}
			}
			return nil
		})
		out = append(out, decide("preload", string(c.Instance), "%s", name))
	}
	return append(out, g.feed(now, group.CommandAnswered{ID: c.ID, Outcome: group.CommandDone})...)
}

func (e *groupEngine) leave() {
	e.loads++
	e.members = nil
	e.status.State, e.status.Group, e.status.Epoch, e.status.Service = engine.StateIdle, "", 0, ""
	e.status.Rank, e.status.Size = 0, 0
}

func (g *Group) assign(now time.Duration, e *groupEngine, c *engine.AssignCommand) []trace.Decision {
	s := &e.status
	if s.Group == c.Group && s.Epoch == c.Epoch {
		return nil
	}
	out := []trace.Decision{decide("assign", string(e.info.ID), "%s/%d rank %d of %d", c.Group, c.Epoch, c.Rank, len(c.Members))}
	if s.Group != "" && s.Group != c.Group {
		out = append(out, decide(ActionViolation, string(e.info.ID), "assigned to %s while it holds %s", c.Group, s.Group))
	}
	s.Group, s.Epoch, s.Service, s.Role, s.Rank, s.Size = c.Group, c.Epoch, c.Service, c.Role, c.Rank, len(c.Members)
	s.Model, s.Version, s.Adapters, s.Fencing = c.Model, c.Version, c.Adapters, c.Fencing
	s.State = engine.StateLoading
	e.members = c.Members
	e.loads++
	load, run, name := e.loads, e.run, c.Model+"@"+c.Version
	wait := loadTime
	if e.weights[name] {
		wait = preloadedTime
	}
	g.schedule.after(now, wait, func(time.Duration) []trace.Decision {
		if e.run == run && e.loads == load {
			e.status.State = engine.StateReady
			e.weights[name] = true
		}
		return nil
	})
	return out
}

// membership reports an instance that the store lists in two groups.
func (g *Group) membership() []trace.Decision {
	var out []trace.Decision
	owner := make(map[ident.InstanceID]ident.GroupID)
	for _, r := range g.store.scan(group.Table) {
		row, ok := group.DecodeRow(r)
		if !ok {
			continue
		}
		for _, m := range row.Members {
			if other, taken := owner[m.Instance]; taken {
				out = append(out, decide(ActionViolation, string(m.Instance), "the store lists it in %s and %s", other, row.ID))
			}
			owner[m.Instance] = row.ID
		}
	}
	return out
}

// observe reports changes of the number of confirmed groups, and a confirmed
// group with a member that belongs to another one by now.
func (g *Group) observe(now time.Duration) []trace.Decision {
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
	if len(confirmed) != g.ready {
		g.ready = len(confirmed)
		out = append(out, decide("confirmed-groups", serviceName, "%d", g.ready))
	}
	return out
}
