package forward

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/httpconn"
	"github.com/bulrushfall/bulrushfall/quarantine"
)

// Parameters of streams.
const (
	// maxEventBytes limits the size of one event.
	maxEventBytes = 1 << 20
	// eventBufferSize is the initial size of the event buffer.
	eventBufferSize = 4 << 10
)

// relay is the state of one event stream to a caller. Its events can come from several
// backend servers in turn.
type relay struct {
	req         *call
	flusher     *http.ResponseController
	headersSent bool
	// lastID is the ID of the last event that the caller received, if hasLastID.
	lastID    int64
	hasLastID bool
	// firstEventDelay is the time from the request to the first event.
	firstEventDelay time.Duration
	lastWriteAt     time.Duration
	// longestPause is the longest time between two writes to the caller.
	longestPause time.Duration
}

// serveStream answers a request of a streaming route.
func (c *call) serveStream() {
	r := &relay{req: c, flusher: http.NewResponseController(c.writer)}
	if id, err := strconv.ParseInt(c.lastEventID, 10, 64); err == nil {
		r.lastID, r.hasLastID = id, true
	}
	c.serve(r)
}

func (r *relay) timeouts(s *fleet.Server, b *Backend) (progress, firstEvent time.Duration) {
	return r.req.streamTimeouts(s, b)
}

// relay relays the response of a backend server to the caller.
func (r *relay) relay(a *attempt) sendResult {
	if a.resp.StatusCode != http.StatusOK {
		return r.relayFailure(a)
	}
	return r.relayEvents(a)
}

// reportStalledGroup calls Options.OnStalledGroup with a group that stopped sending data.
func (h *Handler) reportStalledGroup(group ident.GroupID, epoch ident.Epoch) {
	if h.opts.OnStalledGroup != nil && group != "" {
		h.opts.OnStalledGroup(group, epoch)
	}
}

// noServer ends a request for which there is no further backend server.
func (r *relay) noServer(outcome pickOutcome) {
	if r.req.possibleRuns > 0 || r.headersSent {
		r.giveUp("no other backend server")
		return
	}
	r.req.refuseNoServer(outcome)
}

// refuseConvicted ends a request of which such requests crash backend servers.
func (r *relay) refuseConvicted(remaining time.Duration) {
	if r.headersSent {
		r.req.abort(reasonConvicted)
	}
	r.req.refuseConvicted(remaining)
}

// giveUp ends a request that cannot be completed.
func (r *relay) giveUp(reason string) {
	if r.headersSent {
		r.req.abort(reason)
	}
	r.req.giveUp(reason)
}

// failTimeout ends a request whose deadline has passed.
func (r *relay) failTimeout() {
	if r.headersSent {
		r.req.abort("timeout")
	}
	r.req.fail(http.StatusGatewayTimeout, "timeout")
}

// relayFailure relays an error response of a backend server to the caller, unless the
// caller's response has already begun or the request can be retried.
func (r *relay) relayFailure(a *attempt) sendResult {
	if r.headersSent {
		a.backend.recordFailure(a.req.now())
		return mayHaveRun
	}
	return r.req.relayResponse(a)
}

// relayEvents relays events from one backend server to the caller. It returns answered
// if the stream is complete.
func (r *relay) relayEvents(a *attempt) sendResult {
	for {
		if cap(a.buf)-len(a.buf) < eventBufferSize/2 && !a.growBuffer(2*cap(a.buf)+eventBufferSize) && len(a.buf) == cap(a.buf) {
			r.req.addStep("memory:" + string(a.server.ID))
			return mayHaveRun
		}
		n, err := a.conn.ReadBody(a.buf[len(a.buf):cap(a.buf)])
		a.buf = a.buf[:len(a.buf)+n]
		if n > 0 && !r.writeEvents(a, r.req.now()) {
			return mayHaveRun
		}
		switch {
		case errors.Is(err, httpconn.ErrIncomplete):
			if res := a.waitForData(); res != answered {
				return res
			}
		case err == io.EOF && !r.endsWhole(a):
			r.req.addStep("torn:" + string(a.server.ID))
			if a.conn.BodyUntilEnd() {
				a.runResult = quarantine.RunCrashed
			}
			return mayHaveRun
		case err == io.EOF:
			a.reusable = true
			r.recordComplete(a)
			return answered
		case err != nil:
			return a.recordConnFailure("stream", err)
		case len(a.buf) > maxEventBytes:
			return a.recordConnFailure("stream", errEventTooLarge)
		}
	}
}

// endsWhole reports whether a stream whose body has ended is whole. One that ends with its
// connection before any event looks like that of a backend server that has ended.
func (r *relay) endsWhole(a *attempt) bool {
	return len(a.buf) == 0 && (a.eventReceived || !a.conn.BodyUntilEnd())
}

// lateBy returns the latency goals that the stream has missed, or "".
func (r *relay) lateBy() string {
	first := r.firstEventDelay > r.req.route.LatencyGoal
	pause := r.req.route.MaxEventGap > 0 && r.longestPause > r.req.route.MaxEventGap
	switch {
	case first && pause:
		return "first event, pause"
	case first:
		return "first event"
	case pause:
		return "pause"
	}
	return ""
}

// recordComplete logs and counts a stream that was relayed to its end.
func (r *relay) recordComplete(a *attempt) {
	if !r.headersSent {
		r.writeHeaders(a)
	}
	a.backend.clearFailures()
	a.recordWhole()
	r.req.recordStreamLength(r.lastID)
	c := r.req
	now := c.now()
	late := r.lateBy() != ""
	c.countOutcome(func(m outcomeMetrics) {
		m.Answered.Inc(1)
		m.FirstByte.RecordDuration(r.firstEventDelay)
		m.Duration.RecordDuration(now - c.start)
		if late {
			m.Late.Inc(1)
		}
	})
	if late || c.sendCount > 1 {
		c.logOutcome("answered", map[string]any{
			"status": a.resp.StatusCode, "late": late, "first_ms": r.firstEventDelay.Milliseconds(),
			"pause_ms": r.longestPause.Milliseconds(), "server": a.server.ID, "group": a.server.Group, "late_by": r.lateBy(),
		})
	}
}

// writeHeaders sends the response headers of the first backend server to the caller.
func (r *relay) writeHeaders(a *attempt) {
	copyHeader(r.req.writer.Header(), a.resp)
	r.req.writer.Header().Del("Content-Length")
	r.req.writer.WriteHeader(a.resp.StatusCode)
	r.headersSent = true
	r.firstEventDelay = r.req.now() - r.req.start
	r.lastWriteAt = r.req.now()
}

// writeEvents sends the complete events in the buffer to the caller and keeps the rest.
// It returns false if an event is missing from the sequence.
func (r *relay) writeEvents(a *attempt, now time.Duration) bool {
	rest := a.buf
	wrote, progress := false, false
	defer func() {
		if progress {
			a.recordEvents(now)
			// The time that the caller took to accept the events is no silence of the
			// backend server.
			a.lastProgress = r.req.now()
		}
	}()
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		id, ok := eventID(event)
		progress = progress || ok
		if ok && r.hasLastID {
			if id <= r.lastID {
				continue // The caller has already received it.
			}
			if id != r.lastID+1 {
				r.req.addStep("gap:" + string(a.server.ID))
				return false
			}
		}
		if !r.headersSent {
			r.writeHeaders(a)
		}
		if !ok && r.req.sendCount > 1 && r.hasLastID {
			continue // Comments of a resumed run are not part of the stream.
		}
		if _, err := r.req.writer.Write(event); err != nil {
			return true // The context reports the closed connection.
		}
		wrote = true
		if ok {
			r.lastID, r.hasLastID = id, true
			r.req.eventsSent = true
			r.req.lastEventID = strconv.FormatInt(id, 10)
		}
	}
	a.buf = a.buf[:copy(a.buf, rest)]
	if wrote {
		r.req.finishSilent()
		if r.lastWriteAt != 0 {
			r.longestPause = max(r.longestPause, now-r.lastWriteAt)
		}
		r.lastWriteAt = now
		_ = r.flusher.Flush() // The context reports a closed connection.
	}
	return true
}

// eventEnd returns the length of the first complete event, or -1 if there is none.
func eventEnd(b []byte) int {
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return -1
}

// eventID returns the numeric ID of an event, and whether it has one.
func eventID(event []byte) (int64, bool) {
	for line := range bytes.Lines(event) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		return id, err == nil
	}
	return 0, false
}
