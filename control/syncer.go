package control

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
)

// CreditHolders are the traffic side of the exchange.
type CreditHolders interface {
	NextSync(now time.Duration, name ident.ServiceName) credit.Sync
	// ApplyReply reports whether the next sync should be sent at once.
	ApplyReply(now time.Duration, name ident.ServiceName, r credit.Reply) bool
	// SyncRequests is signalled when a service needs a sync at once.
	SyncRequests() <-chan ident.ServiceName
}

// Syncer sends the syncs of one entry instance.
type Syncer struct {
	loop    *Loop
	holders CreditHolders
	sent    tally.Counter
	failed  tally.Counter
	relayed tally.Counter
	learner *learner
	// follow holds whom this entry instance follows, by service.
	follow map[ident.ServiceName]*following

	// started is when this process started to follow.
	started time.Duration

	mu   sync.Mutex
	open map[ident.ServiceName]int
	wg   sync.WaitGroup
}

// NewSyncer returns a syncer for the credits of an entry instance.
func NewSyncer(loop *Loop, holders CreditHolders) *Syncer {
	s := loop.opts.Scope
	return &Syncer{
		loop: loop, holders: holders, open: make(map[ident.ServiceName]int),
		sent: s.Counter("group_syncs_total"), failed: s.Counter("group_sync_errors_total"),
		relayed: s.Counter("group_syncs_relayed_total"),
		learner: newLearner(), follow: make(map[ident.ServiceName]*following), started: loop.opts.Now(),
	}
}

// Run sends syncs in intervals, and at once when asked, until the context ends.
// What is asked for within syncGap is merged.
func (s *Syncer) Run(ctx context.Context) {
	defer s.wg.Wait()
	tick := time.NewTicker(credit.SyncInterval)
	defer tick.Stop()
	gap := time.NewTimer(0)
	defer gap.Stop()
	urgent := make(map[ident.ServiceName]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			for _, svc := range s.loop.Snapshot().Services {
				s.start(ctx, svc.Document.Service, true)
			}
		case name := <-s.holders.SyncRequests():
			if len(urgent) == 0 {
				gap.Reset(syncGap)
			}
			urgent[name] = true
		case <-gap.C:
			for name := range urgent {
				s.start(ctx, name, false)
			}
			clear(urgent)
		}
	}
}

// start begins one exchange unless too many are open. Only the regular ones ask
// for cache events, which bounds the events' bytes a second.
func (s *Syncer) start(ctx context.Context, name ident.ServiceName, regular bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[name] >= maxOpenSyncs {
		return
	}
	s.open[name]++
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		again := s.exchange(ctx, name, regular)
		s.mu.Lock()
		s.open[name]--
		s.mu.Unlock()
		if again {
			s.start(ctx, name, false)
		}
	}()
}
