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

// transfer brings a follower up to date with a reader.
func transfer(t *testing.T, from, to *Mirror) []infra.Change {
	t.Helper()
	var all []infra.Change
	for _, u := range from.newer(to.Tops()) {
		fresh, err := to.Merge(u)
		assert.NilError(t, err)
		all = append(all, fresh...)
	}
	return all
}

func live(m *Mirror) map[string]uint64 {
	out := make(map[string]uint64)
	for key, r := range m.tables["t"].rows {
		if !r.Deleted {
			out[key] = r.Version
		}
	}
	return out
}

// A reader that has started again does not know what was deleted before. Its
// followers kept such rows for good when they got its rows only.
func TestReaderRestartsAfterDeletion(t *testing.T) {
	reader, follower := New(), New()
	reader.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 1, "x"), put("b", 2, "y")}, Version: 2}, true)
	transfer(t, reader, follower)
	// b is deleted at version 3 while no reader runs.
	again := New()
	again.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 1, "x")}, Version: 4}, true)
	fresh := transfer(t, again, follower)
	assert.Equal(t, len(fresh), 1)
	assert.Assert(t, fresh[0].Deleted)
	assert.DeepEqual(t, live(follower), map[string]uint64{"a": 1})
}

// A snapshot that is older than what is known takes nothing back.
func TestStaleSnapshot(t *testing.T) {
	m := New()
	m.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 5, "new")}, Version: 5}, true)
	fresh := m.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 2, "old")}, Version: 3}, true)
	assert.Equal(t, len(fresh), 0)
	fresh = m.Apply("t", infra.Changes{Version: 4}, true)
	assert.Equal(t, len(fresh), 0)
	assert.DeepEqual(t, live(m), map[string]uint64{"a": 5})
}

// Large values go compressed and arrive unchanged.
func TestLargeValues(t *testing.T) {
	value := strings.Repeat("route ", 4000)
	reader, follower := New(), New()
	reader.Apply("t", infra.Changes{Rows: []infra.Change{put("a", 1, value)}, Version: 1}, true)
	updates := reader.newer(nil)
	assert.Assert(t, updates[0].Rows[0].Packed)
	assert.Assert(t, len(updates[0].Rows[0].Value) < len(value)/10)
	fresh := transfer(t, reader, follower)
	assert.Equal(t, string(fresh[0].Value), value)
	// A follower that becomes a reader passes the value on.
	second := New()
	assert.Equal(t, string(transfer(t, follower, second)[0].Value), value)
}

// Followers that change between two readers, which start again and read the
// store at different times, end with the rows of the store.
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
		read := []uint64{0, 0}
		follower := New()
		step := func(i int) {
			switch {
			case read[i] == 0:
				c := infra.Changes{Version: version}
				for key, v := range store {
					c.Rows = append(c.Rows, put(key, v, "v"))
				}
				readers[i].Apply("t", c, true)
			default:
				c := infra.Changes{Version: version}
				for _, h := range history {
					if h.version > read[i] {
						row := put(h.key, h.version, "v")
						row.Deleted = h.deleted
						c.Rows = append(c.Rows, row)
					}
				}
				readers[i].Apply("t", c, false)
			}
			read[i] = version
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
				step(i)
			case 4:
				if read[i] > 0 {
					transfer(t, readers[i], follower)
				}
			case 5:
				readers[i], read[i] = New(), 0
			}
		}
		version++
		step(0)
		transfer(t, readers[0], follower)
		if len(follower.tables) == 0 {
			continue
		}
		assert.DeepEqual(t, live(follower), store)
	}
}

// A follower that waits gets a change at once, and nothing when its time is over.
func TestSinceWaits(t *testing.T) {
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
		updates := m.Since(ctx, m.Tops())
		assert.Equal(t, time.Since(begin), time.Second)
		assert.Assert(t, updates[0].Rows[0].Deleted)
		assert.Equal(t, len(m.Since(ctx, m.Tops())), 0)
		assert.Equal(t, time.Since(begin), 3*time.Second)
	})
}
