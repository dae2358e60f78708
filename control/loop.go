// Package control runs the control goroutine of an entry instance. It owns all
// control state, runs the state machines that make decisions, and publishes an
// immutable snapshot for the traffic goroutines. I/O runs in other goroutines, which
// send typed events back.
package control

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/membership"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/trace"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Intervals and limits of the control loop.
const (
	// tickInterval is the time between ticks of the state machines and between status
	// polls.
	tickInterval = 250 * time.Millisecond
	// instancesInterval is the time between reads of the instance list.
	instancesInterval = time.Second
	// publishDelay is the time in which events are merged into one snapshot. A lease
	// holder receives the answers to its polls in bursts.
	publishDelay = 5 * time.Millisecond
	// eventBuffer limits the events that wait for the control goroutine.
	eventBuffer = 4096
	// maxPolls limits concurrent status polls.
	maxPolls = 64
)

// Options are the settings and dependencies of the control loop.
type Options struct {
	Self      view.Entry
	Table     infra.Table
	Objects   infra.ObjectStore
	Instances infra.InstanceList
	Engines   *engine.Control
	Node      *wire.Node
	// Mux registers the handlers for peers' messages. It must be the mux of Node.
	Mux *wire.Mux
	// Datagrams is the socket for membership messages, on the address of the peer
	// protocol. The loop closes it. If it is nil, membership is disabled.
	Datagrams net.PacketConn
	// PeerSecret authenticates membership messages.
	PeerSecret []byte
	// Recorder records the events for a trace. If it is nil, none are recorded.
	Recorder *trace.Recorder
	// Seeds are the peer addresses of the settings.
	Seeds []string
	Log   logrus.FieldLogger
	Scope tally.Scope
	// Now returns the time of the local monotonic clock.
	Now func() time.Duration
	// Documents are the service documents for services that the configuration never
	// had.
	Documents []service.Document
}

// event is a message from another goroutine to the control goroutine, which applies
// it.
type event interface {
	apply(l *Loop, now time.Duration)
}

// memberStatus is the last status report of an engine member.
type memberStatus struct {
	status engine.Status
	// sentAt is when the poll was sent.
	sentAt   time.Duration
	received bool
}

// Loop is the control goroutine with its state.
type Loop struct {
	opts     Options
	events   chan event
	snapshot atomic.Pointer[view.Snapshot]
	// pollSlots limits concurrent status polls to maxPolls.
	pollSlots chan struct{}
	wg        sync.WaitGroup
	counters  loopCounters
	// cacheRelay distributes cache events. If it is nil, each entry instance reads
	// them itself.
	cacheRelay CacheRelay

	// Only the control goroutine uses the fields below, unless stated otherwise.
	documents     []service.Document
	instances     []infra.Instance
	instancesByID map[ident.InstanceID]infra.Instance
	listVersion   string
	index         instanceIndex
	// newestPollSentAt is when the newest answered poll was sent.
	newestPollSentAt time.Duration
	membershipNodes  membership.NodesListed
	ownerGroups      map[ident.ServiceName]ownerGroupsReceived
	statuses         map[ident.InstanceID]*memberStatus
	pollInFlight     map[ident.InstanceID]bool
	creditOwners     creditOwners
	// nextListAt is when the instance list is read next.
	nextListAt   time.Duration
	listInFlight bool
	config       configState
	groups       groupsState
	membership   membershipState
	trace        loopTrace
}

type loopCounters struct {
	pollErrors tally.Counter
	listErrors tally.Counter
	// listsFromPeers counts instance lists that came from peers because the platform
	// failed.
	listsFromPeers  tally.Counter
	listsUnchanged  tally.Counter
	droppedEvents   tally.Counter
	confirmedGroups tally.Gauge
}

// New returns a control loop. Call Run to start it.
func New(opts Options) *Loop {
	l := &Loop{
		opts:         opts,
		events:       make(chan event, eventBuffer),
		pollSlots:    make(chan struct{}, maxPolls),
		documents:    opts.Documents,
		ownerGroups:  make(map[ident.ServiceName]ownerGroupsReceived),
		statuses:     make(map[ident.InstanceID]*memberStatus),
		pollInFlight: make(map[ident.InstanceID]bool),
		creditOwners: creditOwners{owners: make(map[ident.ServiceName]*ownerState)},
		counters: loopCounters{
			pollErrors:      opts.Scope.Counter("status_poll_errors_total"),
			listErrors:      opts.Scope.Counter("instance_list_errors_total"),
			listsFromPeers:  opts.Scope.Counter("instance_lists_from_peers_total"),
			listsUnchanged:  opts.Scope.Counter("instance_lists_unchanged_total"),
			droppedEvents:   opts.Scope.Counter("control_events_dropped_total"),
			confirmedGroups: opts.Scope.Gauge("groups_confirmed"),
		},
	}
	l.trace = newLoopTrace(opts.Recorder, opts.Self.Instance, opts.Scope)
	l.snapshot.Store(view.New(view.Snapshot{}))
	l.startConfig()
	l.startGroups()
	l.startMembership()
	return l
}

// Snapshot returns the last published snapshot.
func (l *Loop) Snapshot() *view.Snapshot { return l.snapshot.Load() }

// Run runs the control goroutine until the context ends.
func (l *Loop) Run(ctx context.Context) {
	// Publish a changed configuration before its edit is answered.
	l.config.shell.OnPublish = func(*config.View) { l.publish(l.opts.Now()) }
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer l.wg.Wait()
	defer l.config.cancel()
	defer l.groups.cancel()
	defer l.runMembership()()
	publish := time.NewTimer(0)
	defer publish.Stop()
	publishScheduled := true
	l.tick(ctx, l.opts.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-publish.C:
			publishScheduled = false
			l.publish(l.opts.Now())
			l.reportLoad(l.opts.Now())
			continue
		case <-tick.C:
			l.tick(ctx, l.opts.Now())
		case e := <-l.events:
			e.apply(l, l.opts.Now())
			l.applyPendingEvents()
		}
		switch {
		case l.config.shell.View().Revision != l.Snapshot().Revision:
			// A changed configuration comes into force without publishDelay.
			l.publish(l.opts.Now())
		case !publishScheduled:
			publishScheduled = true
			publish.Reset(publishDelay)
		}
	}
}

// applyPendingEvents applies the events that are already queued, so that they are
// published together.
func (l *Loop) applyPendingEvents() {
	for range eventBuffer {
		select {
		case e := <-l.events:
			e.apply(l, l.opts.Now())
		default:
			return
		}
	}
}

// spawn runs I/O outside the control goroutine and posts the event it returns.
func (l *Loop) spawn(ctx context.Context, fn func() event) {
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.post(ctx, fn())
	}()
}

// post sends an event to the control goroutine. It drops the event if the context
// ends first.
func (l *Loop) post(ctx context.Context, e event) {
	if e == nil {
		return
	}
	select {
	case l.events <- e:
	case <-ctx.Done():
		l.counters.droppedEvents.Inc(1)
	}
}

func (l *Loop) tick(ctx context.Context, now time.Duration) {
	l.listInstances(ctx, now)
	l.pollMembers(ctx, now)
	l.tickConfig(now)
	l.tickMembership(now)
	l.tickGroups(now)
	l.tickTrace()
}
