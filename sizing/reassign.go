package sizing

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bulrushfall/bulrushfall/ident"
)

// reassign moves servers from a model with more groups than are kept to one that lacks groups.
// That takes a load of weights, while ordered servers have to start before.
func (p *Planner) reassign(in *Input) {
	maps.DeleteFunc(p.reassigned, func(id ident.InstanceID, _ string) bool {
		return !slices.ContainsFunc(in.Servers, func(s Server) bool { return s.ID == id })
	})
	for i := range p.needed {
		to := &p.needed[i]
		for j := range p.needed {
			for from := &p.needed[j]; to.Groups < to.Needed && from != to && p.reassignGroup(in, from, to); {
				to.Groups++
				from.Groups = in.possibleGroups(from.Model, from.GroupSize, p.leaving)
			}
		}
	}
}

// reassignGroup reassigns the servers of one group, all in one domain, and reports whether the
// other model can spare them. Servers in no group come first, then those of the same group.
func (p *Planner) reassignGroup(in *Input, from, to *Need) bool {
	held := in.holders(from.Model, p.leaving)
	servers := 0
	for _, n := range held {
		servers += n
	}
	if float64(servers-to.GroupSize) < (1+spareShare)*float64(from.Kept*from.GroupSize) {
		return false
	}
	best := ident.Domain("")
	for _, name := range slices.Sorted(maps.Keys(held)) {
		n := held[name]
		groups := from.Groups - n/from.GroupSize + (n-to.GroupSize)/from.GroupSize
		if n >= to.GroupSize && groups >= from.Kept && n%from.GroupSize >= held[best]%from.GroupSize {
			best = name
		}
	}
	if best == "" {
		return false
	}
	var candidates []int
	for i, s := range in.Servers {
		if s.Model == from.Model && s.Domain == best && !p.leaving[s.ID] {
			candidates = append(candidates, i)
		}
	}
	slices.SortStableFunc(candidates, func(a, b int) int { return cmp.Compare(in.Servers[a].Group, in.Servers[b].Group) })
	for _, i := range candidates[:to.GroupSize] {
		p.reassigned[in.Servers[i].ID] = to.Model
		in.Servers[i].Model = to.Model
	}
	return true
}
