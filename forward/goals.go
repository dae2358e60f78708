package forward

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// recordGoals notes what the callers of a model expect. The configuration does not say which
// routes carry requests for which model.
func (d *demand) recordGoals(r *route.Route) {
	d.goal, d.gap = leastTime(d.goal, r.LatencyGoal), leastTime(d.gap, r.MaxEventGap)
}

// leastTime returns the smaller of two times, of which 0 means that there is none.
func leastTime(a, b time.Duration) time.Duration {
	if a <= 0 || (b > 0 && b < a) {
		return b
	}
	return a
}

// ModelGoals returns the shortest time to the first event and between events that callers of a
// model expect, as far as this instance has seen requests. Before the first one they are those
// of all routes to the service, and 0 if none has any.
func (h *Handler) ModelGoals(t *route.Table, service ident.ServiceName, model string) (goal, gap time.Duration) {
	h.mu.Lock()
	if d := h.demands[modelKey{service, model}]; d != nil {
		goal, gap = d.goal, d.gap
	}
	h.mu.Unlock()
	if goal > 0 || gap > 0 {
		return goal, gap
	}
	for i := range t.Routes {
		r := &t.Routes[i]
		for _, to := range r.Targets {
			if r.UsesGroups && to.Service == service {
				goal, gap = leastTime(goal, r.LatencyGoal), leastTime(gap, r.MaxEventGap)
			}
		}
	}
	return goal, gap
}
