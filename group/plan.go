package group

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
)

// maxSurge is the number of groups above the wanted number that a change of
// model, version or adapters may form before it stops an old one.
const maxSurge = 1

// roleCounts counts the groups of one role.
type roleCounts struct {
	role engine.Role
	// wanted is the number of groups that the document asks for.
	wanted int
	// upToDate groups match the document and have all members. Groups that are
	// repairing stop, or will stop, only to replace a member.
	upToDate, repairing int
	// outdated groups have all members and do not match the document.
	outdated []*group
	// readyGroups counts the groups of any version that can take new requests.
	readyGroups int
	// upToDateGroups lists the groups that upToDate counts.
	upToDateGroups []*group
}

// towardWanted is the number of groups that count toward the wanted number.
func (c *roleCounts) towardWanted() int { return c.upToDate + c.repairing }

// plan starts at most one transaction. Changes that free instances come first,
// then new groups, then the replacement of groups that serve.
func (p *Planner) plan(now time.Duration) {
	if p.finishStoppedGroup(now) || p.deleteOrphanRow() {
		return
	}
	roles := p.countGroups(now)
	if p.stopBrokenGroup(now, roles) {
		return
	}
	for _, c := range roles {
		if c.towardWanted() < c.wanted && len(c.outdated) == 0 && p.formGroup(now, c.role) {
			return
		}
	}
	for _, c := range roles {
		if p.rollOut(now, c) || p.stopSurplus(c) {
			return
		}
	}
	_ = p.stopDrainedGroup(now, roles) || p.replaceStraggler(now, roles)
}

// countGroups counts the groups by role. The last element counts the groups of
// roles that the document no longer names.
func (p *Planner) countGroups(now time.Duration) []*roleCounts {
	roles := p.roles()
	out := make([]*roleCounts, 0, len(roles)+1)
	for n, r := range roles {
		c := &roleCounts{role: r}
		if p.doc.Kind == service.KindModel {
			c.wanted = p.doc.Replicas.Wanted / len(roles)
			if n < p.doc.Replicas.Wanted%len(roles) {
				c.wanted++
			}
		}
		out = append(out, c)
	}
	out = append(out, &roleCounts{})
	for _, g := range p.sortedGroups {
		n := slices.Index(roles, g.row.Role)
		if n < 0 {
			n = len(roles)
		}
		p.countGroup(now, out[n], g)
	}
	return out
}

// countGroup adds a group to the counts of its role.
func (p *Planner) countGroup(now time.Duration, c *roleCounts, g *group) {
	switch {
	case g.row.State == StateStopping:
		if g.repairAfterStop && p.matchesDocument(&g.row) && !p.countLosses(now, g).allUnresponsive() {
			c.repairing++
		}
		return
	case g.brokenSince > 0:
		return
	}
	if g.ready && g.drainedSince == 0 {
		c.readyGroups++
	}
	switch {
	case g.drainedSince > 0:
		if p.canSwapPreloaded(now, g) {
			c.repairing++
		}
	case p.matchesDocument(&g.row):
		c.upToDate++
		c.upToDateGroups = append(c.upToDateGroups, g)
	default:
		c.outdated = append(c.outdated, g)
	}
}

// matchesDocument reports whether a group is what the document asks for.
func (p *Planner) matchesDocument(r *Row) bool {
	m := &p.doc.Model
	return p.doc.Kind == service.KindModel && r.Model == m.Name && r.Version == m.Version &&
		slices.Equal(r.Adapters, m.Adapters) && len(r.Members) == p.groupSize() &&
		slices.Contains(p.roles(), r.Role)
}

// groupSize is the number of members of a group.
func (p *Planner) groupSize() int { return max(1, p.doc.Replicas.InstancesPerReplica) }

// stopGroup writes the state stopping to a group's row. It returns true.
func (p *Planner) stopGroup(g *group, graceful, repair bool) bool {
	p.Counters.Stopped++
	row := g.row
	row.State = StateStopping
	key := Key(p.service, row.ID)
	p.beginTxn([]infra.Condition{{RowKey: key, Version: g.rowVersion}},
		func(attempt string) []infra.Write {
			row.Attempt = attempt
			return []infra.Write{{RowKey: key, Value: encode(row)}}
		},
		func(version uint64) {
			g.row, g.rowVersion = row, version
			g.gracefulStop, g.repairAfterStop = graceful, repair
			// Reports of polls sent before this time do not prove that a member left.
			g.stateSince = p.lastStepAt
		})
	return true
}

// finishStoppedGroup re-forms or dissolves one group that has stopped.
func (p *Planner) finishStoppedGroup(now time.Duration) bool {
	for _, g := range p.sortedGroups {
		if g.row.State != StateStopping || !p.fullyStopped(now, g) {
			continue
		}
		if g.repairAfterStop && p.matchesDocument(&g.row) {
			if members, ok := p.repairUnlessStandby(now, g); ok {
				p.reformGroup(g, members)
				return true
			}
		}
		p.dissolveGroup(g)
		return true
	}
	return false
}

// stopBrokenGroup stops one group that lost a member. A group whose members are
// all unresponsive is not stopped, because they may all come back; it does not
// count toward the wanted number. A group with an unresponsive member waits for
// it only while neither a repair nor a new group is possible.
func (p *Planner) stopBrokenGroup(now time.Duration, roles []*roleCounts) bool {
	for _, g := range p.sortedGroups {
		if g.brokenSince == 0 || g.row.State != StateActive {
			continue
		}
		l := g.losses
		if !l.anyLost() || l.allUnresponsive() {
			continue
		}
		repair := p.cfg.Policy.Swap && p.matchesDocument(&g.row) && p.belowWanted(roles, g.row.Role)
		if repair {
			_, repair = p.repairUnlessStandby(now, g)
		}
		if repair || l.failed > 0 || !p.cfg.Policy.Swap || now-g.brokenSince >= p.cfg.MemberReturnTimeout ||
			p.chooseDomain(now) != nil {
			return p.stopGroup(g, false, repair)
		}
	}
	return false
}

// belowWanted reports whether more groups of a role are wanted.
func (p *Planner) belowWanted(roles []*roleCounts, r engine.Role) bool {
	for _, c := range roles {
		if c.role == r {
			return c.towardWanted() < c.wanted
		}
	}
	return false
}

// rollOut replaces outdated groups one at a time. A new group is formed first if
// there are enough free instances, and an old one is stopped only if the ready
// groups stay at or above the minimum.
func (p *Planner) rollOut(now time.Duration, c *roleCounts) bool {
	if len(c.outdated) == 0 {
		return false
	}
	for _, g := range c.outdated {
		if !g.ready {
			return p.stopGroup(g, false, false)
		}
	}
	if c.towardWanted() < c.wanted && c.towardWanted()+len(c.outdated) < c.wanted+maxSurge && p.formGroup(now, c.role) {
		return true
	}
	if !p.roleStable(c) || c.readyGroups-1 < p.minReady(c) {
		return false
	}
	return p.stopGroup(c.outdated[0], true, false)
}

// roleStable reports whether no group of a role is loading, under repair or in a
// graceful stop.
func (p *Planner) roleStable(c *roleCounts) bool {
	if c.repairing > 0 {
		return false
	}
	for _, g := range c.upToDateGroups {
		if !g.ready {
			return false
		}
	}
	return !slices.ContainsFunc(p.sortedGroups, func(g *group) bool {
		return g.row.State == StateStopping && g.gracefulStop && (g.row.Role == c.role || c.wanted == 0)
	})
}

// minReady is the number of ready groups of a role below which planned changes
// must not go.
func (p *Planner) minReady(c *roleCounts) int {
	if p.doc.Kind != service.KindModel || p.doc.Replicas.Wanted == 0 {
		return 0
	}
	total := max(1, p.doc.Replicas.Wanted)
	// Each role gets its share of the minimum, rounded up.
	return min(c.wanted, (p.doc.Replicas.Minimum*c.wanted+total-1)/total)
}

// stopSurplus stops a group above the wanted number. Groups that do not serve
// are stopped first.
func (p *Planner) stopSurplus(c *roleCounts) bool {
	if c.upToDate <= c.wanted {
		return false
	}
	for _, g := range c.upToDateGroups {
		if !g.ready {
			return p.stopGroup(g, false, false)
		}
	}
	if c.readyGroups-1 < p.minReady(c) {
		return false
	}
	return p.stopGroup(c.upToDateGroups[len(c.upToDateGroups)-1], true, false)
}

// stopDrainedGroup stops one group with a drained member: at once if preloaded
// instances can replace the drained members, otherwise when a replacement of the
// group is ready or DrainGrace has passed.
func (p *Planner) stopDrainedGroup(now time.Duration, roles []*roleCounts) bool {
	for _, g := range p.sortedGroups {
		if g.drainedSince == 0 || g.brokenSince > 0 || g.row.State != StateActive {
			continue
		}
		if p.canSwapPreloaded(now, g) {
			return p.stopGroup(g, true, true)
		}
		replaced := !p.belowWanted(roles, g.row.Role) && p.allReady(roles, g.row.Role)
		if !replaced && now-g.drainedSince < p.cfg.DrainGrace {
			continue
		}
		repair := p.cfg.Policy.Swap && p.matchesDocument(&g.row) && p.belowWanted(roles, g.row.Role)
		if repair {
			_, repair = p.repairedMembers(now, g)
		}
		return p.stopGroup(g, true, repair)
	}
	return false
}

// canSwapPreloaded reports whether instances with preloaded weights can replace
// the unusable members of a group. That takes less time than a new group.
func (p *Planner) canSwapPreloaded(now time.Duration, g *group) bool {
	if !p.cfg.Policy.Swap || g.brokenSince > 0 || g.row.State != StateActive || !p.matchesDocument(&g.row) {
		return false
	}
	members, ok := p.repairedMembers(now, g)
	return ok && p.allPreloaded(g, members)
}

// allPreloaded reports whether all new members of a group's next epoch have
// preloaded weights.
func (p *Planner) allPreloaded(g *group, members []*instance) bool {
	return !slices.ContainsFunc(members, func(i *instance) bool { return i.memberOf != g && !p.hasPreloaded(i) })
}

// repairUnlessStandby returns the members of a group's next epoch. It returns
// false if there are too few instances, or if a standby group can serve earlier
// than a replacement that has to load the weights.
func (p *Planner) repairUnlessStandby(now time.Duration, g *group) ([]*instance, bool) {
	members, ok := p.repairedMembers(now, g)
	return members, ok && (p.allPreloaded(g, members) || !p.standbyAvailable(now))
}

// standbyAvailable reports whether a new group could be formed of instances with
// preloaded weights only.
func (p *Planner) standbyAvailable(now time.Duration) bool {
	if p.standbyGroups() == 0 {
		return false
	}
	d := p.chooseDomain(now)
	return d != nil && d.hasStandby
}

// allReady reports whether all up-to-date groups of a role are ready.
func (p *Planner) allReady(roles []*roleCounts, r engine.Role) bool {
	for _, c := range roles {
		for _, g := range c.upToDateGroups {
			if c.role == r && !g.ready {
				return false
			}
		}
	}
	return true
}

// replaceStraggler stops one group to replace a straggler, while no other group
// of the role is changing.
func (p *Planner) replaceStraggler(now time.Duration, roles []*roleCounts) bool {
	if !p.cfg.Policy.Swap {
		return false
	}
	for _, c := range roles {
		if len(c.upToDateGroups) == 0 || c.towardWanted() < c.wanted || !p.roleStable(c) || c.readyGroups-1 < p.minReady(c) {
			continue
		}
		for _, g := range c.upToDateGroups {
			if !p.hasStraggler(g) {
				continue
			}
			if _, ok := p.repairedMembers(now, g); ok {
				return p.stopGroup(g, true, true)
			}
		}
	}
	return false
}
