package claim

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/infra"
)

// BatchConfig configures the group commit of Batcher.
type BatchConfig struct {
	// MaxRows and MaxBytes limit one transaction.
	MaxRows  int
	MaxBytes int
	// GroupDelay is how long the first row of a transaction waits for further rows.
	GroupDelay time.Duration
	// IdleThreshold is the time without a transaction after which the next row is
	// committed without waiting for others. With 50 ms, seven entry instances
	// make at most 140 single-row transactions a second, of the several hundred
	// writes a second that the store supports.
	IdleThreshold time.Duration
	// MaxInFlight limits concurrent transactions. At the limit, rows stay queued,
	// so that a slow store gets fewer and larger transactions.
	MaxInFlight int
	// MaxQueue limits the queued rows.
	MaxQueue int
	// MinBackoff is the time between transactions after the first throttled one,
	// and MaxBackoff the longest such time. The backoff doubles with each throttled
	// transaction and shrinks with each applied one, so that leases and
	// configuration, which share the store's write rate, are not throttled for
	// long. Below MinBackoff/2 the backoff ends.
	MinBackoff, MaxBackoff time.Duration
}

// DefaultBatchConfig returns the default configuration.
func DefaultBatchConfig() BatchConfig {
	return BatchConfig{
		MaxRows:       64,
		MaxBytes:      512 << 10,
		GroupDelay:    5 * time.Millisecond,
		IdleThreshold: 50 * time.Millisecond,
		MaxInFlight:   4,
		MaxQueue:      8192,
		MinBackoff:    10 * time.Millisecond,
		MaxBackoff:    200 * time.Millisecond,
	}
}

// backoffDecay sets how much an applied transaction reduces the backoff: by
// 1/backoffDecay of it.
const backoffDecay = 32

// RowWrite is a write of one row on the condition that the row has the given
// version. Version 0 requires that the row is absent.
type RowWrite struct {
	ID      uint64
	Key     infra.RowKey
	Version uint64
	Value   []byte
	Delete  bool
	// Deadline is the time from which a write that has not been applied is
	// reported as not applied instead of being retried.
	Deadline time.Duration
}

// RowResult is the result of one RowWrite.
type RowResult struct {
	ID      uint64
	Status  StoreStatus
	Version uint64
	// Row is the current row if the write conflicted. Its version is 0 if the row
	// is absent.
	Row infra.Row
}

// BatchEvent is an input of Batcher.
type BatchEvent interface{ isBatchEvent() }

// Events of Batcher.
type (
	// Submit queues a write.
	Submit struct{ Write RowWrite }
	// CommitDone carries the result of the transaction that Commit requested.
	CommitDone struct {
		ID      uint64
		Version uint64
		Err     error
	}
	// Tick makes Batcher drop the expired writes and commit those that are due.
	// WakeAt requests it.
	Tick struct{}
)

func (Submit) isBatchEvent()     {}
func (CommitDone) isBatchEvent() {}
func (Tick) isBatchEvent()       {}

// BatchAction is an output of Batcher.
type BatchAction interface{ isBatchAction() }

// Actions of Batcher.
type (
	// Commit requests a transaction. CommitDone reports its result.
	Commit struct {
		ID  uint64
		Txn infra.Txn
	}
	// Complete reports the result of one write.
	Complete struct{ Result RowResult }
	// WakeAt requests a Tick at the given time.
	WakeAt struct{ At time.Duration }
)

func (Commit) isBatchAction()   {}
func (Complete) isBatchAction() {}
func (WakeAt) isBatchAction()   {}

type queuedWrite struct {
	RowWrite
	commitAt time.Duration // time until which the write waits for others
}

// Batcher combines the row writes of many requests into few transactions. If
// rows of a transaction conflict, only their writes fail and the others are
// queued again.
type Batcher struct {
	cfg          BatchConfig
	queue        []queuedWrite
	inFlight     map[uint64][]RowWrite
	inFlightRows map[infra.RowKey]bool
	lastTxnID    uint64
	lastCommit   time.Duration // when the last commit was requested or found to be throttled
	backoff      time.Duration // minimum time between commits, 0 unless the store throttles
}

// NewBatcher returns an empty batcher.
func NewBatcher(cfg BatchConfig) *Batcher {
	return &Batcher{
		cfg:          cfg,
		inFlight:     make(map[uint64][]RowWrite),
		inFlightRows: make(map[infra.RowKey]bool),
	}
}

// Step handles one event and returns the actions to execute.
func (b *Batcher) Step(now time.Duration, event BatchEvent) []BatchAction {
	var out []BatchAction
	switch e := event.(type) {
	case Submit:
		if len(b.queue) >= b.cfg.MaxQueue {
			return []BatchAction{Complete{RowResult{ID: e.Write.ID, Status: StoreNotApplied}}}
		}
		commitAt := now + b.cfg.GroupDelay
		if len(b.queue) == 0 && now-b.lastCommit >= b.cfg.IdleThreshold {
			commitAt = now
		}
		b.queue = append(b.queue, queuedWrite{e.Write, commitAt})
	case CommitDone:
		out = b.handleCommitDone(now, e)
	}
	return append(out, b.flush(now)...)
}

// flush commits the writes that are due and requests a wake-up for the others.
func (b *Batcher) flush(now time.Duration) []BatchAction {
	out := b.dropExpired(now)
	for len(b.inFlight) < b.cfg.MaxInFlight && b.commitDue(now) {
		commit, ok := b.buildTransaction()
		if !ok {
			return out
		}
		b.lastCommit = now
		out = append(out, commit)
	}
	if len(b.queue) > 0 && len(b.inFlight) < b.cfg.MaxInFlight {
		out = append(out, WakeAt{max(b.queue[0].commitAt, b.lastCommit+b.backoff, now)})
	}
	return out
}

func (b *Batcher) commitDue(now time.Duration) bool {
	if len(b.queue) == 0 || (b.backoff > 0 && now < b.lastCommit+b.backoff) {
		return false
	}
	return now >= b.queue[0].commitAt || len(b.queue) >= b.cfg.MaxRows
}

// dropExpired removes queued writes whose deadline has passed and reports them
// as not applied.
func (b *Batcher) dropExpired(now time.Duration) []BatchAction {
	var out []BatchAction
	kept := b.queue[:0]
	for _, q := range b.queue {
		if now >= q.Deadline {
			out = append(out, Complete{RowResult{ID: q.ID, Status: StoreNotApplied}})
			continue
		}
		kept = append(kept, q)
	}
	clear(b.queue[len(kept):])
	b.queue = kept
	return out
}

// buildTransaction builds a transaction from the oldest writes. A write of a row
// that a transaction in flight also writes stays queued, so that the writes of
// one row keep their order. It returns false if there is nothing to commit.
func (b *Batcher) buildTransaction() (Commit, bool) {
	b.lastTxnID++
	var (
		txn   infra.Txn
		batch []RowWrite
		kept  []queuedWrite
		bytes int
	)
	for _, q := range b.queue {
		full := len(batch) >= b.cfg.MaxRows || (len(batch) > 0 && bytes+len(q.Value) > b.cfg.MaxBytes)
		if full || b.inFlightRows[q.Key] {
			kept = append(kept, q)
			continue
		}
		b.inFlightRows[q.Key] = true
		bytes += len(q.Value)
		batch = append(batch, q.RowWrite)
		txn.Conditions = append(txn.Conditions, infra.Condition{RowKey: q.Key, Version: q.Version})
		txn.Writes = append(txn.Writes, infra.Write{RowKey: q.Key, Value: q.Value, Delete: q.Delete})
	}
	b.queue = kept
	if len(batch) == 0 {
		return Commit{}, false
	}
	b.inFlight[b.lastTxnID] = batch
	return Commit{ID: b.lastTxnID, Txn: txn}, true
}

// handleCommitDone reports the results of a finished transaction or queues its
// writes again.
func (b *Batcher) handleCommitDone(now time.Duration, e CommitDone) []BatchAction {
	batch := b.inFlight[e.ID]
	delete(b.inFlight, e.ID)
	for _, w := range batch {
		delete(b.inFlightRows, w.Key)
	}
	var conflict *infra.ConflictError
	switch {
	case e.Err == nil:
		if b.backoff -= b.backoff / backoffDecay; b.backoff < b.cfg.MinBackoff/2 {
			b.backoff = 0
		}
		return completeAll(batch, RowResult{Status: StoreApplied, Version: e.Version})
	case errors.As(e.Err, &conflict):
		return b.handleConflict(now, batch, conflict.Rows)
	case errors.Is(e.Err, infra.ErrThrottled):
		b.backoff = min(max(2*b.backoff, b.cfg.MinBackoff), b.cfg.MaxBackoff)
		b.lastCommit = now
		b.requeue(now, batch)
		return nil
	case errors.Is(e.Err, infra.ErrUnavailable):
		return completeAll(batch, RowResult{Status: StoreNotApplied})
	default:
		return completeAll(batch, RowResult{Status: StoreUnknown})
	}
}

// handleConflict reports the writes whose rows conflict and queues the others
// again.
func (b *Batcher) handleConflict(now time.Duration, batch []RowWrite, rows []infra.Row) []BatchAction {
	current := make(map[infra.RowKey]infra.Row, len(rows))
	for _, row := range rows {
		current[row.RowKey] = row
	}
	var out []BatchAction
	var rest []RowWrite
	for _, w := range batch {
		if row, ok := current[w.Key]; ok {
			out = append(out, Complete{RowResult{ID: w.ID, Status: StoreConflict, Row: row}})
			continue
		}
		rest = append(rest, w)
	}
	if len(out) == 0 {
		// The store reported a conflict without a row: sending the same
		// transaction again could repeat forever.
		return completeAll(batch, RowResult{Status: StoreNotApplied})
	}
	b.requeue(now, rest)
	return out
}

func (b *Batcher) requeue(now time.Duration, batch []RowWrite) {
	requeued := make([]queuedWrite, 0, len(batch)+len(b.queue))
	for _, w := range batch {
		requeued = append(requeued, queuedWrite{w, now})
	}
	b.queue = append(requeued, b.queue...)
}

func completeAll(batch []RowWrite, r RowResult) []BatchAction {
	out := make([]BatchAction, 0, len(batch))
	for _, w := range batch {
		r.ID = w.ID
		out = append(out, Complete{r})
	}
	return out
}
