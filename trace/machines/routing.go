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
	// routingPrefixes is the maximum size of the prefix index.
	routingPrefixes = 10_000
	// prefillPerToken is the compute time per prompt token that is not cached.
	prefillPerToken = 500 * time.Microsecond
	// stragglerFactor is the factor by which a straggler is slower.
	stragglerFactor = 5
	// reportLag is the interval of the load reports, and so their maximum age.
	reportLag = 500 * time.Millisecond
)

// Routing replays the choice of a group by expected delay at one entry instance.
// Each engine instance of the trace represents a group. The loss of a member with
// the reason "straggling" makes its group slow.
type Routing struct {
	schedule   schedule
	table      *routing.Table
	policy     routing.Policy
	groups     []*routingGroup
	drained    map[string]bool
	nextReport time.Duration
}

// routingGroup models one group.
type routingGroup struct {
	instance infra.Instance
	lost     bool
	slowdown float64
	running  int
	cached   map[uint64]bool
	// reportedRunning and reportedAt are the latest load report.
	reportedRunning int
	reportedAt      time.Duration
}

// Name implements trace.Machine.
func (r *Routing) Name() string { return "routing" }

// Start implements trace.Machine.
func (r *Routing) Start(h trace.Header) error {
	place := routing.Location{DataCentre: "dc-a", Region: "bg-north"}
	*r = Routing{
		table:   routing.NewTable(place, routingPrefixes),
		policy:  routing.ExpectedDelay{Rand: rand.New(rand.NewPCG(h.Seed, h.Seed))},
		drained: make(map[string]bool),
	}
	return nil
}

// Step implements trace.Machine.
func (r *Routing) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := r.schedule.runDue(now)
	switch e.Kind {
	case trace.KindInstance:
		if e.Instance.Kind == infra.KindEngine {
			r.groups = append(r.groups, &routingGroup{instance: *e.Instance, slowdown: 1, cached: make(map[uint64]bool)})
			r.updateTable(now)
		}
	case trace.KindMemberLost, trace.KindMemberReturned:
		r.applyMember(e)
		r.updateTable(now)
	case trace.KindDrain:
		r.drained[e.Drain.Name] = !e.Drain.Restored
		r.updateTable(now)
	case trace.KindCache:
		c := e.Cache.Event
		r.table.ApplyCacheEvent(now, c.Group, c.Sequence, c.Prefix, c.Tokens, c.Evicted)
	case trace.KindRequest:
		out = append(out, r.dispatch(now, e.Request)...)
	case trace.KindTick:
		if now >= r.nextReport {
			r.nextReport = now + reportLag
			for _, g := range r.groups {
				g.reportedRunning, g.reportedAt = g.running, now
			}
			r.updateTable(now)
		}
	}
	return out, nil
}

// applyMember applies the loss or return of a member to its group.
func (r *Routing) applyMember(e *trace.Event) {
	for _, g := range r.groups {
		if g.instance.ID != e.Member.Instance {
			continue
		}
		switch {
		case e.Kind == trace.KindMemberReturned:
			if g.lost {
				g.cached = make(map[uint64]bool)
			}
			g.lost, g.slowdown = false, 1
		case e.Member.Reason == "straggling":
			g.slowdown = stragglerFactor
		default:
			g.lost = true
		}
	}
}

// updateTable passes the available groups to the routing table.
func (r *Routing) updateTable(now time.Duration) {
	var out []routing.Group
	for _, g := range r.groups {
		if g.lost || r.drained[string(g.instance.DataCentre)] {
			continue
		}
		out = append(out, routing.Group{
			ID: ident.GroupID(g.instance.ID), Epoch: 1, DataCentre: g.instance.DataCentre, Region: g.instance.Region,
			Limit: routingLimit, Running: g.reportedRunning, ReportedAt: g.reportedAt,
		})
	}
	r.table.Update(now, out)
}

func (r *Routing) find(id ident.GroupID) *routingGroup {
	for _, g := range r.groups {
		if ident.GroupID(g.instance.ID) == id {
			return g
		}
	}
	return nil
}

// dispatch chooses a group for a request and runs the request there.
func (r *Routing) dispatch(now time.Duration, req *trace.Request) []trace.Decision {
	routed := routing.Request{PromptTokens: req.PromptTokens, Prefixes: req.Prefixes, Skip: func(i int) bool {
		return r.find(r.table.ID(i)).running >= routingLimit
	}}
	i := r.policy.Pick(now, r.table, &routed)
	if i < 0 {
		return []trace.Decision{decide("none", req.ID, "no group can take it")}
	}
	id := r.table.ID(i)
	g, uncached := r.find(id), r.table.UncachedTokens(i, &routed)
	out := []trace.Decision{decide("pick", string(id), "%s in %s expecting %d tokens to compute", req.ID, g.instance.DataCentre, uncached)}
	if g.lost || r.drained[string(g.instance.DataCentre)] {
		out = append(out, decide(ActionViolation, string(id), "data-centre-drain: new work in %s", g.instance.DataCentre))
	}
	r.table.RecordStart(now, id, req.Prefixes)
	g.running++
	computed := g.prefill(req) // uncached is the estimate of the entry instance
	firstToken := time.Duration(float64(computed) * float64(prefillPerToken) * g.slowdown)
	duration := firstToken + time.Duration(float64(req.MaxTokens)*float64(holdPerToken)*g.slowdown)
	r.schedule.after(now, duration, func(now time.Duration) []trace.Decision {
		g.running--
		r.table.RecordEnd(now, id, uncached, firstToken, duration)
		return nil
	})
	return out
}

// prefill adds the prompt to the group's cache and returns the number of tokens that
// were not cached.
func (g *routingGroup) prefill(req *trace.Request) int {
	hit := 0
	for i, p := range req.Prefixes {
		if g.cached[p] && hit == i {
			hit++
		}
		g.cached[p] = true
	}
	return max(0, req.PromptTokens-hit*engine.PrefixBlockTokens)
}
