package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Recorder keeps the newest events in bounded memory. It is safe for use by
// several goroutines.
type Recorder struct {
	now func() time.Duration

	mu      sync.Mutex
	events  []Event
	next    int
	full    bool
	dropped uint64
}

// NewRecorder returns a recorder of at most limit events. now is the local
// monotonic clock.
func NewRecorder(limit int, now func() time.Duration) *Recorder {
	return &Recorder{now: now, events: make([]Event, max(1, limit))}
}

// Record stamps an event with the current time and keeps it. The payload must
// not change afterwards.
func (r *Recorder) Record(e Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	e.AtMicros = r.now().Microseconds()
	if r.full {
		r.dropped++
	}
	r.events[r.next] = e
	r.next++
	if r.next == len(r.events) {
		r.next, r.full = 0, true
	}
}

// Dropped returns the number of events that were overwritten.
func (r *Recorder) Dropped() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.dropped
}

// snapshot returns the kept events, oldest first.
func (r *Recorder) snapshot() ([]Event, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Event
	if r.full {
		out = append(out, r.events[r.next:]...)
	}
	return append(out, r.events[:r.next]...), r.dropped
}

// Write writes the kept events as a trace whose time starts at its first event.
func (r *Recorder) Write(w io.Writer, h Header) error {
	events, dropped := r.snapshot()
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
