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

// Confirmations are spread by the credit owner of a service, which as a rule
// holds its lease: it polls the members, and each other entry instance gets the
// confirmed groups with the replies to its syncs. An entry instance polls
// members itself only while the owner does not answer.

// groupFacts is the part of a group that changes with its epoch or a restart.
// It is sent once.
type groupFacts struct {
	Group         ident.GroupID      `msgpack:"g"`
	Version       uint64             `msgpack:"v"`
	Epoch         ident.Epoch        `msgpack:"e"`
	Role          engine.Role        `msgpack:"r,omitempty"`
	Leader        ident.InstanceID   `msgpack:"l"`
	Address       string             `msgpack:"a"`
	Incarnation   ident.Incarnation  `msgpack:"i"`
	Joined        string             `msgpack:"j"`
	Region        ident.Region       `msgpack:"rg,omitempty"`
	DataCentre    ident.DataCentre   `msgpack:"dc,omitempty"`
	Domain        ident.Domain       `msgpack:"d,omitempty"`
	Partner       ident.Partner      `msgpack:"p,omitempty"`
	Members       []ident.InstanceID `msgpack:"m"`
	Limit         int                `msgpack:"n"`
	ColdLimit     int                `msgpack:"c"`
	TokenCapacity int                `msgpack:"t"`
}

// groupLoad is the part of a group that changes with its load. It is sent when
// it changed, or with a confirmation older than explicitAge.
type groupLoad struct {
	Group   ident.GroupID `msgpack:"g"`
	Version uint64        `msgpack:"v"`
	// Age is the time since the oldest poll that confirms a member was sent.
	Age         time.Duration `msgpack:"a"`
	Draining    bool          `msgpack:"d,omitempty"`
	Cold        bool          `msgpack:"c,omitempty"`
	Limit       int           `msgpack:"n"`
	Running     int           `msgpack:"r,omitempty"`
	Queued      int           `msgpack:"q,omitempty"`
	HeldTokens  int           `msgpack:"h,omitempty"`
	TokenMicros int           `msgpack:"t,omitempty"`
}

// Confirmations is what an owner knows about the groups of its service. Groups
// that a reply leaves out are confirmed as its peer knows them.
type Confirmations struct {
	// Epoch is the owner's; versions of facts compare within one epoch.
	Epoch   ident.Epoch  `msgpack:"o"`
	Version uint64       `msgpack:"v"`
	Facts   []groupFacts `msgpack:"f,omitempty"`
	Loads   []groupLoad  `msgpack:"l,omitempty"`
	// Whole replies hold all groups. So do those of an owner of an earlier release,
	// which does not set Delta.
	Whole bool `msgpack:"w,omitempty"`
	Delta bool `msgpack:"d,omitempty"`
	// Base is the version that the peer had. It left out what did not change since.
	Base uint64 `msgpack:"b,omitempty"`
	// Age is the age of the oldest confirmation that is left out.
	Age time.Duration `msgpack:"a,omitempty"`
}

// Known tells an owner which facts its peer has.
type Known struct {
	Epoch   ident.Epoch `msgpack:"o"`
	Version uint64      `msgpack:"v"`
	// Delta tells that the peer takes replies that leave groups out.
	Delta bool `msgpack:"d,omitempty"`
}

// explicitAge is the age from which a confirmation is sent with an age of its
// own. All that a reply leaves out are counted as old as the oldest of them, and
// at most so old: then they still outlive one lost exchange.
const explicitAge = 400 * time.Millisecond

// factTable numbers the changes of facts and loads at an owner.
type factTable struct {
	version uint64
	facts   map[ident.GroupID]groupFacts
	loads   map[ident.GroupID]groupLoad
	// left is the version at which a group left last.
	left   uint64
	groups []*view.Group
}

// update takes the groups of a service over and numbers what changed.
func (t *factTable) update(groups []*view.Group) {
	if t.facts == nil {
		t.facts, t.loads = make(map[ident.GroupID]groupFacts), make(map[ident.GroupID]groupLoad)
	}
	t.groups = groups
	for _, g := range groups {
		f, have := factsOf(g), t.facts[g.ID]
		f.Version = have.Version
		if !f.equal(&have) {
			t.version++
			f.Version = t.version
			t.facts[g.ID] = f
		}
		load := loadOf(g)
		load.Version = t.loads[g.ID].Version
		if load != t.loads[g.ID] || load.Version == 0 {
			t.version++
			load.Version = t.version
			t.loads[g.ID] = load
		}
	}
	if len(t.facts) > len(groups) {
		t.dropGone()
	}
}

func (t *factTable) dropGone() {
	here := make(map[ident.GroupID]bool, len(t.groups))
	for _, g := range t.groups {
		here[g.ID] = true
	}
	t.version++
	t.left = t.version
	for id := range t.facts {
		if !here[id] {
			delete(t.facts, id)
			delete(t.loads, id)
		}
	}
}

// current reports whether the table was made from these groups.
func (t *factTable) current(groups []*view.Group) bool {
	return slicecmp.Identical(groups, t.groups)
}

// since returns what a peer does not have. A group that it leaves out is
// confirmed too, at the age of the reply.
func (t *factTable) since(now time.Duration, epoch ident.Epoch, known Known, groups []*view.Group) Confirmations {
	if !t.current(groups) {
		t.update(groups)
	}
	out := Confirmations{Epoch: epoch, Version: t.version, Delta: true}
	out.Base = known.Version
	out.Whole = !known.Delta || known.Epoch != epoch || known.Version < t.left
	for _, g := range groups {
		if f := t.facts[g.ID]; out.Whole || f.Version > known.Version {
			out.Facts = append(out.Facts, f)
		}
		load, age := t.loads[g.ID], now-g.Confirmed
		if !out.Whole && load.Version <= known.Version && age <= explicitAge {
			out.Age = max(out.Age, age)
			continue
		}
		load.Age = age
		out.Loads = append(out.Loads, load)
	}
	return out
}

// equal compares all but the version.
func (f *groupFacts) equal(o *groupFacts) bool {
	return f.Group == o.Group && f.Epoch == o.Epoch && f.Role == o.Role && f.Leader == o.Leader && f.Address == o.Address &&
		f.Incarnation == o.Incarnation && f.Joined == o.Joined && f.Region == o.Region && f.DataCentre == o.DataCentre &&
		f.Domain == o.Domain && f.Partner == o.Partner && slices.Equal(f.Members, o.Members) &&
		f.Limit == o.Limit && f.ColdLimit == o.ColdLimit && f.TokenCapacity == o.TokenCapacity
}

func factsOf(g *view.Group) groupFacts {
	return groupFacts{
		Group: g.ID, Epoch: g.Epoch, Role: g.Role,
		Leader: g.Leader.Instance, Address: g.Leader.Address, Incarnation: g.Leader.Incarnation, Joined: g.Incarnation,
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

// group joins facts and load. sent is when the sync was sent: the confirmation
// is at least as old as the owner says, counted from then.
func (f *groupFacts) group(l groupLoad, sent time.Duration) *view.Group {
	return &view.Group{
		ID: f.Group, Epoch: f.Epoch, Role: f.Role, Region: f.Region, DataCentre: f.DataCentre, Domain: f.Domain, Partner: f.Partner,
		Leader: view.Backend{
			Instance: f.Leader, Address: f.Address, Incarnation: f.Incarnation,
			Region: f.Region, DataCentre: f.DataCentre, Partner: f.Partner,
		},
		Members: f.Members, Incarnation: f.Joined, Confirmed: sent - l.Age, Draining: l.Draining, Cold: l.Cold,
		Limit: l.Limit, TokenCapacity: f.TokenCapacity,
		Status: engine.Status{
			Limit: f.Limit, ColdLimit: f.ColdLimit, TokenCapacity: f.TokenCapacity, Incarnation: f.Incarnation,
			Running: l.Running, Queued: l.Queued, HeldTokens: l.HeldTokens, TokenMicros: l.TokenMicros,
		},
	}
}

// learner keeps the facts that owners sent, per service.
type learner struct {
	mu       sync.Mutex
	services map[ident.ServiceName]*learnedFacts
}

type learnedFacts struct {
	known Known
	facts map[ident.GroupID]groupFacts
	loads map[ident.GroupID]groupLoad
}

func newLearner() *learner {
	return &learner{services: make(map[ident.ServiceName]*learnedFacts)}
}

// known returns what the next sync tells the owner.
func (l *learner) known(name ident.ServiceName) Known {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s, ok := l.services[name]; ok {
		return s.known
	}
	return Known{Delta: true}
}

// forget makes the next reply a whole one.
func (l *learner) forget(name ident.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.services, name)
}

// learn takes a reply over and returns the groups that it confirms. Facts that
// a concurrent sync will still bring are left out. A reply that a later one
// overtook confirms only what it holds itself: what it leaves out is unchanged
// since an earlier state than the one known here.
func (l *learner) learn(name ident.ServiceName, c Confirmations, sent time.Duration) []*view.Group {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[name]
	whole := c.Whole || !c.Delta
	if !ok || c.Epoch > s.known.Epoch {
		if !whole {
			return nil
		}
		s = &learnedFacts{facts: make(map[ident.GroupID]groupFacts), loads: make(map[ident.GroupID]groupLoad)}
		l.services[name] = s
	}
	if c.Epoch < s.known.Epoch || (!whole && c.Base > s.known.Version) {
		return nil
	}
	late := c.Version < s.known.Version
	if whole && !late {
		clear(s.loads)
	}
	for _, f := range c.Facts {
		if have, ok := s.facts[f.Group]; !ok || f.Version > have.Version {
			s.facts[f.Group] = f
		}
	}
	out := make([]*view.Group, 0, max(len(c.Loads), len(s.loads)))
	for _, load := range c.Loads {
		if f, ok := s.facts[load.Group]; ok && f.Version <= c.Version {
			out = append(out, f.group(load, sent))
		}
	}
	if late {
		return out
	}
	s.known = Known{Epoch: c.Epoch, Version: c.Version, Delta: true}
	for _, load := range c.Loads {
		delete(s.loads, load.Group)
	}
	for id, load := range s.loads {
		if f, ok := s.facts[id]; ok {
			load.Age = c.Age
			out = append(out, f.group(load, sent))
		}
	}
	for _, load := range c.Loads {
		s.loads[load.Group] = load
	}
	s.dropGone()
	slices.SortFunc(out, func(a, b *view.Group) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// dropGone forgets the facts of groups that the owner left out of a whole reply.
func (s *learnedFacts) dropGone() {
	if len(s.facts) <= len(s.loads) {
		return
	}
	for id := range s.facts {
		if _, ok := s.loads[id]; !ok {
			delete(s.facts, id)
		}
	}
}
