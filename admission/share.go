package admission

import (
	"math"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters that determine whether an account is above its share.
const (
	// loadWindow is the time over which an account's load is smoothed. It spans several
	// service times, because a share is only a few slots, which random arrivals exceed
	// for short times.
	loadWindow = 10 * time.Second
	// aboveShareFactor is the multiple of its share that the smoothed load of an
	// account has to exceed for the account to count as above its share.
	aboveShareFactor = 1.25
	// minActiveLoad is the smoothed load up to which an account is inactive.
	minActiveLoad = 0.01
)

// account is the load of one client account over all classes.
type account struct {
	name   ident.Account
	weight float64
	// openRequests is the number of waiting and running requests, smoothedLoad its
	// smoothed value.
	openRequests  int
	smoothedLoad  float64
	loadUpdatedAt time.Duration
	aboveShare    bool
}

// account returns the load of a waiter's account, and creates it if needed.
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

// updateLoad updates the smoothed load to the given time.
func (a *account) updateLoad(now time.Duration) {
	if elapsed := float64(now-a.loadUpdatedAt) / float64(loadWindow); elapsed > 0 {
		a.smoothedLoad += min(1, elapsed) * (float64(a.openRequests) - a.smoothedLoad)
		a.loadUpdatedAt = now
	}
}

// addOpen changes the number of open requests.
func (a *account) addOpen(now time.Duration, delta int) {
	a.updateLoad(now)
	a.openRequests += delta
}

// updateShares divides the slots among the active accounts by weight and determines
// which accounts are above their share. A single active account never is.
func (q *Queue) updateShares(now time.Duration) {
	if now == q.sharesUpdatedAt && now != 0 {
		return
	}
	q.sharesUpdatedAt = now
	weights := 0.0
	for _, a := range q.accounts {
		a.updateLoad(now)
		if a.smoothedLoad > minActiveLoad {
			weights += a.weight
		}
	}
	for _, a := range q.accounts {
		share := float64(q.slots) * a.weight / max(weights, a.weight)
		a.aboveShare = a.weight < weights && a.smoothedLoad > aboveShareFactor*share
	}
}

// headroom returns the number of slots that accounts above their share leave free. It
// grows with the square root of the slots, like the random bursts of the other accounts.
func (q *Queue) headroom() int { return int(q.cfg.Headroom * math.Sqrt(float64(q.slots))) }
