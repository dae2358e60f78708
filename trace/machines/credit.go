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
	creditLimit     = 8
	creditColdLimit = 2
	creditTokens    = 50_000
	// ownerMove is the time until another entry holds the lease of a lost one.
	ownerMove = 7 * time.Second
	// holdPerToken is how long a request runs for each token of its answer.
	holdPerToken = 20 * time.Millisecond
)

// Credit replays the owner and the holders of a service's concurrency limits.
// Each request start reads the backend server's state first, as a new
// connection does. A load report with cold set turns a backend server cold.
type Credit struct {
	schedule schedule
	entries  []*creditEntry
	backends []*creditBackend
	owner    *credit.Owner
	ownerAt  *creditEntry
	epoch    ident.Epoch
	moving   bool
	nextPoll time.Duration
}

type creditEntry struct {
	id                ident.InstanceID
	index             int
	run               int
	holder            *credit.Holder
	dead, paused, cut bool
	nextSync          time.Duration
	waiting           []*creditCall
}

type creditBackend struct {
	id       credit.BackendID
	run      int
	up, cold bool
	since    time.Duration // of the cold start
	held     map[*creditCall]bool
}

type creditCall struct {
	id         string
	tokens     int
	hold       time.Duration
	deadline   time.Duration
	coldAt     bool
	entry      *creditEntry
	credit     credit.Credit
	entryRun   int
	backendRun int
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
	out := c.schedule.due(now)
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
		c.member(now, e)
	case trace.KindLoadReport:
		for _, b := range c.backends {
			if string(b.id) == string(e.LoadReport.Instance) {
				b.turn(now, e.LoadReport.Cold)
			}
		}
	case trace.KindRequest:
		out = append(out, c.request(now, e)...)
	case trace.KindTick:
		out = append(out, c.tick(now)...)
	}
	return out, nil
}

func (n *creditEntry) boot() {
	n.run++
	n.dead, n.paused, n.cut, n.waiting = false, false, false, nil
	n.holder = credit.NewHolder(n.id, ident.Incarnation(fmt.Sprint(n.run)))
}

// clock is the entry's own time.
func (n *creditEntry) clock(now time.Duration) time.Duration {
	return now + time.Duration(n.index)*time.Hour
}

func (b *creditBackend) boot(now time.Duration) {
	b.run++
	b.up = true
	b.held = make(map[*creditCall]bool)
	b.turn(now, true)
}

func (b *creditBackend) turn(now time.Duration, cold bool) {
	b.cold, b.since = cold, now
	if cold {
		for h := range b.held {
			h.coldAt = false
		}
	}
}

func (b *creditBackend) incarnation() string { return fmt.Sprintf("%s-%d", b.id, b.run) }

func (c *Credit) member(now time.Duration, e *trace.Event) {
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
			// Silent connections to peers are a cut that ends when the
			// heartbeats notice it.
			n.cut = true
		case lost:
			n.dead = true
		case n.dead:
			n.boot()
		default:
			n.paused, n.cut = false, false
		}
	}
}

func (n *creditEntry) live() bool { return !n.dead && !n.paused && !n.cut }

// tick moves the owner, polls the backend servers and syncs the holders.
func (c *Credit) tick(now time.Duration) []trace.Decision {
	out := c.own(now)
	if now >= c.nextPoll && c.owner != nil && c.ownerAt.live() {
		c.nextPoll = now + pollInterval
		for _, b := range c.backends {
			if b.up {
				c.poll(now, b)
			}
		}
	}
	for _, n := range c.entries {
		if n.dead || n.paused {
			continue
		}
		if now >= n.nextSync {
			c.sync(now, n)
		}
		out = append(out, c.startWaiting(now, n)...)
	}
	return out
}

// own gives the ownership to the first live entry, some time after the last
// owner was lost.
func (c *Credit) own(now time.Duration) []trace.Decision {
	if c.moving || (c.ownerAt != nil && c.ownerAt.live()) {
		return nil
	}
	wait := ownerMove
	if c.ownerAt == nil {
		wait = 0
	}
	c.moving = true
	c.schedule.after(now, wait, func(now time.Duration) []trace.Decision {
		c.moving = false
		for _, n := range c.entries {
			if n.live() {
				c.epoch++
				c.ownerAt, c.owner = n, credit.NewOwner(c.epoch, n.clock(now))
				return []trace.Decision{decide("owner", string(n.id), "epoch %d", c.epoch)}
			}
		}
		return nil
	})
	return nil
}

func (c *Credit) poll(now time.Duration, b *creditBackend) {
	at := c.ownerAt.clock(now)
	c.owner.Step(at, credit.Report{
		Backend: b.id, Incarnation: b.incarnation(), Cold: b.cold, Polled: true, Running: len(b.held),
		Limits: credit.Limits{Requests: creditLimit, ColdRequests: creditColdLimit, HeldTokens: creditTokens, ColdRamp: time.Second},
		Sent:   at, Received: at,
	})
}

// sync sends a holder's message to the owner and its reply back.
func (c *Credit) sync(now time.Duration, n *creditEntry) {
	n.nextSync = now + credit.SyncInterval
	// Waiting requests spread their demand over the backend servers.
	for i, b := range c.backends {
		share := (len(n.waiting) + len(c.backends) - 1 - i) / len(c.backends)
		n.holder.SetWaiting(b.id, credit.Amount{Requests: share, Tokens: share * 100}, false)
	}
	msg, run, owner := n.holder.NextSync(n.clock(now)), n.run, c.owner
	c.schedule.after(now, peerDelay, func(now time.Duration) []trace.Decision {
		if owner == nil || owner != c.owner || !c.ownerAt.live() || n.cut {
			return nil
		}
		for _, a := range owner.Step(c.ownerAt.clock(now), msg) {
			reply, ok := a.(credit.Reply)
			if !ok {
				continue
			}
			c.schedule.after(now, peerDelay, func(now time.Duration) []trace.Decision {
				if n.run != run || n.dead || n.cut {
					return nil
				}
				n.holder.ApplyReply(n.clock(now), reply)
				if reply.Resync {
					n.nextSync = now
				}
				return c.startWaiting(now, n)
			})
		}
		return nil
	})
}

func (c *Credit) request(now time.Duration, e *trace.Event) []trace.Decision {
	for _, n := range c.entries {
		if n.id != e.Node || n.dead {
			continue
		}
		r := e.Request
		n.waiting = append(n.waiting, &creditCall{
			id: r.ID, tokens: r.PromptTokens + r.MaxTokens, hold: time.Duration(r.MaxTokens) * holdPerToken, entry: n,
			deadline: now + time.Duration(r.DeadlineMillis)*time.Millisecond, entryRun: n.run,
		})
		if n.paused {
			return nil
		}
		return c.startWaiting(now, n)
	}
	return []trace.Decision{decide("unreachable", e.Request.ID, "entry %s", e.Node)}
}

// startWaiting starts an entry's requests in order while it has credits.
func (c *Credit) startWaiting(now time.Duration, n *creditEntry) []trace.Decision {
	if n.dead || n.paused {
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
		more, started := c.start(now, n, call)
		out = append(out, more...)
		if !started {
			return out
		}
		n.waiting = n.waiting[1:]
	}
	return out
}

// start tries the backend servers in turn, the least used by this entry first.
func (c *Credit) start(now time.Duration, n *creditEntry, call *creditCall) ([]trace.Decision, bool) {
	at := n.clock(now)
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
		call.credit, call.backendRun, call.coldAt = cr, b.run, b.cold
		b.held[call] = true
		out := []trace.Decision{decide("start", call.id, "on %s with %d held", b.id, len(b.held))}
		c.schedule.after(now, call.hold, func(now time.Duration) []trace.Decision { return c.end(now, call, b) })
		return append(out, b.overload()...), true
	}
	return nil, false
}

// overload reports a backend server that holds more than it bears.
func (b *creditBackend) overload() []trace.Decision {
	cold := 0
	for h := range b.held {
		if h.coldAt {
			cold++
		}
	}
	switch {
	case b.cold && cold > creditColdLimit:
		return []trace.Decision{decide(ActionViolation, string(b.id), "cold-limit: %d requests in a cold start", cold)}
	case len(b.held) > creditLimit:
		return []trace.Decision{decide(ActionViolation, string(b.id), "%d requests, limit %d", len(b.held), creditLimit)}
	}
	return nil
}

// end frees the slot. The requests of a killed entry end at the backend server
// too, but nobody returns their credits.
func (c *Credit) end(now time.Duration, call *creditCall, b *creditBackend) []trace.Decision {
	if b.run == call.backendRun {
		delete(b.held, call)
	}
	n := call.entry
	if n.dead || n.run != call.entryRun {
		return nil
	}
	n.holder.Release(call.credit)
	return c.startWaiting(now, n)
}
