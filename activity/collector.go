package activity

import (
	"cmp"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the collection.
const (
	// settleTime is the time after the end of a window from which a report shows all of its
	// runs. A run of a request without events is known when its response comes, and counts
	// when it was sent.
	settleTime = 500 * time.Millisecond
	// freshTime is how old the last report of a run may be for its rates to count.
	freshTime = 3 * time.Second
	// minRateTime is the least time between two reports from which a rate is taken.
	minRateTime = 200 * time.Millisecond
)

// runWindow is what a run has reported of a window.
type runWindow struct {
	total, sum uint64
	counts     map[ident.Account]uint64
}

// modelRun is the demand for a model at a run: the last report, and the rates from the one
// before.
type modelRun struct {
	at   time.Duration
	last Demand
	rate Rates
}

// runState is what is known of a run.
type runState struct {
	dataCentre ident.DataCentre
	// time is the sender's time of its last report, and heardAt when that was received.
	time, heardAt time.Duration
	// since is when the run began, or 0 if that is not known yet.
	since   time.Duration
	windows map[int64]*runWindow
	models  map[ModelKey]*modelRun
	// replaced is true if the instance has started a newer run, so that no more reports of
	// this one come.
	replaced bool
}

// Collector keeps the reports of the runs that an entry instance hears of, until the
// reports of their windows are due.
type Collector struct {
	windows Windows
	runs    map[Run]*runState
}

// NewCollector returns an empty collector.
func NewCollector(w Windows) *Collector {
	return &Collector{windows: w, runs: make(map[Run]*runState)}
}

// Receive merges a report of a run.
func (c *Collector) Receive(now time.Duration, run Run, dataCentre ident.DataCentre, r *Report) {
	s, ok := c.runs[run]
	if !ok {
		s = &runState{windows: make(map[int64]*runWindow), models: make(map[ModelKey]*modelRun)}
		for other, o := range c.runs {
			o.replaced = o.replaced || other.Instance == run.Instance
		}
		c.runs[run] = s
	}
	s.dataCentre = dataCentre
	// The sender's clock may have been ahead when its process started.
	at := min(r.Time, now)
	s.time, s.heardAt = max(s.time, at), now
	s.since = max(s.since, r.Since)
	for _, w := range r.Windows {
		if c.windows.isOpen(w.Window, now) {
			s.mergeWindow(w)
		}
	}
	for _, m := range r.Models {
		s.mergeModel(at, m)
	}
}

func (s *runState) mergeWindow(w WindowCounts) {
	rw, ok := s.windows[w.Window]
	if !ok {
		rw = &runWindow{counts: make(map[ident.Account]uint64)}
		s.windows[w.Window] = rw
	}
	rw.total = max(rw.total, w.Total)
	for _, n := range w.Counts {
		if old := rw.counts[n.Account]; n.Runs > old {
			rw.counts[n.Account] = n.Runs
			rw.sum += n.Runs - old
		}
	}
}

func (s *runState) mergeModel(at time.Duration, m ModelDemand) {
	old, ok := s.models[m.ModelKey]
	if !ok {
		s.models[m.ModelKey] = &modelRun{at: at, last: m.Demand}
		return
	}
	if at < old.at+minRateTime || m.Requests < old.last.Requests {
		return // The datagram is an old one, or came with the last one.
	}
	old.rate = ratesOf(old.last, m.Demand, at-old.at)
	old.at, old.last = at, m.Demand
}

// Expire forgets what belongs to windows whose reports are due.
func (c *Collector) Expire(now time.Duration) {
	for run, s := range c.runs {
		for k := range s.windows {
			if !c.windows.isOpen(k, now) {
				delete(s.windows, k)
			}
		}
		if len(s.windows) == 0 && now-s.heardAt > max(freshTime, c.windows.Length+c.windows.Delay) {
			delete(c.runs, run)
		}
	}
}

// WindowSums are the sums of a window over the entry instances of a data centre.
type WindowSums struct {
	Window int64 `msgpack:"w"`
	// Counts are the sums over the runs that began before the window, and Fresh those over
	// later ones. They are merged apart: after the loss of a data centre its new relays know
	// only the new runs, whose sums would disappear below the old ones.
	Counts []Count `msgpack:"c"`
	Fresh  []Count `msgpack:"f"`
	// Whole is the number of instances whose counts are complete, and Partial that of runs
	// in which the window has begun and which may report more of it.
	Whole   int `msgpack:"n"`
	Partial int `msgpack:"p"`
}

// DataCentreSums are the sums over the entry instances of a data centre.
type DataCentreSums struct {
	DataCentre ident.DataCentre `msgpack:"d"`
	// Since is when the first of their runs began, or 0 if that is not known.
	Since   time.Duration `msgpack:"s"`
	Windows []WindowSums  `msgpack:"w"`
	Models  []ModelRates  `msgpack:"m"`
}

// Sums returns the sums by data centre and window. The windows are those that are open and
// have begun.
func (c *Collector) Sums(now time.Duration) []DataCentreSums {
	byDataCentre := make(map[ident.DataCentre][]*runState)
	for _, s := range c.runs {
		byDataCentre[s.dataCentre] = append(byDataCentre[s.dataCentre], s)
	}
	var out []DataCentreSums
	for d, runs := range byDataCentre {
		sums := DataCentreSums{DataCentre: d, Models: modelRates(now, runs)}
		for _, s := range runs {
			if s.since != 0 && (sums.Since == 0 || s.since < sums.Since) {
				sums.Since = s.since
			}
		}
		if c.windows.Length > 0 {
			for k := c.windows.At(now - c.windows.Delay); k <= c.windows.At(now); k++ {
				if c.windows.isOpen(k, now) {
					sums.Windows = append(sums.Windows, c.windowSums(k, runs))
				}
			}
		}
		out = append(out, sums)
	}
	slices.SortFunc(out, func(a, b DataCentreSums) int { return cmp.Compare(a.DataCentre, b.DataCentre) })
	return out
}

func (c *Collector) windowSums(k int64, runs []*runState) WindowSums {
	out := WindowSums{Window: k}
	counts, fresh := make(map[ident.Account]uint64), make(map[ident.Account]uint64)
	for _, s := range runs {
		w, ok := s.windows[k]
		if ok && s.since != 0 {
			sums := counts
			if s.since >= c.windows.Start(k) {
				sums = fresh
			}
			for a, n := range w.counts {
				sums[a] += n
			}
		}
		whole := s.time >= c.windows.End(k)+settleTime && (!ok || (w.sum >= w.total && s.since != 0))
		switch {
		case s.replaced:
		case whole:
			out.Whole++
		case ok || s.time >= c.windows.Start(k):
			out.Partial++
		}
	}
	out.Counts, out.Fresh = sortedCounts(counts), sortedCounts(fresh)
	return out
}
