package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"path/filepath"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/routing"
	"github.com/bulrushfall/bulrushfall/service"
)

// newTable starts a table with a header line.
func newTable(w io.Writer, header string) *tabwriter.Writer {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, header)
	return t
}

// formatMillis formats a time in milliseconds.
func formatMillis(d time.Duration) string { return fmt.Sprintf("%.2f", float64(d.Microseconds())/1000) }

// routingPolicies are the policies that Routing compares.
var routingPolicies = []struct {
	name string
	make policyFactory
}{
	{"random", func(r *rand.Rand) routing.Policy { return routing.Random{Rand: r} }},
	{"round robin", func(*rand.Rand) routing.Policy { return &routing.RoundRobin{} }},
	{"least outstanding", func(r *rand.Rand) routing.Policy { return routing.LeastOutstanding{Rand: r} }},
	{"expected delay", func(r *rand.Rand) routing.Policy { return routing.ExpectedDelay{Rand: r} }},
	{"expected delay, random", func(r *rand.Rand) routing.Policy { return withoutFingerprint{routing.ExpectedDelay{Rand: r}} }},
}

// Parameters of the printed comparisons.
const (
	routingGroups   = 40
	routingDuration = 2 * time.Minute
	fairDuration    = time.Hour
)

// Routing compares the routing policies in a deterministic queueing model, with generated
// traces at two request rates.
func Routing(w io.Writer) error {
	t := newTable(w, "requests/s\tpolicy\trequests\tfirst token p50 ms\tp95 ms\tp99 ms\tprompt tokens cached")
	for _, rate := range []float64{150, 300} {
		trace := generateRouteTrace(1, routingDuration, rate)
		for _, p := range routingPolicies {
			m := runRouting(trace, routingGroups, p.make)
			_, _ = fmt.Fprintf(t, "%.0f\t%s\t%d\t%s\t%s\t%s\t%.1f%%\n", rate, p.name, len(m.firstTokens),
				formatMillis(percentile(m.firstTokens, 50)), formatMillis(percentile(m.firstTokens, 95)), formatMillis(percentile(m.firstTokens, 99)),
				100*float64(m.cachedTokens)/float64(m.totalPromptTokens))
		}
	}
	return t.Flush()
}

// Fairness measures in a model how one account that sends ten times its share affects the
// others, and how the loss of a third of the capacity affects the classes.
func Fairness(w io.Writer) error {
	t := newTable(w, "slots\tqueue\tlarge account\tothers' first token p50 ms\tp95 ms\trush p95 ms\twhole answer p95 ms\tlarge account started\trefused")
	for _, slots := range []int{23, 64, 160} {
		for _, queue := range []string{"arrival order", "fair"} {
			for _, factor := range []float64{1, 10} {
				r := runFairness(fairLoad{
					queue: admission.DefaultConfig(), fifo: queue != "fair", slots: slots,
					firstAccountFactor: factor, duration: fairDuration, seed: 1,
				})
				_, _ = fmt.Fprintf(t, "%d\t%s\t%.0f x share\t%s\t%s\t%s\t%s\t%d\t%d\n", slots, queue, factor,
					formatMillis(percentile(r.othersFirstToken(), 50)), formatMillis(percentile(r.othersFirstToken(), 95)),
					formatMillis(percentile(r.firstToken[service.ClassRush], 95)), formatMillis(percentile(r.wholeAnswer, 95)),
					len(r.firstAccountFirstToken), r.firstAccountRefused)
			}
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(w, "\nA third of 64 slots is lost after 5 of 10 minutes, offered load 100% of them:")
	t = newTable(w, "class\tstarted\trefused\tfirst token p95 ms")
	r := runFairness(capacityLossLoad())
	for _, c := range []service.Class{service.ClassRush, service.ClassInteractive, service.ClassBatch} {
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%s\n", c, r.started[c], r.refused[c], formatMillis(percentile(r.firstToken[c], 95)))
	}
	return t.Flush()
}

// capacityLossLoad returns a load during which a third of the slots is lost after half of
// the time.
func capacityLossLoad() fairLoad {
	return fairLoad{
		queue: admission.DefaultConfig(), slots: 64, capacityLossAt: 5 * time.Minute, otherAccountsFactor: 1,
		firstAccountFactor: 1, duration: 10 * time.Minute, seed: 1,
	}
}

// othersFirstToken returns the first-token times of all accounts but the first.
func (r *fairResult) othersFirstToken() []time.Duration {
	var out []time.Duration
	for _, times := range r.firstToken {
		out = append(out, times...)
	}
	return out
}

// binaryDir returns the directory of this program, which also holds the other binaries.
func binaryDir() (string, error) {
	file, err := os.Executable()
	return filepath.Dir(file), errors.Wrap(err, "find the directory of the binaries")
}

// Cold measures whether backend servers get more requests than their limit during a cold
// start. It restarts them at random times: first one in a deterministic model, with static
// shares and with shared credits, then engine processes behind seven entry instance
// processes.
func Cold(w io.Writer) error {
	t := newTable(w, "model\trestarts\trequests\tstarted cold\tmost held cold\tcold limit\toverloads\twarm to busy p50 ms\tp95 ms")
	for _, shared := range []bool{false, true} {
		m, name := runCold(1, shared), "static shares"
		if shared {
			name = "shared credits"
		}
		_, _ = fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%s\t%s\n", name, m.restarts, m.started, m.startedCold,
			m.maxRunningCold, coldLimits.ColdRequests, m.overloads, formatMillis(percentile(m.warmToBusyTimes, 50)), formatMillis(percentile(m.warmToBusyTimes, 95)))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	dir, err := binaryDir()
	if err != nil {
		return err
	}
	r, err := runColdProcesses(context.Background(), dir)
	if err != nil {
		return err
	}
	return r.print(w)
}

// Path compares the latency, throughput and cost of three paths to the engines in one run:
// direct, through a bare relay, and through the daemon with all its filters. The relay and
// the daemon are processes of their own.
func Path(w io.Writer) error {
	dir, err := binaryDir()
	if err != nil {
		return err
	}
	p, err := startPath(context.Background(), dir)
	if err != nil {
		return err
	}
	defer p.close()
	if err := p.measureLatency(); err != nil {
		return err
	}
	if err := p.measureLoads(); err != nil {
		return err
	}
	return p.print(w)
}
