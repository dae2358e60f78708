package control

import (
	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/wire"
)

// sampledCounter reports the increments of one counter of the configuration machine
// or of the peer protocol as a metric.
type sampledCounter struct {
	read         func() uint64
	counter      tally.Counter
	lastReported uint64
}

func (c *sampledCounter) report() {
	value := c.read()
	c.counter.Inc(int64(value - c.lastReported))
	c.lastReported = value
}

// configCounters returns the metrics of the configuration machine, which
// docs/operators.md explains.
func configCounters(scope tally.Scope, from *config.Counters) []sampledCounter {
	var out []sampledCounter
	add := func(name string, read func(*config.Counters) uint64) {
		out = append(out, sampledCounter{read: func() uint64 { return read(from) }, counter: scope.Counter(name)})
	}
	add("config_edits_accepted_total", func(c *config.Counters) uint64 { return c.EditsAccepted })
	add("config_edits_conflict_total", func(c *config.Counters) uint64 { return c.EditsConflict })
	add("config_edits_wrong_owner_total", func(c *config.Counters) uint64 { return c.EditsWrongOwner })
	add("config_edits_not_applied_total", func(c *config.Counters) uint64 { return c.EditsNotApplied })
	add("config_edits_unknown_total", func(c *config.Counters) uint64 { return c.EditsUnknown })
	add("config_pushes_sent_total", func(c *config.Counters) uint64 { return c.PushesSent })
	add("config_pushes_failed_total", func(c *config.Counters) uint64 { return c.PushesFailed })
	add("config_pushes_received_total", func(c *config.Counters) uint64 { return c.PushesReceived })
	add("config_stale_records_total", func(c *config.Counters) uint64 { return c.StaleIgnored })
	add("config_head_reads_total", func(c *config.Counters) uint64 { return c.HeadReads })
	add("config_head_read_errors_total", func(c *config.Counters) uint64 { return c.HeadReadErrors })
	add("config_pulls_total", func(c *config.Counters) uint64 { return c.Pulls })
	add("config_pull_errors_total", func(c *config.Counters) uint64 { return c.PullErrors })
	add("config_scans_total", func(c *config.Counters) uint64 { return c.Scans })
	add("config_scan_errors_total", func(c *config.Counters) uint64 { return c.ScanErrors })
	add("config_commit_conflicts_total", func(c *config.Counters) uint64 { return c.CommitConflicts })
	add("config_commits_repeated_total", func(c *config.Counters) uint64 { return c.Resubmitted })
	add("config_undecodable_records_total", func(c *config.Counters) uint64 { return c.Undecodable })
	add("config_store_restores_total", func(c *config.Counters) uint64 { return c.Restores })
	add("config_records_written_back_total", func(c *config.Counters) uint64 { return c.WrittenBack })
	add("config_write_backs_superseded_total", func(c *config.Counters) uint64 { return c.WriteBacksSuperseded })
	return out
}

// peerCounters returns the metrics of the peer protocol.
func peerCounters(scope tally.Scope, from *wire.Counters) []sampledCounter {
	return []sampledCounter{
		{read: from.FramesIn.Load, counter: scope.Counter("peer_frames_in_total")},
		{read: from.FramesOut.Load, counter: scope.Counter("peer_frames_out_total")},
		{read: from.Malformed.Load, counter: scope.Counter("peer_malformed_frames_total")},
		{read: from.HandshakeFailures.Load, counter: scope.Counter("peer_handshake_failures_total")},
		{read: from.SilentConnections.Load, counter: scope.Counter("peer_silent_connections_total")},
	}
}
