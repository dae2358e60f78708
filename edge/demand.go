package edge

import (
	"time"

	"github.com/bulrushfall/bulrushfall/formation"
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

// modelDemand is the smoothed demand for a model.
type modelDemand struct {
	asked, refused uint64
	slots          float64
	known          bool
}

// measureDemand tells the planner how many slots callers ask of each model: those
// in use, and those that the refused requests would use.
func (n *Node) measureDemand(now time.Duration) {
	if now < n.demandAt || n.routes == nil || n.handler.View() == nil {
		return
	}
	n.demandAt = now + demandEvery
	service := n.modelService()
	if service == nil {
		return
	}
	var uses []formation.Use
	for _, m := range service.Models {
		d, ok := n.demands[m.Name]
		if !ok {
			d = &modelDemand{}
			n.demands[m.Name] = d
		}
		asked, refused := n.handler.Demand(service.Name, m.Name)
		part := 0.0
		if asked > d.asked {
			part = min(mostRefused, float64(refused-d.refused)/float64(asked-d.asked))
		}
		d.asked, d.refused = asked, refused
		slots := float64(n.handler.InUse(service.Name, m.Name)) / (1 - part)
		if !d.known {
			d.known = slots > 0
			d.slots = slots
		}
		d.slots += demandWeight * (slots - d.slots)
		if d.known {
			uses = append(uses, formation.Use{Model: m.Name, Slots: d.slots})
		}
	}
	if len(uses) == len(service.Models) {
		n.stepPlanner(formation.Demand{Uses: uses})
	}
}
