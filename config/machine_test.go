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

// TestSpread runs racing edits under faults of the store, the network and the
// processes. It guards against a node that goes back, an accepted edit that
// does not reach every connected node, two winners of one revision, and a
// refusal that says "did not apply" of an edit that did.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := newSim(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 6).Draw(rt, "nodes"), rt.Fatalf)
		s.snapshot()
		s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(rt, "loss")
		for range rapid.IntRange(1, 40).Draw(rt, "steps") {
			n := s.nodes[rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "node")]
			switch rapid.IntRange(0, 9).Draw(rt, "step") {
			case 0:
				s.table.down = !s.table.down
			case 1:
				s.table.lose = rapid.SampledFrom([]string{"", "applied", "late"}).Draw(rt, "lose")
			case 2:
				s.table.stale = !s.table.stale
			case 3:
				s.snapshot()
			case 4:
				n.cut = !n.cut
			case 5:
				s.restart(rapid.IntRange(0, len(s.nodes)-1).Draw(rt, "restart"))
			default:
				k := config.ServiceKey(ident.ServiceName(fmt.Sprintf("s%d", rapid.IntRange(0, 2).Draw(rt, "service"))))
				verb := rapid.SampledFrom([]config.Verb{config.VerbApply, config.VerbApply, config.VerbDelete}).Draw(rt, "verb")
				for _, racer := range s.nodes[:rapid.IntRange(1, len(s.nodes)).Draw(rt, "racers")] {
					s.edit(racer, k, verb, n.seen[k])
				}
			}
			s.run(time.Duration(rapid.IntRange(0, 3000).Draw(rt, "ms")) * time.Millisecond)
		}
		s.heal()
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
		if n.complete != head || n.readyAt == 0 {
			s.fail("%s holds revision %d of %d, ready at %v", n.addr, n.complete, head, n.readyAt)
		}
		for _, r := range records {
			if n.seen[r.Key] != r.Revision {
				s.fail("%s holds %s at revision %d, the store at %d", n.addr, r.Key, n.seen[r.Key], r.Revision)
			}
		}
	}
}

// checkAudit compares the answers of edits with the audit rows.
func (s *sim) checkAudit() {
	type step struct {
		key    config.Key
		before ident.Revision
	}
	applied := make(map[ident.AttemptID]ident.Revision)
	winners := make(map[step]ident.AttemptID)
	for r := ident.Revision(1); ; r++ {
		a, version, err := s.store.Audit(context.Background(), r)
		if err != nil || version == 0 {
			break
		}
		applied[a.Attempt] = a.After
		at := step{a.Key, a.Before}
		if other, ok := winners[at]; ok {
			s.fail("edits %s and %s both replaced revision %d of %s", other, a.Attempt, a.Before, a.Key)
		}
		winners[at] = a.Attempt
	}
	for id, a := range s.answers {
		r, ok := applied[id]
		switch {
		case a.Err == nil && (!ok || r != a.Revision):
			s.fail("edit %s was accepted at revision %d, the audit row says %d", id, a.Revision, r)
		case a.Err != nil && !errors.Is(a.Err, config.ErrOutcomeUnknown) && ok:
			s.fail("edit %s was refused (%v) but applied at revision %d", id, a.Err, r)
		}
	}
}

// TestMissedPushes guards against an accepted edit that takes longer than the
// promised 3 s when every push is lost and peers cannot be reached.
func TestMissedPushes(t *testing.T) {
	for seed := range uint64(50) {
		s := newSim(seed, 4, t.Fatalf)
		s.run(3 * time.Second)
		for _, n := range s.nodes {
			n.cut = true
		}
		id := s.edit(s.nodes[0], config.ServiceKey("s"), config.VerbApply, 0)
		for s.answers[id].Revision == 0 {
			s.run(time.Millisecond)
		}
		s.run(3 * time.Second)
		s.checkConverged()
	}
}

// TestPushes guards against a push or relay that leaves a node to its polls:
// without faults an edit is in force everywhere within a few hops.
func TestPushes(t *testing.T) {
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

// TestJoinDuringOutage guards against a new process that serves an older
// configuration than its peers hold, or none at all, while the store is down.
func TestJoinDuringOutage(t *testing.T) {
	s := newSim(7, 4, t.Fatalf)
	s.run(3 * time.Second)
	for i := range 30 {
		s.edit(s.nodes[i%3], config.ServiceKey(ident.ServiceName(fmt.Sprintf("s%d", i))), config.VerbApply, 0)
		s.run(200 * time.Millisecond)
	}
	s.table.down = true
	s.restart(3)
	s.run(3 * time.Second)
	n := s.nodes[3]
	assert.Assert(t, n.readyAt > 0, "the joiner did not become ready")
	assert.Equal(t, n.readyWith, ident.Revision(30))

	id := s.edit(s.nodes[0], config.ServiceKey("s0"), config.VerbApply, 1)
	s.run(6 * time.Second)
	assert.Assert(t, errors.Is(s.answers[id].Err, config.ErrStoreUnavailable))

	// Processes that all start now know no floor, and must not serve.
	for i := range s.nodes {
		s.restart(i)
	}
	s.run(10 * time.Second)
	for _, n := range s.nodes {
		assert.Assert(t, n.readyAt == 0)
	}
	s.heal()
	s.run(5 * time.Second)
	s.checkConverged()
}

// TestRefusals guards against an edit by another team, and against a conflict
// that does not name the current revision.
func TestRefusals(t *testing.T) {
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

// TestLargeRecords guards against a push or an answer to a pull that does not
// fit a frame of 1 MiB, and against records that paging leaves out.
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
	assert.Equal(t, s.nodes[2].machine.Counters.Pulls, pulls, "pushes did not suffice")
	s.table.down = true
	s.restart(1)
	s.run(3 * time.Second)
	assert.Equal(t, s.nodes[1].readyWith, ident.Revision(12))
}

// TestReorderedPushes guards against a revision that stays unpublished: the late
// push of an older record of a key changes no record, but closes the gap.
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
