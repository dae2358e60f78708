package config

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Verb tells what an edit does.
type Verb string

// Verbs of edits.
const (
	VerbApply   Verb = "apply"
	VerbDelete  Verb = "delete"
	VerbDrain   Verb = "drain"
	VerbRestore Verb = "restore"
)

// Edit is a change that an operator asks for.
type Edit struct {
	Attempt ident.AttemptID
	Team    ident.Team
	Verb    Verb
	Key     Key
	// Expected is the revision of the record that the operator saw; 0 means
	// that the record is absent or deleted.
	Expected ident.Revision
	// Owner is the owner that the new record names.
	Owner ident.Team
	// Body is the JSON of the new document or drain, nil for a delete.
	Body   []byte
	Reason string
	// RequestedAt is the wall-clock time for the audit row.
	RequestedAt time.Time
}

// Event is an input of the machine.
type Event interface{ event() }

// Events of the machine.
type (
	// Tick lets time-driven work run. The shell sends it every TickInterval.
	Tick struct{}
	// PeersChanged gives the peer addresses of the other entry instances.
	PeersChanged struct{ Peers []string }
	// HeadRead answers ReadHead.
	HeadRead struct {
		Revision ident.Revision
		Err      error
	}
	// Scanned answers Scan. Head was read before the records.
	Scanned struct {
		Head    ident.Revision
		Records []Record
		Err     error
	}
	// Pulled answers Pull.
	Pulled struct {
		From     string
		Request  PullRequest
		Response PullResponse
		Err      error
	}
	// PushReceived is a push from a peer.
	PushReceived struct{ Message PushMessage }
	// PushDone answers Push. Err is nil when the peer acknowledged.
	PushDone struct {
		Push Push
		Err  error
	}
	// EditRequested starts an edit.
	EditRequested struct{ Edit Edit }
	// EditRowsRead answers ReadEditRows.
	EditRowsRead struct {
		Batch uint64
		Rows  EditRows
		Err   error
	}
	// Committed answers Commit.
	Committed struct {
		Commit  Commit
		Outcome Outcome
		// Rows is set when the outcome is OutcomeConflict.
		Rows EditRows
		Err  error
	}
)

func (Tick) event()          {}
func (PeersChanged) event()  {}
func (HeadRead) event()      {}
func (Scanned) event()       {}
func (Pulled) event()        {}
func (PushReceived) event()  {}
func (PushDone) event()      {}
func (EditRequested) event() {}
func (EditRowsRead) event()  {}
func (Committed) event()     {}

// RecordRow is the row of a record. Version 0 means absent.
type RecordRow struct {
	Key     Key
	Record  Record
	Version uint64
}

// EditRows holds the rows that edits depend on. HeadVersion 0 means absent.
type EditRows struct {
	Head        Head
	HeadVersion uint64
	Records     []RecordRow
}

func (r EditRows) row(k Key) RecordRow {
	for _, row := range r.Records {
		if row.Key == k {
			return row
		}
	}
	return RecordRow{Key: k}
}

// EditWrite is what one edit writes, on condition that the row that it replaces
// is unchanged.
type EditWrite struct {
	Replaces RecordRow
	Record   Record
	Audit    Audit
}

// Outcome tells what became of a commit.
type Outcome int

// Outcomes of a commit.
const (
	// OutcomeApplied: the transaction applied.
	OutcomeApplied Outcome = iota + 1
	// OutcomeConflict: it did not apply, because a row had changed.
	OutcomeConflict
	// OutcomeNotApplied: it did not apply, because the store refused it.
	OutcomeNotApplied
	// OutcomeUnknown: it may have applied, or may still apply.
	OutcomeUnknown
)

// Action is an output of the machine.
type Action interface{ action() }

// Actions of the machine.
type (
	// ReadHead asks for the head row.
	ReadHead struct{}
	// Scan asks for the head row and then all records.
	Scan struct{}
	// Pull asks a peer for records.
	Pull struct {
		From    string
		Request PullRequest
	}
	// Push sends records to a peer.
	Push struct {
		To      string
		Message PushMessage
		// Attempt counts from 0.
		Attempt int
	}
	// ReadEditRows asks for the head row and the rows of some records.
	ReadEditRows struct {
		Batch uint64
		Keys  []Key
	}
	// Commit asks for one transaction that writes the records, their audit rows
	// and the head on condition that the head and the replaced rows are
	// unchanged. When the answer is lost the same commit is sent again: the
	// condition on the head row lets it apply at most once, and the first audit
	// row tells whether it did.
	Commit struct {
		Batch       uint64
		Head        Head
		HeadVersion uint64
		Writes      []EditWrite
		// Again is set when the same commit was sent before.
		Again bool
	}
	// AnswerEdit ends an edit. Err is nil when it was accepted at Revision.
	AnswerEdit struct {
		Attempt  ident.AttemptID
		Revision ident.Revision
		Err      error
	}
	// Publish tells that View changed.
	Publish struct{}
)

func (ReadHead) action()     {}
func (Scan) action()         {}
func (Pull) action()         {}
func (Push) action()         {}
func (ReadEditRows) action() {}
func (Commit) action()       {}
func (AnswerEdit) action()   {}
func (Publish) action()      {}

func (c Commit) records() []Record {
	out := make([]Record, 0, len(c.Writes))
	for _, w := range c.Writes {
		out = append(out, w.Record)
	}
	return out
}

// headOnly is the After of a pull that asks for no records.
const headOnly = ^ident.Revision(0)

// PullRequest asks a peer for the records above a revision.
type PullRequest struct {
	After ident.Revision `msgpack:"a"`
}

// PullResponse holds records in order of their revision. The peer holds every
// revision up to Complete, and has heard of Head.
type PullResponse struct {
	Records  []Record       `msgpack:"r,omitempty"`
	Complete ident.Revision `msgpack:"c"`
	Head     ident.Revision `msgpack:"h"`
	// Ready is false while the peer itself looks for its floor. Such a peer
	// does not count as an answer for the floor of others.
	Ready bool `msgpack:"y"`
	// More tells that another request after Complete brings more records.
	More bool `msgpack:"m,omitempty"`
}

// PushMessage carries accepted records to a peer, which passes them on to the
// peers in Relay.
type PushMessage struct {
	Records []Record `msgpack:"r"`
	Relay   []string `msgpack:"l,omitempty"`
}

// Errors that end an edit.
var (
	// ErrStoreUnavailable: the edit did not apply.
	ErrStoreUnavailable = errors.New("the platform's store is unavailable and the edit did not apply: repeat it when the store answers")
	// ErrOutcomeUnknown: the edit may have applied.
	ErrOutcomeUnknown = errors.New("the platform's store did not confirm the edit and its outcome is unknown: read the record and compare its revision before repeating the edit")
	// ErrShutDown: the edit did not apply.
	ErrShutDown = errors.New("the entry instance shuts down: use another one")
	// ErrTooManyEdits: the edit did not apply.
	ErrTooManyEdits = errors.New("too many edits wait at this entry instance and the edit did not apply: repeat it after a second")
)

// ConflictError refuses an edit of a record that has another revision by now.
type ConflictError struct {
	Key               Key
	Expected, Current ident.Revision
}

// Error names the current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at revision %d, not %d: read it, merge the change and repeat the edit with the current revision",
		e.Key, e.Current, e.Expected)
}

// OwnerError refuses an edit by a team that does not own the document.
type OwnerError struct {
	Key         Key
	Owner, Team ident.Team
}

// Error names the owner.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("%s belongs to team %q and team %q may not edit it: ask the owner", e.Key, e.Owner, e.Team)
}
