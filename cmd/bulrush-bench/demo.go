package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/standin/orders"
)

func demoRunner() runner {
	keep := false
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "seven entry instances in three data centres with stand-ins: streams, orders, a drain"
	sub.Bool(&keep, "", "keep", "keep the processes running and print lines to try")
	return runner{sub: sub, run: func(ctx context.Context, binDir string) error {
		return runDemo(ctx, binDir, keep)
	}}
}

func runDemo(ctx context.Context, binDir string, keep bool) error {
	cfg := cluster.DefaultConfig(binDir)
	c, err := cluster.Start(ctx, cfg)
	if err != nil {
		return err
	}
	defer c.Close()
	doc, err := service.Parse([]byte(cfg.Documents[0]))
	if err != nil {
		return err
	}
	if err := c.FormGroups(ctx, doc); err != nil {
		return err
	}
	if keep {
		printLines(c)
		<-ctx.Done()
		return nil
	}
	d := &demo{cluster: c}
	return d.run(ctx)
}

// printLines prints commands to try against a running cluster.
func printLines(c *cluster.Cluster) {
	addr := c.Entries[0].Callers
	fmt.Printf("curl -s http://%s/v1/lookup\n", addr)
	fmt.Printf("curl -sN -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"prompt\":\"hello\",\"max_tokens\":20,\"stream\":true}' http://%s/v1/completions\n",
		cluster.AccountKey(0), cluster.ModelService, addr)
	fmt.Printf("curl -s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' -d '{\"id\":\"order-1\"}' http://%s/services/%s/orders\n",
		cluster.AccountKey(0), addr, cluster.OrderService)
	fmt.Println("press Ctrl-C to end")
}

// demo drives load and collects outcomes.
type demo struct {
	cluster *cluster.Cluster

	mu      sync.Mutex
	results []load.Result
	placed  []string
}

// Parameters of the demo.
const (
	demoCallers = 10
	demoSeconds = 10
	demoTokens  = 20
	demoPause   = 20 * time.Millisecond
	demoWarm    = 20 * time.Second
)

func (d *demo) run(ctx context.Context) error {
	if err := d.waitServing(ctx); err != nil {
		return err
	}
	loadCtx, stop := context.WithTimeout(ctx, demoSeconds*time.Second)
	defer stop()
	var wg sync.WaitGroup
	for i := range demoCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			d.caller(loadCtx, i)
		}()
	}
	wg.Wait()
	return d.report()
}

func (d *demo) seeds() []string {
	var out []string
	for _, e := range d.cluster.Entries {
		out = append(out, e.Callers)
	}
	return out
}

func (d *demo) waitServing(ctx context.Context) error {
	c := load.NewCaller(cluster.AccountKey(0), d.seeds())
	defer c.Close()
	return cluster.Wait(ctx, demoWarm, "a completion is answered", func() bool {
		return c.Stream(ctx, demoRequest(0, 0), time.Second).Outcome == load.Answered
	})
}

func demoRequest(caller, n int) engine.CompletionRequest {
	return engine.CompletionRequest{
		Model:     cluster.ModelService,
		Prompt:    fmt.Sprintf("caller %d asks for quote %d", caller, n),
		MaxTokens: demoTokens,
	}
}

// caller alternates streams and orders. Each order is placed twice, through two
// entry instances, under the same key.
func (d *demo) caller(ctx context.Context, i int) {
	seeds := d.seeds()
	c := load.NewCaller(cluster.AccountKey(i), seeds)
	defer c.Close()
	for n := 0; ctx.Err() == nil; n++ {
		d.add(c.Stream(context.Background(), demoRequest(i, n), time.Second))
		id := fmt.Sprintf("order-%d-%d", i, n)
		body, _ := json.Marshal(orders.Order{ID: id, Item: "cup", Quantity: 1})
		path := "/services/" + cluster.OrderService + "/orders"
		d.add(c.Order(context.Background(), seeds[n%len(seeds)], path, id, body))
		d.add(c.Order(context.Background(), seeds[(n+1)%len(seeds)], path, id, body))
		d.mu.Lock()
		d.placed = append(d.placed, id)
		d.mu.Unlock()
		time.Sleep(demoPause)
	}
}

func (d *demo) add(r load.Result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.results = append(d.results, r)
}

func (d *demo) report() error {
	counts := make(map[load.Outcome]int)
	details := make(map[string]int)
	for _, r := range d.results {
		counts[r.Outcome]++
		if r.Outcome != load.Answered {
			details[string(r.Outcome)+" "+r.Detail]++
		}
	}
	runs, err := d.cluster.OrderRuns()
	if err != nil {
		return err
	}
	lost, doubled := 0, 0
	for _, id := range d.placed {
		switch n := runs[id]; {
		case n == 0:
			lost++
		case n > 1:
			doubled++
		}
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 4, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "requests\t%d\n", len(d.results))
	for o, n := range counts {
		_, _ = fmt.Fprintf(w, "%s\t%d\n", o, n)
	}
	_, _ = fmt.Fprintf(w, "orders placed\t%d\norders lost\t%d\norders doubled\t%d\n", len(d.placed), lost, doubled)
	for k, n := range details {
		_, _ = fmt.Fprintf(w, "%s\t%d\n", k, n)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if doubled > 0 || lost > 0 || counts[load.Cut]+counts[load.Wrong]+counts[load.Failed] > 0 {
		return errors.New("an outcome is wrong")
	}
	return nil
}
