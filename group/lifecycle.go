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

// lossCounts counts the members of a group that cannot serve it.
type lossCounts struct {
	// unresponsive members do not answer; they may come back without a restart.
	unresponsive int
	// failed members restarted, left the instance list, failed or did not accept
	// the assignment.
	failed int
	// drained members must not get new work.
	drained int
	// unusable members cannot be part of the repaired group.
	unusable int
	size     int
}

func (l lossCounts) anyLost() bool         { return l.unresponsive+l.failed > 0 }
func (l lossCounts) allUnresponsive() bool { return l.unresponsive == l.size }

// countLosses counts the lost and the drained members of a group.
func (p *Planner) countLosses(now time.Duration, g *group) lossCounts {
	l := lossCounts{size: len(g.row.Members)}
	for n, i := range g.members {
		switch {
		case i.delisted():
			l.failed++
			l.unusable++
			continue
		case p.unresponsive(now, i):
			l.unresponsive++
		case p.memberFailed(now, g, g.row.Members[n].Incarnation, i):
			l.failed++
		}
		if i.outOfService {
			l.drained++
		}
		if !p.usable(now, i) {
			l.unusable++
		}
	}
	return l
}

// usable reports whether a member can be part of the next epoch of its group.
func (p *Planner) usable(now time.Duration, i *instance) bool {
	return !i.delisted() && p.answeredRecently(now, i) && !i.outOfService && now >= i.assignBackoffUntil && !i.straggler.detected
}

// memberFailed reports whether a member that answers can no longer serve its
// group: it restarted, failed, or did not accept the assignment in time.
func (p *Planner) memberFailed(now time.Duration, g *group, assigned ident.Incarnation, i *instance) bool {
	if !i.lastReport.OK {
		return false
	}
	s := &i.lastReport.Status
	if s.Incarnation != assigned {
		return true
	}
	if reportsGroup(i, &g.row) {
		return s.State == engine.StateFailed
	}
	if g.row.State == StateActive && now-max(g.stateSince, p.missedPollsCountFrom) >= p.cfg.AssignTimeout && i.commands.assignsSettled() {
		i.assignBackoffUntil = now + p.cfg.AssignBackoff
		return true
	}
	return false
}

// updateGroup updates the state of a group and sends the commands that it needs
// now.
func (p *Planner) updateGroup(now time.Duration, g *group) {
	if g.row.State == StateStopping {
		p.releaseMembers(now, g)
		return
	}
	g.losses, g.ready = p.countLosses(now, g), p.groupReady(now, g)
	g.brokenSince = conditionStart(now, g.brokenSince, g.losses.anyLost())
	g.drainedSince = conditionStart(now, g.drainedSince, g.losses.drained > 0)
	if g.ready || g.losses.anyLost() {
		return
	}
	for rank, i := range g.members {
		if p.needsAssign(now, g, i) {
			p.sendAssign(now, g, rank, i)
		}
	}
}

// conditionStart returns when a condition that holds was first observed, given
// its previous start, or 0 if it does not hold.
func conditionStart(now, start time.Duration, holds bool) time.Duration {
	switch {
	case !holds:
		return 0
	case start == 0:
		return max(now, 1)
	}
	return start
}

// needsAssign reports whether a member has to be assigned and may get the command
// now: the answer to a poll sent after the last assign shows that it is idle. A
// member that still reports another group gets no command.
func (p *Planner) needsAssign(now time.Duration, g *group, i *instance) bool {
	return p.answeredRecently(now, i) && !reportsGroup(i, &g.row) && i.idle() &&
		i.lastReport.SentAt >= i.commands.reportsValidFrom && p.maySendCommand(now, i)
}

// idle reports whether an instance is in no group, as its last report or a later
// acknowledgement of a release shows.
func (i *instance) idle() bool {
	s := &i.lastReport.Status
	return s.Group == "" || i.commands.releasedGroup == (groupKey{s.Group, s.Epoch})
}

// hasLeftGroup reports whether an instance has provably left a group. Reports of
// polls sent before since do not count.
func (p *Planner) hasLeftGroup(i *instance, k groupKey, since time.Duration) bool {
	switch {
	case i.delisted():
		return true
	case !i.commands.assignsSettled():
		return false
	case i.commands.releasedGroup == k:
		return true
	}
	s := &i.lastReport.Status
	return i.lastReport.OK && i.lastReport.SentAt >= max(since, i.commands.reportsValidFrom) &&
		(groupKey{s.Group, s.Epoch}) != k
}

// releaseMembers releases the members of a stopping group. While running
// requests may finish, only the leader gets a command, to drain; it still needs
// the others.
func (p *Planner) releaseMembers(now time.Duration, g *group) {
	k := groupKey{g.row.ID, g.row.Epoch}
	leader := g.members[0]
	if g.gracefulStop && (now-g.stateSince >= p.cfg.DrainTimeout || p.countLosses(now, g).anyLost()) {
		g.gracefulStop = false
	}
	if g.gracefulStop && !p.hasLeftGroup(leader, k, g.stateSince) {
		if reportsGroup(leader, &g.row) && leader.lastReport.Status.State != engine.StateDraining && p.maySendCommand(now, leader) {
			p.sendRelease(now, leader, k, g.rowVersion, true)
		}
		return
	}
	for _, i := range g.members {
		if !p.hasLeftGroup(i, k, g.stateSince) && p.maySendCommand(now, i) {
			p.sendRelease(now, i, k, g.rowVersion, false)
		}
	}
}

// fullyStopped reports whether a stopping group has stopped: each member has
// left or is unresponsive, and no entry instance sends requests to the leader
// any more. At least one member must have left: if all are unresponsive, they
// may come back together as a complete group, which entry instances would
// confirm again.
func (p *Planner) fullyStopped(now time.Duration, g *group) bool {
	k := groupKey{g.row.ID, g.row.Epoch}
	allLeft := true
	for _, i := range g.members {
		switch {
		case p.hasLeftGroup(i, k, g.stateSince):
			g.firstMemberLeftAt = conditionStart(now, g.firstMemberLeftAt, true)
		case !p.unresponsive(now, i):
			allLeft = false
		}
	}
	return allLeft && g.firstMemberLeftAt > 0 && (p.leaderRejectsOldEpoch(g, k) || now-max(g.firstMemberLeftAt, g.stateSince) >= view.ConfirmTTL+p.cfg.MaxCommandFlight)
}

// leaderRejectsOldEpoch reports whether the leader of a stopping group rejects
// requests for that group. An engine that ignores the epoch of requests would
// run them under its next assignment, so such a leader stays unassigned until
// the last confirmation of the old group has expired at every entry instance.
func (p *Planner) leaderRejectsOldEpoch(g *group, k groupKey) bool {
	i := g.members[0]
	switch {
	case i.delisted() || i.lastReport.Status.Incarnation != g.row.Members[0].Incarnation:
		// Connections are bound to an incarnation.
		return true
	case !p.hasLeftGroup(i, k, g.stateSince):
		return false
	}
	return i.info.ChecksFencing
}

// orphaned reports whether an instance has an assignment row but belongs to no
// current group in the table: its group was re-formed or dissolved without it.
func (i *instance) orphaned() bool { return i.assignment != nil && i.memberOf == nil }

// releaseOrphans releases instances from groups to which they no longer belong.
func (p *Planner) releaseOrphans(now time.Duration) {
	for _, i := range p.instanceList {
		s := &i.lastReport.Status
		if i.memberOf != nil || (i.assignment == nil && s.Group == "") || !p.answeredRecently(now, i) || !p.maySendCommand(now, i) {
			continue
		}
		k := groupKey{s.Group, s.Epoch}
		switch {
		case i.orphaned():
			k = i.assignedGroup()
			if !p.hasLeftGroup(i, k, i.orphanedAt) {
				p.sendRelease(now, i, k, i.assignmentVersion, false)
			}
		case i.assignment == nil && s.Group != "" && s.Service == p.service && i.lastReport.SentAt >= p.missedPollsCountFrom:
			// A command of an earlier lease holder arrived late.
			p.sendRelease(now, i, k, uint64(s.Fencing), false)
		}
	}
}

func (p *Planner) sortGroups() {
	p.sortedGroups = p.sortedGroups[:0]
	for _, g := range p.groups {
		p.sortedGroups = append(p.sortedGroups, g)
	}
	slices.SortFunc(p.sortedGroups, func(a, b *group) int { return cmp.Compare(a.row.ID, b.row.ID) })
}

// rowCondition requires that the instance's assignment row has the known version.
func (i *instance) rowCondition() infra.Condition {
	return infra.Condition{RowKey: AssignmentKey(i.info.ID), Version: i.assignmentVersion}
}
