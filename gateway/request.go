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

// Request headers that callers may set.
const (
	HeaderDeadline       = "Bulrush-Deadline-Ms"
	HeaderPriority       = "Bulrush-Priority"
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderFirstCall states that no earlier call used the idempotency key.
	HeaderFirstCall   = "Bulrush-First-Call"
	HeaderLastEventID = "Last-Event-ID"
)

// Request is a decoded request. It must be used by one goroutine at a time.
type Request struct {
	Name    ident.ServiceName
	Service *view.Service
	Account service.Account
	// KeySHA256 is the hash of the caller's bearer key.
	KeySHA256  string
	Class      service.Class
	Priority   int
	Idempotent bool
	// Arrived and Deadline are times of the gateway's clock. The deadline limits
	// the time until the answer starts.
	Arrived  time.Duration
	Deadline time.Duration
	// AnswerDeadline limits the time until the whole answer of a plain call has
	// arrived, if it is later than Deadline.
	AnswerDeadline time.Duration

	Method         string
	Path           string
	Query          string
	ContentType    string
	Body           []byte
	IdempotencyKey string
	// FirstCall is true if the caller states that no earlier call used the
	// idempotency key.
	FirstCall   bool
	Fingerprint ident.Fingerprint
	// CallerDeadline and CallerPriority are the values of the caller's headers.
	CallerDeadline time.Duration
	CallerPriority int
	HasPriority    bool

	// Isolated requires a target that runs no other suspect at the time. It is set
	// for a request that is suspected of crashing backend servers.
	Isolated bool

	// Completion is the decoded body of a call to a model service. It is nil for
	// plain services.
	Completion *engine.CompletionRequest
	// Tokens estimates the context tokens that the request occupies at the engine.
	Tokens int
	// AnswerID identifies the answer in the ids of its events.
	AnswerID string
	// Assembler tracks which part of the answer was delivered.
	Assembler stream.Assembler
	// Sink receives the answer of a model service.
	Sink Sink

	// reachedAtMostOnce is set once Orders determines the outcome of the request.
	reachedAtMostOnce bool
	// firstTokenTimer cancels the request at its deadline. It is stopped when the
	// answer starts.
	firstTokenTimer *time.Timer
	trace           requestTrace
	// run is the current run of a call to a model service under quarantine.
	run *trackedRun
	// silentRun is the run of the silent attempt that the request of a search shall
	// replace.
	silentRun *trackedRun
}

// Sink receives the parts of an answer in order.
type Sink interface {
	// Token writes one token frame.
	Token(offset int, data []byte) error
	// Finish ends a complete answer.
	Finish(tokens int) error
	// Started reports whether a part of the answer was sent to the caller.
	Started() bool
}

// Answer is the result of an Endpoint. For a plain service, Status, Header and
// Body contain the answer. For a model service, the answer was written to the
// sink.
type Answer struct {
	Status   int
	Header   http.Header
	Body     []byte
	Streamed bool
}

// Endpoint serves one request. It returns when the whole answer has been produced.
type Endpoint func(ctx context.Context, r *Request) (*Answer, error)

// Filter wraps an Endpoint.
type Filter func(next Endpoint) Endpoint

// chain applies filters in order; the first one is the outermost.
func chain(end Endpoint, filters ...Filter) Endpoint {
	for i := len(filters) - 1; i >= 0; i-- {
		end = filters[i](end)
	}
	return end
}
