package machines

import (
	"sort"
	"time"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/trace"
)

const (
	// admissionSlots is the number of requests that run at a time, as many as
	// four groups bear.
	admissionSlots = 64
	// admissionBytes is the memory that one waiting request holds.
	admissionBytes = 4096
)

// Admission replays the fair queue of one service at one entry. A drain event
// halves the slots, as the loss of a data centre does, and its end restores
// them. All accounts have the same weight.
type Admission struct {
	schedule schedule
	queue    *admission.Queue
	calls    map[*admission.Waiter]*trace.Request
	arrived  map[*admission.Waiter]time.Duration
	slots    int
	// total and count give the mean time that a request ran.
	total time.Duration
	count int
	waits map[ident.Account][]time.Duration
}

// Name implements trace.Machine.
func (a *Admission) Name() string { return "admission" }

// Start implements trace.Machine.
func (a *Admission) Start(trace.Header) error {
	*a = Admission{
		queue:   admission.NewQueue(admission.DefaultConfig()),
		calls:   make(map[*admission.Waiter]*trace.Request),
		arrived: make(map[*admission.Waiter]time.Duration),
		waits:   make(map[ident.Account][]time.Duration),
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
	out := a.schedule.due(now)
	switch e.Kind {
	case trace.KindDrain:
		a.setSlots(admissionSlots / 2)
		if e.Drain.Restored {
			a.setSlots(admissionSlots)
		}
		out = append(out, a.refuse(a.queue.Shed(now))...)
	case trace.KindRequest:
		r := e.Request
		w := &admission.Waiter{
			Account: r.Account, Weight: 1, Class: r.Class, Bytes: admissionBytes,
			Deadline: now + time.Duration(r.DeadlineMillis)*time.Millisecond,
		}
		a.calls[w], a.arrived[w] = r, now
		if refusal, refused := a.queue.Enqueue(now, w); refused {
			out = append(out, a.refuse([]admission.Refusal{refusal})...)
		}
	case trace.KindTick:
		out = append(out, a.refuse(a.queue.Shed(now))...)
	}
	out = append(out, a.start(now)...)
	if e.Kind == trace.KindAnswer {
		// An answer event of a trace asks for the waiting times so far.
		out = append(out, a.report()...)
	}
	return out, nil
}

func (a *Admission) refuse(refusals []admission.Refusal) []trace.Decision {
	out := make([]trace.Decision, 0, len(refusals))
	for _, r := range refusals {
		out = append(out, decide("refuse", string(r.Waiter.Account), "%s %s", a.calls[r.Waiter].ID, r.Reason))
		delete(a.calls, r.Waiter)
		delete(a.arrived, r.Waiter)
	}
	return out
}

// start starts requests while slots are free, and ends them in time.
func (a *Admission) start(now time.Duration) []trace.Decision {
	var out []trace.Decision
	for a.queue.Running() < a.slots {
		w := a.queue.Next(now, func(*admission.Waiter) bool { return true })
		if w == nil {
			break
		}
		r := a.calls[w]
		a.waits[w.Account] = append(a.waits[w.Account], now-a.arrived[w])
		out = append(out, decide("start", string(w.Account), "%s class %s", r.ID, r.Class))
		if now > w.Deadline {
			out = append(out, decide(ActionViolation, r.ID, "started after its deadline"))
		}
		delete(a.calls, w)
		delete(a.arrived, w)
		hold := time.Duration(r.MaxTokens) * holdPerToken
		a.total += hold
		a.count++
		a.schedule.after(now, hold, func(now time.Duration) []trace.Decision {
			a.queue.Done(now, w)
			return a.start(now)
		})
	}
	return out
}

// report decides nothing: it gives the 95th percentile of the waiting times of
// each account, and whether it adds more than a tenth to the mean time of a request.
func (a *Admission) report() []trace.Decision {
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
		if p95 > a.total/time.Duration(a.count)/10 {
			out = append(out, decide("p95-over-tenth", account, "%s", p95.Round(time.Millisecond)))
		}
	}
	return out
}
