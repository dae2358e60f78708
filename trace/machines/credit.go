package machines

import (
	"fmt"
	"time"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/trace"
)

const (
	// creditLimit and creditColdLimit are the concurrent requests of a backend
	// server, and of one in a cold start. creditTokens is its token limit.
	creditLimit     = 8
	creditColdLimit = 2
	creditTokens    = 50_000
	// ownerMoveDelay is the time from the loss of the owner until another entry holds
	// its lease.
	ownerMoveDelay = 7 * time.Second
	// holdPerToken is the run time of a request per token of its answer.
	holdPerToken = 20 * time.Millisecond
)

// Credit replays the owner and the holders of a service's concurrency limits.
// Before it starts, each request reads the backend server's state, as a new
// connection does. A load report sets whether a backend server is in a cold start.
type Credit struct {
	schedule schedule
	entries  []*creditEntry
	backends []*creditBackend
	owner    *credit.Owner
	// ownerEntry is the entry instance on which owner runs.
	ownerEntry  *creditEntry
	epoch       ident.Epoch
	ownerMoving bool
	nextPoll    time.Duration
}

// creditEntry models one entry instance.
type creditEntry struct {
	id                           ident.InstanceID
	index                        int
	bootCount                    int
	holder                       *credit.Holder
	stopped, paused, partitioned bool
	nextSync                     time.Duration
	waiting                      []*creditCall
}

// creditBackend models one backend server.
type creditBackend struct {
	id        credit.BackendID
	bootCount int
	up, cold  bool
	coldSince time.Duration
	calls     map[*creditCall]bool
}

// creditCall is one request. entryBoot and backendBoot are the incarnations of its
// entry and its backend server.
type creditCall struct {
	id       string
	tokens   int
	duration time.Duration
	deadline time.Duration
	// inColdStart is set if the call started during the backend server's latest
	// cold start.
	inColdStart bool
	entry       *creditEntry
	credit      credit.Credit
	entryBoot   int
	backendBoot int
}

// Name implements trace.Machine.
func (c *Credit) Name() string { return "credit" }

// Start implements trace.Machine.
func (c *Credit) Start(trace.Header) error {
	*c = Credit{}
	return nil
}

// Step implements trace.Machine.
func (c *Credit) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := c.schedule.runDue(now)
	switch e.Kind {
	case trace.KindInstance:
		switch e.Instance.Kind {
		case infra.KindEntry:
			n := &creditEntry{id: e.Instance.ID, index: len(c.entries)}
			c.entries = append(c.entries, n)
			n.boot()
		case infra.KindEngine:
			b := &creditBackend{id: credit.BackendID(e.Instance.ID)}
			c.backends = append(c.backends, b)
			b.boot(now)
		}
	case trace.KindMemberLost, trace.KindMemberReturned:
		c.applyMember(now, e)
	case trace.KindLoadReport:
		for _, b := range c.backends {
			if string(b.id) == string(e.LoadReport.Instance) {
				b.setCold(now, e.LoadReport.Cold)
			}
		}
	case trace.KindRequest:
		out = append(out, c.addRequest(now, e)...)
	case trace.KindTick:
		out = append(out, c.tick(now)...)
	}
	return out, nil
}

// boot starts a new incarnation without credits or requests.
func (n *creditEntry) boot() {
	n.bootCount++
	n.stopped, n.paused, n.partitioned, n.waiting = false, false, false, nil
	n.holder = credit.NewHolder(n.id, ident.Incarnation(fmt.Sprint(n.bootCount)))
}

// localTime returns the time on the entry's clock.
func (n *creditEntry) localTime(now time.Duration) time.Duration {
	return now + time.Duration(n.index)*time.Hour
}

// boot starts a new incarnation, with a cold start.
func (b *creditBackend) boot(now time.Duration) {
	b.bootCount++
	b.up = true
	b.calls = make(map[*creditCall]bool)
	b.setCold(now, true)
}

// setCold begins or ends a cold start. Calls that started before do not count as
// calls of the new cold start.
func (b *creditBackend) setCold(now time.Duration, cold bool) {
	b.cold, b.coldSince = cold, now
	if cold {
		for call := range b.calls {
			call.inColdStart = false
		}
	}
}

func (b *creditBackend) incarnation() string { return fmt.Sprintf("%s-%d", b.id, b.bootCount) }

// applyMember applies the loss or return of an entry instance or a backend server.
func (c *Credit) applyMember(now time.Duration, e *trace.Event) {
	lost := e.Kind == trace.KindMemberLost
	for _, b := range c.backends {
		switch {
		case string(b.id) != string(e.Member.Instance):
		case lost:
			b.up = false
		default:
			b.boot(now)
		}
	}
	for _, n := range c.entries {
		if n.id != e.Member.Instance {
			continue
		}
		switch {
		case lost && e.Member.Reason == "paused":
			n.paused = true
		case lost && (e.Member.Reason == "partitioned" || e.Member.Reason == "silent"):
			// Silent connections to peers have the same effect as a partition,
			// which ends when the heartbeats detect it.
			n.partitioned = true
		case lost:
			n.stopped = true
		case n.stopped:
			n.boot()
		default:
			n.paused, n.partitioned = false, false
		}
	}
}

func (n *creditEntry) reachable() bool { return !n.stopped && !n.paused && !n.partitioned }

// tick replaces a lost owner, polls the backend servers, syncs the holders and starts
// waiting requests.
func (c *Credit) tick(now time.Duration) []trace.Decision {
	out := c.moveOwner(now)
	if now >= c.nextPoll && c.owner != nil && c.ownerEntry.reachable() {
		c.nextPoll = now + pollInterval
		for _, b := range c.backends {
			if b.up {
				c.poll(now, b)
			}
		}
	}
	for _, n := range c.entries {
		if n.stopped || n.paused {
			continue
		}
		if now >= n.nextSync {
			c.sync(now, n)
		}
		out = append(out, c.startWaiting(now, n)...)
	}
	return out
}

// moveOwner makes the first reachable entry the owner, ownerMoveDelay after the
// previous owner was lost.
func (c *Credit) moveOwner(now time.Duration) []trace.Decision {
	if c.ownerMoving || (c.ownerEntry != nil && c.ownerEntry.reachable()) {
		return nil
	}
	wait := ownerMoveDelay
	if c.ownerEntry == nil {
		wait = 0
	}
	c.ownerMoving = true
	c.schedule.after(now, wait, func(now time.Duration) []trace.Decision {
		c.ownerMoving = false
		for _, n := range c.entries {
			if n.reachable() {
				c.epoch++
				c.ownerEntry, c.owner = n, credit.NewOwner(c.epoch, n.localTime(now))
				return []trace.Decision{decide("owner", string(n.id), "epoch %d", c.epoch)}
			}
		}
		return nil
	})
	return nil
}

// poll passes a backend server's report to the owner.
func (c *Credit) poll(now time.Duration, b *creditBackend) {
	at := c.ownerEntry.localTime(now)
	c.owner.Step(at, credit.Report{
		Backend: b.id, Incarnation: b.incarnation(), Cold: b.cold, Polled: true, Running: len(b.calls),
		Limits: credit.Limits{Requests: creditLimit, ColdRequests: creditColdLimit, HeldTokens: creditTokens, ColdRamp: time.Second},
		Sent:   at, Received: at,
	})
}

// sync sends a holder's message to the owner and returns the reply to the holder.
func (c *Credit) sync(now time.Duration, n *creditEntry) {
	n.nextSync = now + credit.SyncInterval
	// The demand of the waiting requests is divided among the backend servers.
	for i, b := range c.backends {
		share := (len(n.waiting) + len(c.backends) - 1 - i) / len(c.backends)
		n.holder.SetWaiting(b.id, credit.Amount{Requests: share, Tokens: share * 100}, false)
	}
	msg, boot, owner := n.holder.NextSync(n.localTime(now)), n.bootCount, c.owner
	c.schedule.after(now, peerDelay, func(now time.Duration) []trace.Decision {
		if owner == nil || owner != c.owner || !c.ownerEntry.reachable() || n.partitioned {
			return nil
		}
		for _, a := range owner.Step(c.ownerEntry.localTime(now), msg) {
			reply, ok := a.(credit.Reply)
			if !ok {
				continue
			}
			c.schedule.after(now, peerDelay, func(now time.Duration) []trace.Decision {
				if n.bootCount != boot || n.stopped || n.partitioned {
					return nil
				}
				n.holder.ApplyReply(n.localTime(now), reply)
				if reply.Resync {
					n.nextSync = now
				}
				return c.startWaiting(now, n)
			})
		}
		return nil
	})
}

// addRequest adds a request to its entry's queue and starts it if it can.
func (c *Credit) addRequest(now time.Duration, e *trace.Event) []trace.Decision {
	for _, n := range c.entries {
		if n.id != e.Node || n.stopped {
			continue
		}
		r := e.Request
		n.waiting = append(n.waiting, &creditCall{
			id: r.ID, tokens: r.PromptTokens + r.MaxTokens, duration: time.Duration(r.MaxTokens) * holdPerToken, entry: n,
			deadline: now + time.Duration(r.DeadlineMillis)*time.Millisecond, entryBoot: n.bootCount,
		})
		if n.paused {
			return nil
		}
		return c.startWaiting(now, n)
	}
	return []trace.Decision{decide("unreachable", e.Request.ID, "entry %s", e.Node)}
}

// startWaiting starts an entry's waiting requests in order, while it has credits. It
// refuses those whose deadline has passed.
func (c *Credit) startWaiting(now time.Duration, n *creditEntry) []trace.Decision {
	if n.stopped || n.paused {
		return nil
	}
	var out []trace.Decision
	for len(n.waiting) > 0 {
		call := n.waiting[0]
		if now > call.deadline {
			n.waiting = n.waiting[1:]
			out = append(out, decide("refuse", call.id, "deadline"))
			continue
		}
		decisions, started := c.tryStart(now, n, call)
		out = append(out, decisions...)
		if !started {
			return out
		}
		n.waiting = n.waiting[1:]
	}
	return out
}

// tryStart starts a request on the first backend server for which the entry has a
// credit. It reports whether the request started.
func (c *Credit) tryStart(now time.Duration, n *creditEntry, call *creditCall) ([]trace.Decision, bool) {
	at := n.localTime(now)
	for _, b := range c.backends {
		cr, err := n.holder.Acquire(at, b.id, call.tokens, b.up)
		if err != nil {
			continue
		}
		if !b.up || b.incarnation() != cr.Incarnation || (b.cold && !cr.Cold) {
			n.holder.Release(cr)
			if b.up && n.holder.Observe(at, b.id, b.incarnation(), b.cold) {
				n.nextSync = now
			}
			continue
		}
		call.credit, call.backendBoot, call.inColdStart = cr, b.bootCount, b.cold
		b.calls[call] = true
		out := []trace.Decision{decide("start", call.id, "on %s with %d held", b.id, len(b.calls))}
		c.schedule.after(now, call.duration, func(now time.Duration) []trace.Decision { return c.finish(now, call, b) })
		return append(out, b.checkLimits()...), true
	}
	return nil, false
}

// checkLimits reports a violation when a backend server runs more requests than its
// limits allow.
func (b *creditBackend) checkLimits() []trace.Decision {
	cold := 0
	for call := range b.calls {
		if call.inColdStart {
			cold++
		}
	}
	switch {
	case b.cold && cold > creditColdLimit:
		return []trace.Decision{decide(ActionViolation, string(b.id), "cold-limit: %d requests in a cold start", cold)}
	case len(b.calls) > creditLimit:
		return []trace.Decision{decide(ActionViolation, string(b.id), "%d requests, limit %d", len(b.calls), creditLimit)}
	}
	return nil
}

// finish ends a request and releases its credit. The requests of a killed entry also
// end at the backend server, but their credits are not released.
func (c *Credit) finish(now time.Duration, call *creditCall, b *creditBackend) []trace.Decision {
	if b.bootCount == call.backendBoot {
		delete(b.calls, call)
	}
	n := call.entry
	if n.stopped || n.bootCount != call.entryBoot {
		return nil
	}
	n.holder.Release(call.credit)
	return c.startWaiting(now, n)
}
