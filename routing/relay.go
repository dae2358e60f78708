package routing

import (
	"sort"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Cache events are read by the credit owner of a service and passed on with the
// replies to group syncs. An entry instance reads them itself only while the
// owner does not answer, or while the owner's own reads are stale.
const (
	// relayFresh is how long after an ask was sent its answer stands in for own
	// reads. It equals the time for which confirmations from the owner do.
	relayFresh = 700 * time.Millisecond
	// relayReadAge is the age at which the owner's last round of reads is stale:
	// two rounds of a second are missing.
	relayReadAge = 2500 * time.Millisecond
	// relayBytes bounds the events of one answer. At two answers a second they
	// take 4 of the 15 KB/s that control may use per entry instance.
	relayBytes = 2 << 10
	// relayEventBytes and relayBatchBytes are the most that an event, and the
	// fixed part of a batch, take in an answer.
	relayEventBytes = 26
	relayBatchBytes = 32
	// maxLogged bounds the events that wait for followers. At relayBytes and two
	// answers a second a follower takes them over in about 15 s.
	maxLogged = 2048
)

// EventSource is one run of a group's leader in one epoch of the group.
type EventSource struct {
	Group  ident.GroupID     `msgpack:"g"`
	Epoch  ident.Epoch       `msgpack:"e"`
	Leader ident.Incarnation `msgpack:"l"`
}

// RelayedEvent is a cache event in an answer.
type RelayedEvent struct {
	//lint:ignore U1000 an option of the encoding
	_msgpack struct{} `msgpack:",as_array"`
	Sequence uint64
	Prefix   uint64
	Tokens   int
	Evicted  bool
}

// EventBatch holds events of one source in order.
type EventBatch struct {
	Source EventSource    `msgpack:"s"`
	Events []RelayedEvent `msgpack:"e"`
}

// EventRequest asks the owner for what it logged after a position. Positions compare
// within one epoch of the owner.
type EventRequest struct {
	Epoch ident.Epoch `msgpack:"o"`
	After uint64      `msgpack:"n"`
}

// EventResponse answers an ask. An ask of another epoch gets the owner's position
// and no events.
type EventResponse struct {
	Epoch ident.Epoch `msgpack:"o"`
	Next  uint64      `msgpack:"n"`
	// Age is the time since the owner began its last round of reads.
	Age     time.Duration `msgpack:"a"`
	Batches []EventBatch  `msgpack:"b,omitempty"`
}

// loggedEvent is an event with its position.
type loggedEvent struct {
	position uint64
	source   EventSource
	event    RelayedEvent
}

// EventRelay passes the cache events of one service on: as owner from its log,
// and as follower from the owner's answers. The caller serialises its methods.
type EventRelay struct {
	log      []loggedEvent
	position uint64
	newest   map[ident.GroupID]uint64
	// readAt is when the last complete round of own reads began.
	readAt  time.Duration
	hasRead bool

	// epoch and after are how far the owner's log was followed; joined is when
	// that began.
	epoch  ident.Epoch
	after  uint64
	joined time.Duration
	// sent is when the last answered ask was sent, and age the age of the owner's
	// reads in its answer.
	sent, age time.Duration
}

// NewEventRelay returns a relay without events.
func NewEventRelay() *EventRelay {
	return &EventRelay{newest: make(map[ident.GroupID]uint64)}
}

// AppendEvents adds events of an own read.
func (r *EventRelay) AppendEvents(source EventSource, events []engine.CacheEvent) {
	for _, e := range events {
		if e.Group != source.Group {
			continue
		}
		r.position++
		r.log = append(r.log, loggedEvent{r.position, source, RelayedEvent{
			Sequence: e.Sequence, Prefix: e.Prefix, Tokens: e.Tokens, Evicted: e.Evicted,
		}})
		r.newest[source.Group] = r.position
	}
	if len(r.log) > 2*maxLogged {
		r.trim()
	}
}

// trim drops the oldest events. The last one of each group stays, so that its
// sequence number shows the gap.
func (r *EventRelay) trim() {
	from := len(r.log) - maxLogged
	kept := r.log[:0]
	for i, e := range r.log {
		if i >= from || r.newest[e.source.Group] == e.position {
			kept = append(kept, e)
		}
	}
	clear(r.log[len(kept):])
	r.log = kept
}

// RecordRead notes that a round of own reads, begun at an instant, is complete. Only
// the groups that it read are remembered.
func (r *EventRelay) RecordRead(began time.Duration, groups map[ident.GroupID]bool) {
	r.readAt, r.hasRead = began, true
	for id := range r.newest {
		if !groups[id] {
			delete(r.newest, id)
		}
	}
}

// EventResponse is the owner's part.
func (r *EventRelay) EventResponse(now time.Duration, epoch ident.Epoch, ask EventRequest) EventResponse {
	out := EventResponse{Epoch: epoch, Next: r.position, Age: relayReadAge}
	if r.hasRead {
		out.Age = now - r.readAt
	}
	if ask.Epoch == epoch {
		out.Batches, out.Next = r.since(ask.After)
	}
	return out
}

// since returns what was logged after a position, as far as it fits, and the
// position that the events reach.
func (r *EventRelay) since(after uint64) ([]EventBatch, uint64) {
	var out []EventBatch
	left, next := relayBytes, after
	for _, e := range r.log[sort.Search(len(r.log), func(i int) bool { return r.log[i].position > after }):] {
		if n := len(out); n == 0 || out[n-1].Source != e.source {
			left -= relayBatchBytes + len(e.source.Group) + len(e.source.Leader)
			if left < relayEventBytes {
				break
			}
			out = append(out, EventBatch{Source: e.source})
		}
		if left -= relayEventBytes; left < 0 {
			break
		}
		b := &out[len(out)-1]
		b.Events = append(b.Events, e.event)
		next = e.position
	}
	return out, next
}

// NextEventRequest returns what the next sync asks the owner.
func (r *EventRelay) NextEventRequest() EventRequest {
	return EventRequest{Epoch: r.epoch, After: r.after}
}

// ApplyEventResponse takes the answer to an ask over and returns its new events. An answer
// that another one overtook holds nothing new.
func (r *EventRelay) ApplyEventResponse(now, sent time.Duration, ask EventRequest, a EventResponse) []EventBatch {
	switch {
	case a.Epoch < r.epoch || sent < r.sent || ask != r.NextEventRequest():
		return nil
	case a.Epoch > r.epoch:
		r.joined = now
	}
	r.epoch, r.after = a.Epoch, a.Next
	r.sent, r.age = sent, a.Age
	return a.Batches
}

// ReplacesOwnReads reports whether the owner's answers stand in for own reads. What the
// owner had logged before it was followed is read here once.
func (r *EventRelay) ReplacesOwnReads(now time.Duration) bool {
	return r.epoch > 0 && now-r.sent < relayFresh && now-r.sent+r.age < relayReadAge &&
		r.hasRead && r.readAt >= r.joined
}
