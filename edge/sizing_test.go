package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/activity"
	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/forward"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
	"github.com/bulrushfall/bulrushfall/sizing"
)

// Guards against orders where the settings or the configuration ask for none, where another
// instance holds the lease, and in a dry run.
func TestServersAreOrderedOnlyWhereAsked(t *testing.T) {
	scaling := &route.Scaling{Min: 1, Max: 60, StartTime: time.Second}
	for _, c := range []struct {
		name    string
		duties  DutySettings
		scaling *route.Scaling
		holder  bool
		// decided is the number of decisions, leaving that of servers whose groups are emptied
		// or were.
		decided uint64
		leaving bool
	}{
		{"asked", DutySettings{OrdersServers: true}, scaling, true, 1, true},
		{"dry run", DutySettings{OrdersServers: true, LogsOrdersOnly: true}, scaling, true, 1, false},
		{"no duty", DutySettings{ReportsUsage: true}, scaling, true, 0, false},
		{"no bounds", DutySettings{OrdersServers: true}, nil, true, 0, false},
		{"not the holder", DutySettings{OrdersServers: true}, scaling, false, 0, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			n := dutyNode(t, c.duties, nil)
			n.routes = route.Compile(route.Config{Services: []route.Service{{Name: "s", Slots: 1, Scaling: c.scaling, Models: []route.Model{{Name: "m", Size: 2}}}}})
			n.holdsLease.Store(c.holder)
			n.serverSnapshot = &fleet.Snapshot{}
			for i := range 74 {
				n.serverSnapshot.Servers = append(n.serverSnapshot.Servers, &fleet.Server{ID: ident.InstanceID(fmt.Sprintf("i%02d", i)), Service: "s", DataCentre: "a", Domain: ident.Domain(fmt.Sprint(i % 2)), Staged: []string{"m"}})
			}
			n.stepPlanner(formation.ServersChanged{Servers: n.serverSnapshot})
			n.handler.SetView(forward.NewView(n.routes, n.serverSnapshot, nil))
			left := false
			for now := time.Duration(0); now < 8*time.Second; now += sizeInterval {
				rate := activity.ModelRates{ModelKey: modelKey{Service: "s", Model: "m"}, Rates: activity.Rates{Arrivals: 5}, Counted: 1}
				n.activity.totals.Merge(n.activity.now(), activity.DataCentreSums{DataCentre: "a", Models: []activity.ModelRates{rate}})
				n.adjustSizes(now)
				left = left || len(n.leavingServers) > 0
			}
			assert.Equal(t, min(1, n.orderCount), c.decided)
			assert.Equal(t, left, c.leaving)
			assert.Equal(t, n.sizing != nil, c.decided > 0)
		})
	}
}

// Guards against groups that stay empty because their servers were to leave when the
// configuration ceased to let the service's size be chosen.
func TestServersStayOnceSizesAreFixed(t *testing.T) {
	n := dutyNode(t, DutySettings{OrdersServers: true}, nil)
	n.holdsLease.Store(true)
	n.serverSnapshot = &fleet.Snapshot{}
	n.routes = route.Compile(route.Config{Services: []route.Service{{Name: "s", Slots: 1, Models: []route.Model{{Name: "m", Size: 2}}}}})
	n.handler.SetView(forward.NewView(n.routes, n.serverSnapshot, nil))
	n.sizing = sizing.New(sizing.DefaultConfig())
	n.leavingServers = map[ident.InstanceID]bool{"i01": true}
	n.reassignedServers = map[ident.InstanceID]string{"i02": "other"}
	n.adjustSizes(0)
	assert.Assert(t, n.sizing == nil && len(n.leavingServers) == 0 && len(n.reassignedServers) == 0)
}
