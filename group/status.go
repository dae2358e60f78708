package group

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/view"
)

// Status is a group as operators see it.
type Status struct {
	Row   Row
	Ready bool
	// Reason tells why a group that is not ready is not.
	Reason string
}

// Groups returns the groups in the table, sorted by id. It is empty without
// the lease.
func (p *Planner) Groups(now time.Duration) []Status {
	out := make([]Status, 0, len(p.sorted))
	for _, g := range p.sorted {
		s := Status{Row: g.row, Ready: p.ready(now, g)}
		switch {
		case s.Ready:
		case g.row.State == StateStopping:
			s.Reason = "stopping"
		case p.lossOf(now, g).any():
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
	seen := make([]PolledInstance, 0, len(p.order))
	for _, i := range p.order {
		seen = append(seen, PolledInstance{Info: i.info, Report: i.report})
	}
	return Confirmed(&p.doc, seen, now)
}

// CapacityWithout returns how many ready groups remain if a partner withdraws.
func (p *Planner) CapacityWithout(now time.Duration, partner ident.Partner) int {
	n := 0
	for _, g := range p.sorted {
		uses := slices.ContainsFunc(g.members, func(i *instance) bool { return i.info.Partner == partner })
		if !uses && p.ready(now, g) {
			n++
		}
	}
	return n
}
