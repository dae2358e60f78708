package runner

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// memoryStore is a table and an object store in memory that can simulate faults.
type memoryStore struct {
	mu      sync.Mutex
	version uint64
	rows    map[infra.RowKey]infra.Row
	objects map[string][]byte
	fault   error
	hang    bool
}

func newMemoryStore() *memoryStore {
	return &memoryStore{rows: map[infra.RowKey]infra.Row{}, objects: map[string][]byte{}}
}

func (s *memoryStore) setFault(fault error, hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.hang = fault, hang
}

// counts returns the number of rows and objects.
func (s *memoryStore) counts() (rows, objects int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows), len(s.objects)
}

// applyFault locks the store and returns the set fault. If the store hangs, it waits
// for the end of the context and returns infra.ErrOutcomeUnknown. The caller must
// unlock the store.
func (s *memoryStore) applyFault(ctx context.Context) error {
	s.mu.Lock()
	if s.hang {
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		return infra.ErrOutcomeUnknown
	}
	return s.fault
}

func (s *memoryStore) Txn(ctx context.Context, t infra.Txn) (uint64, error) {
	defer s.mu.Unlock()
	if err := s.applyFault(ctx); err != nil {
		return 0, err
	}
	conflict := &infra.ConflictError{}
	for _, c := range t.Conditions {
		if row := s.rows[c.RowKey]; row.Version != c.Version {
			row.RowKey = c.RowKey
			conflict.Rows = append(conflict.Rows, row)
		}
	}
	if len(conflict.Rows) > 0 {
		return 0, conflict
	}
	s.version++
	for _, w := range t.Writes {
		delete(s.rows, w.RowKey)
		if !w.Delete {
			s.rows[w.RowKey] = infra.Row{RowKey: w.RowKey, Version: s.version, Value: w.Value}
		}
	}
	return s.version, nil
}

func (s *memoryStore) Get(ctx context.Context, key infra.RowKey) (infra.Row, error) {
	defer s.mu.Unlock()
	if err := s.applyFault(ctx); err != nil {
		return infra.Row{}, infra.ErrUnavailable
	}
	row, ok := s.rows[key]
	if !ok {
		return row, infra.ErrRowNotFound
	}
	return row, nil
}

func (s *memoryStore) Scan(context.Context, string, string, int) ([]infra.Row, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []infra.Row
	for _, row := range s.rows {
		out = append(out, row)
	}
	return out, s.fault
}

func (s *memoryStore) PutObject(_ context.Context, key string, value []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.objects[key] = value
	return s.fault
}

func (s *memoryStore) GetObject(_ context.Context, key string) ([]byte, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b, ok := s.objects[key]; ok {
		return b, s.fault
	}
	return nil, infra.ErrObjectNotFound
}

func (s *memoryStore) DeleteObject(_ context.Context, key string) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.objects, key)
	return s.fault
}

func newTestRunner(t *testing.T, s *memoryStore, name string) *Runner {
	t.Helper()
	started := time.Now()
	r, err := New(Options{
		Instance: ident.InstanceID(name), Incarnation: "1", Table: s, Objects: s,
		QueryOwner: func(context.Context, claim.Owner) claim.Report { return claim.Report{State: claim.StateGone} },
		Now:        func() time.Duration { return time.Since(started) }, WallClock: time.Now, Scope: tally.NoopScope,
		MachineConfig: claim.DefaultConfig(), RegistryConfig: claim.DefaultRegistryConfig(), BatchConfig: claim.DefaultBatchConfig(),
	})
	assert.NilError(t, err)
	return r
}

// runRequest runs a request with a deadline of 2 s.
func runRequest(r *Runner, key string, dispatch Dispatch) claim.Result {
	return r.Run(context.Background(), Request{
		Key: claim.Key(key), Digest: "d", Deadline: r.Now() + 2*time.Second, Dispatch: dispatch,
	})
}

func answerWith(body []byte) Dispatch {
	return func(context.Context, ident.AttemptID) claim.DispatchDone {
		return claim.DispatchDone{Status: claim.DispatchAnswered, Answer: &claim.Answer{Status: 201, Body: body}}
	}
}

// TestStoreFaults guards against a request that waits for a hanging store beyond
// its deadline, and against an outcome that is not recorded after a long outage
// of the store.
func TestStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		r := newTestRunner(t, s, "e1")
		for _, hang := range []bool{true, false} {
			s.setFault(infra.ErrThrottled, hang)
			started := r.Now()
			v := runRequest(r, "k", answerWith(nil))
			assert.Equal(t, v.Kind, claim.ResultUnknown)
			assert.Assert(t, v.EarlierCallUnknown)
			assert.Equal(t, r.Now()-started, 2*time.Second)
			first := Request{Key: "first", Digest: "d", Deadline: r.Now() + time.Second, FirstCall: true, Dispatch: answerWith(nil)}
			assert.Equal(t, r.Run(t.Context(), first).Kind, claim.ResultNotRun)
		}
		s.setFault(nil, false)
		v := runRequest(r, "k", func(context.Context, ident.AttemptID) claim.DispatchDone {
			s.setFault(infra.ErrUnavailable, false)
			return claim.DispatchDone{Status: claim.DispatchAnswered, Answer: &claim.Answer{Status: 201, Body: []byte("late")}}
		})
		assert.Equal(t, v.Kind, claim.ResultAnswer)
		time.Sleep(time.Hour)
		assert.Equal(t, runRequest(r, "k", nil).Kind, claim.ResultReplay, "the entry instance that ran the request must have its answer in memory")
		s.setFault(nil, false)
		assert.NilError(t, r.Wait(t.Context()))
		other := newTestRunner(t, s, "e2")
		v = runRequest(other, "k", nil)
		assert.Equal(t, v.Kind, claim.ResultReplay)
		assert.Equal(t, string(v.Answer.Body), "late")
		assert.NilError(t, other.Wait(t.Context()))
	})
}

// TestDeadlineOfDispatch guards against an unknown outcome of a call that was
// never sent, and against the loss of an answer that arrives after the deadline.
func TestDeadlineOfDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		r := newTestRunner(t, s, "e1")
		v := runRequest(r, "k1", func(context.Context, ident.AttemptID) claim.DispatchDone {
			time.Sleep(2*time.Second + dispatchGracePeriod/2)
			return claim.DispatchDone{Status: claim.DispatchRefused, Cause: errors.New("queue")}
		})
		assert.Equal(t, v.Kind, claim.ResultNotRun)
		v = runRequest(r, "k2", func(context.Context, ident.AttemptID) claim.DispatchDone {
			time.Sleep(10 * time.Second)
			return claim.DispatchDone{Status: claim.DispatchAnswered, Answer: &claim.Answer{Status: 201}}
		})
		assert.Equal(t, v.Kind, claim.ResultUnknown)
		assert.Equal(t, runRequest(r, "k2", nil).Reason, claim.ReasonStillRunning)
		assert.NilError(t, r.Wait(t.Context()))
		assert.Equal(t, runRequest(r, "k2", nil).Kind, claim.ResultReplay)
		assert.NilError(t, r.Wait(t.Context()))
	})
}

// TestSweepExpiredRows guards against rows and objects that are never deleted, and
// against the deletion of a row during its retention.
func TestSweepExpiredRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		r := newTestRunner(t, s, "e1")
		runRequest(r, "k1", answerWith(make([]byte, claim.MaxInlineAnswerBytes+1)))
		assert.NilError(t, r.Wait(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		cfg := claim.DefaultSweepConfig()
		go r.Sweep(ctx, cfg, func() bool { return true })
		time.Sleep(minRetention + cfg.ClockMargin - time.Second)
		synctest.Wait()
		rows, objects := s.counts()
		assert.Equal(t, rows, 1)
		assert.Equal(t, objects, 1)
		time.Sleep(2 * cfg.PassInterval)
		synctest.Wait()
		rows, objects = s.counts()
		assert.Equal(t, rows, 0)
		assert.Equal(t, objects, 0)
		cancel()
	})
}
