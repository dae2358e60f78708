package experiment

import (
	"fmt"
	"slices"
	"time"

	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/service"
)

// Times of a simulated entry. The intervals are those of the daemon.
const (
	modelTickInterval    = 100 * time.Millisecond
	modelPollInterval    = 250 * time.Millisecond
	modelListInterval    = time.Second
	modelRTT             = 2 * time.Millisecond
	modelPollTimeout     = 500 * time.Millisecond
	modelMaxCommandDelay = time.Second
)

// ModelEntry is a simulated entry instance with the lease machine and the planner of
// one service.
type ModelEntry struct {
	ID      ident.InstanceID
	Planner *group.Planner
	Lease   *lease.Machine

	model       *Model
	service     ident.ServiceName
	pausedUntil time.Duration
	deferred    []func()
	// lastListed is the most recently read instance list.
	lastListed []infra.Instance
}

func newModelEntry(m *Model, doc service.Document, n int) *ModelEntry {
	id := ident.InstanceID(fmt.Sprintf("entry%d", n))
	e := &ModelEntry{
		ID:      id,
		model:   m,
		service: doc.Service,
		Planner: group.New(m.Config.Planner, doc.Service),
		Lease:   lease.New(lease.DefaultConfig(), lease.Identity{Instance: id, Incarnation: "1"}, doc.Service),
	}
	m.At(0, func() {
		e.stepLease(lease.RankChanged{Rank: n})
		e.step(group.DocumentChanged{Document: doc})
	})
	offset := time.Duration(n) * 7 * time.Millisecond
	e.repeat(offset, modelListInterval, e.listInstances)
	e.repeat(offset, modelPollInterval, e.pollEngines)
	e.repeat(offset, modelTickInterval, func() {
		e.stepLease(lease.Tick{})
		e.step(group.Tick{})
	})
	return e
}

// Pause stops the entry for the duration d. Events that arrive meanwhile are processed
// when it resumes.
func (e *ModelEntry) Pause(d time.Duration) {
	e.pausedUntil = max(e.pausedUntil, e.model.Now+d)
	e.model.At(e.pausedUntil, func() {
		if e.model.Now < e.pausedUntil {
			return
		}
		deferred := e.deferred
		e.deferred = nil
		for _, run := range deferred {
			run()
		}
	})
}

// repeat runs a function at the time given by first and then once per interval, except
// while the entry is paused.
func (e *ModelEntry) repeat(first, interval time.Duration, run func()) {
	e.model.At(first, func() {
		if e.model.Now >= e.pausedUntil {
			run()
		}
		e.repeat(first+interval, interval, run)
	})
}

// deliverEvent runs the handler of an event after a delay, or when the entry resumes if
// it is paused then.
func (e *ModelEntry) deliverEvent(after time.Duration, run func()) {
	e.model.At(e.model.Now+after, func() {
		if e.model.Now < e.pausedUntil {
			e.deferred = append(e.deferred, run)
			return
		}
		run()
	})
}

func (e *ModelEntry) listInstances() {
	out := make([]infra.Instance, 0, len(e.model.Engines))
	for _, g := range e.model.Engines {
		out = append(out, g.Info)
	}
	drains := e.model.drains
	var listed group.Event = group.InstancesListed{Instances: out}
	if slices.Equal(out, e.lastListed) {
		listed = group.InstancesUnchanged{}
	}
	e.lastListed = out
	e.deliverEvent(modelRTT, func() {
		e.step(listed)
		e.step(drains)
	})
}

func (e *ModelEntry) pollEngines() {
	for _, g := range e.model.Engines {
		sent := e.model.Now
		status, ok := g.poll()
		wait := modelRTT
		if !ok {
			wait = modelPollTimeout
		}
		r := group.Report{Instance: g.Info.ID, SentAt: sent, OK: ok, Status: status}
		e.deliverEvent(wait, func() { e.step(r) })
	}
}

func (e *ModelEntry) stepLease(ev lease.Event) {
	for _, a := range e.Lease.Step(e.model.Now, ev) {
		switch a := a.(type) {
		case lease.ReadRows:
			e.readLease()
		case lease.WriteRows:
			e.transact(a.Txn, func(c group.TransactionAnswered) {
				e.stepLease(lease.Written{Attempt: a.Attempt, Outcome: c.Outcome, Version: c.Version})
			})
		case lease.Acquired:
			e.step(group.LeaseChanged{Held: true, Grant: a.Grant})
		case lease.Renewed:
			e.step(group.LeaseChanged{Held: true, Grant: a.Grant})
		case lease.Lost:
			e.step(group.LeaseChanged{})
		}
	}
}

func (e *ModelEntry) readLease() {
	name := e.service
	if e.model.Now < e.model.StoreDownUntil {
		e.deliverEvent(modelRTT, func() { e.stepLease(lease.ReadFailed{}) })
		return
	}
	rows := lease.RowsRead{Lease: e.model.readRow(lease.Key(name)), Epoch: e.model.readRow(lease.EpochKey(name))}
	e.deliverEvent(modelRTT, func() { e.stepLease(rows) })
}

// transact sends a transaction to the store. The transaction may be applied late, and
// its answer may be lost.
func (e *ModelEntry) transact(t infra.Txn, answer func(group.TransactionAnswered)) {
	delay := modelRTT
	if e.model.randomShare(e.model.Config.DelayedShare) {
		delay = e.model.randomDuration(0, 3*time.Second)
	}
	lost := delay > 2*time.Second || e.model.randomShare(e.model.Config.LostAnswerShare)
	if lost {
		e.deliverEvent(2*time.Second, func() { answer(group.TransactionAnswered{Outcome: infra.OutcomeUnknown}) })
	}
	e.model.At(e.model.Now+delay, func() {
		c := e.model.applyTxn(t)
		if !lost {
			e.deliverEvent(modelRTT, func() { answer(c) })
		}
	})
}

func (e *ModelEntry) step(ev group.Event) {
	start := time.Now()
	actions := e.Planner.Step(e.model.Now, ev)
	if e.model.Observe != nil {
		e.model.Observe(ev, time.Since(start))
	}
	for _, a := range actions {
		switch a := a.(type) {
		case group.ReadAll:
			e.readAll()
		case group.ReadRow:
			row, ok := e.model.readRow(a.Key), e.model.Now >= e.model.StoreDownUntil
			e.deliverEvent(modelRTT, func() { e.step(group.RowRead{Attempt: a.Attempt, OK: ok, Row: row}) })
		case group.Transact:
			e.transact(a.Txn, func(c group.TransactionAnswered) {
				c.Attempt = a.Attempt
				e.step(c)
			})
		case group.Command:
			e.sendCommand(a)
		}
	}
}

func (e *ModelEntry) readAll() {
	all := group.AllRead{OK: e.model.Now >= e.model.StoreDownUntil}
	all.Head = e.model.readRow(group.HeadKey(e.service))
	all.Groups = e.model.scanRows(group.Table, string(e.service)+"/")
	all.Assignments = e.model.scanRows(group.AssignmentTable, "")
	e.deliverEvent(modelRTT, func() { e.step(all) })
}

// sendCommand sends a command to an engine. The planner gets one outcome, which is
// unknown if no answer comes before the deadline.
func (e *ModelEntry) sendCommand(c group.Command) {
	delay := modelRTT
	if e.model.randomShare(e.model.Config.DelayedShare) {
		delay = e.model.randomDuration(0, modelMaxCommandDelay)
	}
	answered := false
	answer := func(o group.CommandOutcome) {
		e.deliverEvent(modelRTT, func() {
			if !answered {
				answered = true
				e.step(group.CommandAnswered{ID: c.ID, Outcome: o})
			}
		})
	}
	lost := e.model.randomShare(e.model.Config.LostAnswerShare)
	e.model.At(c.Deadline, func() { answer(group.CommandUnknown) })
	e.model.At(e.model.Now+delay, func() {
		e.model.byID[c.Instance].deliver(c, func(o group.CommandOutcome) {
			if !lost {
				answer(o)
			}
		})
	})
}
