package main

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/trace"
)

// Output formats.
const (
	formatTable = "table"
	formatJSON  = "json"
	formatYAML  = "yaml"
)

// Exit codes. They are part of the interface: docs/operators.md lists them.
const (
	exitOK                = 0
	exitFailure           = 1
	exitUsage             = 2
	exitInvalid           = 3
	exitConflict          = 4
	exitForbidden         = 5
	exitNotApplied        = 6
	exitOutcomeUnknown    = 7
	exitNotFound          = 8
	exitDiffers           = 9
	exitExpectationsUnmet = 10
)

const exitCodesHelp = "0 done; 1 failure; 2 usage; 3 invalid file; 4 conflict or a recording runs already; 5 wrong owner or token; " +
	"6 not applied, repeat later; 7 outcome unknown; 8 not found; 9 diff found differences; 10 replay missed an expectation"

// errDocumentsDiffer is returned if diff found differences.
var errDocumentsDiffer = errors.New("the documents differ")

// usageError is an error in the command line.
type usageError struct{ message string }

func (e *usageError) Error() string { return e.message }

// reportError prints an error, if there is one, and returns the exit code.
func (t *tool) reportError(err error) int {
	code := exitCode(err)
	if err != nil && code != exitDiffers {
		fmt.Fprintln(t.stderr, err)
		var p *operator.Problem
		if errors.As(err, &p) && p.Attempt != "" {
			fmt.Fprintf(t.stderr, "attempt: %s\n", p.Attempt)
		}
	}
	return code
}

func exitCode(err error) int {
	var (
		p       *operator.Problem
		invalid *service.Error
		usage   *usageError
		format  *trace.FormatError
	)
	switch {
	case err == nil:
		return exitOK
	case errors.As(err, &usage):
		return exitUsage
	case errors.As(err, &invalid):
		return exitInvalid
	case errors.As(err, &p):
		return problemCode(p)
	case errors.Is(err, operator.ErrUnreachable):
		return exitNotApplied
	case errors.Is(err, operator.ErrConnectionLost):
		return exitOutcomeUnknown
	case errors.Is(err, errDocumentsDiffer):
		return exitDiffers
	case errors.Is(err, errExpectationsUnmet):
		return exitExpectationsUnmet
	case errors.As(err, &format):
		return exitInvalid
	default:
		return exitFailure
	}
}

func problemCode(p *operator.Problem) int {
	switch p.Kind {
	case operator.KindInvalidDocument, operator.KindBodyTooLarge:
		return exitInvalid
	case operator.KindConflict, operator.KindTraceRunning:
		return exitConflict
	case operator.KindWrongOwner, operator.KindUnknownTeam:
		return exitForbidden
	case operator.KindStoreUnavailable, operator.KindTooManyEdits, operator.KindShuttingDown:
		return exitNotApplied
	case operator.KindOutcomeUnknown:
		return exitOutcomeUnknown
	case operator.KindUnknownService, operator.KindUnknownTarget, operator.KindNoTrace:
		return exitNotFound
	default:
		return exitFailure
	}
}

func isKind(err error, kind operator.Kind) bool {
	var p *operator.Problem
	return errors.As(err, &p) && p.Kind == kind
}

// table prints rows with aligned columns.
type table struct{ w *tabwriter.Writer }

func (t *table) row(cells ...any) {
	text := make([]string, 0, len(cells))
	for _, c := range cells {
		text = append(text, fmt.Sprint(c))
	}
	fmt.Fprintln(t.w, strings.Join(text, "\t"))
}

// print writes a value in the chosen format.
func (t *tool) print(v any, rows func(*table)) error {
	switch t.output {
	case formatJSON:
		e := json.NewEncoder(t.stdout)
		e.SetIndent("", "  ")
		return errors.Wrap(e.Encode(v), "print JSON")
	case formatYAML:
		b, err := yaml.Marshal(v)
		if err != nil {
			return errors.Wrap(err, "print YAML")
		}
		_, err = t.stdout.Write(b)
		return err
	default:
		w := &table{w: tabwriter.NewWriter(t.stdout, 0, 4, 2, ' ', 0)}
		rows(w)
		return errors.Wrap(w.w.Flush(), "print table")
	}
}

func (t *tool) printAccepted(what string, a operator.Accepted) error {
	return t.print(a, func(w *table) { w.row(what, "accepted at revision", a.Revision) })
}
