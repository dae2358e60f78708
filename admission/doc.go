// Package admission decides which waiting request of a service starts next and
// which requests are refused. A Queue is fair among client accounts by weight,
// serves urgent classes first and refuses at once what cannot start before its
// deadline. A Limiter holds each account to its rate and concurrency. A
// RetryBudget bounds retries to a part of first attempts. The types read no
// clock; the caller serialises their methods.
package admission

import (
	"time"

	"github.com/bulrushfall/bulrushfall/service"
)

// Reason tells why a request was refused. No refused request has run.
type Reason string

// Reasons of refusals.
const (
	// ReasonRate means that the account exceeds its request rate.
	ReasonRate Reason = "account-rate"
	// ReasonConcurrency means that the account has too many requests open.
	ReasonConcurrency Reason = "account-concurrency"
	// ReasonDeadline means that the request cannot start before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonMemory means that the queue is full.
	ReasonMemory Reason = "queue-memory"
)

// Refusal is a refused request with the time after which a retry may succeed.
// The caller spreads the retries.
type Refusal struct {
	Waiter     *Waiter
	Reason     Reason
	RetryAfter time.Duration
}

// Config bounds a queue.
type Config struct {
	// MaxWaiters and MaxBytes bound what waits.
	MaxWaiters int
	MaxBytes   int
	// Guard is the number of starts of more urgent classes after which one
	// request of a waiting lower class starts, so that it is never starved.
	Guard int
	// Headroom times the square root of the slots is what accounts above their
	// share leave free for the other active accounts, whose requests would
	// otherwise wait for one of theirs to end.
	Headroom float64
}

// DefaultConfig returns the limits of one service at one entry instance.
func DefaultConfig() Config {
	return Config{MaxWaiters: 8192, MaxBytes: 32 << 20, Guard: 16, Headroom: 1.25}
}

// classes in order of urgency.
var classes = [...]service.Class{service.ClassRush, service.ClassInteractive, service.ClassBatch}

// rank is the index of a class in classes; unknown classes are the last.
func rank(c service.Class) int {
	for i, have := range classes {
		if c == have {
			return i
		}
	}
	return len(classes) - 1
}
