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
	outageCalm = 5 * time.Second
	// DefaultOutageLength is long compared with the lease, the confirmation lifetime
	// and the reserves: what works at its end works for longer outages too.
	DefaultOutageLength = 110 * time.Second
	// outageReplace is when the entry instances begin to be replaced.
	outageReplace = 15 * time.Second
	// outageReplacePause separates two replacements.
	outageReplacePause = 2 * time.Second
)

// phase is a part of a run with its own table.
type phase struct {
	name string
	from time.Time
}

// Outage measures service while the store is down, and while all entry
// instances are replaced one after another during that time.
func Outage(ctx context.Context, w io.Writer, binDir string, length time.Duration) error {
	c, err := StartServing(ctx, cluster.DefaultConfig(binDir))
	if err != nil {
		return err
	}
	defer c.Close()
	traffic := newOpenLoad(c, 60, 10)
	traffic.tickets = 10
	done := traffic.start(ctx, 2*outageCalm+length)
	phases, err := runOutage(ctx, c, length)
	done()
	if err != nil {
		return err
	}
	return reportOutage(ctx, w, c, traffic, phases)
}

// runOutage switches the store off and on, and replaces the entry instances in
// between.
func runOutage(ctx context.Context, c *cluster.Cluster, length time.Duration) ([]phase, error) {
	phases := []phase{{"store up", time.Now()}}
	if err := sleep(ctx, outageCalm); err != nil {
		return nil, err
	}
	if err := c.SetFaults(standin.Faults{Outage: true}); err != nil {
		return nil, err
	}
	end := time.Now().Add(length)
	phases = append(phases, phase{"store down", time.Now()})
	if err := sleep(ctx, outageReplace); err != nil {
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

// replaceEntry ends an entry instance gracefully and starts a new one at its
// address.
func replaceEntry(ctx context.Context, c *cluster.Cluster, e *cluster.Entry) error {
	e.Stop()
	if err := c.StartEntry(e); err != nil {
		return err
	}
	if err := sleep(ctx, outageReplacePause); err != nil {
		return err
	}
	return errors.Wrapf(c.WaitReady(ctx), "replace %s", e.Instance)
}

func reportOutage(ctx context.Context, w io.Writer, c *cluster.Cluster, traffic *openLoad, phases []phase) error {
	for i, p := range phases {
		var part []sample
		for _, s := range traffic.samples {
			after := i+1 < len(phases) && !s.result.Start.Before(phases[i+1].from)
			if !s.result.Start.Before(p.from) && !after {
				part = append(part, s)
			}
		}
		_, _ = fmt.Fprintf(w, "%s, from %s\n", p.name, p.from.Sub(traffic.begin).Round(100*time.Millisecond))
		if err := summarise(part).print(w); err != nil {
			return err
		}
	}
	return judgeOutcomes(ctx, w, c, traffic)
}

// judgeOutcomes prints what became of the orders and of the promises. It fails
// when an outcome is wrong.
func judgeOutcomes(ctx context.Context, w io.Writer, c *cluster.Cluster, traffic *openLoad) error {
	summary := traffic.summary()
	runs, err := c.OrderRuns()
	if err != nil {
		return err
	}
	summary.countOrders(traffic.answeredOrders(), runs)
	violations, err := judge(ctx, w, c, traffic)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(w, "answered orders %d, lost %d, doubled %d\n", summary.orders, summary.lost, summary.doubled)
	if violations > 0 || summary.wrong() {
		return errors.New("an outcome is wrong")
	}
	return nil
}

// answeredOrders returns the orders whose callers have an answer.
func (t *openLoad) answeredOrders() []string {
	var out []string
	for i, s := range t.samples {
		if s.kind != kindStream && s.kind != kindRepeat && s.result.Outcome == load.Answered {
			out = append(out, t.callers[i].Request)
		}
	}
	return out
}
