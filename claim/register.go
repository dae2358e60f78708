package claim

import (
	"container/list"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// RegistryConfig bounds what an incarnation remembers.
type RegistryConfig struct {
	// MaxAttempts and MaxAnswerBytes bound the register. When only attempts
	// that must be remembered are left, new ones are refused.
	MaxAttempts    int
	MaxAnswerBytes int
	// RecordedAge is how long an attempt whose outcome is in the store stays.
	RecordedAge time.Duration
	// AbandonedAge is how long an abandoned attempt stays. Afterwards a retry
	// gets an unknown outcome, so it exceeds the time in which callers retry.
	AbandonedAge time.Duration
}

// DefaultRegistryConfig returns the defaults: 32 MiB of answers is an eighth of
// the memory that an entry instance may use for control.
func DefaultRegistryConfig() RegistryConfig {
	return RegistryConfig{
		MaxAttempts:    65536,
		MaxAnswerBytes: 32 << 20,
		RecordedAge:    5 * time.Minute,
		AbandonedAge:   time.Hour,
	}
}

// attempt is one remembered attempt.
type attempt struct {
	key      Key
	digest   Digest
	owner    Owner
	state    State
	answer   *Answer
	bytes    int
	recorded bool
	// pinned is the end of the key's ticket. Until then the minting incarnation
	// is the only memory that the ticket was used.
	pinned time.Duration
	since  time.Duration
	list   *list.List
	elem   *list.Element
}

// Registry remembers the attempts of one incarnation. It is the place where an
// attempt changes from running to abandoned, once. The caller serialises calls.
type Registry struct {
	cfg       RegistryConfig
	byAttempt map[ident.AttemptID]*attempt
	byKey     map[Key]*attempt
	bytes     int
	// The lists hold attempts that may be forgotten, oldest first.
	recorded, abandoned, pinned list.List
}

// NewRegistry returns an empty register.
func NewRegistry(cfg RegistryConfig) *Registry {
	return &Registry{
		cfg:       cfg,
		byAttempt: make(map[ident.AttemptID]*attempt),
		byKey:     make(map[Key]*attempt),
	}
}

// Len returns the number of remembered attempts.
func (r *Registry) Len() int { return len(r.byAttempt) }

// Bytes returns the size of the remembered answers.
func (r *Registry) Bytes() int { return r.bytes }

// Reserve makes the request's attempt the only local one for its key. It
// returns the attempt that already holds the key, or StateGone when the
// register is full. Pinned is the end of the ticket that is the key, or 0.
func (r *Registry) Reserve(now time.Duration, req Request, pinned time.Duration) Reserved {
	r.expire(now)
	if a, ok := r.byKey[req.Key]; ok && a.state != StateAbandoned {
		owner := a.owner
		return Reserved{Existing: &owner, Report: a.report()}
	}
	if pinned > 0 && now >= pinned {
		// The ticket expired since it was verified, and its use may be forgotten.
		return Reserved{Existing: &Owner{}, Report: Report{State: StateUnknown, Digest: req.Digest}}
	}
	if !r.makeRoom(now) {
		return Reserved{Existing: &Owner{}, Report: Report{State: StateGone, Digest: req.Digest}}
	}
	a := &attempt{
		key: req.Key, digest: req.Digest, owner: req.Owner,
		state: StateRunning, pinned: pinned, since: now,
	}
	r.byKey[req.Key] = a
	r.byAttempt[req.Owner.Attempt] = a
	return Reserved{}
}

// SetFinalState records the final state of a running attempt. It returns false if
// the attempt is not running, so that no state is ever replaced.
func (r *Registry) SetFinalState(now time.Duration, id ident.AttemptID, state State, answer *Answer) bool {
	a, ok := r.byAttempt[id]
	if !ok || a.state != StateRunning {
		return false
	}
	a.state, a.answer, a.since = state, answer, now
	if answer != nil {
		a.bytes = len(answer.Body)
		r.bytes += a.bytes
	}
	switch {
	case state == StateAbandoned:
		r.file(a, &r.abandoned)
	case a.pinned > 0:
		r.file(a, &r.pinned)
	}
	return true
}

// MarkRecorded marks an attempt whose outcome the store holds.
func (r *Registry) MarkRecorded(now time.Duration, id ident.AttemptID) {
	a, ok := r.byAttempt[id]
	if !ok || a.state == StateRunning {
		return
	}
	a.recorded, a.since = true, now
	if a.list == nil {
		r.file(a, &r.recorded)
	}
}

// ReportByAttempt reports the state of an attempt, StateGone if it is not remembered.
func (r *Registry) ReportByAttempt(id ident.AttemptID) Report {
	a, ok := r.byAttempt[id]
	if !ok {
		return Report{State: StateGone}
	}
	return a.report()
}

// AskKey reports the attempt that holds a key here, StateGone if there is none.
func (r *Registry) AskKey(key Key) Report {
	a, ok := r.byKey[key]
	if !ok {
		return Report{State: StateGone}
	}
	return a.report()
}

// MayDispatch reports whether an attempt is still running. It guards against a
// dispatch after the attempt was reported as abandoned.
func (r *Registry) MayDispatch(id ident.AttemptID) bool {
	a, ok := r.byAttempt[id]
	return ok && a.state == StateRunning
}

func (a *attempt) report() Report {
	return Report{State: a.state, Digest: a.digest, Answer: a.answer}
}

func (r *Registry) file(a *attempt, l *list.List) {
	a.list, a.elem = l, l.PushBack(a)
}

// expire forgets old attempts.
func (r *Registry) expire(now time.Duration) {
	r.dropWhile(&r.recorded, func(a *attempt) bool { return now-a.since >= r.cfg.RecordedAge })
	r.dropWhile(&r.abandoned, func(a *attempt) bool { return now-a.since >= r.cfg.AbandonedAge })
	r.dropWhile(&r.pinned, func(a *attempt) bool { return a.recorded && now >= a.pinned })
}

// makeRoom forgets attempts before their age if the register is full. Attempts
// whose outcome is in the store go first.
func (r *Registry) makeRoom(now time.Duration) bool {
	full := func(*attempt) bool {
		return len(r.byAttempt) >= r.cfg.MaxAttempts || r.bytes > r.cfg.MaxAnswerBytes
	}
	r.dropWhile(&r.recorded, full)
	r.dropWhile(&r.abandoned, full)
	r.dropWhile(&r.pinned, func(a *attempt) bool { return full(a) && now >= a.pinned })
	return !full(nil)
}

func (r *Registry) dropWhile(l *list.List, drop func(*attempt) bool) {
	for e := l.Front(); e != nil && drop(e.Value.(*attempt)); e = l.Front() {
		a := l.Remove(e).(*attempt)
		delete(r.byAttempt, a.owner.Attempt)
		if r.byKey[a.key] == a {
			delete(r.byKey, a.key)
		}
		r.bytes -= a.bytes
	}
}
