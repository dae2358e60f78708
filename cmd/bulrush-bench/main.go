// Command bulrush-bench runs the demo, the load experiments and the measures
// against real processes on loopback.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"

	"github.com/integrii/flaggy"

	"github.com/bulrushfall/bulrushfall/experiment"
)

// runner is one subcommand.
type runner struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, binDir string) error
}

func main() {
	flaggy.SetName("bulrush-bench")
	flaggy.SetDescription("demo, load experiments and measures on loopback")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	runners := []runner{
		demoRunner(),
		measureRunner(),
		moveRunner(),
		readersRunner(),
		processRunner("idle", "processor time, memory and store use of control without requests", experiment.Idle),
		outageRunner(),
		processRunner("partition", "service on both sides while a data centre is cut off for longer than the reserves last", experiment.Partition),
		plainRunner("groups", "group downtime and stranded accelerators against a baseline planner", experiment.Groups),
		plainRunner("membership", "cost and false suspicions of membership by number of nodes", experiment.Membership),
		plainRunner("config", "spread of configuration changes and its cost", experiment.Config),
		plainRunner("routing", "routing policies on one trace in a queueing model", experiment.Routing),
		plainRunner("fairness", "one account at ten times its share, and a loss of capacity, in a model", experiment.Fairness),
		plainRunner("cold", "engines that restart at random moments, in a model and as processes", experiment.Cold),
		plainRunner("orders", "orders a second, claim latency and the cost of crashing requests", experiment.Orders),
		plainRunner("path", "speed of the path: direct, bare relay and daemon", experiment.Path),
	}
	for _, r := range runners {
		flaggy.AttachSubcommand(r.sub, 1)
	}
	flaggy.Parse()
	for _, r := range runners {
		if r.sub.Used {
			os.Exit(execute(r))
		}
	}
	flaggy.ShowHelpAndExit("name a subcommand")
}

func execute(r runner) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	binary, err := os.Executable()
	if err == nil {
		err = r.run(ctx, filepath.Dir(binary))
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
