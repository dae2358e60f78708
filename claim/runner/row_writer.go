package runner

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/infra"
)

// commitTimeout limits one transaction. It is shorter than the deadlines of
// requests, so that after a lost result there is time to read the row.
const commitTimeout = time.Second

// rowWriter writes rows with group commit. It executes the actions of
// claim.Batcher.
type rowWriter struct {
	table   infra.Table
	now     func() time.Duration
	metrics *runnerMetrics
	wg      sync.WaitGroup

	mu      sync.Mutex
	batcher *claim.Batcher
	results map[uint64]chan claim.RowResult // by ID of the write
	lastID  uint64
	timer   *time.Timer
	timerAt time.Duration // when the timer fires, 0 if it does not
}

func newRowWriter(table infra.Table, now func() time.Duration, cfg claim.BatchConfig, m *runnerMetrics) *rowWriter {
	return &rowWriter{
		table:   table,
		now:     now,
		metrics: m,
		batcher: claim.NewBatcher(cfg),
		results: make(map[uint64]chan claim.RowResult),
	}
}

// write queues a write. The returned channel receives its result.
func (s *rowWriter) write(w claim.RowWrite) <-chan claim.RowResult {
	ch := make(chan claim.RowResult, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	w.ID = s.lastID
	s.results[w.ID] = ch
	s.step(claim.Submit{Write: w})
	return ch
}

// step passes an event to the batcher and executes the resulting actions. The
// caller must hold the lock.
func (s *rowWriter) step(e claim.BatchEvent) {
	for _, a := range s.batcher.Step(s.now(), e) {
		switch a := a.(type) {
		case claim.Commit:
			s.metrics.transactions.Inc(1)
			s.metrics.rowsWritten.Inc(int64(len(a.Txn.Writes)))
			s.wg.Add(1)
			go s.commit(a)
		case claim.Complete:
			s.results[a.Result.ID] <- a.Result
			delete(s.results, a.Result.ID)
		case claim.WakeAt:
			s.armTimer(a.At)
		}
	}
}

func (s *rowWriter) commit(c claim.Commit) {
	defer s.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	version, err := s.table.Txn(ctx, c.Txn)
	if err != nil {
		s.metrics.transactionErrors.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(claim.CommitDone{ID: c.ID, Version: version, Err: err})
}

// armTimer sets the timer unless it already fires at or before the given time.
func (s *rowWriter) armTimer(at time.Duration) {
	if s.timerAt > 0 && s.timerAt <= at {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.timerAt = at
	s.timer = time.AfterFunc(max(at-s.now(), 0), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.timerAt = 0
		s.step(claim.Tick{})
	})
}
