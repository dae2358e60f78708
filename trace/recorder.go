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
	// segmentEvents is the maximum number of events in a segment. Events are
	// dropped one segment at a time.
	segmentEvents = 256
	// segmentDivisor limits a segment to 1/16 of the memory, so that dropping the
	// oldest segment loses only a small part of the recording.
	segmentDivisor = 16
	// baseDivisor limits the state kept from dropped events to 1/2 of the memory.
	baseDivisor = 2
	// endMargin is the time for which a replay generates ticks after the last
	// event, so that the decision machines can finish the work that is in progress.
	endMargin = 15 * time.Second
)

// Recorder keeps the newest events in bounded memory while a recording runs. It
// is safe for concurrent use. A nil Recorder records nothing.
type Recorder struct {
	now func() time.Duration
	// max is the memory limit in bytes.
	max int
	// current is the running recording, or nil.
	current atomic.Pointer[recording]

	mu sync.Mutex
	// last is the running recording, or else the most recent one. It is nil until
	// the first Start.
	last       *recording
	generation uint64
}

// segment is a block of consecutive events. Events are appended only to the newest
// segment of a recording.
type segment struct {
	events []Event
	bytes  int
}

// recording holds the events of one recording.
type recording struct {
	generation uint64
	ids        atomic.Uint64

	mu         sync.Mutex
	max        int
	segments   []*segment
	bytes      int
	base       baseState
	lastMicros int64
	events     uint64
	// evicted counts the events that were dropped to make room for newer ones and
	// that base does not keep, oversized those that were too large to keep. missing
	// counts the oversized events since the last event that was kept.
	evicted, oversized, missing uint64
}

var errNoRecording = errors.New("nothing was recorded: start a recording first")

// Stats describes the content of a recorder.
type Stats struct {
	Recording bool
	// Events is the number of recorded events, Dropped how many of them are no
	// longer kept.
	Events  uint64
	Dropped uint64
	// Bytes is the memory that the kept events use, at most MaxBytes.
	Bytes    int
	MaxBytes int
}

// NewRecorder returns a recorder that uses at most maxBytes of memory. now
// reads the local monotonic clock. Nothing is recorded before Start.
func NewRecorder(maxBytes int, now func() time.Duration) *Recorder {
	return &Recorder{now: now, max: maxBytes}
}

// Start discards the previous recording and begins a new one. It returns false,
// and changes nothing, when a recording is already running.
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

// Stop ends the recording. Its events are kept until the next Start. It returns
// false when no recording is running.
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

// Recording reports whether a recording is running. Callers use it to skip building an
// event that would not be kept.
func (r *Recorder) Recording() bool { return r.running() != nil }

// Generation returns the number of the running recording, or 0 when none is
// running. A caller that records only changes must record its complete state
// first when the generation changes.
func (r *Recorder) Generation() uint64 {
	if c := r.running(); c != nil {
		return c.generation
	}
	return 0
}

// NextID returns a new request ID for the running recording, or "" when none is
// running. The ID contains no information about the caller.
func (r *Recorder) NextID() string {
	if c := r.running(); c != nil {
		return "r" + strconv.FormatUint(c.ids.Add(1), 36)
	}
	return ""
}

// Record adds an event to the running recording, with the current time as its
// timestamp. When the memory is full, the oldest events are dropped. The event's
// payload must not be modified afterwards.
func (r *Recorder) Record(e Event) {
	if c := r.running(); c != nil {
		c.add(e, r.now())
	}
}

// RecordAt is like Record, but with now as the timestamp: the time that the caller
// passed to the state machine that produced the event.
func (r *Recorder) RecordAt(now time.Duration, e Event) {
	if c := r.running(); c != nil {
		c.add(e, now)
	}
}

// add timestamps an event and appends it, or counts it as missing when it is too
// large to keep.
func (c *recording) add(e Event, at time.Duration) {
	size := e.size()
	c.mu.Lock()
	defer c.mu.Unlock()
	// Another goroutine may have read the clock later but acquired the lock
	// first; timestamps must not decrease.
	c.lastMicros = max(c.lastMicros, at.Microseconds())
	e.AtMicros = c.lastMicros
	c.events++
	if size > c.max/2 {
		c.missing++
		c.oversized++
		return
	}
	if c.missing > 0 {
		gap := Event{AtMicros: c.lastMicros, Kind: KindGap, Gap: &Gap{Dropped: c.missing}}
		c.missing = 0
		c.appendEvent(gap, gap.size())
	}
	c.appendEvent(e, size)
}

// appendEvent appends an event, then drops the oldest segments until the recording
// fits into its memory.
func (c *recording) appendEvent(e Event, size int) {
	var s *segment
	if n := len(c.segments); n > 0 {
		s = c.segments[n-1]
	}
	if s == nil || len(s.events) == segmentEvents || s.bytes+size > c.max/segmentDivisor {
		s = &segment{}
		c.segments = append(c.segments, s)
	}
	s.events = append(s.events, e)
	s.bytes += size
	c.bytes += size
	for c.bytes+c.base.bytes > c.max && len(c.segments) > 1 {
		c.dropOldestSegment()
	}
}

// dropOldestSegment removes the oldest segment and keeps the state that its events
// describe in base.
func (c *recording) dropOldestSegment() {
	s := c.segments[0]
	c.segments = slices.Delete(c.segments, 0, 1)
	c.bytes -= s.bytes
	for i := range s.events {
		c.evicted += c.base.apply(&s.events[i], c.max/baseDivisor)
	}
}

// Empty reports whether no recording was ever started.
func (r *Recorder) Empty() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.last == nil
}

// Stats returns the counts and the memory use of the running or most recent
// recording.
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
// ones. It holds the recording's lock only while it copies the slice headers, not
// the events.
func (c *recording) snapshot() ([]Event, uint64) {
	c.mu.Lock()
	lists := make([][]Event, 0, len(c.segments))
	for _, s := range c.segments {
		lists = append(lists, s.events)
	}
	evicted, oversized, missing := c.evicted, c.oversized, c.missing
	start, last := c.lastMicros, c.lastMicros
	if len(lists) > 0 {
		start = lists[0][0].AtMicros
	}
	out := c.base.eventsAt(start)
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

// Write writes the events of the running or most recent recording as a trace.
// Timestamps are relative to the first event.
func (r *Recorder) Write(w io.Writer, h Header) error {
	r.mu.Lock()
	c := r.last
	r.mu.Unlock()
	if c == nil {
		return errNoRecording
	}
	events, dropped := c.snapshot()
	h.Dropped = dropped
	if n := len(events); n > 0 {
		h.EndMicros = events[n-1].AtMicros + endMargin.Microseconds()
	}
	return Write(w, h, events)
}

// Write writes events as a trace. It sets the format and version of the header.
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
