package admission

import (
	"fmt"
	"iter"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/fleet"
)

const (
	// maxRequestedPause bounds the pause that a backend server can ask for, so that a wrong
	// value does not end its use for good.
	maxRequestedPause = time.Hour
	// pauseNoticeInterval is the least time between two notices of pauses of one run of a
	// backend server.
	pauseNoticeInterval = 10 * time.Second
	// maxQuotedRetryAfter bounds the part of a wrong value in an error text, in bytes.
	maxQuotedRetryAfter = 40
)

// ServerAnswer is the event that the head of a response of a backend server was read.
type ServerAnswer struct {
	Run    fleet.Run
	Status int
	// RetryAfter is the value of the header of this name, or empty.
	RetryAfter string
}

// PauseNotice is what the operator has to know of an answer.
type PauseNotice struct {
	// Pause is the time for which the backend server wants no requests.
	Pause time.Duration
	// Err is why the answer asks for no pause although it seems to.
	Err error
}

// RetryAfterError is a value of the header Retry-After that is ignored.
type RetryAfterError struct{ Value string }

// Error returns a message with the beginning of the value.
func (e *RetryAfterError) Error() string {
	return fmt.Sprintf("Retry-After %q is not a number of seconds: send a decimal number, 0 or more",
		e.Value[:min(len(e.Value), maxQuotedRetryAfter)])
}

// requestedPause is the state of one run. until is the end of its longest pause, and the others
// are the times from which the next notice is due.
type requestedPause struct{ until, nextNotice, nextErrorNotice time.Duration }

// RequestedPauses keeps the pauses that backend servers ask for: one that answers 503 with
// Retry-After wants no requests from this entry instance for so long. Only the time and a new run
// of the server end a pause. The caller serialises its methods.
type RequestedPauses struct {
	runs map[fleet.Run]*requestedPause
}

// NewRequestedPauses returns a RequestedPauses without pauses.
func NewRequestedPauses() *RequestedPauses {
	return &RequestedPauses{runs: make(map[fleet.Run]*requestedPause)}
}

// Observe applies an answer that was read at now. It returns true if the operator has to know
// of it; the number of such notices is bounded.
func (p *RequestedPauses) Observe(now time.Duration, a ServerAnswer) (PauseNotice, bool) {
	if a.Status != http.StatusServiceUnavailable || a.RetryAfter == "" {
		return PauseNotice{}, false
	}
	pause, err := parseRetryAfter(a.RetryAfter)
	if pause == 0 && err == nil {
		return PauseNotice{}, false
	}
	r := p.runs[a.Run]
	if r == nil {
		p.forgetEnded(now)
		r = &requestedPause{}
		p.runs[a.Run] = r
	}
	if err != nil {
		due := now >= r.nextErrorNotice
		if due {
			r.nextErrorNotice = now + pauseNoticeInterval
		}
		return PauseNotice{Err: err}, due
	}
	due := now >= r.until && now >= r.nextNotice
	if due {
		r.nextNotice = now + pauseNoticeInterval
	}
	r.until = max(r.until, now+pause)
	return PauseNotice{Pause: pause}, due
}

// forgetEnded drops the runs without a pause of which a notice may be given again.
func (p *RequestedPauses) forgetEnded(now time.Duration) {
	for run, r := range p.runs {
		if now >= max(r.until, r.nextNotice, r.nextErrorNotice) {
			delete(p.runs, run)
		}
	}
}

// Remaining returns how long no request may be sent to a run of a backend server, or 0.
func (p *RequestedPauses) Remaining(now time.Duration, run fleet.Run) time.Duration {
	if r := p.runs[run]; r != nil {
		return max(0, r.until-now)
	}
	return 0
}

// AllPaused reports whether all of some runs ask for a pause, and if so the time until the first
// pause ends. It returns false if there are no runs.
func (p *RequestedPauses) AllPaused(now time.Duration, runs iter.Seq[fleet.Run]) (remaining time.Duration, all bool) {
	if len(p.runs) == 0 {
		return 0, false
	}
	for run := range runs {
		left := p.Remaining(now, run)
		if left == 0 {
			return 0, false
		}
		if !all || left < remaining {
			remaining, all = left, true
		}
	}
	return remaining, all
}

// parseRetryAfter parses a number of seconds. It rounds up, and bounds the result.
func parseRetryAfter(value string) (time.Duration, error) {
	seconds, err := strconv.ParseFloat(value, 64)
	outOfRange := errors.Is(err, strconv.ErrRange)
	if (err != nil && !outOfRange) || (math.IsInf(seconds, 0) && !outOfRange) || math.IsNaN(seconds) || seconds < 0 {
		return 0, &RetryAfterError{Value: value}
	}
	if seconds >= maxRequestedPause.Seconds() {
		return maxRequestedPause, nil
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), nil
}
