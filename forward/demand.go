package forward

import "github.com/bulrushfall/bulrushfall/ident"

// demand counts the requests for a model.
type demand struct{ asked, refused uint64 }

// asked counts a request for a model.
func (h *Handler) asked(c *call) { h.demandOf(c, func(d *demand) { d.asked++ }) }

// refused counts a request for a model for which no group had room.
func (h *Handler) refused(c *call) { h.demandOf(c, func(d *demand) { d.refused++ }) }

func (h *Handler) demandOf(c *call, count func(*demand)) {
	if !c.route.Grouped {
		return
	}
	key := modelKey{c.service, c.model}
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.demands[key]
	if !ok {
		if _, known := c.view.heads[key]; !known {
			return // A model that no group has served needs no count, and callers choose its name.
		}
		d = &demand{}
		h.demands[key] = d
	}
	count(d)
}

// Demand returns how many requests have asked for a model so far, and how many
// of them found no group with room.
func (h *Handler) Demand(service ident.ServiceName, model string) (asked, refused uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d, ok := h.demands[modelKey{service, model}]
	if !ok {
		return 0, 0
	}
	return d.asked, d.refused
}

// InUse returns the requests under way at the groups of a model, those of other
// entry instances included.
func (h *Handler) InUse(service ident.ServiceName, model string) int {
	n := 0
	for _, s := range h.view.Load().heads[modelKey{service, model}] {
		n += int(h.backend(s).inFlight.Load()) + h.opts.Loads.Elsewhere(s.ID)
	}
	return n
}
