package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

func relaySource(i int) EventSource {
	return EventSource{
		Group: ident.GroupID(fmt.Sprintf("service-%04d", i)), Epoch: 7,
		Leader: ident.Incarnation(fmt.Sprintf("4cf14f3c-9dd7-4aa1-8f2c-%012d", i)),
	}
}

// logEvents logs n events of a source. Prefix and Tokens have the greatest
// encoded size.
func logEvents(r *EventRelay, s EventSource, first uint64, n int) {
	var events []engine.CacheEvent
	for i := range n {
		events = append(events, engine.CacheEvent{
			Sequence: first + uint64(i), Group: s.Group, Prefix: 1<<64 - 1, Tokens: 1 << 30, Evicted: true,
		})
	}
	r.AppendEvents(s, events)
}

// TestRelayResponseSize guards against responses above the size limit, and against
// events that did not fit into a response and are missing in the next ones too.
func TestRelayResponseSize(t *testing.T) {
	owner, follower := NewEventRelay(), NewEventRelay()
	follower.ApplyEventResponse(0, 1, follower.NextEventRequest(), owner.EventResponse(0, 5, follower.NextEventRequest()))
	for i := range 50 {
		logEvents(owner, relaySource(i), 1<<40, 20)
	}
	got, responses := 0, 0
	for sent := time.Duration(2); ; sent++ {
		a := owner.EventResponse(0, 5, follower.NextEventRequest())
		b, err := msgpack.Marshal(a.Batches)
		assert.NilError(t, err)
		assert.Assert(t, len(b) <= maxResponseBytes, "%d bytes", len(b))
		batches := follower.ApplyEventResponse(0, sent, follower.NextEventRequest(), a)
		if len(batches) == 0 {
			break
		}
		responses++
		for _, batch := range batches {
			got += len(batch.Events)
		}
	}
	assert.Equal(t, got, 1000)
	assert.Assert(t, responses < 25, "%d responses: fewer than 40 events each", responses)
}

// TestRelayDropsLeaveGap guards against a log that grows without limit, and against
// removed events that leave no gap in the sequence numbers that followers receive.
func TestRelayDropsLeaveGap(t *testing.T) {
	owner, follower := NewEventRelay(), NewEventRelay()
	follower.ApplyEventResponse(0, 1, follower.NextEventRequest(), owner.EventResponse(0, 5, follower.NextEventRequest()))
	inactive := relaySource(0)
	logEvents(owner, inactive, 1, 3)
	for i := range 4 * maxLoggedEvents {
		logEvents(owner, relaySource(1), uint64(i+1), 1)
	}
	assert.Assert(t, len(owner.log) <= 2*maxLoggedEvents)
	batches := follower.ApplyEventResponse(0, 2, follower.NextEventRequest(), owner.EventResponse(0, 5, follower.NextEventRequest()))
	assert.Equal(t, batches[0].Source, inactive)
	assert.Equal(t, len(batches[0].Events), 1)
	assert.Equal(t, batches[0].Events[0].Sequence, uint64(3), "the last event of a group shows that earlier ones are missing")
	assert.Assert(t, batches[1].Events[0].Sequence > 1)
}

// TestRelayCoversOwnReads guards against events that a follower gets neither from the
// owner nor by an own read, against an owner whose reads are stale, and against
// responses that are applied twice.
func TestRelayCoversOwnReads(t *testing.T) {
	const s = time.Second
	owner, follower := NewEventRelay(), NewEventRelay()
	logEvents(owner, relaySource(0), 1, 1)
	owner.RecordRead(10*s, nil)
	req := follower.NextEventRequest()
	response := owner.EventResponse(10*s, 5, req)
	assert.Equal(t, len(follower.ApplyEventResponse(10*s, 10*s, req, response)), 0)
	follower.RecordRead(10*s-1, nil)
	assert.Assert(t, !follower.ReplacesOwnReads(10*s), "events from before the follower followed the owner were not read")
	follower.RecordRead(10*s, nil)
	assert.Assert(t, follower.ReplacesOwnReads(10*s))
	assert.Assert(t, !follower.ReplacesOwnReads(10*s+responseTTL))

	logEvents(owner, relaySource(0), 2, 1)
	req = follower.NextEventRequest()
	response = owner.EventResponse(12*s, 5, req)
	assert.Equal(t, len(follower.ApplyEventResponse(12*s, 12*s, req, response)), 1)
	assert.Equal(t, len(follower.ApplyEventResponse(12*s, 12*s, req, response)), 0)
	assert.Assert(t, follower.ReplacesOwnReads(12*s))
	assert.Assert(t, !follower.ReplacesOwnReads(12*s+responseTTL-1), "the last read of the owner is older than maxReadAge")

	next := NewEventRelay()
	logEvents(next, relaySource(0), 9, 1)
	next.RecordRead(13*s, nil)
	req = follower.NextEventRequest()
	follower.ApplyEventResponse(13*s, 13*s, req, next.EventResponse(13*s, 6, req))
	assert.Assert(t, !follower.ReplacesOwnReads(13*s), "the log of another owner contains other events")
	follower.RecordRead(13*s, nil)
	assert.Assert(t, follower.ReplacesOwnReads(13*s))
}
