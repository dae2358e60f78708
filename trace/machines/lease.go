package machines

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/trace"
)

// clockDriftPercent is the drift of the nodes' clocks from the trace's time. Nodes
// with an even index run faster, the others slower.
const clockDriftPercent = 2

// Lease replays the contenders for the lease of one service, one per entry
// instance of the trace. Their clocks differ in origin and rate.
type Lease struct {
	store    *store
	schedule schedule
	nodes    []*leaseNode
}

// leaseNode is one contender.
type leaseNode struct {
	id          ident.InstanceID
	index       int
	bootCount   int
	machine     *lease.Machine
	stopped     bool
	paused      bool
	partitioned bool
	// silent is set while open connections return no data.
	silent bool
	// inbox holds events that arrive while the node is paused.
	inbox []lease.Event
}

// Name implements trace.Machine.
func (l *Lease) Name() string { return "lease" }

// Start implements trace.Machine.
func (l *Lease) Start(trace.Header) error {
	*l = Lease{store: newStore()}
	return nil
}

// Step implements trace.Machine.
func (l *Lease) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := l.schedule.runDue(now)
	switch e.Kind {
	case trace.KindStore:
		l.store.state = e.Store.State
	case trace.KindInstance:
		if e.Instance.Kind == infra.KindEntry {
			n := &leaseNode{id: e.Instance.ID, index: len(l.nodes)}
			l.nodes = append(l.nodes, n)
			l.boot(n)
			out = append(out, l.updateRanks(now)...)
		}
	case trace.KindMemberLost, trace.KindMemberReturned:
		out = append(out, l.applyMember(now, e)...)
	case trace.KindTick:
		for _, n := range l.nodes {
			out = append(out, l.deliver(now, n, lease.Tick{})...)
		}
	}
	return append(out, l.checkHolders(now)...), nil
}

// boot starts a new incarnation of a contender.
func (l *Lease) boot(n *leaseNode) {
	n.bootCount++
	n.stopped, n.paused, n.partitioned, n.silent, n.inbox = false, false, false, false, nil
	self := lease.Identity{Instance: n.id, Incarnation: ident.Incarnation(string(n.id) + "-" + string(rune('0'+n.bootCount)))}
	n.machine = lease.New(lease.DefaultConfig(), self, serviceName)
}

// updateRanks passes each running contender its rank among the running ones.
func (l *Lease) updateRanks(now time.Duration) []trace.Decision {
	var live []ident.InstanceID
	for _, n := range l.nodes {
		if !n.stopped {
			live = append(live, n.id)
		}
	}
	var out []trace.Decision
	for _, n := range l.nodes {
		if !n.stopped {
			out = append(out, l.deliver(now, n, lease.RankChanged{Rank: lease.Rank(serviceName, n.id, live)})...)
		}
	}
	return out
}

// applyMember applies the loss or return of an entry instance.
func (l *Lease) applyMember(now time.Duration, e *trace.Event) []trace.Decision {
	for _, n := range l.nodes {
		if n.id != e.Member.Instance {
			continue
		}
		if e.Kind == trace.KindMemberLost {
			return l.applyLoss(now, n, e.Member.Reason)
		}
		if n.stopped {
			l.boot(n)
			return l.updateRanks(now)
		}
		n.paused, n.partitioned, n.silent = false, false, false
		var out []trace.Decision
		inbox := n.inbox
		n.inbox = nil
		for _, ev := range inbox {
			out = append(out, l.deliver(now, n, ev)...)
		}
		return out
	}
	return nil
}

func (l *Lease) applyLoss(now time.Duration, n *leaseNode, reason string) []trace.Decision {
	switch reason {
	case "paused":
		n.paused = true
	case "partitioned":
		n.partitioned = true
	case "silent":
		n.silent = true
	case "left":
		out := l.deliver(now, n, lease.Leave{})
		l.schedule.after(now, time.Second, func(time.Duration) []trace.Decision { n.stopped = true; return nil })
		return out
	default:
		n.stopped = true
	}
	return nil
}

// localTime returns the time on the node's clock.
func (n *leaseNode) localTime(now time.Duration) time.Duration {
	drift := now / 100 * clockDriftPercent
	if n.index%2 == 1 {
		drift = -drift
	}
	return now + drift + time.Duration(n.index)*time.Hour
}

// deliver passes an event to a contender and executes its actions. A paused one gets
// the event when it resumes, unless it is a tick.
func (l *Lease) deliver(now time.Duration, n *leaseNode, ev lease.Event) []trace.Decision {
	if n.stopped {
		return nil
	}
	if n.paused {
		if _, tick := ev.(lease.Tick); !tick {
			n.inbox = append(n.inbox, ev)
		}
		return nil
	}
	var out []trace.Decision
	boot := n.bootCount
	answer := func(d time.Duration, ev lease.Event) {
		l.schedule.after(now, d, func(now time.Duration) []trace.Decision {
			if n.bootCount != boot {
				return nil
			}
			return l.deliver(now, n, ev)
		})
	}
	for _, a := range n.machine.Step(n.localTime(now), ev) {
		switch a := a.(type) {
		case lease.ReadRows:
			if n.silent {
				answer(callTimeout, lease.ReadFailed{})
				break
			}
			if n.partitioned || l.store.state == trace.StoreDown {
				answer(storeDelay, lease.ReadFailed{})
				break
			}
			answer(l.store.callDelay(), lease.RowsRead{Lease: l.store.get(lease.Key(serviceName)), Epoch: l.store.get(lease.EpochKey(serviceName))})
		case lease.WriteRows:
			if n.partitioned {
				answer(time.Second, lease.Written{Attempt: a.Attempt, Outcome: infra.OutcomeUnknown})
				break
			}
			outcome, version, _ := l.store.txn(a.Txn)
			if n.silent {
				answer(callTimeout, lease.Written{Attempt: a.Attempt, Outcome: infra.OutcomeUnknown})
				break
			}
			answer(l.store.callDelay(), lease.Written{Attempt: a.Attempt, Outcome: outcome, Version: version})
		case lease.Acquired:
			out = append(out, decide("acquired", string(n.id), "epoch %d", a.Grant.Epoch))
		case lease.Lost:
			out = append(out, decide("lost", string(n.id), "epoch %d", a.Epoch))
		}
	}
	return out
}

// checkHolders reports a violation when two contenders hold the lease at the same
// time. A paused contender counts: when it resumes, it has only its clock to decide
// whether it still holds the lease.
func (l *Lease) checkHolders(now time.Duration) []trace.Decision {
	var holders []ident.InstanceID
	for _, n := range l.nodes {
		if n.stopped {
			continue
		}
		if _, held := n.machine.Held(n.localTime(now)); held {
			holders = append(holders, n.id)
		}
	}
	if len(holders) < 2 {
		return nil
	}
	return []trace.Decision{decide(ActionViolation, serviceName, "lease held by %v", holders)}
}
