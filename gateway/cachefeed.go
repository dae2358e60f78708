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
	// cacheReadInterval is the interval between reads of a leader's cache events.
	// Requests dispatched by this entry instance are already in the prefix index;
	// the events add evictions and the prompts of other entry instances.
	cacheReadInterval = time.Second
	// cacheTick is how often the feed checks whether the credit owner still relays
	// events. It equals the interval at which package control decides whether to
	// poll members.
	cacheTick = 250 * time.Millisecond
	// maxCacheReaders limits the concurrent reads.
	maxCacheReaders = 8
)

// CacheFeed applies the cache events of group leaders to the prefix index of a
// balancer. It uses the events that the credit owner of a service relays, and
// reads them from the leaders while the owner does not. It implements
// control.CacheRelay.
type CacheFeed struct {
	balancer    *Balancer
	read        CacheReader
	events      tally.Counter
	relayed     tally.Counter
	reads       tally.Counter
	failedReads tally.Counter

	mu    sync.Mutex
	feeds map[ident.ServiceName]*serviceFeed
}

// CacheReader reads the cache events of a leader that follow a sequence number.
type CacheReader func(ctx context.Context, addr string, after uint64) ([]engine.CacheEvent, error)

// serviceFeed is the feed of one service.
type serviceFeed struct {
	*routing.EventRelay
	// lastSequence is the last known sequence number by leader incarnation.
	lastSequence map[ident.Incarnation]uint64
	nextRead     time.Duration
}

// NewCacheFeed returns a feed. Run must be called to read events.
func NewCacheFeed(b *Balancer, read CacheReader, m *telemetry.Metrics) *CacheFeed {
	return &CacheFeed{
		balancer: b, read: read, feeds: make(map[ident.ServiceName]*serviceFeed),
		events: m.Scope.Counter("cache_events_total"), relayed: m.Scope.Counter("cache_events_relayed_total"),
		reads: m.Scope.Counter("cache_event_reads_total"), failedReads: m.Scope.Counter("cache_event_errors_total"),
	}
}

// Run reads due events until the context ends.
func (f *CacheFeed) Run(ctx context.Context) {
	tick := time.NewTicker(cacheTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f.readDue(ctx)
		}
	}
}

// feedOf returns the feed of a service. f.mu must be locked.
func (f *CacheFeed) feedOf(name ident.ServiceName) *serviceFeed {
	s, ok := f.feeds[name]
	if !ok {
		s = &serviceFeed{EventRelay: routing.NewEventRelay(), lastSequence: make(map[ident.Incarnation]uint64)}
		f.feeds[name] = s
	}
	return s
}

// NextEventRequest returns the event request for the next regular sync of a service with its
// owner.
func (f *CacheFeed) NextEventRequest(name ident.ServiceName) routing.EventRequest {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.feedOf(name).NextEventRequest()
}

// EventResponse returns this entry instance's answer, as the owner of a service, to the
// event request of a follower.
func (f *CacheFeed) EventResponse(name ident.ServiceName, epoch ident.Epoch, ask routing.EventRequest) routing.EventResponse {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.feedOf(name).EventResponse(f.balancer.now(), epoch, ask)
}

// ApplyEventResponse applies the owner's answer to the event request ask. sent is the time at
// which the request was sent.
func (f *CacheFeed) ApplyEventResponse(name ident.ServiceName, sent time.Duration, ask routing.EventRequest, a routing.EventResponse) {
	f.mu.Lock()
	s := f.feedOf(name)
	batches := s.ApplyEventResponse(f.balancer.now(), sent, ask, a)
	for _, b := range batches {
		s.lastSequence[b.Source.Leader] = max(s.lastSequence[b.Source.Leader], b.Events[len(b.Events)-1].Sequence)
	}
	f.mu.Unlock()
	f.balancer.scheduler(name).applyRelayedEvents(batches, f.relayed)
}

// trimSequences drops the sequence numbers of leaders that no longer exist, if
// there are more than twice as many numbers as groups.
func (s *serviceFeed) trimSequences(groups []*view.Group) {
	if len(s.lastSequence) <= 2*len(groups) {
		return
	}
	kept := make(map[ident.Incarnation]uint64, len(groups))
	for _, g := range groups {
		if n, ok := s.lastSequence[g.Leader.Incarnation]; ok {
			kept[g.Leader.Incarnation] = n
		}
	}
	s.lastSequence = kept
}

// cacheRead is a read of one leader's new events.
type cacheRead struct {
	group  *view.Group
	after  uint64
	events []engine.CacheEvent
}

// readDue reads the leaders of all services whose events are not relayed.
func (f *CacheFeed) readDue(ctx context.Context) {
	for _, svc := range f.balancer.snapshot().Services {
		if reads, began, due := f.dueReads(svc); due {
			f.readAll(ctx, reads)
			f.apply(svc.Document.Service, began, reads)
		}
	}
}

// dueReads returns the reads of a service and their start time, if they are due.
func (f *CacheFeed) dueReads(svc *view.Service) ([]*cacheRead, time.Duration, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s, now := f.feedOf(svc.Document.Service), f.balancer.now()
	s.trimSequences(svc.Groups)
	if now < s.nextRead || s.ReplacesOwnReads(now) || svc.Document.Kind != service.KindModel {
		return nil, 0, false
	}
	s.nextRead = now + cacheReadInterval - cacheTick/2
	reads := make([]*cacheRead, 0, len(svc.Groups))
	for _, g := range svc.Groups {
		reads = append(reads, &cacheRead{group: g, after: s.lastSequence[g.Leader.Incarnation]})
	}
	return reads, now, true
}

func (f *CacheFeed) readAll(ctx context.Context, reads []*cacheRead) {
	slots := make(chan struct{}, maxCacheReaders)
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
				f.failedReads.Inc(1)
			}
		}()
	}
	wg.Wait()
}

// apply applies the events of completed reads and drops the sequence numbers of
// leaders that no longer exist.
func (f *CacheFeed) apply(name ident.ServiceName, began time.Duration, reads []*cacheRead) {
	f.mu.Lock()
	s := f.feedOf(name)
	next := make(map[ident.Incarnation]uint64, len(reads))
	groups := make(map[ident.GroupID]bool, len(reads))
	for _, r := range reads {
		g := r.group
		inc := g.Leader.Incarnation
		groups[g.ID] = true
		next[inc] = s.lastSequence[inc]
		if n := len(r.events); n > 0 {
			next[inc] = max(next[inc], r.events[n-1].Sequence)
			s.AppendEvents(routing.EventSource{Group: g.ID, Epoch: g.Epoch, Leader: inc}, r.events)
		}
	}
	s.lastSequence = next
	s.RecordRead(began, groups)
	f.mu.Unlock()
	for _, r := range reads {
		if len(r.events) > 0 {
			f.events.Inc(int64(len(r.events)))
			f.balancer.scheduler(name).applyCacheEvents(r.group, r.events)
		}
	}
}

// applyRelayedEvents applies events that the credit owner relayed. It ignores
// events of an epoch or leader incarnation that is not the group's current one.
func (s *scheduler) applyRelayedEvents(batches []routing.EventBatch, applied tally.Counter) {
	if len(batches) == 0 {
		return
	}
	svc := s.balancer.snapshot().Service(s.name)
	if svc == nil {
		return
	}
	current := make(map[routing.EventSource]bool, len(svc.Groups))
	for _, g := range svc.Groups {
		current[routing.EventSource{Group: g.ID, Epoch: g.Epoch, Leader: g.Leader.Incarnation}] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.balancer.now()
	for _, b := range batches {
		if !current[b.Source] {
			continue
		}
		applied.Inc(int64(len(b.Events)))
		for _, e := range b.Events {
			s.traceCache(now, "", engine.CacheEvent{
				Sequence: e.Sequence, Group: b.Source.Group, Prefix: e.Prefix, Tokens: e.Tokens, Evicted: e.Evicted,
			})
			s.table.ApplyCacheEvent(now, b.Source.Group, e.Sequence, e.Prefix, e.Tokens, e.Evicted)
		}
	}
}

// applyCacheEvents applies events to the prefix index.
func (s *scheduler) applyCacheEvents(g *view.Group, events []engine.CacheEvent) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.balancer.now()
	for _, e := range events {
		if e.Group == g.ID {
			s.traceCache(now, g.Leader.Instance, e)
			s.table.ApplyCacheEvent(now, e.Group, e.Sequence, e.Prefix, e.Tokens, e.Evicted)
		}
	}
}
