package trace

import (
	"bufio"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

const (
	// segmentEvents is the number of events that are dropped at a time.
	segmentEvents = 256
	// segmentShare bounds a segment to this part of the memory, so that little
	// of it is lost when the oldest one is dropped.
	segmentShare = 16
	// baseShare is the part of the memory that the state of dropped events may
	// hold.
	baseShare = 2
	// settle is how long a replay goes on after the last event: the decision
	// machines end what it began.
	settle = 15 * time.Second
)

// Recorder keeps the newest events in bounded memory while a recording runs. It
// is safe for use by several goroutines. A nil recorder never records.
type Recorder struct {
	now func() time.Duration
	max int
	// current is the running recording, or nil.
	current atomic.Pointer[recording]

	mu sync.Mutex
	// last is the running recording or the one that was stopped last.
	last       *recording
	generation uint64
}

// segment is a run of events. Only the newest one of a recording grows.
type segment struct {
	events []Event
	bytes  int
}

// recording is the memory of one recording.
type recording struct {
	generation uint64
	ids        atomic.Uint64

	mu       sync.Mutex
	max      int
	segments []*segment
	bytes    int
	base     base
	at       int64
	events   uint64
	// evicted events were dropped because newer ones took their place.
	// Oversized ones were too large for the memory; missing counts those since
	// the last event that was kept.
	evicted, oversized, missing uint64
}

var errNothing = errors.New("nothing was recorded: start a recording first")

// Stats tells what a recorder holds.
type Stats struct {
	Recording bool
	// Events were recorded, Dropped of them are gone.
	Events  uint64
	Dropped uint64
	// Bytes is the memory that the kept events hold, at most MaxBytes.
	Bytes    int
	MaxBytes int
}

// NewRecorder returns a recorder that holds at most maxBytes. now is the local
// monotonic clock. It records nothing before Start.
func NewRecorder(maxBytes int, now func() time.Duration) *Recorder {
	return &Recorder{now: now, max: maxBytes}
}

// Start begins a new recording and forgets the last one. It reports false when
// one runs already.
func (r *Recorder) Start() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.current.Load() != nil {
		return false
	}
	r.generation++
	r.last = &recording{generation: r.generation, max: r.max, base: newBase()}
	r.current.Store(r.last)
	return true
}

// Stop ends the recording. Its events stay until the next Start. It reports
// false when none runs.
func (r *Recorder) Stop() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.current.Swap(nil) != nil
}

// running returns the running recording, or nil.
func (r *Recorder) running() *recording {
	if r == nil {
		return nil
	}
	return r.current.Load()
}

// Recording reports whether a recording runs. It spares the work for an event that
// nothing would keep.
func (r *Recorder) Recording() bool { return r.running() != nil }

// Generation numbers the running recording; it is 0 when none runs. Whoever
// records only changes starts again with the whole state when it changes.
func (r *Recorder) Generation() uint64 {
	if c := r.running(); c != nil {
		return c.generation
	}
	return 0
}

// NextID returns a name for a request in the running recording, or "" when none
// runs. It says nothing about the caller.
func (r *Recorder) NextID() string {
	if c := r.running(); c != nil {
		return "r" + strconv.FormatUint(c.ids.Add(1), 36)
	}
	return ""
}

// Record keeps an event of the running recording, stamped with the current time.
// When the memory is used up, the oldest events are dropped. The event's payload
// must not change afterwards.
func (r *Recorder) Record(e Event) {
	if c := r.running(); c != nil {
		c.add(e, r.now())
	}
}

// RecordAt is Record with the time that the event's machine worked with.
func (r *Recorder) RecordAt(now time.Duration, e Event) {
	if c := r.running(); c != nil {
		c.add(e, now)
	}
}

func (c *recording) add(e Event, at time.Duration) {
	size := e.size()
	c.mu.Lock()
	defer c.mu.Unlock()
	// A goroutine may have read the clock before another one that came first.
	c.at = max(c.at, at.Microseconds())
	e.AtMicros = c.at
	c.events++
	if size > c.max/2 {
		c.missing++
		c.oversized++
		return
	}
	if c.missing > 0 {
		gap := Event{AtMicros: c.at, Kind: KindGap, Gap: &Gap{Dropped: c.missing}}
		c.missing = 0
		c.keep(gap, gap.size())
	}
	c.keep(e, size)
}

// keep appends an event and drops the oldest segments that exceed the memory.
func (c *recording) keep(e Event, size int) {
	var s *segment
	if n := len(c.segments); n > 0 {
		s = c.segments[n-1]
	}
	if s == nil || len(s.events) == segmentEvents || s.bytes+size > c.max/segmentShare {
		s = &segment{}
		c.segments = append(c.segments, s)
	}
	s.events = append(s.events, e)
	s.bytes += size
	c.bytes += size
	for c.bytes+c.base.bytes > c.max && len(c.segments) > 1 {
		c.drop()
	}
}

func (c *recording) drop() {
	s := c.segments[0]
	c.segments = slices.Delete(c.segments, 0, 1)
	c.bytes -= s.bytes
	for i := range s.events {
		c.evicted += c.base.fold(&s.events[i], c.max/baseShare)
	}
}

// Empty reports whether nothing was ever recorded.
func (r *Recorder) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last == nil
}

// Stats returns what the recorder holds.
func (r *Recorder) Stats() Stats {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := Stats{Recording: r.Recording(), MaxBytes: r.max}
	if c := r.last; c != nil {
		c.mu.Lock()
		defer c.mu.Unlock()
		s.Events, s.Dropped, s.Bytes = c.events, c.evicted+c.oversized, c.bytes+c.base.bytes
	}
	return s
}

// snapshot returns the kept events, oldest first, and the number of dropped
// ones. It holds the recording's lock while it copies the lists of events, not
// the events.
func (c *recording) snapshot() ([]Event, uint64) {
	c.mu.Lock()
	lists := make([][]Event, 0, len(c.segments))
	for _, s := range c.segments {
		lists = append(lists, s.events)
	}
	evicted, oversized, missing := c.evicted, c.oversized, c.missing
	start, last := c.at, c.at
	if len(lists) > 0 {
		start = lists[0][0].AtMicros
	}
	out := c.base.list(start)
	c.mu.Unlock()
	if evicted > 0 {
		out = append(out, Event{AtMicros: start, Kind: KindGap, Gap: &Gap{Dropped: evicted}})
	}
	out = append(out, slices.Concat(lists...)...)
	if missing > 0 {
		out = append(out, Event{AtMicros: last, Kind: KindGap, Gap: &Gap{Dropped: missing}})
	}
	for i := range out {
		out[i].AtMicros -= start
	}
	return out, evicted + oversized
}

// Write writes the events of the running recording, or of the last one, as a
// trace whose time starts at its first event.
func (r *Recorder) Write(w io.Writer, h Header) error {
	r.mu.Lock()
	c := r.last
	r.mu.Unlock()
	if c == nil {
		return errNothing
	}
	events, dropped := c.snapshot()
	h.Dropped = dropped
	if n := len(events); n > 0 {
		h.EndMicros = events[n-1].AtMicros + settle.Microseconds()
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
