package control

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/view"
)

const (
	// learnedFresh is how long after a sync was sent its reply stands in for own
	// polls. One missed sync starts own polls, which confirm before the learned
	// confirmations expire.
	learnedFresh = 700 * time.Millisecond
	// foreignPollInterval is the time between a holder's polls of an instance
	// that serves another service, which notice when it becomes free.
	foreignPollInterval = time.Second
)

// groupsLearned carries the groups that a credit owner confirmed.
type groupsLearned struct {
	service ident.ServiceName
	sent    time.Duration
	groups  []*view.Group
}

func (e groupsLearned) apply(l *Loop, _ time.Duration) {
	if have := l.learned[e.service]; have.sent > e.sent {
		return
	}
	l.learned[e.service] = e
	l.traceLearned(e)
}

// fresh reports whether the owner of a service answered lately.
func (e groupsLearned) fresh(now time.Duration) bool {
	return e.sent > 0 && now-e.sent < learnedFresh
}

// holds reports whether this entry instance holds the lease of a service.
func (l *Loop) holds(name ident.ServiceName, now time.Duration) bool {
	c, ok := l.groups.services[name]
	if !ok {
		return false
	}
	_, held := c.lease.Held(now)
	return held
}

// serviceGroups returns the groups of a service: as polled here, and as the
// owner confirmed them where that is newer.
func (l *Loop) serviceGroups(doc service.Document, now time.Duration) []*view.Group {
	own := l.confirmedGroups(doc, now)
	learned := l.learned[doc.Service]
	if l.holds(doc.Service, now) || len(learned.groups) == 0 {
		return own
	}
	polled := make(map[ident.GroupID]*view.Group, len(own))
	for _, g := range own {
		polled[g.ID] = g
	}
	for _, g := range learned.groups {
		have, ok := polled[g.ID]
		switch {
		case now-g.Confirmed >= view.ConfirmTTL:
		case !ok:
			own = append(own, l.withDrains(g))
		case g.Confirmed > have.Confirmed || g.Draining:
			*have = *l.withDrains(g)
		}
	}
	// A fixed order lets a replay of the routing see the groups as they were.
	slices.SortFunc(own, func(a, b *view.Group) int { return cmp.Compare(a.ID, b.ID) })
	return own
}

// withDrains applies the drains in force here, which may be newer than what the
// owner knew.
func (l *Loop) withDrains(g *view.Group) *view.Group {
	outOfService := l.outOfService()
	if g.Draining || len(outOfService) == 0 {
		return g
	}
	for _, m := range g.Members {
		if outOfService[m] {
			out := *g
			out.Draining = true
			return &out
		}
	}
	return g
}

// pollScope decides which members this entry instance polls itself.
type pollScope struct {
	held  bool
	stale bool
	mine  map[ident.ServiceName]bool
}

// pollScope returns the scope at an instant: a lease holder polls the members of
// its services and the free instances; others, an owner without the lease among
// them, poll while they learn nothing.
func (l *Loop) pollScope(now time.Duration) pollScope {
	s := pollScope{mine: make(map[ident.ServiceName]bool)}
	for _, doc := range l.serviceDocuments() {
		if doc.Kind != service.KindModel {
			continue
		}
		switch {
		case l.holds(doc.Service, now):
			s.held = true
			s.mine[doc.Service] = true
		case !l.learned[doc.Service].fresh(now):
			s.stale = true
			s.mine[doc.Service] = true
		}
	}
	return s
}

// due reports whether an instance is polled now.
func (s pollScope) due(l *Loop, inst infra.Instance, now time.Duration) bool {
	m, ok := l.statuses[inst.ID]
	switch {
	case !s.held && !s.stale:
		return false
	case !ok || s.mine[m.status.Service]:
		return true
	case m.status.Service == "" && s.held:
		return true
	}
	return now-m.sent >= foreignPollInterval
}
