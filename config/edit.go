package config

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// editState is an edit that waits or runs. Only the first of the queue runs:
// every edit changes the head row, so edits of one node would only conflict
// with each other.
type editState struct {
	edit     Edit
	deadline time.Duration
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

func (m *Machine) editRequested(now time.Duration, e EditRequested) []Action {
	if len(m.edits) >= m.set.MaxEdits {
		m.Counters.EditsNotApplied++
		return []Action{AnswerEdit{Attempt: e.Edit.Attempt, Err: ErrTooManyEdits}}
	}
	m.edits = append(m.edits, &editState{edit: e.Edit, deadline: now + m.set.EditTimeout})
	return m.runEdit(now)
}

// runEdit takes the next step of the first edit.
func (m *Machine) runEdit(now time.Duration) []Action {
	if len(m.edits) == 0 {
		return nil
	}
	s := m.edits[0]
	if s.inFlight || now < s.next {
		return nil
	}
	s.inFlight = true
	if s.commit != nil {
		m.Counters.Resubmitted++
		s.commit.Again = true
		return []Action{*s.commit}
	}
	return []Action{ReadEditRows{Attempt: s.edit.Attempt, Key: s.edit.Key}}
}

// editTick ends edits that are past their deadline.
func (m *Machine) editTick(now time.Duration) []Action {
	var out []Action
	for _, s := range slices.Clone(m.edits) {
		if now >= s.deadline {
			out = append(out, m.timeOut(s))
		}
	}
	return append(out, m.runEdit(now)...)
}

func (m *Machine) timeOut(s *editState) Action {
	if s.commit != nil {
		return m.finish(s, 0, ErrOutcomeUnknown)
	}
	return m.finish(s, 0, ErrStoreUnavailable)
}

// finish answers an edit and removes it.
func (m *Machine) finish(s *editState, r ident.Revision, err error) Action {
	m.edits = slices.DeleteFunc(m.edits, func(x *editState) bool { return x == s })
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

func (m *Machine) find(a ident.AttemptID) *editState {
	for _, s := range m.edits {
		if s.edit.Attempt == a {
			return s
		}
	}
	return nil
}

// again tries the current step later.
func (m *Machine) again(now time.Duration, s *editState) {
	s.inFlight = false
	s.next = now + m.set.RetryDelay<<min(s.tries, 3)
	s.tries++
}

func (m *Machine) editRowsRead(now time.Duration, e EditRowsRead) []Action {
	s := m.find(e.Attempt)
	if s == nil {
		return nil
	}
	if e.Err != nil {
		m.again(now, s)
		return nil
	}
	return m.decideEdit(now, s, e.Rows)
}

// decideEdit refuses an edit or commits it against the rows just read.
func (m *Machine) decideEdit(now time.Duration, s *editState, rows EditRows) []Action {
	s.inFlight, s.unknown, s.commit = false, false, nil
	if err := permit(s.edit, rows); err != nil {
		return append([]Action{m.finish(s, 0, err)}, m.runEdit(now)...)
	}
	c := newCommit(s.edit, rows)
	s.commit = &c
	s.inFlight = true
	return []Action{c}
}

// permit checks the owner first: a team that may not edit a document learns
// that rather than its revision.
func permit(e Edit, rows EditRows) error {
	exists := rows.RecordVersion > 0 && !rows.Record.Deleted
	owner := e.Owner
	if exists {
		owner = rows.Record.Owner
	}
	if e.Key.Kind == KindService && owner != e.Team {
		return &OwnerError{Key: e.Key, Owner: owner, Team: e.Team}
	}
	current := rows.Record.Revision
	creates := !exists && e.Verb != VerbDelete
	if (exists && e.Expected == current) || (creates && (e.Expected == 0 || e.Expected == current)) {
		return nil
	}
	return &ConflictError{Key: e.Key, Expected: e.Expected, Current: current}
}

func newCommit(e Edit, rows EditRows) Commit {
	r := rows.Head.Revision + 1
	body := e.Body
	if e.Verb == VerbDelete {
		body = nil
	}
	return Commit{
		Record: Record{
			Key: e.Key, Revision: r, Deleted: e.Verb == VerbDelete,
			Owner: e.Owner, Body: body, Attempt: e.Attempt,
		},
		Audit: Audit{
			Team: e.Team, Verb: e.Verb, Key: e.Key, Before: rows.Record.Revision, After: r,
			Reason: e.Reason, At: e.At, Attempt: e.Attempt,
		},
		Rows: rows,
	}
}

func (m *Machine) committed(now time.Duration, e Committed) []Action {
	s := m.find(e.Commit.Record.Attempt)
	switch e.Outcome {
	case OutcomeApplied:
		return m.accepted(now, s, e.Commit.Record)
	case OutcomeConflict:
		m.Counters.CommitConflicts++
		if s != nil {
			return m.decideEdit(now, s, e.Rows)
		}
	case OutcomeNotApplied:
		if s != nil {
			// An earlier sending with an unknown outcome may still apply, so
			// the refusal of its repetition settles nothing.
			if !s.unknown {
				s.commit = nil
			}
			m.again(now, s)
		}
	case OutcomeUnknown:
		if s != nil {
			s.unknown = true
			m.again(now, s)
		}
	}
	return nil
}

// accepted puts an applied edit in force here and pushes it. The edit may have
// been answered as unknown before.
func (m *Machine) accepted(now time.Duration, s *editState, r Record) []Action {
	out := m.take(now, []Record{r})
	if s != nil {
		out = append(out, m.finish(s, r.Revision, nil))
	}
	out = append(out, m.pushAll([]Record{r})...)
	return append(out, m.runEdit(now)...)
}
