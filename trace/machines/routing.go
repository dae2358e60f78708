package machines

import (
	"math/rand/v2"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/routing"
	"github.com/bulrushfall/bulrushfall/trace"
)

const (
	// routingLimit is the number of requests that a group runs at a time.
	routingLimit = 16
	// routingHints bounds the prefix index.
	routingHints = 10_000
	// prefillPerToken is the time per prompt token that is not in the cache.
	prefillPerToken = 500 * time.Microsecond
	// straggleFactor is how much slower a straggler is.
	straggleFactor = 5
	// reportLag is the age of the load reports.
	reportLag = 500 * time.Millisecond
)

// Routing replays the choice of a group by expected delay at one entry. Each
// engine instance of the trace stands for a group. A member lost with reason
// "straggling" makes its group slow.
type Routing struct {
	schedule schedule
	table    *routing.Table
	policy   routing.Policy
	groups   []*routingGroup
	drained  map[string]bool
	nextView time.Duration
}

type routingGroup struct {
	info    infra.Instance
	lost    bool
	slow    float64
	running int
	cached  map[uint64]bool
	// reported is the lagging load report.
	reported   int
	reportedAt time.Duration
}

// Name implements trace.Machine.
func (r *Routing) Name() string { return "routing" }

// RecordStart implements trace.Machine.
func (r *Routing) Start(h trace.Header) error {
	place := routing.Location{DataCentre: "dc-a", Region: "bg-north"}
	*r = Routing{
		table:   routing.NewTable(place, routingHints),
		policy:  routing.ExpectedDelay{Rand: rand.New(rand.NewPCG(h.Seed, h.Seed))},
		drained: make(map[string]bool),
	}
	return nil
}

// Step implements trace.Machine.
func (r *Routing) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := r.schedule.due(now)
	switch e.Kind {
	case trace.KindInstance:
		if e.Instance.Kind == infra.KindEngine {
			r.groups = append(r.groups, &routingGroup{info: *e.Instance, slow: 1, cached: make(map[uint64]bool)})
			r.view(now)
		}
	case trace.KindMemberLost, trace.KindMemberReturned:
		r.member(e)
		r.view(now)
	case trace.KindDrain:
		r.drained[e.Drain.Name] = !e.Drain.Restored
		r.view(now)
	case trace.KindCache:
		c := e.Cache.Event
		r.table.ApplyCacheEvent(now, c.Group, c.Sequence, c.Prefix, c.Tokens, c.Evicted)
	case trace.KindRequest:
		out = append(out, r.pick(now, e.Request)...)
	case trace.KindTick:
		if now >= r.nextView {
			r.nextView = now + reportLag
			for _, g := range r.groups {
				g.reported, g.reportedAt = g.running, now
			}
			r.view(now)
		}
	}
	return out, nil
}

func (r *Routing) member(e *trace.Event) {
	for _, g := range r.groups {
		if g.info.ID != e.Member.Instance {
			continue
		}
		switch {
		case e.Kind == trace.KindMemberReturned:
			if g.lost {
				g.cached = make(map[uint64]bool)
			}
			g.lost, g.slow = false, 1
		case e.Member.Reason == "straggling":
			g.slow = straggleFactor
		default:
			g.lost = true
		}
	}
}

// view hands the usable groups to the table.
func (r *Routing) view(now time.Duration) {
	var out []routing.Group
	for _, g := range r.groups {
		if g.lost || r.drained[string(g.info.DataCentre)] {
			continue
		}
		out = append(out, routing.Group{
			ID: ident.GroupID(g.info.ID), Epoch: 1, DataCentre: g.info.DataCentre, Region: g.info.Region,
			Limit: routingLimit, Running: g.reported, ReportedAt: g.reportedAt,
		})
	}
	r.table.Update(now, out)
}

func (r *Routing) find(id ident.GroupID) *routingGroup {
	for _, g := range r.groups {
		if ident.GroupID(g.info.ID) == id {
			return g
		}
	}
	return nil
}

// pick dispatches a request to the chosen group.
func (r *Routing) pick(now time.Duration, req *trace.Request) []trace.Decision {
	ask := routing.Request{PromptTokens: req.PromptTokens, Prefixes: req.Prefixes, Skip: func(i int) bool {
		return r.find(r.table.ID(i)).running >= routingLimit
	}}
	i := r.policy.Pick(now, r.table, &ask)
	if i < 0 {
		return []trace.Decision{decide("none", req.ID, "no group can take it")}
	}
	id := r.table.ID(i)
	g, uncached := r.find(id), r.table.UncachedTokens(i, &ask)
	out := []trace.Decision{decide("pick", string(id), "%s in %s expecting %d tokens to compute", req.ID, g.info.DataCentre, uncached)}
	if g.lost || r.drained[string(g.info.DataCentre)] {
		out = append(out, decide(ActionViolation, string(id), "data-centre-drain: new work in %s", g.info.DataCentre))
	}
	r.table.RecordStart(now, id, req.Prefixes)
	g.running++
	real := g.compute(req)
	first := time.Duration(float64(real) * float64(prefillPerToken) * g.slow)
	hold := first + time.Duration(float64(req.MaxTokens)*float64(holdPerToken)*g.slow)
	r.schedule.after(now, hold, func(now time.Duration) []trace.Decision {
		g.running--
		r.table.RecordEnd(now, id, uncached, first, hold)
		return nil
	})
	return out
}

// compute returns the prompt tokens that the group's cache lacks and fills it.
func (g *routingGroup) compute(req *trace.Request) int {
	hit := 0
	for i, p := range req.Prefixes {
		if g.cached[p] && hit == i {
			hit++
		}
		g.cached[p] = true
	}
	return max(0, req.PromptTokens-hit*engine.PrefixBlockTokens)
}
