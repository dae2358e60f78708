package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// domain is a fabric domain with its free servers.
type domain struct {
	name  ident.Domain
	total int
	idle  []*fleet.Server
	// models are those that the domain's servers are for.
	models []route.Model
}

// mixedBelow is the part of a domain below which the shortage of a model does not
// claim a domain as a whole.
const mixedBelow = 0.5

// domains returns the domains in the order of their names. Each is for one model,
// because then the members that a lost group leaves behind can replace members
// of the domain's other groups. A domain is for all models where the models'
// shares leave less than half of one.
func (p *Planner) domains() []domain {
	out := p.listDomains()
	total := 0
	for _, d := range out {
		total += d.total
	}
	need := make([]float64, len(p.service.Models))
	for i, m := range p.service.Models {
		need[i] = m.Share * float64(total)
	}
	var open []int
	for i := range out {
		if m := p.habit(&out[i]); m >= 0 {
			out[i].models = p.service.Models[m : m+1]
			need[m] -= float64(out[i].total)
			continue
		}
		open = append(open, i)
	}
	for _, i := range open {
		d := &out[i]
		m := 0
		for j := range need {
			if need[j] > need[m] {
				m = j
			}
		}
		if need[m] < mixedBelow*float64(d.total) {
			d.models = p.service.Models
			continue
		}
		d.models = p.service.Models[m : m+1]
		need[m] -= float64(d.total)
	}
	p.openForAll(out, need)
	return out
}

// openForAll makes a domain of the model with the most to spare open for all
// models if one of them has no domain.
func (p *Planner) openForAll(domains []domain, need []float64) {
	for _, m := range p.service.Models {
		if m.Share <= 0 || slices.ContainsFunc(domains, func(d domain) bool { return allows(d, m) }) {
			continue
		}
		best := -1
		for i, d := range domains {
			if best < 0 || need[p.index(d.models[0])] < need[p.index(domains[best].models[0])] {
				best = i
			}
		}
		if best >= 0 {
			domains[best].models = p.service.Models
		}
	}
}

func (p *Planner) index(m route.Model) int {
	return slices.IndexFunc(p.service.Models, func(o route.Model) bool { return o.Name == m.Name })
}

func (p *Planner) listDomains() []domain {
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
	slices.SortFunc(out, func(a, b domain) int { return cmp.Compare(a.name, b.name) })
	return out
}

// habit returns the model that most loaded servers of a domain hold, or -1 if
// none holds any or they differ widely.
func (p *Planner) habit(d *domain) int {
	count := make([]int, len(p.service.Models))
	all := 0
	for _, s := range p.servers.Servers {
		if s.Domain != d.name || s.Service != p.service.Name {
			continue
		}
		for i, m := range p.service.Models {
			if p.holds(s, m.Name) {
				count[i]++
				all++
			}
		}
	}
	for i, n := range count {
		if n > 0 && 3*n >= 2*all {
			return i
		}
	}
	return -1
}

// holds reports whether a server has a model's weights or loads them, as a spare or
// for a group.
func (p *Planner) holds(s *fleet.Server, model string) bool {
	if p.prepared(s, model) {
		return true
	}
	for _, g := range p.groups {
		if row := g.row(); row.Model == model && slices.ContainsFunc(row.Members, func(m Member) bool { return m.ID == s.ID }) {
			return true
		}
	}
	return false
}

// row is the group's row, or the one that is being written.
func (g *group) row() *Row {
	if g.pending != nil {
		return g.pending
	}
	return &g.Row
}

// isIdle reports whether a server is free. One that still names a group is not.
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

// replacements picks free servers that hold a group's weights.
func (p *Planner) replacements(g *group, need int) []Member {
	taken := p.taken()
	var out []Member
	for _, s := range p.servers.Servers {
		if len(out) < need && s.Domain == g.Domain && p.isIdle(s) && !taken[s.ID] && s.HasStaged(g.Model) {
			out = append(out, Member{ID: s.ID, Incarnation: s.Incarnation})
		}
	}
	return out
}

// dismissStrays orders servers that name a group without a row for them to
// leave.
func (p *Planner) dismissStrays(now time.Duration) {
	taken := p.taken()
	for _, s := range p.servers.Servers {
		if s.Service == p.service.Name && s.State != fleet.NoGroup && !taken[s.ID] && !p.isDead(s.ID, s.Incarnation) {
			p.leave(now, s.ID)
		}
	}
}

// loading counts the loads from the weight store that are under way.
func (p *Planner) loading() int {
	n := len(p.staging)
	for _, g := range p.groups {
		row := g.row()
		for _, m := range row.Members {
			if s, ok := p.servers.Get(m.ID); ok && s.Incarnation == m.Incarnation && !s.HasStaged(row.Model) && !p.isDead(m.ID, m.Incarnation) {
				n++
			}
		}
	}
	return n
}

// earlyLoads times the number of loads at full speed are under way before the
// first request. Loads are short then, and the list shows the end of one late:
// more of them keep the weight store busy in between.
const earlyLoads = 2

// mayLoad reports whether so many loads may start now. Loads before the first
// request are not limited in their rate.
func (p *Planner) mayLoad(now time.Duration, n int) bool {
	p.starts = slices.DeleteFunc(p.starts, func(at time.Duration) bool { return now-at >= p.cfg.LoadWindow })
	limit := int(p.service.LoadRate * p.cfg.LoadWindow.Seconds())
	atOnce := max(1, p.service.LoadsAtOnce)
	if !p.served {
		return p.loading() < earlyLoads*atOnce
	}
	return p.loading() < atOnce && len(p.starts)+n <= limit
}

func (p *Planner) countLoads(now time.Duration, n int) {
	for range n {
		p.starts = append(p.starts, now)
	}
}

// grow forms new groups. It reports whether a group waits for its turn to load:
// spares come after groups.
func (p *Planner) grow(now time.Duration) (waits bool) {
	if now < p.storeAt {
		return false
	}
	for range len(p.servers.Servers) {
		m, members, ok := p.nextGroup()
		if !ok {
			return false
		}
		loads := 0
		for _, s := range members {
			if !s.HasStaged(m.Name) {
				loads++
			}
		}
		if loads > 0 && !p.mayLoad(now, loads) {
			return true
		}
		p.countLoads(now, loads)
		p.form(m, members)
	}
	return false
}

// nextGroup picks the next group to form: of the model with the greatest need, in
// the domain with the most free servers. Once callers are served, groups are formed
// of loaded servers only: those in a group that waits for a load could serve
// elsewhere.
func (p *Planner) nextGroup() (route.Model, []*fleet.Server, bool) {
	domains := p.domains()
	for _, m := range p.needs() {
		var best []*fleet.Server
		for _, d := range domains {
			if !p.served && !allows(d, m.Model) {
				continue
			}
			usable := slices.Clone(d.idle)
			usable = slices.DeleteFunc(usable, func(s *fleet.Server) bool {
				_, loads := p.staging[s.ID]
				return !s.HasStaged(m.Name) && (p.served || loads)
			})
			if len(usable) >= m.Size && len(usable) > len(best) {
				best = usable
			}
		}
		if best != nil {
			slices.SortStableFunc(best, func(a, b *fleet.Server) int {
				return cmp.Compare(stagedRank(a, m.Name), stagedRank(b, m.Name))
			})
			return m.Model, best[:m.Size], true
		}
	}
	return route.Model{}, nil, false
}

func allows(d domain, m route.Model) bool {
	return slices.ContainsFunc(d.models, func(o route.Model) bool { return o.Name == m.Name })
}

func (p *Planner) form(m route.Model, members []*fleet.Server) {
	name := members[0].Domain
	row := Row{Group: p.newID(), Service: p.service.Name, Epoch: p.nextEpoch(), Model: m.Name, Domain: name}
	for _, s := range members {
		row.Members = append(row.Members, Member{ID: s.ID, Incarnation: s.Incarnation})
	}
	g := &group{Row: Row{Group: row.Group, Model: m.Name, Domain: name}, sent: make(map[ident.InstanceID]time.Duration)}
	p.groups[row.Group] = g
	p.emit(LogEntry{Text: "group formed", Group: row.Group, Epoch: row.Epoch, Model: m.Name, Detail: string(name)})
	p.write(g, &row)
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
