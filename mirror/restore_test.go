package mirror

import (
	"fmt"
	"maps"
	"math/rand"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/infra"
)

// restorableStore is a store of one table that can be restored from an older copy. The value
// of each row is a number that only rises.
type restorableStore struct {
	era, counter uint64
	rows         map[string]storedRow
	// changedAt has the counter of each key's last change, deletions included.
	changedAt map[string]uint64
}

type storedRow struct {
	counter uint64
	value   int
}

func newRestorableStore() *restorableStore {
	return &restorableStore{era: 1, rows: make(map[string]storedRow), changedAt: make(map[string]uint64)}
}

func (s *restorableStore) version(counter uint64) uint64 {
	v, err := infra.NewVersion(s.era, counter)
	if err != nil {
		panic(err)
	}
	return v
}

func (s *restorableStore) put(key string, value int) {
	s.counter++
	s.rows[key], s.changedAt[key] = storedRow{s.counter, value}, s.counter
}

func (s *restorableStore) remove(key string) {
	s.counter++
	delete(s.rows, key)
	s.changedAt[key] = s.counter
}

func (s *restorableStore) copyState() restorableStore {
	return restorableStore{counter: s.counter, rows: maps.Clone(s.rows), changedAt: maps.Clone(s.changedAt)}
}

func (s *restorableStore) restore(c restorableStore) {
	s.era++
	s.counter, s.rows, s.changedAt = c.counter, maps.Clone(c.rows), maps.Clone(c.changedAt)
}

func (s *restorableStore) change(key string) infra.Change {
	c := infra.Change{Row: infra.Row{RowKey: infra.RowKey{Table: "t", Key: key}, Version: s.version(s.changedAt[key])}}
	if r, ok := s.rows[key]; ok {
		c.Value = []byte(strconv.Itoa(r.value))
	} else {
		c.Deleted = true
	}
	return c
}

// read is a reader's read of the store: changes after a version, or a snapshot if the store
// has another era or the history is lost.
func (s *restorableStore) read(known uint64) (infra.Changes, bool) {
	out := infra.Changes{Version: s.version(s.counter)}
	snapshot := known == 0 || infra.VersionEra(known) != s.era
	for key, at := range s.changedAt {
		_, exists := s.rows[key]
		if (snapshot && exists) || (!snapshot && at > infra.VersionCounter(known)) {
			out.Rows = append(out.Rows, s.change(key))
		}
	}
	slices.SortFunc(out.Rows, func(a, b infra.Change) int { return int(a.Version) - int(b.Version) })
	return out, snapshot
}

// newerConfig says that the row "config" is newer if its value is higher.
func newerConfig(_ string, known, row infra.Row) bool {
	before, err := strconv.Atoi(string(known.Value))
	after, afterErr := strconv.Atoi(string(row.Value))
	return row.Key == "config" && err == nil && afterErr == nil && after > before
}

// TestRestoredStore plays restores of the store at random moments, from copies of random ages,
// with two readers and two followers, one of which starts late. It guards against rows that
// come back older, against changes that never arrive, and against replicas that stay
// different.
func TestRestoredStore(t *testing.T) {
	for name, p := range map[string]restorePlay{
		"as told":                   {rewriteTime: 2 * time.Second},
		"rewritten soon":            {rewriteTime: 400 * time.Millisecond},
		"readers follow each other": {rewriteTime: 2 * time.Second, readersFollow: true},
		"history lost again":        {rewriteTime: 2 * time.Second, lostHistory: 8},
		"all":                       {rewriteTime: 400 * time.Millisecond, readersFollow: true, lostHistory: 8},
	} {
		for seed := range int64(400) {
			t.Run(fmt.Sprint(name, " ", seed), func(t *testing.T) { p.run(t, rand.New(rand.NewSource(seed))) })
		}
	}
}

// restorePlay is a kind of play. Rows are written again within rewriteTime after a restore. If
// lostHistory is not 0, one in that many reads is a snapshot.
type restorePlay struct {
	rewriteTime   time.Duration
	readersFollow bool
	lostHistory   int
}

func (p restorePlay) run(t *testing.T, rng *rand.Rand) {
	const step, length = 100 * time.Millisecond, 20 * time.Second
	now := time.Duration(0)
	store := newRestorableStore()
	clock := func() time.Duration { return now }
	mirrors := make([]*Mirror, 4) // two readers and two followers
	versions := make([]uint64, 2)
	for i := range mirrors {
		mirrors[i] = NewRestorable(clock, newerConfig)
	}
	lateStart := time.Duration(rng.Int63n(int64(length / 2)))
	truth := map[string]int{"config": 1}
	store.put("config", 1)
	copyAge := time.Duration(1+rng.Intn(80)) * step
	restoreAt := 5*time.Second + time.Duration(rng.Intn(60))*step
	var older restorableStore
	rewrites := make(map[string]time.Duration)
	seen := make([]map[string]int, len(mirrors))
	for i := range seen {
		seen[i] = make(map[string]int)
	}
	restores := 0
	for ; now < length; now += step {
		if now == restoreAt-copyAge {
			older = store.copyState()
		}
		if now == restoreAt && older.rows != nil {
			store.restore(older)
			restores++
			for _, key := range slices.Sorted(maps.Keys(truth)) {
				rewrites[key] = now + time.Duration(rng.Int63n(int64(p.rewriteTime)))
			}
			for _, key := range slices.Sorted(maps.Keys(store.rows)) {
				if _, ok := truth[key]; !ok {
					rewrites[key] = now + time.Duration(rng.Int63n(int64(p.rewriteTime)))
				}
			}
		}
		for _, key := range slices.Sorted(maps.Keys(rewrites)) {
			if now < rewrites[key] {
				continue
			}
			delete(rewrites, key)
			if v, ok := truth[key]; ok {
				store.put(key, v)
			} else {
				store.remove(key)
			}
		}
		if _, pending := rewrites["config"]; rng.Intn(8) == 0 && now < length-5*time.Second && !pending {
			truth["config"]++
			store.put("config", truth["config"])
		}
		if key := fmt.Sprint("row", rng.Intn(6)); rng.Intn(4) == 0 && now < length-5*time.Second {
			if _, pending := rewrites[key]; !pending {
				if _, ok := truth[key]; ok && rng.Intn(3) == 0 {
					delete(truth, key)
					store.remove(key)
				} else {
					truth[key] += 1 + int(now/step)
					store.put(key, truth[key])
				}
			}
		}
		for i := range versions {
			if p.lostHistory > 0 && rng.Intn(p.lostHistory) == 0 {
				versions[i] = 0
			}
			if p.readersFollow && rng.Intn(2) == 0 {
				for _, u := range updates(mirrors[1-i], mirrors[i].Versions()) {
					_, err := mirrors[i].Merge(u)
					assert.NilError(t, err)
				}
			}
			if rng.Intn(3) > 0 {
				c, snapshot := store.read(versions[i])
				mirrors[i].Apply("t", c, snapshot)
				versions[i] = c.Version
			}
		}
		for i := 2; i < len(mirrors); i++ {
			if i == 3 && now < lateStart {
				continue
			}
			for _, u := range updates(mirrors[rng.Intn(2)], mirrors[i].Versions()) {
				_, err := mirrors[i].Merge(u)
				assert.NilError(t, err)
			}
		}
		for i, m := range mirrors {
			m.Settle()
			r, ok := m.tables["t"].rowOf("config")
			if !ok {
				continue
			}
			v, err := strconv.Atoi(string(r.Value))
			assert.NilError(t, err)
			assert.Assert(t, !r.Deleted && v >= seen[i]["config"], "replica %d: config %d after %d at %v", i, v, seen[i]["config"], now)
			seen[i]["config"] = v
		}
	}
	assert.Equal(t, restores == 1, older.rows != nil)
	for i, m := range mirrors {
		got := make(map[string]int)
		for key, r := range m.tables["t"].rows {
			if !r.Deleted {
				v, err := strconv.Atoi(string(r.Value))
				assert.NilError(t, err)
				got[key] = v
			}
		}
		assert.DeepEqual(t, got, truth)
		assert.Assert(t, m.tables["t"].restored == nil, "replica %d still withholds rows", i)
	}
}

func (t *table) rowOf(key string) (Row, bool) {
	if t == nil {
		return Row{}, false
	}
	r, ok := t.rows[key]
	return r, ok
}

// TestOldAnswerAfterRestore guards against an answer from before a restore that arrives after
// one from after it.
func TestOldAnswerAfterRestore(t *testing.T) {
	store := newRestorableStore()
	store.put("config", 1)
	older := store.copyState()
	store.put("config", 2)
	late, _ := store.read(0)
	m := NewRestorable(func() time.Duration { return 0 }, newerConfig)
	store.restore(older)
	store.put("config", 3)
	c, snapshot := store.read(0)
	m.Apply("t", c, snapshot)
	assert.Equal(t, len(m.Apply("t", late, true)), 0)
	assert.Equal(t, string(m.tables["t"].rows["config"].Value), "3")
}
