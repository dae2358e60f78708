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

// testGroups returns n groups with the given number of members.
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

// TestConfirmationCache guards against confirmations that stay valid longer than the
// owner's polls, against attributes of an earlier epoch, and against attributes that
// are sent twice or not at all.
func TestConfirmationCache(t *testing.T) {
	var table groupVersions
	groups := testGroups(2, 3, 9*time.Second)
	table.update(groups)
	cache := newConfirmationCache()
	first := table.confirmationsFor(10*time.Second, 4, cache.receivedVersion("s"), groups)
	assert.Equal(t, len(first.Attributes), 2)
	got := cache.applyReply("s", first, 100*time.Second)
	assert.Equal(t, len(got), 2)
	// The poll was 1 s old when the owner answered. The age counts back from when
	// the sync was sent.
	assert.Equal(t, got[0].Confirmed, 99*time.Second)
	assert.Assert(t, !got[0].Usable(99*time.Second+view.ConfirmTTL))

	reformed := *groups[1]
	reformed.Epoch++
	groups[1] = &reformed
	table.update(groups)
	second := table.confirmationsFor(10*time.Second, 4, cache.receivedVersion("s"), groups)
	assert.Equal(t, len(second.Attributes), 1)
	got = cache.applyReply("s", second, 101*time.Second)
	assert.Equal(t, got[1].Epoch, reformed.Epoch)

	assert.Equal(t, len(cache.applyReply("s", first, 102*time.Second)), 1, "the groups of an overtaken reply without the second group, whose attributes are newer")
	stale := first
	stale.Epoch = 3
	assert.Equal(t, len(cache.applyReply("s", stale, 103*time.Second)), 0, "the groups of a reply from an earlier owner")
}

// TestConfirmationCacheAppliesChanges guards against confirmations that are lost or
// wrongly added because replies omit unchanged groups. Groups change, appear and
// disappear, polls stop, and replies are lost, delayed or overtaken. Each reply that is
// not overtaken must confirm exactly the groups that the owner had when it answered,
// with their state at that time. A confirmation may not be newer than the poll of its
// group, and older only up to maxImplicitAge.
func TestConfirmationCacheAppliesChanges(t *testing.T) {
	const step = 100 * time.Millisecond
	omitted, overtaken := 0, 0
	for seed := range uint64(60) {
		rng := rand.New(rand.NewPCG(seed, 1))
		var table groupVersions
		epoch := ident.Epoch(1)
		cache := newConfirmationCache()
		type reply struct {
			c          Confirmations
			sent       time.Duration
			due        time.Duration
			sentGroups map[ident.GroupID]*view.Group
		}
		var inFlight []reply
		groups := testGroups(6, 2, 0)
		pollsStopped := map[ident.GroupID]bool{}
		newestVersion := uint64(0)
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
					pollsStopped[g.ID] = !pollsStopped[g.ID]
				}
				if !pollsStopped[g.ID] {
					c.Confirmed = now - time.Duration(rng.IntN(300))*time.Millisecond
				}
				if now-c.Confirmed < view.ConfirmTTL {
					next = append(next, &c)
				}
			}
			if rng.IntN(20) == 0 {
				returning := testGroups(6, 2, now)
				i := rng.IntN(len(returning))
				if !slices.ContainsFunc(next, func(g *view.Group) bool { return g.ID == returning[i].ID }) {
					delete(pollsStopped, returning[i].ID)
					next = append(next, returning[i])
				}
			}
			groups = next
			if rng.IntN(3) > 0 {
				table.update(groups)
			}
			if rng.IntN(150) == 0 { // Another owner takes over.
				table, epoch, newestVersion = groupVersions{}, epoch+1, 0
				cache.reset("s")
			}
			r := reply{c: table.confirmationsFor(now, epoch, cache.receivedVersion("s"), groups), sent: now, due: now + time.Duration(rng.IntN(700))*time.Millisecond, sentGroups: map[ident.GroupID]*view.Group{}}
			for _, g := range groups {
				r.sentGroups[g.ID] = g
			}
			if rng.IntN(8) > 0 {
				inFlight = append(inFlight, r)
			}
			waiting := inFlight
			inFlight = nil
			for _, r := range waiting {
				if r.due > now {
					inFlight = append(inFlight, r)
					continue
				}
				got := cache.applyReply("s", r.c, r.sent)
				for _, g := range got {
					want, ok := r.sentGroups[g.ID]
					assert.Assert(t, ok, "seed %d: %s is confirmed, but the owner did not have it", seed, g.ID)
					assert.Assert(t, g.Confirmed <= want.Confirmed && g.Confirmed >= min(want.Confirmed, r.sent-maxImplicitAge), "seed %d: age of the confirmation", seed)
					assert.Equal(t, g.Epoch, want.Epoch)
					assert.Equal(t, g.Cold, want.Cold)
					assert.Equal(t, g.Status.Running, want.Status.Running, "seed %d: running requests: now %v, sent %v, group %s, version %d, complete %v, received %+v, load in reply %v", seed, now, r.sent, g.ID, r.c.Version, r.c.Complete, cache.receivedVersion("s"), slices.ContainsFunc(r.c.Loads, func(x groupLoad) bool { return x.Group == g.ID }))
				}
				if r.c.Epoch == epoch && r.c.Version >= newestVersion && (r.c.Complete || cache.receivedVersion("s").Epoch == epoch) {
					newestVersion = r.c.Version
					assert.Equal(t, len(got), len(r.sentGroups), "seed %d at %v: number of groups confirmed by a reply that was not overtaken", seed, now)
				} else {
					overtaken++
				}
				omitted += len(got) - len(r.c.Loads)
			}
		}
	}
	assert.Assert(t, omitted > 10_000 && overtaken > 1000, "%d omitted confirmations, %d overtaken replies", omitted, overtaken)
}

// TestStatusWithoutPartner guards against a capacity without a partner that includes
// the partner's own groups or groups that get no new work.
func TestStatusWithoutPartner(t *testing.T) {
	groups := testGroups(4, 2, time.Second)
	groups[0].Partner, groups[1].Partner, groups[2].Partner = "firm-a", "firm-a", "firm-b"
	groups[1].Draining = true
	st := serviceStatus(&view.Service{Groups: groups}, time.Second)
	assert.Equal(t, st.Usable, 3)
	assert.DeepEqual(t, st.WithoutPartner, []operator.PartnerStatus{{Partner: "firm-a", Usable: 2}, {Partner: "firm-b", Usable: 2}})
}

// BenchmarkSync measures the bytes and the time of one exchange with an
// owner, by the number of groups. Either all groups are idle or all changed since the
// last exchange. The time includes the credit holder's side.
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
	o := &ownerState{owner: credit.NewOwner(1, 0), epoch: 1, peers: make(map[peerRun]*peerExchange)}
	var holders []*credit.Holder
	var packers []*credit.SyncDeltaEncoder
	for i := range entries {
		h := credit.NewHolder(ident.InstanceID(fmt.Sprintf("entry-%d", i)), "1")
		for _, g := range groups {
			h.Track(credit.BackendID(g.ID))
		}
		holders, packers = append(holders, h), append(packers, credit.NewSyncDeltaEncoder())
	}
	replies, confirmations := make([]credit.ReplyDeltaDecoder, entries), newConfirmationCache()
	bytes, now := 0, time.Duration(0)
	exchange := func(i int) {
		req := GroupSync{Service: "service", Sync: packers[i].Encode(holders[i].NextSync(now)), ReceivedVersion: confirmations.receivedVersion("service")}
		sent, err := wire.Marshal(req)
		assert.NilError(b, err)
		var got GroupSync
		assert.NilError(b, msgpack.Unmarshal(sent, &got))
		resp := o.handlePeerSync(now, got.Sync)
		resp.Confirmations = o.versions.confirmationsFor(now, 1, got.ReceivedVersion, groups)
		received, err := wire.Marshal(resp)
		assert.NilError(b, err)
		var answer GroupSyncReply
		assert.NilError(b, msgpack.Unmarshal(received, &answer))
		packers[i].RecordReply(answer.Reply)
		reply, ok := replies[i].Decode(answer.Reply)
		assert.Assert(b, ok)
		holders[i].ApplyReply(now, reply)
		assert.Equal(b, len(confirmations.applyReply("service", answer.Confirmations, now)), n)
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
		o.versions.update(groups)
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
