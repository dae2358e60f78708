package routing

import (
	"slices"
	"time"
)

// Bounds of straggler detection. The bound to leave is lower than the one to
// enter, and both need to hold for a while, so that a group does not flap.
const (
	enterFactor     = 2.0
	leaveFactor     = 1.3
	enterTime       = 2 * time.Second
	leaveTime       = 5 * time.Second
	stragglerFactor = 4
	// minSamples is the number of answers before a group can be a straggler.
	minSamples = 8
	// probeInterval is the time after which a straggler without new answers
	// is tried again.
	probeInterval = 10 * time.Second
	// tokenFloor is added to the uncached tokens, because a first token takes
	// time even when the whole prompt is cached.
	tokenFloor = 64
)

// straggler tracks the smoothed time per unit of prefill work of one group.
type straggler struct {
	perToken time.Duration
	samples  int
	is       bool
	since    time.Duration // when the condition to change began; 0 is none
	lastSeen int
	quiet    time.Duration
}

func (s *straggler) sample(first time.Duration, uncached int) {
	v := first / time.Duration(uncached+tokenFloor)
	if s.samples == 0 {
		s.perToken = v
	}
	s.perToken += time.Duration(smoothing * float64(v-s.perToken))
	s.samples++
}

// markStragglers compares each group with the median.
func (t *Table) markStragglers(now time.Duration) {
	t.scratch = t.scratch[:0]
	for _, s := range t.groups {
		if s.slow.samples >= minSamples {
			t.scratch = append(t.scratch, s.slow.perToken)
		}
	}
	if len(t.scratch) == 0 {
		return
	}
	slices.Sort(t.scratch)
	t.median = t.scratch[len(t.scratch)/2]
	for _, s := range t.groups {
		s.slow.judge(now, t.median)
	}
}

// judge applies the bounds with hysteresis.
func (s *straggler) judge(now, median time.Duration) {
	ratio := float64(s.perToken) / float64(max(1, median))
	change := s.samples >= minSamples && !s.is && ratio > enterFactor || s.is && ratio < leaveFactor
	hold := enterTime
	if s.is {
		hold = leaveTime
		s.forget(now, median)
	}
	switch {
	case !change:
		s.since = 0
	case s.since == 0:
		s.since = max(1, now)
	case now-s.since >= hold:
		s.is, s.since = !s.is, 0
		s.lastSeen, s.quiet = s.samples, now
	}
}

// forget lets a straggler that nobody uses decay to the median, so that it is
// tried again.
func (s *straggler) forget(now, median time.Duration) {
	if s.samples != s.lastSeen {
		s.lastSeen, s.quiet = s.samples, now
		return
	}
	if now-s.quiet >= probeInterval {
		s.perToken = median
	}
}
