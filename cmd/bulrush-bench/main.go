// Command bulrush-bench runs the demo, the simulations, and the load experiments
// and measurements that start real processes on loopback.
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

// subcommand is a subcommand and the function that runs it.
type subcommand struct {
	sub *flaggy.Subcommand
	run func(ctx context.Context, binDir string) error
}

func main() {
	flaggy.SetName("bulrush-bench")
	flaggy.SetDescription("demo, load experiments and measurements on loopback")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	subcommands := []subcommand{
		demoSubcommand(),
		measureSubcommand(),
		moveSubcommand(),
		readersSubcommand(),
		multiProcessSubcommand("idle", "processor time, memory and store use of the control plane without requests", experiment.Idle),
		outageSubcommand(),
		multiProcessSubcommand("partition", "service on both sides while a data centre is cut off for longer than the credit reserves last", experiment.Partition),
		inProcessSubcommand("groups", "group downtime and stranded accelerators (working, but in no group), compared with a baseline planner", experiment.Groups),
		inProcessSubcommand("membership", "cost and false suspicions of membership by number of nodes", experiment.Membership),
		inProcessSubcommand("config", "propagation time of configuration changes and its cost", experiment.Config),
		inProcessSubcommand("routing", "routing policies on one trace in a queueing model", experiment.Routing),
		inProcessSubcommand("fairness", "one account at ten times its share, and a loss of capacity, in a model", experiment.Fairness),
		inProcessSubcommand("cold", "engines that restart at random moments, in a model and as processes", experiment.Cold),
		inProcessSubcommand("orders", "orders a second, claim latency and the cost of crashing requests", experiment.Orders),
		inProcessSubcommand("path", "speed of the request path: direct, plain relay and daemon", experiment.Path),
	}
	for _, s := range subcommands {
		flaggy.AttachSubcommand(s.sub, 1)
	}
	flaggy.Parse()
	for _, s := range subcommands {
		if s.sub.Used {
			os.Exit(execute(s))
		}
	}
	flaggy.ShowHelpAndExit("name a subcommand")
}

func execute(s subcommand) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	binary, err := os.Executable()
	if err == nil {
		err = s.run(ctx, filepath.Dir(binary))
	}
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return 0
}
