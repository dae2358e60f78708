package gateway

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/admission"
)

// dispatch starts waiting requests in fair order while credits are free.
func (l *lane) dispatch(now time.Duration) {
	if l.queue.Len()+len(l.apart) == 0 {
		return
	}
	free := l.countFree(now)
	l.rejoin(now)
	for free && l.queue.Len() > 0 {
		var parted *ticket
		started := l.queue.Next(now, func(w *admission.Waiter) bool {
			t := l.waiting[w]
			if l.try(now, t) {
				return true
			}
			if t.apart {
				parted = t
			}
			return false
		})
		switch {
		case started == nil && parted == nil:
			return
		case parted != nil:
			l.part(now, parted)
		}
	}
}

// countFree reports whether any target has a free credit.
func (l *lane) countFree(now time.Duration) bool {
	found := false
	for i := range l.targets {
		t := &l.targets[i]
		l.free[i] = 0
		if t.usable(now) && !l.paused(now, t) && l.holder.Incarnation(t.backend) == t.incarnation() {
			l.free[i] = l.holder.FreeCredits(now, t.backend, true)
		}
		found = found || l.free[i] > 0
	}
	return found
}

// try takes a credit for a ticket at the best target that has one. A target
// that has credits but too few tokens is passed over for this ticket.
func (l *lane) try(now time.Duration, t *ticket) bool {
	t.apart = false
	var hidden hiddenTargets
	defer hidden.restore(l.free)
	for i := range l.targets {
		if len(t.excluded) > 0 && slices.Contains(t.excluded, l.targets[i].backend) {
			hidden.hide(l.free, i)
		}
	}
	t.route.FreeCredits = l.free
	l.traced(now)
	t.route.Fingerprint = l.copies.RendezvousFingerprint(t.request.Fingerprint)
	if l.copies.KeepTogether(t.request.Fingerprint) {
		if done, started := l.join(now, t); done {
			return started
		}
	}
	for range maxPicks {
		i := l.policy.Pick(now, l.table, &t.route)
		if i < 0 {
			return false
		}
		c, err := l.holder.Acquire(now, l.targets[i].backend, t.tokens, true)
		l.traceChoice(now, t, i, err != nil)
		if err == nil {
			l.free[i]--
			l.grant(now, t, i, c)
			return true
		}
		hidden.hide(l.free, i)
	}
	return false
}

// hiddenTargets are passed over for one ticket.
type hiddenTargets struct {
	count   int
	indices [maxPicks + maxAttempts]int
	free    [maxPicks + maxAttempts]int
}

func (h *hiddenTargets) hide(free []int, i int) {
	if h.count < len(h.indices) {
		h.indices[h.count], h.free[h.count] = i, free[i]
		h.count++
		free[i] = 0
	}
}

func (h *hiddenTargets) restore(free []int) {
	for n := h.count - 1; n >= 0; n-- {
		free[h.indices[n]] = h.free[n]
	}
}
