package admission

import (
	"math"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the judgement whether an account is above its share.
const (
	// loadWindow is the time over which an account's load is smoothed. It is
	// several service times, because a share is a few slots only and random
	// arrivals exceed it for short times.
	loadWindow = 10 * time.Second
	// aboveFactor is how far the smoothed load exceeds the share.
	aboveFactor = 1.25
	// activeLoad is the smoothed load below which an account is not active.
	activeLoad = 0.01
)

// account is the load of one client account over all classes.
type account struct {
	name   ident.Account
	weight float64
	// open is the number of waiting and running requests, load its smoothed
	// value.
	open  int
	load  float64
	since time.Duration
	above bool
}

func (q *Queue) account(w *Waiter) *account {
	for _, a := range q.accounts {
		if a.name == w.Account {
			a.weight = float64(max(1, w.Weight))
			return a
		}
	}
	a := &account{name: w.Account, weight: float64(max(1, w.Weight))}
	q.accounts = append(q.accounts, a)
	return a
}

// smooth brings the load up to date.
func (a *account) smooth(now time.Duration) {
	if part := float64(now-a.since) / float64(loadWindow); part > 0 {
		a.load += min(1, part) * (float64(a.open) - a.load)
		a.since = now
	}
}

// change counts an opened or ended request.
func (a *account) change(now time.Duration, by int) {
	a.smooth(now)
	a.open += by
}

// judge finds the accounts above their share of the slots among the active
// accounts. An account alone is never above its share.
func (q *Queue) judge(now time.Duration) {
	if now == q.judged && now != 0 {
		return
	}
	q.judged = now
	weights := 0.0
	for _, a := range q.accounts {
		a.smooth(now)
		if a.load > activeLoad {
			weights += a.weight
		}
	}
	for _, a := range q.accounts {
		share := float64(q.slots) * a.weight / max(weights, a.weight)
		a.above = a.weight < weights && a.load > aboveFactor*share
	}
}

// headroom is the number of slots that accounts above their share leave free.
// The others' random bursts grow with the square root of the slots.
func (q *Queue) headroom() int { return int(q.cfg.Headroom * math.Sqrt(float64(q.slots))) }
