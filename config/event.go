package config

import (
	"fmt"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Verb is the operation of an edit.
type Verb string

// Verbs of edits.
const (
	VerbApply   Verb = "apply"
	VerbDelete  Verb = "delete"
	VerbDrain   Verb = "drain"
	VerbRestore Verb = "restore"
	// VerbWriteBack is the verb in the audit row of a record that a node wrote back,
	// because the store was restored from an older copy.
	VerbWriteBack Verb = "write-back"
)

// Edit is a change of one record that an operator requests.
type Edit struct {
	Attempt ident.AttemptID
	Team    ident.Team
	Verb    Verb
	Key     Key
	// Expected is the revision of the record that the operator based the edit
	// on; 0 means that the record is absent or deleted.
	Expected ident.Revision
	// Owner is the owning team in the new record.
	Owner ident.Team
	// Body is the JSON of the new document or drain, nil for a delete.
	Body   []byte
	Reason string
	// RequestedAt is the wall-clock time of the request, for the audit row.
	RequestedAt time.Time
}

// Event is an input of the machine.
type Event interface{ event() }

// Events of the machine. Era is the era of the store's answer, or 0 if the store reports
// none; see infra.EraReporter.
type (
	// Tick runs the work that is due by time. It is sent every TickInterval.
	Tick struct{}
	// PeersChanged replaces the peer addresses of the entry instances.
	PeersChanged struct{ Peers []string }
	// HeadRead is the result of ReadHead.
	HeadRead struct {
		Revision ident.Revision
		Era      uint64
		Err      error
	}
	// Scanned is the result of Scan. Head was read before the records.
	Scanned struct {
		Head    ident.Revision
		Records []Record
		Era     uint64
		Err     error
	}
	// Pulled is the result of Pull.
	Pulled struct {
		From     string
		Request  PullRequest
		Response PullResponse
		Err      error
	}
	// PushReceived delivers a push from a peer.
	PushReceived struct{ Message PushMessage }
	// PushDone is the result of Push. Err is nil if the peer acknowledged it.
	PushDone struct {
		Push Push
		Err  error
	}
	// EditRequested starts an edit.
	EditRequested struct{ Edit Edit }
	// EditRowsRead is the result of ReadEditRows.
	EditRowsRead struct {
		Batch uint64
		Rows  EditRows
		Era   uint64
		Err   error
	}
	// Committed is the result of Commit.
	Committed struct {
		Commit  Commit
		Outcome Outcome
		// Rows is set when the outcome is OutcomeConflict.
		Rows EditRows
		// Era is that of the last answer. If it differs from the commit's, an applied
		// commit may have been applied in either.
		Era uint64
		Err error
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

// RecordRow is the row of a record. Version 0 means that the row is absent.
type RecordRow struct {
	Key     Key
	Record  Record
	Version uint64
}

// EditRows holds the rows that a batch of edits depends on. HeadVersion 0 means
// that the head row is absent.
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

// EditWrite holds the rows that one edit writes. The write is conditional on the
// replaced row being unchanged.
type EditWrite struct {
	Replaces RecordRow
	Record   Record
	Audit    Audit
}

// Outcome is the outcome of a commit.
type Outcome int

// Outcomes of a commit.
const (
	// OutcomeApplied means that the transaction applied.
	OutcomeApplied Outcome = iota + 1
	// OutcomeConflict means that it did not apply, because a row had changed.
	OutcomeConflict
	// OutcomeNotApplied means that it did not apply for another reason, such as
	// a store that is unavailable.
	OutcomeNotApplied
	// OutcomeUnknown means that it may have applied or may still apply.
	OutcomeUnknown
)

// Action is an output of the machine.
type Action interface{ action() }

// Actions of the machine.
type (
	// ReadHead reads the head row.
	ReadHead struct{}
	// Scan reads the head row and then all records.
	Scan struct{}
	// Pull requests records from a peer.
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
	// ReadEditRows reads the head row and the rows of some records, or of all records if
	// All is set.
	ReadEditRows struct {
		Batch uint64
		Keys  []Key
		All   bool
	}
	// Commit runs one transaction that writes the records, their audit rows and
	// the head row, on condition that the head row and the replaced rows are
	// unchanged. When its outcome is unknown the same commit is sent again: the
	// condition on the head row makes it apply at most once, and the audit row
	// of its first edit shows whether it did. Era is the era in which the rows were
	// read; see Guard.
	Commit struct {
		Batch       uint64
		Era         uint64
		Head        Head
		HeadVersion uint64
		Writes      []EditWrite
		// Resent is set when the same commit was sent before.
		Resent bool
	}
	// AnswerEdit completes an edit. Err is nil if it was accepted at Revision.
	AnswerEdit struct {
		Attempt  ident.AttemptID
		Revision ident.Revision
		Err      error
	}
	// Publish means that the result of Machine.View has changed: the caller has
	// to read it again.
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

// headOnly is the After of a pull that requests no records, only the peer's
// revisions.
const headOnly = ^ident.Revision(0)

// PullRequest requests the records with a revision above After.
type PullRequest struct {
	After ident.Revision `msgpack:"a"`
}

// PullResponse holds records in order of their revision. The response covers
// every revision up to CompleteRevision. Head is the highest revision that the
// peer has learned of.
type PullResponse struct {
	Records          []Record       `msgpack:"r,omitempty"`
	CompleteRevision ident.Revision `msgpack:"c"`
	Head             ident.Revision `msgpack:"h"`
	// Ready is false until the peer has reached its own join floor. Until then
	// others ignore its revisions when they determine their floor.
	Ready bool `msgpack:"y"`
	// HasMore means that a request after CompleteRevision returns more records.
	HasMore bool `msgpack:"m,omitempty"`
}

// PushMessage carries accepted records to a peer, which forwards them to the
// peers in Relay.
type PushMessage struct {
	Records []Record `msgpack:"r"`
	Relay   []string `msgpack:"l,omitempty"`
}

// Errors of edits.
var (
	// ErrStoreUnavailable means that the edit reached its deadline and did not
	// apply.
	ErrStoreUnavailable = errors.New("the platform's store is unavailable and the edit did not apply: repeat it when the store answers")
	// ErrOutcomeUnknown means that the edit may have applied or may still apply.
	ErrOutcomeUnknown = errors.New("the platform's store did not confirm the edit and its outcome is unknown: read the record and compare its revision before repeating the edit")
	// ErrShutDown means that the control goroutine of this entry instance has
	// ended. An edit that fails with it did not apply.
	ErrShutDown = errors.New("the entry instance shuts down: use another one")
	// ErrTooManyEdits means that the number of edits in progress had reached its
	// limit, and the edit did not apply.
	ErrTooManyEdits = errors.New("too many edits wait at this entry instance and the edit did not apply: repeat it after a second")
)

// ConflictError rejects an edit whose expected revision is not the current one.
type ConflictError struct {
	Key               Key
	Expected, Current ident.Revision
}

// Error returns a message with the current revision and the remedy.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("%s is at revision %d, not %d: read it, merge the change and repeat the edit with the current revision",
		e.Key, e.Current, e.Expected)
}

// OwnerError rejects an edit by a team that does not own the document.
type OwnerError struct {
	Key         Key
	Owner, Team ident.Team
}

// Error returns a message with the owner.
func (e *OwnerError) Error() string {
	return fmt.Sprintf("%s belongs to team %q and team %q may not edit it: ask the owner", e.Key, e.Owner, e.Team)
}
