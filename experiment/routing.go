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

// Parameters of the routing model: model engines as the stand-in has them, seven
// entry instances with lagging reports and late, gappy cache events.
const (
	routeEntries    = 7
	routeLimit      = 16
	routePrefill    = 100 * time.Microsecond // per uncached prompt token
	routeToken      = 20 * time.Millisecond
	routeBase       = 5 * time.Millisecond
	routeCache      = 60_000 // tokens
	routePoll       = 250 * time.Millisecond
	routeLag        = 200 * time.Millisecond
	routeEventLag   = 200 * time.Millisecond
	routeEventGap   = 10
	routeHints      = 1 << 16
	stragglerFactor = 4
)

// routeRequest is one request of the trace.
type routeRequest struct {
	at       time.Duration
	entry    int
	prompt   int // tokens
	prefixes []uint64
	answer   int // tokens
	// fingerprint differs between all requests.
	fingerprint ident.Fingerprint
}

// randomChoice hides the fingerprint from a policy, as if it had none.
type randomChoice struct{ routing.Policy }

// Pick implements routing.Policy.
func (p randomChoice) Pick(now time.Duration, t *routing.Table, r *routing.Request) int {
	q := *r
	q.Fingerprint = 0
	return p.Policy.Pick(now, t, &q)
}

// routeTrace generates conversations: each starts with one of its account's
// long instructions and grows turn by turn.
func routeTrace(seed uint64, duration time.Duration, rate float64) []routeRequest {
	r := rand.New(rand.NewPCG(seed, 2))
	type talk struct {
		prefixes []uint64
		entry    int
	}
	var talks []*talk
	var out []routeRequest
	const instructions, blocks = 60, 96
	for now := time.Duration(0); now < duration; now += time.Duration(r.ExpFloat64() / rate * float64(time.Second)) {
		var c *talk
		if len(talks) > 0 && r.Float64() < 0.7 {
			c = talks[len(talks)-1-r.IntN(min(len(talks), 200))] // a recent conversation goes on
		} else {
			c = &talk{entry: r.IntN(routeEntries)}
			which := uint64(min(r.ExpFloat64()*instructions/4, instructions-1))
			for b := range blocks {
				c.prefixes = append(c.prefixes, (which+1)<<32|uint64(b))
			}
			talks = append(talks, c)
		}
		for range 1 + r.IntN(12) {
			c.prefixes = append(c.prefixes, r.Uint64()|1<<63)
		}
		prefixes := append([]uint64(nil), c.prefixes...)
		out = append(out, routeRequest{
			at: now, entry: c.entry, prompt: len(prefixes)*engine.PrefixBlockTokens + r.IntN(engine.PrefixBlockTokens),
			prefixes: prefixes, answer: 10 + int(r.ExpFloat64()*40),
			fingerprint: ident.NewFingerprint("route", binary.AppendUvarint(nil, uint64(len(out)))),
		})
	}
	return out
}

// routeEngine is one group of the model.
type routeEngine struct {
	id      ident.GroupID
	slow    float64
	running int
	queue   []func()
	order   *list.List // of prefix hashes, most recent first
	cached  map[uint64]*list.Element
	seq     uint64
	// past load, one value per poll
	reported int
}

// hit returns the number of cached prompt tokens.
func (e *routeEngine) hit(prefixes []uint64) int {
	n := 0
	for _, h := range prefixes {
		el, ok := e.cached[h]
		if !ok {
			break
		}
		e.order.MoveToFront(el)
		n++
	}
	return n * engine.PrefixBlockTokens
}

// routeModel runs one policy over the trace.
type routeModel struct {
	callClock
	engines  []*routeEngine
	tables   []*routing.Table
	policies []routing.Policy
	first    []time.Duration
	// hits and tokens count prompt tokens.
	hits, tokens int
}

// newPolicy returns the policy of one entry instance.
type newPolicy func(r *rand.Rand) routing.Policy

// runRouting replays a trace. One group in twenty is slow.
func runRouting(trace []routeRequest, groups int, policy newPolicy) *routeModel {
	m := &routeModel{}
	for i := range groups {
		e := &routeEngine{id: ident.GroupID(fmt.Sprint("g", i)), slow: 1, order: list.New(), cached: make(map[uint64]*list.Element)}
		if i%20 == 7 {
			e.slow = stragglerFactor
		}
		m.engines = append(m.engines, e)
	}
	for i := range routeEntries {
		m.tables = append(m.tables, routing.NewTable(routing.Location{Region: "r", DataCentre: routeCentre(i)}, routeHints))
		m.policies = append(m.policies, policy(rand.New(rand.NewPCG(uint64(i), 3))))
	}
	m.poll()
	for i := range trace {
		r := trace[i]
		m.after(r.at, func() { m.dispatch(&r) })
	}
	end := trace[len(trace)-1].at + time.Minute
	m.run(end)
	return m
}

func routeCentre(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprint("dc-", i%3)) }

// poll gives every entry instance the lagging load of all groups.
func (m *routeModel) poll() {
	rows := make([]routing.Group, len(m.engines))
	for i, e := range m.engines {
		rows[i] = routing.Group{
			ID: e.id, Epoch: 1, DataCentre: routeCentre(i), Region: "r", Limit: routeLimit,
			Running: min(e.reported, routeLimit), Queued: max(0, e.reported-routeLimit), ReportedAt: m.now,
		}
	}
	for _, t := range m.tables {
		t.Update(m.now, rows)
	}
	m.after(routePoll-routeLag, func() {
		for _, e := range m.engines {
			e.reported = e.running + len(e.queue)
		}
	})
	m.after(routePoll, m.poll)
}

func (m *routeModel) dispatch(r *routeRequest) {
	t := m.tables[r.entry]
	short := r.prefixes[:min(len(r.prefixes), 128)]
	req := &routing.Request{PromptTokens: r.prompt, Prefixes: short, Fingerprint: r.fingerprint}
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
	hit := e.hit(r.prefixes)
	m.hits += hit
	m.tokens += r.prompt
	busy := 1 + float64(e.running)/routeLimit
	prefill := routeBase + time.Duration(float64(r.prompt-hit)*float64(routePrefill)*busy*e.slow)
	m.after(prefill, func() {
		m.first = append(m.first, m.now-r.at)
		first := m.now - sent
		m.cache(e, r.prefixes)
		m.after(time.Duration(float64(r.answer)*float64(routeToken)*e.slow), func() {
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

// cache stores prefixes and publishes the events late and with gaps.
func (m *routeModel) cache(e *routeEngine, prefixes []uint64) {
	for i, h := range prefixes {
		if _, ok := e.cached[h]; !ok {
			e.cached[h] = e.order.PushFront(h)
			m.event(e, h, (i+1)*engine.PrefixBlockTokens, false)
		}
	}
	for e.order.Len()*engine.PrefixBlockTokens > routeCache {
		h, _ := e.order.Remove(e.order.Back()).(uint64)
		delete(e.cached, h)
		m.event(e, h, 0, true)
	}
}

func (m *routeModel) event(e *routeEngine, prefix uint64, tokens int, evicted bool) {
	e.seq++
	seq := e.seq
	if seq%routeEventGap == 0 {
		return
	}
	m.after(routeEventLag, func() {
		for _, t := range m.tables {
			t.ApplyCacheEvent(m.now, e.id, seq, prefix, tokens, evicted)
		}
	})
}
