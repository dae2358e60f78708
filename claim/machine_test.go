package claim

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/ident"
)

// simEntry is one incarnation of an entry instance. A killed one keeps its
// place, so that asking it fails.
type simEntry struct {
	owner    Owner
	register *Registry
	alive    bool
}

// simRequest is one caller's request at one entry.
type simRequest struct {
	req     Request
	machine *Machine
	entry   *simEntry
	number  int // of the call, in the order in which calls start
	pending Action
	reply   *Result
}

// simWrite is a write whose answer was lost and that may apply later.
type simWrite struct {
	key     Key
	record  Record
	version uint64
}

// world is a model of the entries, the store and the backend servers.
type world struct {
	t        *rapid.T
	entries  []*simEntry
	requests []*simRequest
	rows     map[Key]*StoredRecord
	delayed  []simWrite
	version  uint64
	healthy  bool
	down     bool // the store refuses all calls
	attempts int
	ran      map[Key]ident.AttemptID // what a backend server really ran
	runner   map[Key]int             // the number of the call that ran
	refused  map[ident.AttemptID]bool
	digests  map[Key]map[Digest]bool
}

func (w *world) addEntry(name string) {
	o := Owner{Instance: ident.InstanceID(name), Incarnation: ident.Incarnation(fmt.Sprint(len(w.entries)))}
	w.entries = append(w.entries, &simEntry{owner: o, register: NewRegistry(DefaultRegistryConfig()), alive: true})
}

func (w *world) start(e *simEntry, key Key, digest Digest) *simRequest {
	w.attempts++
	owner := e.owner
	owner.Attempt = ident.AttemptID(fmt.Sprintf("a%d", w.attempts))
	ticket := key == Key("ticket/"+e.owner.Incarnation)
	// The caller may state that a call is the first one with its key.
	first := w.digests[key] == nil && w.attempts%2 == 0
	req := Request{Key: key, Digest: digest, Owner: owner, Ticket: ticket, FirstCall: first}
	r := &simRequest{req: req, machine: NewMachine(DefaultConfig(), req), entry: e, number: w.attempts}
	w.requests = append(w.requests, r)
	if w.digests[key] == nil {
		w.digests[key] = map[Digest]bool{}
	}
	w.digests[key][digest] = true
	w.step(r, Started{})
	return r
}

// step feeds one event and executes the immediate actions.
func (w *world) step(r *simRequest, e Event) {
	for _, a := range r.machine.Step(e) {
		switch a := a.(type) {
		case SetFinalState:
			assert.Assert(w.t, r.entry.register.SetFinalState(0, r.req.Owner.Attempt, a.State, a.Answer), "state replaced")
		case MarkRecorded:
			r.entry.register.MarkRecorded(0, r.req.Owner.Attempt)
		case Reply:
			w.checkReply(r, a.Reply)
		default:
			assert.Assert(w.t, r.pending == nil, "two outstanding actions: %T and %T", r.pending, a)
			r.pending = a
		}
	}
}

func (w *world) checkReply(r *simRequest, v Result) {
	assert.Assert(w.t, r.reply == nil, "second reply %+v after %+v", v, r.reply)
	r.reply = &v
	switch v.Kind {
	case ResultAnswer, ResultReplay:
		want := string(w.ran[r.req.Key]) + string(r.req.Digest)
		assert.Equal(w.t, string(v.Answer.Body), want, "answer of another request")
	case ResultNotRun:
		// A call that started later than the refused one is another matter: its
		// caller knows of it.
		by := w.runner[r.req.Key]
		assert.Assert(w.t, by == 0 || by > r.number, "not-run is false: call %d of the key ran before the reply to call %d", by, r.number)
		w.refused[r.req.Owner.Attempt] = true
	case ResultConflict:
		assert.Assert(w.t, len(w.digests[r.req.Key]) > 1, "conflict without another body")
	}
}

// write applies a conditional write and returns its result.
func (w *world) write(key Key, rec Record, version uint64) StoreResult {
	row := w.rows[key]
	if (row == nil && version != 0) || (row != nil && row.Version != version) {
		return StoreResult{Status: StoreConflict, Row: row}
	}
	w.version++
	w.rows[key] = &StoredRecord{Record: rec, Version: w.version}
	return StoreResult{Status: StoreApplied, Version: w.version}
}

// storeWrite chooses what happens to a write: it applies, is refused, or its
// answer is lost before, after or long before it applies.
func (w *world) storeWrite(key Key, rec Record, version uint64) StoreResult {
	if w.healthy {
		return w.write(key, rec, version)
	}
	choice := 0
	if !w.down {
		choice = rapid.IntRange(0, 5).Draw(w.t, "write")
	}
	switch choice {
	case 0:
		return StoreResult{Status: StoreNotApplied}
	case 1:
		w.write(key, rec, version)
		return StoreResult{Status: StoreUnknown}
	case 2:
		w.delayed = append(w.delayed, simWrite{key, rec, version})
		return StoreResult{Status: StoreUnknown}
	case 3:
		return StoreResult{Status: StoreUnknown}
	default:
		return w.write(key, rec, version)
	}
}

// advance completes the outstanding action of a request.
func (w *world) advance(r *simRequest) {
	a := r.pending
	r.pending = nil
	switch a := a.(type) {
	case Reserve:
		w.step(r, r.entry.register.Reserve(0, r.req, 0))
	case Insert:
		w.step(r, Written{w.storeWrite(r.req.Key, a.Record, 0)})
	case Takeover:
		w.step(r, Written{w.storeWrite(r.req.Key, a.Record, a.Version)})
	case WriteOutcome:
		w.step(r, Written{w.storeWrite(r.req.Key, a.Record, a.Version)})
	case Read:
		failed := w.down || !w.healthy && rapid.Bool().Draw(w.t, "read fails")
		w.step(r, ReadDone{Row: w.rows[r.req.Key], Failed: failed})
	case QueryOwner:
		w.step(r, QueryOwnerDone{w.ask(a.Owner)})
	case Dispatch:
		w.dispatch(r)
	case Wait:
		w.step(r, WaitDone{})
	}
}

func (w *world) ask(o Owner) Report {
	for _, e := range w.entries {
		unreachable := !w.healthy && rapid.IntRange(0, 3).Draw(w.t, "unreachable") == 0
		if e.owner.Incarnation == o.Incarnation && e.alive && !unreachable {
			return e.register.ReportByAttempt(o.Attempt)
		}
	}
	return Report{State: StateGone}
}

func (w *world) dispatch(r *simRequest) {
	id := r.req.Owner.Attempt
	assert.Assert(w.t, r.entry.register.MayDispatch(id), "dispatch of a settled attempt")
	choice := 0
	if !w.healthy {
		choice = rapid.IntRange(0, 4).Draw(w.t, "dispatch")
	}
	if choice <= 1 {
		assert.Equal(w.t, w.ran[r.req.Key], ident.AttemptID(""), "order runs twice")
		assert.Assert(w.t, !w.refused[id], "order runs after not-run")
		w.ran[r.req.Key], w.runner[r.req.Key] = id, r.number
	}
	answer := &Answer{Status: 200, Body: []byte(string(id) + string(r.req.Digest))}
	w.step(r, [...]DispatchDone{
		{Status: DispatchAnswered, Answer: answer},
		{Status: DispatchUnknown},
		{Status: DispatchNotRun},
		{Status: DispatchRefused},
		{Status: DispatchUnknown},
	}[choice])
}

func (w *world) kill(e *simEntry) {
	e.alive = false
	kept := w.requests[:0]
	for _, r := range w.requests {
		if r.entry != e {
			kept = append(kept, r)
		}
	}
	w.requests = kept
	w.addEntry(string(e.owner.Instance))
}

func (w *world) liveEntry() *simEntry {
	var live []*simEntry
	for _, e := range w.entries {
		if e.alive {
			live = append(live, e)
		}
	}
	return rapid.SampledFrom(live).Draw(w.t, "entry")
}

// settle lets everything that is outstanding finish in a healthy world.
func (w *world) settle() {
	w.healthy, w.down = true, false
	for _, d := range w.delayed {
		w.write(d.key, d.record, d.version)
	}
	w.delayed = nil
	for range 1000 {
		busy := false
		for _, r := range w.requests {
			if r.pending != nil {
				busy = true
				w.advance(r)
			}
		}
		if !busy {
			return
		}
	}
	w.t.Fatal("requests do not come to an end in a healthy world")
}

// TestAtMostOnce guards against an order that runs twice, a refusal as not-run
// that is false, and an outcome that is lost although it could be recorded,
// over interleavings of retries, kills, store faults and lost answers.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			t: t, rows: map[Key]*StoredRecord{}, ran: map[Key]ident.AttemptID{}, runner: map[Key]int{},
			refused: map[ident.AttemptID]bool{}, digests: map[Key]map[Digest]bool{},
		}
		for _, name := range []string{"e1", "e2", "e3"} {
			w.addEntry(name)
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				key := rapid.SampledFrom([]Key{"k1", "k2", "ticket/0"}).Draw(t, "key")
				e := w.liveEntry()
				if key == "ticket/0" {
					if e = w.entries[0]; !e.alive {
						t.Skip("the minting incarnation is gone")
					}
				}
				w.start(e, key, rapid.SampledFrom([]Digest{"x", "x", "x", "y"}).Draw(t, "digest"))
			},
			"advance": func(t *rapid.T) { w.any(t, func(r *simRequest) { w.advance(r) }) },
			"step":    func(t *rapid.T) { w.any(t, func(r *simRequest) { w.advance(r) }) },
			"deadline": func(t *rapid.T) {
				w.any(t, func(r *simRequest) {
					w.step(r, DeadlinePassed{})
					if r.machine.Done() {
						r.pending = nil
					}
				})
			},
			"store": func(*rapid.T) { w.down = !w.down },
			"late write": func(t *rapid.T) {
				if len(w.delayed) == 0 || w.down {
					t.Skip("no delayed write")
				}
				d := w.delayed[0]
				w.delayed = w.delayed[1:]
				w.write(d.key, d.record, d.version)
			},
			"kill": func(t *rapid.T) {
				if len(w.entries) > 5 {
					t.Skip("enough kills")
				}
				w.kill(w.liveEntry())
			},
		})
		w.settle()
		w.checkOutcomes()
	})
}

// any applies fn to one request that has an outstanding action.
func (w *world) any(t *rapid.T, fn func(*simRequest)) {
	var busy []*simRequest
	for _, r := range w.requests {
		if r.pending != nil {
			busy = append(busy, r)
		}
	}
	if len(busy) == 0 {
		t.Skip("nothing is outstanding")
	}
	fn(rapid.SampledFrom(busy).Draw(t, "request"))
}

// checkOutcomes retries each recorded key through a live entry.
func (w *world) checkOutcomes() {
	for _, key := range []Key{"k1", "k2", "ticket/0"} {
		row := w.rows[key]
		if row == nil {
			continue
		}
		if key == "ticket/0" {
			assert.Assert(w.t, row.State != StateRunning, "ticket row without outcome")
			continue
		}
		before := *row
		r := w.start(w.liveEntry(), key, before.Digest)
		w.settle()
		assert.Assert(w.t, r.reply != nil, "no reply to a retry")
		want := map[State]ResultKind{
			StateDone: ResultReplay, StateUnknown: ResultUnknown, StateAbandoned: ResultAnswer,
		}[before.State]
		if before.State == StateRunning {
			// Its entry was killed, or gave up before its write applied.
			want = ResultUnknown
			if w.alive(before.Owner) {
				want = ResultAnswer
			}
		}
		assert.Equal(w.t, r.reply.Kind, want, "retry of a key in state %s", before.State)
	}
}

func (w *world) alive(o Owner) bool {
	for _, e := range w.entries {
		if e.owner.Incarnation == o.Incarnation {
			return e.alive
		}
	}
	return false
}

// TestAbandonedRowProvesNothing guards against a refusal as not run after the
// row was read as abandoned: an earlier call that also read it may have taken
// it over and run since.
func TestAbandonedRowProvesNothing(t *testing.T) {
	for _, first := range []bool{false, true} {
		req := Request{Key: "k", Digest: "x", Owner: Owner{Attempt: "a3"}, FirstCall: first}
		m := NewMachine(DefaultConfig(), req)
		m.Step(Started{})
		m.Step(Reserved{})
		row := StoredRecord{Record: Record{Owner: Owner{Attempt: "a1"}, Digest: "x", State: StateAbandoned}, Version: 1}
		out := m.Step(Written{StoreResult{Status: StoreConflict, Row: &row}})
		assert.DeepEqual(t, out, []Action{Takeover{Record: m.record(StateRunning, nil), Version: 1}})
		m.Step(Written{StoreResult{Status: StoreNotApplied}})
		for _, a := range m.Step(DeadlinePassed{}) {
			if r, ok := a.(Reply); ok {
				assert.Equal(t, r.Reply.Kind, ResultUnknown)
			}
		}
		assert.Assert(t, m.replied)
	}
}
