package forward

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/internal/callerconn"
	"github.com/bulrushfall/bulrushfall/internal/httpconn"
	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/route"
)

// sendResult is the result of sending a request to a backend server.
type sendResult int

const (
	// answered means that the backend server's response head was read.
	answered sendResult = iota
	// notSent means that the request did not reach the backend server.
	notSent
	// notRun means that the backend server reported that it did not run the request.
	notRun
	// mayHaveRun means that the backend server may have run the request.
	mayHaveRun
	// stalled means that the backend server stopped sending data.
	stalled
	// expired means that the request's deadline passed.
	expired
	// canceled means that the caller closed the connection.
	canceled
	// retryReserved means that the request is to be sent to another backend server, and
	// that the retry has been taken from the retry budget.
	retryReserved
)

// String returns the name of the result in logs.
func (r sendResult) String() string {
	return [...]string{"answered", "not-sent", "not-run", "unknown", "stalled", "expired", "left", "retry"}[r]
}

// attempt is one send of a request to a backend server.
type attempt struct {
	req     *call
	server  *fleet.Server
	backend *Backend
	conn    *conn
	// resp is the response, once its head was read. unmatchedResponses is the number of responses
	// to other requests before it, and discarding is true while the body of one is read, of
	// which discardLeft bytes may still come.
	resp               *http.Response
	unmatchedResponses int
	discarding         bool
	discardLeft        int
	// progressTimeout is how long to wait for progress while the backend server sends
	// nothing to any request of this entry instance. 0 means until the deadline.
	// firstEventTimeout replaces it until the first event of a stream, if it is longer.
	progressTimeout, firstEventTimeout time.Duration
	// lastProgress is when the attempt began or last made progress: on streams a whole
	// event, otherwise any data.
	lastProgress time.Duration
	// checkedAt is the lastProgress at which unread data was last looked for.
	checkedAt time.Duration
	// eventReceived is true once a stream has received an event, at firstEventAt.
	eventReceived bool
	// buf holds the received data that is not sent to the caller yet. bufHold counts it.
	buf     []byte
	bufHold hold
	// silent is true once the backend server was silent for a progress timeout. The attempt
	// then looks for another backend server, at moveAt at the earliest.
	silent             bool
	moveAt, nextReport time.Duration
	// expiredAt is when the attempt was first found to have passed its deadline.
	expiredAt time.Duration
	// sentAt is when the request was written to the connection.
	sentAt, firstEventAt time.Duration
	// writer writes the rest of a request that the connection did not accept at once. writeFailed
	// is true if the connection failed before.
	writer      *requestWriter
	writeFailed bool
	// run is the attempt as the attribution of crashes sees it, with its result. survived is
	// true once the backend server has begun to answer without a crash.
	run       *quarantine.TraitRun
	runResult quarantine.RunResult
	survived  bool
	// stopContextWatch ends the closing of conn on cancellation; see context.AfterFunc.
	stopContextWatch func() bool
	// reusable reports that the response was read whole, so that conn can carry another
	// request if this one was written whole.
	reusable bool
	finished bool
	// forecastAt is when the forecast of the first event was made, or 0 if none is open, and
	// predicted the time to it without the model's overhead. deferred is true if the request
	// runs behind all others.
	forecastAt, predicted time.Duration
	deferred              bool
	// hasPlace is true if the group had a free place when the forecast was made.
	hasPlace bool
}

// progressCheckInterval is how often a waiting request checks its deadline and the
// progress of its backend server.
const progressCheckInterval = 100 * time.Millisecond

// unreadProbeTime bounds the look for unread data before a backend server counts as silent: it
// may have sent some while this process did not run or wrote to its caller.
const unreadProbeTime = time.Millisecond

// checkInterval returns how long the attempt may wait for data between two checks. It is a
// fraction of a long progress timeout, because each check wakes the process.
func (a *attempt) checkInterval() time.Duration {
	if a.silent || len(a.req.silent) > 0 {
		return progressCheckInterval
	}
	return max(progressCheckInterval, a.progressTimeout/4)
}

// send sends the request to a backend server. It returns answered if the response can be awaited,
// and otherwise has finished the attempt.
func (c *call) send(s *fleet.Server, b *Backend, progressTimeout, firstEventTimeout time.Duration) (*attempt, sendResult) {
	now := c.now()
	a := &attempt{req: c, server: s, backend: b, progressTimeout: progressTimeout, firstEventTimeout: firstEventTimeout, lastProgress: now}
	ctx := c.request.Context()
	a.beginForecast(now)
	b.inFlight.Add(1)
	if s.Cold(now) {
		b.recordColdSend(now)
	}
	dialCtx, cancel := context.WithTimeout(ctx, max(time.Millisecond, c.deadline-now))
	defer cancel()
	conn, err := b.connect(dialCtx, s.Address, now, c.needsUnusedConn())
	if err != nil {
		a.finish()
		if c.isCanceled() {
			return a, canceled
		}
		b.pauseAfterFailure(s.Epoch, c.now(), dialFailurePause)
		b.recordFailure(c.now())
		c.addStep("connect:" + string(s.ID) + ":" + err.Error())
		return a, notSent
	}
	a.conn = conn
	if c.handler.pauses.pausedNow(c.now(), s) {
		// The backend server has asked for a pause since it was picked.
		a.finish()
		return a, notSent
	}
	now = c.now()
	// The process may have been late since the server was picked.
	switch d := admission.DecideSend(now, c.deadline, minSendTime, callerconn.Left(ctx)); d {
	case admission.MaySend:
	case admission.CallerLeft:
		a.finish()
		return a, canceled
	default:
		a.finish()
		c.addStep(d.String() + ":" + string(s.ID))
		return a, notSent
	}
	a.stopContextWatch = context.AfterFunc(ctx, conn.close)
	c.triedServers = append(c.triedServers, triedServer{s.ID, s.Epoch})
	c.sendCount++
	c.possibleRuns++
	a.sentAt = now
	a.begin(now)
	_ = conn.SetWriteDeadline(time.Now().Add(max(time.Millisecond, c.deadline-now)))
	head, body := c.encodeRequest(s.ID, now)
	if n, err := a.write(head, body); err != nil {
		switch {
		case c.isCanceled():
			a.finish()
			return a, canceled
		case n == 0 && conn.reused:
			// The backend server had already closed the idle connection.
			a.finish()
			c.sendCount--
			c.possibleRuns--
			c.triedServers = c.triedServers[:len(c.triedServers)-1]
			return a, notSent
		}
		// The backend server may have answered before it closed the connection.
		a.writeFailed = true
		c.addStep("write:" + string(s.ID) + ":" + err.Error())
	}
	return a, answered
}

// needsUnusedConn reports whether the request is sent on a new connection only. No copy of an earlier
// response can arrive there, so that a response without the name of its request answers this one.
func (c *call) needsUnusedConn() bool { return c.route.Kind == route.NonIdempotent }

// Times without new requests for a backend server after a failure.
const (
	dialFailurePause = 400 * time.Millisecond
	connFailurePause = 300 * time.Millisecond
	// stallPause is about the time that it takes to probe and repair a group.
	stallPause = 1200 * time.Millisecond
)

// readResponseHead reads the head of the response to the request and discards
// responses to other requests. After the result stalled it can be called again.
func (a *attempt) readResponseHead() sendResult {
	for {
		if a.discarding {
			if r := a.discardUnmatched(); r != answered {
				return r
			}
		}
		resp, err := a.conn.ReadHead(a.req.request)
		switch {
		case errors.Is(err, httpconn.ErrIncomplete):
			if r := a.waitForData(); r != answered {
				return r
			}
			continue
		case err != nil:
			return a.recordConnFailure("head", err)
		}
		a.recordLeaving(resp.Header)
		if !a.answersRequest(resp) {
			// A late response to an earlier request on this connection.
			if a.unmatchedResponses++; a.unmatchedResponses > maxUnmatchedResponses {
				return a.recordConnFailure("stray", errUnmatchedResponses)
			}
			a.discarding, a.discardLeft = true, maxDiscardBytes
			continue
		}
		a.resp = resp
		a.conn.setIdleTimeout(resp.Header)
		a.recordLimit()
		a.recordRequestedPause()
		a.backend.recordReceived(a.req.now())
		a.recordResumed()
		return a.classifyResponse()
	}
}

// answersRequest reports whether a response is to the request of the attempt. One that names no
// request can be a late copy of an earlier response, unless the connection has carried no other
// request.
func (a *attempt) answersRequest(resp *http.Response) bool {
	id := resp.Header.Get(a.req.handler.opts.Headers.RequestID)
	return id == a.req.id || (id == "" && !a.conn.reused && a.unmatchedResponses == 0)
}

// discardUnmatched reads the body of a response to another request.
func (a *attempt) discardUnmatched() sendResult {
	var scratch [1 << 10]byte
	for a.discardLeft > 0 {
		n, err := a.conn.ReadBody(scratch[:])
		a.discardLeft -= n
		switch {
		case err == io.EOF:
			a.discarding = false
			return answered
		case errors.Is(err, httpconn.ErrIncomplete):
			if r := a.waitForData(); r != answered {
				return r
			}
		case err != nil:
			return a.recordConnFailure("stray", err)
		}
	}
	return a.recordConnFailure("stray", errUnmatchedResponses)
}

// classifyResponse determines from the response head whether the request ran.
func (a *attempt) classifyResponse() sendResult {
	h := a.resp.Header
	if h.Get(a.req.handler.opts.Headers.NotRun) != "" || a.resp.StatusCode == http.StatusMisdirectedRequest {
		a.req.addStep("not-run:" + string(a.server.ID) + ":" + a.resp.Status + failedMemberSuffix(h.Get(a.req.handler.opts.Headers.FailedMember)))
		a.drain()
		a.req.possibleRuns--
		return notRun
	}
	if a.req.route.Kind != route.Streaming {
		a.req.countRun(a.req.now() - a.sentAt)
	}
	if (a.resp.StatusCode/100 == 2 && !a.isAttested()) || h.Get("Content-Encoding") != "" {
		a.req.addStep("garbled:" + string(a.server.ID))
		return mayHaveRun
	}
	if a.resp.StatusCode < http.StatusInternalServerError {
		a.backend.recordAnswer(a.req.now())
	}
	return answered
}

// isAttested reports whether a success names this request and carries the backend server's
// proof. Without the name it could be a second copy of an earlier response.
func (a *attempt) isAttested() bool {
	names := &a.req.handler.opts.Headers
	return a.resp.Header.Get(names.Attestation) != "" && a.resp.Header.Get(names.RequestID) == a.req.id
}

// drain reads the rest of a response that is not used, so that the connection can carry another
// request.
func (a *attempt) drain() { a.reusable = !a.resp.Close && a.conn.Drain() }

func failedMemberSuffix(id string) string {
	if id == "" {
		return ""
	}
	return ":at " + id
}

// waitForData waits until data from the backend server is available, and returns
// answered then.
func (a *attempt) waitForData() sendResult {
	for {
		now := a.req.now()
		a.recordWritten()
		remaining := a.req.deadline - now
		isExpired := remaining <= 0
		if isExpired && !a.mayReadReady(now) {
			return a.expire()
		}
		wait := max(unreadProbeTime, min(a.checkInterval(), remaining))
		isStalled := a.stalledNow(now)
		if isStalled {
			wait = unreadProbeTime
		}
		err := a.conn.Await(time.Now().Add(wait))
		if isTimeout(err) {
			a.req.recordLateness(a.req.now() - now - wait)
		}
		switch {
		case isStalled && err == nil && a.checkedAt != a.lastProgress:
			a.checkedAt = a.lastProgress
		case isStalled && (err == nil || isTimeout(err)):
			return stalled
		}
		if err == nil {
			if a.bodyArrives() {
				a.recordResumed()
				a.backend.recordReceived(a.req.now())
			}
			if a.req.route.Kind != route.Streaming {
				a.lastProgress = a.req.now()
			}
			return answered
		}
		if !isTimeout(err) {
			return a.recordConnFailure("read", err)
		}
		if isExpired {
			return a.expire()
		}
		if _, convicted := a.req.isConvicted(); convicted && !a.answerBegun() {
			a.req.addStep("quarantined:" + string(a.server.ID))
			return mayHaveRun
		}
		if a.groupChanged() && !a.bodyArrives() {
			a.req.addStep("disbanded:" + string(a.server.ID))
			return mayHaveRun
		}
	}
}

// mayReadReady reports whether an attempt whose deadline has passed may read data that has arrived
// already, for minSendTime at most: an answer that is ready is delivered late rather than not at
// all.
func (a *attempt) mayReadReady(now time.Duration) bool {
	if a.expiredAt == 0 {
		a.expiredAt = now
	}
	return now-a.expiredAt < minSendTime
}

// expire records that the deadline has passed.
func (a *attempt) expire() sendResult {
	a.req.addStep("expired:" + string(a.server.ID))
	return expired
}

// answerBegun reports whether the backend server has begun its answer.
func (a *attempt) answerBegun() bool { return a.eventReceived || a.bodyArrives() }

// bodyArrives reports whether the body of a response that is no stream is being read.
func (a *attempt) bodyArrives() bool {
	return a.resp != nil && (a.req.route.Kind != route.Streaming || a.resp.StatusCode != http.StatusOK)
}

// groupChanged reports whether the group that the request was sent to has been
// re-formed or dissolved, in which case no more data will arrive for the request.
func (a *attempt) groupChanged() bool {
	if a.server.Group == "" {
		return false
	}
	s, ok := a.req.handler.view.Load().servers.Get(a.server.ID)
	if !ok || (s.Group == a.server.Group && s.Epoch == a.server.Epoch) {
		return false
	}
	// An entry of an earlier epoch is an old one that was read late.
	return s.Group == "" || s.Epoch > a.server.Epoch
}

// recordConnFailure records a connection that failed during a request.
func (a *attempt) recordConnFailure(step string, err error) sendResult {
	if a.req.isCanceled() {
		return canceled
	}
	a.req.addStep(step + ":" + string(a.server.ID) + ":" + err.Error())
	if !isTimeout(err) {
		a.runResult = quarantine.RunCrashed
	}
	a.logInterrupted(err)
	a.backend.pauseAfterFailure(a.server.Epoch, a.req.now(), connFailurePause)
	if a.resp == nil {
		// A response that breaks off is not counted as a failure: that also happens
		// when a group is re-formed.
		a.backend.recordFailure(a.req.now())
	}
	return mayHaveRun
}

// logInterrupted logs a connection that broke while the backend server worked on the request.
// The parts that the interrupted requests of a crashed backend server have in common point to
// the cause of the crash.
func (a *attempt) logInterrupted(err error) {
	log := a.req.handler.opts.Log
	if log == nil {
		return
	}
	now := a.req.now()
	f := logrus.Fields{
		"request": a.req.id, "server": a.server.ID, "group": a.server.Group, "epoch": a.server.Epoch,
		"sent_ms": (now - a.sentAt).Milliseconds(), "prompt_parts": strings.Join(a.req.prompt.SharedParts, " "), "traits": formatTraits(a.req.traits), "error": err.Error(),
	}
	if a.eventReceived {
		f["first_event_ms"] = (now - a.firstEventAt).Milliseconds()
	}
	log.WithFields(f).Info("request interrupted at backend server")
}

// finish ends the attempt. It keeps the connection for reuse if the response was read
// whole, and closes it otherwise.
func (a *attempt) finish() {
	if a.finished {
		return
	}
	a.finished = true
	a.endWaiting()
	a.backend.inFlight.Add(-1)
	defer a.req.release(&a.bufHold)
	a.end(a.req.now())
	if a.conn == nil {
		return
	}
	if a.stopContextWatch != nil && !a.stopContextWatch() {
		a.reusable = false
	}
	if !a.reusable || !a.requestWritten() || (a.resp != nil && a.resp.Close) {
		a.conn.close()
		return
	}
	a.backend.putIdleConn(a.conn, a.req.now())
}
