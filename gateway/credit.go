package gateway

import (
	"time"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/view"
)

// GroupBackend returns the credit exchange's ID of a group.
func GroupBackend(id ident.GroupID) credit.BackendID { return credit.BackendID(id) }

// ServerBackend returns the credit exchange's ID of a backend server of a plain
// service.
func ServerBackend(id ident.InstanceID) credit.BackendID { return credit.BackendID(id) }

// NextSync returns the next message about a service for its credit owner.
func (b *Balancer) NextSync(now time.Duration, name ident.ServiceName) credit.Sync {
	s := b.scheduler(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applySnapshot(now)
	s.updateDemand()
	out := s.holder.NextSync(now)
	out.Accounts = b.accounts.usage(now, name)
	return out
}

// ApplyReply applies the credit owner's answer and dispatches waiting requests. It
// reports whether the next sync should be sent immediately.
func (b *Balancer) ApplyReply(now time.Duration, name ident.ServiceName, r credit.Reply) bool {
	b.accounts.setOtherEntries(name, r)
	s := b.scheduler(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.holder.ApplyReply(now, r)
	s.creditReplyExpectedSince = now
	s.setSlots(now)
	s.dispatch(now)
	return r.Resync
}

// SyncRequests returns a channel with the names of services that need a sync immediately.
func (b *Balancer) SyncRequests() <-chan ident.ServiceName { return b.syncRequests }

// requestSync requests a sync. It does not block: if the channel is full, the
// request is dropped and the service waits for its next regular sync.
func (s *scheduler) requestSync() {
	select {
	case s.balancer.syncRequests <- s.name:
	default:
	}
}

// observePolls applies the status polls of this entry instance.
func (s *scheduler) observePolls(groups []*view.Group) {
	for _, g := range groups {
		if s.holder.Observe(g.Confirmed, GroupBackend(g.ID), g.Incarnation, g.Cold) {
			s.requestSync()
		}
	}
}

// updateDemand sets the waiting demand of each target at the holder. The waiting
// requests are spread evenly over the targets because each of them could run
// anywhere. The tokens of a target are at least those of the largest request,
// which must fit wherever it is sent.
func (s *scheduler) updateDemand() {
	n := len(s.targets)
	if n == 0 {
		return
	}
	share := credit.Amount{Requests: (s.queue.Len() + n - 1) / n}
	if share.Requests > 0 {
		share.Tokens = max(s.largestTokens, (s.waitingTokens+n-1)/n)
	}
	copyDemand := s.copyWaiterDemand()
	for i := range s.targets {
		b := s.targets[i].backend
		total := credit.Amount{Requests: share.Requests + copyDemand[b].Requests, Tokens: share.Tokens + copyDemand[b].Tokens}
		s.holder.SetWaiting(b, total, s.isolatedSuspects[b] > 0)
	}
}
