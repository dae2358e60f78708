package forward

import (
	"net/http"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
)

// Parameters of requests whose backend server is silent.
const (
	// moveRetryDelay is the time after which a request at a silent backend server looks for
	// another one again.
	moveRetryDelay = 200 * time.Millisecond
	// silenceReportInterval is the least time between two reports of a request that its
	// group is silent.
	silenceReportInterval = time.Second
	// reformTime is how long a request whose group was re-formed waits for that group or
	// another one, and reformCheckInterval how often it looks for one. reformNoticeTime is
	// how long it waits for its server's entry to show that the group was re-formed.
	reformTime          = 2500 * time.Millisecond
	reformNoticeTime    = 300 * time.Millisecond
	reformCheckInterval = 50 * time.Millisecond
)

// metricSilentResumed counts the attempts whose backend server went on after a silence.
const metricSilentResumed = "silent_servers_resumed_total"

// exchange is what streams and other requests do differently.
type exchange interface {
	// timeouts returns the progress timeout of an attempt and its timeout before the first
	// event; see attempt.
	timeouts(s *fleet.Server, b *Backend) (progress, firstEvent time.Duration)
	// relay relays a response whose head was read. After the result stalled it can be
	// called again for the same attempt.
	relay(a *attempt) sendResult
	// noServer ends a request for which there is no backend server, giveUp one that no
	// backend server answered, failTimeout one whose deadline has passed, and
	// refuseConvicted one of which such requests crash backend servers.
	noServer(outcome pickOutcome)
	giveUp(reason string)
	failTimeout()
	refuseConvicted(remaining time.Duration)
}

// serve sends a request to backend servers until it has ended. An attempt at a backend
// server that is silent ends only once another one has answered: a sound server may be
// silent for a while.
func (c *call) serve(x exchange) {
	defer c.finishSilent()
	for a := c.sendNext(x); a != nil; {
		a = c.continueAfter(x, a, c.follow(x, a))
	}
}

// sendNext sends the request to a backend server and returns the attempt. If there is none
// it returns a silent attempt, or waits for a group to be re-formed if that can complete the
// request. It returns nil if it has ended the request.
func (c *call) sendNext(x exchange) *attempt {
	for start := c.now(); ; {
		now := c.now()
		if c.deadline-now < minSendTime {
			x.giveUp("no time left")
			return nil
		}
		if remaining, convicted := c.isConvicted(); convicted {
			x.refuseConvicted(remaining)
			return nil
		}
		s, b, outcome := c.pick(now)
		if s != nil {
			return c.sendTo(x, s, b)
		}
		if a := c.takeSilent(); a != nil {
			return a
		}
		if now-start >= c.reformWait() {
			x.noServer(outcome)
			return nil
		}
		select {
		case <-time.After(reformCheckInterval):
		case <-c.request.Context().Done():
			c.logOutcome("left", nil)
			return nil
		}
	}
}

// reformWait returns how long the request waits if there is no group for it.
func (c *call) reformWait() time.Duration {
	switch {
	case c.possibleRuns == 0 || !c.route.UsesGroups || !c.route.Repeatable():
		return 0
	case c.groupReformed():
		return reformTime
	default:
		return reformNoticeTime
	}
}

// groupReformed reports whether a group that the request was sent to has been re-formed or
// dissolved.
func (c *call) groupReformed() bool {
	servers := c.handler.view.Load().servers
	return slices.ContainsFunc(c.triedServers, func(t triedServer) bool {
		s, ok := servers.Get(t.id)
		return !ok || s.Epoch != t.epoch
	})
}

// sendTo sends the request to a backend server and returns the attempt to follow, or nil if
// the request has ended.
func (c *call) sendTo(x exchange, s *fleet.Server, b *Backend) *attempt {
	progressTimeout, firstEventTimeout := x.timeouts(s, b)
	a, res := c.send(s, b, progressTimeout, firstEventTimeout)
	if res != answered {
		return c.continueAfter(x, a, res)
	}
	return a
}

// follow reads the response of an attempt and relays it to the caller. It finishes the
// attempt unless its response may still come.
func (c *call) follow(x exchange, a *attempt) (res sendResult) {
	defer func() {
		if res != stalled {
			a.finish()
		}
	}()
	if a.resp == nil {
		if res = a.readResponseHead(); res != answered {
			return res
		}
	}
	if a.resp.StatusCode >= http.StatusInternalServerError && len(c.silent) > 0 {
		// The silent attempt may still succeed.
		c.addStep("status:" + string(a.server.ID) + ":" + a.resp.Status)
		a.drain()
		return mayHaveRun
	}
	return x.relay(a)
}

// continueAfter returns the attempt to follow after the given one ended with a result, or
// nil if the request has ended.
func (c *call) continueAfter(x exchange, a *attempt, res sendResult) *attempt {
	switch res {
	case answered:
		return nil
	case canceled:
		c.logOutcome("left", nil)
		return nil
	case expired:
		x.failTimeout()
		return nil
	case retryReserved:
		return c.sendNext(x)
	case stalled:
		return c.moveElsewhere(x, a)
	case notSent:
		c.unsentCount++
		if c.unsentCount <= maxUnsentAttempts {
			return c.sendNext(x)
		}
		return c.silentOrGiveUp(x, "backend servers take no connections")
	}
	if c.reserveRetry(res) {
		return c.sendNext(x)
	}
	return c.silentOrGiveUp(x, res.String())
}

// moveElsewhere sends a request whose backend server is silent to another one, and returns the
// attempt to follow. If no other server can take the request at present, its silent attempts
// are followed in turn.
func (c *call) moveElsewhere(x exchange, a *attempt) *attempt {
	now := c.now()
	c.recordSilence(a, now)
	c.silent = append(c.silent, a)
	if c.mayRetry(stalled) && c.deadline-now >= minSendTime {
		if candidates, _ := c.eligibleServers(now); len(candidates) > 0 && c.takeRetry(now) {
			return c.sendNext(x)
		}
	}
	return c.takeSilent()
}

// recordSilence records that the backend server of an attempt is silent, and reports its
// group unless other requests receive data from it.
func (c *call) recordSilence(a *attempt, now time.Duration) {
	if !a.silent {
		a.silent = true
		c.addStep("stalled:" + string(a.server.ID))
	}
	if now >= a.nextReport && !c.handler.GroupProgresses(a.server, now) {
		a.nextReport = now + silenceReportInterval
		a.backend.pauseStalled(a.server.Epoch, now+stallPause)
		c.handler.reportStalledGroup(a.server.Group, a.server.Epoch)
	}
}

// recordResumed records that a silent backend server has sent data.
func (a *attempt) recordResumed() {
	if a.silent {
		a.silent = false
		a.req.addStep("resumed:" + string(a.server.ID))
		a.req.handler.count(metricSilentResumed)
	}
}

// silentOrGiveUp returns a silent attempt. If there is none it ends the request.
func (c *call) silentOrGiveUp(x exchange, reason string) *attempt {
	if a := c.takeSilent(); a != nil {
		return a
	}
	x.giveUp(reason)
	return nil
}

// takeSilent removes the attempt from c.silent that was not followed for the longest time and
// returns it, or nil if there is none.
func (c *call) takeSilent() *attempt {
	if len(c.silent) == 0 {
		return nil
	}
	a := c.silent[0]
	c.silent = c.silent[1:]
	a.moveAt = c.now() + moveRetryDelay
	return a
}

// finishSilent ends the silent attempts.
func (c *call) finishSilent() {
	for _, a := range c.silent {
		a.finish()
	}
	c.silent = nil
}

// mayRetry reports whether a request may be sent to another backend server after a result.
// Sends that were not run do not count toward the route's attempts.
func (c *call) mayRetry(r sendResult) bool {
	return (r == notRun || c.route.Repeatable()) &&
		c.possibleRuns < c.route.AttemptLimit && c.sendCount < c.route.AttemptLimit+maxExtraRefusals
}

// reserveRetry reports whether a request may be sent to another backend server, and if so
// takes the retry from the retry budget.
func (c *call) reserveRetry(r sendResult) bool { return c.mayRetry(r) && c.takeRetry(c.now()) }
