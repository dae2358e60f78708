package admission

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
)

func waiter(account ident.Account, c service.Class, deadline time.Duration) *Waiter {
	return &Waiter{Account: account, Weight: 1, Class: c, Bytes: 100, Deadline: deadline}
}

func anyStart(*Waiter) bool { return true }

// known returns a queue that has learned a service time of one second.
func known(slots int) *Queue {
	q := NewQueue(Config{MaxWaiters: 100, MaxBytes: 1 << 20, Guard: 4})
	q.SetSlots(slots)
	q.Enqueue(0, waiter("warm-up", service.ClassInteractive, time.Hour))
	q.Done(time.Second, q.Next(0, anyStart))
	return q
}

// TestClassOrder guards against an urgent request that waits behind batch, and
// against batch that never starts.
func TestClassOrder(t *testing.T) {
	q := known(1)
	for range 20 {
		q.Enqueue(0, waiter("b", service.ClassBatch, time.Hour))
		q.Enqueue(0, waiter("a", service.ClassRush, time.Hour))
	}
	var got []service.Class
	for range 10 {
		got = append(got, q.Next(0, anyStart).Class)
	}
	rush, batch := service.ClassRush, service.ClassBatch
	assert.DeepEqual(t, got, []service.Class{rush, rush, rush, rush, batch, rush, rush, rush, rush, batch})
}

// TestShed guards against requests that wait in vain: one that cannot start in
// time is refused at once, also when capacity is lost while it waits, and the
// urgent class and short queues keep their place.
func TestShed(t *testing.T) {
	q, now := known(10), time.Second
	for range 30 {
		q.Enqueue(now, waiter("hog", service.ClassBatch, now+5*time.Second))
	}
	for range 4 {
		_, refused := q.Enqueue(now, waiter("small", service.ClassBatch, now+5*time.Second))
		assert.Assert(t, !refused)
		_, refused = q.Enqueue(now, waiter("rusher", service.ClassRush, now+5*time.Second))
		assert.Assert(t, !refused)
	}
	assert.Equal(t, len(q.Shed(now)), 0)
	q.SetSlots(3) // two thirds of the capacity are lost
	lost := make(map[ident.Account]int)
	for _, r := range q.Shed(now) {
		lost[r.Waiter.Account]++
		assert.Equal(t, r.Reason, ReasonDeadline)
	}
	assert.Assert(t, lost["hog"] > 15, "shed %v", lost)
	assert.Equal(t, lost["small"]+lost["rusher"], 0, "shed %v", lost)
	r, refused := q.Enqueue(now, waiter("hog", service.ClassBatch, now+time.Second))
	assert.Assert(t, refused && r.RetryAfter > time.Second)
}

// TestMemory guards against unbounded queues, and against a full queue that
// refuses accounts with short queues.
func TestMemory(t *testing.T) {
	q := known(1)
	for range 100 {
		q.Enqueue(0, waiter("hog", service.ClassInteractive, time.Hour))
	}
	r, refused := q.Enqueue(0, waiter("small", service.ClassInteractive, time.Hour))
	assert.Assert(t, refused && r.Reason == ReasonMemory)
	assert.Equal(t, r.Waiter.Account, ident.Account("hog"))
	assert.Equal(t, q.Len(), 100)
	assert.Assert(t, !q.Cancel(0, r.Waiter))
}

// TestLimiter guards against accounts past their rate or concurrency, and
// against slots that are lost with refused requests.
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

// TestSharedLimits guards against an account that gets its whole rate or
// concurrency at each of three entry instances, or that cannot use its limits.
// The one with little load keeps an equal part, so that the sum can exceed the
// limit by up to a third.
func TestSharedLimits(t *testing.T) {
	const ticks = 20_000 // of 1 ms; two entry instances are offered 200/s, one 50/s
	run := func(a service.Account) (opened, atEnd int) {
		entries, open := []*Limiter{NewLimiter(), NewLimiter(), NewLimiter()}, make([]int, 3)
		for ms := range ticks {
			now := time.Duration(ms) * time.Millisecond
			for i, every := range []int{5, 5, 20} {
				if ms%every == 0 {
					if _, refused := entries[i].Acquire(now, a); !refused {
						opened++
						open[i]++
					}
				}
				if ms%50 == 0 && open[i] > 0 { // 20 requests end per second
					entries[i].Release("a")
					open[i]--
				}
				if ms%500 == 0 {
					exchange(now, entries, i)
				}
			}
		}
		return opened, open[0] + open[1] + open[2]
	}
	opened, _ := run(service.Account{Name: "a", RequestsPerSecond: 40, Burst: 10})
	limit := 40 * ticks / 1000
	assert.Assert(t, opened >= limit && opened <= limit*4/3+30, "opened %d requests, limit %d", opened, limit)
	_, open := run(service.Account{Name: "a", Concurrency: 30})
	assert.Assert(t, open >= 30 && open <= 30*4/3, "%d requests open, limit 30", open)
}

// exchange tells one limiter what the others do.
func exchange(now time.Duration, entries []*Limiter, self int) {
	sum := 0.0
	for i, l := range entries {
		if i != self {
			l.Offered(now, func(_ ident.Account, perSecond float64) { sum += perSecond })
		}
	}
	entries[self].SetPeerRate("a", sum, len(entries))
}

// TestRetryBudget guards against retries past a tenth of first attempts.
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
