package forward

import (
	"bytes"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of streams.
const (
	// stallPatience is how long a group may send nothing at all while requests
	// of this entry instance wait there. One pass of a group that reads prompts
	// in each of its steps takes about 0.35 s.
	stallPatience = 480 * time.Millisecond
	// maxEventBytes bounds one event.
	maxEventBytes = 1 << 20
	// eventBuffer is the first size of the buffer for events.
	eventBuffer = 4 << 10
)

// relay is one answer of events that may come from several backend servers.
type relay struct {
	c       *call
	flusher *http.ResponseController
	begun   bool
	buf     []byte
	last    int64
	hasLast bool
	first   time.Duration
	recent  time.Duration
	pause   time.Duration
}

// serveStream answers a request with a series of events.
func (c *call) serveStream() {
	r := &relay{c: c, flusher: http.NewResponseController(c.w)}
	if id, err := strconv.ParseInt(c.lastEvent, 10, 64); err == nil {
		r.last, r.hasLast = id, true
	}
	for unsent := 0; ; {
		now := c.now()
		if c.end-now < minLeft {
			r.giveUp("no time left")
			return
		}
		s, b, why := c.pick(now)
		if s == nil {
			r.noServer(why)
			return
		}
		a, res := c.send(s, b, stallPatience)
		if res == answered {
			if a.resp.StatusCode != http.StatusOK {
				switch r.passFailure(a) {
				case delivered:
					return
				case elsewhere:
					continue
				}
				res = unknown
			} else {
				res = r.run(a)
			}
		}
		switch res {
		case answered:
			return
		case left:
			c.log("left", nil)
			return
		case expired:
			r.expire()
			return
		case notSent:
			unsent++
			if unsent > maxUnsent {
				r.giveUp("backend servers take no connections")
				return
			}
			continue
		case stalled:
			b.failed(s.Epoch, c.now(), stallPause)
			c.h.suspect(s.Group, s.Epoch)
		}
		if !r.again(res) {
			return
		}
	}
}

// suspect reports a group without progress.
func (h *Handler) suspect(group ident.GroupID, epoch ident.Epoch) {
	if h.opts.OnStalledGroup != nil && group != "" {
		h.opts.OnStalledGroup(group, epoch)
	}
}

// noServer ends a request for which there is no backend server.
func (r *relay) noServer(why noChoice) {
	if r.c.ran > 0 || r.begun {
		r.giveUp("no other backend server")
		return
	}
	r.c.refuseFor(why)
}

// again decides whether the request goes on at another backend server.
func (r *relay) again(res result) bool {
	if r.c.maySendAgain(res) {
		return true
	}
	r.giveUp(res.String())
	return false
}

// giveUp ends a request that cannot go on.
func (r *relay) giveUp(reason string) {
	if r.begun {
		r.c.abort(reason)
	}
	r.c.giveUp(reason)
}

// expire ends a request whose time is over.
func (r *relay) expire() {
	if r.begun {
		r.c.abort("timeout")
	}
	r.c.fail(http.StatusGatewayTimeout, "timeout")
}

// passFailure passes a backend server's failure on, unless the answer has begun or
// the request may go to another one.
func (r *relay) passFailure(a *attempt) delivery {
	if r.begun {
		a.backend.complained(a.c.now())
		a.finish()
		return damaged
	}
	return r.c.passOn(a)
}

// run relays the events of one backend server. It returns answered when the
// stream is complete.
func (r *relay) run(a *attempt) result {
	defer a.finish()
	r.buf = r.buf[:0]
	for {
		if res := a.await(); res != answered {
			return res
		}
		a.conn.setDeadline(time.Now().Add(responseHeadTime))
		if cap(r.buf)-len(r.buf) < eventBuffer/2 {
			r.buf = append(make([]byte, 0, 2*cap(r.buf)+eventBuffer), r.buf...)
		}
		n, err := a.resp.Body.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
		now := r.c.now()
		a.backend.touch(now)
		if !r.deliver(a, now) {
			return unknown
		}
		switch {
		case err == io.EOF && len(r.buf) > 0:
			r.c.note("torn:" + string(a.server.ID))
			return unknown
		case err == io.EOF:
			a.keep = a.resp.ContentLength >= 0 || len(a.resp.TransferEncoding) > 0
			r.complete(a)
			return answered
		case err != nil:
			return a.broken("stream", err)
		case len(r.buf) > maxEventBytes:
			return a.broken("stream", errEventTooLarge)
		}
	}
}

// complete ends a stream that was relayed whole.
func (r *relay) complete(a *attempt) {
	if !r.begun {
		r.begin(a)
	}
	a.backend.succeeded()
	c := r.c
	now := c.now()
	late := r.first > c.route.LatencyGoal || (c.route.MaxEventGap > 0 && r.pause > c.route.MaxEventGap)
	c.count(func(m outcomeMetrics) {
		m.Answered.Inc(1)
		m.FirstByte.RecordDuration(r.first)
		m.Duration.RecordDuration(now - c.start)
		if late {
			m.Late.Inc(1)
		}
	})
	if late || c.sent > 1 {
		c.log("answered", map[string]any{
			"status": a.resp.StatusCode, "late": late, "first_ms": r.first.Milliseconds(),
			"pause_ms": r.pause.Milliseconds(), "server": a.server.ID, "group": a.server.Group,
		})
	}
}

// begin sends the headers of the first backend server.
func (r *relay) begin(a *attempt) {
	copyHeader(r.c.w.Header(), a.resp)
	r.c.w.Header().Del("Content-Length")
	r.c.w.WriteHeader(a.resp.StatusCode)
	r.begun = true
	r.first = r.c.now() - r.c.start
	r.recent = r.c.now()
}

// deliver passes on the whole events in the buffer and keeps the rest. It
// returns false if they do not continue the stream.
func (r *relay) deliver(a *attempt, now time.Duration) bool {
	rest := r.buf
	wrote := false
	for {
		end := eventEnd(rest)
		if end < 0 {
			break
		}
		event := rest[:end]
		rest = rest[end:]
		id, ok := eventID(event)
		if ok && r.hasLast {
			if id <= r.last {
				continue // The caller has it.
			}
			if id != r.last+1 {
				r.c.note("gap:" + string(a.server.ID))
				return false
			}
		}
		if !r.begun {
			r.begin(a)
		}
		if !ok && r.c.sent > 1 && r.hasLast {
			continue // Comments of a second run are not part of the stream.
		}
		if _, err := r.c.w.Write(event); err != nil {
			return true // The caller has left; the context tells.
		}
		wrote = true
		if ok {
			r.last, r.hasLast = id, true
			r.c.lastEvent = strconv.FormatInt(id, 10)
		}
	}
	r.buf = r.buf[:copy(r.buf, rest)]
	if wrote {
		if r.recent != 0 {
			r.pause = max(r.pause, now-r.recent)
		}
		r.recent = now
		_ = r.flusher.Flush() // A caller that has left shows in the context.
	}
	return true
}

// eventEnd returns the length of the first whole event, or -1.
func eventEnd(b []byte) int {
	if i := bytes.Index(b, []byte("\n\n")); i >= 0 {
		return i + 2
	}
	if i := bytes.Index(b, []byte("\r\n\r\n")); i >= 0 {
		return i + 4
	}
	return -1
}

// eventID returns the numeric id of an event.
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
