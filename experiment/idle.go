package experiment

import (
	"context"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/cluster"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// idleDuration is the length of one measurement.
const idleDuration = 10 * time.Second

// idleSize is a cluster size of the idle experiment.
type idleSize struct{ entries, enginesPerDataCentre int }

// idleSizes vary the numbers of entry instances and of engines separately, so that
// the table shows the cost of each.
var idleSizes = []idleSize{{3, 16}, {7, 16}, {14, 16}, {28, 16}, {7, 8}, {7, 32}, {7, 64}}

// Idle measures the cost of the control plane without requests: processor time and
// memory per entry instance, and reads and writes of the store, at several numbers
// of entry instances and engines.
func Idle(ctx context.Context, w io.Writer, binDir string) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "entries\tengines\tcore % per entry\tresident MiB per entry\tstore reads/s\tstore writes/s\t")
	for _, size := range idleSizes {
		if err := measureIdleSize(ctx, t, binDir, size); err != nil {
			return err
		}
	}
	return errors.Wrap(t.Flush(), "write table")
}

func measureIdleSize(ctx context.Context, w io.Writer, binDir string, size idleSize) error {
	cfg := cluster.DefaultConfig(binDir)
	cfg.Entries, cfg.EnginesPerDataCentre = size.entries, size.enginesPerDataCentre
	wanted := size.enginesPerDataCentre * len(cfg.DataCentres) / 4
	cfg.Documents[0] = cluster.ModelDocument(wanted, 1, 4, 10)
	c, err := StartServing(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	before, err := sampleIdle(c)
	if err != nil {
		return err
	}
	if err := sleep(ctx, idleDuration); err != nil {
		return err
	}
	after, err := sampleIdle(c)
	if err != nil {
		return err
	}
	seconds := idleDuration.Seconds()
	_, _ = fmt.Fprintf(w, "%d\t%d\t%.2f\t%.1f\t%.1f\t%.1f\t\n", size.entries, size.enginesPerDataCentre*len(cfg.DataCentres),
		100*(after.cpu-before.cpu)/seconds/float64(size.entries), after.resident/float64(size.entries)/(1<<20),
		float64(after.counts.Reads-before.counts.Reads)/seconds, float64(after.counts.Writes-before.counts.Writes)/seconds)
	return nil
}

// idleSample holds the processor time and memory of all entry instances together, and
// the call counts of the store.
type idleSample struct {
	cpu, resident float64
	counts        standin.Counts
}

func sampleIdle(c *cluster.Cluster) (idleSample, error) {
	var out idleSample
	for _, e := range c.Entries {
		m, err := scrapeMetrics(e.OperatorAddress)
		if err != nil {
			return out, err
		}
		out.cpu += m["process_cpu_seconds_total"]
		out.resident += m["process_resident_memory_bytes"]
	}
	counts, err := c.StoreCounts()
	out.counts = counts
	return out, err
}
