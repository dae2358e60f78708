package edge

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"github.com/bulrushfall/bulrushfall/beacon"
	"github.com/bulrushfall/bulrushfall/duty"
	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/forward"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/internal/callerconn"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/mirror"
	"github.com/bulrushfall/bulrushfall/route"
	"github.com/bulrushfall/bulrushfall/sizing"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Parameters of the process and its HTTP servers.
const (
	// tickInterval is the time between ticks of the control goroutine. An instance
	// without a duty needs only one in idleTickFactor ticks.
	tickInterval   = 50 * time.Millisecond
	idleTickFactor = 4
	// lookupTTL is how long callers may cache the addresses that a lookup returned.
	// It is short, because callers keep connecting to a dead entry instance until
	// they look up again, and one that shuts down has to accept requests until then.
	lookupTTL = time.Second
	// idleTimeout is the time after which idle connections of callers are closed. It
	// exceeds the time for which callers reuse connections.
	idleTimeout = 15 * time.Second
	// headerTimeout bounds the time for reading a request's header.
	headerTimeout = 3 * time.Second
	// maxHeaderBytes bounds the size of a request's header.
	maxHeaderBytes = 16 << 10
	// incarnationLength is the length of the random identifier of a process run. It
	// is short, because each beacon carries it.
	incarnationLength = 8
	// killMargin is how long before SIGKILL a process that shuts down ends by itself.
	killMargin = 300 * time.Millisecond
	// maxDrainTime bounds how long a process accepts connections after SIGTERM. The
	// platform tolerates that a request is cut at the end of the grace period only if
	// the request was sent within 3 s of SIGTERM.
	maxDrainTime = 2900 * time.Millisecond
	// lookupTTLFactor times the TTL is how long callers may actually keep using the
	// addresses of a lookup.
	lookupTTLFactor = 3
)

// Node is one entry instance.
type Node struct {
	settings  Settings
	platform  Platform
	log       *logrus.Logger
	handler   *forward.Handler
	peers     *beacon.Table
	metrics   *telemetry.Metrics
	startTime time.Time
	self      lease.Identity

	// peerNode makes calls to other entry instances. Run sets it before the control loop starts.
	peerNode     *wire.Node
	mirror       *mirror.Mirror
	tableReaders []*tableReader
	// readsStore is true while this instance reads the store itself, holdsLease while
	// it holds the planner's lease.
	readsStore, holdsLease atomic.Bool
	// currency is the age of the operator table's replica.
	currency mirror.Currency
	// announcesReading is true if others may follow this instance while it reads the store.
	announcesReading atomic.Bool
	// isRelay is true while this instance relays beacons and table changes.
	isRelay atomic.Bool
	// lagging is true while this instance lacks changes that a reader announced some
	// time ago. It then follows readers instead of relays.
	lagging atomic.Bool

	events         chan event
	leaving        atomic.Bool
	ready          atomic.Bool
	beaconRequests chan struct{}

	// The control goroutine owns the fields below, except ctx and stalledGroups.

	// ctx ends when the process has shut down.
	ctx            context.Context
	serverList     *fleet.List
	routes         *route.Table
	evacuated      []ident.DataCentre
	serverSnapshot *fleet.Snapshot
	// storeEra is the era of the newest rows, once storeEraKnown is true.
	storeEra      uint64
	storeEraKnown bool
	// serversReceived is true once the list of backend servers has been read.
	serversReceived bool
	// viewOutdated is true if routes, servers or evacuated data centres have changed
	// since the last view was published.
	viewOutdated bool
	leaseMachine *lease.Machine
	planner      *formation.Planner
	// duties is nil if the settings ask for no duty.
	duties *duty.Machine
	// dutyStatus is what operators see of the duties.
	dutyStatus atomic.Pointer[duty.Status]
	leaseRank  int
	// contending is true while this instance follows the lease in the store.
	contending bool
	// lastTickAt is when the control loop last ticked.
	lastTickAt time.Duration
	// wasCurrent is the last logged state of currency.
	wasCurrent  bool
	roster      rosterView
	addressList addressList
	// peersAppeared and peersEnded are runs of other entry instances to be logged.
	peersAppeared, peersEnded []beacon.Run
	// requestsReceived is true once any entry instance has accepted a request.
	requestsReceived bool
	// lastEndedRun is the run of an entry instance that was last found to have ended, or
	// zero if it turned out to be alive.
	lastEndedRun lease.Identity
	// leaseHolder is the entry instance that announces that it holds the lease.
	leaseHolder lease.Identity
	// awaitedVersions are table versions that a usable reader (see usableReaders) has
	// and this instance lacks, and awaitedSince is when they were announced.
	// lastNeededAt is when updateReaderRole last found that this instance has to read the
	// store.
	awaitedVersions            []mirror.TableVersion
	awaitedSince, lastNeededAt time.Duration
	// lastLogged holds the time of the last log line of each key.
	lastLogged   map[string]time.Duration
	modelDemands map[string]*modelDemand
	nextDemandAt time.Duration
	// sizing decides the number of backend servers while this instance holds the lease, and is
	// nil otherwise.
	sizing *sizing.Planner
	// leavingServers are the servers that sizing gave up at its last step.
	leavingServers map[ident.InstanceID]bool
	// reassignedServers are those that sizing gave another model.
	reassignedServers map[ident.InstanceID]string
	orderCount        uint64
	nextSizeLogAt     time.Duration
	nextSizeAt        time.Duration

	// failingHeads holds the groups whose heads fail all requests, and since when.
	failingHeads  map[beacon.GroupEpoch]time.Duration
	stalledGroups stalledGroupSet
	stallReports  []stallReport

	// activity counts for the duties, or is nil if there are none. It has its own mutex.
	activity *activityState
	// nextCollectAt is when the holder of the lease next collects the counts of the others.
	nextCollectAt time.Duration
}

// stalledGroupSet holds the groups that requests of this entry instance found without
// progress, and the time until which beacons report them.
type stalledGroupSet struct {
	sync.Mutex
	reportUntil map[beacon.GroupEpoch]time.Duration
}

// New returns an entry instance. Run starts it.
func New(settings Settings, platform Platform, log *logrus.Logger, metrics *telemetry.Metrics) *Node {
	n := &Node{
		settings: settings, platform: platform, log: log, metrics: metrics, startTime: time.Now(),
		self:   lease.Identity{Instance: settings.Instance, Incarnation: ident.Incarnation(uuid.NewString()[:incarnationLength])},
		peers:  beacon.NewTable(settings.Instance),
		events: make(chan event, 256), beaconRequests: make(chan struct{}, 1),
		serverList:   fleet.NewList(),
		lastLogged:   make(map[string]time.Duration),
		modelDemands: make(map[string]*modelDemand),
	}
	n.mirror = mirror.NewRestorable(n.now, n.isNewerRow)
	n.tableReaders = []*tableReader{
		{node: n, table: platform.OperatorTable, pollTimeout: operatorPollTimeout, wake: make(chan struct{}, 1)},
		{node: n, table: platform.ServerTable, pollTimeout: serverPollTimeout, batchDelay: serverBatchDelay, wake: make(chan struct{}, 1)},
	}
	n.stalledGroups.reportUntil = make(map[beacon.GroupEpoch]time.Duration)
	n.serverSnapshot = n.serverList.Snapshot()
	n.leaseMachine = lease.New(plannerLeaseConfig(), n.self, formation.LeaseName)
	n.leaseMachine.Step(bootNow(), lease.Standby{On: true})
	planConfig := formation.DefaultConfig()
	planConfig.LoadWindow = settings.LoadWindow
	if settings.Duties.OrdersServers && !settings.Duties.LogsOrdersOnly {
		planConfig.CompareStay = platform.CompareStay
	}
	n.planner = formation.New(planConfig)
	n.duties = n.newDuties()
	n.handler = forward.New(forward.Options{
		Headers: platform.Headers, Now: n.now, Peers: n.peers, Log: log, Metrics: metrics,
		DataCentre: settings.DataCentre, ColdFactor: settings.ColdFactor, ColdSlack: settings.ColdSlack,
		RetryRatio: settings.RetryRatio, RetrySlack: settings.RetrySlack, RetryWindow: settings.RetryWindow,
		DrainTime: settings.DrainTime, HeldBytes: heldBytes(settings.Memory),
		Prompt: platform.Prompt, ConfigCurrent: n.configCurrent, OnFindings: n.requestBeacon,
		OnStalledGroup: n.reportStall, OnRun: n.startActivity(),
	})
	return n
}

// plannerLeaseConfig returns the times of the planner's lease. They are short, because
// no group is repaired while no instance holds it. RankDelay is shorter than
// ReadInterval, so an instance that is not the preferred one may acquire a released
// lease. MaxCommandDelay is 0 and Fenced is set: a new holder need not wait before it sends
// commands, because backend servers check the fencing token.
func plannerLeaseConfig() lease.Config {
	return lease.Config{
		Length:        3 * time.Second,
		RenewInterval: 800 * time.Millisecond,
		ReadInterval:  700 * time.Millisecond,
		RetryDelay:    200 * time.Millisecond,
		RankDelay:     400 * time.Millisecond,
		HandOverDelay: time.Hour,
		Fenced:        true,
	}
}

// now returns the time since the start on the monotonic clock.
func (n *Node) now() time.Duration { return time.Since(n.startTime) }

// bootNow returns the time on a clock that also counts while the machine is suspended,
// so that a lease holder notices after a suspension that its lease has expired.
func bootNow() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // The kernel has had this clock since version 2.6.39.
	}
	return time.Duration(ts.Nano())
}

// Run serves until ctx ends, and then shuts down gracefully. A value on reload means
// that the settings file has changed.
func (n *Node) Run(ctx context.Context, reload <-chan struct{}) error {
	workCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.ctx = workCtx
	limitHeap(n.settings.Memory)
	callerListener, err := n.listen(n.settings.CallerAddress)
	if err != nil {
		return err
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(n.settings.IP, uint16(n.settings.PeerPort))))
	if err != nil {
		return errors.Wrap(err, "listen for beacons of other entry instances: free the UDP port")
	}
	peerListener, err := n.listen(net.JoinHostPort(n.settings.IP.String(), strconv.Itoa(n.settings.PeerPort)))
	if err != nil {
		return err
	}
	server := n.newServer(n.handler)
	if err := n.startServers(server, callerListener); err != nil {
		return err
	}
	n.log.WithFields(logrus.Fields{
		"instance": n.settings.Instance, "incarnation": n.self.Incarnation, "data_centre": n.settings.DataCentre,
		"callers": n.settings.CallerAddress, "first_start": n.settings.FirstStart,
	}).Info("started")
	n.peerNode = n.newPeerNode()
	go n.runControlLoop(workCtx)
	go n.receiveBeacons(udp)
	go n.sendBeacons(workCtx, udp)
	for _, r := range n.tableReaders {
		go r.run(workCtx)
	}
	go n.servePeers(n.peerNode, peerListener)
	go n.followReaders(workCtx, n.peerNode)
	go n.register(workCtx)
	go n.handleReloads(workCtx, reload)
	<-ctx.Done()
	n.leave(server)
	return nil
}

// handleReloads reads the settings again on each reload and logs them. It applies
// none: no setting can change while the process runs.
func (n *Node) handleReloads(ctx context.Context, reload <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			next, err := n.platform.ReloadSettings()
			if err != nil {
				n.log.WithError(err).Warn("reload failed: settings stay as they are")
				continue
			}
			n.log.WithFields(logrus.Fields{"callers": next.CallerAddress, "store": next.StoreAddress}).Info("reloaded")
		}
	}
}

func (n *Node) listen(address string) (net.Listener, error) {
	config := net.ListenConfig{KeepAlive: -1}
	l, err := config.Listen(context.Background(), "tcp4", address)
	return l, errors.Wrapf(err, "listen on %s: free the port or change the settings", address)
}

func (n *Node) newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ConnContext: callerconn.Context, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		// Errors on callers' connections are not logged: they are no fault of this
		// process.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

// startServers starts to serve callers, address lookups, readiness checks and metrics.
func (n *Node) startServers(server *http.Server, callers net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", n.metrics.Handler())
	if n.duties != nil {
		mux.HandleFunc("GET /duties", n.serveDutyStatus)
	}
	auxiliary := []struct {
		address string
		handler http.Handler
	}{
		{n.settings.LookupAddress, n.platform.LookupHandler(n.callerAddresses)},
		{n.settings.ReadyAddress, n.platform.ReadyHandler(func() bool { return n.ready.Load() && !n.leaving.Load() })},
		{net.JoinHostPort(n.settings.IP.String(), strconv.Itoa(n.settings.MetricsPort)), mux},
	}
	for _, e := range auxiliary {
		l, err := n.listen(e.address)
		if err != nil {
			return err
		}
		go n.serve(n.newServer(e.handler), l)
	}
	go n.serve(server, callers)
	return nil
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.log.WithError(err).WithField("address", l.Addr().String()).Error("HTTP server stopped unexpectedly")
	}
}

func (n *Node) servePeers(node *wire.Node, l net.Listener) {
	if err := node.Serve(l); err != nil && n.ctx.Err() == nil {
		n.log.WithError(err).Error("server for calls of other entry instances stopped unexpectedly")
	}
}

// callerAddresses returns the addresses of the entry instances that accept callers,
// and how long callers may cache them. It lists those of all data centres: listing
// only the near ones would save no traffic between data centres, and would spread the
// requests unevenly, because the load of the data centres differs.
func (n *Node) callerAddresses() ([]string, time.Duration) {
	var addresses []string
	if n.ready.Load() && !n.leaving.Load() {
		addresses = append(addresses, n.settings.CallerAddress)
	}
	for _, peer := range n.peers.Roster() {
		if peer.Has(beacon.FlagReady) && !peer.Has(beacon.FlagLeaving) {
			addresses = append(addresses, peer.CallerAddress)
		}
	}
	return sampleAddresses(addresses, maxLookupAddresses), min(lookupTTL, n.settings.LookupTTL)
}

// maxLookupAddresses is the number of addresses of a lookup that callers use.
const maxLookupAddresses = 64

// sampleAddresses returns up to count random addresses, so that callers of all lookups
// together spread over all of them.
func sampleAddresses(addresses []string, count int) []string {
	for i := range min(count, len(addresses)) {
		j := i + rand.IntN(len(addresses)-i)
		addresses[i], addresses[j] = addresses[j], addresses[i]
	}
	return addresses[:min(count, len(addresses))]
}

// leave shuts down gracefully. The instance is removed from lookups at once, but still
// accepts the connections of callers that have not looked up again. After drainTime
// it accepts none, so that the requests in flight can complete before the platform
// kills the process.
func (n *Node) leave(server *http.Server) {
	begin := n.now()
	n.leaving.Store(true)
	n.log.Info("leaving")
	n.post(leaveEvent{})
	n.requestBeacon()
	n.handler.Drain()
	sleep(n.ctx, drainTime(n.settings))
	remaining := n.settings.GracePeriod - killMargin - (n.now() - begin)
	ctx, cancel := context.WithTimeout(n.ctx, remaining)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.log.WithError(err).WithField("in_flight", n.handler.InFlight()).Warn("requests cut at the end of the grace period")
	}
	n.log.Info("stopped")
}

// drainTime returns how long an instance accepts connections during its shutdown:
// until callers' cached lookups have expired, but at most maxDrainTime and half of the
// grace period, so that accepted requests have time to complete.
func drainTime(s Settings) time.Duration {
	return min(lookupTTLFactor*min(lookupTTL, s.LookupTTL), maxDrainTime, s.GracePeriod/2)
}
