package trace

import (
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/routing"
	"github.com/bulrushfall/bulrushfall/service"
)

const (
	// Format is the value of the header's format field.
	Format = "bulrush-trace"
	// Version is the version of the format that this package reads and writes.
	Version = 1
)

// Header is the first line of a trace.
type Header struct {
	Format  string `json:"format"`
	Version int    `json:"version"`
	// Name and Description tell people what the trace holds.
	Name        string `json:"name"`
	Description string `json:"description,omitempty"`
	// Seed is the source of randomness that a replay hands to the machines.
	Seed uint64 `json:"seed"`
	// TickMicros is the time between tick events of a replay. 0 means none.
	TickMicros int64 `json:"tick_us"`
	// EndMicros is the time until which ticks go on after the last event.
	EndMicros int64 `json:"end_us,omitempty"`
	// Dropped is the number of events that the recorder lost to its bound.
	Dropped uint64 `json:"dropped,omitempty"`
}

// Kind is the type of an event.
type Kind string

// Kinds of events. KindTick is made by a replay and does not occur in traces.
const (
	KindRequest        Kind = "request"
	KindAnswer         Kind = "answer"
	KindLoadReport     Kind = "load-report"
	KindCache          Kind = "cache"
	KindInstance       Kind = "instance"
	KindMemberLost     Kind = "member-lost"
	KindMemberReturned Kind = "member-returned"
	KindDrain          Kind = "drain"
	KindStore          Kind = "store"
	KindEdit           Kind = "edit"
	// KindGroups, KindChoice and KindRelease are what the routing of an entry
	// instance saw and decided. KindGap marks where events are missing.
	KindGroups  Kind = "groups"
	KindChoice  Kind = "choice"
	KindRelease Kind = "release"
	KindGap     Kind = "gap"
	KindTick    Kind = "tick"
)

// Event is one line of a trace. Exactly the payload that its kind names is set.
type Event struct {
	// At is the time since the start of the trace, in microseconds. It never
	// falls from one event to the next.
	AtMicros int64 `json:"at_us"`
	Kind     Kind  `json:"kind"`
	// Node is the entry instance that saw the event, or empty for all.
	Node ident.InstanceID `json:"node,omitempty"`

	Request    *Request       `json:"request,omitempty"`
	Answer     *Answer        `json:"answer,omitempty"`
	LoadReport *engine.Status `json:"load_report,omitempty"`
	Cache      *Cache         `json:"cache,omitempty"`
	// Instance is the payload of instance events: an entry of the platform's
	// list.
	Instance *infra.Instance `json:"instance,omitempty"`
	// Member is the payload of member-lost and member-returned events.
	Member *Member `json:"member,omitempty"`
	Drain  *Drain  `json:"drain,omitempty"`
	Store  *Store  `json:"store,omitempty"`
	Edit   *Edit   `json:"edit,omitempty"`

	Groups  *Groups  `json:"groups,omitempty"`
	Choice  *Choice  `json:"choice,omitempty"`
	Release *Release `json:"release,omitempty"`
	Gap     *Gap     `json:"gap,omitempty"`
}

// At returns the time of the event since the start of the trace.
func (e *Event) At() time.Duration { return time.Duration(e.AtMicros) * time.Microsecond }

// Request is the arrival of a caller's request.
type Request struct {
	ID           string            `json:"id"`
	Service      ident.ServiceName `json:"service"`
	Account      ident.Account     `json:"account"`
	Class        service.Class     `json:"class,omitempty"`
	Priority     int               `json:"priority,omitempty"`
	Idempotent   bool              `json:"idempotent,omitempty"`
	Key          string            `json:"key,omitempty"`
	Fingerprint  ident.Fingerprint `json:"fingerprint,omitempty"`
	PromptTokens int               `json:"prompt_tokens,omitempty"`
	MaxTokens    int               `json:"max_tokens,omitempty"`
	// Prefixes are hashes of the prompt's block-aligned prefixes.
	Prefixes       []uint64 `json:"prefixes,omitempty"`
	DeadlineMillis int64    `json:"deadline_ms,omitempty"`
	// FirstCall is the caller's statement that it never sent the key before.
	FirstCall bool `json:"first_call,omitempty"`
}

// Answer is the end of a request.
type Answer struct {
	ID      string            `json:"id"`
	Service ident.ServiceName `json:"service,omitempty"`
	Group   ident.GroupID     `json:"group,omitempty"`
	Account ident.Account     `json:"account,omitempty"`
	// Outcome is answered, not-run, unknown, ran, cut or crashed.
	Outcome          string `json:"outcome"`
	FirstTokenMicros int64  `json:"first_token_us,omitempty"`
	Tokens           int    `json:"tokens,omitempty"`
}

// Cache is a cache event as it reached an entry.
type Cache struct {
	Instance ident.InstanceID  `json:"instance,omitempty"`
	Event    engine.CacheEvent `json:"event"`
}

// Member is a member of a group or a server that was lost or came back.
type Member struct {
	Instance    ident.InstanceID  `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation,omitempty"`
	// Reason is killed, paused, partitioned, straggling, crashed, left or
	// silent: open connections carry nothing back until the member returns.
	// Unreachable is what an entry instance records of a loss that it cannot
	// tell apart from the others.
	Reason string `json:"reason,omitempty"`
}

// Drain takes a data centre, an instance or a partner out or brings it back.
type Drain struct {
	// Kind is datacentre, instance or partner.
	Kind     string         `json:"kind"`
	Name     string         `json:"name"`
	Revision ident.Revision `json:"revision"`
	Restored bool           `json:"restored,omitempty"`
}

// StoreState is how the platform's store behaves from an event on.
type StoreState string

// States of the store.
const (
	StoreUp    StoreState = "up"
	StoreDown  StoreState = "down"
	StoreSlow  StoreState = "slow"
	StoreLossy StoreState = "lossy"
)

// Store is a change of the store's behaviour. A lossy store applies writes
// whose answers are lost.
type Store struct {
	State StoreState `json:"state"`
}

// Edit is an attempt to change a service document.
type Edit struct {
	Service  ident.ServiceName `json:"service"`
	Team     ident.Team        `json:"team"`
	Expected ident.Revision    `json:"expected"`
	Revision ident.Revision    `json:"revision,omitempty"`
	// Document is empty when the document was deleted.
	Document string `json:"document,omitempty"`
	// Refused is set when the edit was not accepted.
	Refused bool `json:"refused,omitempty"`
}

// Groups is what the routing of a service took over from a new snapshot. Rows
// that are as they were in the last groups event of the service are left out.
type Groups struct {
	Service ident.ServiceName `json:"service"`
	// Complete is set when Rows are all groups. The state of the random source
	// before the next choice is in Rand then, and DataCentre and Region are
	// those of the entry instance.
	Complete   bool             `json:"complete,omitempty"`
	Rand       []byte           `json:"rand,omitempty"`
	DataCentre ident.DataCentre `json:"data_centre,omitempty"`
	Region     ident.Region     `json:"region,omitempty"`
	Rows       []GroupRow       `json:"rows,omitempty"`
	Removed    []ident.GroupID  `json:"gone,omitempty"`
}

// GroupRow is one group, or a backend server of a plain service, as routing
// sees it.
type GroupRow struct {
	ID         ident.GroupID    `json:"id"`
	Epoch      ident.Epoch      `json:"epoch,omitempty"`
	Leader     ident.InstanceID `json:"leader,omitempty"`
	DataCentre ident.DataCentre `json:"data_centre"`
	Region     ident.Region     `json:"region,omitempty"`
	Limit      int              `json:"limit"`
	Running    int              `json:"running,omitempty"`
	Queued     int              `json:"queued,omitempty"`
	// AgeMicros is the time since the poll that confirms the group was sent.
	AgeMicros int64 `json:"age_us,omitempty"`
	// Draining groups get no new work.
	Draining bool `json:"draining,omitempty"`
	Cold     bool `json:"cold,omitempty"`
	// Learned is what routing knew; it comes with Complete.
	Learned *routing.Learned `json:"learned,omitempty"`
}

// Choice is a routing choice for one attempt at a request.
type Choice struct {
	// ID is empty for a request that arrived before the recording.
	ID      string            `json:"id,omitempty"`
	Service ident.ServiceName `json:"service"`
	Group   ident.GroupID     `json:"group"`
	// Blocked are the groups without a free credit, or all that run no copy of
	// a request whose copies stay together.
	Blocked []ident.GroupID `json:"blocked,omitempty"`
	// Fingerprint is set for a choice by rendezvous score, and 0 for a random one.
	Fingerprint ident.Fingerprint `json:"fingerprint,omitempty"`
	// Uncached is the number of prompt tokens that the group is not expected
	// to hold.
	Uncached int `json:"uncached,omitempty"`
	// Refused is set when the group had too few tokens left for the request:
	// another choice follows.
	Refused bool `json:"refused,omitempty"`
	// Isolated is set for a suspect, whose group the policy does not choose.
	Isolated bool `json:"alone,omitempty"`
}

// Release is the end of an attempt.
type Release struct {
	ID       string            `json:"id,omitempty"`
	Service  ident.ServiceName `json:"service"`
	Group    ident.GroupID     `json:"group"`
	Uncached int               `json:"uncached,omitempty"`
	// FirstTokenMicros and HoldMicros are 0 where the attempt failed before.
	FirstTokenMicros int64 `json:"first_token_us,omitempty"`
	HoldMicros       int64 `json:"hold_us,omitempty"`
	Failed           bool  `json:"failed,omitempty"`
}

// Gap marks where events are missing.
type Gap struct {
	Dropped uint64 `json:"dropped"`
}

// payloads tells which payloads are set, by field name.
func (e *Event) payloads() []payload {
	return []payload{
		{"request", e.Request != nil, []Kind{KindRequest}},
		{"answer", e.Answer != nil, []Kind{KindAnswer}},
		{"load_report", e.LoadReport != nil, []Kind{KindLoadReport}},
		{"cache", e.Cache != nil, []Kind{KindCache}},
		{"instance", e.Instance != nil, []Kind{KindInstance}},
		{"member", e.Member != nil, []Kind{KindMemberLost, KindMemberReturned}},
		{"drain", e.Drain != nil, []Kind{KindDrain}},
		{"store", e.Store != nil, []Kind{KindStore}},
		{"edit", e.Edit != nil, []Kind{KindEdit}},
		{"groups", e.Groups != nil, []Kind{KindGroups}},
		{"choice", e.Choice != nil, []Kind{KindChoice}},
		{"release", e.Release != nil, []Kind{KindRelease}},
		{"gap", e.Gap != nil, []Kind{KindGap}},
	}
}

type payload struct {
	field string
	set   bool
	kinds []Kind
}
