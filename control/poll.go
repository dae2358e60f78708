package control

import (
	"context"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// instancesListed carries the platform's instance list.
type instancesListed struct {
	list infra.Listing
	err  error
}

func (e instancesListed) apply(l *Loop, now time.Duration) {
	l.listing = false
	if e.err != nil {
		l.counters.listErrors.Inc(1)
		return
	}
	if e.list.Unchanged {
		// Planners and membership count reads that lack an instance.
		l.counters.listsUnchanged.Inc(1)
		l.groupInstances(now, group.InstancesUnchanged{})
		l.stepMembership(now, l.listedNodes)
		return
	}
	l.instances, l.listVersion = e.list.Instances, e.list.Version
	l.forgetGone()
	l.index()
	l.configInstances(now)
	l.groupInstances(now, group.InstancesListed{Instances: l.instances})
	l.membershipInstances(now)
	l.traceInstances()
}

// forgetGone indexes the list and drops the statuses of instances that left the list.
func (l *Loop) forgetGone() {
	l.byID = make(map[ident.InstanceID]infra.Instance, len(l.instances))
	for _, inst := range l.instances {
		l.byID[inst.ID] = inst
	}
	for id := range l.statuses {
		if _, ok := l.byID[id]; !ok {
			delete(l.statuses, id)
		}
	}
}

// listInstances reads the platform's instance list in intervals.
func (l *Loop) listInstances(ctx context.Context, now time.Duration) {
	if l.listing || now < l.nextInstances {
		return
	}
	l.listing = true
	l.nextInstances = now + instancesInterval
	known := l.listVersion
	l.spawn(ctx, func() event {
		return l.readInstances(ctx, known)
	})
}

// memberPolled carries the answer of one status poll.
type memberPolled struct {
	instance ident.InstanceID
	sent     time.Duration
	status   engine.Status
	err      error
}

func (e memberPolled) apply(l *Loop, now time.Duration) {
	delete(l.polling, e.instance)
	l.groupReport(now, e)
	l.tracePoll(now, e)
	if e.err != nil {
		l.counters.pollErrors.Inc(1)
		// The last report stays until it is too old to confirm anything.
		return
	}
	if _, ok := l.byID[e.instance]; !ok {
		return // The instance left the list while the poll was on its way.
	}
	l.lastReport = max(l.lastReport, e.sent)
	l.statuses[e.instance] = &memberStatus{status: e.status, sent: e.sent, ok: true}
}

// pollMembers polls the engine members in scope that have no poll on the way.
func (l *Loop) pollMembers(ctx context.Context, now time.Duration) {
	scope := l.pollScope(now)
	if !scope.held && !scope.stale {
		return
	}
	for _, inst := range l.instances {
		if inst.Kind != infra.KindEngine || l.polling[inst.ID] || !scope.due(l, inst, now) {
			continue
		}
		l.polling[inst.ID] = true
		l.pollMember(ctx, inst.ID, inst.Address)
	}
}

func (l *Loop) pollMember(ctx context.Context, id ident.InstanceID, addr string) {
	l.spawn(ctx, func() event {
		l.polls <- struct{}{}
		defer func() { <-l.polls }()
		sent := l.opts.Now()
		status, err := l.opts.Engines.Status(ctx, addr)
		return memberPolled{instance: id, sent: sent, status: status, err: err}
	})
}
