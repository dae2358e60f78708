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

// Parameters of the group measurements: 54 instances in 6 domains serve 10 groups
// of 4. Loading weights takes 30 s from the store and 2 s from memory, and the
// store starts one load per second.
const (
	groupsWanted         = 10
	groupsSize           = 4
	groupsDomains        = 6
	groupsDomainSize     = 9
	groupsWarmup         = 120 * time.Second
	groupsSampleInterval = 50 * time.Millisecond
	// accelerators is the number of accelerators per instance.
	accelerators = 4
)

// scenario is a trace of failures. With the same seed, it hits the same instances at
// the same times for each planner.
type scenario struct {
	name     string
	length   time.Duration
	schedule func(m *Model, rng *rand.Rand)
}

func scenarios() []scenario {
	return []scenario{
		{"one member lost, 40 times", 40 * time.Minute, loseMembers},
		{"one domain dark for 5 min, 4 times", 40 * time.Minute, loseDomains},
		{"rolling restart of all 54", 30 * time.Minute, rollingRestart},
	}
}

// loseMembers kills a random instance each minute, which restarts after 90 s.
func loseMembers(m *Model, rng *rand.Rand) {
	for n := range 40 {
		e := m.Engines[rng.IntN(len(m.Engines))]
		m.At(groupsWarmup+time.Duration(n)*time.Minute, func() { e.Kill(90 * time.Second) })
	}
}

// loseDomains kills all instances of a random domain each ten minutes. They restart
// after 5 minutes.
func loseDomains(m *Model, rng *rand.Rand) {
	for n := range 4 {
		domain := m.Engines[groupsDomainSize*rng.IntN(groupsDomains)].Info.Domain
		m.At(groupsWarmup+time.Duration(n)*10*time.Minute, func() {
			for _, e := range m.Engines {
				if e.Info.Domain == domain {
					e.Kill(5 * time.Minute)
				}
			}
		})
	}
}

// rollingRestart restarts one instance after the other: each is drained, goes down
// after 15 s, restarts 10 s later and is then no longer drained.
func rollingRestart(m *Model, _ *rand.Rand) {
	const notice, down, step = 15 * time.Second, 10 * time.Second, 33 * time.Second
	for n, e := range m.Engines {
		drainAt := groupsWarmup + time.Duration(n)*step
		m.At(drainAt, func() { m.Drain(e.Info.ID, notice+down) })
		m.At(drainAt+notice, func() { e.Kill(down) })
	}
}

// downtime holds the measurements of one or more runs of a scenario.
type downtime struct {
	outages                    []time.Duration
	strandedAcceleratorSeconds float64
	// missingGroupSeconds is the time-weighted number of wanted groups that did not
	// serve.
	missingGroupSeconds float64
	lowestServing       int
	counters            group.Counters
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

// plannerCase is a planner policy in the comparison.
type plannerCase struct {
	name    string
	policy  group.Policy
	standby int
}

func plannerCases() []plannerCase {
	full := group.Policy{Spares: true, Swap: true}
	return []plannerCase{
		{"baseline", group.Policy{}, 0},
		{"spares and swap", full, 0},
		{"and 1 standby group", full, 1},
		{"and 2 standby groups", full, 2},
	}
}

func groupsConfig(c plannerCase, seed uint64) ModelConfig {
	cfg := ModelConfig{
		Document: groupsDocument(c.standby), Planner: group.DefaultConfig(), Entries: 2,
		Domains: groupsDomains, InstancesPerDomain: groupsDomainSize, Accelerators: accelerators,
		LoadTime: 30 * time.Second, PreloadedLoadTime: 2 * time.Second, WeightLoadInterval: time.Second, Seed: seed,
	}
	cfg.Planner.Policy = c.policy
	return cfg
}

// measureScenario runs a scenario with one planner. An outage begins when the number
// of serving groups drops and ends when it has its earlier value again.
func measureScenario(s scenario, c plannerCase, seed uint64) (downtime, error) {
	m := NewModel(groupsConfig(c, seed))
	s.schedule(m, rand.New(rand.NewPCG(seed, 4)))
	m.Run(groupsWarmup - time.Second)
	d := downtime{lowestServing: m.ServingGroups()}
	if d.lowestServing != groupsWanted {
		return d, errors.Errorf("%d groups serve at the start, want %d", d.lowestServing, groupsWanted)
	}
	var outageStarts []time.Duration
	for m.Now < groupsWarmup+s.length {
		m.Run(m.Now + groupsSampleInterval)
		serving := min(groupsWanted, m.ServingGroups())
		for len(outageStarts) < groupsWanted-serving {
			outageStarts = append(outageStarts, m.Now)
		}
		for len(outageStarts) > groupsWanted-serving {
			d.outages = append(d.outages, m.Now-outageStarts[0])
			outageStarts = outageStarts[1:]
		}
		d.lowestServing = min(d.lowestServing, serving)
		d.missingGroupSeconds += float64(groupsWanted-serving) * groupsSampleInterval.Seconds()
		d.strandedAcceleratorSeconds += float64(m.StrandedAccelerators()) * groupsSampleInterval.Seconds()
	}
	for _, start := range outageStarts {
		d.outages = append(d.outages, m.Now-start)
	}
	for _, e := range m.Entries {
		d.counters = d.counters.Add(e.Planner.Counters)
	}
	if len(m.Violations) > 0 {
		return d, errors.Errorf("%d violations of the planner's guarantees, first: %s", len(m.Violations), m.Violations[0])
	}
	return d, nil
}

// outageQuantile returns the quantile q of sorted durations in seconds.
func outageQuantile(d []time.Duration, q float64) float64 {
	if len(d) == 0 {
		return 0
	}
	return d[min(len(d)-1, int(q*float64(len(d))))].Seconds()
}

// groupsSeedCount is the number of traces per scenario, each with its own seed.
const groupsSeedCount = 5

// Groups measures group downtime and stranded accelerators with the planner and with
// a baseline on the same traces, the planner's processor time per event at several
// sizes, and the load of leases on the store at 890 nodes.
func Groups(w io.Writer) error {
	if err := measureDowntime(w); err != nil {
		return err
	}
	if err := measurePlannerScaling(w); err != nil {
		return err
	}
	return measureLeaseLoad(w)
}

func measureDowntime(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(t, "54 instances, 10 groups of 4, %d traces\tplanner\toutages\tmedian s\tp95 s\tworst s\tgroup-seconds missing\tlowest\tstranded accelerator-s\tformed\tswapped\n", groupsSeedCount)
	for _, s := range scenarios() {
		for _, c := range plannerCases() {
			sum, err := measureSeeds(s, c)
			if err != nil {
				return errors.Wrapf(err, "%s, %s", s.name, c.name)
			}
			_, _ = fmt.Fprintf(t, "%s\t%s\t%d\t%.2f\t%.2f\t%.2f\t%.0f\t%d\t%.0f\t%d\t%d\n", s.name, c.name, len(sum.outages),
				outageQuantile(sum.outages, 0.5), outageQuantile(sum.outages, 0.95), outageQuantile(sum.outages, 1),
				sum.missingGroupSeconds, sum.lowestServing, sum.strandedAcceleratorSeconds, sum.counters.Formed, sum.counters.Swapped)
		}
	}
	return errors.Wrap(t.Flush(), "write group table")
}

// measureSeeds adds up the runs of all seeds. The runs share no state and execute in
// parallel.
func measureSeeds(s scenario, c plannerCase) (downtime, error) {
	runs := make([]downtime, groupsSeedCount)
	var g errgroup.Group
	for seed := range runs {
		g.Go(func() (err error) {
			runs[seed], err = measureScenario(s, c, uint64(seed))
			return errors.Wrapf(err, "seed %d", seed)
		})
	}
	sum := downtime{lowestServing: groupsWanted}
	if err := g.Wait(); err != nil {
		return sum, err
	}
	for _, d := range runs {
		sum.outages = append(sum.outages, d.outages...)
		sum.missingGroupSeconds += d.missingGroupSeconds
		sum.strandedAcceleratorSeconds += d.strandedAcceleratorSeconds
		sum.lowestServing = min(sum.lowestServing, d.lowestServing)
		sum.counters = sum.counters.Add(d.counters)
	}
	slices.Sort(sum.outages)
	return sum, nil
}
