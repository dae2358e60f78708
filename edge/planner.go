package edge

import (
	"context"
	"errors"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/duty"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/lease/leaseio"
)

// stepLease passes an event to the lease state machine and performs the actions
// that it returns.
func (n *Node) stepLease(ev lease.Event) {
	for _, a := range n.leaseMachine.Step(bootNow(), ev) {
		switch a := a.(type) {
		case lease.ReadRows:
			go n.readLease()
		case lease.WriteRows:
			go n.writeLease(a)
		case lease.Acquired:
			n.holdsLease.Store(true)
			n.log.WithFields(logrus.Fields{"duty": formation.LeaseName, "epoch": a.Grant.Epoch}).Info("lease acquired")
			n.stepPlanner(formation.LeaseChanged{Held: true, Grant: a.Grant})
			n.stepDuties(duty.LeaseChanged{Held: true, Grant: a.Grant, OwnFormerRun: a.Former.Instance == n.self.Instance})
		case lease.Renewed:
			n.stepPlanner(formation.LeaseChanged{Held: true, Grant: a.Grant})
			n.stepDuties(duty.LeaseChanged{Held: true, Grant: a.Grant})
		case lease.Lost:
			n.holdsLease.Store(false)
			n.log.WithFields(logrus.Fields{"duty": formation.LeaseName, "epoch": a.Epoch}).Info("lease ended")
			n.stepPlanner(formation.LeaseChanged{})
			n.stepDuties(duty.LeaseChanged{})
		}
	}
}

// readLease reads the rows of the planner's lease and posts the result.
func (n *Node) readLease() {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	n.post(leaseEvent{leaseio.Read(ctx, n.platform.Table, formation.LeaseName)})
}

// writeLease writes the rows of the planner's lease and posts the outcome.
func (n *Node) writeLease(w lease.WriteRows) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	n.post(leaseEvent{leaseio.Write(ctx, n.platform.Table, w)})
}

// stepPlanner passes an event to the group planner and performs the actions that
// it returns.
func (n *Node) stepPlanner(ev formation.Event) {
	for _, a := range n.planner.Step(bootNow(), ev) {
		switch a := a.(type) {
		case formation.ReadRows:
			go n.readGroups(a.Attempt)
		case formation.WriteRow:
			go n.writeGroup(a)
		case formation.SendOrder:
			go n.sendOrder(a.Order)
		case formation.Probe:
			go n.probeServer(a)
		case formation.LogEntry:
			n.log.WithFields(logrus.Fields{
				"group": a.Group, "epoch": a.Epoch, "model": a.Model, "detail": a.Detail,
			}).Info(a.Text)
		}
	}
}

// scanPageSize is the number of rows that one scan of the group table requests.
const scanPageSize = 500

// readGroups reads all rows of the group table, page by page, and posts the result.
func (n *Node) readGroups(attempt uint64) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	era := infra.EraOf(n.platform.Table)
	var all []infra.Row
	after := ""
	for {
		rows, err := n.platform.Table.Scan(ctx, formation.Table, after, scanPageSize)
		if err != nil {
			n.post(plannerEvent{formation.ReadFailed{Attempt: attempt}})
			return
		}
		all = append(all, rows...)
		if len(rows) < scanPageSize {
			if infra.EraOf(n.platform.Table) != era {
				n.post(plannerEvent{formation.ReadFailed{Attempt: attempt}}) // The rows may be of two eras.
				return
			}
			n.post(plannerEvent{formation.RowsRead{Attempt: attempt, Rows: all, Era: era}})
			return
		}
		after = rows[len(rows)-1].Key
	}
}

// writeGroup writes the row of a group and posts the outcome.
func (n *Node) writeGroup(w formation.WriteRow) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	version, err := n.platform.Table.Txn(ctx, w.Txn)
	n.post(plannerEvent{formation.Written{Attempt: w.Attempt, Group: w.Group, Outcome: infra.OutcomeOf(err), Version: version}})
}

// sendOrder sends an order to a backend server, and logs and posts its outcome.
func (n *Node) sendOrder(order formation.Order) {
	outcome := n.platform.Servers.Order(n.ctx, order)
	fields := logrus.Fields{"order": order.Kind.String(), "server": order.Server, "group": order.Group, "epoch": order.Epoch, "model": order.Model, "taken": outcome.Accepted}
	if outcome.Err != nil {
		fields["error"] = outcome.Err.Error()
	}
	n.log.WithFields(fields).Info("order")
	n.post(plannerEvent{formation.Ordered{Order: order, Outcome: outcome}})
}

// probeServer checks whether a backend server is alive, and logs and posts the
// result.
func (n *Node) probeServer(p formation.Probe) {
	err := n.platform.Servers.Alive(n.ctx, p.Address, p.Member.ID)
	fields := logrus.Fields{"server": p.Member.ID, "incarnation": p.Member.Incarnation, "alive": err == nil}
	if err != nil {
		fields["error"] = err.Error()
	}
	n.log.WithFields(fields).Info("probe")
	n.post(plannerEvent{formation.Probed{Member: p.Member, Alive: err == nil, Silent: isSilence(err)}})
}

// isSilence reports whether a probe failed because nothing came in time. Any other error,
// such as a refused or reset connection, shows that the server has ended.
func isSilence(err error) bool {
	var timeout interface{ Timeout() bool }
	return errors.As(err, &timeout) && timeout.Timeout()
}
