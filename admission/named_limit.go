package admission

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/saturate"
)

const (
	// minNamedRate is the least rate of requests to a backend server whose limit is lower,
	// in requests a second. Without any, the end of the limit would not be seen.
	minNamedRate = 0.2
	// namedSaveTime is the time for which an entry instance can save up requests, one at
	// least.
	namedSaveTime = 100 * time.Millisecond
)

// NamedLimit keeps a request limit that a backend server names for all entry instances
// together. Only as many entry instances send to it as the limit has whole requests a second,
// so that what each may save up stays within the limit too.
type NamedLimit struct {
	perSecond float64
	// observedAt is when a response named the limit, or named none (perSecond 0, !named).
	observedAt time.Duration
	named      bool
	tokens     float64
	lastRefill time.Duration
}

// Observe applies an observation, and reports whether it is newer than the known one. named is
// false if a response named no limit.
func (l *NamedLimit) Observe(now, at time.Duration, perSecond float64, named bool) bool {
	if at <= l.observedAt && l.observedAt != 0 {
		return false
	}
	if named && !l.named {
		l.tokens, l.lastRefill = 0, now
	}
	l.perSecond, l.named, l.observedAt = perSecond, named, at
	return true
}

// Named returns the limit in requests a second, and whether there is one.
func (l *NamedLimit) Named() (perSecond float64, named bool) { return l.perSecond, l.named }

// ObservedAt returns the time of the last observation.
func (l *NamedLimit) ObservedAt() time.Duration { return l.observedAt }

// Allows reports whether this entry instance may send a request now. rank is the number of
// live entry instances that are preferred to it for this backend server, and instances the
// number of all.
func (l *NamedLimit) Allows(now time.Duration, rank, instances int) bool {
	if !l.named {
		return true
	}
	rate := max(minNamedRate, l.perSecond)
	senders := min(max(1, saturate.Int(rate)), max(1, instances))
	if rank >= senders {
		l.tokens, l.lastRefill = 0, now
		return false
	}
	share := rate / float64(senders)
	l.tokens = min(max(1, share*namedSaveTime.Seconds()), l.tokens+max(0, (now-l.lastRefill).Seconds())*share)
	l.lastRefill = now
	return l.tokens >= 1
}

// Take records a request that Allows has allowed.
func (l *NamedLimit) Take() {
	if l.named {
		l.tokens--
	}
}

// LimitReport is an observation of the request limit of a backend server.
type LimitReport struct {
	Server ident.InstanceID `msgpack:"s"`
	// PerSecond is the limit in requests a second, if Named. Otherwise a response named none.
	PerSecond float64       `msgpack:"r"`
	Named     bool          `msgpack:"n"`
	Age       time.Duration `msgpack:"a"`
}
