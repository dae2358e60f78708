package group

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// free reports whether an instance can join a group.
func (p *Planner) free(now time.Duration, i *instance) bool {
	return i.assignment == nil && !i.delisted() && p.answeredRecently(now, i) && i.idle() &&
		(i.lastReport.Status.State == engine.StateIdle || i.lastReport.Status.Group != "") &&
		!i.outOfService && now >= i.conflictBackoffUntil && now >= i.assignBackoffUntil && !i.straggler.detected &&
		i.commands.assignsSettled() && i.commands.pendingID == 0
}

// freeInstances lists the free instances of a domain. Those with preloaded
// weights come first; beyond that, the order differs between services.
func (p *Planner) freeInstances(now time.Duration, domain ident.Domain) []*instance {
	var out []*instance
	for _, i := range p.instanceList {
		if i.info.Domain == domain && p.free(now, i) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b *instance) int {
		if pa, pb := p.hasPreloaded(a), p.hasPreloaded(b); pa != pb {
			if pa {
				return -1
			}
			return 1
		}
		return cmp.Or(
			cmp.Compare(ident.Score(string(p.service), a.info.ID), ident.Score(string(p.service), b.info.ID)),
			cmp.Compare(a.info.ID, b.info.ID))
	})
	return out
}

// domainCandidate is a domain with free instances and the properties by which
// domains are ranked.
type domainCandidate struct {
	domain     ident.Domain
	dataCentre ident.DataCentre
	free       int
	// preloaded counts the free instances with preloaded weights.
	preloaded          int
	groups             int
	groupsInDataCentre int
	// hasStandby is true if standby groups are wanted and enough free instances
	// for a group have preloaded weights.
	hasStandby bool
	// keepsSpares is true if enough spares remain when a group is formed here.
	keepsSpares bool
}

// candidateDomains returns the domains that have free instances.
func (p *Planner) candidateDomains(now time.Duration) map[ident.Domain]*domainCandidate {
	byDomain := make(map[ident.Domain]*domainCandidate)
	for _, i := range p.instanceList {
		if !p.free(now, i) {
			continue
		}
		d, ok := byDomain[i.info.Domain]
		if !ok {
			d = &domainCandidate{domain: i.info.Domain, dataCentre: i.info.DataCentre}
			byDomain[i.info.Domain] = d
		}
		d.free++
		if p.hasPreloaded(i) {
			d.preloaded++
		}
	}
	dataCentres := make(map[ident.DataCentre]int)
	for _, g := range p.sortedGroups {
		if g.row.State != StateActive || g.brokenSince > 0 || g.drainedSince > 0 {
			continue
		}
		dataCentres[g.row.DataCentre]++
		if d, ok := byDomain[g.row.Domain]; ok {
			d.groups++
		}
	}
	for _, d := range byDomain {
		d.groupsInDataCentre = dataCentres[d.dataCentre]
	}
	return byDomain
}

// chooseDomain returns the best domain for a new group, or nil. Domains with
// preloaded weights for a whole group come first, because such a group serves
// tens of seconds earlier. Beyond that, groups are spread over data centres,
// then over domains.
func (p *Planner) chooseDomain(now time.Duration) *domainCandidate {
	return p.bestDomain(p.candidateDomains(now))
}

// bestDomain returns the best domain with enough free instances for a group, or
// nil.
func (p *Planner) bestDomain(byDomain map[ident.Domain]*domainCandidate) *domainCandidate {
	var best *domainCandidate
	for _, d := range byDomain {
		if d.free < p.groupSize() {
			continue
		}
		d.hasStandby = p.standbyGroups() > 0 && d.preloaded >= p.groupSize()
		d.keepsSpares = !p.cfg.Policy.Spares || d.free-p.groupSize() >= p.doc.Replicas.SparesPerDomain
		if best == nil || d.betterThan(best) {
			best = d
		}
	}
	return best
}

func (d *domainCandidate) betterThan(o *domainCandidate) bool {
	if d.hasStandby != o.hasStandby {
		return d.hasStandby
	}
	if d.keepsSpares != o.keepsSpares {
		return d.keepsSpares
	}
	return cmp.Or(
		cmp.Compare(d.groupsInDataCentre, o.groupsInDataCentre),
		cmp.Compare(d.groups, o.groups),
		cmp.Compare(o.free, d.free),
		cmp.Compare(d.domain, o.domain)) < 0
}

// formGroup forms a new group of a role if a domain has enough free instances.
func (p *Planner) formGroup(now time.Duration, role engine.Role) bool {
	d := p.chooseDomain(now)
	if d == nil {
		return false
	}
	p.groupCounter++
	row := Row{
		ID:         ident.GroupID(fmt.Sprintf("%s-%d-%d", p.service, p.grant.Epoch, p.groupCounter)),
		Service:    p.service,
		Role:       role,
		Domain:     d.domain,
		DataCentre: d.dataCentre,
	}
	p.Counters.Formed++
	p.writeGroup(&group{row: row}, p.freeInstances(now, d.domain)[:p.groupSize()], nil)
	return true
}

// repairedMembers returns the members of the next epoch of a group: each member
// that is not usable is replaced in its rank by a free instance of the domain.
// It returns false if there are too few of them.
func (p *Planner) repairedMembers(now time.Duration, g *group) ([]*instance, bool) {
	var free []*instance
	out := make([]*instance, len(g.members))
	for rank, i := range g.members {
		if p.usable(now, i) {
			out[rank] = i
			continue
		}
		if free == nil {
			free = p.freeInstances(now, g.row.Domain)
		}
		if len(free) == 0 {
			return nil, false
		}
		out[rank], free = free[0], free[1:]
	}
	return out, true
}

// reformGroup writes the next epoch of a stopped group.
func (p *Planner) reformGroup(g *group, members []*instance) {
	p.Counters.Swapped++
	var leavers []*instance
	for _, i := range g.members {
		if i.memberOf == g && !slices.Contains(members, i) {
			leavers = append(leavers, i)
		}
	}
	p.writeGroup(g, members, leavers)
}

// writeGroup writes the next epoch of a group and the assignments of its members
// in one transaction. The rows of leavers that have provably left are deleted in
// it; the others keep theirs until they have left.
func (p *Planner) writeGroup(g *group, members, leavers []*instance) {
	row := g.row
	row.Epoch++
	row.State = StateActive
	row.Model, row.Version = p.doc.Model.Name, p.doc.Model.Version
	row.Adapters = slices.Clone(p.doc.Model.Adapters)
	row.Members = make([]Member, len(members))
	key := Key(p.service, row.ID)
	conds := []infra.Condition{{RowKey: key, Version: g.rowVersion}}
	for rank, i := range members {
		row.Members[rank] = Member{i.info.ID, i.lastReport.Status.Incarnation, i.info.Address}
		conds = append(conds, i.rowCondition())
	}
	left, conds, deletes := p.deletableRows(g, leavers, conds)
	build := func(attempt string) []infra.Write {
		row.Attempt = attempt
		writes := []infra.Write{{RowKey: key, Value: encode(row)}}
		for _, m := range row.Members {
			a := Assignment{row.ID, row.Epoch, p.service, m.Incarnation, attempt}
			writes = append(writes, infra.Write{RowKey: AssignmentKey(m.Instance), Value: encode(a)})
		}
		return append(writes, deletes...)
	}
	p.beginTxn(conds, build, func(version uint64) {
		next := &group{row: row, rowVersion: version, members: members, stateSince: p.lastStepAt}
		p.groups[row.ID] = next
		for rank, i := range members {
			m := row.Members[rank]
			i.assignment = &Assignment{row.ID, row.Epoch, p.service, m.Incarnation, row.Attempt}
			i.assignmentVersion, i.memberOf = version, next
			i.commands.notBefore = 0
		}
		p.removeLeavers(left, leavers)
	})
}

// dissolveGroup deletes a stopped group and the assignment rows of the members
// that have provably left it.
func (p *Planner) dissolveGroup(g *group) {
	p.Counters.Dissolved++
	key := Key(p.service, g.row.ID)
	var members []*instance
	for _, i := range g.members {
		if i.memberOf == g {
			members = append(members, i)
		}
	}
	left, conds, deletes := p.deletableRows(g, members, []infra.Condition{{RowKey: key, Version: g.rowVersion}})
	p.beginTxn(conds, func(string) []infra.Write {
		return append([]infra.Write{{RowKey: key, Delete: true}}, deletes...)
	}, func(uint64) {
		delete(p.groups, g.row.ID)
		p.removeLeavers(left, members)
	})
}

// deletableRows returns the leavers that have provably left a group, conds
// extended by the versions of their assignment rows, and the writes that delete
// these rows.
func (p *Planner) deletableRows(g *group, leavers []*instance, conds []infra.Condition) ([]*instance, []infra.Condition, []infra.Write) {
	var left []*instance
	var deletes []infra.Write
	k := groupKey{g.row.ID, g.row.Epoch}
	for _, i := range leavers {
		if p.hasLeftGroup(i, k, g.stateSince) {
			left = append(left, i)
			conds = append(conds, i.rowCondition())
			deletes = append(deletes, infra.Write{RowKey: AssignmentKey(i.info.ID), Delete: true})
		}
	}
	return left, conds, deletes
}

// assignedGroup returns the group and epoch that the assignment row names.
func (i *instance) assignedGroup() groupKey {
	return groupKey{i.assignment.Group, i.assignment.Epoch}
}

// removeLeavers removes leavers from their group. Those in left have no
// assignment row any more; the others are orphaned.
func (p *Planner) removeLeavers(left, leavers []*instance) {
	for _, i := range leavers {
		i.memberOf, i.orphanedAt = nil, p.lastStepAt
	}
	for _, i := range left {
		i.assignment, i.assignmentVersion = nil, 0
	}
}

// deleteOrphanRow deletes the assignment row of one orphaned instance that has
// provably left its group.
func (p *Planner) deleteOrphanRow() bool {
	for _, i := range p.instanceList {
		if !i.orphaned() || !p.hasLeftGroup(i, i.assignedGroup(), i.orphanedAt) {
			continue
		}
		p.beginTxn([]infra.Condition{i.rowCondition()}, func(string) []infra.Write {
			return []infra.Write{{RowKey: AssignmentKey(i.info.ID), Delete: true}}
		}, func(uint64) { i.assignment, i.assignmentVersion = nil, 0 })
		return true
	}
	return false
}
