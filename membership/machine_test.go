package membership_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/experiment"
	"github.com/bulrushfall/bulrushfall/membership"
)

// Guards against a dead node that nobody notices, and against a live one that
// loss and pauses shorter than the suspicion time make dead.
func TestDeadIsNoticedAndPausedIsNot(t *testing.T) {
	for seed := range uint64(20) {
		m := experiment.NewMesh(20, 0.05, seed)
		for range 20 {
			m.Run(m.Now + time.Second)
			m.Pause(m.Nodes[int(m.Now.Seconds())%20], 3*time.Second)
		}
		assert.Equal(t, m.Died, 0, "seed %d", seed)
		m.Nodes[3].Dead = true
		// A probe round of 19 s is the longest time to the first probe by one
		// node; any of 19 nodes notices, and gossip takes a few rounds.
		m.Run(m.Now + 20*time.Second)
		assert.Equal(t, m.Opinion(m.Nodes[3].Instance, membership.StateDead), 19, "seed %d", seed)
	}
}

// Guards against a node that is cut off and believes that all others died, and
// against one that stays dead after the partition heals.
func TestPartitionedNodeSuspectsItselfAndReturns(t *testing.T) {
	m := experiment.NewMesh(7, 0, 1)
	m.Run(5 * time.Second)
	cut := m.Nodes[0]
	m.Cut = func(a, b *experiment.MeshNode) bool { return (a == cut) != (b == cut) }
	m.Run(30 * time.Second)
	assert.Assert(t, cut.Machine.SelfSuspect())
	assert.Assert(t, !m.Nodes[1].Machine.SelfSuspect())
	assert.Equal(t, m.Opinion(cut.Instance, membership.StateDead), 6)
	m.Cut = nil
	m.Run(60 * time.Second)
	assert.Assert(t, !cut.Machine.SelfSuspect())
	assert.Equal(t, m.Opinion(cut.Instance, membership.StateAlive), 6)
}

// Guards against malformed datagrams that are taken for messages.
func TestDecodeRefusesGarbage(t *testing.T) {
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
