// Package fleet keeps the list of backend servers as the platform tells it: one
// entry for each server, with its state, its group and the models on its host.
// A List has one owner; the Snapshot that it makes is immutable.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// MemberState is a backend server's part in its group.
type MemberState int

// States of a member.
const (
	NoGroup MemberState = iota
	// Joining members load weights or wait for them.
	Joining
	// Ready members have joined; the head may be opened.
	Ready
	// Open heads serve.
	Open
	// Closing heads finish what they run.
	Closing
	// Broken heads have lost a member and refuse.
	Broken
)

// String names the state in logs.
func (s MemberState) String() string {
	return [...]string{"none", "joining", "ready", "open", "closing", "broken"}[s]
}

// Membership is a backend server's own word on its group.
type Membership struct {
	Group ident.GroupID
	Epoch ident.Epoch
	// Rank is the place in the member list; 0 is the head.
	Rank  int
	State MemberState
}

// Server is one backend server.
type Server struct {
	ID          ident.InstanceID
	Incarnation ident.Incarnation
	Service     ident.ServiceName
	Address     string
	DataCentre  ident.DataCentre
	Domain      ident.Domain
	Slots       int
	// Draining servers take no new requests.
	Draining bool
	// ColdUntil is the local time until which the server bears a little load
	// only.
	ColdUntil time.Duration
	// Model is the one whose weights the server holds, Staged those in the
	// memory of its host.
	Model  string
	Staged []string
	Membership
	// Version is the version of the row; it grows with each change.
	Version uint64
}

// Cold reports whether the server is cold.
func (s *Server) Cold(now time.Duration) bool { return now < s.ColdUntil }

// HasStaged reports whether a model is in the memory of the host.
func (s *Server) HasStaged(model string) bool { return slices.Contains(s.Staged, model) }

// List is the current list. Its methods are called by one goroutine.
type List struct {
	servers map[ident.InstanceID]*Server
}

// NewList returns an empty list.
func NewList() *List { return &List{servers: make(map[ident.InstanceID]*Server)} }

// Put takes a new state of a server. It reports false for one that is older
// than the known state.
func (l *List) Put(s Server) bool {
	if old, ok := l.servers[s.ID]; ok && s.Version <= old.Version {
		return false
	}
	l.servers[s.ID] = &s
	return true
}

// Remove takes a server off the list unless a later entry stands there.
func (l *List) Remove(id ident.InstanceID, version uint64) bool {
	old, ok := l.servers[id]
	if !ok || version < old.Version {
		return false
	}
	delete(l.servers, id)
	return true
}

// Snapshot returns the list in the order of ids.
func (l *List) Snapshot() *Snapshot {
	s := &Snapshot{byID: make(map[ident.InstanceID]*Server, len(l.servers))}
	for id, server := range l.servers {
		s.byID[id] = server
		s.Servers = append(s.Servers, server)
	}
	slices.SortFunc(s.Servers, func(a, b *Server) int { return cmp.Compare(a.ID, b.ID) })
	return s
}

// Snapshot is an immutable copy of the list.
type Snapshot struct {
	Servers []*Server
	byID    map[ident.InstanceID]*Server
}

// Get returns a server.
func (s *Snapshot) Get(id ident.InstanceID) (*Server, bool) {
	server, ok := s.byID[id]
	return server, ok
}
