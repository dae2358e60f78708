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

// followNode is a simulated entry instance: a follower that can also become the
// owner. Its clock has a random offset and runs up to 5% too fast or too slow.
type followNode struct {
	id               ident.InstanceID
	incarnation      int
	offset           time.Duration
	rate             float64
	follower         *Follower
	followers        *Followers
	seq, lastReplied uint64
	owner            ident.InstanceID
	paused           time.Duration
	// preferred is the index of the owner that the node prefers. It changes at
	// different times at different nodes, as after a change of the lease holder.
	preferred int
}

func (n *followNode) clock(now time.Duration) time.Duration {
	return n.offset + time.Duration(float64(now)*n.rate)
}

func (n *followNode) restart(now time.Duration) {
	n.incarnation++
	n.follower, n.followers = NewFollower(n.clock(now)), NewFollowers()
	n.seq, n.lastReplied, n.owner = 0, 0, ""
}

// followMessage is a sync or a reply in transit.
type followMessage struct {
	at                  time.Duration
	from, to            int
	reply               bool
	refused             bool
	followerIncarnation ident.Incarnation
	seq                 uint64
	lastReplied         uint64
}

// majorityUncached is HasMajority without the result that it keeps between calls.
func majorityUncached(f *Followers, now time.Duration, listed []ident.InstanceID) bool {
	uncached := Followers{followers: f.followers}
	return uncached.HasMajority(now, listed)
}

// TestOneOwner guards against two owners that have a majority at the same time,
// under message delay and loss, pauses, restarts, clock drift and different
// preferences of the entry instances.
func TestOneOwner(t *testing.T) {
	handovers := 0
	rapid.Check(t, func(t *rapid.T) {
		const step = 100 * time.Millisecond
		// The steps use a uniform, seeded random source: rapid prefers the ends of
		// a range, which would make every fault frequent.
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
		var inTransit []followMessage
		var last ident.InstanceID
		for now := time.Duration(0); now < 15*time.Second; now += step {
			inTransit = stepNodes(rng, nodes, inTransit, now)
			acting := 0
			for _, node := range nodes {
				majority := node.followers.HasMajority(node.clock(now), listed)
				assert.Equal(t, majority, majorityUncached(node.followers, node.clock(now), listed))
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
	assert.Assert(t, handovers > 0, "the owner never changed")
}

// stepNodes simulates one step: faults, syncs and deliveries. It returns the
// messages in transit.
func stepNodes(rng *rand.Rand, nodes []*followNode, messages []followMessage, now time.Duration) []followMessage {
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
			node.owner, node.lastReplied = owner, 0
		}
		node.seq++
		node.follower.RecordSync(node.clock(now), node.seq)
		messages = append(messages, followMessage{
			at: now + delay(rng), from: i, to: index(nodes, owner), seq: node.seq, lastReplied: node.lastReplied,
			followerIncarnation: ident.Incarnation(fmt.Sprint(node.incarnation)),
		})
	}
	var inTransit []followMessage
	for _, m := range messages {
		switch {
		case m.at > now || now < nodes[m.to].paused:
			inTransit = append(inTransit, m)
		default:
			inTransit = append(inTransit, deliver(rng, nodes, m, now)...)
		}
	}
	return inTransit
}

// deliver hands a message to its receiver, unless the message is lost, and returns
// the reply, if any.
func deliver(rng *rand.Rand, nodes []*followNode, m followMessage, now time.Duration) []followMessage {
	node := nodes[m.to]
	if rng.IntN(20) == 0 {
		return nil
	}
	if m.reply {
		switch sender := nodes[m.from].id; {
		case ident.Incarnation(fmt.Sprint(node.incarnation)) != m.followerIncarnation:
		case m.refused:
			node.follower.RecordRefusal(node.clock(now), sender, m.seq)
		case node.owner == sender:
			node.follower.RecordReply(sender)
			node.lastReplied = max(node.lastReplied, m.seq)
		}
		return nil
	}
	reply := followMessage{at: now + delay(rng), from: m.to, to: m.from, reply: true, followerIncarnation: m.followerIncarnation, seq: m.seq}
	if rng.IntN(100) == 0 {
		node.followers.Remove(nodes[m.from].id)
		reply.refused = true
	} else {
		s := Sync{Entry: nodes[m.from].id, Incarnation: m.followerIncarnation, Seq: m.seq}
		node.followers.RecordSync(node.clock(now), s, m.lastReplied)
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
// accepted: it would let the follower follow two owners. TestOneOwner found this
// fault.
func TestStaleRefusal(t *testing.T) {
	f := NewFollower(0)
	owner, ok := f.ChooseOwner(followTTL, "a", nil)
	assert.Assert(t, ok && owner == "a")
	f.RecordSync(followTTL, 1)
	f.RecordSync(followTTL+SyncInterval, 2)
	f.RecordRefusal(followTTL+SyncInterval, "a", 1)
	_, ok = f.ChooseOwner(followTTL+SyncInterval, "", []ident.InstanceID{"b"})
	assert.Assert(t, !ok, "the second sync still commits the follower to owner a")
}

// TestMajorityForms guards against an owner that gets no majority although enough
// entry instances sync with it, and against a majority that outlives the syncs.
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
		t.Fatal("followers that stopped syncing are still counted")
	}
}

// TestPendingOwnerIsAvoided guards against an entry instance that keeps following
// the lease holder while the other entry instances, which cannot read the store,
// follow another owner.
func TestPendingOwnerIsAvoided(t *testing.T) {
	f := NewFollower(0)
	candidates := []ident.InstanceID{"holder", "bystander", "owner"}
	now := followTTL
	choose := func(want ident.InstanceID) {
		t.Helper()
		got, ok := f.ChooseOwner(now, "holder", candidates)
		assert.Assert(t, ok)
		assert.Equal(t, got, want)
		f.RecordSync(now, 1)
	}
	choose("holder")
	f.RecordNoMajority(now, "holder", "")
	now += pendingTimeout
	f.RecordNoMajority(now, "holder", "")
	now += followTTL
	choose("bystander")
	f.RecordNoMajority(now, "bystander", "owner")
	now += pendingTimeout
	f.RecordNoMajority(now, "bystander", "owner")
	now += followTTL
	choose("owner")
	f.RecordReply("owner")
	f.RecordFailure(now, "owner")
	now += failTimeout
	f.RecordFailure(now, "owner")
	now += followTTL
	// All candidates are avoided: the preferred one is chosen.
	choose("holder")
}
