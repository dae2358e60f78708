package formation

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// A group whose members are in several domains is slower than one inside a
// domain, by the service's FarFactor. It is formed of loaded servers that
// complete no group in their own domains, and gives them back as soon as they do.

// maxFarFactor is the slowness up to which such groups are formed: a slower one
// could not send its first event within the goals of its requests.
const maxFarFactor = 4

// leftovers are the loaded servers of a model that are free, by domain; the
// domains with the most come first.
func (p *Planner) leftovers(m route.Model) [][]*fleet.Server {
	var out [][]*fleet.Server
	for _, d := range p.listDomains() {
		var loaded []*fleet.Server
		for _, s := range d.idle {
			if s.HasStaged(m.Name) {
				loaded = append(loaded, s)
			}
		}
		if len(loaded) > 0 {
			out = append(out, loaded)
		}
	}
	slices.SortStableFunc(out, func(a, b []*fleet.Server) int { return cmp.Compare(len(b), len(a)) })
	return out
}

// spread forms a group across domains once its servers have been left over for a
// while: those that repair a group or complete one are taken sooner.
func (p *Planner) spread(now time.Duration) {
	if !p.served || p.service.FarFactor > maxFarFactor {
		return
	}
	for _, m := range p.service.Models {
		left := p.leftovers(m)
		free := 0
		for _, l := range left {
			free += len(l)
		}
		if free < m.Size || len(left) < 2 {
			delete(p.leftSince, m.Name)
			continue
		}
		since, ok := p.leftSince[m.Name]
		if !ok {
			p.leftSince[m.Name] = now
			continue
		}
		if now-since < p.cfg.SpreadAfter {
			continue
		}
		delete(p.leftSince, m.Name)
		p.form(m, slices.Concat(left...)[:m.Size])
	}
}

// regather closes groups across domains whose members complete a group inside a
// domain together with its free servers.
func (p *Planner) regather() {
	taken := p.taken()
	for _, m := range p.service.Models {
		held := make(map[ident.Domain]int)
		for _, s := range p.servers.Servers {
			if p.isIdle(s) && !taken[s.ID] && s.HasStaged(m.Name) {
				held[s.Domain]++
			}
		}
		for _, g := range p.sorted() {
			if g.Model != m.Name || !g.Spread || g.writing || g.retire {
				continue
			}
			in := p.membersByDomain(g)
			if slices.ContainsFunc(g.Members, func(o Member) bool {
				s, ok := p.servers.Get(o.ID)
				return ok && held[s.Domain] < m.Size && held[s.Domain]+in[s.Domain] >= m.Size
			}) {
				g.retire = true
				p.emit(Note{Text: "group retired", Group: g.Group, Epoch: g.Epoch, Model: g.Model, Detail: "its members complete one inside a domain"})
				for d, n := range in {
					held[d] += n
				}
			}
		}
	}
}

// membersByDomain counts the members of a group in each domain.
func (p *Planner) membersByDomain(g *group) map[ident.Domain]int {
	in := make(map[ident.Domain]int)
	for _, o := range g.Members {
		if s, ok := p.servers.Get(o.ID); ok {
			in[s.Domain]++
		}
	}
	return in
}

// tendRetired dissolves a group after its head has finished its requests.
func (p *Planner) tendRetired(now time.Duration, g *group) {
	if p.finish(now, g) {
		p.emit(Note{Text: "group dissolved", Group: g.Group, Epoch: g.Epoch, Model: g.Model, Detail: "retired"})
		p.write(g, nil)
	}
}

// finish closes a group's head, and reports whether it has finished.
func (p *Planner) finish(now time.Duration, g *group) bool {
	s, ok := p.servers.Get(g.Members[0].ID)
	switch {
	case ok && s.State == fleet.Open:
		if g.closed == 0 || now-g.closed >= p.cfg.Resend {
			g.closed = now
			p.send(s, Order{Kind: Close, Group: g.Group, Epoch: g.Epoch})
		}
		return false
	case ok && s.State == fleet.Closing:
		return false
	}
	return true
}
