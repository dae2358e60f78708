package forecast

import "time"

// modelWeight is the weight of a new request in the figures of a model.
const modelWeight = 1.0 / 32

// Model is what the requests for a model have shown: their mean prompt, their mean number of
// events, and the time to a first event besides what the engine's figures explain, such as the
// network and the engine's own start of a request. The zero value has no observations.
type Model struct {
	prompt, events float64
	overhead       time.Duration
	hasOverhead    bool
}

// Apply returns the engine with the observed means instead of those of the whole service.
func (m *Model) Apply(e Engine) Engine {
	if m.prompt > 0 {
		e.prompt = m.prompt
	}
	if m.events > 0 {
		e.passes = m.events
	}
	return e
}

// Overhead returns the mean time to a first event besides the prediction.
func (m *Model) Overhead() time.Duration { return m.overhead }

// RecordPrompt records the number of prompt tokens of a request, if it is known.
func (m *Model) RecordPrompt(tokens uint64) { record(&m.prompt, float64(tokens)) }

// RecordEvents records the number of events of a whole stream. A pass sends one.
func (m *Model) RecordEvents(n int) { record(&m.events, float64(n)) }

func record(mean *float64, value float64) {
	switch {
	case value <= 0:
	case *mean == 0:
		*mean = value
	default:
		*mean += modelWeight * (value - *mean)
	}
}

// RecordFirst records the time to a first event for which another one was predicted without the
// overhead. The overhead follows the median: a few requests that waited long do not move it.
func (m *Model) RecordFirst(predicted, actual time.Duration) {
	over := max(0, actual-predicted)
	if !m.hasOverhead {
		m.overhead, m.hasOverhead = over, true
		return
	}
	step := max(time.Millisecond, time.Duration(modelWeight*float64(m.overhead)))
	switch {
	case over > m.overhead:
		m.overhead += min(step, over-m.overhead)
	case over < m.overhead:
		m.overhead -= min(step, m.overhead-over)
	}
}
