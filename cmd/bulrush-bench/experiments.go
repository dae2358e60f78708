package main

import (
	"context"
	"os"

	"github.com/integrii/flaggy"

	"github.com/bulrushfall/bulrushfall/experiment"
)

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
