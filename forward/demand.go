package forward

import "github.com/bulrushfall/bulrushfall/ident"

// demand counts the requests for a model, and those of them that no group had room
// for.
type demand struct{ requests, refused uint64 }

// demand returns the counts for a request's model, or nil if none are kept: callers
// choose the model's name, so only those that a group has served are counted. The
// handler is locked.
func (h *Handler) demand(c *call) *demand {
	if !c.route.UsesGroups {
		return nil
	}
	key := modelKey{c.service, c.model}
	d := h.demands[key]
	if _, served := c.view.heads[key]; d == nil && served {
		d = &demand{}
		h.demands[key] = d
	}
	return d
}

// arrived counts a request that may be served.
func (h *Handler) arrived(c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.retries.First()
	if d := h.demand(c); d != nil {
		d.requests++
	}
}

// turnedAway counts a request for which there was no backend server.
func (h *Handler) turnedAway(c *call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d := h.demand(c); d != nil {
		d.refused++
	}
}

// Demand returns the number of requests for a model so far, and of those that no
// group had room for.
func (h *Handler) Demand(service ident.ServiceName, model string) (requests, refused uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if d := h.demands[modelKey{service, model}]; d != nil {
		return d.requests, d.refused
	}
	return 0, 0
}

// InUse returns the requests under way at the groups of a model, those of other
// entry instances included.
func (h *Handler) InUse(service ident.ServiceName, model string) int {
	n := 0
	for _, s := range h.view.Load().heads[modelKey{service, model}] {
		n += int(h.backend(s).inFlight.Load()) + h.opts.Peers.InFlight(s.ID)
	}
	return n
}
