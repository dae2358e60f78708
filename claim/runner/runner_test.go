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

// memoryStore is a table and an object store with switched faults.
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

func (s *memoryStore) set(fault error, hang bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault, s.hang = fault, hang
}

// kept returns the number of rows and objects.
func (s *memoryStore) kept() (rows, objects int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.rows), len(s.objects)
}

// begin applies the faults; the caller holds the lock afterwards.
func (s *memoryStore) begin(ctx context.Context) error {
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
	if err := s.begin(ctx); err != nil {
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
	if err := s.begin(ctx); err != nil {
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
	begin := time.Now()
	r, err := New(Options{
		Instance: ident.InstanceID(name), Incarnation: "1", Table: s, Objects: s,
		QueryOwner: func(context.Context, claim.Owner) claim.Report { return claim.Report{State: claim.StateGone} },
		Now:        func() time.Duration { return time.Since(begin) }, WallClock: time.Now, Scope: tally.NoopScope,
		MachineConfig: claim.DefaultConfig(), RegistryConfig: claim.DefaultRegistryConfig(), BatchConfig: claim.DefaultBatchConfig(),
	})
	assert.NilError(t, err)
	return r
}

// order places an order with a deadline of 2 s.
func order(r *Runner, key string, dispatch Dispatch) claim.Result {
	return r.Run(context.Background(), Request{
		Key: claim.Key(key), Digest: "d", Deadline: r.Now() + 2*time.Second, Dispatch: dispatch,
	})
}

func answer(body []byte) Dispatch {
	return func(context.Context, ident.AttemptID) claim.DispatchDone {
		return claim.DispatchDone{Status: claim.DispatchAnswered, Answer: &claim.Answer{Status: 201, Body: body}}
	}
}

// TestStoreFaults guards against an order that waits longer than its deadline
// for a store that hangs, and against an outcome that is given up in a long
// outage.
func TestStoreFaults(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		r := newTestRunner(t, s, "e1")
		for _, hang := range []bool{true, false} {
			s.set(infra.ErrThrottled, hang)
			begin := r.Now()
			v := order(r, "k", answer(nil))
			assert.Equal(t, v.Kind, claim.ResultUnknown)
			assert.Assert(t, v.EarlierCallUnknown)
			assert.Equal(t, r.Now()-begin, 2*time.Second)
			first := Request{Key: "first", Digest: "d", Deadline: r.Now() + time.Second, FirstCall: true, Dispatch: answer(nil)}
			assert.Equal(t, r.Run(t.Context(), first).Kind, claim.ResultNotRun)
		}
		s.set(nil, false)
		v := order(r, "k", func(context.Context, ident.AttemptID) claim.DispatchDone {
			s.set(infra.ErrUnavailable, false)
			return claim.DispatchDone{Status: claim.DispatchAnswered, Answer: &claim.Answer{Status: 201, Body: []byte("late")}}
		})
		assert.Equal(t, v.Kind, claim.ResultAnswer)
		time.Sleep(time.Hour)
		assert.Equal(t, order(r, "k", nil).Kind, claim.ResultReplay, "the own entry remembers the answer")
		s.set(nil, false)
		assert.NilError(t, r.Wait(t.Context()))
		other := newTestRunner(t, s, "e2")
		v = order(other, "k", nil)
		assert.Equal(t, v.Kind, claim.ResultReplay)
		assert.Equal(t, string(v.Answer.Body), "late")
		assert.NilError(t, other.Wait(t.Context()))
	})
}

// TestDeadlineOfDispatch guards against an unknown outcome for a call that was
// never sent, and against a late answer that is lost.
func TestDeadlineOfDispatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		r := newTestRunner(t, s, "e1")
		v := order(r, "k1", func(context.Context, ident.AttemptID) claim.DispatchDone {
			time.Sleep(2*time.Second + dispatchGrace/2)
			return claim.DispatchDone{Status: claim.DispatchRefused, Cause: errors.New("queue")}
		})
		assert.Equal(t, v.Kind, claim.ResultNotRun)
		v = order(r, "k2", func(context.Context, ident.AttemptID) claim.DispatchDone {
			time.Sleep(10 * time.Second)
			return claim.DispatchDone{Status: claim.DispatchAnswered, Answer: &claim.Answer{Status: 201}}
		})
		assert.Equal(t, v.Kind, claim.ResultUnknown)
		assert.Equal(t, order(r, "k2", nil).Reason, claim.ReasonStillRunning)
		assert.NilError(t, r.Wait(t.Context()))
		assert.Equal(t, order(r, "k2", nil).Kind, claim.ResultReplay)
		assert.NilError(t, r.Wait(t.Context()))
	})
}

// TestSweepOldRows guards against rows and objects that stay for ever, and
// against the deletion of a row within its retention.
func TestSweepOldRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newMemoryStore()
		r := newTestRunner(t, s, "e1")
		order(r, "k1", answer(make([]byte, claim.MaxInlineAnswerBytes+1)))
		assert.NilError(t, r.Wait(t.Context()))
		ctx, cancel := context.WithCancel(t.Context())
		cfg := claim.DefaultSweepConfig()
		go r.Sweep(ctx, cfg, func() bool { return true })
		time.Sleep(minRetention + cfg.Margin - time.Second)
		synctest.Wait()
		rows, objects := s.kept()
		assert.Equal(t, rows, 1)
		assert.Equal(t, objects, 1)
		time.Sleep(2 * cfg.Rest)
		synctest.Wait()
		rows, objects = s.kept()
		assert.Equal(t, rows, 0)
		assert.Equal(t, objects, 0)
		cancel()
	})
}
