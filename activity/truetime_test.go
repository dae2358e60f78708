package activity

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

// clockSim is a number of entry instances whose wall clocks may be wrong. Each hears of the
// estimates of some others over links with a delay.
type clockSim struct {
	rng    *rand.Rand
	now    time.Duration
	clocks []*TrueTime
	// wall and boot are the offsets of the wall and the steady clocks from the true time.
	wall, boot []time.Duration
	// frozen instances do nothing.
	frozen []bool
	delay  func() time.Duration
}

func newClockSim(seed int64, n int, wall func(i int) time.Duration) *clockSim {
	s := &clockSim{rng: rand.New(rand.NewSource(seed)), now: time.Hour}
	s.delay = func() time.Duration { return time.Duration(1+s.rng.Intn(5)) * time.Millisecond }
	for i := range n {
		s.clocks = append(s.clocks, NewTrueTime())
		s.wall = append(s.wall, wall(i))
		s.boot = append(s.boot, -time.Duration(s.rng.Intn(int(time.Hour))))
		s.frozen = append(s.frozen, false)
	}
	return s
}

// run lets time pass in steps of a beacon interval. Each instance hears of the next two.
func (s *clockSim) run(d time.Duration) {
	for end := s.now + d; s.now < end; s.now += 200 * time.Millisecond {
		for i, c := range s.clocks {
			if s.frozen[i] {
				continue
			}
			c.Sample(s.now+s.boot[i], s.now+s.wall[i])
			for _, j := range []int{i + 1, i + 2} {
				if j %= len(s.clocks); !s.frozen[j] && j != i {
					estimate := s.clocks[j].Now(s.now + s.boot[j])
					c.Receive(s.now+s.boot[i]+s.delay(), ident.InstanceID(fmt.Sprint(j)), estimate)
				}
			}
		}
	}
}

// worst returns the largest error of the estimates.
func (s *clockSim) worst() time.Duration {
	worst := time.Duration(0)
	for i, c := range s.clocks {
		worst = max(worst, (c.Now(s.now+s.boot[i]) - s.now).Abs())
	}
	return worst
}

// Guards against counts in wrong windows: wall clocks of some instances step by seconds and
// back, or are wrong from the start of the process.
func TestTrueTimeIgnoresSteps(t *testing.T) {
	s := newClockSim(1, 9, func(i int) time.Duration { return time.Duration(i) * time.Millisecond })
	s.run(2 * time.Second)
	for _, step := range []time.Duration{-7 * time.Second, 2 * time.Second, 0} {
		s.wall[0], s.wall[4], s.wall[5] = step, -step, step/2
		s.run(3 * time.Second)
		assert.Assert(t, s.worst() < 20*time.Millisecond, "step %v: %v", step, s.worst())
	}
	s.wall[3] = 4 * time.Second
	s.clocks[3] = NewTrueTime() // The process restarts while its clock is wrong.
	s.run(time.Second)
	assert.Assert(t, s.worst() < 20*time.Millisecond, "start during a step: %v", s.worst())
}

// Guards against a first start of all instances of which a third has wrong clocks.
func TestTrueTimeOfFirstStart(t *testing.T) {
	s := newClockSim(2, 9, func(i int) time.Duration { return time.Duration(i%3/2) * 3 * time.Second })
	s.run(3 * time.Second)
	assert.Assert(t, s.worst() < 50*time.Millisecond, "%v", s.worst())
}

// Guards against a correction by estimates that arrive late, and against one after a freeze.
func TestTrueTimeWithSlowLinksAndFreeze(t *testing.T) {
	s := newClockSim(3, 9, func(int) time.Duration { return 0 })
	s.run(time.Second)
	s.delay = func() time.Duration { return time.Duration(s.rng.Intn(800)) * time.Millisecond }
	s.frozen[2] = true
	s.run(4 * time.Second)
	s.frozen[2] = false
	s.run(time.Second)
	assert.Assert(t, s.worst() < 300*time.Millisecond, "%v", s.worst())
}

// Guards against drift that adds up because small differences of the wall clock are ignored.
func TestTrueTimeFollowsDrift(t *testing.T) {
	s := newClockSim(4, 1, func(int) time.Duration { return 0 })
	for range 100 {
		s.boot[0] -= 5 * time.Millisecond
		s.run(time.Second)
	}
	assert.Assert(t, s.worst() < 50*time.Millisecond, "%v", s.worst())
}

// Guards against an instance that moves its estimate because the others' estimates were old when it read
// them: it was suspended, and the datagrams waited.
func TestTrueTimeAfterSuspension(t *testing.T) {
	c := NewTrueTime()
	peers := make([]ident.InstanceID, 9)
	for i := range peers {
		peers[i] = ident.InstanceID(fmt.Sprint("e", i))
	}
	receive := func(now, sent time.Duration) {
		for _, id := range peers {
			c.Receive(now, id, testNow+sent)
		}
	}
	for now := time.Duration(0); now < 10*time.Second; now += 200 * time.Millisecond {
		c.Sample(now, testNow+now)
		receive(now, now)
	}
	// The receive buffer was full after the first second of eight.
	const resumed = 18 * time.Second
	for sent := 10 * time.Second; sent < 11*time.Second; sent += 200 * time.Millisecond {
		receive(resumed, sent)
	}
	assert.Equal(t, c.Sample(resumed, testNow+resumed), time.Duration(0))
	assert.Equal(t, c.Now(resumed), testNow+resumed)
}
