package mirror

import (
	"context"
	"math/rand"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/infra"
)

func put(key string, version uint64, value string) infra.Change {
	return infra.Change{Row: infra.Row{RowKey: infra.RowKey{Table: "t", Key: key}, Version: version, Value: []byte(value)}}
}

func deletion(key string, version uint64) infra.Change {
	c := put(key, version, "")
	c.Deleted = true
	return c
}

// transfer merges the updates of one mirror into another and returns the new changes.
func transfer(t *testing.T, from, to *Mirror) []infra.Change {
	t.Helper()
	var all []infra.Change
	for _, u := range from.updatesAfter(to.Versions()) {
		newChanges, err := to.Merge(u)
		assert.NilError(t, err)
		all = append(all, newChanges...)
	}
	return all
}

// liveVersions returns the versions of the rows that are not deleted.
func liveVersions(m *Mirror) map[string]uint64 {
	out := make(map[string]uint64)
	for key, r := range m.tables["t"].rows {
		if !r.Deleted {
			out[key] = r.Version
		}
	}
	return out
}

// TestReaderRestartsAfterDeletion guards against rows that followers never delete: a
// restarted reader does not know the rows that were deleted before its first snapshot, so
// its rows alone do not show the deletion.
func TestReaderRestartsAfterDeletion(t *testing.T) {
	reader, follower := New(), New()
	reader.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 1, "x"), put("b", 2, "y")}, Version: 2}, true)
	transfer(t, reader, follower)
	// b is deleted at version 3 while no reader runs.
	restarted := New()
	restarted.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 1, "x")}, Version: 4}, true)
	changes := transfer(t, restarted, follower)
	assert.Equal(t, len(changes), 1)
	assert.Assert(t, changes[0].Deleted)
	assert.DeepEqual(t, liveVersions(follower), map[string]uint64{"a": 1})
}

// TestStaleSnapshot guards against a snapshot that overwrites or deletes newer rows.
func TestStaleSnapshot(t *testing.T) {
	m := New()
	m.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 5, "new")}, Version: 5}, true)
	changes := m.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 2, "old")}, Version: 3}, true)
	assert.Equal(t, len(changes), 0)
	changes = m.Apply("t", infra.Changes{Version: 4}, true)
	assert.Equal(t, len(changes), 0)
	assert.DeepEqual(t, liveVersions(m), map[string]uint64{"a": 5})
}

// TestLargeValues checks that large values are compressed for the transfer and arrive
// unchanged.
func TestLargeValues(t *testing.T) {
	value := strings.Repeat("route ", 4000)
	reader, follower := New(), New()
	reader.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 1, value)}, Version: 1}, true)
	updates := reader.updatesAfter(nil)
	assert.Assert(t, updates[0].Rows[0].Compressed)
	assert.Assert(t, len(updates[0].Rows[0].Value) < len(value)/10)
	changes := transfer(t, reader, follower)
	assert.Equal(t, string(changes[0].Value), value)
	// A follower that becomes a reader transfers the value too.
	second := New()
	assert.Equal(t, string(transfer(t, follower, second)[0].Value), value)
}

// TestFollowersConverge guards against a follower that ends with rows other than the
// store's. It follows two readers in turn, which restart and read the store at different
// times.
func TestFollowersConverge(t *testing.T) {
	for seed := range int64(300) {
		rng := rand.New(rand.NewSource(seed))
		store := map[string]uint64{}
		version := uint64(0)
		type change struct {
			key     string
			version uint64
			deleted bool
		}
		var history []change
		readers := []*Mirror{New(), New()}
		readVersions := []uint64{0, 0}
		follower := New()
		readStore := func(i int) {
			switch {
			case readVersions[i] == 0:
				c := infra.Changes{Version: version}
				for key, v := range store {
					c.Rows = append(c.Rows, put(key, v, "v"))
				}
				readers[i].Apply("t", c, true)
			default:
				c := infra.Changes{Version: version}
				for _, h := range history {
					if h.version > readVersions[i] {
						row := put(h.key, h.version, "v")
						row.Deleted = h.deleted
						c.Rows = append(c.Rows, row)
					}
				}
				readers[i].Apply("t", c, false)
			}
			readVersions[i] = version
		}
		for range 60 {
			i := rng.Intn(2)
			switch rng.Intn(6) {
			case 0, 1:
				version++
				key := string(rune('a' + rng.Intn(6)))
				if _, ok := store[key]; ok && rng.Intn(2) == 0 {
					delete(store, key)
					history = append(history, change{key, version, true})
				} else {
					store[key] = version
					history = append(history, change{key, version, false})
				}
			case 2, 3:
				readStore(i)
			case 4:
				if readVersions[i] > 0 {
					transfer(t, readers[i], follower)
				}
			case 5:
				readers[i], readVersions[i] = New(), 0
			}
		}
		version++
		readStore(0)
		transfer(t, readers[0], follower)
		if len(follower.tables) == 0 {
			continue
		}
		assert.DeepEqual(t, liveVersions(follower), store)
	}
}

// TestWaitForUpdates checks that a waiting follower gets a change at once, and nothing
// when its context ends.
func TestWaitForUpdates(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := New()
		m.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 1, "x")}, Version: 1}, true)
		go func() {
			time.Sleep(time.Second)
			m.Apply("t", infra.Changes{Rows: []infra.Change{deletion("a", 2)}, Version: 2}, false)
		}()
		begin := time.Now()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		updates := m.WaitForUpdates(ctx, m.Versions())
		assert.Equal(t, time.Since(begin), time.Second)
		assert.Assert(t, updates[0].Rows[0].Deleted)
		assert.Equal(t, len(m.WaitForUpdates(ctx, m.Versions())), 0)
		assert.Equal(t, time.Since(begin), 3*time.Second)
	})
}
