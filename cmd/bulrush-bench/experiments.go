package main

import (
	"context"
	"io"
	"os"

	"github.com/integrii/flaggy"

	"github.com/bulrushfall/bulrushfall/experiment"
)

// plainRunner is a subcommand for an experiment that starts no processes.
func plainRunner(name, description string, run func(w io.Writer) error) runner {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return runner{sub: sub, run: func(context.Context, string) error { return run(os.Stdout) }}
}

// processRunner is a subcommand for an experiment that starts processes.
func processRunner(name, description string, run func(ctx context.Context, w io.Writer, binDir string) error) runner {
	sub := flaggy.NewSubcommand(name)
	sub.Description = description
	return runner{sub: sub, run: func(ctx context.Context, binDir string) error { return run(ctx, os.Stdout, binDir) }}
}

// defaultReaders is the number of stopped readers in the measure.
const defaultReaders = 8000

func readersRunner() runner {
	readers := defaultReaders
	sub := flaggy.NewSubcommand("readers")
	sub.Description = "memory held for stopped readers in one entry instance"
	sub.Int(&readers, "n", "readers", "number of stopped readers")
	return runner{sub: sub, run: func(ctx context.Context, binDir string) error {
		return experiment.Readers(ctx, os.Stdout, binDir, readers)
	}}
}

func moveRunner() runner {
	cfg := experiment.MeasuredMove()
	cfg.PlotFile, cfg.HistoryCSV = "out/move.png", "out/move.csv"
	sub := flaggy.NewSubcommand("move")
	sub.Description = "service while a data centre leaves and returns"
	sub.Float64(&cfg.StreamsPerSecond, "", "streams", "streams per second")
	sub.Float64(&cfg.OrdersPerSecond, "", "orders", "orders per second")
	sub.String(&cfg.PlotFile, "", "plot", "file of the plot")
	return runner{sub: sub, run: func(ctx context.Context, binDir string) error {
		return experiment.Move(ctx, os.Stdout, binDir, cfg)
	}}
}

func outageRunner() runner {
	length := experiment.DefaultOutageLength
	sub := flaggy.NewSubcommand("outage")
	sub.Description = "service while the store is down and all entry instances are replaced"
	sub.Duration(&length, "", "length", "length of the outage")
	return runner{sub: sub, run: func(ctx context.Context, binDir string) error {
		return experiment.Outage(ctx, os.Stdout, binDir, length)
	}}
}
