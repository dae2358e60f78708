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

// ModelEngine is a simulated engine instance.
type ModelEngine struct {
	Info infra.Instance

	model     *Model
	bootCount int
	status    engine.Status
	members   []engine.Member
	// memberIncarnations are the incarnations of the members, by rank, when the group
	// of this leader was first complete.
	memberIncarnations []ident.Incarnation
	// fencingToken is the fencing token of the assignment that the engine holds.
	fencingToken    ident.Epoch
	dead            bool
	pausedUntil     time.Duration
	pendingCommands []func()
}

func (e *ModelEngine) boot() {
	e.bootCount++
	e.dead = false
	e.members, e.pendingCommands = nil, nil
	e.status = engine.Status{
		Instance:    e.Info.ID,
		Incarnation: ident.Incarnation(fmt.Sprintf("%s#%d", e.Info.ID, e.bootCount)),
		State:       engine.StateIdle, TokenMicros: 5000, ColdLimit: 1, Limit: 16,
	}
}

func (e *ModelEngine) alive() bool { return !e.dead && e.model.Now >= e.pausedUntil }

// Kill crashes the engine. It restarts as a new incarnation after the time down.
func (e *ModelEngine) Kill(down time.Duration) {
	if e.dead {
		return
	}
	e.dead = true
	e.members = nil
	e.status = engine.Status{}
	e.model.At(e.model.Now+down, e.boot)
}

// Pause stops the engine for the duration d. Commands that reach it meanwhile run after
// it resumes, in random order.
func (e *ModelEngine) Pause(d time.Duration) {
	e.pausedUntil = max(e.pausedUntil, e.model.Now+d)
	e.model.At(e.pausedUntil, func() {
		if !e.alive() {
			return
		}
		commands := e.pendingCommands
		e.pendingCommands = nil
		e.model.rng.Shuffle(len(commands), func(i, j int) { commands[i], commands[j] = commands[j], commands[i] })
		for _, run := range commands {
			// Handlers run up to 0.9 s after the process resumes.
			e.model.At(e.model.Now+e.model.randomDuration(0, 900*time.Millisecond), run)
		}
	})
}

// SetTokenTime sets the reported time per token.
func (e *ModelEngine) SetTokenTime(micros int) { e.status.TokenMicros = micros }

// poll returns the answer to a status poll, and false if there is none.
func (e *ModelEngine) poll() (engine.Status, bool) {
	if !e.alive() {
		return engine.Status{}, false
	}
	s := e.status
	s.Preloaded = slices.Clone(s.Preloaded)
	return s, true
}

func (e *ModelEngine) isReadyLeader() bool {
	return e.alive() && e.status.State == engine.StateReady && e.status.Rank == 0 && len(e.members) > 0
}

// groupComplete reports whether all members are ready in the leader's group and epoch
// and have not restarted since the group was first complete.
func (e *ModelEngine) groupComplete() bool {
	for rank, member := range e.members {
		o := e.model.byID[member.Instance]
		if !o.alive() || o.status.Group != e.status.Group || o.status.Epoch != e.status.Epoch || o.status.State != engine.StateReady {
			return false
		}
		if len(e.memberIncarnations) > rank && e.memberIncarnations[rank] != o.status.Incarnation {
			return false
		}
	}
	return true
}

// deliver runs a command now and answers it. The answer of a dead engine is an unknown
// outcome. A paused engine runs the command when it resumes and does not answer.
func (e *ModelEngine) deliver(c group.Command, answer func(group.CommandOutcome)) {
	if e.dead {
		answer(group.CommandUnknown)
		return
	}
	if e.model.Now < e.pausedUntil {
		boot := e.bootCount
		e.pendingCommands = append(e.pendingCommands, func() {
			if !e.dead && e.bootCount == boot {
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
		if !e.checkFencing(c.Release.Fencing) {
			return group.CommandRefused
		}
		if e.status.Group == c.Release.Group && e.status.Epoch == c.Release.Epoch {
			e.releaseGroup()
		}
	case c.Preload != nil:
		if !e.checkFencing(c.Preload.Fencing) {
			return group.CommandRefused
		}
		e.loadWeights(c.Preload.Model+"@"+c.Preload.Version, func() {})
	}
	return group.CommandDone
}

// checkFencing reports whether a command with a fencing token may run. An engine that
// ignores fencing accepts older tokens.
func (e *ModelEngine) checkFencing(token ident.Epoch) bool {
	if token < e.status.Fencing {
		return !e.Info.ChecksFencing
	}
	e.status.Fencing = token
	return true
}

func (e *ModelEngine) releaseGroup() {
	e.members, e.memberIncarnations = nil, nil
	e.status.Group, e.status.Epoch, e.status.Service = "", 0, ""
	e.status.State, e.status.Size, e.status.Rank = engine.StateIdle, 0, 0
}

func (e *ModelEngine) assign(c *engine.AssignCommand) group.CommandOutcome {
	if !e.checkFencing(c.Fencing) {
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
	e.fencingToken = c.Fencing
	e.members, e.memberIncarnations = c.Members, nil
	e.loadWeights(c.Model+"@"+c.Version, func() {
		if s.Group != c.Group || s.Epoch != c.Epoch || s.State != engine.StateLoading {
			return
		}
		s.State = engine.StateReady
		e.watchMembers(c.Group, c.Epoch)
	})
	return group.CommandDone
}

// checkAssign records violations of single membership at the engines: an assignment to
// an engine that holds another group; a member that still holds an older group while
// another member of its new group is assigned; and an engine without fencing to which
// entries may still send requests of a group that it led before. A late command may
// reach an idle engine after its group was formed again without it; this puts no
// instance into two groups and is no violation.
func (e *ModelEngine) checkAssign(c *engine.AssignCommand) {
	for _, member := range c.Members {
		o := e.model.byID[member.Instance]
		if o.dead || o.status.Group == "" || (o.status.Group == c.Group && o.status.Epoch == c.Epoch) {
			continue
		}
		if o != e && o.fencingToken > c.Fencing {
			continue
		}
		e.model.recordViolation("engines: %s holds %s/%d while %s joins %s/%d with it",
			member.Instance, o.status.Group, o.status.Epoch, e.Info.ID, c.Group, c.Epoch)
	}
	if e.Info.ChecksFencing {
		return
	}
	for _, entry := range e.model.Entries {
		for _, g := range entry.Planner.Confirmed(e.model.Now) {
			if g.Leader.Instance == e.Info.ID && g.Leader.Incarnation == e.status.Incarnation && (g.ID != c.Group || g.Epoch != c.Epoch) {
				e.model.recordViolation("engines: %s joins %s/%d while %s routes %s/%d to it", e.Info.ID, c.Group, c.Epoch, entry.ID, g.ID, g.Epoch)
			}
		}
	}
}

// loadWeights loads weights from memory, or else from the rate-limited weight store,
// and then calls done.
func (e *ModelEngine) loadWeights(name string, done func()) {
	cfg, boot := &e.model.Config, e.bootCount
	ready := e.model.Now + cfg.PreloadedLoadTime
	if !slices.Contains(e.status.Preloaded, name) {
		e.model.weightStoreFreeAt = max(e.model.weightStoreFreeAt, e.model.Now) + cfg.WeightLoadInterval
		ready = e.model.weightStoreFreeAt + cfg.LoadTime
	}
	e.model.At(ready, func() {
		if e.dead || e.bootCount != boot {
			return
		}
		if !slices.Contains(e.status.Preloaded, name) {
			e.status.Preloaded = append(e.status.Preloaded, name)
		}
		done()
	})
}

// watchMembers sets the leader's state to failed when its group, once complete, loses
// a member.
func (e *ModelEngine) watchMembers(id ident.GroupID, epoch ident.Epoch) {
	const interval = 250 * time.Millisecond
	if e.status.Group != id || e.status.Epoch != epoch || e.status.Rank != 0 || e.status.State != engine.StateReady {
		return
	}
	if e.alive() {
		complete := e.groupComplete()
		switch {
		case complete && e.memberIncarnations == nil:
			for _, member := range e.members {
				e.memberIncarnations = append(e.memberIncarnations, e.model.byID[member.Instance].status.Incarnation)
			}
		case !complete && e.memberIncarnations != nil:
			e.status.State = engine.StateFailed
			return
		}
	}
	e.model.At(e.model.Now+interval, func() { e.watchMembers(id, epoch) })
}
