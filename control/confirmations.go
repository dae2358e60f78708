package control

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/slicecmp"
	"github.com/bulrushfall/bulrushfall/view"
)

// The credit owner of a service, normally the holder of its lease, polls the group
// members and distributes the confirmed groups: each other entry instance gets them
// with the replies to its syncs. An entry instance polls members itself only while
// the owner does not answer.

// groupAttributes is the part of a group that changes only with its epoch or a
// restart of a member. It is sent once after each change.
type groupAttributes struct {
	Group ident.GroupID `msgpack:"g"`
	// Version is the version of the owner's table in which the attributes changed.
	Version            uint64             `msgpack:"v"`
	Epoch              ident.Epoch        `msgpack:"e"`
	Role               engine.Role        `msgpack:"r,omitempty"`
	Leader             ident.InstanceID   `msgpack:"l"`
	Address            string             `msgpack:"a"`
	Incarnation        ident.Incarnation  `msgpack:"i"`
	MembersIncarnation string             `msgpack:"j"`
	Region             ident.Region       `msgpack:"rg,omitempty"`
	DataCentre         ident.DataCentre   `msgpack:"dc,omitempty"`
	Domain             ident.Domain       `msgpack:"d,omitempty"`
	Partner            ident.Partner      `msgpack:"p,omitempty"`
	Members            []ident.InstanceID `msgpack:"m"`
	Limit              int                `msgpack:"n"`
	ColdLimit          int                `msgpack:"c"`
	TokenCapacity      int                `msgpack:"t"`
}

// groupLoad is the part of a group that changes with its load. It is sent after each
// change, or when the confirmation of the group is older than maxImplicitAge.
type groupLoad struct {
	Group   ident.GroupID `msgpack:"g"`
	Version uint64        `msgpack:"v"`
	// Age is the time since the oldest of the polls that confirm the members was
	// sent.
	Age         time.Duration `msgpack:"a"`
	Draining    bool          `msgpack:"d,omitempty"`
	Cold        bool          `msgpack:"c,omitempty"`
	Limit       int           `msgpack:"n"`
	Running     int           `msgpack:"r,omitempty"`
	Queued      int           `msgpack:"q,omitempty"`
	HeldTokens  int           `msgpack:"h,omitempty"`
	TokenMicros int           `msgpack:"t,omitempty"`
}

// Confirmations are the confirmed groups of a service, as its owner sends them.
// A group that a reply omits is confirmed too, with the state that the receiver has.
type Confirmations struct {
	// Epoch is the owner's. Versions are comparable only within one epoch.
	Epoch      ident.Epoch       `msgpack:"o"`
	Version    uint64            `msgpack:"v"`
	Attributes []groupAttributes `msgpack:"f,omitempty"`
	Loads      []groupLoad       `msgpack:"l,omitempty"`
	// Complete replies contain all groups. Owners of an earlier release always send
	// complete replies and do not set SupportsDelta.
	Complete      bool `msgpack:"w,omitempty"`
	SupportsDelta bool `msgpack:"d,omitempty"`
	// Base is the version that the receiver has. What did not change after it is
	// omitted.
	Base uint64 `msgpack:"b,omitempty"`
	// Age is the age of the oldest confirmation that is omitted.
	Age time.Duration `msgpack:"a,omitempty"`
}

// ReceivedVersion is the version of the confirmations that the sender of a sync has
// received from the owner.
type ReceivedVersion struct {
	Epoch   ident.Epoch `msgpack:"o"`
	Version uint64      `msgpack:"v"`
	// AcceptsDelta is set by releases that accept replies with omitted groups.
	AcceptsDelta bool `msgpack:"d,omitempty"`
}

// maxImplicitAge is the highest age of a confirmation that a reply may omit. An
// older one is sent with its own age. All omitted confirmations count as old as the
// oldest of them. This limit keeps them valid over one lost exchange.
const maxImplicitAge = 400 * time.Millisecond

// groupVersions assigns version numbers to the changes of group attributes and
// loads at an owner.
type groupVersions struct {
	version    uint64
	attributes map[ident.GroupID]groupAttributes
	loads      map[ident.GroupID]groupLoad
	// lastRemoval is the version of the last removal of a group.
	lastRemoval uint64
	// source is the list of groups of the last update.
	source []*view.Group
}

// update applies the current groups of a service and assigns versions to the
// changes.
func (t *groupVersions) update(groups []*view.Group) {
	if t.attributes == nil {
		t.attributes, t.loads = make(map[ident.GroupID]groupAttributes), make(map[ident.GroupID]groupLoad)
	}
	t.source = groups
	for _, g := range groups {
		attrs, previous := attributesOf(g), t.attributes[g.ID]
		attrs.Version = previous.Version
		if !attrs.equal(&previous) {
			t.version++
			attrs.Version = t.version
			t.attributes[g.ID] = attrs
		}
		load := loadOf(g)
		load.Version = t.loads[g.ID].Version
		if load != t.loads[g.ID] || load.Version == 0 {
			t.version++
			load.Version = t.version
			t.loads[g.ID] = load
		}
	}
	if len(t.attributes) > len(groups) {
		t.deleteRemoved()
	}
}

// deleteRemoved deletes the groups that are not in source.
func (t *groupVersions) deleteRemoved() {
	present := make(map[ident.GroupID]bool, len(t.source))
	for _, g := range t.source {
		present[g.ID] = true
	}
	t.version++
	t.lastRemoval = t.version
	for id := range t.attributes {
		if !present[id] {
			delete(t.attributes, id)
			delete(t.loads, id)
		}
	}
}

// builtFrom reports whether the last update was made from these groups.
func (t *groupVersions) builtFrom(groups []*view.Group) bool {
	return slicecmp.Identical(groups, t.source)
}

// confirmationsFor returns a reply with what the peer has not received. A group
// that it omits is confirmed too, with the age of the reply.
func (t *groupVersions) confirmationsFor(now time.Duration, epoch ident.Epoch, received ReceivedVersion, groups []*view.Group) Confirmations {
	if !t.builtFrom(groups) {
		t.update(groups)
	}
	out := Confirmations{Epoch: epoch, Version: t.version, SupportsDelta: true}
	out.Base = received.Version
	out.Complete = !received.AcceptsDelta || received.Epoch != epoch || received.Version < t.lastRemoval
	for _, g := range groups {
		if attrs := t.attributes[g.ID]; out.Complete || attrs.Version > received.Version {
			out.Attributes = append(out.Attributes, attrs)
		}
		load, age := t.loads[g.ID], now-g.Confirmed
		if !out.Complete && load.Version <= received.Version && age <= maxImplicitAge {
			out.Age = max(out.Age, age)
			continue
		}
		load.Age = age
		out.Loads = append(out.Loads, load)
	}
	return out
}

// equal compares all fields but the version.
func (attrs *groupAttributes) equal(other *groupAttributes) bool {
	return attrs.Group == other.Group && attrs.Epoch == other.Epoch && attrs.Role == other.Role && attrs.Leader == other.Leader && attrs.Address == other.Address &&
		attrs.Incarnation == other.Incarnation && attrs.MembersIncarnation == other.MembersIncarnation && attrs.Region == other.Region && attrs.DataCentre == other.DataCentre &&
		attrs.Domain == other.Domain && attrs.Partner == other.Partner && slices.Equal(attrs.Members, other.Members) &&
		attrs.Limit == other.Limit && attrs.ColdLimit == other.ColdLimit && attrs.TokenCapacity == other.TokenCapacity
}

func attributesOf(g *view.Group) groupAttributes {
	return groupAttributes{
		Group: g.ID, Epoch: g.Epoch, Role: g.Role,
		Leader: g.Leader.Instance, Address: g.Leader.Address, Incarnation: g.Leader.Incarnation, MembersIncarnation: g.Incarnation,
		Region: g.Region, DataCentre: g.DataCentre, Domain: g.Domain, Partner: g.Partner, Members: g.Members,
		Limit: g.Status.Limit, ColdLimit: g.Status.ColdLimit, TokenCapacity: g.TokenCapacity,
	}
}

func loadOf(g *view.Group) groupLoad {
	return groupLoad{
		Group: g.ID, Draining: g.Draining, Cold: g.Cold, Limit: g.Limit,
		Running: g.Status.Running, Queued: g.Status.Queued, HeldTokens: g.Status.HeldTokens, TokenMicros: g.Status.TokenMicros,
	}
}

// toGroup combines attributes and load. The age of the confirmation counts back
// from when the sync was sent, which makes it at least as old as it is at the owner.
func (attrs *groupAttributes) toGroup(load groupLoad, sentAt time.Duration) *view.Group {
	return &view.Group{
		ID: attrs.Group, Epoch: attrs.Epoch, Role: attrs.Role, Region: attrs.Region, DataCentre: attrs.DataCentre, Domain: attrs.Domain, Partner: attrs.Partner,
		Leader: view.Backend{
			Instance: attrs.Leader, Address: attrs.Address, Incarnation: attrs.Incarnation,
			Region: attrs.Region, DataCentre: attrs.DataCentre, Partner: attrs.Partner,
		},
		Members: attrs.Members, Incarnation: attrs.MembersIncarnation, Confirmed: sentAt - load.Age, Draining: load.Draining, Cold: load.Cold,
		Limit: load.Limit, TokenCapacity: attrs.TokenCapacity,
		Status: engine.Status{
			Limit: attrs.Limit, ColdLimit: attrs.ColdLimit, TokenCapacity: attrs.TokenCapacity, Incarnation: attrs.Incarnation,
			Running: load.Running, Queued: load.Queued, HeldTokens: load.HeldTokens, TokenMicros: load.TokenMicros,
		},
	}
}

// confirmationCache keeps the groups that owners sent, by service.
type confirmationCache struct {
	mu       sync.Mutex
	services map[ident.ServiceName]*cachedGroups
}

// cachedGroups are the groups of one service. attributes can hold groups that
// loads lacks, if replies were received out of order.
type cachedGroups struct {
	received   ReceivedVersion
	attributes map[ident.GroupID]groupAttributes
	loads      map[ident.GroupID]groupLoad
}

func newConfirmationCache() *confirmationCache {
	return &confirmationCache{services: make(map[ident.ServiceName]*cachedGroups)}
}

// receivedVersion returns the version to send with the next sync.
func (cache *confirmationCache) receivedVersion(name ident.ServiceName) ReceivedVersion {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if s, ok := cache.services[name]; ok {
		return s.received
	}
	return ReceivedVersion{AcceptsDelta: true}
}

// reset discards the groups of a service, so that the next reply is complete.
func (cache *confirmationCache) reset(name ident.ServiceName) {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	delete(cache.services, name)
}

// applyReply applies a reply and returns the groups that it confirms. Groups whose
// attributes come only with the reply to a concurrent sync are left out. A reply
// that arrives after a later one confirms only the groups that it contains: what it
// omits is unchanged relative to an earlier state than the one in the cache.
func (cache *confirmationCache) applyReply(name ident.ServiceName, c Confirmations, sentAt time.Duration) []*view.Group {
	cache.mu.Lock()
	defer cache.mu.Unlock()
	s, ok := cache.services[name]
	complete := c.Complete || !c.SupportsDelta
	if !ok || c.Epoch > s.received.Epoch {
		if !complete {
			return nil
		}
		s = &cachedGroups{attributes: make(map[ident.GroupID]groupAttributes), loads: make(map[ident.GroupID]groupLoad)}
		cache.services[name] = s
	}
	if c.Epoch < s.received.Epoch || (!complete && c.Base > s.received.Version) {
		return nil
	}
	overtaken := c.Version < s.received.Version
	if complete && !overtaken {
		clear(s.loads)
	}
	for _, attrs := range c.Attributes {
		if previous, ok := s.attributes[attrs.Group]; !ok || attrs.Version > previous.Version {
			s.attributes[attrs.Group] = attrs
		}
	}
	out := make([]*view.Group, 0, max(len(c.Loads), len(s.loads)))
	for _, load := range c.Loads {
		if attrs, ok := s.attributes[load.Group]; ok && attrs.Version <= c.Version {
			out = append(out, attrs.toGroup(load, sentAt))
		}
	}
	if overtaken {
		return out
	}
	s.received = ReceivedVersion{Epoch: c.Epoch, Version: c.Version, AcceptsDelta: true}
	for _, load := range c.Loads {
		delete(s.loads, load.Group)
	}
	for id, load := range s.loads {
		if attrs, ok := s.attributes[id]; ok {
			load.Age = c.Age
			out = append(out, attrs.toGroup(load, sentAt))
		}
	}
	for _, load := range c.Loads {
		s.loads[load.Group] = load
	}
	s.deleteRemoved()
	slices.SortFunc(out, func(a, b *view.Group) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// deleteRemoved deletes the attributes of groups without a load, which a complete
// reply did not contain.
func (s *cachedGroups) deleteRemoved() {
	if len(s.attributes) <= len(s.loads) {
		return
	}
	for id := range s.attributes {
		if _, ok := s.loads[id]; !ok {
			delete(s.attributes, id)
		}
	}
}
