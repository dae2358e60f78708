package engine

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// HeartbeatInterval is the time between heartbeat comments on a stream.
const HeartbeatInterval = 250 * time.Millisecond

// Config configures one engine.
type Config struct {
	Instance ident.InstanceID
	// Address is a loopback address. Port 0 picks a free port, which the engine
	// keeps across restarts.
	Address string
	// Domain is the fabric domain. A group that spans several domains is slow.
	Domain ident.Domain
	// Limit is the number of requests that run at a time; others are queued by
	// priority. The engine crashes when more than ColdLimit requests that
	// arrived while it was cold are active at the same time.
	Limit     int
	ColdLimit int
	// TokenCapacity is the number of context tokens of all active requests above
	// which the engine crashes.
	TokenCapacity int
	// TokenInterval is the time between tokens of one stream.
	TokenInterval time.Duration
	// PrefillPerToken is the prefill time per prompt token that is not cached.
	PrefillPerToken time.Duration
	// LoadTime is the time to load weights that are not in memory, and
	// PreloadedLoadTime the time to load weights that are.
	LoadTime          time.Duration
	PreloadedLoadTime time.Duration
	// WeightStore is the base URL of the weight store, or empty for none. Each
	// load of weights that are not in memory first reads WeightBytes from it.
	WeightStore string
	WeightBytes int64
	// ColdLimitDelay is the time after the engine turned cold without a restart
	// during which arriving requests do not count against ColdLimit: they were
	// sent before the sender could learn of the change.
	ColdLimitDelay time.Duration
	// ColdTime is the time from the ready state until the engine is warm, after a
	// start or a load.
	ColdTime time.Duration
	// RestartDelay is the time from a crash to the start of the next incarnation.
	RestartDelay time.Duration
	// ReportLag is the interval at which the load fields of status reports are
	// updated.
	ReportLag time.Duration
	// CacheTokens is the capacity of the prefix cache in tokens.
	CacheTokens int
	// CacheEventDelay delays cache events. Events whose sequence number is a multiple
	// of CacheEventGap are dropped (0 drops none).
	CacheEventDelay time.Duration
	CacheEventGap   int
	// ChecksFencing makes the engine refuse commands with a stale fencing token
	// and requests for another group or epoch.
	ChecksFencing bool
	// PoisonMarker is a text that crashes the engine when a prompt contains it, or
	// empty for none.
	PoisonMarker string
	// RequestLimit is the request limit that responses name, in requests a second, or 0.
	RequestLimit float64
	// DefaultMaxTokens is the response length for requests without max_tokens.
	DefaultMaxTokens int
	// RecordLimit is the maximum number of recorded requests, and of recorded
	// events.
	RecordLimit int
	// Peers returns the status of a member of the engine's group. Nil queries
	// members over HTTP.
	Peers PeerLookup
}

// DefaultConfig returns a small, fast engine for tests.
func DefaultConfig() Config {
	return Config{
		Address:           "127.0.0.1:0",
		Limit:             16,
		ColdLimit:         2,
		TokenCapacity:     100_000,
		TokenInterval:     5 * time.Millisecond,
		PrefillPerToken:   20 * time.Microsecond,
		LoadTime:          300 * time.Millisecond,
		PreloadedLoadTime: 50 * time.Millisecond,
		ColdLimitDelay:    time.Second,
		ColdTime:          time.Second,
		RestartDelay:      500 * time.Millisecond,
		ReportLag:         200 * time.Millisecond,
		CacheTokens:       50_000,
		CacheEventDelay:   200 * time.Millisecond,
		CacheEventGap:     10,
		ChecksFencing:     true,
		DefaultMaxTokens:  16,
		RecordLimit:       100_000,
	}
}
