package group

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// slowState is the straggler detection of one instance.
type slowState struct {
	slow  bool
	since time.Duration
}

func (p *Planner) preloaded(i *instance) bool {
	return slices.Contains(i.report.Status.Preloaded, p.doc.Model.Name+"@"+p.doc.Model.Version)
}

// spareInterval is the time between two looks at the spares.
const spareInterval = time.Second

// standbyGroups is the number of whole groups whose weights are preloaded.
func (p *Planner) standbyGroups() int {
	if !p.cfg.Policy.Spares || p.doc.Kind != service.KindModel {
		return 0
	}
	return p.doc.Replicas.StandbyGroups
}

// preload keeps spares in the domains that groups use, and standby groups. A
// bounded number of preloads runs at a time, so that loads of groups get their
// share of the weight store.
func (p *Planner) preload(now time.Duration) {
	if !p.cfg.Policy.Spares || p.doc.Kind != service.KindModel || now < p.nextSpare ||
		p.doc.Replicas.SparesPerDomain+p.doc.Replicas.StandbyGroups == 0 {
		return
	}
	p.nextSpare = now + spareInterval
	need := p.wantedPreloads(now)
	running := 0
	var idle []*instance
	for _, i := range p.order {
		if i.preloadFrom > 0 && (p.preloaded(i) || now-i.preloadFrom >= p.cfg.PreloadTimeout || i.assigned != nil) {
			i.preloadFrom = 0
		}
		if i.assigned != nil {
			continue
		}
		loading := i.preloadFrom > 0
		if loading {
			running++
		}
		if need[i.info.Domain] == 0 || !p.free(now, i) {
			continue
		}
		if loading || p.preloaded(i) {
			need[i.info.Domain]--
		} else {
			idle = append(idle, i)
		}
	}
	for _, i := range idle {
		if running < p.cfg.MaxPreloads && need[i.info.Domain] > 0 && p.mayCommand(now, i) {
			need[i.info.Domain]--
			running++
			p.sendPreload(now, i)
		}
	}
}

// wantedPreloads is the number of preloaded idle instances wanted by domain.
func (p *Planner) wantedPreloads(now time.Duration) map[ident.Domain]int {
	need := make(map[ident.Domain]int)
	for _, g := range p.sorted {
		if g.row.State == StateActive && g.drainedSince == 0 {
			need[g.row.Domain] = p.doc.Replicas.SparesPerDomain
		}
	}
	if p.standbyGroups() == 0 {
		return need
	}
	// A standby group is placed as a new group would be. It counts as a group
	// afterwards, so that several of them spread.
	domains := p.rankDomains(now)
	for range p.standbyGroups() {
		d := p.bestDomain(domains)
		if d == nil {
			break
		}
		need[d.domain] += p.size()
		d.free -= p.size()
		d.loaded = max(0, d.loaded-p.size())
		d.groups++
		for _, o := range domains {
			if o.dataCentre == d.dataCentre {
				o.inDataCentre++
			}
		}
	}
	return need
}

// stragglerInterval is the time between two looks at the members' speed.
const stragglerInterval = time.Second

// updateStragglers compares each member's token time with the median. An
// instance has to be slow for a while before it counts, and much faster again
// before it no longer does.
func (p *Planner) updateStragglers(now time.Duration) {
	if now < p.nextSpeed {
		return
	}
	p.nextSpeed = now + stragglerInterval
	times := p.times[:0]
	for _, i := range p.order {
		if i.assigned != nil && i.report.Status.State == engine.StateReady && i.report.Status.TokenMicros > 0 {
			times = append(times, i.report.Status.TokenMicros)
		}
	}
	p.times = times
	if len(times) == 0 {
		return
	}
	slices.Sort(times)
	median := float64(times[len(times)/2])
	for _, i := range p.order {
		i.slow.update(now, float64(i.report.Status.TokenMicros)/median, &p.cfg)
	}
}

func (s *slowState) update(now time.Duration, ratio float64, cfg *Config) {
	switch {
	case ratio >= cfg.SlowRatio:
		if s.since == 0 {
			s.since = now
		}
		s.slow = s.slow || now-s.since >= cfg.SlowTime
	case ratio <= cfg.FastRatio:
		s.slow, s.since = false, 0
	case !s.slow:
		s.since = 0
	}
}

func (p *Planner) hasStraggler(g *group) bool {
	return slices.ContainsFunc(g.members, func(i *instance) bool { return i.slow.slow })
}
