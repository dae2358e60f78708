// Package gateway implements the HTTP interface for callers. It passes each
// request through a chain of filters, dispatches it to a backend server and relays
// the answer.
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

// Options configures a Gateway and holds its dependencies.
type Options struct {
	// Snapshot returns the current control state. It must not block.
	Snapshot func() *view.Snapshot
	// Now returns the time of the local monotonic clock.
	Now     func() time.Duration
	Metrics *telemetry.Metrics
	Data    *engine.Data
	Router  Router
	// ServerRouter picks the backend servers of plain services. If it is nil, a
	// random backend server is picked without a concurrency limit.
	ServerRouter ServerRouter
	// Filters run between classification and dispatch, in order.
	Filters []Filter
	// Orders runs non-idempotent calls at most once, after Filters. If it is nil,
	// these calls are dispatched without a record.
	Orders *Orders
	// Quarantine isolates requests to plain services that are suspected of
	// crashing backend servers. For model services, Router must be wrapped with
	// Quarantine.Router.
	Quarantine *Quarantine
	Self       view.Entry
	// DialFrom is the local address of connections to plain backend servers. The
	// zero address lets the system choose.
	DialFrom netip.Addr
	// Pauses are the pauses that backend servers ask for, shared with the routers. If it is nil,
	// the gateway has its own.
	Pauses *ServerPauses
	// Recorder receives trace events while a recording runs. If it is nil, nothing
	// is recorded.
	Recorder *trace.Recorder
	// LookupTTL is how long callers may cache a lookup answer.
	LookupTTL time.Duration
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
	// BodyMemoryBytes limits the total size of the request bodies in memory. 0
	// means the default.
	BodyMemoryBytes int64
	// AccountParkedStreams and ProcessParkedStreams limit the number of parked
	// streams. Above the limit, a stalled stream is closed instead, and its caller
	// can resume it with Last-Event-ID.
	AccountParkedStreams int
	ProcessParkedStreams int
	// ParkAfter is how long a caller may read nothing before its stream is parked.
	// 0 means the default.
	ParkAfter time.Duration
}

type counters struct {
	unauthenticated     tally.Counter
	callersDisconnected tally.Counter
	retries             tally.Counter
	silences            tally.Counter
	silencesEnded       tally.Counter
	parked              tally.Counter
	unparked            tally.Counter
	parkRefused         tally.Counter
	parkedNow           tally.Gauge
	lookups             tally.Counter
	refusedEarly        tally.Counter
}

// Gateway serves callers' requests.
type Gateway struct {
	opts            Options
	counters        counters
	completion      Endpoint
	plain           Endpoint
	backends        *plainClient
	parked          *parkedStreams
	draining        atomic.Bool
	heldBodyBytes   atomic.Int64
	bodyGrace       time.Duration
	minSilenceLimit time.Duration
	knownKeys       atomic.Pointer[keyIndex]

	baseContext context.Context
	cancel      context.CancelFunc
	wg          sync.WaitGroup
}

// New returns a gateway and starts its background goroutine, which Wait stops.
func New(opts Options) *Gateway {
	if opts.ParkAfter == 0 {
		opts.ParkAfter = parkAfter
	}
	if opts.BodyMemoryBytes == 0 {
		opts.BodyMemoryBytes = defaultBodyMemoryBytes
	}
	if opts.Pauses == nil {
		opts.Pauses = NewServerPauses(opts.Now, nil)
	}
	s := opts.Metrics.Scope
	g := &Gateway{
		opts: opts,
		counters: counters{
			unauthenticated:     s.Counter("unauthenticated_total"),
			callersDisconnected: s.Counter("callers_gone_total"),
			retries:             s.Counter("attempt_retries_total"),
			silences:            s.Counter("engine_silences_total"),
			silencesEnded:       s.Counter("engine_silences_ended_total"),
			parked:              s.Counter("streams_parked_total"),
			unparked:            s.Counter("streams_unparked_total"),
			parkRefused:         s.Counter("streams_park_refused_total"),
			parkedNow:           s.Gauge("streams_parked"),
			lookups:             s.Counter("lookups_total"),
			refusedEarly:        s.Counter("requests_refused_early_total"),
		},
		backends:        newPlainClient(opts.DialFrom, opts.Pauses),
		bodyGrace:       bodyGrace,
		minSilenceLimit: resumeWait,
		parked:          newParkedStreams(opts.AccountParkedStreams, opts.ProcessParkedStreams),
	}
	g.baseContext, g.cancel = context.WithCancel(context.Background())
	go g.reclaimMemory()
	front := []Filter{g.recordOutcome, g.authenticate, g.classify}
	filters := append(front, opts.Filters...)
	g.completion = chain(g.dispatchCompletion, filters...)
	if opts.Orders != nil {
		g.plain = chain(g.dispatchPlain, append(filters, opts.Orders.filter)...)
		opts.Orders.endpoint = g.plain
	} else {
		g.plain = chain(g.dispatchPlain, filters...)
	}
	return g
}

func (g *Gateway) now() time.Duration { return g.opts.Now() }

// SetDraining directs callers to other entry instances: this instance is left out
// of its own lookup answers, and each connection closes after its next answer.
// Requests are still served.
func (g *Gateway) SetDraining() { g.draining.Store(true) }

// Handler returns the HTTP handler for callers.
func (g *Gateway) Handler() http.Handler {
	mux := http.NewServeMux()
	options := []kithttp.ServerOption{kithttp.ServerErrorEncoder(writeProblem)}
	completions := kithttp.NewServer(passRequest, g.decodeCompletion, g.encodeCompletion, options...)
	mux.Handle("POST "+chatPath, completions)
	mux.Handle("POST "+completionPath, completions)
	mux.Handle(servicesPrefix, kithttp.NewServer(g.plainEndpoint(), g.decodePlain, encodePlain, options...))
	mux.Handle("GET "+lookupPath, kithttp.NewServer(g.lookup, decodeLookup, kithttp.EncodeJSONResponse, options...))
	if g.opts.Orders != nil {
		mux.Handle("POST "+ticketsPath, kithttp.NewServer(g.mintTicket, g.decodeTicket, kithttp.EncodeJSONResponse, options...))
	}
	return g.closeWhileDraining(g.enforceLimits(mux))
}

// closeWhileDraining closes each connection after its next answer once the gateway
// drains, so that callers do not reuse connections to an entry instance that is
// shutting down.
func (g *Gateway) closeWhileDraining(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if g.draining.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// passRequest returns the decoded request as the response. The response encoder
// runs the filters, because the answer of a model service is written while it is
// produced.
func passRequest(_ context.Context, request any) (any, error) { return request, nil }

// plainEndpoint adapts the filter chain of plain services to go-kit.
func (g *Gateway) plainEndpoint() endpoint.Endpoint {
	return func(ctx context.Context, request any) (any, error) {
		return g.plain(ctx, request.(*Request))
	}
}

// Wait waits until no parked streams are left. When the context ends, it closes the
// remaining ones. It then stops the gateway's background work.
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
