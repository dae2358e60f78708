package machines

import (
	"container/heap"
	"sort"
	"time"

	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/trace"
)

const (
	// storeDelay is the duration of a store call, slowStoreDelay the duration while
	// the store is slow.
	storeDelay     = 5 * time.Millisecond
	slowStoreDelay = 1500 * time.Millisecond
)

// store models the platform's store. Events of the trace set its state: up, slow,
// down or lossy.
type store struct {
	rows    map[infra.RowKey]infra.Row
	version uint64
	state   trace.StoreState
}

func newStore() *store {
	return &store{rows: make(map[infra.RowKey]infra.Row), state: trace.StoreUp}
}

// callDelay returns the time until a call is answered.
func (s *store) callDelay() time.Duration {
	if s.state == trace.StoreSlow {
		return slowStoreDelay
	}
	return storeDelay
}

// txn applies a transaction immediately, unless the store is down or a condition
// does not hold. A lossy store applies it but returns an unknown outcome.
func (s *store) txn(t infra.Txn) (infra.Outcome, uint64, []infra.Row) {
	if s.state == trace.StoreDown {
		return infra.OutcomeNotApplied, 0, nil
	}
	var conflicts []infra.Row
	for _, c := range t.Conditions {
		if row := s.get(c.RowKey); row.Version != c.Version {
			conflicts = append(conflicts, row)
		}
	}
	if conflicts != nil {
		return infra.OutcomeConflict, 0, conflicts
	}
	s.version++
	for _, w := range t.Writes {
		if w.Delete {
			delete(s.rows, w.RowKey)
			continue
		}
		s.rows[w.RowKey] = infra.Row{RowKey: w.RowKey, Version: s.version, Value: w.Value}
	}
	if s.state == trace.StoreLossy {
		return infra.OutcomeUnknown, 0, nil
	}
	return infra.OutcomeApplied, s.version, nil
}

// get returns a row, with version 0 if it does not exist.
func (s *store) get(key infra.RowKey) infra.Row {
	if row, ok := s.rows[key]; ok {
		return row
	}
	return infra.Row{RowKey: key}
}

// scan returns the rows of a table in key order.
func (s *store) scan(table string) []infra.Row {
	var out []infra.Row
	for k, row := range s.rows {
		if k.Table == table {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(a, b int) bool { return out[a].Key < out[b].Key })
	return out
}

// task is a function to run at a point in the trace's time.
type task struct {
	dueAt time.Duration
	seq   int
	run   func(now time.Duration) []trace.Decision
}

// taskHeap orders tasks by due time, then by the order in which they were added.
type taskHeap []task

func (h taskHeap) Len() int { return len(h) }
func (h taskHeap) Less(a, b int) bool {
	return h[a].dueAt < h[b].dueAt || (h[a].dueAt == h[b].dueAt && h[a].seq < h[b].seq)
}
func (h taskHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *taskHeap) Push(x any)   { *h = append(*h, x.(task)) }
func (h *taskHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// schedule runs tasks by the timestamps of the trace. A task that becomes due between
// two events of the trace runs at the second one.
type schedule struct {
	tasks taskHeap
	seq   int
}

// after schedules run to be called d after now.
func (s *schedule) after(now, d time.Duration, run func(now time.Duration) []trace.Decision) {
	s.seq++
	heap.Push(&s.tasks, task{dueAt: now + d, seq: s.seq, run: run})
}

// runDue runs the tasks that are due and returns their decisions.
func (s *schedule) runDue(now time.Duration) []trace.Decision {
	var out []trace.Decision
	for len(s.tasks) > 0 && s.tasks[0].dueAt <= now {
		out = append(out, heap.Pop(&s.tasks).(task).run(now)...)
	}
	return out
}
