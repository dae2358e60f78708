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
}

// batch is the set of edits in one transaction. Every edit changes the head row,
// so concurrent transactions conflict with each other: with one transaction for
// each edit, a slow store would accept one edit per call from the whole cluster.
// The edits of one node therefore share a transaction, and one batch runs at a
// time.
type batch struct {
	id    uint64
	edits []*editState
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
	if m.batch == nil && len(m.edits) > 0 {
		m.batch = m.newBatch()
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
	return []Action{ReadEditRows{Batch: b.id, Keys: b.keys()}}
}

// newBatch moves pending edits of different records into a new batch. A second
// edit of a record stays pending, because it is checked against the revision of
// the first.
func (m *Machine) newBatch() *batch {
	m.nextBatch++
	b := &batch{id: m.nextBatch}
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
			out = append(out, m.finishEdit(s, 0, err))
			return true
		}
	}
	m.edits = slices.DeleteFunc(m.edits, expired(ErrStoreUnavailable))
	if b := m.batch; b != nil {
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
	if e.Err != nil {
		m.scheduleRetry(now, b)
		return nil
	}
	return m.decideEdits(now, b, e.Rows)
}

// decideEdits rejects the edits that conflict with the rows just read or have
// the wrong owner, and commits the others.
func (m *Machine) decideEdits(now time.Duration, b *batch, rows EditRows) []Action {
	b.inFlight, b.outcomeUnknown, b.commit = false, false, nil
	var out []Action
	b.edits = slices.DeleteFunc(b.edits, func(s *editState) bool {
		err := checkEdit(s.edit, rows.row(s.edit.Key))
		if err != nil {
			out = append(out, m.finishEdit(s, 0, err))
		}
		return err != nil
	})
	if len(b.edits) == 0 {
		m.batch = nil
		return append(out, m.runEdits(now)...)
	}
	c := b.newCommit(rows)
	b.commit = &c
	b.inFlight = true
	return append(out, c)
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
	if (exists && e.Expected == current) || (creates && (e.Expected == 0 || e.Expected == current)) {
		return nil
	}
	return &ConflictError{Key: e.Key, Expected: e.Expected, Current: current}
}

// newCommit builds the commit of the batch. Its edits get the revisions that
// follow the head.
func (b *batch) newCommit(rows EditRows) Commit {
	c := Commit{Batch: b.id, Head: rows.Head, HeadVersion: rows.HeadVersion}
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
		return m.decideEdits(now, b, e.Rows)
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

// commitApplied puts committed edits in force on this node and pushes them to the
// peers. Some of them may have been reported before as having an unknown outcome.
func (m *Machine) commitApplied(now time.Duration, b *batch, c Commit) []Action {
	records := c.records()
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
