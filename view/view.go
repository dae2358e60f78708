// Package view holds the immutable snapshot that the control goroutine
// publishes and traffic goroutines read without locks. Nothing in a published
// snapshot changes.
package view

import (
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// ConfirmTTL is how long after a poll was sent its confirmation of a group
// counts. A member cannot be reassigned within this time.
const ConfirmTTL = 1500 * time.Millisecond

// Snapshot is everything that traffic goroutines need to know. Times in it are
// instants on the local monotonic clock.
type Snapshot struct {
	// Revision is the highest configuration revision in force here.
	Revision ident.Revision
	// Ready is false until the configuration reached its floor revision.
	Ready    bool
	Services []*Service
	Entries  []Entry

	byName map[ident.ServiceName]*Service
}

// New indexes a snapshot.
func New(s Snapshot) *Snapshot {
	s.byName = make(map[ident.ServiceName]*Service, len(s.Services))
	for _, svc := range s.Services {
		s.byName[svc.Document.Service] = svc
	}
	return &s
}

// Service returns a service by name, or nil.
func (s *Snapshot) Service(name ident.ServiceName) *Service {
	return s.byName[name]
}

// Service is a service with the backend servers that can take its requests.
type Service struct {
	Document service.Document
	// Groups serve a model service.
	Groups []*Group
	// Backends serve a plain service.
	Backends []*Backend
	// LeaseHolder holds the service's lease as this entry instance last saw it.
	LeaseHolder ident.InstanceID
}

// Group is a complete group of engine members. A group is usable until
// Confirmed + ConfirmTTL while Draining is false.
type Group struct {
	ID         ident.GroupID
	Epoch      ident.Epoch
	Role       engine.Role
	Region     ident.Region
	DataCentre ident.DataCentre
	Domain     ident.Domain
	Partner    ident.Partner
	Leader     Backend
	Members    []ident.InstanceID
	// Incarnation joins the incarnations of all members: it changes when any
	// of them restarts.
	Incarnation string
	// Confirmed is when the oldest poll that confirmed a member was sent.
	Confirmed time.Duration
	// Draining groups get no new work.
	Draining bool
	Cold     bool
	// Limit is the number of concurrent requests that the group bears now, over
	// all entry instances.
	Limit         int
	TokenCapacity int
	// Status is the leader's lagging load report.
	Status engine.Status
}

// Usable reports whether new work may go to the group at an instant.
func (g *Group) Usable(now time.Duration) bool {
	return !g.Draining && now-g.Confirmed < ConfirmTTL
}

// Backend is one backend server.
type Backend struct {
	Instance    ident.InstanceID
	Address     string
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	Region      ident.Region
	Partner     ident.Partner
	// Draining backend servers get no new work.
	Draining bool
}

// Entry is an entry instance as this one knows it.
type Entry struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	Address     string
	PeerAddress string
	DataCentre  ident.DataCentre
	Region      ident.Region
	// Draining entries are left out of lookup answers.
	Draining bool
	// Alive is membership's opinion. It is a hint.
	Alive bool
}
