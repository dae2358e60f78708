package main

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/integrii/flaggy"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/telemetry/explain"
)

// explainCommands returns the command that shows from collected logs how a
// request was handled.
func (t *tool) explainCommands(p *flaggy.Parser) []subcommand {
	s := addSubcommand(p, "explain", "show from logs how a request was handled: explain ID --log FILE [--log FILE ...]")
	s.AddPositionalValue(&t.name, "id", 1, true, "request id")
	s.StringSlice(&t.logFiles, "L", "log", "log of one process, one JSON object a line; repeat it for more")
	return []subcommand{{s, t.explainRequest}}
}

func (t *tool) explainRequest() error {
	if len(t.logFiles) == 0 {
		return &usageError{"no log file given: name the log files of the processes with --log FILE"}
	}
	var logs []explain.Log
	for _, name := range t.logFiles {
		f, err := os.Open(name)
		if err != nil {
			return errors.Wrap(err, "open log: name an existing, readable file")
		}
		defer func() { _ = f.Close() }()
		logs = append(logs, explain.Log{Source: filepath.Base(name), Reader: f})
	}
	lines, err := explain.Request(t.name, logs)
	if err != nil {
		return err
	}
	for _, l := range lines {
		if _, err := fmt.Fprintf(t.stdout, "%s %s %s\n", l.At.Format("15:04:05.000"), l.Source, l.Text); err != nil {
			return errors.Wrap(err, "print")
		}
	}
	return nil
}
