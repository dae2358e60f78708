package strictyaml

import (
	"fmt"
	"sort"
	"strings"
)

// Problem is one error in a YAML file.
type Problem struct {
	File string `json:"file"`
	// Line is 0 if the problem has no line in the file.
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"message"`
	Remedy  string `json:"remedy"`
}

// String formats the problem as file:line: field: message: remedy.
func (p Problem) String() string {
	var b strings.Builder
	b.WriteString(p.File)
	if p.Line > 0 {
		fmt.Fprintf(&b, ":%d", p.Line)
	}
	for _, s := range []string{p.Field, p.Message, p.Remedy} {
		if s != "" {
			b.WriteString(": " + s)
		}
	}
	return b.String()
}

// Error is an error that holds all problems of one file.
type Error struct {
	Problems []Problem
}

// Error returns the problems, one on each line.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Problems))
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	return strings.Join(lines, "\n")
}

// Report collects the problems of one file.
type Report struct {
	File     string
	index    Index
	problems []Problem
}

// Add adds a problem at a field.
func (r *Report) Add(field, message, remedy string) {
	r.AddAt(r.index.Line(field), field, message, remedy)
}

// AddAt adds a problem at a line.
func (r *Report) AddAt(line int, field, message, remedy string) {
	r.problems = append(r.problems, Problem{
		File: r.File, Line: line, Field: field, Message: message, Remedy: remedy,
	})
}

// HasField reports whether the file sets a field.
func (r *Report) HasField(field string) bool {
	_, ok := r.index[field]
	return ok
}

// Err returns an *Error with the problems in order of their lines, or nil if
// there are none.
func (r *Report) Err() error {
	if len(r.problems) == 0 {
		return nil
	}
	sort.SliceStable(r.problems, func(i, j int) bool { return r.problems[i].Line < r.problems[j].Line })
	return &Error{Problems: r.problems}
}

// Index maps the path of a field, such as accounts[1].name, to its line.
type Index map[string]int

// Line returns the line of a field, or that of the closest enclosing field in the
// file.
func (x Index) Line(field string) int {
	for field != "" {
		if line, ok := x[field]; ok {
			return line
		}
		cut := strings.LastIndexAny(field, ".[")
		if cut < 0 {
			break
		}
		field = field[:cut]
	}
	return x[""]
}
