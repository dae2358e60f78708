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
	// partitionWarmup is the time from the start of the owners of credits to the cut. An
	// owner grants no reserves in its first 33 s.
	partitionWarmup = 40 * time.Second
	// partitionReserveTime is how long reserves last after the cut.
	partitionReserveTime = 30 * time.Second
	// partitionRefusalTime is the rest of the cut, after the reserves.
	partitionRefusalTime = 12 * time.Second
	// partitionSettleTime is the time after the end of the cut in which the credits
	// return.
	partitionSettleTime = 5 * time.Second
	partitionHealedTime = 10 * time.Second
	// Requests per second to each entry instance.
	partitionStreams = 8
	partitionOrders  = 2
)

// Partition measures service on both sides while a data centre is cut off from the
// others and from the platform for longer than reserves last. It returns an error if an
// outcome is wrong or a guarantee is violated.
func Partition(ctx context.Context, w io.Writer, binDir string) error {
	cfg := cluster.DefaultConfig(binDir)
	cfg.UseFaultProxy = true
	c, err := StartServing(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	if err := sleep(ctx, partitionWarmup); err != nil {
		return err
	}
	traffic := newOpenLoad(c, 0, 0)
	traffic.startedAt = time.Now()
	wait := traffic.startPerEntry(ctx, outageStoreUpTime+partitionReserveTime+partitionRefusalTime+partitionSettleTime+partitionHealedTime)
	phases, err := runPartition(ctx, c)
	wait()
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
		{"whole", func() {}, outageStoreUpTime},
		{"cut off, reserves", func() { c.IsolateDataCentre(c.Entries[0].DataCentre) }, partitionReserveTime},
		{"cut off, reserves ended", func() {}, partitionRefusalTime},
		{"healed, first 5 s", func() { c.Proxy.SetPartitions() }, partitionSettleTime},
		{"healed", func() {}, partitionHealedTime},
	} {
		step.before()
		phases = append(phases, phase{step.name, time.Now()})
		if err := sleep(ctx, step.length); err != nil {
			return nil, err
		}
	}
	return phases, nil
}

// startPerEntry sends streams and orders directly to each entry instance for a time,
// without a lookup. The returned function waits for the last answer.
func (t *openLoad) startPerEntry(ctx context.Context, length time.Duration) func() {
	ctx, cancel := context.WithTimeout(ctx, length)
	for i, e := range t.cluster.Entries {
		client := t.clients[i%loadAccounts]
		for _, part := range []struct {
			rate float64
			send func(n int)
		}{
			{partitionStreams, func(n int) { t.sendStreamTo(client, e, n) }},
			{partitionOrders, func(n int) { t.sendOrderTo(client, e, n) }},
		} {
			t.wg.Add(1)
			go func() {
				defer t.wg.Done()
				t.sendAtRate(ctx, part.rate, part.send)
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

func (t *openLoad) sendStreamTo(c *load.Caller, e *cluster.Entry, n int) {
	req := engine.CompletionRequest{
		Model: cluster.ModelService, Prompt: fmt.Sprintf("request %d at %s", n, e.Instance), MaxTokens: loadAnswerTokens,
	}
	t.record(kindStream, history.PromptRequestName(req.Prompt), c.StreamAt(context.Background(), e.CallerAddress, req, loadDeadline))
}

func (t *openLoad) sendOrderTo(c *load.Caller, e *cluster.Entry, n int) {
	id := fmt.Sprintf("order-%d-%s", n, e.Instance)
	body, err := json.Marshal(orders.Order{ID: id, Item: "cup", Quantity: 1})
	if err != nil {
		return
	}
	first := load.Header{Name: gateway.HeaderFirstCall, Value: "true"}
	t.record(kindOrder, id, c.Order(context.Background(), e.CallerAddress, ordersPath, id, body, first))
}

// reportPartition prints one row per phase, side and kind of request, and checks the
// outcomes.
func reportPartition(ctx context.Context, w io.Writer, c *cluster.Cluster, traffic *openLoad, phases []phase) error {
	cutOff := make(map[string]bool)
	for _, e := range c.Entries {
		cutOff[e.CallerAddress] = e.DataCentre == c.Entries[0].DataCentre
	}
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "phase\tside\trequests\tanswered\tlate\tnot-run\tunknown\tfailed\tlongest refusal\tfirst token 95th\t")
	for i, p := range phases {
		for _, side := range []bool{false, true} {
			for _, k := range []requestKind{kindStream, kindOrder} {
				var part []requestSample
				longest := time.Duration(0)
				for _, s := range traffic.samples {
					after := i+1 < len(phases) && !s.result.Start.Before(phases[i+1].startTime)
					if s.kind != k || cutOff[s.result.EntryAddress] != side || s.result.Start.Before(p.startTime) || after {
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
	return checkOutcomes(ctx, w, c, traffic)
}

func sideName(cutOff bool) string {
	if cutOff {
		return "cut off"
	}
	return "others"
}
