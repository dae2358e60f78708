package forward

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/fleet"
)

// pauseEndSpread is the time over which refused callers are asked to come back after the end
// of a pause, so that they do not all come at the same moment.
const pauseEndSpread = 200 * time.Millisecond

// requestedPauses holds the pauses that backend servers ask for. They belong to a run of a server,
// and outlast its absence from the view.
type requestedPauses struct {
	mu     sync.Mutex
	pauses *admission.RequestedPauses
}

func newRequestedPauses() *requestedPauses {
	return &requestedPauses{pauses: admission.NewRequestedPauses()}
}

func runOf(s *fleet.Server) fleet.Run {
	return fleet.Run{ID: s.ID, Incarnation: s.Incarnation}
}

// pausedNow reports whether a backend server asks for a pause, so that no request may be sent
// to it.
func (p *requestedPauses) pausedNow(now time.Duration, s *fleet.Server) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.Remaining(now, runOf(s)) > 0
}

// allPaused reports whether all of the backend servers ask for a pause, and if so the time until
// the first pause ends.
func (p *requestedPauses) allPaused(now time.Duration, servers []*fleet.Server) (remaining time.Duration, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.AllPaused(now, func(yield func(fleet.Run) bool) {
		for _, s := range servers {
			if !yield(runOf(s)) {
				return
			}
		}
	})
}

// recordRequestedPause applies the pause that the response asks for.
func (a *attempt) recordRequestedPause() {
	h := a.req.handler
	answer := admission.ServerAnswer{Run: runOf(a.server), Status: a.resp.StatusCode, RetryAfter: a.resp.Header.Get(headerRetryAfter)}
	h.pauses.mu.Lock()
	notice, due := h.pauses.pauses.Observe(h.opts.Now(), answer)
	h.pauses.mu.Unlock()
	if !due || h.opts.Log == nil {
		return
	}
	log := h.opts.Log.WithFields(logrus.Fields{"server": a.server.ID, "incarnation": a.server.Incarnation, "request": a.req.id})
	if notice.Err != nil {
		log.WithError(notice.Err).Warn("pause that backend server asks for is ignored")
		return
	}
	log.WithField("pause_ms", notice.Pause.Milliseconds()).Info("backend server asks for a pause")
}

// retryAfter returns when the caller of a refused request should come back: once the first pause
// ends if all backend servers that can run the request ask for one, otherwise after usual.
func (c *call) retryAfter(usual time.Duration) time.Duration {
	remaining, all := c.handler.pauses.allPaused(c.now(), c.handler.view.Load().candidates(c))
	if !all {
		return usual
	}
	return remaining + rand.N(pauseEndSpread)
}
