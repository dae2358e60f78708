package mirror

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/infra"
)

// ver returns the version of a counter in an era.
func ver(era, c uint64) uint64 {
	v, err := infra.NewVersion(era, c)
	if err != nil {
		panic(err)
	}
	return v
}

// chg returns a change of a row to a value.
func chg(key string, era, c uint64, value string) infra.Change {
	return infra.Change{Row: infra.Row{RowKey: infra.RowKey{Table: "t", Key: key}, Version: ver(era, c), Value: []byte(value)}}
}

// live reports whether a replica has a row.
func live(m *Mirror, key string) bool {
	r, ok := m.tables["t"].rows[key]
	return ok && !r.Deleted
}

// TestDeletionBetweenSnapshotsOfTwoReaders guards against a row that was deleted between the snapshots of two readers after a restore and
// stays for ever.
func TestDeletionBetweenSnapshotsOfTwoReaders(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	a, b := NewRestorable(clock, newerConfig), NewRestorable(clock, newerConfig)
	both := infra.Changes{Version: ver(1, 200), Rows: []infra.Change{chg("x", 1, 90, "1"), chg("y", 1, 91, "1")}}
	a.Apply("t", both, true)
	b.Apply("t", both, true)
	// Restore from a copy at 100. Reader a reads first.
	a.Apply("t", infra.Changes{Version: ver(2, 105), Rows: []infra.Change{chg("x", 2, 90, "1"), chg("y", 2, 91, "1")}}, true)
	for _, u := range updates(a, b.Versions()) { // b, a reader too, follows a
		_, err := b.Merge(u)
		assert.NilError(t, err)
	}
	// x is removed at 108, then b reads the store itself.
	b.Apply("t", infra.Changes{Version: ver(2, 110), Rows: []infra.Change{chg("y", 2, 91, "1")}}, true)
	// a gets the deletion by its watch, b follows a, repeatedly.
	d := chg("x", 2, 108, "")
	d.Deleted = true
	a.Apply("t", infra.Changes{Version: ver(2, 110), Rows: []infra.Change{d}}, false)
	for range 100 {
		now += 100 * time.Millisecond
		for _, u := range updates(a, b.Versions()) {
			_, err := b.Merge(u)
			assert.NilError(t, err)
		}
		a.Settle()
		b.Settle()
	}
	assert.Assert(t, !live(a, "x"))
	assert.Assert(t, !live(b, "x"), "b still has the deleted row after %v", now)
}

// TestLostRowDoesNotReachNewInstance guards against rows of the lost history in an instance that has read only the restored store.
func TestLostRowDoesNotReachNewInstance(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	a, c := NewRestorable(clock, newerConfig), NewRestorable(clock, newerConfig)
	a.Apply("t", infra.Changes{Version: ver(1, 200), Rows: []infra.Change{chg("y", 1, 91, "1"), chg("z", 1, 150, "1")}}, true)
	// Restored; the new instance c reads first, then a.
	c.Apply("t", infra.Changes{Version: ver(2, 102), Rows: []infra.Change{chg("y", 2, 91, "1")}}, true)
	a.Apply("t", infra.Changes{Version: ver(2, 106), Rows: []infra.Change{chg("y", 2, 91, "1"), chg("w", 2, 106, "1")}}, true)
	for range 100 {
		for _, u := range updates(a, c.Versions()) {
			_, err := c.Merge(u)
			assert.NilError(t, err)
		}
		now += 100 * time.Millisecond
		a.Settle()
		c.Settle()
	}
	assert.Assert(t, !live(a, "z"))
	assert.Assert(t, !live(c, "z"), "c has the row of the lost history after %v", now)
}

// TestFollowerIsWokenByRestore guards against followers that learn of a restore only at the end of their poll.
func TestFollowerIsWokenByRestore(t *testing.T) {
	a := NewRestorable(func() time.Duration { return 0 }, newerConfig)
	a.Apply("t", infra.Changes{Version: ver(1, 200), Rows: []infra.Change{chg("y", 1, 91, "2")}}, true)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	known := a.Versions()
	done := make(chan []Update, 1)
	go func() { done <- a.WaitForUpdates(ctx, known) }()
	time.Sleep(50 * time.Millisecond)
	a.Apply("t", infra.Changes{Version: ver(2, 105), Rows: []infra.Change{chg("y", 2, 80, "1")}}, true)
	assert.Assert(t, len(<-done) > 0, "poll ended after its timeout without the restore")
}

// TestEvacuationOverTombstone guards against an evacuation that is withheld because an earlier one had ended.
func TestEvacuationOverTombstone(t *testing.T) {
	now := time.Duration(0)
	a := NewRestorable(func() time.Duration { return now }, func(_ string, _, row infra.Row) bool { return row.Key == "evac" })
	a.Apply("t", infra.Changes{Version: ver(1, 10), Rows: []infra.Change{chg("evac", 1, 10, "{}")}}, true)
	d := chg("evac", 1, 20, "")
	d.Deleted = true
	a.Apply("t", infra.Changes{Version: ver(1, 20), Rows: []infra.Change{d}}, false)
	// Restored from 50 or so (the row absent in the copy); set at 60 right after the return; first read at 61.
	a.Apply("t", infra.Changes{Version: ver(2, 61), Rows: []infra.Change{chg("evac", 2, 60, "{}")}}, true)
	for !live(a, "evac") && now < 10*time.Second {
		now += 50 * time.Millisecond
		a.Settle()
	}
	assert.Assert(t, now < 2*time.Second, "in force only %v after the first read", now)
}

// TestLateFollowerAfterRestore guards against a replica that meets the restore late, from a sender that withholds nothing any
// more, and still withholds rows.
func TestLateFollowerAfterRestore(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	a, f := NewRestorable(clock, newerConfig), NewRestorable(clock, newerConfig)
	for _, m := range []*Mirror{a, f} {
		m.Apply("t", infra.Changes{Version: ver(1, 200), Rows: []infra.Change{chg("x", 1, 90, "1"), chg("y", 1, 91, "1")}}, true)
	}
	a.Apply("t", infra.Changes{Version: ver(2, 105), Rows: []infra.Change{chg("x", 2, 90, "1"), chg("y", 2, 91, "1")}}, true)
	now = 2600 * time.Millisecond
	a.Settle()
	d := chg("x", 2, 120, "")
	d.Deleted = true
	a.Apply("t", infra.Changes{Version: ver(2, 120), Rows: []infra.Change{d}}, false)
	start := now
	for live(f, "x") && now < 10*time.Second {
		for _, u := range updates(a, f.Versions()) {
			_, err := f.Merge(u)
			assert.NilError(t, err)
		}
		f.Settle()
		now += 50 * time.Millisecond
	}
	assert.Assert(t, now-start < 2*time.Second, "deletion in force only after %v", now-start)
}

// TestWithheldRowRemovedBetweenSnapshots guards against a withheld row of the copy that is removed again before a second reader's
// snapshot, and comes in force when the withholding ends.
func TestWithheldRowRemovedBetweenSnapshots(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	a, b := NewRestorable(clock, newerConfig), NewRestorable(clock, newerConfig)
	lifted := chg("evac", 1, 190, "")
	lifted.Deleted = true
	for _, m := range []*Mirror{a, b} {
		m.Apply("t", infra.Changes{Version: ver(1, 95), Rows: []infra.Change{chg("evac", 1, 90, "{}")}}, true)
		m.Apply("t", infra.Changes{Version: ver(1, 190), Rows: []infra.Change{lifted}}, false)
	}
	a.Apply("t", infra.Changes{Version: ver(2, 100), Rows: []infra.Change{chg("evac", 2, 90, "{}")}}, true)
	for _, u := range updates(a, b.Versions()) {
		_, err := b.Merge(u)
		assert.NilError(t, err)
	}
	b.Apply("t", infra.Changes{Version: ver(2, 110)}, true) // lifted again at 108
	d := chg("evac", 2, 108, "")
	d.Deleted = true
	a.Apply("t", infra.Changes{Version: ver(2, 110), Rows: []infra.Change{d}}, false)
	for range 100 {
		now += 100 * time.Millisecond
		for _, u := range updates(a, b.Versions()) {
			_, err := b.Merge(u)
			assert.NilError(t, err)
		}
		a.Settle()
		b.Settle()
	}
	assert.Assert(t, !live(a, "evac"))
	assert.Assert(t, !live(b, "evac"), "b has the removed row in force after %v", now)
}

// TestSecondSnapshotWhileWithholding guards against a deletion that only a second snapshot after a restore shows.
func TestSecondSnapshotWhileWithholding(t *testing.T) {
	now := time.Duration(0)
	a := NewRestorable(func() time.Duration { return now }, newerConfig)
	a.Apply("t", infra.Changes{Version: ver(1, 200), Rows: []infra.Change{chg("x", 1, 90, "1")}}, true)
	a.Apply("t", infra.Changes{Version: ver(2, 105), Rows: []infra.Change{chg("x", 2, 90, "1")}}, true)
	a.Apply("t", infra.Changes{Version: ver(2, 110)}, true)
	now = 10 * time.Second
	a.Settle()
	assert.Assert(t, !live(a, "x"))
}

// TestStartWhileRowsAreWithheld guards against an instance that starts between the return of the store and the rewriting of its
// rows, and takes the older configuration although others have the newer one.
func TestStartWhileRowsAreWithheld(t *testing.T) {
	now := time.Duration(0)
	clock := func() time.Duration { return now }
	a, c := NewRestorable(clock, newerConfig), NewRestorable(clock, newerConfig)
	a.Apply("t", infra.Changes{Version: ver(1, 200), Rows: []infra.Change{chg("config", 1, 150, "7")}}, true)
	a.Apply("t", infra.Changes{Version: ver(2, 105), Rows: []infra.Change{chg("config", 2, 90, "5")}}, true)
	c.Apply("t", infra.Changes{Version: ver(2, 105), Rows: []infra.Change{chg("config", 2, 90, "5")}}, true)
	for range 10 {
		now += 100 * time.Millisecond
		for _, u := range updates(a, c.Versions()) {
			_, err := c.Merge(u)
			assert.NilError(t, err)
		}
	}
	assert.Equal(t, string(c.tables["t"].rows["config"].Value), string(a.tables["t"].rows["config"].Value))
}

// TestTwoRestoresInSettleTime guards against an older state after a second restore within the settle time of the first one.
func TestTwoRestoresInSettleTime(t *testing.T) {
	now := time.Duration(0)
	a := NewRestorable(func() time.Duration { return now }, newerConfig)
	a.Apply("t", infra.Changes{Version: ver(1, 200), Rows: []infra.Change{chg("x", 1, 150, "7"), chg("config", 1, 150, "7")}}, true)
	a.Apply("t", infra.Changes{Version: ver(2, 105), Rows: []infra.Change{chg("x", 2, 90, "5"), chg("config", 2, 90, "5")}}, true)
	a.Apply("t", infra.Changes{Version: ver(2, 108), Rows: []infra.Change{chg("x", 2, 108, "8"), chg("config", 2, 107, "8")}}, false)
	now = time.Second
	a.Apply("t", infra.Changes{Version: ver(3, 103), Rows: []infra.Change{chg("x", 3, 90, "5"), chg("config", 3, 90, "5")}}, true)
	assert.Equal(t, string(a.tables["t"].rows["config"].Value), "8")
	assert.Equal(t, string(a.tables["t"].rows["x"].Value), "8")
	a.Apply("t", infra.Changes{Version: ver(3, 110), Rows: []infra.Change{chg("config", 3, 110, "9")}}, false)
	assert.Equal(t, string(a.tables["t"].rows["config"].Value), "9")
	now = 3600 * time.Millisecond
	a.Settle()
	assert.Equal(t, string(a.tables["t"].rows["x"].Value), "5")
}
