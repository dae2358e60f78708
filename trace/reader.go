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

// maxLineBytes bounds one line of a trace.
const maxLineBytes = 1 << 20

// FormatError reports a line that does not follow the format.
type FormatError struct {
	Line    int
	Field   string
	Problem string
	Remedy  string
}

// Error names the line, the field and the remedy.
func (e *FormatError) Error() string {
	field := ""
	if e.Field != "" {
		field = ", field " + e.Field
	}
	return fmt.Sprintf("trace line %d%s: %s: %s", e.Line, field, e.Problem, e.Remedy)
}

// Reader reads a trace event by event.
type Reader struct {
	Header Header
	scan   *bufio.Scanner
	line   int
	last   int64
}

// NewReader reads the header.
func NewReader(r io.Reader) (*Reader, error) {
	t := &Reader{scan: bufio.NewScanner(r)}
	t.scan.Buffer(make([]byte, 0, 64<<10), maxLineBytes)
	b, err := t.next()
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
		return t.fail("format", fmt.Sprintf("is %q", h.Format), fmt.Sprintf("write %q: the first line is the header", Format))
	case h.Version != Version:
		return t.fail("version", fmt.Sprintf("is %d", h.Version), fmt.Sprintf("this reader knows version %d: convert or record the trace again", Version))
	case h.TickMicros < 0:
		return t.fail("tick_us", "is negative", "write 0 for no ticks")
	}
	return nil
}

func (t *Reader) fail(field, problem, remedy string) error {
	return &FormatError{Line: t.line, Field: field, Problem: problem, Remedy: remedy}
}

// next returns the next line that is not blank.
func (t *Reader) next() ([]byte, error) {
	for t.scan.Scan() {
		t.line++
		if b := bytes.TrimSpace(t.scan.Bytes()); len(b) > 0 {
			return b, nil
		}
	}
	if err := t.scan.Err(); err != nil {
		t.line++
		if errors.Is(err, bufio.ErrTooLong) {
			return nil, t.fail("", fmt.Sprintf("is longer than %d bytes", maxLineBytes), "shorten its lists")
		}
		return nil, errors.Wrapf(err, "read trace line %d", t.line)
	}
	return nil, io.EOF
}

// decode reads one JSON object strictly.
func (t *Reader) decode(b []byte, v any) error {
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	err := d.Decode(v)
	if err == nil && d.More() {
		return t.fail("", "holds more than one value", "write one JSON object a line")
	}
	var typeErr *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &typeErr):
		return t.fail(typeErr.Field, fmt.Sprintf("is a %s", typeErr.Value), fmt.Sprintf("write a %s", typeErr.Type))
	default:
		return t.fail("", err.Error(), "write one JSON object a line with the fields of docs/trace-format.md")
	}
}

// Next returns the next event, or io.EOF at the end.
func (t *Reader) Next() (*Event, error) {
	b, err := t.next()
	if err != nil {
		return nil, err
	}
	e := &Event{}
	if err := t.decode(b, e); err != nil {
		return nil, err
	}
	if e.AtMicros < t.last {
		return nil, t.fail("at_us", fmt.Sprintf("%d is before the previous event at %d", e.AtMicros, t.last), "sort the trace by time")
	}
	t.last = e.AtMicros
	return e, t.checkPayload(e)
}

// checkPayload requires exactly the payload that the kind names.
func (t *Reader) checkPayload(e *Event) error {
	known := false
	for _, p := range e.payloads() {
		wanted := slices.Contains(p.kinds, e.Kind)
		known = known || wanted
		switch {
		case wanted && !p.set:
			return t.fail(p.field, "is missing", fmt.Sprintf("an event of kind %s carries it", e.Kind))
		case !wanted && p.set:
			return t.fail(p.field, "does not belong to this kind", fmt.Sprintf("remove it or change the kind %q", e.Kind))
		}
	}
	if !known {
		return t.fail("kind", fmt.Sprintf("%q is unknown", e.Kind), "use a kind of docs/trace-format.md")
	}
	return nil
}
