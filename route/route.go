// Package route holds the routing configuration of entry instances: which
// service answers a request of a host and path, who may send it, how long it may
// take and what may be repeated. A Table is immutable and read without locks.
package route

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Kind tells what may be repeated.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once for each request of a caller.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered by a series of events.
	Streaming
)

// String names the kind in logs and metrics.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	default:
		return "non-idempotent"
	}
}

// Target is one service of a weighted split.
type Target struct {
	Service ident.ServiceName
	Weight  float64
}

// Route is one rule for requests.
type Route struct {
	Name string
	// Host is compared without port, Prefix begins the path and ends with a
	// slash.
	Host, Prefix string
	Kind         Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// LatencyGoal is the time to the answer, or to its first event, that callers expect.
	LatencyGoal time.Duration
	// MaxEventGap is the longest pause between two events that callers expect.
	MaxEventGap time.Duration
	// AttemptLimit is the largest number of backend servers for one request.
	AttemptLimit int
	// Public routes need no key.
	Public bool
	// UsesGroups routes name a model, and groups of instances answer them.
	UsesGroups bool
	// Resumable streams may go on at another backend server.
	Resumable bool
	Targets   []Target
}

// Repeatable reports whether a request may run a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Model is a model that groups of a service serve.
type Model struct {
	Name string
	// Size is the number of instances of a group.
	Size int
	// Share is the model's part of the expected work.
	Share float64
	// TimeFactor multiplies all times of a group of this model; a smaller one is
	// faster.
	TimeFactor float64
	// LoadTime is the time to load the weights from the weight store, WarmLoadTime from the
	// memory of the host.
	LoadTime, WarmLoadTime time.Duration
}

// Service describes the backend servers of a service.
type Service struct {
	Name ident.ServiceName
	// ColdTime is how long a backend server stays cold after its start, and
	// ColdRate the requests a second that it bears meanwhile.
	ColdTime time.Duration
	ColdRate float64
	// Models is empty for plain services.
	Models []Model
	// Slots is the number of requests that a group runs at once.
	Slots int
	// LoadRate is the number of loads a second that may start on the weight
	// store; LoadsAtOnce the number that run at full speed.
	LoadRate    float64
	LoadsAtOnce int
}

// Account is a client account with its keys.
type Account struct {
	Name ident.Account
	Keys []string
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes, BodyBytes int
	HeaderTimeout          time.Duration
	IdleTimeout            time.Duration
}

// Config is one version of the configuration.
type Config struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Accounts []Account
	Limits   Limits
}
