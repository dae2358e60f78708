package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/gateway"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/standin/history"
	"github.com/bulrushfall/bulrushfall/standin/orders"
)

// Lengths of the phases of the partition experiment.
const (
	// partitionWarm is how long credits are owned before the cut: an owner gives
	// no reserves in its first 33 s.
	partitionWarm = 40 * time.Second
	// partitionReserves is how long the reserves last.
	partitionReserves = 30 * time.Second
	// partitionRefuses is the rest of the cut.
	partitionRefuses = 12 * time.Second
	// partitionSettle is the time after the cut heals in which the credits
	// return.
	partitionSettle = 5 * time.Second
	partitionAfter  = 10 * time.Second
	// Arrivals per second at each entry instance.
	partitionStreams = 8
	partitionOrders  = 2
)

// Partition measures service on both sides while a data centre is cut off from
// the others and from the platform for longer than the reserves last. It fails
// when an outcome is wrong.
func Partition(ctx context.Context, w io.Writer, binDir string) error {
	cfg := cluster.DefaultConfig(binDir)
	cfg.Proxied = true
	c, err := StartServing(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := sleep(ctx, partitionWarm); err != nil {
		return err
	}
	traffic := newOpenLoad(c, 0, 0)
	traffic.begin = time.Now()
	done := traffic.startAtEntries(ctx, outageCalm+partitionReserves+partitionRefuses+partitionSettle+partitionAfter)
	phases, err := runPartition(ctx, c)
	done()
	if err != nil {
		return err
	}
	return reportPartition(ctx, w, c, traffic, phases)
}

func runPartition(ctx context.Context, c *cluster.Cluster) ([]phase, error) {
	var phases []phase
	for _, step := range []struct {
		name   string
		before func()
		length time.Duration
	}{
		{"whole", func() {}, outageCalm},
		{"cut off, reserves", func() { c.CutDataCentre(c.Entries[0].DataCentre) }, partitionReserves},
		{"cut off, reserves ended", func() {}, partitionRefuses},
		{"healed, first 5 s", func() { c.Proxy.SetPartitions() }, partitionSettle},
		{"healed", func() {}, partitionAfter},
	} {
		step.before()
		phases = append(phases, phase{step.name, time.Now()})
		if err := sleep(ctx, step.length); err != nil {
			return nil, err
		}
	}
	return phases, nil
}

// startAtEntries sends streams and orders to each entry instance for a time,
// whatever the lookup answers. The returned function waits for the last answer.
func (t *openLoad) startAtEntries(ctx context.Context, length time.Duration) func() {
	ctx, cancel := context.WithTimeout(ctx, length)
	for i, e := range t.cluster.Entries {
		client := t.clients[i%loadAccounts]
		for _, part := range []struct {
			rate float64
			send func(n int)
		}{
			{partitionStreams, func(n int) { t.streamAt(client, e, n) }},
			{partitionOrders, func(n int) { t.orderAt(client, e, n) }},
		} {
			t.wg.Add(1)
			go func() {
				defer t.wg.Done()
				t.arrive(ctx, part.rate, part.send)
			}()
		}
	}
	return func() {
		t.wg.Wait()
		cancel()
		for _, c := range t.clients {
			c.Close()
		}
	}
}

func (t *openLoad) streamAt(c *load.Caller, e *cluster.Entry, n int) {
	req := engine.CompletionRequest{
		Model: cluster.ModelService, Prompt: fmt.Sprintf("request %d at %s", n, e.Instance), MaxTokens: loadTokens,
	}
	t.add(kindStream, history.PromptRequestName(req.Prompt), c.StreamAt(context.Background(), e.Callers, req, loadDeadline))
}

func (t *openLoad) orderAt(c *load.Caller, e *cluster.Entry, n int) {
	id := fmt.Sprintf("order-%d-%s", n, e.Instance)
	body, err := json.Marshal(orders.Order{ID: id, Item: "cup", Quantity: 1})
	if err != nil {
		return
	}
	first := load.Header{Name: gateway.HeaderFirstCall, Value: "true"}
	t.add(kindOrder, id, c.Order(context.Background(), e.Callers, ordersPath, id, body, first))
}

// reportPartition prints one row per phase, side and kind of request.
func reportPartition(ctx context.Context, w io.Writer, c *cluster.Cluster, traffic *openLoad, phases []phase) error {
	cutOff := make(map[string]bool)
	for _, e := range c.Entries {
		cutOff[e.Callers] = e.DataCentre == c.Entries[0].DataCentre
	}
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "phase\tside\trequests\tanswered\tlate\tnot-run\tunknown\tfailed\tlongest refusal\tfirst token 95th\t")
	for i, p := range phases {
		for _, side := range []bool{false, true} {
			for _, k := range []kind{kindStream, kindOrder} {
				var part []sample
				longest := time.Duration(0)
				for _, s := range traffic.samples {
					after := i+1 < len(phases) && !s.result.Start.Before(phases[i+1].from)
					if s.kind != k || cutOff[s.result.Entry] != side || s.result.Start.Before(p.from) || after {
						continue
					}
					part = append(part, s)
					if s.result.Outcome == load.NotRun {
						longest = max(longest, s.result.Duration)
					}
				}
				sum := summarise(part)
				n := sum.counts[k]
				_, _ = fmt.Fprintf(table, "%s\t%s\t%s\t%d\t%d\t%d\t%d\t%d\t%s\t%s\t\n", p.name, sideName(side), k,
					n[load.Answered], n[load.Late], n[load.NotRun], n[load.Unknown], n[load.Cut]+n[load.Wrong]+n[load.Failed],
					longest.Round(time.Millisecond), latencyQuantile(sum.firstTokens, 0.95))
			}
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	return judgeOutcomes(ctx, w, c, traffic)
}

func sideName(cutOff bool) string {
	if cutOff {
		return "cut off"
	}
	return "others"
}
