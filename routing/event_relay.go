package routing

import (
	"sort"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// The credit owner of a service reads the cache events of the service from the
// engines and sends them to the other entry instances with its replies to group
// syncs. An entry instance reads the events itself only if the owner does not
// respond or the owner's last read is stale.
const (
	// responseTTL is how long after a request was sent its response replaces own
	// reads. It equals the validity of the owner's confirmations.
	responseTTL = 700 * time.Millisecond
	// maxReadAge is the age at which the owner's last read of all groups is stale:
	// two reads, one second apart, are missing.
	maxReadAge = 2500 * time.Millisecond
	// maxResponseBytes bounds the events of one response. At two responses a second
	// they use 4 of the 15 KB/s that control traffic may use per entry instance.
	maxResponseBytes = 2 << 10
	// maxEventBytes and maxBatchHeaderBytes are the greatest encoded sizes of an
	// event and of a batch without its events and IDs.
	maxEventBytes       = 26
	maxBatchHeaderBytes = 32
	// maxLoggedEvents bounds the log. At maxResponseBytes and two responses a
	// second, a follower receives a full log in about 15 s.
	maxLoggedEvents = 2048
)

// EventSource identifies one run of a group's leader in one epoch of the group.
type EventSource struct {
	Group  ident.GroupID     `msgpack:"g"`
	Epoch  ident.Epoch       `msgpack:"e"`
	Leader ident.Incarnation `msgpack:"l"`
}

// RelayedEvent is a cache event in a response.
type RelayedEvent struct {
	//lint:ignore U1000 an option of the encoding
	_msgpack struct{} `msgpack:",as_array"`
	Sequence uint64
	Prefix   uint64
	Tokens   int
	Evicted  bool
}

// EventBatch is a list of events of one source, in order.
type EventBatch struct {
	Source EventSource    `msgpack:"s"`
	Events []RelayedEvent `msgpack:"e"`
}

// EventRequest requests the events that the owner logged after a position. Positions
// are valid within one epoch of the owner.
type EventRequest struct {
	Epoch ident.Epoch `msgpack:"o"`
	After uint64      `msgpack:"n"`
}

// EventResponse is the response to an EventRequest. If the request names another epoch,
// the response contains the owner's position and no events.
type EventResponse struct {
	Epoch ident.Epoch `msgpack:"o"`
	Next  uint64      `msgpack:"n"`
	// Age is the time since the owner began its last complete read.
	Age     time.Duration `msgpack:"a"`
	Batches []EventBatch  `msgpack:"b,omitempty"`
}

// loggedEvent is an event with its position in the log.
type loggedEvent struct {
	position uint64
	source   EventSource
	event    RelayedEvent
}

// EventRelay distributes the cache events of one service. An owner sends events
// from its log; a follower gets them from the owner's responses. The caller
// serialises its methods.
type EventRelay struct {
	log            []loggedEvent
	position       uint64
	newestPosition map[ident.GroupID]uint64
	// lastReadAt is when the last complete own read began, if hasRead is true.
	lastReadAt time.Duration
	hasRead    bool

	// epoch and after are the owner's epoch and the position in its log up to which
	// events were received. followedSince is when this epoch was first seen.
	epoch         ident.Epoch
	after         uint64
	followedSince time.Duration
	// lastRequestSent is when the request of the last applied response was sent, and
	// ownerReadAge is the Age in that response.
	lastRequestSent, ownerReadAge time.Duration
}

// NewEventRelay returns a relay without events.
func NewEventRelay() *EventRelay {
	return &EventRelay{newestPosition: make(map[ident.GroupID]uint64)}
}

// AppendEvents adds the events of an own read to the log.
func (r *EventRelay) AppendEvents(source EventSource, events []engine.CacheEvent) {
	for _, e := range events {
		if e.Group != source.Group {
			continue
		}
		r.position++
		r.log = append(r.log, loggedEvent{r.position, source, RelayedEvent{
			Sequence: e.Sequence, Prefix: e.Prefix, Tokens: e.Tokens, Evicted: e.Evicted,
		}})
		r.newestPosition[source.Group] = r.position
	}
	if len(r.log) > 2*maxLoggedEvents {
		r.trim()
	}
}

// trim removes the oldest events. It keeps the last event of each group, so that
// its sequence number shows followers the gap.
func (r *EventRelay) trim() {
	from := len(r.log) - maxLoggedEvents
	kept := r.log[:0]
	for i, e := range r.log {
		if i >= from || r.newestPosition[e.source.Group] == e.position {
			kept = append(kept, e)
		}
	}
	clear(r.log[len(kept):])
	r.log = kept
}

// RecordRead records that a read of all groups, which began at the given time, is
// complete. The state of groups that it did not read is removed.
func (r *EventRelay) RecordRead(began time.Duration, groups map[ident.GroupID]bool) {
	r.lastReadAt, r.hasRead = began, true
	for id := range r.newestPosition {
		if !groups[id] {
			delete(r.newestPosition, id)
		}
	}
}

// EventResponse returns the owner's response to a request.
func (r *EventRelay) EventResponse(now time.Duration, epoch ident.Epoch, req EventRequest) EventResponse {
	out := EventResponse{Epoch: epoch, Next: r.position, Age: maxReadAge}
	if r.hasRead {
		out.Age = now - r.lastReadAt
	}
	if req.Epoch == epoch {
		out.Batches, out.Next = r.eventsAfter(req.After)
	}
	return out
}

// eventsAfter returns the events logged after a position, up to maxResponseBytes,
// and the position of the last one that it returns.
func (r *EventRelay) eventsAfter(after uint64) ([]EventBatch, uint64) {
	var out []EventBatch
	bytesLeft, next := maxResponseBytes, after
	for _, e := range r.log[sort.Search(len(r.log), func(i int) bool { return r.log[i].position > after }):] {
		if n := len(out); n == 0 || out[n-1].Source != e.source {
			bytesLeft -= maxBatchHeaderBytes + len(e.source.Group) + len(e.source.Leader)
			if bytesLeft < maxEventBytes {
				break
			}
			out = append(out, EventBatch{Source: e.source})
		}
		if bytesLeft -= maxEventBytes; bytesLeft < 0 {
			break
		}
		b := &out[len(out)-1]
		b.Events = append(b.Events, e.event)
		next = e.position
	}
	return out, next
}

// NextEventRequest returns the request for the next sync to the owner.
func (r *EventRelay) NextEventRequest() EventRequest {
	return EventRequest{Epoch: r.epoch, After: r.after}
}

// ApplyEventResponse applies the response to a request and returns its events. It ignores a
// response that arrives after a later one.
func (r *EventRelay) ApplyEventResponse(now, sent time.Duration, req EventRequest, resp EventResponse) []EventBatch {
	switch {
	case resp.Epoch < r.epoch || sent < r.lastRequestSent || req != r.NextEventRequest():
		return nil
	case resp.Epoch > r.epoch:
		r.followedSince = now
	}
	r.epoch, r.after = resp.Epoch, resp.Next
	r.lastRequestSent, r.ownerReadAge = sent, resp.Age
	return resp.Batches
}

// ReplacesOwnReads reports whether the owner's responses replace own reads. After a change
// of the owner one own read is needed, for the events that the owner logged before.
func (r *EventRelay) ReplacesOwnReads(now time.Duration) bool {
	return r.epoch > 0 && now-r.lastRequestSent < responseTTL && now-r.lastRequestSent+r.ownerReadAge < maxReadAge &&
		r.hasRead && r.lastReadAt >= r.followedSince
}
