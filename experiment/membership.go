package experiment

import (
	"container/heap"
	"fmt"
	"io"
	"math/rand/v2"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/membership"
)

// Mesh runs membership machines against each other over simulated messages.
type Mesh struct {
	Now   time.Duration
	Nodes []*MeshNode
	// Loss is the share of messages that get lost.
	Loss float64
	// Partitioned reports whether two nodes are partitioned from each other.
	Partitioned func(a, b *MeshNode) bool
	// Messages and Bytes count what the nodes sent.
	Messages, Bytes uint64
	// Busy is the processor time spent in the machines and in encoding.
	Busy time.Duration
	// Suspected and DeclaredDead count opinions of live nodes on live nodes.
	Suspected, DeclaredDead int

	rng    *rand.Rand
	events eventHeap
	order  uint64
	byAddr map[string]*MeshNode
	byID   map[ident.InstanceID]*MeshNode
}

// MeshNode is one node.
type MeshNode struct {
	membership.Node
	Machine *membership.Machine
	Dead    bool
	paused  time.Duration
	inbox   []membership.MessageReceived
}

// NewMesh returns a mesh in which all nodes know each other from the platform's
// list.
func NewMesh(nodes int, loss float64, seed uint64) *Mesh {
	m := &Mesh{
		Loss: loss, rng: rand.New(rand.NewPCG(seed, 3)),
		byAddr: make(map[string]*MeshNode), byID: make(map[ident.InstanceID]*MeshNode),
	}
	list := make([]membership.Node, nodes)
	for i := range list {
		list[i] = membership.Node{Instance: ident.InstanceID(fmt.Sprintf("entry-%03d", i)), Address: fmt.Sprintf("10.0.%d.%d:7101", i/250, i%250)}
	}
	for i, id := range list {
		n := &MeshNode{Node: id, Machine: membership.New(membership.DefaultConfig(), id, rand.New(rand.NewPCG(seed, uint64(i))))}
		m.Nodes = append(m.Nodes, n)
		m.byAddr[id.Address], m.byID[id.Instance] = n, n
		n.Machine.Step(0, membership.NodesListed{Nodes: list})
		m.tick(time.Duration(m.rng.Int64N(int64(modelTick))), n)
	}
	return m
}

func (m *Mesh) at(at time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, modelEvent{at, m.order, run})
}

func (m *Mesh) tick(at time.Duration, n *MeshNode) {
	m.at(at, func() {
		if !n.Dead && m.Now >= n.paused {
			m.step(n, membership.Tick{})
			inbox := n.inbox
			n.inbox = nil
			for _, r := range inbox {
				m.step(n, r)
			}
		}
		m.tick(at+modelTick, n)
	})
}

// Pause stops a node; messages wait in its socket.
func (m *Mesh) Pause(n *MeshNode, d time.Duration) { n.paused = m.Now + d }

// Run advances the mesh to an instant.
func (m *Mesh) Run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		e, _ := heap.Pop(&m.events).(modelEvent)
		m.Now = e.at
		e.run()
	}
	m.Now = until
}

func (m *Mesh) step(n *MeshNode, ev membership.Event) {
	start := time.Now()
	actions := n.Machine.Step(m.Now, ev)
	m.Busy += time.Since(start)
	for _, a := range actions {
		switch a := a.(type) {
		case membership.SendMessage:
			m.send(n, a)
		case membership.StateChanged:
			live := !m.byID[a.Instance].Dead
			if live && a.State == membership.StateSuspect {
				m.Suspected++
			}
			if live && a.State == membership.StateDead {
				m.DeclaredDead++
			}
		}
	}
}

func (m *Mesh) send(from *MeshNode, s membership.SendMessage) {
	start := time.Now()
	b, err := membership.Encode(s.Message)
	if err != nil {
		return
	}
	msg, err := membership.Decode(b)
	m.Busy += time.Since(start)
	if err != nil {
		return
	}
	m.Messages++
	m.Bytes += uint64(len(b))
	to, ok := m.byAddr[s.Address]
	if !ok || m.rng.Float64() < m.Loss || (m.Partitioned != nil && m.Partitioned(from, to)) {
		return
	}
	delay := 500*time.Microsecond + time.Duration(m.rng.Int64N(int64(2*time.Millisecond)))
	m.at(m.Now+delay, func() {
		r := membership.MessageReceived{Address: from.Address, Message: msg}
		switch {
		case to.Dead:
		case m.Now < to.paused:
			to.inbox = append(to.inbox, r)
		default:
			m.step(to, r)
		}
	})
}

// CountNodesWithState counts the live nodes that hold an opinion on a node.
func (m *Mesh) CountNodesWithState(id ident.InstanceID, s membership.State) int {
	count := 0
	for _, n := range m.Nodes {
		if !n.Dead && n.Instance != id && n.Machine.State(id) == s {
			count++
		}
	}
	return count
}

// Parameters of the membership measure.
const (
	meshWarm    = 10 * time.Second
	meshMeasure = 60 * time.Second
	meshPause   = 3 * time.Second
	meshLoss    = 0.05
)

// Membership measures the cost of membership per node at several sizes, false
// suspicions under loss and with one node paused each second, and the time to
// notice a dead node. Suspicions and deaths are opinions of one node on another.
func Membership(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "nodes\tmsgs/s/node\tbytes/s/node\tcpu us/s/node\tloss 5%: suspected\tdied\t+3 s pauses: suspected\tdied\tbytes/s/node\tdead node: first suspect s\tall dead s\t")
	for _, nodes := range []int{7, 50, 200, 890} {
		quiet := measureMesh(nodes, 0, 0)
		lossy := measureMesh(nodes, meshLoss, 0)
		paused := measureMesh(nodes, meshLoss, 1)
		first, all := detection(nodes)
		secs := meshMeasure.Seconds() * float64(nodes)
		_, _ = fmt.Fprintf(t, "%d\t%.2f\t%.0f\t%.1f\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t\n", nodes,
			float64(quiet.Messages)/secs, float64(quiet.Bytes)/secs, float64(quiet.Busy.Microseconds())/secs,
			lossy.Suspected, lossy.DeclaredDead, paused.Suspected, paused.DeclaredDead,
			float64(paused.Bytes)/secs, first.Seconds(), all.Seconds())
	}
	return errors.Wrap(t.Flush(), "write membership table")
}

// measureMesh counts over one minute in which, each second, the given number of
// random nodes is paused.
func measureMesh(nodes int, loss float64, pauses int) *Mesh {
	m := NewMesh(nodes, loss, 1)
	m.Run(meshWarm)
	m.Messages, m.Bytes, m.Busy, m.Suspected, m.DeclaredDead = 0, 0, 0, 0, 0
	for end := meshWarm + meshMeasure; m.Now < end; {
		for range pauses {
			if n := m.Nodes[m.rng.IntN(len(m.Nodes))]; m.Now >= n.paused {
				m.Pause(n, meshPause)
			}
		}
		m.Run(m.Now + time.Second)
	}
	return m
}

// detection returns the time from a node's death to the first suspicion and to
// the instant at which all others count it as dead.
func detection(nodes int) (first, all time.Duration) {
	m := NewMesh(nodes, meshLoss, 2)
	m.Run(meshWarm)
	victim := m.Nodes[0]
	victim.Dead = true
	for m.Now < meshWarm+meshMeasure {
		m.Run(m.Now + modelTick)
		if first == 0 && m.CountNodesWithState(victim.Instance, membership.StateSuspect) > 0 {
			first = m.Now - meshWarm
		}
		if m.CountNodesWithState(victim.Instance, membership.StateDead) == nodes-1 {
			return first, m.Now - meshWarm
		}
	}
	return first, 0
}
