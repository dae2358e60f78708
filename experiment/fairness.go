package experiment

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

// fairLoad describes the queue and the offered load of a run of the fairness model.
type fairLoad struct {
	queue admission.Config
	// fifo replaces the fair queue by a FIFO queue.
	fifo bool
	// slots is the capacity at an entry instance. A third of it is lost at
	// capacityLossAt; 0 means never.
	slots          int
	capacityLossAt time.Duration
	// firstAccountFactor is the first account's offered load as a multiple of its share.
	firstAccountFactor float64
	// otherAccountsFactor is the offered load of each other account as a multiple of
	// its share; 0 means fairOfferedFactor.
	otherAccountsFactor float64
	duration            time.Duration
	seed                uint64
}

// Parameters of the fairness model. Each of ten accounts of equal weight offers
// seven tenths of its share. A request occupies a slot for its prefill time and then
// for an exponentially distributed decode time.
const (
	fairAccounts      = 10
	fairOfferedFactor = 0.7
	fairDecodeTime    = time.Second
	fairPrefillTime   = 100 * time.Millisecond
	fairDeadline      = 5 * time.Second
)

// fairRequest is one request of the model.
type fairRequest struct {
	waiter    *admission.Waiter
	arrivedAt time.Duration
	prefill   time.Duration
	decode    time.Duration
}

// fairResult holds the measured times and the numbers of started and refused requests.
// firstToken, by class, and wholeAnswer leave out the first account.
type fairResult struct {
	firstToken             map[service.Class][]time.Duration
	wholeAnswer            []time.Duration
	firstAccountFirstToken []time.Duration
	refused                map[service.Class]int
	firstAccountRefused    int
	started                map[service.Class]int
}

// timedCall is a scheduled event of a queueing model; seq breaks ties.
type timedCall struct {
	due time.Duration
	seq int
	fn  func()
}

// callClock is a simulated clock that runs events in order of time.
type callClock struct {
	now    time.Duration
	seq    int
	events []timedCall
}

func (c *callClock) Len() int { return len(c.events) }
func (c *callClock) Less(i, j int) bool {
	a, b := c.events[i], c.events[j]
	return a.due < b.due || a.due == b.due && a.seq < b.seq
}
func (c *callClock) Swap(i, j int) { c.events[i], c.events[j] = c.events[j], c.events[i] }
func (c *callClock) Push(x any)    { c.events = append(c.events, x.(timedCall)) }
func (c *callClock) Pop() any {
	e := c.events[len(c.events)-1]
	c.events = c.events[:len(c.events)-1]
	return e
}

func (c *callClock) after(d time.Duration, fn func()) {
	c.seq++
	heap.Push(c, timedCall{c.now + d, c.seq, fn})
}

func (c *callClock) run(until time.Duration) {
	for len(c.events) > 0 && c.events[0].due <= until {
		e := heap.Pop(c).(timedCall)
		c.now = e.due
		e.fn()
	}
}

// fairModel simulates one entry instance with a number of slots.
type fairModel struct {
	callClock
	load    fairLoad
	rand    *rand.Rand
	queue   *admission.Queue
	fifo    []*fairRequest
	slots   int
	running int
	waiting map[*admission.Waiter]*fairRequest
	result  fairResult
}

// runFairness runs the model for the duration of a load.
func runFairness(load fairLoad) fairResult {
	m := &fairModel{
		load: load, slots: load.slots, rand: rand.New(rand.NewPCG(load.seed, 1)),
		queue: admission.NewQueue(load.queue), waiting: make(map[*admission.Waiter]*fairRequest),
		result: fairResult{
			firstToken: make(map[service.Class][]time.Duration),
			refused:    make(map[service.Class]int), started: make(map[service.Class]int),
		},
	}
	m.queue.SetSlots(m.slots)
	for i := range fairAccounts {
		m.scheduleArrivals(i)
	}
	if load.capacityLossAt > 0 {
		m.after(load.capacityLossAt, func() {
			m.slots -= m.slots / 3
			m.queue.SetSlots(m.slots)
		})
	}
	m.scheduleShed()
	m.run(load.duration)
	return m.result
}

// scheduleShed sheds requests from the queue every 50 ms, as the gateway does.
func (m *fairModel) scheduleShed() {
	m.after(50*time.Millisecond, func() {
		for _, r := range m.queue.Shed(m.now) {
			m.recordRefusal(r.Waiter)
		}
		m.startWaiting()
		m.scheduleShed()
	})
}

// scheduleArrivals schedules the requests of one account as a Poisson process.
func (m *fairModel) scheduleArrivals(i int) {
	factor := m.load.otherAccountsFactor
	if factor == 0 {
		factor = fairOfferedFactor
	}
	if i == 0 {
		factor = m.load.firstAccountFactor
	}
	rate := float64(m.load.slots) / fairAccounts * factor / fairDecodeTime.Seconds()
	m.after(time.Duration(m.rand.ExpFloat64()/rate*float64(time.Second)), func() {
		m.arrive(i)
		m.scheduleArrivals(i)
	})
}

func (m *fairModel) arrive(i int) {
	classes := [...]service.Class{
		service.ClassRush, service.ClassInteractive, service.ClassInteractive, service.ClassInteractive, service.ClassBatch,
	}
	r := &fairRequest{
		arrivedAt: m.now,
		prefill:   fairPrefillTime/2 + time.Duration(m.rand.Float64()*float64(fairPrefillTime)),
		decode:    time.Duration(m.rand.ExpFloat64() * float64(fairDecodeTime)),
		waiter: &admission.Waiter{
			Account: ident.Account(fmt.Sprint("account-", i)), Weight: 1, Class: classes[m.rand.IntN(len(classes))],
			Bytes: 1000, Deadline: m.now + fairDeadline,
		},
	}
	if m.load.fifo {
		m.fifo = append(m.fifo, r)
	} else {
		m.waiting[r.waiter] = r
		if refusal, refused := m.queue.Enqueue(m.now, r.waiter); refused {
			m.recordRefusal(refusal.Waiter)
		}
	}
	m.startWaiting()
}

func (m *fairModel) recordRefusal(w *admission.Waiter) {
	delete(m.waiting, w)
	m.result.refused[w.Class]++
	if w.Account == "account-0" {
		m.result.firstAccountRefused++
	}
}

func (m *fairModel) startWaiting() {
	for m.running < m.slots {
		var r *fairRequest
		if m.load.fifo {
			if len(m.fifo) == 0 {
				return
			}
			r, m.fifo = m.fifo[0], m.fifo[1:]
		} else {
			w := m.queue.Next(m.now, func(*admission.Waiter) bool { return true })
			if w == nil {
				return
			}
			r = m.waiting[w]
			delete(m.waiting, w)
		}
		m.serve(r)
	}
}

func (m *fairModel) serve(r *fairRequest) {
	m.running++
	m.result.started[r.waiter.Class]++
	first := m.now - r.arrivedAt + r.prefill
	if r.waiter.Account == "account-0" {
		m.result.firstAccountFirstToken = append(m.result.firstAccountFirstToken, first)
	} else {
		m.result.firstToken[r.waiter.Class] = append(m.result.firstToken[r.waiter.Class], first)
		m.result.wholeAnswer = append(m.result.wholeAnswer, m.now-r.arrivedAt+r.prefill+r.decode)
	}
	m.after(r.prefill+r.decode, func() {
		m.running--
		m.queue.Done(m.now, r.waiter)
		m.startWaiting()
	})
}

// percentile returns the percentile p of times, or 0 if there are none.
func percentile(times []time.Duration, p float64) time.Duration {
	if len(times) == 0 {
		return 0
	}
	sorted := slices.Clone(times)
	slices.Sort(sorted)
	return sorted[min(len(sorted)-1, int(p/100*float64(len(sorted))))]
}
