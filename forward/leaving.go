package forward

import (
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/fleet"
)

// metricLeaving counts the runs of backend servers that have said that they leave.
const metricLeaving = "backend_servers_leaving_total"

// departures are the backend servers that have said in a response that they leave.
type departures struct {
	mu      sync.RWMutex
	decider *fleet.Departures
}

func newDepartures(drainTime time.Duration) *departures {
	return &departures{decider: fleet.NewDepartures(drainTime)}
}

func (d *departures) step(now time.Duration, e fleet.DepartureEvent) (began bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.decider.Step(now, e)
}

// use returns how a run of a backend server may be used for a new request.
func (d *departures) use(now time.Duration, key backendKey) fleet.Use {
	d.mu.RLock()
	defer d.mu.RUnlock()
	return d.decider.Use(now, fleet.Run{ID: key.id, Incarnation: key.incarnation})
}

// updateList tells the departures which runs a view lists.
func (d *departures) updateList(now time.Duration, v *View) {
	d.step(now, fleet.ListChanged{Listed: func(run fleet.Run) bool {
		s, ok := v.servers.Get(run.ID)
		return ok && s.Incarnation == run.Incarnation
	}})
}

// recordLeaving records that the backend server leaves, if the header of a response says so.
// Each entry instance learns it from its own responses: the first one costs no request.
func (a *attempt) recordLeaving(header http.Header) {
	h := a.req.handler
	if header.Get(h.opts.Headers.ServerLeaving) == "" {
		return
	}
	if !h.departures.step(a.req.now(), fleet.SaidLeaving{Run: runOf(a.server)}) {
		return
	}
	h.count(metricLeaving)
	if h.opts.Log != nil {
		h.opts.Log.WithFields(logrus.Fields{
			"server": a.server.ID, "incarnation": a.server.Incarnation, "group": a.server.Group, "request": a.req.id,
		}).Info("backend server leaves")
	}
}

// preferStaying removes leaving backend servers if there are others.
func preferStaying(candidates []candidate) []candidate {
	if !slices.ContainsFunc(candidates, func(o candidate) bool { return !o.leaving }) {
		return candidates
	}
	return slices.DeleteFunc(candidates, func(o candidate) bool { return o.leaving })
}
