package runner

import (
	"context"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/infra"
)

// commitTimeout bounds one transaction. It is shorter than the deadlines of
// orders, so that a lost answer leaves time for a read-back.
const commitTimeout = time.Second

// store drives the group commit of row writes.
type store struct {
	table infra.Table
	now   func() time.Duration
	m     *metrics
	wg    sync.WaitGroup

	mu      sync.Mutex
	batcher *claim.Batcher
	waiting map[uint64]chan claim.RowResult
	lastID  uint64
	timer   *time.Timer
	wake    time.Duration // when the timer fires, 0 if it does not
}

func newStore(table infra.Table, now func() time.Duration, cfg claim.BatchConfig, m *metrics) *store {
	return &store{
		table:   table,
		now:     now,
		m:       m,
		batcher: claim.NewBatcher(cfg),
		waiting: make(map[uint64]chan claim.RowResult),
	}
}

// write queues a write. The channel gets one result.
func (s *store) write(w claim.RowWrite) <-chan claim.RowResult {
	ch := make(chan claim.RowResult, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	w.ID = s.lastID
	s.waiting[w.ID] = ch
	s.step(claim.Submit{Write: w})
	return ch
}

// step feeds the batcher. The caller holds the lock.
func (s *store) step(e claim.BatchEvent) {
	for _, a := range s.batcher.Step(s.now(), e) {
		switch a := a.(type) {
		case claim.Commit:
			s.m.transactions.Inc(1)
			s.m.rows.Inc(int64(len(a.Txn.Writes)))
			s.wg.Add(1)
			go s.commit(a)
		case claim.Complete:
			s.waiting[a.Result.ID] <- a.Result
			delete(s.waiting, a.Result.ID)
		case claim.WakeAt:
			s.wakeAt(a.At)
		}
	}
}

func (s *store) commit(c claim.Commit) {
	defer s.wg.Done()
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	version, err := s.table.Txn(ctx, c.Txn)
	if err != nil {
		s.m.transactionErrors.Inc(1)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(claim.Committed{ID: c.ID, Version: version, Err: err})
}

// wakeAt arms the timer unless it fires earlier.
func (s *store) wakeAt(at time.Duration) {
	if s.wake > 0 && s.wake <= at {
		return
	}
	if s.timer != nil {
		s.timer.Stop()
	}
	s.wake = at
	s.timer = time.AfterFunc(max(at-s.now(), 0), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.wake = 0
		s.step(claim.Tick{})
	})
}
