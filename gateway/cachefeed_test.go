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

// cacheFeedTest contains the feeds of an owner and a follower, which read from the
// same leaders and share a clock.
type cacheFeedTest struct {
	t        *testing.T
	now      time.Duration
	mu       sync.Mutex
	reads    int
	events   []engine.CacheEvent
	feeds    [2]*CacheFeed
	balancer [2]*Balancer
}

func newCacheFeedTest(t *testing.T) *cacheFeedTest {
	r := &cacheFeedTest{t: t, now: 100 * time.Second}
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
		b.scheduler(testService).applySnapshot(r.now)
		r.balancer[i] = b
		r.feeds[i] = NewCacheFeed(b, r.read, telemetry.New())
	}
	return r
}

func (r *cacheFeedTest) read(_ context.Context, addr string, after uint64) ([]engine.CacheEvent, error) {
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

// advance moves the clock in steps of cacheTick. If epoch is greater than 0, the
// owner is alive and the follower syncs with it at every second step.
func (r *cacheFeedTest) advance(d time.Duration, epoch ident.Epoch) {
	owner, follower := r.feeds[0], r.feeds[1]
	for end := r.now + d; r.now < end; {
		r.now += cacheTick
		if epoch > 0 {
			owner.readDue(context.Background())
		}
		if epoch > 0 && r.now%(2*cacheTick) == 0 {
			ask := follower.NextEventRequest(testService)
			follower.ApplyEventResponse(testService, r.now, ask, owner.EventResponse(testService, epoch, ask))
		}
		follower.readDue(context.Background())
	}
}

// cached reports whether the follower's index contains a prefix for the first
// group.
func (r *cacheFeedTest) cached(prefix uint64) bool {
	s := r.balancer[1].scheduler(testService)
	q := routing.Request{PromptTokens: 64, Prefixes: []uint64{prefix}, FreeCredits: []int{1, 1}}
	i := s.policy.Pick(r.now, s.table, &q)
	return i >= 0 && s.targets[i].group.ID == "g-a" && s.table.UncachedTokens(i, &q) < 64
}

func (r *cacheFeedTest) addEvent(seq, prefix uint64) {
	r.events = append(r.events, engine.CacheEvent{Sequence: seq, Group: "g-a", Prefix: prefix, Tokens: 48})
}

// TestCacheFeedOwner guards against followers that read events which the owner
// relays, and against events that are lost or late when the owner dies. The
// follower must read events itself 700 ms and one tick after the owner's last
// answer.
func TestCacheFeedOwner(t *testing.T) {
	r := newCacheFeedTest(t)
	r.addEvent(1, 11)
	r.advance(3*time.Second, 5)
	assert.Assert(t, r.cached(11), "event that the owner read before the first sync")
	r.reads = 0
	r.addEvent(2, 12)
	r.advance(10*time.Second, 5)
	assert.Equal(t, r.reads, 20, "only the owner reads: two leaders, ten times")
	assert.Assert(t, r.cached(12), "relayed event")

	r.addEvent(3, 13)
	r.advance(relayFallbackTime, 0)
	assert.Assert(t, r.cached(13), "event read after the owner's death")
	r.reads = 0
	r.advance(4*time.Second, 0)
	assert.Equal(t, r.reads, 8, "the follower reads two leaders four times")

	// A new owner starts with an empty log. It does not relay events that it read
	// earlier, and no event in between is lost.
	r.addEvent(4, 14)
	r.advance(3*time.Second, 6)
	assert.Assert(t, r.cached(14))
	r.reads = 0
	r.advance(4*time.Second, 6)
	assert.Equal(t, r.reads, 8)
}

// relayFallbackTime is the time after which a follower reads events itself: an
// answer is valid for 700 ms, and the next tick reads.
const relayFallbackTime = 700*time.Millisecond + cacheTick
