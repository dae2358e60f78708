package group

import (
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// commandState tracks the commands to one instance. At most one is pending.
type commandState struct {
	pending uint64
	assign  bool
	sent    time.Duration
	next    time.Duration
	// releasing is the group of a pending release whose acknowledgement will
	// prove that the member left.
	releasing groupKey
	// released is the group that the member acknowledged to have left.
	released groupKey
	// unsettled means that an assign without an answer may still arrive.
	unsettled  bool
	settleFrom time.Duration
	reaching   bool
	reachedAt  time.Duration
	// settledAt is when the last assign can no longer arrive. Only reports sent
	// later tell where the member is.
	settledAt time.Duration
}

func (c *commandState) settled() bool { return !c.unsettled && (c.pending == 0 || !c.assign) }

// unsettle takes note that an assign may arrive until some time after the
// member answers again. An unreachable member may hold it in its socket.
func (c *commandState) unsettle(from time.Duration) {
	c.unsettled, c.reaching = true, false
	c.settleFrom = max(c.settleFrom, from)
}

// silent notes an unanswered poll.
func (c *commandState) silent() { c.reaching = false }

// reached notes an answered poll, which was sent at an instant.
func (c *commandState) reached(sent, flight time.Duration) {
	switch {
	case !c.unsettled || sent < c.settleFrom:
	case !c.reaching:
		c.reaching, c.reachedAt = true, sent
	case sent >= c.reachedAt+flight:
		c.unsettled, c.reaching = false, false
		c.settledAt = sent
	}
}

// mayCommand reports whether a command may go to an instance now.
func (p *Planner) mayCommand(now time.Duration, i *instance) bool {
	c := &i.commands
	return c.pending == 0 && now >= c.next && now < p.grant.Expires &&
		(i.info.ChecksFencing || now >= p.grant.CommandsFrom)
}

// send emits a command. Its deadline ends with the lease, so a holder that is
// about to lapse starts nothing that it could not stop.
func (p *Planner) send(now time.Duration, i *instance, address string, cmd Command) {
	p.nextCommand++
	cmd.ID, cmd.Instance, cmd.Address = p.nextCommand, i.info.ID, address
	cmd.Deadline = min(now+p.cfg.CommandFlight, p.grant.Expires)
	c := &i.commands
	c.pending, c.assign, c.sent = cmd.ID, cmd.Assign != nil, now
	c.next = now + p.cfg.CommandRetry
	c.releasing = groupKey{}
	if cmd.Assign != nil {
		c.released = groupKey{}
	}
	if r := cmd.Release; r != nil && !r.Drain && !c.unsettled {
		c.releasing = groupKey{r.Group, r.Epoch}
	}
	p.byCommand[cmd.ID] = i
	p.emit(cmd)
}

func (p *Planner) commandAnswered(now time.Duration, e CommandAnswered) {
	i, ok := p.byCommand[e.ID]
	if !ok {
		return
	}
	delete(p.byCommand, e.ID)
	c := &i.commands
	if c.pending != e.ID {
		return
	}
	c.pending = 0
	switch {
	case e.Outcome == CommandUnknown:
		p.Counters.CommandsLost++
		if c.assign {
			c.unsettle(c.sent + p.cfg.CommandFlight)
		}
	case c.assign:
		c.settledAt = max(c.settledAt, now)
	case e.Outcome == CommandDone && c.releasing.id != "":
		c.released = c.releasing
	}
}

// sendAssign assigns a member to its group. The token is the version of the
// row that says so.
func (p *Planner) sendAssign(now time.Duration, g *group, rank int, i *instance) {
	members := make([]engine.Member, len(g.row.Members))
	for n, m := range g.row.Members {
		members[n] = engine.Member{Instance: m.Instance, Address: m.Address}
	}
	p.send(now, i, g.row.Members[rank].Address, Command{Assign: &engine.AssignCommand{
		Fencing:  ident.Epoch(i.version),
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

// sendRelease releases an instance from a group.
func (p *Planner) sendRelease(now time.Duration, i *instance, k groupKey, token uint64, drain bool) {
	p.send(now, i, i.info.Address, Command{Release: &engine.ReleaseCommand{
		Fencing: ident.Epoch(token), Group: k.id, Epoch: k.epoch, Drain: drain,
	}})
}

// sendPreload loads weights on an idle instance. The token repeats the highest
// that the engine has seen: a preload changes no membership, and another
// service may have commanded the instance before.
func (p *Planner) sendPreload(now time.Duration, i *instance) {
	i.preloadFrom = now
	p.send(now, i, i.info.Address, Command{Preload: &engine.PreloadCommand{
		Fencing: i.report.Status.Fencing, Model: p.doc.Model.Name, Version: p.doc.Model.Version,
	}})
}
