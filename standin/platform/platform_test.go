package platform

import (
	"context"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/platform"
)

func start(t *testing.T) (*Server, *platform.Client) {
	t.Helper()
	s, err := Start(DefaultConfig())
	assert.NilError(t, err)
	t.Cleanup(s.Close)
	return s, platform.NewClient(s.URL())
}

func put(key string, version uint64) platform.Txn {
	k := platform.RowKey{Table: "t", Key: key}
	return platform.Txn{
		Conditions: []platform.Condition{{RowKey: k, Version: version}},
		Writes:     []platform.Write{{RowKey: k, Value: []byte(key)}},
	}
}

// TestTransactions guards against a transaction that applies in part or
// against a stale version.
func TestTransactions(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	v, err := c.Txn(ctx, put("a", 0))
	assert.NilError(t, err)
	both := put("a", 0)
	both.Writes = append(both.Writes, put("b", 0).Writes...)
	_, err = c.Txn(ctx, both)
	var conflict *platform.ConflictError
	assert.Assert(t, errors.As(err, &conflict))
	assert.Equal(t, conflict.Rows[0].Version, v)
	_, err = c.Get(ctx, platform.RowKey{Table: "t", Key: "b"})
	assert.Assert(t, errors.Is(err, platform.ErrRowNotFound))
	_, err = c.Txn(ctx, put("b", 0))
	assert.NilError(t, err)
	rows, err := c.Scan(ctx, "t", "a", 10)
	assert.NilError(t, err)
	assert.Equal(t, len(rows), 1)
	assert.Equal(t, rows[0].Key, "b")
	assert.Equal(t, len(s.Writes("t")), 2)
}

// TestFaults guards against faults that do not have the effect they name.
func TestFaults(t *testing.T) {
	s, c := start(t)
	ctx := context.Background()
	s.SetFaults(Faults{Outage: true})
	_, err := c.Txn(ctx, put("a", 0))
	assert.Assert(t, errors.Is(err, platform.ErrUnavailable))
	s.SetFaults(Faults{LoseAnswers: 1})
	_, err = c.Txn(ctx, put("a", 0))
	assert.Assert(t, errors.Is(err, platform.ErrOutcomeUnknown))
	row, err := c.Get(ctx, platform.RowKey{Table: "t", Key: "a"})
	assert.NilError(t, err)
	assert.Equal(t, string(row.Value), "a")
	s.SetFaults(Faults{ThrottleAll: true})
	_, err = c.Txn(ctx, put("c", 0))
	assert.Assert(t, errors.Is(err, platform.ErrThrottled))
	s.SetFaults(Faults{Hang: true})
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	_, err = c.Get(short, platform.RowKey{Table: "t", Key: "a"})
	assert.Assert(t, errors.Is(err, platform.ErrUnavailable))
	counts := s.Counts()
	assert.Equal(t, counts.Refused, uint64(1))
	assert.Equal(t, counts.LostAnswers, uint64(1))
	assert.Equal(t, counts.Throttled, uint64(1))
	assert.Equal(t, counts.Hung, uint64(1))
}

// TestInstanceLag guards against an instance list that does not lag.
func TestInstanceLag(t *testing.T) {
	s, c := start(t)
	s.list.lag = time.Hour
	s.PutInstances(platform.Instance{ID: "w"})
	list, err := c.Instances(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, len(list), 0)
	s.ChangeInstances(InstanceChange{Leaving: nil, Now: true})
	list, err = c.Instances(context.Background())
	assert.NilError(t, err)
	assert.Equal(t, list[0].State, platform.StateLive)
}
