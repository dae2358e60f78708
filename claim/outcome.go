package claim

// This file contains the steps of Machine that end a request.

// reply returns a Reply action, or nothing if the caller has been answered.
func (m *Machine) reply(result Result) []Action {
	if m.replied {
		return nil
	}
	m.replied = true
	return []Action{Reply{Reply: result}}
}

// resultReply returns a Reply action for use with abandon.
func (m *Machine) resultReply(kind ResultKind, reason Reason) []Action {
	return []Action{Reply{Result{Kind: kind, Reason: reason}}}
}

// refusalResult returns the result of a call that ends before its attempt owns
// the row of the key. A row that was read as abandoned does not prove that the
// request did not run: another call may have taken it over and run since. A
// ticket of this incarnation can run nowhere else, so that the registry's answer
// that no attempt has it is definite. The row of another attempt takes
// precedence over the caller's statement that this is the first call.
func (m *Machine) refusalResult(reason Reason) Result {
	switch {
	case m.req.KeyIsTicket && m.registryChecked:
		return Result{Kind: ResultNotRun, Reason: reason}
	case m.req.FirstCall && m.otherRow == nil:
		return Result{Kind: ResultNotRun, Reason: reason, EarlierCallUnknown: true}
	default:
		return Result{Kind: ResultUnknown, Reason: reason, EarlierCallUnknown: true}
	}
}

// abandon ends the request without a further dispatch. It emits the given reply
// after the state change in the registry, so that the attempt cannot run once
// the caller has been answered.
func (m *Machine) abandon(reply []Action) []Action {
	m.phase = phaseFinished
	m.afterWait = nil
	var out []Action
	if m.reserved && !m.finalStateSet {
		out = append(out, SetFinalState{State: StateAbandoned})
	}
	m.finalStateSet = true
	if len(reply) > 0 {
		m.replied = true
	}
	return append(out, reply...)
}

// adoptOutcome replies with the final outcome of another attempt. The registry
// keeps it as the outcome of this attempt, so that further retries at this
// incarnation do not read the store.
func (m *Machine) adoptOutcome(state State, answer *Answer) []Action {
	result := Result{Kind: ResultReplay, Answer: answer}
	if state == StateUnknown {
		result = Result{Kind: ResultUnknown, Reason: ReasonAnswerLost}
	}
	m.finalStateSet = true
	out := append([]Action{SetFinalState{State: state, Answer: answer}}, m.reply(result)...)
	return m.finish(append(out, MarkRecorded{}))
}

func (m *Machine) finish(out []Action) []Action {
	m.phase = phaseFinished
	m.afterWait = nil
	return out
}

// retryLater schedules a step after the current backoff and doubles the backoff.
func (m *Machine) retryLater(next func() []Action) []Action {
	m.afterWait = next
	d := m.retryDelay
	m.retryDelay = min(2*m.retryDelay, m.cfg.MaxRetryDelay)
	return []Action{Wait{Delay: d}}
}

func (m *Machine) onWait() []Action {
	if m.afterWait == nil {
		return nil
	}
	next := m.afterWait
	m.afterWait = nil
	return next()
}

// writeOutcome starts to write the attempt's final state to its row.
func (m *Machine) writeOutcome(r Record) []Action {
	m.finalStateSet = true
	m.outcome = r
	return m.sendOutcomeWrite()
}

func (m *Machine) sendOutcomeWrite() []Action {
	m.phase = phaseOutcome
	m.outcomeWrites++
	return []Action{WriteOutcome{Record: m.outcome, Version: m.rowVersion}}
}

// onOutcomeWrite handles the result of an outcome write. The write is safe to
// repeat, because it is conditional on the version of this attempt's row.
func (m *Machine) onOutcomeWrite(r StoreResult) []Action {
	ownRow := r.Row != nil && r.Row.Attempt == m.req.Owner.Attempt
	switch {
	case r.Status == StoreApplied, r.Status == StoreConflict && ownRow && r.Row.State == m.outcome.State:
		return m.finish([]Action{MarkRecorded{}})
	case r.Status == StoreConflict && ownRow:
		m.rowVersion = r.Row.Version
		return m.retryOutcomeLater()
	case r.Status == StoreConflict:
		return m.finish(nil)
	default:
		return m.retryOutcomeLater()
	}
}

func (m *Machine) retryOutcomeLater() []Action {
	if m.outcome.State == StateAbandoned && m.outcomeWrites >= m.cfg.MaxAbandonWrites {
		return m.finish(nil)
	}
	m.afterWait = m.sendOutcomeWrite
	d := m.retryDelay
	m.retryDelay = min(2*m.retryDelay, m.cfg.MaxOutcomeRetryDelay)
	return []Action{Wait{Delay: d}}
}
