package forward

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/internal/httpconn"
	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/route"
)

// Parameters of non-streaming requests.
const (
	// maxBufferedBody is the size up to which a response body is read whole before any
	// of it is sent to the caller, so that the request can be retried if the response
	// breaks off.
	maxBufferedBody = 256 << 10
	// bodyBufferSize is the initial size of the buffer for a response body.
	bodyBufferSize = 1 << 10
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

// metricPromisesWithheld counts the responses of withholdPromise.
const metricPromisesWithheld = "not_run_promises_withheld_total"

// plainExchange is the exchange of a request of a route that is not streaming.
type plainExchange struct{ *call }

// servePlain answers a request of a route that is not streaming.
func (c *call) servePlain() { c.serve(plainExchange{c}) }

func (x plainExchange) timeouts(*fleet.Server, *Backend) (progress, firstEvent time.Duration) {
	if x.route.Repeatable() && (x.sendCount+1 < x.route.AttemptLimit || len(x.silent) > 0) {
		return progressTimeoutFactor * x.route.LatencyGoal, 0
	}
	return 0, 0
}

func (x plainExchange) relay(a *attempt) sendResult { return x.relayResponse(a) }

func (x plainExchange) failTimeout() { x.fail(http.StatusGatewayTimeout, "timeout") }

func (x plainExchange) noServer(outcome pickOutcome) {
	if x.sendCount > 0 {
		x.giveUp("no other backend server")
		return
	}
	x.refuseNoServer(outcome)
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

// relayResponse relays a response to the caller, unless it is a server error after
// which the request can be retried.
func (c *call) relayResponse(a *attempt) sendResult {
	resp := a.resp
	if resp.StatusCode >= http.StatusInternalServerError && c.route.Repeatable() &&
		c.sendCount < c.route.AttemptLimit && c.timeLeft() > minSendTime && c.takeRetry(c.now()) {
		a.discardAnswer()
		return retryReserved
	}
	if promisesNotRun(resp.StatusCode) && !c.route.Repeatable() {
		c.withholdPromise(a)
		return answered
	}
	complete, res := a.bufferBody()
	if res != answered {
		return res
	}
	copyHeader(c.writer.Header(), resp)
	if complete {
		a.recordWhole()
		a.reusable = true
		a.recordOutcome()
	}
	c.writer.WriteHeader(resp.StatusCode)
	_, _ = c.writer.Write(a.buf) // The context reports a closed connection.
	if !complete {
		a.relayRest()
		a.reusable = true
	}
	c.recordAnswered(resp.StatusCode)
	return answered
}

// promisesNotRun reports whether callers take a status as the promise that their request did not run
// and never will. 421 is such a status too, but backend servers never answer it after a run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// withholdPromise answers a request that may run only once, and whose backend server has answered with
// such a status without stating that the request did not run. The caller gets a status that promises
// nothing.
func (c *call) withholdPromise(a *attempt) {
	a.discardAnswer()
	c.handler.count(metricPromisesWithheld)
	c.fail(http.StatusBadGateway, "backend server answered "+strconv.Itoa(a.resp.StatusCode)+" without stating that the request did not run")
}

// discardAnswer ends the attempt after a failure that the caller does not get.
func (a *attempt) discardAnswer() {
	a.req.addStep("status:" + string(a.server.ID) + ":" + a.resp.Status)
	a.drain()
	a.runResult = quarantine.RunSucceeded
	a.recordOutcome()
}

// bufferBody reads a response body into a.buf, up to maxBufferedBody or as far as memory allows, and
// reports whether that is all of it. After the result stalled it can be called again.
func (a *attempt) bufferBody() (complete bool, res sendResult) {
	for len(a.buf) < maxBufferedBody {
		if len(a.buf) == cap(a.buf) {
			if !a.growBuffer(min(maxBufferedBody, max(bodyBufferSize, 2*cap(a.buf)))) {
				return false, answered // The caller gets the rest as it arrives.
			}
		}
		n, err := a.conn.ReadBody(a.buf[len(a.buf):cap(a.buf)])
		a.buf = a.buf[:len(a.buf)+n]
		switch {
		case err == io.EOF:
			return true, answered
		case errors.Is(err, httpconn.ErrIncomplete):
			if res := a.waitForData(); res != answered {
				return false, res
			}
		case err != nil:
			return false, a.recordConnFailure("body", err)
		}
	}
	return false, answered
}

// relayRest relays the rest of a response of which the caller has received a part. It closes the
// connection to the caller if the response breaks off.
func (a *attempt) relayRest() {
	a.progressTimeout = 0
	b := a.buf[:cap(a.buf)]
	for {
		n, err := a.conn.ReadBody(b)
		_, _ = a.req.writer.Write(b[:n]) // The context reports a closed connection.
		switch {
		case err == io.EOF:
			return
		case errors.Is(err, httpconn.ErrIncomplete):
			if res := a.waitForData(); res != answered {
				a.req.abort("body broke off: " + res.String())
			}
		case err != nil:
			a.recordConnFailure("body", err)
			a.req.abort("body broke off")
		}
	}
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
