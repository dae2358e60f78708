package forward

import (
	"slices"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// modelKey identifies a model of a service.
type modelKey struct {
	service ident.ServiceName
	model   string
}

// View combines a configuration with the backend servers that requests may be sent
// to. It is immutable.
type View struct {
	Routes  *route.Table
	servers *fleet.Snapshot
	// plainServers are the backend servers of services without models.
	plainServers map[ident.ServiceName][]*fleet.Server
	// heads are the heads of the open groups of each model.
	heads map[modelKey][]*fleet.Server
	// scarce holds the models of services that defer requests.
	scarce map[modelKey]*scarceModel
}

// NewView selects the backend servers that requests may be sent to: those that are
// not draining and not in an evacuated data centre and, for services with models,
// only the heads of open groups.
func NewView(routes *route.Table, servers *fleet.Snapshot, evacuated []ident.DataCentre) *View {
	v := &View{
		Routes: routes, servers: servers,
		plainServers: make(map[ident.ServiceName][]*fleet.Server),
		heads:        make(map[modelKey][]*fleet.Server),
		scarce:       scarceModels(routes),
	}
	for _, s := range servers.Servers {
		if s.Draining || slices.Contains(evacuated, s.DataCentre) {
			continue
		}
		service, ok := routes.Service(s.Service)
		switch {
		case !ok:
		case len(service.Models) == 0:
			v.plainServers[s.Service] = append(v.plainServers[s.Service], s)
		case s.State == fleet.Open && s.Rank == 0:
			key := modelKey{s.Service, s.Model}
			v.heads[key] = append(v.heads[key], s)
		}
	}
	return v
}

// HeadCount returns the number of groups of a model that accept requests.
func (v *View) HeadCount(service ident.ServiceName, model string) int {
	return len(v.heads[modelKey{service, model}])
}

// candidates returns the backend servers that can run a request.
func (v *View) candidates(c *call) []*fleet.Server {
	if service, ok := v.Routes.Service(c.service); ok && len(service.Models) > 0 {
		return v.heads[modelKey{c.service, c.model}]
	}
	return v.plainServers[c.service]
}
