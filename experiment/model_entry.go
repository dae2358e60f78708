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

// Intervals of a modelled entry, as in the daemon.
const (
	modelTick  = 100 * time.Millisecond
	modelPoll  = 250 * time.Millisecond
	modelList  = time.Second
	modelRTT   = 2 * time.Millisecond
	pollWait   = 500 * time.Millisecond
	answerWait = time.Second
)

// ModelEntry is an entry with the lease and the planner of the service.
type ModelEntry struct {
	ID      ident.InstanceID
	Planner *group.Planner
	Lease   *lease.Machine

	m       *Model
	service ident.ServiceName
	paused  time.Duration
	inbox   []func()
	// listed is the instance list that was read last.
	listed []infra.Instance
}

func newModelEntry(m *Model, doc service.Document, n int) *ModelEntry {
	id := ident.InstanceID(fmt.Sprintf("entry%d", n))
	e := &ModelEntry{
		ID:      id,
		m:       m,
		service: doc.Service,
		Planner: group.New(m.Config.Planner, doc.Service),
		Lease:   lease.New(lease.DefaultConfig(), lease.Identity{Instance: id, Incarnation: "1"}, doc.Service),
	}
	m.At(0, func() {
		e.stepLease(lease.RankChanged{Rank: n})
		e.step(group.DocumentChanged{Document: doc})
	})
	offset := time.Duration(n) * 7 * time.Millisecond
	e.every(offset, modelList, e.list)
	e.every(offset, modelPoll, e.poll)
	e.every(offset, modelTick, func() {
		e.stepLease(lease.Tick{})
		e.step(group.Tick{})
	})
	return e
}

// Pause stops the entry; its events wait.
func (e *ModelEntry) Pause(d time.Duration) {
	e.paused = max(e.paused, e.m.Now+d)
	e.m.At(e.paused, func() {
		if e.m.Now < e.paused {
			return
		}
		inbox := e.inbox
		e.inbox = nil
		for _, run := range inbox {
			run()
		}
	})
}

// every repeats work, which a paused entry leaves out.
func (e *ModelEntry) every(at, interval time.Duration, run func()) {
	e.m.At(at, func() {
		if e.m.Now >= e.paused {
			run()
		}
		e.every(at+interval, interval, run)
	})
}

// reply delivers an event to the entry, after its pause if need be.
func (e *ModelEntry) reply(after time.Duration, run func()) {
	e.m.At(e.m.Now+after, func() {
		if e.m.Now < e.paused {
			e.inbox = append(e.inbox, run)
			return
		}
		run()
	})
}

func (e *ModelEntry) list() {
	out := make([]infra.Instance, 0, len(e.m.Engines))
	for _, g := range e.m.Engines {
		out = append(out, g.Info)
	}
	drains := e.m.drains
	var listed group.Event = group.InstancesListed{Instances: out}
	if slices.Equal(out, e.listed) {
		listed = group.InstancesUnchanged{}
	}
	e.listed = out
	e.reply(modelRTT, func() {
		e.step(listed)
		e.step(drains)
	})
}

func (e *ModelEntry) poll() {
	for _, g := range e.m.Engines {
		sent := e.m.Now
		status, ok := g.poll()
		wait := modelRTT
		if !ok {
			wait = pollWait
		}
		r := group.Report{Instance: g.Info.ID, SentAt: sent, OK: ok, Status: status}
		e.reply(wait, func() { e.step(r) })
	}
}

func (e *ModelEntry) stepLease(ev lease.Event) {
	for _, a := range e.Lease.Step(e.m.Now, ev) {
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
	if e.m.Now < e.m.StoreDownUntil {
		e.reply(modelRTT, func() { e.stepLease(lease.ReadFailed{}) })
		return
	}
	rows := lease.RowsRead{Lease: e.m.get(lease.Key(name)), Epoch: e.m.get(lease.EpochKey(name))}
	e.reply(modelRTT, func() { e.stepLease(rows) })
}

// transact carries a transaction to the store. It may apply late, and its
// answer may be lost.
func (e *ModelEntry) transact(t infra.Txn, answer func(group.TransactionAnswered)) {
	delay := modelRTT
	if e.m.chance(e.m.Config.DelayedShare) {
		delay = e.m.between(0, 3*time.Second)
	}
	lost := delay > 2*time.Second || e.m.chance(e.m.Config.LostAnswerShare)
	if lost {
		e.reply(2*time.Second, func() { answer(group.TransactionAnswered{Outcome: infra.OutcomeUnknown}) })
	}
	e.m.At(e.m.Now+delay, func() {
		c := e.m.txn(t)
		if !lost {
			e.reply(modelRTT, func() { answer(c) })
		}
	})
}

func (e *ModelEntry) step(ev group.Event) {
	start := time.Now()
	actions := e.Planner.Step(e.m.Now, ev)
	if e.m.Observe != nil {
		e.m.Observe(ev, time.Since(start))
	}
	for _, a := range actions {
		switch a := a.(type) {
		case group.ReadAll:
			e.readAll()
		case group.ReadRow:
			row, ok := e.m.get(a.Key), e.m.Now >= e.m.StoreDownUntil
			e.reply(modelRTT, func() { e.step(group.RowRead{Attempt: a.Attempt, OK: ok, Row: row}) })
		case group.Transact:
			e.transact(a.Txn, func(c group.TransactionAnswered) {
				c.Attempt = a.Attempt
				e.step(c)
			})
		case group.Command:
			e.command(a)
		}
	}
}

func (e *ModelEntry) readAll() {
	all := group.AllRead{OK: e.m.Now >= e.m.StoreDownUntil}
	all.Head = e.m.get(group.HeadKey(e.service))
	all.Groups = e.m.scan(group.Table, string(e.service)+"/")
	all.Assignments = e.m.scan(group.AssignmentTable, "")
	e.reply(modelRTT, func() { e.step(all) })
}

// command carries a command to an engine. Its answer comes at most once, at the
// latest at its deadline.
func (e *ModelEntry) command(c group.Command) {
	delay := modelRTT
	if e.m.chance(e.m.Config.DelayedShare) {
		delay = e.m.between(0, answerWait)
	}
	answered := false
	answer := func(o group.CommandOutcome) {
		e.reply(modelRTT, func() {
			if !answered {
				answered = true
				e.step(group.CommandAnswered{ID: c.ID, Outcome: o})
			}
		})
	}
	lost := e.m.chance(e.m.Config.LostAnswerShare)
	e.m.At(c.Deadline, func() { answer(group.CommandUnknown) })
	e.m.At(e.m.Now+delay, func() {
		e.m.byID[c.Instance].deliver(c, func(o group.CommandOutcome) {
			if !lost {
				answer(o)
			}
		})
	})
}
