package forward

import (
	"slices"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
)

// modelKey names the groups of a model in a service.
type modelKey struct {
	service ident.ServiceName
	model   string
}

// View is what requests are served by: a configuration and the backend servers
// that may be used. It is immutable.
type View struct {
	Routes  *route.Table
	servers *fleet.Snapshot
	plain   map[ident.ServiceName][]*fleet.Server
	heads   map[modelKey][]*fleet.Server
}

// NewView selects the usable backend servers: those that are not leaving and not
// in a data centre that was taken out, and of a group only its open head.
func NewView(routes *route.Table, servers *fleet.Snapshot, evacuated []ident.DataCentre) *View {
	v := &View{
		Routes: routes, servers: servers,
		plain: make(map[ident.ServiceName][]*fleet.Server),
		heads: make(map[modelKey][]*fleet.Server),
	}
	for _, s := range servers.Servers {
		if s.Draining || slices.Contains(evacuated, s.DataCentre) {
			continue
		}
		service, ok := routes.Service(s.Service)
		switch {
		case !ok:
		case len(service.Models) == 0:
			v.plain[s.Service] = append(v.plain[s.Service], s)
		case s.State == fleet.Open && s.Rank == 0:
			key := modelKey{s.Service, s.Model}
			v.heads[key] = append(v.heads[key], s)
		}
	}
	return v
}

// Heads returns how many groups of a model serve.
func (v *View) Heads(service ident.ServiceName, model string) int {
	return len(v.heads[modelKey{service, model}])
}

// candidates returns the backend servers that may run a request.
func (v *View) candidates(c *call) []*fleet.Server {
	if service, ok := v.Routes.Service(c.service); ok && len(service.Models) > 0 {
		return v.heads[modelKey{c.service, c.model}]
	}
	return v.plain[c.service]
}
