package formation

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// idle returns the servers of a domain that are free for a group, those of the
// service only. Servers that still name a group are not free.
func (p *Planner) idle(now time.Duration, domain ident.Domain) []*fleet.Server {
	var out []*fleet.Server
	taken := p.taken()
	for _, s := range p.servers.Servers {
		if s.Domain == domain && p.isIdle(s) && !taken[s.ID] {
			out = append(out, s)
		}
	}
	return out
}

func (p *Planner) isIdle(s *fleet.Server) bool {
	return s.Service == p.service.Name && s.State == fleet.NoGroup && !s.Draining &&
		!slices.Contains(p.evacuated, s.DataCentre) && !p.isDead(s.ID, s.Incarnation)
}

// taken are the servers that a row names.
func (p *Planner) taken() map[ident.InstanceID]bool {
	out := make(map[ident.InstanceID]bool)
	for _, g := range p.groups {
		for _, m := range g.Members {
			out[m.ID] = true
		}
		if g.pending != nil {
			for _, m := range g.pending.Members {
				out[m.ID] = true
			}
		}
	}
	return out
}

// replacements picks servers for a group: those that hold the weights first. It
// returns how many of them have to load.
func (p *Planner) replacements(now time.Duration, g *group, need int) ([]Member, int) {
	candidates := p.idle(now, g.Domain)
	rank := func(s *fleet.Server) int {
		switch st, ok := p.staging[s.ID]; {
		case s.HasStaged(g.Model):
			return 0
		case ok && st.model == g.Model:
			return 1
		case len(s.Staged) == 0 && !ok:
			return 2
		default:
			return 3
		}
	}
	slices.SortStableFunc(candidates, func(a, b *fleet.Server) int { return cmp.Compare(rank(a), rank(b)) })
	var out []Member
	loads := 0
	for _, s := range candidates[:min(need, len(candidates))] {
		if rank(s) >= 2 {
			loads++
		}
		out = append(out, Member{ID: s.ID, Incarnation: s.Incarnation})
	}
	return out, loads
}

// dismissStrays orders servers that name a group without a row for them to
// leave.
func (p *Planner) dismissStrays(now time.Duration) {
	taken := p.taken()
	for _, s := range p.servers.Servers {
		if s.Service == p.service.Name && s.State != fleet.NoGroup && !taken[s.ID] && !p.isDead(s.ID, s.Incarnation) {
			p.leave(now, s.ID, Row{})
		}
	}
}

// loading counts the loads from the weight store that are under way.
func (p *Planner) loading() int {
	n := len(p.staging)
	for _, g := range p.groups {
		row := &g.Row
		if g.pending != nil {
			row = g.pending
		}
		for _, m := range row.Members {
			if s, ok := p.servers.Get(m.ID); ok && s.Incarnation == m.Incarnation && !s.HasStaged(row.Model) && !p.isDead(m.ID, m.Incarnation) {
				n++
			}
		}
	}
	return n
}

// mayLoad reports whether so many loads may start now.
func (p *Planner) mayLoad(now time.Duration, n int) bool {
	p.starts = slices.DeleteFunc(p.starts, func(at time.Duration) bool { return now-at >= p.cfg.LoadWindow })
	limit := int(p.service.LoadRate * p.cfg.LoadWindow.Seconds())
	// Loads before the first request are not limited in their rate.
	return p.loading() < max(1, p.service.LoadsAtOnce) && (!p.served || len(p.starts)+n <= limit)
}

func (p *Planner) countLoads(now time.Duration, n int) {
	for range n {
		p.starts = append(p.starts, now)
	}
}

// domain is a fabric domain with its free servers.
type domain struct {
	name  ident.Domain
	total int
	idle  []*fleet.Server
}

func (p *Planner) domains(now time.Duration) []domain {
	var out []domain
	taken := p.taken()
	for _, s := range p.servers.Servers {
		if s.Service != p.service.Name || s.Draining {
			continue
		}
		i := slices.IndexFunc(out, func(d domain) bool { return d.name == s.Domain })
		if i < 0 {
			i = len(out)
			out = append(out, domain{name: s.Domain})
		}
		out[i].total++
		if p.isIdle(s) && !taken[s.ID] {
			out[i].idle = append(out[i].idle, s)
		}
	}
	return out
}

// grow forms new groups where a domain has more free servers than its spares.
// The model with the least capacity for its share comes first, in the domain
// with the most free servers. It reports whether a group waits for its turn to
// load: spares come after groups.
func (p *Planner) grow(now time.Duration) (waits bool) {
	for range len(p.servers.Servers) {
		m, d, ok := p.nextGroup(now)
		if !ok {
			return false
		}
		if !p.form(now, m, d) {
			return true
		}
	}
	return false
}

// nextGroup picks the next group to form.
func (p *Planner) nextGroup(now time.Duration) (route.Model, domain, bool) {
	domains := p.domains(now)
	for _, m := range p.byNeed() {
		best := -1
		for i, d := range domains {
			if free := len(d.idle) - p.spares(d); free >= m.Size && (best < 0 || len(d.idle) > len(domains[best].idle)) {
				best = i
			}
		}
		if best >= 0 {
			return m, domains[best], true
		}
	}
	return route.Model{}, domain{}, false
}

// spares is the number of servers of a domain that stay free.
func (p *Planner) spares(d domain) int {
	return int(math.Ceil(float64(d.total)*p.cfg.SpareShare - 0.5))
}

// byNeed orders the models by their instances relative to their share.
func (p *Planner) byNeed() []route.Model {
	models := slices.Clone(p.service.Models)
	supply := func(m route.Model) float64 {
		n := 0
		for _, g := range p.groups {
			if g.Model == m.Name {
				n += m.Size
			}
		}
		return float64(n) / max(0.01, m.Share)
	}
	slices.SortStableFunc(models, func(a, b route.Model) int { return cmp.Compare(supply(a), supply(b)) })
	return models
}

func (p *Planner) form(now time.Duration, m route.Model, d domain) bool {
	slices.SortStableFunc(d.idle, func(a, b *fleet.Server) int {
		return cmp.Compare(stagedRank(a, m.Name), stagedRank(b, m.Name))
	})
	row := Row{Service: p.service.Name, Epoch: p.nextEpoch(), Model: m.Name, Domain: d.name}
	loads := 0
	for _, s := range d.idle[:m.Size] {
		row.Members = append(row.Members, Member{ID: s.ID, Incarnation: s.Incarnation})
		if !s.HasStaged(m.Name) {
			loads++
		}
	}
	if loads > 0 && !p.mayLoad(now, loads) {
		return false
	}
	p.countLoads(now, loads)
	row.Group = p.newID()
	g := &group{Row: Row{Group: row.Group, Model: m.Name, Domain: d.name}, sent: make(map[ident.InstanceID]time.Duration)}
	p.groups[row.Group] = g
	p.emit(Note{Text: "group formed", Group: row.Group, Epoch: row.Epoch, Model: m.Name, Detail: string(d.name)})
	p.write(g, &row)
	return true
}

func stagedRank(s *fleet.Server, model string) int {
	switch {
	case s.HasStaged(model):
		return 0
	case len(s.Staged) == 0:
		return 1
	default:
		return 2
	}
}

// stage loads weights onto free servers that hold none of use.
func (p *Planner) stage(now time.Duration) {
	for _, d := range p.domains(now) {
		for _, s := range d.idle {
			st, under := p.staging[s.ID]
			if under && now-st.since < p.stagingPatience(st.model) {
				continue
			}
			model := p.stageModel(d, s)
			if model == "" || s.HasStaged(model) || (!under && !p.mayLoad(now, 1)) {
				continue
			}
			if !under {
				p.countLoads(now, 1)
			}
			p.staging[s.ID] = staging{model: model, incarnation: s.Incarnation, since: now}
			p.send(s, Order{Kind: Stage, Model: model})
		}
	}
}

// stagingPatience is how long a load may take before its order is sent again.
func (p *Planner) stagingPatience(model string) time.Duration {
	m, _ := p.model(model)
	return 3*m.Load + p.cfg.Resend
}

// stageModel picks the model that the domain's groups need most beside what its
// free servers hold already. A server that holds a model of use keeps it.
func (p *Planner) stageModel(d domain, s *fleet.Server) string {
	best, lowest := "", math.Inf(1)
	for _, m := range p.service.Models {
		members := 0
		for _, g := range p.groups {
			if g.Model == m.Name && g.Domain == d.name {
				members += m.Size
			}
		}
		if members == 0 {
			continue
		}
		if s.HasStaged(m.Name) {
			return m.Name
		}
		held := 0
		for _, o := range d.idle {
			if st, ok := p.staging[o.ID]; o.HasStaged(m.Name) || (ok && o != s && st.model == m.Name) {
				held++
			}
		}
		if cover := float64(held) / float64(members); cover < lowest {
			best, lowest = m.Name, cover
		}
	}
	return best
}
