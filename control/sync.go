package control

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/ident"
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

// CreditHolders are the traffic side of the exchange.
type CreditHolders interface {
	Sync(now time.Duration, name ident.ServiceName) credit.Sync
	// Reply reports whether the next sync should be sent at once.
	Reply(now time.Duration, name ident.ServiceName, r credit.Reply) bool
	// Wake is signalled when a service needs a sync at once.
	Wake() <-chan ident.ServiceName
}

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

// KindGroupSyncRelay asks a peer to pass a sync on to an owner that the sender
// cannot reach or hear. A delay on the way only shortens what the reply grants,
// because its validity counts from when the sync was sent.
const KindGroupSyncRelay wire.Kind = "group-sync-relay"

// GroupSyncRelay is a sync on its way through a relay.
type GroupSyncRelay struct {
	Owner   ident.InstanceID `msgpack:"o"`
	Request GroupSync        `msgpack:"r"`
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
	Ask(name ident.ServiceName) routing.EventAsk
	Answer(name ident.ServiceName, epoch ident.Epoch, ask routing.EventAsk) routing.EventAnswer
	Learn(name ident.ServiceName, sent time.Duration, ask routing.EventAsk, answer routing.EventAnswer)
}

// RelayCacheEvents sets the relay. Call it before the node serves.
func (l *Loop) RelayCacheEvents(r CacheRelay) { l.relay = r }

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
	if len(entries) == len(c.entries) && (len(entries) == 0 || &entries[0] == &c.entries[0]) {
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
			answer := l.relay.Answer(req.Service, reply.Confirmations.Epoch, *req.Events)
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

// relaySync passes a sync on. The owner's refusal keeps its wording, by which
// the sender recognises it.
func (l *Loop) relaySync(ctx context.Context, req GroupSyncRelay) (GroupSyncReply, error) {
	ctx, cancel := context.WithTimeout(ctx, syncTimeout)
	defer cancel()
	addr := peerAddress(l.Snapshot(), req.Owner)
	if addr == "" || req.Owner == l.opts.Self.Instance {
		return GroupSyncReply{}, errors.Errorf("no other entry instance is %s", req.Owner)
	}
	req.Request.Via = l.opts.Self.Instance
	var resp GroupSyncReply
	err := l.opts.Node.Call(ctx, addr, KindGroupSync, req.Request, &resp)
	var remote *wire.RemoteError
	if errors.As(err, &remote) {
		err = errors.New(remote.Message)
	}
	return resp, err
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

// Syncer sends the syncs of one entry instance.
type Syncer struct {
	loop    *Loop
	holders CreditHolders
	sent    tally.Counter
	failed  tally.Counter
	relayed tally.Counter
	learner *learner
	// follow holds whom this entry instance follows, by service.
	follow map[ident.ServiceName]*following

	// started is when this process started to follow.
	started time.Duration

	mu   sync.Mutex
	open map[ident.ServiceName]int
	wg   sync.WaitGroup
}

// NewSyncer returns a syncer for the credits of an entry instance.
func NewSyncer(loop *Loop, holders CreditHolders) *Syncer {
	s := loop.opts.Scope
	return &Syncer{
		loop: loop, holders: holders, open: make(map[ident.ServiceName]int),
		sent: s.Counter("group_syncs_total"), failed: s.Counter("group_sync_errors_total"),
		relayed: s.Counter("group_syncs_relayed_total"),
		learner: newLearner(), follow: make(map[ident.ServiceName]*following), started: loop.opts.Now(),
	}
}

// Run sends syncs in intervals, and at once when asked, until the context ends.
// What is asked for within syncGap is merged.
func (s *Syncer) Run(ctx context.Context) {
	defer s.wg.Wait()
	tick := time.NewTicker(credit.SyncInterval)
	defer tick.Stop()
	gap := time.NewTimer(0)
	defer gap.Stop()
	urgent := make(map[ident.ServiceName]bool)
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			for _, svc := range s.loop.Snapshot().Services {
				s.start(ctx, svc.Document.Service, true)
			}
		case name := <-s.holders.Wake():
			if len(urgent) == 0 {
				gap.Reset(syncGap)
			}
			urgent[name] = true
		case <-gap.C:
			for name := range urgent {
				s.start(ctx, name, false)
			}
			clear(urgent)
		}
	}
}

// start begins one exchange unless too many are open. Only the regular ones ask
// for cache events, which bounds the events' bytes a second.
func (s *Syncer) start(ctx context.Context, name ident.ServiceName, regular bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[name] >= maxOpenSyncs {
		return
	}
	s.open[name]++
	s.wg.Add(1)
	go func() {
		defer s.wg.Done()
		again := s.exchange(ctx, name, regular)
		s.mu.Lock()
		s.open[name]--
		s.mu.Unlock()
		if again {
			s.start(ctx, name, false)
		}
	}()
}
