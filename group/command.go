package group

import (
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// commandState tracks the commands to one instance. At most one is pending.
type commandState struct {
	// pendingID is the command that awaits its answer, 0 if there is none.
	pendingID     uint64
	pendingAssign bool
	sentAt        time.Duration
	// notBefore is the earliest time of the next command.
	notBefore time.Duration
	// releasingGroup is the group of a pending release whose acknowledgement will
	// prove that the member left.
	releasingGroup groupKey
	// releasedGroup is the group whose release the member acknowledged.
	releasedGroup groupKey
	// assignMayArrive means that an assign without an answer may still arrive.
	assignMayArrive bool
	// countPollsFrom is the send time from which an answered poll shows that the
	// member is reachable.
	countPollsFrom time.Duration
	// reachable is true while such polls are answered; reachableSince is the send
	// time of the first one.
	reachable      bool
	reachableSince time.Duration
	// reportsValidFrom is when the last assign can no longer arrive. Only the
	// answers to polls sent later show which group the member is in.
	reportsValidFrom time.Duration
}

// assignsSettled reports whether no assign can arrive any more.
func (c *commandState) assignsSettled() bool {
	return !c.assignMayArrive && (c.pendingID == 0 || !c.pendingAssign)
}

// recordLostAssign records that an assign without an answer may still arrive. It
// may wait in the socket buffer of an unreachable member, so it may arrive until
// some time after the member answers again. Answers to polls sent before from do
// not count.
func (c *commandState) recordLostAssign(from time.Duration) {
	c.assignMayArrive, c.reachable = true, false
	c.countPollsFrom = max(c.countPollsFrom, from)
}

// pollFailed records an unanswered poll.
func (c *commandState) pollFailed() { c.reachable = false }

// pollAnswered records an answered poll by its send time. Once the member has
// been reachable for maxFlight, a lost assign can no longer arrive.
func (c *commandState) pollAnswered(sent, maxFlight time.Duration) {
	switch {
	case !c.assignMayArrive || sent < c.countPollsFrom:
	case !c.reachable:
		c.reachable, c.reachableSince = true, sent
	case sent >= c.reachableSince+maxFlight:
		c.assignMayArrive, c.reachable = false, false
		c.reportsValidFrom = sent
	}
}

// maySendCommand reports whether a command may be sent to an instance now.
func (p *Planner) maySendCommand(now time.Duration, i *instance) bool {
	c := &i.commands
	return c.pendingID == 0 && now >= c.notBefore && now < p.grant.Expires &&
		(i.info.ChecksFencing || now >= p.grant.CommandsFrom)
}

// sendCommand emits a command. Its deadline is at most the end of the lease, so
// that a holder whose lease is about to expire starts nothing that it could not
// stop.
func (p *Planner) sendCommand(now time.Duration, i *instance, address string, cmd Command) {
	p.commandCounter++
	cmd.ID, cmd.Instance, cmd.Address = p.commandCounter, i.info.ID, address
	cmd.Deadline = min(now+p.cfg.MaxCommandFlight, p.grant.Expires)
	c := &i.commands
	c.pendingID, c.pendingAssign, c.sentAt = cmd.ID, cmd.Assign != nil, now
	c.notBefore = now + p.cfg.CommandRetryInterval
	c.releasingGroup = groupKey{}
	if cmd.Assign != nil {
		c.releasedGroup = groupKey{}
	}
	if r := cmd.Release; r != nil && !r.Drain && !c.assignMayArrive {
		c.releasingGroup = groupKey{r.Group, r.Epoch}
	}
	p.instanceByCommand[cmd.ID] = i
	p.emit(cmd)
}

func (p *Planner) handleCommandAnswered(now time.Duration, e CommandAnswered) {
	i, ok := p.instanceByCommand[e.ID]
	if !ok {
		return
	}
	delete(p.instanceByCommand, e.ID)
	c := &i.commands
	if c.pendingID != e.ID {
		return
	}
	c.pendingID = 0
	switch {
	case e.Outcome == CommandUnknown:
		p.Counters.CommandsLost++
		if c.pendingAssign {
			c.recordLostAssign(c.sentAt + p.cfg.MaxCommandFlight)
		}
	case c.pendingAssign:
		c.reportsValidFrom = max(c.reportsValidFrom, now)
	case e.Outcome == CommandDone && c.releasingGroup.id != "":
		c.releasedGroup = c.releasingGroup
	}
}

// sendAssign assigns a member to its group. The token is the version of its
// assignment row.
func (p *Planner) sendAssign(now time.Duration, g *group, rank int, i *instance) {
	members := make([]engine.Member, len(g.row.Members))
	for n, m := range g.row.Members {
		members[n] = engine.Member{Instance: m.Instance, Address: m.Address}
	}
	p.sendCommand(now, i, g.row.Members[rank].Address, Command{Assign: &engine.AssignCommand{
		Fencing:  ident.Epoch(i.assignmentVersion),
		Group:    g.row.ID,
		Epoch:    g.row.Epoch,
		Service:  p.service,
		Role:     g.row.Role,
		Model:    g.row.Model,
		Version:  g.row.Version,
		Adapters: g.row.Adapters,
		Rank:     rank,
		Members:  members,
	}})
}

// sendRelease releases an instance from a group. With drain, running requests
// may finish first.
func (p *Planner) sendRelease(now time.Duration, i *instance, k groupKey, token uint64, drain bool) {
	p.sendCommand(now, i, i.info.Address, Command{Release: &engine.ReleaseCommand{
		Fencing: ident.Epoch(token), Group: k.id, Epoch: k.epoch, Drain: drain,
	}})
}

// sendPreload loads weights on an idle instance. It repeats the highest token
// that the engine has reported: a preload changes no membership, and another
// service may have sent commands to the instance before.
func (p *Planner) sendPreload(now time.Duration, i *instance) {
	i.preloadStartedAt = now
	p.sendCommand(now, i, i.info.Address, Command{Preload: &engine.PreloadCommand{
		Fencing: i.lastReport.Status.Fencing, Model: p.doc.Model.Name, Version: p.doc.Model.Version,
	}})
}
