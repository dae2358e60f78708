package config

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// editState is an unfinished edit.
type editState struct {
	edit     Edit
	deadline time.Duration
	// mayHaveApplied means that a commit with an unknown outcome had the edit before the
	// store was restored.
	mayHaveApplied bool
}

// batchKind is the purpose of a batch.
type batchKind int

// Kinds of batches: edits, the first commit of an era, and records that the store may
// have lost.
const (
	batchEdits batchKind = iota
	batchEra
	batchWriteBack
)

// batch is the set of edits in one transaction. Every edit changes the head row,
// so concurrent transactions conflict with each other: with one transaction for
// each edit, a slow store would accept one edit per call from the whole cluster.
// The edits of one node therefore share a transaction, and one batch runs at a
// time.
type batch struct {
	id    uint64
	kind  batchKind
	edits []*editState
	// writeBack has the keys of the records of a batchWriteBack.
	writeBack []Key
	// commit is the last commit sent. It is nil before the first one and once it is
	// known that no sending of it has been or may still be applied.
	commit *Commit
	// outcomeUnknown means that commit was sent before with an unknown outcome.
	outcomeUnknown bool
	// inFlight means that a call to the store is outstanding.
	inFlight bool
	// retryAt is when a failed step is retried.
	retryAt time.Duration
	tries   int
}

func (b *batch) keys() []Key {
	if b.kind == batchWriteBack {
		return b.writeBack
	}
	keys := make([]Key, 0, len(b.edits))
	for _, s := range b.edits {
		keys = append(keys, s.edit.Key)
	}
	return keys
}

func (m *Machine) editRequested(now time.Duration, e EditRequested) []Action {
	if m.editCount() >= m.set.MaxEdits {
		m.Counters.EditsNotApplied++
		return []Action{AnswerEdit{Attempt: e.Edit.Attempt, Err: ErrTooManyEdits}}
	}
	m.edits = append(m.edits, &editState{edit: e.Edit, deadline: now + m.set.EditTimeout})
	return m.runEdits(now)
}

func (m *Machine) editCount() int {
	if m.batch == nil {
		return len(m.edits)
	}
	return len(m.edits) + len(m.batch.edits)
}

// runEdits starts a batch if none is running, and runs its next step.
func (m *Machine) runEdits(now time.Duration) []Action {
	if b := m.batch; b != nil && !b.inFlight {
		switch {
		case b.kind == batchEra && !m.eraStarts():
			m.batch = nil
		case b.commit != nil && b.commit.Era != m.era:
			m.abandon(b.outcomeUnknown)
		}
	}
	if m.batch == nil {
		m.batch = m.newBatch(now)
	}
	b := m.batch
	if b == nil || b.inFlight || now < b.retryAt {
		return nil
	}
	b.inFlight = true
	if b.commit != nil {
		m.Counters.Resubmitted++
		b.commit.Resent = true
		return []Action{*b.commit}
	}
	return []Action{ReadEditRows{Batch: b.id, Keys: b.keys(), All: b.kind == batchEra}}
}

// send makes a commit the one of the batch.
func (b *batch) send(c Commit) Action {
	b.commit, b.outcomeUnknown, b.inFlight = &c, false, true
	return c
}

// newBatch returns the next batch, or nil if none is due. Edits wait until the store has
// what it lost by a restore.
func (m *Machine) newBatch(now time.Duration) *batch {
	b, wait := m.restoreBatch(now)
	if !wait && len(m.edits) > 0 {
		b = m.newEditBatch()
	}
	if b != nil {
		m.nextBatch++
		b.id = m.nextBatch
	}
	return b
}

// newEditBatch moves pending edits of different records into a new batch. A second
// edit of a record stays pending, because it is checked against the revision of
// the first.
func (m *Machine) newEditBatch() *batch {
	b := &batch{kind: batchEdits}
	batchedKeys := make(map[Key]bool)
	m.edits = slices.DeleteFunc(m.edits, func(s *editState) bool {
		if batchedKeys[s.edit.Key] || len(b.edits) >= m.set.MaxBatch {
			return false
		}
		batchedKeys[s.edit.Key] = true
		b.edits = append(b.edits, s)
		return true
	})
	return b
}

// editTick fails the edits that are past their deadline and runs the next step of
// the batch.
func (m *Machine) editTick(now time.Duration) []Action {
	var out []Action
	expired := func(err error) func(*editState) bool {
		return func(s *editState) bool {
			if now < s.deadline {
				return false
			}
			if s.mayHaveApplied {
				err = ErrOutcomeUnknown
			}
			out = append(out, m.finishEdit(s, 0, err))
			return true
		}
	}
	m.edits = slices.DeleteFunc(m.edits, expired(ErrStoreUnavailable))
	if b := m.batch; b != nil && b.kind == batchEdits {
		err := ErrStoreUnavailable
		if b.commit != nil {
			err = ErrOutcomeUnknown
		}
		b.edits = slices.DeleteFunc(b.edits, expired(err))
		if len(b.edits) == 0 {
			// A commit that applies later is still put in force and pushed.
			m.batch = nil
		}
	}
	return append(out, m.runEdits(now)...)
}

// finishEdit counts an edit by its outcome and returns its result.
func (m *Machine) finishEdit(s *editState, r ident.Revision, err error) Action {
	m.Counters.countEdit(err)
	return AnswerEdit{Attempt: s.edit.Attempt, Revision: r, Err: err}
}

// countEdit counts an edit by its outcome.
func (c *Counters) countEdit(err error) {
	var conflict *ConflictError
	var owner *OwnerError
	switch {
	case err == nil:
		c.EditsAccepted++
	case errors.As(err, &conflict):
		c.EditsConflict++
	case errors.As(err, &owner):
		c.EditsWrongOwner++
	case errors.Is(err, ErrOutcomeUnknown):
		c.EditsUnknown++
	default:
		c.EditsNotApplied++
	}
}

// runningBatch returns the current batch if it has the id, else nil.
func (m *Machine) runningBatch(id uint64) *batch {
	if m.batch != nil && m.batch.id == id {
		return m.batch
	}
	return nil
}

// scheduleRetry lets the current step run again after a delay.
func (m *Machine) scheduleRetry(now time.Duration, b *batch) {
	b.inFlight = false
	b.retryAt = now + m.set.RetryDelay<<min(b.tries, 3)
	b.tries++
}

func (m *Machine) editRowsRead(now time.Duration, e EditRowsRead) []Action {
	b := m.runningBatch(e.Batch)
	if b == nil {
		return nil
	}
	if err := m.eraError(now, e.Era, e.Err); err != nil {
		m.scheduleRetry(now, b)
		return nil
	}
	return m.decide(now, b, e.Rows)
}

// decide builds the commit of a batch from the rows just read.
func (m *Machine) decide(now time.Duration, b *batch, rows EditRows) []Action {
	b.inFlight, b.outcomeUnknown, b.commit = false, false, nil
	if b.kind == batchEra {
		return m.decideEra(now, b, rows)
	}
	if eraOf(rows.Head.Revision) < max(m.era, m.restored.era) {
		m.raiseHead(now, rows.Head.Revision, "")
		if eraOf(m.head) < m.era {
			m.abandon(false)
			return m.runEdits(now)
		}
		// A node has started the era, so the read was stale.
		m.scheduleRetry(now, b)
		return nil
	}
	switch b.kind {
	case batchWriteBack:
		return m.decideWriteBack(now, b, rows)
	default:
		return m.decideEdits(now, b, rows)
	}
}

// decideEdits rejects the edits that conflict with the rows just read or have
// the wrong owner, and commits the others.
func (m *Machine) decideEdits(now time.Duration, b *batch, rows EditRows) []Action {
	var out []Action
	b.edits = slices.DeleteFunc(b.edits, func(s *editState) bool {
		row := rows.row(s.edit.Key)
		if s.mayHaveApplied && row.Record.Attempt == s.edit.Attempt {
			out = append(out, m.applyReceived(now, []Record{row.Record})...)
			out = append(out, m.finishEdit(s, row.Record.Revision, nil))
			return true
		}
		err := checkEdit(s.edit, row)
		if err != nil && s.mayHaveApplied {
			err = ErrOutcomeUnknown
		}
		if err != nil {
			out = append(out, m.finishEdit(s, 0, err))
		}
		return err != nil
	})
	if len(b.edits) == 0 {
		m.batch = nil
		return append(out, m.runEdits(now)...)
	}
	return append(out, b.send(b.newCommit(rows, m.era)))
}

// checkEdit returns the error that rejects an edit, or nil. It checks the owner
// before the revision: a team that may not edit a document is told its owner
// rather than its revision.
func checkEdit(e Edit, row RecordRow) error {
	exists := row.Version > 0 && !row.Record.Deleted
	owner := e.Owner
	if exists {
		owner = row.Record.Owner
	}
	if e.Key.Kind == KindService && owner != e.Team {
		return &OwnerError{Key: e.Key, Owner: owner, Team: e.Team}
	}
	current := row.Record.Revision
	creates := !exists && e.Verb != VerbDelete
	if (exists && row.Record.was(e.Expected)) || (creates && (e.Expected == 0 || row.Record.was(e.Expected))) {
		return nil
	}
	return &ConflictError{Key: e.Key, Expected: e.Expected, Current: current}
}

// newCommit builds the commit of the batch. Its edits get the revisions that
// follow the head.
func (b *batch) newCommit(rows EditRows, era uint64) Commit {
	c := Commit{Batch: b.id, Era: era, Head: rows.Head, HeadVersion: rows.HeadVersion}
	for i, s := range b.edits {
		e, row := s.edit, rows.row(s.edit.Key)
		r := rows.Head.Revision + ident.Revision(i) + 1
		body := e.Body
		if e.Verb == VerbDelete {
			body = nil
		}
		c.Writes = append(c.Writes, EditWrite{
			Replaces: row,
			Record: Record{
				Key: e.Key, Revision: r, Deleted: e.Verb == VerbDelete,
				Owner: e.Owner, Body: body, Attempt: e.Attempt,
			},
			Audit: Audit{
				Team: e.Team, Verb: e.Verb, Key: e.Key, Before: row.Record.Revision, After: r,
				Reason: e.Reason, RequestedAt: e.RequestedAt, Attempt: e.Attempt,
			},
		})
	}
	return c
}

func (m *Machine) committed(now time.Duration, e Committed) []Action {
	b := m.runningBatch(e.Commit.Batch)
	if m.eraError(now, e.Era, nil) != nil || e.Era != e.Commit.Era {
		return m.committedBeforeRestore(now, b, e)
	}
	if e.Outcome == OutcomeApplied {
		return m.commitApplied(now, b, e.Commit)
	}
	if e.Outcome == OutcomeConflict {
		m.Counters.CommitConflicts++
	}
	if b == nil {
		return nil
	}
	switch e.Outcome {
	case OutcomeConflict:
		if b.kind == batchEra {
			// The conflict reports only some of all rows.
			b.commit, b.outcomeUnknown = nil, false
			m.scheduleRetry(now, b)
			return nil
		}
		return m.decide(now, b, e.Rows)
	case OutcomeNotApplied:
		// If the commit was sent before with an unknown outcome, that
		// transaction may still apply although this one did not.
		if !b.outcomeUnknown {
			b.commit = nil
		}
	default:
		b.outcomeUnknown = true
	}
	m.scheduleRetry(now, b)
	return nil
}

// committedBeforeRestore handles the result of a commit whose rows were read in an earlier
// era. If it applied in that era, this node writes its records back. If it may have applied
// in the new one, before a node started it, the first commit of the new era gives its
// records new revisions, because others may have the same ones. The edits then find their
// attempt id in the record.
func (m *Machine) committedBeforeRestore(now time.Duration, b *batch, e Committed) []Action {
	var out []Action
	if e.Outcome == OutcomeApplied && e.Era == e.Commit.Era {
		records := e.Commit.records()
		out = append(m.applyReceived(now, records), m.pushAll(records)...)
	}
	if b != nil {
		m.abandon(b.outcomeUnknown || e.Outcome == OutcomeApplied || e.Outcome == OutcomeUnknown)
	}
	return append(out, m.runEdits(now)...)
}

// commitApplied puts committed edits in force on this node and pushes them to the
// peers. Some of them may have been reported before as having an unknown outcome.
func (m *Machine) commitApplied(now time.Duration, b *batch, c Commit) []Action {
	records := c.records()
	for _, r := range records {
		if len(r.Former) > 0 {
			m.Counters.WrittenBack++
		}
	}
	out := m.applyReceived(now, records)
	if b != nil {
		for _, s := range b.edits {
			i := slices.IndexFunc(records, func(r Record) bool { return r.Attempt == s.edit.Attempt })
			out = append(out, m.finishEdit(s, records[i].Revision, nil))
		}
		m.batch = nil
	}
	out = append(out, m.pushAll(records)...)
	return append(out, m.runEdits(now)...)
}
