package gateway

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/routing"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

// Parameters of the cache feed.
const (
	// cacheInterval separates two reads of a leader's cache events. Own
	// dispatches are in the index already, so the events tell of evictions and
	// of other entry instances' prompts.
	cacheInterval = time.Second
	// cacheTick is how often the feed looks whether the credit owner still passes
	// events on. It equals the interval at which control decides to poll members.
	cacheTick = 250 * time.Millisecond
	// cacheReaders bounds concurrent reads.
	cacheReaders = 8
)

// CacheFeed brings the cache events of the group leaders into the prefix index
// of a balancer: as the credit owner of a service passes them on, or by own
// reads while it does not. It implements control.CacheRelay.
type CacheFeed struct {
	balancer *Balancer
	read     CacheReader
	events   tally.Counter
	relayed  tally.Counter
	reads    tally.Counter
	failed   tally.Counter

	mu     sync.Mutex
	relays map[ident.ServiceName]*serviceFeed
}

// CacheReader reads the cache events of a leader after a sequence number.
type CacheReader func(ctx context.Context, addr string, after uint64) ([]engine.CacheEvent, error)

// serviceFeed is the feed of one service.
type serviceFeed struct {
	*routing.EventRelay
	// after is the last sequence number by leader incarnation.
	after    map[ident.Incarnation]uint64
	nextRead time.Duration
}

// NewCacheFeed returns a feed. Run drives it.
func NewCacheFeed(b *Balancer, read CacheReader, m *telemetry.Metrics) *CacheFeed {
	return &CacheFeed{
		balancer: b, read: read, relays: make(map[ident.ServiceName]*serviceFeed),
		events: m.Scope.Counter("cache_events_total"), relayed: m.Scope.Counter("cache_events_relayed_total"),
		reads: m.Scope.Counter("cache_event_reads_total"), failed: m.Scope.Counter("cache_event_errors_total"),
	}
}

// Run reads until the context ends.
func (f *CacheFeed) Run(ctx context.Context) {
	tick := time.NewTicker(cacheTick)
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

// of returns the feed of a service. The caller holds f.mu.
func (f *CacheFeed) of(name ident.ServiceName) *serviceFeed {
	s, ok := f.relays[name]
	if !ok {
		s = &serviceFeed{EventRelay: routing.NewEventRelay(), after: make(map[ident.Incarnation]uint64)}
		f.relays[name] = s
	}
	return s
}

// NextEventRequest returns what the next regular sync of a service asks its owner.
func (f *CacheFeed) NextEventRequest(name ident.ServiceName) routing.EventRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.of(name).NextEventRequest()
}

// EventResponse is the answer of this entry instance as the owner of a service.
func (f *CacheFeed) EventResponse(name ident.ServiceName, epoch ident.Epoch, ask routing.EventRequest) routing.EventResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.of(name).EventResponse(f.balancer.now(), epoch, ask)
}

// ApplyEventResponse applies the owner's answer to an ask that was sent at an instant.
func (f *CacheFeed) ApplyEventResponse(name ident.ServiceName, sent time.Duration, ask routing.EventRequest, a routing.EventResponse) {
	f.mu.Lock()
	s := f.of(name)
	batches := s.ApplyEventResponse(f.balancer.now(), sent, ask, a)
	for _, b := range batches {
		s.after[b.Source.Leader] = max(s.after[b.Source.Leader], b.Events[len(b.Events)-1].Sequence)
	}
	f.mu.Unlock()
	f.balancer.lane(name).relayedEvents(batches, f.relayed)
}

// forget drops the sequence numbers of leaders that left, once they are as many
// as those that are here.
func (s *serviceFeed) forget(groups []*view.Group) {
	if len(s.after) <= 2*len(groups) {
		return
	}
	kept := make(map[ident.Incarnation]uint64, len(groups))
	for _, g := range groups {
		if n, ok := s.after[g.Leader.Incarnation]; ok {
			kept[g.Leader.Incarnation] = n
		}
	}
	s.after = kept
}

// cacheRead is one leader's new events.
type cacheRead struct {
	group  *view.Group
	after  uint64
	events []engine.CacheEvent
}

// round reads the leaders of each service whose events are not passed on.
func (f *CacheFeed) round(ctx context.Context) {
	for _, svc := range f.balancer.snapshot().Services {
		if reads, began, due := f.due(svc); due {
			f.readAll(ctx, reads)
			f.apply(svc.Document.Service, began, reads)
		}
	}
}

// due returns the reads of a service, if it is time for them.
func (f *CacheFeed) due(svc *view.Service) ([]*cacheRead, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, now := f.of(svc.Document.Service), f.balancer.now()
	s.forget(svc.Groups)
	if now < s.nextRead || s.ReplacesOwnReads(now) || svc.Document.Kind != service.KindModel {
		return nil, 0, false
	}
	s.nextRead = now + cacheInterval - cacheTick/2
	reads := make([]*cacheRead, 0, len(svc.Groups))
	for _, g := range svc.Groups {
		reads = append(reads, &cacheRead{group: g, after: s.after[g.Leader.Incarnation]})
	}
	return reads, now, true
}

func (f *CacheFeed) readAll(ctx context.Context, reads []*cacheRead) {
	slots := make(chan struct{}, cacheReaders)
	var wg sync.WaitGroup
	for _, r := range reads {
		slots <- struct{}{}
		wg.Add(1)
		go func() {
			defer wg.Done()
			defer func() { <-slots }()
			var err error
			f.reads.Inc(1)
			if r.events, err = f.read(ctx, r.group.Leader.Address, r.after); err != nil {
				f.failed.Inc(1)
			}
		}()
	}
	wg.Wait()
}

// apply takes the events of a round over and forgets the leaders that left.
func (f *CacheFeed) apply(name ident.ServiceName, began time.Duration, reads []*cacheRead) {
	f.mu.Lock()
	s := f.of(name)
	next := make(map[ident.Incarnation]uint64, len(reads))
	groups := make(map[ident.GroupID]bool, len(reads))
	for _, r := range reads {
		g := r.group
		inc := g.Leader.Incarnation
		groups[g.ID] = true
		next[inc] = s.after[inc]
		if n := len(r.events); n > 0 {
			next[inc] = max(next[inc], r.events[n-1].Sequence)
			s.AppendEvents(routing.EventSource{Group: g.ID, Epoch: g.Epoch, Leader: inc}, r.events)
		}
	}
	s.after = next
	s.RecordRead(began, groups)
	f.mu.Unlock()
	for _, r := range reads {
		if len(r.events) > 0 {
			f.events.Inc(int64(len(r.events)))
			f.balancer.lane(name).cacheEvents(r.group, r.events)
		}
	}
}

// relayedEvents applies events that the credit owner passed on. What belongs to
// an earlier epoch or run of a group than the one in force here is left out.
func (l *lane) relayedEvents(batches []routing.EventBatch, applied tally.Counter) {
	if len(batches) == 0 {
		return
	}
	svc := l.b.snapshot().Service(l.name)
	if svc == nil {
		return
	}
	current := make(map[routing.EventSource]bool, len(svc.Groups))
	for _, g := range svc.Groups {
		current[routing.EventSource{Group: g.ID, Epoch: g.Epoch, Leader: g.Leader.Incarnation}] = true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.b.now()
	for _, b := range batches {
		if !current[b.Source] {
			continue
		}
		applied.Inc(int64(len(b.Events)))
		for _, e := range b.Events {
			l.traceCache(now, "", engine.CacheEvent{
				Sequence: e.Sequence, Group: b.Source.Group, Prefix: e.Prefix, Tokens: e.Tokens, Evicted: e.Evicted,
			})
			l.table.ApplyCacheEvent(now, b.Source.Group, e.Sequence, e.Prefix, e.Tokens, e.Evicted)
		}
	}
}

// cacheEvents applies events to the prefix index.
func (l *lane) cacheEvents(g *view.Group, events []engine.CacheEvent) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.b.now()
	for _, e := range events {
		if e.Group == g.ID {
			l.traceCache(now, g.Leader.Instance, e)
			l.table.ApplyCacheEvent(now, e.Group, e.Sequence, e.Prefix, e.Tokens, e.Evicted)
		}
	}
}
