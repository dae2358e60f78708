package main

import (
	"context"
	"net"
	"net/http"
	"net/http/pprof"
	"net/netip"
	"os"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/bulrushfall/bulrushfall/control"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/gateway"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/internal/dial"
	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/settings"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/trace"
	"github.com/bulrushfall/bulrushfall/view"
	"github.com/bulrushfall/bulrushfall/wire"
)

// Parameters of shutdown and streams.
const (
	// lookupGrace is how long an entry instance that shuts down still accepts
	// requests of callers that cached an older lookup answer.
	lookupGrace = 3 * time.Second
	// shutdownGrace bounds the wait for running requests at shutdown.
	shutdownGrace = 10 * time.Minute
	// parkedStreamBytes is the memory that the stream budgets count for each
	// parked stream.
	parkedStreamBytes = 16 << 10
)

// daemon is an entry instance with its components and listeners.
type daemon struct {
	cfg     settings.Config
	log     *logrus.Logger
	metrics *telemetry.Metrics
	node    *wire.Node
	loop    *control.Loop
	gateway *gateway.Gateway
	// completionClient sends completion requests to engines.
	completionClient *engine.Data
	// controlClient polls and commands engines. cacheEventClient reads their
	// cache events. Each keeps one idle connection per engine.
	controlClient    *engine.Control
	cacheEventClient *engine.Control
	balancer         *gateway.Balancer
	creditSyncer     *control.Syncer
	cacheFeed        *gateway.CacheFeed
	orders           *gateway.OrderComponents
	recorder         *trace.Recorder
}

// localAddressSetter is a client that can be set to dial from a local address.
type localAddressSetter interface{ DialFrom(local netip.Addr) }

func newDaemon(cfg settings.Config, documents []service.Document) (*daemon, error) {
	log, err := telemetry.NewLogger(os.Stderr, cfg.LogLevel)
	if err != nil {
		return nil, err
	}
	if err := dial.CheckLocalAddress(cfg.LocalAddr()); err != nil {
		return nil, err
	}
	d := &daemon{cfg: cfg, log: log, metrics: telemetry.New(), completionClient: engine.NewData(), controlClient: engine.NewControl(), cacheEventClient: engine.NewControl()}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	self := view.Entry{
		Instance:    cfg.Instance,
		Incarnation: ident.Incarnation(uuid.NewString()),
		Address:     cfg.Advertise.Callers,
		PeerAddress: cfg.Advertise.Peers,
		DataCentre:  cfg.DataCentre,
		Region:      cfg.Region,
		Alive:       true,
	}
	d.recorder = newRecorder(cfg.Trace, now)
	mux := wire.NewMux()
	peer := wire.Peer{Instance: self.Instance, Incarnation: self.Incarnation, DataCentre: self.DataCentre}
	d.node = wire.NewNode(peer, []byte(cfg.Peers.Secret), mux)
	store := infra.NewClient(cfg.Platform.URL)
	if local := cfg.LocalAddr(); local.IsValid() {
		for _, c := range []localAddressSetter{d.node, d.completionClient, d.controlClient, d.cacheEventClient, store} {
			c.DialFrom(local)
		}
	}
	if err := usePeerTLS(d.node, cfg.TLS.Peers); err != nil {
		return nil, err
	}
	datagrams, err := net.ListenPacket("udp", cfg.Listen.Peers)
	if err != nil {
		return nil, errors.Wrap(err, "listen for membership datagrams")
	}
	d.loop = control.New(control.Options{
		Self:       self,
		Table:      store,
		Objects:    store,
		Instances:  store,
		Engines:    d.controlClient,
		Node:       d.node,
		Mux:        mux,
		Datagrams:  datagrams,
		PeerSecret: []byte(cfg.Peers.Secret),
		Seeds:      cfg.Peers.Seeds,
		Log:        log,
		Scope:      d.metrics.Scope,
		Now:        now,
		Documents:  documents,
		Recorder:   d.recorder,
	})
	d.loop.RegisterSync(mux)
	d.loop.RegisterInstances(mux)
	d.balancer = gateway.NewBalancer(self, d.loop.Snapshot, now, d.metrics)
	d.cacheFeed = gateway.NewCacheFeed(d.balancer, d.cacheEventClient.CacheEvents, d.metrics)
	d.loop.SetCacheRelay(d.cacheFeed)
	d.balancer.SetRecorder(d.recorder)
	pauses := gateway.NewServerPauses(now, log)
	d.balancer.SetPauses(pauses)
	d.creditSyncer = control.NewSyncer(d.loop, d.balancer)
	d.orders, err = gateway.NewOrderComponents(gateway.OrderOptions{
		Table: store, Objects: store, Node: d.node, Snapshot: d.loop.Snapshot, Now: now, Self: self, Scope: d.metrics.Scope,
	})
	if err != nil {
		return nil, err
	}
	d.orders.Register(mux)
	d.gateway = gateway.New(gateway.Options{
		Snapshot:             d.loop.Snapshot,
		Now:                  now,
		Metrics:              d.metrics,
		Data:                 d.completionClient,
		Router:               d.orders.Quarantine.Router(d.balancer),
		ServerRouter:         d.balancer,
		Filters:              []gateway.Filter{d.balancer.AccountLimits},
		Orders:               d.orders.Orders,
		Quarantine:           d.orders.Quarantine,
		Self:                 self,
		DialFrom:             cfg.LocalAddr(),
		Pauses:               pauses,
		Recorder:             d.recorder,
		LookupTTL:            cfg.LookupTTL,
		MaxBodyBytes:         cfg.Limits.MaxBodyBytes,
		AccountParkedStreams: int(cfg.Limits.AccountStreamBytes / parkedStreamBytes),
		ProcessParkedStreams: int(cfg.Limits.StreamMemoryBytes / parkedStreamBytes),
	})
	return d, nil
}

// run serves until ctx is cancelled, then finishes running requests and stops.
func (d *daemon) run(ctx context.Context) error {
	callers, err := net.Listen("tcp", d.cfg.Listen.Callers)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", d.cfg.Listen.Peers)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	operators, err := net.Listen("tcp", d.cfg.Listen.Operators)
	if err != nil {
		return errors.Wrap(err, "listen for operators")
	}
	callerListener, err := withCallerTLS(d.gateway.Listener(callers), d.cfg.TLS.Callers)
	if err != nil {
		return err
	}
	callerServer := d.gateway.Server(d.gateway.Handler(), d.cfg.Limits.MaxHeaderBytes)
	operatorServer := &http.Server{Handler: d.operatorHandler(), ReadHeaderTimeout: time.Second}
	loopCtx, stopLoop := context.WithCancel(context.Background())
	defer stopLoop()

	var g errgroup.Group
	g.Go(func() error { return ignoreServerClosed(callerServer.Serve(callerListener)) })
	g.Go(func() error { return ignoreServerClosed(operatorServer.Serve(operators)) })
	g.Go(func() error { return d.node.Serve(peers) })
	g.Go(func() error { d.loop.Run(loopCtx); return nil })
	g.Go(func() error { d.creditSyncer.Run(loopCtx); return nil })
	g.Go(func() error { d.balancer.Run(loopCtx); return nil })
	g.Go(func() error { d.orders.Run(loopCtx); return nil })
	g.Go(func() error { d.cacheFeed.Run(loopCtx); return nil })
	g.Go(func() error {
		<-ctx.Done()
		d.shutDown(callerServer)
		stopLoop()
		d.completionClient.Close()
		d.node.Close()
		_ = peers.Close()
		return operatorServer.Close()
	})
	d.log.WithField("instance", d.cfg.Instance).Info("entry instance started")
	err = g.Wait()
	d.log.WithField("instance", d.cfg.Instance).Info("entry instance stopped")
	return errors.Wrap(err, "serve")
}

// shutDown removes the entry instance from lookup answers, keeps serving callers
// that cached an older answer for lookupGrace, and then waits for the running
// requests.
func (d *daemon) shutDown(callers *http.Server) {
	d.log.Info("entry instance is draining")
	d.gateway.SetDraining()
	d.loop.Leave()
	time.Sleep(lookupGrace)
	ctx, cancel := context.WithTimeout(context.Background(), shutdownGrace)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		d.log.WithError(err).Warn("requests were still running at the end of the grace period")
	}
	d.gateway.Wait(ctx)
	if err := d.orders.Wait(ctx); err != nil {
		d.log.WithError(err).Warn("some order outcomes were not recorded; callers that retry these orders will get an unknown outcome")
	}
}

// operatorHandler serves the operators' interface, health, readiness, metrics
// and profiles.
func (d *daemon) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle("/operator/v1/", operator.Handler(operator.Options{
		Configuration: d.loop.Configuration(),
		Team:          d.cfg.Team,
		Status:        d.loop.Status,
		DrainTargets:  d.loop.DrainTargets,
		Recorder:      d.recorder,
		TraceHeader:   d.loop.TraceHeader,
		Now:           time.Now,
	}))
	mux.Handle("GET /metrics", d.metrics.Handler())
	mux.HandleFunc("GET /debug/pprof/", pprof.Index)
	mux.HandleFunc("GET /debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusOK)
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !d.loop.Snapshot().Ready {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}

func ignoreServerClosed(err error) error {
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// loadDocuments reads and parses service documents from files.
func loadDocuments(files []string) ([]service.Document, error) {
	var out []service.Document
	for _, file := range files {
		b, err := os.ReadFile(file)
		if err != nil {
			return nil, errors.Wrap(err, "read service document")
		}
		doc, err := service.Parse(b)
		if err != nil {
			return nil, errors.Wrap(err, file)
		}
		out = append(out, doc)
	}
	return out, nil
}
