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

// Layout of the planner cost measurement: domains of 50 instances with three groups
// of 16.
const (
	costDomainSize      = 50
	costGroupSize       = 16
	costGroupsPerDomain = 3
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

// measurePlanner measures the processor time of a planner for a number of domains:
// per report and per tick without failures, and per other event while first one
// instance and then a whole domain fail.
func measurePlanner(domains int) (report, tick, repair stepCost, err error) {
	doc := groupsDocument(0)
	doc.Replicas.InstancesPerReplica = costGroupSize
	doc.Replicas.Wanted = costGroupsPerDomain * domains
	doc.Replicas.Minimum = 1
	m := NewModel(ModelConfig{
		Document: doc, Planner: group.DefaultConfig(), Entries: 1,
		Domains: domains, InstancesPerDomain: costDomainSize, Accelerators: accelerators,
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
	for _, e := range m.Engines[len(m.Engines)-costDomainSize:] {
		e.Kill(5 * time.Second)
	}
	m.Run(m.Now + 20*time.Second)
	return report, tick, repair, nil
}

func measurePlannerScaling(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 4, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(t, "\ninstances\tgroups\tper report ns\tper tick us\tper event in repair us\tworst event us\t% of a core at 4 polls and 4 ticks a second\t")
	var first, last float64
	sizes := []int{1, 10, 40, 146}
	for n, domains := range sizes {
		report, tick, repair, err := measurePlanner(domains)
		if err != nil {
			return err
		}
		instances := domains * costDomainSize
		busy := 4*float64(instances)*report.mean() + 4*tick.mean()
		_, _ = fmt.Fprintf(t, "%d\t%d\t%.0f\t%.1f\t%.1f\t%.0f\t%.3f\t\n", instances, domains*costGroupsPerDomain,
			report.mean(), tick.mean()/1e3, repair.mean()/1e3, float64(repair.worst.Microseconds()), busy/1e7)
		if n == 0 {
			first = tick.mean()
		}
		last = tick.mean()
	}
	if err := t.Flush(); err != nil {
		return errors.Wrap(err, "write planner table")
	}
	span := float64((sizes[len(sizes)-1] - sizes[0]) * costDomainSize)
	_, err := fmt.Fprintf(w, "slope per tick: %.1f ns per instance\n", (last-first)/span)
	return errors.Wrap(err, "write planner slope")
}

// leaseMesh simulates the lease machines of many entry instances for one service,
// with one store.
type leaseMesh struct {
	now           time.Duration
	nodes         []*lease.Machine
	dead          []bool
	rows          map[infra.RowKey]infra.Row
	version       uint64
	events        eventHeap
	sequence      uint64
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
		m.schedule(start, func() { m.step(i, lease.RankChanged{Rank: rank}) })
		m.scheduleTick(start, i)
	}
	return m
}

func (m *leaseMesh) schedule(at time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, modelEvent{at, m.sequence, run})
}

func (m *leaseMesh) scheduleTick(at time.Duration, i int) {
	m.schedule(at, func() {
		m.step(i, lease.Tick{})
		m.scheduleTick(at+modelTickInterval, i)
	})
}

func (m *leaseMesh) run(until time.Duration) {
	for len(m.events) > 0 && m.events[0].due <= until {
		e, _ := heap.Pop(&m.events).(modelEvent)
		m.now = e.due
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
			// Each of the two rows is a read of its own.
			m.reads += 2
			rows := lease.RowsRead{Lease: m.readRow(lease.Key(leaseService)), Epoch: m.readRow(lease.EpochKey(leaseService))}
			m.schedule(m.now+modelRTT, func() { m.step(i, rows) })
		case lease.WriteRows:
			ev := m.applyTxn(a)
			m.schedule(m.now+modelRTT, func() { m.step(i, ev) })
		}
	}
}

func (m *leaseMesh) readRow(k infra.RowKey) infra.Row {
	r := m.rows[k]
	r.RowKey = k
	return r
}

func (m *leaseMesh) applyTxn(a lease.WriteRows) lease.Written {
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

// holder returns the index of the node that holds the lease, or -1.
func (m *leaseMesh) holder() int {
	for i, n := range m.nodes {
		if _, ok := n.Held(m.now); ok && !m.dead[i] {
			return i
		}
	}
	return -1
}

// measureLeaseLoad measures the store reads and writes per service with 890 entry
// instances, and the time until another one holds the lease after the holder fails.
func measureLeaseLoad(w io.Writer) error {
	const nodes, seconds = 890, 60
	m := newLeaseMesh(nodes)
	m.run(30 * time.Second)
	m.reads, m.writes = 0, 0
	m.run(m.now + seconds*time.Second)
	reads, writes := float64(m.reads)/seconds, float64(m.writes)/seconds
	failed := m.holder()
	if failed < 0 {
		return errors.New("no entry instance holds the lease")
	}
	m.dead[failed] = true
	died := m.now
	for m.holder() < 0 && m.now < died+time.Minute {
		m.run(m.now + 10*time.Millisecond)
	}
	_, err := fmt.Fprintf(w, "\nleases with %d entries: %.2f writes/s and %.1f reads/s per service; for 100 services %.0f writes/s and %.0f reads/s\n"+
		"holder killed, still ranked first: next holder after %.1f s, %d conflicts in all\n",
		nodes, writes, reads, 100*writes, 100*reads, (m.now - died).Seconds(), m.conflicts)
	return errors.Wrap(err, "write lease load")
}
