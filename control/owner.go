package control

import (
	"time"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/view"
)

// ownerState is this entry instance as the credit owner of one service.
type ownerState struct {
	followers *credit.Followers
	// owner is nil while less than a majority follows.
	owner *credit.Owner
	epoch ident.Epoch
	// known is when the last report of each backend server was sent.
	known map[credit.BackendID]time.Duration
	facts factTable
	// ends are those of the exchanges with other entry instances.
	ends map[endKey]*exchangeEnd
}

// endKey is one run of an entry instance.
type endKey struct {
	entry       ident.InstanceID
	incarnation ident.Incarnation
}

// exchangeEnd puts syncs together and takes replies apart.
type exchangeEnd struct {
	syncs   credit.SyncUnpacker
	replies credit.ReplyPacker
	last    time.Duration
}

// endIdle is how long the end of a silent entry instance is kept. Its next sync
// has to be a whole one.
const endIdle = time.Minute

// answer handles the sync of another entry instance.
func (o *ownerState) answer(now time.Duration, s credit.Sync) GroupSyncReply {
	key := endKey{s.Entry, s.Incarnation}
	end, ok := o.ends[key]
	if !ok {
		end = &exchangeEnd{}
		o.ends[key] = end
	}
	end.last = now
	if end.syncs.Overtaken(&s) {
		return GroupSyncReply{}
	}
	whole, ok := end.syncs.Unpack(s, o.epoch)
	if !ok {
		return GroupSyncReply{Resend: true}
	}
	out := o.step(now, whole)
	if out.Granted {
		out.Reply = end.replies.Pack(&whole, out.Reply)
	}
	return out
}

func (o *ownerState) step(now time.Duration, s credit.Sync) GroupSyncReply {
	for _, a := range o.owner.Step(now, s) {
		if r, ok := a.(credit.Reply); ok {
			return GroupSyncReply{Granted: true, Reply: r}
		}
	}
	return GroupSyncReply{}
}

func (l *Loop) ownerState(name ident.ServiceName) *ownerState {
	o, ok := l.credits.owners[name]
	if !ok {
		o = &ownerState{followers: credit.NewFollowers()}
		l.credits.owners[name] = o
	}
	return o
}

// acts reports whether a majority of the listed entry instances follows. An
// owner that lost its majority starts anew: another one may have acted since.
func (l *Loop) acts(now time.Duration, o *ownerState) bool {
	switch {
	case !o.followers.Majority(now, l.credits.listed(l.snapshot.Load().Entries)):
		o.owner = nil
	case o.owner == nil:
		o.epoch = o.followers.NextEpoch(o.epoch + 1)
		o.owner = credit.NewOwner(o.epoch, now)
		o.known = make(map[credit.BackendID]time.Duration)
		o.facts = factTable{}
		o.ends = make(map[endKey]*exchangeEnd)
	}
	return o.owner != nil
}

// reportLoad gives each owner here the latest polls.
func (l *Loop) reportLoad(now time.Duration) {
	for _, svc := range l.snapshot.Load().Services {
		if o, ok := l.credits.owners[svc.Document.Service]; ok && l.acts(now, o) {
			o.report(now, l.loadReports(now, svc))
			o.facts.update(svc.Groups)
		}
	}
}

// report applies new reports and drops backend servers that left.
func (o *ownerState) report(now time.Duration, reports []credit.Report) {
	here := make(map[credit.BackendID]bool, len(reports))
	for _, r := range reports {
		here[r.Backend] = true
		if last, ok := o.known[r.Backend]; ok && r.Sent <= last {
			continue
		}
		o.known[r.Backend] = r.Sent
		o.owner.Step(now, r)
	}
	for key, end := range o.ends {
		if now-end.last > endIdle {
			delete(o.ends, key)
		}
	}
	for b := range o.known {
		if !here[b] {
			delete(o.known, b)
			o.owner.Step(now, credit.Gone{Backend: b})
		}
	}
}

func (l *Loop) loadReports(now time.Duration, svc *view.Service) []credit.Report {
	doc := &svc.Document.Backend
	var out []credit.Report
	for _, g := range svc.Groups {
		s := &g.Status
		limits := credit.Limits{
			Requests:     least(doc.Requests, s.Limit),
			ColdRequests: least(doc.ColdRequests, s.ColdLimit),
			HeldTokens:   least(doc.HeldTokens, s.TokenCapacity),
			ColdRamp:     doc.ColdRamp,
		}
		out = append(out, credit.Report{
			Backend: credit.BackendID(g.ID), Incarnation: g.Incarnation, Limits: limits, Cold: g.Cold,
			Polled: true, Running: s.Running + s.Queued, Sent: g.Confirmed, Received: now,
		})
	}
	longest := max(plainHold, 2*svc.Document.Deadline)
	for _, b := range svc.Backends {
		out = append(out, credit.Report{
			Backend: credit.BackendID(b.Instance), Sent: now,
			Limits: credit.Limits{Requests: doc.Requests, ColdRequests: doc.ColdRequests, HeldTokens: doc.HeldTokens, LongestRequest: longest},
		})
	}
	return out
}

// least is the smaller of the document's and the engine's limit, which is 0
// when the engine names none.
func least(document, engine int) int {
	if engine > 0 && engine < document {
		return engine
	}
	return document
}
