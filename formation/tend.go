package formation

import (
	"fmt"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// condition is what the list shows of a member.
type condition int

const (
	// waiting members have not joined under the row's epoch yet.
	waiting condition = iota
	joining
	ready
	open
	closing
	broken
	leaving
	// absent members have no entry, gone ones have restarted or are dead.
	absent
	gone
)

func (p *Planner) condition(g *group, m Member) (condition, *fleet.Server) {
	s, ok := p.servers.Get(m.ID)
	switch {
	case p.isDead(m.ID, m.Incarnation):
		return gone, s
	case !ok:
		return absent, nil
	case s.Incarnation != m.Incarnation:
		return gone, s
	case s.Draining:
		return leaving, s
	case s.Group != g.Group || s.Epoch != g.Epoch:
		return waiting, s
	}
	switch s.State {
	case fleet.Joining:
		return joining, s
	case fleet.Ready:
		return ready, s
	case fleet.Open:
		return open, s
	case fleet.Closing:
		return closing, s
	case fleet.Broken:
		return broken, s
	default:
		return waiting, s
	}
}

// tend moves one group toward serving with all its members.
func (p *Planner) tend(now time.Duration, g *group) {
	if g.writing {
		return
	}
	head, _ := p.condition(g, g.Members[0])
	serving := head == open
	var lost, away, drained []Member
	pending := 0
	for _, m := range g.Members {
		switch c, s := p.condition(g, m); c {
		case gone:
			lost = append(lost, m)
		case absent:
			away = append(away, m)
		case leaving:
			drained = append(drained, m)
		case waiting:
			pending++
			p.joinAgain(now, g, s)
		case joining:
			pending++
		}
	}
	if g.suspect || head == broken {
		p.probeAll(now, g)
	}
	switch {
	case len(lost) > 0:
		p.repair(now, g, "member lost")
	case len(away) > 0:
		p.tendAbsent(now, g, serving, away)
	case len(drained) > 0:
		p.tendDrained(now, g, head)
	case pending > 0:
	case head == broken:
		p.rejoinBroken(now, g)
	case head == ready:
		p.open(now, g)
	case serving && g.failing != 0:
		if now-g.failing >= p.cfg.HeadCheck && now >= p.storeAt {
			p.replaceHead(g)
		}
	case serving:
		if !g.seenGood {
			g.seenGood = true
			p.emit(LogEntry{Text: "group serves", Group: g.Group, Epoch: g.Epoch, Model: g.Model, Detail: (now - g.joined).String()})
		}
	}
	if len(lost)+len(away) == 0 {
		g.lostAt = 0
	}
}

// joinAgain sends a join whose effect is not seen.
func (p *Planner) joinAgain(now time.Duration, g *group, s *fleet.Server) {
	if at, ok := g.sent[s.ID]; ok && now-at < p.cfg.Resend {
		return
	}
	if s.Group != g.Group && s.State != fleet.NoGroup {
		// It still belongs to a former group.
		p.leave(now, s.ID)
		return
	}
	g.sent[s.ID] = now
	ids := make([]ident.InstanceID, 0, len(g.Members))
	for _, m := range g.Members {
		ids = append(ids, m.ID)
	}
	p.send(s, Order{Kind: Join, Group: g.Group, Epoch: g.Epoch, Model: g.Model, Members: ids})
}

// open opens the head. Each member was seen ready under the row's epoch, and an
// epoch has one list only.
func (p *Planner) open(now time.Duration, g *group) {
	if g.opened != 0 && now-g.opened < p.cfg.Resend {
		return
	}
	g.opened = now
	if s, ok := p.servers.Get(g.Members[0].ID); ok {
		p.send(s, Order{Kind: Open, Group: g.Group, Epoch: g.Epoch})
	}
}

// probeAll asks all members for a sign of life.
func (p *Planner) probeAll(now time.Duration, g *group) {
	g.suspect = false
	for _, m := range g.Members {
		p.probe(now, m)
	}
}

func (p *Planner) probe(now time.Duration, m Member) {
	if _, ok := p.probes[m.ID]; ok {
		return
	}
	if s, ok := p.servers.Get(m.ID); ok && s.Incarnation == m.Incarnation {
		p.probes[m.ID] = now
		p.emit(Probe{Member: m, Address: s.Address})
	}
}

// tendAbsent handles members without an entry. A member that is only cut off
// from the store serves on for a while; a head may not be sent new requests.
func (p *Planner) tendAbsent(now time.Duration, g *group, serving bool, away []Member) {
	if g.lostAt == 0 {
		g.lostAt = now
	}
	wait := p.cfg.CutFor
	if slices.Contains(away, g.Members[0]) {
		wait = p.cfg.HeadGone
	} else if !serving {
		wait = 0
	}
	if now-g.lostAt >= wait {
		p.repair(now, g, "member's entry is gone")
	}
}

// tendDrained replaces members that leave: the head finishes its requests first.
// Without replacements the group serves on for a while, and is then dissolved.
func (p *Planner) tendDrained(now time.Duration, g *group, head condition) {
	if g.drainedAt == 0 {
		g.drainedAt = now
	}
	s, ok := p.servers.Get(g.Members[0].ID)
	switch {
	case ok && s.State == fleet.Open:
		if head == open && !p.canRepair(g) && now-g.drainedAt < p.cfg.DrainWait {
			return
		}
		if g.closed == 0 || now-g.closed >= p.cfg.Resend {
			g.closed = now
			p.send(s, Order{Kind: Close, Group: g.Group, Epoch: g.Epoch})
		}
	case ok && s.State == fleet.Closing:
	default:
		p.repair(now, g, "member leaves")
	}
}

// rejoinBroken forms a broken group anew once its members have answered.
func (p *Planner) rejoinBroken(now time.Duration, g *group) {
	if g.lostAt == 0 {
		g.lostAt = now
		return
	}
	if now-g.lostAt >= p.cfg.ProbeEvery {
		p.repair(now, g, "group broken")
	}
}

// replaceHead puts the head last. It stays a member: it is the requests that it
// fails, and only the head gets any.
func (p *Planner) replaceHead(g *group) {
	g.failing = 0
	if len(g.Members) < 2 {
		return
	}
	next := g.Row
	next.Epoch = p.nextEpoch()
	next.Members = append(slices.Clone(g.Members[1:]), g.Members[0])
	p.emit(LogEntry{
		Text: "head replaced", Group: g.Group, Epoch: next.Epoch, Model: g.Model,
		Detail: fmt.Sprintf("%s fails all requests", g.Members[0].ID),
	})
	p.write(g, &next)
}

// survivors are the members that may stay.
func (p *Planner) survivors(g *group) []Member {
	var out []Member
	for _, m := range g.Members {
		switch c, _ := p.condition(g, m); c {
		case gone, absent, leaving:
		default:
			out = append(out, m)
		}
	}
	return out
}

// canRepair reports whether replacements with loaded weights are at hand.
func (p *Planner) canRepair(g *group) bool {
	need := len(g.Members) - len(p.survivors(g))
	return len(p.replacements(g, need)) == need
}

// repair writes a row with replacements for the members that are lost. Without
// replacements the group is dissolved: its members are spares for the domain's
// other groups then, and form a new group when enough are loaded.
func (p *Planner) repair(now time.Duration, g *group, why string) {
	m, ok := p.model(g.Model)
	if !ok || now < p.storeAt {
		return
	}
	left := p.survivors(g)
	need := m.Size - len(left)
	chosen := p.replacements(g, need)
	if len(chosen) < need || len(left) == 0 {
		p.emit(LogEntry{
			Text: "group dissolved", Group: g.Group, Epoch: g.Epoch, Model: g.Model,
			Detail: fmt.Sprintf("%s; %d of %d members left, %d spares in domain %s", why, len(left), m.Size, len(chosen), g.Domain),
		})
		p.write(g, nil)
		return
	}
	next := g.Row
	next.Epoch = p.nextEpoch()
	next.Members = append(slices.Clone(left), chosen...)
	p.emit(LogEntry{
		Text: "group repaired", Group: g.Group, Epoch: next.Epoch, Model: g.Model,
		Detail: fmt.Sprintf("%s; %d replaced", why, need),
	})
	p.write(g, &next)
}

func (p *Planner) model(name string) (route.Model, bool) {
	for _, m := range p.service.Models {
		if m.Name == name {
			return m, true
		}
	}
	return route.Model{}, false
}
