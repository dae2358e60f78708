package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
)

// Parameters of the choice of a backend server.
const (
	// remotePenalty times a server's slots is how many requests more a backend
	// server in this data centre may have than one in another.
	remotePenalty = 0.12
	// connectPenalty is how many requests fewer one may have to which a new
	// connection is needed.
	connectPenalty = 0.8
	// queueFactor times a server's slots is the load up to which requests are
	// sent to it: the rest would wait in its queue past their goal.
	queueFactor = 1.1
	// jitter spreads the choices of entry instances that see the same loads.
	jitter = 1.0
)

// noChoice tells why there is no backend server.
type noChoice int

const (
	chosen noChoice = iota
	noServer
	allBusy
	allCold
)

// pick chooses the backend server with the least load among those not tried.
func (c *call) pick(now time.Duration) (*fleet.Server, *Backend, noChoice) {
	view := c.h.view.Load()
	why := noServer
	var best *fleet.Server
	var bestBackend *Backend
	var bestLoad float64
	for _, s := range view.candidates(c) {
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
		load := float64(int(b.inFlight.Load()) + c.h.opts.Loads.Elsewhere(s.ID))
		if slots := max(1, s.Slots); load >= queueFactor*float64(slots) {
			why = max(why, allBusy)
			continue
		}
		if s.DataCentre != c.h.opts.DataCentre {
			load += remotePenalty * float64(s.Slots)
		}
		if !b.hasIdle() {
			load += connectPenalty
		}
		load += jitter * rand.Float64()
		if best == nil || load < bestLoad {
			best, bestBackend, bestLoad = s, b, load
		}
	}
	if best == nil {
		return nil, nil, why
	}
	return best, bestBackend, chosen
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
	return int(total / float64(max(1, o.Loads.Entries())))
}

// coldShare leaves room for entry instances that are not seen.
const coldShare = 0.8

// refuseFor maps the reason to a refusal with the time to come back.
func (c *call) refuseFor(why noChoice) {
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
	return c.h.retries.Retry(now, c.h.opts.Loads.Entries())
}
