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

// Demand tells what callers ask of each model.
type Demand struct{ Uses []Use }

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

// need is the demand for a model relative to the capacity of its groups. Before
// demand is known the models' shares stand for it. ahead counts the servers that
// hold the weights or load them as well.
func (p *Planner) need(m route.Model, ahead bool) float64 {
	groups := 0.0
	for _, g := range p.groups {
		if g.row().Model == m.Name {
			groups++
		}
	}
	if ahead {
		groups += float64(p.spareServers(m)) / float64(m.Size)
	}
	use, known := p.demand[m.Name]
	if !known {
		return m.Share / max(groups*float64(m.Size), 1.0/noGroupNeed)
	}
	if groups*float64(p.service.Slots) <= use/noGroupNeed {
		return noGroupNeed
	}
	return use / (groups * float64(p.service.Slots))
}

// spareServers counts the servers outside groups that hold a model's weights or
// load them.
func (p *Planner) spareServers(m route.Model) int {
	taken := p.taken()
	n := 0
	for _, s := range p.servers.Servers {
		if !taken[s.ID] && p.isIdle(s) && p.holds(s, m.Name) {
			n++
		}
	}
	return n
}

// byNeed orders the models by their need.
func (p *Planner) byNeed() []route.Model {
	models := slices.Clone(p.service.Models)
	slices.SortStableFunc(models, func(a, b route.Model) int { return cmp.Compare(p.need(b, false), p.need(a, false)) })
	return models
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
	for _, d := range p.domains() {
		plans = append(plans, p.stagePlans(now, d)...)
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
func (p *Planner) stagePlans(now time.Duration, d domain) []stagePlan {
	models := p.loadable(d)
	empty := p.unloaded(now, d, models)
	held := make(map[string]int, len(models))
	for _, m := range models {
		held[m.Name] = p.heldIn(d, m)
	}
	var out []stagePlan
	for len(empty) > 0 {
		var model route.Model
		best, count := -1.0, 1
		for _, m := range models {
			missing := m.Size - held[m.Name]%m.Size
			worth, n := p.need(m, true)*spareWorth/float64(m.Size), 1
			if missing <= len(empty) {
				worth, n = p.need(m, true)/float64(missing), missing
			}
			if worth > best {
				best, count, model = worth, n, m
			}
		}
		for _, s := range empty[:count] {
			out = append(out, stagePlan{server: s, model: model, worth: best})
		}
		empty = empty[count:]
		held[model.Name] += count
	}
	return out
}

// loadable are the models whose weights may be loaded in a domain: its own, and
// those that callers need more than their groups can serve.
func (p *Planner) loadable(d domain) []route.Model {
	out := slices.Clone(d.models)
	for _, m := range p.service.Models {
		if _, known := p.demand[m.Name]; known && !allows(d, m) && p.need(m, true) >= claimNeed {
			out = append(out, m)
		}
	}
	return out
}

// unloaded are the free servers of a domain without weights of use.
func (p *Planner) unloaded(now time.Duration, d domain, models []route.Model) []*fleet.Server {
	return slices.DeleteFunc(slices.Clone(d.idle), func(s *fleet.Server) bool {
		if slices.ContainsFunc(models, func(m route.Model) bool { return s.HasStaged(m.Name) }) {
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
		if p.holds(s, m.Name) {
			n++
		}
	}
	return n
}

// stagingPatience is how long a load may take before its order is sent again.
func (p *Planner) stagingPatience(model string) time.Duration {
	m, _ := p.model(model)
	return stagingSlack*m.Load + p.cfg.Resend
}

// stagingSlack times the time of a load is when it counts as lost: loads beyond
// the number that run at full speed slow each other down.
const stagingSlack = 3
