package group

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
)

// pendingTxn is the one transaction under way.
type pendingTxn struct {
	id   string
	txn  infra.Txn
	done func(version uint64)
	// sent means that an answer is awaited; retry is when it may be sent again.
	sent  bool
	retry time.Duration
	// unknown means that an earlier try may have applied or may still apply.
	unknown bool
	reading bool
	readDue bool
}

// begin starts a transaction on the condition that neither the lease nor the
// head moved. build gets the attempt id that the rows carry.
func (p *Planner) begin(conds []infra.Condition, build func(attempt string) []infra.Write, done func(version uint64)) {
	p.attempts++
	id := fmt.Sprintf("%s/%d/%d", p.service, p.grant.Epoch, p.attempts)
	guards := []infra.Condition{
		{RowKey: lease.EpochKey(p.service), Version: p.grant.EpochVersion},
		{RowKey: HeadKey(p.service), Version: p.head},
	}
	head := infra.Write{RowKey: HeadKey(p.service), Value: encode(Head{Attempt: id})}
	p.txn = &pendingTxn{
		id: id,
		txn: infra.Txn{
			Conditions: append(guards, conds...),
			Writes:     append([]infra.Write{head}, build(id)...),
		},
		done: done,
	}
}

// driveTxn sends the pending transaction, or reads back what became of it.
func (p *Planner) driveTxn(now time.Duration) {
	t := p.txn
	if t == nil || t.sent || t.reading || now < t.retry {
		return
	}
	if t.readDue {
		t.reading = true
		p.emit(ReadRow{Attempt: t.id, Key: HeadKey(p.service)})
		return
	}
	t.sent = true
	p.emit(Transact{Attempt: t.id, Txn: t.txn, Deadline: p.grant.Expires})
}

func (p *Planner) committed(now time.Duration, e TransactionAnswered) {
	t := p.txn
	if t == nil || t.id != e.Attempt || !t.sent {
		return
	}
	t.sent = false
	switch e.Outcome {
	case infra.OutcomeApplied:
		p.finish(e.Version)
	case infra.OutcomeNotApplied:
		t.retry = now + p.cfg.TxnRetry
		if !t.unknown {
			// The plan is made anew when the store is back.
			p.txn, p.retry = nil, t.retry
		}
	case infra.OutcomeConflict:
		p.conflicted(now, t, e.Rows)
	default:
		p.Counters.UnknownOutcomes++
		t.unknown, t.readDue = true, true
	}
}

// finish records that the pending transaction applied.
func (p *Planner) finish(version uint64) {
	t := p.txn
	p.txn = nil
	p.head = version
	t.done(version)
	p.sortGroups()
}

// rowRead settles a transaction with an unknown outcome. If it has not applied
// yet it may still do so, so the same transaction is sent again: whichever copy
// comes first, the other one conflicts.
func (p *Planner) rowRead(now time.Duration, e RowRead) {
	t := p.txn
	if t == nil || t.id != e.Attempt || !t.reading {
		return
	}
	t.reading = false
	if !e.OK {
		t.retry = now + p.cfg.TxnRetry
		return
	}
	t.readDue = false
	if version, ok := t.appliedBy(e.Row); ok {
		p.finish(version)
	}
}

// appliedBy reports whether a row is the head row as the transaction wrote it.
func (t *pendingTxn) appliedBy(r infra.Row) (uint64, bool) {
	var head Head
	if r.Table != HeadTable || r.Version == 0 || json.Unmarshal(r.Value, &head) != nil {
		return 0, false
	}
	return r.Version, head.Attempt == t.id
}

// conflicted learns from the rows that failed their conditions.
func (p *Planner) conflicted(now time.Duration, t *pendingTxn, rows []infra.Row) {
	for _, r := range rows {
		if version, ok := t.appliedBy(r); ok {
			p.finish(version)
			return
		}
	}
	p.Counters.Conflicts++
	p.txn = nil
	p.retry = now
	for _, r := range rows {
		i, ok := p.instances[ident.InstanceID(r.Key)]
		a, decoded := DecodeAssignment(r)
		if r.Table == AssignmentTable && ok && decoded && a.Service != p.service && i.assigned == nil {
			// Another service was first.
			i.blockedUntil = now + p.cfg.ConflictPause
			continue
		}
		// The table differs from what is known here: read it again.
		p.phase = phaseIdle
		p.retry = now + p.cfg.TxnRetry
	}
}

// allRead takes the rows of the table as the truth.
func (p *Planner) allRead(now time.Duration, e AllRead) {
	if p.phase != phaseReading {
		return
	}
	if !e.OK {
		p.phase = phaseIdle
		p.retry = now + p.cfg.TxnRetry
		return
	}
	p.phase = phaseActive
	p.head = e.Head.Version
	old := p.groups
	p.groups = make(map[ident.GroupID]*group, len(e.Groups))
	for _, r := range e.Groups {
		row, ok := DecodeRow(r)
		if !ok || row.Service != p.service {
			continue
		}
		if g := old[row.ID]; g != nil && g.version == r.Version {
			p.groups[row.ID] = g
			continue
		}
		stopping := row.State == StateStopping
		p.groups[row.ID] = &group{row: row, version: r.Version, since: now, graceful: stopping, repair: stopping && p.cfg.Policy.Swap}
	}
	p.readAssignments(now, e.Assignments)
	p.readEpoch = p.grant.Epoch
	for _, g := range p.groups {
		p.link(g)
	}
	p.sortGroups()
}

// link connects a group with its members.
func (p *Planner) link(g *group) {
	g.members = make([]*instance, len(g.row.Members))
	for n, m := range g.row.Members {
		i := p.instance(m.Instance)
		g.members[n] = i
		if i.assigned != nil && i.assignedKey() == (groupKey{g.row.ID, g.row.Epoch}) {
			i.member = g
		}
	}
}

func (p *Planner) readAssignments(now time.Duration, rows []infra.Row) {
	for _, i := range p.instances {
		i.assigned, i.version, i.member = nil, 0, nil
	}
	for _, r := range rows {
		a, ok := DecodeAssignment(r)
		if !ok || a.Service != p.service {
			continue
		}
		i := p.instance(ident.InstanceID(r.Key))
		i.assigned, i.version = &a, r.Version
		if p.readEpoch != p.grant.Epoch {
			// An earlier holder may have sent an assign that has not arrived.
			i.commands.unsettle(max(now, p.grant.CommandsFrom))
		}
	}
}
