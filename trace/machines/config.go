package machines

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/config/configshell"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/trace"
)

const (
	// peerDelay is the delivery time of a message between entry instances.
	peerDelay = 5 * time.Millisecond
	// editLimit is the time within which an accepted edit must be in force at all
	// reachable nodes.
	editLimit = 3 * time.Second
)

// Config replays the configuration machines of all entry instances. An edit or
// drain event is an edit that is requested at the event's node, with the expected
// revision of the event.
type Config struct {
	seed     uint64
	store    *store
	schedule schedule
	nodes    []*configNode
	attempts int
	accepted []acceptedEdit
}

// configNode models one entry instance.
type configNode struct {
	id                           ident.InstanceID
	machine                      *config.Machine
	store                        *configshell.Store
	bootCount                    int
	stopped, paused, partitioned bool
	// silent is set while open connections return no data.
	silent bool
	// reachableSince is the time at which the node last became reachable.
	reachableSince time.Duration
	activeRevision ident.Revision
	inbox          []config.Event
}

// acceptedEdit is an edit that must be in force at all reachable nodes after editLimit.
type acceptedEdit struct {
	revision   ident.Revision
	acceptedAt time.Duration
	checked    bool
}

// Name implements trace.Machine.
func (c *Config) Name() string { return "config" }

// Start implements trace.Machine.
func (c *Config) Start(h trace.Header) error {
	*c = Config{seed: h.Seed, store: newStore()}
	return nil
}

// Step implements trace.Machine.
func (c *Config) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := c.schedule.runDue(now)
	switch e.Kind {
	case trace.KindStore:
		c.store.state = e.Store.State
	case trace.KindInstance:
		if e.Instance.Kind == infra.KindEntry {
			n := &configNode{id: e.Instance.ID}
			c.nodes = append(c.nodes, n)
			c.boot(now, n)
			out = append(out, c.announcePeers(now)...)
		}
	case trace.KindMemberLost, trace.KindMemberReturned:
		out = append(out, c.applyMember(now, e)...)
	case trace.KindDrain:
		d := config.Drain{Kind: config.DrainKind(e.Drain.Kind), Name: e.Drain.Name, Out: !e.Drain.Restored, Team: "sales"}
		verb := config.VerbDrain
		if e.Drain.Restored {
			verb = config.VerbRestore
		}
		out = append(out, c.requestEdit(now, e.Node, verb, d.Key(), e.Drain.Revision, d)...)
	case trace.KindEdit:
		key := config.ServiceKey(e.Edit.Service)
		body := map[string]any{"service": e.Edit.Service, "owner": e.Edit.Team}
		out = append(out, c.requestEdit(now, e.Node, config.VerbApply, key, e.Edit.Expected, body)...)
	case trace.KindTick:
		for _, n := range c.nodes {
			out = append(out, c.deliver(now, n, config.Tick{})...)
		}
	}
	return append(out, c.checkOverdue(now)...), nil
}

// boot starts a new incarnation of a node, without a configuration.
func (c *Config) boot(now time.Duration, n *configNode) {
	n.bootCount++
	n.stopped, n.paused, n.partitioned, n.silent, n.inbox, n.activeRevision = false, false, false, false, nil, 0
	n.reachableSince = now
	rng := rand.New(rand.NewPCG(c.seed, uint64(n.bootCount)<<32|uint64(len(n.id))))
	n.machine = config.New(string(n.id), config.DefaultSettings(), rng)
	n.store = configshell.NewStore(&nodeTable{replay: c, node: n})
	n.store.MaxConcurrentReads = 1 // the replay has one goroutine
}

// announcePeers passes every node the list of its peers.
func (c *Config) announcePeers(now time.Duration) []trace.Decision {
	var out []trace.Decision
	for _, n := range c.nodes {
		var peers []string
		for _, o := range c.nodes {
			if o != n {
				peers = append(peers, string(o.id))
			}
		}
		out = append(out, c.deliver(now, n, config.PeersChanged{Peers: peers})...)
	}
	return out
}

func (c *Config) find(id string) *configNode {
	for _, n := range c.nodes {
		if string(n.id) == id {
			return n
		}
	}
	return nil
}

// applyMember applies the loss or return of a node.
func (c *Config) applyMember(now time.Duration, e *trace.Event) []trace.Decision {
	n := c.find(string(e.Member.Instance))
	if n == nil {
		return nil
	}
	if e.Kind == trace.KindMemberLost {
		n.paused, n.partitioned = e.Member.Reason == "paused", e.Member.Reason == "partitioned"
		n.silent = e.Member.Reason == "silent"
		n.stopped = !n.paused && !n.partitioned && !n.silent
		return nil
	}
	if n.silent {
		// reachableSince stays: silent connections do not extend the time limit
		// of an edit.
		n.silent = false
		return nil
	}
	if n.stopped {
		c.boot(now, n)
		return c.announcePeers(now)
	}
	inbox := n.inbox
	n.paused, n.partitioned, n.inbox, n.reachableSince = false, false, nil, now
	var out []trace.Decision
	for _, ev := range inbox {
		out = append(out, c.deliver(now, n, ev)...)
	}
	return out
}

// requestEdit requests an edit at a node.
func (c *Config) requestEdit(now time.Duration, node ident.InstanceID, verb config.Verb, key config.Key, expected ident.Revision, body any) []trace.Decision {
	n := c.find(string(node))
	if n == nil {
		return []trace.Decision{decide("unreachable", string(node), "%s", key)}
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	c.attempts++
	return c.deliver(now, n, config.EditRequested{Edit: config.Edit{
		Attempt: ident.AttemptID(fmt.Sprintf("edit-%d", c.attempts)), Team: "sales", Owner: "sales",
		Verb: verb, Key: key, Expected: expected, Body: b,
	}})
}

// deliverAfter delivers an event to a node after a delay, unless the node restarts.
func (c *Config) deliverAfter(now, d time.Duration, n *configNode, ev config.Event) {
	boot := n.bootCount
	c.schedule.after(now, d, func(now time.Duration) []trace.Decision {
		if n.bootCount != boot {
			return nil
		}
		return c.deliver(now, n, ev)
	})
}

// deliver passes an event to a node and executes its actions. A paused node gets the
// event when it resumes, unless it is a tick.
func (c *Config) deliver(now time.Duration, n *configNode, ev config.Event) []trace.Decision {
	if n.stopped {
		return nil
	}
	if n.paused {
		if _, tick := ev.(config.Tick); !tick {
			n.inbox = append(n.inbox, ev)
		}
		return nil
	}
	var out []trace.Decision
	for _, a := range n.machine.Step(now, ev) {
		out = append(out, c.execute(now, n, a)...)
	}
	return append(out, c.checkRevision(n)...)
}

// execute executes one action of a node.
func (c *Config) execute(now time.Duration, n *configNode, a config.Action) []trace.Decision {
	ctx, d := context.Background(), c.store.callDelay()
	switch a := a.(type) {
	case config.ReadHead:
		revision, err := n.store.Head(ctx)
		c.deliverAfter(now, d, n, config.HeadRead{Revision: revision, Err: err})
	case config.Scan:
		head, records, err := n.store.Scan(ctx)
		c.deliverAfter(now, d, n, config.Scanned{Head: head, Records: records, Err: err})
	case config.ReadEditRows:
		rows, err := n.store.EditRows(ctx, a)
		c.deliverAfter(now, d, n, config.EditRowsRead{Batch: a.Batch, Rows: rows, Err: err})
	case config.Commit:
		c.deliverAfter(now, d, n, n.store.Commit(ctx, a))
	case config.Pull:
		pulled := config.Pulled{From: a.From, Request: a.Request, Err: infra.ErrUnavailable}
		if o := c.find(a.From); c.canReach(n, o) {
			pulled.Response, pulled.Err = o.machine.AnswerPull(a.Request), nil
		}
		c.deliverAfter(now, 2*peerDelay, n, pulled)
	case config.Push:
		done := config.PushDone{Push: a, Err: infra.ErrUnavailable}
		if o := c.find(a.To); c.canReach(n, o) {
			done.Err = nil
			c.deliverAfter(now, peerDelay, o, config.PushReceived{Message: a.Message})
		}
		c.deliverAfter(now, 2*peerDelay, n, done)
	case config.AnswerEdit:
		if a.Err != nil {
			return []trace.Decision{decide("refused", string(n.id), "%s: %v", a.Attempt, a.Err)}
		}
		c.accepted = append(c.accepted, acceptedEdit{revision: a.Revision, acceptedAt: now})
		return []trace.Decision{decide("accepted", string(n.id), "%s revision %d", a.Attempt, a.Revision)}
	}
	return nil
}

// canReach reports whether n can exchange messages with o.
func (c *Config) canReach(n, o *configNode) bool {
	return o != nil && !o.stopped && !o.paused && !o.partitioned && !n.partitioned && !o.silent && !n.silent
}

// checkRevision reports a change of the revision that is in force at a node. It reports
// a violation when the revision decreases.
func (c *Config) checkRevision(n *configNode) []trace.Decision {
	v := n.machine.View()
	if !v.Ready || v.Revision == n.activeRevision {
		return nil
	}
	before := n.activeRevision
	n.activeRevision = v.Revision
	out := []trace.Decision{decide("in-force", string(n.id), "revision %d", v.Revision)}
	if v.Revision < before {
		out = append(out, decide(ActionViolation, string(n.id), "went back from revision %d to %d", before, v.Revision))
	}
	return out
}

// checkOverdue reports a violation for each node at which an accepted edit is not in
// force after editLimit. It skips nodes that are stopped, paused or partitioned, and
// those that became reachable less than editLimit ago.
func (c *Config) checkOverdue(now time.Duration) []trace.Decision {
	var out []trace.Decision
	for i := range c.accepted {
		a := &c.accepted[i]
		if a.checked || now < a.acceptedAt+editLimit {
			continue
		}
		a.checked = true
		for _, n := range c.nodes {
			if n.stopped || n.paused || n.partitioned || now < n.reachableSince+editLimit || n.activeRevision >= a.revision {
				continue
			}
			out = append(out, decide(ActionViolation, string(n.id), "lacks revision %d %s after it was accepted", a.revision, now-a.acceptedAt))
		}
	}
	return out
}

// nodeTable is the store as seen by one node.
type nodeTable struct {
	replay *Config
	node   *configNode
}

// unreachable reports whether reads by the node fail.
func (t *nodeTable) unreachable() bool {
	return t.node.partitioned || t.node.silent || t.replay.store.state == trace.StoreDown
}

// Txn implements infra.Table.
func (t *nodeTable) Txn(_ context.Context, x infra.Txn) (uint64, error) {
	if t.node.partitioned {
		return 0, infra.ErrOutcomeUnknown
	}
	outcome, version, rows := t.replay.store.txn(x)
	if t.node.silent {
		return 0, infra.ErrOutcomeUnknown
	}
	switch outcome {
	case infra.OutcomeApplied:
		return version, nil
	case infra.OutcomeConflict:
		return 0, &infra.ConflictError{Rows: rows}
	case infra.OutcomeNotApplied:
		return 0, infra.ErrUnavailable
	default:
		return 0, infra.ErrOutcomeUnknown
	}
}

// Get implements infra.Table.
func (t *nodeTable) Get(_ context.Context, key infra.RowKey) (infra.Row, error) {
	if t.unreachable() {
		return infra.Row{}, infra.ErrUnavailable
	}
	row := t.replay.store.get(key)
	if row.Version == 0 {
		return row, infra.ErrRowNotFound
	}
	return row, nil
}

// Scan implements infra.Table.
func (t *nodeTable) Scan(_ context.Context, table, after string, limit int) ([]infra.Row, error) {
	if t.unreachable() {
		return nil, infra.ErrUnavailable
	}
	var out []infra.Row
	for _, row := range t.replay.store.scan(table) {
		if row.Key > after && len(out) < limit {
			out = append(out, row)
		}
	}
	return out, nil
}
