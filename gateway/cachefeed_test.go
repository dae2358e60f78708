package gateway

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/routing"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

// cacheRig is two feeds before one leader, on one clock.
type cacheRig struct {
	t        *testing.T
	now      time.Duration
	mu       sync.Mutex
	reads    int
	events   []engine.CacheEvent
	feeds    [2]*CacheFeed
	balancer [2]*Balancer
}

func newCacheRig(t *testing.T) *cacheRig {
	r := &cacheRig{t: t, now: 100 * time.Second}
	doc := service.DefaultDocument()
	doc.Service, doc.Kind = testService, service.KindModel
	snap := view.New(view.Snapshot{Ready: true, Services: []*view.Service{{
		Document: doc,
		Groups: []*view.Group{
			{ID: "g-a", Epoch: 1, Confirmed: r.now, Leader: view.Backend{Address: "leader", Incarnation: "run-1"}, Limit: 4},
			{ID: "g-b", Epoch: 1, Confirmed: r.now, Leader: view.Backend{Address: "other", Incarnation: "run-2"}, Limit: 4},
		},
	}}})
	for i := range r.feeds {
		b := NewBalancer(view.Entry{Instance: ident.InstanceID(rune('a' + i))}, func() *view.Snapshot { return snap }, func() time.Duration { return r.now }, telemetry.New())
		b.lane(testService).refresh(r.now)
		r.balancer[i] = b
		r.feeds[i] = NewCacheFeed(b, r.read, telemetry.New())
	}
	return r
}

func (r *cacheRig) read(_ context.Context, addr string, after uint64) ([]engine.CacheEvent, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.reads++
	var out []engine.CacheEvent
	for _, e := range r.events {
		if addr == "leader" && e.Sequence > after {
			out = append(out, e)
		}
	}
	return out, nil
}

// pass lets time go on in steps of the feeds' ticks. While the owner lives, the
// follower syncs with it at every second one.
func (r *cacheRig) pass(d time.Duration, epoch ident.Epoch) {
	owner, follower := r.feeds[0], r.feeds[1]
	for end := r.now + d; r.now < end; {
		r.now += cacheTick
		if epoch > 0 {
			owner.round(context.Background())
		}
		if epoch > 0 && r.now%(2*cacheTick) == 0 {
			ask := follower.NextEventRequest(testService)
			follower.ApplyEventResponse(testService, r.now, ask, owner.EventResponse(testService, epoch, ask))
		}
		follower.round(context.Background())
	}
}

// cached reports whether the follower knows a prefix of the first group.
func (r *cacheRig) cached(prefix uint64) bool {
	l := r.balancer[1].lane(testService)
	q := routing.Request{PromptTokens: 64, Prefixes: []uint64{prefix}, FreeCredits: []int{1, 1}}
	i := l.policy.Pick(r.now, l.table, &q)
	return i >= 0 && l.targets[i].group.ID == "g-a" && l.table.UncachedTokens(i, &q) < 64
}

func (r *cacheRig) add(seq, prefix uint64) {
	r.events = append(r.events, engine.CacheEvent{Sequence: seq, Group: "g-a", Prefix: prefix, Tokens: 48})
}

// TestCacheFeedOwner guards against entry instances that read what the owner
// passes on, and against events that are lost or late when the owner dies: the
// follower reads itself 700 ms and one tick after the last answer, as it polls.
func TestCacheFeedOwner(t *testing.T) {
	r := newCacheRig(t)
	r.add(1, 11)
	r.pass(3*time.Second, 5)
	assert.Assert(t, r.cached(11), "event of before the owner was followed")
	r.reads = 0
	r.add(2, 12)
	r.pass(10*time.Second, 5)
	assert.Equal(t, r.reads, 20, "the owner alone reads two leaders ten times")
	assert.Assert(t, r.cached(12), "event passed on")

	r.add(3, 13)
	r.pass(relayDeath, 0)
	assert.Assert(t, r.cached(13), "event read after the owner's death")
	r.reads = 0
	r.pass(4*time.Second, 0)
	assert.Equal(t, r.reads, 8, "two leaders four times")

	// Another owner begins with its own log; what it had read earlier is not
	// passed on again, and nothing is lost between.
	r.add(4, 14)
	r.pass(3*time.Second, 6)
	assert.Assert(t, r.cached(14))
	r.reads = 0
	r.pass(4*time.Second, 6)
	assert.Equal(t, r.reads, 8)
}

// relayDeath is the fall-back time: an answer counts for 700 ms, and then the
// next tick reads.
const relayDeath = 700*time.Millisecond + cacheTick
