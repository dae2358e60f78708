// Package engine is the client side of the model engines' HTTP protocol. Only
// this package knows it, so that another engine needs another adapter only.
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
	// HeaderNotRun is set by a backend server on an error response when it
	// did not run the request.
	HeaderNotRun = "Bulrush-Not-Run"
)

// State is what an engine member says about itself.
type State string

// States of an engine member.
const (
	// StateIdle has no group.
	StateIdle State = "idle"
	// StateLoading loads weights for its group.
	StateLoading State = "loading"
	// StateReady serves, within ColdLimit while Cold is set.
	StateReady State = "ready"
	// StateDraining finishes running requests and accepts none.
	StateDraining State = "draining"
	// StateFailed lost a member of its group and serves nothing until it is
	// released or assigned again.
	StateFailed State = "failed"
)

// Role is the part of the work that a group does.
type Role string

// Roles of groups.
const (
	RoleCombined Role = "combined"
	RolePrefill  Role = "prefill"
	RoleDecode   Role = "decode"
)

// Status is an engine member's report. Load fields lag.
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
	// ColdLimit and Limit are concurrent requests that the group bears while
	// cold and when warm.
	ColdLimit int `json:"cold_limit"`
	Limit     int `json:"limit"`
	// TokenCapacity is the sum of held context tokens past which the group dies.
	TokenCapacity int `json:"token_capacity"`
	// Running, Queued and HeldTokens are the lagging load report.
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

// ReleaseCommand ends a member's part in a group. Drain lets running requests
// finish; otherwise they are cancelled.
type ReleaseCommand struct {
	Fencing ident.Epoch   `json:"fencing"`
	Group   ident.GroupID `json:"group"`
	Epoch   ident.Epoch   `json:"epoch"`
	Drain   bool          `json:"drain"`
}

// PreloadCommand loads weights into memory ahead of an assignment.
type PreloadCommand struct {
	Fencing ident.Epoch `json:"fencing"`
	Model   string      `json:"model"`
	Version string      `json:"version"`
}

// CancelCommand cancels one running attempt.
type CancelCommand struct {
	Attempt ident.AttemptID `json:"attempt"`
}

// CacheEvent tells that a prefix entered or left the cache of a group. Events
// come late and with gaps in Sequence.
type CacheEvent struct {
	Sequence uint64        `json:"sequence"`
	Group    ident.GroupID `json:"group"`
	// Prefix is the hash of a block-aligned prompt prefix.
	Prefix uint64 `json:"prefix"`
	// Tokens is the length of the prefix.
	Tokens  int  `json:"tokens"`
	Evicted bool `json:"evicted,omitempty"`
}

// CompletionRequest is the part of a completion call that engines and the
// gateway read. Messages are used by the chat path, Prompt by the other.
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
