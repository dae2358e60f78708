package claim

import "time"

// StoreStatus is the result of a write as far as the writer knows it.
type StoreStatus int

// Results of a write.
const (
	// StoreApplied means that the write was applied.
	StoreApplied StoreStatus = iota + 1
	// StoreConflict means that the write was not applied, because the row does not
	// have the required version.
	StoreConflict
	// StoreNotApplied means that the write was not applied for another reason, for
	// example because the store is unavailable, the queue is full, or the store
	// throttled until the write had been queued too long.
	StoreNotApplied
	// StoreUnknown means that the write may have been applied or may still be
	// applied.
	StoreUnknown
)

// StoreResult is the result of a write. Version is set if the write was applied.
// Row is the current row after a conflict, nil if the row is absent.
type StoreResult struct {
	Status  StoreStatus
	Version uint64
	Row     *StoredRecord
}

// Report is the state of an attempt as reported by the incarnation that started
// it.
type Report struct {
	State  State   `msgpack:"s"`
	Digest Digest  `msgpack:"d"`
	Answer *Answer `msgpack:"a,omitempty"`
}

// DispatchStatus is the result of a dispatch as far as the sender knows it.
type DispatchStatus int

// Results of a dispatch.
const (
	// DispatchAnswered means that a complete answer was received.
	DispatchAnswered DispatchStatus = iota + 1
	// DispatchNotRun means that the request did not run: the backend server
	// replied so, or the connection failed before any byte was sent. Another
	// backend server may be tried.
	DispatchNotRun
	// DispatchRefused means that the request did not run and must not be retried:
	// no backend server was available, or a filter refused the request.
	DispatchRefused
	// DispatchUnknown means that the request may have run.
	DispatchUnknown
)

// Event is an input of Machine.
type Event interface{ isEvent() }

// Events of Machine.
type (
	// Started starts the request. It is the first event.
	Started struct{}
	// Reserved is the result of Reserve. Existing is the attempt of this
	// incarnation that already has the key, and Report is its state. Existing is
	// nil if the request's own attempt was added. It is an empty Owner if the
	// ticket has expired or the registry is full; the state in Report is then
	// StateUnknown or StateGone.
	Reserved struct {
		Existing *Owner
		Report   Report
	}
	// Written is the result of Insert, Takeover and WriteOutcome.
	Written struct{ Result StoreResult }
	// ReadDone is the result of Read. Failed is set if the row could not be read.
	// Row is nil if the row is absent.
	ReadDone struct {
		Row    *StoredRecord
		Failed bool
	}
	// QueryOwnerDone is the result of QueryOwner.
	QueryOwnerDone struct{ Report Report }
	// DispatchDone is the result of Dispatch.
	DispatchDone struct {
		Status DispatchStatus
		Answer *Answer
		Cause  error
	}
	// WaitDone reports that the delay of Wait has passed.
	WaitDone struct{}
	// DeadlinePassed reports that the caller's deadline has passed or that the
	// caller has disconnected. It may occur while an action is outstanding.
	DeadlinePassed struct{}
)

func (Started) isEvent()        {}
func (Reserved) isEvent()       {}
func (Written) isEvent()        {}
func (ReadDone) isEvent()       {}
func (QueryOwnerDone) isEvent() {}
func (DispatchDone) isEvent()   {}
func (WaitDone) isEvent()       {}
func (DeadlinePassed) isEvent() {}

// Action is an output of Machine. SetFinalState, MarkRecorded and Reply take effect
// immediately and in order. Each other action leads to exactly one event, and at
// most one of them is outstanding at a time.
type Action interface{ isAction() }

// Actions of Machine.
type (
	// Reserve adds the attempt to the registry as the only one for the key.
	Reserve struct{}
	// Insert writes the record on the condition that the row is absent.
	Insert struct{ Record Record }
	// Takeover replaces the row of an abandoned attempt on the condition that the
	// row has the given version.
	Takeover struct {
		Record  Record
		Version uint64
	}
	// Read reads the row of the key.
	Read struct{}
	// QueryOwner queries the owner's incarnation for the state of its attempt.
	QueryOwner struct{ Owner Owner }
	// Dispatch sends the request to one backend server, once. Number counts the
	// dispatches of the request from 1.
	Dispatch struct{ Number int }
	// WriteOutcome replaces the attempt's own row on the condition that the row
	// has the given version.
	WriteOutcome struct {
		Record  Record
		Version uint64
	}
	// Wait requests WaitDone after a delay.
	Wait struct{ Delay time.Duration }
	// SetFinalState sets the final state of the attempt in the registry.
	SetFinalState struct {
		State  State
		Answer *Answer
	}
	// MarkRecorded marks in the registry that the store has the outcome.
	MarkRecorded struct{}
	// Reply answers the caller. It is emitted once per request.
	Reply struct{ Reply Result }
)

func (Reserve) isAction()       {}
func (Insert) isAction()        {}
func (Takeover) isAction()      {}
func (Read) isAction()          {}
func (QueryOwner) isAction()    {}
func (Dispatch) isAction()      {}
func (WriteOutcome) isAction()  {}
func (Wait) isAction()          {}
func (SetFinalState) isAction() {}
func (MarkRecorded) isAction()  {}
func (Reply) isAction()         {}

// ResultKind is the kind of a Result.
type ResultKind int

// Kinds of results.
const (
	// ResultAnswer carries the answer to this request's own dispatch.
	ResultAnswer ResultKind = iota + 1
	// ResultReplay carries the answer of an earlier attempt with the same key.
	ResultReplay
	// ResultNotRun means that this attempt did not run and never will, and that
	// no earlier call with the key ran.
	ResultNotRun
	// ResultUnknown means that an attempt with the key may have run.
	ResultUnknown
	// ResultConflict means that the key was used for a different request.
	ResultConflict
)

// Result is the result of a request for its caller.
type Result struct {
	Kind   ResultKind
	Answer *Answer
	// Reason explains why the request did not run or its outcome is unknown.
	Reason Reason
	// Cause is the underlying error, if there is one.
	Cause error
	// EarlierCallUnknown is set if this call did not run and it is not known whether
	// an earlier call with the same key did. Kind is then ResultUnknown, or
	// ResultNotRun if the caller stated that there was no earlier call.
	EarlierCallUnknown bool
}

// Reason is the text that explains why a request did not run or its outcome is
// unknown. Callers get it in error responses.
type Reason string

// Reasons.
const (
	ReasonStoreTimeout     Reason = "the store could not record the request in time"
	ReasonDeadlinePassed   Reason = "the deadline passed before the request was dispatched"
	ReasonNoBackend        Reason = "no backend server ran the request"
	ReasonRefused          Reason = "the request was refused before it was dispatched"
	ReasonStillRunning     Reason = "an attempt with this key is still running"
	ReasonOwnerUnreachable Reason = "the entry instance that took the request cannot be asked"
	ReasonAnswerLost       Reason = "the backend server's answer was lost"
	ReasonRegistryFull     Reason = "this entry instance remembers too many unfinished requests"
)

// Request describes the request that a Machine handles.
type Request struct {
	Key    Key
	Digest Digest
	// Owner identifies the attempt of this request at this incarnation.
	Owner Owner
	// KeyIsTicket is set if the key is a ticket of this incarnation. Such a request
	// is dispatched without inserting a row, because no other incarnation may run
	// it.
	KeyIsTicket bool
	// FirstCall is set if the caller states that this is the first call with the key.
	FirstCall bool
	// Expires is the wall clock time, in Unix seconds, at which retention ends.
	Expires int64
}
