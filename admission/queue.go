package admission

import (
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// serviceTimeWeight is the weight of a new sample of the service time.
const serviceTimeWeight = 0.05

// Waiter is one request in a queue.
type Waiter struct {
	Account ident.Account
	Weight  int
	Class   service.Class
	// Bytes is the memory that the request uses while it waits.
	Bytes    int
	Deadline time.Duration

	rank           int
	queued         bool
	chargedSeconds float64 // estimated service time, charged at the start
	startedAt      time.Duration
	running        bool
}

// flow is the queue of one account in one class.
type flow struct {
	*account
	// virtualTime is the service time in the class that the account was charged for,
	// divided by its weight, in seconds. After an idle time it continues at the class's
	// virtual time.
	virtualTime float64
	waiting     []*Waiter
	running     int
}

// classQueue holds the flows of one class.
type classQueue struct {
	flows []*flow
	// virtualTime is the largest virtual time at which a flow has started a request.
	virtualTime float64
	waiting     int
	// starts measures the rate at which requests of accounts within their share are
	// started. It reduces the rate that is available to lower classes.
	starts rateMeter
}

// Queue is the weighted fair queue of one service.
type Queue struct {
	cfg             Config
	classQueues     [len(classes)]classQueue
	accounts        []*account
	sharesUpdatedAt time.Duration
	waiters         int
	bytes           int
	slots           int
	running         int
	// serviceTime is the smoothed time that a request occupies its slot, in seconds.
	serviceTime float64
	// urgentStarts is the number of successive starts during which a less urgent class
	// waited.
	urgentStarts int
	candidates   []*flow // scratch space of nextInClass
}

// NewQueue returns an empty queue.
func NewQueue(cfg Config) *Queue { return &Queue{cfg: cfg} }

// SetSlots sets the number of requests that can run at the same time here. Estimates of
// waiting times use it at once.
func (q *Queue) SetSlots(n int) { q.slots = max(1, n) }

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return q.waiters }

// Running returns the number of started requests that have not ended.
func (q *Queue) Running() int { return q.running }

// Bytes returns the memory that the waiting requests use.
func (q *Queue) Bytes() int { return q.bytes }

// Enqueue adds a request to the queue. If a request has to be refused for it, Enqueue returns
// the refusal and true: of the offered request if it cannot start before its deadline, or
// of the last request of the longest queue if the limits of Config are exceeded. RetryAfter
// is derived from the estimated wait of the offered request in both cases.
func (q *Queue) Enqueue(now time.Duration, w *Waiter) (Refusal, bool) {
	w.rank = rank(w.Class)
	f := q.flow(w)
	q.updateShares(now)
	wait := q.estimateWait(now, w.rank, f, len(f.waiting))
	if now+wait > w.Deadline {
		return Refusal{w, ReasonDeadline, max(wait, minRetryAfter)}, true
	}
	w.queued = true
	f.addOpen(now, 1)
	f.waiting = append(f.waiting, w)
	q.classQueues[w.rank].waiting++
	q.waiters++
	q.bytes += w.Bytes
	if q.waiters <= q.cfg.MaxWaiters && q.bytes <= q.cfg.MaxBytes {
		return Refusal{}, false
	}
	evicted := q.evictionCandidate()
	q.drop(now, evicted)
	return Refusal{evicted, ReasonMemory, max(wait, minRetryAfter)}, true
}

// minRetryAfter is the minimum of Refusal.RetryAfter.
const minRetryAfter = time.Second

// flow returns the flow of a waiter's account and class, and creates it if needed. An
// account without requests in the class continues at the virtual time of the class, so
// that it gets no credit for the time that it was idle.
func (q *Queue) flow(w *Waiter) *flow {
	cq := &q.classQueues[w.rank]
	for _, f := range cq.flows {
		if f.name == w.Account {
			f.weight = float64(max(1, w.Weight))
			if len(f.waiting) == 0 && f.running == 0 {
				f.virtualTime = max(f.virtualTime, cq.virtualTime)
			}
			return f
		}
	}
	f := &flow{account: q.account(w), virtualTime: cq.virtualTime}
	cq.flows = append(cq.flows, f)
	return f
}

// evictionCandidate returns the last waiter of the flow that is longest relative to its
// weight, in the least urgent class that has waiters.
func (q *Queue) evictionCandidate() *Waiter {
	for rank := len(q.classQueues) - 1; rank >= 0; rank-- {
		var longest *flow
		for _, f := range q.classQueues[rank].flows {
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

// Cancel removes a waiting request. It returns false if the request was not waiting.
func (q *Queue) Cancel(now time.Duration, w *Waiter) bool {
	if !w.queued {
		return false
	}
	q.drop(now, w)
	return true
}

// drop removes a waiting request that will not be started.
func (q *Queue) drop(now time.Duration, w *Waiter) {
	q.remove(w)
	q.account(w).addOpen(now, -1)
}

// remove takes a waiting request out of its flow.
func (q *Queue) remove(w *Waiter) {
	cq := &q.classQueues[w.rank]
	for _, f := range cq.flows {
		if f.name != w.Account {
			continue
		}
		for i, other := range f.waiting {
			if other == w {
				f.waiting = append(f.waiting[:i], f.waiting[i+1:]...)
				w.queued = false
				cq.waiting--
				q.waiters--
				q.bytes -= w.Bytes
				return
			}
		}
	}
}

// Next starts one request and returns it: it calls try with the first waiter of each
// account in fair order until try returns true, which means that the request can start
// now. It returns nil if try returns true for none. Accounts within their share come
// first, whatever the class. Accounts above their share use the remaining slots except
// for the headroom: the slots that they leave free for the other accounts.
func (q *Queue) Next(now time.Duration, try func(*Waiter) bool) *Waiter {
	q.updateShares(now)
	if w := q.next(now, false, try); w != nil {
		return w
	}
	if h := q.headroom(); h > 0 && q.running >= q.slots-h {
		return nil
	}
	return q.next(now, true, try)
}

// next does the work of Next for the accounts above or within their share.
func (q *Queue) next(now time.Duration, aboveShare bool, try func(*Waiter) bool) *Waiter {
	first := q.starvedClass()
	for i := range q.classQueues {
		rank := i
		if first >= 0 {
			// The starved class comes first, the others in turn.
			rank = (first + i) % len(q.classQueues)
		}
		if w := q.nextInClass(now, rank, aboveShare, try); w != nil {
			q.countStart(now, rank, aboveShare)
			return w
		}
	}
	return nil
}

// starvedClass returns the least urgent waiting class if more urgent ones have started
// Config.StarvationLimit requests before it, or -1.
func (q *Queue) starvedClass() int {
	if q.urgentStarts < q.cfg.StarvationLimit {
		return -1
	}
	for rank := len(q.classQueues) - 1; rank > 0; rank-- {
		if q.classQueues[rank].waiting > 0 {
			return rank
		}
	}
	return -1
}

// countStart counts a start of a class, also toward the starvation limit if a less urgent
// class waits.
func (q *Queue) countStart(now time.Duration, rank int, aboveShare bool) {
	if !aboveShare {
		q.classQueues[rank].starts.add(now)
	}
	lower := 0
	for i := rank + 1; i < len(q.classQueues); i++ {
		lower += q.classQueues[i].waiting
	}
	if lower > 0 {
		q.urgentStarts++
	} else {
		q.urgentStarts = 0
	}
}

// nextInClass does the work of Next for one class.
func (q *Queue) nextInClass(now time.Duration, rank int, aboveShare bool, try func(*Waiter) bool) *Waiter {
	cq := &q.classQueues[rank]
	q.candidates = q.candidates[:0]
	for _, f := range cq.flows {
		if len(f.waiting) > 0 && f.aboveShare == aboveShare {
			q.candidates = append(q.candidates, f)
		}
	}
	for len(q.candidates) > 0 {
		best := 0
		for i, f := range q.candidates {
			if f.virtualTime < q.candidates[best].virtualTime {
				best = i
			}
		}
		f := q.candidates[best]
		if w := f.waiting[0]; try(w) {
			q.start(now, cq, f, w)
			return w
		}
		q.candidates[best] = q.candidates[len(q.candidates)-1]
		q.candidates = q.candidates[:len(q.candidates)-1]
	}
	return nil
}

// start marks a request as running and charges its account for the expected service time.
func (q *Queue) start(now time.Duration, cq *classQueue, f *flow, w *Waiter) {
	q.remove(w)
	cq.virtualTime = max(cq.virtualTime, f.virtualTime)
	w.chargedSeconds = max(q.serviceTime, minCharge)
	f.virtualTime += w.chargedSeconds / f.weight
	f.running++
	q.running++
	w.startedAt, w.running = now, true
}

// minCharge is the minimum charge for a start, in seconds. It applies before the first
// service time has been measured.
const minCharge = 0.001

// Done ends a started request and corrects the charge of its account to the time that the
// request occupied its slot. A second call has no effect.
func (q *Queue) Done(now time.Duration, w *Waiter) {
	if !w.running {
		return
	}
	w.running = false
	q.running--
	elapsed := (now - w.startedAt).Seconds()
	if q.serviceTime == 0 {
		q.serviceTime = elapsed
	}
	q.serviceTime += serviceTimeWeight * (elapsed - q.serviceTime)
	for _, f := range q.classQueues[w.rank].flows {
		if f.name == w.Account {
			f.running--
			f.addOpen(now, -1)
			f.virtualTime += (elapsed - w.chargedSeconds) / f.weight
			return
		}
	}
}
