package runner

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/infra"
)

// task runs the state machine of one request.
type task struct {
	runner       *Runner
	req          Request
	claimRequest claim.Request
	machine      *claim.Machine
	reply        chan claim.Result
	event        <-chan claim.Event // delivers the event that ends the outstanding action
}

// run passes events to the machine until it is done. The end of the caller's
// context only has the effect of an earlier deadline: the outcome is still
// recorded without the caller.
func (t *task) run(caller context.Context) {
	deadline := time.NewTimer(t.req.Deadline - t.runner.opts.Now())
	defer deadline.Stop()
	disconnected := caller.Done()
	inGracePeriod := false
	t.step(claim.Started{})
	for !t.machine.Done() {
		select {
		case e := <-t.event:
			t.step(e)
		case <-deadline.C:
			if t.machine.Dispatching() && !inGracePeriod {
				inGracePeriod = true
				deadline.Reset(dispatchGracePeriod)
				continue
			}
			t.step(claim.DeadlinePassed{})
		case <-disconnected:
			disconnected = nil
			t.step(claim.DeadlinePassed{})
		}
	}
}

func (t *task) step(e claim.Event) {
	for _, a := range t.machine.Step(e) {
		t.execute(a)
	}
}

func (t *task) execute(a claim.Action) {
	switch a := a.(type) {
	case claim.SetFinalState:
		t.withRegistry(func(r *claim.Registry) {
			r.SetFinalState(t.runner.opts.Now(), t.claimRequest.Owner.Attempt, a.State, a.Answer)
		})
	case claim.MarkRecorded:
		t.withRegistry(func(r *claim.Registry) { r.MarkRecorded(t.runner.opts.Now(), t.claimRequest.Owner.Attempt) })
	case claim.Reply:
		t.reply <- a.Reply
	default:
		ch := make(chan claim.Event, 1)
		t.event = ch
		t.startAction(a, ch)
	}
}

func (t *task) withRegistry(fn func(*claim.Registry)) {
	t.runner.mu.Lock()
	defer t.runner.mu.Unlock()
	fn(t.runner.registry)
}

// startAction starts an action that ends with one event on the channel.
func (t *task) startAction(a claim.Action, ch chan<- claim.Event) {
	switch a := a.(type) {
	case claim.Reserve:
		t.withRegistry(func(r *claim.Registry) {
			ch <- r.Reserve(t.runner.opts.Now(), t.claimRequest, t.req.TicketExpires)
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
		go func() { ch <- claim.QueryOwnerDone{Report: t.queryOwner(a.Owner)} }()
	case claim.Dispatch:
		go func() { ch <- t.dispatch() }()
	}
}

func (t *task) write(rec claim.Record, version uint64, deadline time.Duration) claim.Event {
	value, err := rec.Encode()
	if err != nil {
		return claim.Written{Result: claim.StoreResult{Status: claim.StoreNotApplied}}
	}
	rowResult := <-t.runner.writer.write(claim.RowWrite{
		Key: t.claimRequest.Key.RowKey(), Version: version, Value: value, Deadline: deadline,
	})
	out := claim.StoreResult{Status: rowResult.Status, Version: rowResult.Version}
	if rowResult.Status == claim.StoreConflict && rowResult.Row.Version != 0 {
		stored, err := claim.DecodeRow(rowResult.Row)
		if err != nil {
			return claim.Written{Result: claim.StoreResult{Status: claim.StoreUnknown}}
		}
		out.Row = &stored
	}
	return claim.Written{Result: out}
}

// writeOutcome writes the row of an outcome. Before that, it stores the body of a
// large answer in the object store, because the row refers to it.
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
	row, err := t.runner.opts.Table.Get(ctx, t.claimRequest.Key.RowKey())
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

func (t *task) queryOwner(owner claim.Owner) claim.Report {
	if owner.Instance == t.claimRequest.Owner.Instance && owner.Incarnation == t.claimRequest.Owner.Incarnation {
		return t.runner.ReportByAttempt(owner)
	}
	ctx, cancel := context.WithTimeout(context.Background(), commitTimeout)
	defer cancel()
	return t.runner.opts.QueryOwner(ctx, owner)
}

func (t *task) dispatch() claim.Event {
	allowed := false
	t.withRegistry(func(r *claim.Registry) { allowed = r.MayDispatch(t.claimRequest.Owner.Attempt) })
	if !allowed {
		return claim.DispatchDone{Status: claim.DispatchRefused, Cause: errors.New("attempt already has a final state")}
	}
	return t.req.Dispatch(context.Background(), t.claimRequest.Owner.Attempt)
}
