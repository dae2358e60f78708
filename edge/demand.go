package edge

import (
	"time"

	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/forward"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the demand measurement.
const (
	// demandInterval is the time between measurements.
	demandInterval = 500 * time.Millisecond
	// demandSmoothing is the weight of a new measurement in the exponential moving
	// average, which follows a change within about two seconds.
	demandSmoothing = 0.25
	// maxRefusedRatio caps the measured ratio of refused requests: it overstates
	// the demand, because callers that retry are counted again.
	maxRefusedRatio = 0.6
)

// modelDemand is the measured demand for a model.
type modelDemand struct {
	// requests and refused are the handler's counters at the last measurement.
	requests, refused uint64
	// slots is the smoothed demand in slots. It is zero until a measurement has found a
	// request in flight.
	slots float64
}

// measureDemand sends the planner the demand for each model: the slots in use plus
// those that the refused requests would use. It sends nothing until the demand for
// all models is known.
func (n *Node) measureDemand(now time.Duration) {
	if now < n.nextDemandAt || n.routes == nil || n.handler.View() == nil {
		return
	}
	n.nextDemandAt = now + demandInterval
	service := n.modelService()
	if service == nil {
		return
	}
	var demands []formation.ModelDemand
	for _, m := range service.Models {
		demand, ok := n.modelDemands[m.Name]
		if !ok {
			demand = &modelDemand{}
			n.modelDemands[m.Name] = demand
		}
		demand.update(n.handler, service.Name, m.Name)
		if demand.slots > 0 {
			demands = append(demands, formation.ModelDemand{Model: m.Name, Slots: demand.slots})
		}
	}
	if len(demands) == len(service.Models) {
		n.stepPlanner(formation.Demand{PerModel: demands})
	}
}

// update measures the demand again and smooths it.
func (d *modelDemand) update(h *forward.Handler, service ident.ServiceName, model string) {
	requests, refused := h.Demand(service, model)
	refusedRatio := 0.0
	if requests > d.requests {
		refusedRatio = min(maxRefusedRatio, float64(refused-d.refused)/float64(requests-d.requests))
	}
	d.requests, d.refused = requests, refused
	slots := float64(h.InUse(service, model)) / (1 - refusedRatio)
	if d.slots == 0 {
		d.slots = slots
	}
	d.slots += demandSmoothing * (slots - d.slots)
}
