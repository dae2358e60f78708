package group

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
)

// surge is the number of groups above wanted that a change of model, version
// or adapters may form before it stops an old one.
const surge = 1

// census counts the groups of one role.
type census struct {
	role engine.Role
	// want is the number of groups that the document asks for.
	want int
	// current groups match the document and have all members; coming ones are
	// stopping only to replace a member.
	current, coming int
	// stale groups have all members and another model, version or size.
	stale []*group
	// ready counts serving groups of any version.
	ready   int
	healthy []*group
}

// counted is the number of groups that fill the want.
func (c *census) counted() int { return c.current + c.coming }

// plan starts at most one transaction: first what frees instances, then what
// forms groups, then what replaces groups that serve.
func (p *Planner) plan(now time.Duration) {
	if p.finishStops(now) || p.clearStrays() {
		return
	}
	roles := p.census(now)
	if p.stopBroken(now, roles) {
		return
	}
	for _, c := range roles {
		if c.counted() < c.want && len(c.stale) == 0 && p.form(now, c.role) {
			return
		}
	}
	for _, c := range roles {
		if p.rollOut(now, c) || p.trim(c) {
			return
		}
	}
	_ = p.stopDrained(now, roles) || p.replaceStraggler(now, roles)
}

// census counts groups by role. The last element holds groups of roles that
// the document no longer names.
func (p *Planner) census(now time.Duration) []*census {
	roles := p.roles()
	out := make([]*census, 0, len(roles)+1)
	for n, r := range roles {
		c := &census{role: r}
		if p.doc.Kind == service.KindModel {
			c.want = p.doc.Replicas.Wanted / len(roles)
			if n < p.doc.Replicas.Wanted%len(roles) {
				c.want++
			}
		}
		out = append(out, c)
	}
	out = append(out, &census{})
	for _, g := range p.sorted {
		n := slices.Index(roles, g.row.Role)
		if n < 0 {
			n = len(roles)
		}
		p.count(now, out[n], g)
	}
	return out
}

func (p *Planner) count(now time.Duration, c *census, g *group) {
	switch {
	case g.row.State == StateStopping:
		if g.repair && p.current(&g.row) && !p.lossOf(now, g).dark() {
			c.coming++
		}
		return
	case g.brokenSince > 0:
		return
	}
	if g.serves && g.drainedSince == 0 {
		c.ready++
	}
	switch {
	case g.drainedSince > 0:
		if p.swapReady(now, g) {
			c.coming++
		}
	case p.current(&g.row):
		c.current++
		c.healthy = append(c.healthy, g)
	default:
		c.stale = append(c.stale, g)
	}
}

// current reports whether a group is what the document asks for.
func (p *Planner) current(r *Row) bool {
	m := &p.doc.Model
	return p.doc.Kind == service.KindModel && r.Model == m.Name && r.Version == m.Version &&
		slices.Equal(r.Adapters, m.Adapters) && len(r.Members) == p.size() &&
		slices.Contains(p.roles(), r.Role)
}

func (p *Planner) size() int { return max(1, p.doc.Replicas.InstancesPerReplica) }

// stop writes that a group stops.
func (p *Planner) stop(g *group, graceful, repair bool) bool {
	p.Counters.Stopped++
	row := g.row
	row.State = StateStopping
	key := Key(p.service, row.ID)
	p.begin([]infra.Condition{{RowKey: key, Version: g.version}},
		func(attempt string) []infra.Write {
			row.Attempt = attempt
			return []infra.Write{{RowKey: key, Value: encode(row)}}
		},
		func(version uint64) {
			g.row, g.version = row, version
			g.graceful, g.repair = graceful, repair
			// Reports from before this instant do not prove that a member left.
			g.since = p.lastStep
		})
	return true
}

// finishStops re-forms or dissolves a group that has stopped.
func (p *Planner) finishStops(now time.Duration) bool {
	for _, g := range p.sorted {
		if g.row.State != StateStopping || !p.ended(now, g) {
			continue
		}
		if g.repair && p.current(&g.row) {
			if members, ok := p.quickRepair(now, g); ok {
				p.reform(g, members)
				return true
			}
		}
		p.dissolve(g)
		return true
	}
	return false
}

// stopBroken stops groups that lost a member. A group that is wholly silent is
// left as it is, because its members may all come back; it counts as missing.
// A group with a silent member waits for it only while nothing could take its
// place.
func (p *Planner) stopBroken(now time.Duration, roles []*census) bool {
	for _, g := range p.sorted {
		if g.brokenSince == 0 || g.row.State != StateActive {
			continue
		}
		l := g.loss
		if !l.any() || l.dark() {
			continue
		}
		repair := p.cfg.Policy.Swap && p.current(&g.row) && p.below(roles, g.row.Role)
		if repair {
			_, repair = p.quickRepair(now, g)
		}
		if repair || l.dead > 0 || !p.cfg.Policy.Swap || now-g.brokenSince >= p.cfg.StrandTimeout ||
			p.chooseDomain(now) != nil {
			return p.stop(g, false, repair)
		}
	}
	return false
}

// below reports whether more groups of a role are wanted.
func (p *Planner) below(roles []*census, r engine.Role) bool {
	for _, c := range roles {
		if c.role == r {
			return c.counted() < c.want
		}
	}
	return false
}

// rollOut replaces groups of another version one at a time: a new group forms
// first where instances allow, and an old one stops only while the ready groups
// stay at or above the minimum.
func (p *Planner) rollOut(now time.Duration, c *census) bool {
	if len(c.stale) == 0 {
		return false
	}
	for _, g := range c.stale {
		if !g.serves {
			return p.stop(g, false, false)
		}
	}
	if c.counted() < c.want && c.counted()+len(c.stale) < c.want+surge && p.form(now, c.role) {
		return true
	}
	if !p.settledRole(c) || c.ready-1 < p.minimum(c) {
		return false
	}
	return p.stop(c.stale[0], true, false)
}

// settledRole reports whether no group of the role is changing.
func (p *Planner) settledRole(c *census) bool {
	if c.coming > 0 {
		return false
	}
	for _, g := range c.healthy {
		if !g.serves {
			return false
		}
	}
	return !slices.ContainsFunc(p.sorted, func(g *group) bool {
		return g.row.State == StateStopping && g.graceful && (g.row.Role == c.role || c.want == 0)
	})
}

// minimum is the number of ready groups of a role that planned changes keep.
func (p *Planner) minimum(c *census) int {
	if p.doc.Kind != service.KindModel || p.doc.Replicas.Wanted == 0 {
		return 0
	}
	total := max(1, p.doc.Replicas.Wanted)
	// Each role gets its share of the minimum, rounded up.
	return min(c.want, (p.doc.Replicas.Minimum*c.want+total-1)/total)
}

// trim stops groups above the wanted number, those that do not serve first.
func (p *Planner) trim(c *census) bool {
	if c.current <= c.want {
		return false
	}
	for _, g := range c.healthy {
		if !g.serves {
			return p.stop(g, false, false)
		}
	}
	if c.ready-1 < p.minimum(c) {
		return false
	}
	return p.stop(c.healthy[len(c.healthy)-1], true, false)
}

// stopDrained stops a group with a drained member once nothing is missing, or
// when the grace time for its replacement is over.
func (p *Planner) stopDrained(now time.Duration, roles []*census) bool {
	for _, g := range p.sorted {
		if g.drainedSince == 0 || g.brokenSince > 0 || g.row.State != StateActive {
			continue
		}
		if p.swapReady(now, g) {
			return p.stop(g, true, true)
		}
		replaced := !p.below(roles, g.row.Role) && p.allReady(roles, g.row.Role)
		if !replaced && now-g.drainedSince < p.cfg.DrainGrace {
			continue
		}
		repair := p.cfg.Policy.Swap && p.current(&g.row) && p.below(roles, g.row.Role)
		if repair {
			_, repair = p.repaired(now, g)
		}
		return p.stop(g, true, repair)
	}
	return false
}

// swapReady reports whether instances with loaded weights can take the place of
// the drained members of a group. That takes less time than a new group.
func (p *Planner) swapReady(now time.Duration, g *group) bool {
	if !p.cfg.Policy.Swap || g.brokenSince > 0 || g.row.State != StateActive || !p.current(&g.row) {
		return false
	}
	members, ok := p.repaired(now, g)
	return ok && p.loaded(g, members)
}

// loaded reports whether all members of a group's next epoch have the weights.
func (p *Planner) loaded(g *group, members []*instance) bool {
	return !slices.ContainsFunc(members, func(i *instance) bool { return i.member != g && !p.preloaded(i) })
}

// quickRepair returns the members of a group's next epoch, unless a standby
// group can serve earlier than a replacement that has to load the weights.
func (p *Planner) quickRepair(now time.Duration, g *group) ([]*instance, bool) {
	members, ok := p.repaired(now, g)
	return members, ok && (p.loaded(g, members) || !p.hasStandby(now))
}

// hasStandby reports whether a whole group's weights are in memory somewhere.
func (p *Planner) hasStandby(now time.Duration) bool {
	if p.standbyGroups() == 0 {
		return false
	}
	d := p.chooseDomain(now)
	return d != nil && d.standby
}

func (p *Planner) allReady(roles []*census, r engine.Role) bool {
	for _, c := range roles {
		for _, g := range c.healthy {
			if c.role == r && !g.serves {
				return false
			}
		}
	}
	return true
}

// replaceStraggler swaps a slow member while no other group is changing.
func (p *Planner) replaceStraggler(now time.Duration, roles []*census) bool {
	if !p.cfg.Policy.Swap {
		return false
	}
	for _, c := range roles {
		if len(c.healthy) == 0 || c.counted() < c.want || !p.settledRole(c) || c.ready-1 < p.minimum(c) {
			continue
		}
		for _, g := range c.healthy {
			if !p.hasStraggler(g) {
				continue
			}
			if _, ok := p.repaired(now, g); ok {
				return p.stop(g, true, true)
			}
		}
	}
	return false
}
