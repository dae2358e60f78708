package machines

import (
	"container/heap"
	"sort"
	"time"

	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/trace"
)

const (
	// storeDelay is the time of one store call, slowDelay while it is slow.
	storeDelay = 5 * time.Millisecond
	slowDelay  = 1500 * time.Millisecond
)

// store is the table as a trace says that it behaves.
type store struct {
	rows    map[infra.RowKey]infra.Row
	version uint64
	state   trace.StoreState
}

func newStore() *store {
	return &store{rows: make(map[infra.RowKey]infra.Row), state: trace.StoreUp}
}

// delay is the time until a call is answered.
func (s *store) delay() time.Duration {
	if s.state == trace.StoreSlow {
		return slowDelay
	}
	return storeDelay
}

// txn applies a transaction at once, unless the store is down.
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

// get returns a row; an absent one has version 0.
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

// later is work that is due at an instant.
type later struct {
	at  time.Duration
	seq int
	run func(now time.Duration) []trace.Decision
}

type laterHeap []later

func (h laterHeap) Len() int { return len(h) }
func (h laterHeap) Less(a, b int) bool {
	return h[a].at < h[b].at || (h[a].at == h[b].at && h[a].seq < h[b].seq)
}
func (h laterHeap) Swap(a, b int) { h[a], h[b] = h[b], h[a] }
func (h *laterHeap) Push(x any)   { *h = append(*h, x.(later)) }
func (h *laterHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	*h = old[:len(old)-1]
	return x
}

// schedule runs work in the trace's own time. Work that falls due between two
// events of the trace runs at the later one.
type schedule struct {
	heap laterHeap
	seq  int
}

func (s *schedule) after(now, d time.Duration, run func(now time.Duration) []trace.Decision) {
	s.seq++
	heap.Push(&s.heap, later{at: now + d, seq: s.seq, run: run})
}

// due runs what is due.
func (s *schedule) due(now time.Duration) []trace.Decision {
	var out []trace.Decision
	for len(s.heap) > 0 && s.heap[0].at <= now {
		out = append(out, heap.Pop(&s.heap).(later).run(now)...)
	}
	return out
}
