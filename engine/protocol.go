// Package engine is the client of the model engines' HTTP protocol. No other package
// of the daemon depends on that protocol, so that support for another kind of engine
// needs a change of this package only.
package engine

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Headers of requests to engines.
const (
	HeaderGroup        = "Bulrush-Group"
	HeaderEpoch        = "Bulrush-Epoch"
	HeaderAttempt      = "Bulrush-Attempt"
	HeaderPriority     = "Bulrush-Priority"
	HeaderResumeOffset = "Bulrush-Resume-Offset"
	// HeaderRequestLimit is set on the responses of a backend server in need: the requests a
	// second that it takes from all entry instances together, for as long as it is set.
	HeaderRequestLimit = "Bulrush-Request-Limit"
	// HeaderServerLeaving is set on all responses of a backend server that will stop: it gets
	// no new requests.
	HeaderServerLeaving = "Bulrush-Leaving"
	// HeaderNotRun is set by a backend server on an error response when it
	// did not run the request.
	HeaderNotRun = "Bulrush-Not-Run"
)

// State is the state that an engine reports about itself.
type State string

// States of an engine member.
const (
	// StateIdle means that the engine has no group.
	StateIdle State = "idle"
	// StateLoading means that the engine loads weights for its group.
	StateLoading State = "loading"
	// StateReady means that the engine runs requests, at most ColdLimit at a time
	// while Cold is set.
	StateReady State = "ready"
	// StateDraining means that the engine finishes its running requests and
	// accepts no new ones.
	StateDraining State = "draining"
	// StateFailed means that a member of the group was lost. The engine runs no
	// requests until it is released or assigned again.
	StateFailed State = "failed"
)

// Role is the part of request processing that a group does.
type Role string

// Roles of groups.
const (
	RoleCombined Role = "combined"
	RolePrefill  Role = "prefill"
	RoleDecode   Role = "decode"
)

// Status is the status report of an engine. Its load fields may be out of date.
type Status struct {
	Instance    ident.InstanceID  `json:"instance"`
	Incarnation ident.Incarnation `json:"incarnation"`
	State       State             `json:"state"`
	Group       ident.GroupID     `json:"group,omitempty"`
	Epoch       ident.Epoch       `json:"epoch,omitempty"`
	Service     ident.ServiceName `json:"service,omitempty"`
	Role        Role              `json:"role,omitempty"`
	Rank        int               `json:"rank"`
	Size        int               `json:"size"`
	Model       string            `json:"model,omitempty"`
	Version     string            `json:"version,omitempty"`
	Adapters    []string          `json:"adapters,omitempty"`
	// Preloaded lists "model@version" weights held in memory.
	Preloaded []string `json:"preloaded,omitempty"`
	Cold      bool     `json:"cold"`
	// ColdLimit and Limit are the numbers of concurrent requests that the group can
	// run while cold and when warm.
	ColdLimit int `json:"cold_limit"`
	Limit     int `json:"limit"`
	// TokenCapacity is the total number of context tokens in memory above which
	// the group crashes.
	TokenCapacity int `json:"token_capacity"`
	// Running, Queued and HeldTokens are the load of the group, with a delay:
	// running and queued requests, and context tokens in memory.
	Running    int `json:"running"`
	Queued     int `json:"queued"`
	HeldTokens int `json:"held_tokens"`
	// TokenMicros is the smoothed time between tokens of one stream.
	TokenMicros int `json:"token_micros"`
	// Fencing is the highest fencing token seen in a command.
	Fencing ident.Epoch `json:"fencing"`
}

// Member is one member of a group in an assign command.
type Member struct {
	Instance ident.InstanceID `json:"instance"`
	Address  string           `json:"address"`
}

// AssignCommand makes an instance a member of a group. Members are in rank order.
type AssignCommand struct {
	Fencing  ident.Epoch       `json:"fencing"`
	Group    ident.GroupID     `json:"group"`
	Epoch    ident.Epoch       `json:"epoch"`
	Service  ident.ServiceName `json:"service"`
	Role     Role              `json:"role"`
	Model    string            `json:"model"`
	Version  string            `json:"version"`
	Adapters []string          `json:"adapters,omitempty"`
	Rank     int               `json:"rank"`
	Members  []Member          `json:"members"`
}

// ReleaseCommand ends an instance's membership in a group. Drain lets running requests
// finish; otherwise they are cancelled.
type ReleaseCommand struct {
	Fencing ident.Epoch   `json:"fencing"`
	Group   ident.GroupID `json:"group"`
	Epoch   ident.Epoch   `json:"epoch"`
	Drain   bool          `json:"drain"`
}

// PreloadCommand loads weights into memory before an assignment.
type PreloadCommand struct {
	Fencing ident.Epoch `json:"fencing"`
	Model   string      `json:"model"`
	Version string      `json:"version"`
}

// CancelCommand cancels one running attempt.
type CancelCommand struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// CacheEvent reports that a prefix was added to the cache of a group or evicted from
// it. Events arrive with a delay, and Sequence may have gaps where some were lost.
type CacheEvent struct {
	Sequence uint64        `json:"sequence"`
	Group    ident.GroupID `json:"group"`
	// Prefix is the hash of a block-aligned prompt prefix.
	Prefix uint64 `json:"prefix"`
	// Tokens is the length of the prefix.
	Tokens  int  `json:"tokens"`
	Evicted bool `json:"evicted,omitempty"`
}

// CompletionRequest contains the fields of a completion request that engines and the
// gateway read. Chat requests set Messages, others Prompt.
type CompletionRequest struct {
	Model     string    `json:"model"`
	Prompt    string    `json:"prompt,omitempty"`
	Messages  []Message `json:"messages,omitempty"`
	MaxTokens int       `json:"max_tokens,omitempty"`
	Stream    bool      `json:"stream,omitempty"`
	Adapter   string    `json:"adapter,omitempty"`
}

// Message is one chat message.
type Message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// DoneMarker is the data of the last frame of a complete stream.
const DoneMarker = "[DONE]"

// StatusTimeout bounds one status poll.
const StatusTimeout = 500 * time.Millisecond
