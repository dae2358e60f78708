// Package view defines the snapshot of the configuration and the backend servers
// that the control goroutine publishes and the goroutines that handle requests
// read without locks. A published snapshot is immutable.
package view

import (
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// ConfirmTTL is how long a poll confirms a group, from the time when the poll was
// sent. A member is not assigned to another group within this time.
const ConfirmTTL = 1500 * time.Millisecond

// Snapshot holds all control state that the handling of requests needs. Its times
// are on the local monotonic clock.
type Snapshot struct {
	// Revision is the highest configuration revision in force on this entry
	// instance.
	Revision ident.Revision
	// Ready is false until the configuration has reached the highest revision known
	// at startup and the instance list was read.
	Ready    bool
	Services []*Service
	Entries  []Entry

	byName map[ident.ServiceName]*Service
}

// New returns a copy of a snapshot with an index of its services by name.
func New(s Snapshot) *Snapshot {
	s.byName = make(map[ident.ServiceName]*Service, len(s.Services))
	for _, svc := range s.Services {
		s.byName[svc.Document.Service] = svc
	}
	return &s
}

// Service returns a service by name, or nil if there is none.
func (s *Snapshot) Service(name ident.ServiceName) *Service {
	return s.byName[name]
}

// Service is a service with the backend servers that can take its requests.
type Service struct {
	Document service.Document
	// Groups are the groups of a model service.
	Groups []*Group
	// Backends are the backend servers of a plain service.
	Backends []*Backend
	// LeaseHolder is the last known holder of the service's lease.
	LeaseHolder ident.InstanceID
}

// Group is a complete group of engine members. It is usable until Confirmed +
// ConfirmTTL while Draining is false.
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
	// Incarnation combines the incarnations of all members, so it changes when any
	// of them restarts.
	Incarnation string
	// Confirmed is when the oldest poll that confirmed a member was sent.
	Confirmed time.Duration
	// Draining groups get no new work.
	Draining bool
	// Cold is true while any member is cold. Limit is the cold limit then.
	Cold bool
	// Limit is the number of concurrent requests that the group can process now,
	// summed over all entry instances.
	Limit         int
	TokenCapacity int
	// Status is the leader's last load report, which may be out of date.
	Status engine.Status
}

// Usable reports whether new work may be sent to the group.
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

// Entry is an entry instance, as known to this one.
type Entry struct {
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	Address     string
	PeerAddress string
	DataCentre  ident.DataCentre
	Region      ident.Region
	// Draining entry instances are left out of lookup answers.
	Draining bool
	// Alive is the result of failure detection by the membership protocol. It may
	// be wrong.
	Alive bool
}
