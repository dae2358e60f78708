package gateway

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// searchRetryInterval is the delay after a router found no group for a request whose
// engine is silent.
const searchRetryInterval = 500 * time.Millisecond

var (
	errAttemptsUsedUp = errors.New("all attempts of the request were made")
	// errAttemptReplaced ends an attempt that another one has made needless.
	errAttemptReplaced = errors.Wrap(context.Canceled, "another attempt goes on with the answer")
	// errGroupNotNeeded is the result of a grant that is released unused.
	errGroupNotNeeded = errors.New("a silent attempt at the request is waited for instead")
)

// dispatch is the state of a request's attempts.
type dispatch struct {
	gateway *Gateway
	ctx     context.Context
	request *Request
	// answerBegun is set when the first token has arrived.
	answerBegun atomic.Bool

	mu       sync.Mutex
	attempts int
	excluded []ident.GroupID
}

// takeAttempt counts an attempt. It returns false if there were maxAttempts.
func (d *dispatch) takeAttempt() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.attempts >= maxAttempts {
		return false
	}
	d.attempts++
	return true
}

// returnAttempt takes back an attempt for which no group was found.
func (d *dispatch) returnAttempt() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.attempts--
}

func (d *dispatch) exclude(id ident.GroupID) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !slices.Contains(d.excluded, id) {
		d.excluded = append(d.excluded, id)
	}
}

// excludedGroups returns the groups that failed an attempt, and the given one unless it
// is empty.
func (d *dispatch) excludedGroups(silent ident.GroupID) []ident.GroupID {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := slices.Clone(d.excluded)
	if silent != "" && !slices.Contains(out, silent) {
		out = append(out, silent)
	}
	return out
}

// silenceLimit is how long the engine of an answer that has begun may be silent while
// no other group takes the request over: as long as the answer was allowed to take to
// its start, but not less than resumeWait.
func (d *dispatch) silenceLimit() time.Duration {
	return max(d.gateway.minSilenceLimit, d.request.Deadline-d.request.Arrived)
}

// Silent implements engine.SilenceObserver. It starts the search for another group. The
// attempt stays open, because a sound engine may go on after a pause.
func (a *attempt) Silent(closeStream func()) {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended:
	case a.candidate:
		a.reportSilence()
		if !a.silent {
			a.silent = true
			close(a.fellSilent)
		}
	default:
		a.dispatch.gateway.counters.silences.Inc(1)
		a.reportSilence()
		a.search = newSearch(a, closeStream)
		go a.search.run()
	}
}

// reportSilence tells the other users of the group that it is silent.
func (a *attempt) reportSilence() {
	a.dispatch.gateway.opts.Data.CloseIdle(a.grant.Group.Leader.Address)
	if a.grant.Silence != nil {
		a.grant.Silence(true)
	}
}

// Resumed implements engine.SilenceObserver. It ends the search unless another group has
// taken the request over.
func (a *attempt) Resumed() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.ended || a.search != nil && !a.search.abandon():
		return false
	case a.search != nil:
		a.search = nil
		a.dispatch.gateway.counters.silencesEnded.Inc(1)
	}
	if a.grant.Silence != nil {
		a.grant.Silence(false)
	}
	return true
}

// stopObserving makes later silences of the attempt have no effect, and returns the
// search that is in progress, or nil.
func (a *attempt) stopObserving() *search {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	return a.search
}

// accept makes the answer go on with a candidate. It returns false if the candidate
// has fallen silent.
func (a *attempt) accept() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ended {
		return false
	}
	a.candidate = false
	return true
}

// search looks for another group while the engine of an attempt is silent. The first of
// these ends it: another group has sent the next token, the engine sends again, the
// silence limit or the deadline of the request has passed, or the caller has gone.
type search struct {
	silent      *attempt
	ctx         context.Context
	cancel      context.CancelCauseFunc
	closeSilent func()
	request     *Request // not shared with the goroutine of the request
	limit       *time.Timer
	// attemptEnded is closed when the silent attempt has ended.
	attemptEnded chan struct{}
	// done is closed when next and err are set.
	done chan struct{}
	next *attempt
	err  error

	mu sync.Mutex
	// decided is set when the answer continues with the silent attempt or with the next
	// one, or ends. expired is set if it ends.
	decided, expired bool
}

// fixedSink is the sink of a search's request. Routers only ask whether the answer has
// started.
type fixedSink struct {
	Sink
	started bool
}

// Started implements Sink.
func (s fixedSink) Started() bool { return s.started }

func newSearch(a *attempt, closeSilent func()) *search {
	d := a.dispatch
	s := &search{
		silent: a, closeSilent: closeSilent,
		attemptEnded: make(chan struct{}), done: make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancelCause(d.ctx)
	r := *a.request
	r.Assembler.SetOffset(d.request.Assembler.NextOffset())
	r.Sink = fixedSink{started: answerStarted(d.request)}
	r.silentRun = r.run
	if d.answerBegun.Load() {
		// The deadline of the request was that of the start of its answer.
		limit := d.silenceLimit()
		r.Deadline = max(r.Deadline, d.gateway.now()+limit)
		s.limit = time.AfterFunc(limit, s.expire)
	}
	s.request = &r
	return s
}

// searchStep is what a search does after it has looked for a group once.
type searchStep int

const (
	searchEnds searchStep = iota
	searchNow
	searchLater
)

// candidate is an attempt that a search has found. While it is silent, it stays open until another
// group can take the request over.
type candidate struct {
	*attempt
	giveUp context.CancelCauseFunc
	// done is closed when err is set. A nil err means that the attempt has taken the answer over.
	done chan struct{}
	err  error
}

// run searches until a group has sent the next token or the search is over.
func (s *search) run() {
	defer close(s.done)
	var waiting *candidate // silent
	step, err := searchNow, error(nil)
	for {
		if step == searchNow {
			step, err = s.tryNext(&waiting)
			continue
		}
		if err == nil {
			return
		}
		var candidateDone <-chan struct{}
		attemptEnded := s.attemptEnded
		if waiting != nil {
			candidateDone, attemptEnded = waiting.done, nil
		} else if s.ctx.Err() == nil && s.silentEnded() {
			// Nothing is left that could go on while the search waits.
			s.err = err
			return
		}
		var retry <-chan time.Time
		if step == searchLater {
			retry = time.After(searchRetryInterval)
		}
		select {
		case <-retry:
			step = searchNow
		case <-candidateDone:
			step, err = s.end(waiting)
			waiting = nil
		case <-attemptEnded:
			return
		case <-s.ctx.Done():
			if waiting != nil {
				_, _ = s.dismiss(waiting)
			}
			return
		}
	}
}

// tryNext opens an attempt at another group and waits until the answer goes on with it, or it fails
// or falls silent. A candidate that waits is given up once there is another group. The error is nil
// if the answer goes on with an attempt.
func (s *search) tryNext(waiting **candidate) (searchStep, error) {
	d := s.silent.dispatch
	if !d.takeAttempt() {
		return searchEnds, errAttemptsUsedUp
	}
	r := *s.request // Routers change it.
	grant, err := s.acquire(&r, *waiting)
	switch {
	case err == nil:
	case errors.Is(err, errConvicted):
		d.returnAttempt()
		return searchEnds, err
	default:
		d.returnAttempt()
		return searchLater, err
	}
	if former := *waiting; former != nil {
		*waiting = nil
		if step, err := s.dismiss(former); step == searchEnds {
			d.returnAttempt()
			grant.Release(Result{Err: errGroupNotNeeded})
			return step, err
		}
	}
	c := s.open(&r, grant)
	select {
	case <-c.done:
		return s.end(c)
	case <-c.fellSilent:
		*waiting = c
		return searchNow, nil
	}
}

// acquire asks the router for another group, until a candidate that waits goes on or fails. A
// router may choose an excluded group if there is no other; the candidate is not given up for one.
func (s *search) acquire(r *Request, waiting *candidate) (Grant, error) {
	d := s.silent.dispatch
	excluded := d.excludedGroups(s.silent.grant.Group.ID)
	if waiting == nil {
		return d.gateway.opts.Router.Acquire(s.ctx, r, excluded)
	}
	ctx, cancel := context.WithCancel(s.ctx)
	defer cancel()
	go func() {
		select {
		case <-waiting.done:
			cancel()
		case <-ctx.Done():
		}
	}()
	excluded = append(excluded, waiting.grant.Group.ID)
	grant, err := d.gateway.opts.Router.Acquire(ctx, r, excluded)
	if err == nil && slices.Contains(excluded, grant.Group.ID) {
		grant.Release(Result{Err: errGroupNotNeeded})
		return Grant{}, errGroupNotNeeded
	}
	return grant, err
}

// open starts an attempt at a group. The answer goes on with it if it sends a token before the search
// is decided.
func (s *search) open(r *Request, grant Grant) *candidate {
	ctx, giveUp := context.WithCancelCause(s.ctx)
	c := &candidate{attempt: s.silent.dispatch.newAttempt(ctx, r, grant), giveUp: giveUp, done: make(chan struct{})}
	c.candidate, c.fellSilent = true, make(chan struct{})
	go func() {
		defer close(c.done)
		c.err = c.attempt.open()
		if c.err == nil {
			c.err = c.stream.AwaitFirst()
		}
		if c.err == nil && !s.handOver(c.attempt) {
			c.err = engine.ErrNoProgress
			if ctx.Err() != nil {
				c.err = context.Cause(ctx)
			}
		}
	}()
	return c
}

// dismiss ends a candidate unless the answer goes on with it.
func (s *search) dismiss(c *candidate) (searchStep, error) {
	c.mu.Lock()
	if c.candidate {
		c.ended = true
		c.giveUp(engine.ErrNoProgress)
	}
	c.mu.Unlock()
	<-c.done
	return s.end(c)
}

// end ends a candidate that is done, unless the answer goes on with it.
func (s *search) end(c *candidate) (searchStep, error) {
	if c.err == nil {
		return searchEnds, nil
	}
	c.finish(Result{Err: c.err})
	c.giveUp(nil)
	if s.ctx.Err() != nil || !retryable(c.err) {
		return searchEnds, c.err
	}
	d := s.silent.dispatch
	d.gateway.counters.retries.Inc(1)
	d.exclude(c.grant.Group.ID)
	return searchNow, c.err
}

// handOver makes the answer go on with the next attempt and closes the silent one. It
// returns false if the silent engine has sent again, or the next one is silent too.
func (s *search) handOver(next *attempt) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decided || !next.accept() {
		return false
	}
	s.decided = true
	s.stopLimit()
	next.cancel = s.cancel
	s.next = next
	s.closeSilent()
	return true
}

// abandon ends the search because the silent engine sends again. It returns false if
// another group has sent the next token before.
func (s *search) abandon() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decided {
		return false
	}
	s.decided = true
	s.stopLimit()
	s.cancel(errAttemptReplaced)
	return true
}

// expire ends the silent attempt and the search at the silence limit.
func (s *search) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.decided {
		return
	}
	s.decided, s.expired = true, true
	s.cancel(engine.ErrNoProgress)
	s.closeSilent()
}

func (s *search) stopLimit() {
	if s.limit != nil {
		s.limit.Stop()
	}
}

// wait returns the next attempt after the silent one has ended, or nil if the router has
// to be asked again. An error ends the request.
func (s *search) wait() (*attempt, error) {
	close(s.attemptEnded)
	<-s.done
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopLimit()
	if s.next == nil {
		s.cancel(nil)
	}
	if s.expired {
		return nil, engine.ErrNoProgress
	}
	return s.next, s.err
}

// silentEnded reports whether the silent attempt has ended, so that the answer can only go on
// with another one.
func (s *search) silentEnded() bool {
	select {
	case <-s.attemptEnded:
		return true
	default:
		return false
	}
}

// discard ends the search because the request has ended.
func (s *search) discard(err error) {
	if s.abandon() || s.next == nil {
		return
	}
	if other := s.next.finish(Result{Err: err}); other != nil {
		other.discard(err)
	}
}
