package formation

import (
	"maps"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// failedProbe records that an incarnation of a server did not answer its last probes.
type failedProbe struct {
	incarnation ident.Incarnation
	failedAt    time.Duration
	count       int
	// silentSince is when the first of them was sent, if the last one got no reply at all.
	silentSince time.Duration
	silent      bool
}

// handleProbed records the result of a probe.
func (p *Planner) handleProbed(now time.Duration, e Probed) {
	id := e.Member.ID
	if e.Alive {
		p.probeAnsweredAt[id] = now
		delete(p.failedProbes, id)
		if mark, ok := p.dead[id]; ok && mark.incarnation == e.Member.Incarnation {
			delete(p.dead, id)
		}
		return
	}
	failed, ok := p.failedProbes[id]
	if !ok || failed.incarnation != e.Member.Incarnation {
		failed = failedProbe{incarnation: e.Member.Incarnation, silentSince: now}
		if sentAt, ok := p.probeSentAt[id]; ok {
			failed.silentSince = sentAt
		}
	}
	failed.failedAt, failed.silent = now, e.Silent
	failed.count++
	p.failedProbes[id] = failed
}

// markDeadServers decides which of the servers that did not answer a probe are dead. If
// fewer than half of a group answer, the cause may be this entry instance, which may be
// slow or cut off from the network. In that case a server counts as dead only after a
// second probe has failed. One that is only silent counts as dead after MaxSilence if
// requests would end with its group.
func (p *Planner) markDeadServers(now time.Duration) {
	for _, id := range slices.Sorted(maps.Keys(p.failedProbes)) {
		failed, g := p.failedProbes[id], p.groupOf(id)
		sound := g != nil && p.mayBeSound(now, failed, g)
		switch {
		case !sound && (g == nil || failed.count > 1 || 2*p.answeredInRound(failed, g) >= len(g.Members)):
			if _, ok := p.dead[id]; !ok {
				p.emit(LogEntry{Text: "backend server gives no sign of life", Detail: string(id)})
			}
			p.dead[id] = deadMark{incarnation: failed.incarnation, until: now + p.cfg.DeadTTL}
			delete(p.failedProbes, id)
		case now-failed.failedAt >= failedProbeTTL:
			delete(p.failedProbes, id)
		default:
			g.probeRequested = true
		}
	}
}

// mayBeSound reports whether a server that did not answer a probe may only be silent for a
// while, and its group may run requests that would end if it counted as dead.
func (p *Planner) mayBeSound(now time.Duration, failed failedProbe, g *group) bool {
	return failed.silent && failed.failedAt-failed.silentSince < p.cfg.MaxSilence && p.holdsRequests(now, g)
}

// holdsRequests reports whether a group may run requests that no other group can take over.
// They end when the group is re-formed.
func (p *Planner) holdsRequests(now time.Duration, g *group) bool {
	if p.unrepeatableTime == 0 && now >= p.unrepeatableUntil {
		return false
	}
	switch c, _ := p.condition(g, g.Members[0]); c {
	case memberOpen, memberClosing, memberDraining, memberUnlisted:
		return true
	default:
		return false
	}
}

// isSilent reports whether a server did not reply to its last probe and does not count as
// dead yet.
func (p *Planner) isSilent(id ident.InstanceID) bool {
	failed, ok := p.failedProbes[id]
	return ok && failed.silent
}

// failedProbeTTL is how long a failed probe is remembered, so that it counts together
// with the next one.
const failedProbeTTL = 2 * time.Second

// groupOf returns the group that a server is a member of, or nil.
func (p *Planner) groupOf(id ident.InstanceID) *group {
	for _, g := range p.groups {
		if slices.ContainsFunc(g.Members, func(m Member) bool { return m.ID == id }) {
			return g
		}
	}
	return nil
}

// answeredInRound counts the members of a group that answered in the same round of
// probes in which the given one failed.
func (p *Planner) answeredInRound(failed failedProbe, g *group) int {
	n := 0
	for _, m := range g.Members {
		if at, ok := p.probeAnsweredAt[m.ID]; ok && (at-failed.failedAt).Abs() < p.cfg.ProbeInterval/2 {
			n++
		}
	}
	return n
}

// isDead reports whether an incarnation of a server is marked as dead.
func (p *Planner) isDead(id ident.InstanceID, inc ident.Incarnation) bool {
	mark, ok := p.dead[id]
	return ok && mark.incarnation == inc
}
