package control

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/slicecmp"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// followedOwner is the credit owner that this entry instance follows for one
// service, with the state of the exchange.
type followedOwner struct {
	follower *credit.Follower
	owner    ident.InstanceID
	// lastAnsweredSeq is the sequence number of the last sync that the owner answered.
	lastAnsweredSeq uint64
	// syncPacker and replyUnpacker encode syncs and decode replies, which omit what
	// did not change.
	syncPacker    *credit.SyncDeltaEncoder
	replyUnpacker credit.ReplyDeltaDecoder
	// rankedLive are the live entry instances of rankedFrom in rendezvous order.
	rankedFrom []view.Entry
	rankedLive []ident.InstanceID
	// directRetryAt is when the owner is called directly again after it did not
	// answer, or 0. Until then syncs go through a relay.
	directRetryAt time.Duration
	// failedRelays counts failed syncs through relays. After each failure the next
	// relay is used.
	failedRelays int
}

// chooseRelay returns the entry instance that relays the next sync, or "" to call
// the owner directly. While one sync retries the direct call, the others still go
// through a relay.
func (f *followedOwner) chooseRelay(now time.Duration, self ident.InstanceID, candidates []ident.InstanceID) ident.InstanceID {
	if f.directRetryAt == 0 || f.owner == self {
		return ""
	}
	if now >= f.directRetryAt {
		f.directRetryAt = now + directRetryInterval
		return ""
	}
	others := slices.DeleteFunc(slices.Clone(candidates), func(id ident.InstanceID) bool { return id == self || id == f.owner })
	if len(others) == 0 {
		return ""
	}
	return others[f.failedRelays%len(others)]
}

// ownerCandidates returns the lease holder, or "" if it is not live, and the live
// entry instances in rendezvous order. They are ranked again only when the entry
// instances change: snapshots share the list until then.
func (f *followedOwner) ownerCandidates(s *view.Snapshot, name ident.ServiceName) (ident.InstanceID, []ident.InstanceID) {
	if !slicecmp.Identical(s.Entries, f.rankedFrom) {
		f.rankedFrom, f.rankedLive = s.Entries, rankedEntries(s, name)
	}
	if svc := s.Service(name); svc != nil && slices.Contains(f.rankedLive, svc.LeaseHolder) {
		return svc.LeaseHolder, f.rankedLive
	}
	return "", f.rankedLive
}

// syncTarget is a sync with the owner that it is sent to.
type syncTarget struct {
	owner ident.InstanceID
	// addr is the address of relay, or of owner without a relay.
	addr string
	// relay is the entry instance that relays the sync, or empty.
	relay           ident.InstanceID
	lastAnsweredSeq uint64
	sync            credit.Sync
	sentAt          time.Duration
}

// prepareSync chooses the owner and builds the sync. It returns false if no sync may
// be sent now. A sync commits this entry instance to follow its target for a time,
// so that both steps run under one lock.
func (s *Syncer) prepareSync(name ident.ServiceName) (syncTarget, bool) {
	snap := s.loop.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.followed[name]
	if !ok {
		f = &followedOwner{follower: credit.NewFollower(s.startedAt), syncPacker: credit.NewSyncDeltaEncoder()}
		s.followed[name] = f
	}
	now := s.loop.opts.Now()
	preferred, candidates := f.ownerCandidates(snap, name)
	owner, ok := f.follower.ChooseOwner(now, preferred, candidates)
	if !ok {
		return syncTarget{}, false
	}
	if owner != f.owner {
		f.owner, f.lastAnsweredSeq, f.directRetryAt = owner, 0, 0
		f.syncPacker.Reset()
		s.confirmations.reset(name)
	}
	relay := f.chooseRelay(now, s.loop.opts.Self.Instance, candidates)
	addr := peerAddress(snap, owner)
	if relay != "" {
		addr = peerAddress(snap, relay)
	}
	sync := s.holders.NextSync(now, name)
	if owner != s.loop.opts.Self.Instance {
		sync = f.syncPacker.Encode(sync)
	}
	f.follower.RecordSync(now, sync.Seq)
	return syncTarget{owner: owner, addr: addr, relay: relay, lastAnsweredSeq: f.lastAnsweredSeq, sync: sync, sentAt: now}, true
}

// rankedEntries returns the entry instances that are alive and not draining, in
// rendezvous order for the service.
func rankedEntries(s *view.Snapshot, name ident.ServiceName) []ident.InstanceID {
	type scored struct {
		id    ident.InstanceID
		score uint64
	}
	var live []scored
	for i := range s.Entries {
		if e := &s.Entries[i]; e.Alive && !e.Draining {
			live = append(live, scored{e.Instance, ident.Score(string(name), e.Instance)})
		}
	}
	slices.SortFunc(live, func(a, b scored) int { return cmp.Compare(b.score, a.score) })
	out := make([]ident.InstanceID, 0, len(live))
	for _, e := range live {
		out = append(out, e.id)
	}
	return out
}

// peerAddress returns the address of an entry instance for the peer protocol, or "".
func peerAddress(s *view.Snapshot, id ident.InstanceID) string {
	for _, e := range s.Entries {
		if e.Instance == id {
			return e.PeerAddress
		}
	}
	return ""
}

// exchange sends one sync and applies the reply. It reports whether the next sync
// should be sent immediately.
func (s *Syncer) exchange(ctx context.Context, name ident.ServiceName, regular bool) bool {
	to, ok := s.prepareSync(name)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	req := GroupSync{Service: name, Sync: to.sync, ReceivedVersion: s.confirmations.receivedVersion(name), LastAnswered: to.lastAnsweredSeq}
	relay := s.loop.cacheRelay
	if regular && relay != nil {
		eventRequest := relay.NextEventRequest(name)
		req.EventRequest = &eventRequest
	}
	s.sentCounter.Inc(1)
	var resp GroupSyncReply
	var err error
	self := to.owner == s.loop.opts.Self.Instance
	switch {
	case self:
		resp, err = s.loop.submitSync(ctx, req)
	case to.relay != "":
		s.relayedCounter.Inc(1)
		err = s.loop.opts.Node.Call(ctx, to.addr, KindGroupSyncRelay, GroupSyncRelay{Owner: to.owner, Request: req}, &resp)
	default:
		err = s.loop.opts.Node.Call(ctx, to.addr, KindGroupSync, req, &resp)
	}
	firstAnswer := s.recordResult(name, to, resp, err)
	switch {
	case err != nil:
		s.failedCounter.Inc(1)
		return false
	case resp.NoMajority:
		return firstAnswer
	case !self:
		if req.EventRequest != nil && resp.Events != nil {
			relay.ApplyEventResponse(name, to.sentAt, *req.EventRequest, *resp.Events)
		}
		groups := s.confirmations.applyReply(name, resp.Confirmations, to.sentAt)
		s.loop.post(ctx, ownerGroupsReceived{service: name, sentAt: to.sentAt, groups: groups})
	}
	reply, syncNeeded := resp.Reply, resp.CompleteSyncNeeded
	if resp.HasReply && !self {
		reply, resp.HasReply = s.unpackReply(name, reply)
	}
	if resp.CompleteSyncNeeded {
		s.resetSync(name)
	}
	return resp.HasReply && s.holders.ApplyReply(s.loop.opts.Now(), name, reply) || syncNeeded
}

// unpackReply returns the complete reply. It returns false if a later reply was
// applied already or if the base of a partial reply is missing.
func (s *Syncer) unpackReply(name ident.ServiceName, r credit.Reply) (credit.Reply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.followed[name]
	f.syncPacker.RecordReply(r)
	return f.replyUnpacker.Decode(r)
}

// resetSync makes the next sync a complete one.
func (s *Syncer) resetSync(name ident.ServiceName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.followed[name].syncPacker.Reset()
}

// recordResult records the result of a sync and reports whether it was the first
// answer of this owner. The owner counts this entry instance as a follower only from
// the next sync on.
func (s *Syncer) recordResult(name ident.ServiceName, to syncTarget, resp GroupSyncReply, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, now := s.followed[name], s.loop.opts.Now()
	switch {
	case isNotOwner(err):
		f.follower.RecordRefusal(now, to.owner, to.sync.Seq)
		return false
	case err != nil:
		f.follower.RecordFailure(now, to.owner)
		f.recordFailure(now, to)
		return false
	case to.relay == "" && f.owner == to.owner:
		f.directRetryAt = 0
	}
	if resp.NoMajority {
		f.follower.RecordNoMajority(now, to.owner, resp.FollowedOwner)
	} else {
		f.follower.RecordReply(to.owner)
		s.loop.creditOwners.followedOwners.Store(name, to.owner)
	}
	if f.owner != to.owner {
		return false
	}
	firstAnswer := f.lastAnsweredSeq == 0
	f.lastAnsweredSeq = max(f.lastAnsweredSeq, to.sync.Seq)
	return firstAnswer
}

// recordFailure switches to a relay after a direct sync failed, and to the next
// relay after a relayed one failed.
func (f *followedOwner) recordFailure(now time.Duration, to syncTarget) {
	switch {
	case f.owner != to.owner:
	case to.relay == "":
		f.directRetryAt = now + directRetryInterval
	default:
		f.failedRelays++
	}
}

// isNotOwner recognises ErrNotOwner from this process and from a peer.
func isNotOwner(err error) bool {
	var remote *wire.RemoteError
	return errors.Is(err, ErrNotOwner) || (errors.As(err, &remote) && remote.Message == ErrNotOwner.Error())
}
