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
	// ownerConfirmationTTL is how long after a sync was sent its reply replaces polls
	// by this entry instance. One missed sync starts these polls, early enough that
	// they confirm groups before the owner's confirmations expire.
	ownerConfirmationTTL = 700 * time.Millisecond
	// otherServicePollInterval is the time between a lease holder's polls of an
	// instance that serves another service. They detect when it becomes free.
	otherServicePollInterval = time.Second
)

// ownerGroupsReceived carries the groups that a credit owner confirmed, with the time
// at which the sync was sent.
type ownerGroupsReceived struct {
	service ident.ServiceName
	sentAt  time.Duration
	groups  []*view.Group
}

func (e ownerGroupsReceived) apply(l *Loop, _ time.Duration) {
	if previous := l.ownerGroups[e.service]; previous.sentAt > e.sentAt {
		return
	}
	l.ownerGroups[e.service] = e
	l.traceOwnerGroups(e)
}

// recent reports whether the owner of a service answered within ownerConfirmationTTL.
func (e ownerGroupsReceived) recent(now time.Duration) bool {
	return e.sentAt > 0 && now-e.sentAt < ownerConfirmationTTL
}

// holdsLease reports whether this entry instance holds the lease of a service.
func (l *Loop) holdsLease(name ident.ServiceName, now time.Duration) bool {
	c, ok := l.groups.services[name]
	if !ok {
		return false
	}
	_, held := c.lease.Held(now)
	return held
}

// serviceGroups returns the groups of a service: those confirmed by this entry
// instance's polls, and those confirmed by the owner where that is newer.
func (l *Loop) serviceGroups(doc service.Document, now time.Duration) []*view.Group {
	own := l.confirmedGroups(doc, now)
	fromOwner := l.ownerGroups[doc.Service]
	if l.holdsLease(doc.Service, now) || len(fromOwner.groups) == 0 {
		return own
	}
	polled := make(map[ident.GroupID]*view.Group, len(own))
	for _, g := range own {
		polled[g.ID] = g
	}
	for _, g := range fromOwner.groups {
		polledGroup, ok := polled[g.ID]
		switch {
		case now-g.Confirmed >= view.ConfirmTTL:
		case !ok:
			own = append(own, l.withDrains(g))
		case g.Confirmed > polledGroup.Confirmed || g.Draining:
			*polledGroup = *l.withDrains(g)
		}
	}
	// A replay of the routing needs the groups in the same order.
	slices.SortFunc(own, func(a, b *view.Group) int { return cmp.Compare(a.ID, b.ID) })
	return own
}

// withDrains applies the drains in force here, which may be newer than the owner's.
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
	// holdsAnyLease is set if this entry instance holds the lease of a model service.
	holdsAnyLease bool
	// anyOwnerSilent is set if the owner of another model service did not answer
	// within ownerConfirmationTTL.
	anyOwnerSilent bool
	// services are the services in these two cases.
	services map[ident.ServiceName]bool
}

// pollScope returns the current scope. A lease holder polls the members of its
// services and the free instances. Others, also an owner without the lease, poll
// while they get no confirmations from an owner.
func (l *Loop) pollScope(now time.Duration) pollScope {
	s := pollScope{services: make(map[ident.ServiceName]bool)}
	for _, doc := range l.serviceDocuments() {
		if doc.Kind != service.KindModel {
			continue
		}
		switch {
		case l.holdsLease(doc.Service, now):
			s.holdsAnyLease = true
			s.services[doc.Service] = true
		case !l.ownerGroups[doc.Service].recent(now):
			s.anyOwnerSilent = true
			s.services[doc.Service] = true
		}
	}
	return s
}

// due reports whether an instance has to be polled now.
func (s pollScope) due(l *Loop, inst infra.Instance, now time.Duration) bool {
	m, ok := l.statuses[inst.ID]
	switch {
	case !s.holdsAnyLease && !s.anyOwnerSilent:
		return false
	case !ok || s.services[m.status.Service]:
		return true
	case m.status.Service == "" && s.holdsAnyLease:
		return true
	}
	return now-m.sentAt >= otherServicePollInterval
}
