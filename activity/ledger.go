package activity

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of reports.
const (
	// copiesPerChange is the number of consecutive reports that carry a changed count, so
	// that the loss of single datagrams does not delay it.
	copiesPerChange = 2
	// refreshReports is the number of reports over which all counts are repeated, for
	// receivers that have become relays or lacked copiesPerChange datagrams in a row.
	// maxRefreshed bounds the repeated counts of one report, maxChanged the changed ones.
	refreshReports = 8
	maxRefreshed   = 64
	maxChanged     = 256
	// modelInterval is the number of reports from one with the demand for models
	// and the start of the run.
	modelInterval = 4
)

// entryKey identifies a count of a ledger.
type entryKey struct {
	window  int64
	account ident.Account
}

// entry is a count of a ledger, and the number of reports that still have to carry it.
type entry struct {
	entryKey
	runs   uint64
	copies int
}

// Ledger counts the runs that one run of the process has begun, in the open windows. Its
// memory is bounded by the accounts of the configuration.
type Ledger struct {
	windows Windows
	// since is when the run of the process began.
	since   time.Duration
	entries []entry
	index   map[entryKey]int
	totals  map[int64]uint64
	// next is the entry to repeat next.
	next    int
	reports int
}

// NewLedger returns the ledger of a run of the process that begins now.
func NewLedger(w Windows, now time.Duration) *Ledger {
	return &Ledger{windows: w, since: now, index: make(map[entryKey]int), totals: make(map[int64]uint64)}
}

// Add counts a run that began at a time. It is ignored if the window's report is due already.
func (l *Ledger) Add(now, at time.Duration, account ident.Account) {
	if account == "" || l.windows.Length <= 0 {
		return
	}
	k := entryKey{l.windows.At(at), account}
	if !l.windows.isOpen(k.window, now) {
		return
	}
	i, ok := l.index[k]
	if !ok {
		i = len(l.entries)
		l.index[k] = i
		l.entries = append(l.entries, entry{entryKey: k})
	}
	l.entries[i].runs++
	l.entries[i].copies = copiesPerChange
	l.totals[k.window]++
}

// expire forgets the windows whose reports are due.
func (l *Ledger) expire(now time.Duration) {
	expired := false
	for w := range l.totals {
		if !l.windows.isOpen(w, now) {
			delete(l.totals, w)
			expired = true
		}
	}
	if !expired {
		return
	}
	l.entries = slices.DeleteFunc(l.entries, func(e entry) bool { _, open := l.totals[e.window]; return !open })
	clear(l.index)
	for i, e := range l.entries {
		l.index[e.entryKey] = i
	}
	l.next = 0
}

// Report returns the next report. models returns the demand for models and is called only
// for reports that carry it.
func (l *Ledger) Report(now time.Duration, models func() []ModelDemand) *Report {
	l.expire(now)
	r := &Report{Time: now}
	if l.reports%modelInterval == 0 {
		r.Since, r.Models = l.since, models()
	}
	l.reports++
	var chosen []int
	for i := range l.entries {
		if e := &l.entries[i]; e.copies > 0 && len(chosen) < maxChanged {
			e.copies--
			chosen = append(chosen, i)
		}
	}
	for range min(maxRefreshed, (len(l.entries)+refreshReports-1)/refreshReports) {
		chosen = append(chosen, l.next)
		l.next = (l.next + 1) % len(l.entries)
	}
	slices.Sort(chosen)
	counts := make(map[int64][]Count, len(l.totals))
	for _, i := range slices.Compact(chosen) {
		e := &l.entries[i]
		counts[e.window] = append(counts[e.window], Count{e.account, e.runs})
	}
	for w, total := range l.totals {
		r.Windows = append(r.Windows, WindowCounts{w, total, counts[w]})
	}
	slices.SortFunc(r.Windows, func(a, b WindowCounts) int { return cmp.Compare(a.Window, b.Window) })
	return r
}
