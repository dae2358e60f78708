package control

import (
	"context"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// instancesListed carries the result of a read of the platform's instance list.
type instancesListed struct {
	list infra.Listing
	err  error
}

func (e instancesListed) apply(l *Loop, now time.Duration) {
	l.listInFlight = false
	if e.err != nil {
		l.counters.listErrors.Inc(1)
		return
	}
	if e.list.Unchanged {
		// Planners and membership also use reads of an unchanged list: they count
		// the reads in which an instance is missing.
		l.counters.listsUnchanged.Inc(1)
		l.stepPlanners(now, group.InstancesUnchanged{})
		l.stepMembership(now, l.membershipNodes)
		return
	}
	l.instances, l.listVersion = e.list.Instances, e.list.Version
	l.replaceInstancesByID()
	l.rebuildIndex()
	l.updateConfigPeers(now)
	l.stepPlanners(now, group.InstancesListed{Instances: l.instances})
	l.updateMembershipNodes(now)
	l.traceInstances()
}

// replaceInstancesByID rebuilds instancesByID from a new list and deletes the
// statuses of instances that are no longer in it.
func (l *Loop) replaceInstancesByID() {
	l.instancesByID = make(map[ident.InstanceID]infra.Instance, len(l.instances))
	for _, inst := range l.instances {
		l.instancesByID[inst.ID] = inst
	}
	for id := range l.statuses {
		if _, ok := l.instancesByID[id]; !ok {
			delete(l.statuses, id)
		}
	}
}

// listInstances starts a read of the platform's instance list every
// instancesInterval.
func (l *Loop) listInstances(ctx context.Context, now time.Duration) {
	if l.listInFlight || now < l.nextListAt {
		return
	}
	l.listInFlight = true
	l.nextListAt = now + instancesInterval
	knownVersion := l.listVersion
	l.spawn(ctx, func() event {
		return l.readInstances(ctx, knownVersion)
	})
}

// memberPolled carries the result of one status poll.
type memberPolled struct {
	instance ident.InstanceID
	sentAt   time.Duration
	status   engine.Status
	err      error
}

func (e memberPolled) apply(l *Loop, now time.Duration) {
	delete(l.pollInFlight, e.instance)
	l.reportToPlanners(now, e)
	l.tracePoll(now, e)
	if e.err != nil {
		l.counters.pollErrors.Inc(1)
		// The last report is kept. It confirms the member until ConfirmTTL is over.
		return
	}
	if _, ok := l.instancesByID[e.instance]; !ok {
		return // The instance was removed from the list during the poll.
	}
	l.newestPollSentAt = max(l.newestPollSentAt, e.sentAt)
	l.statuses[e.instance] = &memberStatus{status: e.status, sentAt: e.sentAt, received: true}
}

// pollMembers starts a poll of each engine member in scope that has no poll in
// flight.
func (l *Loop) pollMembers(ctx context.Context, now time.Duration) {
	scope := l.pollScope(now)
	if !scope.holdsAnyLease && !scope.anyOwnerSilent {
		return
	}
	for _, inst := range l.instances {
		if inst.Kind != infra.KindEngine || l.pollInFlight[inst.ID] || !scope.due(l, inst, now) {
			continue
		}
		l.pollInFlight[inst.ID] = true
		l.pollMember(ctx, inst.ID, inst.Address)
	}
}

func (l *Loop) pollMember(ctx context.Context, id ident.InstanceID, addr string) {
	l.spawn(ctx, func() event {
		l.pollSlots <- struct{}{}
		defer func() { <-l.pollSlots }()
		sentAt := l.opts.Now()
		status, err := l.opts.Engines.Status(ctx, addr)
		return memberPolled{instance: id, sentAt: sentAt, status: status, err: err}
	})
}
