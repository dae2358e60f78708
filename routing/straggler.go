package routing

import (
	"slices"
	"time"
)

// Parameters of straggler detection. A straggler is a group with a much longer
// prefill time per token than the median. The ratio to the median at which a group
// becomes a straggler is higher than the one at which it stops being one, and
// either condition has to last for a minimum time, so that a group does not flap.
const (
	stragglerEnterRatio = 2.0
	stragglerLeaveRatio = 1.3
	stragglerEnterTime  = 2 * time.Second
	stragglerLeaveTime  = 5 * time.Second
	// stragglerPenalty multiplies the fixed delay and the delay per token of a
	// straggler, before one slot time and its locality are added.
	stragglerPenalty = 4
	// minSamples is the number of responses before a group can become a straggler.
	minSamples = 8
	// probeInterval is the time after which a straggler without new responses gets
	// requests again.
	probeInterval = 10 * time.Second
	// overheadTokens is added to the uncached tokens, because the first token takes
	// time even if the whole prompt is cached.
	overheadTokens = 64
)

// prefillTime tracks the smoothed prefill time per token of one group.
type prefillTime struct {
	perToken    time.Duration
	samples     int
	straggler   bool
	changeSince time.Duration // since when the ratio requires a change of straggler, or 0
	// samplesSeen is the number of samples when straggler last changed, or at the
	// latest check of a straggler that found new ones. lastSampleAt is that time.
	samplesSeen  int
	lastSampleAt time.Duration
}

// addSample adds the time to the first token of one response.
func (s *prefillTime) addSample(firstToken time.Duration, uncached int) {
	v := firstToken / time.Duration(uncached+overheadTokens)
	if s.samples == 0 {
		s.perToken = v
	}
	s.perToken += time.Duration(smoothing * float64(v-s.perToken))
	s.samples++
}

// markStragglers compares the prefill time of each group with the median.
func (t *Table) markStragglers(now time.Duration) {
	t.perTokenBuffer = t.perTokenBuffer[:0]
	for _, s := range t.groups {
		if s.prefill.samples >= minSamples {
			t.perTokenBuffer = append(t.perTokenBuffer, s.prefill.perToken)
		}
	}
	if len(t.perTokenBuffer) == 0 {
		return
	}
	slices.Sort(t.perTokenBuffer)
	t.medianPerToken = t.perTokenBuffer[len(t.perTokenBuffer)/2]
	for _, s := range t.groups {
		s.prefill.updateStraggler(now, t.medianPerToken)
	}
}

// updateStraggler marks or unmarks a group as a straggler, with hysteresis.
func (s *prefillTime) updateStraggler(now, median time.Duration) {
	ratio := float64(s.perToken) / float64(max(1, median))
	change := s.samples >= minSamples && !s.straggler && ratio > stragglerEnterRatio || s.straggler && ratio < stragglerLeaveRatio
	minTime := stragglerEnterTime
	if s.straggler {
		minTime = stragglerLeaveTime
		s.resetIfUnused(now, median)
	}
	switch {
	case !change:
		s.changeSince = 0
	case s.changeSince == 0:
		s.changeSince = max(1, now)
	case now-s.changeSince >= minTime:
		s.straggler, s.changeSince = !s.straggler, 0
		s.samplesSeen, s.lastSampleAt = s.samples, now
	}
}

// resetIfUnused sets the prefill time of a straggler without new responses to the
// median, so that the group gets requests again.
func (s *prefillTime) resetIfUnused(now, median time.Duration) {
	if s.samples != s.samplesSeen {
		s.samplesSeen, s.lastSampleAt = s.samples, now
		return
	}
	if now-s.lastSampleAt >= probeInterval {
		s.perToken = median
	}
}
