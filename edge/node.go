package edge

import (
	"context"
	"io"
	"log"
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
	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/forward"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/mirror"
	"github.com/bulrushfall/bulrushfall/route"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Parameters of an entry instance.
const (
	// tickEvery drives leases and the planner.
	tickEvery = 50 * time.Millisecond
	// lookupTTL is how long callers keep a look-up: short, because an entry
	// instance that dies takes the callers' next connections with it, and one that
	// leaves has to take requests until all callers know.
	lookupTTL = time.Second
	// idleTimeout closes callers' idle connections. It exceeds the time for which
	// callers reuse them.
	idleTimeout = 15 * time.Second
	// headerTimeout bounds the reading of a request's header.
	headerTimeout = 3 * time.Second
	// maxHeaderBytes bounds a request's header.
	maxHeaderBytes = 16 << 10
	// incarnationLength is the length of the random part that tells two runs of an
	// entry instance apart. It goes into each beacon.
	incarnationLength = 8
	// killMargin is how long before SIGKILL a leaving process ends by itself.
	killMargin = 300 * time.Millisecond
	// latestTaken is how long after its SIGTERM a process takes connections. The
	// platform excuses a request that outlasts the grace period only if it was
	// sent within 3 s.
	latestTaken = 2900 * time.Millisecond
	// staleLookups is how many times longer than the TTL callers may keep a
	// look-up.
	staleLookups = 3
)

// Node is one entry instance.
type Node struct {
	set     Settings
	plat    Platform
	log     *logrus.Logger
	handler *forward.Handler
	peers   *beacon.Table
	metrics *telemetry.Metrics
	start   time.Time
	self    lease.Identity

	mirror  *mirror.Mirror
	readers []*reader
	// direct tells that this instance reads the store itself, holds that it
	// holds the planner's lease.
	direct, holds atomic.Bool

	events  chan event
	leaving atomic.Bool
	ready   atomic.Bool
	nudge   chan struct{}

	// The rest is owned by the control goroutine.
	ctx       context.Context
	list      *fleet.List
	routes    *route.Table
	evacuated []ident.DataCentre
	snapshot  *fleet.Snapshot
	listed    bool
	dirty     bool
	lease     *lease.Machine
	planner   *formation.Planner
	rank      int
	served    bool
	// ended is the last run of an entry instance that fell silent.
	ended lease.Identity
	// holder is the entry instance that says that it holds the lease.
	holder lease.Identity
	// behindSince is when this instance last had all that a reader has, neededAt
	// when it was last needed as one.
	behindSince, neededAt time.Duration
	notes                 map[string]time.Duration
	demands               map[string]*modelDemand
	demandAt              time.Duration

	// failing are the groups whose heads fail all requests, with the time since.
	failing  map[beacon.Suspicion]time.Duration
	suspects suspicions
	reports  []report
}

// suspicions are the groups that requests of this entry instance found without
// progress, with the time until which they are passed on.
type suspicions struct {
	sync.Mutex
	list map[beacon.Suspicion]time.Duration
}

// New returns an entry instance.
func New(set Settings, plat Platform, log *logrus.Logger, metrics *telemetry.Metrics) *Node {
	n := &Node{
		set: set, plat: plat, log: log, metrics: metrics, start: time.Now(),
		self:   lease.Identity{Instance: set.Instance, Incarnation: ident.Incarnation(uuid.NewString()[:incarnationLength])},
		peers:  beacon.NewTable(set.Instance),
		events: make(chan event, 256), nudge: make(chan struct{}, 1),
		mirror:  mirror.New(),
		list:    fleet.NewList(),
		notes:   make(map[string]time.Duration),
		demands: make(map[string]*modelDemand),
	}
	n.readers = []*reader{
		{n: n, table: plat.OperatorTable, wait: operatorWait},
		{n: n, table: plat.ServerTable, wait: serverWait, batch: serverBatch},
	}
	n.suspects.list = make(map[beacon.Suspicion]time.Duration)
	n.snapshot = n.list.Snapshot()
	n.lease = lease.New(dutyLease(), n.self, formation.LeaseName)
	plan := formation.DefaultConfig()
	plan.LoadWindow = set.LoadWindow
	n.planner = formation.New(plan)
	n.handler = forward.New(forward.Options{
		Headers: plat.Headers, Now: n.now, Peers: n.peers, Log: log, Metrics: metrics,
		DataCentre: set.DataCentre, ColdFactor: set.ColdFactor, ColdSlack: set.ColdSlack,
		RetryRatio: set.RetryRatio, RetrySlack: set.RetrySlack, RetryWindow: set.RetryWindow,
		OnStalledGroup: n.suspect,
	})
	return n
}

// dutyLease holds the times of the planner's lease. They are short, because no
// group is repaired while nobody holds it; backend servers check the fencing
// token, so commands need not wait.
func dutyLease() lease.Config {
	return lease.Config{
		Length:        3 * time.Second,
		RenewInterval: 800 * time.Millisecond,
		ReadInterval:  700 * time.Millisecond,
		RetryDelay:    200 * time.Millisecond,
		RankDelay:     400 * time.Millisecond,
		HandOverDelay: time.Hour,
	}
}

// now is the time on the monotonic clock since the start.
func (n *Node) now() time.Duration { return time.Since(n.start) }

// bootNow is the time on a clock that also counts suspensions of the machine, so
// that a holder that was suspended knows that its lease has ended.
func bootNow() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		panic(err) // The kernel has had this clock since version 2.6.39.
	}
	return time.Duration(ts.Nano())
}

// Run serves until the context ends, and then shuts down without cutting
// requests. reload tells that the settings file has changed.
func (n *Node) Run(ctx context.Context, reload <-chan struct{}) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.ctx = work
	callers, err := n.listen(n.set.CallerAddress)
	if err != nil {
		return err
	}
	udp, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(netip.AddrPortFrom(n.set.IP, uint16(n.set.PeerPort))))
	if err != nil {
		return errors.Wrap(err, "listen for other entry instances: free the port")
	}
	peers, err := n.listen(net.JoinHostPort(n.set.IP.String(), strconv.Itoa(n.set.PeerPort)))
	if err != nil {
		return err
	}
	server := n.server(n.handler)
	if err := n.serveAll(server, callers); err != nil {
		return err
	}
	n.log.WithFields(logrus.Fields{
		"instance": n.set.Instance, "incarnation": n.self.Incarnation, "data_centre": n.set.DataCentre,
		"callers": n.set.CallerAddress, "first_start": n.set.FirstStart,
	}).Info("started")
	go n.control(work)
	go n.receive(udp)
	go n.announce(work, udp)
	for _, r := range n.readers {
		go r.run(work)
	}
	node := n.peerNode()
	go n.servePeers(node, peers)
	go n.follow(work, node)
	go n.register(work)
	go n.reloads(work, reload)
	<-ctx.Done()
	n.leave(server)
	return nil
}

// reloads reads the settings again. None of them can change while the process
// runs; the line tells what the file says now.
func (n *Node) reloads(ctx context.Context, reload <-chan struct{}) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-reload:
			next, err := n.plat.ReloadSettings()
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

func (n *Node) server(h http.Handler) *http.Server {
	return &http.Server{
		Handler: h, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		// Broken connections of callers are no event of this process.
		ErrorLog: log.New(io.Discard, "", 0),
	}
}

func (n *Node) serveAll(server *http.Server, callers net.Listener) error {
	mux := http.NewServeMux()
	mux.Handle("/metrics", n.metrics.Handler())
	extra := []struct {
		address string
		handler http.Handler
	}{
		{n.set.LookupAddress, n.plat.LookupHandler(n.lookup)},
		{n.set.ReadyAddress, n.plat.ReadyHandler(func() bool { return n.ready.Load() && !n.leaving.Load() })},
		{net.JoinHostPort(n.set.IP.String(), strconv.Itoa(n.set.MetricsPort)), mux},
	}
	for _, e := range extra {
		l, err := n.listen(e.address)
		if err != nil {
			return err
		}
		go n.serve(n.server(e.handler), l)
	}
	go n.serve(server, callers)
	return nil
}

func (n *Node) serve(s *http.Server, l net.Listener) {
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		n.log.WithError(err).WithField("address", l.Addr().String()).Error("listener ended")
	}
}

func (n *Node) servePeers(node *wire.Node, l net.Listener) {
	if err := node.Serve(l); err != nil && n.ctx.Err() == nil {
		n.log.WithError(err).Error("listener of other entry instances ended")
	}
}

// lookup lists the callers' addresses of the entry instances that take callers.
// They are those of all data centres: naming the near ones only saves no traffic
// between data centres, and the load of one is not that of another.
func (n *Node) lookup() ([]string, time.Duration) {
	var out []string
	if n.ready.Load() && !n.leaving.Load() {
		out = append(out, n.set.CallerAddress)
	}
	for _, m := range n.peers.Seen(n.now()) {
		if m.Ready && !m.Leaving {
			out = append(out, m.Callers)
		}
	}
	return out, min(lookupTTL, n.set.LookupTTL)
}

// leave shuts down: callers are sent elsewhere, and requests of those that do not
// know yet are served. Then no connection is taken any more, so that what was
// taken can end before the platform kills the process.
func (n *Node) leave(server *http.Server) {
	begun := n.now()
	n.leaving.Store(true)
	n.log.Info("leaving")
	n.post(leaveEvent{})
	n.wake()
	n.handler.Drain()
	sleep(n.ctx, lingerTime(n.set))
	left := n.set.GracePeriod - killMargin - (n.now() - begun)
	ctx, cancel := context.WithTimeout(n.ctx, left)
	defer cancel()
	if err := server.Shutdown(ctx); err != nil {
		n.log.WithError(err).WithField("in_flight", n.handler.InFlight()).Warn("requests cut at the end of the grace period")
	}
	n.log.Info("stopped")
}

// lingerTime is how long a leaving instance takes connections: until the look-ups
// that callers keep are over, but no longer than leaves most of the grace period
// to the requests.
func lingerTime(s Settings) time.Duration {
	return min(staleLookups*min(lookupTTL, s.LookupTTL), latestTaken, s.GracePeriod/2)
}
