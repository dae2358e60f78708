package activity

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

const (
	simStep      = 50 * time.Millisecond
	simBeacon    = 4 // steps
	simCollect   = 20
	simRelays    = 2
	simSites     = 3
	simAccounts  = 24
	simTolerance = 0.05
)

var simWindows = Windows{Length: 5 * time.Second, Delay: 10 * time.Second}

// simInstance is an entry instance. Each of the first simRelays of a data centre is a relay.
type simInstance struct {
	run       Run
	site      ident.DataCentre
	dead      bool
	ledger    *Ledger
	collector *Collector
}

// simulation counts the runs of many instances over relays and a holder.
type simulation struct {
	t         *testing.T
	rng       *rand.Rand
	now       time.Duration
	instances []*simInstance
	totals    *Totals
	loss      float64
	rate      float64 // runs of an instance a second
	truth     map[int64]map[ident.Account]uint64
	results   map[int64]Result
	// bytes and reports count what instances sent, largest is the largest report.
	bytes, reports, largest int
}

func newSimulation(t *testing.T, seed int64, n int, rate float64) *simulation {
	s := &simulation{
		t: t, rng: rand.New(rand.NewSource(seed)), now: 1000 * simWindows.Length, rate: rate,
		totals: NewTotals(simWindows, simTolerance), truth: make(map[int64]map[ident.Account]uint64), results: make(map[int64]Result),
	}
	for i := range n {
		x := &simInstance{run: Run{ident.InstanceID(fmt.Sprint("entry-", i)), "0"}, site: ident.DataCentre(fmt.Sprint(i % simSites))}
		s.instances = append(s.instances, x)
		s.start(x)
	}
	return s
}

func (s *simulation) start(x *simInstance) {
	x.dead, x.run.Incarnation = false, x.run.Incarnation+"+"
	x.ledger, x.collector = NewLedger(simWindows, s.now), NewCollector(simWindows)
}

func (s *simulation) relays(site ident.DataCentre) (out []*simInstance) {
	for _, x := range s.instances {
		if x.site == site && !x.dead && len(out) < simRelays {
			out = append(out, x)
		}
	}
	return out
}

func (s *simulation) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += simStep {
		step := int(s.now / simStep)
		expected := make(map[ident.DataCentre]int)
		for i, x := range s.instances {
			if x.dead {
				continue
			}
			expected[x.site]++
			for p := s.rate * simStep.Seconds(); s.rng.Float64() < p; p-- {
				s.count(x)
			}
			if (step+i)%simBeacon == 0 {
				s.beacon(x)
			}
		}
		if step%simCollect == 0 {
			for site := range expected {
				for _, r := range s.relays(site) {
					r.collector.Expire(s.now)
					for _, sums := range r.collector.Sums(s.now) {
						s.totals.Merge(s.now, sums)
					}
				}
			}
			for _, r := range s.totals.Ready(s.now, expected) {
				s.results[r.Window] = r
			}
		}
	}
}

func (s *simulation) count(x *simInstance) {
	account := ident.Account(fmt.Sprintf("account-%02d", min(s.rng.Intn(simAccounts), s.rng.Intn(simAccounts))))
	w := simWindows.At(s.now)
	if s.truth[w] == nil {
		s.truth[w] = make(map[ident.Account]uint64)
	}
	s.truth[w][account]++
	x.ledger.Add(s.now, s.now, account)
}

func (s *simulation) beacon(x *simInstance) {
	r := x.ledger.Report(s.now, func() []ModelDemand { return nil })
	b, err := msgpack.Marshal(r)
	assert.NilError(s.t, err)
	var got Report
	assert.NilError(s.t, msgpack.Unmarshal(b, &got))
	s.bytes, s.reports, s.largest = s.bytes+len(b), s.reports+1, max(s.largest, len(b))
	for _, relay := range s.relays(x.site) {
		if relay == x || s.rng.Float64() >= s.loss {
			relay.collector.Receive(s.now, x.run, x.site, &got)
		}
	}
}

// missing returns the number of runs of a window that its result lacks, and fails the test if
// it has runs that nobody began.
func (s *simulation) missing(w int64) uint64 {
	s.t.Helper()
	r, ok := s.results[w]
	assert.Assert(s.t, ok, "window %d was not given out", w)
	assert.Assert(s.t, r.Age < simWindows.Delay, "window %d came after %v", w, r.Age)
	missing := uint64(0)
	for a, n := range s.truth[w] {
		assert.Assert(s.t, r.Counts[a] <= n, "%s of window %d: %d of %d", a, w, r.Counts[a], n)
		missing += n - r.Counts[a]
	}
	return missing
}

// Guards against inexact sums and against messages that grow with the number of instances:
// with 1% of the datagrams lost, all windows are exact and complete, and a report stays
// within what beacons to two relays, five a second, may use of 15 KB/s.
func TestSumsOfManyInstances(t *testing.T) {
	for _, n := range []int{70, 300, 890} {
		s := newSimulation(t, 1, n, 7.5)
		s.loss = 0.01
		first := simWindows.At(s.now)
		s.run(14 * time.Second)
		for w := first; w < first+2; w++ {
			assert.Equal(t, s.missing(w), uint64(0))
			assert.Assert(t, s.results[w].Complete && s.results[w].Expected == n, "%+v", s.results[w])
			assert.Assert(t, s.results[w].Age <= 3*time.Second, "%v", s.results[w].Age)
		}
		mean := s.bytes / s.reports
		t.Logf("%d instances: %d B a report, %d B the largest", n, mean, s.largest)
		assert.Assert(t, mean <= 1500 && s.largest <= 1500, "%d, %d", mean, s.largest)
	}
}

// Guards against counts that are lost with a process: at most what it began since the last
// collection and beacon is missing, whatever was lost, also if it starts again.
func TestLossOfProcesses(t *testing.T) {
	const n, rate = 60, 7.5
	for name, lost := range map[string]func(s *simulation) []*simInstance{
		"instance":    func(s *simulation) []*simInstance { return s.instances[50:51] },
		"relay":       func(s *simulation) []*simInstance { return s.instances[:1] },
		"tenth":       func(s *simulation) []*simInstance { return s.instances[30:36] },
		"data centre": func(s *simulation) (out []*simInstance) { return append(s.relays("0"), s.others("0")...) },
	} {
		for _, restart := range []bool{false, true} {
			t.Run(fmt.Sprint(name, ", restart ", restart), func(t *testing.T) {
				s := newSimulation(t, 2, n, rate)
				s.loss = 0.02
				first := simWindows.At(s.now)
				s.run(8 * time.Second)
				killed := lost(s)
				for _, x := range killed {
					x.dead = true
				}
				s.run(time.Second)
				if restart {
					for _, x := range killed {
						s.start(x)
					}
				}
				s.run(20 * time.Second)
				assert.Equal(t, s.missing(first), uint64(0))
				bound := uint64(float64(len(killed)) * rate * 1.4)
				assert.Assert(t, s.missing(first+1) <= bound, "%d of %d", s.missing(first+1), bound)
				for w := first + 2; w < first+4; w++ {
					assert.Equal(t, s.missing(w), uint64(0))
				}
			})
		}
	}
}

// others returns the instances of a data centre that are no relays.
func (s *simulation) others(site ident.DataCentre) (out []*simInstance) {
	relays := s.relays(site)
	for _, x := range s.instances {
		if x.site == site && x != relays[0] && x != relays[1] {
			out = append(out, x)
		}
	}
	return out
}

// Guards against a new holder that gives out less than the one before: the open windows are
// known again after one collection.
func TestHolderChanges(t *testing.T) {
	s := newSimulation(t, 3, 60, 7.5)
	first := simWindows.At(s.now)
	s.run(12 * time.Second)
	s.totals, s.results = NewTotals(simWindows, simTolerance), make(map[int64]Result)
	s.run(10 * time.Second)
	for w := first; w < first+3; w++ {
		assert.Equal(t, s.missing(w), uint64(0))
	}
}

// Guards against a window that is given out as counted after a power loss of all instances,
// with what earlier runs counted missing.
func TestWindowsBeforeAllRuns(t *testing.T) {
	s := newSimulation(t, 4, 30, 7.5)
	s.run(7 * time.Second)
	lost := simWindows.At(s.now)
	s.totals = NewTotals(simWindows, simTolerance)
	s.results = make(map[int64]Result)
	for _, x := range s.instances {
		s.start(x)
	}
	s.run(15 * time.Second)
	for _, w := range []int64{lost - 1, lost} {
		_, ok := s.results[w]
		assert.Assert(t, !ok, "window %d was given out", w)
	}
	assert.Equal(t, s.missing(lost+1), uint64(0))
}

// Guards against waiting for an instance that cannot report: the window is given out while
// there is time for its report, and shows what is missing.
func TestIncompleteWindow(t *testing.T) {
	for silent, latest := range map[int]time.Duration{2: 6 * time.Second, 20: 9 * time.Second} {
		s := newSimulation(t, 5, 60, 7.5)
		first := simWindows.At(s.now)
		s.run(3 * time.Second)
		// These are alive for the holder, but no relay hears of them.
		for range silent {
			s.instances[59].site, s.instances = "cut", append(s.instances[:0:0], append(s.instances[59:], s.instances[:59]...)...)
		}
		s.run(17 * time.Second)
		r := s.results[first]
		assert.Assert(t, !r.Complete && r.Age >= 4*time.Second && r.Age <= latest, "%d silent: %+v", silent, r)
	}
}
