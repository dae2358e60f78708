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

// Mesh runs the membership machines of several nodes over a simulated network.
type Mesh struct {
	Now   time.Duration
	Nodes []*MeshNode
	// Loss is the share of messages that are lost.
	Loss float64
	// Partitioned reports whether two nodes are partitioned from each other; nil means none.
	Partitioned func(a, b *MeshNode) bool
	// Messages and Bytes count the messages that the nodes sent and their encoded size.
	Messages, Bytes uint64
	// CPUTime is the time spent in the machines and in encoding and decoding.
	CPUTime time.Duration
	// Suspected and DeclaredDead count how often a node wrongly considered a live node suspect
	// or dead.
	Suspected, DeclaredDead int

	rng      *rand.Rand
	events   eventHeap
	sequence uint64
	byAddr   map[string]*MeshNode
	byID     map[ident.InstanceID]*MeshNode
}

// MeshNode is a simulated node. A paused node keeps the messages that it receives in
// its inbox.
type MeshNode struct {
	membership.Node
	Machine     *membership.Machine
	Dead        bool
	pausedUntil time.Duration
	inbox       []membership.MessageReceived
}

// NewMesh returns a mesh in which each node has the platform's list of all nodes.
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
		m.scheduleTick(time.Duration(m.rng.Int64N(int64(modelTickInterval))), n)
	}
	return m
}

func (m *Mesh) schedule(at time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, modelEvent{at, m.sequence, run})
}

func (m *Mesh) scheduleTick(at time.Duration, n *MeshNode) {
	m.schedule(at, func() {
		if !n.Dead && m.Now >= n.pausedUntil {
			m.step(n, membership.Tick{})
			inbox := n.inbox
			n.inbox = nil
			for _, r := range inbox {
				m.step(n, r)
			}
		}
		m.scheduleTick(at+modelTickInterval, n)
	})
}

// Pause stops a node for a time. It processes the messages that arrive meanwhile when
// it resumes.
func (m *Mesh) Pause(n *MeshNode, d time.Duration) { n.pausedUntil = m.Now + d }

// Run advances the simulated time to until.
func (m *Mesh) Run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].due <= until {
		e, _ := heap.Pop(&m.events).(modelEvent)
		m.Now = e.due
		e.run()
	}
	m.Now = until
}

func (m *Mesh) step(n *MeshNode, ev membership.Event) {
	start := time.Now()
	actions := n.Machine.Step(m.Now, ev)
	m.CPUTime += time.Since(start)
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
	m.CPUTime += time.Since(start)
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
	m.schedule(m.Now+delay, func() {
		r := membership.MessageReceived{Address: from.Address, Message: msg}
		switch {
		case to.Dead:
		case m.Now < to.pausedUntil:
			to.inbox = append(to.inbox, r)
		default:
			m.step(to, r)
		}
	})
}

// CountNodesWithState returns the number of live nodes that consider a node to be in a state.
func (m *Mesh) CountNodesWithState(id ident.InstanceID, s membership.State) int {
	count := 0
	for _, n := range m.Nodes {
		if !n.Dead && n.Instance != id && n.Machine.State(id) == s {
			count++
		}
	}
	return count
}

// Parameters of the membership measurement.
const (
	meshWarmup      = 10 * time.Second
	meshMeasureTime = 60 * time.Second
	meshPauseTime   = 3 * time.Second
	meshLoss        = 0.05
)

// Membership measures the cost of membership per node at several sizes, false
// suspicions under message loss and with one node paused each second, and the time
// until the others detect a dead node. False suspicions and false declarations of
// death are counted for each pair of an observing and an observed node.
func Membership(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "nodes\tmsgs/s/node\tbytes/s/node\tcpu us/s/node\tloss 5%: suspected\tdied\t+3 s pauses: suspected\tdied\tbytes/s/node\tdead node: first suspect s\tall dead s\t")
	for _, nodes := range []int{7, 50, 200, 890} {
		lossless := measureMesh(nodes, 0, 0)
		lossy := measureMesh(nodes, meshLoss, 0)
		paused := measureMesh(nodes, meshLoss, 1)
		first, all := measureDetection(nodes)
		secs := meshMeasureTime.Seconds() * float64(nodes)
		_, _ = fmt.Fprintf(t, "%d\t%.2f\t%.0f\t%.1f\t%d\t%d\t%d\t%d\t%.0f\t%.1f\t%.1f\t\n", nodes,
			float64(lossless.Messages)/secs, float64(lossless.Bytes)/secs, float64(lossless.CPUTime.Microseconds())/secs,
			lossy.Suspected, lossy.DeclaredDead, paused.Suspected, paused.DeclaredDead,
			float64(paused.Bytes)/secs, first.Seconds(), all.Seconds())
	}
	return errors.Wrap(t.Flush(), "write membership table")
}

// measureMesh runs a mesh for one minute and pauses the given number of random nodes
// each second. The counters of the result leave out the warm-up.
func measureMesh(nodes int, loss float64, pauses int) *Mesh {
	m := NewMesh(nodes, loss, 1)
	m.Run(meshWarmup)
	m.Messages, m.Bytes, m.CPUTime, m.Suspected, m.DeclaredDead = 0, 0, 0, 0, 0
	for end := meshWarmup + meshMeasureTime; m.Now < end; {
		for range pauses {
			if n := m.Nodes[m.rng.IntN(len(m.Nodes))]; m.Now >= n.pausedUntil {
				m.Pause(n, meshPauseTime)
			}
		}
		m.Run(m.Now + time.Second)
	}
	return m
}

// measureDetection returns the times from a node's death until the first other node
// suspects it and until all others consider it dead. A time is 0 if this did not
// happen within meshMeasureTime.
func measureDetection(nodes int) (first, all time.Duration) {
	m := NewMesh(nodes, meshLoss, 2)
	m.Run(meshWarmup)
	dead := m.Nodes[0]
	dead.Dead = true
	for m.Now < meshWarmup+meshMeasureTime {
		m.Run(m.Now + modelTickInterval)
		if first == 0 && m.CountNodesWithState(dead.Instance, membership.StateSuspect) > 0 {
			first = m.Now - meshWarmup
		}
		if m.CountNodesWithState(dead.Instance, membership.StateDead) == nodes-1 {
			return first, m.Now - meshWarmup
		}
	}
	return first, 0
}
