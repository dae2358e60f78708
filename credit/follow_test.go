package credit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/ident"
)

// followNode is an entry instance of the test: a follower that is also a
// possible owner. Its clock starts anywhere and drifts by up to 5% either way.
type followNode struct {
	id          ident.InstanceID
	incarnation int
	offset      time.Duration
	rate        float64
	follower    *Follower
	followers   *Followers
	seq, heard  uint64
	owner       ident.InstanceID
	paused      time.Duration
	// preferred is the owner that the node would follow. Nodes change their
	// minds one after another, as when a lease moves.
	preferred int
}

func (n *followNode) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

func (n *followNode) restart(now time.Duration) {
	n.incarnation++
	n.follower, n.followers = NewFollower(n.clock(now)), NewFollowers()
	n.seq, n.heard, n.owner = 0, 0, ""
}

// followMessage is a sync or its reply on the way.
type followMessage struct {
	at       time.Duration
	from, to int
	reply    bool
	refused  bool
	inc      ident.Incarnation
	seq      uint64
	heard    uint64
}

// countedAnew is HasMajority without what is kept between calls.
func countedAnew(f *Followers, now time.Duration, listed []ident.InstanceID) bool {
	anew := Followers{followers: f.followers}
	return anew.HasMajority(now, listed)
}

// TestOneOwner guards against two owners that have a majority at the same time,
// under delays, losses, pauses, restarts, drifting clocks and views that differ.
func TestOneOwner(t *testing.T) {
	handovers := 0
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		// The steps draw uniformly from a seeded source: rapid prefers the ends
		// of a range, which would make every fault frequent.
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		n := 3 + rng.IntN(5)
		var nodes []*followNode
		var listed []ident.InstanceID
		for i := range n {
			node := &followNode{
				id:     ident.InstanceID(fmt.Sprint("e", i)),
				offset: time.Duration(rng.IntN(1000)) * time.Second,
				rate:   1 + float64(rng.IntN(11)-5)/100,
			}
			node.restart(0)
			nodes = append(nodes, node)
			listed = append(listed, node.id)
		}
		var wire []followMessage
		var last ident.InstanceID
		for now := time.Duration(0); now < 15*time.Second; now += step {
			wire = stepFollow(rng, nodes, wire, now)
			acting := 0
			for _, node := range nodes {
				majority := node.followers.HasMajority(node.clock(now), listed)
				assert.Equal(t, majority, countedAnew(node.followers, node.clock(now), listed))
				if majority {
					acting++
					if last != "" && last != node.id {
						handovers++
					}
					last = node.id
				}
			}
			if acting > 1 {
				t.Fatalf("%d owners act at %s", acting, now)
			}
		}
	})
	assert.Assert(t, handovers > 0, "no owner ever followed another one")
}

// stepFollow plays one step: faults, syncs and deliveries.
func stepFollow(rng *rand.Rand, nodes []*followNode, wire []followMessage, now time.Duration) []followMessage {
	for i, node := range nodes {
		switch rng.IntN(400) {
		case 0:
			node.restart(now)
		case 1:
			node.paused = now + time.Duration(1+rng.IntN(40))*100*time.Millisecond
		}
		if now < node.paused || now%(500*time.Millisecond) != 0 {
			continue
		}
		if rng.IntN(10) == 0 {
			node.preferred = rng.IntN(2)
		}
		preferred := nodes[node.preferred].id
		owner, ok := node.follower.ChooseOwner(node.clock(now), preferred, []ident.InstanceID{nodes[0].id, nodes[1].id, nodes[2].id})
		if !ok {
			continue
		}
		if owner != node.owner {
			node.owner, node.heard = owner, 0
		}
		node.seq++
		node.follower.RecordSync(node.clock(now), node.seq)
		wire = append(wire, followMessage{
			at: now + delay(rng), from: i, to: index(nodes, owner), seq: node.seq, heard: node.heard,
			inc: ident.Incarnation(fmt.Sprint(node.incarnation)),
		})
	}
	var left []followMessage
	for _, m := range wire {
		switch {
		case m.at > now || now < nodes[m.to].paused:
			left = append(left, m)
		default:
			left = append(left, deliver(rng, nodes, m, now)...)
		}
	}
	return left
}

func deliver(rng *rand.Rand, nodes []*followNode, m followMessage, now time.Duration) []followMessage {
	node := nodes[m.to]
	if rng.IntN(20) == 0 {
		return nil
	}
	if m.reply {
		switch sender := nodes[m.from].id; {
		case ident.Incarnation(fmt.Sprint(node.incarnation)) != m.inc:
		case m.refused:
			node.follower.RecordRefusal(node.clock(now), sender, m.seq)
		case node.owner == sender:
			node.follower.RecordReply(sender)
			node.heard = max(node.heard, m.seq)
		}
		return nil
	}
	reply := followMessage{at: now + delay(rng), from: m.to, to: m.from, reply: true, inc: m.inc, seq: m.seq}
	if rng.IntN(100) == 0 {
		node.followers.Remove(nodes[m.from].id)
		reply.refused = true
	} else {
		s := Sync{Entry: nodes[m.from].id, Incarnation: m.inc, Seq: m.seq}
		node.followers.RecordSync(node.clock(now), s, m.heard)
	}
	return []followMessage{reply}
}

func delay(rng *rand.Rand) time.Duration {
	return time.Duration([]int{0, 0, 0, 0, 0, 0, 1, 10, 30}[rng.IntN(9)]) * 100 * time.Millisecond
}

func index(nodes []*followNode, id ident.InstanceID) int {
	for i, n := range nodes {
		if n.id == id {
			return i
		}
	}
	return -1
}

// TestStaleRefusal guards against a refusal that arrives after a later sync was
// accepted: the follower would follow two owners. Found by TestOneOwner.
func TestStaleRefusal(t *testing.T) {
	f := NewFollower(0)
	owner, ok := f.ChooseOwner(followTime, "a", nil)
	assert.Assert(t, ok && owner == "a")
	f.RecordSync(followTime, 1)
	f.RecordSync(followTime+SyncInterval, 2)
	f.RecordRefusal(followTime+SyncInterval, "a", 1)
	_, ok = f.ChooseOwner(followTime+SyncInterval, "", []ident.InstanceID{"b"})
	assert.Assert(t, !ok, "the promise of the second sync still binds")
}

// TestMajorityForms guards against entry instances that never agree on an owner.
func TestMajorityForms(t *testing.T) {
	listed := []ident.InstanceID{"a", "b", "c"}
	owner := NewFollowers()
	now := time.Duration(0)
	for seq := uint64(1); seq <= 3; seq++ {
		for _, id := range listed[:2] {
			owner.RecordSync(now, Sync{Entry: id, Incarnation: "1", Seq: seq}, seq-1)
		}
		now += SyncInterval
	}
	if !owner.HasMajority(now, listed) {
		t.Fatal("two of three followers are not counted as a majority")
	}
	if owner.HasMajority(now+AllocationTTL, listed) {
		t.Fatal("silent followers are still counted")
	}
}

// TestPendingOwnerIsLeft guards against an entry instance that follows the
// holder of a lease for good while the others, who cannot read the store, follow
// another owner.
func TestPendingOwnerIsLeft(t *testing.T) {
	f := NewFollower(0)
	candidates := []ident.InstanceID{"holder", "bystander", "owner"}
	now := followTime
	choose := func(want ident.InstanceID) {
		t.Helper()
		got, ok := f.ChooseOwner(now, "holder", candidates)
		assert.Assert(t, ok)
		assert.Equal(t, got, want)
		f.RecordSync(now, 1)
	}
	choose("holder")
	f.RecordNoMajority(now, "holder", "")
	now += pendingTime
	f.RecordNoMajority(now, "holder", "")
	now += followTime
	choose("bystander")
	f.RecordNoMajority(now, "bystander", "owner")
	now += pendingTime
	f.RecordNoMajority(now, "bystander", "owner")
	now += followTime
	choose("owner")
	f.RecordReply("owner")
	f.RecordFailure(now, "owner")
	now += failTime
	f.RecordFailure(now, "owner")
	now += followTime
	// All are avoided: the preferred one is tried.
	choose("holder")
}
