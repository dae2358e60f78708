package machines

import (
	"sort"
	"time"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/trace"
)

const (
	// admissionSlots is the number of requests that run at a time: the capacity of
	// four groups.
	admissionSlots = 64
	// admissionBytes is the memory that one waiting request uses.
	admissionBytes = 4096
)

// Admission replays the fair queue of one service at one entry instance. A drain
// event halves the slots, like the loss of a data centre, and the end of the drain
// restores them. All accounts have the same weight.
type Admission struct {
	schedule schedule
	queue    *admission.Queue
	requests map[*admission.Waiter]*trace.Request
	arrived  map[*admission.Waiter]time.Duration
	slots    int
	// totalRunTime and startedCount yield the mean run time of a request.
	totalRunTime time.Duration
	startedCount int
	waits        map[ident.Account][]time.Duration
}

// Name implements trace.Machine.
func (a *Admission) Name() string { return "admission" }

// Start implements trace.Machine.
func (a *Admission) Start(trace.Header) error {
	*a = Admission{
		queue:    admission.NewQueue(admission.DefaultConfig()),
		requests: make(map[*admission.Waiter]*trace.Request),
		arrived:  make(map[*admission.Waiter]time.Duration),
		waits:    make(map[ident.Account][]time.Duration),
	}
	a.setSlots(admissionSlots)
	return nil
}

func (a *Admission) setSlots(n int) {
	a.slots = n
	a.queue.SetSlots(n)
}

// Step implements trace.Machine.
func (a *Admission) Step(now time.Duration, e *trace.Event) ([]trace.Decision, error) {
	out := a.schedule.runDue(now)
	switch e.Kind {
	case trace.KindDrain:
		a.setSlots(admissionSlots / 2)
		if e.Drain.Restored {
			a.setSlots(admissionSlots)
		}
		out = append(out, a.recordRefusals(a.queue.Shed(now))...)
	case trace.KindRequest:
		r := e.Request
		w := &admission.Waiter{
			Account: r.Account, Weight: 1, Class: r.Class, Bytes: admissionBytes,
			Deadline: now + time.Duration(r.DeadlineMillis)*time.Millisecond,
		}
		a.requests[w], a.arrived[w] = r, now
		if refusal, refused := a.queue.Enqueue(now, w); refused {
			out = append(out, a.recordRefusals([]admission.Refusal{refusal})...)
		}
	case trace.KindTick:
		out = append(out, a.recordRefusals(a.queue.Shed(now))...)
	}
	out = append(out, a.startRequests(now)...)
	if e.Kind == trace.KindAnswer {
		// An answer event in a trace requests a report of the waiting times so far.
		out = append(out, a.reportWaits()...)
	}
	return out, nil
}

// recordRefusals removes refused requests and returns a decision for each.
func (a *Admission) recordRefusals(refusals []admission.Refusal) []trace.Decision {
	out := make([]trace.Decision, 0, len(refusals))
	for _, r := range refusals {
		out = append(out, decide("refuse", string(r.Waiter.Account), "%s %s", a.requests[r.Waiter].ID, r.Reason))
		delete(a.requests, r.Waiter)
		delete(a.arrived, r.Waiter)
	}
	return out
}

// startRequests starts requests while slots are free and schedules their end.
func (a *Admission) startRequests(now time.Duration) []trace.Decision {
	var out []trace.Decision
	for a.queue.Running() < a.slots {
		w := a.queue.Next(now, func(*admission.Waiter) bool { return true })
		if w == nil {
			break
		}
		r := a.requests[w]
		a.waits[w.Account] = append(a.waits[w.Account], now-a.arrived[w])
		out = append(out, decide("start", string(w.Account), "%s class %s", r.ID, r.Class))
		if now > w.Deadline {
			out = append(out, decide(ActionViolation, r.ID, "started after its deadline"))
		}
		delete(a.requests, w)
		delete(a.arrived, w)
		duration := time.Duration(r.MaxTokens) * holdPerToken
		a.totalRunTime += duration
		a.startedCount++
		a.schedule.after(now, duration, func(now time.Duration) []trace.Decision {
			a.queue.Done(now, w)
			return a.startRequests(now)
		})
	}
	return out
}

// reportWaits returns the 95th percentile of the waiting times of each account, and
// a second entry when it exceeds a tenth of the mean run time of a request. These
// entries are measurements, not decisions of the queue.
func (a *Admission) reportWaits() []trace.Decision {
	accounts := make([]string, 0, len(a.waits))
	for account := range a.waits {
		accounts = append(accounts, string(account))
	}
	sort.Strings(accounts)
	var out []trace.Decision
	for _, account := range accounts {
		w := a.waits[ident.Account(account)]
		sort.Slice(w, func(i, j int) bool { return w[i] < w[j] })
		p95 := w[len(w)*95/100]
		out = append(out, decide("p95-wait", account, "%s", p95.Round(time.Millisecond)))
		if p95 > a.totalRunTime/time.Duration(a.startedCount)/10 {
			out = append(out, decide("p95-over-tenth", account, "%s", p95.Round(time.Millisecond)))
		}
	}
	return out
}
