package forward

import (
	"io"
	"net/http"
	"time"

	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/route"
)

// Parameters of non-streaming requests.
const (
	// maxBufferedBody is the size up to which a response body is read whole before any
	// of it is sent to the caller, so that the request can be retried if the response
	// breaks off.
	maxBufferedBody = 256 << 10
	// progressTimeoutFactor times the latency goal is how long an idempotent request
	// waits for data from a backend server before it is sent to another one.
	progressTimeoutFactor = 2
	// minSendTime is the minimum time until the deadline for a request to be sent.
	minSendTime = 20 * time.Millisecond
	// maxUnsentAttempts limits the attempts in which the request does not reach a
	// backend server.
	maxUnsentAttempts = 4
	// maxExtraRefusals limits the sends beyond the route's attempts. Sends that a backend
	// server refused without running the request do not count as attempts.
	maxExtraRefusals = 2
)

// servePlain answers a request of a route that is not streaming.
func (c *call) servePlain() {
	for unsentAttempts := 0; ; {
		now := c.now()
		if c.deadline-now < minSendTime {
			c.giveUp("no time left")
			return
		}
		if remaining, convicted := c.isConvicted(); convicted {
			c.refuseConvicted(remaining)
			return
		}
		s, b, outcome := c.pick(now)
		if s == nil {
			if c.sendCount > 0 {
				c.giveUp("no other backend server")
				return
			}
			c.refuseNoServer(outcome)
			return
		}
		progressTimeout := time.Duration(0)
		if c.route.Repeatable() && c.sendCount+1 < c.route.AttemptLimit {
			progressTimeout = progressTimeoutFactor * c.route.LatencyGoal
		}
		a, r := c.send(s, b, progressTimeout, 0)
		switch r {
		case answered:
			switch c.relayResponse(a) {
			case delivered:
				return
			case retryElsewhere:
				continue
			}
			r = mayHaveRun
		case canceled:
			c.logOutcome("left", nil)
			return
		case notSent:
			unsentAttempts++
			if unsentAttempts > maxUnsentAttempts {
				c.giveUp("backend servers take no connections")
				return
			}
			continue
		case expired:
			c.fail(http.StatusGatewayTimeout, "timeout")
			return
		}
		if !c.retryOrGiveUp(r) {
			return
		}
	}
}

// retryOrGiveUp returns true if the request may be retried after a failed send. If
// not, it answers the caller and returns false.
func (c *call) retryOrGiveUp(r sendResult) bool {
	if c.reserveRetry(r) {
		return true
	}
	c.giveUp(r.String())
	return false
}

// reserveRetry reports whether a request may be sent to another backend server, and if so
// takes the retry from the retry budget. Sends that were not run do not count toward the
// route's attempts.
func (c *call) reserveRetry(r sendResult) bool {
	return (r == notRun || c.route.Repeatable()) &&
		c.possibleRuns < c.route.AttemptLimit && c.sendCount < c.route.AttemptLimit+maxExtraRefusals && c.takeRetry(c.now())
}

// giveUp answers a request that no backend server answered. The response says that it
// was not run only if that is certain for each send.
func (c *call) giveUp(reason string) {
	if c.possibleRuns == 0 {
		c.refuse(refusal{reason: reason, retryAfter: c.retryAfter(busyRetryAfter)})
		return
	}
	c.fail(http.StatusBadGateway, reason)
}

// relayResult is the result of relaying a response to the caller.
type relayResult int

const (
	// delivered means that the response was sent to the caller.
	delivered relayResult = iota
	// incomplete means that the response broke off before any of it was sent to the
	// caller.
	incomplete
	// retryElsewhere means that the request is to be sent to another backend server. The
	// retry has been taken from the retry budget.
	retryElsewhere
)

// relayResponse relays a response to the caller, unless it is a server error after
// which the request can be retried.
func (c *call) relayResponse(a *attempt) relayResult {
	defer a.finish()
	resp := a.resp
	if resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() &&
		c.sendCount < c.route.AttemptLimit && c.timeLeft() > minSendTime && c.takeRetry(c.now()) {
		c.addStep("status:" + string(a.server.ID) + ":" + resp.Status)
		a.reusable = discardBody(resp)
		a.runResult = quarantine.RunSucceeded
		a.recordOutcome()
		return retryElsewhere
	}
	a.conn.setDeadline(time.Now().Add(max(minSendTime, c.timeLeft())))
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxBufferedBody))
	if err != nil {
		a.recordConnFailure("body", err)
		return incomplete
	}
	bodyComplete := len(body) < maxBufferedBody
	copyHeader(c.writer.Header(), resp)
	if bodyComplete {
		a.runResult = quarantine.RunSucceeded
		a.reusable = resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0
		a.recordOutcome()
	}
	c.writer.WriteHeader(resp.StatusCode)
	_, _ = c.writer.Write(body) // The context reports a closed connection.
	if !bodyComplete {
		if _, err := io.Copy(c.writer, resp.Body); err != nil {
			c.abort("body broke off")
		}
		a.reusable = true
	}
	c.recordAnswered(resp.StatusCode)
	return delivered
}

// recordOutcome records a complete response for the health of the backend server. A
// server error on a route that is not streaming is no failure of the backend server,
// because applications return some at any time. A working group returns none.
func (a *attempt) recordOutcome() {
	if a.req.route.Kind == route.Streaming && a.resp.StatusCode >= http.StatusInternalServerError {
		a.backend.recordFailure(a.req.now())
		return
	}
	a.backend.clearFailures()
}

// copyHeader copies the end-to-end headers of a response to dst.
func copyHeader(dst http.Header, resp *http.Response) {
	connection := resp.Header["Connection"]
	for name, values := range resp.Header {
		if isEndToEnd(name, connection) {
			dst[name] = values
		}
	}
	if _, ok := dst["Content-Type"]; !ok {
		dst["Content-Type"] = nil // Keeps net/http from adding a detected type.
	}
	if _, ok := dst["Date"]; !ok {
		dst["Date"] = nil
	}
}

// recordAnswered logs and counts a request that was answered.
func (c *call) recordAnswered(status int) {
	took := c.now() - c.start
	late := c.route.LatencyGoal > 0 && took > c.route.LatencyGoal && c.route.Kind != route.Streaming
	c.countOutcome(func(m outcomeMetrics) {
		m.Answered.Inc(1)
		m.Duration.RecordDuration(took)
		if late {
			m.Late.Inc(1)
		}
	})
	if late || c.sendCount > 1 || status >= http.StatusInternalServerError {
		c.logOutcome("answered", map[string]any{"status": status, "late": late})
	}
}
