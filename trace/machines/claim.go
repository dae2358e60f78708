package machines

import (
	"time"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/trace"
)

const (
	// backendTime is the time from a dispatch to the run, and again to the
	// answer.
	backendTime = 50 * time.Millisecond
	// callTimeout is the time after which a call without an answer ends.
	callTimeout = time.Second
)

// Claim replays non-idempotent requests at the entry instances of a trace. A
// request names its entry in the event's node.
type Claim struct {
	store    *store
	schedule schedule
	entries  map[ident.InstanceID]*claimEntry
	backends []*claimBackend
	runs     map[claim.Key]int
	refused  map[ident.AttemptID]bool
}

type claimEntry struct {
	id                ident.InstanceID
	run               int
	register          *claim.Registry
	dead, paused, cut bool
	// silent is set while the open connections carry nothing back.
	silent bool
	inbox  []func(now time.Duration) []trace.Decision
}

type claimBackend struct {
	id ident.InstanceID
	// lost is the reason of its loss, or empty.
	lost string
}

// claimCall is one request at one entry.
type claimCall struct {
	entry *claimEntry
	run   int
	req   claim.Request
	m     *claim.Machine
}

// Name implements trace.Machine.
func (c *Claim) Name() string { return "claim" }

// Start implements trace.Machine.
func (c *Claim) Start(trace.Header) error {
	*c = Claim{
		store:   newStore(),
		entries: make(map[ident.InstanceID]*claimEntry),
		runs:    make(map[claim.Key]int),
		refused: make(map[ident.AttemptID]bool),
	}
	return nil
}

// Step implements trace.Machine.
func (c *Claim) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := c.schedule.due(now)
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
		c.lose(e.Member)
	case trace.KindMemberReturned:
		out = append(out, c.back(now, e.Member)...)
	case trace.KindRequest:
		if !e.Request.Idempotent {
			out = append(out, c.request(now, e)...)
		}
	}
	return out, nil
}

func (e *claimEntry) boot() {
	e.run++
	e.register = claim.NewRegistry(claim.DefaultRegistryConfig())
	e.dead, e.paused, e.cut, e.silent, e.inbox = false, false, false, false, nil
}

func (c *Claim) lose(m *trace.Member) {
	if e, ok := c.entries[m.Instance]; ok {
		switch m.Reason {
		case "paused":
			e.paused = true
		case "partitioned":
			e.cut = true
		case "silent":
			e.silent = true
		default:
			e.dead = true
		}
	}
	for _, b := range c.backends {
		if b.id == m.Instance {
			b.lost = m.Reason
		}
	}
}

func (c *Claim) back(now time.Duration, m *trace.Member) []trace.Decision {
	for _, b := range c.backends {
		if b.id == m.Instance {
			b.lost = ""
		}
	}
	e, ok := c.entries[m.Instance]
	if !ok {
		return nil
	}
	if e.dead {
		e.boot()
		return nil
	}
	var out []trace.Decision
	inbox := e.inbox
	e.paused, e.cut, e.silent, e.inbox = false, false, false, nil
	for _, run := range inbox {
		out = append(out, run(now)...)
	}
	return out
}

func (c *Claim) request(now time.Duration, ev *trace.Event) []trace.Decision {
	e, ok := c.entries[ev.Node]
	if !ok || e.dead {
		return []trace.Decision{decide("unreachable", ev.Request.ID, "entry %s", ev.Node)}
	}
	r := ev.Request
	call := &claimCall{entry: e, run: e.run, req: claim.Request{
		Key:    claim.NewKey(r.Account, r.Service, r.Key),
		Digest: claim.NewDigest("POST", "/orders", []byte(r.Key)),
		Owner: claim.Owner{
			Attempt: ident.AttemptID(r.ID), Instance: e.id,
			Incarnation: ident.Incarnation(string(e.id) + "-" + string(rune('0'+e.run))),
		},
		FirstCall: r.FirstCall,
	}}
	call.m = claim.NewMachine(claim.DefaultConfig(), call.req)
	deadline := time.Duration(r.DeadlineMillis) * time.Millisecond
	c.after(now, deadline, call, func() claim.Event { return claim.DeadlinePassed{} })
	return c.deliver(now, call, claim.Started{})
}

// after delivers an event to a call later.
func (c *Claim) after(now, d time.Duration, call *claimCall, ev func() claim.Event) {
	c.schedule.after(now, d, func(now time.Duration) []trace.Decision { return c.deliver(now, call, ev()) })
}

// deliver hands an event to a call, when its process runs.
func (c *Claim) deliver(now time.Duration, call *claimCall, ev claim.Event) []trace.Decision {
	e := call.entry
	if e.dead || e.run != call.run {
		return nil
	}
	if e.paused {
		e.inbox = append(e.inbox, func(now time.Duration) []trace.Decision { return c.deliver(now, call, ev) })
		return nil
	}
	var out []trace.Decision
	for _, a := range call.m.Step(ev) {
		out = append(out, c.act(now, call, a)...)
	}
	return out
}

// act carries out one action of a machine.
func (c *Claim) act(now time.Duration, call *claimCall, a claim.Action) []trace.Decision {
	e, id := call.entry, call.req.Owner.Attempt
	switch a := a.(type) {
	case claim.Reserve:
		reserved := e.register.Reserve(now, call.req, 0)
		return c.deliver(now, call, reserved)
	case claim.Insert:
		c.write(now, call, a.Record, 0)
	case claim.Takeover:
		c.write(now, call, a.Record, a.Version)
	case claim.WriteOutcome:
		c.write(now, call, a.Record, a.Version)
	case claim.Read:
		done := claim.ReadDone{Failed: e.cut || e.silent || c.store.state == trace.StoreDown, Row: c.stored(call.req.Key)}
		c.after(now, c.store.delay(), call, func() claim.Event { return done })
	case claim.QueryOwner:
		c.ask(now, call, a.Owner)
	case claim.Dispatch:
		return c.dispatch(now, call, a.Number)
	case claim.Wait:
		c.after(now, a.Delay, call, func() claim.Event { return claim.WaitDone{} })
	case claim.SetFinalState:
		e.register.SetFinalState(now, id, a.State, a.Answer)
	case claim.MarkRecorded:
		e.register.MarkRecorded(now, id)
	case claim.Reply:
		return c.reply(call.req.Key, id, a.Reply)
	}
	return nil
}

func (c *Claim) stored(key claim.Key) *claim.StoredRecord {
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

// write writes the row of a key on condition of its version.
func (c *Claim) write(now time.Duration, call *claimCall, r claim.Record, version uint64) {
	if call.entry.cut {
		result := claim.StoreResult{Status: claim.StoreUnknown}
		c.after(now, callTimeout, call, func() claim.Event { return claim.Written{Result: result} })
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
		result.Status, result.Row = claim.StoreConflict, c.stored(call.req.Key)
	case infra.OutcomeNotApplied:
		result.Status = claim.StoreNotApplied
	default:
		result.Status = claim.StoreUnknown
	}
	wait := c.store.delay()
	if call.entry.silent {
		result, wait = claim.StoreResult{Status: claim.StoreUnknown}, callTimeout
	}
	c.after(now, wait, call, func() claim.Event { return claim.Written{Result: result} })
}

// ask asks the entry that owns a claim. One that cannot be reached, or that
// runs again as another incarnation, counts as gone.
func (c *Claim) ask(now time.Duration, call *claimCall, owner claim.Owner) {
	o := c.entries[owner.Instance]
	if o == nil || o.dead || o.paused || o.cut || o.silent || call.entry.cut || call.entry.silent {
		c.after(now, callTimeout, call, func() claim.Event { return claim.QueryOwnerDone{Report: claim.Report{State: claim.StateGone}} })
		return
	}
	report := o.register.ReportByAttempt(owner.Attempt)
	c.after(now, storeDelay, call, func() claim.Event { return claim.QueryOwnerDone{Report: report} })
}

// dispatch sends the request to a backend server. A killed one refuses the
// connection, a paused one runs the request when it comes back, and the answer
// of one behind a partition is lost after the run.
func (c *Claim) dispatch(now time.Duration, call *claimCall, number int) []trace.Decision {
	id := call.req.Owner.Attempt
	if !call.entry.register.MayDispatch(id) || len(c.backends) == 0 {
		return c.deliver(now, call, claim.DispatchDone{Status: claim.DispatchRefused})
	}
	b := c.backends[(number-1)%len(c.backends)]
	out := []trace.Decision{decide("dispatch", string(id), "to %s", b.id)}
	done := claim.DispatchDone{Status: claim.DispatchAnswered, Answer: &claim.Answer{Status: 201, Body: []byte(call.req.Key)}}
	wait := 2 * backendTime
	switch b.lost {
	case "":
	case "killed", "left":
		done = claim.DispatchDone{Status: claim.DispatchNotRun}
		c.after(now, storeDelay, call, func() claim.Event { return done })
		return out
	default:
		done = claim.DispatchDone{Status: claim.DispatchUnknown}
		wait = callTimeout
	}
	c.schedule.after(now, backendTime, func(time.Duration) []trace.Decision { return c.ran(call) })
	c.after(now, wait, call, func() claim.Event { return done })
	return out
}

// ran counts a run and reports a second one, or one that a refusal denied.
func (c *Claim) ran(call *claimCall) []trace.Decision {
	id := call.req.Owner.Attempt
	c.runs[call.req.Key]++
	out := []trace.Decision{decide("run", string(id), "run %d of its key", c.runs[call.req.Key])}
	if n := c.runs[call.req.Key]; n > 1 {
		out = append(out, decide(ActionViolation, string(id), "at-most-once: its key ran %d times", n))
	}
	if c.refused[id] {
		out = append(out, decide(ActionViolation, string(id), "true-not-run: it ran after the refusal"))
	}
	return out
}

// reply reports a verdict, and a refusal as not run of a key that ran.
func (c *Claim) reply(key claim.Key, id ident.AttemptID, v claim.Result) []trace.Decision {
	names := map[claim.ResultKind]string{
		claim.ResultAnswer: "answer", claim.ResultReplay: "replay", claim.ResultNotRun: "not-run",
		claim.ResultUnknown: "unknown", claim.ResultConflict: "conflict",
	}
	out := []trace.Decision{decide("reply", string(id), "%s %s", names[v.Kind], v.Reason)}
	if v.Kind == claim.ResultNotRun {
		c.refused[id] = true
		if n := c.runs[key]; n > 0 {
			out = append(out, decide(ActionViolation, string(id), "true-not-run: its key ran %d times before the refusal", n))
		}
	}
	return out
}
