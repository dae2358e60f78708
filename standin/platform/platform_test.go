package platform

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

func start(t *testing.T) (*Server, *infra.Client) {
	t.Helper()
	s, err := Start(DefaultConfig())
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s, infra.NewClient(s.URL())
}

func put(key string, version uint64) infra.Txn {
	k := infra.RowKey{Table: "t", Key: key}
	return infra.Txn{
		Conditions: []infra.Condition{{RowKey: k, Version: version}},
		Writes:     []infra.Write{{RowKey: k, Value: []byte(key)}},
	}
}

// TestTransactions guards against a transaction that is applied in part, or that is
// applied although a version condition is stale.
func TestTransactions(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	v, err := c.Txn(ctx, put("a", 0))
	assert.NilError(t, err)
	both := put("a", 0)
	both.Writes = append(both.Writes, put("b", 0).Writes...)
	_, err = c.Txn(ctx, both)
	var conflict *infra.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Rows[0].Version, v)
	_, err = c.Get(ctx, infra.RowKey{Table: "t", Key: "b"})
	assert.Assert(t, errors.Is(err, infra.ErrRowNotFound))
	_, err = c.Txn(ctx, put("b", 0))
	assert.NilError(t, err)
	rows, err := c.Scan(ctx, "t", "a", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "b")
	assert.Equal(t, len(s.Writes("t")), 2)
}

// TestFaults guards against an injected fault that has no effect or the wrong effect.
func TestFaults(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	s.SetFaults(Faults{Outage: true})
	_, err := c.Txn(ctx, put("a", 0))
	assert.Assert(t, errors.Is(err, infra.ErrUnavailable))
	s.SetFaults(Faults{LoseAnswers: 1})
	_, err = c.Txn(ctx, put("a", 0))
	assert.Assert(t, errors.Is(err, infra.ErrOutcomeUnknown))
	row, err := c.Get(ctx, infra.RowKey{Table: "t", Key: "a"})
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "a")
	s.SetFaults(Faults{ThrottleAll: true})
	_, err = c.Txn(ctx, put("c", 0))
	assert.Assert(t, errors.Is(err, infra.ErrThrottled))
	s.SetFaults(Faults{Hang: true})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = c.Get(short, infra.RowKey{Table: "t", Key: "a"})
	assert.Assert(t, errors.Is(err, infra.ErrUnavailable))
	counts := s.Counts()
	assert.Equal(t, counts.Refused, uint64(1))
	assert.Equal(t, counts.LostAnswers, uint64(1))
	assert.Equal(t, counts.Throttled, uint64(1))
	assert.Equal(t, counts.Hung, uint64(1))
}

// TestRestore guards against a restored table that keeps later writes, that brings
// deleted rows back in the wrong order or gives out other versions than before, and
// against an answer without the new era.
func TestRestore(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	key := func(k string) infra.RowKey { return infra.RowKey{Table: "t", Key: k} }
	assert.Equal(t, c.Era(), uint64(0))
	first, err := c.Txn(ctx, put("a", 0))
	assert.NilError(t, err)
	assert.Equal(t, c.Era(), uint64(1))
	copied := time.Now()
	later, err := c.Txn(ctx, put("b", 0))
	assert.NilError(t, err)
	_, err = c.Txn(ctx, infra.Txn{Writes: []infra.Write{{RowKey: key("a"), Delete: true}}})
	assert.NilError(t, err)
	s.table.restore(copied)

	rows, err := c.Scan(ctx, "t", "", 10)
	assert.NilError(t, err)
	assert.Equal(t, c.Era(), uint64(2))
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "a")
	assert.Equal(t, rows[0].Version, first)
	again, err := c.Txn(ctx, put("c", 0))
	assert.NilError(t, err)
	assert.Equal(t, again, later, "the version is not given out again")
	s.SetFaults(Faults{Outage: true})
	s.Restore(time.Hour)
	_, err = c.Get(ctx, key("a"))
	assert.Assert(t, errors.Is(err, infra.ErrUnavailable))
	assert.Equal(t, c.Era(), uint64(3), "a refusal does not name the era")
	s.SetFaults(Faults{})
	_, err = c.Get(ctx, key("a"))
	assert.Assert(t, errors.Is(err, infra.ErrRowNotFound))
}

// TestInstanceLag guards against a change that is visible in the instance list before
// the lag has passed.
func TestInstanceLag(t *testing.T) {
	s, c := start(t)
	s.listedInstances.lag = time.Hour
	s.PutInstances(infra.Instance{ID: "w"})
	list, err := c.Instances(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	// An empty immediate change makes the pending one visible.
	s.ChangeInstances(InstanceChange{Leaving: nil, Immediate: true})
	list, err = c.Instances(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, list[0].State, infra.StateLive)
}

// TestInstancesUnchanged guards against an unchanged list that is sent again, and
// against a conditional request that hides a change, the lag or an outage.
func TestInstancesUnchanged(t *testing.T) {
	ctx := context.Background()
	s, c := start(t)
	s.ChangeInstances(InstanceChange{Put: []infra.Instance{{ID: "w"}}, Immediate: true})
	first, err := c.ListInstances(ctx, "")
	assert.NilError(t, err)
	assert.Equal(t, len(first.Instances), 1)
	again, err := c.ListInstances(ctx, first.Version)
	assert.NilError(t, err)
	assert.Assert(t, again.Unchanged && again.Version == first.Version && again.Instances == nil)

	s.listedInstances.lag = time.Hour
	s.PutInstances(infra.Instance{ID: "v"})
	again, err = c.ListInstances(ctx, first.Version)
	assert.NilError(t, err)
	assert.Assert(t, again.Unchanged, "the change is visible before the lag has passed")
	s.ChangeInstances(InstanceChange{Leaving: []ident.InstanceID{"w"}, Immediate: true})
	second, err := c.ListInstances(ctx, first.Version)
	assert.NilError(t, err)
	assert.Assert(t, !second.Unchanged && second.Version != first.Version)
	assert.Equal(t, len(second.Instances), 2)

	s.SetFaults(Faults{Outage: true})
	_, err = c.ListInstances(ctx, second.Version)
	assert.ErrorIs(t, err, infra.ErrUnavailable)
}

// TestInstancesWithoutTag covers a platform without entity tags. It guards against a
// list that is decoded at each read although it did not change, and against a changed
// list that is reported as unchanged.
func TestInstancesWithoutTag(t *testing.T) {
	var body atomic.Value
	body.Store(`{"instances":[{"id":"w"}]}`)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body.Load().(string)) }))
	defer server.Close()
	c := infra.NewClient(server.URL)
	first, err := c.ListInstances(context.Background(), "")
	assert.NilError(t, err)
	again, err := c.ListInstances(context.Background(), first.Version)
	assert.NilError(t, err)
	assert.Assert(t, again.Unchanged)
	body.Store(`{"instances":[{"id":"v"}]}`)
	second, err := c.ListInstances(context.Background(), first.Version)
	assert.NilError(t, err)
	assert.Equal(t, second.Instances[0].ID, ident.InstanceID("v"))
}

// BenchmarkInstances reads a list of the size that the system is designed for, with
// client and simulated platform together: in full, and with a known version.
func BenchmarkInstances(b *testing.B) {
	s, err := Start(DefaultConfig())
	assert.NilError(b, err)
	defer s.Close()
	var list []infra.Instance
	for i := range 8190 {
		list = append(list, infra.Instance{
			ID: ident.InstanceID(fmt.Sprintf("worker-%05d", i)), Kind: infra.KindEngine, State: infra.StateLive,
			Address: "10.0.0.1:7100", Region: "bg-north", DataCentre: "gabrovo-a", Domain: "gabrovo-a-12", Accelerators: 4,
		})
	}
	s.ChangeInstances(InstanceChange{Put: list, Immediate: true})
	for _, full := range []bool{true, false} {
		b.Run(fmt.Sprintf("full=%v", full), func(b *testing.B) {
			c := infra.NewClient(s.URL())
			knownVersion := ""
			for b.Loop() {
				l, err := c.ListInstances(context.Background(), knownVersion)
				assert.NilError(b, err)
				if !full {
					knownVersion = l.Version
				}
			}
			b.ReportAllocs()
		})
	}
}
