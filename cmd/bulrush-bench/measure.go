package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/experiment"
)

// measureSubcommand returns the subcommand that runs the three measurements of
// docs/design.md, which the users asked for, and prints them as one report.
func measureSubcommand() subcommand {
	file, commit, stoppedReaders := "", "unknown", defaultReaders
	sub := flaggy.NewSubcommand("measure")
	sub.Description = "the three measurements of docs/design.md: group downtime and stranded accelerators, service while a data centre moves, memory for stopped readers"
	sub.String(&file, "", "append", "file that the report is appended to")
	sub.String(&commit, "", "commit", "commit that is measured")
	sub.Int(&stoppedReaders, "n", "readers", "number of stopped readers")
	return subcommand{sub: sub, run: func(ctx context.Context, binDir string) error {
		var report bytes.Buffer
		err := measure(ctx, io.MultiWriter(os.Stdout, &report), binDir, stoppedReaders)
		if file == "" {
			return err
		}
		if appendErr := appendReport(file, commit, report.Bytes(), err); appendErr != nil {
			return appendErr
		}
		return err
	}}
}

// measure runs all three measurements, even if one fails or misses its bound.
func measure(ctx context.Context, w io.Writer, binDir string, stoppedReaders int) error {
	var failed error
	run := func(title string, fn func() error) {
		_, _ = fmt.Fprintf(w, "\n%s\n", title)
		if err := fn(); err != nil {
			_, _ = fmt.Fprintf(w, "measurement failed: %v\n", err)
			failed = errors.Wrap(err, title)
		}
	}
	move := experiment.MeasuredMove()
	move.PlotFile, move.HistoryCSV = "out/move.png", "out/move.csv"
	run("Group downtime and stranded accelerators", func() error { return experiment.Groups(w) })
	run("Service while a data centre leaves and returns", func() error { return experiment.Move(ctx, w, binDir, move) })
	run("Memory held for slow readers", func() error { return experiment.Readers(ctx, w, binDir, stoppedReaders) })
	return failed
}

// appendReport appends a report to a file, under a heading with the time, the
// commit and whether all bounds were met.
func appendReport(file, commit string, report []byte, failed error) error {
	f, err := os.OpenFile(file, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Wrap(err, "open report file")
	}
	verdict := "all bounds met"
	if failed != nil {
		verdict = "a measurement failed or missed its bound"
	}
	_, err = fmt.Fprintf(f, "\n## %s, commit %s: %s\n\n```\n%s```\n", time.Now().UTC().Format("2006-01-02 15:04 UTC"), commit, verdict, bytes.TrimLeft(report, "\n"))
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return errors.Wrap(err, "append to report file")
}
