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
type memberCondition int

const (
	// waiting members have not joined under the row's epoch yet.
	memberWaiting memberCondition = iota
	memberJoining
	memberReady
	memberOpen
	memberClosing
	memberBroken
	memberLeaving
	// absent members have no entry, gone ones have restarted or are dead.
	memberUnlisted
	memberGone
)

func (p *Planner) condition(g *group, m Member) (memberCondition, *fleet.Server) {
	s, ok := p.servers.Get(m.ID)
	switch {
	case p.isDead(m.ID, m.Incarnation):
		return memberGone, s
	case !ok:
		return memberUnlisted, nil
	case s.Incarnation != m.Incarnation:
		return memberGone, s
	case s.Draining:
		return memberLeaving, s
	case s.Group != g.Group || s.Epoch != g.Epoch:
		return memberWaiting, s
	}
	switch s.State {
	case fleet.Joining:
		return memberJoining, s
	case fleet.Ready:
		return memberReady, s
	case fleet.Open:
		return memberOpen, s
	case fleet.Closing:
		return memberClosing, s
	case fleet.Broken:
		return memberBroken, s
	default:
		return memberWaiting, s
	}
}

// tend moves one group toward serving with all its members.
func (p *Planner) reconcileGroup(now time.Duration, g *group) {
	if g.writing {
		return
	}
	head, _ := p.condition(g, g.Members[0])
	serving := head == memberOpen
	var lost, away, drained []Member
	pending := 0
	for _, m := range g.Members {
		switch c, s := p.condition(g, m); c {
		case memberGone:
			lost = append(lost, m)
		case memberUnlisted:
			away = append(away, m)
		case memberLeaving:
			drained = append(drained, m)
		case memberWaiting:
			pending++
			p.orderJoin(now, g, s)
		case memberJoining:
			pending++
		}
	}
	if g.probeRequested || head == memberBroken {
		p.probeMembers(now, g)
	}
	switch {
	case len(lost) > 0:
		p.repair(now, g, "member lost")
	case len(away) > 0:
		p.reconcileUnlisted(now, g, serving, away)
	case len(drained) > 0:
		p.reconcileDraining(now, g, head)
	case pending > 0:
	case head == memberBroken:
		p.reformBroken(now, g)
	case head == memberReady:
		p.orderOpen(now, g)
	case serving && g.headFailingSince != 0:
		if now-g.headFailingSince >= p.cfg.HeadProbeWait && now >= p.storeRetryAt {
			p.replaceHead(g)
		}
	case serving:
		if !g.servingLogged {
			g.servingLogged = true
			p.emit(Note{Text: "group serves", Group: g.Group, Epoch: g.Epoch, Model: g.Model, Detail: (now - g.rowWrittenAt).String()})
		}
	}
	if len(lost)+len(away) == 0 {
		g.incompleteSince = 0
	}
}

// orderJoin sends a join whose effect is not seen.
func (p *Planner) orderJoin(now time.Duration, g *group, s *fleet.Server) {
	if at, ok := g.joinSentAt[s.ID]; ok && now-at < p.cfg.ResendAfter {
		return
	}
	if s.Group != g.Group && s.State != fleet.NoGroup {
		// It still belongs to a former group.
		p.orderLeave(now, s.ID)
		return
	}
	g.joinSentAt[s.ID] = now
	ids := make([]ident.InstanceID, 0, len(g.Members))
	for _, m := range g.Members {
		ids = append(ids, m.ID)
	}
	p.sendOrder(s, Order{Kind: Join, Group: g.Group, Epoch: g.Epoch, Model: g.Model, Members: ids})
}

// open opens the head. Each member was seen ready under the row's epoch, and an
// epoch has one list only.
func (p *Planner) orderOpen(now time.Duration, g *group) {
	if g.openSentAt != 0 && now-g.openSentAt < p.cfg.ResendAfter {
		return
	}
	g.openSentAt = now
	if s, ok := p.servers.Get(g.Members[0].ID); ok {
		p.sendOrder(s, Order{Kind: Open, Group: g.Group, Epoch: g.Epoch})
	}
}

// probeMembers asks all members for a sign of life.
func (p *Planner) probeMembers(now time.Duration, g *group) {
	g.probeRequested = false
	for _, m := range g.Members {
		p.probeMember(now, m)
	}
}

func (p *Planner) probeMember(now time.Duration, m Member) {
	if _, ok := p.probeSentAt[m.ID]; ok {
		return
	}
	if s, ok := p.servers.Get(m.ID); ok && s.Incarnation == m.Incarnation {
		p.probeSentAt[m.ID] = now
		p.emit(Probe{Member: m, Address: s.Address})
	}
}

// reconcileUnlisted handles members without an entry. A member that is only cut off
// from the store serves on for a while; a head may not be sent new requests.
func (p *Planner) reconcileUnlisted(now time.Duration, g *group, serving bool, away []Member) {
	if g.incompleteSince == 0 {
		g.incompleteSince = now
	}
	wait := p.cfg.UnlistedMemberTimeout
	if slices.Contains(away, g.Members[0]) {
		wait = p.cfg.UnlistedHeadTimeout
	} else if !serving {
		wait = 0
	}
	if now-g.incompleteSince >= wait {
		p.repair(now, g, "member's entry is gone")
	}
}

// reconcileDraining replaces members that leave: the head finishes its requests first.
// Without replacements the group serves on for a while, and is then dissolved.
func (p *Planner) reconcileDraining(now time.Duration, g *group, head memberCondition) {
	if g.drainingSince == 0 {
		g.drainingSince = now
	}
	s, ok := p.servers.Get(g.Members[0].ID)
	switch {
	case ok && s.State == fleet.Open:
		if head == memberOpen && !p.canRepair(g) && now-g.drainingSince < p.cfg.DrainTimeout {
			return
		}
		if g.closeSentAt == 0 || now-g.closeSentAt >= p.cfg.ResendAfter {
			g.closeSentAt = now
			p.sendOrder(s, Order{Kind: Close, Group: g.Group, Epoch: g.Epoch})
		}
	case ok && s.State == fleet.Closing:
	default:
		p.repair(now, g, "member leaves")
	}
}

// reformBroken forms a broken group anew once its members have answered.
func (p *Planner) reformBroken(now time.Duration, g *group) {
	if g.incompleteSince == 0 {
		g.incompleteSince = now
		return
	}
	if now-g.incompleteSince >= p.cfg.ProbeInterval {
		p.repair(now, g, "group broken")
	}
}

// replaceHead puts the head last. It stays a member: it is the requests that it
// fails, and only the head gets any.
func (p *Planner) replaceHead(g *group) {
	g.headFailingSince = 0
	if len(g.Members) < 2 {
		return
	}
	next := g.Row
	next.Epoch = p.nextEpoch()
	next.Members = append(slices.Clone(g.Members[1:]), g.Members[0])
	p.emit(Note{
		Text: "head replaced", Group: g.Group, Epoch: next.Epoch, Model: g.Model,
		Detail: fmt.Sprintf("%s fails all requests", g.Members[0].ID),
	})
	p.writeRow(g, &next)
}

// survivors are the members that may stay.
func (p *Planner) remainingMembers(g *group) []Member {
	var out []Member
	for _, m := range g.Members {
		switch c, _ := p.condition(g, m); c {
		case memberGone, memberUnlisted, memberLeaving:
		default:
			out = append(out, m)
		}
	}
	return out
}

// canRepair reports whether replacements with loaded weights are at hand.
func (p *Planner) canRepair(g *group) bool {
	need := len(g.Members) - len(p.remainingMembers(g))
	return len(p.replacements(g, need)) == need
}

// repair writes a row with replacements for the members that are lost. Without
// replacements the group is dissolved: its members are spares for the domain's
// other groups then, and form a new group when enough are loaded.
func (p *Planner) repair(now time.Duration, g *group, why string) {
	m, ok := p.findModel(g.Model)
	if !ok || now < p.storeRetryAt {
		return
	}
	left := p.remainingMembers(g)
	need := m.Size - len(left)
	chosen := p.replacements(g, need)
	if len(chosen) < need || len(left) == 0 {
		p.emit(Note{
			Text: "group dissolved", Group: g.Group, Epoch: g.Epoch, Model: g.Model,
			Detail: fmt.Sprintf("%s; %d of %d members left, %d spares in domain %s", why, len(left), m.Size, len(chosen), g.Domain),
		})
		p.writeRow(g, nil)
		return
	}
	next := g.Row
	next.Epoch = p.nextEpoch()
	next.Members = append(slices.Clone(left), chosen...)
	p.emit(Note{
		Text: "group repaired", Group: g.Group, Epoch: next.Epoch, Model: g.Model,
		Detail: fmt.Sprintf("%s; %d replaced", why, need),
	})
	p.writeRow(g, &next)
}

func (p *Planner) findModel(name string) (route.Model, bool) {
	for _, m := range p.service.Models {
		if m.Name == name {
			return m, true
		}
	}
	return route.Model{}, false
}
