package membership

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// node is the state that this node assumes for another one.
type node struct {
	id      ident.InstanceID
	address string
	// updateNumber orders the updates about this node. Only the node itself
	// increases it, to refute a suspicion or to leave.
	updateNumber uint32
	state        State
	// suspicionDeadline is when a suspect is declared dead. It is pinged once
	// more shortly before that.
	suspicionDeadline time.Duration
	finalPingSent     bool
	inPlatformList    bool
}

// probe is the ping that waits for its ack. There is one at a time.
type probe struct {
	target            *node
	sequence          uint32
	sentAt            time.Duration
	acked             bool
	indirectRequested bool
}

// relayedPing is a ping that another node requested. Its ack is forwarded to
// that node.
type relayedPing struct {
	sequence          uint32
	requesterAddress  string
	requesterSequence uint32
	target            ident.InstanceID
	expiresAt         time.Duration
}

// queuedUpdate is an update with the number of transmissions that remain.
type queuedUpdate struct {
	update            Update
	transmissionsLeft int
}

// Machine is the membership state machine of one node.
type Machine struct {
	cfg  Config
	self Node
	rng  *rand.Rand

	updateNumber   uint32
	leaving        bool
	nodes          map[ident.InstanceID]*node
	probeOrder     []*node
	nextProbeIndex int
	suspects       []*node
	currentProbe   probe
	relayedPings   []relayedPing
	updateQueue    []queuedUpdate
	sequence       uint32
	nextProbeAt    time.Duration
	nextGossipAt   time.Duration
	lastTick       time.Duration
	actions        []Action
	Counters       Counters
}

// Counters are totals since the machine was created.
type Counters struct {
	Probes, IndirectRequests, Suspected, Refuted, DeclaredDead, PausesDetected uint64
}

// New returns the state machine of a node. Its first probe is delayed by a random
// part of the probe interval, so that the nodes do not probe in bursts.
func New(cfg Config, self Node, rng *rand.Rand) *Machine {
	m := &Machine{cfg: cfg, self: self, rng: rng, nodes: make(map[ident.InstanceID]*node)}
	m.nextProbeAt = time.Duration(rng.Int64N(int64(cfg.ProbeInterval)))
	return m
}

// State returns the assumed state of a node. Unknown nodes count as alive, because
// the platform may just have listed them.
func (m *Machine) State(id ident.InstanceID) State {
	if n, ok := m.nodes[id]; ok {
		return n.state
	}
	return StateAlive
}

// SuspectsItself reports whether more than half of the other nodes are suspect or
// dead. Then this node has probably lost its own connection.
func (m *Machine) SuspectsItself() bool {
	unreachable := 0
	for _, n := range m.probeOrder {
		if n.state == StateSuspect || n.state == StateDead {
			unreachable++
		}
	}
	return len(m.probeOrder) >= 2 && 2*unreachable > len(m.probeOrder)
}

// Step handles one event and returns the actions for the caller.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.actions = nil
	switch e := ev.(type) {
	case Tick:
		m.tick(now)
	case MessageReceived:
		m.handleMessage(now, e)
	case NodesListed:
		m.applyNodeList(e.Nodes)
	case Leave:
		m.announceLeave()
	}
	return m.actions
}

func (m *Machine) tick(now time.Duration) {
	if now-m.lastTick > m.cfg.ProbeInterval && m.lastTick > 0 {
		// This process was paused, so that acks may have been missed: discard the
		// probe, and restart the timeout of each suspect.
		m.Counters.PausesDetected++
		m.currentProbe = probe{}
		for _, n := range m.suspects {
			n.suspicionDeadline, n.finalPingSent = now+m.cfg.SuspicionTimeout, false
		}
	}
	m.lastTick = now
	m.expireSuspects(now)
	m.relayedPings = slices.DeleteFunc(m.relayedPings, func(r relayedPing) bool { return now >= r.expiresAt })
	p := &m.currentProbe
	if p.target != nil && !p.acked && !p.indirectRequested && now-p.sentAt >= m.cfg.AckTimeout {
		p.indirectRequested = true
		m.requestIndirectProbes()
	}
	m.sendGossip(now)
	if now < m.nextProbeAt || m.leaving {
		return
	}
	m.nextProbeAt = max(m.nextProbeAt+m.cfg.ProbeInterval, now+m.cfg.ProbeInterval/2)
	if p.target != nil && !p.acked {
		m.markSuspect(now, p.target)
	}
	m.probeNextNode(now)
}

// sendGossip sends queued updates to one random node, or to none if that node is
// dead or has left.
func (m *Machine) sendGossip(now time.Duration) {
	if len(m.updateQueue) == 0 || len(m.probeOrder) == 0 || now < m.nextGossipAt {
		return
	}
	m.nextGossipAt = now + m.cfg.GossipInterval
	if n := m.probeOrder[m.rng.IntN(len(m.probeOrder))]; n.state <= StateSuspect {
		m.send(n, Message{Kind: KindGossip})
	}
}

// expireSuspects declares suspects dead at their deadline. Gossip can miss a node,
// so each node first pings the suspect, which then repeats its refutation.
func (m *Machine) expireSuspects(now time.Duration) {
	for _, n := range m.suspects {
		if n.state == StateSuspect && !n.finalPingSent && n.suspicionDeadline-now <= m.cfg.SuspicionTimeout/4 {
			n.finalPingSent = true
			m.sequence++
			m.send(n, Message{Kind: KindPing, Sequence: m.sequence, Target: n.id})
		}
	}
	m.suspects = slices.DeleteFunc(m.suspects, func(n *node) bool {
		if n.state == StateSuspect && now >= n.suspicionDeadline {
			m.Counters.DeclaredDead++
			m.setState(n, n.updateNumber, StateDead)
		}
		return n.state != StateSuspect
	})
}

// probeNextNode pings the next node of a random order. Dead nodes are probed too,
// so that the two sides of a partition find each other when it heals.
func (m *Machine) probeNextNode(now time.Duration) {
	m.currentProbe = probe{}
	for range m.probeOrder {
		if m.nextProbeIndex >= len(m.probeOrder) {
			m.nextProbeIndex = 0
			m.rng.Shuffle(len(m.probeOrder), func(i, j int) { m.probeOrder[i], m.probeOrder[j] = m.probeOrder[j], m.probeOrder[i] })
		}
		n := m.probeOrder[m.nextProbeIndex]
		m.nextProbeIndex++
		if n.state == StateLeft || (n.state == StateDead && !n.inPlatformList) {
			continue
		}
		m.Counters.Probes++
		m.sequence++
		m.currentProbe = probe{target: n, sequence: m.sequence, sentAt: now}
		m.send(n, Message{Kind: KindPing, Sequence: m.sequence, Target: n.id})
		return
	}
}

// requestIndirectProbes asks random alive nodes to ping the target of the current
// probe.
func (m *Machine) requestIndirectProbes() {
	t := m.currentProbe.target
	var helpers []*node
	for range 4 * m.cfg.IndirectProbes {
		n := m.probeOrder[m.rng.IntN(len(m.probeOrder))]
		if n != t && n.state == StateAlive && !slices.Contains(helpers, n) && len(helpers) < m.cfg.IndirectProbes {
			helpers = append(helpers, n)
		}
	}
	for _, n := range helpers {
		m.Counters.IndirectRequests++
		m.send(n, Message{Kind: KindPingRequest, Sequence: m.currentProbe.sequence, Target: t.id})
	}
}

func (m *Machine) handleMessage(now time.Duration, e MessageReceived) {
	for _, u := range e.Message.Updates {
		m.applyUpdate(now, u)
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
	case KindPingRequest:
		m.relayPing(now, from, e.Message)
	case KindAck:
		m.handleAck(e.Message)
	}
}

func (m *Machine) relayPing(now time.Duration, from *node, msg Message) {
	n, ok := m.nodes[msg.Target]
	if !ok {
		return
	}
	m.sequence++
	m.relayedPings = append(m.relayedPings, relayedPing{
		sequence: m.sequence, requesterAddress: from.address, requesterSequence: msg.Sequence,
		target: n.id, expiresAt: now + m.cfg.ProbeInterval,
	})
	m.send(n, Message{Kind: KindPing, Sequence: m.sequence, Target: n.id})
}

// handleAck acknowledges the current probe, or forwards the ack of a relayed ping
// to the node that requested the ping.
func (m *Machine) handleAck(msg Message) {
	p := &m.currentProbe
	if p.target != nil && p.sequence == msg.Sequence && p.target.id == msg.Target {
		p.acked = true
		return
	}
	for _, r := range m.relayedPings {
		if r.sequence == msg.Sequence && r.target == msg.Target {
			m.send(&node{address: r.requesterAddress}, Message{Kind: KindAck, Sequence: r.requesterSequence, Target: r.target})
			return
		}
	}
}

func (m *Machine) markSuspect(now time.Duration, n *node) {
	if n.state != StateAlive {
		return
	}
	m.Counters.Suspected++
	m.setState(n, n.updateNumber, StateSuspect)
	m.startSuspicionTimer(now, n)
}

func (m *Machine) startSuspicionTimer(now time.Duration, n *node) {
	n.suspicionDeadline, n.finalPingSent = now+m.cfg.SuspicionTimeout, false
	m.suspects = append(m.suspects, n)
}

// applyUpdate applies an update that is newer than the known state of its node. An
// update that says that this node itself is not alive is refuted, unless this node
// is leaving.
func (m *Machine) applyUpdate(now time.Duration, u Update) {
	if u.Instance == m.self.Instance {
		if u.State != StateAlive && !m.leaving {
			// An older suspicion shows that its sender lacks the last refutation,
			// so that it is queued again.
			m.Counters.Refuted++
			m.updateNumber = max(m.updateNumber, u.Number+1)
			m.enqueueUpdate(m.ownUpdate())
		}
		return
	}
	n, ok := m.nodes[u.Instance]
	if !ok {
		if u.State == StateDead || u.State == StateLeft || u.Address == "" {
			return
		}
		n = m.addNode(Node{u.Instance, u.Address})
	}
	if u.Number < n.updateNumber || (u.Number == n.updateNumber && u.State <= n.state) {
		return
	}
	wasSuspect := n.state == StateSuspect
	m.setState(n, u.Number, u.State)
	if u.State == StateSuspect && !wasSuspect {
		m.startSuspicionTimer(now, n)
	}
}

func (m *Machine) setState(n *node, number uint32, s State) {
	changed := n.state != s
	n.updateNumber, n.state = number, s
	m.enqueueUpdate(n.currentUpdate())
	if changed {
		m.actions = append(m.actions, StateChanged{Instance: n.id, State: s})
	}
}

func (n *node) currentUpdate() Update {
	return Update{Instance: n.id, Address: n.address, Number: n.updateNumber, State: n.state}
}

func (m *Machine) ownUpdate() Update {
	s := StateAlive
	if m.leaving {
		s = StateLeft
	}
	return Update{Instance: m.self.Instance, Address: m.self.Address, Number: m.updateNumber, State: s}
}

// addNode adds a node at a random place of the probe order.
func (m *Machine) addNode(l Node) *node {
	n := &node{id: l.Instance, address: l.Address, state: StateAlive}
	m.nodes[n.id] = n
	i := m.rng.IntN(len(m.probeOrder) + 1)
	m.probeOrder = slices.Insert(m.probeOrder, i, n)
	return n
}

// applyNodeList adds the nodes of the platform's list, and deletes dead nodes that
// are no longer in it.
func (m *Machine) applyNodeList(list []Node) {
	for _, n := range m.nodes {
		n.inPlatformList = false
	}
	for _, l := range list {
		if l.Instance == m.self.Instance || l.Address == "" {
			continue
		}
		n, ok := m.nodes[l.Instance]
		if !ok {
			n = m.addNode(l)
		}
		n.inPlatformList, n.address = true, l.Address
	}
	m.probeOrder = slices.DeleteFunc(m.probeOrder, func(n *node) bool {
		remove := !n.inPlatformList && n.state >= StateDead
		if remove {
			delete(m.nodes, n.id)
		}
		return remove
	})
}

// announceLeave tells some nodes that this node is shutting down. They forward this
// by gossip.
func (m *Machine) announceLeave() {
	if m.leaving {
		return
	}
	m.leaving = true
	m.updateNumber++
	m.enqueueUpdate(m.ownUpdate())
	for range min(m.cfg.IndirectProbes, len(m.probeOrder)) {
		n := m.probeOrder[m.rng.IntN(len(m.probeOrder))]
		m.sequence++
		m.send(n, Message{Kind: KindPing, Sequence: m.sequence, Target: n.id})
	}
}

// enqueueUpdate queues an update for gossip. It replaces a queued one about the
// same node.
func (m *Machine) enqueueUpdate(u Update) {
	m.updateQueue = slices.DeleteFunc(m.updateQueue, func(q queuedUpdate) bool { return q.update.Instance == u.Instance })
	m.updateQueue = append(m.updateQueue, queuedUpdate{u, m.cfg.BaseTransmissions + bits.Len(uint(len(m.nodes)+1))})
}

// send sends a message with the queued updates that have the most transmissions
// left. If this node considers the receiver suspect, dead or left, the message also
// contains that state, so that the receiver can refute it.
func (m *Machine) send(to *node, msg Message) {
	msg.From = m.self.Instance
	if to.id != "" && to.state > StateAlive {
		msg.Updates = append(msg.Updates, to.currentUpdate())
	}
	slices.SortStableFunc(m.updateQueue, func(a, b queuedUpdate) int { return cmp.Compare(b.transmissionsLeft, a.transmissionsLeft) })
	for i := range m.updateQueue {
		if len(msg.Updates) >= m.cfg.MaxUpdates {
			break
		}
		m.updateQueue[i].transmissionsLeft--
		msg.Updates = append(msg.Updates, m.updateQueue[i].update)
	}
	m.updateQueue = slices.DeleteFunc(m.updateQueue, func(q queuedUpdate) bool { return q.transmissionsLeft <= 0 })
	m.actions = append(m.actions, SendMessage{Address: to.address, Message: msg})
}
