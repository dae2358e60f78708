package machines

import (
	"fmt"
	"sort"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/trace"
)

const (
	// poisonClass marks requests of a trace that crash each backend server.
	poisonClass = "poison"
	// runTime is how long a request runs, crashTime how long a crashing one
	// runs until the crash.
	runTime   = 400 * time.Millisecond
	crashTime = 100 * time.Millisecond
	// bootTime is the time until a crashed backend server is back.
	bootTime = 5 * time.Second
	// againTime is the delay before a waiting request tries again.
	againTime = 50 * time.Millisecond
	// progressTime is when a call without progress is given up.
	progressTime = time.Second
	// maxCrashes is what one request may cost, whoever resends it.
	maxCrashes = 2
)

// Quarantine replays the trackers of all entry instances over backend servers
// that a request can crash.
type Quarantine struct {
	schedule schedule
	entries  []*quarantineEntry
	backends []*quarantineBackend
	crashes  map[costKey]int
	next     int
}

// costKey counts what a request costs on one side of a partition: an entry that
// is cut off cannot know what happened on the other side.
type costKey struct {
	f   ident.Fingerprint
	cut ident.InstanceID
}

type quarantineEntry struct {
	id      ident.InstanceID
	tracker *quarantine.Tracker
	owner   *quarantine.Owner
	cut     bool
}

type quarantineBackend struct {
	id    ident.InstanceID
	run   int
	up    bool
	alone bool
	held  map[*quarantineCall]bool
}

type quarantineCall struct {
	entry   *quarantineEntry
	id      string
	f       ident.Fingerprint
	poison  bool
	attempt int
	backend *quarantineBackend
	// holder is set while the call runs alone.
	holder *quarantine.Holder
}

// Name implements trace.Machine.
func (q *Quarantine) Name() string { return "quarantine" }

// Start implements trace.Machine.
func (q *Quarantine) Start(trace.Header) error {
	*q = Quarantine{crashes: make(map[costKey]int)}
	return nil
}

// Step implements trace.Machine.
func (q *Quarantine) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := q.schedule.due(now)
	switch e.Kind {
	case trace.KindInstance:
		switch e.Instance.Kind {
		case infra.KindEntry:
			t := quarantine.NewTracker(quarantine.DefaultConfig())
			q.entries = append(q.entries, &quarantineEntry{id: e.Instance.ID, tracker: t, owner: quarantine.NewOwner(t)})
		case infra.KindEngine:
			q.backends = append(q.backends, &quarantineBackend{id: e.Instance.ID, run: 1, up: true, held: make(map[*quarantineCall]bool)})
		}
	case trace.KindMemberLost, trace.KindMemberReturned:
		out = append(out, q.member(now, e)...)
	case trace.KindRequest:
		if entry := q.entry(e.Node); entry != nil {
			call := &quarantineCall{
				entry: entry, id: e.Request.ID, f: e.Request.Fingerprint, poison: string(e.Request.Class) == poisonClass,
			}
			out = append(out, q.try(now, call)...)
		}
	}
	return out, nil
}

func (q *Quarantine) entry(id ident.InstanceID) *quarantineEntry {
	for _, e := range q.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

// member applies the loss of a backend server, or cuts an entry off from its
// peers.
func (q *Quarantine) member(now time.Duration, e *trace.Event) []trace.Decision {
	if entry := q.entry(e.Member.Instance); entry != nil {
		entry.cut = e.Kind == trace.KindMemberLost
		return nil
	}
	for _, b := range q.backends {
		switch {
		case b.id != e.Member.Instance || e.Kind != trace.KindMemberLost || !b.up:
		case e.Member.Reason == "silent":
			return q.silence(now, b)
		default:
			return q.crash(now, b)
		}
	}
	return nil
}

// silence ends the calls on the open connections of a backend server when their
// progress deadline passes. That tells nothing about the requests, which run
// again on new connections.
func (q *Quarantine) silence(now time.Duration, b *quarantineBackend) []trace.Decision {
	calls := sortedCalls(b.held)
	run, alone, server := b.run, b.alone, b.server()
	b.held = make(map[*quarantineCall]bool)
	q.schedule.after(now, progressTime, func(now time.Duration) []trace.Decision {
		if alone && b.run == run {
			b.alone = false
		}
		var out []trace.Decision
		for _, c := range calls {
			c.entry.tracker.End(now, server, c.f, false)
			q.release(now, c, quarantine.RunInconclusive)
			out = append(out, decide("silent", c.id, "on %s", b.id))
			out = append(out, q.try(now, c)...)
		}
		return out
	})
	return nil
}

func (b *quarantineBackend) server() quarantine.Server {
	return quarantine.Server{Instance: b.id, Incarnation: ident.Incarnation(fmt.Sprintf("%s-%d", b.id, b.run)), DataCentre: "dc-a"}
}

// pick chooses a backend server, an empty one for a run alone.
func (q *Quarantine) pick(alone bool) *quarantineBackend {
	for range q.backends {
		q.next++
		b := q.backends[q.next%len(q.backends)]
		if b.up && !b.alone && (!alone || len(b.held) == 0) {
			return b
		}
	}
	return nil
}

func (q *Quarantine) again(now time.Duration, c *quarantineCall) {
	q.schedule.after(now, againTime, func(now time.Duration) []trace.Decision { return q.try(now, c) })
}

// try starts a request as its standing allows.
func (q *Quarantine) try(now time.Duration, c *quarantineCall) []trace.Decision {
	standing := c.entry.tracker.Status(now, c.f)
	if standing == quarantine.Convicted {
		return []trace.Decision{decide("refuse", c.id, "convicted")}
	}
	alone := false
	if standing == quarantine.Suspect {
		owner, holder := q.owner(c)
		switch q.acquire(now, c, owner, holder) {
		case quarantine.PermitRefused:
			c.entry.tracker.Apply(now, quarantine.Finding{Fingerprint: c.f, Status: quarantine.Convicted})
			return []trace.Decision{decide("refuse", c.id, "convicted")}
		case quarantine.PermitRetryLater:
			q.again(now, c)
			return nil
		case quarantine.PermitIsolated:
			alone = true
			c.holder = &holder
		}
	}
	b := q.pick(alone)
	if b == nil {
		q.again(now, c)
		return nil
	}
	return q.run(now, c, b, alone)
}

// acquire asks the owner, which asks the entries that it reaches.
func (q *Quarantine) acquire(now time.Duration, c *quarantineCall, owner *quarantineEntry, h quarantine.Holder) quarantine.Permission {
	p := owner.owner.Acquire(now, c.f, h, c.entry.tracker.SuspicionAge(now, c.f))
	if p != quarantine.PermitNeedsProbe {
		return p
	}
	free := true
	for _, e := range q.entries {
		if e == owner || (!e.cut && !owner.cut) {
			free = !e.tracker.Probe(now, c.f, owner.tracker.SuspicionAge(now, c.f)) && free
		}
	}
	return owner.owner.CompleteProbe(now, c.f, h, free)
}

// owner returns the entry that serialises the runs of a suspect, among those
// that the call's entry reaches.
func (q *Quarantine) owner(c *quarantineCall) (*quarantineEntry, quarantine.Holder) {
	c.attempt++
	holder := quarantine.Holder{Entry: c.entry.id, Incarnation: "1", Attempt: ident.AttemptID(c.id)}
	var live []ident.InstanceID
	for _, e := range q.entries {
		if e == c.entry || (!e.cut && !c.entry.cut) {
			live = append(live, e.id)
		}
	}
	return q.entry(quarantine.OwnerOf(c.f, live)), holder
}

func (q *Quarantine) run(now time.Duration, c *quarantineCall, b *quarantineBackend, alone bool) []trace.Decision {
	c.backend = b
	b.held[c] = true
	b.alone = alone
	c.entry.tracker.Begin(now, b.server(), c.f)
	mode := "shared"
	if alone {
		mode = "alone"
	}
	run, wait := b.run, runTime
	if c.poison {
		wait = crashTime
	}
	q.schedule.after(now, wait, func(now time.Duration) []trace.Decision {
		if b.run != run || !b.held[c] {
			return nil
		}
		if c.poison {
			key := costKey{f: c.f}
			if c.entry.cut {
				key.cut = c.entry.id
			}
			q.crashes[key]++
			out := []trace.Decision{decide("crash", string(b.id), "by %s", c.f)}
			if n := q.crashes[key]; n > maxCrashes {
				out = append(out, decide(ActionViolation, c.f.String(), "cost %d backend servers", n))
			}
			return append(out, q.crash(now, b)...)
		}
		return q.finish(now, c)
	})
	return []trace.Decision{decide("run", c.id, "%s on %s", mode, b.id)}
}

func (q *Quarantine) finish(now time.Duration, c *quarantineCall) []trace.Decision {
	b := c.backend
	delete(b.held, c)
	b.alone = false
	if c.entry.tracker.End(now, b.server(), c.f, true) {
		q.spreadFinding(now, c.entry, quarantine.Finding{Fingerprint: c.f, Status: quarantine.NotSuspect})
	}
	q.release(now, c, quarantine.RunSucceeded)
	return []trace.Decision{decide("answer", c.id, "from %s", b.id)}
}

func (q *Quarantine) release(now time.Duration, c *quarantineCall, result quarantine.RunResult) {
	if c.holder == nil {
		return
	}
	owner, _ := q.owner(c)
	if f, ok := owner.owner.Release(now, c.f, *c.holder, result); ok {
		c.entry.tracker.Apply(now, f)
		q.spreadFinding(now, c.entry, f)
	}
	c.holder = nil
}

func (q *Quarantine) spreadFinding(now time.Duration, from *quarantineEntry, f quarantine.Finding) {
	for _, e := range q.entries {
		if e != from && !e.cut && !from.cut {
			q.schedule.after(now, peerDelay, func(now time.Duration) []trace.Decision {
				e.tracker.Apply(now, f)
				return nil
			})
		}
	}
}

// crash ends a backend server. Each entry with requests there spreads what was
// in flight before it tries them again.
func (q *Quarantine) crash(now time.Duration, b *quarantineBackend) []trace.Decision {
	for _, e := range q.entries {
		crash := e.tracker.RecordCrash(now, b.server())
		if len(crash.Fingerprints) == 0 {
			continue
		}
		for _, o := range q.entries {
			if o != e && !o.cut && !e.cut {
				q.schedule.after(now, peerDelay, func(now time.Duration) []trace.Decision {
					o.tracker.Merge(now, crash)
					return nil
				})
			}
		}
	}
	calls := sortedCalls(b.held)
	server := b.server()
	b.up, b.alone, b.held = false, false, make(map[*quarantineCall]bool)
	for _, c := range calls {
		c.entry.tracker.End(now, server, c.f, false)
		q.release(now, c, quarantine.RunCrashed)
		q.schedule.after(now, 2*peerDelay, func(now time.Duration) []trace.Decision { return q.try(now, c) })
	}
	q.schedule.after(now, bootTime, func(time.Duration) []trace.Decision {
		b.run++
		b.up = true
		return nil
	})
	return nil
}

// sortedCalls orders calls by id, so that a replay does not depend on the order
// of a map.
func sortedCalls(held map[*quarantineCall]bool) []*quarantineCall {
	calls := make([]*quarantineCall, 0, len(held))
	for c := range held {
		calls = append(calls, c)
	}
	sort.Slice(calls, func(a, b int) bool { return calls[a].id < calls[b].id })
	return calls
}
