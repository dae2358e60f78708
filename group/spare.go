package group

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// stragglerState is the state of straggler detection for one instance.
type stragglerState struct {
	detected  bool
	slowSince time.Duration
}

// hasPreloaded reports whether an instance has preloaded the document's model.
func (p *Planner) hasPreloaded(i *instance) bool {
	return slices.Contains(i.lastReport.Status.Preloaded, p.doc.Model.Name+"@"+p.doc.Model.Version)
}

// spareCheckInterval is the time between two checks of the spares.
const spareCheckInterval = time.Second

// standbyGroups is the wanted number of standby groups. A standby group is a set of
// idle instances that is large enough for a group and has the model's weights
// preloaded.
func (p *Planner) standbyGroups() int {
	if !p.cfg.Policy.Spares || p.doc.Kind != service.KindModel {
		return 0
	}
	return p.doc.Replicas.StandbyGroups
}

// startPreloads starts the preloads that are needed for the spares in the domains
// of the groups and for the standby groups. The number of concurrent preloads is
// bounded, so that preloads leave enough of the weight store's bandwidth to groups
// that load weights.
func (p *Planner) startPreloads(now time.Duration) {
	if !p.cfg.Policy.Spares || p.doc.Kind != service.KindModel || now < p.nextSpareCheck ||
		p.doc.Replicas.SparesPerDomain+p.doc.Replicas.StandbyGroups == 0 {
		return
	}
	p.nextSpareCheck = now + spareCheckInterval
	needed := p.wantedPreloads(now)
	running := 0
	var candidates []*instance
	for _, i := range p.instanceList {
		if i.preloadStartedAt > 0 && (p.hasPreloaded(i) || now-i.preloadStartedAt >= p.cfg.PreloadTimeout || i.assignment != nil) {
			i.preloadStartedAt = 0
		}
		if i.assignment != nil {
			continue
		}
		loading := i.preloadStartedAt > 0
		if loading {
			running++
		}
		if needed[i.info.Domain] == 0 || !p.free(now, i) {
			continue
		}
		if loading || p.hasPreloaded(i) {
			needed[i.info.Domain]--
		} else {
			candidates = append(candidates, i)
		}
	}
	for _, i := range candidates {
		if running < p.cfg.MaxPreloads && needed[i.info.Domain] > 0 && p.maySendCommand(now, i) {
			needed[i.info.Domain]--
			running++
			p.sendPreload(now, i)
		}
	}
}

// wantedPreloads returns how many idle instances with preloaded weights are wanted
// in each domain.
func (p *Planner) wantedPreloads(now time.Duration) map[ident.Domain]int {
	wanted := make(map[ident.Domain]int)
	for _, g := range p.sortedGroups {
		if g.row.State == StateActive && g.drainedSince == 0 {
			wanted[g.row.Domain] = p.doc.Replicas.SparesPerDomain
		}
	}
	if p.standbyGroups() == 0 {
		return wanted
	}
	// A standby group is placed like a new group. From then on it counts as a group,
	// so that several standby groups are spread.
	domains := p.candidateDomains(now)
	for range p.standbyGroups() {
		d := p.bestDomain(domains)
		if d == nil {
			break
		}
		wanted[d.domain] += p.groupSize()
		d.free -= p.groupSize()
		d.preloaded = max(0, d.preloaded-p.groupSize())
		d.groups++
		for _, o := range domains {
			if o.dataCentre == d.dataCentre {
				o.groupsInDataCentre++
			}
		}
	}
	return wanted
}

// stragglerCheckInterval is the time between two checks for stragglers.
const stragglerCheckInterval = time.Second

// updateStragglers compares the time per token of each instance with the median of
// the ready members. An instance has to be slow for StragglerTime to become a
// straggler. It stops being one when its ratio to the median falls to RecoveredRatio.
// An instance that reports no time per token has ratio 0.
func (p *Planner) updateStragglers(now time.Duration) {
	if now < p.nextStragglerCheck {
		return
	}
	p.nextStragglerCheck = now + stragglerCheckInterval
	times := p.tokenTimes[:0]
	for _, i := range p.instanceList {
		if i.assignment != nil && i.lastReport.Status.State == engine.StateReady && i.lastReport.Status.TokenMicros > 0 {
			times = append(times, i.lastReport.Status.TokenMicros)
		}
	}
	p.tokenTimes = times
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	median := float64(times[len(times)/2])
	for _, i := range p.instanceList {
		i.straggler.update(now, float64(i.lastReport.Status.TokenMicros)/median, &p.cfg)
	}
}

// update applies a time per token, as its ratio to the median.
func (s *stragglerState) update(now time.Duration, ratio float64, cfg *Config) {
	switch {
	case ratio >= cfg.StragglerRatio:
		if s.slowSince == 0 {
			s.slowSince = now
		}
		s.detected = s.detected || now-s.slowSince >= cfg.StragglerTime
	case ratio <= cfg.RecoveredRatio:
		s.detected, s.slowSince = false, 0
	case !s.detected:
		s.slowSince = 0
	}
}

// hasStraggler reports whether a member of a group is a straggler.
func (p *Planner) hasStraggler(g *group) bool {
	return slices.ContainsFunc(g.members, func(i *instance) bool { return i.straggler.detected })
}
