package engine

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// HeartbeatInterval is the time between heartbeat comments on a stream.
const HeartbeatInterval = 250 * time.Millisecond

// Config sets up one engine.
type Config struct {
	Instance ident.InstanceID
	// Address is a loopback address; port 0 picks a free one, which the engine
	// keeps over restarts.
	Address string
	// Domain is the fabric domain. A group over several domains is slow.
	Domain ident.Domain
	// Limit and ColdLimit are concurrent requests; the engine dies when more
	// than ColdLimit arrive while it is cold. Limit requests run at a time,
	// others are queued by priority.
	Limit     int
	ColdLimit int
	// TokenCapacity is the sum of held context tokens past which the engine dies.
	TokenCapacity int
	// TokenInterval is the time between tokens of one stream.
	TokenInterval time.Duration
	// PrefillPerToken is the time per prompt token that is not in the cache.
	PrefillPerToken time.Duration
	// LoadTime and PreloadedLoadTime are the time to load weights that are not
	// and that are in memory.
	LoadTime          time.Duration
	PreloadedLoadTime time.Duration
	// WeightStore is the base URL of the weight store, or empty. Each load of
	// weights that are not in memory first reads WeightBytes there.
	WeightStore string
	WeightBytes int64
	// ColdNotice is the time after the engine turned cold without a restart in
	// which arriving requests do not count against the cold limit: they were on
	// their way before anyone could know.
	ColdNotice time.Duration
	// ColdTime is the time from ready to warm after a start or a load.
	ColdTime time.Duration
	// RestartDelay is the time from the death of the engine to its return as a
	// new incarnation.
	RestartDelay time.Duration
	// ReportLag is the age of the load fields in status reports.
	ReportLag time.Duration
	// CacheTokens is the memory of the prefix cache.
	CacheTokens int
	// CacheEventDelay and CacheEventGap make cache events late and drop each
	// n-th (0 drops none).
	CacheEventDelay time.Duration
	CacheEventGap   int
	// ChecksFencing refuses stale commands and requests for another epoch.
	ChecksFencing bool
	// PoisonMarker crashes the engine when a prompt contains it.
	PoisonMarker string
	// DefaultMaxTokens applies to requests that name no limit.
	DefaultMaxTokens int
	// RecordLimit bounds the kept requests and events.
	RecordLimit int
	// Peers looks up the members of the engine's group, or nil to ask over HTTP.
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
		ColdNotice:        time.Second,
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
