// Package fleet keeps the list of backend servers that the platform publishes. Each
// entry describes a server's state, its group and the models on its host. A List is used
// by one goroutine and makes immutable Snapshots for others.
package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// MemberState is the state of a backend server in its group.
type MemberState int

// States of a member.
const (
	// NoGroup is a server that is in no group.
	NoGroup MemberState = iota
	// Joining is a member that loads weights or waits for them.
	Joining
	// Ready is a member that has joined. A group whose members are all ready can be
	// opened at its head.
	Ready
	// Open is a head that accepts requests.
	Open
	// Closing is a head that finishes its running requests and accepts no others.
	Closing
	// Broken is a head that has lost a member of its group and refuses requests.
	Broken
)

// String returns the name of the state in logs.
func (s MemberState) String() string {
	return [...]string{"none", "joining", "ready", "open", "closing", "broken"}[s]
}

// Membership is the group membership that a backend server reports in its entry.
type Membership struct {
	Group ident.GroupID
	Epoch ident.Epoch
	// Rank is the position in the group's member list; 0 is the head.
	Rank  int
	State MemberState
}

// Server is the entry of a backend server.
type Server struct {
	ID          ident.InstanceID
	Incarnation ident.Incarnation
	Service     ident.ServiceName
	Address     string
	DataCentre  ident.DataCentre
	Domain      ident.Domain
	// Slots is the number of requests that the server, or the group that it heads, can
	// run concurrently.
	Slots int
	// Draining is set while the server accepts no new requests because it will stop.
	Draining bool
	// ColdUntil is the local time until which the server can handle only a limited rate
	// of requests after its start.
	ColdUntil time.Duration
	// Model is the model whose weights the server has loaded. Staged are the models
	// whose weights are in the memory of its host.
	Model  string
	Staged []string
	Membership
	// Version is the version of the entry's row. It grows with each change.
	Version uint64
}

// Cold reports whether the server is still cold, that is, now is before ColdUntil.
func (s *Server) Cold(now time.Duration) bool { return now < s.ColdUntil }

// HasStaged reports whether a model's weights are in the memory of the host.
func (s *Server) HasStaged(model string) bool { return slices.Contains(s.Staged, model) }

// List is the current list of backend servers. Its methods are called by one goroutine.
type List struct {
	// servers are sorted by id.
	servers []*Server
}

// NewList returns an empty list.
func NewList() *List { return &List{} }

// find returns the position of a server in a list sorted by id, and whether it is there.
func find(servers []*Server, id ident.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(servers, id, func(s *Server, id ident.InstanceID) int { return cmp.Compare(s.ID, id) })
}

// Put adds or replaces the entry of a server. It returns false and changes nothing if the
// entry is not newer than the known one.
func (l *List) Put(s Server) bool {
	i, ok := find(l.servers, s.ID)
	switch {
	case !ok:
		l.servers = slices.Insert(l.servers, i, &s)
	case s.Version <= l.servers[i].Version:
		return false
	default:
		l.servers[i] = &s
	}
	return true
}

// Remove removes the entry of a server. It returns false and changes nothing if the
// list has no entry of the server, or a version of it later than the given one.
func (l *List) Remove(id ident.InstanceID, version uint64) bool {
	i, ok := find(l.servers, id)
	if !ok || version < l.servers[i].Version {
		return false
	}
	l.servers = slices.Delete(l.servers, i, i+1)
	return true
}

// Snapshot returns a copy of the list, sorted by id.
func (l *List) Snapshot() *Snapshot {
	return &Snapshot{Servers: slices.Clone(l.servers)}
}

// Snapshot is an immutable copy of a List.
type Snapshot struct {
	// Servers are sorted by id.
	Servers []*Server
}

// Get returns the entry of a server.
func (s *Snapshot) Get(id ident.InstanceID) (*Server, bool) {
	i, ok := find(s.Servers, id)
	if !ok {
		return nil, false
	}
	return s.Servers[i], true
}
