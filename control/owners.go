package control

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/view"
)

// leaseView returns what is published about the lease of a service.
func (l *Loop) leaseView(name ident.ServiceName, now time.Duration) view.Lease {
	c, ok := l.groups.services[name]
	if !ok {
		return view.Lease{}
	}
	if g, held := c.lease.Held(now); held {
		return view.Lease{Holder: l.opts.Self.Instance, Epoch: g.Epoch, ActsUntil: g.Expires}
	}
	holder, _ := c.lease.Holder()
	return view.Lease{Holder: holder.Instance}
}

// ownerOf returns the holder of a service's lease, which owns its credits.
func (l *Loop) ownerOf(s *view.Snapshot, name ident.ServiceName) (Owner, bool) {
	svc := s.Service(name)
	if svc == nil || svc.Lease.Holder == "" {
		return Owner{}, false
	}
	for _, e := range s.Entries {
		if e.Instance == svc.Lease.Holder {
			return Owner{
				Instance:    e.Instance,
				PeerAddress: e.PeerAddress,
				Epoch:       svc.Lease.Epoch,
				Acting:      e.Instance == l.opts.Self.Instance && l.opts.Now() < svc.Lease.ActsUntil,
			}, true
		}
	}
	return Owner{}, false
}
