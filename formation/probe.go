package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// doubt is a server that did not answer its last probes.
type failedProbe struct {
	incarnation ident.Incarnation
	failedAt          time.Duration
	count      int
}

// probed takes the answer to a probe.
func (p *Planner) handleProbed(now time.Duration, e Probed) {
	id := e.Member.ID
	if e.Alive {
		p.probeAnsweredAt[id] = now
		delete(p.failedProbes, id)
		if d, ok := p.dead[id]; ok && d.incarnation == e.Member.Incarnation {
			delete(p.dead, id)
		}
		return
	}
	d := p.failedProbes[id]
	p.failedProbes[id] = failedProbe{incarnation: e.Member.Incarnation, failedAt: now, count: d.count + 1}
}

// judge decides which of the members that did not answer a probe are dead. Where
// fewer than half of a group answer, this entry instance may be slow or cut off
// itself, and a second probe has to fail.
func (p *Planner) markDeadServers(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(p.failedProbes)) {
		d, g := p.failedProbes[id], p.groupOf(id)
		switch {
		case g == nil || d.count > 1 || 2*p.answeredInRound(d, g) >= len(g.Members):
			if _, ok := p.dead[id]; !ok {
				p.emit(Note{Text: "backend server gives no sign of life", Detail: string(id)})
			}
			p.dead[id] = deadMark{incarnation: d.incarnation, until: now + p.cfg.DeadTTL}
			delete(p.failedProbes, id)
		case now-d.failedAt >= failedProbeTTL:
			delete(p.failedProbes, id)
		default:
			g.probeRequested = true
		}
	}
}

// failedProbeTTL is how long a failed probe counts beside the next one.
const failedProbeTTL = 2 * time.Second

func (p *Planner) groupOf(id ident.InstanceID) *group {
	for _, g := range p.groups {
		if slices.ContainsFunc(g.Members, func(m Member) bool { return m.ID == id }) {
			return g
		}
	}
	return nil
}

// answeredInRound counts the members of a group that answered in the round of probes
// in which another one did not.
func (p *Planner) answeredInRound(d failedProbe, g *group) int {
	n := 0
	for _, m := range g.Members {
		if at, ok := p.probeAnsweredAt[m.ID]; ok && (at-d.failedAt).Abs() < p.cfg.ProbeInterval/2 {
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
