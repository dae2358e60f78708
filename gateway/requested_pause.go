package gateway

import (
	"context"
	"iter"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/dial"
	"github.com/bulrushfall/bulrushfall/view"
)

// errPauseRequested is the cause of a call that is not sent because the backend server has asked
// for a pause since it was chosen.
var errPauseRequested = errors.New("backend server asks for a pause")

// headerRetryAfter is set by a backend server on a response with status 503: the seconds for which
// it wants no requests from this entry instance.
const headerRetryAfter = "Retry-After"

// ServerPauses holds the pauses that engines and backend servers of plain services ask for. It is
// safe for concurrent use.
type ServerPauses struct {
	now func() time.Duration
	log *logrus.Logger

	mu     sync.Mutex
	pauses *admission.RequestedPauses
}

// NewServerPauses returns a ServerPauses without pauses. log may be nil.
func NewServerPauses(now func() time.Duration, log *logrus.Logger) *ServerPauses {
	return &ServerPauses{now: now, log: log, pauses: admission.NewRequestedPauses()}
}

func runOf(b *view.Backend) fleet.Run {
	return fleet.Run{ID: b.Instance, Incarnation: b.Incarnation}
}

// observe applies the head of a response of a backend server.
func (p *ServerPauses) observe(run fleet.Run, status int, h http.Header) {
	p.mu.Lock()
	notice, due := p.pauses.Observe(p.now(), admission.ServerAnswer{Run: run, Status: status, RetryAfter: h.Get(headerRetryAfter)})
	p.mu.Unlock()
	if !due || p.log == nil {
		return
	}
	log := p.log.WithFields(logrus.Fields{"server": run.ID, "incarnation": run.Incarnation})
	if notice.Err != nil {
		log.WithError(notice.Err).Warn("pause that backend server asks for is ignored")
		return
	}
	log.WithField("pause_ms", notice.Pause.Milliseconds()).Info("backend server asks for a pause")
}

// paused reports whether a run of a backend server asks for a pause.
func (p *ServerPauses) paused(now time.Duration, run fleet.Run) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.Remaining(now, run) > 0
}

// allPaused reports whether all of some runs ask for a pause, and if so the time until the first
// pause ends.
func (p *ServerPauses) allPaused(now time.Duration, runs iter.Seq[fleet.Run]) (remaining time.Duration, all bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pauses.AllPaused(now, runs)
}

// pauseRefusal is the refusal of a request because all backend servers ask for a pause.
type pauseRefusal struct{ *Problem }

// Unwrap returns the problem that the caller gets.
func (r pauseRefusal) Unwrap() error { return r.Problem }

func newPauseRefusal(name ident.ServiceName, remaining time.Duration) error {
	return pauseRefusal{ProblemNoCapacity.WithDetail("every backend server of service %q asks for a pause", name).WithRetryAfter(remaining)}
}

// prefersPauseRefusal reports whether a request that gets no further attempt is answered with
// err, a refusal because of pauses, instead of the problem of its last attempt: that one did not
// run either, and only the refusal says when to come back.
func prefersPauseRefusal(err error, last *Problem) bool {
	var r pauseRefusal
	return errors.As(err, &r) && last.Outcome == OutcomeNotRun
}

// SetPauses makes the balancer heed pauses that a Gateway observes. Call it before the first
// request.
func (b *Balancer) SetPauses(p *ServerPauses) { b.pauses = p }

func (t *target) draining() bool {
	if t.group != nil {
		return t.group.Draining
	}
	return t.server.Draining
}

// pauseRequested reports whether a target asks for a pause.
func (s *scheduler) pauseRequested(now time.Duration, t *target) bool {
	return s.balancer.pauses.paused(now, t.run())
}

// allPaused reports whether all targets that are not excluded ask for a pause, and if so the time
// until the first pause ends.
func (s *scheduler) allPaused(now time.Duration, excluded []credit.BackendID) (remaining time.Duration, all bool) {
	return s.balancer.pauses.allPaused(now, func(yield func(fleet.Run) bool) {
		for i := range s.targets {
			t := &s.targets[i]
			if !t.draining() && !slices.Contains(excluded, t.backend) && !yield(t.run()) {
				return
			}
		}
	})
}

// pauseRefusal returns a refusal for a request if all targets that it can run on ask for a pause,
// or nil. A stream that resumes waits for the first pause to end if it still can.
func (s *scheduler) pauseRefusal(now time.Duration, pr *pendingRequest) error {
	remaining, all := s.allPaused(now, pr.excluded)
	if !all || (answerStarted(pr.request) && now+remaining < pr.waiter.Deadline) {
		return nil
	}
	return newPauseRefusal(s.name, remaining)
}

// refusedForPause refuses an offered request if all its targets ask for a pause, and reports
// whether it did.
func (s *scheduler) refusedForPause(now time.Duration, pr *pendingRequest) bool {
	err := s.pauseRefusal(now, pr)
	if err != nil {
		pr.result <- acquireResult{err: err}
	}
	return err != nil
}

// refusePaused refuses the waiting requests of which all targets ask for a pause. With retries
// it also does so for those that have failed elsewhere, which takes longer.
func (s *scheduler) refusePaused(now time.Duration, retries bool) {
	_, all := s.allPaused(now, nil)
	if !all && !retries {
		return
	}
	for w, pr := range s.waiting {
		if !all && len(pr.excluded) == 0 {
			continue
		}
		if err := s.pauseRefusal(now, pr); err != nil && (s.removeCopyWaiter(pr) || s.queue.Cancel(now, w)) {
			s.removeWaiting(w).result <- acquireResult{err: err}
		}
	}
}

// isolationRefusal is pauseRefusal for a request that does not wait in the queue.
func (s *scheduler) isolationRefusal(pr *pendingRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.pauseRefusal(s.balancer.now(), pr)
}

// pauseProblem returns a refusal if all backend servers of a plain service that are not excluded
// ask for a pause, or nil.
func (g *Gateway) pauseProblem(r *Request, excluded []ident.InstanceID) error {
	remaining, all := g.opts.Pauses.allPaused(g.now(), func(yield func(fleet.Run) bool) {
		for _, b := range r.Service.Backends {
			if !b.Draining && !slices.Contains(excluded, b.Instance) && !yield(runOf(b)) {
				return
			}
		}
	})
	if !all {
		return nil
	}
	return newPauseRefusal(r.Name, remaining)
}

// plainRunKey is the key of the run in the context of a call to a plain service.
type plainRunKey struct{}

// dialUnpaused returns a dial function that gives no connection to a backend server that has asked
// for a pause while the connection was opened.
func dialUnpaused(from dial.Func, pauses *ServerPauses) dial.Func {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := from(ctx, network, address)
		if err != nil {
			return nil, err
		}
		if run, ok := ctx.Value(plainRunKey{}).(fleet.Run); ok && pauses.paused(pauses.now(), run) {
			_ = c.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Err: errPauseRequested}
		}
		return c, nil
	}
}
