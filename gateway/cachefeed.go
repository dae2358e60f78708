package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

// Parameters of the cache feed.
const (
	// cacheInterval separates two reads of a leader's cache events. Own
	// dispatches are in the index already, so the events tell of evictions and
	// of other entry instances' prompts.
	cacheInterval = time.Second
	// cacheReaders bounds concurrent reads.
	cacheReaders = 8
)

// CacheFeed reads the cache events of the group leaders into the prefix index of
// a balancer.
type CacheFeed struct {
	balancer *Balancer
	engines  *engine.Control
	events   tally.Counter
	failed   tally.Counter

	// after is the last sequence number by leader incarnation. It belongs to
	// the goroutine of Run.
	after map[ident.Incarnation]uint64
}

// NewCacheFeed returns a feed. Run drives it.
func NewCacheFeed(b *Balancer, engines *engine.Control, m *telemetry.Metrics) *CacheFeed {
	return &CacheFeed{
		balancer: b, engines: engines, after: make(map[ident.Incarnation]uint64),
		events: m.Scope.Counter("cache_events_total"), failed: m.Scope.Counter("cache_event_errors_total"),
	}
}

// Run reads until the context ends.
func (f *CacheFeed) Run(ctx context.Context) {
	tick := time.NewTicker(cacheInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f.round(ctx)
		}
	}
}

// cacheRead is one leader's new events.
type cacheRead struct {
	service ident.ServiceName
	group   *view.Group
	events  []engine.CacheEvent
}

// round reads all leaders once and forgets the ones that left.
func (f *CacheFeed) round(ctx context.Context) {
	var reads []*cacheRead
	for _, svc := range f.balancer.snapshot().Services {
		for _, g := range svc.Groups {
			reads = append(reads, &cacheRead{service: svc.Document.Service, group: g})
		}
	}
	slots := make(chan struct{}, cacheReaders)
	var wg sync.WaitGroup
	for _, r := range reads {
		slots <- struct{}{}
		wg.Add(1)
		after := f.after[r.group.Leader.Incarnation]
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			var err error
			if r.events, err = f.engines.CacheEvents(ctx, r.group.Leader.Address, after); err != nil {
				f.failed.Inc(1)
			}
		}()
	}
	wg.Wait()
	next := make(map[ident.Incarnation]uint64, len(reads))
	for _, r := range reads {
		inc := r.group.Leader.Incarnation
		next[inc] = f.after[inc]
		if n := len(r.events); n > 0 {
			next[inc] = max(next[inc], r.events[n-1].Sequence)
			f.events.Inc(int64(n))
			f.balancer.lane(r.service).cacheEvents(r.group, r.events)
		}
	}
	f.after = next
}

// cacheEvents applies events to the prefix index.
func (l *lane) cacheEvents(g *view.Group, events []engine.CacheEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.b.now()
	for _, e := range events {
		if e.Group == g.ID {
			l.table.Event(now, e.Group, e.Sequence, e.Prefix, e.Tokens, e.Evicted)
		}
	}
}
