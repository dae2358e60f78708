package activity

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Parts of Windows.Delay after the end of a window. An incomplete window is given out at
// incompletePart if its sums are within the tolerance, and at lastPart in any case: the
// calls that report it take time as well.
const (
	incompletePart = 0.45
	lastPart       = 0.75
)

// Result is a window whose counts will not become better in time.
type Result struct {
	Window int64
	Counts map[ident.Account]uint64
	// Counted is the number of entry instances whose counts are complete, of Expected live
	// ones. Partial is the number of runs that may have begun more.
	Counted, Expected, Partial int
	// Complete is true if no more is to come. Age is the time since the window's end.
	Complete bool
	Age      time.Duration
}

// windowTotal is a window of a data centre.
type windowTotal struct {
	counts, fresh  map[ident.Account]uint64
	whole, partial int
}

// dataCentreTotal is what the relays of a data centre have reported.
type dataCentreTotal struct {
	windows map[int64]*windowTotal
	// models are the last rates, from the relay that has counted the most instances, and
	// modelsAt when they were received.
	models   []ModelRates
	modelsAt time.Duration
}

// Totals merges the sums of the data centres. Sums of one data centre that differ are lower
// bounds of the truth, so the larger count of each account and window is used.
type Totals struct {
	windows     Windows
	tolerance   float64
	dataCentres map[ident.DataCentre]*dataCentreTotal
	// given are the open windows that Ready has returned.
	given map[int64]bool
	// since is when the first known run of an entry instance began, or 0.
	since time.Duration
}

// NewTotals returns totals without sums. tolerance is the relative error that the report of
// a window may have.
func NewTotals(w Windows, tolerance float64) *Totals {
	return &Totals{windows: w, tolerance: tolerance, dataCentres: make(map[ident.DataCentre]*dataCentreTotal), given: make(map[int64]bool)}
}

// Forget makes Ready return the open windows again, for a new holder of the duty.
func (t *Totals) Forget() { clear(t.given) }

// Merge merges sums that were received now.
func (t *Totals) Merge(now time.Duration, sums DataCentreSums) {
	d, ok := t.dataCentres[sums.DataCentre]
	if !ok {
		d = &dataCentreTotal{windows: make(map[int64]*windowTotal)}
		t.dataCentres[sums.DataCentre] = d
	}
	if sums.Since != 0 && (t.since == 0 || sums.Since < t.since) {
		t.since = sums.Since
	}
	for _, s := range sums.Windows {
		if t.windows.isOpen(s.Window, now) {
			d.mergeWindow(s)
		}
	}
	if len(sums.Models) > 0 && (now-d.modelsAt > freshTime || counted(sums.Models) >= counted(d.models)) {
		d.models, d.modelsAt = sums.Models, now
	}
}

// counted returns the number of entry instances in the rates of a data centre.
func counted(models []ModelRates) int {
	n := 0
	for _, m := range models {
		n = max(n, m.Counted)
	}
	return n
}

func (d *dataCentreTotal) mergeWindow(s WindowSums) {
	w, ok := d.windows[s.Window]
	if !ok {
		w = &windowTotal{counts: make(map[ident.Account]uint64), fresh: make(map[ident.Account]uint64)}
		d.windows[s.Window] = w
	}
	for _, n := range s.Counts {
		w.counts[n.Account] = max(w.counts[n.Account], n.Runs)
	}
	for _, n := range s.Fresh {
		w.fresh[n.Account] = max(w.fresh[n.Account], n.Runs)
	}
	// The relay that hears of the most instances knows best what is missing.
	switch {
	case s.Whole > w.whole:
		w.whole, w.partial = s.Whole, s.Partial
	case s.Whole == w.whole:
		w.partial = max(w.partial, s.Partial)
	}
}

// Ready returns the windows whose counts are complete, or have to be given out now, each
// once. It leaves out those that began before all known runs: what earlier runs counted is
// lost, as after a power loss of all entry instances. expected is the number of live entry instances by data centre.
func (t *Totals) Ready(now time.Duration, expected map[ident.DataCentre]int) []Result {
	t.expire(now)
	if t.windows.Length <= 0 || t.since == 0 {
		return nil
	}
	var out []Result
	for k := t.windows.At(now - t.windows.Delay); t.windows.End(k)+settleTime <= now; k++ {
		if t.given[k] || !t.windows.isOpen(k, now) || t.windows.Start(k) < t.since {
			continue
		}
		r := t.result(k, now, expected)
		if !r.Complete && !t.mustGive(&r) {
			continue
		}
		t.given[k] = true
		out = append(out, r)
	}
	return out
}

// mustGive reports whether an incomplete window is given out.
func (t *Totals) mustGive(r *Result) bool {
	delay := float64(t.windows.Delay)
	switch age := float64(r.Age); {
	case age >= lastPart*delay:
		return true
	case age >= incompletePart*delay:
		return float64(r.Counted) >= (1-t.tolerance)*float64(r.Expected)
	default:
		return false
	}
}

func (t *Totals) result(k int64, now time.Duration, expected map[ident.DataCentre]int) Result {
	r := Result{Window: k, Counts: make(map[ident.Account]uint64), Complete: true, Age: now - t.windows.End(k)}
	for _, d := range t.dataCentres {
		if w := d.windows[k]; w != nil {
			for a, n := range w.counts {
				r.Counts[a] += n
			}
			for a, n := range w.fresh {
				r.Counts[a] += n
			}
			r.Partial += w.partial
		}
	}
	for name, n := range expected {
		r.Expected += n
		whole := 0
		if d := t.dataCentres[name]; d != nil && d.windows[k] != nil {
			whole = min(n, d.windows[k].whole)
		}
		r.Counted += whole
	}
	r.Complete = r.Counted >= r.Expected && r.Partial == 0
	return r
}

func (t *Totals) expire(now time.Duration) {
	for name, d := range t.dataCentres {
		for k := range d.windows {
			if !t.windows.isOpen(k, now) {
				delete(d.windows, k)
			}
		}
		if len(d.windows) == 0 && now-d.modelsAt > freshTime {
			delete(t.dataCentres, name)
		}
	}
	for k := range t.given {
		if !t.windows.isOpen(k, now) {
			delete(t.given, k)
		}
	}
}

// Models returns the rates by model over all data centres.
func (t *Totals) Models(now time.Duration, expected map[ident.DataCentre]int) map[ModelKey]ModelRates {
	total := 0
	for _, n := range expected {
		total += n
	}
	out := make(map[ModelKey]ModelRates)
	for _, d := range t.dataCentres {
		if d.modelsAt == 0 || now-d.modelsAt > freshTime {
			continue
		}
		for _, m := range d.models {
			sum := out[m.ModelKey]
			sum.ModelKey, sum.Rates, sum.Expected = m.ModelKey, sum.plus(m.Rates), total
			sum.Counted += m.Counted
			sum.Age = max(sum.Age, now-d.modelsAt)
			out[m.ModelKey] = sum
		}
	}
	return out
}
