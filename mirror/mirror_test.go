package mirror

import (
	"bytes"
	"compress/flate"
	"context"
	"fmt"
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

// updates returns the updates that a follower with the given versions gets.
func updates(from *Mirror, known []TableVersion) []Update {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	return from.WaitForUpdates(ctx, known)
}

// transfer merges the updates of one mirror into another and returns the new changes.
func transfer(t *testing.T, from, to *Mirror) []infra.Change {
	t.Helper()
	var all []infra.Change
	for _, u := range updates(from, to.Versions()) {
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
	first := updates(reader, nil)
	assert.Equal(t, len(first[0].Rows), 0)
	assert.Assert(t, len(first[0].Packed) < len(value)/10)
	changes := transfer(t, reader, follower)
	assert.Equal(t, string(changes[0].Value), value)
	// A follower that becomes a reader transfers the value too.
	second := New()
	assert.Equal(t, string(transfer(t, follower, second)[0].Value), value)
}

// TestManyRowsAreCompressedTogether bounds the size of an update with the entries of many
// backend servers, which resemble each other. A relay sends it to each follower.
func TestManyRowsAreCompressedTogether(t *testing.T) {
	const count, entry = 1000, `{"Service":"llm","Address":"10.128.0.%d:8080","Zone":"a","State":"ready","Models":[{"Name":"daka510000"}]}`
	reader, follower := New(), New()
	var rows []infra.Change
	size := 0
	for i := range uint64(count) {
		value := fmt.Sprintf(entry, i)
		size += len(value)
		rows = append(rows, put(fmt.Sprint("i-", i), i+1, value))
	}
	reader.Apply("t", infra.Changes{Rows: rows, Version: count}, true)
	u := updates(reader, nil)
	assert.Assert(t, len(u[0].Packed) < size/5, "%d bytes of %d", len(u[0].Packed), size)
	assert.Equal(t, len(transfer(t, reader, follower)), count)
	assert.DeepEqual(t, liveVersions(follower), liveVersions(reader))
}

// TestMalformedUpdates guards against updates that cannot be unpacked, or that are
// unpacked to far more than they should be: they are rejected and change nothing.
func TestMalformedUpdates(t *testing.T) {
	m := New()
	m.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 1, "x")}, Version: 1}, true)
	var bomb bytes.Buffer
	w, err := flate.NewWriter(&bomb, flate.BestCompression)
	assert.NilError(t, err)
	zeros := make([]byte, 1<<20)
	for range maxUnpackedSize>>20 + 1 {
		_, err := w.Write(zeros)
		assert.NilError(t, err)
	}
	assert.NilError(t, w.Close())
	for _, packed := range [][]byte{{1, 2, 3}, {}, packRows(nil)[:1], bomb.Bytes()} {
		_, err := m.Merge(Update{Table: "t", Snapshot: true, NewestVersion: 9, Packed: packed})
		assert.Assert(t, err != nil)
	}
	assert.DeepEqual(t, liveVersions(m), map[string]uint64{"a": 1})
}

// TestFollowerOfSnapshotIsCurrent guards against a follower that gets a whole table again
// and again: the version of a snapshot can be above those of all rows.
func TestFollowerOfSnapshotIsCurrent(t *testing.T) {
	reader, follower := New(), New()
	reader.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 2, "x")}, Version: 150}, true)
	assert.Equal(t, len(transfer(t, reader, follower)), 1)
	assert.Assert(t, Covers(follower.Versions(), reader.Versions()))
	assert.Equal(t, len(updates(reader, follower.Versions())), 0)
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

// Guards against copies of whole tables that spread through the fleet: each follower of an instance
// that had read a table as a whole got it as a whole, although it lacked a few rows.
func TestSnapshotIsNotPassedOn(t *testing.T) {
	reader, follower, between := New(), New(), New()
	reader.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 1, "x"), put("b", 2, "y"), put("c", 3, "z")}, Version: 3}, true)
	transfer(t, reader, follower)
	transfer(t, reader, between)
	reader.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 4, "w")}, Version: 4}, false)
	// Another reader has passed on version 6, in which d existed.
	between.Apply("t", infra.Changes{Rows: []infra.Change{put("d", 6, "v")}, Version: 6}, false)
	reader.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 4, "w"), put("c", 8, "new")}, Version: 9}, true)

	updates := reader.updatesAfter(follower.Versions())
	assert.Equal(t, len(updates), 1)
	assert.Assert(t, !updates[0].Snapshot)
	assert.Equal(t, len(updates[0].Rows), 3, "a and c have changed, b is gone")
	transfer(t, reader, follower)
	assert.DeepEqual(t, liveVersions(follower), map[string]uint64{"a": 4, "c": 8})

	assert.Assert(t, reader.updatesAfter(between.Versions())[0].Snapshot, "the reader may lack deletions after version 4")
	transfer(t, reader, between)
	assert.DeepEqual(t, liveVersions(between), map[string]uint64{"a": 4, "c": 8})
}
