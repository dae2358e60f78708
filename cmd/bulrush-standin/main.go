// Command bulrush-standin runs a stand-in of an external system on loopback
// until SIGTERM or SIGINT: the platform, a set of model engines, an order
// system, a fault-injecting proxy, or the plain HTTP relay that the daemon is
// compared with.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/integrii/flaggy"
)

// command is a subcommand: its flags and the server that it starts.
type command interface {
	flags() *flaggy.Subcommand
	start() (stop func(), err error)
}

func main() {
	flaggy.SetName("bulrush-standin")
	flaggy.SetDescription("stand-ins of outside systems on loopback addresses, for tests and the demo")
	flaggy.DefaultParser.DisableShowVersionWithVersion()
	commands := []command{newPlatformCommand(), newEngineCommand(), newOrdersCommand(), newFaultProxyCommand(), newRelayCommand()}
	subs := make([]*flaggy.Subcommand, len(commands))
	for i, c := range commands {
		subs[i] = c.flags()
		flaggy.AttachSubcommand(subs[i], 1)
	}
	flaggy.Parse()
	for i, c := range commands {
		if subs[i].Used {
			os.Exit(run(c))
		}
	}
	flaggy.ShowHelpAndExit("name a stand-in to run")
}

// run starts a stand-in, stops it on a signal and returns the exit code.
func run(c command) int {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	stop, err := c.start()
	if err != nil {
		_, _ = fmt.Fprintln(os.Stderr, err)
		return 1
	}
	<-signals
	stop()
	return 0
}

// printStatus prints a line about the state of the process to standard output.
func printStatus(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
}
