package group

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
)

// pendingTxn is the transaction that is in progress.
type pendingTxn struct {
	id        string
	txn       infra.Txn
	onApplied func(version uint64)
	// awaitingAnswer means that the transaction was sent and not answered yet;
	// retryAt is when it may be sent again.
	awaitingAnswer bool
	retryAt        time.Duration
	// mayHaveApplied means that an earlier attempt may have been applied or may
	// still be.
	mayHaveApplied bool
	// readBackDue means that the head row has to be read to find out; readingBack
	// means that this read is not answered yet.
	readingBack bool
	readBackDue bool
}

// beginTxn starts a transaction on condition that neither the lease epoch nor the
// head row has changed. build gets the attempt ID that the rows carry; onApplied is
// called with the version of the applied transaction.
func (p *Planner) beginTxn(conds []infra.Condition, build func(attempt string) []infra.Write, onApplied func(version uint64)) {
	p.attemptCounter++
	id := fmt.Sprintf("%s/%d/%d", p.service, p.grant.Epoch, p.attemptCounter)
	guards := []infra.Condition{
		{RowKey: lease.EpochKey(p.service), Version: p.grant.EpochVersion},
		{RowKey: HeadKey(p.service), Version: p.headVersion},
	}
	head := infra.Write{RowKey: HeadKey(p.service), Value: encode(Head{Attempt: id})}
	p.txn = &pendingTxn{
		id: id,
		txn: infra.Txn{
			Conditions: append(guards, conds...),
			Writes:     append([]infra.Write{head}, build(id)...),
		},
		onApplied: onApplied,
	}
}

// continueTxn sends the pending transaction, or reads the head row to find out
// whether it was applied.
func (p *Planner) continueTxn(now time.Duration) {
	t := p.txn
	if t == nil || t.awaitingAnswer || t.readingBack || now < t.retryAt {
		return
	}
	if t.readBackDue {
		t.readingBack = true
		p.emit(ReadRow{Attempt: t.id, Key: HeadKey(p.service)})
		return
	}
	t.awaitingAnswer = true
	p.emit(Transact{Attempt: t.id, Txn: t.txn, Deadline: p.grant.Expires})
}

// handleTransactionAnswered handles the result of the pending transaction.
func (p *Planner) handleTransactionAnswered(now time.Duration, e TransactionAnswered) {
	t := p.txn
	if t == nil || t.id != e.Attempt || !t.awaitingAnswer {
		return
	}
	t.awaitingAnswer = false
	switch e.Outcome {
	case infra.OutcomeApplied:
		p.finishTxn(e.Version)
	case infra.OutcomeNotApplied:
		t.retryAt = now + p.cfg.TxnRetryDelay
		if !t.mayHaveApplied {
			// The planner decides again after the delay.
			p.txn, p.retryAt = nil, t.retryAt
		}
	case infra.OutcomeConflict:
		p.handleConflict(now, t, e.Rows)
	default:
		p.Counters.UnknownOutcomes++
		t.mayHaveApplied, t.readBackDue = true, true
	}
}

// finishTxn records that the pending transaction was applied.
func (p *Planner) finishTxn(version uint64) {
	t := p.txn
	p.txn = nil
	p.headVersion = version
	t.onApplied(version)
	p.sortGroups()
}

// handleRowRead determines the outcome of a transaction whose outcome is unknown.
// If it has not been applied, it may still be, so the same transaction is sent
// again: whichever copy is applied first, the other one conflicts.
func (p *Planner) handleRowRead(now time.Duration, e RowRead) {
	t := p.txn
	if t == nil || t.id != e.Attempt || !t.readingBack {
		return
	}
	t.readingBack = false
	if !e.OK {
		t.retryAt = now + p.cfg.TxnRetryDelay
		return
	}
	t.readBackDue = false
	if version, ok := t.appliedVersion(e.Row); ok {
		p.finishTxn(version)
	}
}

// appliedVersion returns the version of a row, and whether it is the head row that
// the transaction wrote.
func (t *pendingTxn) appliedVersion(r infra.Row) (uint64, bool) {
	var head Head
	if r.Table != HeadTable || r.Version == 0 || json.Unmarshal(r.Value, &head) != nil {
		return 0, false
	}
	return r.Version, head.Attempt == t.id
}

// handleConflict handles a transaction with failed conditions, given the current
// rows of these.
func (p *Planner) handleConflict(now time.Duration, t *pendingTxn, rows []infra.Row) {
	for _, r := range rows {
		if version, ok := t.appliedVersion(r); ok {
			p.finishTxn(version)
			return
		}
	}
	p.Counters.Conflicts++
	p.txn = nil
	p.retryAt = now
	for _, r := range rows {
		i, ok := p.instances[ident.InstanceID(r.Key)]
		a, decoded := DecodeAssignment(r)
		if r.Table == AssignmentTable && ok && decoded && a.Service != p.service && i.assignment == nil {
			// Another service assigned the instance first.
			i.conflictBackoffUntil = now + p.cfg.ConflictBackoff
			continue
		}
		// The table has changed since it was read: read it again.
		p.phase = phaseIdle
		p.retryAt = now + p.cfg.TxnRetryDelay
	}
}

// handleAllRead replaces the known groups and assignments by the rows of the
// table.
func (p *Planner) handleAllRead(now time.Duration, e AllRead) {
	if p.phase != phaseReading {
		return
	}
	if !e.OK {
		p.phase = phaseIdle
		p.retryAt = now + p.cfg.TxnRetryDelay
		return
	}
	p.phase = phaseActive
	p.headVersion = e.Head.Version
	old := p.groups
	p.groups = make(map[ident.GroupID]*group, len(e.Groups))
	for _, r := range e.Groups {
		row, ok := DecodeRow(r)
		if !ok || row.Service != p.service {
			continue
		}
		if g := old[row.ID]; g != nil && g.rowVersion == r.Version {
			p.groups[row.ID] = g
			continue
		}
		stopping := row.State == StateStopping
		p.groups[row.ID] = &group{row: row, rowVersion: r.Version, stateSince: now, gracefulStop: stopping, repairAfterStop: stopping && p.cfg.Policy.Swap}
	}
	p.loadAssignments(now, e.Assignments)
	p.rowsReadEpoch = p.grant.Epoch
	for _, g := range p.groups {
		p.linkMembers(g)
	}
	p.sortGroups()
}

// linkMembers sets the members of a group, and the group of each of them whose
// assignment row names the current epoch.
func (p *Planner) linkMembers(g *group) {
	g.members = make([]*instance, len(g.row.Members))
	for n, m := range g.row.Members {
		i := p.ensureInstance(m.Instance)
		g.members[n] = i
		if i.assignment != nil && i.assignedGroup() == (groupKey{g.row.ID, g.row.Epoch}) {
			i.memberOf = g
		}
	}
}

// loadAssignments sets the assignments of the instances from the assignment rows.
func (p *Planner) loadAssignments(now time.Duration, rows []infra.Row) {
	for _, i := range p.instances {
		i.assignment, i.assignmentVersion, i.memberOf = nil, 0, nil
	}
	for _, r := range rows {
		a, ok := DecodeAssignment(r)
		if !ok || a.Service != p.service {
			continue
		}
		i := p.ensureInstance(ident.InstanceID(r.Key))
		i.assignment, i.assignmentVersion = &a, r.Version
		if p.rowsReadEpoch != p.grant.Epoch {
			// An earlier lease holder may have sent an assign that has not arrived yet.
			i.commands.recordLostAssign(max(now, p.grant.CommandsFrom))
		}
	}
}
