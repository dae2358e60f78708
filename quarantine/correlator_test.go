package quarantine

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

const (
	shared  Trait = 1
	culprit Trait = 2
	session Trait = 3
	other   Trait = 4
)

// crashScript drives one correlator through crashes in order.
type crashScript struct {
	t *testing.T
	c *Correlator
	// now is the time, and servers the number of backend servers that have crashed.
	now     time.Duration
	servers int
	own     Trait
}

func newCrashScript(t *testing.T) *crashScript {
	return &crashScript{t: t, c: NewCorrelator(DefaultCorrelatorConfig()), own: 1000}
}

func (s *crashScript) nextServer() Server {
	s.servers++
	return Server{Instance: ident.InstanceID(fmt.Sprint("s", s.servers)), Incarnation: "1"}
}

// crash starts runs with the given traits and a trait of its own each on one backend server,
// and crashes it.
func (s *crashScript) crash(runs ...[]Trait) {
	server := s.nextServer()
	for _, traits := range runs {
		s.own++
		s.c.Begin(s.now, server, append(traits, s.own))
	}
	s.now += 300 * time.Millisecond
	s.c.RecordCrash(s.now, server)
	s.now += s.c.cfg.SettleTime
	s.c.Tick(s.now)
}

// survive completes a request with the given traits.
func (s *crashScript) survive(traits ...Trait) {
	r := s.c.Begin(s.now, s.nextServer(), traits)
	s.now += time.Millisecond
	s.c.End(s.now, r, RunSucceeded)
}

func (s *crashScript) convicted(traits ...Trait) bool {
	_, ok := s.c.Convicted(s.now, traits)
	return ok
}

// Guards against a part that is never recognised because no two requests with it are alike.
func TestSharedPartIsConvicted(t *testing.T) {
	s := newCrashScript(t)
	for i := range 3 {
		assert.Assert(t, !s.convicted(shared, culprit))
		s.crash([]Trait{shared, culprit}, []Trait{shared, Trait(100 + i)})
		s.survive(shared)
	}
	assert.Assert(t, s.convicted(shared, culprit, 9))
	assert.Assert(t, !s.convicted(shared, 100))
	remaining, _ := s.c.Convicted(s.now, []Trait{culprit})
	assert.Assert(t, remaining > 9*time.Minute)
}

// Guards against refusing sound requests of a session whose requests with the culprit are
// the only ones that were seen: both are refused together only.
func TestTraitsThatAreAlwaysTogether(t *testing.T) {
	s := newCrashScript(t)
	for range 3 {
		s.crash([]Trait{session, culprit})
	}
	assert.Assert(t, s.convicted(session, culprit))
	assert.Assert(t, !s.convicted(session, other))
	assert.Assert(t, !s.convicted(other, culprit))
	s.crash([]Trait{other, culprit})
	assert.Assert(t, s.convicted(culprit))
	assert.Assert(t, !s.convicted(session, other))
}

// Guards against a conviction of several traits that holds although one of them turns out to
// be sound, and against one that ends for that reason.
func TestSurvivalNarrowsConviction(t *testing.T) {
	s := newCrashScript(t)
	for range 3 {
		s.crash([]Trait{session, culprit})
	}
	s.survive(session)
	assert.Assert(t, s.convicted(culprit))
	assert.Assert(t, !s.convicted(session))
}

// Guards against convicting a part that has a request at each of several backend servers
// that are lost at the same moment, as with a data centre.
func TestMassLossConvictsNobody(t *testing.T) {
	s := newCrashScript(t)
	var servers []Server
	for range 8 {
		servers = append(servers, s.nextServer())
		s.c.Begin(s.now, servers[len(servers)-1], []Trait{shared})
	}
	s.now += time.Second
	for _, server := range servers {
		s.now += 5 * time.Millisecond
		s.c.RecordCrash(s.now, server)
	}
	s.now += s.c.cfg.SettleTime
	assert.Equal(t, len(s.c.Tick(s.now)), 0)
	assert.Assert(t, !s.convicted(shared))
}

// Guards against convicting a part although requests with it survive between the crashes.
func TestSurvivalClears(t *testing.T) {
	s := newCrashScript(t)
	for range 20 {
		s.crash([]Trait{shared})
		s.survive(shared)
	}
	assert.Assert(t, !s.convicted(shared))
}

// Guards against suspecting streams that had begun long before the crash, and against
// counting a stream as a survivor that has only just begun.
func TestBegunRuns(t *testing.T) {
	s := newCrashScript(t)
	for range 5 {
		server := s.nextServer()
		r := s.c.Begin(s.now, server, []Trait{session})
		s.c.Answering(s.now, r)
		s.now += time.Second
		suspects := s.c.RecordCrash(s.now, server)
		assert.Equal(t, suspects, 0)
		s.now++
	}
	for range 3 {
		server := s.nextServer()
		r := s.c.Begin(s.now, server, []Trait{culprit})
		s.c.Answering(s.now, r)
		s.now += 10 * time.Millisecond
		s.c.Answering(s.now, r)
		s.c.RecordCrash(s.now, server)
		s.now += s.c.cfg.SettleTime
		s.c.Tick(s.now)
	}
	assert.Assert(t, s.convicted(culprit))
	assert.Assert(t, !s.convicted(session))
}

// Guards against taking broken connections of a backend server that goes on for a crash.
func TestDismissedRuns(t *testing.T) {
	s := newCrashScript(t)
	for range 5 {
		server := s.nextServer()
		r := s.c.Begin(s.now, server, []Trait{session})
		s.c.End(s.now, r, RunCrashed)
		s.c.DismissBroken(s.now, server)
		s.now++
		suspects := s.c.RecordCrash(s.now, server)
		assert.Equal(t, suspects, 0)
	}
}

// Guards against more than one crash after each end of a conviction.
func TestExpiredConvictionIsRenewed(t *testing.T) {
	s := newCrashScript(t)
	for range 3 {
		s.crash([]Trait{culprit})
	}
	s.now += s.c.cfg.ConvictionTTL
	assert.Assert(t, !s.convicted(culprit))
	s.crash([]Trait{culprit})
	assert.Assert(t, s.convicted(culprit))
	s.now += s.c.cfg.ConvictionTTL
	s.survive(culprit)
	s.crash([]Trait{culprit})
	assert.Assert(t, !s.convicted(culprit))
}

// Guards against a second part whose crashes count as those of the first one.
func TestTwoCulprits(t *testing.T) {
	s := newCrashScript(t)
	for range 3 {
		s.crash([]Trait{shared, culprit}, []Trait{shared, other})
		s.survive(shared)
	}
	assert.Assert(t, !s.convicted(culprit) && !s.convicted(other), "one of them may be there by chance")
	s.crash([]Trait{shared, culprit})
	s.survive(shared)
	assert.Assert(t, s.convicted(culprit))
	for range 3 {
		s.crash([]Trait{shared, other})
		s.survive(shared)
	}
	assert.Assert(t, s.convicted(other))
}

// Guards against evidence that stays with the entry instance that found it, and against
// double counting when findings are repeated.
func TestFindingsAreMerged(t *testing.T) {
	now := time.Minute
	var all []*Correlator
	for range 3 {
		all = append(all, NewCorrelator(DefaultCorrelatorConfig()))
	}
	spread := func() {
		for range 2 {
			for _, from := range all {
				f := from.Findings(now)
				for _, to := range all {
					to.Merge(now+time.Millisecond, f)
				}
			}
		}
	}
	for i, c := range all {
		server := Server{Instance: ident.InstanceID(fmt.Sprint(i)), Incarnation: "1"}
		r := c.Begin(now, server, []Trait{shared, culprit, Trait(100 + i)})
		now += 200 * time.Millisecond
		c.End(now, r, RunCrashed)
		c.RecordCrash(now+15*time.Millisecond, server)
		c.End(now, c.Begin(now, server, []Trait{shared}), RunSucceeded)
		now += 20 * time.Millisecond
		spread()
	}
	fresh := NewCorrelator(DefaultCorrelatorConfig())
	now += 300 * time.Millisecond
	for _, c := range all {
		c.Tick(now)
	}
	now += time.Minute
	f := all[0].Findings(now)
	assert.Equal(t, len(f.Crashes), 0)
	fresh.Merge(now, f)
	for _, c := range append(all, fresh) {
		_, ok := c.Convicted(now, []Trait{culprit})
		assert.Assert(t, ok)
		_, ok = c.Convicted(now, []Trait{shared, 100})
		assert.Assert(t, !ok)
	}
}

// Guards against unbounded memory and against a crash of this process by hostile findings.
func TestCorrelatorBounds(t *testing.T) {
	s := newCrashScript(t)
	many := make([]Trait, 10_000)
	for i := range many {
		many[i] = Trait(i)
	}
	for i := range 500 {
		s.now += time.Millisecond
		s.c.Merge(s.now, Findings{
			Crashes:     []CrashFinding{{Server: uint64(i), Age: -time.Hour, Suspects: []SuspectFinding{{Traits: many, RunningTime: -time.Hour}}}},
			Convictions: []ConvictionFinding{{}, {Traits: []Trait{Trait(i)}, Age: time.Duration(i)}},
			Clearances:  []TraitFinding{{Trait: Trait(i), Age: -1}},
		})
		s.survive(Trait(20_000+i), Trait(30_000+i))
		s.c.Tick(s.now)
	}
	assert.Assert(t, len(s.c.crashes) <= s.c.cfg.MaxCrashes)
	assert.Assert(t, len(s.c.convictions) <= s.c.cfg.MaxConvictions)
	assert.Assert(t, len(s.c.accusedAt) <= s.c.cfg.MaxTraits)
	s.now += time.Hour
	s.crash([]Trait{culprit})
	assert.Assert(t, len(s.c.survivals) < 100)
}

// Guards against keeping broken runs that are reported after their crash without a suspect.
func TestLateBrokenRunsAreDropped(t *testing.T) {
	s := newCrashScript(t)
	for range 100 {
		server := s.nextServer()
		s.c.RecordCrash(s.now, server)
		s.c.End(s.now, s.c.Begin(s.now, server, []Trait{session}), RunCrashed)
		s.now += s.c.cfg.ReportTime
	}
	s.crash([]Trait{other})
	assert.Assert(t, len(s.c.broken) <= 1)
}

// Guards against convicting one of several traits that are always together at crashes which
// the conviction of all of them explains.
func TestExplainedCrashesNarrowNothing(t *testing.T) {
	s := newCrashScript(t)
	for range 3 {
		s.crash([]Trait{shared, culprit})
	}
	for range 3 {
		s.crash([]Trait{shared, culprit}, []Trait{shared, session})
	}
	assert.Assert(t, s.convicted(shared, culprit))
	assert.Assert(t, !s.convicted(shared, other))
}

// Guards against convicting a popular trait that is present at as many crashes in a short time
// as the culprit, because more of its requests were sent after the previous crash.
func TestPopularTraitInFastCrashes(t *testing.T) {
	s := newCrashScript(t)
	start := s.now
	for i := range 5 {
		server := s.nextServer()
		s.c.Begin(start, server, []Trait{culprit, Trait(200 + i)})
		s.c.Begin(s.now, server, []Trait{shared, Trait(300 + i)})
		s.now += 60 * time.Millisecond
		s.c.RecordCrash(s.now, server)
		s.now += time.Millisecond
		start = s.now - 90*time.Millisecond
	}
	s.now += s.c.cfg.SettleTime
	s.c.Tick(s.now)
	assert.Assert(t, !s.convicted(shared))
	s.survive(shared)
	s.now += time.Second
	s.c.Tick(s.now)
	assert.Assert(t, !s.convicted(shared))
}
