package main

import (
	"context"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/bulrushfall/bulrushfall/experiment"
)

// inProcessSubcommand returns a subcommand for an experiment that starts no processes.
func inProcessSubcommand(name, description string, run func(w io.Writer) error) subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return subcommand{sub: sub, run: func(context.Context, string) error { return run(os.Stdout) }}
}

// multiProcessSubcommand returns a subcommand for an experiment that starts
// daemon and stand-in processes.
func multiProcessSubcommand(name, description string, run func(ctx context.Context, w io.Writer, binDir string) error) subcommand {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return subcommand{sub: sub, run: func(ctx context.Context, binDir string) error { return run(ctx, os.Stdout, binDir) }}
}

// defaultReaders is the default number of clients that stop reading their
// response.
const defaultReaders = 8000

func readersSubcommand() subcommand {
	stoppedReaders := defaultReaders
	sub := flaggy.NewSubcommand("readers")
	sub.Description = "memory held for stopped readers in one entry instance"
	sub.Int(&stoppedReaders, "n", "readers", "number of stopped readers")
	return subcommand{sub: sub, run: func(ctx context.Context, binDir string) error {
		return experiment.Readers(ctx, os.Stdout, binDir, stoppedReaders)
	}}
}

func moveSubcommand() subcommand {
	cfg := experiment.MeasuredMove()
	cfg.PlotFile, cfg.HistoryCSV = "out/move.png", "out/move.csv"
	sub := flaggy.NewSubcommand("move")
	sub.Description = "service while a data centre leaves and returns"
	sub.Float64(&cfg.StreamsPerSecond, "", "streams", "streams per second")
	sub.Float64(&cfg.OrdersPerSecond, "", "orders", "orders per second")
	sub.String(&cfg.PlotFile, "", "plot", "file of the plot")
	return subcommand{sub: sub, run: func(ctx context.Context, binDir string) error {
		return experiment.Move(ctx, os.Stdout, binDir, cfg)
	}}
}

func outageSubcommand() subcommand {
	length := experiment.DefaultOutageLength
	sub := flaggy.NewSubcommand("outage")
	sub.Description = "service while the store is down and all entry instances are replaced"
	sub.Duration(&length, "", "length", "length of the outage")
	return subcommand{sub: sub, run: func(ctx context.Context, binDir string) error {
		return experiment.Outage(ctx, os.Stdout, binDir, length)
	}}
}
