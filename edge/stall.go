package edge

import (
	"fmt"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/beacon"
	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Parameters of the handling of stalled groups and failing heads.
const (
	// stallActionInterval is the least time between two reactions to the stall of
	// one group, because beacons repeat the reports.
	stallActionInterval = time.Second
	// headFailureTime is how long a head has to fail all requests before another
	// member replaces it. Health reports of instances that it still answers arrive
	// within that time.
	headFailureTime = 500 * time.Millisecond
	// stalledGroupPause is how long a group gets no requests after its stall has been
	// confirmed. A repair ends the pause earlier.
	stalledGroupPause = 1200 * time.Millisecond
	// stallReportLifetime is how long a report counts. A single report is not enough,
	// because its sender may be slow itself: a second instance has to report the
	// group too, or the same one again after stallRepeatInterval.
	stallReportLifetime = 1500 * time.Millisecond
	// stallRepeatInterval is the time after which a further report of the same entry
	// instance counts as a second one.
	stallRepeatInterval = 600 * time.Millisecond
	// singleReportInstances is the number of live entry instances up to which one
	// report is enough, because each then sees much of a group's traffic.
	singleReportInstances = 12
)

// stallReport is an entry instance's report that a group makes no progress.
type stallReport struct {
	beacon.GroupEpoch
	reporter   ident.InstanceID
	reportedAt time.Duration
}

// reportStall records that a request found a group without progress, and announces
// it to the other entry instances. The request handler calls it from any goroutine.
func (n *Node) reportStall(group ident.GroupID, epoch ident.Epoch) {
	key := beacon.GroupEpoch{Group: group, Epoch: epoch}
	n.stalledGroups.Lock()
	_, known := n.stalledGroups.reportUntil[key]
	n.stalledGroups.reportUntil[key] = n.now() + time.Second
	n.stalledGroups.Unlock()
	if !known {
		n.requestBeacon()
		n.post(stallReportEvent{key, n.settings.Instance})
	}
}

// handleStallReport records a report of a stalled group. If it confirms the stall,
// the group is paused and the planner checks it.
func (n *Node) handleStallReport(e stallReportEvent) {
	now := n.now()
	if head := n.groupHead(e.GroupEpoch); head == nil || n.handler.GroupProgresses(head, now) {
		return
	}
	n.stallReports = slices.DeleteFunc(n.stallReports, func(r stallReport) bool { return now-r.reportedAt > stallReportLifetime })
	confirmed := n.peers.AliveInstances() <= singleReportInstances
	known := false
	for _, r := range n.stallReports {
		if r.GroupEpoch != e.GroupEpoch {
			continue
		}
		if r.reporter == e.reporter {
			known = true
		}
		if r.reporter != e.reporter || now-r.reportedAt >= stallRepeatInterval {
			confirmed = true
		}
	}
	if !known {
		n.stallReports = append(n.stallReports, stallReport{e.GroupEpoch, e.reporter, now})
	}
	if confirmed {
		n.handleConfirmedStall(e.GroupEpoch)
	}
}

// replaceFailingHeads has the planner replace the heads that have failed all requests
// for headFailureTime. Only the holder of the planner's lease does so.
func (n *Node) replaceFailingHeads(now time.Duration) {
	if !n.holdsLease.Load() || n.handler.View() == nil {
		return
	}
	failing := make(map[beacon.GroupEpoch]time.Duration)
	n.handler.FailingHeads(now, func(s *fleet.Server) {
		key := beacon.GroupEpoch{Group: s.Group, Epoch: s.Epoch}
		failingSince, ok := n.failingHeads[key]
		switch {
		case !ok:
			failingSince = now
		case now-failingSince >= headFailureTime:
			failureReports, healthReports := n.peers.HealthReports(s.ID)
			n.log.WithFields(logrus.Fields{
				"group": s.Group, "epoch": s.Epoch, "server": s.ID, "complaints": failureReports, "vouchers": healthReports,
			}).Info("head fails all requests")
			n.stepPlanner(formation.HeadFailing{Group: s.Group, Epoch: s.Epoch})
			failingSince = now + stallActionInterval
		}
		failing[key] = failingSince
	})
	n.failingHeads = failing
}

// handleConfirmedStall pauses a stalled group and has the planner check it, at most
// once per stallActionInterval.
func (n *Node) handleConfirmedStall(group beacon.GroupEpoch) {
	head := n.groupHead(group)
	if head == nil {
		return
	}
	key := fmt.Sprintf("suspect:%s/%d", group.Group, group.Epoch)
	if last, ok := n.lastLogged[key]; ok && n.now()-last < stallActionInterval {
		return
	}
	n.recordLogged(key, n.now())
	n.log.WithFields(logrus.Fields{"group": group.Group, "epoch": group.Epoch}).Info("group makes no progress")
	n.handler.Pause(head.ID, group.Epoch, n.now()+stalledGroupPause)
	n.stepPlanner(formation.GroupStalled{Group: group.Group, Epoch: group.Epoch})
}

// groupHead returns the head of a group in one of its epochs, or nil if no server is.
func (n *Node) groupHead(group beacon.GroupEpoch) *fleet.Server {
	i := slices.IndexFunc(n.serverSnapshot.Servers, func(s *fleet.Server) bool {
		return s.Group == group.Group && s.Epoch == group.Epoch && s.Rank == 0
	})
	if i < 0 {
		return nil
	}
	return n.serverSnapshot.Servers[i]
}
