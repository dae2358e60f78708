package claim

import "time"

// Config bounds the retries of Machine.
type Config struct {
	// MaxDispatches bounds the backend servers tried for one request. Each but
	// the last has to say that it did not run it.
	MaxDispatches int
	// FirstDelay and MaxDelay bound the exponential delay between retries at
	// the store and between questions to a running attempt's owner.
	FirstDelay, MaxDelay time.Duration
	// MaxOutcomeDelay bounds the delay between writes of an outcome, which
	// have no deadline: a caller may fetch the outcome for a day.
	MaxOutcomeDelay time.Duration
	// MaxAbandonWrites bounds the writes that mark an own row as abandoned.
	// They only help retries after this process is gone.
	MaxAbandonWrites int
}

// DefaultConfig returns the defaults. 10 ms is twice the group commit delay.
func DefaultConfig() Config {
	return Config{
		MaxDispatches:    3,
		FirstDelay:       10 * time.Millisecond,
		MaxDelay:         250 * time.Millisecond,
		MaxOutcomeDelay:  5 * time.Second,
		MaxAbandonWrites: 3,
	}
}

// phase is what the machine waits for.
type phase int

const (
	phaseNew phase = iota
	phaseReserve
	phaseInsert
	phaseTakeover
	phaseRead
	phaseAsk
	phaseDispatch
	phaseOutcome
	phaseFinished
)

// Machine handles one non-idempotent request. The caller serialises Step.
type Machine struct {
	cfg Config
	req Request

	phase phase
	// next runs after a Wait; nil when no Wait is outstanding.
	next func() []Action

	asked      bool // the register was asked for the key
	reserved   bool // the register holds this attempt as running
	dispatches int
	replied    bool
	settled    bool // SetFinalState was emitted: the attempt cannot dispatch any more

	version  uint64        // version of the own row, 0 when it was never seen
	other    *StoredRecord // row of another attempt that holds the key
	follows  bool          // a local attempt holds the key
	reread   bool          // the row was read again after its owner was gone
	delay    time.Duration
	outcome  Record
	attempts int // writes of the outcome
}

// NewMachine returns the machine of one request.
func NewMachine(cfg Config, req Request) *Machine {
	return &Machine{cfg: cfg, req: req, delay: cfg.FirstDelay}
}

// Done reports whether the request needs no more events.
func (m *Machine) Done() bool { return m.phase == phaseFinished }

// Dispatching reports whether a dispatch is outstanding.
func (m *Machine) Dispatching() bool { return m.phase == phaseDispatch }

// Step handles one event.
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
		return m.onAsk(e.Report)
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
	m.asked = true
	if m.replied {
		if e.Existing == nil {
			return m.finish([]Action{SetFinalState{State: StateAbandoned}})
		}
		return m.finish(nil)
	}
	if e.Existing == nil {
		m.reserved, m.follows = true, false
		if m.req.Ticket {
			return m.dispatch()
		}
		return m.insert()
	}
	m.follows = true
	switch {
	case e.Report.Digest != m.req.Digest:
		return m.finish(m.reply(Result{Kind: ResultConflict}))
	case e.Report.State == StateDone:
		return m.finish(m.reply(Result{Kind: ResultReplay, Answer: e.Report.Answer}))
	case e.Report.State == StateUnknown:
		return m.finish(m.reply(Result{Kind: ResultUnknown, Reason: ReasonAnswerLost}))
	case e.Report.State == StateGone:
		// The register is full of unfinished attempts, so nothing was started.
		return m.finish(m.reply(m.refusal(ReasonRegisterFull)))
	default:
		return m.wait(m.reserve)
	}
}

func (m *Machine) insert() []Action {
	m.phase = phaseInsert
	return []Action{Insert{Record: m.record(StateRunning, nil)}}
}

func (m *Machine) takeover() []Action {
	m.phase = phaseTakeover
	return []Action{Takeover{Record: m.record(StateRunning, nil), Version: m.other.Version}}
}

func (m *Machine) read() []Action {
	m.phase = phaseRead
	return []Action{Read{}}
}

func (m *Machine) ask() []Action {
	m.phase = phaseAsk
	return []Action{QueryOwner{Owner: m.other.Owner}}
}

func (m *Machine) record(state State, answer *Answer) Record {
	return Record{Owner: m.req.Owner, Digest: m.req.Digest, State: state, Answer: answer, Expires: m.req.Expires}
}

func (m *Machine) onWritten(r StoreResult) []Action {
	switch m.phase {
	case phaseInsert, phaseTakeover:
		return m.onClaimed(r)
	case phaseOutcome:
		return m.onOutcome(r)
	default:
		return nil
	}
}

// onClaimed handles the result of the write that names this attempt the owner.
func (m *Machine) onClaimed(r StoreResult) []Action {
	retry := m.insert
	if m.phase == phaseTakeover {
		retry = m.takeover
	}
	switch {
	case r.Status == StoreApplied:
		m.version = r.Version
		return m.owned()
	case r.Status == StoreConflict && r.Row != nil:
		return m.settle(r.Row)
	case m.settled:
		return m.finish(nil)
	case r.Status == StoreConflict:
		m.other = nil
		return m.wait(m.insert)
	case r.Status == StoreUnknown:
		return m.read()
	default:
		return m.wait(retry)
	}
}

func (m *Machine) onRead(e ReadDone) []Action {
	switch {
	case m.settled && (e.Failed || e.Row == nil):
		return m.finish(nil)
	case e.Failed && m.reread:
		return m.abandon(m.verdict(ResultUnknown, ReasonOwnerGone))
	case e.Failed:
		return m.wait(m.read)
	case e.Row == nil:
		m.other = nil
		return m.insert()
	default:
		return m.settle(e.Row)
	}
}

// settle acts on the current row of the key.
func (m *Machine) settle(row *StoredRecord) []Action {
	if row.Attempt == m.req.Owner.Attempt {
		m.version = row.Version
		return m.owned()
	}
	if m.settled {
		return m.finish(nil)
	}
	unchanged := m.other != nil && m.other.Version == row.Version
	m.other = row
	switch {
	case row.Digest != m.req.Digest:
		return m.abandon(m.verdict(ResultConflict, ""))
	case row.State == StateDone:
		return m.adopt(StateDone, row.Answer)
	case row.State == StateUnknown:
		return m.adopt(StateUnknown, nil)
	case row.State == StateAbandoned:
		return m.takeover()
	case m.reread && unchanged:
		return m.abandon(m.verdict(ResultUnknown, ReasonOwnerGone))
	default:
		m.reread = false
		return m.ask()
	}
}

// owned continues once the own row was seen.
func (m *Machine) owned() []Action {
	m.other = nil
	if m.settled {
		return m.writeOutcome(m.record(StateAbandoned, nil))
	}
	return m.dispatch()
}

func (m *Machine) onAsk(r Report) []Action {
	if m.settled {
		return m.finish(nil)
	}
	switch r.State {
	case StateAbandoned:
		return m.takeover()
	case StateDone:
		return m.adopt(StateDone, r.Answer)
	case StateUnknown:
		return m.adopt(StateUnknown, nil)
	case StateRunning:
		return m.wait(m.ask)
	default:
		m.reread = true
		return m.read()
	}
}

func (m *Machine) dispatch() []Action {
	m.phase = phaseDispatch
	m.dispatches++
	m.delay = m.cfg.FirstDelay
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
		reason := ReasonBackend
		if e.Status == DispatchRefused {
			reason = ReasonRefused
		}
		out := m.abandon(m.reply(Result{Kind: ResultNotRun, Reason: reason, Cause: e.Cause}))
		if m.version > 0 {
			return append(out, m.writeOutcome(m.record(StateAbandoned, nil))...)
		}
		return out
	default:
		out := []Action{SetFinalState{State: StateUnknown}}
		out = append(out, m.reply(Result{Kind: ResultUnknown, Reason: ReasonAnswerLost, Cause: e.Cause})...)
		return append(out, m.writeOutcome(m.record(StateUnknown, nil))...)
	}
}

// onDeadline answers the caller. An outstanding dispatch goes on, so that its
// outcome can be fetched; before a dispatch the attempt is abandoned, and the
// answer to an outstanding write is still awaited.
func (m *Machine) onDeadline() []Action {
	if m.replied {
		return nil
	}
	waiting := m.next != nil
	switch {
	case m.phase == phaseDispatch:
		return m.reply(Result{Kind: ResultUnknown, Reason: ReasonStillRunning})
	case m.follows:
		return m.finish(m.reply(Result{Kind: ResultUnknown, Reason: ReasonStillRunning}))
	}
	verdict := m.refusal(ReasonStore)
	if m.other != nil && m.phase != phaseTakeover {
		verdict = Result{Kind: ResultUnknown, Reason: ReasonStillRunning}
	}
	phase := m.phase
	out := m.abandon(m.reply(verdict))
	if phase != phaseNew && !waiting {
		m.phase = phase
	}
	return out
}
