package scarcity

import "time"

// deadlineWindow is how long the longest deadline of a route is kept.
const deadlineWindow = 10 * time.Second

// Deadlines is the usual deadline of a route's first attempts: the longest one stated recently. A
// caller that comes back states what is left of its time.
type Deadlines struct {
	current, previous time.Duration
	since             time.Duration
}

// Observe records the deadline that a request states, and returns the usual one.
func (d *Deadlines) Observe(now, stated time.Duration) time.Duration {
	if now-d.since >= deadlineWindow {
		d.previous, d.current, d.since = d.current, 0, now
	}
	d.current = max(d.current, stated)
	return max(d.current, d.previous)
}

// Age returns the time since the caller's first attempt, and whether it came back after a refusal.
func Age(usual, stated time.Duration) (age time.Duration, cameBack bool) {
	age = usual - stated
	if float64(age) <= deadlineSpread*float64(usual) {
		return 0, false
	}
	return age, true
}
