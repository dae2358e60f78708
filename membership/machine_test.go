package membership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/experiment"
	"github.com/bulrushfall/bulrushfall/membership"
)

// Guards against a dead node that is not detected, and against a live node that is
// declared dead because of message loss or of pauses below the suspicion timeout.
func TestDeadNodeIsDetectedAndPausedNodeIsNot(t *testing.T) {
	for seed := range uint64(20) {
		m := experiment.NewMesh(20, 0.05, seed)
		for range 20 {
			m.Run(m.Now + time.Second)
			m.Pause(m.Nodes[int(m.Now.Seconds())%20], 3*time.Second)
		}
		assert.Equal(t, m.DeclaredDead, 0, "seed %d", seed)
		m.Nodes[3].Dead = true
		// One node probes all others within 19 s. The first probe by any of the
		// 19 nodes detects the failure, and gossip takes a few rounds.
		m.Run(m.Now + 20*time.Second)
		assert.Equal(t, m.CountNodesWithState(m.Nodes[3].Instance, membership.StateDead), 19, "seed %d", seed)
	}
}

// Guards against an isolated node that does not detect its own isolation, and
// against a node that others still consider dead after the partition has healed.
func TestPartitionedNodeSuspectsItselfAndReturns(t *testing.T) {
	m := experiment.NewMesh(7, 0, 1)
	m.Run(5 * time.Second)
	isolated := m.Nodes[0]
	m.Partitioned = func(a, b *experiment.MeshNode) bool { return (a == isolated) != (b == isolated) }
	m.Run(30 * time.Second)
	assert.Assert(t, isolated.Machine.SuspectsItself())
	assert.Assert(t, !m.Nodes[1].Machine.SuspectsItself())
	assert.Equal(t, m.CountNodesWithState(isolated.Instance, membership.StateDead), 6)
	m.Partitioned = nil
	m.Run(60 * time.Second)
	assert.Assert(t, !isolated.Machine.SuspectsItself())
	assert.Equal(t, m.CountNodesWithState(isolated.Instance, membership.StateAlive), 6)
}

// Guards against malformed datagrams that are accepted as messages.
func TestDecodeRejectsMalformedDatagrams(t *testing.T) {
	msg := membership.Message{Kind: membership.KindPing, Sequence: 1, From: "a", Target: "b", Updates: []membership.Update{{Instance: "c", Address: "x", Number: 2, State: membership.StateSuspect}}}
	b, err := membership.Encode(msg)
	assert.NilError(t, err)
	got, err := membership.Decode(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got, msg)
	for _, bad := range [][]byte{nil, b[:len(b)/2], []byte("GET / HTTP/1.1"), {0x95, 9, 1, 0xa1, 'a', 0xa1, 'b', 0x90}} {
		_, err := membership.Decode(bad)
		assert.Assert(t, err != nil, "%x", bad)
	}
}
