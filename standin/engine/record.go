package engine

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// EventKind is the kind of a recorded event.
type EventKind string

// Kinds of recorded events.
const (
	EventStart   EventKind = "start"
	EventCrash   EventKind = "crash"
	EventAssign  EventKind = "assign"
	EventReady   EventKind = "ready"
	EventRelease EventKind = "release"
	// EventRefused means that a request, or a command with an outdated fencing token
	// or epoch, was refused.
	EventRefused EventKind = "refused"
	// EventStaleCommand means that a command with an outdated fencing token was run,
	// because the engine does not check fencing tokens (Config.ChecksFencing).
	EventStaleCommand EventKind = "stale-command"
	EventCold         EventKind = "cold"
	EventWarm         EventKind = "warm"
	EventMemberLost   EventKind = "member-lost"
	// EventLeft means that the engine left its group and is idle.
	EventLeft EventKind = "left"
	// EventPartialGroup means that requests ran while the member named in Detail was
	// not assigned to the group and epoch of the leader.
	EventPartialGroup EventKind = "partial-group"
	// EventRunningAborted means that an assignment aborted active requests.
	EventRunningAborted EventKind = "cut-running"
)

// Event is a recorded event.
type Event struct {
	Time        time.Time         `json:"at"`
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
	OutcomeAborted  = "cut"
	OutcomeCanceled = "canceled"
	OutcomeCrashed  = "crashed"
)

// RequestRecord is the record of one accepted request.
type RequestRecord struct {
	Attempt     ident.AttemptID   `json:"attempt"`
	Incarnation ident.Incarnation `json:"incarnation"`
	// Group and Epoch are the ones that the request was sent to. AssignedGroup and
	// AssignedEpoch are those of the engine's assignment when it accepted the request.
	Group         ident.GroupID `json:"group"`
	Epoch         ident.Epoch   `json:"epoch"`
	AssignedGroup ident.GroupID `json:"held_group"`
	AssignedEpoch ident.Epoch   `json:"held_epoch"`
	// MembersConsistent is false if a member was lost, loading, or assigned to
	// another group or epoch when the request was accepted. Detail names a member
	// that was loading or assigned to another group or epoch.
	MembersConsistent bool      `json:"members_whole"`
	Detail            string    `json:"detail,omitempty"`
	Cold              bool      `json:"cold"`
	Start             time.Time `json:"start"`
	End               time.Time `json:"end"`
	Outcome           string    `json:"outcome"`
	PromptSum         uint64    `json:"prompt_sum"`
	ResumeOffset      int       `json:"resume"`
	Tokens            int       `json:"tokens"`
}

// Record is the response of GET /debug/record.
type Record struct {
	Instance  ident.InstanceID `json:"instance"`
	Domain    ident.Domain     `json:"domain"`
	ColdLimit int              `json:"cold_limit"`
	// MaxRunning is the largest number of requests active at the same time.
	// MaxHeldTokens is the largest number of context tokens of requests active at the
	// same time.
	MaxRunning    int `json:"max_running"`
	MaxHeldTokens int `json:"max_held_tokens"`
	// MaxRunningCold is the largest number of requests active at the same time that
	// arrived while the engine was cold.
	MaxRunningCold int `json:"max_running_cold"`
	Crashes        int `json:"crashes"`
	// Running is the number of active requests, including queued ones.
	Running  int             `json:"running"`
	Requests []RequestRecord `json:"requests"`
	Events   []Event         `json:"events"`
	// Dropped counts the requests and events that exceeded Config.RecordLimit.
	Dropped int `json:"dropped"`
}

// recordEvent appends an event to the record. The caller holds e.mu.
func (e *Engine) recordEvent(kind EventKind, detail string) {
	if len(e.engineRecord.Events) >= e.cfg.RecordLimit {
		e.engineRecord.Dropped++
		return
	}
	e.engineRecord.Events = append(e.engineRecord.Events, Event{
		Time: time.Now(), Kind: kind, Incarnation: e.incarnation,
		Group: e.assigned.Group, Epoch: e.assigned.Epoch, Fencing: e.fencingToken, Detail: detail,
	})
}

// Record returns a copy of the record.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.engineRecord
	r.Running = len(e.active)
	r.Events = append([]Event{}, e.engineRecord.Events...)
	r.Requests = make([]RequestRecord, 0, len(e.requestRecords))
	for _, s := range e.requestRecords {
		r.Requests = append(r.Requests, *s)
	}
	return r
}
