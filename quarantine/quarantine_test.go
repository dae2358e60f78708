package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/ident"
)

const poison = ident.Fingerprint(666)

// fleet models entry instances that share backend servers. A run of the poison
// request crashes its backend server.
type fleet struct {
	now      time.Duration
	names    []ident.InstanceID
	trackers map[ident.InstanceID]*Tracker
	owners   map[ident.InstanceID]*Owner
	servers  int
	attempts int
	crashed  map[Server]bool
	// lose drops one spread message to an entry instance.
	lose map[ident.InstanceID]bool
}

func newFleet(entries int) *fleet {
	fl := &fleet{
		trackers: map[ident.InstanceID]*Tracker{}, owners: map[ident.InstanceID]*Owner{},
		lose: map[ident.InstanceID]bool{}, crashed: map[Server]bool{},
	}
	for i := range entries {
		id := ident.InstanceID(fmt.Sprintf("entry-%d", i))
		fl.names = append(fl.names, id)
		fl.trackers[id] = NewTracker(DefaultConfig())
		fl.owners[id] = NewOwner(fl.trackers[id])
	}
	return fl
}

func (fl *fleet) server() Server {
	fl.servers++
	return Server{Instance: ident.InstanceID(fmt.Sprintf("server-%d", fl.servers)), DataCentre: "dc"}
}

func (fl *fleet) spread(from ident.InstanceID, apply func(*Tracker)) {
	for _, id := range fl.names {
		if id == from {
			continue
		}
		if fl.lose[id] {
			delete(fl.lose, id)
			continue
		}
		apply(fl.trackers[id])
	}
}

func (fl *fleet) crash(at ident.InstanceID, s Server) {
	fl.crashed[s] = true
	c := fl.trackers[at].RecordCrash(fl.now, s)
	fl.spread(at, func(t *Tracker) {
		for _, f := range t.Merge(fl.now, c) {
			// The reply to a spread message carries convictions back.
			fl.trackers[at].Apply(fl.now, Finding{Fingerprint: f, Status: Convicted})
		}
	})
}

// task is one run of a request that has started.
type task struct {
	entry  ident.InstanceID
	f      ident.Fingerprint
	server Server
	holder Holder
	alone  bool
}

// acquire asks the owner, which asks all entry instances. A lost question has no
// answer.
func (fl *fleet) acquire(f ident.Fingerprint, k *task) Permission {
	id := OwnerOf(f, fl.names)
	owner, tracker := fl.owners[id], fl.trackers[id]
	p := owner.Acquire(fl.now, f, k.holder, fl.trackers[k.entry].SuspicionAge(fl.now, f))
	if p != PermitNeedsProbe {
		return p
	}
	free := true
	for _, peer := range fl.names {
		if fl.lose[peer] && peer != id {
			delete(fl.lose, peer)
			free = false
		} else if fl.trackers[peer].Probe(fl.now, f, tracker.SuspicionAge(fl.now, f)) {
			free = false
		}
	}
	return owner.CompleteProbe(fl.now, f, k.holder, free)
}

// start begins a run. It returns nil when the request is refused or has to wait.
func (fl *fleet) start(entry ident.InstanceID, f ident.Fingerprint, shared *Server) (*task, Status) {
	tr := fl.trackers[entry]
	fl.attempts++
	k := &task{entry: entry, f: f, holder: Holder{Entry: entry, Attempt: ident.AttemptID(fmt.Sprint(fl.attempts))}}
	switch tr.Status(fl.now, f) {
	case Convicted:
		return nil, Convicted
	case Suspect:
		switch fl.acquire(f, k) {
		case PermitRefused:
			return nil, Convicted
		case PermitRetryLater:
			return nil, Suspect
		}
		k.alone = true
	}
	k.server = *shared
	if k.alone {
		k.server = fl.server()
	}
	tr.Begin(fl.now, k.server, f)
	return k, NotSuspect
}

// finish ends a run; a crash replaces the shared server.
func (fl *fleet) finish(k *task, shared *Server) {
	tr := fl.trackers[k.entry]
	result := RunSucceeded
	if k.f == poison {
		result = RunCrashed
		fl.now += time.Millisecond
		fl.crash(k.entry, k.server)
		if k.server == *shared {
			*shared = fl.server()
		}
	}
	if tr.End(fl.now, k.server, k.f, result == RunSucceeded) {
		fl.spread(k.entry, func(t *Tracker) { t.Apply(fl.now, Finding{Fingerprint: k.f}) })
	}
	if k.alone {
		finding, _ := fl.owners[OwnerOf(k.f, fl.names)].Release(fl.now, k.f, k.holder, result)
		for _, id := range fl.names {
			fl.trackers[id].Apply(fl.now, finding)
		}
	}
}

// TestCrashingRequestCostsTwo guards against a request that its caller resends
// 50 times, one after another or at once, through 7 entry instances, and that
// costs more than two backend servers; and against an innocent request that
// stays refused. One message to an entry instance may be lost.
func TestCrashingRequestCostsTwo(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fl := newFleet(7)
		shared := fl.server()
		entry := rapid.SampledFrom(fl.names)
		lost := rapid.Bool().Draw(t, "lost message")
		if lost {
			fl.lose[entry.Draw(t, "loser")] = true
		}
		var innocents []*task
		for i := range rapid.IntRange(0, 20).Draw(t, "innocents") {
			k, _ := fl.start(entry.Draw(t, "entry"), ident.Fingerprint(i), &shared)
			innocents = append(innocents, k)
		}
		first, _ := fl.start(entry.Draw(t, "first"), poison, &shared)
		crashed := first.server
		for _, k := range innocents {
			if k.entry != first.entry {
				// Other entry instances see their own connections break.
				fl.crash(k.entry, crashed)
			}
		}
		fl.finish(first, &shared)
		for _, k := range innocents {
			fl.trackers[k.entry].End(fl.now, crashed, k.f, false)
		}
		var running []*task
		for sent := 0; sent < 50 || len(running) > 0; {
			if sent < 50 && (len(running) == 0 || rapid.Bool().Draw(t, "concurrent")) {
				if k, _ := fl.start(entry.Draw(t, "resend"), poison, &shared); k != nil {
					running = append(running, k)
				}
				sent++
				fl.now += time.Millisecond
				continue
			}
			fl.finish(running[0], &shared)
			running = running[1:]
		}
		assert.Assert(t, len(fl.crashed) <= 2, "the request cost %d backend servers", len(fl.crashed))
		for _, k := range innocents {
			// One re-run clears the request everywhere, unless its entry instance
			// missed the spread message and so does not know the suspicion.
			through := []ident.InstanceID{entry.Draw(t, "entry")}
			if lost {
				through = fl.names
			}
			for _, id := range through {
				again, standing := fl.start(id, k.f, &shared)
				assert.Equal(t, standing, NotSuspect, "innocent request was not re-run")
				fl.finish(again, &shared)
			}
			for _, id := range fl.names {
				assert.Equal(t, fl.trackers[id].Status(fl.now, k.f), NotSuspect, "innocent request was not cleared")
			}
		}
		for _, id := range fl.names {
			fl.now += time.Second
			_, standing := fl.start(id, 1000, &shared)
			assert.Equal(t, standing, NotSuspect, "another request was refused")
		}
	})
}

// TestSimultaneousFirstCopies guards against first copies of a crashing request,
// sent through all entry instances before anything is known, that cost more than
// the backend servers on which they run at the first crash and one for the run
// alone; and against a copy that begins after the crash of another one.
func TestSimultaneousFirstCopies(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fl := newFleet(7)
		entry := rapid.SampledFrom(fl.names)
		servers := make([]Server, rapid.IntRange(1, 4).Draw(t, "servers"))
		for i := range servers {
			servers[i] = fl.server()
		}
		var running []*task
		for range 50 {
			k, _ := fl.start(entry.Draw(t, "entry"), poison, &servers[rapid.IntRange(0, len(servers)-1).Draw(t, "server")])
			running = append(running, k)
		}
		innocent, _ := fl.start(entry.Draw(t, "innocent"), 1, &servers[0])
		ran := make(map[Server]bool)
		for _, k := range running {
			ran[k.server] = true
		}
		late := Server{Instance: "late"}
		var retries []*task
		for len(running) > 0 {
			// A crash breaks the connections of all copies on the server.
			down := running[rapid.IntRange(0, len(running)-1).Draw(t, "down")].server
			var rest []*task
			for _, k := range running {
				if k.server == down {
					fl.finish(k, &late)
				} else {
					rest = append(rest, k)
				}
			}
			running = rest
			if k, _ := fl.start(entry.Draw(t, "resend"), poison, &late); k != nil {
				assert.Assert(t, k.alone, "a copy of a suspect began with others")
				retries = append(retries, k)
			}
		}
		for range 50 {
			if k, _ := fl.start(entry.Draw(t, "resend"), poison, &late); k != nil {
				retries = append(retries, k)
			}
			for _, k := range retries {
				fl.finish(k, &late)
			}
			retries = nil
		}
		assert.Assert(t, len(fl.crashed) <= len(ran)+1, "copies on %d backend servers cost %d", len(ran), len(fl.crashed))
		fl.trackers[innocent.entry].End(fl.now, servers[0], 1, false)
		again, standing := fl.start(entry.Draw(t, "again"), 1, &late)
		assert.Equal(t, standing, NotSuspect, "another request was refused")
		fl.finish(again, &late)
	})
}

// TestExpiry guards against a refusal that lasts for ever, against a record
// that a delayed message makes young again, and against an owner that loses
// track of a run whose holder is gone.
func TestExpiry(t *testing.T) {
	cfg := DefaultConfig()
	tr := NewTracker(cfg)
	tr.Apply(0, Finding{Fingerprint: 1, Status: Convicted, Age: 0})
	tr.Apply(0, Finding{Fingerprint: 2, Status: Convicted, Age: cfg.ConvictionAge - time.Second})
	tr.Apply(time.Minute, Finding{Fingerprint: 1, Status: Suspect})
	assert.Equal(t, tr.Status(cfg.ConvictionAge-1, 1), Convicted)
	assert.Equal(t, tr.Status(time.Second, 2), NotSuspect)
	assert.Equal(t, tr.Remaining(cfg.ConvictionAge-time.Second, 1), time.Second)
	assert.Equal(t, tr.Status(cfg.ConvictionAge, 1), NotSuspect)

	o := NewOwner(tr)
	h1, h2 := Holder{Entry: "e1"}, Holder{Entry: "e2"}
	assert.Equal(t, o.Acquire(0, 3, h1, 0), PermitNeedsProbe)
	assert.Equal(t, o.CompleteProbe(0, 3, h1, false), PermitRetryLater, "another entry instance runs it")
	assert.Equal(t, o.Acquire(0, 3, h1, 0), PermitNeedsProbe)
	assert.Equal(t, o.Acquire(cfg.RunLease, 3, h2, 0), PermitNeedsProbe, "a run that was not permitted crashed nothing")
	assert.Equal(t, o.CompleteProbe(cfg.RunLease, 3, h1, true), PermitRetryLater, "the answer came too late")
	assert.Equal(t, o.CompleteProbe(cfg.RunLease, 3, h2, false), PermitRetryLater)
	assert.Equal(t, o.Acquire(0, 3, h1, 0), PermitNeedsProbe)
	assert.Equal(t, o.CompleteProbe(0, 3, h1, true), PermitIsolated)
	assert.Equal(t, o.Acquire(1, 3, h2, 0), PermitRetryLater)
	assert.Equal(t, o.Acquire(cfg.RunLease-1, 3, h1, 0), PermitIsolated)
	assert.Equal(t, o.Acquire(cfg.RunLease+1, 3, h2, 0), PermitRetryLater, "a renewed run still counts")
	assert.Equal(t, o.Acquire(2*cfg.RunLease, 3, h2, 0), PermitRefused, "a run without a renewal may have crashed")
}

// TestMassLoss guards against requests that must run alone because a data
// centre went dark, and against a crashing request that hides in such a loss
// more than once.
func TestMassLoss(t *testing.T) {
	tr := NewTracker(DefaultConfig())
	lose := func(at time.Duration, round, n int) {
		for i := range n {
			s := Server{Instance: ident.InstanceID(fmt.Sprint(round, i)), DataCentre: "dc"}
			tr.Merge(at, Crash{
				Server:       s,
				Fingerprints: []ident.Fingerprint{ident.Fingerprint(2 * i), ident.Fingerprint(2*i + 1)},
				Running:      make([]time.Duration, 2),
			})
		}
	}
	lose(0, 1, 2)
	assert.Equal(t, tr.Status(0, 0), Suspect)
	lose(0, 1, 4)
	for f := range ident.Fingerprint(8) {
		assert.Equal(t, tr.Status(0, f), NotSuspect)
	}
	lose(time.Minute, 2, 4)
	assert.Equal(t, tr.Status(time.Minute, 0), Suspect, "a request is pardoned once")
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

// TestBounds guards against memory that grows with the number of crashes.
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
		if at < cfg.ConvictionAge {
			assert.Equal(t, tr.Status(at, 1), Convicted, "suspects go first")
		}
		for j := range 6 {
			tr.End(at, s, ident.Fingerprint(1000+10*i+j), false)
		}
	}
	assert.Equal(t, len(tr.running), 0)
}
