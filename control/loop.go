// Package control runs the control goroutine of an entry instance. It owns all
// control state, drives the decision machines and publishes an immutable
// snapshot for the traffic goroutines. I/O runs in other goroutines, which send
// typed events back.
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

// Intervals of the control loop.
const (
	// tickInterval drives the machines and the status polls.
	tickInterval = 250 * time.Millisecond
	// instancesInterval is the time between reads of the instance list.
	instancesInterval = time.Second
	// publishDelay merges the events of a moment into one snapshot: a holder
	// receives the answers to its polls in bursts.
	publishDelay = 5 * time.Millisecond
	// eventBuffer bounds events that wait for the control goroutine.
	eventBuffer = 4096
	// maxPolls bounds concurrent status polls.
	maxPolls = 64
)

// Options are the parts that the control loop works with.
type Options struct {
	Self      view.Entry
	Table     infra.Table
	Objects   infra.ObjectStore
	Instances infra.InstanceList
	Engines   *engine.Control
	Node      *wire.Node
	// Mux takes the handlers for peers' messages. It is the one of Node.
	Mux *wire.Mux
	// Datagrams is the socket for membership messages, on the address of the
	// peer protocol. The loop closes it. Without one, membership is off.
	Datagrams net.PacketConn
	// PeerSecret authenticates membership messages.
	PeerSecret []byte
	// Recorder takes events for a trace while it records; nil records none.
	Recorder *trace.Recorder
	// Seeds are peer addresses that are known at the start.
	Seeds []string
	Log   logrus.FieldLogger
	Scope tally.Scope
	// Now is the local monotonic clock.
	Now func() time.Duration
	// Documents are service documents known at the start.
	Documents []service.Document
}

// event is something that happened outside the control goroutine.
type event interface {
	apply(l *Loop, now time.Duration)
}

// memberStatus is the last status report of an engine member.
type memberStatus struct {
	status engine.Status
	// sent is when the poll was sent.
	sent time.Duration
	ok   bool
}

// Loop is the control goroutine with its state.
type Loop struct {
	opts     Options
	events   chan event
	snapshot atomic.Pointer[view.Snapshot]
	polls    chan struct{}
	wg       sync.WaitGroup
	counters loopCounters
	// relay passes cache events on; without one each entry instance reads them.
	relay CacheRelay

	// The fields below belong to the control goroutine.
	documents   []service.Document
	instances   []infra.Instance
	byID        map[ident.InstanceID]infra.Instance
	listVersion string
	listed      listedPart
	// lastReport is when the newest answered poll was sent.
	lastReport    time.Duration
	listedNodes   membership.NodesListed
	learned       map[ident.ServiceName]groupsLearned
	statuses      map[ident.InstanceID]*memberStatus
	polling       map[ident.InstanceID]bool
	credits       credits
	nextInstances time.Duration
	listing       bool
	config        configPart
	groups        groupsPart
	membership    membershipPart
	trace         loopTrace
}

type loopCounters struct {
	pollErrors tally.Counter
	listErrors tally.Counter
	// listsFromPeers counts instance lists taken from peers in an outage.
	listsFromPeers tally.Counter
	listsUnchanged tally.Counter
	droppedEvents  tally.Counter
	groups         tally.Gauge
}

// New returns a control loop. Run starts it.
func New(opts Options) *Loop {
	l := &Loop{
		opts:      opts,
		events:    make(chan event, eventBuffer),
		polls:     make(chan struct{}, maxPolls),
		documents: opts.Documents,
		learned:   make(map[ident.ServiceName]groupsLearned),
		statuses:  make(map[ident.InstanceID]*memberStatus),
		polling:   make(map[ident.InstanceID]bool),
		credits:   credits{owners: make(map[ident.ServiceName]*ownerState)},
		counters: loopCounters{
			pollErrors:     opts.Scope.Counter("status_poll_errors_total"),
			listErrors:     opts.Scope.Counter("instance_list_errors_total"),
			listsFromPeers: opts.Scope.Counter("instance_lists_from_peers_total"),
			listsUnchanged: opts.Scope.Counter("instance_lists_unchanged_total"),
			droppedEvents:  opts.Scope.Counter("control_events_dropped_total"),
			groups:         opts.Scope.Gauge("groups_confirmed"),
		},
	}
	l.trace = newLoopTrace(opts.Recorder, opts.Self.Instance, opts.Scope)
	l.snapshot.Store(view.New(view.Snapshot{}))
	l.startConfig()
	l.startGroups()
	l.startMembership()
	return l
}

// Snapshot returns the current control state.
func (l *Loop) Snapshot() *view.Snapshot { return l.snapshot.Load() }

// Run drives the machines until the context ends.
func (l *Loop) Run(ctx context.Context) {
	// A changed configuration is in force here before the answer to its edit.
	l.config.shell.OnPublish = func(*config.View) { l.publish(l.opts.Now()) }
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer l.wg.Wait()
	defer l.config.cancel()
	defer l.groups.cancel()
	defer l.runMembership()()
	publish := time.NewTimer(0)
	defer publish.Stop()
	due := true
	l.tick(ctx, l.opts.Now())
	for {
		select {
		case <-ctx.Done():
			return
		case <-publish.C:
			due = false
			l.publish(l.opts.Now())
			l.reportLoad(l.opts.Now())
			continue
		case <-tick.C:
			l.tick(ctx, l.opts.Now())
		case e := <-l.events:
			e.apply(l, l.opts.Now())
			l.drainEvents()
		}
		switch {
		case l.config.shell.View().Revision != l.Snapshot().Revision:
			// A changed configuration is in force here at once.
			l.publish(l.opts.Now())
		case !due:
			due = true
			publish.Reset(publishDelay)
		}
	}
}

// drainEvents applies the events that wait already, so that one publication
// covers them all.
func (l *Loop) drainEvents() {
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
