package formation

import (
	"fmt"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// memberCondition is the state of a group's member according to the list of servers and
// the probes.
type memberCondition int

const (
	// memberWaiting has not yet joined under the row's epoch.
	memberWaiting memberCondition = iota
	memberJoining
	memberReady
	memberOpen
	memberClosing
	// memberBroken is a head that has lost a member of its group.
	memberBroken
	memberDraining
	// memberUnlisted is not in the list of servers.
	memberUnlisted
	// memberGone has restarted or is marked as dead.
	memberGone
)

// condition returns a member's condition and its entry in the list, if it has one.
func (p *Planner) condition(g *group, m Member) (memberCondition, *fleet.Server) {
	s, ok := p.servers.Get(m.ID)
	switch {
	case p.isDead(m.ID, m.Incarnation):
		return memberGone, s
	case !ok:
		return memberUnlisted, nil
	case s.Incarnation != m.Incarnation:
		return memberGone, s
	case p.leavesGroup(s, g.Model):
		return memberDraining, s
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

// reconcileGroup emits the next action that brings a group to serve with all its
// members.
func (p *Planner) reconcileGroup(now time.Duration, g *group) {
	switch {
	case g.writing:
		return
	case g.superseded:
		p.dissolveSuperseded(now, g)
		return
	}
	head, _ := p.condition(g, g.Members[0])
	serving := head == memberOpen
	var lost, unlisted, draining []Member
	joining := 0
	for _, m := range g.Members {
		switch c, s := p.condition(g, m); c {
		case memberGone:
			lost = append(lost, m)
		case memberUnlisted:
			unlisted = append(unlisted, m)
		case memberDraining:
			draining = append(draining, m)
		case memberWaiting:
			joining++
			p.orderJoin(now, g, s)
		case memberJoining:
			joining++
		}
	}
	if g.probeRequested || head == memberBroken {
		p.probeMembers(now, g)
	}
	switch {
	case g.writing:
	case len(lost) > 0:
		p.repair(now, g, "member lost")
	case len(unlisted) > 0:
		p.reconcileUnlisted(now, g, serving, unlisted)
	case len(draining) > 0:
		p.reconcileDraining(now, g, head)
	case joining > 0:
	case head == memberBroken:
		p.reformBroken(now, g)
	case head == memberReady:
		p.orderOpen(now, g)
	case serving && g.headFailingSince != 0 && p.isSilent(g.Members[0].ID):
		g.headFailingSince = 0 // It may be sound; the next report tells.
	case serving && g.headFailingSince != 0:
		if now-g.headFailingSince >= p.cfg.HeadProbeWait && p.mayWrite(now) {
			p.replaceHead(g)
		}
	case serving:
		if !g.servingLogged {
			g.servingLogged = true
			p.emit(LogEntry{Text: "group serves", Group: g.Group, Epoch: g.Epoch, Model: g.Model, Detail: (now - g.rowWrittenAt).String()})
		}
	}
	if len(lost)+len(unlisted) == 0 {
		g.incompleteSince = 0
	}
}

// orderJoin orders a server to join its group, and repeats the order until the list of
// servers shows the effect.
func (p *Planner) orderJoin(now time.Duration, g *group, s *fleet.Server) {
	if at, ok := g.joinSentAt[s.ID]; ok && now-at < p.cfg.ResendAfter {
		return
	}
	if g.writing || p.renewEpoch(now, g) || p.isContested(s.ID) {
		return
	}
	if s.Group != g.Group && s.State != fleet.NoGroup {
		// The server is still a member of another group and has to leave that first.
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

// orderOpen orders the head to accept requests. The caller has seen each member ready
// under the row's epoch, and each epoch has only one member list.
func (p *Planner) orderOpen(now time.Duration, g *group) {
	if g.openSentAt != 0 && now-g.openSentAt < p.cfg.ResendAfter {
		return
	}
	g.openSentAt = now
	if s, ok := p.servers.Get(g.Members[0].ID); ok {
		p.sendOrder(s, Order{Kind: Open, Group: g.Group, Epoch: g.Epoch})
	}
}

// probeMembers probes all members of a group.
func (p *Planner) probeMembers(now time.Duration, g *group) {
	g.probeRequested = false
	for _, m := range g.Members {
		p.probeMember(now, m)
	}
}

// probeMember probes a member unless it was probed within ProbeInterval.
func (p *Planner) probeMember(now time.Duration, m Member) {
	if _, ok := p.probeSentAt[m.ID]; ok {
		return
	}
	if s, ok := p.servers.Get(m.ID); ok && s.Incarnation == m.Incarnation {
		p.probeSentAt[m.ID] = now
		p.emit(Probe{Member: m, Address: s.Address})
	}
}

// reconcileUnlisted handles members that are not in the list of servers. Such a member
// may only be cut off from the store, so the group keeps serving for a time. A head that
// is not listed gets no new requests and is replaced sooner.
func (p *Planner) reconcileUnlisted(now time.Duration, g *group, serving bool, unlisted []Member) {
	if g.incompleteSince == 0 {
		g.incompleteSince = now
	}
	timeout := p.cfg.UnlistedMemberTimeout
	if slices.Contains(unlisted, g.Members[0]) {
		timeout = p.cfg.UnlistedHeadTimeout
		if p.holdsRequests(now, g) {
			timeout = p.cfg.LapsedEntryTimeout
		}
	} else if !serving {
		timeout = 0
	}
	if now-g.incompleteSince >= timeout {
		p.repair(now, g, "member's entry was removed")
	}
}

// reconcileDraining replaces draining members after the head has finished its requests.
// Without replacements the group keeps serving for DrainTimeout and is then dissolved.
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
		p.repair(now, g, "member is draining")
	}
}

// reformBroken starts a broken group again under a new epoch, after a time in which its
// members can answer probes.
func (p *Planner) reformBroken(now time.Duration, g *group) {
	if g.incompleteSince == 0 {
		g.incompleteSince = now
		return
	}
	if now-g.incompleteSince >= p.cfg.ProbeInterval {
		p.repair(now, g, "group broken")
	}
}

// replaceHead makes the second member the head and the former head the last member. The
// former head can stay in the group, because it fails only requests and only the head
// receives any.
func (p *Planner) replaceHead(g *group) {
	g.headFailingSince = 0
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
	p.writeRow(g, &next)
}

// remainingMembers returns the members that a repaired group keeps.
func (p *Planner) remainingMembers(g *group) []Member {
	var out []Member
	for _, m := range g.Members {
		switch c, _ := p.condition(g, m); c {
		case memberGone, memberUnlisted, memberDraining:
		default:
			out = append(out, m)
		}
	}
	return out
}

// canRepair reports whether there are enough free servers with loaded weights to replace
// the missing members.
func (p *Planner) canRepair(g *group) bool {
	missing := len(g.Members) - len(p.remainingMembers(g))
	return len(p.replacements(g, missing)) == missing
}

// repair writes a row in which free servers replace the missing members. If there are
// too few, the group is dissolved. Its members then become spares for the domain's other
// groups, or form a new group once enough servers are loaded.
func (p *Planner) repair(now time.Duration, g *group, reason string) {
	m, ok := p.findModel(g.Model)
	if !ok || !p.mayWrite(now) {
		return
	}
	remaining := p.remainingMembers(g)
	missing := m.Size - len(remaining)
	spares := p.replacements(g, missing)
	if len(spares) < missing || len(remaining) == 0 {
		p.emit(LogEntry{
			Text: "group dissolved", Group: g.Group, Epoch: g.Epoch, Model: g.Model,
			Detail: fmt.Sprintf("%s; %d of %d members left, %d spares in domain %s", reason, len(remaining), m.Size, len(spares), g.Domain),
		})
		p.writeRow(g, nil)
		return
	}
	next := g.Row
	next.Epoch = p.nextEpoch()
	next.Members = append(slices.Clone(remaining), spares...)
	p.emit(LogEntry{
		Text: "group repaired", Group: g.Group, Epoch: next.Epoch, Model: g.Model,
		Detail: fmt.Sprintf("%s; %d replaced", reason, missing),
	})
	p.writeRow(g, &next)
}

// findModel returns the description of a model of the service.
func (p *Planner) findModel(name string) (route.Model, bool) {
	for _, m := range p.service.Models {
		if m.Name == name {
			return m, true
		}
	}
	return route.Model{}, false
}
