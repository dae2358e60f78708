package engine

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// EventKind names what an engine recorded.
type EventKind string

// Kinds of recorded events.
const (
	EventStart        EventKind = "start"
	EventCrash        EventKind = "crash"
	EventAssign       EventKind = "assign"
	EventReady        EventKind = "ready"
	EventRelease      EventKind = "release"
	EventRefused      EventKind = "refused"
	EventStaleCommand EventKind = "stale-command"
	EventCold         EventKind = "cold"
	EventWarm         EventKind = "warm"
	EventMemberLost   EventKind = "member-lost"
	// EventLeft tells that the engine holds no group any more.
	EventLeft EventKind = "left"
	// EventPartial tells that a request ran while the member in its detail did
	// not hold the group and epoch of the leader.
	EventPartial EventKind = "partial-group"
	EventCutRun  EventKind = "cut-running"
)

// Event is one entry of the record.
type Event struct {
	At          time.Time         `json:"at"`
	Kind        EventKind         `json:"kind"`
	Incarnation ident.Incarnation `json:"incarnation"`
	Group       ident.GroupID     `json:"group,omitempty"`
	Epoch       ident.Epoch       `json:"epoch,omitempty"`
	Fencing     ident.Epoch       `json:"fencing,omitempty"`
	Detail      string            `json:"detail,omitempty"`
}

// Outcomes of requests at an engine.
const (
	OutcomeRunning  = "running"
	OutcomeDone     = "done"
	OutcomeCut      = "cut"
	OutcomeCanceled = "canceled"
	OutcomeCrashed  = "crashed"
)

// RequestRecord is one request that the engine took.
type RequestRecord struct {
	Attempt     ident.AttemptID   `json:"attempt"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Group and Epoch are what the request asked for, HeldGroup and HeldEpoch
	// what the engine held.
	Group     ident.GroupID `json:"group"`
	Epoch     ident.Epoch   `json:"epoch"`
	HeldGroup ident.GroupID `json:"held_group"`
	HeldEpoch ident.Epoch   `json:"held_epoch"`
	// MembersWhole is false when a member held another group or epoch when the
	// request started.
	MembersWhole bool      `json:"members_whole"`
	Detail       string    `json:"detail,omitempty"`
	Cold         bool      `json:"cold"`
	Start        time.Time `json:"start"`
	End          time.Time `json:"end"`
	Outcome      string    `json:"outcome"`
	PromptSum    uint64    `json:"prompt_sum"`
	ResumeOffset int       `json:"resume"`
	Tokens       int       `json:"tokens"`
}

// Record is the answer of GET /debug/record.
type Record struct {
	Instance      ident.InstanceID `json:"instance"`
	Domain        ident.Domain     `json:"domain"`
	ColdLimit     int              `json:"cold_limit"`
	MaxRunning    int              `json:"max_running"`
	MaxHeldTokens int              `json:"max_held_tokens"`
	// MaxRunningCold is the largest number of requests held at once that
	// arrived while the engine was cold.
	MaxRunningCold int             `json:"max_running_cold"`
	Crashes        int             `json:"crashes"`
	Running        int             `json:"running"`
	Requests       []RequestRecord `json:"requests"`
	Events         []Event         `json:"events"`
	Dropped        int             `json:"dropped"`
}

// event appends to the record. The caller holds e.mu.
func (e *Engine) event(kind EventKind, detail string) {
	if len(e.rec.Events) >= e.cfg.RecordLimit {
		e.rec.Dropped++
		return
	}
	e.rec.Events = append(e.rec.Events, Event{
		At: time.Now(), Kind: kind, Incarnation: e.incarnation,
		Group: e.assigned.Group, Epoch: e.assigned.Epoch, Fencing: e.fencing, Detail: detail,
	})
}

// Record returns a copy of the record.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.rec
	r.Running = len(e.held)
	r.Events = append([]Event{}, e.rec.Events...)
	r.Requests = make([]RequestRecord, 0, len(e.served))
	for _, s := range e.served {
		r.Requests = append(r.Requests, *s)
	}
	return r
}
