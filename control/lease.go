package control

import (
	"context"
	"time"

	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/lease/leaseio"
	"github.com/bulrushfall/bulrushfall/membership"
)

// storeTimeout limits one call to the store.
const storeTimeout = 2 * time.Second

// leaseEvent carries an event to the lease machine of a service.
type leaseEvent struct {
	service ident.ServiceName
	event   lease.Event
}

func (e leaseEvent) apply(l *Loop, now time.Duration) {
	if c, ok := l.groups.services[e.service]; ok {
		l.stepLease(now, c, e.event)
	}
}

// leave announces the shutdown to the other entry instances, releases all leases and
// stops contending for them.
type leave struct{}

func (leave) apply(l *Loop, now time.Duration) {
	l.groups.shuttingDown = true
	l.stepMembership(now, membership.Leave{})
	for _, c := range l.groups.services {
		l.stepLease(now, c, lease.Leave{})
	}
}

// Leave announces that this entry instance shuts down, and releases its leases so
// that other entry instances can acquire them.
func (l *Loop) Leave() { l.post(l.groups.ctx, leave{}) }

// stepLease passes one event to a lease machine and runs the actions that it requests.
func (l *Loop) stepLease(now time.Duration, c *serviceControl, ev lease.Event) {
	for _, a := range c.lease.Step(now, ev) {
		switch a := a.(type) {
		case lease.ReadRows:
			l.readLease(c)
		case lease.WriteRows:
			l.writeLease(c, a)
		case lease.Acquired:
			l.groups.counters.leasesAcquired.Inc(1)
			l.opts.Log.WithField("service", c.name).WithField("epoch", a.Grant.Epoch).Info("lease acquired")
			l.stepPlanner(now, c, group.LeaseChanged{Held: true, Grant: a.Grant})
		case lease.Renewed:
			l.stepPlanner(now, c, group.LeaseChanged{Held: true, Grant: a.Grant})
		case lease.Lost:
			l.groups.counters.leasesEnded.Inc(1)
			l.opts.Log.WithField("service", c.name).WithField("epoch", a.Epoch).Info("lease ended")
			l.stepPlanner(now, c, group.LeaseChanged{})
		}
	}
}

func (l *Loop) readLease(c *serviceControl) {
	l.spawn(l.groups.ctx, func() event {
		ctx, cancel := context.WithTimeout(l.groups.ctx, storeTimeout)
		defer cancel()
		return leaseEvent{c.name, leaseio.Read(ctx, l.opts.Table, c.name)}
	})
}

func (l *Loop) writeLease(c *serviceControl, w lease.WriteRows) {
	l.spawn(l.groups.ctx, func() event {
		ctx, cancel := context.WithTimeout(l.groups.ctx, storeTimeout)
		defer cancel()
		written := leaseio.Write(ctx, l.opts.Table, w)
		l.groups.counters.leaseWrites.Inc(1)
		return leaseEvent{c.name, written}
	})
}

// leaseHolder returns the last known holder of a service's lease, or "".
func (l *Loop) leaseHolder(name ident.ServiceName, now time.Duration) ident.InstanceID {
	c, ok := l.groups.services[name]
	if !ok {
		return ""
	}
	if _, held := c.lease.Held(now); held {
		return l.opts.Self.Instance
	}
	holder, _ := c.lease.Holder()
	return holder.Instance
}
