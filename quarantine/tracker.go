package quarantine

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Config holds the limits of the records and the timeouts.
type Config struct {
	// MaxRecords bounds the records of suspects and convicted requests, MaxCrashes
	// the recorded crashes, and MaxPerCrash the requests of one crash.
	MaxRecords, MaxCrashes, MaxPerCrash int
	// SuspectTTL and ConvictionTTL are how long a request stays a suspect or
	// convicted.
	SuspectTTL, ConvictionTTL time.Duration
	// MassLossBackends is the number of backend servers that have to crash in one
	// data centre within MassLossWindow to count as a mass loss: a failure of
	// machines or of the network, which no request caused. Requests that were in
	// flight at more than one of these crashes stay suspects. Only broken connections
	// count as crashes, and a mass loss breaks them at the same time. With a window
	// of 1 s, an entry instance that was partitioned from the others mistook three
	// crashes, which two copies of one resent request had caused, for a mass loss.
	MassLossBackends int
	MassLossWindow   time.Duration
	// RunLease is how long an isolated run stays valid without a renewal by its
	// holder.
	RunLease time.Duration
}

// DefaultConfig returns the default configuration. MaxPerCrash is 512, more requests
// than one group can have in flight.
func DefaultConfig() Config {
	return Config{
		MaxRecords: 4096, MaxCrashes: 256, MaxPerCrash: 512,
		SuspectTTL: 10 * time.Minute, ConvictionTTL: 10 * time.Minute,
		MassLossBackends: 3, MassLossWindow: 300 * time.Millisecond,
		RunLease: 30 * time.Second,
	}
}

// Status is the status of a request in the quarantine.
type Status int

// Statuses of a request.
const (
	// NotSuspect requests may run together with others.
	NotSuspect Status = iota
	// Suspect requests may run only in isolated runs.
	Suspect
	// Convicted requests are refused.
	Convicted
)

// Server identifies one incarnation of a backend server.
type Server struct {
	Instance    ident.InstanceID  `msgpack:"i"`
	Incarnation ident.Incarnation `msgpack:"n"`
	DataCentre  ident.DataCentre  `msgpack:"d"`
}

// Crash lists the requests that were in flight on a backend server when it
// crashed. It is sent to all entry instances.
type Crash struct {
	Server       Server              `msgpack:"s"`
	Fingerprints []ident.Fingerprint `msgpack:"f"`
	// RunningTimes are the times since the last run of each of them started there.
	RunningTimes []time.Duration `msgpack:"r"`
	// Age is the time since the crash was detected. It is not a timestamp, because
	// the clocks of two entry instances cannot be compared.
	Age time.Duration `msgpack:"a"`
}

// Finding is the status of one request, sent to all entry instances. The status
// NotSuspect clears a suspicion.
type Finding struct {
	Fingerprint ident.Fingerprint `msgpack:"f"`
	Status      Status            `msgpack:"s"`
	// Age is how long the request has had the status.
	Age time.Duration `msgpack:"a"`
}

// record is the status of one request.
type record struct {
	status      Status
	statusSince time.Duration
	// clearedByMassLoss is set when a mass loss has cleared the request. That
	// happens only once, so that several crashing requests at the same time cannot
	// be cleared again and again.
	clearedByMassLoss bool
}

// crash is a recorded crash of a backend server.
type crash struct {
	crashedAt time.Duration
	// requests maps each request in flight to the time when its last run there
	// started.
	requests map[ident.Fingerprint]time.Duration
	// massLoss is set if the crash was part of a mass loss.
	massLoss bool
}

// runCount counts the runs of one request that are in flight on one backend server.
type runCount struct {
	count         int
	lastStartedAt time.Duration
}

// Tracker records the crashes and the status of requests at one entry instance.
type Tracker struct {
	cfg     Config
	records map[ident.Fingerprint]*record
	crashes map[Server]*crash
	running map[Server]map[ident.Fingerprint]runCount
}

// NewTracker returns an empty tracker.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{
		cfg:     cfg,
		records: make(map[ident.Fingerprint]*record),
		crashes: make(map[Server]*crash),
		running: make(map[Server]map[ident.Fingerprint]runCount),
	}
}

// Len returns the number of recorded requests.
func (t *Tracker) Len() int { return len(t.records) }

// Begin records that a request runs on a backend server.
func (t *Tracker) Begin(now time.Duration, s Server, f ident.Fingerprint) {
	if t.running[s] == nil {
		t.running[s] = make(map[ident.Fingerprint]runCount)
	}
	t.running[s][f] = runCount{count: t.running[s][f].count + 1, lastStartedAt: now}
}

// BeginShared records a run together with others. It returns false and records
// nothing if the request has become a suspect or convicted.
func (t *Tracker) BeginShared(now time.Duration, s Server, f ident.Fingerprint) bool {
	if t.Status(now, f) != NotSuspect {
		return false
	}
	t.Begin(now, s, f)
	return true
}

// probeMargin is added to the age of a suspicion, because the suspicion grows older
// while the message is in transit.
const probeMargin = time.Second

// Probe makes a request a suspect, so that it is no longer started together with
// others, and reports whether a run that started after it became one is in flight
// here. Earlier runs do not count: they may be copies of a popular request, which
// is cleared when one of them succeeds.
func (t *Tracker) Probe(now time.Duration, f ident.Fingerprint, age time.Duration) bool {
	t.Apply(now, Finding{Fingerprint: f, Status: Suspect, Age: age})
	for _, runs := range t.running {
		if r, ok := runs[f]; ok && r.lastStartedAt >= now-age-probeMargin {
			return true
		}
	}
	return false
}

// SuspicionAge returns how long a request has been a suspect or convicted.
func (t *Tracker) SuspicionAge(now time.Duration, f ident.Fingerprint) time.Duration {
	if t.Status(now, f) == NotSuspect {
		return 0
	}
	return max(0, now-t.records[f].statusSince)
}

// End records that a run ended. If the run succeeded and the request is a suspect,
// End clears the suspicion and returns true.
func (t *Tracker) End(now time.Duration, s Server, f ident.Fingerprint, success bool) bool {
	if r := t.running[s][f]; r.count > 1 {
		r.count--
		t.running[s][f] = r
	} else {
		delete(t.running[s], f)
	}
	if len(t.running[s]) == 0 {
		delete(t.running, s)
	}
	return success && t.clearSuspicion(now, f)
}

// clearSuspicion removes a suspect from the records and from all recorded crashes.
// It returns false if the request is not a suspect.
func (t *Tracker) clearSuspicion(now time.Duration, f ident.Fingerprint) bool {
	if t.Status(now, f) != Suspect {
		return false
	}
	delete(t.records, f)
	for _, c := range t.crashes {
		delete(c.requests, f)
	}
	return true
}

// RecordCrash records the crash of a backend server and makes the requests in flight
// there suspects. It has to be called before End of the run that detected the
// crash. The result has to be sent to all entry instances before the failure is
// returned to the caller.
func (t *Tracker) RecordCrash(now time.Duration, s Server) Crash {
	c := Crash{Server: s}
	for f, r := range t.running[s] {
		if len(c.Fingerprints) >= t.cfg.MaxPerCrash {
			break
		}
		c.Fingerprints = append(c.Fingerprints, f)
		c.RunningTimes = append(c.RunningTimes, now-r.lastStartedAt)
	}
	t.Merge(now, c)
	return c
}

// Merge applies a crash that this or another entry instance detected. It returns
// the requests that it convicts: a request is convicted if it is the only one that
// was in flight at this crash and at another one and that started after the earlier
// of the two. Other crashes that were part of a mass loss do not count, and no
// request is convicted if Merge finds a mass loss in the data centre.
func (t *Tracker) Merge(now time.Duration, c Crash) []ident.Fingerprint {
	crashedAt := now - c.Age
	if c.Age >= t.cfg.SuspectTTL || len(c.RunningTimes) != len(c.Fingerprints) {
		return nil
	}
	known := t.crash(now, c.Server, crashedAt)
	for i, f := range c.Fingerprints {
		if len(known.requests) >= t.cfg.MaxPerCrash {
			break
		}
		if _, ok := known.requests[f]; ok {
			continue
		}
		known.requests[f] = crashedAt - c.RunningTimes[i]
		if r := t.records[f]; r != nil && r.status != NotSuspect {
			continue
		}
		t.setStatus(now, f, Suspect, crashedAt)
	}
	if t.clearMassLoss(now, c.Server.DataCentre) {
		return nil
	}
	return t.convictCommon(now, c.Server)
}

// crash returns the recorded crash of a backend server, and records it if it is
// new. If there are too many, the oldest one is dropped.
func (t *Tracker) crash(now time.Duration, s Server, crashedAt time.Duration) *crash {
	if c, ok := t.crashes[s]; ok {
		return c
	}
	var oldest Server
	found := false
	for k, c := range t.crashes {
		if now-c.crashedAt >= t.cfg.SuspectTTL {
			delete(t.crashes, k)
		} else if !found || c.crashedAt < t.crashes[oldest].crashedAt {
			oldest, found = k, true
		}
	}
	if found && len(t.crashes) >= t.cfg.MaxCrashes {
		delete(t.crashes, oldest)
	}
	c := &crash{crashedAt: crashedAt, requests: make(map[ident.Fingerprint]time.Duration)}
	t.crashes[s] = c
	return c
}

// convictCommon convicts the requests that resentRequest finds for a crash and each
// other one that was not part of a mass loss. This is needed only if a message about
// a crash was lost; otherwise Owner convicts the request after its isolated run.
func (t *Tracker) convictCommon(now time.Duration, s Server) []ident.Fingerprint {
	var convicted []ident.Fingerprint
	last := t.crashes[s]
	for other, c := range t.crashes {
		if other == s || c.massLoss {
			continue
		}
		if f, ok := resentRequest(c, last); ok && t.Status(now, f) != Convicted {
			t.setStatus(now, f, Convicted, now)
			convicted = append(convicted, f)
		}
	}
	return convicted
}

// resentRequest returns the request that was in flight at both crashes and started
// after the earlier one on the backend server of the later one, if there is exactly
// one. A request that ran on both backend servers at the same time may be a popular
// one that caused neither crash.
func resentRequest(a, b *crash) (f ident.Fingerprint, ok bool) {
	if a.crashedAt > b.crashedAt {
		a, b = b, a
	}
	for g, started := range b.requests {
		if _, both := a.requests[g]; !both || started < a.crashedAt {
			continue
		}
		if ok {
			return 0, false
		}
		f, ok = g, true
	}
	return f, ok
}

// clearMassLoss checks for a mass loss in a data centre. If there is one, it clears
// the suspects of its crashes, except for those that were in flight at more than
// one of them, and returns true.
func (t *Tracker) clearMassLoss(now time.Duration, dc ident.DataCentre) bool {
	var lost []*crash
	crashCounts := make(map[ident.Fingerprint]int)
	for s, c := range t.crashes {
		if s.DataCentre != dc || now-c.crashedAt >= t.cfg.MassLossWindow {
			continue
		}
		lost = append(lost, c)
		for f := range c.requests {
			crashCounts[f]++
		}
	}
	if len(lost) < t.cfg.MassLossBackends {
		return false
	}
	for f, n := range crashCounts {
		r := t.records[f]
		if n == 1 && r != nil && r.status == Suspect && !r.clearedByMassLoss {
			r.status, r.clearedByMassLoss = NotSuspect, true
		}
	}
	for _, c := range lost {
		c.massLoss = true
	}
	return true
}

// Apply applies a finding of this or another entry instance.
func (t *Tracker) Apply(now time.Duration, f Finding) {
	switch {
	case f.Status == NotSuspect:
		t.clearSuspicion(now, f.Fingerprint)
	case f.Age >= t.ttl(f.Status):
	case f.Status > t.Status(now, f.Fingerprint):
		t.setStatus(now, f.Fingerprint, f.Status, now-f.Age)
	}
}

// Status returns the status of a request.
func (t *Tracker) Status(now time.Duration, f ident.Fingerprint) Status {
	r, ok := t.records[f]
	if !ok {
		return NotSuspect
	}
	if now-r.statusSince >= t.ttl(r.status) {
		delete(t.records, f)
		return NotSuspect
	}
	return r.status
}

// Remaining returns how long the status of a request still lasts.
func (t *Tracker) Remaining(now time.Duration, f ident.Fingerprint) time.Duration {
	r, ok := t.records[f]
	if !ok {
		return 0
	}
	return max(0, t.ttl(r.status)-(now-r.statusSince))
}

// Findings returns the suspects and the convicted requests, for an entry instance
// that has just started.
func (t *Tracker) Findings(now time.Duration) []Finding {
	out := make([]Finding, 0, len(t.records))
	for f, r := range t.records {
		if r.status != NotSuspect && now-r.statusSince < t.ttl(r.status) {
			out = append(out, Finding{Fingerprint: f, Status: r.status, Age: now - r.statusSince})
		}
	}
	return out
}

// ttl returns how long a request keeps a status.
func (t *Tracker) ttl(s Status) time.Duration {
	if s == Convicted {
		return t.cfg.ConvictionTTL
	}
	return t.cfg.SuspectTTL
}

// setStatus sets the status of a request. If there are too many records, one is
// evicted.
func (t *Tracker) setStatus(now time.Duration, f ident.Fingerprint, s Status, since time.Duration) {
	if r, ok := t.records[f]; ok {
		r.status, r.statusSince = s, since
		return
	}
	if len(t.records) >= t.cfg.MaxRecords {
		t.evict(now)
	}
	t.records[f] = &record{status: s, statusSince: since}
}

// evict drops the expired records. If that is not enough, it drops one more record:
// cleared requests go before suspects, suspects before convicted requests, and
// older records of the same status before newer ones.
func (t *Tracker) evict(now time.Duration) {
	var victim ident.Fingerprint
	var victimRecord *record
	for f, r := range t.records {
		if now-r.statusSince >= t.ttl(r.status) {
			delete(t.records, f)
			continue
		}
		if victimRecord == nil || r.status < victimRecord.status ||
			(r.status == victimRecord.status && r.statusSince < victimRecord.statusSince) {
			victim, victimRecord = f, r
		}
	}
	if victimRecord != nil && len(t.records) >= t.cfg.MaxRecords {
		delete(t.records, victim)
	}
}
