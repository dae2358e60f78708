// Package admission implements admission control: it decides which waiting request of a
// service starts next and which requests are refused. A Queue is a weighted fair queue
// over client accounts. It starts urgent classes first, and refuses requests at once that
// cannot start before their deadline. A Limiter enforces the rate and concurrency limits
// of each account. A RetryBudget limits the retries of one entry instance, a
// SharedRetryBudget those of all entry instances together. A NamedLimit and RequestedPauses
// keep what backend servers ask for in their responses. A Memory accounts for the bytes that an
// entry instance holds. The types read no clock and
// are not safe for concurrent use without a lock.
package admission

import (
	"time"

	"github.com/bulrushfall/bulrushfall/service"
)

// Reason is the reason of a refusal. A refused request was not run.
type Reason string

// Reasons of refusals.
const (
	// ReasonRate means that the account exceeds its request rate.
	ReasonRate Reason = "account-rate"
	// ReasonConcurrency means that the account has too many requests open.
	ReasonConcurrency Reason = "account-concurrency"
	// ReasonDeadline means that the request cannot start before its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonMemory means that the queue is full: it exceeds Config.MaxWaiters or
	// Config.MaxBytes.
	ReasonMemory Reason = "queue-memory"
)

// Refusal is a refused request, with the time after which a retry may succeed. The caller
// of this package has to add jitter to RetryAfter.
type Refusal struct {
	Waiter     *Waiter
	Reason     Reason
	RetryAfter time.Duration
}

// Config holds the parameters of a Queue.
type Config struct {
	// MaxWaiters and MaxBytes limit the number and the memory of waiting requests.
	MaxWaiters int
	MaxBytes   int
	// StarvationLimit is the number of starts of more urgent classes after which one
	// request of a waiting lower class starts, so that no class starves.
	StarvationLimit int
	// Headroom times the square root of the slots is the number of slots that accounts
	// above their share leave free for the other active accounts. Without it, the
	// requests of those would have to wait until a running request ends.
	Headroom float64
}

// DefaultConfig returns the parameters of the queue of one service at one entry instance.
func DefaultConfig() Config {
	return Config{MaxWaiters: 8192, MaxBytes: 32 << 20, StarvationLimit: 16, Headroom: 1.25}
}

// classes are the service classes, the most urgent first.
var classes = [...]service.Class{service.ClassRush, service.ClassInteractive, service.ClassBatch}

// rank returns the index of a class in classes. Unknown classes have the last one.
func rank(c service.Class) int {
	for i, known := range classes {
		if c == known {
			return i
		}
	}
	return len(classes) - 1
}
