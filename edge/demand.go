package edge

import (
	"time"

	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/forward"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the demand for models.
const (
	// demandEvery is the time between measurements.
	demandEvery = 500 * time.Millisecond
	// demandWeight is the weight of a new measurement: the mean follows a change
	// within about two seconds.
	demandWeight = 0.25
	// mostRefused bounds the part of refused requests that is believed: callers
	// who come back are counted again.
	mostRefused = 0.6
)

// modelDemand is the smoothed demand for a model, in slots. It is zero until a group
// has served a request.
type modelDemand struct {
	requests, refused uint64
	slots             float64
}

// measureDemand gives the planner the demand for each model: the slots in use, and
// those that the refused requests would use.
func (n *Node) measureDemand(now time.Duration) {
	if now < n.demandAt || n.routes == nil || n.handler.View() == nil {
		return
	}
	n.demandAt = now + demandEvery
	service := n.modelService()
	if service == nil {
		return
	}
	var uses []formation.ModelDemand
	for _, m := range service.Models {
		d, ok := n.demands[m.Name]
		if !ok {
			d = &modelDemand{}
			n.demands[m.Name] = d
		}
		d.add(n.handler, service.Name, m.Name)
		if d.slots > 0 {
			uses = append(uses, formation.ModelDemand{Model: m.Name, Slots: d.slots})
		}
	}
	if len(uses) == len(service.Models) {
		n.stepPlanner(formation.Demand{PerModel: uses})
	}
}

// add takes a measurement.
func (d *modelDemand) add(h *forward.Handler, service ident.ServiceName, model string) {
	requests, refused := h.Demand(service, model)
	part := 0.0
	if requests > d.requests {
		part = min(mostRefused, float64(refused-d.refused)/float64(requests-d.requests))
	}
	d.requests, d.refused = requests, refused
	slots := float64(h.InUse(service, model)) / (1 - part)
	if d.slots == 0 {
		d.slots = slots
	}
	d.slots += demandWeight * (slots - d.slots)
}
