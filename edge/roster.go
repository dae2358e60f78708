package edge

import (
	"fmt"
	"strings"

	"github.com/bulrushfall/bulrushfall/beacon"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/lease"
)

// rosterView is what the control goroutine derives from the roster of entry instances.
type rosterView struct {
	records []beacon.Record
	// leaseRank and readerRank are the numbers of instances that are preferred to this
	// one for holding the lease and for reading the store, and localRank is that of its
	// data centre for reading.
	leaseRank, readerRank, localRank int
	// holder is the instance that announces that it holds the planner's lease.
	holder lease.Identity
	// requestsReceived is true if any of them has accepted a request.
	requestsReceived bool
}

// updateRoster derives the view of the roster again if a record has changed. An unchanged
// roster is the same slice.
func (n *Node) updateRoster() {
	records := n.peers.Roster()
	if len(records) == len(n.roster.records) && (len(records) == 0 || &records[0] == &n.roster.records[0]) {
		return
	}
	view := rosterView{records: records}
	for i := range records {
		r := &records[i]
		view.requestsReceived = view.requestsReceived || r.Has(beacon.FlagRequestsReceived)
		if r.Has(beacon.FlagHoldsLease) {
			view.holder = lease.Identity{Instance: r.From, Incarnation: r.Incarnation}
		}
		if r.Has(beacon.FlagLeaving) {
			continue
		}
		if n.ranksBefore(formation.LeaseName, r) {
			view.leaseRank++
		}
		if n.ranksBefore(readerDuty, r) {
			view.readerRank++
			if r.DataCentre == n.settings.DataCentre {
				view.localRank++
			}
		}
	}
	n.roster = view
}

// maxLoggedPeers is the number of entry instances that one log line names.
const maxLoggedPeers = 3

// logPeerChanges logs which entry instances have appeared or fallen silent since the last
// call, in one line each.
func (n *Node) logPeerChanges() {
	for _, c := range []struct {
		text string
		runs *[]beacon.Run
	}{{"entry instance appeared", &n.peersAppeared}, {"entry instance fell silent", &n.peersEnded}} {
		if len(*c.runs) == 0 {
			continue
		}
		n.log.WithField("peers", describeRuns(*c.runs)).WithField("alive", n.peers.AliveInstances()).Info(c.text)
		*c.runs = (*c.runs)[:0]
	}
}

// describeRuns names up to maxLoggedPeers runs and counts the others.
func describeRuns(runs []beacon.Run) string {
	var names []string
	for _, r := range runs[:min(len(runs), maxLoggedPeers)] {
		names = append(names, string(r.Instance+"/"+ident.InstanceID(r.Incarnation)))
	}
	if more := len(runs) - len(names); more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, " ")
}
