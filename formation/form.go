package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// domain is a fabric domain with its free servers. The members of a group are in one
// domain.
type domain struct {
	name        ident.Domain
	serverCount int
	idle        []*fleet.Server
	// models are the models that the domain's servers may serve.
	models []route.Model
}

// minDedicatedShare is the fraction of a domain's servers that a model must still need
// for the whole domain to be assigned to it.
const minDedicatedShare = 0.5

// domains returns the domains in the order of their names, each with the models
// assigned to it. A domain is assigned to one model, because then the remaining
// members of a dissolved group can replace members of the domain's other groups.
// A domain is open to all models if no model still needs minDedicatedShare of it.
func (p *Planner) domains() []domain {
	out := p.listDomains()
	total := 0
	for _, d := range out {
		total += d.serverCount
	}
	shortfall := make([]float64, len(p.service.Models))
	for i, m := range p.service.Models {
		shortfall[i] = m.Share * float64(total)
	}
	var unassigned []int
	for i := range out {
		if m := p.dominantModel(&out[i]); m >= 0 {
			out[i].models = p.service.Models[m : m+1]
			shortfall[m] -= float64(out[i].serverCount)
			continue
		}
		unassigned = append(unassigned, i)
	}
	for _, i := range unassigned {
		d := &out[i]
		m := 0
		for j := range shortfall {
			if shortfall[j] > shortfall[m] {
				m = j
			}
		}
		if shortfall[m] < minDedicatedShare*float64(d.serverCount) {
			d.models = p.service.Models
			continue
		}
		d.models = p.service.Models[m : m+1]
		shortfall[m] -= float64(d.serverCount)
	}
	p.shareDomainsIfUncovered(out, shortfall)
	return out
}

// shareDomainsIfUncovered opens a domain to all models if a model has no domain. It
// chooses a domain of the model with the smallest shortfall.
func (p *Planner) shareDomainsIfUncovered(domains []domain, shortfall []float64) {
	for _, m := range p.service.Models {
		if m.Share <= 0 || slices.ContainsFunc(domains, func(d domain) bool { return allows(d, m) }) {
			continue
		}
		best := -1
		for i, d := range domains {
			if best < 0 || shortfall[p.modelIndex(d.models[0])] < shortfall[p.modelIndex(domains[best].models[0])] {
				best = i
			}
		}
		if best >= 0 {
			domains[best].models = p.service.Models
		}
	}
}

func (p *Planner) modelIndex(m route.Model) int {
	return slices.IndexFunc(p.service.Models, func(o route.Model) bool { return o.Name == m.Name })
}

// listDomains returns the domains with their free servers, without models.
func (p *Planner) listDomains() []domain {
	var out []domain
	assigned := p.assignedServers()
	for _, s := range p.servers.Servers {
		if s.Service != p.service.Name || s.Draining {
			continue
		}
		i := slices.IndexFunc(out, func(d domain) bool { return d.name == s.Domain })
		if i < 0 {
			i = len(out)
			out = append(out, domain{name: s.Domain})
		}
		out[i].serverCount++
		if p.isIdle(s) && !assigned[s.ID] {
			out[i].idle = append(out[i].idle, s)
		}
	}
	slices.SortFunc(out, func(a, b domain) int { return cmp.Compare(a.name, b.name) })
	return out
}

// dominantModel returns the index of the model that at least two thirds of the loaded
// servers of a domain hold or load, or -1 if there is none.
func (p *Planner) dominantModel(d *domain) int {
	count := make([]int, len(p.service.Models))
	total := 0
	for _, s := range p.servers.Servers {
		if s.Domain != d.name || s.Service != p.service.Name {
			continue
		}
		for i, m := range p.service.Models {
			if p.holdsOrLoads(s, m.Name) {
				count[i]++
				total++
			}
		}
	}
	for i, n := range count {
		if n > 0 && 3*n >= 2*total {
			return i
		}
	}
	return -1
}

// holdsOrLoads reports whether a server holds or loads a model's weights, as a spare or
// as a member of a group.
func (p *Planner) holdsOrLoads(s *fleet.Server, model string) bool {
	if p.stagedOrStaging(s, model) {
		return true
	}
	for _, g := range p.groups {
		if row := g.latestRow(); row.Model == model && slices.ContainsFunc(row.Members, func(m Member) bool { return m.ID == s.ID }) {
			return true
		}
	}
	return false
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
	return s.Service == p.service.Name && s.State == fleet.NoGroup && !s.Draining &&
		!slices.Contains(p.evacuated, s.DataCentre) && !p.isDead(s.ID, s.Incarnation)
}

// assignedServers returns the servers that are members in a stored row or in one that
// is being written.
func (p *Planner) assignedServers() map[ident.InstanceID]bool {
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

// replacements returns up to count free servers of the group's domain that hold the
// group's weights.
func (p *Planner) replacements(g *group, count int) []Member {
	assigned := p.assignedServers()
	var out []Member
	for _, s := range p.servers.Servers {
		if len(out) < count && s.Domain == g.Domain && p.isIdle(s) && !assigned[s.ID] && s.HasStaged(g.Model) {
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
		if s.Service == p.service.Name && s.State != fleet.NoGroup && !assigned[s.ID] && !p.isDead(s.ID, s.Incarnation) {
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
	maxStarts := int(p.service.LoadRate * p.cfg.LoadWindow.Seconds())
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
	if now < p.storeRetryAt {
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
// the highest demand ratio, in the domain with the most usable servers. Once requests
// arrive, groups are formed only of servers that have staged the model's weights, because
// such servers could serve elsewhere while they wait in a group for the loads of others.
func (p *Planner) nextGroup() (route.Model, []*fleet.Server, bool) {
	domains := p.domains()
	for _, m := range p.modelsByDemandRatio() {
		var best []*fleet.Server
		for _, d := range domains {
			if !p.trafficStarted && !allows(d, m.Model) {
				continue
			}
			usable := slices.Clone(d.idle)
			usable = slices.DeleteFunc(usable, func(s *fleet.Server) bool {
				_, staging := p.stagingLoads[s.ID]
				return !s.HasStaged(m.Name) && (p.trafficStarted || staging)
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

// allows reports whether a domain is assigned to a model.
func allows(d domain, m route.Model) bool {
	return slices.ContainsFunc(d.models, func(o route.Model) bool { return o.Name == m.Name })
}

// formGroup starts to write the row of a new group.
func (p *Planner) formGroup(m route.Model, members []*fleet.Server) {
	domainName := members[0].Domain
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
