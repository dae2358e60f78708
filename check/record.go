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

// Caller is one request as its caller saw it.
type Caller struct {
	// Request names the work: an order id or the hash of a prompt. Retries
	// share it.
	Request string
	Service ident.ServiceName
	Entry   ident.InstanceID
	Sent    time.Time
	Ended   time.Time
	Outcome Outcome
	// Answer and Want are the received and the expected answer or its checksum.
	// An empty Want is not compared.
	Answer string
	Want   string
	// Complete is false when the answer lacks its explicit end.
	Complete bool
	// EntryKilled is set when the test killed the entry while the request ran.
	EntryKilled bool
}

// Served is one request at a backend server.
type Served struct {
	Request     string
	Attempt     ident.AttemptID
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	DataCentre  ident.DataCentre
	Partner     ident.Partner
	Start, End  time.Time
	// Group and Epoch are what the request named, HeldGroup and HeldEpoch what
	// the backend server held. They are empty for plain services.
	Group     ident.GroupID
	Epoch     ident.Epoch
	HeldGroup ident.GroupID
	HeldEpoch ident.Epoch
	// BrokenMember names a member that did not hold the group and epoch while
	// the request ran, or is empty.
	BrokenMember ident.InstanceID
	// Cold and ColdLimit are the state of the backend server at the start. A
	// zero limit is not checked.
	Cold      bool
	ColdLimit int
	// Ran is false when the backend server did not work on the request.
	Ran bool
	// NonIdempotent requests may run once.
	NonIdempotent bool
}

// Membership is a change of the group that an instance holds.
type Membership struct {
	At          time.Time
	Instance    ident.InstanceID
	Incarnation ident.Incarnation
	// Group is empty when the instance leaves its group.
	Group ident.GroupID
	Epoch ident.Epoch
}

// GroupRow is a group's row as the store applied it. Rows of one transaction
// share a version.
type GroupRow struct {
	Version uint64
	At      time.Time
	Group   string
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
	Kind DrainKind
	Name string
	At   time.Time
	// Restored is zero while the drain lasts.
	Restored time.Time
}

// Lookup is an answer of the lookup that named an entry.
type Lookup struct {
	At         time.Time
	Entry      ident.InstanceID
	DataCentre ident.DataCentre
}

// Shutdown is a graceful shutdown of an entry.
type Shutdown struct {
	Entry ident.InstanceID
	At    time.Time
}

// Accepted is a configuration edit whose answer said that it was accepted.
type Accepted struct {
	Record   string
	Revision ident.Revision
	At       time.Time
}

// InForce is the revision that a node said it has in force.
type InForce struct {
	Node        ident.InstanceID
	Incarnation ident.Incarnation
	Revision    ident.Revision
	At          time.Time
}

// History is everything that was seen from outside.
type History struct {
	Callers     []Caller
	Served      []Served
	Memberships []Membership
	GroupRows   []GroupRow
	Drains      []Drain
	Lookups     []Lookup
	Shutdowns   []Shutdown
	Accepted    []Accepted
	InForce     []InForce
}

// Append adds the records of another history.
func (h *History) Append(o History) {
	h.Callers = append(h.Callers, o.Callers...)
	h.Served = append(h.Served, o.Served...)
	h.Memberships = append(h.Memberships, o.Memberships...)
	h.GroupRows = append(h.GroupRows, o.GroupRows...)
	h.Drains = append(h.Drains, o.Drains...)
	h.Lookups = append(h.Lookups, o.Lookups...)
	h.Shutdowns = append(h.Shutdowns, o.Shutdowns...)
	h.Accepted = append(h.Accepted, o.Accepted...)
	h.InForce = append(h.InForce, o.InForce...)
}
