package config

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// editState is an edit that waits or runs.
type editState struct {
	edit     Edit
	deadline time.Duration
}

// batch is the set of edits that runs. Every edit changes the head row, so
// edits that run side by side conflict with each other: a slow store would then
// accept one edit per call from the whole cluster. The edits of one node
// therefore share a transaction, and one batch runs at a time.
type batch struct {
	id    uint64
	edits []*editState
	// commit is the last commit sent. It stays set while its outcome is open.
	commit *Commit
	// unknown tells that the outcome of an earlier sending of commit is open.
	unknown bool
	// inFlight tells that the store has to answer before the next step.
	inFlight bool
	// next is when a step that failed is tried again.
	next  time.Duration
	tries int
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

// runEdits takes the next step of the batch, or starts one.
func (m *Machine) runEdits(now time.Duration) []Action {
	if m.batch == nil && len(m.edits) > 0 {
		m.batch = m.newBatch()
	}
	b := m.batch
	if b == nil || b.inFlight || now < b.next {
		return nil
	}
	b.inFlight = true
	if b.commit != nil {
		m.Counters.Resubmitted++
		b.commit.Again = true
		return []Action{*b.commit}
	}
	return []Action{ReadEditRows{Batch: b.id, Keys: b.keys()}}
}

// newBatch takes waiting edits of different records. A second edit of a record
// waits, because it has to see the revision of the first.
func (m *Machine) newBatch() *batch {
	m.nextBatch++
	b := &batch{id: m.nextBatch}
	taken := make(map[Key]bool)
	m.edits = slices.DeleteFunc(m.edits, func(s *editState) bool {
		if taken[s.edit.Key] || len(b.edits) >= m.set.MaxBatch {
			return false
		}
		taken[s.edit.Key] = true
		b.edits = append(b.edits, s)
		return true
	})
	return b
}

// editTick ends edits that are past their deadline.
func (m *Machine) editTick(now time.Duration) []Action {
	var out []Action
	late := func(err error) func(*editState) bool {
		return func(s *editState) bool {
			if now < s.deadline {
				return false
			}
			out = append(out, m.answer(s, 0, err))
			return true
		}
	}
	m.edits = slices.DeleteFunc(m.edits, late(ErrStoreUnavailable))
	if b := m.batch; b != nil {
		err := ErrStoreUnavailable
		if b.commit != nil {
			err = ErrOutcomeUnknown
		}
		b.edits = slices.DeleteFunc(b.edits, late(err))
		if len(b.edits) == 0 {
			// A commit that applies later is still put in force and pushed.
			m.batch = nil
		}
	}
	return append(out, m.runEdits(now)...)
}

// answer counts an edit and ends it.
func (m *Machine) answer(s *editState, r ident.Revision, err error) Action {
	m.Counters.countEdit(err)
	return AnswerEdit{Attempt: s.edit.Attempt, Revision: r, Err: err}
}

// countEdit counts an edit by how it ended.
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

// running returns the batch if it is the one with the id.
func (m *Machine) running(id uint64) *batch {
	if m.batch != nil && m.batch.id == id {
		return m.batch
	}
	return nil
}

// again tries the current step later.
func (m *Machine) again(now time.Duration, b *batch) {
	b.inFlight = false
	b.next = now + m.set.RetryDelay<<min(b.tries, 3)
	b.tries++
}

func (m *Machine) editRowsRead(now time.Duration, e EditRowsRead) []Action {
	b := m.running(e.Batch)
	if b == nil {
		return nil
	}
	if e.Err != nil {
		m.again(now, b)
		return nil
	}
	return m.decideEdits(now, b, e.Rows)
}

// decideEdits refuses edits that the rows just read do not permit, and commits
// the others.
func (m *Machine) decideEdits(now time.Duration, b *batch, rows EditRows) []Action {
	b.inFlight, b.unknown, b.commit = false, false, nil
	var out []Action
	b.edits = slices.DeleteFunc(b.edits, func(s *editState) bool {
		err := permit(s.edit, rows.row(s.edit.Key))
		if err != nil {
			out = append(out, m.answer(s, 0, err))
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

// permit checks the owner first: a team that may not edit a document learns
// that rather than its revision.
func permit(e Edit, row RecordRow) error {
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

// newCommit gives the edits of the batch the revisions after the head.
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
				Reason: e.Reason, At: e.RequestedAt, Attempt: e.Attempt,
			},
		})
	}
	return c
}

func (m *Machine) committed(now time.Duration, e Committed) []Action {
	b := m.running(e.Commit.Batch)
	if e.Outcome == OutcomeApplied {
		return m.accepted(now, b, e.Commit)
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
		// An earlier sending with an unknown outcome may still apply, so the
		// refusal of its repetition settles nothing.
		if !b.unknown {
			b.commit = nil
		}
	default:
		b.unknown = true
	}
	m.again(now, b)
	return nil
}

// accepted puts applied edits in force here and pushes them. Some may have been
// answered as unknown before.
func (m *Machine) accepted(now time.Duration, b *batch, c Commit) []Action {
	records := c.records()
	out := m.take(now, records)
	if b != nil {
		for _, s := range b.edits {
			i := slices.IndexFunc(records, func(r Record) bool { return r.Attempt == s.edit.Attempt })
			out = append(out, m.answer(s, records[i].Revision, nil))
		}
		m.batch = nil
	}
	out = append(out, m.pushAll(records)...)
	return append(out, m.runEdits(now)...)
}
