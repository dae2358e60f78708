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

// Demand is the measured demand for each model.
type Demand struct{ PerModel []ModelDemand }

func (Demand) formationEvent() {}

// Weights of loads.
const (
	// noGroupNeed stands for the need of a model that no group serves.
	noGroupNeed = 10
	// spareWorth is what the load of a spare is worth, relative to one of several
	// that complete a group.
	spareWorth = 0.2
	// claimNeed is the need from which a model's weights are loaded in the
	// domains of other models too.
	claimNeed = 0.9
)

// modelNeed is a model with the demand for it relative to the capacity of its
// groups.
type modelNeed struct {
	route.Model
	need float64
}

// needs returns the models, the one with the greatest need first.
func (p *Planner) needs() []modelNeed {
	out := make([]modelNeed, 0, len(p.service.Models))
	for _, m := range p.service.Models {
		out = append(out, modelNeed{m, p.need(m, 0)})
	}
	slices.SortStableFunc(out, func(a, b modelNeed) int { return cmp.Compare(b.need, a.need) })
	return out
}

// needsAhead returns the models with their needs once the free servers that hold
// or load their weights serve too.
func (p *Planner) needsAhead() []modelNeed {
	taken := p.taken()
	out := make([]modelNeed, 0, len(p.service.Models))
	for _, m := range p.service.Models {
		spares := 0
		for _, s := range p.servers.Servers {
			if !taken[s.ID] && p.isIdle(s) && p.prepared(s, m.Name) {
				spares++
			}
		}
		out = append(out, modelNeed{m, p.need(m, spares)})
	}
	return out
}

// need is the demand for a model relative to the capacity of its groups and of so
// many spares. Before demand is known the models' shares stand for it.
func (p *Planner) need(m route.Model, spares int) float64 {
	servers := float64(spares)
	for _, g := range p.groups {
		if g.row().Model == m.Name {
			servers += float64(m.Size)
		}
	}
	use, known := p.demand[m.Name]
	if !known {
		return m.Share / max(servers, 1.0/noGroupNeed)
	}
	capacity := servers / float64(m.Size) * float64(p.service.Slots)
	if capacity <= use/noGroupNeed {
		return noGroupNeed
	}
	return use / capacity
}

// prepared reports whether a free server holds a model's weights or loads them.
func (p *Planner) prepared(s *fleet.Server, model string) bool {
	return s.HasStaged(model) || p.staging[s.ID].model == model
}

// stagePlan is a load that would be of use.
type stagePlan struct {
	server *fleet.Server
	model  route.Model
	worth  float64
}

// stage loads weights onto free servers that hold none of use: first where the
// loads complete a group soonest for the model with the greatest need.
func (p *Planner) stage(now time.Duration) {
	var plans []stagePlan
	needs := p.needsAhead()
	for _, d := range p.domains() {
		plans = append(plans, p.stagePlans(now, d, needs)...)
	}
	slices.SortStableFunc(plans, func(a, b stagePlan) int { return cmp.Compare(b.worth, a.worth) })
	for _, plan := range plans {
		if !p.mayLoad(now, 1) {
			return
		}
		p.countLoads(now, 1)
		p.staging[plan.server.ID] = staging{model: plan.model.Name, incarnation: plan.server.Incarnation, since: now}
		p.send(plan.server, Order{Kind: Stage, Model: plan.model.Name})
	}
}

// stagePlans lists the useful loads of a domain: batches that complete a group
// first, then spares.
func (p *Planner) stagePlans(now time.Duration, d domain, needs []modelNeed) []stagePlan {
	models := p.loadable(d, needs)
	empty := p.unloaded(now, d, models)
	if len(models) == 0 || len(empty) == 0 {
		return nil
	}
	held := make([]int, len(models))
	for i, m := range models {
		held[i] = p.heldIn(d, m.Model)
	}
	var out []stagePlan
	for len(empty) > 0 {
		best, worth, count := 0, -1.0, 1
		for i, m := range models {
			missing := m.Size - held[i]%m.Size
			w, n := m.need*spareWorth/float64(m.Size), 1
			if missing <= len(empty) {
				w, n = m.need/float64(missing), missing
			}
			if w > worth {
				best, worth, count = i, w, n
			}
		}
		for _, s := range empty[:count] {
			out = append(out, stagePlan{server: s, model: models[best].Model, worth: worth})
		}
		empty = empty[count:]
		held[best] += count
	}
	return out
}

// loadable are the models whose weights may be loaded in a domain: its own, and
// those that callers need more than their groups can serve.
func (p *Planner) loadable(d domain, needs []modelNeed) []modelNeed {
	var out []modelNeed
	for _, m := range needs {
		_, known := p.demand[m.Name]
		if allows(d, m.Model) || (known && m.need >= claimNeed) {
			out = append(out, m)
		}
	}
	return out
}

// unloaded are the free servers of a domain without weights of use.
func (p *Planner) unloaded(now time.Duration, d domain, models []modelNeed) []*fleet.Server {
	return slices.DeleteFunc(slices.Clone(d.idle), func(s *fleet.Server) bool {
		if slices.ContainsFunc(models, func(m modelNeed) bool { return s.HasStaged(m.Name) }) {
			return true
		}
		st, ok := p.staging[s.ID]
		return ok && now-st.since < p.stagingPatience(st.model)
	})
}

// heldIn counts the free servers of a domain that hold or load a model's weights.
func (p *Planner) heldIn(d domain, m route.Model) int {
	n := 0
	for _, s := range d.idle {
		if p.prepared(s, m.Name) {
			n++
		}
	}
	return n
}

// stagingPatience is how long a load may take before its order is sent again.
func (p *Planner) stagingPatience(model string) time.Duration {
	m, _ := p.model(model)
	return stagingSlack*m.LoadTime + p.cfg.Resend
}

// stagingSlack times the time of a load is when it counts as lost: loads beyond
// the number that run at full speed slow each other down.
const stagingSlack = 3
