package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

func newWaiter(account ident.Account, c service.Class, deadline time.Duration) *Waiter {
	return &Waiter{Account: account, Weight: 1, Class: c, Bytes: 100, Deadline: deadline}
}

func startAny(*Waiter) bool { return true }

// newWarmQueue returns a queue that has measured a service time of one second.
func newWarmQueue(slots int) *Queue {
	q := NewQueue(Config{MaxWaiters: 100, MaxBytes: 1 << 20, StarvationLimit: 4})
	q.SetSlots(slots)
	q.Enqueue(0, newWaiter("warm-up", service.ClassInteractive, time.Hour))
	q.Done(time.Second, q.Next(0, startAny))
	return q
}

// Urgent requests start before batch requests, but batch requests do not starve.
func TestClassOrder(t *testing.T) {
	q := newWarmQueue(1)
	for range 20 {
		q.Enqueue(0, newWaiter("b", service.ClassBatch, time.Hour))
		q.Enqueue(0, newWaiter("a", service.ClassRush, time.Hour))
	}
	var got []service.Class
	for range 10 {
		got = append(got, q.Next(0, startAny).Class)
	}
	rush, batch := service.ClassRush, service.ClassBatch
	assert.DeepEqual(t, got, []service.Class{rush, rush, rush, rush, batch, rush, rush, rush, rush, batch})
}

// A request that cannot start before its deadline is refused at once, also if capacity is
// lost while it waits. Requests of the urgent class and of accounts with short queues are
// not refused.
func TestShed(t *testing.T) {
	q, now := newWarmQueue(10), time.Second
	for range 30 {
		q.Enqueue(now, newWaiter("hog", service.ClassBatch, now+5*time.Second))
	}
	for range 4 {
		_, refused := q.Enqueue(now, newWaiter("small", service.ClassBatch, now+5*time.Second))
		assert.Assert(t, !refused)
		_, refused = q.Enqueue(now, newWaiter("rusher", service.ClassRush, now+5*time.Second))
		assert.Assert(t, !refused)
	}
	assert.Equal(t, len(q.Shed(now)), 0)
	q.SetSlots(3) // loses 70% of the capacity
	shed := make(map[ident.Account]int)
	for _, r := range q.Shed(now) {
		shed[r.Waiter.Account]++
		assert.Equal(t, r.Reason, ReasonDeadline)
	}
	assert.Assert(t, shed["hog"] > 15, "shed requests by account: %v", shed)
	assert.Equal(t, shed["small"]+shed["rusher"], 0, "shed requests by account: %v", shed)
	r, refused := q.Enqueue(now, newWaiter("hog", service.ClassBatch, now+time.Second))
	assert.Assert(t, refused && r.RetryAfter > time.Second)
}

// The length of the queue is limited. A full queue refuses requests of the account with
// the longest queue, not of the others.
func TestFullQueue(t *testing.T) {
	q := newWarmQueue(1)
	for range 100 {
		q.Enqueue(0, newWaiter("hog", service.ClassInteractive, time.Hour))
	}
	r, refused := q.Enqueue(0, newWaiter("small", service.ClassInteractive, time.Hour))
	assert.Assert(t, refused && r.Reason == ReasonMemory)
	assert.Equal(t, r.Waiter.Account, ident.Account("hog"))
	assert.Equal(t, q.Len(), 100)
	assert.Assert(t, !q.Cancel(0, r.Waiter))
}

// The rate and concurrency of an account are limited, and refused requests do not count
// as in flight.
func TestLimiter(t *testing.T) {
	l, a := NewLimiter(), service.Account{Name: "a", RequestsPerSecond: 2, Burst: 3, Concurrency: 2}
	open := func(now time.Duration) Reason {
		r, _ := l.Acquire(now, a)
		return r.Reason
	}
	assert.Equal(t, open(0), Reason(""))
	assert.Equal(t, open(0), Reason(""))
	assert.Equal(t, open(0), ReasonConcurrency)
	l.Release("a")
	assert.Equal(t, open(0), Reason(""))
	l.Release("a")
	assert.Equal(t, open(0), ReasonRate)
	assert.Equal(t, open(500*time.Millisecond), Reason(""))
}

// An account can use its whole rate and concurrency over three entry instances, but not
// at each of them. The entry instance with little load keeps an equal share, so that the
// sum can exceed the limit by up to a third.
func TestSharedLimits(t *testing.T) {
	const ticks = 20_000 // of 1 ms; two entry instances get 200 requests/s, one 50/s
	run := func(a service.Account) (admitted, inFlight int) {
		entries, open := []*Limiter{NewLimiter(), NewLimiter(), NewLimiter()}, make([]int, 3)
		for ms := range ticks {
			now := time.Duration(ms) * time.Millisecond
			for i, every := range []int{5, 5, 20} {
				if ms%every == 0 {
					if _, refused := entries[i].Acquire(now, a); !refused {
						admitted++
						open[i]++
					}
				}
				if ms%50 == 0 && open[i] > 0 { // 20 requests end per second
					entries[i].Release("a")
					open[i]--
				}
				if ms%500 == 0 {
					exchangeRates(now, entries, i)
				}
			}
		}
		return admitted, open[0] + open[1] + open[2]
	}
	admitted, _ := run(service.Account{Name: "a", RequestsPerSecond: 40, Burst: 10})
	limit := 40 * ticks / 1000
	assert.Assert(t, admitted >= limit && admitted <= limit*4/3+30, "admitted %d requests, limit %d", admitted, limit)
	_, open := run(service.Account{Name: "a", Concurrency: 30})
	assert.Assert(t, open >= 30 && open <= 30*4/3, "%d requests in flight, limit 30", open)
}

// exchangeRates gives one limiter the rates of the others.
func exchangeRates(now time.Duration, entries []*Limiter, self int) {
	sum := 0.0
	for i, l := range entries {
		if i != self {
			l.Offered(now, func(_ ident.Account, perSecond float64) { sum += perSecond })
		}
	}
	entries[self].SetPeerRate("a", sum, len(entries))
}

// Retries are limited to a tenth of the first attempts.
func TestRetryBudget(t *testing.T) {
	b, retries := NewRetryBudget(), 0
	for range 10_000 {
		b.RecordFirstAttempt()
		if b.TakeRetry() {
			retries++
		}
	}
	assert.Assert(t, retries >= 1000 && retries <= 1000+maxRetryTokens, "%d retries", retries)
}
