package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/infra"
)

// task drives the machine of one request.
type task struct {
	runner  *Runner
	req     Request
	claim   claim.Request
	machine *claim.Machine
	verdict chan claim.Result
	result  <-chan claim.Event // of the outstanding action
}

// run feeds events until the machine is done. The caller's context only
// shortens the deadline: an outcome is learnt and recorded without the caller.
func (t *task) run(caller context.Context) {
	deadline := time.NewTimer(t.req.Deadline - t.runner.opts.Now())
	defer deadline.Stop()
	gone := caller.Done()
	graced := false
	t.step(claim.Started{})
	for !t.machine.Done() {
		select {
		case e := <-t.result:
			t.step(e)
		case <-deadline.C:
			if t.machine.Dispatching() && !graced {
				graced = true
				deadline.Reset(dispatchGrace)
				continue
			}
			t.step(claim.DeadlinePassed{})
		case <-gone:
			gone = nil
			t.step(claim.DeadlinePassed{})
		}
	}
}

func (t *task) step(e claim.Event) {
	for _, a := range t.machine.Step(e) {
		t.act(a)
	}
}

func (t *task) act(a claim.Action) {
	switch a := a.(type) {
	case claim.SetFinalState:
		t.locked(func(r *claim.Registry) {
			r.SetFinalState(t.runner.opts.Now(), t.claim.Owner.Attempt, a.State, a.Answer)
		})
	case claim.MarkRecorded:
		t.locked(func(r *claim.Registry) { r.MarkRecorded(t.runner.opts.Now(), t.claim.Owner.Attempt) })
	case claim.Reply:
		t.verdict <- a.Reply
	default:
		ch := make(chan claim.Event, 1)
		t.result = ch
		t.start(a, ch)
	}
}

func (t *task) locked(fn func(*claim.Registry)) {
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	fn(t.runner.register)
}

// start begins an action that is answered by one event on the channel.
func (t *task) start(a claim.Action, ch chan<- claim.Event) {
	switch a := a.(type) {
	case claim.Reserve:
		t.locked(func(r *claim.Registry) {
			ch <- r.Reserve(t.runner.opts.Now(), t.claim, t.req.TicketExpires)
		})
	case claim.Wait:
		time.AfterFunc(a.Delay, func() { ch <- claim.WaitDone{} })
	case claim.Insert:
		go func() { ch <- t.write(a.Record, 0, t.req.Deadline) }()
	case claim.Takeover:
		go func() { ch <- t.write(a.Record, a.Version, t.req.Deadline) }()
	case claim.WriteOutcome:
		go func() { ch <- t.writeOutcome(a) }()
	case claim.Read:
		go func() { ch <- t.read() }()
	case claim.QueryOwner:
		go func() { ch <- claim.QueryOwnerDone{Report: t.ask(a.Owner)} }()
	case claim.Dispatch:
		go func() { ch <- t.dispatch() }()
	}
}

func (t *task) write(rec claim.Record, version uint64, deadline time.Duration) claim.Event {
	value, err := rec.Encode()
	if err != nil {
		return claim.Written{Result: claim.StoreResult{Status: claim.StoreNotApplied}}
	}
	res := <-t.runner.store.write(claim.RowWrite{
		Key: t.claim.Key.RowKey(), Version: version, Value: value, Deadline: deadline,
	})
	out := claim.StoreResult{Status: res.Status, Version: res.Version}
	if res.Status == claim.StoreConflict && res.Row.Version != 0 {
		stored, err := claim.DecodeRow(res.Row)
		if err != nil {
			return claim.Written{Result: claim.StoreResult{Status: claim.StoreUnknown}}
		}
		out.Row = &stored
	}
	return claim.Written{Result: out}
}

// writeOutcome puts a large answer into the object store before the row that
// names it.
func (t *task) writeOutcome(a claim.WriteOutcome) claim.Event {
	rec := a.Record
	if rec.Answer != nil && len(rec.Answer.Body) > claim.MaxInlineAnswerBytes {
		object := "claim/" + string(rec.Attempt)
		ctx, cancel := context.WithTimeout(context.Background(), outcomeTimeout)
		defer cancel()
		if err := t.runner.opts.Objects.PutObject(ctx, object, rec.Answer.Body); err != nil {
			return claim.Written{Result: claim.StoreResult{Status: claim.StoreNotApplied}}
		}
		rec.Answer = &claim.Answer{Status: rec.Answer.Status, Header: rec.Answer.Header, Object: object}
	}
	return t.write(rec, a.Version, t.runner.opts.Now()+outcomeTimeout)
}

func (t *task) read() claim.Event {
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	row, err := t.runner.opts.Table.Get(ctx, t.claim.Key.RowKey())
	if errors.Is(err, infra.ErrRowNotFound) {
		return claim.ReadDone{}
	}
	if err != nil {
		return claim.ReadDone{Failed: true}
	}
	stored, err := claim.DecodeRow(row)
	if err != nil {
		return claim.ReadDone{Failed: true}
	}
	return claim.ReadDone{Row: &stored}
}

func (t *task) ask(o claim.Owner) claim.Report {
	if o.Instance == t.claim.Owner.Instance && o.Incarnation == t.claim.Owner.Incarnation {
		return t.runner.ReportByAttempt(o)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	return t.runner.opts.QueryOwner(ctx, o)
}

func (t *task) dispatch() claim.Event {
	allowed := false
	t.locked(func(r *claim.Registry) { allowed = r.MayDispatch(t.claim.Owner.Attempt) })
	if !allowed {
		return claim.DispatchDone{Status: claim.DispatchRefused, Cause: errors.New("attempt was settled before")}
	}
	return t.req.Dispatch(context.Background(), t.claim.Owner.Attempt)
}
