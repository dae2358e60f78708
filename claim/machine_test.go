package claim

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/ident"
)

// simEntry is one incarnation of an entry instance. A killed one stays in the
// list of entries, so that queries to it fail.
type simEntry struct {
	owner    Owner
	registry *Registry
	alive    bool
}

// simRequest is one caller's request at one entry instance.
type simRequest struct {
	req           Request
	machine       *Machine
	entry         *simEntry
	callNumber    int // position of the call in the order in which calls start
	pendingAction Action
	reply         *Result
}

// delayedWrite is a write whose result was lost and that may be applied later.
type delayedWrite struct {
	key     Key
	record  Record
	version uint64
}

// simulation models the entry instances, the store and the backend servers.
type simulation struct {
	t               *rapid.T
	entries         []*simEntry
	requests        []*simRequest
	rows            map[Key]*StoredRecord
	delayedWrites   []delayedWrite
	version         uint64
	faultFree       bool
	storeDown       bool // the store rejects all calls
	attempts        int
	ranAttempt      map[Key]ident.AttemptID // the attempt that a backend server ran
	ranCall         map[Key]int             // call number of the attempt that ran
	refusedAttempts map[ident.AttemptID]bool
	digests         map[Key]map[Digest]bool
}

func (s *simulation) addEntry(name string) {
	o := Owner{Instance: ident.InstanceID(name), Incarnation: ident.Incarnation(fmt.Sprint(len(s.entries)))}
	s.entries = append(s.entries, &simEntry{owner: o, registry: NewRegistry(DefaultRegistryConfig()), alive: true})
}

func (s *simulation) startRequest(e *simEntry, key Key, digest Digest) *simRequest {
	s.attempts++
	owner := e.owner
	owner.Attempt = ident.AttemptID(fmt.Sprintf("a%d", s.attempts))
	ticket := key == Key("ticket/"+e.owner.Incarnation)
	// The first call with a key sets FirstCall only if its attempt number is even.
	first := s.digests[key] == nil && s.attempts%2 == 0
	req := Request{Key: key, Digest: digest, Owner: owner, KeyIsTicket: ticket, FirstCall: first}
	r := &simRequest{req: req, machine: NewMachine(DefaultConfig(), req), entry: e, callNumber: s.attempts}
	s.requests = append(s.requests, r)
	if s.digests[key] == nil {
		s.digests[key] = map[Digest]bool{}
	}
	s.digests[key][digest] = true
	s.deliver(r, Started{})
	return r
}

// deliver passes one event to the request's machine. It executes the actions that
// take effect immediately and keeps the other one as pending.
func (s *simulation) deliver(r *simRequest, e Event) {
	for _, a := range r.machine.Step(e) {
		switch a := a.(type) {
		case SetFinalState:
			assert.Assert(s.t, r.entry.registry.SetFinalState(0, r.req.Owner.Attempt, a.State, a.Answer), "final state was replaced")
		case MarkRecorded:
			r.entry.registry.MarkRecorded(0, r.req.Owner.Attempt)
		case Reply:
			s.checkReply(r, a.Reply)
		default:
			assert.Assert(s.t, r.pendingAction == nil, "two outstanding actions: %T and %T", r.pendingAction, a)
			r.pendingAction = a
		}
	}
}

func (s *simulation) checkReply(r *simRequest, v Result) {
	assert.Assert(s.t, r.reply == nil, "second reply %+v after %+v", v, r.reply)
	r.reply = &v
	switch v.Kind {
	case ResultAnswer, ResultReplay:
		want := string(s.ranAttempt[r.req.Key]) + string(r.req.Digest)
		assert.Equal(s.t, string(v.Answer.Body), want, "the caller got the answer of another request")
	case ResultNotRun:
		// The refusal covers this call and earlier ones. A run by a later call is
		// allowed, because the caller knows that it made that call.
		ranBy := s.ranCall[r.req.Key]
		assert.Assert(s.t, ranBy == 0 || ranBy > r.callNumber, "reply not-run is wrong: call %d of the key ran before the reply to call %d", ranBy, r.callNumber)
		s.refusedAttempts[r.req.Owner.Attempt] = true
	case ResultConflict:
		assert.Assert(s.t, len(s.digests[r.req.Key]) > 1, "conflict although all calls with the key have the same digest")
	}
}

// applyWrite performs a conditional write and returns its result.
func (s *simulation) applyWrite(key Key, rec Record, version uint64) StoreResult {
	row := s.rows[key]
	if (row == nil && version != 0) || (row != nil && row.Version != version) {
		return StoreResult{Status: StoreConflict, Row: row}
	}
	s.version++
	s.rows[key] = &StoredRecord{Record: rec, Version: s.version}
	return StoreResult{Status: StoreApplied, Version: s.version}
}

// storeWrite draws what happens to a write: it is applied or rejected, or its
// result is lost and it is applied at once, later or never.
func (s *simulation) storeWrite(key Key, rec Record, version uint64) StoreResult {
	if s.faultFree {
		return s.applyWrite(key, rec, version)
	}
	choice := 0
	if !s.storeDown {
		choice = rapid.IntRange(0, 5).Draw(s.t, "write")
	}
	switch choice {
	case 0:
		return StoreResult{Status: StoreNotApplied}
	case 1:
		s.applyWrite(key, rec, version)
		return StoreResult{Status: StoreUnknown}
	case 2:
		s.delayedWrites = append(s.delayedWrites, delayedWrite{key, rec, version})
		return StoreResult{Status: StoreUnknown}
	case 3:
		return StoreResult{Status: StoreUnknown}
	default:
		return s.applyWrite(key, rec, version)
	}
}

// completeAction executes the pending action of a request and delivers its
// result.
func (s *simulation) completeAction(r *simRequest) {
	a := r.pendingAction
	r.pendingAction = nil
	switch a := a.(type) {
	case Reserve:
		s.deliver(r, r.entry.registry.Reserve(0, r.req, 0))
	case Insert:
		s.deliver(r, Written{s.storeWrite(r.req.Key, a.Record, 0)})
	case Takeover:
		s.deliver(r, Written{s.storeWrite(r.req.Key, a.Record, a.Version)})
	case WriteOutcome:
		s.deliver(r, Written{s.storeWrite(r.req.Key, a.Record, a.Version)})
	case Read:
		failed := s.storeDown || !s.faultFree && rapid.Bool().Draw(s.t, "read fails")
		s.deliver(r, ReadDone{Row: s.rows[r.req.Key], Failed: failed})
	case QueryOwner:
		s.deliver(r, QueryOwnerDone{s.queryOwner(a.Owner)})
	case Dispatch:
		s.dispatch(r)
	case Wait:
		s.deliver(r, WaitDone{})
	}
}

func (s *simulation) queryOwner(o Owner) Report {
	for _, e := range s.entries {
		unreachable := !s.faultFree && rapid.IntRange(0, 3).Draw(s.t, "unreachable") == 0
		if e.owner.Incarnation == o.Incarnation && e.alive && !unreachable {
			return e.registry.ReportByAttempt(o.Attempt)
		}
	}
	return Report{State: StateGone}
}

func (s *simulation) dispatch(r *simRequest) {
	id := r.req.Owner.Attempt
	assert.Assert(s.t, r.entry.registry.MayDispatch(id), "dispatch of an attempt with a final state")
	choice := 0
	if !s.faultFree {
		choice = rapid.IntRange(0, 4).Draw(s.t, "dispatch")
	}
	if choice <= 1 {
		assert.Equal(s.t, s.ranAttempt[r.req.Key], ident.AttemptID(""), "the request ran twice")
		assert.Assert(s.t, !s.refusedAttempts[id], "the request ran after the reply not-run")
		s.ranAttempt[r.req.Key], s.ranCall[r.req.Key] = id, r.callNumber
	}
	answer := &Answer{Status: 200, Body: []byte(string(id) + string(r.req.Digest))}
	s.deliver(r, [...]DispatchDone{
		{Status: DispatchAnswered, Answer: answer},
		{Status: DispatchUnknown},
		{Status: DispatchNotRun},
		{Status: DispatchRefused},
		{Status: DispatchUnknown},
	}[choice])
}

func (s *simulation) kill(e *simEntry) {
	e.alive = false
	kept := s.requests[:0]
	for _, r := range s.requests {
		if r.entry != e {
			kept = append(kept, r)
		}
	}
	s.requests = kept
	s.addEntry(string(e.owner.Instance))
}

func (s *simulation) drawLiveEntry() *simEntry {
	var live []*simEntry
	for _, e := range s.entries {
		if e.alive {
			live = append(live, e)
		}
	}
	return rapid.SampledFrom(live).Draw(s.t, "entry")
}

// runToCompletion turns faults off and runs all requests to their end.
func (s *simulation) runToCompletion() {
	s.faultFree, s.storeDown = true, false
	for _, d := range s.delayedWrites {
		s.applyWrite(d.key, d.record, d.version)
	}
	s.delayedWrites = nil
	for range 1000 {
		busy := false
		for _, r := range s.requests {
			if r.pendingAction != nil {
				busy = true
				s.completeAction(r)
			}
		}
		if !busy {
			return
		}
	}
	s.t.Fatal("requests do not finish although there are no faults")
}

// TestAtMostOnce guards against a request that runs twice, a wrong not-run reply,
// and an outcome that is lost although it could be recorded. It tests random
// interleavings of retries, killed entry instances, store faults and lost answers.
func TestAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			t: t, rows: map[Key]*StoredRecord{}, ranAttempt: map[Key]ident.AttemptID{}, ranCall: map[Key]int{},
			refusedAttempts: map[ident.AttemptID]bool{}, digests: map[Key]map[Digest]bool{},
		}
		for _, name := range []string{"e1", "e2", "e3"} {
			s.addEntry(name)
		}
		t.Repeat(map[string]func(*rapid.T){
			"request": func(t *rapid.T) {
				key := rapid.SampledFrom([]Key{"k1", "k2", "ticket/0"}).Draw(t, "key")
				e := s.drawLiveEntry()
				if key == "ticket/0" {
					if e = s.entries[0]; !e.alive {
						t.Skip("the incarnation that minted the ticket was killed")
					}
				}
				s.startRequest(e, key, rapid.SampledFrom([]Digest{"x", "x", "x", "y"}).Draw(t, "digest"))
			},
			// Completing an action is listed twice, so that it is drawn twice as often.
			"advance": func(t *rapid.T) { s.withPendingRequest(t, func(r *simRequest) { s.completeAction(r) }) },
			"step":    func(t *rapid.T) { s.withPendingRequest(t, func(r *simRequest) { s.completeAction(r) }) },
			"deadline": func(t *rapid.T) {
				s.withPendingRequest(t, func(r *simRequest) {
					s.deliver(r, DeadlinePassed{})
					if r.machine.Done() {
						r.pendingAction = nil
					}
				})
			},
			"store": func(*rapid.T) { s.storeDown = !s.storeDown },
			"late write": func(t *rapid.T) {
				if len(s.delayedWrites) == 0 || s.storeDown {
					t.Skip("no delayed write, or the store is down")
				}
				d := s.delayedWrites[0]
				s.delayedWrites = s.delayedWrites[1:]
				s.applyWrite(d.key, d.record, d.version)
			},
			"kill": func(t *rapid.T) {
				if len(s.entries) > 5 {
					t.Skip("entry instances were killed often enough")
				}
				s.kill(s.drawLiveEntry())
			},
		})
		s.runToCompletion()
		s.checkOutcomes()
	})
}

// withPendingRequest calls fn with a random request that has a pending action.
func (s *simulation) withPendingRequest(t *rapid.T, fn func(*simRequest)) {
	var busy []*simRequest
	for _, r := range s.requests {
		if r.pendingAction != nil {
			busy = append(busy, r)
		}
	}
	if len(busy) == 0 {
		t.Skip("no request has a pending action")
	}
	fn(rapid.SampledFrom(busy).Draw(t, "request"))
}

// checkOutcomes checks the rows in the store by retrying each key at a live entry
// instance.
func (s *simulation) checkOutcomes() {
	for _, key := range []Key{"k1", "k2", "ticket/0"} {
		row := s.rows[key]
		if row == nil {
			continue
		}
		if key == "ticket/0" {
			assert.Assert(s.t, row.State != StateRunning, "row of a ticket has no outcome")
			continue
		}
		before := *row
		r := s.startRequest(s.drawLiveEntry(), key, before.Digest)
		s.runToCompletion()
		assert.Assert(s.t, r.reply != nil, "no reply to the retry")
		want := map[State]ResultKind{
			StateDone: ResultReplay, StateUnknown: ResultUnknown, StateAbandoned: ResultAnswer,
		}[before.State]
		if before.State == StateRunning {
			// The owner was killed, or ended the request before its write was applied.
			want = ResultUnknown
			if s.isAlive(before.Owner) {
				want = ResultAnswer
			}
		}
		assert.Equal(s.t, r.reply.Kind, want, "retry of a key in state %s", before.State)
	}
}

func (s *simulation) isAlive(o Owner) bool {
	for _, e := range s.entries {
		if e.owner.Incarnation == o.Incarnation {
			return e.alive
		}
	}
	return false
}

// TestAbandonedRowDoesNotProveNotRun guards against a not-run reply after the row
// was read as abandoned. An earlier call that also read the row may have taken it
// over and run since.
func TestAbandonedRowDoesNotProveNotRun(t *testing.T) {
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
