package duty

import (
	"cmp"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
)

var (
	schedules = flag.Int("schedules", 200, "number of simulated schedules for each kind of platform")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first simulated schedule")
)

const (
	simLength = 150 * time.Second
	// simFaultsUntil is when the last fault begins.
	simFaultsUntil = 100 * time.Second
	simStep        = 20 * time.Millisecond
	simCallRate    = 3
	// simRecovery is the time from the end of a fault until windows that end afterwards have to
	// be reported in time: another one takes the lease over, waits, and skips windows after a
	// restore.
	simRecovery = 25 * time.Second
)

var simDataCentres = []string{"a", "b"}

func simConfig(checksTokens bool, startedAt time.Duration) Config {
	return Config{
		ReportsUsage: true, ChecksTokens: checksTokens, CallRate: simCallRate, HolderTime: 3 * time.Second,
		LeaseLength: 3 * time.Second, LateCallTime: 5 * time.Second, CallTime: time.Second,
		RetryMin: 300 * time.Millisecond, RetryMax: 2 * time.Second, RejectDelay: 30 * time.Second,
		UsageWindow: 5 * time.Second, UsageDelay: 10 * time.Second, StartedAt: startedAt,
	}
}

func simLeaseConfig() lease.Config {
	return lease.Config{
		Length: 3 * time.Second, RenewInterval: 800 * time.Millisecond, ReadInterval: 700 * time.Millisecond,
		RetryDelay: 200 * time.Millisecond, RankDelay: 400 * time.Millisecond, HandOverDelay: time.Hour, Fenced: true,
	}
}

// simTable is a table that can be restored from an older copy.
type simTable struct {
	rows    map[infra.RowKey]infra.Row
	version uint64
	era     uint64
}

func (f *simTable) tagged(counter uint64) uint64 {
	v, err := infra.NewVersion(f.era, counter)
	if counter == 0 || err != nil {
		return 0
	}
	return v
}

func (f *simTable) get(k infra.RowKey) infra.Row {
	r := f.rows[k]
	r.RowKey, r.Version = k, f.tagged(r.Version)
	return r
}

func (f *simTable) txn(t infra.Txn) (uint64, infra.Outcome) {
	outcome := infra.OutcomeApplied
	for _, c := range t.Conditions {
		if f.rows[c.RowKey].Version != infra.VersionCounter(c.Version) {
			return 0, infra.OutcomeConflict
		}
		if c.Version != 0 && infra.VersionEra(c.Version) != f.era {
			outcome = infra.OutcomeUnknown // The answer names another era than the condition.
		}
	}
	f.version++
	for _, w := range t.Writes {
		if delete(f.rows, w.RowKey); !w.Delete {
			f.rows[w.RowKey] = infra.Row{RowKey: w.RowKey, Version: f.version, Value: w.Value}
		}
	}
	return f.tagged(f.version), outcome
}

// simPlatform does calls and checks them against the platform's rules.
type simPlatform struct {
	checksTokens bool
	reports      map[int64]string
	reportedAt   map[int64]time.Duration
	senders      map[string]int
	highest      map[string]Token
	acts         map[string][]simAct
	sizes        map[string]int
	orderedAt    map[string]time.Duration
	callTimes    []time.Duration
	problems     []string
}

type simAct struct {
	machine int
	at      time.Duration
}

func (p *simPlatform) problem(at time.Duration, format string, args ...any) {
	p.problems = append(p.problems, fmt.Sprintf("%v: ", at)+fmt.Sprintf(format, args...))
}

// do does a call. arrives is false for one that was held up on its way into the platform.
func (p *simPlatform) do(sentAt, at time.Duration, machine int, c Call, arrives bool) Result {
	name := c.Kind.String()
	if c.Kind == OrderServers {
		name += c.Subject()
	}
	if arrives {
		p.callTimes = append(p.callTimes, at)
		if n := len(p.callTimes); n > simCallRate && at-p.callTimes[n-1-simCallRate] < time.Second {
			p.problem(at, "more calls than the platform accepts")
		}
	}
	token := fmt.Sprint(name, " ", c.Token)
	if sender, ok := p.senders[token]; ok && sender != machine {
		p.problem(at, "machines %d and %d used token %s", sender, machine, token)
	}
	p.senders[token] = machine
	if c.Token < p.highest[name] {
		if p.checksTokens {
			return Outdated
		}
		p.problem(at, "machine %d: token %d of %s after %d", machine, c.Token, name, p.highest[name])
	}
	p.highest[name] = c.Token
	acts := p.acts[name]
	for other := false; len(acts) > 0; acts = acts[:len(acts)-1] {
		last := acts[len(acts)-1]
		if at-last.at >= 3*time.Second || (last.machine == machine && !other) {
			break
		}
		if last.machine == machine {
			p.problem(at, "%s returned to machine %d", name, machine)
		}
		other = true
	}
	p.acts[name] = append(p.acts[name], simAct{machine, at})
	if c.Kind == OrderServers {
		if p.checksTokens && sentAt < p.orderedAt[name] && c.Servers != p.sizes[c.Subject()] {
			p.problem(at, "%s: an order replaced a later one", name)
		}
		p.sizes[c.Subject()], p.orderedAt[name] = c.Servers, max(sentAt, p.orderedAt[name])
		return Accepted
	}
	counts := fmt.Sprint(c.Counts)
	if known, ok := p.reports[c.Window]; ok && known != counts {
		p.problem(at, "two reports of window %d: %s and %s", c.Window, known, counts)
	} else if !ok {
		p.reports[c.Window], p.reportedAt[c.Window] = counts, at
	}
	return Accepted
}

// simNode is a machine with the present run of its process.
type simNode struct {
	index       int
	clockError  time.Duration
	run         int
	rate        float64
	lease       *lease.Machine
	duty        *Machine
	held        bool
	frozenUntil time.Duration
	waiting     []func(now time.Duration)
	// Times until which the node does not reach the store and the platform.
	storeCut, platformCut time.Duration
}

func (n *simNode) identity() lease.Identity {
	return lease.Identity{Instance: ident.InstanceID(fmt.Sprint("e", n.index)), Incarnation: ident.Incarnation(fmt.Sprint(n.run))}
}

func (n *simNode) local(now time.Duration) time.Duration {
	return time.Hour + time.Duration(float64(now)*n.rate)
}

type simEvent struct {
	at  time.Duration
	run func(now time.Duration)
}

type simulation struct {
	rng *rand.Rand
	now time.Duration
	// queue is in the order of time.
	queue    []simEvent
	table    simTable
	copies   []simTable
	platform simPlatform
	nodes    []*simNode
	wanted   map[string]int
	// Times until which the store and the platform are away, and calls of them get no answer.
	storeDown, platformDown, storeLossy, answersLost time.Duration
	// disturbed holds the begin and end of each fault, with simRecovery.
	disturbed [][2]time.Duration
	skipped   int
}

func (s *simulation) at(t time.Duration, run func(now time.Duration)) {
	i, _ := slices.BinarySearchFunc(s.queue, t+1, func(e simEvent, t time.Duration) int { return cmp.Compare(e.at, t) })
	s.queue = slices.Insert(s.queue, i, simEvent{t, run})
}

// onNode runs f on the node at a time unless its process has ended, and after a suspension.
func (s *simulation) onNode(t time.Duration, n *simNode, f func(now time.Duration)) {
	run := n.run
	s.at(t, func(now time.Duration) {
		switch {
		case n.run != run:
		case now < n.frozenUntil:
			n.waiting = append(n.waiting, func(now time.Duration) { s.onNode(now, n, f) })
		default:
			f(now)
		}
	})
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.rng.Int64N(int64(high-low)))
}

// startRun starts a new run of a node's process.
func (s *simulation) startRun(n *simNode) {
	n.run++
	n.waiting, n.held = nil, false
	n.lease = lease.New(simLeaseConfig(), n.identity(), formation.LeaseName)
	n.duty = New(simConfig(s.platform.checksTokens, n.local(s.now)))
	s.stepLease(n, lease.RankChanged{Rank: n.index})
}

// storeCall runs op at the store. reply gets false after a failure that has had no effect or,
// if the answer is lost or late, after the time of a call.
func (s *simulation) storeCall(n *simNode, op func(), reply func(answered, unknown bool)) {
	down := func(now time.Duration) bool { return now < s.storeDown || now < n.storeCut }
	if down(s.now) {
		s.onNode(s.now+s.between(0, time.Second), n, func(time.Duration) { reply(false, false) })
		return
	}
	delay, lost := s.between(time.Millisecond, 40*time.Millisecond), s.now < s.storeLossy && s.rng.IntN(3) == 0
	if lost && s.rng.IntN(2) == 0 {
		delay = s.between(time.Second, 6*time.Second)
	}
	s.at(s.now+delay, func(now time.Duration) {
		op()
		if !lost && !down(now) {
			s.onNode(now+delay, n, func(time.Duration) { reply(true, false) })
		}
	})
	if lost {
		s.onNode(s.now+1500*time.Millisecond, n, func(time.Duration) { reply(false, true) })
		return
	}
	s.at(s.now+delay, func(now time.Duration) {
		if down(now) {
			s.onNode(now+time.Second, n, func(time.Duration) { reply(false, true) })
		}
	})
}

func (s *simulation) stepLease(n *simNode, ev lease.Event) {
	for _, a := range n.lease.Step(n.local(s.now), ev) {
		switch a := a.(type) {
		case lease.ReadRows:
			var out lease.Event
			s.storeCall(n, func() {
				out = lease.RowsRead{Lease: s.table.get(lease.Key(formation.LeaseName)), Epoch: s.table.get(lease.EpochKey(formation.LeaseName)), Era: s.table.era}
			}, func(answered, _ bool) {
				if !answered {
					out = lease.ReadFailed{}
				}
				s.stepLease(n, out)
			})
		case lease.WriteRows:
			out := lease.Written{Attempt: a.Attempt}
			s.storeCall(n, func() {
				if out.Version, out.Outcome = s.table.txn(a.Txn); out.Outcome == infra.OutcomeApplied && s.table.era != a.Era {
					out.Outcome = infra.OutcomeUnknown
				}
			}, func(answered, unknown bool) { s.stepLease(n, writtenEvent(out, answered, unknown)) })
		case lease.Acquired:
			n.held = true
			s.stepDuty(n, LeaseChanged{Held: true, Grant: a.Grant, OwnFormerRun: a.Former.Instance == n.identity().Instance})
		case lease.Renewed:
			s.stepDuty(n, LeaseChanged{Held: true, Grant: a.Grant})
		case lease.Lost:
			n.held = false
			s.stepDuty(n, LeaseChanged{})
		}
	}
}

func writtenEvent(out lease.Written, answered, unknown bool) lease.Written {
	if unknown {
		out.Outcome = infra.OutcomeUnknown
	} else if !answered {
		out.Outcome = infra.OutcomeNotApplied
	}
	return out
}

func (s *simulation) stepDuty(n *simNode, ev Event) {
	for _, a := range n.duty.Step(n.local(s.now), ev) {
		switch a := a.(type) {
		case ReadRows:
			out := RowsRead{Attempt: a.Attempt}
			s.storeCall(n, func() {
				out.Era = s.table.era
				for k := range s.table.rows {
					if k.Table == Table {
						out.Rows = append(out.Rows, s.table.get(k))
					}
				}
			}, func(answered, _ bool) {
				if !answered {
					s.stepDuty(n, ReadFailed(a))
					return
				}
				s.stepDuty(n, out)
			})
		case WriteRow:
			var out lease.Written
			s.storeCall(n, func() { _, out.Outcome = s.table.txn(a.Txn) }, func(answered, unknown bool) {
				s.stepDuty(n, Written{Attempt: a.Attempt, Outcome: writtenEvent(out, answered, unknown).Outcome})
			})
		case Call:
			s.onNode(s.now+s.between(0, 10*time.Millisecond), n, func(time.Duration) { s.call(n, a) })
		case Count:
			if a.Counter == WindowsSkipped {
				s.skipped++
			}
		}
	}
}

// call sends a call. One without an answer is done late, or never.
func (s *simulation) call(n *simNode, c Call) {
	answer := func(at time.Duration, r Result) {
		s.onNode(at, n, func(time.Duration) { s.stepDuty(n, Called{Attempt: c.Attempt, Outcome: Outcome{Result: r}}) })
	}
	if c.Expires-n.local(s.now) < 500*time.Millisecond {
		answer(s.now, NotSent)
		return
	}
	delay, machine, sentAt := s.between(time.Millisecond, 100*time.Millisecond), n.index, s.now
	lost := s.now < s.platformDown || s.now < n.platformCut
	if s.now < s.answersLost && s.rng.IntN(3) > 0 {
		lost = true
		late := s.between(0, 4900*time.Millisecond)
		s.at(s.now+late, func(now time.Duration) { s.platform.do(sentAt, now, machine, c, false) })
	}
	if lost {
		answer(s.now+time.Second, Unanswered)
		return
	}
	s.at(s.now+delay, func(now time.Duration) { answer(now+delay, s.platform.do(sentAt, now, machine, c, true)) })
}

// fault begins a random fault and returns when it ends.
func (s *simulation) fault() time.Duration {
	n := s.nodes[s.rng.IntN(len(s.nodes))]
	for _, holder := range s.nodes {
		if holder.held && s.rng.IntN(2) == 0 {
			n = holder
		}
	}
	end := s.now + s.between(200*time.Millisecond, 8*time.Second)
	switch s.rng.IntN(11) {
	case 0, 1:
		ended := n.identity()
		s.startRun(n)
		s.reportEnded(n, ended, simLength)
	case 2:
		n.frozenUntil = end
		s.at(end, func(now time.Duration) {
			waiting := n.waiting
			n.waiting = nil
			for _, f := range waiting {
				f(now)
			}
		})
		s.reportEnded(n, n.identity(), end)
	case 3:
		n.storeCut = end
		if s.rng.IntN(2) == 0 {
			s.reportEnded(n, n.identity(), end)
		}
	case 4:
		n.platformCut = end
	case 5:
		for _, other := range s.nodes {
			s.reportEnded(other, other.identity(), end)
		}
	case 6:
		s.storeDown = end
	case 7:
		s.platformDown = end
	case 8:
		s.answersLost = end
	case 9:
		s.storeLossy = end
	case 10:
		older := s.copies[s.rng.IntN(len(s.copies))]
		s.table = simTable{rows: maps.Clone(older.rows), version: older.version, era: s.table.era + 1}
	}
	return end
}

// reportEnded lets the other nodes take a run for ended until a time.
func (s *simulation) reportEnded(n *simNode, id lease.Identity, until time.Duration) {
	for _, other := range s.nodes {
		if other != n {
			s.onNode(s.now+s.between(500*time.Millisecond, 2*time.Second), other, func(time.Duration) { s.stepLease(other, lease.HolderEnded{Holder: id}) })
			s.onNode(until+2*time.Second, other, func(time.Duration) { s.stepLease(other, lease.HolderEnded{}) })
		}
	}
}

// countWindow passes counts of a window that has just ended to each holder. They differ, as each
// holder sums up on its own.
func (s *simulation) countWindow(window int64) {
	ended := s.now
	for _, n := range s.nodes {
		s.onNode(ended+s.between(200*time.Millisecond, 4*time.Second), n, func(time.Duration) {
			s.stepDuty(n, WindowCounted{Window: window, Counts: map[ident.Account]uint64{"a": s.rng.Uint64N(1000)}, Ended: n.local(ended + n.clockError)})
		})
	}
}

func simulate(seed uint64, checksTokens bool) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 0)), wanted: make(map[string]int),
		table: simTable{rows: make(map[infra.RowKey]infra.Row), era: 1},
		platform: simPlatform{
			checksTokens: checksTokens, reports: make(map[int64]string), reportedAt: make(map[int64]time.Duration),
			senders: make(map[string]int), highest: make(map[string]Token), acts: make(map[string][]simAct), sizes: make(map[string]int), orderedAt: make(map[string]time.Duration),
		},
	}
	for i := range 3 {
		n := &simNode{index: i, rate: 0.97 + 0.06*s.rng.Float64(), clockError: s.between(-time.Second, time.Second)}
		s.nodes = append(s.nodes, n)
		s.startRun(n)
	}
	faults := s.rng.IntN(12)
	var faultTimes []time.Duration
	for i := range faults {
		if at := s.between(15*time.Second, simFaultsUntil); i == 0 || s.rng.IntN(2) == 0 {
			faultTimes = append(faultTimes, at)
		} else {
			faultTimes = append(faultTimes, faultTimes[i-1]+s.between(0, 3*time.Second))
		}
	}
	for s.now = 0; s.now < simLength; s.now += simStep {
		step := s.now
		for len(s.queue) > 0 && s.queue[0].at <= step {
			e := s.queue[0]
			s.queue = s.queue[1:]
			s.now = max(e.at, step-simStep)
			e.run(s.now)
		}
		s.now = step
		s.tick(faultTimes)
	}
	return s
}

func (s *simulation) tick(faultTimes []time.Duration) {
	for _, t := range faultTimes {
		if t >= s.now && t < s.now+simStep {
			s.disturbed = append(s.disturbed, [2]time.Duration{s.now, s.fault() + simRecovery})
		}
	}
	if s.now%(3*time.Second) == 0 {
		s.copies = append(s.copies, simTable{rows: maps.Clone(s.table.rows), version: s.table.version})
	}
	if s.now%(5*time.Second) == 0 && s.now > 0 {
		s.countWindow(int64(s.now/(5*time.Second)) - 1)
	}
	for _, dataCentre := range simDataCentres {
		if s.now%(500*time.Millisecond) == 0 && s.rng.IntN(3) == 0 && s.now < simFaultsUntil+30*time.Second {
			s.wanted[dataCentre] = s.rng.IntN(50)
		}
	}
	for _, n := range s.nodes {
		if s.now < n.frozenUntil || s.now%(60*time.Millisecond) != time.Duration(n.index)*simStep {
			continue
		}
		s.stepLease(n, lease.Tick{})
		if n.held {
			for _, dataCentre := range simDataCentres {
				s.stepDuty(n, SizeWanted{Service: "s", DataCentre: ident.DataCentre(dataCentre), Servers: s.wanted[dataCentre]})
			}
			s.stepDuty(n, Tick{})
		}
	}
}

// check adds what was not done although nothing disturbed it, and returns the number of windows
// and of those that were not reported in time.
func (s *simulation) check() (windows, missed int) {
	for window := int64(2); ; window++ {
		begin, due := time.Duration(window)*5*time.Second, time.Duration(window)*5*time.Second+15*time.Second
		if due > simLength {
			break
		}
		windows++
		if at, ok := s.platform.reportedAt[window]; ok && at <= due {
			continue
		}
		missed++
		excused := false
		for _, d := range s.disturbed {
			excused = excused || (begin < d[1] && due > d[0])
		}
		if !excused {
			s.platform.problem(due, "window %d was not reported", window)
		}
	}
	for dataCentre, servers := range s.wanted {
		if got, ok := s.platform.sizes["s/"+dataCentre]; !ok || got != servers {
			s.platform.problem(simLength, "data centre %s has the size %d instead of %d", dataCentre, got, servers)
		}
	}
	return windows, missed
}

// Guards against calls that break the platform's rules, and against windows and orders that are
// dropped without a fault, in schedules of ended and suspended holders, partitions, outages of
// the store and the platform, late and lost answers, and restores of the store.
func TestSchedules(t *testing.T) {
	for _, checksTokens := range []bool{true, false} {
		t.Run(fmt.Sprintf("checks tokens %v", checksTokens), func(t *testing.T) {
			t.Parallel()
			windows, missed, skipped := 0, 0, 0
			for i := range *schedules {
				s := simulate(*firstSeed+uint64(i), checksTokens)
				w, m := s.check()
				windows, missed, skipped = windows+w, missed+m, skipped+s.skipped
				assert.Equal(t, len(s.platform.problems), 0, "seed %d: %s", *firstSeed+uint64(i), strings.Join(s.platform.problems, "\n"))
			}
			t.Logf("%d windows, %d not reported in time, %d skipped", windows, missed, skipped)
		})
	}
}
