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
