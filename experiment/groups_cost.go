package experiment

import (
	"container/heap"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
)

// Layout of the cost measure: domains of 50 instances with three groups of 16.
const (
	costDomain = 50
	costSize   = 16
	costGroups = 3
)

// stepCost is the planner's processor time for events of one kind.
type stepCost struct {
	count int
	total time.Duration
	worst time.Duration
}

func (s *stepCost) add(d time.Duration) {
	s.count++
	s.total += d
	s.worst = max(s.worst, d)
}

func (s *stepCost) mean() float64 {
	return float64(s.total.Nanoseconds()) / float64(max(1, s.count))
}

// plannerCost measures a planner that serves a number of domains: in a quiet
// time, and while a member and then a whole domain are lost.
func plannerCost(domains int) (report, tick, repair stepCost, err error) {
	doc := groupsDocument(0)
	doc.Replicas.InstancesPerReplica = costSize
	doc.Replicas.Wanted = costGroups * domains
	doc.Replicas.Minimum = 1
	m := NewModel(ModelConfig{
		Document: doc, Planner: group.DefaultConfig(), Entries: 1,
		Domains: domains, InstancesPerDomain: costDomain, Accelerators: accelerators,
		LoadTime: time.Second, PreloadedLoadTime: time.Second, WeightLoadInterval: time.Millisecond,
	})
	m.Run(time.Minute)
	if got := m.ServingGroups(); got != doc.Replicas.Wanted {
		return report, tick, repair, errors.Errorf("%d groups serve with %d domains, want %d", got, domains, doc.Replicas.Wanted)
	}
	m.Observe = func(ev group.Event, d time.Duration) {
		switch ev.(type) {
		case group.Report:
			report.add(d)
		case group.Tick:
			tick.add(d)
		}
	}
	m.Run(m.Now + 10*time.Second)
	m.Observe = func(ev group.Event, d time.Duration) {
		if _, ok := ev.(group.Report); !ok {
			repair.add(d)
		}
	}
	m.Engines[0].Kill(5 * time.Second)
	m.Run(m.Now + 10*time.Second)
	for _, e := range m.Engines[len(m.Engines)-costDomain:] {
		e.Kill(5 * time.Second)
	}
	m.Run(m.Now + 20*time.Second)
	return report, tick, repair, nil
}

func plannerSlope(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "\ninstances\tgroups\tper report ns\tper tick us\tper event in repair us\tworst event us\t% of a core at 4 polls and 4 ticks a second\t")
	var first, last float64
	sizes := []int{1, 10, 40, 146}
	for n, domains := range sizes {
		report, tick, repair, err := plannerCost(domains)
		if err != nil {
			return err
		}
		instances := domains * costDomain
		busy := 4*float64(instances)*report.mean() + 4*tick.mean()
		_, _ = fmt.Fprintf(t, "%d\t%d\t%.0f\t%.1f\t%.1f\t%.0f\t%.3f\t\n", instances, domains*costGroups,
			report.mean(), tick.mean()/1e3, repair.mean()/1e3, float64(repair.worst.Microseconds()), busy/1e7)
		if n == 0 {
			first = tick.mean()
		}
		last = tick.mean()
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write planner table")
	}
	span := float64((sizes[len(sizes)-1] - sizes[0]) * costDomain)
	_, err := fmt.Fprintf(w, "slope per tick: %.1f ns per instance\n", (last-first)/span)
	return errors.Wrap(err, "write planner slope")
}

// leaseMesh runs lease machines of many entries on one service.
type leaseMesh struct {
	now           time.Duration
	nodes         []*lease.Machine
	dead          []bool
	rows          map[infra.RowKey]infra.Row
	version       uint64
	events        eventHeap
	order         uint64
	reads, writes int
	conflicts     int
}

const leaseService = ident.ServiceName("quotes")

func newLeaseMesh(nodes int) *leaseMesh {
	m := &leaseMesh{rows: make(map[infra.RowKey]infra.Row), dead: make([]bool, nodes)}
	ids := make([]ident.InstanceID, nodes)
	for i := range ids {
		ids[i] = ident.InstanceID(fmt.Sprintf("entry-%03d", i))
	}
	for i, id := range ids {
		n := lease.New(lease.DefaultConfig(), lease.Identity{Instance: id, Incarnation: "1"}, leaseService)
		m.nodes = append(m.nodes, n)
		rank := lease.Rank(leaseService, id, ids)
		start := time.Duration(i%100) * time.Millisecond
		m.at(start, func() { m.step(i, lease.RankChanged{Rank: rank}) })
		m.tick(start, i)
	}
	return m
}

func (m *leaseMesh) at(at time.Duration, run func()) {
	m.order++
	heap.Push(&m.events, modelEvent{at, m.order, run})
}

func (m *leaseMesh) tick(at time.Duration, i int) {
	m.at(at, func() {
		m.step(i, lease.Tick{})
		m.tick(at+modelTick, i)
	})
}

func (m *leaseMesh) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].at <= until {
		e, _ := heap.Pop(&m.events).(modelEvent)
		m.now = e.at
		e.run()
	}
	m.now = until
}

func (m *leaseMesh) step(i int, ev lease.Event) {
	if m.dead[i] {
		return
	}
	for _, a := range m.nodes[i].Step(m.now, ev) {
		switch a := a.(type) {
		case lease.ReadRows:
			// The two rows are two reads.
			m.reads += 2
			rows := lease.RowsRead{Lease: m.get(lease.Key(leaseService)), Epoch: m.get(lease.EpochKey(leaseService))}
			m.at(m.now+modelRTT, func() { m.step(i, rows) })
		case lease.WriteRows:
			ev := m.write(a)
			m.at(m.now+modelRTT, func() { m.step(i, ev) })
		}
	}
}

func (m *leaseMesh) get(k infra.RowKey) infra.Row {
	r := m.rows[k]
	r.RowKey = k
	return r
}

func (m *leaseMesh) write(a lease.WriteRows) lease.Written {
	m.writes++
	for _, c := range a.Txn.Conditions {
		if m.rows[c.RowKey].Version != c.Version {
			m.conflicts++
			return lease.Written{Attempt: a.Attempt, Outcome: infra.OutcomeConflict}
		}
	}
	m.version++
	for _, w := range a.Txn.Writes {
		m.rows[w.RowKey] = infra.Row{Version: m.version, Value: w.Value}
	}
	return lease.Written{Attempt: a.Attempt, Outcome: infra.OutcomeApplied, Version: m.version}
}

// holder returns the index of the holder, or -1.
func (m *leaseMesh) holder() int {
	for i, n := range m.nodes {
		if _, ok := n.Held(m.now); ok && !m.dead[i] {
			return i
		}
	}
	return -1
}

// leaseLoad measures reads and writes per service with 890 entries, and the
// time until another entry holds the lease of a dead one.
func leaseLoad(w io.Writer) error {
	const nodes, seconds = 890, 60
	m := newLeaseMesh(nodes)
	m.run(30 * time.Second)
	m.reads, m.writes = 0, 0
	m.run(m.now + seconds*time.Second)
	reads, writes := float64(m.reads)/seconds, float64(m.writes)/seconds
	old := m.holder()
	if old < 0 {
		return errors.New("no entry holds the lease")
	}
	m.dead[old] = true
	died := m.now
	for m.holder() < 0 && m.now < died+time.Minute {
		m.run(m.now + 10*time.Millisecond)
	}
	_, err := fmt.Fprintf(w, "\nleases with %d entries: %.2f writes/s and %.1f reads/s per service; for 100 services %.0f writes/s and %.0f reads/s\n"+
		"holder killed, still ranked first: next holder after %.1f s, %d conflicts in all\n",
		nodes, writes, reads, 100*writes, 100*reads, (m.now - died).Seconds(), m.conflicts)
	return errors.Wrap(err, "write lease load")
}
