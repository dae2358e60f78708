package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// stalePeers implements Peers with outdated loads of other entry instances.
type stalePeers struct {
	entries        int
	inFlight       func(ident.InstanceID) int
	failureReports map[ident.InstanceID]int
	successReports map[ident.InstanceID]int
}

func (l *stalePeers) InFlight(id ident.InstanceID) int { return l.inFlight(id) }
func (l *stalePeers) HealthReports(id ident.InstanceID) (int, int) {
	return l.failureReports[id], l.successReports[id]
}
func (l *stalePeers) Rank(string) int     { return 0 }
func (l *stalePeers) AliveInstances() int { return l.entries }

// Entry instances see each other's loads with a delay. If each of them used the
// least loaded group, all requests within the delay would go to a group that has just
// become idle, and it would miss its latency goal.
func TestIdleGroupIsNotOverloaded(t *testing.T) {
	const (
		entries  = 84
		groups   = 6
		requests = 30 // of all entry instances within the delay
		busy     = 10
	)
	loads := make(map[ident.InstanceID]int)
	servers := testHeads(groups)
	for _, s := range servers[1:] {
		loads[s.ID] = busy
	}
	peers := &stalePeers{entries: entries, inFlight: func(id ident.InstanceID) int { return loads[id] }}
	var worst int
	for range 50 {
		got := make(map[ident.InstanceID]int)
		for range requests {
			r := newTestCall(peers, servers)
			s, _, outcome := r.pick(0)
			assert.Equal(t, outcome, picked)
			got[s.ID]++
		}
		worst = max(worst, got["h0"])
	}
	assert.Assert(t, worst <= requests*2/3, "%d of %d requests went to one group", worst, requests)
}

func newTestCall(loads Peers, servers []fleet.Server) *call {
	h := New(Options{Headers: testHeaders(), Now: func() time.Duration { return 0 }, Peers: loads, ColdFactor: 1.5, ColdSlack: 5})
	l := fleet.NewList()
	for _, s := range servers {
		l.Put(s)
	}
	h.SetView(NewView(testRoutes(), l.Snapshot(), nil))
	r := httptest.NewRequest(http.MethodPost, "/s/", nil)
	return &call{handler: h, request: r, view: h.View(), route: &route.Route{Kind: route.Streaming}, service: "llm", model: "m"}
}

// Requests beyond the capacity of all groups are refused at once, instead of missing
// their latency goal in the queues of backend servers.
func TestFullGroupsAreRefused(t *testing.T) {
	full := &stalePeers{entries: 7, inFlight: func(ident.InstanceID) int { return 26 }}
	s := fleet.Server{
		ID: "h", Incarnation: "1", Service: "llm", Model: "m", Slots: 23, Version: 1,
		Membership: fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open},
	}
	_, _, outcome := newTestCall(full, []fleet.Server{s}).pick(0)
	assert.Equal(t, outcome, someBusy)
}

// The requests that all entry instances together send to a cold backend server in any
// second stay within its limit.
func TestColdLimitOverAllEntries(t *testing.T) {
	for _, entries := range []int{1, 7, 84} {
		s := fleet.Server{
			ID: "h", Incarnation: "1", Service: "llm", Model: "m", Slots: 1000, Version: 1, ColdUntil: time.Hour,
			Membership: fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open},
		}
		loads := &stalePeers{entries: entries, inFlight: func(ident.InstanceID) int { return 0 }}
		calls := make([]*call, entries)
		for i := range calls {
			calls[i] = newTestCall(loads, []fleet.Server{s})
		}
		var sent []time.Duration
		for now := time.Duration(0); now < 4*time.Second; now += 5 * time.Millisecond {
			for range 3 {
				c := calls[rand.IntN(entries)]
				if _, b, outcome := c.pick(now); outcome == picked {
					b.recordColdSend(now)
					sent = append(sent, now)
				}
			}
		}
		const bound = 10*1.5 + 5 // rate, factor and slack of the test's service
		for i, from := range sent {
			n := 0
			for _, at := range sent[i:] {
				if at-from < time.Second {
					n++
				}
			}
			assert.Assert(t, n <= bound, "%d entry instances: %d requests in a second", entries, n)
		}
	}
}

// A paused group gets no requests until the pause ends or it is re-formed.
func TestPause(t *testing.T) {
	s := fleet.Server{
		ID: "h", Incarnation: "1", Service: "llm", Model: "m", Slots: 23, Version: 1,
		Membership: fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open},
	}
	c := newTestCall(noPeers{}, []fleet.Server{s})
	_, b, _ := c.pick(0)
	// Concurrent requests that stall pause the group once; they do not make the pause
	// longer.
	for range 10 {
		b.pauseAfterFailure(1, 0, time.Second)
	}
	_, _, outcome := c.pick(900 * time.Millisecond)
	assert.Equal(t, outcome, noServer)
	_, _, outcome = c.pick(time.Second)
	assert.Equal(t, outcome, picked)
	b.pauseAfterFailure(1, time.Second, time.Second)
	s.Epoch = 2
	assert.Assert(t, !b.paused(&s, time.Second))
}

// A group head resets the connection of each request although it is listed as healthy.
// It has the least load of all, so it would get most requests of the entry instances
// that have not tried it yet. The reports of the others keep requests from it.
func TestHeadThatFailsAllRequestsIsAvoided(t *testing.T) {
	servers := testHeads(4)
	loads := &stalePeers{
		entries: 84,
		inFlight: func(id ident.InstanceID) int {
			if id == "h0" {
				return 0
			}
			return 12
		},
		failureReports: map[ident.InstanceID]int{"h0": minFailureReports},
	}
	for range 200 {
		s, _, outcome := newTestCall(loads, servers).pick(0)
		assert.Equal(t, outcome, picked)
		assert.Assert(t, s.ID != "h0")
	}
	// A head that fails only some requests has answered some entry instances recently,
	// and is used.
	loads.failureReports["h1"], loads.successReports = 20, map[ident.InstanceID]int{"h1": 10}
	got := 0
	for range 200 {
		if s, _, _ := newTestCall(loads, servers).pick(0); s.ID == "h1" {
			got++
		}
	}
	assert.Assert(t, got > 0)
}

// If all servers fail all requests, they are used nevertheless: there are no others.
func TestAllServersFail(t *testing.T) {
	loads := &stalePeers{entries: 84, inFlight: func(ident.InstanceID) int { return 0 }, failureReports: map[ident.InstanceID]int{}}
	for i := range 3 {
		loads.failureReports[ident.InstanceID(fmt.Sprint("h", i))] = 9
	}
	_, _, outcome := newTestCall(loads, testHeads(3)).pick(0)
	assert.Equal(t, outcome, picked)
}

// testHeads returns the heads of n open groups.
func testHeads(n int) []fleet.Server {
	var out []fleet.Server
	for i := range n {
		id := ident.InstanceID(fmt.Sprint("h", i))
		out = append(out, fleet.Server{
			ID: id, Incarnation: "1", Service: "llm", Model: "m", Slots: 23, Version: 1,
			Membership: fleet.Membership{Group: ident.GroupID(id), Epoch: 1, State: fleet.Open},
		})
	}
	return out
}
