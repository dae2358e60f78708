// Package mirror replicates tables of the store between entry instances, so that only a
// few of them (the readers) read the store and the others (the followers) copy from them.
// A Mirror keeps the newest version of each row, deleted rows included. It can therefore
// list the changes after any version without a change history.
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

// compressMinSize is the size from which values are compressed for the transfer between
// entry instances.
const compressMinSize = 4 << 10

// maxValueSize is the size at which a decompressed value is cut off.
const maxValueSize = 8 << 20

// Row is a row as it is transferred between entry instances.
type Row struct {
	Table      string `msgpack:"t"`
	Key        string `msgpack:"k"`
	Version    uint64 `msgpack:"v"`
	Value      []byte `msgpack:"b"`
	Compressed bool   `msgpack:"p"`
	Deleted    bool   `msgpack:"d"`
}

// TableVersion is the newest version that is known of a table.
type TableVersion struct {
	Table   string `msgpack:"t"`
	Version uint64 `msgpack:"v"`
}

// Mirror is a replica of tables. Its methods may be called from any goroutine.
type Mirror struct {
	mu     sync.Mutex
	tables map[string]*table
	// changed is closed and replaced at each change.
	changed chan struct{}
}

// table is the replica of one table.
type table struct {
	rows map[string]Row
	// version is the newest version. snapshotVersion is the version of the last snapshot
	// of the whole table: the replica may lack deletions that are older than it.
	version, snapshotVersion uint64
}

// New returns an empty replica.
func New() *Mirror {
	return &Mirror{tables: make(map[string]*table), changed: make(chan struct{})}
}

// tableNamed returns the replica of a table, and adds it if it is missing. The mutex must
// be held.
func (m *Mirror) tableNamed(name string) *table {
	t, ok := m.tables[name]
	if !ok {
		t = &table{rows: make(map[string]Row)}
		m.tables[name] = t
	}
	return t
}

// Apply applies changes of a table that were read from the store, and returns those that
// are new. If snapshot is true, the changes are all rows of the table: rows that are
// missing have been deleted.
func (m *Mirror) Apply(name string, c infra.Changes, snapshot bool) []infra.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tableNamed(name)
	var newChanges []infra.Change
	present := make(map[string]bool, len(c.Rows))
	for _, r := range c.Rows {
		present[r.Key] = true
		if t.put(Row{Table: name, Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted}) {
			newChanges = append(newChanges, r)
		}
	}
	if snapshot {
		newChanges = append(newChanges, t.deleteMissing(name, c.Version, present)...)
		t.version = max(t.version, c.Version)
		t.snapshotVersion = max(t.snapshotVersion, c.Version)
	}
	m.notifyWaiters(len(newChanges) > 0)
	return newChanges
}

// deleteMissing marks as deleted the rows that a snapshot of the given version lacks, and
// returns these deletions. Rows newer than the snapshot stay.
func (t *table) deleteMissing(name string, version uint64, present map[string]bool) []infra.Change {
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

// put stores a row, and reports whether it is newer than the known one.
func (t *table) put(r Row) bool {
	if old, ok := t.rows[r.Key]; ok && r.Version <= old.Version {
		return false
	}
	t.rows[r.Key] = r
	t.version = max(t.version, r.Version)
	return true
}

// Update carries the rows of one table that are newer than what a follower has.
type Update struct {
	Table string `msgpack:"t"`
	// Snapshot is true if Rows holds all rows of the table at NewestVersion. Rows that
	// are missing have been deleted.
	Snapshot      bool   `msgpack:"w"`
	NewestVersion uint64 `msgpack:"v"`
	Rows          []Row  `msgpack:"r"`
}

// Merge applies an update from another entry instance and returns the changes that are
// new, in the order of their versions. Deletions of rows that a snapshot lacks come last.
func (m *Mirror) Merge(u Update) ([]infra.Change, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tableNamed(u.Table)
	var newChanges []infra.Change
	present := make(map[string]bool, len(u.Rows))
	for _, r := range u.Rows {
		present[r.Key] = true
		if r.Compressed {
			value, err := decompress(r.Value)
			if err != nil {
				return newChanges, errors.Wrapf(err, "merge row %s/%s", r.Table, r.Key)
			}
			r.Value, r.Compressed = value, false
		}
		if t.put(r) {
			newChanges = append(newChanges, infra.Change{
				Row:     infra.Row{RowKey: infra.RowKey{Table: r.Table, Key: r.Key}, Version: r.Version, Value: r.Value},
				Deleted: r.Deleted,
			})
		}
	}
	if u.Snapshot {
		newChanges = append(newChanges, t.deleteMissing(u.Table, u.NewestVersion, present)...)
		t.snapshotVersion = max(t.snapshotVersion, u.NewestVersion)
	}
	m.notifyWaiters(len(newChanges) > 0)
	return newChanges, nil
}

// notifyWaiters wakes the callers that wait in WaitForUpdates if something has changed.
func (m *Mirror) notifyWaiters(changed bool) {
	if changed {
		close(m.changed)
		m.changed = make(chan struct{})
	}
}

// Versions returns the newest version of each table, sorted by name.
func (m *Mirror) Versions() []TableVersion {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := make([]TableVersion, 0, len(m.tables))
	for name, t := range m.tables {
		out = append(out, TableVersion{name, t.version})
	}
	slices.SortFunc(out, func(a, b TableVersion) int { return cmp.Compare(a.Table, b.Table) })
	return out
}

// Covers reports whether each table in known is at least as new as in other.
func Covers(known, other []TableVersion) bool {
	for _, o := range other {
		if versionOf(known, o.Table) < o.Version {
			return false
		}
	}
	return true
}

// versionOf returns the version of a table, or 0 if it is missing.
func versionOf(versions []TableVersion, name string) uint64 {
	for _, v := range versions {
		if v.Table == name {
			return v.Version
		}
	}
	return 0
}

// WaitForUpdates returns the rows that are newer than the known versions. If there are
// none it waits for a change, and returns nil if ctx ends first.
func (m *Mirror) WaitForUpdates(ctx context.Context, known []TableVersion) []Update {
	for {
		m.mu.Lock()
		updates, changed := m.updatesAfter(known), m.changed
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

// updatesAfter returns the rows that are newer than the known versions, without waiting.
// A follower whose version is older than the last snapshot gets all rows, because the
// replica may lack deletions that are older than the snapshot. The mutex must be held.
func (m *Mirror) updatesAfter(known []TableVersion) []Update {
	var out []Update
	for name, t := range m.tables {
		after := versionOf(known, name)
		if t.version <= after {
			continue
		}
		u := Update{Table: name, NewestVersion: t.version, Snapshot: after < t.snapshotVersion}
		for key, r := range t.rows {
			if r.Version <= after && !u.Snapshot {
				continue
			}
			if len(r.Value) >= compressMinSize && !r.Compressed {
				r.Value, r.Compressed = compress(r.Value), true
			}
			u.Rows = append(u.Rows, t.cacheCompressed(key, r))
		}
		slices.SortFunc(u.Rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
		out = append(out, u)
	}
	return out
}

// cacheCompressed stores a row if it is compressed, so that it is not compressed again for
// the next follower, and returns the row.
func (t *table) cacheCompressed(key string, r Row) Row {
	if r.Compressed {
		t.rows[key] = r
	}
	return r
}

func compress(b []byte) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // The compression level is valid.
	}
	_, _ = w.Write(b) // Writes to a bytes.Buffer do not fail.
	_ = w.Close()
	return out.Bytes()
}

func decompress(b []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxValueSize))
	return out, errors.Wrap(err, "unpack")
}
