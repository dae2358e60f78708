package experiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/service"
)

// Parameters of the group measures: 54 instances in 6 domains serve 10 groups
// of 4. Loading weights takes 30 s from the store and 2 s from memory, and the
// store passes one load per second.
const (
	groupsWanted  = 10
	groupsSize    = 4
	groupsDomains = 6
	groupsPer     = 9
	groupsWarm    = 120 * time.Second
	groupsSample  = 50 * time.Millisecond
	// accelerators is the number of accelerators of an instance.
	accelerators = 4
)

// scenario is a trace of events by instant and instance, the same for each
// planner.
type scenario struct {
	name   string
	length time.Duration
	start  func(m *Model, rng *rand.Rand)
}

func scenarios() []scenario {
	return []scenario{
		{"one member lost, 40 times", 40 * time.Minute, membersLost},
		{"one domain dark for 5 min, 4 times", 40 * time.Minute, domainsDark},
		{"rolling restart of all 54", 30 * time.Minute, rollingRestart},
	}
}

// membersLost kills a random instance each minute; it is back after 90 s.
func membersLost(m *Model, rng *rand.Rand) {
	for n := range 40 {
		e := m.Engines[rng.IntN(len(m.Engines))]
		m.At(groupsWarm+time.Duration(n)*time.Minute, func() { e.Kill(90 * time.Second) })
	}
}

// domainsDark kills all instances of a domain each ten minutes.
func domainsDark(m *Model, rng *rand.Rand) {
	for n := range 4 {
		domain := m.Engines[groupsPer*rng.IntN(groupsDomains)].Info.Domain
		m.At(groupsWarm+time.Duration(n)*10*time.Minute, func() {
			for _, e := range m.Engines {
				if e.Info.Domain == domain {
					e.Kill(5 * time.Minute)
				}
			}
		})
	}
}

// rollingRestart drains one instance after the other for 15 s, restarts it
// within 10 s and puts it back into service.
func rollingRestart(m *Model, _ *rand.Rand) {
	const notice, down, step = 15 * time.Second, 10 * time.Second, 33 * time.Second
	for n, e := range m.Engines {
		at := groupsWarm + time.Duration(n)*step
		m.At(at, func() { m.Drain(e.Info.ID, notice+down) })
		m.At(at+notice, func() { e.Kill(down) })
	}
}

// downtime is what one run of a scenario measured.
type downtime struct {
	outages  []time.Duration
	stranded float64
	// missing is the time-weighted number of wanted groups that did not serve.
	missing float64
	lowest  int
	moved   group.Counters
}

func groupsDocument(standby int) service.Document {
	doc := service.DefaultDocument()
	doc.Service, doc.Kind = "quotes", service.KindModel
	doc.Model = service.Model{Name: "base-model", Version: "1"}
	doc.Replicas = service.Replicas{
		Wanted: groupsWanted, Minimum: groupsWanted - 2, InstancesPerReplica: groupsSize, SparesPerDomain: 1,
		StandbyGroups: standby,
	}
	return doc
}

// contestant is a planner in a comparison.
type contestant struct {
	name    string
	policy  group.Policy
	standby int
}

func contestants() []contestant {
	full := group.Policy{Spares: true, Swap: true}
	return []contestant{
		{"baseline", group.Policy{}, 0},
		{"spares and swap", full, 0},
		{"and 1 standby group", full, 1},
		{"and 2 standby groups", full, 2},
	}
}

func groupsConfig(c contestant, seed uint64) ModelConfig {
	cfg := ModelConfig{
		Document: groupsDocument(c.standby), Planner: group.DefaultConfig(), Entries: 2,
		Domains: groupsDomains, InstancesPerDomain: groupsPer, Accelerators: accelerators,
		LoadTime: 30 * time.Second, PreloadedLoadTime: 2 * time.Second, WeightLoadInterval: time.Second, Seed: seed,
	}
	cfg.Planner.Policy = c.policy
	return cfg
}

// measureScenario runs a trace against one planner. An outage lasts from a drop
// of the number of serving groups until the number is back.
func measureScenario(s scenario, c contestant, seed uint64) (downtime, error) {
	m := NewModel(groupsConfig(c, seed))
	s.start(m, rand.New(rand.NewPCG(seed, 4)))
	m.Run(groupsWarm - time.Second)
	d := downtime{lowest: m.ServingGroups()}
	if d.lowest != groupsWanted {
		return d, errors.Errorf("%d groups serve at the start, want %d", d.lowest, groupsWanted)
	}
	var open []time.Duration
	for m.Now < groupsWarm+s.length {
		m.Run(m.Now + groupsSample)
		serving := min(groupsWanted, m.ServingGroups())
		for len(open) < groupsWanted-serving {
			open = append(open, m.Now)
		}
		for len(open) > groupsWanted-serving {
			d.outages = append(d.outages, m.Now-open[0])
			open = open[1:]
		}
		d.lowest = min(d.lowest, serving)
		d.missing += float64(groupsWanted-serving) * groupsSample.Seconds()
		d.stranded += float64(m.StrandedAccelerators()) * groupsSample.Seconds()
	}
	for _, at := range open {
		d.outages = append(d.outages, m.Now-at)
	}
	for _, e := range m.Entries {
		d.moved = d.moved.Add(e.Planner.Counters)
	}
	if len(m.Violations) > 0 {
		return d, errors.Errorf("%d violations, first: %s", len(m.Violations), m.Violations[0])
	}
	return d, nil
}

// outageQuantile returns a quantile of sorted durations in seconds.
func outageQuantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	return d[min(len(d)-1, int(q*float64(len(d))))].Seconds()
}

// groupSeeds is the number of traces per scenario.
const groupSeeds = 5

// Groups measures group downtime and stranded accelerators of the planner and
// of the baseline on the same traces, the planner's time per event at several
// sizes, and the load of leases on the store at 890 nodes.
func Groups(w io.Writer) error {
	if err := groupDowntime(w); err != nil {
		return err
	}
	if err := plannerSlope(w); err != nil {
		return err
	}
	return leaseLoad(w)
}

func groupDowntime(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "54 instances, 10 groups of 4, %d traces\tplanner\toutages\tmedian s\tp95 s\tworst s\tgroup-seconds missing\tlowest\tstranded accelerator-s\tformed\tswapped\n", groupSeeds)
	for _, s := range scenarios() {
		for _, c := range contestants() {
			sum, err := measureSeeds(s, c)
			if err != nil {
				return errors.Wrapf(err, "%s, %s", s.name, c.name)
			}
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.0f\t%d\t%.0f\t%d\t%d\n", s.name, c.name, len(sum.outages),
				outageQuantile(sum.outages, 0.5), outageQuantile(sum.outages, 0.95), outageQuantile(sum.outages, 1),
				sum.missing, sum.lowest, sum.stranded, sum.moved.Formed, sum.moved.Swapped)
		}
	}
	return errors.Wrap(t.Flush(), "write group table")
}

// measureSeeds sums the runs of all seeds, which share nothing and run in
// parallel.
func measureSeeds(s scenario, c contestant) (downtime, error) {
	runs := make([]downtime, groupSeeds)
	var g errgroup.Group
	for seed := range runs {
		g.Go(func() (err error) {
			runs[seed], err = measureScenario(s, c, uint64(seed))
			return errors.Wrapf(err, "seed %d", seed)
		})
	}
	sum := downtime{lowest: groupsWanted}
	if err := g.Wait(); err != nil {
		return sum, err
	}
	for _, d := range runs {
		sum.outages = append(sum.outages, d.outages...)
		sum.missing += d.missing
		sum.stranded += d.stranded
		sum.lowest = min(sum.lowest, d.lowest)
		sum.moved = sum.moved.Add(d.moved)
	}
	slices.Sort(sum.outages)
	return sum, nil
}
