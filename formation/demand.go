package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/route"
)

// Use is the demand for one model.
type Use struct {
	Model string
	// Slots is the number of slots that the callers' requests would occupy if
	// none were refused.
	Slots float64
}

// Demand is the measured demand for each model.
type Demand struct{ Uses []Use }

func (Demand) formationEvent() {}

// Weights of loads.
const (
	// maxDemandRatio stands for the need of a model that no group serves.
	maxDemandRatio = 10
	// spareLoadPriority is what the load of a spare is worth, relative to one of several
	// that complete a group.
	spareLoadPriority = 0.2
	// crossDomainDemandRatio is the need from which a model's weights are loaded in the
	// domains of other models too.
	crossDomainDemandRatio = 0.9
)

// modelDemandRatio is a model with the demand for it relative to the capacity of its
// groups.
type modelDemandRatio struct {
	route.Model
	demandRatio float64
}

// needs returns the models, the one with the greatest need first.
func (p *Planner) modelsByDemandRatio() []modelDemandRatio {
	out := make([]modelDemandRatio, 0, len(p.service.Models))
	for _, m := range p.service.Models {
		out = append(out, modelDemandRatio{m, p.demandRatio(m, 0)})
	}
	slices.SortStableFunc(out, func(a, b modelDemandRatio) int { return cmp.Compare(b.demandRatio, a.demandRatio) })
	return out
}

// demandRatiosWithSpares returns the models with their needs once the free servers that hold
// or load their weights serve too.
func (p *Planner) demandRatiosWithSpares() []modelDemandRatio {
	taken := p.assignedServers()
	out := make([]modelDemandRatio, 0, len(p.service.Models))
	for _, m := range p.service.Models {
		spares := 0
		for _, s := range p.servers.Servers {
			if !taken[s.ID] && p.isIdle(s) && p.stagedOrStaging(s, m.Name) {
				spares++
			}
		}
		out = append(out, modelDemandRatio{m, p.demandRatio(m, spares)})
	}
	return out
}

// need is the demand for a model relative to the capacity of its groups and of so
// many spares. Before demand is known the models' shares stand for it.
func (p *Planner) demandRatio(m route.Model, spares int) float64 {
	servers := float64(spares)
	for _, g := range p.groups {
		if g.latestRow().Model == m.Name {
			servers += float64(m.Size)
		}
	}
	use, known := p.demand[m.Name]
	if !known {
		return m.Share / max(servers, 1.0/maxDemandRatio)
	}
	capacity := servers / float64(m.Size) * float64(p.service.Slots)
	if capacity <= use/maxDemandRatio {
		return maxDemandRatio
	}
	return use / capacity
}

// prepared reports whether a free server holds a model's weights or loads them.
func (p *Planner) stagedOrStaging(s *fleet.Server, model string) bool {
	return s.HasStaged(model) || p.stagingLoads[s.ID].model == model
}

// stagePlan is a load that would be of use.
type stagePlan struct {
	server *fleet.Server
	model  route.Model
	priority  float64
}

// stage loads weights onto free servers that hold none of use: first where the
// loads complete a group soonest for the model with the greatest need.
func (p *Planner) stageWeights(now time.Duration) {
	var plans []stagePlan
	needs := p.demandRatiosWithSpares()
	for _, d := range p.domains() {
		plans = append(plans, p.stagePlans(now, d, needs)...)
	}
	slices.SortStableFunc(plans, func(a, b stagePlan) int { return cmp.Compare(b.priority, a.priority) })
	for _, plan := range plans {
		if !p.mayStartLoads(now, 1) {
			return
		}
		p.recordLoadStarts(now, 1)
		p.stagingLoads[plan.server.ID] = stagingLoad{model: plan.model.Name, incarnation: plan.server.Incarnation, startedAt: now}
		p.sendOrder(plan.server, Order{Kind: Stage, Model: plan.model.Name})
	}
}

// stagePlans lists the useful loads of a domain: batches that complete a group
// first, then spares.
func (p *Planner) stagePlans(now time.Duration, d domain, needs []modelDemandRatio) []stagePlan {
	models := p.loadableModels(d, needs)
	empty := p.unloadedServers(now, d, models)
	if len(models) == 0 || len(empty) == 0 {
		return nil
	}
	held := make([]int, len(models))
	for i, m := range models {
		held[i] = p.preparedServers(d, m.Model)
	}
	var out []stagePlan
	for len(empty) > 0 {
		best, worth, count := 0, -1.0, 1
		for i, m := range models {
			missing := m.Size - held[i]%m.Size
			w, n := m.demandRatio*spareLoadPriority/float64(m.Size), 1
			if missing <= len(empty) {
				w, n = m.demandRatio/float64(missing), missing
			}
			if w > worth {
				best, worth, count = i, w, n
			}
		}
		for _, s := range empty[:count] {
			out = append(out, stagePlan{server: s, model: models[best].Model, priority: worth})
		}
		empty = empty[count:]
		held[best] += count
	}
	return out
}

// loadable are the models whose weights may be loaded in a domain: its own, and
// those that callers need more than their groups can serve.
func (p *Planner) loadableModels(d domain, needs []modelDemandRatio) []modelDemandRatio {
	var out []modelDemandRatio
	for _, m := range needs {
		_, known := p.demand[m.Name]
		if allows(d, m.Model) || (known && m.demandRatio >= crossDomainDemandRatio) {
			out = append(out, m)
		}
	}
	return out
}

// unloaded are the free servers of a domain without weights of use.
func (p *Planner) unloadedServers(now time.Duration, d domain, models []modelDemandRatio) []*fleet.Server {
	return slices.DeleteFunc(slices.Clone(d.idle), func(s *fleet.Server) bool {
		if slices.ContainsFunc(models, func(m modelDemandRatio) bool { return s.HasStaged(m.Name) }) {
			return true
		}
		st, ok := p.stagingLoads[s.ID]
		return ok && now-st.startedAt < p.stagingTimeout(st.model)
	})
}

// preparedServers counts the free servers of a domain that hold or load a model's weights.
func (p *Planner) preparedServers(d domain, m route.Model) int {
	n := 0
	for _, s := range d.idle {
		if p.stagedOrStaging(s, m.Name) {
			n++
		}
	}
	return n
}

// stagingTimeout is how long a load may take before its order is sent again.
func (p *Planner) stagingTimeout(model string) time.Duration {
	m, _ := p.findModel(model)
	return stagingTimeoutFactor*m.Load + p.cfg.ResendAfter
}

// stagingTimeoutFactor times the time of a load is when it counts as lost: loads beyond
// the number that run at full speed slow each other down.
const stagingTimeoutFactor = 3
