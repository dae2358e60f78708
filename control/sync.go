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

// Parameters of the exchange.
const (
	// syncTimeout bounds one exchange. An allocation that arrives later would
	// have little time left.
	syncTimeout = 700 * time.Millisecond
	// syncGap separates two syncs of a service that are asked for at once.
	syncGap = 10 * time.Millisecond
	// relayTime is how long syncs go through a relay before the owner is called
	// directly again.
	relayTime = 5 * time.Second
	// maxOpenSyncs bounds the exchanges of a service that wait for a reply.
	maxOpenSyncs = 3
	// plainHold is the least time that requests of a lost entry instance count
	// at a plain backend server, which reports no load.
	plainHold = 30 * time.Second
)

// ErrNotOwner is the answer of an entry instance that shuts down or does not
// know the service.
var ErrNotOwner = errors.New("this entry instance does not own the credits of the service: follow another one")

// GroupSync is the request of an exchange.
type GroupSync struct {
	Service ident.ServiceName `msgpack:"v"`
	Sync    credit.Sync       `msgpack:"s"`
	Known   Known             `msgpack:"k"`
	// Heard is the sequence of the last sync that this owner answered.
	Heard uint64 `msgpack:"h"`
	// Events asks for cache events; only the regular syncs do.
	Events *routing.EventAsk `msgpack:"e,omitempty"`
	// Via is the entry instance that passed the sync on, or empty.
	Via ident.InstanceID `msgpack:"via,omitempty"`
}

// GroupSyncReply is its response. Granted is false when the sync was overtaken
// by a later one.
type GroupSyncReply struct {
	Granted bool `msgpack:"g"`
	// Resend means that the owner lacks the base of a partial sync.
	Resend bool `msgpack:"s,omitempty"`
	// Pending means that the owner has no majority yet: follow it on.
	Pending bool `msgpack:"p,omitempty"`
	// Follows is whom this entry instance follows itself, when it is pending.
	Follows ident.InstanceID `msgpack:"f,omitempty"`
	Reply   credit.Reply     `msgpack:"r"`
	// Confirmations are sent with each reply, also when the sync was overtaken.
	Confirmations Confirmations `msgpack:"c"`
	// Events answers the sync's ask for cache events.
	Events *routing.EventAnswer `msgpack:"e,omitempty"`
}

// CacheRelay passes the cache events that an owner read on to its followers.
type CacheRelay interface {
	NextEventRequest(name ident.ServiceName) routing.EventAsk
	EventResponse(name ident.ServiceName, epoch ident.Epoch, ask routing.EventAsk) routing.EventAnswer
	ApplyEventResponse(name ident.ServiceName, sent time.Duration, ask routing.EventAsk, answer routing.EventAnswer)
}

// SetCacheRelay sets the relay. Call it before the node serves.
func (l *Loop) SetCacheRelay(r CacheRelay) { l.relay = r }

// credits is the owner side of the exchange. It belongs to the control
// goroutine.
type credits struct {
	owners map[ident.ServiceName]*ownerState
	// follows holds the last owner that answered this entry instance with a
	// majority, by service. The syncer writes it.
	follows sync.Map
	// names are the names of entries.
	entries []view.Entry
	names   []ident.InstanceID
}

// listed returns the names of the entry instances of a snapshot. They are made
// once, because snapshots share their entry instances while these do not change.
func (c *credits) listed(entries []view.Entry) []ident.InstanceID {
	if slicecmp.Identical(entries, c.entries) {
		return c.names
	}
	c.entries, c.names = entries, make([]ident.InstanceID, 0, len(entries))
	for i := range entries {
		c.names = append(c.names, entries[i].Instance)
	}
	return c.names
}

// syncReceived is a sync that waits for the control goroutine.
type syncReceived struct {
	request GroupSync
	reply   chan syncAnswer
}

type syncAnswer struct {
	reply GroupSyncReply
	err   error
}

func (e syncReceived) apply(l *Loop, now time.Duration) {
	name := e.request.Service
	svc := l.snapshot.Load().Service(name)
	if l.groups.leaving || svc == nil {
		if o, ok := l.credits.owners[name]; ok {
			o.followers.Drop(e.request.Sync.Entry)
		}
		e.reply <- syncAnswer{err: ErrNotOwner}
		return
	}
	o := l.ownerState(name)
	o.followers.Heard(now, e.request.Sync, e.request.Heard)
	if !l.acts(now, o) {
		follows, _ := l.credits.follows.Load(name)
		owner, _ := follows.(ident.InstanceID)
		e.reply <- syncAnswer{reply: GroupSyncReply{Pending: true, Follows: owner}}
		return
	}
	if e.request.Sync.Entry == l.opts.Self.Instance {
		e.reply <- syncAnswer{reply: o.step(now, e.request.Sync)}
		return
	}
	out := o.answer(now, e.request.Sync)
	out.Confirmations = o.facts.since(now, o.epoch, e.request.Known, svc.Groups)
	e.reply <- syncAnswer{reply: out}
}

// RegisterSync adds the owner's handler. Call it before the node serves.
func (l *Loop) RegisterSync(mux *wire.Mux) {
	wire.Register(mux, KindGroupSync, func(ctx context.Context, from wire.Peer, req GroupSync) (GroupSyncReply, error) {
		if req.Sync.Entry != from.Instance && req.Via != from.Instance {
			return GroupSyncReply{}, errors.Errorf("sync of %s came from %s", req.Sync.Entry, from.Instance)
		}
		reply, err := l.ownSync(ctx, req)
		if err == nil && !reply.Pending && req.Events != nil && l.relay != nil {
			answer := l.relay.EventResponse(req.Service, reply.Confirmations.Epoch, *req.Events)
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

// ownSync hands a sync to the control goroutine and waits for the answer.
func (l *Loop) ownSync(ctx context.Context, req GroupSync) (GroupSyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	e := syncReceived{request: req, reply: make(chan syncAnswer, 1)}
	l.post(ctx, e)
	select {
	case a := <-e.reply:
		return a.reply, a.err
	case <-ctx.Done():
		return GroupSyncReply{}, ctx.Err()
	}
}
