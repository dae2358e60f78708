package admission

import (
	"time"
)

// rateMeter measures a smoothed rate of events per second.
type rateMeter struct {
	count     float64
	lastDecay time.Duration
}

// rateWindow is the time over which a rate is smoothed.
const rateWindow = 2 * time.Second

func (m *rateMeter) decay(now time.Duration) {
	if elapsed := now - m.lastDecay; elapsed > 0 {
		m.count *= max(0, 1-elapsed.Seconds()/rateWindow.Seconds())
		m.lastDecay = now
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

// estimateWait returns the expected waiting time of a request at a position of a flow:
// the number of requests that start before it in fair order, divided by the rate of
// starts that is available to it.
func (q *Queue) estimateWait(now time.Duration, rank int, f *flow, position int) time.Duration {
	ahead := float64(position)
	normalizedPosition := float64(position+1) / f.weight
	for i := range q.classQueues {
		for _, other := range q.classQueues[i].flows {
			n := float64(len(other.waiting))
			switch {
			case other == f || n == 0:
			case other.aboveShare != f.aboveShare:
				if f.aboveShare {
					ahead += n
				}
			case i < rank:
				ahead += n
			case i == rank:
				ahead += min(n, normalizedPosition*other.weight)
			}
		}
	}
	if free := float64(q.slots - q.running); ahead < free {
		return 0
	}
	return time.Duration((ahead + 1) / q.startRate(now, rank, f.aboveShare) * float64(time.Second))
}

// startRate returns the number of starts per second that is available to a class: the
// total less the starts of accounts within their share, in more urgent classes or, for an
// account above its share, in all classes, but at least the share that
// Config.StarvationLimit guarantees.
func (q *Queue) startRate(now time.Duration, rank int, aboveShare bool) float64 {
	if q.serviceTime <= 0 {
		return unlimitedStartRate
	}
	total := float64(max(1, q.slots)) / q.serviceTime
	available := total
	for i := range q.classQueues {
		if i < rank || aboveShare {
			available -= q.classQueues[i].starts.perSecond(now)
		}
	}
	return max(available, total/float64(max(1, q.cfg.StarvationLimit)+1))
}

// unlimitedStartRate keeps the queue from refusing requests before the first service
// time has been measured.
const unlimitedStartRate = 1e6

// Shed removes and returns the waiting requests that can no longer start before their
// deadlines, for example after the number of slots has been reduced. It begins with the
// last request of each account in the least urgent class.
func (q *Queue) Shed(now time.Duration) []Refusal {
	var out []Refusal
	q.updateShares(now)
	for rank := len(q.classQueues) - 1; rank >= 0; rank-- {
		for _, f := range q.classQueues[rank].flows {
			for i := len(f.waiting) - 1; i >= 0; i-- {
				w := f.waiting[i]
				wait := q.estimateWait(now, rank, f, i)
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
