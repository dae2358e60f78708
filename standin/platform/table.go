package platform

import (
	"sort"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/infra"
)

// TableWrite is the record of one applied row write.
type TableWrite struct {
	Time    time.Time `json:"at"`
	Version uint64    `json:"version"`
	Table   string    `json:"table"`
	Key     string    `json:"key"`
	Value   []byte    `json:"value,omitempty"`
	Delete  bool      `json:"delete,omitempty"`
}

// undoEntry is the state of a row before one write to it.
type undoEntry struct {
	at      time.Time
	version uint64
	before  infra.Row
}

// table is a transactional in-memory store that holds all named tables. It keeps the
// keys of each table sorted, for scans.
type table struct {
	mu       sync.Mutex
	version  uint64
	rows     map[infra.RowKey]infra.Row
	keys     map[string][]string
	logLimit int
	log      []TableWrite
	dropped  uint64
	// era is 1 at first and rises with each restore. undo has the writes that a restore
	// can take back, oldest first.
	era  uint64
	undo []undoEntry
}

func newTable(logLimit int) *table {
	return &table{
		rows:     make(map[infra.RowKey]infra.Row),
		keys:     make(map[string][]string),
		logLimit: logLimit,
		era:      1,
	}
}

// restore returns the table to its state at a time and starts the next era. Versions go
// back as well. Writes that are no longer in undo stay.
func (t *table) restore(to time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for n := len(t.undo) - 1; n >= 0 && t.undo[n].at.After(to); n-- {
		u := t.undo[n]
		t.undo = t.undo[:n]
		t.set(u.before)
		t.version = u.version - 1
	}
	t.era++
}

func (t *table) currentEra() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.era
}

// apply applies a transaction and returns its version and the era. If a condition fails,
// it returns the conflicting rows and changes nothing.
func (t *table) apply(txn infra.Txn) (version uint64, conflicts []infra.Row, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Conditions {
		row, ok := t.rows[c.RowKey]
		if !ok {
			row = infra.Row{RowKey: c.RowKey}
		}
		if row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return 0, conflicts, t.era
	}
	t.version++
	for _, w := range txn.Writes {
		t.write(w)
	}
	return t.version, nil, t.era
}

// set stores a row, or removes it if its version is 0.
func (t *table) set(row infra.Row) {
	keys := t.keys[row.Table]
	i := sort.SearchStrings(keys, row.Key)
	present := i < len(keys) && keys[i] == row.Key
	switch {
	case row.Version == 0 && present:
		t.keys[row.Table] = append(keys[:i], keys[i+1:]...)
		delete(t.rows, row.RowKey)
	case row.Version != 0 && !present:
		keys = append(keys, "")
		copy(keys[i+1:], keys[i:])
		keys[i] = row.Key
		t.keys[row.Table] = keys
	}
	if row.Version != 0 {
		t.rows[row.RowKey] = row
	}
}

func (t *table) write(w infra.Write) {
	before := t.rows[w.RowKey]
	before.RowKey = w.RowKey
	row := infra.Row{RowKey: w.RowKey, Version: t.version, Value: w.Value}
	if w.Delete {
		row = infra.Row{RowKey: w.RowKey}
	}
	t.set(row)
	if len(t.undo) >= t.logLimit && len(t.undo) > 0 {
		drop := min(max(1, t.logLimit/10), len(t.undo))
		t.undo = append(t.undo[:0], t.undo[drop:]...)
	}
	t.undo = append(t.undo, undoEntry{at: time.Now(), version: t.version, before: before})
	if len(t.log) >= t.logLimit {
		drop := max(1, t.logLimit/10)
		drop = min(drop, len(t.log))
		t.log = append(t.log[:0], t.log[drop:]...)
		t.dropped += uint64(drop)
	}
	t.log = append(t.log, TableWrite{
		Time: time.Now(), Version: t.version, Table: w.Table, Key: w.Key, Value: w.Value, Delete: w.Delete,
	})
}

func (t *table) get(key infra.RowKey) (row infra.Row, ok bool, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok = t.rows[key]
	return row, ok, t.era
}

// scan returns up to limit rows of a table, in key order, with keys greater than
// after. An empty after starts at the first key. A limit of 0 or less means no limit.
func (t *table) scan(name, after string, limit int) (rows []infra.Row, era uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := t.keys[name]
	i := sort.SearchStrings(keys, after)
	if i < len(keys) && keys[i] == after && after != "" {
		i++
	}
	rows = []infra.Row{}
	for ; i < len(keys) && (limit <= 0 || len(rows) < limit); i++ {
		rows = append(rows, t.rows[infra.RowKey{Table: name, Key: keys[i]}])
	}
	return rows, t.era
}

func (t *table) loggedWrites(name string) []TableWrite {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []TableWrite{}
	for _, w := range t.log {
		if name == "" || w.Table == name {
			out = append(out, w)
		}
	}
	return out
}
