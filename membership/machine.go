package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// node is what this one thinks of another.
type node struct {
	id      ident.InstanceID
	address string
	number  uint32
	state   State
	// deadline is when a suspect counts as dead. It is pinged once before.
	deadline time.Duration
	asked    bool
	listed   bool
}

// probe is the one probe under way.
type probe struct {
	target   *node
	sequence uint32
	sent     time.Duration
	acked    bool
	indirect bool
}

// relay is a ping for another node, whose ack is passed on.
type relay struct {
	sequence  uint32
	to        string
	theirs    uint32
	target    ident.InstanceID
	forgotten time.Duration
}

// queued is an update with the number of times it is still sent.
type queued struct {
	update Update
	left   int
}

// Machine is the membership of one node.
type Machine struct {
	cfg  Config
	self Node
	rng  *rand.Rand

	number   uint32
	leaving  bool
	nodes    map[ident.InstanceID]*node
	order    []*node
	next     int
	suspects []*node
	probe    probe
	relays   []relay
	queue    []queued
	sequence uint32
	due      time.Duration
	gossip   time.Duration
	lastTick time.Duration
	out      []Action
	Counters Counters
}

// Counters counts since the start.
type Counters struct {
	Probes, Indirect, Suspected, Refuted, Died, PausesNoticed uint64
}

// New returns the membership of a node. Nodes start their probes at random
// instants, so that load does not come in bursts.
func New(cfg Config, self Node, rng *rand.Rand) *Machine {
	m := &Machine{cfg: cfg, self: self, rng: rng, nodes: make(map[ident.InstanceID]*node)}
	m.due = time.Duration(rng.Int64N(int64(cfg.Interval)))
	return m
}

// State returns the opinion on a node; unknown nodes are alive, because the
// platform may have listed them a moment ago.
func (m *Machine) State(id ident.InstanceID) State {
	if n, ok := m.nodes[id]; ok {
		return n.state
	}
	return StateAlive
}

// SelfSuspect reports whether most other nodes look dead, so that the fault is
// more likely here.
func (m *Machine) SelfSuspect() bool {
	bad := 0
	for _, n := range m.order {
		if n.state == StateSuspect || n.state == StateDead {
			bad++
		}
	}
	return len(m.order) >= 2 && 2*bad > len(m.order)
}

// Step handles one event.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.out = nil
	switch e := ev.(type) {
	case Tick:
		m.tick(now)
	case MessageReceived:
		m.received(now, e)
	case NodesListed:
		m.listed(e.Nodes)
	case Leave:
		m.leave()
	}
	return m.out
}

func (m *Machine) tick(now time.Duration) {
	if now-m.lastTick > m.cfg.Interval && m.lastTick > 0 {
		// This process was paused: the missing acks tell nothing, and suspects
		// get their time anew.
		m.Counters.PausesNoticed++
		m.probe = probe{}
		for _, n := range m.suspects {
			n.deadline, n.asked = now+m.cfg.Suspicion, false
		}
	}
	m.lastTick = now
	m.expireSuspects(now)
	m.relays = slices.DeleteFunc(m.relays, func(r relay) bool { return now >= r.forgotten })
	p := &m.probe
	if p.target != nil && !p.acked && !p.indirect && now-p.sent >= m.cfg.AckTimeout {
		p.indirect = true
		m.askOthers()
	}
	m.spread(now)
	if now < m.due || m.leaving {
		return
	}
	m.due = max(m.due+m.cfg.Interval, now+m.cfg.Interval/2)
	if p.target != nil && !p.acked {
		m.suspect(now, p.target)
	}
	m.probeNext(now)
}

// spread sends news to one random node.
func (m *Machine) spread(now time.Duration) {
	if len(m.queue) == 0 || len(m.order) == 0 || now < m.gossip {
		return
	}
	m.gossip = now + m.cfg.Gossip
	if n := m.order[m.rng.IntN(len(m.order))]; n.state <= StateSuspect {
		m.send(n, Message{Kind: KindGossip})
	}
}

// expireSuspects declares suspects dead. Gossip misses a node now and then, so
// each node first asks the suspect itself, which then repeats its refutation.
func (m *Machine) expireSuspects(now time.Duration) {
	for _, n := range m.suspects {
		if n.state == StateSuspect && !n.asked && n.deadline-now <= m.cfg.Suspicion/4 {
			n.asked = true
			m.sequence++
			m.send(n, Message{Kind: KindPing, Sequence: m.sequence, Target: n.id})
		}
	}
	m.suspects = slices.DeleteFunc(m.suspects, func(n *node) bool {
		if n.state == StateSuspect && now >= n.deadline {
			m.Counters.Died++
			m.set(n, n.number, StateDead)
		}
		return n.state != StateSuspect
	})
}

// probeNext pings the next node of a random order. Dead nodes are probed too,
// so that two sides of a healed partition find each other again.
func (m *Machine) probeNext(now time.Duration) {
	m.probe = probe{}
	for range m.order {
		if m.next >= len(m.order) {
			m.next = 0
			m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
		}
		n := m.order[m.next]
		m.next++
		if n.state == StateLeft || (n.state == StateDead && !n.listed) {
			continue
		}
		m.Counters.Probes++
		m.sequence++
		m.probe = probe{target: n, sequence: m.sequence, sent: now}
		m.send(n, Message{Kind: KindPing, Sequence: m.sequence, Target: n.id})
		return
	}
}

func (m *Machine) askOthers() {
	t := m.probe.target
	var helpers []*node
	for range 4 * m.cfg.Indirect {
		n := m.order[m.rng.IntN(len(m.order))]
		if n != t && n.state == StateAlive && !slices.Contains(helpers, n) && len(helpers) < m.cfg.Indirect {
			helpers = append(helpers, n)
		}
	}
	for _, n := range helpers {
		m.Counters.Indirect++
		m.send(n, Message{Kind: KindRequest, Sequence: m.probe.sequence, Target: t.id})
	}
}

func (m *Machine) received(now time.Duration, e MessageReceived) {
	for _, u := range e.Message.Updates {
		m.learn(now, u)
	}
	from := &node{id: e.Message.From, address: e.Address}
	if n, ok := m.nodes[e.Message.From]; ok {
		from = n
	}
	switch e.Message.Kind {
	case KindPing:
		if e.Message.Target == m.self.Instance {
			m.send(from, Message{Kind: KindAck, Sequence: e.Message.Sequence, Target: m.self.Instance})
		}
	case KindRequest:
		m.relayPing(now, from, e.Message)
	case KindAck:
		m.ack(e.Message)
	}
}

func (m *Machine) relayPing(now time.Duration, from *node, msg Message) {
	n, ok := m.nodes[msg.Target]
	if !ok {
		return
	}
	m.sequence++
	m.relays = append(m.relays, relay{
		sequence: m.sequence, to: from.address, theirs: msg.Sequence,
		target: n.id, forgotten: now + m.cfg.Interval,
	})
	m.send(n, Message{Kind: KindPing, Sequence: m.sequence, Target: n.id})
}

// ack counts for the probe under way if it names its target, or is passed on to
// the node that asked for it.
func (m *Machine) ack(msg Message) {
	p := &m.probe
	if p.target != nil && p.sequence == msg.Sequence && p.target.id == msg.Target {
		p.acked = true
		return
	}
	for _, r := range m.relays {
		if r.sequence == msg.Sequence && r.target == msg.Target {
			m.send(&node{address: r.to}, Message{Kind: KindAck, Sequence: r.theirs, Target: r.target})
			return
		}
	}
}

func (m *Machine) suspect(now time.Duration, n *node) {
	if n.state != StateAlive {
		return
	}
	m.Counters.Suspected++
	m.set(n, n.number, StateSuspect)
	m.startSuspicion(now, n)
}

func (m *Machine) startSuspicion(now time.Duration, n *node) {
	n.deadline, n.asked = now+m.cfg.Suspicion, false
	m.suspects = append(m.suspects, n)
}

// learn takes over news that are newer than what is known.
func (m *Machine) learn(now time.Duration, u Update) {
	if u.Instance == m.self.Instance {
		if u.State != StateAlive && !m.leaving {
			// An older suspicion shows that the refutation has not arrived.
			m.Counters.Refuted++
			m.number = max(m.number, u.Number+1)
			m.enqueue(m.own())
		}
		return
	}
	n, ok := m.nodes[u.Instance]
	if !ok {
		if u.State == StateDead || u.State == StateLeft || u.Address == "" {
			return
		}
		n = m.add(Node{u.Instance, u.Address})
	}
	if u.Number < n.number || (u.Number == n.number && u.State <= n.state) {
		return
	}
	wasSuspect := n.state == StateSuspect
	m.set(n, u.Number, u.State)
	if u.State == StateSuspect && !wasSuspect {
		m.startSuspicion(now, n)
	}
}

func (m *Machine) set(n *node, number uint32, s State) {
	changed := n.state != s
	n.number, n.state = number, s
	m.enqueue(n.update())
	if changed {
		m.out = append(m.out, StateChanged{Instance: n.id, State: s})
	}
}

func (n *node) update() Update {
	return Update{Instance: n.id, Address: n.address, Number: n.number, State: n.state}
}

func (m *Machine) own() Update {
	s := StateAlive
	if m.leaving {
		s = StateLeft
	}
	return Update{Instance: m.self.Instance, Address: m.self.Address, Number: m.number, State: s}
}

func (m *Machine) add(l Node) *node {
	n := &node{id: l.Instance, address: l.Address, state: StateAlive}
	m.nodes[n.id] = n
	at := m.rng.IntN(len(m.order) + 1)
	m.order = slices.Insert(m.order, at, n)
	return n
}

func (m *Machine) listed(list []Node) {
	for _, n := range m.nodes {
		n.listed = false
	}
	for _, l := range list {
		if l.Instance == m.self.Instance || l.Address == "" {
			continue
		}
		n, ok := m.nodes[l.Instance]
		if !ok {
			n = m.add(l)
		}
		n.listed, n.address = true, l.Address
	}
	m.order = slices.DeleteFunc(m.order, func(n *node) bool {
		gone := !n.listed && n.state >= StateDead
		if gone {
			delete(m.nodes, n.id)
		}
		return gone
	})
}

// leave tells some nodes that this one shuts down; they spread it.
func (m *Machine) leave() {
	if m.leaving {
		return
	}
	m.leaving = true
	m.number++
	m.enqueue(m.own())
	for range min(m.cfg.Indirect, len(m.order)) {
		n := m.order[m.rng.IntN(len(m.order))]
		m.sequence++
		m.send(n, Message{Kind: KindPing, Sequence: m.sequence, Target: n.id})
	}
}

// enqueue spreads an update, in place of an older one about the same node.
func (m *Machine) enqueue(u Update) {
	m.queue = slices.DeleteFunc(m.queue, func(q queued) bool { return q.update.Instance == u.Instance })
	m.queue = append(m.queue, queued{u, m.cfg.Repeats + bits.Len(uint(len(m.nodes)+1))})
}

// send adds the updates that were sent least often. A node that is not alive
// here is always told so, which lets it refute.
func (m *Machine) send(to *node, msg Message) {
	msg.From = m.self.Instance
	if to.id != "" && to.state > StateAlive {
		msg.Updates = append(msg.Updates, to.update())
	}
	slices.SortStableFunc(m.queue, func(a, b queued) int { return cmp.Compare(b.left, a.left) })
	for i := range m.queue {
		if len(msg.Updates) >= m.cfg.MaxUpdates {
			break
		}
		m.queue[i].left--
		msg.Updates = append(msg.Updates, m.queue[i].update)
	}
	m.queue = slices.DeleteFunc(m.queue, func(q queued) bool { return q.left <= 0 })
	m.out = append(m.out, SendMessage{Address: to.address, Message: msg})
}
