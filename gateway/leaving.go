package gateway

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/view"
)

const (
	// drainTime is the time from a response of a leaving backend server after which no new
	// request may be sent to it: promise P8.
	drainTime = 5 * time.Second
	// departuresListInterval is how often the departures are compared with the snapshot.
	departuresListInterval = time.Second
)

// departures are the runs of backend servers that have said in a response that they leave.
type departures struct {
	began tally.Counter
	// any is true while there are some.
	any atomic.Bool

	mu       sync.RWMutex
	decider  *fleet.Departures
	listedAt time.Duration
}

func newDepartures(began tally.Counter) *departures {
	return &departures{began: began, decider: fleet.NewDepartures(drainTime)}
}

// observe applies the header of a response of a run.
func (d *departures) observe(now time.Duration, run fleet.Run, h http.Header) {
	if h.Get(engine.HeaderServerLeaving) == "" {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.any.Store(true)
	if d.decider.Step(now, fleet.SaidLeaving{Run: run}) {
		d.began.Inc(1)
	}
}

func (d *departures) use(now time.Duration, run fleet.Run) fleet.Use {
	if !d.any.Load() {
		return fleet.UseNormally
	}
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.decider.Use(now, run)
}

// updateList tells the departures which runs the snapshot lists, once per
// departuresListInterval.
func (d *departures) updateList(now time.Duration, snapshot func() *view.Snapshot) {
	if !d.any.Load() {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if now-d.listedAt < departuresListInterval {
		return
	}
	d.listedAt = now
	listed := make(map[fleet.Run]bool)
	for _, svc := range snapshot().Services {
		for _, t := range targetsOf(svc) {
			listed[t.run()] = true
		}
	}
	d.decider.Step(now, fleet.ListChanged{Listed: func(run fleet.Run) bool { return listed[run] }})
	d.any.Store(d.decider.Len() > 0)
}

// run returns the run that gets the requests of a target: the leader of a group, or the
// backend server.
func (t *target) run() fleet.Run {
	if t.group != nil {
		return runOf(&t.group.Leader)
	}
	return runOf(t.server)
}

// use returns how a target may be used for a new request.
func (s *scheduler) use(now time.Duration, i int) fleet.Use {
	return s.balancer.departures.use(now, s.targets[i].run())
}

// leastUse returns the least use of the targets that include accepts. Targets with a larger
// one leave, and get no requests beside them.
func (s *scheduler) leastUse(now time.Duration, include func(i int) bool) fleet.Use {
	least := fleet.UseNever
	for i := range s.targets {
		if include(i) {
			least = min(least, s.use(now, i))
		}
	}
	return least
}

// hideLeaving sets the free credits of leaving targets to 0, unless no other target has any and
// they may still be used. It reports whether any target has a free credit.
func (s *scheduler) hideLeaving(now time.Duration) bool {
	least := s.leastUse(now, func(i int) bool { return s.freeCredits[i] > 0 })
	found := false
	for i := range s.targets {
		if use := s.use(now, i); use == fleet.UseNever || use > least {
			s.freeCredits[i] = 0
		}
		found = found || s.freeCredits[i] > 0
	}
	return found
}

// observe applies the header of a response of the permit's target: its request limit, and
// whether it leaves.
func (p *permit) observe(h http.Header) {
	p.scheduler.mu.Lock()
	defer p.scheduler.mu.Unlock()
	p.scheduler.observe(p.scheduler.balancer.now(), &p.target, h)
}

func (s *scheduler) observe(now time.Duration, t *target, h http.Header) {
	s.observeLimit(now, t.backend, requestLimit(h))
	s.balancer.departures.observe(now, t.run(), h)
}
