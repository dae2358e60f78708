package group

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/view"
)

// Status is the state of a group for diagnostics.
type Status struct {
	Row   Row
	Ready bool
	// Reason says why a group is not ready.
	Reason string
}

// Groups returns the groups in the table, sorted by ID. It returns none without
// the lease.
func (p *Planner) Groups(now time.Duration) []Status {
	out := make([]Status, 0, len(p.sortedGroups))
	for _, g := range p.sortedGroups {
		s := Status{Row: g.row, Ready: p.groupReady(now, g)}
		switch {
		case s.Ready:
		case g.row.State == StateStopping:
			s.Reason = "stopping"
		case p.countLosses(now, g).anyLost():
			s.Reason = "member lost"
		default:
			s.Reason = "loading"
		}
		out = append(out, s)
	}
	return out
}

// IsStopping reports whether the planner has decided that a group stops.
func (p *Planner) IsStopping(id ident.GroupID) bool {
	g, ok := p.groups[id]
	return ok && g.row.State == StateStopping
}

// Confirmed returns the groups that may take requests.
func (p *Planner) Confirmed(now time.Duration) []*view.Group {
	polled := make([]PolledInstance, 0, len(p.instanceList))
	for _, i := range p.instanceList {
		polled = append(polled, PolledInstance{Info: i.info, Report: i.lastReport})
	}
	return Confirmed(&p.doc, polled, now)
}

// ReadyGroupsWithout returns how many ready groups have no instance of a partner,
// and so remain if the partner withdraws.
func (p *Planner) ReadyGroupsWithout(now time.Duration, partner ident.Partner) int {
	n := 0
	for _, g := range p.sortedGroups {
		usesPartner := slices.ContainsFunc(g.members, func(i *instance) bool { return i.info.Partner == partner })
		if !usesPartner && p.groupReady(now, g) {
			n++
		}
	}
	return n
}
