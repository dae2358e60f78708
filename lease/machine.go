package lease

import (
	"fmt"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// Config holds the durations of a lease.
type Config struct {
	// Length is how long a lease lasts after each renewal.
	Length time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// ReadInterval is the time between the preferred contender's reads of the rows. Others
	// read less often, in proportion to their rank, so that the reads per service
	// grow with the logarithm of the number of entry instances.
	ReadInterval time.Duration
	// RetryDelay is the delay after a failed read, or after a write that the store
	// refused.
	RetryDelay time.Duration
	// RankDelay is the additional time that an entry instance waits for each rank
	// before it acquires a free lease, up to three ranks. If it is longer than
	// ReadInterval, the preferred entry instance sees a released lease before the
	// others may acquire it.
	RankDelay time.Duration
	// HandOverDelay is how long another entry instance has to be preferred before the
	// holder releases the lease to it.
	HandOverDelay time.Duration
	// MaxCommandDelay is the longest time that a command to an engine can be in
	// transit.
	MaxCommandDelay time.Duration
	// Fenced is set if every receiver of commands checks the fencing token. A former
	// holder that is unknown, because the store was restored from an older copy, then need
	// not be waited out.
	Fenced bool
}

// DefaultConfig returns the default durations.
func DefaultConfig() Config {
	return Config{
		Length:          6 * time.Second,
		RenewInterval:   2 * time.Second,
		ReadInterval:    time.Second,
		RetryDelay:      300 * time.Millisecond,
		RankDelay:       1200 * time.Millisecond,
		HandOverDelay:   time.Minute,
		MaxCommandDelay: time.Second,
	}
}

// Margin returns the allowance for clock drift during a lease of the given length.
func Margin(length time.Duration) time.Duration {
	return length/10 + 500*time.Millisecond
}

// maxDelayedRanks is the rank from which the delay by RankDelay no longer grows.
const maxDelayedRanks = 3

// maxTrackedAttempts is the number of latest own writes that are recognised when the
// rows are read.
const maxTrackedAttempts = 8

// attempt is a write of this entry instance: an acquisition, a release or a renewal.
type attempt struct {
	id      string
	sentAt  time.Duration
	acquire bool
	release bool
	// former is the holder before an acquisition. It is zero in the first acquisition after a
	// restore of the store: the row may be that of an earlier holder.
	former Identity
}

// observation is the state of the rows according to the last read or write.
type observation struct {
	known        bool
	version      uint64
	epochVersion uint64
	row          Row
	epoch        ident.Epoch
	// era is the store's era at the last read. eraSince is when it was first read.
	era      uint64
	eraSince time.Duration
	// firstSeen and lastSeen are when this version of the lease row was first and last
	// read or written.
	firstSeen, lastSeen time.Duration
}

// Machine contends for and holds the lease of one service. It is not safe for concurrent
// use.
type Machine struct {
	cfg     Config
	self    Identity
	service ident.ServiceName

	observed     observation
	grant        Grant
	holdsLease   bool
	shuttingDown bool
	standby      bool
	endedHolder  Identity
	// heldUntilRestore is set if this entry instance held the lease when it noticed that the
	// store was restored, so that no other one can hold it.
	heldUntilRestore bool
	rank             int
	// preferenceChangedAt is when this entry instance last became or ceased to be the
	// preferred holder, or when it last released the lease. HandOverDelay is measured
	// from it.
	preferenceChangedAt time.Duration

	attempts []attempt
	writing  bool
	reading  bool
	// readDue requires a read before the next write.
	readDue      bool
	attemptCount int
	nextReadAt   time.Duration
	retryAt      time.Duration
}

// New returns a machine that does not hold the lease.
func New(cfg Config, self Identity, service ident.ServiceName) *Machine {
	return &Machine{cfg: cfg, self: self, service: service}
}

// Held returns the grant while the lease lasts. It decides by time alone, so a
// holder that was paused past its lease gets false before any event arrives.
func (m *Machine) Held(now time.Duration) (Grant, bool) {
	if !m.holdsLease || now >= m.grant.Expires {
		return Grant{}, false
	}
	return m.grant, true
}

// Holder returns the holder according to the last read or write. It returns false if the
// row was not read yet or the lease was released.
func (m *Machine) Holder() (Identity, bool) {
	h := m.observed.row.Holder
	return h, m.observed.known && h.Instance != ""
}

// Step handles one event and returns the actions to perform.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	var out []Action
	if m.holdsLease && now >= m.grant.Expires {
		out = m.loseLease(out)
	}
	switch e := ev.(type) {
	case RowsRead:
		m.reading, m.readDue = false, false
		out = m.observe(now, e, out)
	case ReadFailed:
		m.reading = false
		m.retryAt = now + m.cfg.RetryDelay
	case Written:
		out = m.handleWritten(now, e, out)
	case RankChanged:
		if (e.Rank == 0) != (m.rank == 0) {
			m.preferenceChangedAt = now
		}
		m.rank = e.Rank
		m.nextReadAt = min(m.nextReadAt, now+m.readInterval())
	case HolderEnded:
		m.endedHolder = e.Holder
		if e.Holder != (Identity{}) && e.Holder == m.observed.row.Holder && !m.standby {
			m.readDue = true
		}
	case Leave:
		m.shuttingDown = true
	case Standby:
		m.standby = e.On
	}
	return m.nextAction(now, out)
}

func (m *Machine) loseLease(out []Action) []Action {
	m.holdsLease = false
	return append(out, Lost{Epoch: m.grant.Epoch})
}

// observe updates the state from the rows of a read.
func (m *Machine) observe(now time.Duration, e RowsRead, out []Action) []Action {
	row := decodeRow(e.Lease)
	if e.Era < m.observed.era {
		m.readDue = true // An answer from before a restore of the store.
		return out
	}
	if !m.observed.known || e.Era > m.observed.era {
		out = m.beginEra(now, e.Era, out)
	}
	m.recordRow(now, e.Lease.Version, e.Epoch.Version, row, max(row.Epoch, decodeEpoch(e.Epoch).Epoch))
	m.nextReadAt = now + m.readInterval()
	if end := m.observed.firstSeen + m.takeoverWait(); m.rank < maxDelayedRanks && end > now {
		// The most preferred contenders read again when the lease can be acquired.
		m.nextReadAt = min(m.nextReadAt, end)
	}
	for _, a := range m.attempts {
		if e.Lease.Version != 0 && a.id == row.Attempt {
			return m.applyWrite(now, a, out)
		}
	}
	if m.holdsLease && (row.Holder != m.self || row.Epoch != m.grant.Epoch) {
		return m.loseLease(out)
	}
	return out
}

// epochsPerEra is the number of epochs that each era of the store has for itself, so that no
// epoch is given out again when a restored store has an older one.
const epochsPerEra = 1 << 16

// beginEra handles the first read of the rows, and the first one after a restore of the store.
// The rows may then be those of an earlier holder, and writes of the former era count no more.
func (m *Machine) beginEra(now time.Duration, era uint64, out []Action) []Action {
	if m.observed.known {
		m.attempts, m.heldUntilRestore = nil, m.holdsLease
		if m.holdsLease {
			out = m.loseLease(out)
		}
	}
	m.observed.era, m.observed.eraSince = era, now
	return out
}

// firstEpoch returns the lowest epoch of the store's era, or 0 if it was never restored.
func (m *Machine) firstEpoch() ident.Epoch {
	if m.observed.era <= 1 {
		return 0
	}
	return ident.Epoch((m.observed.era - 1) * epochsPerEra)
}

// recordRow stores the state of the rows after a read or write.
func (m *Machine) recordRow(now time.Duration, version, epochVersion uint64, row Row, epoch ident.Epoch) {
	if !m.observed.known || m.observed.version != version {
		m.observed.firstSeen = now
	}
	m.observed.known, m.observed.lastSeen = true, now
	m.observed.version, m.observed.epochVersion = version, epochVersion
	m.observed.row, m.observed.epoch = row, epoch
}

// handleWritten handles the result of a write.
func (m *Machine) handleWritten(now time.Duration, e Written, out []Action) []Action {
	m.writing = false
	a, ok := m.findAttempt(e.Attempt)
	if !ok {
		return out
	}
	switch e.Outcome {
	case infra.OutcomeApplied:
		row, epoch := m.attemptRow(a)
		epochVersion := m.observed.epochVersion
		if a.acquire {
			epochVersion = e.Version
		}
		m.recordRow(now, e.Version, epochVersion, row, epoch)
		return m.applyWrite(now, a, out)
	case infra.OutcomeNotApplied:
		m.retryAt = now + m.cfg.RetryDelay
	default:
		// The write may have been applied: read the rows before the next write.
		m.readDue = true
	}
	return out
}

func (m *Machine) findAttempt(id string) (attempt, bool) {
	for _, a := range m.attempts {
		if a.id == id {
			return a, true
		}
	}
	return attempt{}, false
}

// applyWrite acquires or renews the lease after one of this entry instance's writes was
// applied.
func (m *Machine) applyWrite(now time.Duration, a attempt, out []Action) []Action {
	if a.release {
		return out
	}
	expires := a.sentAt + m.cfg.Length - Margin(m.cfg.Length)
	switch {
	case now >= expires:
		// The lease expired before the result arrived. The row still names this entry
		// instance, so it can acquire the lease again at once with a new epoch.
	case a.acquire && !m.holdsLease:
		m.holdsLease, m.heldUntilRestore = true, false
		m.grant = Grant{
			Epoch:        m.observed.epoch,
			EpochVersion: m.observed.epochVersion,
			// An additional tenth covers clock drift.
			CommandsFrom: now + m.cfg.MaxCommandDelay + m.cfg.MaxCommandDelay/10,
			Expires:      expires,
		}
		return append(out, Acquired{Grant: m.grant, Former: a.former})
	case m.holdsLease && expires > m.grant.Expires:
		m.grant.Expires = expires
		return append(out, Renewed{Grant: m.grant})
	}
	return out
}

// nextAction appends the next read or write, if one is due.
func (m *Machine) nextAction(now time.Duration, out []Action) []Action {
	if m.writing || m.reading || now < m.retryAt {
		return out
	}
	if m.readDue {
		return m.requestRead(out)
	}
	if m.holdsLease {
		return m.nextHolderAction(now, out)
	}
	if m.shuttingDown || m.standby {
		return out
	}
	if m.observed.known && m.mayAcquire() {
		return m.requestWrite(now, attempt{acquire: true}, out)
	}
	if !m.observed.known || now >= m.nextReadAt {
		return m.requestRead(out)
	}
	return out
}

// nextHolderAction appends a release or renewal of the held lease, if one is due.
func (m *Machine) nextHolderAction(now time.Duration, out []Action) []Action {
	if m.shuttingDown || (m.rank > 0 && now-m.preferenceChangedAt >= m.cfg.HandOverDelay) {
		m.preferenceChangedAt = now
		out = m.loseLease(out)
		return m.requestWrite(now, attempt{release: true}, out)
	}
	lastRenewal := m.grant.Expires - m.cfg.Length + Margin(m.cfg.Length)
	if now >= lastRenewal+m.cfg.RenewInterval {
		return m.requestWrite(now, attempt{}, out)
	}
	return out
}

// mayAcquire reports whether no other entry instance can hold the lease: either the row
// names this one, or the row was still unchanged in a read after takeoverWait.
func (m *Machine) mayAcquire() bool {
	if m.heldUntilRestore && m.observed.epoch < m.firstEpoch() {
		return true // The row is that of an earlier holder.
	}
	if m.formerHolderUnknown() && m.observed.lastSeen-m.observed.eraSince < m.cfg.Length+Margin(m.cfg.Length) {
		return false
	}
	return m.observed.row.Holder == m.self || m.observed.lastSeen-m.observed.firstSeen >= m.takeoverWait()
}

// formerHolderUnknown reports whether another entry instance may still hold the lease that
// the store has lost in a restore: nobody has acquired it since, and the last holder was not
// this one.
func (m *Machine) formerHolderUnknown() bool {
	return !m.cfg.Fenced && !m.heldUntilRestore && m.observed.epoch < m.firstEpoch()
}

// takeoverWait returns how long the row has to stay unchanged before this entry instance
// may acquire the lease.
func (m *Machine) takeoverWait() time.Duration {
	wait := m.cfg.RankDelay * time.Duration(min(m.rank, maxDelayedRanks))
	if m.observed.row.Holder.Instance != "" && m.observed.row.Holder != m.endedHolder {
		// The row contains the holder's length, because the holder may run another
		// version of the program with another one.
		wait += m.observed.row.Length + Margin(m.observed.row.Length)
	}
	return wait
}

// readInterval returns the time between reads at the current rank.
func (m *Machine) readInterval() time.Duration {
	return m.cfg.ReadInterval * time.Duration(1+m.rank)
}

func (m *Machine) requestRead(out []Action) []Action {
	m.reading = true
	return append(out, ReadRows{})
}

func (m *Machine) requestWrite(now time.Duration, a attempt, out []Action) []Action {
	m.attemptCount++
	a.id = fmt.Sprintf("%s/%s/%s/%d", m.self.Instance, m.self.Incarnation, m.service, m.attemptCount)
	a.sentAt = now
	if a.acquire && m.observed.epoch >= m.firstEpoch() {
		a.former = m.observed.row.Holder
	}
	if a.release {
		// The row may still name an earlier write when it is read, although the release is
		// applied later.
		m.attempts = nil
	}
	m.attempts = append(m.attempts, a)
	if len(m.attempts) > maxTrackedAttempts {
		m.attempts = m.attempts[1:]
	}
	m.writing = true
	return append(out, WriteRows{Attempt: a.id, Txn: m.attemptTxn(a), Era: m.observed.era})
}

// attemptRow returns the lease row that an attempt writes.
func (m *Machine) attemptRow(a attempt) (Row, ident.Epoch) {
	row := Row{Holder: m.self, Epoch: m.observed.epoch, Length: m.cfg.Length, Attempt: a.id}
	switch {
	case a.acquire:
		row.Epoch = max(row.Epoch, m.firstEpoch()) + 1
	case a.release:
		row.Holder = Identity{}
	}
	return row, row.Epoch
}

// attemptTxn returns the transaction of an attempt. It fails if either row has changed
// since it was observed; only an acquisition writes the epoch row.
func (m *Machine) attemptTxn(a attempt) infra.Txn {
	key, epochKey := Key(m.service), EpochKey(m.service)
	row, epoch := m.attemptRow(a)
	t := infra.Txn{
		Conditions: []infra.Condition{
			{RowKey: key, Version: m.observed.version},
			{RowKey: epochKey, Version: m.observed.epochVersion},
		},
		Writes: []infra.Write{{RowKey: key, Value: encode(row)}},
	}
	if a.acquire {
		epochRow := EpochRow{Holder: m.self, Epoch: epoch, Attempt: a.id}
		t.Writes = append(t.Writes, infra.Write{RowKey: epochKey, Value: encode(epochRow)})
	}
	return t
}

// Rank returns the rank of self among the live entry instances by rendezvous score for a
// service. Rank 0 is the preferred holder. Self counts as live.
func Rank(service ident.ServiceName, self ident.InstanceID, live []ident.InstanceID) int {
	own := ident.Score(string(service), self)
	rank := 0
	for _, id := range live {
		score := ident.Score(string(service), id)
		if id != self && (score > own || (score == own && id < self)) {
			rank++
		}
	}
	return rank
}
