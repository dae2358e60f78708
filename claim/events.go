package claim

import "time"

// StoreStatus is what the writer learnt about its write.
type StoreStatus int

// Results of a write.
const (
	// StoreApplied took effect.
	StoreApplied StoreStatus = iota + 1
	// StoreConflict did not apply, because the row differs from the condition.
	StoreConflict
	// StoreNotApplied did not apply: the store is throttled or unavailable.
	StoreNotApplied
	// StoreUnknown may have applied, now or later.
	StoreUnknown
)

// StoreResult is the result of a write. Version is set when it applied; Row
// is the current row of a conflict, nil if the row is absent.
type StoreResult struct {
	Status  StoreStatus
	Version uint64
	Row     *StoredRecord
}

// Report is what an incarnation says about an attempt.
type Report struct {
	State  State   `msgpack:"s"`
	Digest Digest  `msgpack:"d"`
	Answer *Answer `msgpack:"a,omitempty"`
}

// DispatchStatus is what is known after a dispatch.
type DispatchStatus int

// Results of a dispatch.
const (
	// DispatchAnswered has a whole answer.
	DispatchAnswered DispatchStatus = iota + 1
	// DispatchNotRun did not run: the backend server said so, or the connection
	// failed before any byte was sent. Another backend server may be tried.
	DispatchNotRun
	// DispatchRefused did not run and must not be tried again: no backend server
	// could be chosen, or a filter refused the request.
	DispatchRefused
	// DispatchUnknown may have run.
	DispatchUnknown
)

// Event is an input of Machine.
type Event interface{ isEvent() }

// Events.
type (
	// Started begins the request.
	Started struct{}
	// Reserved answers Reserve. Existing is the local attempt that already
	// holds the key, or nil when this request's attempt now holds it.
	Reserved struct {
		Existing *Owner
		Report   Report
	}
	// Written answers Insert, Takeover and WriteOutcome.
	Written struct{ Result StoreResult }
	// ReadDone answers Read. Failed means that the store did not answer; Row is
	// nil when the row is absent.
	ReadDone struct {
		Row    *StoredRecord
		Failed bool
	}
	// QueryOwnerDone answers QueryOwner.
	QueryOwnerDone struct{ Report Report }
	// DispatchDone answers Dispatch.
	DispatchDone struct {
		Status DispatchStatus
		Answer *Answer
		Cause  error
	}
	// WaitDone answers Wait.
	WaitDone struct{}
	// DeadlinePassed tells that the caller's deadline passed or that the caller
	// went away. It may arrive while an action is outstanding.
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

// Action is an output of Machine. SetFinalState and Reply take effect at once and
// in order; each other action is answered by one event, and at most one of
// them is outstanding.
type Action interface{ isAction() }

// Actions.
type (
	// Reserve makes the attempt the incarnation's only one for the key.
	Reserve struct{}
	// Insert writes the record if the row is absent.
	Insert struct{ Record Record }
	// Takeover replaces the row of an abandoned attempt at a version.
	Takeover struct {
		Record  Record
		Version uint64
	}
	// Read reads the row.
	Read struct{}
	// QueryOwner asks the owner's incarnation for the state of its attempt.
	QueryOwner struct{ Owner Owner }
	// Dispatch sends the request to one backend server, once.
	Dispatch struct{ Number int }
	// WriteOutcome replaces the attempt's own row at a version.
	WriteOutcome struct {
		Record  Record
		Version uint64
	}
	// Wait delays the next step.
	Wait struct{ Delay time.Duration }
	// SetFinalState records the state of the attempt in the register.
	SetFinalState struct {
		State  State
		Answer *Answer
	}
	// MarkRecorded tells the register that the store holds the outcome.
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

// ResultKind is the kind of reply to a caller.
type ResultKind int

// Kinds of replies.
const (
	// ResultAnswer carries the answer of this request's own dispatch.
	ResultAnswer ResultKind = iota + 1
	// ResultReplay carries the answer of an earlier attempt with the same key.
	ResultReplay
	// ResultNotRun is a refusal: this attempt was not run and never will be,
	// and no earlier call with the key ran.
	ResultNotRun
	// ResultUnknown means that an attempt with this key may have run.
	ResultUnknown
	// ResultConflict means that the key was used for another request.
	ResultConflict
)

// Result is the reply to a caller.
type Result struct {
	Kind   ResultKind
	Answer *Answer
	// Reason says why a request was not run or its outcome is unknown.
	Reason Reason
	// Cause is the error of a refused dispatch, if one is known.
	Cause error
	// EarlierCallUnknown is set when this call did not run, but the claims cannot
	// tell whether an earlier call with the same key did. The kind is then
	// ResultUnknown, or ResultNotRun if the caller stated that there is no
	// earlier call.
	EarlierCallUnknown bool
}

// Reason explains a refusal or an unknown outcome.
type Reason string

// Reasons.
const (
	ReasonStore        Reason = "the store could not record the request in time"
	ReasonDeadline     Reason = "the deadline passed before the request was dispatched"
	ReasonBackend      Reason = "no backend server ran the request"
	ReasonRefused      Reason = "the request was refused before it was dispatched"
	ReasonStillRunning Reason = "an attempt with this key is still running"
	ReasonOwnerGone    Reason = "the entry instance that took the request cannot be asked"
	ReasonAnswerLost   Reason = "the backend server's answer was lost"
	ReasonRegisterFull Reason = "this entry instance remembers too many unfinished requests"
)

// Request identifies the request that a Machine handles.
type Request struct {
	Key    Key
	Digest Digest
	// Owner is the request's own attempt at this incarnation.
	Owner Owner
	// Ticket is set when the key is a ticket of this incarnation. Such a request
	// runs without a row: nobody else may run it.
	Ticket bool
	// FirstCall is set when the caller states that it never sent the key before.
	FirstCall bool
	// Expires is the wall clock time, in Unix seconds, of the end of retention.
	Expires int64
}
