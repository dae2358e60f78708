package forward

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
)

// result is how a send to a backend server ended.
type result int

const (
	// answered means that a response head of the backend server was read.
	answered result = iota
	// notSent means that the backend server did not get the request.
	notSent
	// notRun means that the backend server says that it did not run it.
	notRun
	// unknown means that the request may have run.
	unknown
	// stalled means that the backend server sends nothing.
	stalled
	// expired means that the time of the request is over.
	expired
	// left means that the caller has left.
	left
)

// String names the result in logs.
func (r result) String() string {
	return [...]string{"answered", "not-sent", "not-run", "unknown", "stalled", "expired", "left"}[r]
}

// attempt is one send of a request to a backend server.
type attempt struct {
	c       *call
	server  *fleet.Server
	backend *Backend
	conn    *conn
	resp    *http.Response
	// patience bounds the wait for the next byte when the backend server as a
	// whole makes no progress.
	patience time.Duration
	waited   time.Duration
	stop     func() bool
	keep     bool
}

// tick is how often a waiting request looks at the time and at the progress of
// its backend server.
const tick = 100 * time.Millisecond

// send passes the request on and reads the head of the response.
func (c *call) send(s *fleet.Server, b *Backend, patience time.Duration) (*attempt, result) {
	now := c.now()
	a := &attempt{c: c, server: s, backend: b, patience: patience, waited: now}
	ctx := c.r.Context()
	b.inFlight.Add(1)
	if s.Cold(now) {
		b.countCold(now)
	}
	dialCtx, cancel := context.WithTimeout(ctx, max(time.Millisecond, c.end-now))
	defer cancel()
	conn, err := b.connect(dialCtx, s.Address, now)
	if err != nil {
		a.finish()
		if c.gone() {
			return a, left
		}
		b.failed(s.Epoch, c.now(), dialPause)
		b.complained(c.now())
		c.note("connect:" + string(s.ID) + ":" + err.Error())
		return a, notSent
	}
	a.conn = conn
	a.stop = context.AfterFunc(ctx, conn.close)
	now = c.now()
	c.tried = append(c.tried, s.ID)
	c.sent++
	c.ran++
	_ = conn.SetWriteDeadline(time.Now().Add(max(time.Millisecond, c.end-now)))
	if n, err := conn.Write(c.encode(s.ID, now)); err != nil {
		a.finish()
		switch {
		case c.gone():
			return a, left
		case n == 0 && conn.reused:
			// The server had closed the kept connection before.
			c.sent--
			c.ran--
			c.tried = c.tried[:len(c.tried)-1]
			return a, notSent
		}
		c.note("write:" + string(s.ID) + ":" + err.Error())
		return a, unknown
	}
	r := a.readHead()
	if r != answered {
		a.finish()
	}
	return a, r
}

// Pauses of a backend server after a failure.
const (
	dialPause  = 400 * time.Millisecond
	resetPause = 300 * time.Millisecond
	// stallPause is about the time in which a group is probed and repaired.
	stallPause = 1200 * time.Millisecond
)

// readHead reads the response that belongs to the request.
func (a *attempt) readHead() result {
	for range maxStrayAnswers + 1 {
		if r := a.await(); r != answered {
			return r
		}
		resp, err := a.conn.readHead(a.c.r)
		if err != nil {
			return a.broken("head", err)
		}
		if id := resp.Header.Get(a.c.h.opts.Headers.RequestID); id != "" && id != a.c.id {
			// A late answer to an earlier request on this connection.
			if _, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes)); err != nil {
				return a.broken("stray", err)
			}
			continue
		}
		a.resp = resp
		a.conn.noteIdle(resp.Header)
		a.backend.touch(a.c.now())
		return a.judge()
	}
	return a.broken("stray", errStrayAnswers)
}

// judge tells what the head of a response says about the run.
func (a *attempt) judge() result {
	h := a.resp.Header
	switch {
	case h.Get(a.c.h.opts.Headers.NotRun) != "" || a.resp.StatusCode == http.StatusMisdirectedRequest:
		a.c.note("not-run:" + string(a.server.ID) + ":" + a.resp.Status + culprit(h.Get(a.c.h.opts.Headers.FailedMember)))
		_, err := io.Copy(io.Discard, io.LimitReader(a.resp.Body, maxStrayBytes))
		a.keep = err == nil && !a.resp.Close
		a.c.ran--
		return notRun
	case a.resp.StatusCode < 200, a.resp.StatusCode/100 == 2 && h.Get(a.c.h.opts.Headers.Attestation) == "",
		h.Get("Content-Encoding") != "":
		a.c.note("garbled:" + string(a.server.ID))
		return unknown
	}
	if a.resp.StatusCode < http.StatusInternalServerError {
		a.backend.answers(a.c.now())
	}
	return answered
}

func culprit(id string) string {
	if id == "" {
		return ""
	}
	return ":at " + id
}

// await waits until the backend server sends something.
func (a *attempt) await() result {
	for {
		now := a.c.now()
		left := a.c.end - now
		if left <= 0 {
			a.c.note("expired:" + string(a.server.ID))
			return expired
		}
		err := a.conn.wait(time.Now().Add(min(tick, left)))
		if err == nil {
			a.waited = a.c.now()
			return answered
		}
		if !isTimeout(err) {
			return a.broken("read", err)
		}
		if a.disbanded() {
			a.c.note("disbanded:" + string(a.server.ID))
			return unknown
		}
		now = a.c.now()
		quiet := now - max(a.waited, time.Duration(a.backend.progress.Load()))
		if a.patience > 0 && quiet >= a.patience {
			a.c.note("stalled:" + string(a.server.ID))
			return stalled
		}
	}
}

// disbanded reports whether the group that the request was sent to has been
// formed anew or dissolved: what ran there sends nothing more.
func (a *attempt) disbanded() bool {
	if a.server.Group == "" {
		return false
	}
	s, ok := a.c.h.view.Load().servers.Get(a.server.ID)
	return ok && (s.Group != a.server.Group || s.Epoch != a.server.Epoch)
}

// broken takes note of a connection that failed while a request was under way.
func (a *attempt) broken(where string, err error) result {
	if a.c.gone() {
		return left
	}
	a.c.note(where + ":" + string(a.server.ID) + ":" + err.Error())
	a.backend.failed(a.server.Epoch, a.c.now(), resetPause)
	if a.resp == nil {
		// Answers that break off are those of a group that is formed anew, too.
		a.backend.complained(a.c.now())
	}
	return unknown
}

// finish ends the attempt. The connection is kept if the response was read whole.
func (a *attempt) finish() {
	a.backend.inFlight.Add(-1)
	if a.conn == nil {
		return
	}
	if a.stop != nil && !a.stop() {
		a.keep = false
	}
	if !a.keep || (a.resp != nil && a.resp.Close) {
		a.conn.close()
		return
	}
	a.backend.release(a.conn, a.c.now())
}
