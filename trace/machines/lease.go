package machines

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/trace"
)

// clockDriftPercent is how much the clocks of the modelled nodes differ from
// the trace's time, in turn slower and faster.
const clockDriftPercent = 2

// Lease replays the contenders for the lease of one service, one per entry
// instance of the trace. Their clocks have other origins and rates.
type Lease struct {
	store    *store
	schedule schedule
	nodes    []*leaseNode
}

type leaseNode struct {
	id     ident.InstanceID
	index  int
	run    int
	m      *lease.Machine
	dead   bool
	paused bool
	cut    bool
	// silent is set while the open connections carry nothing back.
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
	out := l.schedule.due(now)
	switch e.Kind {
	case trace.KindStore:
		l.store.state = e.Store.State
	case trace.KindInstance:
		if e.Instance.Kind == infra.KindEntry {
			n := &leaseNode{id: e.Instance.ID, index: len(l.nodes)}
			l.nodes = append(l.nodes, n)
			l.boot(n)
			out = append(out, l.rank(now)...)
		}
	case trace.KindMemberLost, trace.KindMemberReturned:
		out = append(out, l.member(now, e)...)
	case trace.KindTick:
		for _, n := range l.nodes {
			out = append(out, l.feed(now, n, lease.Tick{})...)
		}
	}
	return append(out, l.overlap(now)...), nil
}

func (l *Lease) boot(n *leaseNode) {
	n.run++
	n.dead, n.paused, n.cut, n.silent, n.inbox = false, false, false, false, nil
	self := lease.Identity{Instance: n.id, Incarnation: ident.Incarnation(string(n.id) + "-" + string(rune('0'+n.run)))}
	n.m = lease.New(lease.DefaultConfig(), self, serviceName)
}

// rank tells each contender its place among the live ones.
func (l *Lease) rank(now time.Duration) []trace.Decision {
	var live []ident.InstanceID
	for _, n := range l.nodes {
		if !n.dead {
			live = append(live, n.id)
		}
	}
	var out []trace.Decision
	for _, n := range l.nodes {
		if !n.dead {
			out = append(out, l.feed(now, n, lease.RankChanged{Rank: lease.Rank(serviceName, n.id, live)})...)
		}
	}
	return out
}

// member applies the loss or return of an entry instance.
func (l *Lease) member(now time.Duration, e *trace.Event) []trace.Decision {
	for _, n := range l.nodes {
		if n.id != e.Member.Instance {
			continue
		}
		if e.Kind == trace.KindMemberLost {
			return l.lose(now, n, e.Member.Reason)
		}
		if n.dead {
			l.boot(n)
			return l.rank(now)
		}
		n.paused, n.cut, n.silent = false, false, false
		var out []trace.Decision
		inbox := n.inbox
		n.inbox = nil
		for _, ev := range inbox {
			out = append(out, l.feed(now, n, ev)...)
		}
		return out
	}
	return nil
}

func (l *Lease) lose(now time.Duration, n *leaseNode, reason string) []trace.Decision {
	switch reason {
	case "paused":
		n.paused = true
	case "partitioned":
		n.cut = true
	case "silent":
		n.silent = true
	case "left":
		out := l.feed(now, n, lease.Leave{})
		l.schedule.after(now, time.Second, func(time.Duration) []trace.Decision { n.dead = true; return nil })
		return out
	default:
		n.dead = true
	}
	return nil
}

// clock is the node's own time.
func (n *leaseNode) clock(now time.Duration) time.Duration {
	drift := now / 100 * clockDriftPercent
	if n.index%2 == 1 {
		drift = -drift
	}
	return now + drift + time.Duration(n.index)*time.Hour
}

// feed hands an event to a contender and carries out its actions.
func (l *Lease) feed(now time.Duration, n *leaseNode, ev lease.Event) []trace.Decision {
	if n.dead {
		return nil
	}
	if n.paused {
		if _, tick := ev.(lease.Tick); !tick {
			n.inbox = append(n.inbox, ev)
		}
		return nil
	}
	var out []trace.Decision
	run := n.run
	answer := func(d time.Duration, ev lease.Event) {
		l.schedule.after(now, d, func(now time.Duration) []trace.Decision {
			if n.run != run {
				return nil
			}
			return l.feed(now, n, ev)
		})
	}
	for _, a := range n.m.Step(n.clock(now), ev) {
		switch a := a.(type) {
		case lease.ReadRows:
			if n.silent {
				answer(callTimeout, lease.ReadFailed{})
				break
			}
			if n.cut || l.store.state == trace.StoreDown {
				answer(storeDelay, lease.ReadFailed{})
				break
			}
			answer(l.store.delay(), lease.RowsRead{Lease: l.store.get(lease.Key(serviceName)), Epoch: l.store.get(lease.EpochKey(serviceName))})
		case lease.WriteRows:
			if n.cut {
				answer(time.Second, lease.Written{Attempt: a.Attempt, Outcome: infra.OutcomeUnknown})
				break
			}
			outcome, version, _ := l.store.txn(a.Txn)
			if n.silent {
				answer(callTimeout, lease.Written{Attempt: a.Attempt, Outcome: infra.OutcomeUnknown})
				break
			}
			answer(l.store.delay(), lease.Written{Attempt: a.Attempt, Outcome: outcome, Version: version})
		case lease.Acquired:
			out = append(out, decide("acquired", string(n.id), "epoch %d", a.Grant.Epoch))
		case lease.Lost:
			out = append(out, decide("lost", string(n.id), "epoch %d", a.Epoch))
		}
	}
	return out
}

// overlap reports two contenders that may both act. A paused one counts: it
// decides by time alone when it wakes.
func (l *Lease) overlap(now time.Duration) []trace.Decision {
	var holders []ident.InstanceID
	for _, n := range l.nodes {
		if n.dead {
			continue
		}
		if _, held := n.m.Held(n.clock(now)); held {
			holders = append(holders, n.id)
		}
	}
	if len(holders) < 2 {
		return nil
	}
	return []trace.Decision{decide(ActionViolation, serviceName, "lease held by %v", holders)}
}
