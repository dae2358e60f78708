package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// lineOverheadBytes is what a kept line costs beside its text.
const lineOverheadBytes = 32

// Recorder keeps the newest events in bounded memory. It is safe for use by
// several goroutines.
type Recorder struct {
	now func() time.Duration
	max int

	mu      sync.Mutex
	lines   [][]byte // encoded events; the first `first` ones are gone
	first   int
	bytes   int
	dropped uint64
}

// NewRecorder returns a recorder that holds at most maxBytes. now is the local
// monotonic clock.
func NewRecorder(maxBytes int, now func() time.Duration) *Recorder {
	return &Recorder{now: now, max: maxBytes}
}

// Record stamps an event with the current time and keeps it. When the memory
// is used up, the oldest events are dropped.
func (r *Recorder) Record(e Event) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.AtMicros = r.now().Microseconds()
	line, err := json.Marshal(&e)
	if err != nil {
		return errors.Wrap(err, "record event")
	}
	r.lines = append(r.lines, line)
	r.bytes += len(line) + lineOverheadBytes
	for r.bytes > r.max && r.first < len(r.lines) {
		r.bytes -= len(r.lines[r.first]) + lineOverheadBytes
		r.lines[r.first] = nil
		r.first++
		r.dropped++
	}
	if r.first > len(r.lines)/2 {
		n := copy(r.lines, r.lines[r.first:])
		clear(r.lines[n:])
		r.lines, r.first = r.lines[:n], 0
	}
	return nil
}

// Dropped returns the number of events that were dropped.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// Bytes returns the memory that the kept events hold.
func (r *Recorder) Bytes() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.bytes
}

// snapshot returns the kept events, oldest first.
func (r *Recorder) snapshot() ([]Event, uint64, error) {
	r.mu.Lock()
	lines, dropped := slices.Clone(r.lines[r.first:]), r.dropped
	r.mu.Unlock()
	events := make([]Event, len(lines))
	for i, line := range lines {
		if err := json.Unmarshal(line, &events[i]); err != nil {
			return nil, dropped, errors.Wrap(err, "decode recorded event")
		}
	}
	return events, dropped, nil
}

// Write writes the kept events as a trace whose time starts at its first event.
func (r *Recorder) Write(w io.Writer, h Header) error {
	events, dropped, err := r.snapshot()
	if err != nil {
		return err
	}
	h.Dropped = dropped
	if len(events) > 0 {
		start := events[0].AtMicros
		for i := range events {
			events[i].AtMicros -= start
		}
	}
	return Write(w, h, events)
}

// Write writes a trace.
func Write(w io.Writer, h Header, events []Event) error {
	h.Format, h.Version = Format, Version
	b := bufio.NewWriter(w)
	enc := json.NewEncoder(b)
	if err := enc.Encode(h); err != nil {
		return errors.Wrap(err, "write trace header")
	}
	for i := range events {
		if err := enc.Encode(&events[i]); err != nil {
			return errors.Wrap(err, "write trace event")
		}
	}
	return errors.Wrap(b.Flush(), "write trace")
}
