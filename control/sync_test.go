package control

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/view"
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

// BenchmarkSync reports the bytes and the time of one exchange at an owner, by
// the number of groups. The facts are known already, as in steady state.
func BenchmarkSync(b *testing.B) {
	for _, n := range []int{9, 50, 228} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			groups := testGroups(n, 32, 0)
			var table factTable
			table.update(groups)
			owner := credit.NewOwner(1, 0)
			holder := credit.NewHolder("entry-1", "1")
			for _, g := range groups {
				holder.Track(credit.BackendID(g.ID))
				owner.Step(0, credit.Report{
					Backend: credit.BackendID(g.ID), Incarnation: g.Incarnation, Polled: true,
					Limits: credit.Limits{Requests: 64, ColdRequests: 4, HeldTokens: 1_000_000},
				})
			}
			bytes := 0
			for i := range b.N {
				now := time.Duration(i) * credit.SyncInterval
				req := GroupSync{Service: "service", Sync: holder.Sync(now), Known: Known{Epoch: 1, Version: table.version}}
				sent, err := msgpack.Marshal(req)
				assert.NilError(b, err)
				reply := owner.Step(now, req.Sync)[0].(credit.Reply)
				resp := GroupSyncReply{Granted: true, Reply: reply, Confirmations: table.since(now, 1, req.Known, groups)}
				received, err := msgpack.Marshal(resp)
				assert.NilError(b, err)
				holder.Reply(now, reply)
				bytes += len(sent) + len(received)
			}
			b.ReportMetric(float64(bytes)/float64(b.N), "wire-bytes/op")
		})
	}
}
