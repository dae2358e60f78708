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
	sub.Float64(&cfg.Streams, "", "streams", "streams per second")
	sub.Float64(&cfg.Orders, "", "orders", "orders per second")
	sub.String(&cfg.PlotFile, "", "plot", "file of the plot")
	return runner{sub: sub, run: func(ctx context.Context, binDir string) error {
		return experiment.Move(ctx, os.Stdout, binDir, cfg)
	}}
}

func idleRunner() runner {
	sub := flaggy.NewSubcommand("idle")
	sub.Description = "processor time, memory and store use of control without requests"
	return runner{sub: sub, run: func(ctx context.Context, binDir string) error {
		return experiment.Idle(ctx, os.Stdout, binDir)
	}}
}

func outageRunner() runner {
	length := experiment.DefaultOutage
	sub := flaggy.NewSubcommand("outage")
	sub.Description = "service while the store is down and all entry instances are replaced"
	sub.Duration(&length, "", "length", "length of the outage")
	return runner{sub: sub, run: func(ctx context.Context, binDir string) error {
		return experiment.Outage(ctx, os.Stdout, binDir, length)
	}}
}

func partitionRunner() runner {
	sub := flaggy.NewSubcommand("partition")
	sub.Description = "service on both sides while a data centre is cut off for longer than the reserves last"
	return runner{sub: sub, run: func(ctx context.Context, binDir string) error {
		return experiment.Partition(ctx, os.Stdout, binDir)
	}}
}
