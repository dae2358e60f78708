package control

import (
	"time"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/view"
)

// ownerState is the state of this entry instance as the credit owner of one service.
type ownerState struct {
	followers *credit.Followers
	// owner is nil while this entry instance has no majority of followers.
	owner *credit.Owner
	epoch ident.Epoch
	// lastReportSentAt is when the last report of each backend server was sent.
	lastReportSentAt map[credit.BackendID]time.Duration
	// versions numbers the changes of the groups for the confirmations to followers.
	versions groupVersions
	// peers holds the state of the exchange with each other entry instance.
	peers map[peerRun]*peerExchange
}

// peerRun identifies one process of an entry instance.
type peerRun struct {
	entry       ident.InstanceID
	incarnation ident.Incarnation
}

// peerExchange decodes the syncs of one entry instance and encodes the replies.
type peerExchange struct {
	syncUnpacker credit.SyncDeltaDecoder
	replyPacker  credit.ReplyDeltaEncoder
	lastSyncAt   time.Duration
}

// peerIdleTimeout is how long the exchange state of an entry instance is kept after
// its last sync. After that its next sync has to be complete.
const peerIdleTimeout = time.Minute

// handlePeerSync handles the sync of another entry instance.
func (o *ownerState) handlePeerSync(now time.Duration, s credit.Sync) GroupSyncReply {
	key := peerRun{s.Entry, s.Incarnation}
	exchange, ok := o.peers[key]
	if !ok {
		exchange = &peerExchange{}
		o.peers[key] = exchange
	}
	exchange.lastSyncAt = now
	if exchange.syncUnpacker.Superseded(&s) {
		return GroupSyncReply{}
	}
	complete, ok := exchange.syncUnpacker.Decode(s, o.epoch)
	if !ok {
		return GroupSyncReply{CompleteSyncNeeded: true}
	}
	out := o.stepSync(now, complete)
	if out.HasReply {
		out.Reply = exchange.replyPacker.Encode(&complete, out.Reply)
	}
	return out
}

// stepSync passes a complete sync to the owner and returns its reply.
func (o *ownerState) stepSync(now time.Duration, s credit.Sync) GroupSyncReply {
	for _, a := range o.owner.Step(now, s) {
		if r, ok := a.(credit.Reply); ok {
			return GroupSyncReply{HasReply: true, Reply: r}
		}
	}
	return GroupSyncReply{}
}

// ownerState returns the owner state of a service and creates it if needed.
func (l *Loop) ownerState(name ident.ServiceName) *ownerState {
	o, ok := l.creditOwners.owners[name]
	if !ok {
		o = &ownerState{followers: credit.NewFollowers()}
		l.creditOwners.owners[name] = o
	}
	return o
}

// updateOwner reports whether a majority of the listed entry instances follows this
// one, and creates or discards the owner accordingly. An owner that lost its majority
// starts with empty state and a new epoch, because another owner may have granted
// credits in the meantime.
func (l *Loop) updateOwner(now time.Duration, o *ownerState) bool {
	switch {
	case !o.followers.HasMajority(now, l.creditOwners.namesOf(l.snapshot.Load().Entries)):
		o.owner = nil
	case o.owner == nil:
		o.epoch = o.followers.NextEpoch(o.epoch + 1)
		o.owner = credit.NewOwner(o.epoch, now)
		o.lastReportSentAt = make(map[credit.BackendID]time.Duration)
		o.versions = groupVersions{}
		o.peers = make(map[peerRun]*peerExchange)
	}
	return o.owner != nil
}

// reportLoad passes the latest load reports to the owners on this entry instance.
func (l *Loop) reportLoad(now time.Duration) {
	for _, svc := range l.snapshot.Load().Services {
		if o, ok := l.creditOwners.owners[svc.Document.Service]; ok && l.updateOwner(now, o) {
			o.applyReports(now, l.loadReports(now, svc))
			o.versions.update(svc.Groups)
		}
	}
}

// applyReports passes new reports to the owner. It removes backend servers without
// a report and idle exchanges with peers.
func (o *ownerState) applyReports(now time.Duration, reports []credit.Report) {
	present := make(map[credit.BackendID]bool, len(reports))
	for _, r := range reports {
		present[r.Backend] = true
		if last, ok := o.lastReportSentAt[r.Backend]; ok && r.Sent <= last {
			continue
		}
		o.lastReportSentAt[r.Backend] = r.Sent
		o.owner.Step(now, r)
	}
	for key, exchange := range o.peers {
		if now-exchange.lastSyncAt > peerIdleTimeout {
			delete(o.peers, key)
		}
	}
	for b := range o.lastReportSentAt {
		if !present[b] {
			delete(o.lastReportSentAt, b)
			o.owner.Step(now, credit.BackendRemoved{Backend: b})
		}
	}
}

// loadReports returns the limits and loads of a service's backend servers. Plain
// backend servers report no load.
func (l *Loop) loadReports(now time.Duration, svc *view.Service) []credit.Report {
	doc := &svc.Document.Backend
	var out []credit.Report
	for _, g := range svc.Groups {
		s := &g.Status
		limits := credit.Limits{
			Requests:     smallerLimit(doc.Requests, s.Limit),
			ColdRequests: smallerLimit(doc.ColdRequests, s.ColdLimit),
			HeldTokens:   smallerLimit(doc.HeldTokens, s.TokenCapacity),
			ColdRamp:     doc.ColdRamp,
		}
		out = append(out, credit.Report{
			Backend: credit.BackendID(g.ID), Incarnation: g.Incarnation, Limits: limits, Cold: g.Cold,
			Polled: true, Running: s.Running + s.Queued, Sent: g.Confirmed, Received: now,
		})
	}
	longest := max(minPlainHoldTime, 2*svc.Document.Deadline)
	for _, b := range svc.Backends {
		out = append(out, credit.Report{
			Backend: credit.BackendID(b.Instance), Sent: now,
			Limits: credit.Limits{Requests: doc.Requests, ColdRequests: doc.ColdRequests, HeldTokens: doc.HeldTokens, LongestRequest: longest},
		})
	}
	return out
}

// smallerLimit returns the smaller of the document's and the engine's limit. The
// engine's limit is 0 if the engine reports none.
func smallerLimit(document, engine int) int {
	if engine > 0 && engine < document {
		return engine
	}
	return document
}
