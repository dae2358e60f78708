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

// Sizes of the measurements of configuration.
const (
	// configEntries is the number of entry instances of each user today.
	configEntries = 7
	// configEdits is the number of single edits of a measurement.
	configEdits = 100
	// configGap separates single edits. 4,600 a day are one per 18.8 s; the
	// measurement sends them 188 times as fast.
	configGap = 100 * time.Millisecond
	// configBurst is the number of edits that arrive at the same time.
	configBurst = 50
	// configLost is the number of answers to commits that are lost at most.
	configLost = 50
	// configBursts is the number of bursts of a measurement.
	configBursts = 4
	// configInForce is the promise: accepted edits are in force in 3 s.
	configInForce = 3 * time.Second
	// configWait bounds the wait for the last node.
	configWait = 20 * time.Second
	// configJoins is the number of processes that join during an outage.
	configJoins = 20
)

// configCase is one condition of the store and the network.
type configCase struct {
	name     string
	faults   standin.Faults
	dropPush bool
}

var configCases = []configCase{
	{name: "store up"},
	{name: "store slow (200 ms a call)", faults: standin.Faults{LatencyMillis: 200}},
	{name: "store up, every push lost", dropPush: true},
	{name: "store up, the first answers to commits lost", faults: standin.Faults{LoseAnswers: configLost}},
}

// Config measures how edits spread, what that costs per node, and how a process
// joins during an outage of the store.
func Config(w io.Writer) error {
	if err := configSpread(w); err != nil {
		return err
	}
	if err := configJoin(w); err != nil {
		return err
	}
	return configScale(w)
}

func configSpread(w io.Writer) error {
	fmt.Fprintf(w, "Time from acceptance to in force on all %d entries\n", configEntries)
	fmt.Fprintln(w, "condition\tload\taccepted\tmedian\tp95\tworst\tlost answers")
	for _, k := range configCases {
		for _, load := range []string{"single edits", "bursts of 50"} {
			if err := configSpreadCase(w, k, load); err != nil {
				return errors.Wrapf(err, "%s, %s", k.name, load)
			}
		}
	}
	return nil
}

// configSpreadCase runs one condition with nodes of its own.
func configSpreadCase(w io.Writer, k configCase, load string) error {
	c, err := startConfigNodes(configEntries, true)
	if err != nil {
		return err
	}
	defer c.close()
	c.store.SetFaults(k.faults)
	c.dropPush.Store(k.dropPush)
	size, rounds, gap := 1, configEdits, configGap
	if load != "single edits" {
		size, rounds, gap = configBurst, configBursts, time.Second
	}
	accepted := 0
	for range rounds {
		accepted += c.batch(size)
		time.Sleep(gap)
	}
	times, err := c.spread(configWait)
	if err != nil {
		return err
	}
	if len(times) == 0 {
		return errors.New("no edit was accepted")
	}
	worst := times[len(times)-1]
	fmt.Fprintf(w, "%s\t%s\t%d of %d\t%s\t%s\t%s\t%d\n", k.name, load, accepted, size*rounds,
		configMS(configQuantile(times, 0.5)), configMS(configQuantile(times, 0.95)), configMS(worst),
		c.store.Counts().LostAnswers)
	if worst > configInForce {
		return errors.Errorf("the worst time %v exceeds the promised %v", worst, configInForce)
	}
	return nil
}

// configJoin starts processes one after the other while the store is down.
func configJoin(w io.Writer) error {
	c, err := startConfigNodes(configEntries, true)
	if err != nil {
		return err
	}
	defer c.close()
	if n := c.batch(configBurst); n == 0 {
		return errors.New("no edit was accepted")
	}
	if _, err := c.spread(configWait); err != nil {
		return err
	}
	floor := c.nodes[0].shell.View().Revision
	var times []time.Duration
	for _, f := range []standin.Faults{{Outage: true}, {Hang: true}} {
		c.store.SetFaults(f)
		times = times[:0]
		for range configJoins {
			d, err := c.joinOnce(uint64(floor))
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
			kind, floor, configMS(configQuantile(times, 0.5)), configMS(configQuantile(times, 0.95)), configMS(times[len(times)-1]), len(times))
	}
	return nil
}

// joinOnce starts a process, waits until it is ready, and stops it.
func (c *configNodes) joinOnce(floor uint64) (time.Duration, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return 0, errors.Wrap(err, "listen")
	}
	n := c.start(l)
	defer n.stop()
	select {
	case <-n.ready:
	case <-time.After(configWait):
		return 0, errors.New("the joiner did not become ready")
	}
	if got := uint64(n.shell.View().Revision); got < floor {
		return 0, errors.Errorf("the joiner serves revision %d, below the floor %d", got, floor)
	}
	return n.readyIn, nil
}

// configQuantile returns a quantile of sorted times.
func configQuantile(sorted []time.Duration, q float64) time.Duration {
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func configMS(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}
