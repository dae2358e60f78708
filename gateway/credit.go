package gateway

import (
	"time"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/view"
)

// GroupBackend is the credit name of a group.
func GroupBackend(id ident.GroupID) credit.BackendID { return credit.BackendID(id) }

// ServerBackend is the credit name of a backend server of a plain service.
func ServerBackend(id ident.InstanceID) credit.BackendID { return credit.BackendID(id) }

// NextSync returns the next message about a service to its credit owner.
func (b *Balancer) NextSync(now time.Duration, name ident.ServiceName) credit.Sync {
	l := b.lane(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refresh(now)
	l.demand()
	out := l.holder.NextSync(now)
	out.Accounts = b.accounts.use(now, name)
	return out
}

// ApplyReply applies the credit owner's answer and starts what waited for it. It
// reports whether the next sync should be sent at once.
func (b *Balancer) ApplyReply(now time.Duration, name ident.ServiceName, r credit.Reply) bool {
	b.accounts.setOthers(name, r)
	l := b.lane(name)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.holder.ApplyReply(now, r)
	l.granted = now
	l.setSlots(now)
	l.dispatch(now)
	return r.Resync
}

// SyncRequests is signalled when a service needs a sync at once.
func (b *Balancer) SyncRequests() <-chan ident.ServiceName { return b.wake }

// wakeSync asks for a sync. When one is already due, the request is merged.
func (l *lane) wakeSync() {
	select {
	case l.b.wake <- l.name:
	default:
	}
}

// observe applies this entry instance's own polls.
func (l *lane) observe(groups []*view.Group) {
	for _, g := range groups {
		if l.holder.Observe(g.Confirmed, GroupBackend(g.ID), g.Incarnation, g.Cold) {
			l.wakeSync()
		}
	}
}

// demand tells the holder what waits. The waiting requests are spread evenly
// over the targets, because each could go anywhere; the largest one must fit
// wherever it may go.
func (l *lane) demand() {
	n := len(l.targets)
	if n == 0 {
		return
	}
	part := credit.Amount{Requests: (l.queue.Len() + n - 1) / n}
	if part.Requests > 0 {
		part.Tokens = max(l.largestTokens, (l.waitingTokens+n-1)/n)
	}
	apart := l.demandBeside()
	for i := range l.targets {
		b := l.targets[i].backend
		all := credit.Amount{Requests: part.Requests + apart[b].Requests, Tokens: part.Tokens + apart[b].Tokens}
		l.holder.SetWaiting(b, all, l.isolating[b] > 0)
	}
}
