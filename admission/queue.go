package admission

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// smoothing is the weight of a new sample of the service time.
const smoothing = 0.05

// Waiter is one request in a queue.
type Waiter struct {
	Account ident.Account
	Weight  int
	Class   service.Class
	// Bytes is the memory that the request holds while it waits.
	Bytes    int
	Deadline time.Duration

	rank    int
	queued  bool
	charged float64 // estimated cost in seconds
	started time.Duration
	running bool
}

// flow is the queue of one account in one class.
type flow struct {
	*account
	// virtual is the account's service in the class, in seconds per weight.
	virtual float64
	waiting []*Waiter
	running int
}

// lane holds the flows of one class.
type lane struct {
	flows   []*flow
	virtual float64
	waiting int
	// starts counts recent starts of accounts within their share, for the rate
	// that lower classes can count on.
	starts rateMeter
}

// Queue is the weighted fair queue of one service.
type Queue struct {
	cfg      Config
	lanes    [len(classes)]lane
	accounts []*account
	judged   time.Duration
	waiters  int
	bytes    int
	slots    int
	running  int
	// service is the smoothed time that a request holds its slot, in seconds.
	service float64
	// passed counts starts of more urgent classes while a lower one waited.
	passed int
	order  []*flow // scratch
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue { return &Queue{cfg: cfg} }

// SetSlots tells how many requests can run at a time here. The estimate of
// waiting times follows at once.
func (q *Queue) SetSlots(n int) { q.slots = max(1, n) }

// Len is the number of waiting requests.
func (q *Queue) Len() int { return q.waiters }

// Running is the number of started requests.
func (q *Queue) Running() int { return q.running }

// Bytes is the memory that waiting requests hold.
func (q *Queue) Bytes() int { return q.bytes }

// Enqueue queues a request. It returns the request that is refused instead: the
// offered one when it cannot start in time, or one of an account with a longer
// queue when the memory is full.
func (q *Queue) Enqueue(now time.Duration, w *Waiter) (Refusal, bool) {
	w.rank = rank(w.Class)
	f := q.flow(w)
	q.judge(now)
	wait := q.estimate(now, w.rank, f, len(f.waiting))
	if now+wait > w.Deadline {
		return Refusal{w, ReasonDeadline, max(wait, minRetryAfter)}, true
	}
	w.queued = true
	f.change(now, 1)
	f.waiting = append(f.waiting, w)
	q.lanes[w.rank].waiting++
	q.waiters++
	q.bytes += w.Bytes
	if q.waiters <= q.cfg.MaxWaiters && q.bytes <= q.cfg.MaxBytes {
		return Refusal{}, false
	}
	victim := q.victim()
	q.drop(now, victim)
	return Refusal{victim, ReasonMemory, max(wait, minRetryAfter)}, true
}

// minRetryAfter is the shortest wait that a refused caller is asked for.
const minRetryAfter = time.Second

// flow returns the flow of a waiter's account. An account that returns from
// idleness starts at the class's virtual time: it gets no credit for the past.
func (q *Queue) flow(w *Waiter) *flow {
	l := &q.lanes[w.rank]
	for _, f := range l.flows {
		if f.name == w.Account {
			f.weight = float64(max(1, w.Weight))
			if len(f.waiting) == 0 && f.running == 0 {
				f.virtual = max(f.virtual, l.virtual)
			}
			return f
		}
	}
	f := &flow{account: q.account(w), virtual: l.virtual}
	l.flows = append(l.flows, f)
	return f
}

// victim is the last waiter of the longest queue by weight in the least urgent
// class that waits.
func (q *Queue) victim() *Waiter {
	for r := len(q.lanes) - 1; r >= 0; r-- {
		var longest *flow
		for _, f := range q.lanes[r].flows {
			if len(f.waiting) > 0 && (longest == nil || float64(len(f.waiting))/f.weight > float64(len(longest.waiting))/longest.weight) {
				longest = f
			}
		}
		if longest != nil {
			return longest.waiting[len(longest.waiting)-1]
		}
	}
	return nil
}

// Cancel removes a waiting request. It reports whether it still waited.
func (q *Queue) Cancel(now time.Duration, w *Waiter) bool {
	if !w.queued {
		return false
	}
	q.drop(now, w)
	return true
}

// drop removes a request that will not start.
func (q *Queue) drop(now time.Duration, w *Waiter) {
	q.remove(w)
	q.account(w).change(now, -1)
}

func (q *Queue) remove(w *Waiter) {
	l := &q.lanes[w.rank]
	for _, f := range l.flows {
		if f.name != w.Account {
			continue
		}
		for i, have := range f.waiting {
			if have == w {
				f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
				w.queued = false
				l.waiting--
				q.waiters--
				q.bytes -= w.Bytes
				return
			}
		}
	}
}

// Next starts one request: it calls try for the first waiter of each account in
// fair order until one succeeds. It returns nil when none did. Accounts within
// their share go first, whatever the class; accounts above it use what is left
// but for the headroom.
func (q *Queue) Next(now time.Duration, try func(*Waiter) bool) *Waiter {
	q.judge(now)
	if w := q.next(now, false, try); w != nil {
		return w
	}
	if h := q.headroom(); h > 0 && q.running >= q.slots-h {
		return nil
	}
	return q.next(now, true, try)
}

func (q *Queue) next(now time.Duration, above bool, try func(*Waiter) bool) *Waiter {
	first := q.guarded()
	for i := range q.lanes {
		r := i
		if first >= 0 {
			// The guarded class goes first, the others keep their order.
			r = (first + i) % len(q.lanes)
		}
		if w := q.nextIn(now, r, above, try); w != nil {
			q.count(now, r, above)
			return w
		}
	}
	return nil
}

// guarded is the lower class whose turn it is, or -1.
func (q *Queue) guarded() int {
	if q.passed < q.cfg.Guard {
		return -1
	}
	for r := len(q.lanes) - 1; r > 0; r-- {
		if q.lanes[r].waiting > 0 {
			return r
		}
	}
	return -1
}

// count keeps the guard: it grows while a lower class waits behind a start.
func (q *Queue) count(now time.Duration, r int, above bool) {
	if !above {
		q.lanes[r].starts.add(now)
	}
	lower := 0
	for i := r + 1; i < len(q.lanes); i++ {
		lower += q.lanes[i].waiting
	}
	if lower > 0 {
		q.passed++
	} else {
		q.passed = 0
	}
}

func (q *Queue) nextIn(now time.Duration, r int, above bool, try func(*Waiter) bool) *Waiter {
	l := &q.lanes[r]
	q.order = q.order[:0]
	for _, f := range l.flows {
		if len(f.waiting) > 0 && f.above == above {
			q.order = append(q.order, f)
		}
	}
	for len(q.order) > 0 {
		best := 0
		for i, f := range q.order {
			if f.virtual < q.order[best].virtual {
				best = i
			}
		}
		f := q.order[best]
		if w := f.waiting[0]; try(w) {
			q.start(now, l, f, w)
			return w
		}
		q.order[best] = q.order[len(q.order)-1]
		q.order = q.order[:len(q.order)-1]
	}
	return nil
}

func (q *Queue) start(now time.Duration, l *lane, f *flow, w *Waiter) {
	q.remove(w)
	l.virtual = max(l.virtual, f.virtual)
	w.charged = max(q.service, minCharge)
	f.virtual += w.charged / f.weight
	f.running++
	q.running++
	w.started, w.running = now, true
}

// minCharge is charged for a start while no service time is known, in seconds.
const minCharge = 0.001

// Done ends a started request and charges its account for the time that it
// held its slot. A second call has no effect.
func (q *Queue) Done(now time.Duration, w *Waiter) {
	if !w.running {
		return
	}
	w.running = false
	q.running--
	held := (now - w.started).Seconds()
	if q.service == 0 {
		q.service = held
	}
	q.service += smoothing * (held - q.service)
	for _, f := range q.lanes[w.rank].flows {
		if f.name == w.Account {
			f.running--
			f.change(now, -1)
			f.virtual += (held - w.charged) / f.weight
			return
		}
	}
}
