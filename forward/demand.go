package forward

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// demand counts the requests for a model, those of them that were refused because no group
// had capacity, and the prompt tokens of all.
type demand struct {
	requests, refused, promptTokens uint64
	// goal and gap are the shortest expected times of the requests' routes.
	goal, gap time.Duration
}

// countRun counts the request once a backend server has begun to run it, some time ago. A run
// after a retry or for the rest of a stream is not counted again: usage is counted by request.
func (c *call) countRun(ago time.Duration) {
	if f := c.handler.opts.OnRun; f != nil && c.account != nil && !c.runCounted {
		c.runCounted = true
		f(c.account.Name, ago)
	}
}

// demandFor returns the counters for a request's model, or nil if there are none:
// callers choose the model name, so counters are created only for models that have an
// open group. h.mu must be locked.
func (h *Handler) demandFor(c *call) *demand {
	key := modelKey{service: c.service}
	hasGroup := false
	switch {
	case c.route.UsesGroups:
		key.model = c.model
		_, hasGroup = c.view.heads[key]
	case h.opts.OnRun == nil:
		return nil
	default:
		hasGroup = true // The configuration names the services.
	}
	d := h.demands[key]
	if d == nil && hasGroup {
		d = &demand{}
		h.demands[key] = d
	}
	return d
}

// countRequest counts a valid request, whether or not it is refused later, also toward
// the retry budget.
func (h *Handler) countRequest(c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retryBudget.RecordRequest()
	if d := h.demandFor(c); d != nil {
		d.requests++
		d.promptTokens += c.prompt.Tokens
		d.recordGoals(c.route)
	}
}

// countRefusal counts a request that was refused because no backend server had
// capacity.
func (h *Handler) countRefusal(c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d := h.demandFor(c); d != nil {
		d.refused++
	}
}

// Demand returns the number of requests for a model so far, and the number of those
// that were refused because no group had capacity.
func (h *Handler) Demand(service ident.ServiceName, model string) (requests, refused uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d := h.demands[modelKey{service, model}]; d != nil {
		return d.requests, d.refused
	}
	return 0, 0
}

// VisitDemand calls f with the demand for each model so far. The model is empty for services
// without models.
func (h *Handler) VisitDemand(f func(service ident.ServiceName, model string, requests, refused, promptTokens uint64)) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, d := range h.demands {
		f(key.service, key.model, d.requests, d.refused, d.promptTokens)
	}
}

// InUse returns the number of requests in flight at the groups of a model, including
// those of other entry instances.
func (h *Handler) InUse(service ident.ServiceName, model string) int {
	n := 0
	for _, s := range h.view.Load().heads[modelKey{service, model}] {
		n += int(h.backend(s).inFlight.Load()) + h.opts.Peers.InFlight(s.ID)
	}
	return n
}
