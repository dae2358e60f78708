package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// doubt is a server that did not answer its last probes.
type doubt struct {
	incarnation ident.Incarnation
	at          time.Duration
	probes      int
}

// probed takes the answer to a probe.
func (p *Planner) probed(now time.Duration, e Probed) {
	id := e.Member.ID
	if e.Alive {
		p.answered[id] = now
		delete(p.doubts, id)
		if d, ok := p.dead[id]; ok && d.incarnation == e.Member.Incarnation {
			delete(p.dead, id)
		}
		return
	}
	d := p.doubts[id]
	p.doubts[id] = doubt{incarnation: e.Member.Incarnation, at: now, probes: d.probes + 1}
}

// judge decides which of the members that did not answer a probe are dead. Where
// fewer than half of a group answer, this entry instance may be slow or cut off
// itself, and a second probe has to fail.
func (p *Planner) judge(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(p.doubts)) {
		d, g := p.doubts[id], p.groupOf(id)
		switch {
		case g == nil || d.probes > 1 || 2*p.answeredWith(d, g) >= len(g.Members):
			if _, ok := p.dead[id]; !ok {
				p.emit(LogEntry{Text: "backend server gives no sign of life", Detail: string(id)})
			}
			p.dead[id] = deadMark{incarnation: d.incarnation, until: now + p.cfg.DeadFor}
			delete(p.doubts, id)
		case now-d.at >= doubtFor:
			delete(p.doubts, id)
		default:
			g.suspect = true
		}
	}
}

// doubtFor is how long a failed probe counts beside the next one.
const doubtFor = 2 * time.Second

func (p *Planner) groupOf(id ident.InstanceID) *group {
	for _, g := range p.groups {
		if slices.ContainsFunc(g.Members, func(m Member) bool { return m.ID == id }) {
			return g
		}
	}
	return nil
}

// answeredWith counts the members of a group that answered in the round of probes
// in which another one did not.
func (p *Planner) answeredWith(d doubt, g *group) int {
	n := 0
	for _, m := range g.Members {
		if at, ok := p.answered[m.ID]; ok && (at-d.at).Abs() < p.cfg.ProbeEvery/2 {
			n++
		}
	}
	return n
}

// isDead reports whether this run of a server gave no sign of life lately.
func (p *Planner) isDead(id ident.InstanceID, inc ident.Incarnation) bool {
	d, ok := p.dead[id]
	return ok && d.incarnation == inc
}
