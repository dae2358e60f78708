package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// serverPause is how long a backend server of a plain service gets no new requests
// after a failed attempt, unless it is the only one.
const serverPause = time.Second

// recordFailure pauses a target after a failed attempt: a group until it is
// confirmed by a status poll that was sent later, a backend server for
// serverPause. Without this, a target that refuses connections would look idle and
// attract requests.
func (s *scheduler) recordFailure(now time.Duration, b credit.BackendID, err error) {
	var refused *engine.RefusedError
	notRun := errors.Is(err, engine.ErrNotSent) || errors.Is(err, ErrBackendNotSent) || errors.Is(err, ErrBackendNotRun) ||
		errors.As(err, &refused) && refused.NotRun
	if notRun {
		// The attempt put no load on a backend server, so the retry is not
		// charged to the budget.
		s.retries.Refund()
	}
	// After a canceled attempt, the backend server may run the request until it
	// detects that the connection is closed.
	givenUp := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	if notRun || givenUp || retryable(err) || errors.Is(err, ErrBackendOutcomeUnknown) {
		s.failedAt[b] = now
	}
}

// observeSilence pauses the target of a permit when it falls silent, as after a failed
// attempt. The permit stays in use.
func (p *permit) observeSilence(silent bool) {
	s := p.scheduler
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.balancer.now()
	f, id := p.pending.request.Fingerprint, ident.GroupID(p.target.backend)
	p.silent = silent
	if !silent {
		s.copies.RecordStart(f, id)
		return
	}
	s.recordFailure(now, p.target.backend, engine.ErrNoProgress)
	s.copies.RecordEnd(f, id, false)
	s.dispatch(now)
}

// pausedAfterFailure reports whether a target gets no new requests because an
// attempt failed there.
func (s *scheduler) pausedAfterFailure(now time.Duration, t *target) bool {
	lastFailure, failed := s.failedAt[t.backend]
	switch {
	case !failed:
		return false
	case t.group != nil && t.group.Confirmed <= lastFailure:
		return true
	case t.group == nil && now-lastFailure < serverPause && len(s.targets) > 1:
		return true
	}
	delete(s.failedAt, t.backend)
	return false
}
