// Package route holds the routing configuration of entry instances: which service handles
// a request to a host and path, which client accounts may send it, how long it may take
// and whether it may be retried. A Table is immutable and can be read without locks.
package route

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Kind is the kind of a route's requests. It decides whether they may be retried.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests are executed at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may be executed more than once.
	Idempotent
	// Streaming requests are answered by a stream of events.
	Streaming
)

// String returns the name of the kind in logs and metrics.
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

// Target is one service of a route that splits its requests by weight.
type Target struct {
	Service ident.ServiceName
	Weight  float64
}

// Route describes the handling of the requests to a host and path prefix.
type Route struct {
	Name string
	// Host is compared without a port. Prefix is the beginning of the path and ends
	// with a slash.
	Host, Prefix string
	Kind         Kind
	// Timeout is the longest time that a request may take.
	Timeout time.Duration
	// LatencyGoal is the expected latency: the time to the answer, or to the first event of a
	// stream.
	LatencyGoal time.Duration
	// MaxEventGap is the longest expected time between two events of a stream.
	MaxEventGap time.Duration
	// Urgency is the rank of the route's requests, 0 being the most urgent.
	Urgency int
	// AttemptLimit is the maximum number of backend servers that may run a request. The
	// request may be sent to a few more, if some refuse it without running it.
	AttemptLimit int
	// Public is set if requests need no key.
	Public bool
	// UsesGroups is set if requests name a model and are answered by groups of instances.
	UsesGroups bool
	// Resumable is set if another backend server can continue a stream.
	Resumable bool
	// Targets are the services that handle the requests.
	Targets []Target
}

// UrgencyOf returns the rank of a request of a route, 0 being the most urgent. account is nil for
// a request without one.
func UrgencyOf(r *Route, account *Account) int {
	if account != nil && account.Urgency != nil {
		return *account.Urgency
	}
	return r.Urgency
}

// Repeatable reports whether a request may be executed a second time.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || (r.Kind == Streaming && r.Resumable)
}

// Model describes a model that groups of a service serve.
type Model struct {
	Name string
	// Size is the number of instances in a group.
	Size int
	// Share is the model's fraction of the expected demand.
	Share float64
	// TimeFactor is a factor for all durations of a group of this model; a smaller one means
	// a faster group.
	TimeFactor float64
	// LoadTime is the time to load the weights from the weight store, and WarmLoadTime the time to
	// load them from the memory of the host.
	LoadTime, WarmLoadTime time.Duration
}

// Service describes the backend servers of a service.
type Service struct {
	Name ident.ServiceName
	// ColdTime is how long a backend server is cold after its start, and ColdRate the rate
	// of requests per second that it can handle during that time.
	ColdTime time.Duration
	ColdRate float64
	// Models is empty if the service has no groups.
	Models []Model
	// Slots is the number of requests that a group can run concurrently.
	Slots int
	// LoadRate is the number of loads from the weight store that may start per second,
	// and LoadsAtOnce the number of concurrent loads that run at full speed.
	LoadRate    float64
	LoadsAtOnce int
	// Engine describes the pace of the groups.
	Engine Engine
	// Scaling is nil unless the number of backend servers can be ordered.
	Scaling *Scaling
}

// Scaling bounds the number of backend servers that can be ordered of a service.
type Scaling struct {
	// Min and Max bound the number of servers in each data centre.
	Min, Max int
	// StartTime is the time from an order until a new server runs.
	StartTime time.Duration
}

// Account is a client account with its keys.
type Account struct {
	Name ident.Account
	Keys []string
	// Urgency takes precedence over that of a route. It is nil if the account has none.
	Urgency *int
}

// Limits bounds the requests and connections of callers.
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
	// HasAccounts is set if the configuration has a list of client accounts, which may be empty.
	// Requests of routes that are not public then need a key.
	HasAccounts bool
	Accounts    []Account
	Limits      Limits
}
