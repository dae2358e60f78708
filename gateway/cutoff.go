package gateway

import (
	"time"
)

// wake notes that the lane runs.
func (l *lane) wake(now time.Duration) {
	if now-l.awake >= pauseGap {
		l.granted = now
	}
	l.awake = now
}

// cutOff reports whether no credits are left and none are to be expected soon,
// so that callers do better at another entry instance.
func (l *lane) cutOff(now time.Duration) bool {
	if now-l.granted < ownerChangeTime {
		return false
	}
	for i := range l.targets {
		if l.holder.HasAllocation(now, l.targets[i].backend, true) {
			return false
		}
	}
	return true
}

func (l *lane) cutOffProblem() error {
	return ProblemNoCapacity.With("this entry instance has no credits of service %q and cannot get any: use another address", l.name).After(time.Second)
}

// refuseWaiting refuses what waits, except streams that continue.
func (l *lane) refuseWaiting(now time.Duration) {
	for w, t := range l.waiting {
		if !started(t.request) && l.queue.Cancel(now, w) {
			l.forget(w).result <- outcome{err: l.cutOffProblem()}
		}
	}
}
