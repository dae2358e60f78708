package edge

import (
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/duty"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/route"
	"github.com/bulrushfall/bulrushfall/sizing"
)

// sizeInterval is the time between decisions about the number of backend servers.
const sizeInterval = demandInterval / 2

// sizeLogInterval is the time between log lines about the size of the service.
const sizeLogInterval = 2 * time.Second

// minCountedShare is the part of the entry instances that must have counted their requests for
// the demand to be known.
const minCountedShare = 0.3

// adjustSizes decides the number of backend servers of the service with models. Only the
// holder of the lease does, and only if the settings and the configuration ask for it.
func (n *Node) adjustSizes(now time.Duration) {
	if !n.settings.Duties.OrdersServers || n.routes == nil || n.handler.View() == nil || !n.holdsLease.Load() {
		n.stopSizing()
		return
	}
	service := n.modelService()
	if service == nil || service.Scaling == nil {
		n.stopSizing()
		return
	}
	if now < n.nextSizeAt {
		return
	}
	n.nextSizeAt = now + sizeInterval
	if n.sizing == nil {
		n.sizing = sizing.New(sizing.DefaultConfig())
	}
	input := n.sizingInput(service)
	for _, o := range n.sizing.Step(now, input) {
		n.orderCount++
		n.log.WithFields(logrus.Fields{
			"service": service.Name, "data_centre": o.DataCentre, "servers": o.Servers, "reason": o.Reason, "dry_run": n.settings.Duties.LogsOrdersOnly,
		}).Info("number of servers decided")
		if !n.settings.Duties.LogsOrdersOnly {
			n.stepDuties(duty.SizeWanted{Service: service.Name, DataCentre: o.DataCentre, Servers: o.Servers, Decision: n.orderCount, Reason: o.Reason})
		}
	}
	n.reportSizes(service, input)
	if n.sizing != nil && now >= n.nextSizeLogAt {
		n.nextSizeLogAt = now + sizeLogInterval
		n.log.WithFields(logrus.Fields{"service": service.Name, "present": len(input.Servers), "leaving": len(n.sizing.Leaving()), "needs": n.sizing.Describe()}).Info("size of the service")
	}
	if n.settings.Duties.LogsOrdersOnly {
		return
	}
	if leaving := n.sizing.Leaving(); !maps.Equal(leaving, n.leavingServers) {
		n.leavingServers = maps.Clone(leaving)
		n.stepPlanner(formation.Leaving{Servers: n.leavingServers})
	}
	if models := n.sizing.Reassigned(); !maps.Equal(models, n.reassignedServers) {
		n.reassignedServers = maps.Clone(models)
		n.log.WithFields(logrus.Fields{"service": service.Name, "servers": len(models), "reason": n.sizing.Describe()}).Info("servers reassigned to other models")
		n.stepPlanner(formation.Reassigned{Models: n.reassignedServers})
	}
}

// stopSizing ends the decisions about the number of servers. Those that were to leave or to
// change their model stay as they are.
func (n *Node) stopSizing() {
	n.sizing = nil
	if len(n.leavingServers) > 0 {
		n.leavingServers = nil
		n.stepPlanner(formation.Leaving{})
	}
	if len(n.reassignedServers) > 0 {
		n.reassignedServers = nil
		n.stepPlanner(formation.Reassigned{})
	}
}

// sizingInput returns what this instance knows for a decision.
func (n *Node) sizingInput(service *route.Service) sizing.Input {
	in := sizing.Input{Service: service, Evacuated: n.evacuated}
	servers := slices.Clone(n.serverSnapshot.Servers)
	if n.platform.CompareStay != nil {
		slices.SortStableFunc(servers, n.platform.CompareStay)
	}
	for _, s := range servers {
		if s.Service != service.Name || s.Draining {
			continue
		}
		model, group := n.planner.Model(s)
		in.Servers = append(in.Servers, sizing.Server{ID: s.ID, DataCentre: s.DataCentre, Domain: s.Domain, Model: model, Group: group})
	}
	rates := n.modelActivity()
	counted := 0 // An instance counts a model only once it has had a request for it.
	for _, m := range service.Models {
		counted = max(counted, rates[modelKey{Service: service.Name, Model: m.Name}].Counted)
	}
	for _, m := range service.Models {
		r := rates[modelKey{Service: service.Name, Model: m.Name}]
		if r.Arrivals <= 0 || float64(counted) < minCountedShare*float64(r.Expected) {
			continue
		}
		// Callers spread over all instances, so that those that were not counted get as many requests.
		all := max(1, float64(r.Expected)/float64(counted))
		goal, gap := n.handler.ModelGoals(n.routes, service.Name, m.Name)
		in.Demand = append(in.Demand, sizing.Demand{
			Model: m.Name, Arrivals: all * r.Arrivals, PromptTokens: all * r.PromptTokens, Slots: float64(n.handler.InUse(service.Name, m.Name)), Goal: goal, Gap: gap,
		})
	}
	return in
}

// reportSizes sets the metrics of the last decision.
func (n *Node) reportSizes(service *route.Service, in sizing.Input) {
	scope := n.metrics.Scope.Tagged(map[string]string{"service": string(service.Name)})
	scope.Gauge("servers_present").Update(float64(len(in.Servers)))
	scope.Gauge("servers_leaving").Update(float64(len(n.sizing.Leaving())))
	wanted := 0
	for _, need := range n.sizing.Needs() {
		wanted += need.Kept * need.GroupSize
		model := scope.Tagged(map[string]string{"model": need.Model})
		model.Gauge("demand_rate").Update(need.Arrivals)
		model.Gauge("demand_rate_expected").Update(need.Forecast)
		model.Gauge("groups_possible").Update(float64(need.Groups))
		model.Gauge("groups_wanted").Update(float64(need.Needed))
	}
	scope.Gauge("servers_wanted").Update(float64(wanted))
}
