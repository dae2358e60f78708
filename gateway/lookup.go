package gateway

import (
	"context"
	"net/http"
	"sort"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/view"
)

// LookupAddress is the address of an entry instance that accepts requests.
type LookupAddress struct {
	Address    string           `json:"address"`
	DataCentre ident.DataCentre `json:"data_centre"`
	Instance   ident.InstanceID `json:"instance"`
}

// LookupAnswer contains the usable entry instances, best first, and how long the
// list may be cached.
type LookupAnswer struct {
	Addresses []LookupAddress `json:"addresses"`
	TTLMillis int64           `json:"ttl_ms"`
}

type lookupRequest struct {
	service ident.ServiceName
	// seed distributes callers over the entry instances.
	seed string
}

func decodeLookup(_ context.Context, h *http.Request) (any, error) {
	return lookupRequest{
		service: ident.ServiceName(h.URL.Query().Get("service")),
		seed:    h.RemoteAddr + h.Header.Get("Authorization"),
	}, nil
}

// lookup returns the entry instances that accept requests. Draining and dead ones
// are left out. The ones in this data centre come first. Their order differs
// between callers.
func (g *Gateway) lookup(_ context.Context, request any) (any, error) {
	q := request.(lookupRequest)
	g.counters.lookups.Inc(1)
	snap := g.opts.Snapshot()
	if !snap.Ready {
		return nil, &ProblemNotReady
	}
	if q.service != "" && snap.Service(q.service) == nil {
		return nil, ProblemUnknownService.WithDetail("%q", q.service)
	}
	return LookupAnswer{
		Addresses: g.lookupOrder(snap.Entries, q.seed),
		TTLMillis: g.opts.LookupTTL.Milliseconds(),
	}, nil
}

func (g *Gateway) lookupOrder(entries []view.Entry, seed string) []LookupAddress {
	usable := make([]view.Entry, 0, len(entries))
	for _, e := range entries {
		leaving := e.Draining || (e.Instance == g.opts.Self.Instance && g.draining.Load())
		if e.Alive && !leaving {
			usable = append(usable, e)
		}
	}
	sort.Slice(usable, func(i, j int) bool {
		a, b := usable[i], usable[j]
		if local := a.DataCentre == g.opts.Self.DataCentre; local != (b.DataCentre == g.opts.Self.DataCentre) {
			return local
		}
		return ident.Score(seed, a.Instance) > ident.Score(seed, b.Instance)
	})
	out := make([]LookupAddress, 0, len(usable))
	for _, e := range usable {
		out = append(out, LookupAddress{Address: e.Address, DataCentre: e.DataCentre, Instance: e.Instance})
	}
	return out
}
