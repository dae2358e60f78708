package gateway

import (
	"time"
)

// detectPause updates lastRunAt. After a pause of this process, it gives the
// credit owner time to answer.
func (s *scheduler) detectPause(now time.Duration) {
	if now-s.lastRunAt >= pauseGap {
		s.creditReplyExpectedSince = now
	}
	s.lastRunAt = now
}

// outOfCredits reports whether no credits are left and none can be expected soon.
// Callers should then use another entry instance.
func (s *scheduler) outOfCredits(now time.Duration) bool {
	if now-s.creditReplyExpectedSince < ownerChangeDuration {
		return false
	}
	for i := range s.targets {
		if s.holder.HasAllocation(now, s.targets[i].backend, true) {
			return false
		}
	}
	return true
}

func (s *scheduler) outOfCreditsProblem() error {
	return ProblemNoCapacity.WithDetail("this entry instance has no credits of service %q and cannot get any: use another address", s.name).WithRetryAfter(time.Second)
}

// refuseWaiting refuses all queued requests except streams that resume.
func (s *scheduler) refuseWaiting(now time.Duration) {
	for w, pr := range s.waiting {
		if !answerStarted(pr.request) && s.queue.Cancel(now, w) {
			s.removeWaiting(w).result <- acquireResult{err: s.outOfCreditsProblem()}
		}
	}
}
