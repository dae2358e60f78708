package check

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

var origin = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// at returns an instant in milliseconds of the test history.
func at(ms int) time.Time { return origin.Add(time.Duration(ms) * time.Millisecond) }

// cleanHistory touches every rule without a violation: a cold start at its
// limit, a retried order that ran once, a drain with work just before its
// limit, a swap of members, a graceful shutdown and a killed entry.
func cleanHistory() *History {
	return &History{
		CallerRequests: []CallerRequest{
			{Request: "o1", Entry: "e1", SentAt: at(0), EndedAt: at(50), Outcome: OutcomeNotRun},
			{Request: "o1", Entry: "e2", SentAt: at(60), EndedAt: at(90), Outcome: OutcomeAnswered, Answer: "r1", WantAnswer: "r1", Complete: true},
			{Request: "q1", Entry: "e3", SentAt: at(0), EndedAt: at(500), Outcome: OutcomeCut, EntryKilled: true},
			{Request: "q2", Entry: "e1", SentAt: at(100), EndedAt: at(900), Outcome: OutcomeAnswered, Complete: true},
		},
		BackendRequests: []BackendRequest{
			{Request: "o1", Instance: "ord", StartedAt: at(70), EndedAt: at(80), Ran: true, NonIdempotent: true},
			{Request: "q1", Instance: "w1", Incarnation: "w1-1", DataCentre: "a", Partner: "p", StartedAt: at(10), EndedAt: at(100), Group: "g", Epoch: 1, ServerGroup: "g", ServerEpoch: 1, ColdStart: true, ColdLimit: 1, Ran: true},
			{Request: "q2", Instance: "w1", Incarnation: "w1-1", DataCentre: "a", Partner: "p", StartedAt: at(100), EndedAt: at(900), Group: "g", Epoch: 1, ServerGroup: "g", ServerEpoch: 1, ColdStart: true, ColdLimit: 1, Ran: true},
			{Request: "q3", Instance: "w1", Incarnation: "w1-1", DataCentre: "a", Partner: "p", StartedAt: at(6000), EndedAt: at(6100), Ran: true},
		},
		MembershipChanges: []MembershipChange{
			{ChangedAt: at(0), Instance: "w1", Incarnation: "w1-1", Group: "g", Epoch: 1},
			{ChangedAt: at(10), Instance: "w1", Incarnation: "w1-1", Group: "g", Epoch: 2},
			{ChangedAt: at(20), Instance: "w1", Incarnation: "w1-1"},
			{ChangedAt: at(30), Instance: "w1", Incarnation: "w1-1", Group: "h", Epoch: 1},
			{ChangedAt: at(40), Instance: "w1", Incarnation: "w1-2", Group: "i", Epoch: 1},
		},
		GroupRows: []GroupRow{
			{Version: 1, Group: "g", Members: []ident.InstanceID{"w1", "w2"}},
			{Version: 2, Group: "h", Members: []ident.InstanceID{"w2"}},
			{Version: 2, Group: "g", Members: []ident.InstanceID{"w1"}},
		},
		Drains: []Drain{
			{Kind: DrainDataCentre, Name: "a", AcceptedAt: at(1000)},
			{Kind: DrainInstance, Name: "w1", AcceptedAt: at(1000)},
			{Kind: DrainPartner, Name: "p", AcceptedAt: at(500), RestoredAt: at(5800)},
		},
		Lookups:   []LookupAnswer{{AnsweredAt: at(6000), Entry: "e1", DataCentre: "a"}, {AnsweredAt: at(7000), Entry: "e2", DataCentre: "b"}},
		Shutdowns: []Shutdown{{Entry: "e1", StartedAt: at(500)}},
		AcceptedEdits: []AcceptedEdit{
			{Record: "service/s", Revision: 5, AcceptedAt: at(0)}, {Record: "drain/a", Revision: 6, AcceptedAt: at(1000)},
		},
		ActiveRevisions: []ActiveRevision{
			{Node: "e1", Incarnation: "e1-1", Revision: 4, ObservedAt: at(2999)},
			{Node: "e1", Incarnation: "e1-1", Revision: 5, ObservedAt: at(3000)},
			{Node: "e2", Incarnation: "e2-1", Revision: 6, ObservedAt: at(1001)},
		},
	}
}

// TestCleanHistory guards against rules that report allowed behaviour.
func TestCleanHistory(t *testing.T) {
	found := Check(cleanHistory(), DefaultLimits())
	assert.Equal(t, len(found), 0, "%v", found)
}

// TestSeededViolations guards against a rule that cannot fail: each seed
// changes the clean history in one point and must break one promise only.
func TestSeededViolations(t *testing.T) {
	seeds := []struct {
		name    string
		promise Promise
		seed    func(h *History)
	}{
		{"member outside the group", WholeGroup, func(h *History) { h.BackendRequests[1].MissingMember = "w2" }},
		{"other epoch", WholeGroup, func(h *History) { h.BackendRequests[1].ServerEpoch = 2 }},
		{"joined without leaving", SingleMembership, func(h *History) {
			h.MembershipChanges = append(h.MembershipChanges[:2], h.MembershipChanges[3:]...)
		}},
		{"two groups in the store", SingleMembership, func(h *History) { h.GroupRows[2].Version = 3; h.GroupRows[2].Members = h.GroupRows[0].Members }},
		{"cold overload", ColdLimit, func(h *History) { h.BackendRequests[1].EndedAt = at(101) }},
		{"cold request without an end", ColdLimit, func(h *History) { h.BackendRequests[1].EndedAt = time.Time{} }},
		{"work in a drained data centre", DataCentreDrain, func(h *History) {
			h.BackendRequests[3].StartedAt, h.BackendRequests[3].Instance = at(6001), "w9"
		}},
		{"lookup names a drained data centre", DataCentreDrain, func(h *History) { h.Lookups[0].AnsweredAt = at(6001) }},
		{"cut stream", WholeAnswer, func(h *History) { h.CallerRequests[2].EntryKilled = false }},
		{"answer of another request", WholeAnswer, func(h *History) { h.CallerRequests[1].Answer = "r2" }},
		{"answer without an end", WholeAnswer, func(h *History) { h.CallerRequests[3].Complete = false }},
		{"refused and run", TrueNotRun, func(h *History) { h.BackendRequests[0].StartedAt = at(55) }},
		{"refused and run later", TrueNotRun, func(h *History) { h.CallerRequests[1].Outcome = OutcomeNotRun }},
		{"order twice", AtMostOnce, func(h *History) { h.BackendRequests = append(h.BackendRequests, h.BackendRequests[0]) }},
		{"work on a drained instance", BackendDrain, func(h *History) {
			h.BackendRequests[3].StartedAt, h.BackendRequests[3].DataCentre = at(6001), "b"
		}},
		{"work on a withdrawn partner", BackendDrain, func(h *History) {
			h.Drains[2].RestoredAt = time.Time{}
		}},
		{"shutdown cuts", GracefulShutdown, func(h *History) { h.CallerRequests[2].Entry, h.CallerRequests[2].EndedAt = "e1", at(501) }},
		{"revision falls", ConfigMonotonic, func(h *History) {
			h.ActiveRevisions[2] = ActiveRevision{Node: "e1", Incarnation: "e1-1", Revision: 5, ObservedAt: at(2000)}
		}},
		{"edit not in force", ConfigMonotonic, func(h *History) {
			h.ActiveRevisions[0].ObservedAt = at(3000)
			h.ActiveRevisions = h.ActiveRevisions[:1]
		}},
		{"lost edit", ConfigMonotonic, func(h *History) { h.AcceptedEdits[1].Revision = 5 }},
	}
	covered := make(map[Promise]bool)
	for _, s := range seeds {
		t.Run(s.name, func(t *testing.T) {
			h := cleanHistory()
			s.seed(h)
			found := Check(h, DefaultLimits())
			assert.Assert(t, len(found) > 0)
			for _, v := range found {
				assert.Equal(t, v.Promise, s.promise, "%s", v)
				assert.Assert(t, len(v.Events) > 0)
			}
		})
		covered[s.promise] = true
	}
	assert.Equal(t, len(covered), len(Rules()))
}

// BenchmarkCheck measures the checker on a history of 100,000 requests.
func BenchmarkCheck(b *testing.B) {
	const n = 100_000
	h := &History{Drains: cleanHistory().Drains, Shutdowns: cleanHistory().Shutdowns}
	for i := range n {
		r := fmt.Sprintf("r%d", i)
		start := at(i)
		h.CallerRequests = append(h.CallerRequests, CallerRequest{Request: r, Entry: "e1", SentAt: start, EndedAt: start.Add(time.Second), Outcome: OutcomeAnswered, Complete: true})
		h.BackendRequests = append(h.BackendRequests, BackendRequest{Request: r, Instance: "w2", Incarnation: "w2-1", StartedAt: start, EndedAt: start.Add(time.Second), Ran: true, NonIdempotent: true})
	}
	for b.Loop() {
		if found := Check(h, DefaultLimits()); len(found) > 0 {
			b.Fatal(found[0])
		}
	}
	b.ReportMetric(float64(n)*float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
