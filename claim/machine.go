package claim

import "time"

// Config configures the retries of Machine.
type Config struct {
	// MaxDispatches limits the backend servers tried for one request. The next
	// one is tried only if the one before did not run the request.
	MaxDispatches int
	// MinRetryDelay and MaxRetryDelay bound the exponential backoff between store
	// operations and between queries to the owner of a running attempt.
	MinRetryDelay, MaxRetryDelay time.Duration
	// MaxOutcomeRetryDelay limits the backoff between writes of an outcome. They
	// are retried without a deadline, because callers may fetch the outcome for a
	// day.
	MaxOutcomeRetryDelay time.Duration
	// MaxAbandonWrites limits the tries to mark the request's own row as
	// abandoned. The mark is only needed by retries after this process has ended.
	MaxAbandonWrites int
}

// DefaultConfig returns the default configuration. The minimum retry delay of
// 10 ms is twice the group commit delay.
func DefaultConfig() Config {
	return Config{
		MaxDispatches:        3,
		MinRetryDelay:        10 * time.Millisecond,
		MaxRetryDelay:        250 * time.Millisecond,
		MaxOutcomeRetryDelay: 5 * time.Second,
		MaxAbandonWrites:     3,
	}
}

// phase identifies the event that a machine waits for.
type phase int

const (
	phaseNew phase = iota
	phaseReserve
	phaseInsert
	phaseTakeover
	phaseRead
	phaseQueryOwner
	phaseDispatch
	phaseOutcome
	phaseFinished
)

// Machine handles one non-idempotent request. The caller serialises Step.
type Machine struct {
	cfg Config
	req Request

	phase phase
	// afterWait is the step to run after a Wait, nil when no Wait is outstanding.
	afterWait func() []Action

	registryChecked bool // the registry has answered Reserve
	reserved        bool // the registry has this attempt as running
	dispatches      int  // number of dispatches so far
	replied         bool // the caller has been answered
	finalStateSet   bool // the attempt has a final state and must not be dispatched

	rowVersion    uint64        // version of the row of this attempt, 0 until it is known
	otherRow      *StoredRecord // row of another attempt that owns the key, as last read
	heldLocally   bool          // another attempt of this incarnation has the key
	rowReread     bool          // the row is read again because its owner could not report
	retryDelay    time.Duration
	outcome       Record // record of the final state to write
	outcomeWrites int    // number of writes of outcome so far
}

// NewMachine returns the state machine of one request.
func NewMachine(cfg Config, req Request) *Machine {
	return &Machine{cfg: cfg, req: req, retryDelay: cfg.MinRetryDelay}
}

// Done reports whether the request needs no more events.
func (m *Machine) Done() bool { return m.phase == phaseFinished }

// Dispatching reports whether a dispatch is outstanding.
func (m *Machine) Dispatching() bool { return m.phase == phaseDispatch }

// Step handles one event and returns the actions to execute.
func (m *Machine) Step(event Event) []Action {
	if m.phase == phaseFinished {
		return nil
	}
	switch e := event.(type) {
	case Started:
		return m.reserve()
	case Reserved:
		return m.onReserved(e)
	case Written:
		return m.onWritten(e.Result)
	case ReadDone:
		return m.onRead(e)
	case QueryOwnerDone:
		return m.onQueryOwnerDone(e.Report)
	case DispatchDone:
		return m.onDispatch(e)
	case WaitDone:
		return m.onWait()
	case DeadlinePassed:
		return m.onDeadline()
	default:
		return nil
	}
}

func (m *Machine) reserve() []Action {
	m.phase = phaseReserve
	return []Action{Reserve{}}
}

func (m *Machine) onReserved(e Reserved) []Action {
	m.registryChecked = true
	if m.replied {
		if e.Existing == nil {
			return m.finish([]Action{SetFinalState{State: StateAbandoned}})
		}
		return m.finish(nil)
	}
	if e.Existing == nil {
		m.reserved, m.heldLocally = true, false
		if m.req.KeyIsTicket {
			return m.dispatch()
		}
		return m.insert()
	}
	m.heldLocally = true
	switch {
	case e.Report.Digest != m.req.Digest:
		return m.finish(m.reply(Result{Kind: ResultConflict}))
	case e.Report.State == StateDone:
		return m.finish(m.reply(Result{Kind: ResultReplay, Answer: e.Report.Answer}))
	case e.Report.State == StateUnknown:
		return m.finish(m.reply(Result{Kind: ResultUnknown, Reason: ReasonAnswerLost}))
	case e.Report.State == StateGone:
		// The registry is full of unfinished attempts and did not add this one.
		return m.finish(m.reply(m.refusalResult(ReasonRegistryFull)))
	default:
		return m.retryLater(m.reserve)
	}
}

func (m *Machine) insert() []Action {
	m.phase = phaseInsert
	return []Action{Insert{Record: m.record(StateRunning, nil)}}
}

func (m *Machine) takeover() []Action {
	m.phase = phaseTakeover
	return []Action{Takeover{Record: m.record(StateRunning, nil), Version: m.otherRow.Version}}
}

func (m *Machine) read() []Action {
	m.phase = phaseRead
	return []Action{Read{}}
}

func (m *Machine) queryOwner() []Action {
	m.phase = phaseQueryOwner
	return []Action{QueryOwner{Owner: m.otherRow.Owner}}
}

func (m *Machine) record(state State, answer *Answer) Record {
	return Record{Owner: m.req.Owner, Digest: m.req.Digest, State: state, Answer: answer, Expires: m.req.Expires}
}

func (m *Machine) onWritten(r StoreResult) []Action {
	switch m.phase {
	case phaseInsert, phaseTakeover:
		return m.onOwnershipWrite(r)
	case phaseOutcome:
		return m.onOutcomeWrite(r)
	default:
		return nil
	}
}

// onOwnershipWrite handles the result of an Insert or Takeover, which makes this
// attempt the owner of the key.
func (m *Machine) onOwnershipWrite(r StoreResult) []Action {
	retry := m.insert
	if m.phase == phaseTakeover {
		retry = m.takeover
	}
	switch {
	case r.Status == StoreApplied:
		m.rowVersion = r.Version
		return m.onRowOwned()
	case r.Status == StoreConflict && r.Row != nil:
		return m.handleRow(r.Row)
	case m.finalStateSet:
		return m.finish(nil)
	case r.Status == StoreConflict:
		m.otherRow = nil
		return m.retryLater(m.insert)
	case r.Status == StoreUnknown:
		return m.read()
	default:
		return m.retryLater(retry)
	}
}

func (m *Machine) onRead(e ReadDone) []Action {
	switch {
	case m.finalStateSet && (e.Failed || e.Row == nil):
		return m.finish(nil)
	case e.Failed && m.rowReread:
		return m.abandon(m.resultReply(ResultUnknown, ReasonOwnerUnreachable))
	case e.Failed:
		return m.retryLater(m.read)
	case e.Row == nil:
		m.otherRow = nil
		return m.insert()
	default:
		return m.handleRow(e.Row)
	}
}

// handleRow continues according to the current row of the key.
func (m *Machine) handleRow(row *StoredRecord) []Action {
	if row.Attempt == m.req.Owner.Attempt {
		m.rowVersion = row.Version
		return m.onRowOwned()
	}
	if m.finalStateSet {
		return m.finish(nil)
	}
	unchanged := m.otherRow != nil && m.otherRow.Version == row.Version
	m.otherRow = row
	switch {
	case row.Digest != m.req.Digest:
		return m.abandon(m.resultReply(ResultConflict, ""))
	case row.State == StateDone:
		return m.adoptOutcome(StateDone, row.Answer)
	case row.State == StateUnknown:
		return m.adoptOutcome(StateUnknown, nil)
	case row.State == StateAbandoned:
		return m.takeover()
	case m.rowReread && unchanged:
		return m.abandon(m.resultReply(ResultUnknown, ReasonOwnerUnreachable))
	default:
		m.rowReread = false
		return m.queryOwner()
	}
}

// onRowOwned continues after the store has confirmed this attempt's row.
func (m *Machine) onRowOwned() []Action {
	m.otherRow = nil
	if m.finalStateSet {
		return m.writeOutcome(m.record(StateAbandoned, nil))
	}
	return m.dispatch()
}

func (m *Machine) onQueryOwnerDone(r Report) []Action {
	if m.finalStateSet {
		return m.finish(nil)
	}
	switch r.State {
	case StateAbandoned:
		return m.takeover()
	case StateDone:
		return m.adoptOutcome(StateDone, r.Answer)
	case StateUnknown:
		return m.adoptOutcome(StateUnknown, nil)
	case StateRunning:
		return m.retryLater(m.queryOwner)
	default:
		m.rowReread = true
		return m.read()
	}
}

func (m *Machine) dispatch() []Action {
	m.phase = phaseDispatch
	m.dispatches++
	m.retryDelay = m.cfg.MinRetryDelay
	return []Action{Dispatch{Number: m.dispatches}}
}

func (m *Machine) onDispatch(e DispatchDone) []Action {
	switch {
	case e.Status == DispatchAnswered:
		out := []Action{SetFinalState{State: StateDone, Answer: e.Answer}}
		out = append(out, m.reply(Result{Kind: ResultAnswer, Answer: e.Answer})...)
		return append(out, m.writeOutcome(m.record(StateDone, e.Answer))...)
	case e.Status == DispatchNotRun && !m.replied && m.dispatches < m.cfg.MaxDispatches:
		return m.dispatch()
	case e.Status == DispatchNotRun || e.Status == DispatchRefused:
		reason := ReasonNoBackend
		if e.Status == DispatchRefused {
			reason = ReasonRefused
		}
		out := m.abandon(m.reply(Result{Kind: ResultNotRun, Reason: reason, Cause: e.Cause}))
		if m.rowVersion > 0 {
			return append(out, m.writeOutcome(m.record(StateAbandoned, nil))...)
		}
		return out
	default:
		out := []Action{SetFinalState{State: StateUnknown}}
		out = append(out, m.reply(Result{Kind: ResultUnknown, Reason: ReasonAnswerLost, Cause: e.Cause})...)
		return append(out, m.writeOutcome(m.record(StateUnknown, nil))...)
	}
}

// onDeadline answers the caller. An outstanding dispatch continues, so that its
// outcome can be fetched with a retry. Before a dispatch, the attempt is
// abandoned, but the machine still waits for the result of an outstanding
// action, so that a row that was written can be marked as abandoned.
func (m *Machine) onDeadline() []Action {
	if m.replied {
		return nil
	}
	waiting := m.afterWait != nil
	switch {
	case m.phase == phaseDispatch:
		return m.reply(Result{Kind: ResultUnknown, Reason: ReasonStillRunning})
	case m.heldLocally:
		return m.finish(m.reply(Result{Kind: ResultUnknown, Reason: ReasonStillRunning}))
	}
	result := m.refusalResult(ReasonStoreTimeout)
	if m.otherRow != nil && m.phase != phaseTakeover {
		result = Result{Kind: ResultUnknown, Reason: ReasonStillRunning}
	}
	phase := m.phase
	out := m.abandon(m.reply(result))
	if phase != phaseNew && !waiting {
		m.phase = phase
	}
	return out
}
