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

// following is whom this entry instance follows for one service.
type following struct {
	follower *credit.Follower
	owner    ident.InstanceID
	// heard is the sequence of the last sync that the owner answered.
	heard uint64
	// syncs and replies leave out what did not change.
	syncs   *credit.SyncPacker
	replies credit.ReplyUnpacker
	// ranked are the live ones of entries.
	entries []view.Entry
	ranked  []ident.InstanceID
	// direct is when the owner is called directly again after it did not answer,
	// or 0. Until then syncs go through a relay.
	direct time.Duration
	// relays counts the failed relays, so that another one is taken each time.
	relays int
}

// via returns the entry instance that passes the next sync on, or none. While
// one sync tries the owner again, the others still go through a relay.
func (f *following) via(now time.Duration, self ident.InstanceID, candidates []ident.InstanceID) ident.InstanceID {
	if f.direct == 0 || f.owner == self {
		return ""
	}
	if now >= f.direct {
		f.direct = now + relayTime
		return ""
	}
	others := slices.DeleteFunc(slices.Clone(candidates), func(id ident.InstanceID) bool { return id == self || id == f.owner })
	if len(others) == 0 {
		return ""
	}
	return others[f.relays%len(others)]
}

// candidates returns the lease holder, if it can be reached as far as membership
// knows, and the live entry instances in rendezvous order. They are ranked again
// only when the entry instances change: snapshots share them until then.
func (f *following) candidates(s *view.Snapshot, name ident.ServiceName) (ident.InstanceID, []ident.InstanceID) {
	if !slicecmp.Identical(s.Entries, f.entries) {
		f.entries, f.ranked = s.Entries, rankedEntries(s, name)
	}
	if svc := s.Service(name); svc != nil && slices.Contains(f.ranked, svc.LeaseHolder) {
		return svc.LeaseHolder, f.ranked
	}
	return "", f.ranked
}

// target is the owner that a sync goes to.
type target struct {
	owner ident.InstanceID
	addr  string
	// relay is the entry instance that passes the sync on, or empty.
	relay ident.InstanceID
	heard uint64
	sync  credit.Sync
	sent  time.Duration
}

// next chooses the owner and makes the sync. A sync binds this entry instance to
// its target, so both happen under one lock.
func (s *Syncer) next(name ident.ServiceName) (target, bool) {
	snap := s.loop.Snapshot()
	s.mu.Lock()
	defer s.mu.Unlock()
	f, ok := s.follow[name]
	if !ok {
		f = &following{follower: credit.NewFollower(s.started), syncs: credit.NewSyncPacker()}
		s.follow[name] = f
	}
	now := s.loop.opts.Now()
	preferred, candidates := f.candidates(snap, name)
	owner, ok := f.follower.Choose(now, preferred, candidates)
	if !ok {
		return target{}, false
	}
	if owner != f.owner {
		f.owner, f.heard, f.direct = owner, 0, 0
		f.syncs.Reset()
		s.learner.forget(name)
	}
	relay := f.via(now, s.loop.opts.Self.Instance, candidates)
	addr := peerAddress(snap, owner)
	if relay != "" {
		addr = peerAddress(snap, relay)
	}
	sync := s.holders.NextSync(now, name)
	if owner != s.loop.opts.Self.Instance {
		sync = f.syncs.Pack(sync)
	}
	f.follower.Sent(now, sync.Seq)
	return target{owner: owner, addr: addr, relay: relay, heard: f.heard, sync: sync, sent: now}, true
}

// rankedEntries returns the live entry instances in rendezvous order.
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

func peerAddress(s *view.Snapshot, id ident.InstanceID) string {
	for _, e := range s.Entries {
		if e.Instance == id {
			return e.PeerAddress
		}
	}
	return ""
}

// exchange sends one sync and applies the reply. It reports whether the next
// sync should be sent at once.
func (s *Syncer) exchange(ctx context.Context, name ident.ServiceName, regular bool) bool {
	to, ok := s.next(name)
	if !ok {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	req := GroupSync{Service: name, Sync: to.sync, Known: s.learner.known(name), Heard: to.heard}
	relay := s.loop.relay
	if regular && relay != nil {
		ask := relay.NextEventRequest(name)
		req.Events = &ask
	}
	s.sent.Inc(1)
	var resp GroupSyncReply
	var err error
	self := to.owner == s.loop.opts.Self.Instance
	switch {
	case self:
		resp, err = s.loop.ownSync(ctx, req)
	case to.relay != "":
		s.relayed.Inc(1)
		err = s.loop.opts.Node.Call(ctx, to.addr, KindGroupSyncRelay, GroupSyncRelay{Owner: to.owner, Request: req}, &resp)
	default:
		err = s.loop.opts.Node.Call(ctx, to.addr, KindGroupSync, req, &resp)
	}
	first := s.answered(name, to, resp, err)
	switch {
	case err != nil:
		s.failed.Inc(1)
		return false
	case resp.Pending:
		return first
	case !self:
		if req.Events != nil && resp.Events != nil {
			relay.ApplyEventResponse(name, to.sent, *req.Events, *resp.Events)
		}
		groups := s.learner.learn(name, resp.Confirmations, to.sent)
		s.loop.post(ctx, groupsLearned{service: name, sent: to.sent, groups: groups})
	}
	reply, again := resp.Reply, resp.Resend
	if resp.Granted && !self {
		reply, resp.Granted = s.unpack(name, reply)
	}
	if resp.Resend {
		s.resend(name)
	}
	return resp.Granted && s.holders.ApplyReply(s.loop.opts.Now(), name, reply) || again
}

// unpack returns the whole of a reply, unless a later one overtook it.
func (s *Syncer) unpack(name ident.ServiceName, r credit.Reply) (credit.Reply, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f := s.follow[name]
	f.syncs.Answered(r)
	return f.replies.Unpack(r)
}

// resend makes the next sync a whole one.
func (s *Syncer) resend(name ident.ServiceName) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.follow[name].syncs.Reset()
}

// answered notes the answer of an owner and reports whether it was the first
// one: the owner counts this entry instance from the next sync on.
func (s *Syncer) answered(name ident.ServiceName, to target, resp GroupSyncReply, err error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	f, now := s.follow[name], s.loop.opts.Now()
	switch {
	case isNotOwner(err):
		f.follower.Refused(now, to.owner, to.sync.Seq)
		return false
	case err != nil:
		f.follower.Failed(now, to.owner)
		f.unanswered(now, to)
		return false
	case to.relay == "" && f.owner == to.owner:
		f.direct = 0
	}
	if resp.Pending {
		f.follower.Pending(now, to.owner, resp.Follows)
	} else {
		f.follower.Answered(to.owner)
		s.loop.credits.follows.Store(name, to.owner)
	}
	if f.owner != to.owner {
		return false
	}
	first := f.heard == 0
	f.heard = max(f.heard, to.sync.Seq)
	return first
}

// unanswered chooses the way of the next syncs.
func (f *following) unanswered(now time.Duration, to target) {
	switch {
	case f.owner != to.owner:
	case to.relay == "":
		f.direct = now + relayTime
	default:
		f.relays++
	}
}

// isNotOwner recognises ErrNotOwner from this process and from a peer.
func isNotOwner(err error) bool {
	var remote *wire.RemoteError
	return errors.Is(err, ErrNotOwner) || (errors.As(err, &remote) && remote.Message == ErrNotOwner.Error())
}
