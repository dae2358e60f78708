package forward

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/scarcity"
)

// Parameters of load balancing.
const (
	// sameDataCentreWeight is the weight of a backend server in the data centre of this
	// entry instance, relative to one in another data centre.
	sameDataCentreWeight = 4.0
	// idleConnWeight is the weight of a backend server with an idle connection, relative
	// to one without.
	idleConnWeight = 2.0
	// maxLoadFactor times a server's slots is the number of requests in flight at which
	// no more are sent to it. They would miss their latency goal in its queue.
	maxLoadFactor = 1.1
	// sampleCount is the number of backend servers that are sampled at random; the least
	// loaded of the sample is used. Using the least loaded of all would make all entry
	// instances send their requests to the same one, because each sees the loads of the
	// others with a delay.
	sampleCount = 2
)

// pickOutcome is the result of the choice of a backend server. Of several reasons why
// none can be chosen, the largest is reported.
type pickOutcome int

const (
	picked pickOutcome = iota
	// noServer means that each backend server that can run the request was tried
	// already or is paused, or that there is none.
	noServer
	// somePauseRequested means that no backend server can be chosen, and that at least one
	// could be but for the pause that it asks for.
	somePauseRequested
	// someBusy means that no backend server can be chosen, and that at least one could
	// be but for its load.
	someBusy
	// someCold means that no backend server can be chosen, and that at least one could
	// be but for the limit on requests to cold servers.
	someCold
	// someLimited means that no backend server can be chosen, and that at least one could
	// be but for the request limit that it names.
	someLimited
)

// candidate is a backend server that can run a request.
type candidate struct {
	server  *fleet.Server
	backend *Backend
	// load is the fraction of the slots in use, weight the weight in random sampling.
	load, weight float64
	placement    scarcity.Placement
	room         scarcity.Room
	// failsAll marks a server that fails all requests.
	failsAll bool
	// leaving marks a server that leaves and is used only if there are no others.
	leaving bool
}

// pick chooses a backend server among those not tried yet.
func (c *call) pick(now time.Duration) (*fleet.Server, *Backend, pickOutcome) {
	candidates, outcome := c.eligibleServers(now)
	for len(candidates) > 0 {
		best := sampleWeighted(candidates)
		for range sampleCount - 1 {
			if o := sampleWeighted(candidates); o.load < best.load {
				best = o
			}
		}
		if c.handler.limits.take(now, best.server.ID, c.handler.opts.Peers) {
			if c.scarce != nil {
				c.scarce.setPlacement(c.scarceRequest(now), best.placement, best.room)
			}
			return best.server, best.backend, picked
		}
		// Another request has taken the last place since.
		outcome = max(outcome, someLimited)
		candidates = slices.DeleteFunc(candidates, func(o candidate) bool { return o.server == best.server })
	}
	return nil, nil, outcome
}

// eligibleServers returns the backend servers that the request can be sent to now, or
// the reason why there are none. Servers that fail all requests are used only if there
// are no others.
func (c *call) eligibleServers(now time.Duration) ([]candidate, pickOutcome) {
	outcome := noServer
	var out []candidate
	anyWorking := false
	for _, s := range c.handler.view.Load().candidates(c) {
		if slices.Contains(c.triedServers, triedServer{s.ID, s.Epoch}) {
			continue
		}
		if c.handler.pauses.pausedNow(now, s) {
			outcome = max(outcome, somePauseRequested)
			continue
		}
		b := c.handler.backend(s)
		if b.paused(s, now) {
			continue
		}
		use := c.handler.departures.use(now, b.key)
		if use == fleet.UseNever {
			continue
		}
		if s.Cold(now) && !b.belowColdLimit(now, c.coldLimit()) {
			outcome = max(outcome, someCold)
			continue
		}
		if !c.handler.limits.allows(now, s.ID, c.handler.opts.Peers) {
			outcome = max(outcome, someLimited)
			continue
		}
		load := float64(int(b.inFlight.Load())+c.handler.opts.Peers.InFlight(s.ID)) / float64(max(1, s.Slots))
		room := scarcity.Room{}
		if c.scarce != nil {
			room = c.room(s, b, now)
		} else if load >= maxLoadFactor {
			outcome = max(outcome, someBusy)
			continue
		}
		o := candidate{room: room, server: s, backend: b, load: load, weight: 1, failsAll: c.handler.failsAllRequests(s, b, now), leaving: use == fleet.UseLastResort}
		anyWorking = anyWorking || !o.failsAll
		if s.DataCentre == c.handler.opts.DataCentre {
			o.weight *= sameDataCentreWeight
		}
		if !c.needsUnusedConn() && b.hasIdleConn() {
			o.weight *= idleConnWeight
		}
		out = append(out, o)
	}
	if anyWorking {
		out = slices.DeleteFunc(out, func(o candidate) bool { return o.failsAll })
	}
	if c.scarce != nil && len(out) > 0 {
		if out = c.place(out, now); len(out) == 0 {
			return nil, max(outcome, someBusy)
		}
	}
	return preferStaying(out), outcome
}

// place returns the candidates to which the request is sent by its placement. Urgent requests are
// spread over groups by their shares once requests wait for places: the sooner of two groups would
// get most requests of all entry instances until these see each other's.
func (c *call) place(candidates []candidate, now time.Duration) []candidate {
	mean := 0.0
	for i := range candidates {
		mean += candidates[i].room.Share() / float64(len(candidates))
	}
	r := c.scarceRequest(now)
	best := scarcity.Refused
	for i := range candidates {
		o := &candidates[i]
		o.room.ModelShare = mean
		o.placement = scarcity.Place(r, o.room)
		best = min(best, o.placement)
		switch o.placement {
		case scarcity.Urgent:
			o.load = o.room.FirstEvent.Seconds()
			if mean < 1 {
				o.load, o.weight = 0, o.room.Share()
			}
		case scarcity.Deferred:
			o.load = o.room.DeferredWait.Seconds()
		}
	}
	return slices.DeleteFunc(candidates, func(o candidate) bool { return o.placement != best || best == scarcity.Refused })
}

// sampleWeighted returns a random candidate, with probabilities in proportion to the
// weights.
func sampleWeighted(candidates []candidate) candidate {
	total := 0.0
	for _, o := range candidates {
		total += o.weight
	}
	point := rand.Float64() * total
	for _, o := range candidates {
		if point -= o.weight; point < 0 {
			return o
		}
	}
	return candidates[len(candidates)-1]
}

// coldLimit returns how many requests this entry instance may send to a cold server
// within coldWindow: its equal share of the limit for all entry instances that
// Options.ColdFactor and Options.ColdSlack define, reduced by coldLimitMargin.
func (c *call) coldLimit() int {
	service, ok := c.handler.view.Load().Routes.Service(c.service)
	if !ok {
		return 0
	}
	o := &c.handler.opts
	total := (service.ColdRate*o.ColdFactor + o.ColdSlack) * coldLimitMargin
	return int(total / float64(max(1, o.Peers.AliveInstances())))
}

// coldLimitMargin reduces the limit, because some entry instances may be unknown to
// this one.
const coldLimitMargin = 0.8

// refuseNoServer refuses a request for which there is no backend server.
func (c *call) refuseNoServer(outcome pickOutcome) {
	c.handler.countRefusal(c)
	switch outcome {
	case someBusy:
		c.refuse(refusal{reason: "all backend servers are busy", retryAfter: c.returnAfter(busyRetryAfter)})
	case someCold:
		c.refuse(refusal{reason: "all backend servers are cold", retryAfter: busyRetryAfter})
	case someLimited:
		c.refuse(refusal{reason: "all backend servers limit their requests", retryAfter: busyRetryAfter})
	case somePauseRequested:
		c.refuse(refusal{reason: "all backend servers ask for a pause", retryAfter: c.retryAfter(noServerRetryAfter)})
	default:
		c.refuse(refusal{reason: "no backend server", retryAfter: noServerRetryAfter})
	}
}

// takeRetry takes one retry from the retry budget and reports whether there was one.
func (c *call) takeRetry(now time.Duration) bool {
	c.handler.mu.Lock()
	defer c.handler.mu.Unlock()
	return c.handler.retryBudget.TakeRetry(now, c.handler.opts.Peers.AliveInstances())
}
