package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/check"
	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/standin/history"
)

// MoveConfig describes a run in which a data centre is drained and restored under
// load.
type MoveConfig struct {
	// DrainAt, RestoreAt and End are measured from the start of the load.
	DrainAt, RestoreAt, End time.Duration
	// StreamsPerSecond and OrdersPerSecond are arrivals per second.
	StreamsPerSecond, OrdersPerSecond float64
	// PlotFile is the file for the plot; empty means none.
	PlotFile string
	// HistoryCSV is the CSV file for the figures of each second; empty means none.
	HistoryCSV string
}

// DemoMove returns a short run for the demo.
func DemoMove() MoveConfig {
	return MoveConfig{DrainAt: 4 * time.Second, RestoreAt: 12 * time.Second, End: 18 * time.Second, StreamsPerSecond: 60, OrdersPerSecond: 20}
}

// MeasuredMove returns a run that is long enough for the groups to move to the other
// data centres and back.
func MeasuredMove() MoveConfig {
	return MoveConfig{DrainAt: 8 * time.Second, RestoreAt: 24 * time.Second, End: 40 * time.Second, StreamsPerSecond: 100, OrdersPerSecond: 30}
}

// Move measures service while a data centre is drained and restored: the answered,
// late and refused requests of each second, and the orders that were lost or ran
// twice. It returns an error if an outcome is wrong or a guarantee is violated.
func Move(ctx context.Context, w io.Writer, binDir string, cfg MoveConfig) error {
	c, err := StartServing(ctx, cluster.DefaultConfig(binDir))
	if err != nil {
		return err
	}
	defer c.Close()
	traffic := newOpenLoad(c, cfg.StreamsPerSecond, cfg.OrdersPerSecond)
	wait := traffic.start(ctx, cfg.End)
	drain, err := moveDataCentre(ctx, c, cfg)
	wait()
	if err != nil {
		return err
	}
	return reportMove(ctx, w, c, cfg, traffic, drain)
}

// moveDataCentre drains and restores the data centre of the first entry instance at
// the times of the configuration.
func moveDataCentre(ctx context.Context, c *cluster.Cluster, cfg MoveConfig) (check.Drain, error) {
	name := string(c.Entries[0].DataCentre)
	drain := check.Drain{Kind: check.DrainDataCentre, Name: name}
	// The operator's calls go to an entry instance in another data centre.
	operators := operator.NewClient([]string{c.Entries[1].OperatorAddress}, cluster.TeamToken)
	if err := sleep(ctx, cfg.DrainAt); err != nil {
		return drain, err
	}
	accepted, err := operators.SetDrain(ctx, config.DrainDataCentre, name, true, operator.Edit{Reason: "planned move"})
	if err != nil {
		return drain, errors.Wrap(err, "drain the data centre")
	}
	drain.AcceptedAt = time.Now()
	if err := sleep(ctx, cfg.RestoreAt-cfg.DrainAt); err != nil {
		return drain, err
	}
	edit := operator.Edit{Expected: accepted.Revision, Reason: "move is over"}
	if _, err := operators.SetDrain(ctx, config.DrainDataCentre, name, false, edit); err != nil {
		return drain, errors.Wrap(err, "restore the data centre")
	}
	drain.RestoredAt = time.Now()
	return drain, nil
}

func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "interrupted")
	case <-t.C:
		return nil
	}
}

// checkHistory runs the checker on the records of callers, backend servers and the
// store, prints the violations, and returns their number.
func checkHistory(ctx context.Context, w io.Writer, c *cluster.Cluster, traffic *openLoad, drains ...check.Drain) (int, error) {
	instances, err := c.Instances(ctx)
	if err != nil {
		return 0, err
	}
	h, _, err := history.Collect(ctx, c.PlatformURL, backendInstances(instances))
	if err != nil {
		return 0, err
	}
	h.CallerRequests = append(h.CallerRequests, traffic.callerRequests...)
	h.Drains = append(h.Drains, drains...)
	violations := check.Check(&h, check.DefaultLimits())
	printViolations(w, violations)
	_, _ = fmt.Fprintf(w, "violated promises: %d (checked over %d requests of callers and %d at backend servers)\n",
		len(violations), len(h.CallerRequests), len(h.BackendRequests))
	return len(violations), nil
}

// maxPrintedViolations is the maximum number of violations printed for each promise.
const maxPrintedViolations = 5

func printViolations(w io.Writer, violations []check.Violation) {
	written := make(map[check.Promise]int)
	for _, v := range violations {
		if written[v.Promise]++; written[v.Promise] <= maxPrintedViolations {
			_, _ = fmt.Fprintln(w, v.String())
		}
	}
}

func reportMove(ctx context.Context, w io.Writer, c *cluster.Cluster, cfg MoveConfig, traffic *openLoad, drain check.Drain) error {
	summary := traffic.summary()
	runs, err := c.OrderRuns()
	if err != nil {
		return err
	}
	summary.countOrders(traffic.placedOrders, runs)
	if err := summary.print(w); err != nil {
		return err
	}
	violations, err := checkHistory(ctx, w, c, traffic, drain)
	if err != nil {
		return err
	}
	if err := writeSeconds(cfg, traffic.perSecond(cfg)); err != nil {
		return err
	}
	if violations > 0 || summary.hasWrongOutcome() {
		return errors.New("requests or orders had a wrong outcome, or promises were violated; see the output above")
	}
	return nil
}
