package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/stream"
	"github.com/bulrushfall/bulrushfall/view"
)

// Headers that callers use.
const (
	HeaderDeadline       = "Bulrush-Deadline-Ms"
	HeaderPriority       = "Bulrush-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstCall states that no earlier call carried the idempotency key.
	HeaderFirstCall   = "Bulrush-First-Call"
	HeaderLastEventID = "Last-Event-ID"
)

// Request is a caller's request on its way through the filters. It belongs to
// one goroutine.
type Request struct {
	Name    ident.ServiceName
	Service *view.Service
	Account service.Account
	// KeySHA256 is the hash of the caller's bearer key.
	KeySHA256  string
	Class      service.Class
	Priority   int
	Idempotent bool
	// Arrived and Deadline are instants on the gateway's clock. The deadline
	// bounds the start of the answer.
	Arrived  time.Duration
	Deadline time.Duration
	// AnswerBy is when the answer of a call that was sent by the deadline is
	// given up. 0 means at the deadline.
	AnswerBy time.Duration

	Method         string
	Path           string
	Query          string
	ContentType    string
	Body           []byte
	IdempotencyKey string
	// FirstCall is the caller's statement that it never sent the key before.
	FirstCall   bool
	Fingerprint ident.Fingerprint
	// CallerDeadline and CallerPriority are what the caller's headers ask for.
	CallerDeadline time.Duration
	CallerPriority int
	HasPriority    bool

	// Isolated asks for a group that runs no other suspect at the time, because
	// the request is suspected of crashing backend servers.
	Isolated bool

	// Completion is set for model services.
	Completion *engine.CompletionRequest
	// Tokens estimates the context tokens that the request holds at the engine.
	Tokens int
	// AnswerID names the answer in event ids.
	AnswerID string
	// Assembler tracks the part of the answer that was delivered.
	Assembler stream.Assembler
	// Sink receives the answer of a model service.
	Sink Sink

	// reachedRecord is set when the at-most-once record decides about outcomes.
	reachedRecord bool
	// startTimer enforces the deadline until the answer starts.
	startTimer *time.Timer
	trace      requestTrace
}

// Sink receives the parts of an answer in order.
type Sink interface {
	// Token delivers one token frame.
	Token(offset int, data []byte) error
	// Finish ends a complete answer.
	Finish(tokens int) error
	// Started reports whether the caller has received anything.
	Started() bool
}

// Answer is what the filters return. The answer of a plain service is in
// Status, Header and Body; that of a model service went to the sink.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Streamed bool
}

// Endpoint serves one request. It returns when the whole answer was handed on.
type Endpoint func(ctx context.Context, r *Request) (*Answer, error)

// Filter wraps an endpoint with one concern.
type Filter func(next Endpoint) Endpoint

// chain applies filters in order; the first one is the outermost.
func chain(end Endpoint, filters ...Filter) Endpoint {
	for i := len(filters) - 1; i >= 0; i-- {
		end = filters[i](end)
	}
	return end
}
