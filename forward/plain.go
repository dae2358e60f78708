package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/bulrushfall/bulrushfall/route"
)

// Parameters of plain requests.
const (
	// bufferedBody is the size up to which an answer is read whole before any
	// of it is passed on, so that a broken one can be replaced.
	bufferedBody = 256 << 10
	// patienceFactor times the goal is how long an idempotent request waits for
	// a backend server before it is sent to another one.
	patienceFactor = 2
	// minLeft is the time left below which nothing is sent any more.
	minLeft = 20 * time.Millisecond
	// maxUnsent bounds the backend servers that are tried in vain.
	maxUnsent = 4
	// maxRefused bounds the backend servers beyond the route's attempts that
	// refuse a request without running it.
	maxRefused = 2
)

// servePlain answers a request with one whole response.
func (c *call) servePlain() {
	for unsent := 0; ; {
		now := c.now()
		if c.end-now < minLeft {
			c.giveUp("no time left")
			return
		}
		s, b, why := c.pick(now)
		if s == nil {
			if c.sent > 0 {
				c.giveUp("no other backend server")
				return
			}
			c.refuseFor(why)
			return
		}
		patience := time.Duration(0)
		if c.route.Repeatable() && c.sent+1 < c.route.AttemptLimit {
			patience = patienceFactor * c.route.LatencyGoal
		}
		a, r := c.send(s, b, patience)
		switch r {
		case answered:
			switch c.passOn(a) {
			case delivered:
				return
			case elsewhere:
				continue
			}
			r = unknown
		case left:
			c.log("left", nil)
			return
		case notSent:
			unsent++
			if unsent > maxUnsent {
				c.giveUp("backend servers take no connections")
				return
			}
			continue
		case expired:
			c.fail(http.StatusGatewayTimeout, "timeout")
			return
		}
		if !c.again(r) {
			return
		}
	}
}

// again decides what follows a send without an answer. It answers the caller
// and returns false when the request is over.
func (c *call) again(r result) bool {
	if c.maySendAgain(r) {
		return true
	}
	c.giveUp(r.String())
	return false
}

// maySendAgain decides whether a request may go to another backend server, and
// takes it from the budget of repeats. Servers that say that they did not run it
// do not count toward the route's attempts.
func (c *call) maySendAgain(r result) bool {
	return (r == notRun || c.route.Repeatable()) &&
		c.ran < c.route.AttemptLimit && c.sent < c.route.AttemptLimit+maxRefused && c.mayRetry(c.now())
}

// giveUp answers a request that no backend server answered: not run if each of
// them said so.
func (c *call) giveUp(reason string) {
	if c.ran == 0 {
		c.refuse(refusal{reason: reason, after: busyRetry})
		return
	}
	c.fail(http.StatusBadGateway, reason)
}

// delivery tells what became of a response.
type delivery int

const (
	// delivered responses were passed on.
	delivered delivery = iota
	// damaged responses broke off before any of them was passed on.
	damaged
	// elsewhere asks for another backend server; the budget has paid for it.
	elsewhere
)

// passOn relays a whole response.
func (c *call) passOn(a *attempt) delivery {
	defer a.finish()
	resp := a.resp
	if resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() &&
		c.sent < c.route.AttemptLimit && c.left() > minLeft && c.mayRetry(c.now()) {
		c.note("status:" + string(a.server.ID) + ":" + resp.Status)
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxStrayBytes))
		a.keep = err == nil
		a.judgeStatus()
		return elsewhere
	}
	a.conn.setDeadline(time.Now().Add(max(minLeft, c.left())))
	body, err := io.ReadAll(io.LimitReader(resp.Body, bufferedBody))
	if err != nil {
		a.broken("body", err)
		return damaged
	}
	whole := len(body) < bufferedBody
	copyHeader(c.w.Header(), resp)
	if whole {
		a.keep = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		a.judgeStatus()
	}
	c.w.WriteHeader(resp.StatusCode)
	_, _ = c.w.Write(body) // A caller that has left shows in the context.
	if !whole {
		if _, err := io.Copy(c.w, resp.Body); err != nil {
			c.abort("body broke off")
		}
		a.keep = true
	}
	c.done(resp.StatusCode)
	return delivered
}

// judgeStatus takes note of a whole response. Failures of plain services are those
// of the application, which has some at any time; a group has none while it is
// sound.
func (a *attempt) judgeStatus() {
	if a.c.route.Kind == route.Streaming && a.resp.StatusCode >= http.StatusInternalServerError {
		a.backend.complained(a.c.now())
		return
	}
	a.backend.succeeded()
}

// copyHeader takes over the headers of a response.
func copyHeader(dst http.Header, resp *http.Response) {
	connection := resp.Header["Connection"]
	for name, values := range resp.Header {
		if passed(name, connection) {
			dst[name] = values
		}
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil // Keeps net/http from guessing one.
	}
	if _, ok := dst["Date"]; !ok {
		dst["Date"] = nil
	}
}

// done logs and counts an answer.
func (c *call) done(status int) {
	took := c.now() - c.start
	late := c.route.LatencyGoal > 0 && took > c.route.LatencyGoal && c.route.Kind != route.Streaming
	c.count(func(m outcomeMetrics) {
		m.Answered.Inc(1)
		m.Duration.RecordDuration(took)
		if late {
			m.Late.Inc(1)
		}
	})
	if late || c.sent > 1 || status >= http.StatusInternalServerError {
		c.log("answered", map[string]any{"status": status, "late": late})
	}
}
