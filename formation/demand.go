package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/layout"
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
	// minPriorityGain is the least relative difference for which more loads are preferred
	// to fewer.
	minPriorityGain = 1e-9
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
			if assigned[s.ID] == nil && p.isIdle(s) && p.stagedOrStaging(s, m.Name) {
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
	return p.holds(s, model) || p.stagingLoads[s.ID].model == model
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
	domains := p.domains()
	for _, d := range domains {
		plans = append(plans, p.stagePlans(now, d, domains, models)...)
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

// stagePlans returns the useful loads of a domain, in the order of their value. A load
// is worth what it adds to the groups that are expected to be complete after losses, so
// that loads that complete a group come before spares, and spares for groups without any
// before further ones.
func (p *Planner) stagePlans(now time.Duration, d domain, domains []domain, candidates []modelDemandRatio) []stagePlan {
	empty := p.unloadedServers(now, d, p.loadableModels(d, candidates))
	held := slices.Clone(d.held)
	var out []stagePlan
	for len(empty) > 0 {
		best, bestPriority, bestCount := -1, 0.0, 0
		for i, m := range candidates {
			if !p.mayLoad(d, m, held[i]) {
				continue
			}
			size, value := m.Size, m.demandRatio
			if _, known := p.demand[m.Name]; !known {
				value *= float64(size)
			}
			if spansDomains(m.Model, domains) {
				// Any number of loads helps, because servers of all domains count together.
				size = 1
				value /= float64(m.Size)
			}
			groups := layout.ExpectedGroups(held[i], size, layout.LossShare)
			limit := len(empty)
			if d.target != nil {
				limit = min(limit, d.target[i]-held[i])
			}
			for count := 1; count <= limit; count++ {
				gain := layout.ExpectedGroups(held[i]+count, size, layout.LossShare) - groups
				if priority := value * gain / float64(count); priority > bestPriority*(1+minPriorityGain) {
					best, bestPriority, bestCount = i, priority, count
				}
			}
		}
		if best < 0 {
			return out
		}
		for _, s := range empty[:bestCount] {
			out = append(out, stagePlan{server: s, model: candidates[best].Model, priority: bestPriority})
		}
		empty = empty[bestCount:]
		held[best] += bestCount
	}
	return out
}

// mayLoad reports whether another server of a domain may load a model's weights: within
// the domain's target before the first request, and afterwards if the domain holds the
// model already, holds none, or the model's demand is close to its capacity.
func (p *Planner) mayLoad(d domain, m modelDemandRatio, held int) bool {
	i := p.modelIndex(m.Name)
	if d.target != nil {
		return held < d.target[i]
	}
	_, known := p.demand[m.Name]
	return d.held[i] > 0 || !slices.ContainsFunc(d.held, func(n int) bool { return n > 0 }) ||
		(known && m.demandRatio >= crossDomainDemandRatio)
}

// loadableModels returns the models whose weights may be loaded in a domain.
func (p *Planner) loadableModels(d domain, candidates []modelDemandRatio) []modelDemandRatio {
	return slices.DeleteFunc(slices.Clone(candidates), func(m modelDemandRatio) bool {
		i := p.modelIndex(m.Name)
		if d.target != nil {
			return d.target[i] == 0
		}
		return !p.mayLoad(d, m, d.held[i])
	})
}

// unloadedServers returns the free servers of a domain that neither hold the weights of
// one of the models nor are loading the weights of any model. A load that takes longer
// than stagingTimeout does not count.
func (p *Planner) unloadedServers(now time.Duration, d domain, models []modelDemandRatio) []*fleet.Server {
	return slices.DeleteFunc(slices.Clone(d.idle), func(s *fleet.Server) bool {
		if _, ok := p.reassigned[s.ID]; ok || slices.ContainsFunc(models, func(m modelDemandRatio) bool { return s.HasStaged(m.Name) }) {
			return true
		}
		load, ok := p.stagingLoads[s.ID]
		return ok && now-load.startedAt < p.stagingTimeout(load.model)
	})
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
