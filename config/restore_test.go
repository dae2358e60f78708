package config_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
)

// inForce is the time within which an accepted edit has to be in force everywhere (P10),
// and within which an edit has to be accepted while the store answers.
const inForce = 3 * time.Second

// requested is an edit of a restoreRun.
type requested struct {
	id  ident.AttemptID
	key config.Key
	at  time.Duration
	// node and machine are the process that got the request. It does not answer if it
	// ends first.
	node    *node
	machine *config.Machine
}

// restoreRun is a run in which the store comes back from an older copy.
type restoreRun struct {
	*sim
	rnd   *rand.Rand
	edits []requested
	// given has the edit that was accepted at each revision.
	given map[ident.Revision]ident.AttemptID
}

func newRestoreRun(seed uint64, nodes int, fail func(string, ...any)) *restoreRun {
	r := &restoreRun{
		sim: newSim(seed, nodes, fail), rnd: rand.New(rand.NewPCG(seed, 3)),
		given: make(map[ident.Revision]ident.AttemptID),
	}
	r.run(3 * time.Second)
	return r
}

func (r *restoreRun) ms(limit int) time.Duration {
	return time.Duration(r.rnd.IntN(limit)) * time.Millisecond
}

func (r *restoreRun) node() *node { return r.nodes[r.rnd.IntN(len(r.nodes))] }

// request requests an edit of a random record, based on the revision that the node has.
func (r *restoreRun) request(n *node) requested {
	k := config.ServiceKey(ident.ServiceName(fmt.Sprintf("s%d", r.rnd.IntN(4))))
	verb := config.VerbApply
	switch r.rnd.IntN(4) {
	case 0:
		k = config.Drain{Kind: config.DrainInstance, Name: fmt.Sprintf("i%d", r.rnd.IntN(3))}.Key()
		verb = config.VerbDrain
	case 1:
		if held := n.held(k); held.Revision > 0 && !held.Deleted {
			verb = config.VerbDelete
		}
	}
	return r.requestOf(n, k, verb)
}

func (r *restoreRun) requestOf(n *node, k config.Key, verb config.Verb) requested {
	q := requested{key: k, at: r.now, node: n, machine: n.machine}
	q.id = r.edit(n, k, verb, n.held(k).Revision)
	r.edits = append(r.edits, q)
	return q
}

// records returns the records that the node holds.
func (n *node) records() map[config.Key]config.Record {
	out := make(map[config.Key]config.Record)
	for after := ident.Revision(0); ; {
		answer := n.machine.AnswerPull(config.PullRequest{After: after})
		for _, rec := range answer.Records {
			out[rec.Key] = rec
		}
		if !answer.HasMore {
			return out
		}
		after = answer.Records[len(answer.Records)-1].Revision
	}
}

// held returns the record of a key that the node holds.
func (n *node) held(k config.Key) config.Record { return n.records()[k] }

func (r *restoreRun) accepted(q requested) bool {
	a, ok := r.answers[q.id]
	return ok && a.Err == nil
}

// covers reports whether a record is the one that an accepted edit wrote or replaced it.
// An edit that ended before the accepted one did can't have replaced it.
func (r *restoreRun) covers(rec config.Record, q requested) bool {
	if rec.Attempt == q.id {
		return true
	}
	ended, ok := r.answeredAt[rec.Attempt]
	return rec.Attempt != "" && (!ok || ended >= r.answeredAt[q.id])
}

// await runs until an edit has ended.
func (r *restoreRun) await(q requested) {
	for range 10_000 {
		if _, ok := r.answers[q.id]; ok {
			return
		}
		r.run(time.Millisecond)
	}
	r.fail("edit %s did not end", q.id)
}

// checkInForce fails unless all edits are in force on all nodes.
func (r *restoreRun) checkInForce(edits ...requested) {
	for _, n := range r.nodes {
		records := n.records()
		for _, q := range edits {
			if rec := records[q.key]; !r.covers(rec, q) {
				r.fail("%s: %s at revision %d by %s, but %s was accepted at revision %d",
					n.addr, q.key, rec.Revision, rec.Attempt, q.id, r.answers[q.id].Revision)
			}
		}
	}
}

// checkAnswers fails if an accepted edit is not in force everywhere, if a revision was
// given out twice, or if an edit applied that was answered as not applied.
func (r *restoreRun) checkAnswers() {
	var accepted []requested
	holders := make(map[ident.AttemptID]string)
	for _, n := range r.nodes {
		for _, rec := range n.records() {
			holders[rec.Attempt] = n.addr
		}
	}
	for _, q := range r.edits {
		a, ok := r.answers[q.id]
		switch {
		case !ok && q.node.machine != q.machine:
		case !ok:
			r.fail("edit %s has no answer", q.id)
		case a.Err == nil:
			accepted = append(accepted, q)
			if other, ok := r.given[a.Revision]; ok && other != q.id {
				r.fail("revision %d was given out to %s and %s", a.Revision, other, q.id)
			}
			r.given[a.Revision] = q.id
		case !errors.Is(a.Err, config.ErrOutcomeUnknown):
			if n, ok := holders[q.id]; ok {
				r.fail("edit %s ended with %v, but is in force on %s", q.id, a.Err, n)
			}
		}
	}
	r.checkInForce(accepted...)
}

// checkStoreHasAll fails unless the store has the records that the nodes hold.
func (r *restoreRun) checkStoreHasAll() {
	r.checkConverged()
	_, records, err := r.store.Scan(context.Background())
	if err != nil {
		r.fail("scan: %v", err)
	}
	stored := make(map[config.Key]ident.AttemptID)
	for _, rec := range records {
		stored[rec.Key] = rec.Attempt
	}
	for _, n := range r.nodes {
		records := n.records()
		for _, q := range r.edits {
			if held := records[q.key]; held.Attempt != stored[q.key] {
				r.fail("%s holds %s by %q, the store by %q", n.addr, q.key, held.Attempt, stored[q.key])
			}
		}
	}
}

// checkAuditRows fails if an accepted edit has no audit row.
func (r *restoreRun) checkAuditRows() {
	for _, q := range r.edits {
		if !r.accepted(q) {
			continue
		}
		if rec := r.nodes[0].held(q.key); rec.Attempt == q.id {
			a, version, err := r.store.Audit(context.Background(), rec.Revision)
			if err != nil || version == 0 || a.Key != q.key {
				r.fail("the audit row of %s at revision %d is %+v, version %d: %v", q.id, rec.Revision, a, version, err)
			}
		}
	}
}

// TestStoreRestored guards against an accepted edit that is lost or reverts when the store
// comes back from an older copy, against a revision that is given out again, and against
// later edits that are refused or not in force everywhere within 3 s. Edits are in flight
// when the store comes back; answers may be lost; it may come back more than once.
func TestStoreRestored(t *testing.T) {
	for seed := range uint64(400) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			r := newRestoreRun(seed, 2+int(seed%5), t.Fatalf)
			for range 1 + r.rnd.IntN(3) {
				for range 2 + r.rnd.IntN(10) {
					r.request(r.node())
					r.run(r.ms(700))
				}
				r.table.lostOutcome = []string{"", "", "applied", "late"}[r.rnd.IntN(4)]
				r.request(r.node())
				r.run(r.ms(60))
				r.table.lostOutcome = ""
				restore := func() { r.table.restore(r.ms([]int{1, 200, 9000}[r.rnd.IntN(3)])) }
				switch r.rnd.IntN(4) {
				case 0:
					r.table.beforeTxn = restore
					r.request(r.node())
					r.run(time.Second)
					if r.table.beforeTxn != nil {
						r.table.beforeTxn = nil
						restore()
					}
				case 1:
					restore()
				default:
					r.table.unavailable = true
					r.run(r.ms(2500))
					restore()
					r.table.unavailable = false
				}
				if r.rnd.IntN(3) == 0 {
					r.restart(r.rnd.IntN(len(r.nodes)))
				}
				if r.rnd.IntN(2) == 0 {
					r.request(r.node())
				}
				r.run(r.ms(1500))
			}
			r.run(10 * time.Second)
			r.checkAnswers()
			r.checkStoreHasAll()
			r.checkAuditRows()
		})
	}
}

// TestEditAfterRestore guards against an edit or a drain that is not accepted within 3 s
// after a restore, or not in force everywhere within 3 s after that. The edit is requested
// at any moment after the restore; every push may be lost.
func TestEditAfterRestore(t *testing.T) {
	for seed := range uint64(300) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			r := newRestoreRun(seed, 1+int(seed%6), t.Fatalf)
			for range 1 + r.rnd.IntN(8) {
				r.await(r.request(r.node()))
				r.run(r.ms(500))
			}
			r.run(3 * time.Second)
			r.table.restore(3*time.Second + r.ms(4000))
			r.run(r.ms(4000))
			for _, n := range r.nodes {
				n.disconnected = seed%2 == 0
			}
			for range 3 {
				q := r.request(r.node())
				r.await(q)
				a := r.answers[q.id]
				assert.NilError(t, a.Err, "edit %s", q.id)
				assert.Assert(t, r.answeredAt[q.id]-q.at < inForce, "accepted only after %v", r.answeredAt[q.id]-q.at)
				r.run(inForce)
				r.checkInForce(q)
			}
			r.checkAnswers()
			r.checkStoreHasAll()
		})
	}
}

// TestCutOffDuringRestore guards against an accepted edit that is lost because only a node
// holds it that was cut off from the store and its peers during the restore, and against
// a revision of that edit that is given out again.
func TestCutOffDuringRestore(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			r := newRestoreRun(seed, 3+int(seed%3), t.Fatalf)
			for range r.rnd.IntN(6) {
				r.await(r.request(r.node()))
			}
			r.run(3 * time.Second)
			// The last edits are accepted by a node that doesn't reach its peers, and no
			// other node reads the store in time.
			cut := r.node()
			cut.disconnected = true
			for _, n := range r.nodes {
				n.storeCut = n != cut
			}
			start := r.now
			alone := r.requestOf(cut, config.ServiceKey("alone"), config.VerbApply)
			r.await(alone)
			for range r.rnd.IntN(3) {
				r.await(r.requestOf(cut, config.ServiceKey("alone"), config.VerbApply))
			}
			assert.Assert(t, r.accepted(alone))
			cut.storeCut = true
			r.table.restore(r.now - start + r.ms(2000))
			for _, n := range r.nodes {
				n.storeCut = n == cut
			}
			for range r.rnd.IntN(6) {
				n := r.node()
				if n != cut {
					r.await(r.request(n))
				}
				r.run(r.ms(800))
			}
			r.clearFaults()
			r.run(6 * time.Second)
			for range 2 {
				q := r.request(r.node())
				r.await(q)
				assert.NilError(t, r.answers[q.id].Err)
				r.run(inForce)
				r.checkInForce(q)
			}
			r.checkAnswers()
			r.checkStoreHasAll()
		})
	}
}

// TestStartAfterRestore guards against a process that starts after a restore and becomes
// ready without an accepted edit that the store lost and a peer holds.
func TestStartAfterRestore(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			r := newRestoreRun(seed, 2+int(seed%4), t.Fatalf)
			for range 1 + r.rnd.IntN(6) {
				r.await(r.request(r.node()))
			}
			r.run(inForce)
			r.table.unavailable = r.rnd.IntN(2) == 0
			r.run(r.ms(1000))
			r.table.restore(inForce + r.ms(4000))
			r.run(r.ms(1000))
			i := r.rnd.IntN(len(r.nodes))
			r.restart(i)
			r.schedule(r.ms(1000)+1, func() { r.table.unavailable = false })
			for r.nodes[i].readyAt == 0 {
				r.run(time.Millisecond)
				assert.Assert(t, r.now < time.Minute, "not ready")
			}
			for _, q := range r.edits {
				if rec := r.nodes[i].held(q.key); r.accepted(q) && !r.covers(rec, q) {
					r.fail("ready with %s at revision %d by %q, but %s was accepted", q.key, rec.Revision, rec.Attempt, q.id)
				}
			}
			r.run(6 * time.Second)
			r.checkAnswers()
			r.checkStoreHasAll()
		})
	}
}

// TestTransactionArrivesAfterRestore guards against a transaction that was sent before a
// restore, arrives after it and applies, because the versions of its rows were given out
// again, and against edits that are lost when it applies with revisions that others got
// before the restore. The sender may have ended, or waits for the answer.
func TestTransactionArrivesAfterRestore(t *testing.T) {
	for seed := range uint64(400) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			r := newRestoreRun(seed, 3, t.Fatalf)
			for range r.rnd.IntN(3) {
				r.await(r.request(r.nodes[1]))
				r.run(inForce)
			}
			copied := r.now
			for range r.rnd.IntN(3) {
				r.await(r.request(r.nodes[1]))
			}
			r.commitDelay = 300*time.Millisecond + r.ms(1500)
			r.request(r.nodes[0])
			r.run(60 * time.Millisecond)
			r.commitDelay = 0
			if r.rnd.IntN(2) == 0 {
				r.restart(0)
			}
			for range r.rnd.IntN(4) {
				r.await(r.request(r.nodes[1]))
			}
			r.table.restore(r.now - copied)
			if r.rnd.IntN(2) == 0 {
				r.request(r.nodes[1+r.rnd.IntN(2)])
			}
			if r.rnd.IntN(3) == 0 {
				// This node knows only what the copy has.
				r.nodes[2].disconnected = true
				r.restart(2)
			}
			r.run(2 * time.Second)
			r.clearFaults()
			r.run(6 * time.Second)
			q := r.request(r.node())
			r.await(q)
			assert.NilError(t, r.answers[q.id].Err)
			r.run(inForce)
			r.checkAnswers()
			r.checkStoreHasAll()
		})
	}
}

// TestManyRecordsLost guards against records that are not written back because they do not
// fit one transaction, against all nodes writing at the same time, and against an edit
// that does not wait for them.
func TestManyRecordsLost(t *testing.T) {
	r := newRestoreRun(1, 24, t.Fatalf)
	start := r.now
	var all []requested
	for i := range 150 {
		all = append(all, r.requestOf(r.nodes[i%len(r.nodes)], config.ServiceKey(ident.ServiceName(fmt.Sprintf("many-%d", i))), config.VerbApply))
		r.run(20 * time.Millisecond)
	}
	r.run(3 * time.Second)
	for _, q := range all {
		assert.NilError(t, r.answers[q.id].Err)
	}
	r.table.restore(r.now - start + time.Second)
	calls := r.table.txns
	r.run(5 * time.Second)
	q := r.requestOf(r.nodes[7], all[3].key, config.VerbDelete)
	r.await(q)
	assert.NilError(t, r.answers[q.id].Err)
	r.run(inForce)
	r.checkAnswers()
	r.checkStoreHasAll()
	// 150 records are 5 transactions and the edit is one. Of the other nodes, fewer than
	// half may write at the same time.
	assert.Assert(t, r.table.txns-calls < 6+len(r.nodes)/2, "%d transactions", r.table.txns-calls)
}

// TestEraCostsNoCalls guards against calls to the store that a store without a restore
// does not need, and against other revisions than those of a store without eras.
func TestEraCostsNoCalls(t *testing.T) {
	var calls []int
	for _, era := range []uint64{0, 1} {
		r := newRestoreRun(5, 4, t.Fatalf)
		r.table.era = era
		for i := range r.nodes {
			r.restart(i)
		}
		r.run(inForce)
		r.table.calls = 0
		for range 20 {
			r.await(r.request(r.node()))
			r.run(500 * time.Millisecond)
		}
		r.run(20 * time.Second)
		r.checkAnswers()
		r.checkStoreHasAll()
		for _, n := range r.nodes {
			assert.Assert(t, n.viewRevision <= 20)
		}
		calls = append(calls, r.table.calls)
	}
	assert.Equal(t, calls[0], calls[1])
}

// TestAnswerOfEarlierEra guards against a slow answer of the store that was given before a
// restore, arrives after one of the new era, and makes a node take what the store has lost
// for its present state.
func TestAnswerOfEarlierEra(t *testing.T) {
	m := newSim(1, 1, t.Fatalf).nodes[0].machine
	lost := config.Record{Key: config.ServiceKey("s"), Revision: 9, Deleted: true}
	m.Step(0, config.HeadRead{Revision: 3, Era: 2})
	m.Step(0, config.HeadRead{Revision: 9, Era: 1})
	m.Step(0, config.Scanned{Head: 9, Records: []config.Record{lost}, Era: 1})
	assert.Equal(t, m.View().Head, ident.Revision(3))
	assert.Assert(t, !m.HasRecord(lost.Key))
	// No node has started the era: what the store has may have arrived after the restore.
	m.Step(0, config.Scanned{Head: 9, Records: []config.Record{lost}, Era: 2})
	assert.Assert(t, !m.HasRecord(lost.Key))
	lost.Revision |= 2 << 32
	m.Step(0, config.Scanned{Head: lost.Revision, Records: []config.Record{lost}, Era: 1})
	assert.Assert(t, !m.HasRecord(lost.Key))
	m.Step(0, config.Scanned{Head: lost.Revision, Records: []config.Record{lost}, Era: 2})
	assert.Assert(t, m.HasRecord(lost.Key))
}

// TestRevisionGivenOutTwice guards against an accepted record that is replaced by one of the
// same revision, whose transaction was sent before a restore, arrived after it and was
// written again by a node that knew neither.
func TestRevisionGivenOutTwice(t *testing.T) {
	m := newSim(1, 1, t.Fatalf).nodes[0].machine
	key := config.ServiceKey("s")
	first := ident.Revision(2 << 32)
	push := func(at time.Duration, records ...config.Record) []config.Action {
		return m.Step(at, config.PushReceived{Message: config.PushMessage{Records: records}})
	}
	m.Step(0, config.HeadRead{Revision: 5, Era: 1})
	m.Step(0, config.Scanned{Era: 1})
	push(0, config.Record{Key: key, Revision: 6, Attempt: "accepted", Deleted: true})
	late := config.Record{Key: key, Revision: first + 1, Attempt: "late", Deleted: true, Former: []ident.Revision{6}}
	push(time.Second, config.Record{Key: config.EraKey(2), Revision: first, Body: []byte(`{"prior":5}`)}, late)
	held := m.AnswerPull(config.PullRequest{}).Records
	assert.Equal(t, held[0].Attempt, ident.AttemptID("accepted"))

	m.Step(2*time.Second, config.HeadRead{Revision: first + 1, Era: 2})
	m.Step(2*time.Second, config.Tick{})
	var read config.ReadEditRows
	for _, a := range m.Step(4*time.Second, config.Tick{}) {
		if a, ok := a.(config.ReadEditRows); ok {
			read = a
		}
	}
	assert.DeepEqual(t, read.Keys, []config.Key{key})
	rows := config.EditRows{
		Head: config.Head{Revision: first + 1}, HeadVersion: 9,
		Records: []config.RecordRow{{Key: key, Record: late, Version: 9}},
	}
	commit := m.Step(4*time.Second, config.EditRowsRead{Batch: read.Batch, Rows: rows, Era: 2})[0].(config.Commit)
	assert.Equal(t, commit.Writes[0].Record.Attempt, ident.AttemptID("accepted"))
	assert.Equal(t, commit.Writes[0].Record.Revision, first+2)
	assert.DeepEqual(t, commit.Writes[0].Record.Former, []ident.Revision{6})
}

// TestRestoredAgainDuringWriteBack guards against a node that stays busy with writing back
// the records of one restore when the next one comes, and so never starts the next era.
func TestRestoredAgainDuringWriteBack(t *testing.T) {
	for seed := range uint64(60) {
		t.Run(fmt.Sprintf("seed=%d", seed), func(t *testing.T) {
			r := newRestoreRun(seed, 1+int(seed%2), t.Fatalf)
			start := r.now
			for i := range 100 {
				r.requestOf(r.nodes[0], config.ServiceKey(ident.ServiceName(fmt.Sprintf("many-%d", i))), config.VerbApply)
				r.run(20 * time.Millisecond)
			}
			r.run(inForce)
			for range 3 {
				r.table.restore(r.now - start + time.Second)
				r.run(1200*time.Millisecond + r.ms(1200))
			}
			q := r.request(r.node())
			r.await(q)
			assert.NilError(t, r.answers[q.id].Err)
			r.run(inForce)
			r.checkAnswers()
			r.checkStoreHasAll()
		})
	}
}
