package admission

import (
	"time"
)

// rateMeter is a smoothed rate of events per second.
type rateMeter struct {
	count float64
	last  time.Duration
}

// rateWindow is the time over which a rate is smoothed.
const rateWindow = 2 * time.Second

func (m *rateMeter) decay(now time.Duration) {
	if elapsed := now - m.last; elapsed > 0 {
		m.count *= max(0, 1-elapsed.Seconds()/rateWindow.Seconds())
		m.last = now
	}
}

func (m *rateMeter) add(now time.Duration) {
	m.decay(now)
	m.count++
}

func (m *rateMeter) perSecond(now time.Duration) float64 {
	m.decay(now)
	return m.count / rateWindow.Seconds()
}

// estimate is the expected wait of a request at a position of a flow: the work
// ahead of it by the fair order, over the rate of starts that it can count on.
func (q *Queue) estimate(now time.Duration, r int, f *flow, position int) time.Duration {
	ahead := float64(position)
	turns := float64(position+1) / f.weight
	for i := range q.lanes {
		for _, other := range q.lanes[i].flows {
			n := float64(len(other.waiting))
			switch {
			case other == f || n == 0:
			case other.above != f.above:
				if f.above {
					ahead += n
				}
			case i < r:
				ahead += n
			case i == r:
				ahead += min(n, turns*other.weight)
			}
		}
	}
	if free := float64(q.slots - q.running); ahead < free {
		return 0
	}
	return time.Duration((ahead + 1) / q.rate(now, r, f.above) * float64(time.Second))
}

// rate is the number of starts per second that a class can count on: what those
// ahead of it leave, but at least the part that the guard gives it.
func (q *Queue) rate(now time.Duration, r int, above bool) float64 {
	if q.service <= 0 {
		return unknownRate
	}
	all := float64(max(1, q.slots)) / q.service
	left := all
	for i := range q.lanes {
		if i < r || above {
			left -= q.lanes[i].starts.perSecond(now)
		}
	}
	return max(left, all/float64(max(1, q.cfg.Guard)+1))
}

// unknownRate keeps the queue from refusing before it knows a service time.
const unknownRate = 1e6

// Shed refuses the waiting requests that can no longer start before their
// deadlines, also after the number of slots fell. It starts with the last ones
// of each account in the least urgent class.
func (q *Queue) Shed(now time.Duration) []Refusal {
	var out []Refusal
	q.judge(now)
	for r := len(q.lanes) - 1; r >= 0; r-- {
		for _, f := range q.lanes[r].flows {
			for i := len(f.waiting) - 1; i >= 0; i-- {
				w := f.waiting[i]
				wait := q.estimate(now, r, f, i)
				if now+wait <= w.Deadline && now < w.Deadline {
					continue
				}
				q.drop(now, w)
				out = append(out, Refusal{w, ReasonDeadline, max(wait, minRetryAfter)})
			}
		}
	}
	return out
}
