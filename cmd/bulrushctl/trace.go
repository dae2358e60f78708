package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/trace"
	"github.com/bulrushfall/bulrushfall/trace/machines"
)

// errUnmet tells that a replay did not meet its expectations.
var errUnmet = errors.New("the replay did not meet its expectations")

func (t *tool) traceCommands(p *flaggy.Parser) []choice {
	g := group(p, "trace", "recorded traces")
	replay := leaf(g, "replay", "replay a trace through the decision machines and print their decisions, one JSON object a line")
	replay.AddPositionalValue(&t.file, "file", 1, true, "trace (.jsonl), or expectations (.yaml) with the trace next to them")
	replay.StringSlice(&t.machines, "M", "machine", "decision machine to drive; repeat it for more: "+strings.Join(machines.Names(), ", "))
	get := leaf(g, "get", "print the recorded trace of the entry instance that answers")
	return []choice{{replay, t.traceReplay}, {get, t.traceGet}}
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

// traceReplay replays a trace. With expectations it prints only those that are
// not met.
func (t *tool) traceReplay() error {
	if !strings.HasSuffix(t.file, ".yaml") {
		names := t.machines
		if len(names) == 0 {
			names = machines.Names()
		}
		_, err := t.replayFile(t.file, t.stdout, names)
		return err
	}
	x, err := readExpectations(t.file)
	if err != nil {
		return err
	}
	decisions, err := t.replayFile(filepath.Join(filepath.Dir(t.file), x.Trace), io.Discard, x.Machines)
	if err != nil {
		return err
	}
	unmet := x.Verify(decisions)
	for _, u := range unmet {
		fmt.Fprintln(t.stdout, u)
	}
	if len(unmet) > 0 {
		return errUnmet
	}
	fmt.Fprintf(t.stdout, "%s: all %d expectations are met\n", t.file, len(x.Expect))
	return nil
}

func (t *tool) replayFile(file string, log io.Writer, names []string) ([]trace.Decision, error) {
	f, err := os.Open(file)
	if err != nil {
		return nil, errors.Wrap(err, "open trace: name an existing file")
	}
	defer func() { _ = f.Close() }()
	decisions, sum, err := machines.Replay(f, log, names...)
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	fmt.Fprintf(t.stderr, "%d events, %d ticks, %d decisions\n", sum.Events, sum.Ticks, sum.Decisions)
	return decisions, nil
}

func readExpectations(file string) (trace.Expectations, error) {
	f, err := os.Open(file)
	if err != nil {
		return trace.Expectations{}, errors.Wrap(err, "open expectations: name an existing file")
	}
	defer func() { _ = f.Close() }()
	x, err := trace.ParseExpectations(f)
	return x, errors.Wrap(err, file)
}
