package configshell

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Kinds of peer messages.
const (
	KindPull wire.Kind = "config.pull"
	KindPush wire.Kind = "config.push"
)

// Limits of the shell.
const (
	// storeTimeout bounds one read of the store or one commit.
	storeTimeout = 2 * time.Second
	// maxCalls bounds the calls to peers that run at a time.
	maxCalls = 64
)

// Post runs a function on the control goroutine, which passes its time. It
// returns false when the control goroutine has ended.
type Post func(fn func(now time.Duration)) bool

// Caller calls a peer. *wire.Node implements it.
type Caller interface {
	Call(ctx context.Context, addr string, kind wire.Kind, req, resp any) error
}

// Ack answers a push.
type Ack struct{}

// Shell runs the actions of a configuration machine. Its machine belongs to the
// control goroutine; actions run in goroutines of their own and post events.
type Shell struct {
	machine *config.Machine
	store   *Store
	peers   Caller
	post    Post
	// OnPublish is called on the control goroutine when the view changed.
	OnPublish func(*config.View)
	// OnStep, if set, sees each event with its actions, for a trace.
	OnStep func(now time.Duration, e config.Event, actions []config.Action)

	ctx   context.Context
	calls chan struct{}
	view  atomic.Pointer[config.View]
	// waiters belongs to the control goroutine.
	waiters map[ident.AttemptID]chan config.AnswerEdit
}

// New returns a shell. Its goroutines end when ctx does.
func New(ctx context.Context, m *config.Machine, store *Store, peers Caller, post Post) *Shell {
	s := &Shell{
		machine: m, store: store, peers: peers, post: post,
		ctx: ctx, calls: make(chan struct{}, maxCalls),
		waiters: make(map[ident.AttemptID]chan config.AnswerEdit),
	}
	s.view.Store(m.View())
	return s
}

// View returns the configuration in force. Any goroutine may call it.
func (s *Shell) View() *config.View { return s.view.Load() }

// Step feeds one event to the machine. Only the control goroutine calls it.
func (s *Shell) Step(now time.Duration, e config.Event) {
	actions := s.machine.Step(now, e)
	if s.OnStep != nil {
		s.OnStep(now, e, actions)
	}
	for _, a := range actions {
		s.run(a)
	}
}

// Counters returns the counters of the machine. Any goroutine may call it.
func (s *Shell) Counters(ctx context.Context) (config.Counters, error) {
	out := make(chan config.Counters, 1)
	if !s.post(func(time.Duration) { out <- s.machine.Counters }) {
		return config.Counters{}, config.ErrShutDown
	}
	select {
	case c := <-out:
		return c, nil
	case <-ctx.Done():
		return config.Counters{}, errors.Wrap(ctx.Err(), "wait for control")
	}
}

// Edit runs an edit and waits for its outcome.
func (s *Shell) Edit(ctx context.Context, e config.Edit) (ident.Revision, error) {
	done := make(chan config.AnswerEdit, 1)
	ok := s.post(func(now time.Duration) {
		s.waiters[e.Attempt] = done
		s.Step(now, config.EditRequested{Edit: e})
	})
	if !ok {
		return 0, config.ErrShutDown
	}
	select {
	case a := <-done:
		return a.Revision, a.Err
	case <-ctx.Done():
	case <-s.ctx.Done():
	}
	return 0, config.ErrOutcomeUnknown
}

// Register adds the handlers for peers' messages.
func (s *Shell) Register(mux *wire.Mux) {
	wire.Register(mux, KindPull, s.handlePull)
	wire.Register(mux, KindPush, s.handlePush)
}

func (s *Shell) handlePull(ctx context.Context, _ wire.Peer, q config.PullRequest) (config.PullResponse, error) {
	out := make(chan config.PullResponse, 1)
	if !s.post(func(time.Duration) { out <- s.machine.AnswerPull(q) }) {
		return config.PullResponse{}, config.ErrShutDown
	}
	select {
	case r := <-out:
		return r, nil
	case <-ctx.Done():
		return config.PullResponse{}, errors.Wrap(ctx.Err(), "wait for control")
	}
}

// handlePush acknowledges when the records are in force here.
func (s *Shell) handlePush(ctx context.Context, _ wire.Peer, p config.PushMessage) (Ack, error) {
	done := make(chan struct{})
	ok := s.post(func(now time.Duration) {
		s.Step(now, config.PushReceived{Message: p})
		close(done)
	})
	if !ok {
		return Ack{}, config.ErrShutDown
	}
	select {
	case <-done:
		return Ack{}, nil
	case <-ctx.Done():
		return Ack{}, errors.Wrap(ctx.Err(), "wait for control")
	}
}

// run executes one action.
func (s *Shell) run(a config.Action) {
	switch a := a.(type) {
	case config.Publish:
		v := s.machine.View()
		s.view.Store(v)
		if s.OnPublish != nil {
			s.OnPublish(v)
		}
	case config.AnswerEdit:
		if done, ok := s.waiters[a.Attempt]; ok {
			delete(s.waiters, a.Attempt)
			done <- a
		}
	case config.Pull:
		s.call(func(ctx context.Context) config.Event { return s.pull(ctx, a) })
	case config.Push:
		s.call(func(ctx context.Context) config.Event {
			return config.PushDone{Push: a, Err: s.peers.Call(ctx, a.To, KindPush, a.Message, &Ack{})}
		})
	default:
		go s.runStore(a)
	}
}

// call runs a call to a peer in a goroutine and posts its event.
func (s *Shell) call(fn func(context.Context) config.Event) {
	go func() {
		select {
		case s.calls <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		defer func() { <-s.calls }()
		ctx, cancel := context.WithTimeout(s.ctx, wire.CallTimeout)
		defer cancel()
		s.event(fn(ctx))
	}()
}

func (s *Shell) pull(ctx context.Context, a config.Pull) config.Event {
	var resp config.PullResponse
	err := s.peers.Call(ctx, a.From, KindPull, a.Request, &resp)
	return config.Pulled{From: a.From, Request: a.Request, Response: resp, Err: err}
}

// runStore runs an action on the store and posts its event.
func (s *Shell) runStore(a config.Action) {
	ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
	defer cancel()
	switch a := a.(type) {
	case config.ReadHead:
		r, err := s.store.Head(ctx)
		s.event(config.HeadRead{Revision: r, Err: err})
	case config.Scan:
		head, records, err := s.store.Scan(ctx)
		s.event(config.Scanned{Head: head, Records: records, Err: err})
	case config.ReadEditRows:
		rows, err := s.store.Rows(ctx, a.Keys)
		s.event(config.EditRowsRead{Batch: a.Batch, Rows: rows, Err: err})
	case config.Commit:
		s.event(s.store.Commit(ctx, a))
	}
}

func (s *Shell) event(e config.Event) {
	s.post(func(now time.Duration) { s.Step(now, e) })
}
