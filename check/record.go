package check

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered is an answer, whole or not.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun, OutcomeUnknown and OutcomeRan are typed refusals.
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
	// OutcomeCut is a connection that ended without an answer or within one.
	OutcomeCut Outcome = "cut"
	// OutcomeUnreachable is a connection that could not be opened.
	OutcomeUnreachable Outcome = "unreachable"
)

// CallerRequest is one request as its caller saw it.
type CallerRequest struct {
	// Request names the work: an order id or the hash of a prompt. Retries
	// share it.
	Request string
	Service ident.ServiceName
	Entry   ident.InstanceID
	SentAt  time.Time
	EndedAt time.Time
	Outcome Outcome
	// Answer and WantAnswer are the received and the expected answer or its checksum.
	// An empty WantAnswer is not compared.
	Answer     string
	WantAnswer string
	// Complete is false when the answer lacks its explicit end.
	Complete bool
	// EntryKilled is set when the test killed the entry while the request ran.
	EntryKilled bool
}

// BackendRequests is one request at a backend server.
type BackendRequest struct {
	Request            string
	Attempt            ident.AttemptID
	Instance           ident.InstanceID
	Incarnation        ident.Incarnation
	DataCentre         ident.DataCentre
	Partner            ident.Partner
	StartedAt, EndedAt time.Time
	// Group and Epoch are what the request named, ServerGroup and ServerEpoch what
	// the backend server held. They are empty for plain services.
	Group       ident.GroupID
	Epoch       ident.Epoch
	ServerGroup ident.GroupID
	ServerEpoch ident.Epoch
	// MissingMember names a member that did not hold the group and epoch while
	// the request ran, or is empty.
	MissingMember ident.InstanceID
	// ColdStart and ColdLimit are the state of the backend server at the start. A
	// zero limit is not checked.
	ColdStart bool
	ColdLimit int
	// Ran is false when the backend server did not work on the request.
	Ran bool
	// NonIdempotent requests may run once.
	NonIdempotent bool
}

// MembershipChange is a change of the group that an instance holds.
type MembershipChange struct {
	ChangedAt   time.Time
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	// Group is empty when the instance leaves its group.
	Group ident.GroupID
	Epoch ident.Epoch
}

// GroupRow is a group's row as the store applied it. Rows of one transaction
// share a version.
type GroupRow struct {
	Version   uint64
	WrittenAt time.Time
	Group     string
	// Members is empty when the row is deleted or the group has stopped.
	Members []ident.InstanceID
}

// DrainKind is what a drain takes out of service.
type DrainKind string

// Kinds of drains.
const (
	DrainDataCentre DrainKind = "datacentre"
	DrainInstance   DrainKind = "instance"
	DrainPartner    DrainKind = "partner"
)

// Drain is an accepted drain, or the platform's notice that an instance leaves.
type Drain struct {
	Kind       DrainKind
	Name       string
	AcceptedAt time.Time
	// RestoredAt is zero while the drain lasts.
	RestoredAt time.Time
}

// LookupAnswer is an answer of the lookup that named an entry.
type LookupAnswer struct {
	AnsweredAt time.Time
	Entry      ident.InstanceID
	DataCentre ident.DataCentre
}

// Shutdown is a graceful shutdown of an entry.
type Shutdown struct {
	Entry     ident.InstanceID
	StartedAt time.Time
}

// AcceptedEdits is a configuration edit whose answer said that it was accepted.
type AcceptedEdit struct {
	Record     string
	Revision   ident.Revision
	AcceptedAt time.Time
}

// ActiveRevisions is the revision that a node said it has in force.
type ActiveRevision struct {
	Node        ident.InstanceID
	Incarnation ident.Incarnation
	Revision    ident.Revision
	ObservedAt  time.Time
}

// History is everything that was seen from outside.
type History struct {
	CallerRequests    []CallerRequest
	BackendRequests   []BackendRequest
	MembershipChanges []MembershipChange
	GroupRows         []GroupRow
	Drains            []Drain
	Lookups           []LookupAnswer
	Shutdowns         []Shutdown
	AcceptedEdits     []AcceptedEdit
	ActiveRevisions   []ActiveRevision
}

// Append adds the records of another history.
func (h *History) Append(o History) {
	h.CallerRequests = append(h.CallerRequests, o.CallerRequests...)
	h.BackendRequests = append(h.BackendRequests, o.BackendRequests...)
	h.MembershipChanges = append(h.MembershipChanges, o.MembershipChanges...)
	h.GroupRows = append(h.GroupRows, o.GroupRows...)
	h.Drains = append(h.Drains, o.Drains...)
	h.Lookups = append(h.Lookups, o.Lookups...)
	h.Shutdowns = append(h.Shutdowns, o.Shutdowns...)
	h.AcceptedEdits = append(h.AcceptedEdits, o.AcceptedEdits...)
	h.ActiveRevisions = append(h.ActiveRevisions, o.ActiveRevisions...)
}
