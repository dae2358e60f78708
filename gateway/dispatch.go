package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/stream"
	"github.com/bulrushfall/bulrushfall/view"
)

// maxAttempts limits the attempts per request.
const maxAttempts = 6

// Grant permits one attempt at a group. Release must be called; calls after the
// first have no effect.
type Grant struct {
	Group *view.Group
	// Cold reports whether the credit was granted for a cold engine.
	Cold    bool
	Release func(Result)
	// Observe, if not nil, takes the request limit that the response names.
	Observe func(RequestLimit)
}

func (g *Grant) observe(h http.Header) {
	if g.Observe != nil {
		g.Observe(requestLimit(h))
	}
}

// Result is the result of an attempt.
type Result struct {
	Err error
	// FirstToken is the time from dispatch to the first token, or 0 if there was
	// none.
	FirstToken time.Duration
	Tokens     int
	// Limit is the request limit that the response names, of a call to a plain service.
	Limit RequestLimit
}

// Router picks a group for an attempt and acquires a credit there. It waits until
// the request's deadline and then returns a Problem. The excluded groups have
// failed an attempt at this request.
type Router interface {
	Acquire(ctx context.Context, r *Request, excluded []ident.GroupID) (Grant, error)
}

// dispatchCompletion is the innermost endpoint of model services and the only
// place that retries their requests. A retry is safe because a completion is
// idempotent and resumes from the delivered offset.
func (g *Gateway) dispatchCompletion(ctx context.Context, r *Request) (*Answer, error) {
	if r.Sink.Started() {
		return g.runAttempts(ctx, r)
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(r.Deadline-g.now(), func() { cancel(context.DeadlineExceeded) })
	defer timer.Stop()
	r.firstTokenTimer = timer
	return g.runAttempts(ctx, r)
}

func (g *Gateway) runAttempts(ctx context.Context, r *Request) (*Answer, error) {
	var excluded []ident.GroupID
	var last error
	for range maxAttempts {
		grant, err := g.opts.Router.Acquire(ctx, r, excluded)
		if err != nil {
			if last != nil && !errors.Is(err, errConvicted) && !prefersPauseRefusal(err, asProblem(attemptProblem(last))) {
				return nil, attemptProblem(last)
			}
			return nil, err
		}
		result := g.runAttempt(ctx, r, grant)
		grant.Release(result)
		switch {
		case result.Err == nil:
			return &Answer{Streamed: true}, nil
		case !retryable(result.Err) || ctx.Err() != nil:
			return nil, attemptProblem(result.Err)
		}
		g.counters.retries.Inc(1)
		last = result.Err
		excluded = append(excluded, grant.Group.ID)
	}
	return nil, attemptProblem(last)
}

// runAttempt sends one attempt to a group and relays its frames to the sink.
func (g *Gateway) runAttempt(ctx context.Context, r *Request, grant Grant) Result {
	started := g.now()
	id := ident.AttemptID(uuid.NewString())
	r.trace.lastTarget = grant.Group.ID
	run := runOf(&grant.Group.Leader)
	s, err := g.opts.Data.Open(ctx, engine.Request{
		Target: engine.Target{
			Group:       grant.Group.ID,
			Epoch:       grant.Group.Epoch,
			Instance:    grant.Group.Leader.Instance,
			Address:     grant.Group.Leader.Address,
			Incarnation: grant.Group.Leader.Incarnation,
			Cold:        grant.Cold,
		},
		Attempt:      id,
		Path:         r.Path,
		Body:         r.Body,
		Priority:     r.Priority,
		ResumeOffset: r.Assembler.BeginAttempt(id),
		MaySend:      func() bool { return !g.opts.Pauses.paused(g.now(), run) },
	})
	if err != nil {
		var refused *engine.RefusedError
		if errors.As(err, &refused) {
			grant.observe(refused.Header)
			g.opts.Pauses.observe(run, refused.Status, refused.Header)
		}
		return Result{Err: err}
	}
	defer s.Close()
	grant.observe(s.Header())
	before := r.Assembler.NextOffset()
	result := Result{}
	result.Err = g.relayFrames(r, s, func() {
		result.FirstToken = g.now() - started
		g.recordFirstToken(r)
		r.run.recordAnswering()
	})
	result.Tokens = r.Assembler.NextOffset() - before
	if errors.Is(result.Err, engine.ErrNoProgress) {
		g.opts.Data.CloseIdle(grant.Group.Leader.Address)
	}
	return result
}

// recordFirstToken stops the deadline timer of a request whose answer has started
// and records the time to its first token.
func (g *Gateway) recordFirstToken(r *Request) {
	if r.firstTokenTimer == nil {
		return
	}
	r.firstTokenTimer.Stop()
	r.firstTokenTimer = nil
	r.trace.firstToken = g.now() - r.Arrived
	m := g.opts.Metrics.Request(r.Account.Name, r.Name, r.Class)
	m.FirstByte.RecordDuration(g.now() - r.Arrived)
	if g.now() > r.Deadline {
		m.Late.Inc(1)
	}
}

// flusher is a Sink that buffers its output.
type flusher interface{ Flush() error }

// relayFrames passes the frames of one attempt to the request's sink. It calls
// onFirstToken before the first token.
func (g *Gateway) relayFrames(r *Request, s *engine.Stream, onFirstToken func()) error {
	var f engine.Frame
	flush, _ := r.Sink.(flusher)
	for {
		if err := s.Next(&f); err != nil {
			return err
		}
		if f.Done {
			if r.Assembler.AcceptEnd(f.Attempt, f.Offset) != stream.Deliver {
				return errors.Wrap(engine.ErrBadFrame, "answer ended with a gap")
			}
			return r.Sink.Finish(r.Assembler.NextOffset())
		}
		switch r.Assembler.AcceptFrame(f.Attempt, f.Offset) {
		case stream.Skip:
			continue
		case stream.Resume:
			return errors.Wrap(engine.ErrBadFrame, "frame of another attempt or a gap")
		}
		if onFirstToken != nil {
			onFirstToken()
			onFirstToken = nil
		}
		if err := r.Sink.Token(f.Offset, f.Data); err != nil {
			return err
		}
		if flush != nil && !s.Buffered() {
			if err := flush.Flush(); err != nil {
				return err
			}
		}
	}
}

// retryable reports whether another attempt may complete the answer.
func retryable(err error) bool {
	var refused *engine.RefusedError
	if errors.As(err, &refused) {
		return refused.NotRun || refused.Status >= 500
	}
	return errors.Is(err, engine.ErrNotSent) || errors.Is(err, engine.ErrConnectionFailed) ||
		errors.Is(err, engine.ErrNoProgress) || errors.Is(err, engine.ErrBadFrame)
}

// attemptProblem converts the error of an attempt to the error that the caller
// gets.
func attemptProblem(err error) error {
	var refused *engine.RefusedError
	switch {
	case errors.Is(err, errParked), errors.Is(err, errCallerGone):
		return err
	case errors.As(err, &refused) && refused.NotRun:
		return ProblemBackendRefused.WithDetail("%v", err)
	case errors.Is(err, engine.ErrNotSent):
		return ProblemNoCapacity.WithDetail("%v", err).WithRetryAfter(time.Second)
	}
	return asProblem(err)
}
