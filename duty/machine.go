package duty

import (
	"fmt"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/lease"
)

// Config holds the limits and durations of the duties.
type Config struct {
	// ReportsUsage is true if usage windows are to be reported.
	ReportsUsage bool
	// ChecksTokens is true if the platform refuses calls with an outdated token.
	ChecksTokens bool
	// CallRate is the number of calls a second that the platform accepts.
	CallRate float64
	// HolderTime is the time within which a duty must not return to an earlier holder.
	HolderTime time.Duration
	// LeaseLength is how long a former holder may act after another one has acquired the lease.
	LeaseLength time.Duration
	// LateCallTime is how long a call without an answer may take until it is done.
	LateCallTime time.Duration
	// CallTime bounds a call.
	CallTime time.Duration
	// RetryMin and RetryMax bound the delay until a call or a store access is repeated.
	RetryMin, RetryMax time.Duration
	// RejectDelay is the delay until a call that the platform does not understand is repeated.
	RejectDelay time.Duration
	// UsageWindow is the length of a usage window, UsageDelay the time from its end until the
	// report is due.
	UsageWindow, UsageDelay time.Duration
	// StartedAt is when the process started, on the clock that is passed to Step.
	StartedAt time.Duration
}

// rateShare is the share of the platform's call rate that is used. The platform may count in
// windows of its own, in which evenly spaced calls arrive unevenly.
const rateShare = 0.8

// Machine decides which calls are made. It is not safe for concurrent use.
type Machine struct {
	cfg Config

	held  bool
	grant lease.Grant
	// callsFrom is the earliest time of a call under the lease.
	callsFrom time.Duration
	// actsUntil is when the last call of this machine that has ended can be done at the latest.
	actsUntil time.Duration
	// outdated holds the duties for which another holder has used a higher token. This holder
	// makes no more calls for them.
	outdated map[Kind]bool
	// invalidEpoch is true if the lease's epoch does not fit into a token.
	invalidEpoch bool
	// nextCallAt keeps the rate of calls.
	nextCallAt time.Duration
	// attemptCount numbers reads, writes and calls, and calls holds the calls in flight.
	attemptCount uint64
	calls        map[uint64]*call

	usage usage
	sizes []*size // In the order of their subjects.

	actions []Action
}

// call is a call in flight. Either window or size is set.
type call struct {
	Call
	window *window
	size   *size
	sentAt time.Duration
	epoch  ident.Epoch
}

// New returns a machine that does not hold the lease.
func New(cfg Config) *Machine {
	return &Machine{
		cfg: cfg, calls: make(map[uint64]*call), outdated: make(map[Kind]bool),
		usage: usage{rows: make(map[int64]bool)},
		// An earlier run on this machine may have called until its end.
		actsUntil: cfg.StartedAt + cfg.LateCallTime,
	}
}

// Step handles one event and returns the actions to perform.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	m.actions = nil
	switch e := ev.(type) {
	case LeaseChanged:
		m.handleLeaseChanged(now, e)
	case WindowCounted:
		m.handleWindowCounted(now, e)
	case SizeWanted:
		m.handleSizeWanted(e)
	case RowsRead:
		m.handleRowsRead(now, e)
	case ReadFailed:
		m.handleReadFailed(now, e)
	case Written:
		m.handleWritten(now, e)
	case Called:
		m.handleCalled(now, e)
	}
	if m.held && now < m.grant.Expires {
		m.expireWindows(now)
		m.accessStore(now)
		m.makeCalls(now)
	}
	return m.actions
}

func (m *Machine) emit(a Action) { m.actions = append(m.actions, a) }

// nextAttempt returns the number of the next read, write or call.
func (m *Machine) nextAttempt() uint64 {
	m.attemptCount++
	return m.attemptCount
}

func (m *Machine) handleLeaseChanged(now time.Duration, e LeaseChanged) {
	switch {
	case !e.Held:
		m.endTerm()
	case !m.held || e.Grant.Epoch != m.grant.Epoch:
		m.endTerm()
		m.beginTerm(now, e)
	default:
		m.grant = e.Grant
	}
}

// beginTerm begins to act under an acquired lease. The former holder may still act until its
// lease has expired. If it was another machine, this one must not act shortly after its own
// calls of an earlier term either.
func (m *Machine) beginTerm(now time.Duration, e LeaseChanged) {
	// Each acquisition raises the epoch by one, and the first one after a restore of the store by
	// more: nobody else has held the lease since this run did.
	uninterrupted := m.grant.Epoch != 0 && e.Grant.Epoch == m.grant.Epoch+1
	m.held, m.grant = true, e.Grant
	wait := max(m.cfg.HolderTime, m.cfg.LeaseLength)
	if !m.cfg.ChecksTokens {
		// Nothing but time keeps a call of the former holder from being done after one of this.
		wait = max(wait, m.cfg.LeaseLength+m.cfg.LateCallTime)
	}
	actsUntil := m.actsUntil
	for _, c := range m.calls {
		actsUntil = max(actsUntil, c.sentAt+m.cfg.LateCallTime)
	}
	switch {
	case uninterrupted && m.cfg.ChecksTokens:
		m.callsFrom = max(now, m.callsFrom)
	case uninterrupted:
		m.callsFrom = max(now, m.callsFrom, actsUntil)
	case e.OwnFormerRun:
		m.callsFrom = now + wait
	default:
		m.callsFrom = max(now+wait, actsUntil+m.cfg.HolderTime)
	}
	_, err := NewToken(m.grant.Epoch, maxSequence)
	if m.invalidEpoch = err != nil; m.invalidEpoch {
		m.emit(LogEntry{Text: "no duty is done: the lease's epoch is too large", Detail: err.Error()})
	}
}

// endTerm forgets what only the holder of the lease knows.
func (m *Machine) endTerm() {
	m.held = false
	clear(m.outdated)
	m.sizes = nil
	m.endUsageTerm()
}

// makeCalls makes the calls that are due.
func (m *Machine) makeCalls(now time.Duration) {
	for now >= m.callsFrom && now >= m.nextCallAt && now+m.cfg.CallTime <= m.grant.Expires && !m.invalidEpoch {
		c := m.nextReport(now)
		if c == nil {
			c = m.nextOrder(now)
		}
		if c == nil {
			return
		}
		c.Attempt, c.Expires, c.sentAt, c.epoch = m.nextAttempt(), m.grant.Expires, now, m.grant.Epoch
		m.calls[c.Attempt] = c
		m.nextCallAt = now + time.Duration(float64(time.Second)/(rateShare*m.cfg.CallRate))
		m.emit(c.Call)
	}
}

// token returns the token of a sequence number. beginTerm has checked that the epoch fits.
func (m *Machine) token(sequence uint64) Token {
	t, err := NewToken(m.grant.Epoch, sequence)
	if err != nil {
		panic(err)
	}
	return t
}

func (m *Machine) handleCalled(now time.Duration, e Called) {
	c, ok := m.calls[e.Attempt]
	if !ok {
		return
	}
	delete(m.calls, e.Attempt)
	switch e.Outcome.Result {
	case NotSent:
	case Unanswered:
		m.actsUntil = max(m.actsUntil, c.sentAt+m.cfg.LateCallTime)
	default:
		m.actsUntil = max(m.actsUntil, now)
	}
	if e.Outcome.Result == Outdated && m.held && c.epoch == m.grant.Epoch {
		m.outdated[c.Kind] = true
		m.emit(LogEntry{
			Text: "duty ends until the lease is acquired again: the platform has seen a higher token",
			Kind: c.Kind, Subject: c.Subject(), Detail: fmt.Sprintf("token %d", c.Token),
		})
	}
	if c.window != nil {
		m.handleReported(now, c, e.Outcome.Result)
	} else {
		m.handleOrdered(now, c, e.Outcome.Result)
	}
}

// Subject returns the name of what a call is about.
func (c *Call) Subject() string {
	if c.Kind == ReportUsage {
		return fmt.Sprint(c.Window)
	}
	return fmt.Sprintf("%s/%s", c.Service, c.DataCentre)
}

// retry is the delay until something is repeated, which doubles with each failure.
type retry struct {
	at, delay time.Duration
}

// fail delays the next attempt after a failed one.
func (r *retry) fail(now time.Duration, cfg *Config) {
	r.delay = min(max(cfg.RetryMin, 2*r.delay), cfg.RetryMax)
	r.at = now + r.delay
}

// failCall delays the repetition of a call.
func (r *retry) failCall(now time.Duration, result Result, cfg *Config) {
	if r.fail(now, cfg); result == Rejected {
		r.at = now + cfg.RejectDelay
	}
}
