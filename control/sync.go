package control

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/slicecmp"
	"github.com/bulrushfall/bulrushfall/routing"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// KindGroupSync is the message of an entry instance to a service's credit owner.
const KindGroupSync wire.Kind = "group-sync"

// Times and limits of the exchange.
const (
	// syncTimeout limits one exchange. The allocation in a later reply would expire
	// soon after its arrival.
	syncTimeout = 700 * time.Millisecond
	// urgentSyncDelay is the time in which requests for immediate syncs are merged.
	urgentSyncDelay = 10 * time.Millisecond
	// directRetryInterval is how long syncs go through a relay before the owner is
	// called directly again.
	directRetryInterval = 5 * time.Second
	// maxOpenSyncs limits the exchanges of a service that wait for a reply.
	maxOpenSyncs = 3
	// minPlainHoldTime is the shortest time for which the requests of a lost entry
	// instance count against the limit of a plain backend server, which reports no
	// load.
	minPlainHoldTime = 30 * time.Second
)

// ErrNotOwner is the answer of an entry instance that shuts down or does not
// know the service. Peers recognise it by its text.
var ErrNotOwner = errors.New("this entry instance does not own the credits of the service: follow another one")

// GroupSync is the request of an exchange with a credit owner.
type GroupSync struct {
	Service ident.ServiceName `msgpack:"v"`
	Sync    credit.Sync       `msgpack:"s"`
	// ReceivedVersion is the version of the confirmations that the sender has received.
	ReceivedVersion ReceivedVersion `msgpack:"k"`
	// LastAnswered is the sequence number of the last sync that this owner answered.
	LastAnswered uint64 `msgpack:"h"`
	// EventRequest requests cache events. Only the regular syncs set it.
	EventRequest *routing.EventRequest `msgpack:"e,omitempty"`
	// RelayedBy is the entry instance that relayed the sync, or empty.
	RelayedBy ident.InstanceID `msgpack:"via,omitempty"`
}

// GroupSyncReply is the response to a GroupSync.
type GroupSyncReply struct {
	// HasReply reports whether Reply is set. It is not set if, for example, the owner
	// handled a later sync before this one.
	HasReply bool `msgpack:"g"`
	// CompleteSyncNeeded means that the owner lacks the base of a partial sync.
	// The next sync must be complete.
	CompleteSyncNeeded bool `msgpack:"s,omitempty"`
	// NoMajority means that the owner does not have a majority of followers yet. The
	// sender should continue to follow it.
	NoMajority bool `msgpack:"p,omitempty"`
	// FollowedOwner is the owner that an entry instance without a majority follows
	// itself.
	FollowedOwner ident.InstanceID `msgpack:"f,omitempty"`
	Reply         credit.Reply     `msgpack:"r"`
	// Confirmations are sent with each reply, also if HasReply is false.
	Confirmations Confirmations `msgpack:"c"`
	// Events answers the EventRequest of the sync.
	Events *routing.EventResponse `msgpack:"e,omitempty"`
}

// CacheRelay distributes the cache events that an owner has read to its followers.
type CacheRelay interface {
	// NextEventRequest returns a follower's request for the events that it lacks.
	NextEventRequest(name ident.ServiceName) routing.EventRequest
	// EventResponse returns the owner's response to a request. epoch is the owner's.
	EventResponse(name ident.ServiceName, epoch ident.Epoch, request routing.EventRequest) routing.EventResponse
	// ApplyEventResponse applies the response to a request that was sent at a given time.
	ApplyEventResponse(name ident.ServiceName, sentAt time.Duration, request routing.EventRequest, response routing.EventResponse)
}

// SetCacheRelay sets the relay for cache events. Call it before the node serves.
func (l *Loop) SetCacheRelay(r CacheRelay) { l.cacheRelay = r }

// creditOwners is the owner side of the exchange. Only the control goroutine uses it,
// apart from followedOwners.
type creditOwners struct {
	owners map[ident.ServiceName]*ownerState
	// followedOwners holds, by service, the last owner that had a majority when it
	// answered this entry instance. The syncer writes it.
	followedOwners sync.Map
	// entryNames are the names of namedEntries.
	namedEntries []view.Entry
	entryNames   []ident.InstanceID
}

// namesOf returns the names of the entry instances of a snapshot. The result is
// cached, because snapshots share their entry instances until these change.
func (c *creditOwners) namesOf(entries []view.Entry) []ident.InstanceID {
	if slicecmp.Identical(entries, c.namedEntries) {
		return c.entryNames
	}
	c.namedEntries, c.entryNames = entries, make([]ident.InstanceID, 0, len(entries))
	for i := range entries {
		c.entryNames = append(c.entryNames, entries[i].Instance)
	}
	return c.entryNames
}

// syncReceived is a sync for the control goroutine, which sends its result to reply.
type syncReceived struct {
	request GroupSync
	reply   chan syncResult
}

type syncResult struct {
	reply GroupSyncReply
	err   error
}

func (e syncReceived) apply(l *Loop, now time.Duration) {
	name := e.request.Service
	svc := l.snapshot.Load().Service(name)
	if l.groups.shuttingDown || svc == nil {
		if o, ok := l.creditOwners.owners[name]; ok {
			o.followers.Remove(e.request.Sync.Entry)
		}
		e.reply <- syncResult{err: ErrNotOwner}
		return
	}
	o := l.ownerState(name)
	o.followers.RecordSync(now, e.request.Sync, e.request.LastAnswered)
	if !l.updateOwner(now, o) {
		value, _ := l.creditOwners.followedOwners.Load(name)
		owner, _ := value.(ident.InstanceID)
		e.reply <- syncResult{reply: GroupSyncReply{NoMajority: true, FollowedOwner: owner}}
		return
	}
	if e.request.Sync.Entry == l.opts.Self.Instance {
		e.reply <- syncResult{reply: o.stepSync(now, e.request.Sync)}
		return
	}
	out := o.handlePeerSync(now, e.request.Sync)
	out.Confirmations = o.versions.confirmationsFor(now, o.epoch, e.request.ReceivedVersion, svc.Groups)
	e.reply <- syncResult{reply: out}
}

// RegisterSync registers the handlers for syncs, direct and relayed. Call it before
// the node serves.
func (l *Loop) RegisterSync(mux *wire.Mux) {
	wire.Register(mux, KindGroupSync, func(ctx context.Context, from wire.Peer, req GroupSync) (GroupSyncReply, error) {
		if req.Sync.Entry != from.Instance && req.RelayedBy != from.Instance {
			return GroupSyncReply{}, errors.Errorf("sync of %s came from %s", req.Sync.Entry, from.Instance)
		}
		reply, err := l.submitSync(ctx, req)
		if err == nil && !reply.NoMajority && req.EventRequest != nil && l.cacheRelay != nil {
			answer := l.cacheRelay.EventResponse(req.Service, reply.Confirmations.Epoch, *req.EventRequest)
			reply.Events = &answer
		}
		return reply, err
	})
	wire.Register(mux, KindGroupSyncRelay, func(ctx context.Context, from wire.Peer, req GroupSyncRelay) (GroupSyncReply, error) {
		if req.Request.Sync.Entry != from.Instance {
			return GroupSyncReply{}, errors.Errorf("sync of %s came from %s", req.Request.Sync.Entry, from.Instance)
		}
		return l.relaySync(ctx, req)
	})
}

// submitSync passes a sync to the control goroutine and waits for the result.
func (l *Loop) submitSync(ctx context.Context, req GroupSync) (GroupSyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	e := syncReceived{request: req, reply: make(chan syncResult, 1)}
	l.post(ctx, e)
	select {
	case a := <-e.reply:
		return a.reply, a.err
	case <-ctx.Done():
		return GroupSyncReply{}, ctx.Err()
	}
}
