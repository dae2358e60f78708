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
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bulrushfall/bulrushfall/infra"
)

const (
	// packMinSize is the size of the values from which rows are compressed for the
	// transfer between entry instances.
	packMinSize = 1 << 10
	// maxUnpackedSize bounds the size of unpacked rows.
	maxUnpackedSize = 64 << 20
	// maxPackedUpdates bounds the number of packed updates that are kept.
	maxPackedUpdates = 8
)

// Row is a row as it is transferred between entry instances.
type Row struct {
	Table   string `msgpack:"t"`
	Key     string `msgpack:"k"`
	Version uint64 `msgpack:"v"`
	Value   []byte `msgpack:"b"`
	Deleted bool   `msgpack:"d"`
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
	now     func() time.Duration
	newer   NewerFunc
	// packed holds the packed rows of recent updates, because many followers wait for
	// the same ones.
	packed map[updateKey][]byte
}

// updateKey identifies the rows of an update.
type updateKey struct {
	table         string
	after, newest uint64
	snapshot      bool
	restored      bool
}

// table is the replica of one table.
type table struct {
	rows map[string]Row
	// version is the newest version. The replica has all deletions after snapshotVersion, the
	// version of the last snapshot of the whole table, and those after completeFrom up to
	// completeTo, the version before it. It may lack others.
	version, snapshotVersion uint64
	completeFrom, completeTo uint64
	// restored is the state after a restore of the store, or nil once it is over.
	restored *restored
}

// New returns an empty replica that takes over the rows of a restored store at once.
func New() *Mirror {
	return NewRestorable(func() time.Duration { return 0 }, func(string, infra.Row, infra.Row) bool { return true })
}

// NewRestorable returns an empty replica. Its rows do not go back to an older state when the
// store is restored from an older copy; see restored.
func NewRestorable(now func() time.Duration, newer NewerFunc) *Mirror {
	return &Mirror{
		tables: make(map[string]*table), changed: make(chan struct{}), packed: make(map[updateKey][]byte),
		now: now, newer: newer,
	}
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
// missing have been deleted. Changes from before a restore that is known are ignored.
func (m *Mirror) Apply(name string, c infra.Changes, snapshot bool) []infra.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tableNamed(name)
	before := t.version
	if infra.VersionEra(c.Version) < infra.VersionEra(t.version) {
		return nil
	}
	if t.version != 0 && infra.VersionEra(c.Version) > infra.VersionEra(t.version) {
		t.restored = m.newRestored(c.Version)
	}
	var newChanges []infra.Change
	present := make(map[string]bool, len(c.Rows))
	for _, r := range c.Rows {
		present[r.Key] = true
		if m.offer(t, Row{Table: name, Key: r.Key, Version: r.Version, Value: r.Value, Deleted: r.Deleted}) {
			newChanges = append(newChanges, r)
		}
	}
	if snapshot {
		newChanges = append(newChanges, t.applySnapshot(name, c.Version, before, present)...)
		t.version = max(t.version, c.Version)
	}
	m.notifyWaiters(len(newChanges) > 0 || t.restored != nil && t.version > before)
	return newChanges
}

// applySnapshot records that the rows of a snapshot have been applied, and returns the
// deletions of the rows that it lacks. before is the version of the table before it. After a restore these are only rows that were seen
// since; Settle deletes the others.
func (t *table) applySnapshot(name string, version, before uint64, present map[string]bool) []infra.Change {
	if version > t.snapshotVersion {
		t.completeFrom, t.completeTo = t.snapshotVersion, before
		if t.snapshotVersion == 0 {
			t.completeTo = 0
		}
		t.snapshotVersion = version
	}
	if t.restored != nil {
		for key, r := range t.restored.withheld {
			if !present[key] && r.Version <= version {
				delete(t.restored.withheld, key)
			}
		}
	}
	return t.deleteMissing(name, version, present)
}

// deleteMissing marks as deleted the rows that a snapshot of the given version lacks, and
// returns these deletions. Rows newer than the snapshot stay.
func (t *table) deleteMissing(name string, version uint64, present map[string]bool) []infra.Change {
	var out []infra.Change
	for key, r := range t.rows {
		if r.Deleted || present[key] || r.Version > version || (t.restored != nil && infra.VersionEra(r.Version) != infra.VersionEra(version)) {
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
	// WrittenAfter is the version after which rows have been written since a restore of the
	// store, while the sender still withholds rows of the restored copy, and 0 otherwise.
	WrittenAfter uint64 `msgpack:"a,omitempty"`
	// Packed holds the compressed rows instead of Rows if there is much of them.
	Packed []byte `msgpack:"z"`
}

// Merge applies an update from another entry instance and returns the changes that are
// new, in the order of their versions. Deletions of rows that a snapshot lacks come last.
func (m *Mirror) Merge(u Update) ([]infra.Change, error) {
	rows, err := u.unpack()
	if err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	t := m.tableNamed(u.Table)
	before := t.version
	if infra.VersionEra(u.NewestVersion) < infra.VersionEra(t.version) {
		return nil, nil
	}
	m.beginRestore(t, u)
	var newChanges []infra.Change
	present := make(map[string]bool, len(rows))
	for _, r := range rows {
		// A sender that withholds rows also sends known ones that the store may lack.
		present[r.Key] = present[r.Key] || infra.VersionEra(r.Version) == infra.VersionEra(u.NewestVersion)
		if t.restored == nil && infra.VersionEra(r.Version) < infra.VersionEra(t.version) {
			continue
		}
		if m.offer(t, r) {
			newChanges = append(newChanges, infra.Change{
				Row:     infra.Row{RowKey: infra.RowKey{Table: r.Table, Key: r.Key}, Version: r.Version, Value: r.Value},
				Deleted: r.Deleted,
			})
		}
	}
	if u.Snapshot {
		newChanges = append(newChanges, t.applySnapshot(u.Table, u.NewestVersion, before, present)...)
	}
	// The update is complete up to its version, which may be that of a snapshot and
	// above all rows.
	t.version = max(t.version, u.NewestVersion)
	m.notifyWaiters(len(newChanges) > 0 || t.restored != nil && t.version > before)
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

// CoversTable reports whether one table in known is at least as new as in other, which has to have it.
func CoversTable(known, other []TableVersion, name string) bool {
	v := versionOf(other, name)
	return v != 0 && versionOf(known, name) >= v
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
		for i := range updates {
			m.pack(&updates[i], versionOf(known, updates[i].Table))
		}
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
// A follower gets all rows if the replica may lack deletions after its version. The mutex must
// be held.
func (m *Mirror) updatesAfter(known []TableVersion) []Update {
	var out []Update
	for name, t := range m.tables {
		after := versionOf(known, name)
		if t.version <= after {
			continue
		}
		u := Update{Table: name, NewestVersion: t.version, Snapshot: t.lacksDeletionsAfter(after)}
		for _, r := range t.rows {
			if r.Version > after || u.Snapshot {
				u.Rows = append(u.Rows, r)
			}
		}
		if t.restored != nil {
			u.WrittenAfter = t.restored.writtenAfter
			for _, r := range t.restored.withheld {
				if r.Version > after || u.Snapshot {
					u.Rows = append(u.Rows, r)
				}
			}
		}
		slices.SortFunc(u.Rows, func(a, b Row) int { return cmp.Compare(a.Version, b.Version) })
		out = append(out, u)
	}
	return out
}

// lacksDeletionsAfter reports whether a row that a follower had at a version may have been deleted
// since without a trace in the replica: the replica was not complete at that version. At a version
// up to which it was complete, it had each row of the follower, and the snapshot showed which are gone.
func (t *table) lacksDeletionsAfter(version uint64) bool {
	if version >= t.snapshotVersion {
		return false
	}
	if t.restored != nil || infra.VersionEra(version) != infra.VersionEra(t.snapshotVersion) {
		return true
	}
	return version == 0 || version < t.completeFrom || version > t.completeTo
}

// Complete returns the newest version of a table, and whether the replica has all rows and
// deletions up to it, so that only later changes have to be read.
func (m *Mirror) Complete(name string) (version uint64, ok bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	t, known := m.tables[name]
	if !known || t.snapshotVersion == 0 || t.restored != nil {
		return 0, false
	}
	return t.version, true
}

// pack compresses the rows of an update to a follower that knows a table up to a version.
// Entries of one table resemble each other, so together they take a fraction of their
// size. The mutex must be held.
func (m *Mirror) pack(u *Update, after uint64) {
	size := 0
	for _, r := range u.Rows {
		size += len(r.Value)
	}
	if size < packMinSize {
		return
	}
	key := updateKey{u.Table, after, u.NewestVersion, u.Snapshot, u.WrittenAfter != 0}
	packed, ok := m.packed[key]
	if !ok {
		packed = packRows(u.Rows)
		if len(m.packed) >= maxPackedUpdates {
			clear(m.packed)
		}
		m.packed[key] = packed
	}
	u.Rows, u.Packed = nil, packed
}

func packRows(rows []Row) []byte {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		panic(err) // The compression level is valid.
	}
	if err := msgpack.NewEncoder(w).Encode(rows); err != nil {
		panic(err) // Rows hold only strings, numbers and bytes.
	}
	_ = w.Close() // Writes to a bytes.Buffer do not fail.
	return out.Bytes()
}

// unpack returns the rows of an update.
func (u *Update) unpack() ([]Row, error) {
	if u.Packed == nil {
		return u.Rows, nil
	}
	b, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(u.Packed)), maxUnpackedSize+1))
	if err != nil {
		return nil, errors.Wrapf(err, "unpack update of table %q", u.Table)
	}
	if len(b) > maxUnpackedSize {
		return nil, errors.Errorf("update of table %q exceeds %d bytes when unpacked", u.Table, maxUnpackedSize)
	}
	var rows []Row
	return rows, errors.Wrapf(msgpack.Unmarshal(b, &rows), "decode update of table %q", u.Table)
}
