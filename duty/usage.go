package duty

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
)

// The platform must never get two reports of a window with different counts. So the counts of a
// window are stored before they are first sent, in a row that is never changed, and each report
// of the window, also one by a later holder, has the counts of that row.

// Table is the table of the stored counts: a row for each of the latest windows and one for the
// store's era.
const Table = "usage"

// eraKey is the key of the row with the last era of the store in which the windows that the
// restored rows may lack were skipped.
const eraKey = "@era"

// keptRows is the number of windows whose rows are kept. Windows up to the highest deleted one
// are not reported any more. maxWindows bounds the windows in memory, also while the store is
// away, and maxDeletions the rows that one transaction deletes.
const (
	keptRows     = 12
	maxWindows   = 4 * keptRows
	maxDeletions = 50
)

// usageRow is the content of a window's row.
type usageRow struct {
	Counts map[ident.Account]uint64 `json:"counts"`
	// Settled and Deleted are the highest windows up to which reports were no longer due and
	// rows were deleted when the row was written.
	Settled int64 `json:"settled"`
	Deleted int64 `json:"deleted"`
}

type eraRow struct {
	Era uint64 `json:"era"`
}

// usage is the state of the usage reports.
type usage struct {
	// windows are the windows that are not yet settled or have a row, in their order.
	windows []*window
	// rows holds the windows that have a row, deleted is the highest one whose row was deleted.
	rows    map[int64]bool
	deleted int64
	// loaded is true once the rows were read under the present lease, and until a write without
	// a known outcome. read is the read in flight, or 0.
	loaded bool
	read   uint64
	retry  retry
	// restoredBy is when the rows of a restored store were first read, or 0. era is the era to be
	// recorded once no window that ended before is due, or 0, and eraWrite that write.
	restoredBy time.Duration
	era        uint64
	eraWrite   uint64
}

// window is a usage window.
type window struct {
	number int64
	counts map[ident.Account]uint64
	// ended is when the window ended. It is an upper bound unless endKnown is true.
	ended    time.Duration
	endKnown bool
	// stored is true if the counts are in a row, or were in a row that a restore of the store
	// has lost. write is the write of the row in flight, or 0.
	stored bool
	write  uint64
	// deletes are the windows whose rows the write deletes.
	deletes []int64
	// settled is true if the report was accepted, or is no longer due. inherited is true if a
	// former holder may have reported the window.
	settled   bool
	inherited bool
	inFlight  bool
	retry     retry
}

// endUsageTerm ends the reads and writes. Counts that are not stored give way to those that
// another holder stores.
func (m *Machine) endUsageTerm() {
	u := &m.usage
	u.loaded, u.read, u.retry, u.eraWrite = false, 0, retry{}, 0
	for _, w := range u.windows {
		w.retry, w.write = retry{}, 0
	}
}

// find returns the position of a window, or that at which it is to be inserted and false.
func (u *usage) find(number int64) (int, bool) {
	return slices.BinarySearchFunc(u.windows, number, func(w *window, n int64) int { return cmp.Compare(w.number, n) })
}

func (m *Machine) handleWindowCounted(now time.Duration, e WindowCounted) {
	u := &m.usage
	if !m.held || !m.cfg.ReportsUsage {
		return
	}
	ended := e.Ended
	if ended == 0 {
		ended = now
	}
	for _, w := range u.windows {
		if !w.endKnown && e.Ended != 0 {
			w.ended = min(w.ended, ended-time.Duration(e.Window-w.number)*m.cfg.UsageWindow)
			w.endKnown = true
		}
	}
	if i, ok := u.find(e.Window); !ok {
		u.windows = slices.Insert(u.windows, i, &window{number: e.Window, counts: e.Counts, ended: ended, endKnown: e.Ended != 0})
		m.forgetOldWindows()
	}
}

// accessStore reads the rows, and writes those of counted windows.
func (m *Machine) accessStore(now time.Duration) {
	u := &m.usage
	if !m.cfg.ReportsUsage || now < u.retry.at {
		return
	}
	if !u.loaded {
		if u.read == 0 {
			u.read = m.nextAttempt()
			m.emit(ReadRows{Attempt: u.read})
		}
		return
	}
	m.recordEra(now)
	for _, w := range m.usage.windows {
		if w.stored || w.settled || w.write != 0 {
			continue
		}
		if reason := m.skipReason(now, w); reason != "" {
			m.emit(LogEntry{Text: "usage window skipped", Kind: ReportUsage, Subject: fmt.Sprint(w.number), Detail: reason})
			m.emit(Count{WindowsSkipped})
			w.settled = true
			continue
		}
		m.writeWindow(w)
	}
}

// skipReason returns why a counted window must not be reported, or "".
func (m *Machine) skipReason(now time.Duration, w *window) string {
	switch u := &m.usage; {
	case m.mayBeLost(w):
		return "it may have been reported before the store was restored from an older copy"
	case w.number <= u.deleted || (len(u.rows) >= keptRows && w.number < slices.Min(slices.Collect(maps.Keys(u.rows)))):
		return "later windows were reported long ago"
	case now >= w.ended+m.cfg.UsageDelay:
		return "its counts came after the report was due"
	}
	return ""
}

// mayBeLost reports whether the store may have lost the row of a window in a restore. Such a
// window ended before the restored rows were read, also by the clock of another holder.
func (m *Machine) mayBeLost(w *window) bool {
	switch u := &m.usage; {
	case u.restoredBy == 0:
		return false
	case w.endKnown:
		return w.ended < u.restoredBy+m.cfg.UsageWindow/2
	default:
		return w.ended < u.restoredBy+m.cfg.UsageDelay+m.cfg.UsageWindow
	}
}

// writeWindow writes the row of a window and deletes rows beyond keptRows. The write fails if
// the lease has a newer holder, so that none is done after that one has read the rows. One
// without an answer may be done later, but has the same counts as its repetition.
func (m *Machine) writeWindow(w *window) {
	u := &m.usage
	w.write = m.nextAttempt()
	t := infra.Txn{Conditions: []infra.Condition{
		{RowKey: lease.EpochKey(formation.LeaseName), Version: m.grant.EpochVersion},
		{RowKey: rowKey(w.number)},
	}}
	row := usageRow{Counts: w.counts, Settled: w.number - 1, Deleted: u.deleted}
	for _, other := range u.windows {
		if !other.settled {
			row.Settled = min(row.Settled, other.number-1)
		}
	}
	kept := slices.Sorted(maps.Keys(u.rows))
	w.deletes = kept[:min(max(0, len(kept)+1-keptRows), maxDeletions)]
	for _, k := range w.deletes {
		t.Writes = append(t.Writes, infra.Write{RowKey: rowKey(k), Delete: true})
		row.Deleted = max(row.Deleted, k)
	}
	t.Writes = append(t.Writes, infra.Write{RowKey: rowKey(w.number), Value: encode(row)})
	m.emit(WriteRow{Attempt: w.write, Txn: t})
}

// recordEra records that the windows that a restore may have lost were skipped.
func (m *Machine) recordEra(now time.Duration) {
	u := &m.usage
	if u.era == 0 || u.eraWrite != 0 || now < u.restoredBy+m.cfg.UsageDelay+m.cfg.UsageWindow {
		return
	}
	u.eraWrite = m.nextAttempt()
	m.emit(WriteRow{Attempt: u.eraWrite, Txn: infra.Txn{
		Conditions: []infra.Condition{{RowKey: lease.EpochKey(formation.LeaseName), Version: m.grant.EpochVersion}},
		Writes:     []infra.Write{{RowKey: infra.RowKey{Table: Table, Key: eraKey}, Value: encode(eraRow{u.era})}},
	}})
}

func (m *Machine) handleReadFailed(now time.Duration, e ReadFailed) {
	if u := &m.usage; e.Attempt == u.read {
		u.read = 0
		u.retry.fail(now, &m.cfg)
	}
}

func (m *Machine) handleRowsRead(now time.Duration, e RowsRead) {
	u := &m.usage
	if u.read == 0 || e.Attempt != u.read {
		return
	}
	u.read, u.loaded, u.retry.delay = 0, true, 0
	clear(u.rows)
	recordedEra, settled, latest := uint64(0), int64(0), uint64(0)
	var read []*window
	for _, r := range e.Rows {
		number, row, era, err := decodeRow(r)
		switch {
		case err != nil:
			m.emit(LogEntry{Text: "usage row left out", Kind: ReportUsage, Subject: r.Key, Detail: err.Error()})
		case r.Key == eraKey:
			recordedEra = era
		default:
			u.rows[number] = true
			u.deleted = max(u.deleted, row.Deleted)
			if r.Version > latest {
				// The row of an earlier window may be the later one.
				latest, settled = r.Version, row.Settled
			}
			read = append(read, &window{number: number, counts: row.Counts, stored: true, inherited: true, ended: now})
		}
	}
	for _, w := range read {
		i, ok := u.find(w.number)
		if !ok {
			w.settled = w.number <= settled
			u.windows = slices.Insert(u.windows, i, w)
		} else if known := u.windows[i]; !known.stored {
			known.counts, known.stored, known.inherited, known.write = w.counts, true, true, 0
		}
	}
	m.forgetOldWindows()
	if u.era = 0; e.Era > max(1, recordedEra) {
		u.era, u.restoredBy = e.Era, now // The rows may lack windows that were reported.
	}
}

// forgetOldWindows drops windows that need no more reports and have no row.
func (m *Machine) forgetOldWindows() {
	u := &m.usage
	surplus := len(u.windows) - maxWindows
	u.windows = slices.DeleteFunc(u.windows, func(w *window) bool {
		if !w.settled || w.inFlight || w.write != 0 || u.rows[w.number] || (w.number > u.deleted && surplus <= 0) {
			return false
		}
		surplus--
		return true
	})
}

func (m *Machine) handleWritten(now time.Duration, e Written) {
	u := &m.usage
	applied := e.Outcome == infra.OutcomeApplied
	if e.Attempt == u.eraWrite && u.eraWrite != 0 {
		if u.eraWrite = 0; applied {
			u.era = 0
		}
	} else {
		w := m.windowOfWrite(e.Attempt)
		if w == nil {
			return
		}
		if w.write = 0; applied {
			w.stored = true
			u.rows[w.number] = true
			for _, k := range w.deletes {
				delete(u.rows, k)
				u.deleted = max(u.deleted, k)
			}
			m.forgetOldWindows()
		}
	}
	switch e.Outcome {
	case infra.OutcomeApplied:
		u.retry = retry{}
	case infra.OutcomeNotApplied:
		u.retry.fail(now, &m.cfg)
	default:
		// The row may have been written: read the rows before the next write.
		u.loaded = false
		u.retry.fail(now, &m.cfg)
	}
}

func (m *Machine) windowOfWrite(attempt uint64) *window {
	for _, w := range m.usage.windows {
		if w.write == attempt {
			return w
		}
	}
	return nil
}

// expireWindows ends the reports of windows that are overdue.
func (m *Machine) expireWindows(now time.Duration) {
	for _, w := range m.usage.windows {
		if w.stored && !w.settled && !w.inFlight && now >= w.ended+m.cfg.UsageDelay {
			w.settled = true
			if w.inherited {
				continue
			}
			m.emit(LogEntry{Text: "usage window not reported", Kind: ReportUsage, Subject: fmt.Sprint(w.number), Detail: "the platform accepted no report until it was due"})
			m.emit(Count{WindowsUnreported})
		}
	}
}

// nextReport returns the next report that is due, or nil. All reports of a holder have the same token: those of a window are equal, and one
// without an answer does no harm when it is done later.
func (m *Machine) nextReport(now time.Duration) *call {
	if m.outdated[ReportUsage] {
		return nil
	}
	for _, w := range m.usage.windows {
		if !w.stored || w.settled || w.inFlight || now < w.retry.at {
			continue
		}
		w.inFlight = true
		return &call{window: w, Call: Call{Kind: ReportUsage, Token: m.token(0), Window: w.number, Counts: w.counts}}
	}
	return nil
}

func (m *Machine) handleReported(now time.Duration, c *call, r Result) {
	w := c.window
	w.inFlight = false
	switch {
	case r != Accepted:
		w.retry.failCall(now, r, &m.cfg)
	case now > w.ended+m.cfg.UsageDelay:
		w.settled = true
		m.emit(Count{WindowsLate})
	default:
		w.settled = true
		m.emit(Count{WindowsReported})
	}
}

func rowKey(window int64) infra.RowKey {
	return infra.RowKey{Table: Table, Key: strconv.FormatInt(window, 10)}
}

func decodeRow(r infra.Row) (number int64, row usageRow, era uint64, err error) {
	const remedy = "decode usage row %q: delete the row if no version of this program wrote it"
	if r.Key == eraKey {
		var out eraRow
		err := json.Unmarshal(r.Value, &out)
		return 0, usageRow{}, out.Era, errors.Wrapf(err, remedy, r.Key)
	}
	if number, err = strconv.ParseInt(r.Key, 10, 64); err == nil {
		err = json.Unmarshal(r.Value, &row)
	}
	return number, row, 0, errors.Wrapf(err, remedy, r.Key)
}

// encode marshals a row. The row types hold only maps, strings and integers, so marshalling
// cannot fail.
func encode(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return b
}
