package claim

import (
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/infra"
)

// BatchConfig bounds group commit.
type BatchConfig struct {
	// MaxRows and MaxBytes bound one transaction.
	MaxRows  int
	MaxBytes int
	// GroupDelay is how long the first row of a transaction waits for others.
	GroupDelay time.Duration
	// Idle is the time without a transaction after which the next row does not
	// wait. It bounds what seven entry instances write without grouping to 140
	// of the store's several hundred writes a second.
	Idle time.Duration
	// MaxInFlight bounds concurrent transactions. While all are in flight, rows
	// gather, so that a slow store gets fewer and larger transactions.
	MaxInFlight int
	// MaxQueue bounds the waiting rows.
	MaxQueue int
	// MinGap and MaxGap bound the time between transactions while the store
	// throttles. The gap doubles with each throttled transaction and shrinks with
	// each other one, so that leases and configuration, which share the store's
	// write rate, are not throttled for long.
	MinGap, MaxGap time.Duration
}

// DefaultBatchConfig returns the defaults.
func DefaultBatchConfig() BatchConfig {
	return BatchConfig{
		MaxRows:     64,
		MaxBytes:    512 << 10,
		GroupDelay:  5 * time.Millisecond,
		Idle:        50 * time.Millisecond,
		MaxInFlight: 4,
		MaxQueue:    8192,
		MinGap:      10 * time.Millisecond,
		MaxGap:      200 * time.Millisecond,
	}
}

// gapDecay is the part of the gap that an applied transaction takes away.
const gapDecay = 32

// RowWrite is a conditional write of one row; version 0 requires its absence.
type RowWrite struct {
	ID      uint64
	Key     infra.RowKey
	Version uint64
	Value   []byte
	Delete  bool
	// Deadline is when a write that did not apply is reported instead of retried.
	Deadline time.Duration
}

// RowResult is the result of one RowWrite.
type RowResult struct {
	ID      uint64
	Status  StoreStatus
	Version uint64
	// Row is the current row of a conflict; its version is 0 if it is absent.
	Row infra.Row
}

// BatchEvent is an input of Batcher.
type BatchEvent interface{ isBatchEvent() }

// Events of Batcher.
type (
	// Submit adds a write.
	Submit struct{ Write RowWrite }
	// Committed is the result of a transaction.
	Committed struct {
		ID      uint64
		Version uint64
		Err     error
	}
	// Tick lets time pass.
	Tick struct{}
)

func (Submit) isBatchEvent()    {}
func (Committed) isBatchEvent() {}
func (Tick) isBatchEvent()      {}

// BatchAction is an output of Batcher.
type BatchAction interface{ isBatchAction() }

// Actions of Batcher.
type (
	// Commit asks for a transaction.
	Commit struct {
		ID  uint64
		Txn infra.Txn
	}
	// Complete reports the result of one write.
	Complete struct{ Result RowResult }
	// WakeAt asks for a Tick at an instant.
	WakeAt struct{ At time.Duration }
)

func (Commit) isBatchAction()   {}
func (Complete) isBatchAction() {}
func (WakeAt) isBatchAction()   {}

type queued struct {
	RowWrite
	ready time.Duration
}

// Batcher joins the row writes of many requests into few transactions. A row
// that conflicts fails alone: the others of its transaction are sent again.
type Batcher struct {
	cfg      BatchConfig
	queue    []queued
	inFlight map[uint64][]RowWrite
	busy     map[infra.RowKey]bool
	lastID   uint64
	last     time.Duration // of the last commit
	gap      time.Duration // between commits, 0 unless the store throttles
}

// NewBatcher returns an empty batcher.
func NewBatcher(cfg BatchConfig) *Batcher {
	return &Batcher{
		cfg:      cfg,
		inFlight: make(map[uint64][]RowWrite),
		busy:     make(map[infra.RowKey]bool),
	}
}

// Step handles one event.
func (b *Batcher) Step(now time.Duration, event BatchEvent) []BatchAction {
	var out []BatchAction
	switch e := event.(type) {
	case Submit:
		if len(b.queue) >= b.cfg.MaxQueue {
			return []BatchAction{Complete{RowResult{ID: e.Write.ID, Status: StoreNotApplied}}}
		}
		ready := now + b.cfg.GroupDelay
		if len(b.queue) == 0 && now-b.last >= b.cfg.Idle {
			ready = now
		}
		b.queue = append(b.queue, queued{e.Write, ready})
	case Committed:
		out = b.committed(now, e)
	}
	return append(out, b.flush(now)...)
}

// flush commits what is due and asks to be woken for the rest.
func (b *Batcher) flush(now time.Duration) []BatchAction {
	out := b.dropLate(now)
	for len(b.inFlight) < b.cfg.MaxInFlight && b.due(now) {
		commit, ok := b.take()
		if !ok {
			return out
		}
		b.last = now
		out = append(out, commit)
	}
	if len(b.queue) > 0 && len(b.inFlight) < b.cfg.MaxInFlight {
		out = append(out, WakeAt{max(b.queue[0].ready, b.last+b.gap, now)})
	}
	return out
}

func (b *Batcher) due(now time.Duration) bool {
	if len(b.queue) == 0 || (b.gap > 0 && now < b.last+b.gap) {
		return false
	}
	return now >= b.queue[0].ready || len(b.queue) >= b.cfg.MaxRows
}

// dropLate reports writes that cannot be made before their deadline.
func (b *Batcher) dropLate(now time.Duration) []BatchAction {
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

// take builds a transaction from the oldest writes. A key that is in another
// transaction waits, so that writes of one row keep their order.
func (b *Batcher) take() (Commit, bool) {
	b.lastID++
	var (
		txn   infra.Txn
		batch []RowWrite
		kept  []queued
		bytes int
	)
	for _, q := range b.queue {
		full := len(batch) >= b.cfg.MaxRows || (len(batch) > 0 && bytes+len(q.Value) > b.cfg.MaxBytes)
		if full || b.busy[q.Key] {
			kept = append(kept, q)
			continue
		}
		b.busy[q.Key] = true
		bytes += len(q.Value)
		batch = append(batch, q.RowWrite)
		txn.Conditions = append(txn.Conditions, infra.Condition{RowKey: q.Key, Version: q.Version})
		txn.Writes = append(txn.Writes, infra.Write{RowKey: q.Key, Value: q.Value, Delete: q.Delete})
	}
	b.queue = kept
	if len(batch) == 0 {
		return Commit{}, false
	}
	b.inFlight[b.lastID] = batch
	return Commit{ID: b.lastID, Txn: txn}, true
}

// committed reports the results of a transaction.
func (b *Batcher) committed(now time.Duration, e Committed) []BatchAction {
	batch := b.inFlight[e.ID]
	delete(b.inFlight, e.ID)
	for _, w := range batch {
		delete(b.busy, w.Key)
	}
	var conflict *infra.ConflictError
	switch {
	case e.Err == nil:
		if b.gap -= b.gap / gapDecay; b.gap < b.cfg.MinGap/2 {
			b.gap = 0
		}
		return complete(batch, RowResult{Status: StoreApplied, Version: e.Version})
	case errors.As(e.Err, &conflict):
		return b.conflicted(now, batch, conflict.Rows)
	case errors.Is(e.Err, infra.ErrThrottled):
		b.gap = min(max(2*b.gap, b.cfg.MinGap), b.cfg.MaxGap)
		b.last = now
		b.requeue(now, batch)
		return nil
	case errors.Is(e.Err, infra.ErrUnavailable):
		return complete(batch, RowResult{Status: StoreNotApplied})
	default:
		return complete(batch, RowResult{Status: StoreUnknown})
	}
}

// conflicted reports the rows that conflict and sends the others again.
func (b *Batcher) conflicted(now time.Duration, batch []RowWrite, rows []infra.Row) []BatchAction {
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
		// The store named no row: sending the same again could repeat for ever.
		return complete(batch, RowResult{Status: StoreNotApplied})
	}
	b.requeue(now, rest)
	return out
}

func (b *Batcher) requeue(now time.Duration, batch []RowWrite) {
	again := make([]queued, 0, len(batch)+len(b.queue))
	for _, w := range batch {
		again = append(again, queued{w, now})
	}
	b.queue = append(again, b.queue...)
}

func complete(batch []RowWrite, r RowResult) []BatchAction {
	out := make([]BatchAction, 0, len(batch))
	for _, w := range batch {
		r.ID = w.ID
		out = append(out, Complete{r})
	}
	return out
}
