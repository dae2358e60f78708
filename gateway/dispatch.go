package gateway

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/callerconn"
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
	// Observe, if not nil, takes the header of the response.
	Observe func(http.Header)
	// Silence, if not nil, is told that the group has fallen silent (true) or sends
	// again (false). It is not called after Release.
	Silence func(silent bool)
}

func (g *Grant) observe(h http.Header) {
	if g.Observe != nil {
		g.Observe(h)
	}
}

// Result is the result of an attempt.
type Result struct {
	Err error
	// FirstToken is the time from dispatch to the first token, or 0 if there was
	// none.
	FirstToken time.Duration
	Tokens     int
	// Header is the header of the response, if any, of a call to a plain service.
	Header http.Header
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
	d := &dispatch{gateway: g, ctx: ctx, request: r}
	d.answerBegun.Store(r.firstTokenTimer == nil)
	var last error
	var a *attempt
	for {
		if a == nil {
			if !d.takeAttempt() {
				return nil, attemptProblem(last)
			}
			grant, err := g.opts.Router.Acquire(ctx, r, d.excludedGroups(""))
			if err != nil {
				return nil, acquireProblem(last, err)
			}
			a = d.newAttempt(ctx, r, grant)
		}
		result := a.relay()
		running := a.finish(result)
		if result.Err == nil {
			return &Answer{Streamed: true}, nil
		}
		if !retryable(result.Err) || ctx.Err() != nil {
			if running != nil {
				running.discard(result.Err)
			}
			return nil, attemptProblem(result.Err)
		}
		g.counters.retries.Inc(1)
		last = result.Err
		d.exclude(a.grant.Group.ID)
		a = nil
		if running != nil {
			next, err := running.wait()
			if err != nil {
				return nil, acquireProblem(last, err)
			}
			a = next
		}
	}
}

// acquireProblem converts the error of a router to the error that the caller gets. last
// is the error of the last attempt, or nil.
func acquireProblem(last, err error) error {
	if last != nil && !errors.Is(err, errConvicted) && !prefersPauseRefusal(err, asProblem(attemptProblem(last))) {
		return attemptProblem(last)
	}
	return err
}

// attempt is one attempt at a request.
type attempt struct {
	dispatch *dispatch
	ctx      context.Context
	// cancel ends ctx. It may be nil.
	cancel context.CancelCauseFunc
	// request is that of the dispatch, or a copy if the attempt was found by a search.
	request *Request
	grant   Grant
	id      ident.AttemptID
	started time.Duration
	stream  *engine.Stream // nil until the group has accepted the request

	mu sync.Mutex
	// candidate is set until the answer continues with an attempt that a search has
	// found.
	candidate bool
	// silent is set, and fellSilent closed, when a candidate has been silent.
	silent     bool
	fellSilent chan struct{}
	ended      bool
	search     *search // for another group, while the engine is silent
}

func (d *dispatch) newAttempt(ctx context.Context, r *Request, grant Grant) *attempt {
	return &attempt{dispatch: d, ctx: ctx, request: r, grant: grant, id: ident.AttemptID(uuid.NewString())}
}

// open sends the attempt to its group.
func (a *attempt) open() error {
	g, r := a.dispatch.gateway, a.request
	a.started = g.now()
	r.trace.lastTarget = a.grant.Group.ID
	run := runOf(&a.grant.Group.Leader)
	s, err := g.opts.Data.Open(a.ctx, engine.Request{
		Target: engine.Target{
			Group:       a.grant.Group.ID,
			Epoch:       a.grant.Group.Epoch,
			Instance:    a.grant.Group.Leader.Instance,
			Address:     a.grant.Group.Leader.Address,
			Incarnation: a.grant.Group.Leader.Incarnation,
			Cold:        a.grant.Cold,
		},
		Attempt:      a.id,
		Path:         r.Path,
		Body:         r.Body,
		Priority:     r.Priority,
		ResumeOffset: r.Assembler.BeginAttempt(a.id),
		Observer:     a,
		MaySend:      func() bool { return !g.opts.Pauses.paused(g.now(), run) && g.callerWaits(a.ctx, r) },
	})
	if err != nil {
		var refused *engine.RefusedError
		if errors.As(err, &refused) {
			a.grant.observe(refused.Header)
			g.opts.Pauses.observe(run, refused.Status, refused.Header)
		}
		return err
	}
	a.stream = s
	a.grant.observe(s.Header())
	return nil
}

// callerWaits reports whether the caller of a completion still waits for it. The deadline is that of
// the start of the answer.
func (g *Gateway) callerWaits(ctx context.Context, r *Request) bool {
	deadline := r.Deadline
	if answerStarted(r) {
		deadline = 0
	}
	return admission.DecideSend(g.now(), deadline, 0, callerconn.Left(ctx)) == admission.MaySend
}

// relay passes the frames of the attempt to the sink of the request. It opens the
// attempt unless a search has done so.
func (a *attempt) relay() Result {
	d := a.dispatch
	g, r := d.gateway, d.request
	if a.stream == nil {
		if err := a.open(); err != nil {
			return Result{Err: err}
		}
	} else {
		r.run, r.Isolated, r.trace.lastTarget = a.request.run, a.request.Isolated, a.request.trace.lastTarget
		r.Assembler.BeginAttempt(a.id)
	}
	before := r.Assembler.NextOffset()
	result := Result{}
	result.Err = g.relayFrames(r, a.stream, func() {
		result.FirstToken = g.now() - a.started
		d.answerBegun.Store(true)
		g.recordFirstToken(r)
		r.run.recordAnswering()
	})
	result.Tokens = r.Assembler.NextOffset() - before
	return result
}

// finish closes the attempt and releases its credit. It returns the search that is in
// progress because the engine was silent, or nil.
func (a *attempt) finish(result Result) *search {
	running := a.stopObserving()
	if a.stream != nil {
		a.stream.Close()
	}
	if a.cancel != nil {
		a.cancel(nil)
	}
	if errors.Is(result.Err, engine.ErrNoProgress) {
		a.dispatch.gateway.opts.Data.CloseIdle(a.grant.Group.Leader.Address)
	}
	a.grant.Release(result)
	return running
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
