package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
)

// serverPause is how long a backend server of a plain service gets no new work
// after a failed attempt, unless it is the only one.
const serverPause = time.Second

// fail keeps new work from a target after a failed attempt: a group until a
// poll that was sent later confirms it, a backend server for a while. A target
// that refuses connections would otherwise look idle and attract requests.
func (l *lane) fail(now time.Duration, b credit.BackendID, err error) {
	var refused *engine.RefusedError
	notRun := errors.Is(err, engine.ErrNotSent) || errors.Is(err, ErrBackendNotSent) || errors.Is(err, ErrBackendNotRun) ||
		errors.As(err, &refused) && refused.NotRun
	if notRun {
		// The attempt cost no backend server anything, so its repetition is
		// not charged to the retry budget.
		l.retries.Refund()
	}
	// After an attempt that was given up, the backend server may hold the request
	// until it notices that the connection is closed.
	givenUp := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if notRun || givenUp || retryable(err) || errors.Is(err, ErrBackendOutcomeUnknown) {
		l.failedAt[b] = now
	}
}

// paused reports whether a failed attempt keeps new work from a target.
func (l *lane) paused(now time.Duration, t *target) bool {
	at, failed := l.failedAt[t.backend]
	switch {
	case !failed:
		return false
	case t.group != nil && t.group.Confirmed <= at:
		return true
	case t.group == nil && now-at < serverPause && len(l.targets) > 1:
		return true
	}
	delete(l.failedAt, t.backend)
	return false
}
