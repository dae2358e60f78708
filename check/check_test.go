package check

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

var historyStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns the time that is ms milliseconds after the start of the history.
func at(ms int) time.Time { return historyStart.Add(time.Duration(ms) * time.Millisecond) }

// cleanHistory returns a history that exercises every rule without a violation: a
// cold start at its limit, a retried order that ran once, a drain with work just
// before its limit, a change of members, a graceful shutdown and a killed entry
// instance.
func cleanHistory() *History {
	return &History{
		Callers: []Caller{
			{Request: "o1", Entry: "e1", Sent: at(0), Ended: at(50), Outcome: OutcomeNotRun},
			{Request: "o1", Entry: "e2", Sent: at(60), Ended: at(90), Outcome: OutcomeAnswered, Answer: "r1", Want: "r1", Complete: true},
			{Request: "q1", Entry: "e3", Sent: at(0), Ended: at(500), Outcome: OutcomeCut, EntryKilled: true},
			{Request: "q2", Entry: "e1", Sent: at(100), Ended: at(900), Outcome: OutcomeAnswered, Complete: true},
		},
		Served: []Served{
			{Request: "o1", Instance: "ord", Start: at(70), End: at(80), Ran: true, NonIdempotent: true},
			{Request: "q1", Instance: "w1", Incarnation: "w1-1", DataCentre: "a", Partner: "p", Start: at(10), End: at(100), Group: "g", Epoch: 1, HeldGroup: "g", HeldEpoch: 1, Cold: true, ColdLimit: 1, Ran: true},
			{Request: "q2", Instance: "w1", Incarnation: "w1-1", DataCentre: "a", Partner: "p", Start: at(100), End: at(900), Group: "g", Epoch: 1, HeldGroup: "g", HeldEpoch: 1, Cold: true, ColdLimit: 1, Ran: true},
			{Request: "q3", Instance: "w1", Incarnation: "w1-1", DataCentre: "a", Partner: "p", Start: at(6000), End: at(6100), Ran: true},
		},
		Memberships: []Membership{
			{At: at(0), Instance: "w1", Incarnation: "w1-1", Group: "g", Epoch: 1},
			{At: at(10), Instance: "w1", Incarnation: "w1-1", Group: "g", Epoch: 2},
			{At: at(20), Instance: "w1", Incarnation: "w1-1"},
			{At: at(30), Instance: "w1", Incarnation: "w1-1", Group: "h", Epoch: 1},
			{At: at(40), Instance: "w1", Incarnation: "w1-2", Group: "i", Epoch: 1},
		},
		GroupRows: []GroupRow{
			{Version: 1, Group: "g", Members: []ident.InstanceID{"w1", "w2"}},
			{Version: 2, Group: "h", Members: []ident.InstanceID{"w2"}},
			{Version: 2, Group: "g", Members: []ident.InstanceID{"w1"}},
		},
		Drains: []Drain{
			{Kind: DrainDataCentre, Name: "a", At: at(1000)},
			{Kind: DrainInstance, Name: "w1", At: at(1000)},
			{Kind: DrainPartner, Name: "p", At: at(500), Restored: at(5800)},
		},
		Lookups:   []Lookup{{At: at(6000), Entry: "e1", DataCentre: "a"}, {At: at(7000), Entry: "e2", DataCentre: "b"}},
		Shutdowns: []Shutdown{{Entry: "e1", At: at(500)}},
		Accepted: []Accepted{
			{Record: "service/s", Revision: 5, At: at(0)}, {Record: "drain/a", Revision: 6, At: at(1000)},
		},
		InForce: []InForce{
			{Node: "e1", Incarnation: "e1-1", Revision: 4, At: at(2999)},
			{Node: "e1", Incarnation: "e1-1", Revision: 5, At: at(3000)},
			{Node: "e2", Incarnation: "e2-1", Revision: 6, At: at(1001)},
		},
	}
}

// TestCleanHistory guards against rules that report permitted behaviour as a
// violation.
func TestCleanHistory(t *testing.T) {
	found := Check(cleanHistory(), DefaultLimits())
	assert.Equal(t, len(found), 0, "%v", found)
}

// TestSeededViolations guards against a rule that cannot fail. Each case makes one
// change to the clean history, which must violate exactly one promise.
func TestSeededViolations(t *testing.T) {
	cases := []struct {
		name    string
		promise Promise
		change  func(h *History)
	}{
		{"member not in the group", WholeGroup, func(h *History) { h.Served[1].BrokenMember = "w2" }},
		{"different epoch", WholeGroup, func(h *History) { h.Served[1].HeldEpoch = 2 }},
		{"joined second group without leaving the first", SingleMembership, func(h *History) {
			h.Memberships = append(h.Memberships[:2], h.Memberships[3:]...)
		}},
		{"two groups in the store", SingleMembership, func(h *History) { h.GroupRows[2].Version = 3; h.GroupRows[2].Members = h.GroupRows[0].Members }},
		{"cold limit exceeded", ColdLimit, func(h *History) { h.Served[1].End = at(101) }},
		{"cold request without an end", ColdLimit, func(h *History) { h.Served[1].End = time.Time{} }},
		{"work in a drained data centre", DataCentreDrain, func(h *History) {
			h.Served[3].Start, h.Served[3].Instance = at(6001), "w9"
		}},
		{"lookup names a drained data centre", DataCentreDrain, func(h *History) { h.Lookups[0].At = at(6001) }},
		{"connection ended before the answer", WholeAnswer, func(h *History) { h.Callers[2].EntryKilled = false }},
		{"answer of another request", WholeAnswer, func(h *History) { h.Callers[1].Answer = "r2" }},
		{"answer without an end marker", WholeAnswer, func(h *History) { h.Callers[3].Complete = false }},
		{"refused and run", TrueNotRun, func(h *History) { h.Served[0].Start = at(55) }},
		{"refused and run later", TrueNotRun, func(h *History) { h.Callers[1].Outcome = OutcomeNotRun }},
		{"order ran twice", AtMostOnce, func(h *History) { h.Served = append(h.Served, h.Served[0]) }},
		{"work on a drained instance", BackendDrain, func(h *History) {
			h.Served[3].Start, h.Served[3].DataCentre = at(6001), "b"
		}},
		{"work on a withdrawn partner", BackendDrain, func(h *History) {
			h.Drains[2].Restored = time.Time{}
		}},
		{"shutdown cut a connection", GracefulShutdown, func(h *History) { h.Callers[2].Entry, h.Callers[2].Ended = "e1", at(501) }},
		{"revision decreased", ConfigMonotonic, func(h *History) { h.InForce[2] = InForce{Node: "e1", Incarnation: "e1-1", Revision: 5, At: at(2000)} }},
		{"edit not in force", ConfigMonotonic, func(h *History) { h.InForce[0].At = at(3000); h.InForce = h.InForce[:1] }},
		{"edit lost to another with the same revision", ConfigMonotonic, func(h *History) { h.Accepted[1].Revision = 5 }},
	}
	covered := make(map[Promise]bool)
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := cleanHistory()
			c.change(h)
			found := Check(h, DefaultLimits())
			assert.Assert(t, len(found) > 0)
			for _, v := range found {
				assert.Equal(t, v.Promise, c.promise, "%s", v)
				assert.Assert(t, len(v.Events) > 0)
			}
		})
		covered[c.promise] = true
	}
	assert.Equal(t, len(covered), len(Rules()))
}

// BenchmarkCheck measures Check on a history of 100,000 requests.
func BenchmarkCheck(b *testing.B) {
	const n = 100_000
	h := &History{Drains: cleanHistory().Drains, Shutdowns: cleanHistory().Shutdowns}
	for i := range n {
		r := fmt.Sprintf("r%d", i)
		start := at(i)
		h.Callers = append(h.Callers, Caller{Request: r, Entry: "e1", Sent: start, Ended: start.Add(time.Second), Outcome: OutcomeAnswered, Complete: true})
		h.Served = append(h.Served, Served{Request: r, Instance: "w2", Incarnation: "w2-1", Start: start, End: start.Add(time.Second), Ran: true, NonIdempotent: true})
	}
	for b.Loop() {
		if found := Check(h, DefaultLimits()); len(found) > 0 {
			b.Fatal(found[0])
		}
	}
	b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
