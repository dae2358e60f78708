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
	return i.assigned == nil && !i.gone() && p.fresh(now, i) && i.idle() &&
		(i.report.Status.State == engine.StateIdle || i.report.Status.Group != "") &&
		!i.out && now >= i.blockedUntil && now >= i.avoidUntil && !i.slow.slow &&
		i.commands.settled() && i.commands.pending == 0
}

// freeIn lists the free instances of a domain, those with preloaded weights
// first, then in an order that differs between services.
func (p *Planner) freeIn(now time.Duration, domain ident.Domain) []*instance {
	var out []*instance
	for _, i := range p.order {
		if i.info.Domain == domain && p.free(now, i) {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b *instance) int {
		if pa, pb := p.preloaded(a), p.preloaded(b); pa != pb {
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

// domainRank is what decides between domains.
type domainRank struct {
	domain     ident.Domain
	dataCentre ident.DataCentre
	free       int
	// loaded counts free instances with preloaded weights.
	loaded       int
	groups       int
	inDataCentre int
	// standby tells that a whole group's weights are in memory.
	standby        bool
	keepsItsSpares bool
}

// rankDomains describes the domains that have free instances.
func (p *Planner) rankDomains(now time.Duration) map[ident.Domain]*domainRank {
	byDomain := make(map[ident.Domain]*domainRank)
	for _, i := range p.order {
		if !p.free(now, i) {
			continue
		}
		d, ok := byDomain[i.info.Domain]
		if !ok {
			d = &domainRank{domain: i.info.Domain, dataCentre: i.info.DataCentre}
			byDomain[i.info.Domain] = d
		}
		d.free++
		if p.preloaded(i) {
			d.loaded++
		}
	}
	dataCentres := make(map[ident.DataCentre]int)
	for _, g := range p.sorted {
		if g.row.State != StateActive || g.brokenSince > 0 || g.drainedSince > 0 {
			continue
		}
		dataCentres[g.row.DataCentre]++
		if d, ok := byDomain[g.row.Domain]; ok {
			d.groups++
		}
	}
	for _, d := range byDomain {
		d.inDataCentre = dataCentres[d.dataCentre]
	}
	return byDomain
}

// chooseDomain returns the best domain for a whole group, or nil. A group whose
// weights are in memory serves tens of seconds earlier; beside that, groups
// spread over data centres, then over domains.
func (p *Planner) chooseDomain(now time.Duration) *domainRank {
	return p.bestDomain(p.rankDomains(now))
}

func (p *Planner) bestDomain(byDomain map[ident.Domain]*domainRank) *domainRank {
	var best *domainRank
	for _, d := range byDomain {
		if d.free < p.size() {
			continue
		}
		d.standby = p.standbyGroups() > 0 && d.loaded >= p.size()
		d.keepsItsSpares = !p.cfg.Policy.Spares || d.free-p.size() >= p.doc.Replicas.SparesPerDomain
		if best == nil || d.better(best) {
			best = d
		}
	}
	return best
}

func (d *domainRank) better(o *domainRank) bool {
	if d.standby != o.standby {
		return d.standby
	}
	if d.keepsItsSpares != o.keepsItsSpares {
		return d.keepsItsSpares
	}
	return cmp.Or(
		cmp.Compare(d.inDataCentre, o.inDataCentre),
		cmp.Compare(d.groups, o.groups),
		cmp.Compare(o.free, d.free),
		cmp.Compare(d.domain, o.domain)) < 0
}

// form starts a new group of a role if a domain has room.
func (p *Planner) form(now time.Duration, role engine.Role) bool {
	d := p.chooseDomain(now)
	if d == nil {
		return false
	}
	p.nextGroup++
	row := Row{
		ID:         ident.GroupID(fmt.Sprintf("%s-%d-%d", p.service, p.grant.Epoch, p.nextGroup)),
		Service:    p.service,
		Role:       role,
		Domain:     d.domain,
		DataCentre: d.dataCentre,
	}
	p.Counters.Formed++
	p.write(&group{row: row}, p.freeIn(now, d.domain)[:p.size()], nil)
	return true
}

// repaired returns the members of the next epoch of a group: each member that
// cannot stay is replaced in its rank by a free instance of the domain.
func (p *Planner) repaired(now time.Duration, g *group) ([]*instance, bool) {
	var free []*instance
	out := make([]*instance, len(g.members))
	for rank, i := range g.members {
		if p.usable(now, i) {
			out[rank] = i
			continue
		}
		if free == nil {
			free = p.freeIn(now, g.row.Domain)
		}
		if len(free) == 0 {
			return nil, false
		}
		out[rank], free = free[0], free[1:]
	}
	return out, true
}

// reform writes the next epoch of a stopped group.
func (p *Planner) reform(g *group, members []*instance) {
	p.Counters.Swapped++
	var out []*instance
	for _, i := range g.members {
		if i.member == g && !slices.Contains(members, i) {
			out = append(out, i)
		}
	}
	p.write(g, members, out)
}

// write commits a group with its members' assignments in one transaction.
// Leavers that have provably left lose their row; the others keep it until they
// have.
func (p *Planner) write(g *group, members, leavers []*instance) {
	row := g.row
	row.Epoch++
	row.State = StateActive
	row.Model, row.Version = p.doc.Model.Name, p.doc.Model.Version
	row.Adapters = slices.Clone(p.doc.Model.Adapters)
	row.Members = make([]Member, len(members))
	key := Key(p.service, row.ID)
	conds := []infra.Condition{{RowKey: key, Version: g.version}}
	for rank, i := range members {
		row.Members[rank] = Member{i.info.ID, i.report.Status.Incarnation, i.info.Address}
		conds = append(conds, i.condition())
	}
	gone, conds, deletes := p.removals(g, leavers, conds)
	build := func(attempt string) []infra.Write {
		row.Attempt = attempt
		writes := []infra.Write{{RowKey: key, Value: encode(row)}}
		for _, m := range row.Members {
			a := Assignment{row.ID, row.Epoch, p.service, m.Incarnation, attempt}
			writes = append(writes, infra.Write{RowKey: AssignmentKey(m.Instance), Value: encode(a)})
		}
		return append(writes, deletes...)
	}
	p.begin(conds, build, func(version uint64) {
		next := &group{row: row, version: version, members: members, since: p.lastStep}
		p.groups[row.ID] = next
		for rank, i := range members {
			m := row.Members[rank]
			i.assigned = &Assignment{row.ID, row.Epoch, p.service, m.Incarnation, row.Attempt}
			i.version, i.member = version, next
			i.commands.next = 0
		}
		p.removed(gone, leavers)
	})
}

// dissolve deletes a stopped group and the rows of the members that left it.
func (p *Planner) dissolve(g *group) {
	p.Counters.Dissolved++
	key := Key(p.service, g.row.ID)
	var members []*instance
	for _, i := range g.members {
		if i.member == g {
			members = append(members, i)
		}
	}
	gone, conds, deletes := p.removals(g, members, []infra.Condition{{RowKey: key, Version: g.version}})
	p.begin(conds, func(string) []infra.Write {
		return append([]infra.Write{{RowKey: key, Delete: true}}, deletes...)
	}, func(uint64) {
		delete(p.groups, g.row.ID)
		p.removed(gone, members)
	})
}

// removals picks the leavers whose rows can be deleted.
func (p *Planner) removals(g *group, leavers []*instance, conds []infra.Condition) ([]*instance, []infra.Condition, []infra.Write) {
	var gone []*instance
	var deletes []infra.Write
	k := groupKey{g.row.ID, g.row.Epoch}
	for _, i := range leavers {
		if p.stopped(i, k, g.since) {
			gone = append(gone, i)
			conds = append(conds, i.condition())
			deletes = append(deletes, infra.Write{RowKey: AssignmentKey(i.info.ID), Delete: true})
		}
	}
	return gone, conds, deletes
}

func (i *instance) assignedKey() groupKey {
	return groupKey{i.assigned.Group, i.assigned.Epoch}
}

// removed records which leavers lost their row; the others are strays now.
func (p *Planner) removed(gone, leavers []*instance) {
	for _, i := range leavers {
		i.member, i.strayFrom = nil, p.lastStep
	}
	for _, i := range gone {
		i.assigned, i.version = nil, 0
	}
}

// clearStrays deletes the row of one stray that has provably left its group.
func (p *Planner) clearStrays() bool {
	for _, i := range p.order {
		if !i.stray() || !p.stopped(i, i.assignedKey(), i.strayFrom) {
			continue
		}
		p.begin([]infra.Condition{i.condition()}, func(string) []infra.Write {
			return []infra.Write{{RowKey: AssignmentKey(i.info.ID), Delete: true}}
		}, func(uint64) { i.assigned, i.version = nil, 0 })
		return true
	}
	return false
}
