// Package explain collects the log lines of several processes that explain the
// outcome of one request: the lines of the request itself and those about the
// backend servers and groups that handled it.
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
	// windowBefore and windowAfter limit the lines about servers and groups to
	// this time before the first and after the last line of the request.
	windowBefore = 5 * time.Second
	windowAfter  = 3 * time.Second
	// maxLineBytes is the maximum length of one line of a log.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Source string
	At     time.Time
	Text   string
	fields lineFields
}

// lineFields are the fields of a log line that the search uses.
type lineFields struct {
	Time    time.Time `json:"time"`
	Message string    `json:"msg"`
	Request string    `json:"request"`
	Server  string    `json:"server"`
	Group   string    `json:"group"`
	Trail   string    `json:"trail"`
	Detail  string    `json:"detail"`
}

// Log is a log to search. Source is the name under which its lines are shown.
type Log struct {
	Source string
	Reader io.Reader
}

// ErrNotFound means that no log line contains the request's ID.
var ErrNotFound = errors.New("no line names the request: it was answered in time at the first try, or its log is missing")

// Request returns the lines of a request and those of the servers and groups that
// handled it, in time order. It returns ErrNotFound when the request has no lines.
func Request(id string, logs []Log) ([]Line, error) {
	var all, own []Line
	for _, l := range logs {
		lines, err := readLines(l)
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
	names := relatedNames(own, all)
	var out []Line
	for _, l := range all {
		if l.fields.Request == id || (l.fields.Request == "" && l.mentions(names) && l.inWindow(own)) {
			out = append(out, l)
		}
	}
	slices.SortStableFunc(out, func(a, b Line) int { return a.At.Compare(b.At) })
	return out, nil
}

// readLines parses the JSON lines of a log.
func readLines(l Log) ([]Line, error) {
	var out []Line
	s := bufio.NewScanner(l.Reader)
	s.Buffer(nil, maxLineBytes)
	for s.Scan() {
		// Log collectors may prefix the JSON object with a time and a name.
		text := s.Text()
		start := strings.IndexByte(text, '{')
		if start < 0 {
			continue
		}
		line := Line{Source: l.Source, Text: text[start:]}
		if json.Unmarshal([]byte(line.Text), &line.fields) != nil {
			continue // A line of another program.
		}
		line.At = line.fields.Time
		out = append(out, line)
	}
	return out, errors.Wrapf(s.Err(), "read log %s", l.Source)
}

// serverName matches the backend servers in a trail.
var serverName = regexp.MustCompile(`[a-z-]+:([^ :]+)`)

// relatedNames returns the servers in the request's own lines and the groups that
// any line mentions together with one of these servers.
func relatedNames(own, all []Line) map[string]bool {
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

// mentions reports whether the line contains one of the server or group names.
func (l *Line) mentions(names map[string]bool) bool {
	return names[l.fields.Server] || names[l.fields.Group] || names[l.fields.Detail]
}

// inWindow reports whether the line is within the time window of the request's own
// lines.
func (l *Line) inWindow(own []Line) bool {
	first := slices.MinFunc(own, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	last := slices.MaxFunc(own, func(a, b Line) int { return cmp.Compare(a.At.UnixNano(), b.At.UnixNano()) })
	return l.At.After(first.At.Add(-windowBefore)) && l.At.Before(last.At.Add(windowAfter))
}
