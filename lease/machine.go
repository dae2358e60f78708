package lease

import (
	"fmt"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// Config holds the times of a lease.
type Config struct {
	Length time.Duration
	// RenewInterval is the time between renewals.
	RenewInterval time.Duration
	// ReadInterval is the time between reads of the preferred contender. Others read
	// less often, in proportion to their rank, so that the reads per service
	// grow with the logarithm of the number of entries.
	ReadInterval time.Duration
	// RetryDelay is the delay after a write that the store refused.
	RetryDelay time.Duration
	// RankDelay is the time by which each rank waits longer, up to three
	// ranks. It is longer than ReadInterval, so that the preferred entry sees a
	// released lease before the others may take it.
	RankDelay time.Duration
	// HandOverDelay is how long another entry has to be preferred before the
	// holder releases the lease to it.
	HandOverDelay time.Duration
	// MaxCommandDelay is the longest time for which a command to an engine can
	// be under way.
	MaxCommandDelay time.Duration
}

// DefaultConfig returns the times of the design page.
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

// Margin returns the allowance for clock drift within a lease of a length.
func Margin(length time.Duration) time.Duration {
	return length/10 + 500*time.Millisecond
}

// maxRankDelay bounds how many head starts an entry waits.
const maxRankDelay = 3

// maxAttempts bounds the own attempts that a read-back can recognise.
const maxAttempts = 8

// attempt is a write of this entry whose outcome matters.
type attempt struct {
	id      string
	sent    time.Duration
	acquire bool
	release bool
}

// observation is what the last read or write showed.
type observation struct {
	known        bool
	version      uint64
	epochVersion uint64
	row          Row
	epoch        ident.Epoch
	// since is when this version was first seen, and at when it was last seen.
	since, at time.Duration
}

// Machine contends for and holds the lease of one service.
type Machine struct {
	cfg     Config
	self    Identity
	service ident.ServiceName

	seen     observation
	grant    Grant
	held     bool
	leaving  bool
	ended    Identity
	rank     int
	rankFrom time.Duration

	attempts []attempt
	writing  bool
	reading  bool
	readDue  bool
	count    int
	nextRead time.Duration
	nextTry  time.Duration
}

// New returns a contender.
func New(cfg Config, self Identity, service ident.ServiceName) *Machine {
	return &Machine{cfg: cfg, self: self, service: service}
}

// Held returns the grant while the lease lasts. It decides by time alone, so a
// holder that was paused past its lease gets false before any event arrives.
func (m *Machine) Held(now time.Duration) (Grant, bool) {
	if !m.held || now >= m.grant.Expires {
		return Grant{}, false
	}
	return m.grant, true
}

// Holder returns the last holder that this entry saw in the table.
func (m *Machine) Holder() (Identity, bool) {
	h := m.seen.row.Holder
	return h, m.seen.known && h.Instance != ""
}

// Step handles one event.
func (m *Machine) Step(now time.Duration, ev Event) []Action {
	var out []Action
	if m.held && now >= m.grant.Expires {
		out = m.lose(out)
	}
	switch e := ev.(type) {
	case RowsRead:
		m.reading, m.readDue = false, false
		out = m.observe(now, e, out)
	case ReadFailed:
		m.reading = false
		m.nextTry = now + m.cfg.RetryDelay
	case Written:
		out = m.written(now, e, out)
	case RankChanged:
		if (e.Rank == 0) != (m.rank == 0) {
			m.rankFrom = now
		}
		m.rank = e.Rank
		m.nextRead = min(m.nextRead, now+m.readInterval())
	case HolderEnded:
		m.ended = e.Holder
		if e.Holder != (Identity{}) && e.Holder == m.seen.row.Holder {
			m.readDue = true
		}
	case Leave:
		m.leaving = true
	}
	return m.drive(now, out)
}

func (m *Machine) lose(out []Action) []Action {
	m.held = false
	return append(out, Lost{Epoch: m.grant.Epoch})
}

// observe takes the rows of a read as the truth.
func (m *Machine) observe(now time.Duration, e RowsRead, out []Action) []Action {
	row := decodeRow(e.Lease)
	m.see(now, e.Lease.Version, e.Epoch.Version, row, max(row.Epoch, decodeEpoch(e.Epoch).Epoch))
	m.nextRead = now + m.readInterval()
	if end := m.seen.since + m.wait(); m.rank < maxRankDelay && end > now {
		// The likely next holders look again at the end of the lease.
		m.nextRead = min(m.nextRead, end)
	}
	for _, a := range m.attempts {
		if e.Lease.Version != 0 && a.id == row.Attempt {
			return m.apply(now, a, out)
		}
	}
	if m.held && (row.Holder != m.self || row.Epoch != m.grant.Epoch) {
		return m.lose(out)
	}
	return out
}

func (m *Machine) see(now time.Duration, version, epochVersion uint64, row Row, epoch ident.Epoch) {
	if !m.seen.known || m.seen.version != version {
		m.seen.since = now
	}
	m.seen.known, m.seen.at = true, now
	m.seen.version, m.seen.epochVersion = version, epochVersion
	m.seen.row, m.seen.epoch = row, epoch
}

// written handles the answer to a write.
func (m *Machine) written(now time.Duration, e Written, out []Action) []Action {
	m.writing = false
	a, ok := m.find(e.Attempt)
	if !ok {
		return out
	}
	switch e.Outcome {
	case infra.OutcomeApplied:
		row, epoch := m.rowOf(a)
		epochVersion := m.seen.epochVersion
		if a.acquire {
			epochVersion = e.Version
		}
		m.see(now, e.Version, epochVersion, row, epoch)
		return m.apply(now, a, out)
	case infra.OutcomeNotApplied:
		m.nextTry = now + m.cfg.RetryDelay
	default:
		// Nothing else is written before the rows were read back.
		m.readDue = true
	}
	return out
}

func (m *Machine) find(id string) (attempt, bool) {
	for _, a := range m.attempts {
		if a.id == id {
			return a, true
		}
	}
	return attempt{}, false
}

// apply takes note that an own write took effect.
func (m *Machine) apply(now time.Duration, a attempt, out []Action) []Action {
	if a.release {
		return out
	}
	expires := a.sent + m.cfg.Length - Margin(m.cfg.Length)
	switch {
	case now >= expires:
		// The answer came too late to act on. The row is this entry's own, so
		// it can be taken again with a new epoch at once.
	case a.acquire && !m.held:
		m.held = true
		m.grant = Grant{
			Epoch:        m.seen.epoch,
			EpochVersion: m.seen.epochVersion,
			// A tenth more than the flight time covers clock drift.
			CommandsFrom: now + m.cfg.MaxCommandDelay + m.cfg.MaxCommandDelay/10,
			Expires:      expires,
		}
		return append(out, Acquired{Grant: m.grant})
	case m.held && expires > m.grant.Expires:
		m.grant.Expires = expires
		return append(out, Renewed{Grant: m.grant})
	}
	return out
}

// drive issues the next read or write.
func (m *Machine) drive(now time.Duration, out []Action) []Action {
	if m.writing || m.reading || now < m.nextTry {
		return out
	}
	if m.readDue {
		return m.read(out)
	}
	if m.held {
		return m.driveHolder(now, out)
	}
	if m.leaving {
		return out
	}
	if m.seen.known && m.mayAcquire() {
		return m.write(now, attempt{acquire: true}, out)
	}
	if !m.seen.known || now >= m.nextRead {
		return m.read(out)
	}
	return out
}

func (m *Machine) driveHolder(now time.Duration, out []Action) []Action {
	if m.leaving || (m.rank > 0 && now-m.rankFrom >= m.cfg.HandOverDelay) {
		m.rankFrom = now
		out = m.lose(out)
		return m.write(now, attempt{release: true}, out)
	}
	last := m.grant.Expires - m.cfg.Length + Margin(m.cfg.Length)
	if now >= last+m.cfg.RenewInterval {
		return m.write(now, attempt{}, out)
	}
	return out
}

// mayAcquire reports whether no other entry can hold the lease: a read after
// the wait showed the row unchanged.
func (m *Machine) mayAcquire() bool {
	return m.seen.row.Holder == m.self || m.seen.at-m.seen.since >= m.wait()
}

// wait is how long the row has to stay unchanged before this entry may take the
// lease.
func (m *Machine) wait() time.Duration {
	wait := m.cfg.RankDelay * time.Duration(min(m.rank, maxRankDelay))
	if m.seen.row.Holder.Instance != "" && m.seen.row.Holder != m.ended {
		// The holder's own length counts: it may run another version.
		wait += m.seen.row.Length + Margin(m.seen.row.Length)
	}
	return wait
}

func (m *Machine) readInterval() time.Duration {
	return m.cfg.ReadInterval * time.Duration(1+m.rank)
}

func (m *Machine) read(out []Action) []Action {
	m.reading = true
	return append(out, ReadRows{})
}

func (m *Machine) write(now time.Duration, a attempt, out []Action) []Action {
	m.count++
	a.id = fmt.Sprintf("%s/%s/%s/%d", m.self.Instance, m.self.Incarnation, m.service, m.count)
	a.sent = now
	m.attempts = append(m.attempts, a)
	if len(m.attempts) > maxAttempts {
		m.attempts = m.attempts[1:]
	}
	m.writing = true
	return append(out, WriteRows{Attempt: a.id, Txn: m.txn(a)})
}

// rowOf returns the lease row that an attempt writes.
func (m *Machine) rowOf(a attempt) (Row, ident.Epoch) {
	row := Row{Holder: m.self, Epoch: m.seen.epoch, Length: m.cfg.Length, Attempt: a.id}
	switch {
	case a.acquire:
		row.Epoch++
	case a.release:
		row.Holder = Identity{}
	}
	return row, row.Epoch
}

func (m *Machine) txn(a attempt) infra.Txn {
	key, epochKey := Key(m.service), EpochKey(m.service)
	row, epoch := m.rowOf(a)
	t := infra.Txn{
		Conditions: []infra.Condition{
			{RowKey: key, Version: m.seen.version},
			{RowKey: epochKey, Version: m.seen.epochVersion},
		},
		Writes: []infra.Write{{RowKey: key, Value: encode(row)}},
	}
	if a.acquire {
		epochRow := EpochRow{Holder: m.self, Epoch: epoch, Attempt: a.id}
		t.Writes = append(t.Writes, infra.Write{RowKey: epochKey, Value: encode(epochRow)})
	}
	return t
}

// Rank returns the place of self among the live entries by rendezvous score
// for a service. Self counts as live.
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
