package experiment

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/service"
)

// Parameters of the cold start experiment with real processes.
const (
	coldCallers      = 40
	coldAnswerTokens = 20
	coldEngineStops  = 120
	coldStopPause    = 150 * time.Millisecond
	coldSettleTime   = 5 * time.Second
)

// coldReport counts the events at callers and engines.
type coldReport struct {
	crashCommands, coldCommands, crashes, overloads, maxRunningCold, coldLimit int
	// Requests that ran on an engine when it restarted become suspects. A second
	// restart while a suspect runs alone convicts it, because a restart on command
	// cannot be distinguished from a crash that the request caused.
	cleared, convicted, refused int
	outcomes                    map[load.Outcome]int
	firstToken                  []time.Duration
}

// runColdProcesses restarts engines at random moments under load. Engines in a cold
// start crash when they get more requests than their cold limit.
func runColdProcesses(ctx context.Context, binDir string) (coldReport, error) {
	out := coldReport{outcomes: make(map[load.Outcome]int)}
	cfg := cluster.DefaultConfig(binDir)
	cfg.OrderSystems, cfg.EnginesPerDataCentre = 0, 5
	cfg.Documents = []string{cluster.ModelDocument(12, 6, 1, 10)}
	c, err := cluster.Start(ctx, cfg)
	if err != nil {
		return out, err
	}
	defer c.Close()
	doc, err := service.Parse([]byte(cfg.Documents[0]))
	if err != nil {
		return out, err
	}
	if err := c.WaitForGroups(ctx, doc); err != nil {
		return out, err
	}
	if err := waitServing(ctx, c); err != nil {
		return out, err
	}
	stop := startColdLoad(ctx, c, &out)
	err = stopEngines(ctx, c, &out)
	stop()
	if err != nil {
		return out, err
	}
	for _, e := range c.Entries {
		m, err := scrapeMetrics(e.OperatorAddress)
		if err != nil {
			return out, err
		}
		out.cleared += int(m["bulrushfall_quarantine_cleared_total"])
		out.convicted += int(m["bulrushfall_quarantine_convictions_total"])
		out.refused += int(m["bulrushfall_quarantine_refused_total"])
	}
	return out, readEngineRecords(c, &out)
}

// startColdLoad starts callers that send the next request as soon as they have an
// answer (a closed loop).
func startColdLoad(ctx context.Context, c *cluster.Cluster, out *coldReport) (stop func()) {
	ctx, cancel := context.WithCancel(ctx)
	var wg sync.WaitGroup
	var mu sync.Mutex
	for i := range coldCallers {
		wg.Add(1)
		go func() {
			defer wg.Done()
			caller := load.NewCaller(cluster.AccountKey(i%loadAccounts), callerAddresses(c))
			defer caller.Close()
			for n := 0; ctx.Err() == nil; n++ {
				req := engine.CompletionRequest{
					Model: cluster.ModelService, Prompt: fmt.Sprintf("caller %d asks %d", i, n), MaxTokens: coldAnswerTokens,
				}
				r := caller.Stream(context.Background(), req, loadDeadline)
				mu.Lock()
				out.outcomes[r.Outcome]++
				if r.FirstToken > 0 {
					out.firstToken = append(out.firstToken, r.FirstToken)
				}
				mu.Unlock()
			}
		}()
	}
	return func() {
		cancel()
		wg.Wait()
	}
}

// stopEngines crashes random engines. Every fourth command puts an engine into the
// cold state without a restart.
func stopEngines(ctx context.Context, c *cluster.Cluster, out *coldReport) error {
	instances, err := c.Instances(ctx)
	if err != nil {
		return err
	}
	var addresses []string
	for _, inst := range instances {
		if inst.Kind == infra.KindEngine {
			addresses = append(addresses, inst.Address)
		}
	}
	r := rand.New(rand.NewPCG(1, 5))
	for n := 0; out.crashCommands < coldEngineStops; n++ {
		path := "/debug/crash"
		if n%4 == 3 {
			path = "/debug/cold"
			out.coldCommands++
		} else {
			out.crashCommands++
		}
		// An engine that is already down refuses the connection.
		if resp, err := http.Post("http://"+addresses[r.IntN(len(addresses))]+path, "", nil); err == nil {
			_ = resp.Body.Close()
		} else if path == "/debug/crash" {
			out.crashCommands--
		} else {
			out.coldCommands--
		}
		pause := coldStopPause + time.Duration(r.ExpFloat64()*float64(coldStopPause))
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
	}
	time.Sleep(coldSettleTime)
	return nil
}

// readEngineRecords adds the engines' own counts of crashes and cold overloads.
func readEngineRecords(c *cluster.Cluster, out *coldReport) error {
	records, err := c.EngineRecords()
	if err != nil {
		return errors.Wrap(err, "read the records of the engines")
	}
	for _, r := range records {
		out.crashes += r.Crashes
		out.maxRunningCold, out.coldLimit = max(out.maxRunningCold, r.MaxRunningCold), r.ColdLimit
		for _, e := range r.Events {
			if strings.Contains(e.Detail, "requests in cold start") {
				out.overloads++
			}
		}
	}
	return nil
}

// print writes the report as a table, one line for each value.
func (r *coldReport) print(w io.Writer) error {
	t := newTable(w, "real processes\tvalue")
	for _, line := range []struct {
		name  string
		value int
	}{
		{"engine restarts on command", r.crashCommands},
		{"engines turned cold in place", r.coldCommands},
		{"engine deaths, all causes", r.crashes},
		{"engine deaths by cold overload", r.overloads},
		{"most requests held in a cold start", r.maxRunningCold},
		{"cold limit", r.coldLimit},
		{"suspects cleared by a run alone", r.cleared},
		{"suspects convicted by a second restart", r.convicted},
		{"attempts refused by a conviction", r.refused},
	} {
		_, _ = fmt.Fprintf(t, "%s\t%d\n", line.name, line.value)
	}
	for _, o := range []load.Outcome{load.Answered, load.Late, load.NotRun, load.Unknown, load.Cut, load.Wrong, load.Failed} {
		_, _ = fmt.Fprintf(t, "requests %s\t%d\n", o, r.outcomes[o])
	}
	_, _ = fmt.Fprintf(t, "first token p50, p95, p99 ms\t%s, %s, %s\n", formatMillis(percentile(r.firstToken, 50)),
		formatMillis(percentile(r.firstToken, 95)), formatMillis(percentile(r.firstToken, 99)))
	return t.Flush()
}
