package quarantine

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Config bounds what is remembered.
type Config struct {
	// MaxRecords bounds suspects and convicted requests, MaxCrashes the
	// remembered crashes, and MaxPerCrash the requests of one crash.
	MaxRecords, MaxCrashes, MaxPerCrash int
	// SuspectAge and ConvictionAge are how long a record counts.
	SuspectAge, ConvictionAge time.Duration
	// MassBackends crashes in one data centre within MassWindow without a
	// request in common are a loss of machines, not the work of a request. Only
	// broken connections count as crashes, and a common loss breaks them at the
	// same time. With a window of 1 s, an entry instance that was cut off took
	// three crashes by two copies of a request for a loss.
	MassBackends int
	MassWindow   time.Duration
	// RunLease is how long a run alone counts without a renewal by its holder.
	RunLease time.Duration
}

// DefaultConfig returns the defaults. 512 requests exceed what one group holds.
func DefaultConfig() Config {
	return Config{
		MaxRecords: 4096, MaxCrashes: 256, MaxPerCrash: 512,
		SuspectAge: 10 * time.Minute, ConvictionAge: 10 * time.Minute,
		MassBackends: 3, MassWindow: 300 * time.Millisecond,
		RunLease: 30 * time.Second,
	}
}

// Status is what is known about a request.
type Status int

// Standings.
const (
	// NotSuspect requests run with others.
	NotSuspect Status = iota
	// Suspect requests run alone only.
	Suspect
	// Convicted requests are refused.
	Convicted
)

// Server identifies one run of a backend server.
type Server struct {
	Instance    ident.InstanceID  `msgpack:"i"`
	Incarnation ident.Incarnation `msgpack:"n"`
	DataCentre  ident.DataCentre  `msgpack:"d"`
}

// Crash names the requests that were in flight on a backend server when it
// crashed. It is spread to all entry instances.
type Crash struct {
	Server       Server              `msgpack:"s"`
	Fingerprints []ident.Fingerprint `msgpack:"f"`
	// Running is how long each of them had run there.
	Running []time.Duration `msgpack:"r"`
	// Age is the time since the crash was seen, so that no clocks are compared.
	Age time.Duration `msgpack:"a"`
}

// Finding is the standing of one request, spread to all entry instances. NotSuspect
// clears it.
type Finding struct {
	Fingerprint ident.Fingerprint `msgpack:"f"`
	Status      Status            `msgpack:"s"`
	Age         time.Duration     `msgpack:"a"`
}

// record is what is remembered of one request.
type record struct {
	standing Status
	since    time.Duration
	// pardoned is set once a mass loss cleared the request. It is pardoned once
	// only, so that several crashing requests at a time cannot go on for ever.
	pardoned bool
}

type crash struct {
	at time.Duration
	// requests maps each request in flight to the instant when it started.
	requests map[ident.Fingerprint]time.Duration
	mass     bool
}

// flight counts the runs of one request on one backend server.
type flight struct {
	count   int
	started time.Duration // of the latest run
}

// Tracker is the memory of one entry instance.
type Tracker struct {
	cfg     Config
	records map[ident.Fingerprint]*record
	crashes map[Server]*crash
	running map[Server]map[ident.Fingerprint]flight
}

// NewTracker returns an empty tracker.
func NewTracker(cfg Config) *Tracker {
	return &Tracker{
		cfg:     cfg,
		records: make(map[ident.Fingerprint]*record),
		crashes: make(map[Server]*crash),
		running: make(map[Server]map[ident.Fingerprint]flight),
	}
}

// Len returns the number of remembered requests.
func (t *Tracker) Len() int { return len(t.records) }

// Begin notes that a request runs on a backend server.
func (t *Tracker) Begin(now time.Duration, s Server, f ident.Fingerprint) {
	if t.running[s] == nil {
		t.running[s] = make(map[ident.Fingerprint]flight)
	}
	t.running[s][f] = flight{count: t.running[s][f].count + 1, started: now}
}

// BeginShared notes a run with others, unless the request is not free any more.
func (t *Tracker) BeginShared(now time.Duration, s Server, f ident.Fingerprint) bool {
	if t.Status(now, f) != NotSuspect {
		return false
	}
	t.Begin(now, s, f)
	return true
}

// probeMargin is added to the age of a suspicion, which grows on its way.
const probeMargin = time.Second

// Probe makes a request a suspect, so that it is not started with others any
// more, and reports whether it runs here since it became one. Earlier runs may
// be copies of a popular request; a success of one clears it.
func (t *Tracker) Probe(now time.Duration, f ident.Fingerprint, age time.Duration) bool {
	t.Apply(now, Finding{Fingerprint: f, Status: Suspect, Age: age})
	for _, flights := range t.running {
		if fl, ok := flights[f]; ok && fl.started >= now-age-probeMargin {
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
	return max(0, now-t.records[f].since)
}

// End notes that a run ended. Success clears the request and reports whether
// there was a suspicion to clear.
func (t *Tracker) End(now time.Duration, s Server, f ident.Fingerprint, success bool) bool {
	if fl := t.running[s][f]; fl.count > 1 {
		fl.count--
		t.running[s][f] = fl
	} else {
		delete(t.running[s], f)
	}
	if len(t.running[s]) == 0 {
		delete(t.running, s)
	}
	return success && t.clear(now, f)
}

// clear forgets a suspicion and the crashes that the request was in.
func (t *Tracker) clear(now time.Duration, f ident.Fingerprint) bool {
	if t.Status(now, f) != Suspect {
		return false
	}
	delete(t.records, f)
	for _, c := range t.crashes {
		delete(c.requests, f)
	}
	return true
}

// RecordCrash makes the requests in flight on a backend server suspects. Call it
// before End of the run that noticed the crash. The result is to be spread
// before the failure is answered.
func (t *Tracker) RecordCrash(now time.Duration, s Server) Crash {
	c := Crash{Server: s}
	for f, fl := range t.running[s] {
		if len(c.Fingerprints) >= t.cfg.MaxPerCrash {
			break
		}
		c.Fingerprints = append(c.Fingerprints, f)
		c.Running = append(c.Running, now-fl.started)
	}
	t.Merge(now, c)
	return c
}

// Merge applies a crash that this or another entry instance saw. It returns
// the requests that it convicts: those in flight at two crashes, if there is
// only one that these crashes have in common.
func (t *Tracker) Merge(now time.Duration, c Crash) []ident.Fingerprint {
	at := now - c.Age
	if c.Age >= t.cfg.SuspectAge || len(c.Running) != len(c.Fingerprints) {
		return nil
	}
	have := t.crash(now, c.Server, at)
	for i, f := range c.Fingerprints {
		if len(have.requests) >= t.cfg.MaxPerCrash {
			break
		}
		if _, ok := have.requests[f]; ok {
			continue
		}
		have.requests[f] = at - c.Running[i]
		if r := t.records[f]; r != nil && r.standing != NotSuspect {
			continue
		}
		t.set(now, f, Suspect, at)
	}
	if t.pardonMass(now, c.Server.DataCentre) {
		return nil
	}
	return t.convictCommon(now, c.Server)
}

// crash returns the remembered crash of a backend server.
func (t *Tracker) crash(now time.Duration, s Server, at time.Duration) *crash {
	if c, ok := t.crashes[s]; ok {
		return c
	}
	var oldest Server
	found := false
	for k, c := range t.crashes {
		if now-c.at >= t.cfg.SuspectAge {
			delete(t.crashes, k)
		} else if !found || c.at < t.crashes[oldest].at {
			oldest, found = k, true
		}
	}
	if found && len(t.crashes) >= t.cfg.MaxCrashes {
		delete(t.crashes, oldest)
	}
	c := &crash{at: at, requests: make(map[ident.Fingerprint]time.Duration)}
	t.crashes[s] = c
	return c
}

// convictCommon convicts the only request that a crash shares with another
// one. It matters when a spread message was lost: otherwise a suspect runs
// alone and its owner convicts it.
func (t *Tracker) convictCommon(now time.Duration, s Server) []ident.Fingerprint {
	var out []ident.Fingerprint
	last := t.crashes[s]
	for other, c := range t.crashes {
		if other == s || c.mass {
			continue
		}
		if f, ok := resent(c, last); ok && t.Status(now, f) != Convicted {
			t.set(now, f, Convicted, now)
			out = append(out, f)
		}
	}
	return out
}

// resent returns the request of the later crash that started after the earlier
// one, if there is exactly one. A request that ran on both backend servers at
// the same time may be a popular one that did no harm.
func resent(a, b *crash) (f ident.Fingerprint, ok bool) {
	if a.at > b.at {
		a, b = b, a
	}
	for g, started := range b.requests {
		if _, both := a.requests[g]; !both || started < a.at {
			continue
		}
		if ok {
			return 0, false
		}
		f, ok = g, true
	}
	return f, ok
}

// pardonMass clears the suspects of a loss of many backend servers at once,
// but for those that were on more than one of them.
func (t *Tracker) pardonMass(now time.Duration, dc ident.DataCentre) bool {
	var lost []*crash
	seen := make(map[ident.Fingerprint]int)
	for s, c := range t.crashes {
		if s.DataCentre != dc || now-c.at >= t.cfg.MassWindow {
			continue
		}
		lost = append(lost, c)
		for f := range c.requests {
			seen[f]++
		}
	}
	if len(lost) < t.cfg.MassBackends {
		return false
	}
	for f, n := range seen {
		r := t.records[f]
		if n == 1 && r != nil && r.standing == Suspect && !r.pardoned {
			r.standing, r.pardoned = NotSuspect, true
		}
	}
	for _, c := range lost {
		c.mass = true
	}
	return true
}

// Apply takes over a finding of another entry instance or of this one.
func (t *Tracker) Apply(now time.Duration, f Finding) {
	switch {
	case f.Status == NotSuspect:
		t.clear(now, f.Fingerprint)
	case f.Age >= t.age(f.Status):
	case f.Status > t.Status(now, f.Fingerprint):
		t.set(now, f.Fingerprint, f.Status, now-f.Age)
	}
}

// Status returns what is known about a request.
func (t *Tracker) Status(now time.Duration, f ident.Fingerprint) Status {
	r, ok := t.records[f]
	if !ok {
		return NotSuspect
	}
	if now-r.since >= t.age(r.standing) {
		delete(t.records, f)
		return NotSuspect
	}
	return r.standing
}

// Remaining returns how long a request keeps its standing.
func (t *Tracker) Remaining(now time.Duration, f ident.Fingerprint) time.Duration {
	r, ok := t.records[f]
	if !ok {
		return 0
	}
	return max(0, t.age(r.standing)-(now-r.since))
}

// Findings lists all standings, for an entry instance that has just started.
func (t *Tracker) Findings(now time.Duration) []Finding {
	out := make([]Finding, 0, len(t.records))
	for f, r := range t.records {
		if r.standing != NotSuspect && now-r.since < t.age(r.standing) {
			out = append(out, Finding{Fingerprint: f, Status: r.standing, Age: now - r.since})
		}
	}
	return out
}

func (t *Tracker) age(s Status) time.Duration {
	if s == Convicted {
		return t.cfg.ConvictionAge
	}
	return t.cfg.SuspectAge
}

// set stores a standing. When the table is full, the oldest record goes.
func (t *Tracker) set(now time.Duration, f ident.Fingerprint, s Status, since time.Duration) {
	if r, ok := t.records[f]; ok {
		r.standing, r.since = s, since
		return
	}
	if len(t.records) >= t.cfg.MaxRecords {
		t.evict(now)
	}
	t.records[f] = &record{standing: s, since: since}
}

// evict forgets expired records, or else the oldest one; suspects go before
// convicted requests.
func (t *Tracker) evict(now time.Duration) {
	var oldest ident.Fingerprint
	var worst *record
	for f, r := range t.records {
		if now-r.since >= t.age(r.standing) {
			delete(t.records, f)
			continue
		}
		if worst == nil || r.standing < worst.standing || (r.standing == worst.standing && r.since < worst.since) {
			oldest, worst = f, r
		}
	}
	if worst != nil && len(t.records) >= t.cfg.MaxRecords {
		delete(t.records, oldest)
	}
}
