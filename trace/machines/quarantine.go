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
	// poisonClass is the class of the requests of a trace that crash every backend
	// server they run on.
	poisonClass = "poison"
	// runTime is the run time of a request, crashTime the time until a poison
	// request crashes its backend server.
	runTime   = 400 * time.Millisecond
	crashTime = 100 * time.Millisecond
	// restartDelay is the time until a crashed backend server has restarted.
	restartDelay = 5 * time.Second
	// retryDelay is the delay before a waiting request is tried again.
	retryDelay = 50 * time.Millisecond
	// progressTimeout is the time after which a call without progress is aborted.
	progressTimeout = time.Second
	// maxCrashes is the maximum number of backend servers that one request may crash,
	// also when it is resent through other entry instances.
	maxCrashes = 2
)

// Quarantine replays the crash trackers of all entry instances, with models of backend
// servers that a request can crash.
type Quarantine struct {
	schedule  schedule
	entries   []*quarantineEntry
	backends  []*quarantineBackend
	crashes   map[crashKey]int
	pickCount int
}

// crashKey identifies a request on one side of a partition. partitionedEntry is the
// partitioned entry instance that ran the request, or empty if an entry instance that is
// not partitioned ran it. Crashes are counted per side, because a partitioned entry
// cannot know of those on the other side.
type crashKey struct {
	fingerprint      ident.Fingerprint
	partitionedEntry ident.InstanceID
}

// quarantineEntry models one entry instance.
type quarantineEntry struct {
	id          ident.InstanceID
	tracker     *quarantine.Tracker
	owner       *quarantine.Owner
	partitioned bool
}

// quarantineBackend models one backend server. isolated is set while a suspect request
// runs alone on it.
type quarantineBackend struct {
	id          ident.InstanceID
	bootCount   int
	up          bool
	isolated    bool
	activeCalls map[*quarantineCall]bool
}

// quarantineCall is one request at one entry instance.
type quarantineCall struct {
	entry       *quarantineEntry
	id          string
	fingerprint ident.Fingerprint
	poison      bool
	attempts    int
	backend     *quarantineBackend
	// holder is the holder of the permit to run in isolation, or nil.
	holder *quarantine.Holder
}

// Name implements trace.Machine.
func (q *Quarantine) Name() string { return "quarantine" }

// Start implements trace.Machine.
func (q *Quarantine) Start(trace.Header) error {
	*q = Quarantine{crashes: make(map[crashKey]int)}
	return nil
}

// Step implements trace.Machine.
func (q *Quarantine) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := q.schedule.runDue(now)
	switch e.Kind {
	case trace.KindInstance:
		switch e.Instance.Kind {
		case infra.KindEntry:
			t := quarantine.NewTracker(quarantine.DefaultConfig())
			q.entries = append(q.entries, &quarantineEntry{id: e.Instance.ID, tracker: t, owner: quarantine.NewOwner(t)})
		case infra.KindEngine:
			q.backends = append(q.backends, &quarantineBackend{id: e.Instance.ID, bootCount: 1, up: true, activeCalls: make(map[*quarantineCall]bool)})
		}
	case trace.KindMemberLost, trace.KindMemberReturned:
		out = append(out, q.applyMember(now, e)...)
	case trace.KindRequest:
		if entry := q.entry(e.Node); entry != nil {
			call := &quarantineCall{
				entry: entry, id: e.Request.ID, fingerprint: e.Request.Fingerprint, poison: string(e.Request.Class) == poisonClass,
			}
			out = append(out, q.tryStart(now, call)...)
		}
	}
	return out, nil
}

// entry returns the entry instance with the given ID, or nil.
func (q *Quarantine) entry(id ident.InstanceID) *quarantineEntry {
	for _, e := range q.entries {
		if e.id == id {
			return e
		}
	}
	return nil
}

// applyMember applies the loss of a backend server, or partitions an entry instance
// from its peers.
func (q *Quarantine) applyMember(now time.Duration, e *trace.Event) []trace.Decision {
	if entry := q.entry(e.Member.Instance); entry != nil {
		entry.partitioned = e.Kind == trace.KindMemberLost
		return nil
	}
	for _, b := range q.backends {
		switch {
		case b.id != e.Member.Instance || e.Kind != trace.KindMemberLost || !b.up:
			// The event is about another instance, is a return, or the server is down
			// already.
		case e.Member.Reason == "silent":
			return q.endSilentCalls(now, b)
		default:
			return q.crash(now, b)
		}
	}
	return nil
}

// endSilentCalls ends the calls on the open connections of a backend server after
// progressTimeout. Such an end says nothing about the requests, which are retried on
// new connections.
func (q *Quarantine) endSilentCalls(now time.Duration, b *quarantineBackend) []trace.Decision {
	calls := sortedCalls(b.activeCalls)
	boot, isolated, server := b.bootCount, b.isolated, b.server()
	b.activeCalls = make(map[*quarantineCall]bool)
	q.schedule.after(now, progressTimeout, func(now time.Duration) []trace.Decision {
		if isolated && b.bootCount == boot {
			b.isolated = false
		}
		var out []trace.Decision
		for _, c := range calls {
			c.entry.tracker.End(now, server, c.fingerprint, false)
			q.releasePermit(now, c, quarantine.RunInconclusive)
			out = append(out, decide("silent", c.id, "on %s", b.id))
			out = append(out, q.tryStart(now, c)...)
		}
		return out
	})
	return nil
}

// server returns the tracker's identity of the backend server.
func (b *quarantineBackend) server() quarantine.Server {
	return quarantine.Server{Instance: b.id, Incarnation: ident.Incarnation(fmt.Sprintf("%s-%d", b.id, b.bootCount)), DataCentre: "dc-a"}
}

// pick chooses a backend server in rotation, or one without calls for an isolated
// run. It returns nil if there is none.
func (q *Quarantine) pick(isolated bool) *quarantineBackend {
	for range q.backends {
		q.pickCount++
		b := q.backends[q.pickCount%len(q.backends)]
		if b.up && !b.isolated && (!isolated || len(b.activeCalls) == 0) {
			return b
		}
	}
	return nil
}

// retryLater tries a request again after retryDelay.
func (q *Quarantine) retryLater(now time.Duration, c *quarantineCall) {
	q.schedule.after(now, retryDelay, func(now time.Duration) []trace.Decision { return q.tryStart(now, c) })
}

// tryStart starts, refuses or delays a request according to its tracker status.
func (q *Quarantine) tryStart(now time.Duration, c *quarantineCall) []trace.Decision {
	status := c.entry.tracker.Status(now, c.fingerprint)
	if status == quarantine.Convicted {
		return []trace.Decision{decide("refuse", c.id, "convicted")}
	}
	isolated := false
	if status == quarantine.Suspect {
		owner, holder := q.ownerOf(c)
		switch q.acquire(now, c, owner, holder) {
		case quarantine.PermitRefused:
			c.entry.tracker.Apply(now, quarantine.Finding{Fingerprint: c.fingerprint, Status: quarantine.Convicted})
			return []trace.Decision{decide("refuse", c.id, "convicted")}
		case quarantine.PermitRetryLater:
			q.retryLater(now, c)
			return nil
		case quarantine.PermitIsolated:
			isolated = true
			c.holder = &holder
		}
	}
	b := q.pick(isolated)
	if b == nil {
		q.retryLater(now, c)
		return nil
	}
	return q.dispatch(now, c, b, isolated)
}

// acquire requests a permit from the owner. If the owner needs a probe, it probes the
// entries that it can reach for runs of the request that are in flight.
func (q *Quarantine) acquire(now time.Duration, c *quarantineCall, owner *quarantineEntry, holder quarantine.Holder) quarantine.Permission {
	p := owner.owner.Acquire(now, c.fingerprint, holder, c.entry.tracker.SuspicionAge(now, c.fingerprint))
	if p != quarantine.PermitNeedsProbe {
		return p
	}
	free := true
	for _, e := range q.entries {
		if e == owner || (!e.partitioned && !owner.partitioned) {
			free = !e.tracker.Probe(now, c.fingerprint, owner.tracker.SuspicionAge(now, c.fingerprint)) && free
		}
	}
	return owner.owner.CompleteProbe(now, c.fingerprint, holder, free)
}

// ownerOf returns the entry that serialises the runs of a suspect, chosen among the
// entries that the call's entry can reach, and the holder that the call requests a
// permit for.
func (q *Quarantine) ownerOf(c *quarantineCall) (*quarantineEntry, quarantine.Holder) {
	c.attempts++
	holder := quarantine.Holder{Entry: c.entry.id, Incarnation: "1", Attempt: ident.AttemptID(c.id)}
	var reachable []ident.InstanceID
	for _, e := range q.entries {
		if e == c.entry || (!e.partitioned && !c.entry.partitioned) {
			reachable = append(reachable, e.id)
		}
	}
	return q.entry(quarantine.OwnerOf(c.fingerprint, reachable)), holder
}

// dispatch runs a request on a backend server, until it ends or crashes the server.
func (q *Quarantine) dispatch(now time.Duration, c *quarantineCall, b *quarantineBackend, isolated bool) []trace.Decision {
	c.backend = b
	b.activeCalls[c] = true
	b.isolated = isolated
	c.entry.tracker.Begin(now, b.server(), c.fingerprint)
	mode := "shared"
	if isolated {
		mode = "alone"
	}
	boot, wait := b.bootCount, runTime
	if c.poison {
		wait = crashTime
	}
	q.schedule.after(now, wait, func(now time.Duration) []trace.Decision {
		if b.bootCount != boot || !b.activeCalls[c] {
			return nil
		}
		if c.poison {
			key := crashKey{fingerprint: c.fingerprint}
			if c.entry.partitioned {
				key.partitionedEntry = c.entry.id
			}
			q.crashes[key]++
			out := []trace.Decision{decide("crash", string(b.id), "by %s", c.fingerprint)}
			if n := q.crashes[key]; n > maxCrashes {
				out = append(out, decide(ActionViolation, c.fingerprint.String(), "cost %d backend servers", n))
			}
			return append(out, q.crash(now, b)...)
		}
		return q.finish(now, c)
	})
	return []trace.Decision{decide("run", c.id, "%s on %s", mode, b.id)}
}

// finish ends a request that was answered.
func (q *Quarantine) finish(now time.Duration, c *quarantineCall) []trace.Decision {
	b := c.backend
	delete(b.activeCalls, c)
	b.isolated = false
	if c.entry.tracker.End(now, b.server(), c.fingerprint, true) {
		q.broadcastFinding(now, c.entry, quarantine.Finding{Fingerprint: c.fingerprint, Status: quarantine.NotSuspect})
	}
	q.releasePermit(now, c, quarantine.RunSucceeded)
	return []trace.Decision{decide("answer", c.id, "from %s", b.id)}
}

// releasePermit returns a call's permit to the owner, with the result of the run.
func (q *Quarantine) releasePermit(now time.Duration, c *quarantineCall, result quarantine.RunResult) {
	if c.holder == nil {
		return
	}
	owner, _ := q.ownerOf(c)
	if f, ok := owner.owner.Release(now, c.fingerprint, *c.holder, result); ok {
		c.entry.tracker.Apply(now, f)
		q.broadcastFinding(now, c.entry, f)
	}
	c.holder = nil
}

// broadcastFinding sends a finding to the entries that the sender can reach.
func (q *Quarantine) broadcastFinding(now time.Duration, from *quarantineEntry, f quarantine.Finding) {
	for _, e := range q.entries {
		if e != from && !e.partitioned && !from.partitioned {
			q.schedule.after(now, peerDelay, func(now time.Duration) []trace.Decision {
				e.tracker.Apply(now, f)
				return nil
			})
		}
	}
}

// crash stops a backend server until it has restarted. Each entry with requests there
// sends the list of them to its peers before it tries them again.
func (q *Quarantine) crash(now time.Duration, b *quarantineBackend) []trace.Decision {
	for _, e := range q.entries {
		crash := e.tracker.RecordCrash(now, b.server())
		if len(crash.Fingerprints) == 0 {
			continue
		}
		for _, o := range q.entries {
			if o != e && !o.partitioned && !e.partitioned {
				q.schedule.after(now, peerDelay, func(now time.Duration) []trace.Decision {
					o.tracker.Merge(now, crash)
					return nil
				})
			}
		}
	}
	calls := sortedCalls(b.activeCalls)
	server := b.server()
	b.up, b.isolated, b.activeCalls = false, false, make(map[*quarantineCall]bool)
	for _, c := range calls {
		c.entry.tracker.End(now, server, c.fingerprint, false)
		q.releasePermit(now, c, quarantine.RunCrashed)
		q.schedule.after(now, 2*peerDelay, func(now time.Duration) []trace.Decision { return q.tryStart(now, c) })
	}
	q.schedule.after(now, restartDelay, func(time.Duration) []trace.Decision {
		b.bootCount++
		b.up = true
		return nil
	})
	return nil
}

// sortedCalls returns calls sorted by ID, so that a replay does not depend on the
// iteration order of a map.
func sortedCalls(set map[*quarantineCall]bool) []*quarantineCall {
	calls := make([]*quarantineCall, 0, len(set))
	for c := range set {
		calls = append(calls, c)
	}
	sort.Slice(calls, func(a, b int) bool { return calls[a].id < calls[b].id })
	return calls
}
