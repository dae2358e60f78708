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

// logged adds n events of a source, each with the greatest numbers of its size.
func logged(r *EventRelay, s EventSource, first uint64, n int) {
	var events []engine.CacheEvent
	for i := range n {
		events = append(events, engine.CacheEvent{
			Sequence: first + uint64(i), Group: s.Group, Prefix: 1<<64 - 1, Tokens: 1 << 30, Evicted: true,
		})
	}
	r.AppendEvents(s, events)
}

// TestRelayBytes guards against answers above the bound, and against events that
// an answer left out and that the next ones do not bring.
func TestRelayBytes(t *testing.T) {
	owner, follower := NewEventRelay(), NewEventRelay()
	follower.ApplyEventResponse(0, 1, follower.NextEventRequest(), owner.EventResponse(0, 5, follower.NextEventRequest()))
	for i := range 50 {
		logged(owner, relaySource(i), 1<<40, 20)
	}
	got, answers := 0, 0
	for sent := time.Duration(2); ; sent++ {
		a := owner.EventResponse(0, 5, follower.NextEventRequest())
		b, err := msgpack.Marshal(a.Batches)
		assert.NilError(t, err)
		assert.Assert(t, len(b) <= relayBytes, "%d bytes", len(b))
		batches := follower.ApplyEventResponse(0, sent, follower.NextEventRequest(), a)
		if len(batches) == 0 {
			break
		}
		answers++
		for _, batch := range batches {
			got += len(batch.Events)
		}
	}
	assert.Equal(t, got, 1000)
	assert.Assert(t, answers < 25, "%d answers: less than 40 events each", answers)
}

// TestRelayGap guards against a log that grows without bound, and against
// events that it drops without a gap in the numbers that followers see.
func TestRelayGap(t *testing.T) {
	owner, follower := NewEventRelay(), NewEventRelay()
	follower.ApplyEventResponse(0, 1, follower.NextEventRequest(), owner.EventResponse(0, 5, follower.NextEventRequest()))
	quiet := relaySource(0)
	logged(owner, quiet, 1, 3)
	for i := range 4 * maxLogged {
		logged(owner, relaySource(1), uint64(i+1), 1)
	}
	assert.Assert(t, len(owner.log) <= 2*maxLogged)
	batches := follower.ApplyEventResponse(0, 2, follower.NextEventRequest(), owner.EventResponse(0, 5, follower.NextEventRequest()))
	assert.Equal(t, batches[0].Source, quiet)
	assert.Equal(t, len(batches[0].Events), 1)
	assert.Equal(t, batches[0].Events[0].Sequence, uint64(3), "the last event of a group shows that earlier ones are missing")
	assert.Assert(t, batches[1].Events[0].Sequence > 1)
}

// TestRelayCover guards against events that neither the owner passes on nor an
// own read brings, against an owner whose reads are stale, and against answers
// that are applied twice.
func TestRelayCover(t *testing.T) {
	const s = time.Second
	owner, follower := NewEventRelay(), NewEventRelay()
	logged(owner, relaySource(0), 1, 1)
	owner.RecordRead(10*s, nil)
	ask := follower.NextEventRequest()
	answer := owner.EventResponse(10*s, 5, ask)
	assert.Equal(t, len(follower.ApplyEventResponse(10*s, 10*s, ask, answer)), 0)
	follower.RecordRead(10*s-1, nil)
	assert.Assert(t, !follower.ReplacesOwnReads(10*s), "events of before the follower joined were not read")
	follower.RecordRead(10*s, nil)
	assert.Assert(t, follower.ReplacesOwnReads(10*s))
	assert.Assert(t, !follower.ReplacesOwnReads(10*s+relayFresh))

	logged(owner, relaySource(0), 2, 1)
	ask = follower.NextEventRequest()
	answer = owner.EventResponse(12*s, 5, ask)
	assert.Equal(t, len(follower.ApplyEventResponse(12*s, 12*s, ask, answer)), 1)
	assert.Equal(t, len(follower.ApplyEventResponse(12*s, 12*s, ask, answer)), 0)
	assert.Assert(t, follower.ReplacesOwnReads(12*s))
	assert.Assert(t, !follower.ReplacesOwnReads(12*s+relayFresh-1), "the owner read 2.5 s ago")

	next := NewEventRelay()
	logged(next, relaySource(0), 9, 1)
	next.RecordRead(13*s, nil)
	ask = follower.NextEventRequest()
	follower.ApplyEventResponse(13*s, 13*s, ask, next.EventResponse(13*s, 6, ask))
	assert.Assert(t, !follower.ReplacesOwnReads(13*s), "the log of another owner begins elsewhere")
	follower.RecordRead(13*s, nil)
	assert.Assert(t, follower.ReplacesOwnReads(13*s))
}
