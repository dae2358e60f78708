package main

import (
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/trace"
	"github.com/bulrushfall/bulrushfall/trace/machines"
)

// errExpectationsUnmet is returned if a replay did not meet its expectations.
var errExpectationsUnmet = errors.New("the replay did not meet its expectations")

func (t *tool) traceCommands(p *flaggy.Parser) []subcommand {
	g := addSubcommand(p, "trace", "recorded traces")
	replay := addNestedSubcommand(g, "replay", "replay a trace through the decision machines and print their decisions, one JSON object a line")
	replay.AddPositionalValue(&t.file, "file", 1, true, "trace (.jsonl), or expectations (.yaml) with the trace next to them")
	replay.StringSlice(&t.machineNames, "M", "machine", "decision machine to drive; repeat it for more: "+strings.Join(machines.Names(), ", "))
	replay.String(&t.expectationsFile, "x", "expect", "expectations (.yaml) for the given trace; the trace that they name is not used")
	get := addNestedSubcommand(g, "get", "print the recorded trace of the entry instance that answers")
	start := addNestedSubcommand(g, "start", "start a recording at the entry instance that answers; it discards the previous recording")
	stop := addNestedSubcommand(g, "stop", "stop the recording at the entry instance that answers; it can still be printed")
	return []subcommand{
		{replay, t.traceReplay},
		{get, t.traceGet},
		{start, func() error { return t.controlRecording((*operator.Client).StartTrace) }},
		{stop, func() error { return t.controlRecording((*operator.Client).StopTrace) }},
	}
}

// controlRecording starts or stops a recording and prints the recorder's state.
func (t *tool) controlRecording(do func(*operator.Client, context.Context) (operator.TraceStatus, error)) error {
	c, err := t.client()
	if err != nil {
		return err
	}
	s, err := do(c, t.ctx)
	if err != nil {
		return err
	}
	return t.print(s, func(w *table) {
		w.row("INSTANCE", "RECORDING", "EVENTS", "DROPPED", "BYTES", "MAX BYTES")
		w.row(s.Instance, s.Recording, s.Events, s.Dropped, s.Bytes, s.MaxBytes)
	})
}

func (t *tool) traceGet() error {
	c, err := t.client()
	if err != nil {
		return err
	}
	b, err := c.Trace(t.ctx)
	if err != nil {
		return err
	}
	_, err = t.stdout.Write(b)
	return errors.Wrap(err, "print trace")
}

// traceReplay replays a trace and prints its decisions. With expectations it
// prints only those that are not met; these name the machines, and --machine has
// no effect.
func (t *tool) traceReplay() error {
	switch {
	case t.expectationsFile != "":
		return t.verifyTrace(t.expectationsFile, func(string) string { return t.file })
	case strings.HasSuffix(t.file, ".yaml"):
		return t.verifyTrace(t.file, func(name string) string { return filepath.Join(filepath.Dir(t.file), name) })
	default:
		names := t.machineNames
		if len(names) == 0 {
			names = machines.Names()
		}
		_, err := t.replayFile(t.file, t.stdout, names)
		return err
	}
}

// verifyTrace replays a trace and compares its decisions with the expectations in
// a file. traceFile returns the path of the trace that the file names.
func (t *tool) verifyTrace(file string, traceFile func(name string) string) error {
	x, err := readExpectations(file)
	if err != nil {
		return err
	}
	decisions, err := t.replayFile(traceFile(x.Trace), io.Discard, x.Machines)
	if err != nil {
		return err
	}
	unmet := x.Verify(decisions)
	for _, u := range unmet {
		fmt.Fprintln(t.stdout, u)
	}
	if len(unmet) > 0 {
		return errExpectationsUnmet
	}
	fmt.Fprintf(t.stdout, "%s: all %d expectations are met\n", file, len(x.Expect))
	return nil
}

func (t *tool) replayFile(file string, log io.Writer, names []string) ([]trace.Decision, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open trace: name an existing, readable file")
	}
	defer func() { _ = f.Close() }()
	decisions, sum, err := machines.Replay(f, log, names...)
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	fmt.Fprintf(t.stderr, "%d events, %d ticks, %d decisions, %d differ from the recorded ones\n",
		sum.Events, sum.Ticks, sum.Decisions, sum.Differences)
	return decisions, nil
}

func readExpectations(file string) (trace.Expectations, error) {
	f, err := os.Open(file)
	if err != nil {
		return trace.Expectations{}, errors.Wrap(err, "open expectations: name an existing, readable file")
	}
	defer func() { _ = f.Close() }()
	x, err := trace.ParseExpectations(f)
	return x, errors.Wrap(err, file)
}
