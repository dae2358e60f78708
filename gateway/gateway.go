// Package gateway is the callers' HTTP interface: it takes a request through a
// chain of filters to a backend server and relays the answer.
package gateway

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"
	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/trace"
	"github.com/bulrushfall/bulrushfall/view"
)

// Paths of the callers' interface.
const (
	chatPath       = "/v1/chat/completions"
	completionPath = "/v1/completions"
	lookupPath     = "/v1/lookup"
)

// Options are the parts that the gateway works with.
type Options struct {
	// Snapshot returns the current control state. It does not block.
	Snapshot func() *view.Snapshot
	// Now is the local monotonic clock.
	Now     func() time.Duration
	Metrics *telemetry.Metrics
	Data    *engine.Data
	Router  Router
	// ServerRouter picks the backend servers of plain services. nil picks
	// random ones without a limit.
	ServerRouter ServerRouter
	// Filters run between classification and dispatch, in order.
	Filters []Filter
	// Orders runs non-idempotent calls at most once, after Filters. Without it
	// they are dispatched without a record.
	Orders *Orders
	// Quarantine keeps crashing requests away from plain services; for model
	// services it wraps the Router.
	Quarantine *Quarantine
	Self       view.Entry
	// DialFrom is the local address of connections to plain backend servers, or
	// the zero address.
	DialFrom netip.Addr
	// Recorder takes events for a trace while it records; nil records none.
	Recorder *trace.Recorder
	// LookupTTL is how long callers may keep a lookup answer.
	LookupTTL time.Duration
	// MaxBodyBytes bounds a request body.
	MaxBodyBytes int64
	// BodyMemoryBytes bounds the request bodies held at a time. 0 means the
	// default.
	BodyMemoryBytes int64
	// AccountParkedStreams and ProcessParkedStreams bound parked streams. Past
	// them the stream is closed, and its caller resumes with Last-Event-ID.
	AccountParkedStreams int
	ProcessParkedStreams int
	// ParkAfter is how long a reader may take nothing before it is parked.
	// 0 means the default.
	ParkAfter time.Duration
}

type counters struct {
	unauthenticated tally.Counter
	callersGone     tally.Counter
	retries         tally.Counter
	parked          tally.Counter
	unparked        tally.Counter
	parkRefused     tally.Counter
	parkedNow       tally.Gauge
	lookups         tally.Counter
	refusedEarly    tally.Counter
}

// Gateway serves callers.
type Gateway struct {
	opts       Options
	counters   counters
	completion Endpoint
	plain      Endpoint
	backends   *plainClient
	parked     *parkedStreams
	draining   atomic.Bool
	bodyBytes  atomic.Int64
	bodyGrace  time.Duration
	keys       atomic.Pointer[keyIndex]

	base   context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a gateway.
func New(opts Options) *Gateway {
	if opts.ParkAfter == 0 {
		opts.ParkAfter = parkAfter
	}
	if opts.BodyMemoryBytes == 0 {
		opts.BodyMemoryBytes = defaultBodyMemoryBytes
	}
	s := opts.Metrics.Scope
	g := &Gateway{
		opts: opts,
		counters: counters{
			unauthenticated: s.Counter("unauthenticated_total"),
			callersGone:     s.Counter("callers_gone_total"),
			retries:         s.Counter("attempt_retries_total"),
			parked:          s.Counter("streams_parked_total"),
			unparked:        s.Counter("streams_unparked_total"),
			parkRefused:     s.Counter("streams_park_refused_total"),
			parkedNow:       s.Gauge("streams_parked"),
			lookups:         s.Counter("lookups_total"),
			refusedEarly:    s.Counter("requests_refused_early_total"),
		},
		backends:  newPlainClient(opts.DialFrom),
		bodyGrace: bodyGrace,
		parked:    newParkedStreams(opts.AccountParkedStreams, opts.ProcessParkedStreams),
	}
	g.base, g.cancel = context.WithCancel(context.Background())
	go g.reclaim()
	front := []Filter{g.account, g.authenticate, g.classify}
	filters := append(front, opts.Filters...)
	g.completion = chain(g.dispatchCompletion, filters...)
	if opts.Orders != nil {
		g.plain = chain(g.dispatchPlain, append(filters, opts.Orders.filter)...)
		opts.Orders.serve = g.plain
	} else {
		g.plain = chain(g.dispatchPlain, filters...)
	}
	return g
}

func (g *Gateway) now() time.Duration { return g.opts.Now() }

// SetDraining makes the gateway tell callers to go elsewhere: it leaves its own
// lookup answers, and connections close after their next answer. Requests are
// still served.
func (g *Gateway) SetDraining() { g.draining.Store(true) }

// Handler returns the callers' HTTP handler.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(writeProblem)}
	completions := kithttp.NewServer(passRequest, g.decodeCompletion, g.encodeCompletion, options...)
	mux.Handle("POST "+chatPath, completions)
	mux.Handle("POST "+completionPath, completions)
	mux.Handle(servicesPrefix, kithttp.NewServer(g.plainEndpoint(), g.decodePlain, encodePlain, options...))
	mux.Handle("GET "+lookupPath, kithttp.NewServer(g.lookup, decodeLookup, kithttp.EncodeJSONResponse, options...))
	if g.opts.Orders != nil {
		mux.Handle("POST "+ticketsPath, kithttp.NewServer(g.mint, g.decodeTicket, kithttp.EncodeJSONResponse, options...))
	}
	return g.closeWhileDraining(g.limits(mux))
}

// closeWhileDraining closes each connection after its answer once the gateway
// drains, so that callers do not keep to an entry instance that leaves.
func (g *Gateway) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// passRequest hands the decoded request to the encoder: the answer of a model
// service is produced while it is written.
func passRequest(_ context.Context, request any) (any, error) { return request, nil }

// plainEndpoint adapts the filter chain of plain services to go-kit.
func (g *Gateway) plainEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return g.plain(ctx, request.(*Request))
	}
}

// Wait waits for parked streams until the context ends, then closes them.
func (g *Gateway) Wait(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		g.wg.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		g.parked.closeAll()
		<-done
	}
	g.cancel()
}
