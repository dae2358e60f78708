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
	// maxCalls bounds the concurrent calls to peers.
	maxCalls = 64
)

// Post queues a function for the control goroutine, which calls it with the
// current time. It returns false if the control goroutine has ended.
type Post func(fn func(now time.Duration)) bool

// Caller calls a peer. *wire.Node implements it.
type Caller interface {
	Call(ctx context.Context, addr string, kind wire.Kind, req, resp any) error
}

// Ack is the response to a push.
type Ack struct{}

// Shell runs the actions of a configuration machine. Only the control goroutine
// uses the machine; calls to peers and to the store run in goroutines of their
// own and post their results as events.
type Shell struct {
	machine *config.Machine
	store   *Store
	peers   Caller
	post    Post
	// OnPublish is called on the control goroutine when the view changed.
	OnPublish func(*config.View)
	// OnStep, if set, is called with each event and its actions, for a trace.
	OnStep func(now time.Duration, e config.Event, actions []config.Action)

	ctx       context.Context
	callSlots chan struct{}
	view      atomic.Pointer[config.View]
	// waiters is used only by the control goroutine.
	waiters map[ident.AttemptID]chan config.AnswerEdit
}

// New returns a shell. Its goroutines stop when ctx ends.
func New(ctx context.Context, m *config.Machine, store *Store, peers Caller, post Post) *Shell {
	s := &Shell{
		machine: m, store: store, peers: peers, post: post,
		ctx: ctx, callSlots: make(chan struct{}, maxCalls),
		waiters: make(map[ident.AttemptID]chan config.AnswerEdit),
	}
	s.view.Store(m.View())
	return s
}

// View returns the configuration in force. Any goroutine may call it.
func (s *Shell) View() *config.View { return s.view.Load() }

// Step applies one event to the machine and runs the resulting actions. Only the
// control goroutine may call it.
func (s *Shell) Step(now time.Duration, e config.Event) {
	actions := s.machine.Step(now, e)
	if s.OnStep != nil {
		s.OnStep(now, e, actions)
	}
	for _, a := range actions {
		s.runAction(a)
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
		return config.Counters{}, errors.Wrap(ctx.Err(), "wait for the control goroutine")
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

// Register adds the handlers for peer messages to mux.
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

// handlePush acknowledges a push once its records are in force on this node.
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

// runAction runs one action.
func (s *Shell) runAction(a config.Action) {
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
		s.callPeer(func(ctx context.Context) config.Event { return s.pull(ctx, a) })
	case config.Push:
		s.callPeer(func(ctx context.Context) config.Event {
			return config.PushDone{Push: a, Err: s.peers.Call(ctx, a.To, KindPush, a.Message, &Ack{})}
		})
	default:
		go s.runStore(a)
	}
}

// callPeer runs a call to a peer in a goroutine and posts its result.
func (s *Shell) callPeer(fn func(context.Context) config.Event) {
	go func() {
		select {
		case s.callSlots <- struct{}{}:
		case <-s.ctx.Done():
			return
		}
		defer func() { <-s.callSlots }()
		ctx, cancel := context.WithTimeout(s.ctx, wire.CallTimeout)
		defer cancel()
		s.postEvent(fn(ctx))
	}()
}

func (s *Shell) pull(ctx context.Context, a config.Pull) config.Event {
	var resp config.PullResponse
	err := s.peers.Call(ctx, a.From, KindPull, a.Request, &resp)
	return config.Pulled{From: a.From, Request: a.Request, Response: resp, Err: err}
}

// runStore runs an action on the store and posts its result.
func (s *Shell) runStore(a config.Action) {
	ctx, cancel := context.WithTimeout(s.ctx, storeTimeout)
	defer cancel()
	switch a := a.(type) {
	case config.ReadHead:
		var e config.HeadRead
		e.Era, e.Err = s.store.InEra(func() (err error) { e.Revision, err = s.store.Head(ctx); return err })
		s.postEvent(e)
	case config.Scan:
		var e config.Scanned
		e.Era, e.Err = s.store.InEra(func() (err error) { e.Head, e.Records, err = s.store.Scan(ctx); return err })
		s.postEvent(e)
	case config.ReadEditRows:
		e := config.EditRowsRead{Batch: a.Batch}
		e.Era, e.Err = s.store.InEra(func() (err error) { e.Rows, err = s.store.EditRows(ctx, a); return err })
		s.postEvent(e)
	case config.Commit:
		s.postEvent(s.store.Commit(ctx, a))
	}
}

func (s *Shell) postEvent(e config.Event) {
	s.post(func(now time.Duration) { s.Step(now, e) })
}
