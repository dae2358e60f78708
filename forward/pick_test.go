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
)

// lateLoads are the loads of other entry instances as of some time ago.
type lateLoads struct {
	entries    int
	known      func(ident.InstanceID) int
	complaints map[ident.InstanceID]int
	vouchers   map[ident.InstanceID]int
}

func (l *lateLoads) InFlight(id ident.InstanceID) int { return l.known(id) }
func (l *lateLoads) HealthReports(id ident.InstanceID) (int, int) {
	return l.complaints[id], l.vouchers[id]
}
func (l *lateLoads) Entries() int { return l.entries }

// Pattern: many entry instances see each other's loads late, and one group has
// just become free. If each takes the least loaded group, all requests of the
// delay go to it: its passes grow past the goal.
func TestFreeGroupIsNotOverrun(t *testing.T) {
	const (
		entries  = 84
		groups   = 6
		requests = 30 // of one delay, over all entry instances
		busy     = 10
	)
	loads := make(map[ident.InstanceID]int)
	servers := testHeads(groups)
	for _, s := range servers[1:] {
		loads[s.ID] = busy
	}
	late := &lateLoads{entries: entries, known: func(id ident.InstanceID) int { return loads[id] }}
	var worst int
	for range 50 {
		got := make(map[ident.InstanceID]int)
		for range requests {
			r := newEntry(late, servers)
			s, _, why := r.pick(0)
			assert.Equal(t, why, chosen)
			got[s.ID]++
		}
		worst = max(worst, got["h0"])
	}
	assert.Assert(t, worst <= requests*2/3, "%d of %d requests went to one group", worst, requests)
}

func newEntry(loads Peers, servers []fleet.Server) *call {
	h := New(Options{Headers: testHeaders(), Now: func() time.Duration { return 0 }, Peers: loads, ColdFactor: 1.5, ColdSlack: 5})
	l := fleet.NewList()
	for _, s := range servers {
		l.Put(s)
	}
	h.SetView(NewView(testRoutes(), l.Snapshot(), nil))
	r := httptest.NewRequest(http.MethodPost, "/s/", nil)
	return &call{h: h, r: r, view: h.View(), service: "llm", model: "m"}
}

// Pattern: more requests than all groups have places. They are refused at once
// instead of waiting in the queues of backend servers past their goal.
func TestFullGroupsTakeNoMore(t *testing.T) {
	full := &lateLoads{entries: 7, known: func(ident.InstanceID) int { return 26 }}
	s := fleet.Server{
		ID: "h", Incarnation: "1", Service: "llm", Model: "m", Slots: 23, Version: 1,
		Membership: fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open},
	}
	_, _, why := newEntry(full, []fleet.Server{s}).pick(0)
	assert.Equal(t, why, allBusy)
}

// Pattern: a cold backend server while all entry instances have requests for it.
// What all of them send in any second stays below what it bears.
func TestColdServerOverAllEntries(t *testing.T) {
	for _, entries := range []int{1, 7, 84} {
		s := fleet.Server{
			ID: "h", Incarnation: "1", Service: "llm", Model: "m", Slots: 1000, Version: 1, ColdUntil: time.Hour,
			Membership: fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open},
		}
		loads := &lateLoads{entries: entries, known: func(ident.InstanceID) int { return 0 }}
		calls := make([]*call, entries)
		for i := range calls {
			calls[i] = newEntry(loads, []fleet.Server{s})
		}
		var sent []time.Duration
		for now := time.Duration(0); now < 4*time.Second; now += 5 * time.Millisecond {
			for range 3 {
				c := calls[rand.IntN(entries)]
				if _, b, why := c.pick(now); why == chosen {
					b.countCold(now)
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
			assert.Assert(t, n <= bound, "%d entries: %d in a second", entries, n)
		}
	}
}

// A paused group takes nothing until its pause ends or it is formed anew.
func TestPause(t *testing.T) {
	s := fleet.Server{
		ID: "h", Incarnation: "1", Service: "llm", Model: "m", Slots: 23, Version: 1,
		Membership: fleet.Membership{Group: "g", Epoch: 1, State: fleet.Open},
	}
	c := newEntry(alone{}, []fleet.Server{s})
	_, b, _ := c.pick(0)
	// Requests that stalled together pause the group once, not longer and longer.
	for range 10 {
		b.failed(1, 0, time.Second)
	}
	_, _, why := c.pick(900 * time.Millisecond)
	assert.Equal(t, why, noServer)
	_, _, why = c.pick(time.Second)
	assert.Equal(t, why, chosen)
	b.failed(1, time.Second, time.Second)
	s.Epoch = 2
	assert.Assert(t, !b.paused(&s, time.Second))
}

// Pattern: false health. A head resets each request although its entry says that
// it serves. It looks the least loaded of all, so that it would get most requests
// of entry instances that have not met it; what the others say keeps them away.
func TestHeadThatFailsAllIsShunned(t *testing.T) {
	servers := testHeads(4)
	loads := &lateLoads{
		entries: 84,
		known: func(id ident.InstanceID) int {
			if id == "h0" {
				return 0
			}
			return 12
		},
		complaints: map[ident.InstanceID]int{"h0": shunFrom},
	}
	for range 200 {
		s, _, why := newEntry(loads, servers).pick(0)
		assert.Equal(t, why, chosen)
		assert.Assert(t, s.ID != "h0")
	}
	// One that loses a part of its answers has some to vouch for it, and is used.
	loads.complaints["h1"], loads.vouchers = 20, map[ident.InstanceID]int{"h1": 10}
	got := 0
	for range 200 {
		if s, _, _ := newEntry(loads, servers).pick(0); s.ID == "h1" {
			got++
		}
	}
	assert.Assert(t, got > 0)
}

// Servers that all fail are used all the same: there is no better one.
func TestAllServersFail(t *testing.T) {
	loads := &lateLoads{entries: 84, known: func(ident.InstanceID) int { return 0 }, complaints: map[ident.InstanceID]int{}}
	for i := range 3 {
		loads.complaints[ident.InstanceID(fmt.Sprint("h", i))] = 9
	}
	_, _, why := newEntry(loads, testHeads(3)).pick(0)
	assert.Equal(t, why, chosen)
}

// testHeads returns the heads of open groups.
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
