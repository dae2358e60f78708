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

// Parameters of suspicions.
const (
	// suspectEvery is how often a suspicion of one group is acted on: beacons
	// repeat it.
	suspectEvery = time.Second
	// failingFor is how long a head has to fail all requests before another member
	// takes its place. Those that vouch for it are heard within that time.
	failingFor = 500 * time.Millisecond
	// pauseSuspect is how long a group takes no requests after several entry
	// instances found it without progress; a repair ends it earlier.
	pauseSuspect = 1200 * time.Millisecond
	// reportFor is how long a report of one entry instance counts. One alone may
	// be slow itself; a second one, or the same again later, is enough.
	reportFor = 1500 * time.Millisecond
	// repeatAfter is when a report of the same entry instance counts as another.
	repeatAfter = 600 * time.Millisecond
	// fewEntries is the number of entry instances up to which one report is
	// enough, because each sees much of a group's traffic.
	fewEntries = 12
)

// report is what an entry instance said of a group.
type report struct {
	beacon.Suspicion
	by ident.InstanceID
	at time.Duration
}

// suspect is called by requests that found a group without progress.
func (n *Node) suspect(group ident.GroupID, epoch ident.Epoch) {
	s := beacon.Suspicion{Group: group, Epoch: epoch}
	n.suspects.Lock()
	_, known := n.suspects.list[s]
	n.suspects.list[s] = n.now() + time.Second
	n.suspects.Unlock()
	if !known {
		n.wake()
		n.post(suspectEvent{s, n.set.Instance})
	}
}

// suspected keeps requests from a group and has the planner look at it, once
// there is a second report.
func (n *Node) suspected(e suspectEvent) {
	now := n.now()
	n.reports = slices.DeleteFunc(n.reports, func(r report) bool { return now-r.at > reportFor })
	confirmed := n.peers.Entries() <= fewEntries
	known := false
	for _, r := range n.reports {
		if r.Suspicion != e.Suspicion {
			continue
		}
		if r.by == e.by {
			known = true
		}
		if r.by != e.by || now-r.at >= repeatAfter {
			confirmed = true
		}
	}
	if !known {
		n.reports = append(n.reports, report{e.Suspicion, e.by, now})
	}
	if confirmed {
		n.confirmed(e.Suspicion)
	}
}

// replaceHeads has the planner give groups another head whose head fails all
// requests for a while.
func (n *Node) replaceHeads(now time.Duration) {
	if !n.holds.Load() || n.handler.View() == nil {
		return
	}
	failing := make(map[beacon.Suspicion]time.Duration)
	n.handler.FailingHeads(now, func(s *fleet.Server) {
		key := beacon.Suspicion{Group: s.Group, Epoch: s.Epoch}
		since, ok := n.failing[key]
		switch {
		case !ok:
			since = now
		case now-since >= failingFor:
			complaints, vouchers := n.peers.HealthReports(s.ID)
			n.log.WithFields(logrus.Fields{
				"group": s.Group, "epoch": s.Epoch, "server": s.ID, "complaints": complaints, "vouchers": vouchers,
			}).Info("head fails all requests")
			n.stepPlanner(formation.HeadFailing{Group: s.Group, Epoch: s.Epoch})
			since = now + suspectEvery
		}
		failing[key] = since
	})
	n.failing = failing
}

func (n *Node) confirmed(s beacon.Suspicion) {
	i := slices.IndexFunc(n.snapshot.Servers, func(o *fleet.Server) bool {
		return o.Group == s.Group && o.Epoch == s.Epoch && o.Rank == 0
	})
	if i < 0 {
		return
	}
	key := fmt.Sprintf("suspect:%s/%d", s.Group, s.Epoch)
	if at, ok := n.notes[key]; ok && n.now()-at < suspectEvery {
		return
	}
	n.remember(key, n.now())
	n.log.WithFields(logrus.Fields{"group": s.Group, "epoch": s.Epoch}).Info("group makes no progress")
	n.handler.Pause(n.snapshot.Servers[i].ID, s.Epoch, n.now()+pauseSuspect)
	n.stepPlanner(formation.GroupStalled{Group: s.Group, Epoch: s.Epoch})
}
