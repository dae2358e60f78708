package formation

import (
	"cmp"
	"time"

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

// Reassigned reports the servers that are to hold another model than they did. It answers demand
// that moves between models: such a server leaves its group as if it drained, and loads the
// weights of its new model.
type Reassigned struct {
	// Models holds the new model of each server. It must not be changed afterwards.
	Models map[ident.InstanceID]string
}

func (Reassigned) formationEvent() {}

// holds reports whether a server holds a model's weights and may use them.
func (p *Planner) holds(s *fleet.Server, model string) bool {
	m, ok := p.reassigned[s.ID]
	return s.HasStaged(model) && (!ok || m == model)
}

// leavesGroup reports whether a member is to leave a group of a model.
func (p *Planner) leavesGroup(s *fleet.Server, model string) bool {
	m, ok := p.reassigned[s.ID]
	return p.leaves(s) || (ok && m != model)
}

// stageReassigned loads the new weights of idle servers that were reassigned.
func (p *Planner) stageReassigned(now time.Duration) {
	if len(p.reassigned) == 0 {
		return
	}
	assigned := p.assignedServers()
	for _, s := range p.servers.Servers {
		m, ok := p.reassigned[s.ID]
		load, loading := p.stagingLoads[s.ID]
		if !ok || !p.isIdle(s) || assigned[s.ID] != nil || s.HasStaged(m) || (loading && load.model == m && now-load.startedAt < p.stagingTimeout(m)) {
			continue
		}
		if !p.mayStartLoads(now, 1) {
			return
		}
		p.recordLoadStarts(now, 1)
		p.stagingLoads[s.ID] = stagingLoad{model: m, incarnation: s.Incarnation, startedAt: now}
		p.sendOrder(s, Order{Kind: Stage, Model: m})
	}
}

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
// its group.
func (p *Planner) Model(s *fleet.Server) (string, ident.GroupID) {
	group, model := ident.GroupID(""), p.stagingLoads[s.ID].model
	if len(s.Staged) > 0 {
		model = s.Staged[0]
	}
	if g := p.assignedServers()[s.ID]; g != nil {
		group, model = g.Group, g.latestRow().Model
	} else if s.State != fleet.NoGroup {
		group = s.Group
	}
	if m, ok := p.reassigned[s.ID]; ok {
		model = m
	}
	return model, group
}
