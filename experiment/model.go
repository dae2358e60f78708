package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
)

// ModelConfig sets up a model of engines, table and entries for one service.
type ModelConfig struct {
	Document service.Document
	// OtherDocuments are services that compete for the same instances. Each has
	// entries of its own.
	OtherDocuments []service.Document
	Planner        group.Config
	Entries        int
	// Domains and InstancesPerDomain lay out the engine instances. Domains are spread
	// over three data centres.
	Domains, InstancesPerDomain int
	Accelerators                int
	// IgnoreFencingEvery makes each n-th engine ignore tokens; 0 makes none.
	IgnoreFencingEvery int
	// LoadTime is the time to load weights that are not in memory, PreloadedLoadTime that
	// of weights that are, and WeightLoadInterval the time for which one load takes the
	// rate-limited weight store.
	LoadTime, PreloadedLoadTime, WeightLoadInterval time.Duration
	// LostAnswerShare is the share of transactions and commands whose answer is
	// lost; DelayedShare the share that is under way for up to 1 s.
	LostAnswerShare, DelayedShare float64
	Seed                          uint64
}

// modelEvent is due at an instant; order breaks ties.
type modelEvent struct {
	at    time.Duration
	order uint64
	run   func()
}

type eventHeap []modelEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || (h[i].at == h[j].at && h[i].order < h[j].order)
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any) {
	if e, ok := x.(modelEvent); ok {
		*h = append(*h, e)
	}
}

func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// Model is a deterministic model of what surrounds the planner. It knows the
// table, engines and entries only as far as the planner's promises need.
type Model struct {
	Config         ModelConfig
	Now            time.Duration
	Engines        []*ModelEngine
	Entries        []*ModelEntry
	StoreDownUntil time.Duration
	Violations     []string
	// Observe sees the processor time of each planner step.
	Observe func(ev group.Event, d time.Duration)

	rng       *rand.Rand
	events    eventHeap
	order     uint64
	version   uint64
	rows      map[infra.RowKey]infra.Row
	byID      map[ident.InstanceID]*ModelEngine
	storeFree time.Duration
	drains    group.DrainsChanged
}

// NewModel returns a model with idle engines.
func NewModel(cfg ModelConfig) *Model {
	m := &Model{
		Config: cfg,
		rng:    rand.New(rand.NewPCG(cfg.Seed, 1)),
		rows:   make(map[infra.RowKey]infra.Row),
		byID:   make(map[ident.InstanceID]*ModelEngine),
	}
	for d := range cfg.Domains {
		for n := range cfg.InstancesPerDomain {
			m.addEngine(d, n)
		}
	}
	for _, doc := range append([]service.Document{cfg.Document}, cfg.OtherDocuments...) {
		for n := range cfg.Entries {
			m.Entries = append(m.Entries, newModelEntry(m, doc, n))
		}
	}
	return m
}

func (m *Model) addEngine(domain, n int) {
	count := len(m.Engines) + 1
	checks := m.Config.IgnoreFencingEvery == 0 || count%m.Config.IgnoreFencingEvery != 0
	e := &ModelEngine{m: m, Info: infra.Instance{
		ID:            ident.InstanceID(fmt.Sprintf("i%02d-%02d", domain, n)),
		Kind:          infra.KindEngine,
		State:         infra.StateLive,
		DataCentre:    ident.DataCentre(fmt.Sprintf("dc%d", domain%3)),
		Domain:        ident.Domain(fmt.Sprintf("d%02d", domain)),
		Accelerators:  m.Config.Accelerators,
		ChecksFencing: checks,
	}}
	e.boot()
	m.Engines = append(m.Engines, e)
	m.byID[e.Info.ID] = e
}

// At runs a function at an instant.
func (m *Model) At(at time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, modelEvent{max(at, m.Now), m.order, run})
}

// Run advances the model to an instant.
func (m *Model) Run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		e, _ := heap.Pop(&m.events).(modelEvent)
		m.Now = e.at
		e.run()
	}
	m.Now = until
}

// chance reports true for a share of calls.
func (m *Model) chance(share float64) bool { return share > 0 && m.rng.Float64() < share }

// between draws a duration.
func (m *Model) between(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)+1))
}

func (m *Model) violation(format string, args ...any) {
	m.Violations = append(m.Violations, fmt.Sprintf("%v: ", m.Now)+fmt.Sprintf(format, args...))
}

// get returns a row; an absent one has version 0.
func (m *Model) get(k infra.RowKey) infra.Row {
	r := m.rows[k]
	r.RowKey = k
	return r
}

func (m *Model) scan(table, prefix string) []infra.Row {
	var out []infra.Row
	for k, r := range m.rows {
		if k.Table == table && strings.HasPrefix(k.Key, prefix) {
			r.RowKey = k
			out = append(out, r)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

// txn applies a transaction.
func (m *Model) txn(t infra.Txn) group.TransactionAnswered {
	if m.Now < m.StoreDownUntil {
		return group.TransactionAnswered{Outcome: infra.OutcomeNotApplied}
	}
	var failed []infra.Row
	for _, c := range t.Conditions {
		if r := m.get(c.RowKey); r.Version != c.Version {
			failed = append(failed, r)
		}
	}
	if len(failed) > 0 {
		return group.TransactionAnswered{Outcome: infra.OutcomeConflict, Rows: failed}
	}
	m.version++
	for _, w := range t.Writes {
		if w.Delete {
			delete(m.rows, w.RowKey)
			continue
		}
		m.rows[w.RowKey] = infra.Row{Version: m.version, Value: w.Value}
	}
	m.checkTable()
	return group.TransactionAnswered{Outcome: infra.OutcomeApplied, Version: m.version}
}

// checkTable records an instance that two groups of the table hold.
func (m *Model) checkTable() {
	holder := make(map[ident.InstanceID]ident.GroupID)
	for _, r := range m.scan(group.Table, "") {
		row, _ := group.DecodeRow(r)
		for _, member := range row.Members {
			if other, ok := holder[member.Instance]; ok {
				m.violation("table: %s is in %s and %s", member.Instance, other, row.ID)
			}
			holder[member.Instance] = row.ID
			a, _ := group.DecodeAssignment(m.get(group.AssignmentKey(member.Instance)))
			if a.Group != row.ID || a.Epoch != row.Epoch {
				m.violation("table: %s of %s/%d is assigned to %s/%d", member.Instance, row.ID, row.Epoch, a.Group, a.Epoch)
			}
		}
	}
}

// ServingGroups returns the number of groups that really serve.
func (m *Model) ServingGroups() int {
	n := 0
	for _, e := range m.Engines {
		if e.leads() && e.whole() {
			n++
		}
	}
	return n
}

// StrandedAccelerators returns the accelerators of live instances that hold or are assigned
// to a group which does not serve.
func (m *Model) StrandedAccelerators() int {
	n := 0
	for _, e := range m.Engines {
		if !e.alive() {
			continue
		}
		_, assigned := m.rows[group.AssignmentKey(e.Info.ID)]
		if (assigned || e.status.Group != "") && !e.serving() {
			n += e.Info.Accelerators
		}
	}
	return n
}

// serving reports whether the engine's group serves.
func (e *ModelEngine) serving() bool {
	if e.status.State != engine.StateReady || len(e.members) == 0 {
		return false
	}
	lead, ok := e.m.byID[e.members[0].Instance]
	return ok && lead.leads() && lead.whole() && lead.status.Group == e.status.Group && lead.status.Epoch == e.status.Epoch
}

// Engine returns an engine by instance.
func (m *Model) Engine(id ident.InstanceID) *ModelEngine { return m.byID[id] }

// SetDocument puts the document of the first service into force.
func (m *Model) SetDocument(doc service.Document) {
	m.Config.Document = doc
	for _, e := range m.Entries {
		if e.service != doc.Service {
			continue
		}
		e.reply(modelRTT, func() { e.step(group.DocumentChanged{Document: doc}) })
	}
}

// SetDrains puts drains into force with the next instance list.
func (m *Model) SetDrains(d group.DrainsChanged) { m.drains = d }

// Drain takes one instance out for a time.
func (m *Model) Drain(id ident.InstanceID, d time.Duration) {
	m.drains.Instances = append(slices.Clone(m.drains.Instances), id)
	m.At(m.Now+d, func() {
		m.drains.Instances = slices.DeleteFunc(slices.Clone(m.drains.Instances), func(o ident.InstanceID) bool { return o == id })
	})
}
