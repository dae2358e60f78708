package mirror

import (
	"bytes"
	"time"

	"github.com/bulrushfall/bulrushfall/infra"
)

// settleTime is the time after a restore of the store until the rows that are written again
// are back: those that their writers had written after the copy was made.
const settleTime = 2500 * time.Millisecond

// NewerFunc reports whether a row of a table may replace the known one at once, because its
// value says that it is newer, or because it does no harm if it is not. The known row has no
// value if it was deleted.
type NewerFunc func(table string, known, row infra.Row) bool

// restored is the state of a table for settleTime after the store came back from an older
// copy. The rows of the copy may be older than the known ones, and lack some of them, until
// their writers have written them again. Meanwhile a row of the restored store replaces a
// known one only if it was written since the restore or NewerFunc lets it. The others are
// withheld, and known rows that the first reads lack are kept.
type restored struct {
	until time.Duration
	// writtenAfter is the version after which rows have been written since the restore.
	writtenAfter uint64
	withheld     map[string]Row
}

func (m *Mirror) newRestored(writtenAfter uint64) *restored {
	return &restored{until: m.now() + settleTime, writtenAfter: writtenAfter, withheld: make(map[string]Row)}
}

// beginRestore begins to withhold rows if an update from another entry instance is the first
// one after a restore. A table without rows follows the sender.
func (m *Mirror) beginRestore(t *table, u Update) {
	switch {
	case t.version == 0 && u.WrittenAfter == 0, infra.VersionEra(u.NewestVersion) == infra.VersionEra(t.version):
	case u.WrittenAfter != 0:
		t.restored = m.newRestored(u.WrittenAfter)
	default:
		t.restored = m.newRestored(u.NewestVersion)
	}
}

// offer stores a row if it is newer than the known one, and reports whether its content is
// new. After a restore it may withhold the row. The mutex must be held.
func (m *Mirror) offer(t *table, r Row) bool {
	known, ok := t.rows[r.Key]
	if t.restored == nil || !ok {
		return t.put(r)
	}
	if r.Version <= known.Version {
		return false
	}
	if infra.VersionEra(r.Version) == infra.VersionEra(known.Version) || r.Version > t.restored.writtenAfter {
		delete(t.restored.withheld, r.Key)
		return t.put(r)
	}
	if known.Deleted == r.Deleted && bytes.Equal(known.Value, r.Value) {
		t.put(r)
		return false
	}
	if !r.Deleted && m.newer(r.Table, known.infraRow(), r.infraRow()) {
		return t.put(r)
	}
	if old, ok := t.restored.withheld[r.Key]; !ok || r.Version > old.Version {
		t.restored.withheld[r.Key] = r
	}
	t.version = max(t.version, r.Version)
	return false
}

func (r *Row) infraRow() infra.Row {
	return infra.Row{RowKey: infra.RowKey{Table: r.Table, Key: r.Key}, Version: r.Version, Value: r.Value}
}

// Settle ends the withholding of rows of the tables for which settleTime has passed since a
// restore. What the restored store has is then in force. It returns the changes of each table.
func (m *Mirror) Settle() map[string][]infra.Change {
	m.mu.Lock()
	defer m.mu.Unlock()
	var out map[string][]infra.Change
	for name, t := range m.tables {
		if t.restored == nil || m.now() < t.restored.until {
			continue
		}
		if out == nil {
			out = make(map[string][]infra.Change)
		}
		out[name] = m.settle(name, t)
		m.notifyWaiters(true)
	}
	return out
}

// settle ends the withholding of rows of a table. A known row that is certainly newer than the
// withheld one stays.
func (m *Mirror) settle(name string, t *table) []infra.Change {
	var changes []infra.Change
	withheld, writtenAfter := t.restored.withheld, t.restored.writtenAfter
	t.restored = nil
	for _, r := range withheld {
		known := t.rows[r.Key]
		if !known.Deleted && !r.Deleted && m.newer(name, r.infraRow(), known.infraRow()) {
			known.Version = max(known.Version, r.Version)
			t.put(known)
			continue
		}
		if t.put(r) {
			changes = append(changes, infra.Change{Row: r.infraRow(), Deleted: r.Deleted})
		}
	}
	// The restored store has neither these rows nor a deletion of them.
	for key, r := range t.rows {
		if r.Deleted || infra.VersionEra(r.Version) == infra.VersionEra(t.version) {
			continue
		}
		r = Row{Table: name, Key: key, Version: writtenAfter, Deleted: true}
		t.put(r)
		changes = append(changes, infra.Change{Row: r.infraRow(), Deleted: true})
	}
	return changes
}

// Era returns the highest era of the tables.
func (m *Mirror) Era() uint64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	var era uint64
	for _, t := range m.tables {
		era = max(era, infra.VersionEra(t.version))
	}
	return era
}
