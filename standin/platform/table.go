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
}

func newTable(logLimit int) *table {
	return &table{
		rows:     make(map[infra.RowKey]infra.Row),
		keys:     make(map[string][]string),
		logLimit: logLimit,
	}
}

// apply applies a transaction and returns its version. If a condition fails, it
// returns the conflicting rows and changes nothing.
func (t *table) apply(txn infra.Txn) (uint64, []infra.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	var conflicts []infra.Row
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
		return 0, conflicts
	}
	t.version++
	for _, w := range txn.Writes {
		t.write(w)
	}
	return t.version, nil
}

func (t *table) write(w infra.Write) {
	keys := t.keys[w.Table]
	i := sort.SearchStrings(keys, w.Key)
	present := i < len(keys) && keys[i] == w.Key
	switch {
	case w.Delete && present:
		t.keys[w.Table] = append(keys[:i], keys[i+1:]...)
		delete(t.rows, w.RowKey)
	case !w.Delete && !present:
		keys = append(keys, "")
		copy(keys[i+1:], keys[i:])
		keys[i] = w.Key
		t.keys[w.Table] = keys
	}
	if !w.Delete {
		t.rows[w.RowKey] = infra.Row{RowKey: w.RowKey, Version: t.version, Value: w.Value}
	}
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

func (t *table) get(key infra.RowKey) (infra.Row, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	row, ok := t.rows[key]
	return row, ok
}

// scan returns up to limit rows of a table, in key order, with keys greater than
// after. An empty after starts at the first key. A limit of 0 or less means no limit.
func (t *table) scan(name, after string, limit int) []infra.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	keys := t.keys[name]
	i := sort.SearchStrings(keys, after)
	if i < len(keys) && keys[i] == after && after != "" {
		i++
	}
	rows := []infra.Row{}
	for ; i < len(keys) && (limit <= 0 || len(rows) < limit); i++ {
		rows = append(rows, t.rows[infra.RowKey{Table: name, Key: keys[i]}])
	}
	return rows
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
