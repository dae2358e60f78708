package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/ident"
)

// poison is the request that crashes each backend server on which it runs.
const poison = ident.Fingerprint(666)

// fleet models entry instances that share backend servers.
type fleet struct {
	now      time.Duration
	entries  []ident.InstanceID
	trackers map[ident.InstanceID]*Tracker
	owners   map[ident.InstanceID]*Owner
	servers  int
	attempts int
	crashed  map[Server]bool
	// dropNext drops the next message to an entry instance.
	dropNext map[ident.InstanceID]bool
}

func newFleet(entryCount int) *fleet {
	fl := &fleet{
		trackers: map[ident.InstanceID]*Tracker{}, owners: map[ident.InstanceID]*Owner{},
		dropNext: map[ident.InstanceID]bool{}, crashed: map[Server]bool{},
	}
	for i := range entryCount {
		id := ident.InstanceID(fmt.Sprintf("entry-%d", i))
		fl.entries = append(fl.entries, id)
		fl.trackers[id] = NewTracker(DefaultConfig())
		fl.owners[id] = NewOwner(fl.trackers[id])
	}
	return fl
}

// server returns a new backend server.
func (fl *fleet) server() Server {
	fl.servers++
	return Server{Instance: ident.InstanceID(fmt.Sprintf("server-%d", fl.servers)), DataCentre: "dc"}
}

// spread delivers a message of one entry instance to all others.
func (fl *fleet) spread(from ident.InstanceID, apply func(*Tracker)) {
	for _, id := range fl.entries {
		if id == from {
			continue
		}
		if fl.dropNext[id] {
			delete(fl.dropNext, id)
			continue
		}
		apply(fl.trackers[id])
	}
}

// crash crashes a backend server, which one entry instance detects and reports to
// the others.
func (fl *fleet) crash(detector ident.InstanceID, s Server) {
	fl.crashed[s] = true
	c := fl.trackers[detector].RecordCrash(fl.now, s)
	fl.spread(detector, func(t *Tracker) {
		for _, f := range t.Merge(fl.now, c) {
			// The reply to the message returns the convictions.
			fl.trackers[detector].Apply(fl.now, Finding{Fingerprint: f, Status: Convicted})
		}
	})
}

// requestRun is a run of a request that has started.
type requestRun struct {
	entry       ident.InstanceID
	fingerprint ident.Fingerprint
	server      Server
	holder      Holder
	isolated    bool
}

// acquire requests an isolated run from the owner, which probes all entry instances.
// A lost probe gets no answer.
func (fl *fleet) acquire(f ident.Fingerprint, r *requestRun) Permission {
	id := OwnerOf(f, fl.entries)
	owner, tracker := fl.owners[id], fl.trackers[id]
	p := owner.Acquire(fl.now, f, r.holder, fl.trackers[r.entry].SuspicionAge(fl.now, f))
	if p != PermitNeedsProbe {
		return p
	}
	notRunning := true
	for _, peer := range fl.entries {
		if fl.dropNext[peer] && peer != id {
			delete(fl.dropNext, peer)
			notRunning = false
		} else if fl.trackers[peer].Probe(fl.now, f, tracker.SuspicionAge(fl.now, f)) {
			notRunning = false
		}
	}
	return owner.CompleteProbe(fl.now, f, r.holder, notRunning)
}

// start begins a run. It returns nil when the request is refused or has to wait.
func (fl *fleet) start(entry ident.InstanceID, f ident.Fingerprint, shared *Server) (*requestRun, Status) {
	tr := fl.trackers[entry]
	fl.attempts++
	r := &requestRun{entry: entry, fingerprint: f, holder: Holder{Entry: entry, Attempt: ident.AttemptID(fmt.Sprint(fl.attempts))}}
	switch tr.Status(fl.now, f) {
	case Convicted:
		return nil, Convicted
	case Suspect:
		switch fl.acquire(f, r) {
		case PermitRefused:
			return nil, Convicted
		case PermitRetryLater:
			return nil, Suspect
		}
		r.isolated = true
	}
	r.server = *shared
	if r.isolated {
		r.server = fl.server()
	}
	tr.Begin(fl.now, r.server, f)
	return r, NotSuspect
}

// finish ends a run. If that crashes the shared backend server, a new one replaces
// it.
func (fl *fleet) finish(r *requestRun, shared *Server) {
	tr := fl.trackers[r.entry]
	result := RunSucceeded
	if r.fingerprint == poison {
		result = RunCrashed
		fl.now += time.Millisecond
		fl.crash(r.entry, r.server)
		if r.server == *shared {
			*shared = fl.server()
		}
	}
	if tr.End(fl.now, r.server, r.fingerprint, result == RunSucceeded) {
		fl.spread(r.entry, func(t *Tracker) { t.Apply(fl.now, Finding{Fingerprint: r.fingerprint}) })
	}
	if r.isolated {
		finding, _ := fl.owners[OwnerOf(r.fingerprint, fl.entries)].Release(fl.now, r.fingerprint, r.holder, result)
		for _, id := range fl.entries {
			fl.trackers[id].Apply(fl.now, finding)
		}
	}
}

// TestCrashingRequestCostsAtMostTwoServers guards against a request that crashes
// more than two backend servers when its caller resends it 50 times, one after
// another or at once, through 7 entry instances. It also guards against an innocent
// request that stays refused. One message to an entry instance may be lost.
func TestCrashingRequestCostsAtMostTwoServers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fl := newFleet(7)
		shared := fl.server()
		entry := rapid.SampledFrom(fl.entries)
		lost := rapid.Bool().Draw(t, "lost message")
		if lost {
			fl.dropNext[entry.Draw(t, "loser")] = true
		}
		var innocents []*requestRun
		for i := range rapid.IntRange(0, 20).Draw(t, "innocents") {
			r, _ := fl.start(entry.Draw(t, "entry"), ident.Fingerprint(i), &shared)
			innocents = append(innocents, r)
		}
		first, _ := fl.start(entry.Draw(t, "first"), poison, &shared)
		crashed := first.server
		for _, r := range innocents {
			if r.entry != first.entry {
				// Each other entry instance detects the crash by its own broken connections.
				fl.crash(r.entry, crashed)
			}
		}
		fl.finish(first, &shared)
		for _, r := range innocents {
			fl.trackers[r.entry].End(fl.now, crashed, r.fingerprint, false)
		}
		var running []*requestRun
		for sent := 0; sent < 50 || len(running) > 0; {
			if sent < 50 && (len(running) == 0 || rapid.Bool().Draw(t, "concurrent")) {
				if r, _ := fl.start(entry.Draw(t, "resend"), poison, &shared); r != nil {
					running = append(running, r)
				}
				sent++
				fl.now += time.Millisecond
				continue
			}
			fl.finish(running[0], &shared)
			running = running[1:]
		}
		assert.Assert(t, len(fl.crashed) <= 2, "the request crashed %d backend servers", len(fl.crashed))
		for _, r := range innocents {
			// One successful run clears the request everywhere, unless its entry instance
			// missed the message about the crash and does not know the suspicion.
			via := []ident.InstanceID{entry.Draw(t, "entry")}
			if lost {
				via = fl.entries
			}
			for _, id := range via {
				again, status := fl.start(id, r.fingerprint, &shared)
				assert.Equal(t, status, NotSuspect, "an innocent request was not allowed to run again")
				fl.finish(again, &shared)
			}
			for _, id := range fl.entries {
				assert.Equal(t, fl.trackers[id].Status(fl.now, r.fingerprint), NotSuspect, "an innocent request was not cleared")
			}
		}
		for _, id := range fl.entries {
			fl.now += time.Second
			_, status := fl.start(id, 1000, &shared)
			assert.Equal(t, status, NotSuspect, "another request was refused")
		}
	})
}

// TestSimultaneousFirstCopies guards against too many crashes by the first copies of
// a crashing request, which all entry instances start before any of them knows of a
// crash. They may crash the backend servers on which they run at the first crash,
// and one more in the isolated run. The test also guards against a copy that starts
// together with others after the crash of another copy.
func TestSimultaneousFirstCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fl := newFleet(7)
		entry := rapid.SampledFrom(fl.entries)
		servers := make([]Server, rapid.IntRange(1, 4).Draw(t, "servers"))
		for i := range servers {
			servers[i] = fl.server()
		}
		var running []*requestRun
		for range 50 {
			r, _ := fl.start(entry.Draw(t, "entry"), poison, &servers[rapid.IntRange(0, len(servers)-1).Draw(t, "server")])
			running = append(running, r)
		}
		innocent, _ := fl.start(entry.Draw(t, "innocent"), 1, &servers[0])
		firstServers := make(map[Server]bool)
		for _, r := range running {
			firstServers[r.server] = true
		}
		late := Server{Instance: "late"}
		var retries []*requestRun
		for len(running) > 0 {
			// A crash breaks the connections of all copies on the backend server.
			down := running[rapid.IntRange(0, len(running)-1).Draw(t, "down")].server
			var rest []*requestRun
			for _, r := range running {
				if r.server == down {
					fl.finish(r, &late)
				} else {
					rest = append(rest, r)
				}
			}
			running = rest
			if r, _ := fl.start(entry.Draw(t, "resend"), poison, &late); r != nil {
				assert.Assert(t, r.isolated, "a copy of a suspect started together with others")
				retries = append(retries, r)
			}
		}
		for range 50 {
			if r, _ := fl.start(entry.Draw(t, "resend"), poison, &late); r != nil {
				retries = append(retries, r)
			}
			for _, r := range retries {
				fl.finish(r, &late)
			}
			retries = nil
		}
		assert.Assert(t, len(fl.crashed) <= len(firstServers)+1, "copies on %d backend servers crashed %d", len(firstServers), len(fl.crashed))
		fl.trackers[innocent.entry].End(fl.now, servers[0], 1, false)
		again, status := fl.start(entry.Draw(t, "again"), 1, &late)
		assert.Equal(t, status, NotSuspect, "another request was refused")
		fl.finish(again, &late)
	})
}

// TestExpiry guards against a refusal that never expires, against a delayed message
// that extends a record, and against an owner that loses track of a run whose holder
// is gone.
func TestExpiry(t *testing.T) {
	cfg := DefaultConfig()
	tr := NewTracker(cfg)
	tr.Apply(0, Finding{Fingerprint: 1, Status: Convicted, Age: 0})
	tr.Apply(0, Finding{Fingerprint: 2, Status: Convicted, Age: cfg.ConvictionTTL - time.Second})
	tr.Apply(time.Minute, Finding{Fingerprint: 1, Status: Suspect})
	assert.Equal(t, tr.Status(cfg.ConvictionTTL-1, 1), Convicted)
	assert.Equal(t, tr.Status(time.Second, 2), NotSuspect)
	assert.Equal(t, tr.Remaining(cfg.ConvictionTTL-time.Second, 1), time.Second)
	assert.Equal(t, tr.Status(cfg.ConvictionTTL, 1), NotSuspect)

	o := NewOwner(tr)
	h1, h2 := Holder{Entry: "e1"}, Holder{Entry: "e2"}
	assert.Equal(t, o.Acquire(0, 3, h1, 0), PermitNeedsProbe)
	assert.Equal(t, o.CompleteProbe(0, 3, h1, false), PermitRetryLater, "another entry instance runs the request")
	assert.Equal(t, o.Acquire(0, 3, h1, 0), PermitNeedsProbe)
	assert.Equal(t, o.Acquire(cfg.RunLease, 3, h2, 0), PermitNeedsProbe, "a run that was not permitted has crashed nothing")
	assert.Equal(t, o.CompleteProbe(cfg.RunLease, 3, h1, true), PermitRetryLater, "the probe of an expired run has no effect")
	assert.Equal(t, o.CompleteProbe(cfg.RunLease, 3, h2, false), PermitRetryLater)
	assert.Equal(t, o.Acquire(0, 3, h1, 0), PermitNeedsProbe)
	assert.Equal(t, o.CompleteProbe(0, 3, h1, true), PermitIsolated)
	assert.Equal(t, o.Acquire(1, 3, h2, 0), PermitRetryLater)
	assert.Equal(t, o.Acquire(cfg.RunLease-1, 3, h1, 0), PermitIsolated)
	assert.Equal(t, o.Acquire(cfg.RunLease+1, 3, h2, 0), PermitRetryLater, "a renewed run is still valid")
	assert.Equal(t, o.Acquire(2*cfg.RunLease, 3, h2, 0), PermitRefused, "a run that was not renewed may have crashed its backend server")
}

// TestMassLoss guards against requests that stay suspects after the loss of a data
// centre, and against a crashing request that is cleared by such losses more than
// once.
func TestMassLoss(t *testing.T) {
	tr := NewTracker(DefaultConfig())
	loseServers := func(at time.Duration, round, n int) {
		for i := range n {
			s := Server{Instance: ident.InstanceID(fmt.Sprint(round, i)), DataCentre: "dc"}
			tr.Merge(at, Crash{
				Server:       s,
				Fingerprints: []ident.Fingerprint{ident.Fingerprint(2 * i), ident.Fingerprint(2*i + 1)},
				RunningTimes: make([]time.Duration, 2),
			})
		}
	}
	loseServers(0, 1, 2)
	assert.Equal(t, tr.Status(0, 0), Suspect)
	loseServers(0, 1, 4)
	for f := range ident.Fingerprint(8) {
		assert.Equal(t, tr.Status(0, f), NotSuspect)
	}
	loseServers(time.Minute, 2, 4)
	assert.Equal(t, tr.Status(time.Minute, 0), Suspect, "a mass loss clears a request only once")
}

// TestPopularRequest guards against the conviction of a request that runs on
// many backend servers at a time and happens to be on two that crash.
func TestPopularRequest(t *testing.T) {
	tr := NewTracker(DefaultConfig())
	a, b := Server{Instance: "a"}, Server{Instance: "b"}
	tr.Begin(0, a, 1)
	tr.Begin(0, b, 1)
	tr.RecordCrash(time.Second, a)
	tr.RecordCrash(2*time.Second, b)
	assert.Equal(t, tr.Status(2*time.Second, 1), Suspect)
	assert.Assert(t, tr.End(3*time.Second, a, 1, true))
	assert.Equal(t, tr.Status(3*time.Second, 1), NotSuspect)
}

// TestBounds guards against records that grow with the number of crashes.
func TestBounds(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxRecords, cfg.MaxCrashes, cfg.MaxPerCrash = 10, 5, 4
	tr := NewTracker(cfg)
	tr.Apply(0, Finding{Fingerprint: 1, Status: Convicted})
	for i := range 1000 {
		at := time.Duration(i) * 2 * time.Second
		s := Server{Instance: ident.InstanceID(fmt.Sprint(i))}
		for j := range 6 {
			tr.Begin(at, s, ident.Fingerprint(1000+10*i+j))
		}
		tr.RecordCrash(at, s)
		assert.Assert(t, tr.Len() <= cfg.MaxRecords)
		assert.Assert(t, len(tr.crashes) <= cfg.MaxCrashes)
		assert.Assert(t, len(tr.crashes[s].requests) <= cfg.MaxPerCrash)
		if at < cfg.ConvictionTTL {
			assert.Equal(t, tr.Status(at, 1), Convicted, "suspects are evicted first")
		}
		for j := range 6 {
			tr.End(at, s, ident.Fingerprint(1000+10*i+j), false)
		}
	}
	assert.Equal(t, len(tr.running), 0)
}
