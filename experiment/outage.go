package experiment

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/load"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// Lengths of the phases of the outage experiment.
const (
	// outageStoreUpTime is the time with the store up before and after the outage.
	outageStoreUpTime = 5 * time.Second
	// DefaultOutageLength is the default length of the outage. It is long compared with the
	// lifetimes of leases, confirmations and reserves, so that longer outages give the
	// same results.
	DefaultOutageLength = 110 * time.Second
	// outageReplaceAfter is the time from the start of the outage until the first
	// entry instance is replaced.
	outageReplaceAfter = 15 * time.Second
	// outageReplacePause is the time between two replacements.
	outageReplacePause = 2 * time.Second
)

// phase is a part of a run that is reported separately. It ends when the next one
// starts.
type phase struct {
	name      string
	startTime time.Time
}

// Outage measures service while the store is down and, during that time, all entry
// instances are replaced one after another. It returns an error if an outcome is wrong
// or a guarantee is violated.
func Outage(ctx context.Context, w io.Writer, binDir string, length time.Duration) error {
	c, err := StartServing(ctx, cluster.DefaultConfig(binDir))
	if err != nil {
		return err
	}
	defer c.Close()
	traffic := newOpenLoad(c, 60, 10)
	traffic.ticketRate = 10
	wait := traffic.start(ctx, 2*outageStoreUpTime+length)
	phases, err := runOutage(ctx, c, length)
	wait()
	if err != nil {
		return err
	}
	return reportOutage(ctx, w, c, traffic, phases)
}

// runOutage switches the store off, replaces the entry instances, and switches the
// store on again.
func runOutage(ctx context.Context, c *cluster.Cluster, length time.Duration) ([]phase, error) {
	phases := []phase{{"store up", time.Now()}}
	if err := sleep(ctx, outageStoreUpTime); err != nil {
		return nil, err
	}
	if err := c.SetFaults(standin.Faults{Outage: true}); err != nil {
		return nil, err
	}
	end := time.Now().Add(length)
	phases = append(phases, phase{"store down", time.Now()})
	if err := sleep(ctx, outageReplaceAfter); err != nil {
		return nil, err
	}
	phases = append(phases, phase{"store down, entry instances replaced one after another", time.Now()})
	for _, e := range c.Entries {
		if err := replaceEntry(ctx, c, e); err != nil {
			return nil, err
		}
	}
	phases = append(phases, phase{"store down, all entry instances new", time.Now()})
	if err := sleep(ctx, max(0, time.Until(end))); err != nil {
		return nil, err
	}
	if err := c.SetFaults(standin.Faults{}); err != nil {
		return nil, err
	}
	return append(phases, phase{"store up again", time.Now()}), nil
}

// replaceEntry stops an entry instance gracefully and starts a new one at the same
// address.
func replaceEntry(ctx context.Context, c *cluster.Cluster, e *cluster.Entry) error {
	e.Stop()
	if err := c.StartEntry(e); err != nil {
		return err
	}
	if err := sleep(ctx, outageReplacePause); err != nil {
		return err
	}
	return errors.Wrapf(c.WaitReady(ctx), "replace entry instance %s", e.Instance)
}

func reportOutage(ctx context.Context, w io.Writer, c *cluster.Cluster, traffic *openLoad, phases []phase) error {
	for i, p := range phases {
		var part []requestSample
		for _, s := range traffic.samples {
			after := i+1 < len(phases) && !s.result.Start.Before(phases[i+1].startTime)
			if !s.result.Start.Before(p.startTime) && !after {
				part = append(part, s)
			}
		}
		_, _ = fmt.Fprintf(w, "%s, from %s\n", p.name, p.startTime.Sub(traffic.startedAt).Round(100*time.Millisecond))
		if err := summarise(part).print(w); err != nil {
			return err
		}
	}
	return checkOutcomes(ctx, w, c, traffic)
}

// checkOutcomes prints the number of lost and doubled orders and the violations that
// the checker finds. It returns an error if an outcome is wrong or a guarantee is
// violated.
func checkOutcomes(ctx context.Context, w io.Writer, c *cluster.Cluster, traffic *openLoad) error {
	summary := traffic.summary()
	runs, err := c.OrderRuns()
	if err != nil {
		return err
	}
	summary.countOrders(traffic.answeredOrders(), runs)
	violations, err := checkHistory(ctx, w, c, traffic)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "answered orders %d, lost %d, doubled %d\n", summary.orders, summary.lost, summary.duplicated)
	if violations > 0 || summary.hasWrongOutcome() {
		return errors.New("requests or orders had a wrong outcome, or promises were violated; see the output above")
	}
	return nil
}

// answeredOrders returns the identifiers of the orders whose callers got an answer.
func (t *openLoad) answeredOrders() []string {
	var out []string
	for i, s := range t.samples {
		if s.kind != kindStream && s.kind != kindRepeat && s.result.Outcome == load.Answered {
			out = append(out, t.callerRequests[i].Request)
		}
	}
	return out
}
