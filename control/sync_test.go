package control

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// testGroups returns groups of a number of members.
func testGroups(n, members int, confirmed time.Duration) []*view.Group {
	var out []*view.Group
	for i := range n {
		g := &view.Group{
			ID: ident.GroupID(fmt.Sprintf("service-%04d", i)), Epoch: 7, Incarnation: "2f8s9d0f-7", Confirmed: confirmed,
			DataCentre: "dc-a", Domain: "domain-a-1", Limit: 64,
			Leader: view.Backend{Instance: ident.InstanceID(fmt.Sprintf("worker-%05d", i)), Address: "10.0.0.1:7100"},
			Status: engine.Status{Limit: 64, ColdLimit: 4, Running: 40, HeldTokens: 100_000, TokenMicros: 50_000},
		}
		for m := range members {
			g.Members = append(g.Members, ident.InstanceID(fmt.Sprintf("worker-%05d", i*members+m)))
		}
		out = append(out, g)
	}
	return out
}

// TestLearner guards against confirmations that live longer than the holder's
// polls, against facts of an earlier epoch, and against facts that are sent
// again or not at all.
func TestLearner(t *testing.T) {
	var table factTable
	groups := testGroups(2, 3, 9*time.Second)
	table.update(groups)
	l := newLearner()
	first := table.since(10*time.Second, 4, l.known("s"), groups)
	assert.Equal(t, len(first.Facts), 2)
	got := l.learn("s", first, 100*time.Second)
	assert.Equal(t, len(got), 2)
	// The poll was 1 s old when the holder answered; the age counts from the
	// instant the sync was sent.
	assert.Equal(t, got[0].Confirmed, 99*time.Second)
	assert.Assert(t, !got[0].Usable(99*time.Second+view.ConfirmTTL))

	moved := *groups[1]
	moved.Epoch++
	groups[1] = &moved
	table.update(groups)
	second := table.since(10*time.Second, 4, l.known("s"), groups)
	assert.Equal(t, len(second.Facts), 1)
	got = l.learn("s", second, 101*time.Second)
	assert.Equal(t, got[1].Epoch, moved.Epoch)

	assert.Equal(t, len(l.learn("s", first, 102*time.Second)), 1, "a late reply has no load for the newer facts of the second group")
	stale := first
	stale.Epoch = 3
	assert.Equal(t, len(l.learn("s", stale, 103*time.Second)), 0, "an earlier owner was followed")
}

// TestLearnerChanges guards against confirmations that an exchange loses or
// makes up when it leaves groups out: groups that change, come and go, and polls
// that stop, with replies that are lost, late or overtaken. Each reply that is
// not overtaken must confirm exactly the owner's groups of its time, as they were
// then, and none later than its poll or, if unchanged, than explicitAge allows.
func TestLearnerChanges(t *testing.T) {
	const step = 100 * time.Millisecond
	left, late := 0, 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var table factTable
		epoch := ident.Epoch(1)
		l := newLearner()
		type reply struct {
			c    Confirmations
			sent time.Duration
			due  time.Duration
			then map[ident.GroupID]*view.Group
		}
		var way []reply
		groups := testGroups(6, 2, 0)
		dead := map[ident.GroupID]bool{}
		highest := uint64(0)
		for now := 10 * time.Second; now < 70*time.Second; now += step {
			next := make([]*view.Group, 0, len(groups))
			for _, g := range groups {
				c := *g
				switch rng.IntN(60) {
				case 0:
					c.Epoch++
				case 1:
					c.Status.Running++
				case 2:
					c.Cold = !c.Cold
				case 3:
					dead[g.ID] = !dead[g.ID]
				}
				if !dead[g.ID] {
					c.Confirmed = now - time.Duration(rng.IntN(300))*time.Millisecond
				}
				if now-c.Confirmed < view.ConfirmTTL {
					next = append(next, &c)
				}
			}
			if rng.IntN(20) == 0 {
				back := testGroups(6, 2, now)
				i := rng.IntN(len(back))
				if !slices.ContainsFunc(next, func(g *view.Group) bool { return g.ID == back[i].ID }) {
					delete(dead, back[i].ID)
					next = append(next, back[i])
				}
			}
			groups = next
			if rng.IntN(3) > 0 {
				table.update(groups)
			}
			if rng.IntN(150) == 0 { // another owner
				table, epoch, highest = factTable{}, epoch+1, 0
				l.forget("s")
			}
			r := reply{c: table.since(now, epoch, l.known("s"), groups), sent: now, due: now + time.Duration(rng.IntN(700))*time.Millisecond, then: map[ident.GroupID]*view.Group{}}
			for _, g := range groups {
				r.then[g.ID] = g
			}
			if rng.IntN(8) > 0 {
				way = append(way, r)
			}
			waiting := way
			way = nil
			for _, r := range waiting {
				if r.due > now {
					way = append(way, r)
					continue
				}
				got := l.learn("s", r.c, r.sent)
				for _, g := range got {
					want, ok := r.then[g.ID]
					assert.Assert(t, ok, "seed %d: %s was gone", seed, g.ID)
					assert.Assert(t, g.Confirmed <= want.Confirmed && g.Confirmed >= min(want.Confirmed, r.sent-explicitAge), "seed %d: age", seed)
					assert.Equal(t, g.Epoch, want.Epoch)
					assert.Equal(t, g.Cold, want.Cold)
					assert.Equal(t, g.Status.Running, want.Status.Running, "seed %d now %v sent %v group %s c.Version %d whole %v known %+v explicit %v", seed, now, r.sent, g.ID, r.c.Version, r.c.Whole, l.known("s"), slices.ContainsFunc(r.c.Loads, func(x groupLoad) bool { return x.Group == g.ID }))
				}
				if r.c.Epoch == epoch && r.c.Version >= highest && (r.c.Whole || l.known("s").Epoch == epoch) {
					highest = r.c.Version
					assert.Equal(t, len(got), len(r.then), "seed %d at %v: groups confirmed by a reply in order", seed, now)
				} else {
					late++
				}
				left += len(got) - len(r.c.Loads)
			}
		}
	}
	assert.Assert(t, left > 10_000 && late > 1000, "%d confirmations left out, %d replies overtaken", left, late)
}

// TestStatusWithoutPartner guards against a capacity without a partner that
// counts the partner's own groups or ones that get no work.
func TestStatusWithoutPartner(t *testing.T) {
	groups := testGroups(4, 2, time.Second)
	groups[0].Partner, groups[1].Partner, groups[2].Partner = "firm-a", "firm-a", "firm-b"
	groups[1].Draining = true
	st := serviceStatus(&view.Service{Groups: groups}, time.Second)
	assert.Equal(t, st.Usable, 3)
	assert.DeepEqual(t, st.WithoutPartner, []operator.PartnerStatus{{Partner: "firm-a", Usable: 2}, {Partner: "firm-b", Usable: 2}})
}

// BenchmarkSync reports the bytes and the time of one exchange with an owner, by
// the number of groups: all idle, and all changed since the last exchange. The
// holder's end is part of the time.
func BenchmarkSync(b *testing.B) {
	for _, n := range []int{9, 33, 228} {
		for _, busy := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d/busy=%v", n, busy), func(b *testing.B) { benchmarkSync(b, n, 1, busy) })
		}
	}
	b.Run("33/entries=127", func(b *testing.B) { benchmarkSync(b, 33, 127, false) })
}

func benchmarkSync(b *testing.B, n, entries int, busy bool) {
	groups := testGroups(n, 32, 0)
	o := &ownerState{owner: credit.NewOwner(1, 0), epoch: 1, ends: make(map[endKey]*exchangeEnd)}
	var holders []*credit.Holder
	var packers []*credit.SyncPacker
	for i := range entries {
		h := credit.NewHolder(ident.InstanceID(fmt.Sprintf("entry-%d", i)), "1")
		for _, g := range groups {
			h.Track(credit.BackendID(g.ID))
		}
		holders, packers = append(holders, h), append(packers, credit.NewSyncPacker())
	}
	replies, learner := make([]credit.ReplyUnpacker, entries), newLearner()
	bytes, now := 0, time.Duration(0)
	exchange := func(i int) {
		req := GroupSync{Service: "service", Sync: packers[i].Pack(holders[i].Sync(now)), Known: learner.known("service")}
		sent, err := wire.Marshal(req)
		assert.NilError(b, err)
		var got GroupSync
		assert.NilError(b, msgpack.Unmarshal(sent, &got))
		resp := o.answer(now, got.Sync)
		resp.Confirmations = o.facts.since(now, 1, got.Known, groups)
		received, err := wire.Marshal(resp)
		assert.NilError(b, err)
		var answer GroupSyncReply
		assert.NilError(b, msgpack.Unmarshal(received, &answer))
		packers[i].Answered(answer.Reply)
		reply, ok := replies[i].Unpack(answer.Reply)
		assert.Assert(b, ok)
		holders[i].Reply(now, reply)
		assert.Equal(b, len(learner.learn("service", answer.Confirmations, now)), n)
		bytes += len(sent) + len(received)
	}
	advance := func(round int) {
		now += credit.SyncInterval / time.Duration(entries)
		fresh := make([]*view.Group, n)
		for j, g := range groups {
			c := *g
			c.Confirmed = now - 200*time.Millisecond
			if busy {
				c.Status.HeldTokens = 100_000 + round%1000
				for _, h := range holders {
					h.SetWaiting(credit.BackendID(g.ID), credit.Amount{Requests: round % 2, Tokens: round % 1000}, false)
				}
			}
			fresh[j] = &c
			o.owner.Step(now, credit.Report{
				Backend: credit.BackendID(g.ID), Incarnation: g.Incarnation, Polled: true, Sent: now, Received: now, Running: 40,
				Limits: credit.Limits{Requests: 640, ColdRequests: 4, HeldTokens: 1_000_000},
			})
		}
		groups = fresh
		o.facts.update(groups)
	}
	round := 0
	for ; now < time.Minute; round++ {
		advance(round)
		exchange(round % entries)
	}
	bytes = 0
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		b.StopTimer()
		advance(round + i)
		b.StartTimer()
		exchange((round + i) % entries)
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "wire-bytes/op")
}
