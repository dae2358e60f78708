package group

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/view"
)

// loss counts the members of a group that cannot serve it.
type loss struct {
	// silent members do not answer; they may come back as they were.
	silent int
	// dead members restarted, left the list, failed or refuse the assignment.
	dead int
	// drained members may get no new work.
	drained int
	// missing members cannot be part of the repaired group.
	missing int
	size    int
}

func (l loss) any() bool  { return l.silent+l.dead > 0 }
func (l loss) dark() bool { return l.silent == l.size }

func (p *Planner) lossOf(now time.Duration, g *group) loss {
	l := loss{size: len(g.row.Members)}
	for n, i := range g.members {
		switch {
		case i.gone():
			l.dead++
			l.missing++
			continue
		case p.silent(now, i):
			l.silent++
		case p.memberDead(now, g, g.row.Members[n].Incarnation, i):
			l.dead++
		}
		if i.out {
			l.drained++
		}
		if !p.usable(now, i) {
			l.missing++
		}
	}
	return l
}

// usable reports whether a member can be part of the next epoch of its group.
func (p *Planner) usable(now time.Duration, i *instance) bool {
	return !i.gone() && p.fresh(now, i) && !i.out && now >= i.avoidUntil && !i.slow.slow
}

// memberDead reports whether a member that answers is lost to its group.
func (p *Planner) memberDead(now time.Duration, g *group, assigned ident.Incarnation, i *instance) bool {
	if !i.report.OK {
		return false
	}
	s := &i.report.Status
	if s.Incarnation != assigned {
		return true
	}
	if serves(i, &g.row) {
		return s.State == engine.StateFailed
	}
	if g.row.State == StateActive && now-max(g.since, p.reachableFrom) >= p.cfg.FormTimeout && i.commands.settled() {
		i.avoidUntil = now + p.cfg.AvoidTime
		return true
	}
	return false
}

// runGroup sends the commands that a group needs now.
func (p *Planner) runGroup(now time.Duration, g *group) {
	if g.row.State == StateStopping {
		p.runStopping(now, g)
		return
	}
	g.loss, g.serves = p.lossOf(now, g), p.ready(now, g)
	g.brokenSince = firstSeen(now, g.brokenSince, g.loss.any())
	g.drainedSince = firstSeen(now, g.drainedSince, g.loss.drained > 0)
	if g.serves || g.loss.any() {
		return
	}
	for rank, i := range g.members {
		if p.needsAssign(now, g, i) {
			p.sendAssign(now, g, rank, i)
		}
	}
}

// firstSeen keeps the instant at which a condition was first seen.
func firstSeen(now, since time.Duration, holds bool) time.Duration {
	switch {
	case !holds:
		return 0
	case since == 0:
		return max(now, 1)
	}
	return since
}

// needsAssign reports whether a member is idle and known to be so by a report
// that is younger than the last command. A member that another group holds is
// left alone.
func (p *Planner) needsAssign(now time.Duration, g *group, i *instance) bool {
	return p.fresh(now, i) && !serves(i, &g.row) && i.idle() &&
		i.report.SentAt >= i.commands.settledAt && p.mayCommand(now, i)
}

// idle reports whether an instance is in no group, by its report or by a later
// acknowledgement of a release.
func (i *instance) idle() bool {
	s := &i.report.Status
	return s.Group == "" || i.commands.released == (groupKey{s.Group, s.Epoch})
}

// stopped reports whether an instance has provably left a group that has been
// stopping since an instant.
func (p *Planner) stopped(i *instance, k groupKey, since time.Duration) bool {
	switch {
	case i.gone():
		return true
	case !i.commands.settled():
		return false
	case i.commands.released == k:
		return true
	}
	s := &i.report.Status
	return i.report.OK && i.report.SentAt >= max(since, i.commands.settledAt) &&
		(groupKey{s.Group, s.Epoch}) != k
}

// runStopping releases the members. While running requests may finish, only
// the leader is told to drain; the others keep working for it.
func (p *Planner) runStopping(now time.Duration, g *group) {
	k := groupKey{g.row.ID, g.row.Epoch}
	leader := g.members[0]
	if g.graceful && (now-g.since >= p.cfg.DrainTimeout || p.lossOf(now, g).any()) {
		g.graceful = false
	}
	if g.graceful && !p.stopped(leader, k, g.since) {
		if serves(leader, &g.row) && leader.report.Status.State != engine.StateDraining && p.mayCommand(now, leader) {
			p.sendRelease(now, leader, k, g.version, true)
		}
		return
	}
	for _, i := range g.members {
		if !p.stopped(i, k, g.since) && p.mayCommand(now, i) {
			p.sendRelease(now, i, k, g.version, false)
		}
	}
}

// ended reports whether a stopping group has stopped: each member has left or
// is silent, and no entry sends requests to the leader any more. At least one
// member has to have left: if all are silent they may come back together as a
// whole group, which entries would confirm again.
func (p *Planner) ended(now time.Duration, g *group) bool {
	k := groupKey{g.row.ID, g.row.Epoch}
	ended := true
	for _, i := range g.members {
		switch {
		case p.stopped(i, k, g.since):
			g.leftAt = firstSeen(now, g.leftAt, true)
		case !p.silent(now, i):
			ended = false
		}
	}
	return ended && g.leftAt > 0 && (p.refusesOld(g, k) || now-max(g.leftAt, g.since) >= view.ConfirmTTL+p.cfg.CommandFlight)
}

// refusesOld reports whether the leader of a stopped group refuses requests for
// it. An engine that ignores the epoch of requests would run them under its
// next assignment, so it has to wait until the last confirmation of the old
// group has expired at every entry.
func (p *Planner) refusesOld(g *group, k groupKey) bool {
	i := g.members[0]
	switch {
	case i.gone() || i.report.Status.Incarnation != g.row.Members[0].Incarnation:
		// Connections are bound to an incarnation.
		return true
	case !p.stopped(i, k, g.since):
		return false
	}
	return i.info.ChecksFencing
}

// stray reports whether an assigned instance is in no group of the table: its
// group went on without it.
func (i *instance) stray() bool { return i.assigned != nil && i.member == nil }

// runStrays releases instances that hold a group they no longer belong to.
func (p *Planner) runStrays(now time.Duration) {
	for _, i := range p.order {
		s := &i.report.Status
		if i.member != nil || (i.assigned == nil && s.Group == "") || !p.fresh(now, i) || !p.mayCommand(now, i) {
			continue
		}
		k := groupKey{s.Group, s.Epoch}
		switch {
		case i.stray():
			k = i.assignedKey()
			if !p.stopped(i, k, i.strayFrom) {
				p.sendRelease(now, i, k, i.version, false)
			}
		case i.assigned == nil && s.Group != "" && s.Service == p.service && i.report.SentAt >= p.reachableFrom:
			// A command of an earlier holder arrived late.
			p.sendRelease(now, i, k, uint64(s.Fencing), false)
		}
	}
}

func (p *Planner) sortGroups() {
	p.sorted = p.sorted[:0]
	for _, g := range p.groups {
		p.sorted = append(p.sorted, g)
	}
	slices.SortFunc(p.sorted, func(a, b *group) int { return cmp.Compare(a.row.ID, b.row.ID) })
}

// condition requires the known version of an instance's assignment row.
func (i *instance) condition() infra.Condition {
	return infra.Condition{RowKey: AssignmentKey(i.info.ID), Version: i.version}
}
