// Package explain finds, in the logs of several processes, the lines that tell
// what became of one request: its own, and those about the backend servers and
// groups that it met.
package explain

import (
	"bufio"
	"cmp"
	"encoding/json"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"
)

// Limits of a search.
const (
	// before and after bound the lines about servers and groups by their distance
	// from the request's own.
	before = 5 * time.Second
	after  = 3 * time.Second
	// maxLine bounds one line of a log.
	maxLine = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Source string
	At     time.Time
	Text   string
	fields lineFields
}

type lineFields struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Server  string    `json:"server"`
	Group   string    `json:"group"`
	Trail   string    `json:"trail"`
	Detail  string    `json:"detail"`
}

// Log is a log to search, with the name that its lines are shown under.
type Log struct {
	Source string
	Reader io.Reader
}

// ErrNotFound means that no log names the request.
var ErrNotFound = errors.New("no line names the request: it was answered in time at the first try, or its log is missing")

// Request collects the lines of a request and of what it met, in time order.
func Request(id string, logs []Log) ([]Line, error) {
	var all, own []Line
	for _, l := range logs {
		lines, err := read(l)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	for _, l := range all {
		if l.fields.Request == id {
			own = append(own, l)
		}
	}
	if len(own) == 0 {
		return nil, ErrNotFound
	}
	names := subjects(own, all)
	var out []Line
	for _, l := range all {
		if l.fields.Request == id || (l.fields.Request == "" && l.about(names) && l.near(own)) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out, nil
}

func read(l Log) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(l.Reader)
	s.Buffer(nil, maxLine)
	for s.Scan() {
		// Collectors may put a time and a name before the JSON object.
		text := s.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line := Line{Source: l.Source, Text: text[start:]}
		if json.Unmarshal([]byte(line.Text), &line.fields) != nil {
			continue // Lines of other programs.
		}
		line.At = line.fields.Time
		out = append(out, line)
	}
	return out, errors.Wrapf(s.Err(), "read log %s", l.Source)
}

// serverName matches the backend servers in a trail.
var serverName = regexp.MustCompile(`[a-z-]+:([^ :]+)`)

// subjects are the servers of the request's trail and the groups that lines name
// together with them.
func subjects(own, all []Line) map[string]bool {
	names := make(map[string]bool)
	for _, l := range own {
		if l.fields.Server != "" {
			names[l.fields.Server] = true
		}
		for _, m := range serverName.FindAllStringSubmatch(l.fields.Trail, -1) {
			names[m[1]] = true
		}
	}
	groups := make(map[string]bool)
	for _, l := range all {
		if l.fields.Group != "" && names[l.fields.Server] {
			groups[l.fields.Group] = true
		}
	}
	for g := range groups {
		names[g] = true
	}
	return names
}

func (l *Line) about(names map[string]bool) bool {
	return names[l.fields.Server] || names[l.fields.Group] || names[l.fields.Detail]
}

// near reports whether the line is close to the request's time.
func (l *Line) near(own []Line) bool {
	first := slices.MinFunc(own, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	last := slices.MaxFunc(own, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return l.At.After(first.At.Add(-before)) && l.At.Before(last.At.Add(after))
}
