package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// ModelEngine is one engine instance.
type ModelEngine struct {
	Info infra.Instance

	m       *Model
	run     int
	status  engine.Status
	members []engine.Member
	// seen is the incarnation of each member when the leader became ready.
	seen []ident.Incarnation
	// token is the fencing token of the assignment that the engine holds.
	token   ident.Epoch
	dead    bool
	paused  time.Duration
	waiting []func()
}

func (e *ModelEngine) boot() {
	e.run++
	e.dead = false
	e.members, e.waiting = nil, nil
	e.status = engine.Status{
		Instance:    e.Info.ID,
		Incarnation: ident.Incarnation(fmt.Sprintf("%s#%d", e.Info.ID, e.run)),
		State:       engine.StateIdle, TokenMicros: 5000, ColdLimit: 1, Limit: 16,
	}
}

func (e *ModelEngine) alive() bool { return !e.dead && e.m.Now >= e.paused }

// Kill ends the engine; it comes back as a new incarnation after a time.
func (e *ModelEngine) Kill(down time.Duration) {
	if e.dead {
		return
	}
	e.dead = true
	e.members = nil
	e.status = engine.Status{}
	e.m.At(e.m.Now+down, e.boot)
}

// Pause stops the engine for a time. Commands that reach it meanwhile act when
// it wakes, in any order.
func (e *ModelEngine) Pause(d time.Duration) {
	e.paused = max(e.paused, e.m.Now+d)
	e.m.At(e.paused, func() {
		if !e.alive() {
			return
		}
		waiting := e.waiting
		e.waiting = nil
		e.m.rng.Shuffle(len(waiting), func(i, j int) { waiting[i], waiting[j] = waiting[j], waiting[i] })
		for _, run := range waiting {
			// Handlers run up to 0.9 s after the process woke.
			e.m.At(e.m.Now+e.m.between(0, 900*time.Millisecond), run)
		}
	})
}

// SetTokenTime sets the time per token.
func (e *ModelEngine) SetTokenTime(micros int) { e.status.TokenMicros = micros }

// poll answers a status poll.
func (e *ModelEngine) poll() (engine.Status, bool) {
	if !e.alive() {
		return engine.Status{}, false
	}
	s := e.status
	s.Preloaded = slices.Clone(s.Preloaded)
	return s, true
}

func (e *ModelEngine) leads() bool {
	return e.alive() && e.status.State == engine.StateReady && e.status.Rank == 0 && len(e.members) > 0
}

// whole reports whether all members hold the leader's group and epoch.
func (e *ModelEngine) whole() bool {
	for rank, member := range e.members {
		o := e.m.byID[member.Instance]
		if !o.alive() || o.status.Group != e.status.Group || o.status.Epoch != e.status.Epoch || o.status.State != engine.StateReady {
			return false
		}
		if len(e.seen) > rank && e.seen[rank] != o.status.Incarnation {
			return false
		}
	}
	return true
}

// deliver runs a command now or when the engine wakes. It reports false when
// the engine gave no answer.
func (e *ModelEngine) deliver(c group.Command, answer func(group.CommandOutcome)) {
	if e.dead {
		answer(group.CommandUnknown)
		return
	}
	if e.m.Now < e.paused {
		run := e.run
		e.waiting = append(e.waiting, func() {
			if !e.dead && e.run == run {
				e.execute(c)
			}
		})
		return
	}
	answer(e.execute(c))
}

func (e *ModelEngine) execute(c group.Command) group.CommandOutcome {
	switch {
	case c.Assign != nil:
		return e.assign(c.Assign)
	case c.Release != nil:
		if !e.fence(c.Release.Fencing) {
			return group.CommandRefused
		}
		if e.status.Group == c.Release.Group && e.status.Epoch == c.Release.Epoch {
			e.release()
		}
	case c.Preload != nil:
		if !e.fence(c.Preload.Fencing) {
			return group.CommandRefused
		}
		e.fetch(c.Preload.Model+"@"+c.Preload.Version, func() {})
	}
	return group.CommandDone
}

func (e *ModelEngine) fence(token ident.Epoch) bool {
	if token < e.status.Fencing {
		return !e.Info.ChecksFencing
	}
	e.status.Fencing = token
	return true
}

func (e *ModelEngine) release() {
	e.members, e.seen = nil, nil
	e.status.Group, e.status.Epoch, e.status.Service = "", 0, ""
	e.status.State, e.status.Size, e.status.Rank = engine.StateIdle, 0, 0
}

func (e *ModelEngine) assign(c *engine.AssignCommand) group.CommandOutcome {
	if !e.fence(c.Fencing) {
		return group.CommandRefused
	}
	if e.status.Group == c.Group && e.status.Epoch == c.Epoch {
		return group.CommandDone
	}
	e.checkAssign(c)
	s := &e.status
	s.Group, s.Epoch, s.Service, s.Role = c.Group, c.Epoch, c.Service, c.Role
	s.Rank, s.Size, s.Model, s.Version = c.Rank, len(c.Members), c.Model, c.Version
	s.State = engine.StateLoading
	e.token = c.Fencing
	e.members, e.seen = c.Members, nil
	e.fetch(c.Model+"@"+c.Version, func() {
		if s.Group != c.Group || s.Epoch != c.Epoch || s.State != engine.StateLoading {
			return
		}
		s.State = engine.StateReady
		e.watch(c.Group, c.Epoch)
	})
	return group.CommandDone
}

// checkAssign records an assignment of an engine that holds another group, a
// member that still holds an older group when a member of its new group is
// assigned, and a leader that entries may still send requests of its old group
// although it ignores their epoch. A late command that reaches an idle engine
// after its group went on without it puts no instance into two groups.
func (e *ModelEngine) checkAssign(c *engine.AssignCommand) {
	for _, member := range c.Members {
		o := e.m.byID[member.Instance]
		if o.dead || o.status.Group == "" || (o.status.Group == c.Group && o.status.Epoch == c.Epoch) {
			continue
		}
		if o != e && o.token > c.Fencing {
			continue
		}
		e.m.violation("engines: %s holds %s/%d while %s joins %s/%d with it",
			member.Instance, o.status.Group, o.status.Epoch, e.Info.ID, c.Group, c.Epoch)
	}
	if e.Info.ChecksFencing {
		return
	}
	for _, entry := range e.m.Entries {
		for _, g := range entry.Planner.Confirmed(e.m.Now) {
			if g.Leader.Instance == e.Info.ID && g.Leader.Incarnation == e.status.Incarnation && (g.ID != c.Group || g.Epoch != c.Epoch) {
				e.m.violation("engines: %s joins %s/%d while %s routes %s/%d to it", e.Info.ID, c.Group, c.Epoch, entry.ID, g.ID, g.Epoch)
			}
		}
	}
}

// fetch loads weights through the rate-limited store unless they are in memory.
func (e *ModelEngine) fetch(name string, done func()) {
	cfg, run := &e.m.Config, e.run
	ready := e.m.Now + cfg.PreloadedLoadTime
	if !slices.Contains(e.status.Preloaded, name) {
		e.m.storeFree = max(e.m.storeFree, e.m.Now) + cfg.WeightLoadInterval
		ready = e.m.storeFree + cfg.LoadTime
	}
	e.m.At(ready, func() {
		if e.dead || e.run != run {
			return
		}
		if !slices.Contains(e.status.Preloaded, name) {
			e.status.Preloaded = append(e.status.Preloaded, name)
		}
		done()
	})
}

// watch lets the leader fail when a member is lost.
func (e *ModelEngine) watch(id ident.GroupID, epoch ident.Epoch) {
	const interval = 250 * time.Millisecond
	if e.status.Group != id || e.status.Epoch != epoch || e.status.Rank != 0 || e.status.State != engine.StateReady {
		return
	}
	if e.alive() {
		complete := e.whole()
		switch {
		case complete && e.seen == nil:
			for _, member := range e.members {
				e.seen = append(e.seen, e.m.byID[member.Instance].status.Incarnation)
			}
		case !complete && e.seen != nil:
			e.status.State = engine.StateFailed
			return
		}
	}
	e.m.At(e.m.Now+interval, func() { e.watch(id, epoch) })
}
