package formation

import (
	"cmp"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Leaving reports the servers that are given up, because the service needs fewer. It answers
// reductions of the service's size: such a server joins and replaces nothing any more, and its
// group is emptied and formed again without it, as if the server drained.
type Leaving struct {
	// Servers must not be changed afterwards.
	Servers map[ident.InstanceID]bool
}

func (Leaving) formationEvent() {}

// leaves reports whether a server drains or is given up.
func (p *Planner) leaves(s *fleet.Server) bool { return s.Draining || p.leaving[s.ID] }

// compareStay orders servers for a new group by the time for which they are expected to stay, so
// that few groups lose members when the service becomes smaller. All are equal unless the
// configuration says which servers the platform takes away first.
func (p *Planner) compareStay(a, b *fleet.Server) int {
	if p.cfg.CompareStay == nil {
		return 0
	}
	return p.cfg.CompareStay(a, b)
}

// compareForGroup orders servers for a new group of a model.
func (p *Planner) compareForGroup(a, b *fleet.Server, model string) int {
	return cmp.Or(cmp.Compare(stagedRank(a, model), stagedRank(b, model)), p.compareStay(a, b))
}

// Model returns the model whose weights a server holds or loads, or "" if there is none, and
// whether the server is in a group.
func (p *Planner) Model(s *fleet.Server) (model string, grouped bool) {
	if g := p.assignedServers()[s.ID]; g != nil {
		return g.latestRow().Model, true
	}
	switch {
	case s.State != fleet.NoGroup && s.Model != "":
		return s.Model, true
	case len(s.Staged) > 0:
		return s.Staged[0], false
	}
	return p.stagingLoads[s.ID].model, false
}
