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
	// Name and Description describe the content of the trace to the reader.
	Name        string `json:"name"`
	Description string `json:"description,omitempty"`
	// Seed seeds the random sources of the machines in a replay.
	Seed uint64 `json:"seed"`
	// TickMicros is the time between tick events of a replay. 0 means none.
	TickMicros int64 `json:"tick_us"`
	// EndMicros is the time, since the start of the trace, until which a replay
	// generates ticks. It can be later than the last event.
	EndMicros int64 `json:"end_us,omitempty"`
	// Dropped is the number of events that the recorder discarded because its
	// memory was full.
	Dropped uint64 `json:"dropped,omitempty"`
}

// Kind is the type of an event.
type Kind string

// Kinds of events. A replay generates KindTick; it does not occur in traces.
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
	// KindGroups, KindChoice and KindRelease are the inputs and decisions of the
	// routing at an entry instance. KindGap marks where events are missing.
	KindGroups  Kind = "groups"
	KindChoice  Kind = "choice"
	KindRelease Kind = "release"
	KindGap     Kind = "gap"
	KindTick    Kind = "tick"
)

// Event is one line of a trace. Exactly one payload field is set: the one that
// belongs to Kind.
type Event struct {
	// AtMicros is the time since the start of the trace, in microseconds. It
	// never decreases from one event to the next.
	AtMicros int64 `json:"at_us"`
	Kind     Kind  `json:"kind"`
	// Node is the entry instance that observed the event, or empty for all entry
	// instances.
	Node ident.InstanceID `json:"node,omitempty"`

	Request    *Request       `json:"request,omitempty"`
	Answer     *Answer        `json:"answer,omitempty"`
	LoadReport *engine.Status `json:"load_report,omitempty"`
	Cache      *Cache         `json:"cache,omitempty"`
	// Instance is the payload of instance events: an item of the platform's list
	// of instances.
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
	// FirstCall is set when the caller declares that it has not sent Key before.
	FirstCall bool `json:"first_call,omitempty"`
}

// Answer is the end of a request.
type Answer struct {
	ID      string            `json:"id"`
	Service ident.ServiceName `json:"service,omitempty"`
	Group   ident.GroupID     `json:"group,omitempty"`
	Account ident.Account     `json:"account,omitempty"`
	// Outcome is answered, not-run, unknown, ran, cut or crashed. The values
	// not-run, unknown and ran are those of gateway.Outcome. Cut means that the
	// caller went away or that the answer broke off after it had started; crashed
	// means that the connection to the backend server failed before that.
	Outcome          string `json:"outcome"`
	FirstTokenMicros int64  `json:"first_token_us,omitempty"`
	Tokens           int    `json:"tokens,omitempty"`
}

// Cache is a prefix cache event that an entry instance received.
type Cache struct {
	Instance ident.InstanceID  `json:"instance,omitempty"`
	Event    engine.CacheEvent `json:"event"`
}

// Member is a member of a group, a backend server or an entry instance that was
// lost or came back.
type Member struct {
	Instance    ident.InstanceID  `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation,omitempty"`
	// Reason is killed, paused, partitioned, straggling, crashed, left, silent
	// or unreachable. Silent means that open connections return no data until
	// the member returns. An entry instance records unreachable when it cannot
	// determine the reason.
	Reason string `json:"reason,omitempty"`
}

// Drain takes a data centre, an instance or a partner out of service, or
// restores it.
type Drain struct {
	// Kind is datacentre, instance or partner.
	Kind     string         `json:"kind"`
	Name     string         `json:"name"`
	Revision ident.Revision `json:"revision"`
	Restored bool           `json:"restored,omitempty"`
}

// StoreState is the behaviour of the platform's store after an event.
type StoreState string

// States of the store.
const (
	StoreUp    StoreState = "up"
	StoreDown  StoreState = "down"
	StoreSlow  StoreState = "slow"
	StoreLossy StoreState = "lossy"
)

// Store is a change of the store's behaviour. A lossy store applies writes but
// loses the replies.
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
	// Refused is set when the edit was rejected.
	Refused bool `json:"refused,omitempty"`
}

// Groups holds the changes that the routing of a service adopted from a new
// snapshot. Rows that have not changed since the last groups event of the service
// are left out.
type Groups struct {
	Service ident.ServiceName `json:"service"`
	// Complete is set when Rows lists all groups. Rand is then the state of the
	// random source before the next choice, and DataCentre and Region are those
	// of the entry instance.
	Complete   bool             `json:"complete,omitempty"`
	Rand       []byte           `json:"rand,omitempty"`
	DataCentre ident.DataCentre `json:"data_centre,omitempty"`
	Region     ident.Region     `json:"region,omitempty"`
	Rows       []GroupRow       `json:"rows,omitempty"`
	Removed    []ident.GroupID  `json:"gone,omitempty"`
}

// GroupRow is one group, or one backend server of a plain service, in the routing
// table.
type GroupRow struct {
	ID         ident.GroupID    `json:"id"`
	Epoch      ident.Epoch      `json:"epoch,omitempty"`
	Leader     ident.InstanceID `json:"leader,omitempty"`
	DataCentre ident.DataCentre `json:"data_centre"`
	Region     ident.Region     `json:"region,omitempty"`
	Limit      int              `json:"limit"`
	Running    int              `json:"running,omitempty"`
	Queued     int              `json:"queued,omitempty"`
	// AgeMicros is the age of the row: the time since the sending of the last poll
	// that confirmed the group.
	AgeMicros int64 `json:"age_us,omitempty"`
	// Draining is set for a group that must get no new requests.
	Draining bool `json:"draining,omitempty"`
	// Cold is set while the group is in its cold start.
	Cold bool `json:"cold,omitempty"`
	// Learned is the state that routing had measured for the group. It is set
	// only in a complete event.
	Learned *routing.Learned `json:"learned,omitempty"`
}

// Choice is a routing choice for one attempt at a request.
type Choice struct {
	// ID is empty for a request that arrived before the recording.
	ID      string            `json:"id,omitempty"`
	Service ident.ServiceName `json:"service"`
	Group   ident.GroupID     `json:"group"`
	// Blocked lists the groups that could not be chosen: those without a free
	// credit or, for a request whose copies (requests with the same fingerprint, see
	// routing.Copies) must run in the same group, also all groups that run no copy.
	Blocked []ident.GroupID `json:"blocked,omitempty"`
	// Fingerprint is set for a choice by rendezvous score, and 0 for a random one.
	Fingerprint ident.Fingerprint `json:"fingerprint,omitempty"`
	// Uncached is the number of prompt tokens that are not expected to be in the
	// group's prefix cache.
	Uncached int `json:"uncached,omitempty"`
	// Refused is set when the group had too few tokens left for the request.
	// Another choice for the request follows.
	Refused bool `json:"refused,omitempty"`
	// Isolated is set for a request suspected of crashing backend servers. Its group
	// is chosen without the routing policy, so that the request runs alone there.
	Isolated bool `json:"alone,omitempty"`
}

// Release is the end of an attempt.
type Release struct {
	ID       string            `json:"id,omitempty"`
	Service  ident.ServiceName `json:"service"`
	Group    ident.GroupID     `json:"group"`
	Uncached int               `json:"uncached,omitempty"`
	// FirstTokenMicros is the time to the first token, or 0 if there was none.
	// HoldMicros is the time for which the attempt held its credit, or 0 if it
	// failed.
	FirstTokenMicros int64 `json:"first_token_us,omitempty"`
	HoldMicros       int64 `json:"hold_us,omitempty"`
	Failed           bool  `json:"failed,omitempty"`
}

// Gap marks where events are missing.
type Gap struct {
	Dropped uint64 `json:"dropped"`
}

// payloads returns the payload fields by name, whether each is set, and the kinds
// of events that carry it.
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

// payload describes one payload field of an event.
type payload struct {
	field   string
	present bool
	kinds   []Kind
}
