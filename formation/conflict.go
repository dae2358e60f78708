package formation

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Rows that name one server in two groups can only be those of a program without barriers, or
// of a restored store. The row with the highest version wins, and the others are deleted. Their
// heads are closed first, because a member may not join another group before that; until the
// row is deleted, the winner's group gives no orders to the servers that it names.

// findConflicts marks the groups whose rows name a server of a row with a higher version that
// is not marked itself.
func (p *Planner) findConflicts() {
	p.conflictsDue = false
	list := p.sortedGroups()
	slices.SortStableFunc(list, func(a, b *group) int { return cmp.Compare(b.version, a.version) })
	winners := make(map[ident.InstanceID]*group)
	for _, g := range list {
		p.lastEpoch = max(p.lastEpoch, g.Epoch)
		i := slices.IndexFunc(g.Members, func(m Member) bool { return winners[m.ID] != nil })
		if g.superseded = i >= 0; g.superseded {
			for _, m := range g.Members {
				if w := winners[m.ID]; w != nil {
					w.epochSeen = max(w.epochSeen, g.Epoch)
				}
			}
			id := g.Members[i].ID
			p.emit(LogEntry{
				Text: "two groups name one server", Group: g.Group, Epoch: g.Epoch, Model: g.Model,
				Detail: fmt.Sprintf("%s is in the later row of %s: this one is deleted", id, winners[id].Group),
			})
			continue
		}
		for _, m := range g.Members {
			winners[m.ID] = g
		}
	}
}

// dissolveSuperseded closes the head of a group whose row lost a conflict, and then deletes the
// row.
func (p *Planner) dissolveSuperseded(now time.Duration, g *group) {
	head := g.Members[0]
	s, ok := p.servers.Get(head.ID)
	if ok && s.Incarnation == head.Incarnation && s.Group == g.Group && !p.isDead(head.ID, head.Incarnation) {
		switch s.State {
		case fleet.Open:
			if g.closeSentAt == 0 || now-g.closeSentAt >= p.cfg.ResendAfter {
				g.closeSentAt = now
				p.sendOrder(s, Order{Kind: Close, Group: s.Group, Epoch: s.Epoch})
			}
			return
		case fleet.Closing:
			return
		}
	}
	if p.mayWrite(now) && !p.epochIsNeeded(g) {
		p.writeRow(g, nil)
	}
}

// epochIsNeeded reports whether a group whose members may have seen the epoch of a superseded
// one is not yet written under a higher epoch. Another holder would not know of the need once
// the superseded row is deleted.
func (p *Planner) epochIsNeeded(superseded *group) bool {
	for _, g := range p.groups {
		if !g.superseded && g.Epoch <= g.epochSeen && sharesMember(g, superseded) && p.isMemberWaiting(g) {
			return true
		}
	}
	return false
}

func sharesMember(a, b *group) bool {
	return slices.ContainsFunc(a.Members, func(m Member) bool {
		return slices.ContainsFunc(b.Members, func(n Member) bool { return m.ID == n.ID })
	})
}

func (p *Planner) isMemberWaiting(g *group) bool {
	return slices.ContainsFunc(g.Members, func(m Member) bool {
		c, _ := p.condition(g, m)
		return c == memberWaiting
	})
}

// renewEpoch writes a group's row under a new epoch if its members may have seen a higher one in
// another group. They would refuse to join. It reports whether the group has to wait for that.
func (p *Planner) renewEpoch(now time.Duration, g *group) bool {
	if g.Epoch > g.epochSeen {
		return false
	}
	if p.mayWrite(now) {
		next := g.Row
		next.Epoch = p.nextEpoch()
		p.writeRow(g, &next)
	}
	return true
}

// isContested reports whether a group whose row lost a conflict still names a server.
func (p *Planner) isContested(id ident.InstanceID) bool {
	for _, g := range p.groups {
		if g.superseded && slices.ContainsFunc(g.Members, func(m Member) bool { return m.ID == id }) {
			return true
		}
	}
	return false
}
