package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/infra"
)

// TestBatcher guards against a write that is lost, reported twice or reported
// with a wrong result, and against a conflict of one row that fails the other
// writes of its transaction. It uses random results of the store.
func TestBatcher(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		cfg := DefaultBatchConfig()
		cfg.MaxRows, cfg.MaxInFlight = 4, 2
		b := NewBatcher(cfg)
		rows := map[infra.RowKey]infra.Row{}
		writes := map[uint64]RowWrite{}
		applied := map[uint64]bool{}
		results := map[uint64]StoreStatus{}
		var now time.Duration
		var inFlight []Commit
		var version uint64
		handle := func(actions []BatchAction) {
			for _, a := range actions {
				switch a := a.(type) {
				case Commit:
					assert.Assert(t, len(a.Txn.Writes) <= cfg.MaxRows)
					inFlight = append(inFlight, a)
					assert.Assert(t, len(inFlight) <= cfg.MaxInFlight)
				case Complete:
					_, reported := results[a.Result.ID]
					assert.Assert(t, !reported, "result was reported twice")
					results[a.Result.ID] = a.Result.Status
					w := writes[a.Result.ID]
					switch a.Result.Status {
					case StoreApplied:
						assert.Assert(t, applied[a.Result.ID])
					case StoreConflict:
						assert.Assert(t, !applied[a.Result.ID])
						assert.Assert(t, rows[w.Key].Version != w.Version, "conflict although the row has the required version")
					case StoreNotApplied:
						assert.Assert(t, !applied[a.Result.ID])
					}
				}
			}
		}
		commit := func(c Commit) CommitDone {
			conflict := &infra.ConflictError{}
			for _, cond := range c.Txn.Conditions {
				if row := rows[cond.RowKey]; row.Version != cond.Version {
					row.RowKey = cond.RowKey
					conflict.Rows = append(conflict.Rows, row)
				}
			}
			if len(conflict.Rows) > 0 {
				return CommitDone{ID: c.ID, Err: conflict}
			}
			version++
			for _, w := range c.Txn.Writes {
				rows[w.RowKey] = infra.Row{RowKey: w.RowKey, Version: version, Value: w.Value}
				for id, rw := range writes {
					if string(rw.Value) == string(w.Value) {
						applied[id] = true
					}
				}
			}
			return CommitDone{ID: c.ID, Version: version}
		}
		completeTxn := func(t *rapid.T) {
			if len(inFlight) == 0 {
				t.Skip("no transaction is in flight")
			}
			c := inFlight[0]
			inFlight = inFlight[1:]
			e := CommitDone{ID: c.ID, Err: infra.ErrThrottled}
			switch rapid.IntRange(0, 4).Draw(t, "answer") {
			case 0:
			case 1:
				e.Err = infra.ErrUnavailable
			case 2:
				if commit(c).Err == nil {
					e.Err = infra.ErrOutcomeUnknown
				}
			default:
				e = commit(c)
			}
			handle(b.Step(now, e))
		}
		t.Repeat(map[string]func(*rapid.T){
			"submit": func(t *rapid.T) {
				id := uint64(len(writes) + 1)
				w := RowWrite{
					ID: id, Key: Key(fmt.Sprint(rapid.IntRange(0, 7).Draw(t, "key"))).RowKey(),
					Value: []byte(fmt.Sprint("value ", id)), Deadline: now + 50*time.Millisecond,
				}
				if rapid.Bool().Draw(t, "current") {
					w.Version = rows[w.Key].Version
				}
				writes[id] = w
				handle(b.Step(now, Submit{w}))
			},
			"answer": completeTxn,
			"tick": func(t *rapid.T) {
				now += time.Duration(rapid.IntRange(1, 10).Draw(t, "ms")) * time.Millisecond
				handle(b.Step(now, Tick{}))
			},
		})
		for range 100 {
			now += 200 * time.Millisecond
			handle(b.Step(now, Tick{}))
			for len(inFlight) > 0 {
				c := inFlight[0]
				inFlight = inFlight[1:]
				handle(b.Step(now, commit(c)))
			}
		}
		assert.Equal(t, len(results), len(writes), "some writes have no result")
	})
}

// TestBatcherGroupsWrites guards against one transaction per write: 64 writes
// within the 5 ms group commit delay must share one.
func TestBatcherGroupsWrites(t *testing.T) {
	b := NewBatcher(DefaultBatchConfig())
	var commits []Commit
	for i := range 64 {
		key := Key(fmt.Sprint(i)).RowKey()
		for _, a := range b.Step(time.Millisecond, Submit{RowWrite{ID: uint64(i), Key: key, Deadline: time.Second}}) {
			if c, ok := a.(Commit); ok {
				commits = append(commits, c)
			}
		}
	}
	assert.Equal(t, len(commits), 1)
	assert.Equal(t, len(commits[0].Txn.Writes), 64)
}

// TestSweeper guards against the deletion of a row before its expiry and against
// a deletion that is not conditional on the row's version.
func TestSweeper(t *testing.T) {
	cfg := DefaultSweepConfig()
	cfg.PageSize = 2
	s := NewSweeper(cfg)
	row := func(key string, expires int64) infra.Row {
		r := Record{State: StateDone, Expires: expires, Answer: &Answer{Object: "object-" + key}}
		b, err := r.Encode()
		assert.NilError(t, err)
		return infra.Row{RowKey: Key(key).RowKey(), Version: 9, Value: b}
	}
	wall := time.Unix(10_000, 0)
	expired := wall.Add(-cfg.ClockMargin).Unix()
	txn, objects, delay := s.HandlePage(wall, []infra.Row{row("a", expired), row("b", expired+1)})
	assert.DeepEqual(t, txn.Writes, []infra.Write{{RowKey: Key("a").RowKey(), Delete: true}})
	assert.DeepEqual(t, txn.Conditions, []infra.Condition{{RowKey: Key("a").RowKey(), Version: 9}})
	assert.DeepEqual(t, objects, []string{"object-a"})
	assert.Equal(t, delay, cfg.Interval)
	after, _ := s.NextScan()
	assert.Equal(t, after, "b")
	_, _, delay = s.HandlePage(wall, nil)
	assert.Equal(t, delay, cfg.PassInterval)
}
