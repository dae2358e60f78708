package edge

import (
	"context"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/lease/leaseio"
)

// stepLease drives the lease and performs its actions.
func (n *Node) stepLease(ev lease.Event) {
	for _, a := range n.lease.Step(bootNow(), ev) {
		switch a := a.(type) {
		case lease.ReadRows:
			go n.readLease()
		case lease.WriteRows:
			go n.writeLease(a)
		case lease.Acquired:
			n.holds.Store(true)
			n.log.WithFields(logrus.Fields{"duty": formation.LeaseName, "epoch": a.Grant.Epoch}).Info("lease acquired")
			n.stepPlanner(formation.LeaseChanged{Held: true, Grant: a.Grant})
		case lease.Renewed:
			n.stepPlanner(formation.LeaseChanged{Held: true, Grant: a.Grant})
		case lease.Lost:
			n.holds.Store(false)
			n.log.WithFields(logrus.Fields{"duty": formation.LeaseName, "epoch": a.Epoch}).Info("lease ended")
			n.stepPlanner(formation.LeaseChanged{})
		}
	}
}

func (n *Node) readLease() {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	n.post(leaseInput{leaseio.Read(ctx, n.plat.Table, formation.LeaseName)})
}

func (n *Node) writeLease(w lease.WriteRows) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	n.post(leaseInput{leaseio.Write(ctx, n.plat.Table, w)})
}

// stepPlanner drives the planner and performs its actions.
func (n *Node) stepPlanner(ev formation.Event) {
	for _, a := range n.planner.Step(bootNow(), ev) {
		switch a := a.(type) {
		case formation.ReadRows:
			go n.readGroups()
		case formation.WriteRow:
			go n.writeGroup(a)
		case formation.SendOrder:
			go n.order(a.Order)
		case formation.Probe:
			go n.probe(a)
		case formation.LogEntry:
			n.log.WithFields(logrus.Fields{
				"group": a.Group, "epoch": a.Epoch, "model": a.Model, "detail": a.Detail,
			}).Info(a.Text)
		}
	}
}

// scanPage is the number of rows that one read of the table of groups asks for.
const scanPage = 500

func (n *Node) readGroups() {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	var all []infra.Row
	after := ""
	for {
		rows, err := n.plat.Table.Scan(ctx, formation.Table, after, scanPage)
		if err != nil {
			n.post(planInput{formation.ReadFailed{}})
			return
		}
		all = append(all, rows...)
		if len(rows) < scanPage {
			n.post(planInput{formation.RowsRead{Rows: all}})
			return
		}
		after = rows[len(rows)-1].Key
	}
}

func (n *Node) writeGroup(w formation.WriteRow) {
	ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
	defer cancel()
	version, err := n.plat.Table.Txn(ctx, w.Txn)
	n.post(planInput{formation.Written{Group: w.Group, Outcome: infra.OutcomeOf(err), Version: version}})
}

func (n *Node) order(o formation.Order) {
	out := n.plat.Servers.Order(n.ctx, o)
	fields := logrus.Fields{"order": o.Kind.String(), "server": o.Server, "group": o.Group, "epoch": o.Epoch, "model": o.Model, "taken": out.Accepted}
	if out.Err != nil {
		fields["error"] = out.Err.Error()
	}
	n.log.WithFields(fields).Info("order")
	n.post(planInput{formation.Ordered{Order: o, Outcome: out}})
}

func (n *Node) probe(p formation.Probe) {
	err := n.plat.Servers.Alive(n.ctx, p.Address, p.Member.ID)
	fields := logrus.Fields{"server": p.Member.ID, "incarnation": p.Member.Incarnation, "alive": err == nil}
	if err != nil {
		fields["error"] = err.Error()
	}
	n.log.WithFields(fields).Info("probe")
	n.post(planInput{formation.Probed{Member: p.Member, Alive: err == nil}})
}
