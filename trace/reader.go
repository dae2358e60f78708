package trace

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"

	"github.com/pkg/errors"
)

// maxLineBytes is the maximum length of one line of a trace.
const maxLineBytes = 1 << 20

// FormatError reports a line that does not follow the format.
type FormatError struct {
	Line    int
	Field   string
	Problem string
	Remedy  string
}

// Error returns the line, the field, the problem and the remedy.
func (e *FormatError) Error() string {
	field := ""
	if e.Field != "" {
		field = ", field " + e.Field
	}
	return fmt.Sprintf("trace line %d%s: %s: %s", e.Line, field, e.Problem, e.Remedy)
}

// Reader reads the events of a trace one at a time.
type Reader struct {
	Header     Header
	scanner    *bufio.Scanner
	line       int
	lastMicros int64
}

// NewReader reads and checks the header of a trace and returns a reader of its
// events.
func NewReader(r io.Reader) (*Reader, error) {
	t := &Reader{scanner: bufio.NewScanner(r)}
	t.scanner.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	b, err := t.nextLine()
	if errors.Is(err, io.EOF) {
		return nil, &FormatError{Line: 1, Problem: "the trace is empty", Remedy: "start it with a header line"}
	}
	if err != nil {
		return nil, err
	}
	if err := t.decode(b, &t.Header); err != nil {
		return nil, err
	}
	return t, t.checkHeader()
}

func (t *Reader) checkHeader() error {
	h := &t.Header
	switch {
	case h.Format != Format:
		return t.formatError("format", fmt.Sprintf("is %q", h.Format), fmt.Sprintf("write %q: the first line is the header", Format))
	case h.Version != Version:
		return t.formatError("version", fmt.Sprintf("is %d", h.Version), fmt.Sprintf("this reader supports version %d: convert or record the trace again", Version))
	case h.TickMicros < 0:
		return t.formatError("tick_us", "is negative", "write 0 for no ticks")
	}
	return nil
}

func (t *Reader) formatError(field, problem, remedy string) error {
	return &FormatError{Line: t.line, Field: field, Problem: problem, Remedy: remedy}
}

// nextLine returns the next line that is not blank.
func (t *Reader) nextLine() ([]byte, error) {
	for t.scanner.Scan() {
		t.line++
		if b := bytes.TrimSpace(t.scanner.Bytes()); len(b) > 0 {
			return b, nil
		}
	}
	if err := t.scanner.Err(); err != nil {
		t.line++
		if errors.Is(err, bufio.ErrTooLong) {
			return nil, t.formatError("", fmt.Sprintf("is longer than %d bytes", maxLineBytes), "shorten its lists")
		}
		return nil, errors.Wrapf(err, "read trace line %d", t.line)
	}
	return nil, io.EOF
}

// decode parses one JSON object. Unknown fields are an error.
func (t *Reader) decode(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.More() {
		return t.formatError("", "holds more than one value", "write one JSON object a line")
	}
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typeErr):
		return t.formatError(typeErr.Field, fmt.Sprintf("is a %s", typeErr.Value), fmt.Sprintf("write a %s", typeErr.Type))
	default:
		return t.formatError("", err.Error(), "write one JSON object a line with the fields of docs/trace-format.md")
	}
}

// Next returns the next event, or io.EOF at the end of the trace.
func (t *Reader) Next() (*Event, error) {
	b, err := t.nextLine()
	if err != nil {
		return nil, err
	}
	e := &Event{}
	if err := t.decode(b, e); err != nil {
		return nil, err
	}
	if e.AtMicros < t.lastMicros {
		return nil, t.formatError("at_us", fmt.Sprintf("%d is before the previous event at %d", e.AtMicros, t.lastMicros), "sort the trace by time")
	}
	t.lastMicros = e.AtMicros
	return e, t.checkPayload(e)
}

// checkPayload requires exactly the payload that belongs to the kind.
func (t *Reader) checkPayload(e *Event) error {
	knownKind := false
	for _, p := range e.payloads() {
		expected := slices.Contains(p.kinds, e.Kind)
		knownKind = knownKind || expected
		switch {
		case expected && !p.present:
			return t.formatError(p.field, "is missing", fmt.Sprintf("an event of kind %s carries it", e.Kind))
		case !expected && p.present:
			return t.formatError(p.field, "does not belong to this kind", fmt.Sprintf("remove it or change the kind %q", e.Kind))
		}
	}
	if !knownKind {
		return t.formatError("kind", fmt.Sprintf("%q is unknown", e.Kind), "use a kind of docs/trace-format.md")
	}
	return nil
}
