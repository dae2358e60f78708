package check

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Outcome is the result of a request as seen by its caller.
type Outcome string

// Outcomes of a request.
const (
	// OutcomeAnswered means that an answer was received, complete or not.
	OutcomeAnswered Outcome = "answered"
	// OutcomeNotRun, OutcomeUnknown and OutcomeRan mean that an error response was
	// received that states that the request did not run, may have run, or ran.
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
	OutcomeRan     Outcome = "ran"
	// OutcomeCut means that the connection ended before or during the answer.
	OutcomeCut Outcome = "cut"
	// OutcomeUnreachable means that the connection could not be opened.
	OutcomeUnreachable Outcome = "unreachable"
)

// CallerRequest is one request as seen by its caller.
type CallerRequest struct {
	// Request is the name of the request: an order ID or the hash of a prompt. It
	// is the same in retries.
	Request string
	Service ident.ServiceName
	Entry   ident.InstanceID
	SentAt  time.Time
	EndedAt time.Time
	Outcome Outcome
	// Answer and WantAnswer are the received and the expected answer, or checksums of
	// them. They are not compared if WantAnswer is empty.
	Answer     string
	WantAnswer string
	// Complete is set if the answer had its end marker.
	Complete bool
	// EntryKilled is set if the test killed the entry instance during the request.
	EntryKilled bool
}

// BackendRequest is one request as seen by a backend server.
type BackendRequest struct {
	Request            string
	Attempt            ident.AttemptID
	Instance           ident.InstanceID
	Incarnation        ident.Incarnation
	DataCentre         ident.DataCentre
	Partner            ident.Partner
	StartedAt, EndedAt time.Time
	// Group and Epoch are those that the request named. ServerGroup and ServerEpoch are
	// those of which the backend server was a member. They are empty for plain
	// services.
	Group       ident.GroupID
	Epoch       ident.Epoch
	ServerGroup ident.GroupID
	ServerEpoch ident.Epoch
	// MissingMember is a member that did not have the group and epoch while the
	// request ran, or empty if there was none.
	MissingMember ident.InstanceID
	// ColdStart is set if the backend server was in a cold start when the request
	// arrived. ColdLimit is its limit of concurrent requests in a cold start; 0
	// disables the check.
	ColdStart bool
	ColdLimit int
	// Ran is set if the backend server worked on the request.
	Ran bool
	// NonIdempotent is set if the request must run at most once.
	NonIdempotent bool
}

// MembershipChange is a change of the group of which an instance is a member.
type MembershipChange struct {
	ChangedAt   time.Time
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	// Group is empty if the instance left its group.
	Group ident.GroupID
	Epoch ident.Epoch
}

// GroupRow is a write of a group's row that the store applied. Rows of one
// transaction have the same version.
type GroupRow struct {
	Version   uint64
	WrittenAt time.Time
	Group     string
	// Members is empty if the row was deleted or the group has stopped.
	Members []ident.InstanceID
}

// DrainKind is the kind of object that a drain takes out of service.
type DrainKind string

// Kinds of drains.
const (
	DrainDataCentre DrainKind = "datacentre"
	DrainInstance   DrainKind = "instance"
	DrainPartner    DrainKind = "partner"
)

// Drain is a drain that was accepted, or an announcement by the platform that an
// instance will leave.
type Drain struct {
	Kind       DrainKind
	Name       string
	AcceptedAt time.Time
	// RestoredAt is the end of the drain, or zero if it has not ended.
	RestoredAt time.Time
}

// LookupAnswer is an answer of the lookup service that contained an entry instance.
type LookupAnswer struct {
	AnsweredAt time.Time
	Entry      ident.InstanceID
	DataCentre ident.DataCentre
}

// Shutdown is a graceful shutdown of an entry instance.
type Shutdown struct {
	Entry     ident.InstanceID
	StartedAt time.Time
}

// AcceptedEdit is a configuration edit that was accepted according to its answer.
type AcceptedEdit struct {
	Record     string
	Revision   ident.Revision
	AcceptedAt time.Time
}

// ActiveRevision is the configuration revision that a node reported as in force.
type ActiveRevision struct {
	Node        ident.InstanceID
	Incarnation ident.Incarnation
	Revision    ident.Revision
	ObservedAt  time.Time
}

// History contains the observations that were made from outside the system.
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

// Append adds the observations of another history.
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
