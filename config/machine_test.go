package config_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
)

// TestConvergenceUnderFaults runs concurrent edits under faults of the store, the
// network and the processes. It guards against a node that reverts to a lower
// revision, an accepted edit that does not reach every node, two edits that both
// replace one revision, and an error that says "did not apply" about an edit that
// applied.
func TestConvergenceUnderFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 6).Draw(rt, "nodes"), rt.Fatalf)
		s.saveStaleRows()
		s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "loss")
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")]
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				s.table.unavailable = !s.table.unavailable
			case 1:
				s.table.lostOutcome = rapid.SampledFrom([]string{"", "applied", "late"}).Draw(rt, "lostOutcome")
			case 2:
				s.table.servesStale = !s.table.servesStale
			case 3:
				s.saveStaleRows()
			case 4:
				n.disconnected = !n.disconnected
			case 5:
				s.restart(rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "restart"))
			default:
				k := config.ServiceKey(ident.ServiceName(fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(rt, "service"))))
				verb := rapid.SampledFrom([]config.Verb{config.VerbApply, config.VerbApply, config.VerbDelete}).Draw(rt, "verb")
				for _, editor := range s.nodes[:rapid.IntRange(1, len(s.nodes)).Draw(rt, "editors")] {
					s.edit(editor, k, verb, n.recordRevisions[k])
				}
			}
			s.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
		}
		s.clearFaults()
		s.run(20 * time.Second)
		s.checkConverged()
		s.checkAudit()
	})
}

// checkConverged compares every node with the store.
func (s *sim) checkConverged() {
	head, records, err := s.store.Scan(context.Background())
	if err != nil {
		s.fail("scan: %v", err)
	}
	for _, n := range s.nodes {
		if n.viewRevision != head || n.readyAt == 0 {
			s.fail("%s holds revision %d of %d, ready at %v", n.addr, n.viewRevision, head, n.readyAt)
		}
		for _, r := range records {
			if n.recordRevisions[r.Key] != r.Revision {
				s.fail("%s holds %s at revision %d, the store at %d", n.addr, r.Key, n.recordRevisions[r.Key], r.Revision)
			}
		}
	}
}

// checkAudit compares the results of edits with the audit rows.
func (s *sim) checkAudit() {
	type replacedRevision struct {
		key    config.Key
		before ident.Revision
	}
	applied := make(map[ident.AttemptID]ident.Revision)
	replacedBy := make(map[replacedRevision]ident.AttemptID)
	for r := ident.Revision(1); ; r++ {
		a, version, err := s.store.Audit(context.Background(), r)
		if err != nil || version == 0 {
			break
		}
		applied[a.Attempt] = a.After
		replaced := replacedRevision{a.Key, a.Before}
		if other, ok := replacedBy[replaced]; ok {
			s.fail("edits %s and %s both replaced revision %d of %s", other, a.Attempt, a.Before, a.Key)
		}
		replacedBy[replaced] = a.Attempt
	}
	for id, a := range s.answers {
		r, ok := applied[id]
		switch {
		case a.Err == nil && (!ok || r != a.Revision):
			s.fail("edit %s was accepted at revision %d, its audit row has %d", id, a.Revision, r)
		case a.Err != nil && !errors.Is(a.Err, config.ErrOutcomeUnknown) && ok:
			s.fail("edit %s failed with %v but applied at revision %d", id, a.Err, r)
		}
	}
}

// TestMissedPushes guards against an accepted edit that takes longer than the
// required 3 s to be in force everywhere when no peer can be reached, so that
// every push is lost.
func TestMissedPushes(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(seed, 4, t.Fatalf)
		s.run(3 * time.Second)
		for _, n := range s.nodes {
			n.disconnected = true
		}
		id := s.edit(s.nodes[0], config.ServiceKey("s"), config.VerbApply, 0)
		for s.answers[id].Revision == 0 {
			s.run(time.Millisecond)
		}
		s.run(3 * time.Second)
		s.checkConverged()
	}
}

// TestPushesReachAllNodes guards against a push or relay that skips a node, which
// then learns of the edit only from its polls. Without faults an edit is in force
// everywhere after a few network hops.
func TestPushesReachAllNodes(t *testing.T) {
	s := newSim(3, 9, t.Fatalf)
	s.run(3 * time.Second)
	for i := range 20 {
		key := config.ServiceKey(ident.ServiceName(fmt.Sprintf("s%d", i)))
		id := s.edit(s.nodes[i%9], key, config.VerbApply, 0)
		for s.answers[id].Revision == 0 {
			s.run(time.Millisecond)
		}
		s.run(60 * time.Millisecond)
		s.checkConverged()
	}
}

// TestJoinDuringOutage guards against a process that starts while the store is
// down and becomes ready with an older configuration than its peers hold, or with
// none.
func TestJoinDuringOutage(t *testing.T) {
	s := newSim(7, 4, t.Fatalf)
	s.run(3 * time.Second)
	for i := range 30 {
		s.edit(s.nodes[i%3], config.ServiceKey(ident.ServiceName(fmt.Sprintf("s%d", i))), config.VerbApply, 0)
		s.run(200 * time.Millisecond)
	}
	s.table.unavailable = true
	s.restart(3)
	s.run(3 * time.Second)
	n := s.nodes[3]
	assert.Assert(t, n.readyAt > 0, "the restarted process did not become ready")
	assert.Equal(t, n.readyRevision, ident.Revision(30))

	id := s.edit(s.nodes[0], config.ServiceKey("s0"), config.VerbApply, 1)
	s.run(6 * time.Second)
	assert.Assert(t, errors.Is(s.answers[id].Err, config.ErrStoreUnavailable))

	// If all processes restart now, none of them can determine the floor, so none
	// may become ready.
	for i := range s.nodes {
		s.restart(i)
	}
	s.run(10 * time.Second)
	for _, n := range s.nodes {
		assert.Assert(t, n.readyAt == 0)
	}
	s.clearFaults()
	s.run(5 * time.Second)
	s.checkConverged()
}

// TestRejectedEdits guards against an accepted edit by a team that does not own
// the document, and against a conflict error without the current revision.
func TestRejectedEdits(t *testing.T) {
	s := newSim(1, 1, t.Fatalf)
	s.run(3 * time.Second)
	key := config.ServiceKey("s")
	first := s.edit(s.nodes[0], key, config.VerbApply, 0)
	stale := s.edit(s.nodes[0], key, config.VerbApply, 0)
	s.step(s.nodes[0], s.nodes[0].machine, config.EditRequested{Edit: config.Edit{
		Attempt: "other", Team: "other", Owner: "other", Verb: config.VerbApply, Key: key, Expected: 1,
	}})
	s.run(time.Second)
	assert.NilError(t, s.answers[first].Err)
	var conflict *config.ConflictError
	assert.Assert(t, errors.As(s.answers[stale].Err, &conflict))
	assert.Equal(t, conflict.Current, ident.Revision(1))
	var owner *config.OwnerError
	assert.Assert(t, errors.As(s.answers["other"].Err, &owner))
	assert.Equal(t, owner.Owner, ident.Team("team"))
}

// TestLargeRecords guards against a push or a pull response that does not fit a
// frame of 1 MiB, and against records that paging omits.
func TestLargeRecords(t *testing.T) {
	s := newSim(5, 3, t.Fatalf)
	s.run(3 * time.Second)
	s.maxMessage = 600 << 10
	s.padding = 200 << 10
	pulls := s.nodes[2].machine.Counters.Pulls
	for i := range 12 {
		s.edit(s.nodes[0], config.ServiceKey(ident.ServiceName(fmt.Sprintf("s%d", i))), config.VerbApply, 0)
	}
	s.run(time.Second)
	s.checkConverged()
	assert.Equal(t, s.nodes[2].machine.Counters.Pulls, pulls, "node 2 had to pull records that should arrive by push")
	s.table.unavailable = true
	s.restart(1)
	s.run(3 * time.Second)
	assert.Equal(t, s.nodes[1].readyRevision, ident.Revision(12))
}

// TestReorderedPushes guards against a view that is not published when a late
// push of an older record changes no record but closes the gap in the revisions.
func TestReorderedPushes(t *testing.T) {
	s := newSim(1, 1, t.Fatalf)
	m := s.nodes[0].machine
	key := config.ServiceKey("s")
	var published ident.Revision
	for _, r := range []ident.Revision{2, 1} {
		push := config.PushMessage{Records: []config.Record{{Key: key, Revision: r, Deleted: true}}}
		for _, a := range m.Step(0, config.PushReceived{Message: push}) {
			if _, ok := a.(config.Publish); ok {
				published = m.View().Revision
			}
		}
	}
	assert.Equal(t, published, ident.Revision(2))
}
