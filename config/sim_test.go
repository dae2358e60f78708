package config_test

import (
	"cmp"
	"container/heap"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/config/configshell"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// table is an in-memory table with faults.
type table struct {
	rows    map[infra.RowKey]infra.Row
	old     map[infra.RowKey]infra.Row // an earlier state, for stale reads
	version uint64
	down    bool
	stale   bool
	// lose answers ErrOutcomeUnknown to transactions: "applied" applies them
	// first, "late" applies them some seconds later.
	lose string
	s    *sim
}

func (t *table) apply(x infra.Txn) (uint64, error) {
	var failed []infra.Row
	for _, c := range x.Conditions {
		if r := t.rows[c.RowKey]; r.Version != c.Version {
			r.RowKey = c.RowKey
			failed = append(failed, r)
		}
	}
	if len(failed) > 0 {
		return 0, &infra.ConflictError{Rows: failed}
	}
	t.version++
	for _, w := range x.Writes {
		t.rows[w.RowKey] = infra.Row{RowKey: w.RowKey, Version: t.version, Value: w.Value}
	}
	return t.version, nil
}

func (t *table) Txn(_ context.Context, x infra.Txn) (uint64, error) {
	switch {
	case t.down:
		return 0, infra.ErrUnavailable
	case t.lose == "applied":
		_, _ = t.apply(x)
		return 0, infra.ErrOutcomeUnknown
	case t.lose == "late":
		t.s.after(t.s.upTo(4*time.Second), func() { _, _ = t.apply(x) })
		return 0, infra.ErrOutcomeUnknown
	}
	return t.apply(x)
}

func (t *table) state() map[infra.RowKey]infra.Row {
	if t.stale && t.s.rng.IntN(2) == 0 {
		return t.old
	}
	return t.rows
}

func (t *table) Get(_ context.Context, k infra.RowKey) (infra.Row, error) {
	if t.down {
		return infra.Row{}, infra.ErrUnavailable
	}
	if r, ok := t.state()[k]; ok {
		return r, nil
	}
	return infra.Row{}, infra.ErrRowNotFound
}

func (t *table) Scan(_ context.Context, name, after string, limit int) ([]infra.Row, error) {
	if t.down {
		return nil, infra.ErrUnavailable
	}
	var out []infra.Row
	for k, r := range t.state() {
		if k.Table == name && k.Key > after {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b infra.Row) int { return cmp.Compare(a.Key, b.Key) })
	return out[:min(len(out), limit)], nil
}

// job is work at an instant of the simulated clock.
type job struct {
	at  time.Duration
	seq int
	fn  func()
}

type jobs []job

func (j jobs) Len() int { return len(j) }
func (j jobs) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(j[a].at, j[b].at), cmp.Compare(j[a].seq, j[b].seq)) < 0
}
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }
func (j *jobs) Push(x any)   { *j = append(*j, x.(job)) }
func (j *jobs) Pop() any {
	last := (*j)[len(*j)-1]
	*j = (*j)[:len(*j)-1]
	return last
}

// node is one simulated process. A restart replaces its machine.
type node struct {
	addr    string
	machine *config.Machine
	cut     bool
	readyAt time.Duration
	// readyWith is the complete revision at readyAt.
	readyWith ident.Revision
	seen      map[config.Key]ident.Revision
	complete  ident.Revision
}

type sim struct {
	now     time.Duration
	seq     int
	queue   jobs
	rng     *rand.Rand
	table   *table
	store   *configshell.Store
	nodes   []*node
	answers map[ident.AttemptID]config.AnswerEdit
	edits   int
	// loss is the probability that a peer message or its answer is lost, or
	// arrives again seconds later.
	loss float64
	// padding enlarges documents; maxMessage, if set, bounds a peer message.
	padding, maxMessage int
	fail                func(format string, args ...any)
}

func newSim(seed uint64, n int, fail func(string, ...any)) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), answers: make(map[ident.AttemptID]config.AnswerEdit), fail: fail}
	s.table = &table{rows: make(map[infra.RowKey]infra.Row), s: s}
	s.store = configshell.NewStore(s.table)
	s.store.MaxConcurrentReads = 1 // Keeps the order of reads the same in each run.
	for i := range n {
		s.nodes = append(s.nodes, &node{addr: fmt.Sprintf("node-%d", i)})
	}
	for i := range s.nodes {
		s.restart(i)
	}
	return s
}

func (s *sim) after(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, job{at: s.now + d, seq: s.seq, fn: fn})
}

func (s *sim) upTo(d time.Duration) time.Duration { return time.Duration(s.rng.Int64N(int64(d))) + 1 }

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		j := heap.Pop(&s.queue).(job)
		s.now = j.at
		j.fn()
	}
	s.now = end
}

func (s *sim) restart(i int) {
	n := s.nodes[i]
	set := config.DefaultSettings()
	set.FanOut = 2 // Small, so that few nodes already relay.
	n.machine = config.New(n.addr, set, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	n.seen, n.complete, n.readyAt = make(map[config.Key]ident.Revision), 0, 0
	peers := make([]string, 0, len(s.nodes))
	for _, p := range s.nodes {
		peers = append(peers, p.addr)
	}
	s.step(n, n.machine, config.PeersChanged{Peers: peers})
	s.tick(n, n.machine)
}

func (s *sim) tick(n *node, m *config.Machine) {
	if n.machine != m {
		return
	}
	s.step(n, m, config.Tick{})
	s.after(config.TickInterval, func() { s.tick(n, m) })
}

// step feeds an event to a machine, unless its process was replaced, and checks
// that nothing reverted.
func (s *sim) step(n *node, m *config.Machine, e config.Event) {
	if n.machine != m {
		return
	}
	for _, a := range m.Step(s.now, e) {
		s.act(n, m, a)
	}
	v := m.View()
	if v.Revision < n.complete || (n.readyAt > 0 && !v.Ready) {
		s.fail("%s went back from revision %d to %d, ready %v", n.addr, n.complete, v.Revision, v.Ready)
	}
	n.complete = v.Revision
	if v.Ready && n.readyAt == 0 {
		n.readyAt, n.readyWith = s.now, v.Revision
	}
	held := revisions(m)
	for k, r := range n.seen {
		if held[k] < r {
			s.fail("%s: %s went back from revision %d to %d", n.addr, k, r, held[k])
		}
	}
	n.seen = held
}

// revisions reads the records of a machine page by page, as a peer does.
func revisions(m *config.Machine) map[config.Key]ident.Revision {
	held := make(map[config.Key]ident.Revision)
	for after := ident.Revision(0); ; {
		answer := m.AnswerPull(config.PullRequest{After: after})
		for _, r := range answer.Records {
			held[r.Key] = r.Revision
		}
		if !answer.More {
			return held
		}
		after = answer.Records[len(answer.Records)-1].Revision
	}
}

func (s *sim) find(addr string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.addr == addr })
	return s.nodes[i]
}

var errLost = errors.New("message lost")

func (s *sim) act(n *node, m *config.Machine, a config.Action) {
	reply := func(e config.Event) { s.after(s.upTo(20*time.Millisecond), func() { s.step(n, m, e) }) }
	ctx := context.Background()
	switch a := a.(type) {
	case config.AnswerEdit:
		s.answers[a.Attempt] = a
	case config.Pull:
		s.send(n, a.From, func(to *node) {
			resp := to.machine.AnswerPull(a.Request)
			s.checkSize(resp.Records)
			reply(config.Pulled{From: a.From, Request: a.Request, Response: resp})
		}, func() { reply(config.Pulled{From: a.From, Request: a.Request, Err: errLost}) })
	case config.Push:
		s.checkSize(a.Message.Records)
		s.send(n, a.To, func(to *node) {
			s.step(to, to.machine, config.PushReceived{Message: a.Message})
			reply(config.PushDone{Push: a})
		}, func() { reply(config.PushDone{Push: a, Err: errLost}) })
	case config.ReadHead:
		s.after(s.upTo(20*time.Millisecond), func() {
			r, err := s.store.Head(ctx)
			reply(config.HeadRead{Revision: r, Err: err})
		})
	case config.Scan:
		s.after(s.upTo(20*time.Millisecond), func() {
			head, records, err := s.store.Scan(ctx)
			reply(config.Scanned{Head: head, Records: records, Err: err})
		})
	case config.ReadEditRows:
		s.after(s.upTo(20*time.Millisecond), func() {
			rows, err := s.store.Rows(ctx, a.Keys)
			reply(config.EditRowsRead{Batch: a.Batch, Rows: rows, Err: err})
		})
	case config.Commit:
		s.after(s.upTo(20*time.Millisecond), func() { reply(s.store.Commit(ctx, a)) })
	}
}

// send delivers a message to a peer, loses it, loses its answer, or delivers it
// a second time seconds later.
func (s *sim) send(from *node, to string, deliver func(*node), lost func()) {
	peer := s.find(to)
	target := peer.machine
	arrive := func() {
		if peer.machine == target {
			deliver(peer)
		}
	}
	s.after(s.upTo(10*time.Millisecond), func() {
		switch {
		case from.cut || peer.cut || peer.machine != target || s.rng.Float64() < s.loss:
			lost()
		case s.rng.Float64() < s.loss:
			s.after(s.upTo(5*time.Second), arrive)
			lost()
		default:
			arrive()
		}
	})
}

func (s *sim) checkSize(records []config.Record) {
	size := 0
	for _, r := range records {
		size += len(r.Body)
	}
	if s.maxMessage > 0 && size > s.maxMessage {
		s.fail("a message carries %d bytes of records", size)
	}
}

// edit starts an edit of a key at a node.
func (s *sim) edit(n *node, k config.Key, verb config.Verb, expected ident.Revision) ident.AttemptID {
	s.edits++
	id := ident.AttemptID(fmt.Sprintf("edit-%d", s.edits))
	body := fmt.Sprintf(`{"service":%q,"owner":"team","kind":%q}`, k.Name, strings.Repeat("x", s.padding))
	s.step(n, n.machine, config.EditRequested{Edit: config.Edit{
		Attempt: id, Team: "team", Owner: "team", Verb: verb, Key: k, Expected: expected, Body: []byte(body),
	}})
	return id
}

func (s *sim) heal() {
	s.table.down, s.table.stale, s.table.lose, s.loss = false, false, "", 0
	for _, n := range s.nodes {
		n.cut = false
	}
}

func (s *sim) snapshot() { s.table.old = maps.Clone(s.table.rows) }
