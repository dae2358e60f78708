package control

import (
	"reflect"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
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

// groupLoad is the part of a group that is sent with each reply.
type groupLoad struct {
	Group ident.GroupID `msgpack:"g"`
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

// Confirmations is what an owner knows about the groups of its service.
type Confirmations struct {
	// Epoch is the owner's; versions of facts compare within one epoch.
	Epoch   ident.Epoch  `msgpack:"o"`
	Version uint64       `msgpack:"v"`
	Facts   []groupFacts `msgpack:"f,omitempty"`
	Loads   []groupLoad  `msgpack:"l,omitempty"`
}

// Known tells an owner which facts its peer has.
type Known struct {
	Epoch   ident.Epoch `msgpack:"o"`
	Version uint64      `msgpack:"v"`
}

// factTable numbers the changes of facts at an owner.
type factTable struct {
	version uint64
	facts   map[ident.GroupID]groupFacts
}

// update takes the groups of a service over and numbers what changed.
func (t *factTable) update(groups []*view.Group) {
	if t.facts == nil {
		t.facts = make(map[ident.GroupID]groupFacts)
	}
	here := make(map[ident.GroupID]bool, len(groups))
	for _, g := range groups {
		here[g.ID] = true
		f := factsOf(g)
		f.Version = t.facts[g.ID].Version
		if !reflect.DeepEqual(f, t.facts[g.ID]) {
			t.version++
			f.Version = t.version
			t.facts[g.ID] = f
		}
	}
	for id := range t.facts {
		if !here[id] {
			delete(t.facts, id)
		}
	}
}

// since returns what a peer does not have, and the loads of all groups.
func (t *factTable) since(now time.Duration, epoch ident.Epoch, known Known, groups []*view.Group) Confirmations {
	out := Confirmations{Epoch: epoch, Version: t.version}
	for _, g := range groups {
		f, ok := t.facts[g.ID]
		if !ok {
			continue
		}
		if known.Epoch != epoch || f.Version > known.Version {
			out.Facts = append(out.Facts, f)
		}
		out.Loads = append(out.Loads, loadOf(now, g))
	}
	return out
}

func factsOf(g *view.Group) groupFacts {
	return groupFacts{
		Group: g.ID, Epoch: g.Epoch, Role: g.Role,
		Leader: g.Leader.Instance, Address: g.Leader.Address, Incarnation: g.Leader.Incarnation, Joined: g.Incarnation,
		Region: g.Region, DataCentre: g.DataCentre, Domain: g.Domain, Partner: g.Partner, Members: g.Members,
		Limit: g.Status.Limit, ColdLimit: g.Status.ColdLimit, TokenCapacity: g.TokenCapacity,
	}
}

func loadOf(now time.Duration, g *view.Group) groupLoad {
	return groupLoad{
		Group: g.ID, Age: now - g.Confirmed, Draining: g.Draining, Cold: g.Cold, Limit: g.Limit,
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
	return Known{}
}

// learn takes a reply over and returns the groups that it confirms. Facts that
// a concurrent sync will still bring are left out.
func (l *learner) learn(name ident.ServiceName, c Confirmations, sent time.Duration) []*view.Group {
	l.mu.Lock()
	defer l.mu.Unlock()
	s, ok := l.services[name]
	if !ok || c.Epoch > s.known.Epoch {
		s = &learnedFacts{facts: make(map[ident.GroupID]groupFacts)}
		l.services[name] = s
	}
	if c.Epoch < s.known.Epoch {
		return nil
	}
	for _, f := range c.Facts {
		if have, ok := s.facts[f.Group]; !ok || f.Version > have.Version {
			s.facts[f.Group] = f
		}
	}
	s.known = Known{Epoch: c.Epoch, Version: max(s.known.Version, c.Version)}
	var out []*view.Group
	for _, load := range c.Loads {
		if f, ok := s.facts[load.Group]; ok && f.Version <= c.Version {
			out = append(out, f.group(load, sent))
		}
	}
	return out
}
