package experiment

import (
	"container/list"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/routing"
)

// Parameters of the routing model: engines with the timing of the simulated engine, and
// seven entry instances whose load reports lag and whose cache events come late, with one
// in ten lost.
const (
	routeEntries           = 7
	routeLimit             = 16
	routePrefillTime       = 100 * time.Microsecond // per uncached prompt token
	routeTokenTime         = 20 * time.Millisecond
	routeBaseTime          = 5 * time.Millisecond
	routeCacheTokens       = 60_000
	routePollInterval      = 250 * time.Millisecond
	routeReportLag         = 200 * time.Millisecond
	routeEventLag          = 200 * time.Millisecond
	routeLostEventInterval = 10
	routeHints             = 1 << 16
	stragglerFactor        = 4
)

// routeRequest is one request of the trace.
type routeRequest struct {
	arrivesAt    time.Duration
	entry        int
	promptTokens int
	prefixes     []uint64
	answerTokens int
	// fingerprint is unique to the request.
	fingerprint ident.Fingerprint
}

// withoutFingerprint wraps a policy and hides the request's fingerprint from it.
type withoutFingerprint struct{ routing.Policy }

// Pick implements routing.Policy.
func (p withoutFingerprint) Pick(now time.Duration, t *routing.Table, r *routing.Request) int {
	q := *r
	q.Fingerprint = 0
	return p.Policy.Pick(now, t, &q)
}

// generateRouteTrace generates a trace of conversations. Each starts with one of 60 long
// shared instructions, and its prompt grows with each turn.
func generateRouteTrace(seed uint64, duration time.Duration, rate float64) []routeRequest {
	r := rand.New(rand.NewPCG(seed, 2))
	type conversation struct {
		prefixes []uint64
		entry    int
	}
	var conversations []*conversation
	var out []routeRequest
	const instructions, blocks = 60, 96
	for now := time.Duration(0); now < duration; now += time.Duration(r.ExpFloat64() / rate * float64(time.Second)) {
		var c *conversation
		if len(conversations) > 0 && r.Float64() < 0.7 {
			c = conversations[len(conversations)-1-r.IntN(min(len(conversations), 200))] // next turn of a recent conversation
		} else {
			c = &conversation{entry: r.IntN(routeEntries)}
			instruction := uint64(min(r.ExpFloat64()*instructions/4, instructions-1))
			for b := range blocks {
				c.prefixes = append(c.prefixes, (instruction+1)<<32|uint64(b))
			}
			conversations = append(conversations, c)
		}
		for range 1 + r.IntN(12) {
			c.prefixes = append(c.prefixes, r.Uint64()|1<<63)
		}
		prefixes := append([]uint64(nil), c.prefixes...)
		out = append(out, routeRequest{
			arrivesAt: now, entry: c.entry, promptTokens: len(prefixes)*engine.PrefixBlockTokens + r.IntN(engine.PrefixBlockTokens),
			prefixes: prefixes, answerTokens: 10 + int(r.ExpFloat64()*40),
			fingerprint: ident.NewFingerprint("route", binary.AppendUvarint(nil, uint64(len(out)))),
		})
	}
	return out
}

// routeEngine is the engine of one group, with a prefix cache in LRU order. slowdown
// multiplies its times.
type routeEngine struct {
	id       ident.GroupID
	slowdown float64
	running  int
	queue    []func()
	recency  *list.List // of prefix hashes, most recent first
	cached   map[uint64]*list.Element
	seq      uint64
	// reported is the load that the next poll reports.
	reported int
}

// useCached marks the cached leading prefixes of a prompt as used and returns the number
// of their tokens.
func (e *routeEngine) useCached(prefixes []uint64) int {
	n := 0
	for _, h := range prefixes {
		el, ok := e.cached[h]
		if !ok {
			break
		}
		e.recency.MoveToFront(el)
		n++
	}
	return n * engine.PrefixBlockTokens
}

// routeModel simulates the groups and entry instances with one policy.
type routeModel struct {
	callClock
	engines     []*routeEngine
	tables      []*routing.Table
	policies    []routing.Policy
	firstTokens []time.Duration
	// cachedTokens counts the prompt tokens that were cached, totalPromptTokens all.
	cachedTokens, totalPromptTokens int
}

// policyFactory returns a policy for one entry instance.
type policyFactory func(r *rand.Rand) routing.Policy

// runRouting replays a trace with one policy. One group in twenty is slower by
// stragglerFactor.
func runRouting(trace []routeRequest, groups int, policy policyFactory) *routeModel {
	m := &routeModel{}
	for i := range groups {
		e := &routeEngine{id: ident.GroupID(fmt.Sprint("g", i)), slowdown: 1, recency: list.New(), cached: make(map[uint64]*list.Element)}
		if i%20 == 7 {
			e.slowdown = stragglerFactor
		}
		m.engines = append(m.engines, e)
	}
	for i := range routeEntries {
		m.tables = append(m.tables, routing.NewTable(routing.Location{Region: "r", DataCentre: routeDataCentre(i)}, routeHints))
		m.policies = append(m.policies, policy(rand.New(rand.NewPCG(uint64(i), 3))))
	}
	m.poll()
	for i := range trace {
		r := trace[i]
		m.after(r.arrivesAt, func() { m.dispatch(&r) })
	}
	end := trace[len(trace)-1].arrivesAt + time.Minute
	m.run(end)
	return m
}

func routeDataCentre(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprint("dc-", i%3)) }

// poll gives every entry instance the load of all groups as of routeReportLag ago, at each
// poll interval.
func (m *routeModel) poll() {
	rows := make([]routing.Group, len(m.engines))
	for i, e := range m.engines {
		rows[i] = routing.Group{
			ID: e.id, Epoch: 1, DataCentre: routeDataCentre(i), Region: "r", Limit: routeLimit,
			Running: min(e.reported, routeLimit), Queued: max(0, e.reported-routeLimit), ReportedAt: m.now,
		}
	}
	for _, t := range m.tables {
		t.Update(m.now, rows)
	}
	m.after(routePollInterval-routeReportLag, func() {
		for _, e := range m.engines {
			e.reported = e.running + len(e.queue)
		}
	})
	m.after(routePollInterval, m.poll)
}

func (m *routeModel) dispatch(r *routeRequest) {
	t := m.tables[r.entry]
	short := r.prefixes[:min(len(r.prefixes), 128)]
	req := &routing.Request{PromptTokens: r.promptTokens, Prefixes: short, Fingerprint: r.fingerprint}
	i := m.policies[r.entry].Pick(m.now, t, req)
	uncached := t.UncachedTokens(i, req)
	e := m.engines[i]
	t.RecordStart(m.now, e.id, short)
	sent := m.now
	begin := func() { m.serve(e, t, r, sent, uncached) }
	if e.running < routeLimit {
		begin()
		return
	}
	e.queue = append(e.queue, begin)
}

func (m *routeModel) serve(e *routeEngine, t *routing.Table, r *routeRequest, sent time.Duration, uncached int) {
	e.running++
	hit := e.useCached(r.prefixes)
	m.cachedTokens += hit
	m.totalPromptTokens += r.promptTokens
	busy := 1 + float64(e.running)/routeLimit
	prefill := routeBaseTime + time.Duration(float64(r.promptTokens-hit)*float64(routePrefillTime)*busy*e.slowdown)
	m.after(prefill, func() {
		m.firstTokens = append(m.firstTokens, m.now-r.arrivesAt)
		first := m.now - sent
		m.cachePrefixes(e, r.prefixes)
		m.after(time.Duration(float64(r.answerTokens)*float64(routeTokenTime)*e.slowdown), func() {
			e.running--
			t.RecordEnd(m.now, e.id, uncached, first, m.now-sent)
			if len(e.queue) > 0 {
				next := e.queue[0]
				e.queue = e.queue[1:]
				next()
			}
		})
	})
}

// cachePrefixes adds prefixes to an engine's cache, evicts the least recently used ones
// over the limit, and publishes an event for each change.
func (m *routeModel) cachePrefixes(e *routeEngine, prefixes []uint64) {
	for i, h := range prefixes {
		if _, ok := e.cached[h]; !ok {
			e.cached[h] = e.recency.PushFront(h)
			m.publishEvent(e, h, (i+1)*engine.PrefixBlockTokens, false)
		}
	}
	for e.recency.Len()*engine.PrefixBlockTokens > routeCacheTokens {
		h, _ := e.recency.Remove(e.recency.Back()).(uint64)
		delete(e.cached, h)
		m.publishEvent(e, h, 0, true)
	}
}

func (m *routeModel) publishEvent(e *routeEngine, prefix uint64, tokens int, evicted bool) {
	e.seq++
	seq := e.seq
	if seq%routeLostEventInterval == 0 {
		return
	}
	m.after(routeEventLag, func() {
		for _, t := range m.tables {
			t.ApplyCacheEvent(m.now, e.id, seq, prefix, tokens, evicted)
		}
	})
}
