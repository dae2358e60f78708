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

// ModelConfig configures a Model.
type ModelConfig struct {
	Document service.Document
	// OtherDocuments are the documents of services that compete for the same
	// instances. Each of them has entries of its own.
	OtherDocuments []service.Document
	Planner        group.Config
	Entries        int
	// Domains is the number of failure domains, spread over three data centres, and
	// InstancesPerDomain the number of engine instances in each.
	Domains, InstancesPerDomain int
	Accelerators                int
	// IgnoreFencingEvery n makes each n-th engine ignore fencing tokens; 0 makes none.
	IgnoreFencingEvery int
	// LoadTime is the time to load weights from the weight store, and
	// PreloadedLoadTime from the instance's memory. WeightLoadInterval is the time
	// between two loads that the rate-limited weight store starts.
	LoadTime, PreloadedLoadTime, WeightLoadInterval time.Duration
	// LostAnswerShare is the share of transactions and commands whose answer is lost.
	// DelayedShare is the share that is delayed, commands by up to 1 s and transactions
	// by up to 3 s.
	LostAnswerShare, DelayedShare float64
	Seed                          uint64
}

// modelEvent is a scheduled function; sequence breaks ties.
type modelEvent struct {
	due      time.Duration
	sequence uint64
	run      func()
}

type eventHeap []modelEvent

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].due < h[j].due || (h[i].due == h[j].due && h[i].sequence < h[j].sequence)
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

// Model is a deterministic simulation of the environment of the planner: the store's
// tables, the engines and the entry instances. It covers only what is needed to check
// the planner's guarantees, and records each breach in Violations.
type Model struct {
	Config  ModelConfig
	Now     time.Duration
	Engines []*ModelEngine
	Entries []*ModelEntry
	// StoreDownUntil is the time until which the store fails all calls.
	StoreDownUntil time.Duration
	Violations     []string
	// Observe, if set, is called with the processor time of each planner step.
	Observe func(ev group.Event, d time.Duration)

	rng               *rand.Rand
	events            eventHeap
	sequence          uint64
	version           uint64
	rows              map[infra.RowKey]infra.Row
	byID              map[ident.InstanceID]*ModelEngine
	weightStoreFreeAt time.Duration
	drains            group.DrainsChanged
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
	e := &ModelEngine{model: m, Info: infra.Instance{
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

// At schedules a function for a simulated time, or for now if the time is past.
func (m *Model) At(at time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, modelEvent{max(at, m.Now), m.sequence, run})
}

// Run advances the simulated time to until.
func (m *Model) Run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].due <= until {
		e, _ := heap.Pop(&m.events).(modelEvent)
		m.Now = e.due
		e.run()
	}
	m.Now = until
}

// randomShare returns true with the probability share.
func (m *Model) randomShare(share float64) bool { return share > 0 && m.rng.Float64() < share }

// randomDuration draws a duration from low to high.
func (m *Model) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(m.rng.Int64N(int64(high-low)+1))
}

func (m *Model) recordViolation(format string, args ...any) {
	m.Violations = append(m.Violations, fmt.Sprintf("%v: ", m.Now)+fmt.Sprintf(format, args...))
}

// readRow returns a row. An absent row has version 0.
func (m *Model) readRow(k infra.RowKey) infra.Row {
	r := m.rows[k]
	r.RowKey = k
	return r
}

func (m *Model) scanRows(table, prefix string) []infra.Row {
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

// applyTxn applies a transaction to the store if all its conditions hold.
func (m *Model) applyTxn(t infra.Txn) group.TransactionAnswered {
	if m.Now < m.StoreDownUntil {
		return group.TransactionAnswered{Outcome: infra.OutcomeNotApplied}
	}
	var failed []infra.Row
	for _, c := range t.Conditions {
		if r := m.readRow(c.RowKey); r.Version != c.Version {
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

// checkTable records a violation for each instance that is a member of two groups of
// the table, and for each member whose assignment names another group or epoch.
func (m *Model) checkTable() {
	groupOf := make(map[ident.InstanceID]ident.GroupID)
	for _, r := range m.scanRows(group.Table, "") {
		row, _ := group.DecodeRow(r)
		for _, member := range row.Members {
			if other, ok := groupOf[member.Instance]; ok {
				m.recordViolation("table: %s is in %s and %s", member.Instance, other, row.ID)
			}
			groupOf[member.Instance] = row.ID
			a, _ := group.DecodeAssignment(m.readRow(group.AssignmentKey(member.Instance)))
			if a.Group != row.ID || a.Epoch != row.Epoch {
				m.recordViolation("table: %s of %s/%d is assigned to %s/%d", member.Instance, row.ID, row.Epoch, a.Group, a.Epoch)
			}
		}
	}
}

// ServingGroups returns the number of groups that serve according to the engines
// themselves.
func (m *Model) ServingGroups() int {
	n := 0
	for _, e := range m.Engines {
		if e.isReadyLeader() && e.groupComplete() {
			n++
		}
	}
	return n
}

// StrandedAccelerators returns the number of accelerators of live instances whose group
// does not serve. An instance counts if the store assigns it a group or its engine
// reports one.
func (m *Model) StrandedAccelerators() int {
	n := 0
	for _, e := range m.Engines {
		if !e.alive() {
			continue
		}
		_, assigned := m.rows[group.AssignmentKey(e.Info.ID)]
		if (assigned || e.status.Group != "") && !e.groupServing() {
			n += e.Info.Accelerators
		}
	}
	return n
}

// groupServing reports whether the engine's group serves.
func (e *ModelEngine) groupServing() bool {
	if e.status.State != engine.StateReady || len(e.members) == 0 {
		return false
	}
	leader, ok := e.model.byID[e.members[0].Instance]
	return ok && leader.isReadyLeader() && leader.groupComplete() && leader.status.Group == e.status.Group && leader.status.Epoch == e.status.Epoch
}

// Engine returns the engine of an instance, or nil.
func (m *Model) Engine(id ident.InstanceID) *ModelEngine { return m.byID[id] }

// SetDocument sends a new document to the entries of its service. It must be a document
// of the first service, because it replaces Config.Document.
func (m *Model) SetDocument(doc service.Document) {
	m.Config.Document = doc
	for _, e := range m.Entries {
		if e.service != doc.Service {
			continue
		}
		e.deliverEvent(modelRTT, func() { e.step(group.DocumentChanged{Document: doc}) })
	}
}

// SetDrains sets the drains that entries get with their next instance list.
func (m *Model) SetDrains(d group.DrainsChanged) { m.drains = d }

// Drain drains one instance for the duration d.
func (m *Model) Drain(id ident.InstanceID, d time.Duration) {
	m.drains.Instances = append(slices.Clone(m.drains.Instances), id)
	m.At(m.Now+d, func() {
		m.drains.Instances = slices.DeleteFunc(slices.Clone(m.drains.Instances), func(o ident.InstanceID) bool { return o == id })
	})
}
