package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
)

// Parameters of the choice of a backend server.
const (
	// localWeight is how much likelier a backend server in this data centre is
	// to be drawn than one in another.
	localWeight = 4.0
	// connectedWeight is how much likelier one is to which a connection is kept.
	connectedWeight = 2.0
	// queueFactor times a server's slots is the load up to which requests are
	// sent to it: the rest would wait in its queue past their goal.
	queueFactor = 1.1
	// draws is the number of backend servers that are drawn; the least loaded of
	// them is taken. Taking the least loaded of all would send the requests of all
	// entry instances to one, because each sees the loads of the others late.
	draws = 2
)

// noChoice tells why there is no backend server.
type noChoice int

const (
	chosen noChoice = iota
	noServer
	allBusy
	allCold
)

// option is a backend server that may run a request.
type option struct {
	server  *fleet.Server
	backend *Backend
	// load is the part of the slots in use, weight that of the draw.
	load, weight float64
	// shunned servers fail all requests.
	shunned bool
}

// pick chooses a backend server among those not tried.
func (c *call) pick(now time.Duration) (*fleet.Server, *Backend, noChoice) {
	options, why := c.options(now)
	if len(options) == 0 {
		return nil, nil, why
	}
	best := draw(options)
	for range draws - 1 {
		if o := draw(options); o.load < best.load {
			best = o
		}
	}
	return best.server, best.backend, chosen
}

// options lists the backend servers that may run a request, or tells why there
// are none.
func (c *call) options(now time.Duration) ([]option, noChoice) {
	why := noServer
	var out []option
	sound := false
	for _, s := range c.h.view.Load().candidates(c) {
		if slices.Contains(c.tried, s.ID) {
			continue
		}
		b := c.h.backend(s)
		if b.paused(s, now) {
			continue
		}
		if s.Cold(now) && !b.coldRoom(now, c.coldLimit()) {
			why = max(why, allCold)
			continue
		}
		load := float64(int(b.inFlight.Load())+c.h.opts.Peers.InFlight(s.ID)) / float64(max(1, s.Slots))
		if load >= queueFactor {
			why = max(why, allBusy)
			continue
		}
		o := option{server: s, backend: b, load: load, weight: 1, shunned: c.h.failsAll(s, b, now)}
		sound = sound || !o.shunned
		if s.DataCentre == c.h.opts.DataCentre {
			o.weight *= localWeight
		}
		if b.hasIdle() {
			o.weight *= connectedWeight
		}
		out = append(out, o)
	}
	if sound {
		out = slices.DeleteFunc(out, func(o option) bool { return o.shunned })
	}
	return out, why
}

// draw picks an option at random by weight.
func draw(options []option) option {
	total := 0.0
	for _, o := range options {
		total += o.weight
	}
	point := rand.Float64() * total
	for _, o := range options {
		if point -= o.weight; point < 0 {
			return o
		}
	}
	return options[len(options)-1]
}

// coldLimit is this entry instance's part of the requests that a cold server
// bears in a second.
func (c *call) coldLimit() int {
	service, ok := c.h.view.Load().Routes.Service(c.service)
	if !ok {
		return 0
	}
	o := &c.h.opts
	total := (service.ColdRate*o.ColdFactor + o.ColdSlack) * coldShare
	return int(total / float64(max(1, o.Peers.Entries())))
}

// coldShare leaves room for entry instances that are not seen.
const coldShare = 0.8

// refuseFor maps the reason to a refusal with the time to come back.
func (c *call) refuseFor(why noChoice) {
	c.h.turnedAway(c)
	switch why {
	case allBusy:
		c.refuse(refusal{reason: "all backend servers are busy", after: busyRetry})
	case allCold:
		c.refuse(refusal{reason: "all backend servers are cold", after: busyRetry})
	default:
		c.refuse(refusal{reason: "no backend server", after: noServerRetry})
	}
}

// mayRetry takes one send from the budget of repeats.
func (c *call) mayRetry(now time.Duration) bool {
	c.h.mu.Lock()
	defer c.h.mu.Unlock()
	return c.h.retries.Retry(now, c.h.opts.Peers.Entries())
}
