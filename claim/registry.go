package claim

import (
	"container/list"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// RegistryConfig limits the memory and the retention of Registry.
type RegistryConfig struct {
	// MaxAttempts and MaxAnswerBytes limit the attempts and the answers that are
	// kept. New attempts are refused when only attempts are left that must not be
	// evicted.
	MaxAttempts    int
	MaxAnswerBytes int
	// RecordedTTL is how long an attempt is kept after its outcome was recorded
	// in the store.
	RecordedTTL time.Duration
	// AbandonedTTL is how long an abandoned attempt is kept. A later retry gets an
	// unknown outcome, so the TTL exceeds the time in which callers retry.
	AbandonedTTL time.Duration
}

// DefaultRegistryConfig returns the default configuration. The 32 MiB of answers
// are an eighth of the memory that an entry instance may use for control.
func DefaultRegistryConfig() RegistryConfig {
	return RegistryConfig{
		MaxAttempts:    65536,
		MaxAnswerBytes: 32 << 20,
		RecordedTTL:    5 * time.Minute,
		AbandonedTTL:   time.Hour,
	}
}

// attempt is an entry of Registry.
type attempt struct {
	key         Key
	digest      Digest
	owner       Owner
	state       State
	answer      *Answer
	answerBytes int
	recorded    bool // the store has the outcome
	// ticketExpires is the expiry of the ticket that is the key, or 0. Until then
	// the attempt must be kept, because nothing but the registry of the minting
	// incarnation shows that the ticket was used.
	ticketExpires time.Duration
	changedAt     time.Duration // time of the last state change
	evictionList  *list.List    // list that contains the attempt, nil if none
	evictionElem  *list.Element
}

// Registry keeps the attempts of one incarnation in memory. It is authoritative
// for their state: an attempt leaves StateRunning at most once. The caller
// serialises calls.
type Registry struct {
	cfg         RegistryConfig
	byAttempt   map[ident.AttemptID]*attempt
	byKey       map[Key]*attempt
	answerBytes int
	// The lists contain the attempts that may be evicted, oldest first.
	recordedAttempts, abandonedAttempts, ticketAttempts list.List
}

// NewRegistry returns an empty registry.
func NewRegistry(cfg RegistryConfig) *Registry {
	return &Registry{
		cfg:       cfg,
		byAttempt: make(map[ident.AttemptID]*attempt),
		byKey:     make(map[Key]*attempt),
	}
}

// Len returns the number of attempts.
func (r *Registry) Len() int { return len(r.byAttempt) }

// AnswerBytes returns the total size of the answer bodies.
func (r *Registry) AnswerBytes() int { return r.answerBytes }

// Reserve adds the request's attempt unless another attempt, which is not
// abandoned, already has the key. In that case it returns that attempt. If the
// registry is full, the returned state is StateGone. The argument ticketExpires
// is the expiry of the ticket that is the key, or 0.
func (r *Registry) Reserve(now time.Duration, req Request, ticketExpires time.Duration) Reserved {
	r.removeExpired(now)
	if a, ok := r.byKey[req.Key]; ok && a.state != StateAbandoned {
		owner := a.owner
		return Reserved{Existing: &owner, Report: a.report()}
	}
	if ticketExpires > 0 && now >= ticketExpires {
		// The ticket has expired since it was verified, and an attempt that used it
		// may have been removed.
		return Reserved{Existing: &Owner{}, Report: Report{State: StateUnknown, Digest: req.Digest}}
	}
	if !r.evict(now) {
		return Reserved{Existing: &Owner{}, Report: Report{State: StateGone, Digest: req.Digest}}
	}
	a := &attempt{
		key: req.Key, digest: req.Digest, owner: req.Owner,
		state: StateRunning, ticketExpires: ticketExpires, changedAt: now,
	}
	r.byKey[req.Key] = a
	r.byAttempt[req.Owner.Attempt] = a
	return Reserved{}
}

// SetFinalState sets the final state of a running attempt. It returns false if the
// attempt is not running, so that a final state is never replaced.
func (r *Registry) SetFinalState(now time.Duration, id ident.AttemptID, state State, answer *Answer) bool {
	a, ok := r.byAttempt[id]
	if !ok || a.state != StateRunning {
		return false
	}
	a.state, a.answer, a.changedAt = state, answer, now
	if answer != nil {
		a.answerBytes = len(answer.Body)
		r.answerBytes += a.answerBytes
	}
	switch {
	case state == StateAbandoned:
		r.addToList(a, &r.abandonedAttempts)
	case a.ticketExpires > 0:
		r.addToList(a, &r.ticketAttempts)
	}
	return true
}

// MarkRecorded marks that the store has the outcome of an attempt.
func (r *Registry) MarkRecorded(now time.Duration, id ident.AttemptID) {
	a, ok := r.byAttempt[id]
	if !ok || a.state == StateRunning {
		return
	}
	a.recorded, a.changedAt = true, now
	if a.evictionList == nil {
		r.addToList(a, &r.recordedAttempts)
	}
}

// ReportByAttempt reports the state of an attempt, or StateGone if it is not in the registry.
func (r *Registry) ReportByAttempt(id ident.AttemptID) Report {
	a, ok := r.byAttempt[id]
	if !ok {
		return Report{State: StateGone}
	}
	return a.report()
}

// ReportByKey reports the state of the attempt that has a key, or StateGone if
// there is none in the registry.
func (r *Registry) ReportByKey(key Key) Report {
	a, ok := r.byKey[key]
	if !ok {
		return Report{State: StateGone}
	}
	return a.report()
}

// MayDispatch reports whether an attempt is running. Checking it prevents a
// dispatch after the attempt was reported as abandoned.
func (r *Registry) MayDispatch(id ident.AttemptID) bool {
	a, ok := r.byAttempt[id]
	return ok && a.state == StateRunning
}

func (a *attempt) report() Report {
	return Report{State: a.state, Digest: a.digest, Answer: a.answer}
}

func (r *Registry) addToList(a *attempt, l *list.List) {
	a.evictionList, a.evictionElem = l, l.PushBack(a)
}

// removeExpired removes attempts that have been kept long enough.
func (r *Registry) removeExpired(now time.Duration) {
	r.removeWhile(&r.recordedAttempts, func(a *attempt) bool { return now-a.changedAt >= r.cfg.RecordedTTL })
	r.removeWhile(&r.abandonedAttempts, func(a *attempt) bool { return now-a.changedAt >= r.cfg.AbandonedTTL })
	r.removeWhile(&r.ticketAttempts, func(a *attempt) bool { return a.recorded && now >= a.ticketExpires })
}

// evict removes attempts before the end of their TTL if the registry is full.
// It starts with those whose outcome is recorded in the store. It returns false
// if the registry is still full.
func (r *Registry) evict(now time.Duration) bool {
	full := func(*attempt) bool {
		return len(r.byAttempt) >= r.cfg.MaxAttempts || r.answerBytes > r.cfg.MaxAnswerBytes
	}
	r.removeWhile(&r.recordedAttempts, full)
	r.removeWhile(&r.abandonedAttempts, full)
	r.removeWhile(&r.ticketAttempts, func(a *attempt) bool { return full(a) && now >= a.ticketExpires })
	return !full(nil)
}

func (r *Registry) removeWhile(l *list.List, remove func(*attempt) bool) {
	for e := l.Front(); e != nil && remove(e.Value.(*attempt)); e = l.Front() {
		a := l.Remove(e).(*attempt)
		delete(r.byAttempt, a.owner.Attempt)
		if r.byKey[a.key] == a {
			delete(r.byKey, a.key)
		}
		r.answerBytes -= a.answerBytes
	}
}
