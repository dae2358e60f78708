package control

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
)

// CreditHolders gives access to the credits that the traffic goroutines of this entry
// instance use, one holder for each service. A sync reports the credits in use to the
// service's credit owner, which replies with new ones.
type CreditHolders interface {
	// NextSync returns the content of the next sync of a service.
	NextSync(now time.Duration, name ident.ServiceName) credit.Sync
	// ApplyReply applies a reply and reports whether the next sync should be sent
	// immediately.
	ApplyReply(now time.Duration, name ident.ServiceName, r credit.Reply) bool
	// SyncRequests returns the channel of services that need a sync immediately.
	SyncRequests() <-chan ident.ServiceName
}

// Syncer sends the syncs of one entry instance to the credit owners.
type Syncer struct {
	loop           *Loop
	holders        CreditHolders
	sentCounter    tally.Counter
	failedCounter  tally.Counter
	relayedCounter tally.Counter
	confirmations  *confirmationCache
	// followed holds, by service, the owner to which syncs are sent and the state of
	// the exchange with it.
	followed map[ident.ServiceName]*followedOwner

	// startedAt is when the syncer was created. The followers of this process choose
	// no owner for some time after it.
	startedAt time.Duration

	mu sync.Mutex
	// openExchanges counts the exchanges that wait for a reply, by service.
	openExchanges map[ident.ServiceName]int
	wg            sync.WaitGroup
}

// NewSyncer returns a syncer for the credits of an entry instance.
func NewSyncer(loop *Loop, holders CreditHolders) *Syncer {
	s := loop.opts.Scope
	return &Syncer{
		loop: loop, holders: holders, openExchanges: make(map[ident.ServiceName]int),
		sentCounter: s.Counter("group_syncs_total"), failedCounter: s.Counter("group_sync_errors_total"),
		relayedCounter: s.Counter("group_syncs_relayed_total"),
		confirmations:  newConfirmationCache(), followed: make(map[ident.ServiceName]*followedOwner), startedAt: loop.opts.Now(),
	}
}

// Run sends periodic syncs, and urgent ones that the holders request, until the
// context ends. Requests within urgentSyncDelay are merged into one sync per service.
func (s *Syncer) Run(ctx context.Context) {
	defer s.wg.Wait()
	tick := time.NewTicker(credit.SyncInterval)
	defer tick.Stop()
	urgentTimer := time.NewTimer(0)
	defer urgentTimer.Stop()
	urgent := make(map[ident.ServiceName]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			for _, svc := range s.loop.Snapshot().Services {
				s.startExchange(ctx, svc.Document.Service, true)
			}
		case name := <-s.holders.SyncRequests():
			if len(urgent) == 0 {
				urgentTimer.Reset(urgentSyncDelay)
			}
			urgent[name] = true
		case <-urgentTimer.C:
			for name := range urgent {
				s.startExchange(ctx, name, false)
			}
			clear(urgent)
		}
	}
}

// startExchange starts one exchange unless too many are open. Only the regular ones
// request cache events, which limits the bytes per second that events take.
func (s *Syncer) startExchange(ctx context.Context, name ident.ServiceName, regular bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openExchanges[name] >= maxOpenSyncs {
		return
	}
	s.openExchanges[name]++
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		syncNeeded := s.exchange(ctx, name, regular)
		s.mu.Lock()
		s.openExchanges[name]--
		s.mu.Unlock()
		if syncNeeded {
			s.startExchange(ctx, name, false)
		}
	}()
}
