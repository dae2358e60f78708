package scarcity

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/forecast"
	"github.com/bulrushfall/bulrushfall/route"
)

func sequence(seed uint64) func() float64 { return rand.New(rand.NewPCG(seed, 0)).Float64 }

// kindOf is a kind of request of a load. Its worth in time and late is known to the test alone.
type kindOf struct {
	rank        int
	worth, late float64
	goal, limit time.Duration
	rate        func(s float64) float64
}

// job is one request of a load.
type job struct {
	kind      int
	first, at time.Duration
	priority  int
	cameBack  bool
}

// load is a table of arrivals at the groups of a model.
type load struct {
	kinds  []kindOf
	groups func(s float64) int
	length time.Duration
}

// asked returns the expected number of requests of a kind.
func (l load) asked(kind int) float64 {
	n := 0.0
	for now := time.Duration(0); now < l.length; now += tick {
		n += l.kinds[kind].rate(now.Seconds()) * tick.Seconds()
	}
	return n
}

const tick = 10 * time.Millisecond

// testEngine is the engine whose turnover and times the groups of the loads have.
func testEngine() forecast.Engine {
	return forecast.NewEngine(&route.Service{Slots: 48, Models: []route.Model{{Name: "m", TimeFactor: 0.6}}, Engine: route.Engine{
		StepTime: 6450 * time.Microsecond, StepTimePerRequest: 97 * time.Microsecond, ReadRate: 56100, StepsPerPass: 5, UsualPrompt: 700, UsualAnswer: 150,
	}}, "m")
}

// policy decides about an arrival with the number of requests in flight as of a while ago: those
// that run before a further one, and all.
type policy func(j *job, k *kindOf, urgent, all int) (send bool, retryAfter time.Duration)

// play returns the worth that a policy earns. The groups are alike, and so one queue with the
// turnover of all; order sorts it, and known is the age of the numbers that the policy sees.
func play(l load, p policy, order func(a, b *job) int, known time.Duration) (worth float64, served map[int]int) {
	e := testEngine()
	rnd := rand.New(rand.NewPCG(7, 7))
	returns := make(map[time.Duration][]*job)
	var queue []*job
	type sample struct{ urgent, all int }
	var seen []sample
	running, credit := 0.0, 0.0
	served = make(map[int]int)
	base := e.FirstEvent(forecast.Load{Ahead: 40}, 0)
	for now := time.Duration(0); now < l.length+3*time.Second; now += tick {
		groups := float64(l.groups(now.Seconds()))
		var arrivals []*job
		for i, k := range l.kinds {
			for n := k.rate(now.Seconds()) * tick.Seconds(); now < l.length && n > rnd.Float64(); n-- {
				arrivals = append(arrivals, &job{kind: i, first: now, at: now})
			}
		}
		arrivals = append(arrivals, returns[now]...)
		s := sample{int(running), int(running) + len(queue)}
		for _, j := range queue {
			if j.priority < returnPriority {
				s.urgent++
			}
		}
		seen = append(seen, s)
		old := seen[max(0, len(seen)-1-int(known/tick))]
		for _, j := range arrivals {
			k := &l.kinds[j.kind]
			j.at = now
			send, after := p(j, k, int(float64(old.urgent)/groups), int(float64(old.all)/groups))
			switch {
			case send:
				queue = append(queue, j)
			case !j.cameBack && after > 0:
				j.cameBack = true
				at := (now + after).Truncate(tick)
				returns[at] = append(returns[at], j)
			}
		}
		queue = slices.DeleteFunc(queue, func(j *job) bool { return now-j.at >= 2*time.Second })
		slices.SortStableFunc(queue, order)
		// Streams end at the turnover of a full group.
		running = max(0, running*(1-tick.Seconds()*e.Turnover()/48))
		credit = 48*groups - running
		for credit >= 1 && len(queue) > 0 {
			j := queue[0]
			queue = queue[1:]
			credit--
			running++
			k := &l.kinds[j.kind]
			served[j.kind]++
			if now+base-j.first <= k.goal {
				worth += k.worth
			} else {
				worth += k.late
			}
		}
	}
	return worth, served
}

// scarcePolicy is the decision of the package.
func scarcePolicy(e forecast.Engine, ranks int) policy {
	points := sequence(3)
	var lots Lots
	return func(j *job, k *kindOf, urgent, all int) (bool, time.Duration) {
		age := j.at - j.first
		r := Request{Goal: k.goal, Age: age, CameBack: j.cameBack, TimeLeft: k.limit - age, Lot: lots.Draw(k.rank, ranks, points(), points())}
		room := Room{UrgentWait: e.PlaceWait(urgent), DeferredWait: e.PlaceWait(all), Stream: time.Second}
		room.ModelShare = room.Share()
		placement := Place(r, room)
		j.priority = Priority(r, placement, room)
		return placement != Refused, ReturnAfter(k.limit, r.TimeLeft, points())
	}
}

// limitPolicy takes requests up to a multiple of the slots and has others return after a fixed time.
func limitPolicy(factor float64) policy {
	return func(_ *job, _ *kindOf, _, all int) (bool, time.Duration) {
		return float64(all) < factor*48, 1200 * time.Millisecond
	}
}

func byArrival(a, b *job) int  { return int(a.at - b.at) }
func byPriority(a, b *job) int { return a.priority - b.priority }

// undelayed returns the worth of the best of two plans that see the queue without delay and start the newest of the requests
// that are worth most, or whose goal is the nearest.
func undelayed(l load) float64 {
	best := 0.0
	for _, only := range []func(k *kindOf) float64{func(k *kindOf) float64 { return -k.worth }, func(k *kindOf) float64 { return float64(k.goal) }} {
		order := func(a, b *job) int {
			x, y := only(&l.kinds[a.kind]), only(&l.kinds[b.kind])
			// Those that can still be in time come first, the newest of them last.
			if x != y {
				return int(1000 * (x - y) / max(1, x, y, -x, -y))
			}
			return int(b.at - a.at)
		}
		worth, _ := play(l, func(*job, *kindOf, int, int) (bool, time.Duration) { return true, 0 }, order, 0)
		best = max(best, worth)
	}
	return best
}

func constant(v float64) func(float64) float64 { return func(float64) float64 { return v } }

func between(from, to, inside, outside float64) func(float64) float64 {
	return func(s float64) float64 {
		if s >= from && s < to {
			return inside
		}
		return outside
	}
}

func loads() map[string]load {
	question := kindOf{rank: 0, worth: 2.1, late: 0.21, goal: 250 * time.Millisecond, limit: 6 * time.Second, rate: constant(300)}
	report := kindOf{rank: 1, worth: 0.76, late: 0.29, goal: 800 * time.Millisecond, limit: 6 * time.Second, rate: constant(60)}
	twelve := func(float64) int { return 12 }
	burst := func(k kindOf, r func(float64) float64) kindOf { k.rate = r; return k }
	return map[string]load{
		"a data centre lost at the peak": {kinds: []kindOf{question, report}, length: 20 * time.Second, groups: func(s float64) int { return int(between(2, 10, 5, 12)(s)) }},
		"burst of the least worth":       {kinds: []kindOf{question, burst(report, between(4, 8, 500, 60))}, length: 14 * time.Second, groups: twelve},
		"returns in one wave":            {kinds: []kindOf{burst(question, between(2, 3, 1500, 300))}, length: 10 * time.Second, groups: twelve},
		"a peak that no plan can serve":  {kinds: []kindOf{burst(question, constant(900)), report}, length: 15 * time.Second, groups: twelve},
		"demand below capacity":          {kinds: []kindOf{question, report}, length: 10 * time.Second, groups: twelve},
	}
}

// TestLoads compares the decision with the baselines on generated loads, each as a table of arrivals:
// today's limit, first come first served, and a plan without delay that knows the worth. The decision sees
// numbers that are 0.3 s old, like entry instances.
func TestLoads(t *testing.T) {
	const known = 300 * time.Millisecond
	for name, l := range loads() {
		scarce, served := play(l, scarcePolicy(testEngine(), 2), byPriority, known)
		limit, _ := play(l, limitPolicy(1.1), byArrival, known)
		fcfs, _ := play(l, limitPolicy(3), byArrival, known)
		best := undelayed(l)
		t.Logf("%-32s plan without delay %.0f, scarcity %.2f, limit %.2f, first come first served %.2f of it; served %v", name, best, scarce/best, limit/best, fcfs/best, served)
		assert.Assert(t, scarce >= 0.9*best, "%s: %.0f of %.0f", name, scarce, best)
		total, all := 0.0, 0.0
		for kind := range l.kinds {
			total, all = total+l.asked(kind), all+float64(served[kind])
		}
		for kind := range l.kinds {
			share := float64(served[kind]) / l.asked(kind)
			assert.Assert(t, share >= all/total/4, "%s: kind %d is starved: %v", name, kind, served)
		}
		assert.Assert(t, scarce >= max(limit, fcfs), "%s: %.0f, the limit earns %.0f, first come first served %.0f", name, scarce, limit, fcfs)
	}
}
