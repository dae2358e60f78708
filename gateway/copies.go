package gateway

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

const (
	// copyWait is how long a copy of a running request waits for a credit at a
	// target that runs other copies, before it may run elsewhere. A request that
	// crashes its backend server during the prefill has done so by then. A
	// harmless request still gets its first token within 0.36 s.
	copyWait = 100 * time.Millisecond
	// copyWaitDivisor limits the wait to this fraction of the time that is left
	// until the deadline: one fourth.
	copyWaitDivisor = 4
	// crashReportDelay is how long a copy still counts as running after it failed
	// to reach its backend server. If another copy has just crashed that backend
	// server, the entry instance that ran it reports the crash within this time.
	// Until then, copies must not start elsewhere.
	crashReportDelay = 20 * time.Millisecond
	// maxCopyWaiters limits the requests that wait outside the queue.
	maxCopyWaiters = 1024
)

// acquireAtCopies starts a request at a target that runs copies of it. It
// returns decided=false if the request may run elsewhere.
func (s *scheduler) acquireAtCopies(now time.Duration, pr *pendingRequest) (decided, started bool) {
	copyRuns := false
	for i := range s.targets {
		s.creditsAtCopies[i] = 0
		if s.runsCopy(now, pr, i) {
			copyRuns, s.creditsAtCopies[i] = true, s.freeCredits[i]
		}
	}
	pr.route.FreeCredits = s.creditsAtCopies
	defer func() { pr.route.FreeCredits = s.freeCredits }()
	for range maxPicks {
		i := s.policy.Pick(now, s.table, &pr.route)
		if i < 0 {
			break
		}
		c, err := s.holder.Acquire(now, s.targets[i].backend, pr.tokens, true)
		s.traceChoice(now, pr, i, err != nil)
		if err == nil {
			s.freeCredits[i]--
			s.grant(now, pr, i, c)
			return true, true
		}
		s.creditsAtCopies[i] = 0
	}
	if !copyRuns || len(s.copyWaiters) >= maxCopyWaiters {
		return false, false
	}
	if pr.copyWaitUntil == 0 {
		pr.copyWaitUntil = now + min(copyWait, max(0, pr.waiter.Deadline-now)/copyWaitDivisor)
	}
	pr.waitsAtCopies = now < pr.copyWaitUntil
	return pr.waitsAtCopies, false
}

// runsCopy reports whether a usable target runs a copy of the request. The target
// may be paused after a failed attempt; then its free credits are 0.
func (s *scheduler) runsCopy(now time.Duration, pr *pendingRequest, i int) bool {
	return s.targets[i].usable(now) && s.copies.RunsAt(pr.request.Fingerprint, ident.GroupID(s.targets[i].backend))
}

// moveToCopyWaiters removes a request from the queue, where it would block the
// other requests of its account.
func (s *scheduler) moveToCopyWaiters(now time.Duration, pr *pendingRequest) {
	s.queue.Cancel(now, pr.waiter)
	s.copyWaiters = append(s.copyWaiters, pr)
	s.balancer.counters.copyWaits.Inc(1)
	s.requestSync()
}

// requeueCopyWaiters returns requests to the queue if there is a free credit for
// them at a target that runs copies, or if they no longer need one.
func (s *scheduler) requeueCopyWaiters(now time.Duration) {
	if len(s.copyWaiters) == 0 {
		return
	}
	free := make(map[ident.Fingerprint]int)
	waiters := s.copyWaiters
	s.copyWaiters = nil
	for _, pr := range waiters {
		f := pr.request.Fingerprint
		if now < pr.copyWaitUntil && s.copies.KeepTogether(f) {
			if _, counted := free[f]; !counted {
				free[f] = s.countFreeCreditsAtCopies(now, pr)
			}
			if free[f]--; free[f] < 0 {
				s.copyWaiters = append(s.copyWaiters, pr)
				continue
			}
		}
		pr.waitsAtCopies = false
		if refusal, refused := s.queue.Enqueue(now, pr.waiter); refused {
			s.refuse(refusal)
		}
	}
}

// countFreeCreditsAtCopies counts the free credits at the targets that run copies
// of a request.
func (s *scheduler) countFreeCreditsAtCopies(now time.Duration, pr *pendingRequest) int {
	free := 0
	for i := range s.targets {
		if s.runsCopy(now, pr, i) {
			free += s.freeCredits[i]
		}
	}
	return free
}

// removeCopyWaiter removes a request from the copy waiters. It returns false if
// the request is not one of them.
func (s *scheduler) removeCopyWaiter(pr *pendingRequest) bool {
	i := slices.Index(s.copyWaiters, pr)
	if i >= 0 {
		s.copyWaiters = slices.Delete(s.copyWaiters, i, i+1)
	}
	return i >= 0
}

// copyWaiterDemand returns the demand of the copy waiters by target.
func (s *scheduler) copyWaiterDemand() map[credit.BackendID]credit.Amount {
	if len(s.copyWaiters) == 0 {
		return nil
	}
	out := make(map[credit.BackendID]credit.Amount)
	now := s.balancer.now()
	for _, pr := range s.copyWaiters {
		for i := range s.targets {
			if s.runsCopy(now, pr, i) {
				a := out[s.targets[i].backend]
				out[s.targets[i].backend] = credit.Amount{Requests: a.Requests + 1, Tokens: a.Tokens + pr.tokens}
				break
			}
		}
	}
	return out
}

// endCopy removes a copy from the tracked copies when its attempt ends.
func (s *scheduler) endCopy(p *permit, err error) {
	f, id := p.pending.request.Fingerprint, ident.GroupID(p.target.backend)
	if p.silent {
		s.copies.RecordStart(f, id)
	}
	switch {
	case errors.Is(err, engine.ErrNotSent), errors.Is(err, ErrBackendNotSent):
		time.AfterFunc(crashReportDelay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.copies.RecordEnd(f, id, false)
			s.dispatch(s.balancer.now())
		})
		return
	case errors.Is(err, engine.ErrConnectionFailed), errors.Is(err, ErrBackendOutcomeUnknown):
		s.copies.ForgetSuccess(f)
	}
	s.copies.RecordEnd(f, id, err == nil)
}
