package forward

import (
	"sync/atomic"
	"time"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the detection of groups that make no progress. A group sends an event to
// each of its streams at the end of a pass, so the longest time between events follows
// from the engine's figures.
const (
	// defaultStallTimeout is the stall timeout of engines without known figures.
	defaultStallTimeout = 480 * time.Millisecond
	// minStallTimeout covers the delays of this process and the network, which are not
	// part of a pass.
	minStallTimeout = 300 * time.Millisecond
	// stallPassFactor is the number of longest passes after which a group is stalled.
	stallPassFactor = 4.0 / 3
	// typicalGapFactor is the number of typical times between events after which a slow
	// group is stalled.
	typicalGapFactor = 2
	// maxStallFactor limits the stall timeout of a slow group to a multiple of the one
	// of a group that is not slow.
	maxStallFactor = 4
	// streamStallFactor is the number of stall timeouts after which a stream is stalled
	// whose group sends events to others. It is above 1 because a group may set a
	// request aside for a while if its memory is full.
	streamStallFactor = 3
	// gapWeight is the weight of a new time between events in the typical one.
	gapWeight = 8
	// progressEvidence is the fraction of the stall timeout within which data from a
	// group refutes another entry instance's report of a stall.
	progressEvidence = 0.75
)

// gapAverage is the exponential moving average of the times between events of a group's
// streams.
type gapAverage struct{ value atomic.Int64 }

func (g *gapAverage) record(gap time.Duration) {
	old := g.value.Load()
	if old == 0 {
		g.value.Store(int64(gap))
		return
	}
	g.value.Store(old + (int64(gap)-old)/gapWeight)
}

func (g *gapAverage) typical() time.Duration { return time.Duration(g.value.Load()) }

// stallTimeout returns how long a group may send no event to any of its streams.
func (v *View) stallTimeout(service ident.ServiceName, model string, b *Backend) time.Duration {
	timeout := defaultStallTimeout
	if s, ok := v.Routes.Service(service); ok {
		if pass := s.LongestPass(model); pass > 0 {
			timeout = max(minStallTimeout, time.Duration(stallPassFactor*float64(pass)))
		}
	}
	return min(maxStallFactor*timeout, max(timeout, typicalGapFactor*b.eventGaps.typical()))
}

// streamTimeouts returns the stall timeout of a request's streams, and how long the
// request may wait for its first event while its group sends it none.
func (c *call) streamTimeouts(s *fleet.Server, b *Backend) (stall, firstEvent time.Duration) {
	v := c.handler.view.Load()
	stall = max(v.stallTimeout(c.service, c.model, b), c.route.MaxEventGap+progressCheckInterval)
	firstEvent = stall
	if service, ok := v.Routes.Service(c.service); ok {
		others := int(b.inFlight.Load()) + c.handler.opts.Peers.InFlight(s.ID)
		firstEvent += service.QueueTime(c.model, others)
	}
	return stall, firstEvent
}

// stalledNow reports whether the attempt's backend server has stopped to make progress: it
// sends no data to any request of this entry instance, or has sent this stream no
// event for several stall timeouts.
func (a *attempt) stalledNow(now time.Duration) bool {
	if a.progressTimeout <= 0 || now < a.moveAt {
		return false
	}
	idle := now - max(a.lastProgress, time.Duration(a.backend.lastReceived.Load()))
	if a.eventReceived {
		return idle >= a.progressTimeout || now-a.lastProgress >= streamStallFactor*a.progressTimeout
	}
	return idle >= max(a.progressTimeout, a.firstEventTimeout)
}

// recordEvents records that the attempt has received whole events.
func (a *attempt) recordEvents(now time.Duration) {
	if a.eventReceived {
		a.backend.eventGaps.record(now - a.lastProgress)
		a.recordPauseForecast(now)
	} else {
		a.firstEventAt = now
		a.recordFirstForecast(now)
		a.req.countRun(0)
	}
	a.recordAnswering(now)
	a.recordResumed()
	a.lastProgress, a.eventReceived = now, true
	a.backend.recordReceived(now)
}

// GroupProgresses reports whether this entry instance has received data from a group's
// head so recently that another one's report of a stall is refuted.
func (h *Handler) GroupProgresses(s *fleet.Server, now time.Duration) bool {
	b := h.backend(s)
	window := time.Duration(progressEvidence * float64(h.view.Load().stallTimeout(s.Service, s.Model, b)))
	last := time.Duration(b.lastReceived.Load())
	return last != 0 && now-last < window
}
