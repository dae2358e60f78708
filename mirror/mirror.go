// Package mirror keeps a copy of some tables of the store and passes it on
// between entry instances, so that a few of them read the store for all. Each row
// keeps its newest version, deleted rows included, so that what changed after any
// version can be told without a history.
package mirror

import (
	"bytes"
	"cmp"
	"compress/flate"
	"context"
	"io"
	"slices"
	"sync"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/infra"
)

// packFrom is the size from which values are compressed between entry instances.
const packFrom = 4 << 10

// maxValue bounds an unpacked value.
const maxValue = 8 << 20

// Row is a row as it goes between entry instances.
type Row struct {
	Table   string `msgpack:"t"`
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"v"`
	Value   []byte `msgpack:"b"`
	Packed  bool   `msgpack:"p"`
	Deleted bool   `msgpack:"d"`
}

// Top is the newest version of a table.
type Top struct {
	Table   string `msgpack:"t"`
	Version uint64 `msgpack:"v"`
}

// Mirror is a copy of tables. Its methods may be called from any goroutine.
type Mirror struct {
	mu      sync.Mutex
	tables  map[string]*table
	changed chan struct{}
}

// table is the copy of one table. Deletions are known as far back as floor: what
// was deleted before the last reading of the whole table left no row.
type table struct {
	rows       map[string]Row
	top, floor uint64
}

// New returns an empty copy.
func New() *Mirror {
	return &Mirror{tables: make(map[string]*table), changed: make(chan struct{})}
}

func (m *Mirror) table(name string) *table {
	t, ok := m.tables[name]
	if !ok {
		t = &table{rows: make(map[string]Row)}
		m.tables[name] = t
	}
	return t
}

// Apply takes changes of a table from the store and returns those that are new.
// Whole tells that the changes are all rows: those that are missing were deleted
// by then.
func (m *Mirror) Apply(name string, c infra.Changes, whole bool) []infra.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.table(name)
	var fresh []infra.Change
	present := make(map[string]bool, len(c.Rows))
	for _, r := range c.Rows {
		present[r.Key] = true
		if t.put(Row{Table: name, Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted}) {
			fresh = append(fresh, r)
		}
	}
	if whole {
		fresh = append(fresh, t.sweep(name, c.Version, present)...)
		t.top = max(t.top, c.Version)
		t.floor = max(t.floor, c.Version)
	}
	m.wake(len(fresh) > 0)
	return fresh
}

// sweep deletes the rows up to a version that a snapshot of it lacks.
func (t *table) sweep(name string, version uint64, present map[string]bool) []infra.Change {
	var out []infra.Change
	for key, r := range t.rows {
		if r.Deleted || present[key] || r.Version > version {
			continue
		}
		t.put(Row{Table: name, Key: key, Version: version, Deleted: true})
		out = append(out, infra.Change{Row: infra.Row{RowKey: infra.RowKey{Table: name, Key: key}, Version: version}, Deleted: true})
	}
	return out
}

func (t *table) put(r Row) bool {
	if old, ok := t.rows[r.Key]; ok && r.Version <= old.Version {
		return false
	}
	t.rows[r.Key] = r
	t.top = max(t.top, r.Version)
	return true
}

// Update is what a reader has of one table beyond what its follower knows.
type Update struct {
	Table string `msgpack:"t"`
	// Whole updates hold all rows up to Top: others were deleted by then.
	Whole bool   `msgpack:"w"`
	Top   uint64 `msgpack:"v"`
	Rows  []Row  `msgpack:"r"`
}

// Merge takes an update from another entry instance and returns the changes that
// are new, in the order of their versions.
func (m *Mirror) Merge(u Update) ([]infra.Change, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.table(u.Table)
	var fresh []infra.Change
	present := make(map[string]bool, len(u.Rows))
	for _, r := range u.Rows {
		present[r.Key] = true
		if r.Packed {
			value, err := unpack(r.Value)
			if err != nil {
				return fresh, errors.Wrapf(err, "row %s/%s", r.Table, r.Key)
			}
			r.Value, r.Packed = value, false
		}
		if t.put(r) {
			fresh = append(fresh, infra.Change{
				Row:     infra.Row{RowKey: infra.RowKey{Table: r.Table, Key: r.Key}, Version: r.Version, Value: r.Value},
				Deleted: r.Deleted,
			})
		}
	}
	if u.Whole {
		fresh = append(fresh, t.sweep(u.Table, u.Top, present)...)
		t.floor = max(t.floor, u.Top)
	}
	m.wake(len(fresh) > 0)
	return fresh, nil
}

// wake tells those that wait.
func (m *Mirror) wake(changed bool) {
	if changed {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// Tops returns the newest version of each table, by name.
func (m *Mirror) Tops() []Top {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]Top, 0, len(m.tables))
	for name, t := range m.tables {
		out = append(out, Top{name, t.top})
	}
	slices.SortFunc(out, func(a, b Top) int { return cmp.Compare(a.Table, b.Table) })
	return out
}

// Covers reports whether known holds at least the versions of other.
func Covers(known, other []Top) bool {
	for _, o := range other {
		if versionOf(known, o.Table) < o.Version {
			return false
		}
	}
	return true
}

func versionOf(tops []Top, name string) uint64 {
	for _, t := range tops {
		if t.Table == name {
			return t.Version
		}
	}
	return 0
}

// Since returns what is newer than the given versions. It waits for the first
// change until the context ends.
func (m *Mirror) Since(ctx context.Context, known []Top) []Update {
	for {
		m.mu.Lock()
		updates, changed := m.newer(known), m.changed
		m.mu.Unlock()
		if len(updates) > 0 {
			return updates
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

func (m *Mirror) newer(known []Top) []Update {
	var out []Update
	for name, t := range m.tables {
		after := versionOf(known, name)
		if t.top <= after {
			continue
		}
		u := Update{Table: name, Top: t.top, Whole: after < t.floor}
		for key, r := range t.rows {
			if r.Version <= after && !u.Whole {
				continue
			}
			if len(r.Value) >= packFrom && !r.Packed {
				r.Value, r.Packed = pack(r.Value), true
			}
			u.Rows = append(u.Rows, t.keep(key, r))
		}
		slices.SortFunc(u.Rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
		out = append(out, u)
	}
	return out
}

// keep stores a row with its compressed value for the next follower.
func (t *table) keep(key string, r Row) Row {
	if r.Packed {
		t.rows[key] = r
	}
	return r
}

func pack(b []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant that the package knows.
	}
	_, _ = w.Write(b) // Writes to a buffer do not fail.
	_ = w.Close()
	return out.Bytes()
}

func unpack(b []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxValue))
	return out, errors.Wrap(err, "unpack")
}
