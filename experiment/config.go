package experiment

import (
	"fmt"
	"io"
	"net"
	"slices"
	"time"

	"github.com/pkg/errors"

	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// Sizes of the configuration measurements.
const (
	// configEntries is the number of entry instances in a measurement, as many as each
	// current user of the program runs.
	configEntries = 7
	// configEdits is the number of single edits in a measurement.
	configEdits = 100
	// configEditInterval is the pause between single edits. 4,600 a day are one per
	// 18.8 s; the measurement sends them 188 times as fast.
	configEditInterval = 100 * time.Millisecond
	// configBurstSize is the number of edits sent at the same time.
	configBurstSize = 50
	// configLostAnswers is the maximum number of lost answers to commits.
	configLostAnswers = 50
	// configBurstCount is the number of bursts in a measurement.
	configBurstCount = 4
	// configInForceLimit is the guaranteed time from the acceptance of an edit until
	// it is in force on all nodes.
	configInForceLimit = 3 * time.Second
	// configTimeout is the maximum wait for the last node.
	configTimeout = 20 * time.Second
	// configJoins is the number of processes that join during each kind of outage.
	configJoins = 20
)

// configCase is a fault of the store or the network under which edits are measured.
type configCase struct {
	name       string
	faults     standin.Faults
	dropPushes bool
}

var configCases = []configCase{
	{name: "store up"},
	{name: "store slow (200 ms a call)", faults: standin.Faults{LatencyMillis: 200}},
	{name: "store up, every push lost", dropPushes: true},
	{name: "store up, the first answers to commits lost", faults: standin.Faults{LoseAnswers: configLostAnswers}},
}

// Config measures how fast edits reach all nodes, what that costs per node, and how
// long a process takes to join during an outage of the store.
func Config(w io.Writer) error {
	if err := measureConfigSpread(w); err != nil {
		return err
	}
	if err := measureConfigJoin(w); err != nil {
		return err
	}
	return measureConfigScale(w)
}

func measureConfigSpread(w io.Writer) error {
	fmt.Fprintf(w, "Time from acceptance to in force on all %d entries\n", configEntries)
	fmt.Fprintln(w, "condition\tload\taccepted\tmedian\tp95\tworst\tlost answers")
	for _, k := range configCases {
		for _, load := range []string{"single edits", "bursts of 50"} {
			if err := runConfigSpreadCase(w, k, load); err != nil {
				return errors.Wrapf(err, "%s, %s", k.name, load)
			}
		}
	}
	return nil
}

// runConfigSpreadCase measures one case on nodes of its own.
func runConfigSpreadCase(w io.Writer, k configCase, load string) error {
	c, err := startConfigNodes(configEntries, true)
	if err != nil {
		return err
	}
	defer c.close()
	c.store.SetFaults(k.faults)
	c.dropPushes.Store(k.dropPushes)
	size, rounds, gap := 1, configEdits, configEditInterval
	if load != "single edits" {
		size, rounds, gap = configBurstSize, configBurstCount, time.Second
	}
	accepted := 0
	for range rounds {
		accepted += c.applyEdits(size)
		time.Sleep(gap)
	}
	times, err := c.waitInForce(configTimeout)
	if err != nil {
		return err
	}
	if len(times) == 0 {
		return errors.New("no edit was accepted")
	}
	worst := times[len(times)-1]
	fmt.Fprintf(w, "%s\t%s\t%d of %d\t%s\t%s\t%s\t%d\n", k.name, load, accepted, size*rounds,
		configMillis(configQuantile(times, 0.5)), configMillis(configQuantile(times, 0.95)), configMillis(worst),
		c.store.Counts().LostAnswers)
	if worst > configInForceLimit {
		return errors.Errorf("the slowest edit was in force on all nodes after %v, over the limit of %v", worst, configInForceLimit)
	}
	return nil
}

// measureConfigJoin measures how long processes take to become ready, one after the
// other, while the store refuses calls and while it hangs.
func measureConfigJoin(w io.Writer) error {
	c, err := startConfigNodes(configEntries, true)
	if err != nil {
		return err
	}
	defer c.close()
	if n := c.applyEdits(configBurstSize); n == 0 {
		return errors.New("no edit was accepted")
	}
	if _, err := c.waitInForce(configTimeout); err != nil {
		return err
	}
	revision := c.nodes[0].shell.View().Revision
	var times []time.Duration
	for _, f := range []standin.Faults{{Outage: true}, {Hang: true}} {
		c.store.SetFaults(f)
		times = times[:0]
		for range configJoins {
			d, err := c.measureJoin(uint64(revision))
			if err != nil {
				return err
			}
			times = append(times, d)
		}
		slices.Sort(times)
		kind := "refuses calls"
		if f.Hang {
			kind = "hangs"
		}
		fmt.Fprintf(w, "joiner while the store %s: ready at revision %d after median %s, p95 %s, worst %s (%d joins)\n",
			kind, revision, configMillis(configQuantile(times, 0.5)), configMillis(configQuantile(times, 0.95)), configMillis(times[len(times)-1]), len(times))
	}
	return nil
}

// measureJoin starts a node, waits until it is ready, and stops it. It returns the
// time until the node was ready. A node that is ready with a revision below minRevision
// is an error.
func (c *configNodes) measureJoin(minRevision uint64) (time.Duration, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, errors.Wrap(err, "listen")
	}
	n := c.start(l)
	defer n.stop()
	select {
	case <-n.ready:
	case <-time.After(configTimeout):
		return 0, errors.New("the joining node did not become ready in time")
	}
	if got := uint64(n.shell.View().Revision); got < minRevision {
		return 0, errors.Errorf("the joining node serves revision %d, which is older than revision %d of the running nodes", got, minRevision)
	}
	return n.readyAfter, nil
}

// configQuantile returns the quantile q of sorted times.
func configQuantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func configMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
