package claim

// This file holds the steps of Machine that end a request.

// reply returns the Reply action unless the caller was answered before.
func (m *Machine) reply(v Result) []Action {
	if m.replied {
		return nil
	}
	m.replied = true
	return []Action{Reply{Reply: v}}
}

// verdict is a reply for use with abandon.
func (m *Machine) verdict(kind ResultKind, reason Reason) []Action {
	return []Action{Reply{Result{Kind: kind, Reason: reason}}}
}

// refusal is the reply to a call that ends before it owns the row of its key.
// A row that was read as abandoned proves nothing: another call may have taken
// it over and run since. A ticket of this incarnation runs nowhere else, so the
// register's answer that no attempt holds it is certain. The row of another
// attempt outweighs the caller's statement that there was none.
func (m *Machine) refusal(reason Reason) Result {
	switch {
	case m.req.Ticket && m.asked:
		return Result{Kind: ResultNotRun, Reason: reason}
	case m.req.FirstCall && m.other == nil:
		return Result{Kind: ResultNotRun, Reason: reason, EarlierCallUnknown: true}
	default:
		return Result{Kind: ResultUnknown, Reason: reason, EarlierCallUnknown: true}
	}
}

// abandon makes sure that the attempt never dispatches, records that in the
// register, and only then replies.
func (m *Machine) abandon(reply []Action) []Action {
	m.phase = phaseFinished
	m.next = nil
	var out []Action
	if m.reserved && !m.settled {
		out = append(out, SetFinalState{State: StateAbandoned})
	}
	m.settled = true
	if len(reply) > 0 {
		m.replied = true
	}
	return append(out, reply...)
}

// adopt answers with the final outcome of another attempt. The register keeps
// it under the own attempt, so that further local retries need no store.
func (m *Machine) adopt(state State, answer *Answer) []Action {
	v := Result{Kind: ResultReplay, Answer: answer}
	if state == StateUnknown {
		v = Result{Kind: ResultUnknown, Reason: ReasonAnswerLost}
	}
	m.settled = true
	out := append([]Action{SetFinalState{State: state, Answer: answer}}, m.reply(v)...)
	return m.finish(append(out, MarkRecorded{}))
}

func (m *Machine) finish(out []Action) []Action {
	m.phase = phaseFinished
	m.next = nil
	return out
}

// wait schedules a step after an exponentially growing delay.
func (m *Machine) wait(next func() []Action) []Action {
	m.next = next
	d := m.delay
	m.delay = min(2*m.delay, m.cfg.MaxDelay)
	return []Action{Wait{Delay: d}}
}

func (m *Machine) onWait() []Action {
	if m.next == nil {
		return nil
	}
	next := m.next
	m.next = nil
	return next()
}

// writeOutcome starts the write of the attempt's final state.
func (m *Machine) writeOutcome(r Record) []Action {
	m.settled = true
	m.outcome = r
	return m.retryOutcome()
}

func (m *Machine) retryOutcome() []Action {
	m.phase = phaseOutcome
	m.attempts++
	return []Action{WriteOutcome{Record: m.outcome, Version: m.version}}
}

// onOutcome handles the result of an outcome write. The write is conditional
// on the version of the own row, so that repeating it is safe.
func (m *Machine) onOutcome(r StoreResult) []Action {
	own := r.Row != nil && r.Row.Attempt == m.req.Owner.Attempt
	switch {
	case r.Status == StoreApplied, r.Status == StoreConflict && own && r.Row.State == m.outcome.State:
		return m.finish([]Action{MarkRecorded{}})
	case r.Status == StoreConflict && own:
		m.version = r.Row.Version
		return m.delayOutcome()
	case r.Status == StoreConflict:
		return m.finish(nil)
	default:
		return m.delayOutcome()
	}
}

func (m *Machine) delayOutcome() []Action {
	if m.outcome.State == StateAbandoned && m.attempts >= m.cfg.MaxAbandonWrites {
		return m.finish(nil)
	}
	m.next = m.retryOutcome
	d := m.delay
	m.delay = min(2*m.delay, m.cfg.MaxOutcomeDelay)
	return []Action{Wait{Delay: d}}
}
