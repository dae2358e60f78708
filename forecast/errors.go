package forecast

import "time"

// ErrorBounds are the bounds of the counted relative errors.
var ErrorBounds = [...]float64{0.05, 0.1, 0.2, 0.3, 0.5, 1}

// Errors counts forecasts by their relative error. Counts of several entry instances can be added.
type Errors struct {
	// Within counts the errors up to each bound, and More those above the last one.
	Within [len(ErrorBounds)]int
	More   int
}

// Record adds a forecast and the time that was measured.
func (e *Errors) Record(predicted, actual time.Duration) {
	relative := 0.0
	if actual > 0 {
		relative = float64((predicted - actual).Abs()) / float64(actual)
	}
	for i, bound := range ErrorBounds {
		if relative <= bound {
			e.Within[i]++
			return
		}
	}
	e.More++
}

// Total returns the number of forecasts.
func (e *Errors) Total() int {
	n := e.More
	for _, c := range e.Within {
		n += c
	}
	return n
}

// CountWithin returns the number of forecasts with an error of up to a bound of ErrorBounds.
func (e *Errors) CountWithin(bound float64) int {
	n := 0
	for i, b := range ErrorBounds {
		if b <= bound {
			n += e.Within[i]
		}
	}
	return n
}

// Quantile returns the bound of the error that a share of the forecasts keeps, and false if that
// is above the last bound or there are none.
func (e *Errors) Quantile(share float64) (float64, bool) {
	need := share * float64(e.Total())
	n := 0
	for i, c := range e.Within {
		if n += c; n > 0 && float64(n) >= need {
			return ErrorBounds[i], true
		}
	}
	return 0, false
}
