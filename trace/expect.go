package trace

import (
	"fmt"
	"io"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/pkg/errors"
)

// Expectations is the content of an expectation file: the decisions that a replay
// of one trace must yield.
type Expectations struct {
	// Trace is the file name of the trace, in the folder of the expectation file.
	Trace string `yaml:"trace"`
	// Machines are the names of the machines to replay, in order.
	Machines []string      `yaml:"machines"`
	Expect   []Expectation `yaml:"expect"`
}

// Expectation limits the number of matching decisions in a time range.
type Expectation struct {
	// Outcome describes the expected outcome to the reader.
	Outcome string `yaml:"outcome"`
	Machine string `yaml:"machine"`
	Action  string `yaml:"action"`
	// Subject matches as a prefix, Detail as a substring. Empty matches all.
	Subject string `yaml:"subject,omitempty"`
	Detail  string `yaml:"detail,omitempty"`
	// FromMicros and ToMicros are the inclusive bounds of the time range.
	// ToMicros 0 means the end of the trace.
	FromMicros int64 `yaml:"from_us,omitempty"`
	ToMicros   int64 `yaml:"to_us,omitempty"`
	AtLeast    int   `yaml:"at_least,omitempty"`
	// AtMost is the maximum count. Absent means no maximum.
	AtMost *int `yaml:"at_most,omitempty"`
}

// ParseExpectations reads an expectation file. Unknown fields are an error.
func ParseExpectations(r io.Reader) (Expectations, error) {
	var x Expectations
	b, err := io.ReadAll(r)
	if err != nil {
		return x, errors.Wrap(err, "read expectations")
	}
	if err := yaml.UnmarshalWithOptions(b, &x, yaml.Strict()); err != nil {
		return x, errors.Wrap(err, "parse expectations")
	}
	for i, e := range x.Expect {
		if e.Outcome == "" || e.Machine == "" || e.Action == "" || (e.AtLeast == 0 && e.AtMost == nil) {
			return x, errors.Errorf("expectation %d: name outcome, machine, action and at_least or at_most", i+1)
		}
	}
	if len(x.Expect) == 0 {
		return x, errors.New("expectations are empty: state at least one outcome")
	}
	return x, nil
}

// Unmet is an expectation that the decision log does not meet, with the number of
// matching decisions.
type Unmet struct {
	Expectation Expectation
	Count       int
}

// String returns the outcome, the count and the expected count.
func (u Unmet) String() string {
	bound := fmt.Sprintf("at least %d", u.Expectation.AtLeast)
	if u.Expectation.AtMost != nil {
		bound += fmt.Sprintf(" and at most %d", *u.Expectation.AtMost)
	}
	return fmt.Sprintf("%s: %d decisions %s/%s, want %s", u.Expectation.Outcome, u.Count,
		u.Expectation.Machine, u.Expectation.Action, bound)
}

func (e *Expectation) matches(d Decision) bool {
	return d.Machine == e.Machine && d.Action == e.Action &&
		strings.HasPrefix(d.Subject, e.Subject) && strings.Contains(d.Detail, e.Detail) &&
		d.AtMicros >= e.FromMicros && (e.ToMicros == 0 || d.AtMicros <= e.ToMicros)
}

// Verify returns the expectations that a list of decisions does not meet.
func (x *Expectations) Verify(decisions []Decision) []Unmet {
	var out []Unmet
	for _, e := range x.Expect {
		n := 0
		for _, d := range decisions {
			if e.matches(d) {
				n++
			}
		}
		if n < e.AtLeast || (e.AtMost != nil && n > *e.AtMost) {
			out = append(out, Unmet{Expectation: e, Count: n})
		}
	}
	return out
}
