package formation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/saturate"
	"github.com/bulrushfall/bulrushfall/layout"
	"github.com/bulrushfall/bulrushfall/route"
)

// domain is a fabric domain with its free servers. The members of a group are in one
// domain, unless no domain is large enough for a group of the model.
type domain struct {
	name        ident.Domain
	serverCount int
	idle        []*fleet.Server
	// held is the number of servers for each model that hold or load its weights.
	held []int
	// groups is the number of groups of each model, those that are being written included.
	groups []int
	// target is the number of servers that are to hold each model, or nil once requests
	// arrive: from then on demand and losses decide.
	target []int
}

// domains returns the domains in the order of their names.
func (p *Planner) domains() []domain {
	models := len(p.service.Models)
	assigned := p.assignedServers()
	index := make(map[ident.Domain]int)
	var out []domain
	for _, s := range p.servers.Servers {
		if s.Service != p.service.Name || p.leaves(s) {
			continue
		}
		i, ok := index[s.Domain]
		if !ok {
			i = len(out)
			index[s.Domain] = i
			out = append(out, domain{name: s.Domain, held: make([]int, models), groups: make([]int, models)})
		}
		d := &out[i]
		d.serverCount++
		g := assigned[s.ID]
		if p.isIdle(s) && g == nil {
			d.idle = append(d.idle, s)
		}
		for m, model := range p.service.Models {
			if p.stagedOrStaging(s, model.Name) || (g != nil && g.latestRow().Model == model.Name) {
				d.held[m]++
			}
		}
	}
	for _, g := range p.groups {
		row := g.latestRow()
		i, ok := index[row.Domain]
		if m := p.modelIndex(row.Model); ok && m >= 0 {
			out[i].groups[m]++
		}
	}
	slices.SortFunc(out, func(a, b domain) int { return cmp.Compare(a.name, b.name) })
	if !p.trafficStarted {
		p.setTargets(out)
	}
	return out
}

// setTargets sets how many servers of each domain are to hold each model. The layout is
// planned again only when the domains change. Weights that are loaded meanwhile follow
// the layout.
func (p *Planner) setTargets(domains []domain) {
	sizes := make(map[ident.Domain]int, len(domains))
	for _, d := range domains {
		sizes[d.name] = d.serverCount
	}
	if !maps.Equal(sizes, p.layoutSizes) || p.layoutService != p.service {
		p.layoutSizes, p.layoutService = sizes, p.service
		p.layoutTargets = planTargets(p.service.Models, domains)
	}
	for i := range domains {
		domains[i].target = p.layoutTargets[domains[i].name]
	}
}

// planTargets plans which models the domains are to hold. Models without a domain that is
// large enough for one of their groups get whole domains, the others share the rest.
func planTargets(models []route.Model, domains []domain) map[ident.Domain][]int {
	largest, total := 0, 0
	for _, d := range domains {
		largest = max(largest, d.serverCount)
		total += d.serverCount
	}
	out := make(map[ident.Domain][]int, len(domains))
	rest := slices.Clone(domains)
	var narrow []int
	for i, m := range models {
		if m.Size <= largest || m.Share <= 0 {
			narrow = append(narrow, i)
			continue
		}
		// At least one group and, beyond that, the model's share.
		wanted := max(m.Size, int(m.Share*float64(total)))
		for wanted > 0 && len(rest) > len(models)-1 {
			d := rest[len(rest)-1]
			rest = rest[:len(rest)-1]
			out[d.name] = make([]int, len(models))
			out[d.name][i] = d.serverCount
			wanted -= d.serverCount
		}
	}
	var layoutModels []layout.Model
	for _, i := range narrow {
		layoutModels = append(layoutModels, layout.Model{Size: models[i].Size, Share: models[i].Share})
	}
	var layoutDomains []layout.Domain
	for _, d := range rest {
		held := make([]int, 0, len(narrow))
		for _, i := range narrow {
			held = append(held, d.held[i])
		}
		layoutDomains = append(layoutDomains, layout.Domain{Size: d.serverCount, Held: held})
	}
	for k, counts := range layout.Plan(layoutModels, layoutDomains) {
		target := make([]int, len(models))
		for j, n := range counts {
			target[narrow[j]] = n
		}
		out[rest[k].name] = target
	}
	return out
}

// spansDomains reports whether no domain is large enough for a group of a model. Its
// groups then run across domains, which is slower.
func spansDomains(m route.Model, domains []domain) bool {
	return !slices.ContainsFunc(domains, func(d domain) bool { return d.serverCount >= m.Size })
}

func (p *Planner) modelIndex(name string) int {
	return slices.IndexFunc(p.service.Models, func(m route.Model) bool { return m.Name == name })
}

// latestRow returns the row that is being written, or else the stored row.
func (g *group) latestRow() *Row {
	if g.pending != nil {
		return g.pending
	}
	return &g.Row
}

// isIdle reports whether a server can be used for a group. A server whose entry still
// names a group cannot.
func (p *Planner) isIdle(s *fleet.Server) bool {
	return s.Service == p.service.Name && s.State == fleet.NoGroup && !p.leaves(s) &&
		!slices.Contains(p.evacuated, s.DataCentre) && !p.isDead(s.ID, s.Incarnation)
}

// assignedServers returns the groups of the servers that are members in a stored row or
// in one that is being written. The result is kept until the groups change.
func (p *Planner) assignedServers() map[ident.InstanceID]*group {
	if p.assigned != nil {
		return p.assigned
	}
	p.assigned = make(map[ident.InstanceID]*group, len(p.servers.Servers))
	for _, g := range p.groups {
		for _, m := range g.Members {
			p.assigned[m.ID] = g
		}
		if g.pending != nil {
			for _, m := range g.pending.Members {
				p.assigned[m.ID] = g
			}
		}
	}
	return p.assigned
}

// replacements returns up to count free servers that hold the group's weights. They are
// in the group's domain, unless the group spans domains.
func (p *Planner) replacements(g *group, count int) []Member {
	assigned := p.assignedServers()
	var out []Member
	for _, s := range p.servers.Servers {
		if len(out) < count && (g.Domain == "" || s.Domain == g.Domain) && p.isIdle(s) && assigned[s.ID] == nil && p.holds(s, g.Model) {
			out = append(out, Member{ID: s.ID, Incarnation: s.Incarnation})
		}
	}
	return out
}

// releaseStrayServers orders servers to leave whose entries name a group but that are
// in no group's row.
func (p *Planner) releaseStrayServers(now time.Duration) {
	assigned := p.assignedServers()
	for _, s := range p.servers.Servers {
		if s.Service == p.service.Name && s.State != fleet.NoGroup && assigned[s.ID] == nil && !p.isDead(s.ID, s.Incarnation) {
			p.orderLeave(now, s.ID)
		}
	}
}

// activeLoads counts the loads from the weight store that are in progress.
func (p *Planner) activeLoads() int {
	n := len(p.stagingLoads)
	for _, g := range p.groups {
		row := g.latestRow()
		for _, m := range row.Members {
			if s, ok := p.servers.Get(m.ID); ok && s.Incarnation == m.Incarnation && !s.HasStaged(row.Model) && !p.isDead(m.ID, m.Incarnation) {
				n++
			}
		}
	}
	return n
}

// preTrafficLoadFactor is the multiple of LoadsAtOnce up to which loads run before the
// first request. Loads are short then and the list shows late that one has finished;
// additional loads keep the weight store busy meanwhile.
const preTrafficLoadFactor = 2

// mayStartLoads reports whether n loads may start now. The rate of loads is not limited
// before the first request. The limit on concurrent loads leaves out the n new ones: the
// loads of a group start together and may exceed it.
func (p *Planner) mayStartLoads(now time.Duration, n int) bool {
	p.loadStarts = slices.DeleteFunc(p.loadStarts, func(start time.Duration) bool { return now-start >= p.cfg.LoadWindow })
	maxStarts := saturate.Int(p.service.LoadRate * p.cfg.LoadWindow.Seconds())
	atOnce := max(1, p.service.LoadsAtOnce)
	if !p.trafficStarted {
		return p.activeLoads() < preTrafficLoadFactor*atOnce
	}
	return p.activeLoads() < atOnce && len(p.loadStarts)+n <= maxStarts
}

func (p *Planner) recordLoadStarts(now time.Duration, n int) {
	for range n {
		p.loadStarts = append(p.loadStarts, now)
	}
}

// formGroups forms new groups. It reports whether a group has to wait until its loads may
// start. The caller then starts no loads on spares, because groups load before spares.
func (p *Planner) formGroups(now time.Duration) (waiting bool) {
	if !p.mayWrite(now) {
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
		if loads > 0 && !p.mayStartLoads(now, loads) {
			return true
		}
		p.recordLoadStarts(now, loads)
		p.formGroup(m, members)
	}
	return false
}

// nextGroup returns the model and members of the next group to form: for the model with
// the highest demand ratio, in the domain with the most usable servers. Before the first
// request a group is formed where the layout has one. Once requests arrive, groups are
// formed only of servers that have staged the model's weights, because such servers could
// serve elsewhere while they wait in a group for the loads of others.
func (p *Planner) nextGroup() (route.Model, []*fleet.Server, bool) {
	domains := p.domains()
	for _, m := range p.modelsByDemandRatio() {
		var best []*fleet.Server
		if spansDomains(m.Model, domains) {
			for _, d := range domains {
				best = append(best, p.usableServers(d, m.Model)...)
			}
		} else {
			for _, d := range domains {
				if usable := p.usableServers(d, m.Model); len(usable) >= m.Size && len(usable) > len(best) {
					best = usable
				}
			}
		}
		if len(best) < m.Size {
			continue
		}
		slices.SortStableFunc(best, func(a, b *fleet.Server) int {
			return p.compareForGroup(a, b, m.Name)
		})
		return m.Model, best[:m.Size], true
	}
	return route.Model{}, nil, false
}

// usableServers returns the free servers of a domain that a new group of a model may use.
func (p *Planner) usableServers(d domain, m route.Model) []*fleet.Server {
	if i := p.modelIndex(m.Name); d.target != nil && m.Size <= d.serverCount && d.groups[i] >= d.target[i]/m.Size {
		return nil
	} else if d.target != nil && d.target[i] == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(d.idle), func(s *fleet.Server) bool {
		_, staging := p.stagingLoads[s.ID]
		return !p.holds(s, m.Name) && (p.trafficStarted || staging)
	})
}

// formGroup starts to write the row of a new group.
func (p *Planner) formGroup(m route.Model, members []*fleet.Server) {
	domainName := members[0].Domain
	if slices.ContainsFunc(members, func(s *fleet.Server) bool { return s.Domain != domainName }) {
		domainName = ""
	}
	row := Row{Group: p.newGroupID(), Service: p.service.Name, Epoch: p.nextEpoch(), Model: m.Name, Domain: domainName}
	for _, s := range members {
		row.Members = append(row.Members, Member{ID: s.ID, Incarnation: s.Incarnation})
	}
	g := &group{Row: Row{Group: row.Group, Model: m.Name, Domain: domainName}, joinSentAt: make(map[ident.InstanceID]time.Duration)}
	p.groups[row.Group] = g
	p.emit(LogEntry{Text: "group formed", Group: row.Group, Epoch: row.Epoch, Model: m.Name, Detail: string(domainName)})
	p.writeRow(g, &row)
}

// stagedRank orders servers for a new group: those that hold the model's weights come
// first, then empty ones, then those that hold other weights.
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
