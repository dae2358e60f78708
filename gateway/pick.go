package gateway

import (
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/admission"
)

// dispatch starts waiting requests in fair order while credits are free.
func (s *scheduler) dispatch(now time.Duration) {
	if s.queue.Len()+len(s.copyWaiters) == 0 {
		return
	}
	s.refusePaused(now, false)
	free := s.countFreeCredits(now)
	s.requeueCopyWaiters(now)
	for free && s.queue.Len() > 0 {
		var copyWaiter *pendingRequest
		started := s.queue.Next(now, func(w *admission.Waiter) bool {
			pr := s.waiting[w]
			if s.tryAcquire(now, pr) {
				return true
			}
			if pr.waitsAtCopies {
				copyWaiter = pr
			}
			return false
		})
		switch {
		case started == nil && copyWaiter == nil:
			return
		case copyWaiter != nil:
			s.moveToCopyWaiters(now, copyWaiter)
		}
	}
}

// countFreeCredits updates freeCredits and reports whether any target has a free
// credit.
func (s *scheduler) countFreeCredits(now time.Duration) bool {
	for i := range s.targets {
		t := &s.targets[i]
		s.freeCredits[i] = 0
		if t.usable(now) && s.limitAllows(now, t.backend) && !s.pauseRequested(now, t) && !s.pausedAfterFailure(now, t) && s.holder.Incarnation(t.backend) == t.incarnation() {
			s.freeCredits[i] = s.holder.FreeCredits(now, t.backend, true)
		}
	}
	return s.hideLeaving(now)
}

// tryAcquire acquires a credit for a request at the best target. A target without
// enough free tokens for the request is skipped.
func (s *scheduler) tryAcquire(now time.Duration, pr *pendingRequest) bool {
	pr.waitsAtCopies = false
	var hidden hiddenTargets
	defer hidden.restore(s.freeCredits)
	for i := range s.targets {
		if len(pr.excluded) > 0 && slices.Contains(pr.excluded, s.targets[i].backend) {
			hidden.hide(s.freeCredits, i)
		}
	}
	pr.route.FreeCredits = s.freeCredits
	s.tracing(now)
	pr.route.Fingerprint = s.copies.RendezvousFingerprint(pr.request.Fingerprint)
	if s.copies.KeepTogether(pr.request.Fingerprint) {
		if decided, started := s.acquireAtCopies(now, pr); decided {
			return started
		}
	}
	for range maxPicks {
		i := s.policy.Pick(now, s.table, &pr.route)
		if i < 0 {
			return false
		}
		c, err := s.holder.Acquire(now, s.targets[i].backend, pr.tokens, true)
		s.traceChoice(now, pr, i, err != nil)
		if err == nil {
			s.freeCredits[i]--
			s.grant(now, pr, i, c)
			return true
		}
		hidden.hide(s.freeCredits, i)
	}
	return false
}

// hiddenTargets records targets whose free credits are set to 0 while one request
// is placed, so that the policy skips them.
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
