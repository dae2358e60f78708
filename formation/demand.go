package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/route"
)

// ModelDemand is the demand for one model.
type ModelDemand struct {
	Model string
	// Slots is the number of slots that the callers' requests would occupy if
	// none were refused.
	Slots float64
}

// Demand reports the measured demand for each model.
type Demand struct{ PerModel []ModelDemand }

func (Demand) formationEvent() {}

// Parameters that rank the loads of weights.
const (
	// maxDemandRatio bounds the demand ratio. A model without servers whose demand was
	// measured has this ratio.
	maxDemandRatio = 10
	// spareLoadPriority is the priority of loading a spare, relative to a load that
	// helps to complete a group.
	spareLoadPriority = 0.2
	// crossDomainDemandRatio is the demand ratio from which a model's weights are also
	// loaded in the domains of other models.
	crossDomainDemandRatio = 0.9
)

// modelDemandRatio is a model with its demand ratio: the demand for it relative to the
// capacity of its groups.
type modelDemandRatio struct {
	route.Model
	demandRatio float64
}

// modelsByDemandRatio returns the models in descending order of their demand ratios.
func (p *Planner) modelsByDemandRatio() []modelDemandRatio {
	out := make([]modelDemandRatio, 0, len(p.service.Models))
	for _, m := range p.service.Models {
		out = append(out, modelDemandRatio{m, p.demandRatio(m, 0)})
	}
	slices.SortStableFunc(out, func(a, b modelDemandRatio) int { return cmp.Compare(b.demandRatio, a.demandRatio) })
	return out
}

// demandRatiosWithSpares returns the models with the demand ratios that result if the
// free servers that hold or load their weights are counted as capacity.
func (p *Planner) demandRatiosWithSpares() []modelDemandRatio {
	assigned := p.assignedServers()
	out := make([]modelDemandRatio, 0, len(p.service.Models))
	for _, m := range p.service.Models {
		spares := 0
		for _, s := range p.servers.Servers {
			if !assigned[s.ID] && p.isIdle(s) && p.stagedOrStaging(s, m.Name) {
				spares++
			}
		}
		out = append(out, modelDemandRatio{m, p.demandRatio(m, spares)})
	}
	return out
}

// demandRatio returns the demand for a model relative to the capacity of its groups
// and of a number of spares. While the demand is unknown, the model's share is used
// instead.
func (p *Planner) demandRatio(m route.Model, spares int) float64 {
	servers := float64(spares)
	for _, g := range p.groups {
		if g.latestRow().Model == m.Name {
			servers += float64(m.Size)
		}
	}
	slots, known := p.demand[m.Name]
	if !known {
		return m.Share / max(servers, 1.0/maxDemandRatio)
	}
	capacity := servers / float64(m.Size) * float64(p.service.Slots)
	if capacity <= slots/maxDemandRatio {
		return maxDemandRatio
	}
	return slots / capacity
}

// stagedOrStaging reports whether a free server has staged a model's weights or is
// staging them.
func (p *Planner) stagedOrStaging(s *fleet.Server, model string) bool {
	return s.HasStaged(model) || p.stagingLoads[s.ID].model == model
}

// stagePlan is a useful load of a model's weights onto a server.
type stagePlan struct {
	server   *fleet.Server
	model    route.Model
	priority float64
}

// stageWeights loads weights onto free servers that hold no useful ones. It prefers
// models with a high demand ratio, and groups that few loads complete.
func (p *Planner) stageWeights(now time.Duration) {
	var plans []stagePlan
	models := p.demandRatiosWithSpares()
	for _, d := range p.domains() {
		plans = append(plans, p.stagePlans(now, d, models)...)
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

// stagePlans returns the useful loads of a domain. It prefers batches of loads that
// complete a group over single spares.
func (p *Planner) stagePlans(now time.Duration, d domain, candidates []modelDemandRatio) []stagePlan {
	models := p.loadableModels(d, candidates)
	empty := p.unloadedServers(now, d, models)
	if len(models) == 0 || len(empty) == 0 {
		return nil
	}
	prepared := make([]int, len(models))
	for i, m := range models {
		prepared[i] = p.preparedServers(d, m.Model)
	}
	var out []stagePlan
	for len(empty) > 0 {
		best, bestPriority, bestCount := 0, -1.0, 1
		for i, m := range models {
			missing := m.Size - prepared[i]%m.Size
			loadPriority, loads := m.demandRatio*spareLoadPriority/float64(m.Size), 1
			if missing <= len(empty) {
				loadPriority, loads = m.demandRatio/float64(missing), missing
			}
			if loadPriority > bestPriority {
				best, bestPriority, bestCount = i, loadPriority, loads
			}
		}
		for _, s := range empty[:bestCount] {
			out = append(out, stagePlan{server: s, model: models[best].Model, priority: bestPriority})
		}
		empty = empty[bestCount:]
		prepared[best] += bestCount
	}
	return out
}

// loadableModels returns the models whose weights may be loaded in a domain: those
// that the domain is assigned to, and those whose demand was measured and whose demand
// ratio reaches crossDomainDemandRatio.
func (p *Planner) loadableModels(d domain, candidates []modelDemandRatio) []modelDemandRatio {
	var out []modelDemandRatio
	for _, m := range candidates {
		_, known := p.demand[m.Name]
		if allows(d, m.Model) || (known && m.demandRatio >= crossDomainDemandRatio) {
			out = append(out, m)
		}
	}
	return out
}

// unloadedServers returns the free servers of a domain that neither hold the weights of
// one of the models nor are loading the weights of any model. A load that takes longer
// than stagingTimeout does not count.
func (p *Planner) unloadedServers(now time.Duration, d domain, models []modelDemandRatio) []*fleet.Server {
	return slices.DeleteFunc(slices.Clone(d.idle), func(s *fleet.Server) bool {
		if slices.ContainsFunc(models, func(m modelDemandRatio) bool { return s.HasStaged(m.Name) }) {
			return true
		}
		load, ok := p.stagingLoads[s.ID]
		return ok && now-load.startedAt < p.stagingTimeout(load.model)
	})
}

// preparedServers counts the free servers of a domain that hold or load a model's
// weights.
func (p *Planner) preparedServers(d domain, m route.Model) int {
	count := 0
	for _, s := range d.idle {
		if p.stagedOrStaging(s, m.Name) {
			count++
		}
	}
	return count
}

// stagingTimeout returns how long a load may take before its order is sent again.
func (p *Planner) stagingTimeout(model string) time.Duration {
	m, _ := p.findModel(model)
	return stagingTimeoutFactor*m.LoadTime + p.cfg.ResendAfter
}

// stagingTimeoutFactor is the multiple of a model's load time after which a load
// counts as lost. It exceeds 1 because loads slow each other down when more of them
// run than the weight store serves at full speed.
const stagingTimeoutFactor = 3
