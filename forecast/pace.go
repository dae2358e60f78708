package forecast

import "time"

// Parameters of the calibration.
const (
	// paceWeight is the weight of a new pause in the pace of a group. The events of a group
	// that slows down by a factor of 4 show half of that after its second pause.
	paceWeight = 0.4
	// minPace and maxPace bound the pace, so that a single pause has a limited effect.
	minPace, maxPace = 0.5, 16
	// paceHalfLife is the time in which half of a deviation of the pace expires without new
	// events: a slow group gets few requests, and would otherwise never show its recovery.
	paceHalfLife = 2 * time.Second
	// silenceFactor is the number of predicted pauses of silence from which the silence
	// itself counts as a pause.
	silenceFactor = 2
)

// Pace is the measured pace of a group: the ratio of its pauses to the predicted ones. The
// zero value is a group that keeps to the prediction.
type Pace struct {
	deviation float64 // pace - 1
	at        time.Duration
}

// At returns the pace at a time.
func (p *Pace) At(now time.Duration) float64 {
	if p.deviation == 0 || now <= p.at {
		return 1 + p.deviation
	}
	halves := float64(now-p.at) / float64(paceHalfLife)
	if halves > 10 {
		return 1
	}
	// A rational decay has the same half-life as an exponential one and costs no exponential.
	return 1 + p.deviation/(1+halves*halves)
}

// RecordPause records a pause between two events for which another one was predicted.
func (p *Pace) RecordPause(now, predicted, actual time.Duration) {
	if predicted <= 0 {
		return
	}
	ratio := min(maxPace, max(minPace, float64(actual)/float64(predicted)))
	pace := p.At(now)
	p.deviation, p.at = pace+paceWeight*(ratio-pace)-1, now
}

// Silent returns the pace of a group that has sent its streams no event for a time.
func (p *Pace) Silent(now, predicted, silence time.Duration) float64 {
	pace := p.At(now)
	if predicted > 0 && silence > silenceFactor*predicted {
		pace = max(pace, min(maxPace, float64(silence)/float64(predicted)))
	}
	return pace
}
