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

// table is an in-memory infra.Table with injected faults.
type table struct {
	rows        map[infra.RowKey]infra.Row
	staleRows   map[infra.RowKey]infra.Row // an earlier state, for stale reads
	version     uint64
	unavailable bool
	calls, txns int
	servesStale bool
	// lostOutcome, if set, makes Txn return ErrOutcomeUnknown: "applied" applies
	// the transaction first, "late" applies it some seconds later.
	lostOutcome string
	// era rises by one with each restore. history has the states that a restore can
	// return to.
	era     uint64
	history []savedTable
	// beforeTxn, if set, is called once, right before the next transaction applies.
	beforeTxn func()
	s         *sim
}

// savedTable is the state of the table from a time on.
type savedTable struct {
	at      time.Duration
	rows    map[infra.RowKey]infra.Row
	version uint64
}

// restore returns the table to its state some time ago. Versions go back as well.
func (t *table) restore(age time.Duration) {
	for n := len(t.history) - 1; n > 0 && t.history[n].at > t.s.now-age; n-- {
		t.history = t.history[:n]
	}
	last := t.history[len(t.history)-1]
	t.rows, t.version = maps.Clone(last.rows), last.version
	t.era++
}

func (t *table) save() {
	t.history = append(t.history, savedTable{at: t.s.now, rows: maps.Clone(t.rows), version: t.version})
}

// Era implements infra.EraReporter.
func (t *table) Era() uint64 { return t.era }

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
	t.save()
	return t.version, nil
}

func (t *table) Txn(_ context.Context, x infra.Txn) (uint64, error) {
	t.calls++
	t.txns++
	if fn := t.beforeTxn; fn != nil && !t.unavailable {
		t.beforeTxn = nil
		fn()
	}
	switch {
	case t.unavailable:
		return 0, infra.ErrUnavailable
	case t.lostOutcome == "applied":
		_, _ = t.apply(x)
		return 0, infra.ErrOutcomeUnknown
	case t.lostOutcome == "late":
		t.s.schedule(t.s.randomUpTo(4*time.Second), func() { _, _ = t.apply(x) })
		return 0, infra.ErrOutcomeUnknown
	}
	return t.apply(x)
}

func (t *table) state() map[infra.RowKey]infra.Row {
	if t.servesStale && t.s.rng.IntN(2) == 0 {
		return t.staleRows
	}
	return t.rows
}

func (t *table) Get(_ context.Context, k infra.RowKey) (infra.Row, error) {
	t.calls++
	if t.unavailable {
		return infra.Row{}, infra.ErrUnavailable
	}
	if r, ok := t.state()[k]; ok {
		return r, nil
	}
	return infra.Row{}, infra.ErrRowNotFound
}

func (t *table) Scan(_ context.Context, name, after string, limit int) ([]infra.Row, error) {
	t.calls++
	if t.unavailable {
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

// job is a function that runs at a time of the simulated clock.
type job struct {
	dueAt time.Duration
	seq   int
	fn    func()
}

type jobs []job

func (j jobs) Len() int { return len(j) }
func (j jobs) Less(a, b int) bool {
	return cmp.Or(cmp.Compare(j[a].dueAt, j[b].dueAt), cmp.Compare(j[a].seq, j[b].seq)) < 0
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
	addr         string
	machine      *config.Machine
	disconnected bool
	// storeCut is set while the node does not reach the store.
	storeCut bool
	readyAt  time.Duration
	// readyRevision is the revision of the view at readyAt.
	readyRevision   ident.Revision
	recordRevisions map[config.Key]ident.Revision
	viewRevision    ident.Revision
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
	// answeredAt has the times of answers.
	answeredAt map[ident.AttemptID]time.Duration
	edits      int
	// loss is the probability that a peer message is lost. With the same
	// probability, one that is not lost is reported as lost but arrives seconds
	// later.
	loss float64
	// padding is the number of bytes added to each document; maxMessage, if set,
	// bounds the record bytes of a peer message.
	padding, maxMessage int
	// commitDelay is how much longer commits take to arrive at the store.
	commitDelay time.Duration
	fail        func(format string, args ...any)
}

func newSim(seed uint64, n int, fail func(string, ...any)) *sim {
	s := &sim{rng: rand.New(rand.NewPCG(seed, 1)), answers: make(map[ident.AttemptID]config.AnswerEdit), fail: fail}
	s.answeredAt = make(map[ident.AttemptID]time.Duration)
	s.table = &table{rows: make(map[infra.RowKey]infra.Row), era: 1, s: s}
	s.table.save()
	s.store = configshell.NewStore(s.table)
	s.store.MaxConcurrentReads = 1 // Concurrent reads would make runs differ.
	for i := range n {
		s.nodes = append(s.nodes, &node{addr: fmt.Sprintf("node-%d", i)})
	}
	for i := range s.nodes {
		s.restart(i)
	}
	return s
}

func (s *sim) schedule(d time.Duration, fn func()) {
	s.seq++
	heap.Push(&s.queue, job{dueAt: s.now + d, seq: s.seq, fn: fn})
}

func (s *sim) randomUpTo(d time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(d))) + 1
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].dueAt <= end {
		j := heap.Pop(&s.queue).(job)
		s.now = j.dueAt
		j.fn()
	}
	s.now = end
}

func (s *sim) restart(i int) {
	n := s.nodes[i]
	set := config.DefaultSettings()
	set.FanOut = 2 // Small enough that a few nodes need relays.
	n.machine = config.New(n.addr, set, rand.New(rand.NewPCG(s.rng.Uint64(), 2)))
	n.recordRevisions, n.viewRevision, n.readyAt = make(map[config.Key]ident.Revision), 0, 0
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
	s.schedule(config.TickInterval, func() { s.tick(n, m) })
}

// step applies an event to a machine, unless its process was restarted, and
// checks that no revision went down.
func (s *sim) step(n *node, m *config.Machine, e config.Event) {
	if n.machine != m {
		return
	}
	for _, a := range m.Step(s.now, e) {
		s.runAction(n, m, a)
	}
	v := m.View()
	if v.Revision < n.viewRevision || (n.readyAt > 0 && !v.Ready) {
		s.fail("%s reverted from revision %d to %d, or from ready: ready is %v", n.addr, n.viewRevision, v.Revision, v.Ready)
	}
	n.viewRevision = v.Revision
	if v.Ready && n.readyAt == 0 {
		n.readyAt, n.readyRevision = s.now, v.Revision
	}
	current := revisions(m)
	for k, r := range n.recordRevisions {
		if current[k] < r {
			s.fail("%s: %s reverted from revision %d to %d", n.addr, k, r, current[k])
		}
	}
	n.recordRevisions = current
}

// revisions reads the records of a machine page by page, as a peer does.
func revisions(m *config.Machine) map[config.Key]ident.Revision {
	current := make(map[config.Key]ident.Revision)
	for after := ident.Revision(0); ; {
		answer := m.AnswerPull(config.PullRequest{After: after})
		for _, r := range answer.Records {
			current[r.Key] = r.Revision
		}
		if !answer.HasMore {
			return current
		}
		after = answer.Records[len(answer.Records)-1].Revision
	}
}

func (s *sim) find(addr string) *node {
	i := slices.IndexFunc(s.nodes, func(n *node) bool { return n.addr == addr })
	return s.nodes[i]
}

var errLost = errors.New("message lost")

func (s *sim) runAction(n *node, m *config.Machine, a config.Action) {
	reply := func(e config.Event) { s.schedule(s.randomUpTo(20*time.Millisecond), func() { s.step(n, m, e) }) }
	ctx := context.Background()
	if e := unreachable(a); n.storeCut && e != nil {
		reply(e)
		return
	}
	switch a := a.(type) {
	case config.AnswerEdit:
		s.answers[a.Attempt] = a
		s.answeredAt[a.Attempt] = s.now
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
		s.schedule(s.randomUpTo(20*time.Millisecond), func() {
			var e config.HeadRead
			e.Era, e.Err = s.store.InEra(func() (err error) { e.Revision, err = s.store.Head(ctx); return err })
			reply(e)
		})
	case config.Scan:
		s.schedule(s.randomUpTo(20*time.Millisecond), func() {
			var e config.Scanned
			e.Era, e.Err = s.store.InEra(func() (err error) { e.Head, e.Records, err = s.store.Scan(ctx); return err })
			reply(e)
		})
	case config.ReadEditRows:
		s.schedule(s.randomUpTo(20*time.Millisecond), func() {
			e := config.EditRowsRead{Batch: a.Batch}
			e.Era, e.Err = s.store.InEra(func() (err error) { e.Rows, err = s.store.EditRows(ctx, a); return err })
			reply(e)
		})
	case config.Commit:
		s.schedule(s.randomUpTo(20*time.Millisecond)+s.commitDelay, func() { reply(s.store.Commit(ctx, a)) })
	}
}

// unreachable returns the result of an action on a store that cannot be reached, or nil
// for an action on peers.
func unreachable(a config.Action) config.Event {
	switch a := a.(type) {
	case config.ReadHead:
		return config.HeadRead{Err: infra.ErrUnavailable}
	case config.Scan:
		return config.Scanned{Err: infra.ErrUnavailable}
	case config.ReadEditRows:
		return config.EditRowsRead{Batch: a.Batch, Err: infra.ErrUnavailable}
	case config.Commit:
		return config.Committed{Commit: a, Outcome: config.OutcomeNotApplied, Err: infra.ErrUnavailable}
	default:
		return nil
	}
}

// send delivers a message to a peer, or reports it as lost. A message reported as
// lost may still arrive seconds later.
func (s *sim) send(from *node, to string, deliver func(*node), lost func()) {
	peer := s.find(to)
	target := peer.machine
	arrive := func() {
		if peer.machine == target {
			deliver(peer)
		}
	}
	s.schedule(s.randomUpTo(10*time.Millisecond), func() {
		switch {
		case from.disconnected || peer.disconnected || peer.machine != target || s.rng.Float64() < s.loss:
			lost()
		case s.rng.Float64() < s.loss:
			s.schedule(s.randomUpTo(5*time.Second), arrive)
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

// edit requests an edit of the record with key k at a node.
func (s *sim) edit(n *node, k config.Key, verb config.Verb, expected ident.Revision) ident.AttemptID {
	s.edits++
	id := ident.AttemptID(fmt.Sprintf("edit-%d", s.edits))
	body := fmt.Sprintf(`{"service":%q,"owner":"team","kind":%q}`, k.Name, strings.Repeat("x", s.padding))
	s.step(n, n.machine, config.EditRequested{Edit: config.Edit{
		Attempt: id, Team: "team", Owner: "team", Verb: verb, Key: k, Expected: expected, Body: []byte(body),
	}})
	return id
}

func (s *sim) clearFaults() {
	s.table.unavailable, s.table.servesStale, s.table.lostOutcome, s.loss = false, false, "", 0
	for _, n := range s.nodes {
		n.disconnected, n.storeCut = false, false
	}
}

func (s *sim) saveStaleRows() { s.table.staleRows = maps.Clone(s.table.rows) }
