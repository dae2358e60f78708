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
	// peerDelay is the time of one message between entry instances.
	peerDelay = 5 * time.Millisecond
	// configLimit is the time within which an accepted edit is in force
	// everywhere.
	configLimit = 3 * time.Second
)

// Config replays the configuration machines of all entry instances. An edit or
// drain event is an edit at the event's node; its expected revision is the one
// that the node has in force.
type Config struct {
	seed     uint64
	store    *store
	schedule schedule
	nodes    []*configNode
	attempts int
	accepted []acceptedEdit
}

type configNode struct {
	id                ident.InstanceID
	m                 *config.Machine
	store             *configshell.Store
	run               int
	dead, paused, cut bool
	// silent is set while the open connections carry nothing back.
	silent bool
	// since is when the node became reachable.
	since   time.Duration
	inForce ident.Revision
	inbox   []config.Event
}

type acceptedEdit struct {
	revision ident.Revision
	at       time.Duration
	checked  bool
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
	out := c.schedule.due(now)
	switch e.Kind {
	case trace.KindStore:
		c.store.state = e.Store.State
	case trace.KindInstance:
		if e.Instance.Kind == infra.KindEntry {
			n := &configNode{id: e.Instance.ID}
			c.nodes = append(c.nodes, n)
			c.boot(now, n)
			out = append(out, c.introduce(now)...)
		}
	case trace.KindMemberLost, trace.KindMemberReturned:
		out = append(out, c.member(now, e)...)
	case trace.KindDrain:
		d := config.Drain{Kind: config.DrainKind(e.Drain.Kind), Name: e.Drain.Name, Out: !e.Drain.Restored, Team: "sales"}
		verb := config.VerbDrain
		if e.Drain.Restored {
			verb = config.VerbRestore
		}
		out = append(out, c.edit(now, e.Node, verb, d.Key(), e.Drain.Revision, d)...)
	case trace.KindEdit:
		key := config.ServiceKey(e.Edit.Service)
		body := map[string]any{"service": e.Edit.Service, "owner": e.Edit.Team}
		out = append(out, c.edit(now, e.Node, config.VerbApply, key, e.Edit.Expected, body)...)
	case trace.KindTick:
		for _, n := range c.nodes {
			out = append(out, c.feed(now, n, config.Tick{})...)
		}
	}
	return append(out, c.overdue(now)...), nil
}

func (c *Config) boot(now time.Duration, n *configNode) {
	n.run++
	n.dead, n.paused, n.cut, n.silent, n.inbox, n.inForce = false, false, false, false, nil, 0
	n.since = now
	rng := rand.New(rand.NewPCG(c.seed, uint64(n.run)<<32|uint64(len(n.id))))
	n.m = config.New(string(n.id), config.DefaultSettings(), rng)
	n.store = configshell.NewStore(&nodeTable{c: c, n: n})
	n.store.MaxConcurrentReads = 1 // the replay has one goroutine
}

// introduce tells every node its peers.
func (c *Config) introduce(now time.Duration) []trace.Decision {
	var out []trace.Decision
	for _, n := range c.nodes {
		var peers []string
		for _, o := range c.nodes {
			if o != n {
				peers = append(peers, string(o.id))
			}
		}
		out = append(out, c.feed(now, n, config.PeersChanged{Peers: peers})...)
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

func (c *Config) member(now time.Duration, e *trace.Event) []trace.Decision {
	n := c.find(string(e.Member.Instance))
	if n == nil {
		return nil
	}
	if e.Kind == trace.KindMemberLost {
		n.paused, n.cut = e.Member.Reason == "paused", e.Member.Reason == "partitioned"
		n.silent = e.Member.Reason == "silent"
		n.dead = !n.paused && !n.cut && !n.silent
		return nil
	}
	if n.silent {
		// An edit has to be in force in time all the same.
		n.silent = false
		return nil
	}
	if n.dead {
		c.boot(now, n)
		return c.introduce(now)
	}
	inbox := n.inbox
	n.paused, n.cut, n.inbox, n.since = false, false, nil, now
	var out []trace.Decision
	for _, ev := range inbox {
		out = append(out, c.feed(now, n, ev)...)
	}
	return out
}

func (c *Config) edit(now time.Duration, node ident.InstanceID, verb config.Verb, key config.Key, expected ident.Revision, body any) []trace.Decision {
	n := c.find(string(node))
	if n == nil {
		return []trace.Decision{decide("unreachable", string(node), "%s", key)}
	}
	b, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	c.attempts++
	return c.feed(now, n, config.EditRequested{Edit: config.Edit{
		Attempt: ident.AttemptID(fmt.Sprintf("edit-%d", c.attempts)), Team: "sales", Owner: "sales",
		Verb: verb, Key: key, Expected: expected, Body: b,
	}})
}

// later delivers an event to a node.
func (c *Config) later(now, d time.Duration, n *configNode, ev config.Event) {
	run := n.run
	c.schedule.after(now, d, func(now time.Duration) []trace.Decision {
		if n.run != run {
			return nil
		}
		return c.feed(now, n, ev)
	})
}

// feed hands an event to a node and carries out its actions.
func (c *Config) feed(now time.Duration, n *configNode, ev config.Event) []trace.Decision {
	if n.dead {
		return nil
	}
	if n.paused {
		if _, tick := ev.(config.Tick); !tick {
			n.inbox = append(n.inbox, ev)
		}
		return nil
	}
	var out []trace.Decision
	for _, a := range n.m.Step(now, ev) {
		out = append(out, c.act(now, n, a)...)
	}
	return append(out, c.observe(n)...)
}

func (c *Config) act(now time.Duration, n *configNode, a config.Action) []trace.Decision {
	ctx, d := context.Background(), c.store.delay()
	switch a := a.(type) {
	case config.ReadHead:
		revision, err := n.store.Head(ctx)
		c.later(now, d, n, config.HeadRead{Revision: revision, Err: err})
	case config.Scan:
		head, records, err := n.store.Scan(ctx)
		c.later(now, d, n, config.Scanned{Head: head, Records: records, Err: err})
	case config.ReadEditRows:
		rows, err := n.store.Rows(ctx, a.Keys)
		c.later(now, d, n, config.EditRowsRead{Batch: a.Batch, Rows: rows, Err: err})
	case config.Commit:
		c.later(now, d, n, n.store.Commit(ctx, a))
	case config.Pull:
		pulled := config.Pulled{From: a.From, Request: a.Request, Err: infra.ErrUnavailable}
		if o := c.find(a.From); c.reaches(n, o) {
			pulled.Response, pulled.Err = o.m.AnswerPull(a.Request), nil
		}
		c.later(now, 2*peerDelay, n, pulled)
	case config.Push:
		done := config.PushDone{Push: a, Err: infra.ErrUnavailable}
		if o := c.find(a.To); c.reaches(n, o) {
			done.Err = nil
			c.later(now, peerDelay, o, config.PushReceived{Message: a.Message})
		}
		c.later(now, 2*peerDelay, n, done)
	case config.AnswerEdit:
		if a.Err != nil {
			return []trace.Decision{decide("refused", string(n.id), "%s: %v", a.Attempt, a.Err)}
		}
		c.accepted = append(c.accepted, acceptedEdit{revision: a.Revision, at: now})
		return []trace.Decision{decide("accepted", string(n.id), "%s revision %d", a.Attempt, a.Revision)}
	}
	return nil
}

func (c *Config) reaches(n, o *configNode) bool {
	return o != nil && !o.dead && !o.paused && !o.cut && !n.cut && !o.silent && !n.silent
}

// observe reports a change of what a node has in force, and one backwards.
func (c *Config) observe(n *configNode) []trace.Decision {
	v := n.m.View()
	if !v.Ready || v.Revision == n.inForce {
		return nil
	}
	before := n.inForce
	n.inForce = v.Revision
	out := []trace.Decision{decide("in-force", string(n.id), "revision %d", v.Revision)}
	if v.Revision < before {
		out = append(out, decide(ActionViolation, string(n.id), "went back from revision %d to %d", before, v.Revision))
	}
	return out
}

// overdue reports nodes that lack an accepted edit after the limit. A node that
// is cut off, or was until less than the limit ago, is left out.
func (c *Config) overdue(now time.Duration) []trace.Decision {
	var out []trace.Decision
	for i := range c.accepted {
		a := &c.accepted[i]
		if a.checked || now < a.at+configLimit {
			continue
		}
		a.checked = true
		for _, n := range c.nodes {
			if n.dead || n.paused || n.cut || now < n.since+configLimit || n.inForce >= a.revision {
				continue
			}
			out = append(out, decide(ActionViolation, string(n.id), "lacks revision %d %s after it was accepted", a.revision, now-a.at))
		}
	}
	return out
}

// nodeTable is the table as one node reaches it.
type nodeTable struct {
	c *Config
	n *configNode
}

func (t *nodeTable) down() bool { return t.n.cut || t.n.silent || t.c.store.state == trace.StoreDown }

// Txn implements infra.Table.
func (t *nodeTable) Txn(_ context.Context, x infra.Txn) (uint64, error) {
	if t.n.cut {
		return 0, infra.ErrOutcomeUnknown
	}
	outcome, version, rows := t.c.store.txn(x)
	if t.n.silent {
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
	if t.down() {
		return infra.Row{}, infra.ErrUnavailable
	}
	row := t.c.store.get(key)
	if row.Version == 0 {
		return row, infra.ErrRowNotFound
	}
	return row, nil
}

// Scan implements infra.Table.
func (t *nodeTable) Scan(_ context.Context, table, after string, limit int) ([]infra.Row, error) {
	if t.down() {
		return nil, infra.ErrUnavailable
	}
	var out []infra.Row
	for _, row := range t.c.store.scan(table) {
		if row.Key > after && len(out) < limit {
			out = append(out, row)
		}
	}
	return out, nil
}
