package machines

import (
	"time"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/trace"
)

const (
	// backendDelay is the time from a dispatch to the run, and from the run to the
	// answer.
	backendDelay = 50 * time.Millisecond
	// callTimeout is the time after which a call without an answer fails.
	callTimeout = time.Second
)

// Claim replays the non-idempotent requests of a trace. The node of a request event
// is the entry instance that handles it.
type Claim struct {
	store         *store
	schedule      schedule
	entries       map[ident.InstanceID]*claimEntry
	backends      []*claimBackend
	runCounts     map[claim.Key]int
	repliedNotRun map[ident.AttemptID]bool
}

// claimEntry models one entry instance.
type claimEntry struct {
	id                           ident.InstanceID
	bootCount                    int
	register                     *claim.Registry
	stopped, paused, partitioned bool
	// silent is set while open connections return no data.
	silent bool
	// inbox holds the events that arrive while the entry is paused.
	inbox []func(now time.Duration) []trace.Decision
}

// claimBackend models one backend server.
type claimBackend struct {
	id ident.InstanceID
	// lossReason is the reason why the server is lost, or empty.
	lossReason string
}

// claimCall is one request at one entry instance. entryBoot is the incarnation of
// the entry that handles it.
type claimCall struct {
	entry     *claimEntry
	entryBoot int
	req       claim.Request
	machine   *claim.Machine
}

// Name implements trace.Machine.
func (c *Claim) Name() string { return "claim" }

// Start implements trace.Machine.
func (c *Claim) Start(trace.Header) error {
	*c = Claim{
		store:         newStore(),
		entries:       make(map[ident.InstanceID]*claimEntry),
		runCounts:     make(map[claim.Key]int),
		repliedNotRun: make(map[ident.AttemptID]bool),
	}
	return nil
}

// Step implements trace.Machine.
func (c *Claim) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := c.schedule.runDue(now)
	switch e.Kind {
	case trace.KindStore:
		c.store.state = e.Store.State
	case trace.KindInstance:
		switch e.Instance.Kind {
		case infra.KindEntry:
			entry := &claimEntry{id: e.Instance.ID}
			entry.boot()
			c.entries[entry.id] = entry
		case infra.KindPlain:
			c.backends = append(c.backends, &claimBackend{id: e.Instance.ID})
		}
	case trace.KindMemberLost:
		c.applyLoss(e.Member)
	case trace.KindMemberReturned:
		out = append(out, c.applyReturn(now, e.Member)...)
	case trace.KindRequest:
		if !e.Request.Idempotent {
			out = append(out, c.startRequest(now, e)...)
		}
	}
	return out, nil
}

// boot starts a new incarnation with an empty register.
func (e *claimEntry) boot() {
	e.bootCount++
	e.register = claim.NewRegistry(claim.DefaultRegistryConfig())
	e.stopped, e.paused, e.partitioned, e.silent, e.inbox = false, false, false, false, nil
}

// applyLoss applies the loss of an entry instance or a backend server.
func (c *Claim) applyLoss(m *trace.Member) {
	if e, ok := c.entries[m.Instance]; ok {
		switch m.Reason {
		case "paused":
			e.paused = true
		case "partitioned":
			e.partitioned = true
		case "silent":
			e.silent = true
		default:
			e.stopped = true
		}
	}
	for _, b := range c.backends {
		if b.id == m.Instance {
			b.lossReason = m.Reason
		}
	}
}

// applyReturn applies the return of an entry instance or a backend server.
func (c *Claim) applyReturn(now time.Duration, m *trace.Member) []trace.Decision {
	for _, b := range c.backends {
		if b.id == m.Instance {
			b.lossReason = ""
		}
	}
	e, ok := c.entries[m.Instance]
	if !ok {
		return nil
	}
	if e.stopped {
		e.boot()
		return nil
	}
	var out []trace.Decision
	inbox := e.inbox
	e.paused, e.partitioned, e.silent, e.inbox = false, false, false, nil
	for _, deliver := range inbox {
		out = append(out, deliver(now)...)
	}
	return out
}

func (c *Claim) startRequest(now time.Duration, ev *trace.Event) []trace.Decision {
	e, ok := c.entries[ev.Node]
	if !ok || e.stopped {
		return []trace.Decision{decide("unreachable", ev.Request.ID, "entry %s", ev.Node)}
	}
	r := ev.Request
	call := &claimCall{entry: e, entryBoot: e.bootCount, req: claim.Request{
		Key:    claim.NewKey(r.Account, r.Service, r.Key),
		Digest: claim.NewDigest("POST", "/orders", []byte(r.Key)),
		Owner: claim.Owner{
			Attempt: ident.AttemptID(r.ID), Instance: e.id,
			Incarnation: ident.Incarnation(string(e.id) + "-" + string(rune('0'+e.bootCount))),
		},
		FirstCall: r.FirstCall,
	}}
	call.machine = claim.NewMachine(claim.DefaultConfig(), call.req)
	deadline := time.Duration(r.DeadlineMillis) * time.Millisecond
	c.deliverAfter(now, deadline, call, func() claim.Event { return claim.DeadlinePassed{} })
	return c.deliver(now, call, claim.Started{})
}

// deliverAfter delivers an event to a call after a delay.
func (c *Claim) deliverAfter(now, d time.Duration, call *claimCall, ev func() claim.Event) {
	c.schedule.after(now, d, func(now time.Duration) []trace.Decision { return c.deliver(now, call, ev()) })
}

// deliver passes an event to a call and executes the resulting actions, unless the
// entry that handles the call has stopped or restarted. A paused entry gets the event
// when it resumes.
func (c *Claim) deliver(now time.Duration, call *claimCall, ev claim.Event) []trace.Decision {
	e := call.entry
	if e.stopped || e.bootCount != call.entryBoot {
		return nil
	}
	if e.paused {
		e.inbox = append(e.inbox, func(now time.Duration) []trace.Decision { return c.deliver(now, call, ev) })
		return nil
	}
	var out []trace.Decision
	for _, a := range call.machine.Step(ev) {
		out = append(out, c.execute(now, call, a)...)
	}
	return out
}

// execute executes one action of a machine.
func (c *Claim) execute(now time.Duration, call *claimCall, a claim.Action) []trace.Decision {
	e, id := call.entry, call.req.Owner.Attempt
	switch a := a.(type) {
	case claim.Reserve:
		reserved := e.register.Reserve(now, call.req, 0)
		return c.deliver(now, call, reserved)
	case claim.Insert:
		c.writeRecord(now, call, a.Record, 0)
	case claim.Takeover:
		c.writeRecord(now, call, a.Record, a.Version)
	case claim.WriteOutcome:
		c.writeRecord(now, call, a.Record, a.Version)
	case claim.Read:
		done := claim.ReadDone{Failed: e.partitioned || e.silent || c.store.state == trace.StoreDown, Row: c.storedRecord(call.req.Key)}
		c.deliverAfter(now, c.store.callDelay(), call, func() claim.Event { return done })
	case claim.QueryOwner:
		c.queryOwner(now, call, a.Owner)
	case claim.Dispatch:
		return c.dispatch(now, call, a.Number)
	case claim.Wait:
		c.deliverAfter(now, a.Delay, call, func() claim.Event { return claim.WaitDone{} })
	case claim.SetFinalState:
		e.register.SetFinalState(now, id, a.State, a.Answer)
	case claim.MarkRecorded:
		e.register.MarkRecorded(now, id)
	case claim.Reply:
		return c.recordReply(call.req.Key, id, a.Reply)
	}
	return nil
}

// storedRecord returns the stored record of a key, or nil.
func (c *Claim) storedRecord(key claim.Key) *claim.StoredRecord {
	row := c.store.get(key.RowKey())
	if row.Version == 0 {
		return nil
	}
	s, err := claim.DecodeRow(row)
	if err != nil {
		return nil
	}
	return &s
}

// writeRecord writes the row of a key if the row still has the given version.
func (c *Claim) writeRecord(now time.Duration, call *claimCall, r claim.Record, version uint64) {
	if call.entry.partitioned {
		result := claim.StoreResult{Status: claim.StoreUnknown}
		c.deliverAfter(now, callTimeout, call, func() claim.Event { return claim.Written{Result: result} })
		return
	}
	value, err := r.Encode()
	if err != nil {
		panic(err)
	}
	key := call.req.Key.RowKey()
	outcome, applied, _ := c.store.txn(infra.Txn{
		Conditions: []infra.Condition{{RowKey: key, Version: version}},
		Writes:     []infra.Write{{RowKey: key, Value: value}},
	})
	result := claim.StoreResult{Version: applied}
	switch outcome {
	case infra.OutcomeApplied:
		result.Status = claim.StoreApplied
	case infra.OutcomeConflict:
		result.Status, result.Row = claim.StoreConflict, c.storedRecord(call.req.Key)
	case infra.OutcomeNotApplied:
		result.Status = claim.StoreNotApplied
	default:
		result.Status = claim.StoreUnknown
	}
	wait := c.store.callDelay()
	if call.entry.silent {
		result, wait = claim.StoreResult{Status: claim.StoreUnknown}, callTimeout
	}
	c.deliverAfter(now, wait, call, func() claim.Event { return claim.Written{Result: result} })
}

// queryOwner queries the entry that owns a claim. An owner that is unreachable, or
// that has restarted as another incarnation, is reported as gone.
func (c *Claim) queryOwner(now time.Duration, call *claimCall, owner claim.Owner) {
	ownerEntry := c.entries[owner.Instance]
	if ownerEntry == nil || ownerEntry.stopped || ownerEntry.paused || ownerEntry.partitioned || ownerEntry.silent || call.entry.partitioned || call.entry.silent {
		c.deliverAfter(now, callTimeout, call, func() claim.Event { return claim.QueryOwnerDone{Report: claim.Report{State: claim.StateGone}} })
		return
	}
	report := ownerEntry.register.ReportByAttempt(owner.Attempt)
	c.deliverAfter(now, storeDelay, call, func() claim.Event { return claim.QueryOwnerDone{Report: report} })
}

// dispatch sends the request to a backend server. One that was killed or has left
// refuses the connection. One that is lost for another reason runs the request, but
// its answer is lost.
func (c *Claim) dispatch(now time.Duration, call *claimCall, number int) []trace.Decision {
	id := call.req.Owner.Attempt
	if !call.entry.register.MayDispatch(id) || len(c.backends) == 0 {
		return c.deliver(now, call, claim.DispatchDone{Status: claim.DispatchRefused})
	}
	b := c.backends[(number-1)%len(c.backends)]
	out := []trace.Decision{decide("dispatch", string(id), "to %s", b.id)}
	done := claim.DispatchDone{Status: claim.DispatchAnswered, Answer: &claim.Answer{Status: 201, Body: []byte(call.req.Key)}}
	wait := 2 * backendDelay
	switch b.lossReason {
	case "":
	case "killed", "left":
		done = claim.DispatchDone{Status: claim.DispatchNotRun}
		c.deliverAfter(now, storeDelay, call, func() claim.Event { return done })
		return out
	default:
		done = claim.DispatchDone{Status: claim.DispatchUnknown}
		wait = callTimeout
	}
	c.schedule.after(now, backendDelay, func(time.Duration) []trace.Decision { return c.recordRun(call) })
	c.deliverAfter(now, wait, call, func() claim.Event { return done })
	return out
}

// recordRun counts a run. It reports a violation for a second run of the same key,
// and for a run after the caller was told that the request did not run.
func (c *Claim) recordRun(call *claimCall) []trace.Decision {
	id := call.req.Owner.Attempt
	c.runCounts[call.req.Key]++
	out := []trace.Decision{decide("run", string(id), "run %d of its key", c.runCounts[call.req.Key])}
	if n := c.runCounts[call.req.Key]; n > 1 {
		out = append(out, decide(ActionViolation, string(id), "at-most-once: its key ran %d times", n))
	}
	if c.repliedNotRun[id] {
		out = append(out, decide(ActionViolation, string(id), "true-not-run: it ran after the refusal"))
	}
	return out
}

// recordReply returns a decision with the verdict that the caller gets. It reports a
// violation when the verdict is "not run" although the key ran.
func (c *Claim) recordReply(key claim.Key, id ident.AttemptID, v claim.Result) []trace.Decision {
	names := map[claim.ResultKind]string{
		claim.ResultAnswer: "answer", claim.ResultReplay: "replay", claim.ResultNotRun: "not-run",
		claim.ResultUnknown: "unknown", claim.ResultConflict: "conflict",
	}
	out := []trace.Decision{decide("reply", string(id), "%s %s", names[v.Kind], v.Reason)}
	if v.Kind == claim.ResultNotRun {
		c.repliedNotRun[id] = true
		if n := c.runCounts[key]; n > 0 {
			out = append(out, decide(ActionViolation, string(id), "true-not-run: its key ran %d times before the refusal", n))
		}
	}
	return out
}
