// Package forward implements the reverse proxy of an entry instance. It
// authenticates a request, picks a backend server, forwards method, path, headers
// and body unchanged, and relays the response. It also retries failed requests
// and resumes interrupted event streams at another backend server within the
// same response.
package forward

import (
	"fmt"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
	"github.com/bulrushfall/bulrushfall/telemetry"
)

// Headers holds the names of the HTTP headers that the proxy reads and sets.
type Headers struct {
	// RequestID identifies one request. Responses carry the same value.
	RequestID string
	// Deadline is the remaining time of the request in milliseconds.
	Deadline string
	// Server names the only backend server that may run the request.
	Server string
	// Account names the authenticated client account to backend servers.
	Account string
	// NotRun is set on responses of a backend server that did not run the request.
	NotRun string
	// Attestation holds the backend server's proof that it produced the response.
	Attestation string
	// Model names the model that the request is for.
	Model string
	// Priority is the scheduling priority of a request at a backend server. It is
	// not forwarded from callers.
	Priority string
	// FailedMember names the group member that made a backend server reject a request.
	FailedMember string
	// RequestLimit is the number of requests a second that a backend server takes from all
	// entry instances together, for as long as its responses name it.
	RequestLimit string
	// ServerLeaving is set on all responses of a backend server that will stop.
	ServerLeaving string
}

// Standard headers that the proxy handles.
const (
	headerLastEvent  = "Last-Event-Id"
	headerRetryAfter = "Retry-After"
	headerAuth       = "Authorization"
	bearerPrefix     = "Bearer "
)

// Clock returns the time of a monotonic clock that keeps running while the machine
// is suspended.
type Clock func() time.Duration

// Peers is what this entry instance knows of the other entry instances.
type Peers interface {
	// InFlight returns the number of requests that other entry instances have in
	// flight at a backend server.
	InFlight(id ident.InstanceID) int
	// HealthReports returns the number of other entry instances whose last request to a
	// backend server failed, and the number of those that it has answered recently
	// although others report failures.
	HealthReports(id ident.InstanceID) (failureReports, successReports int)
	// Rank returns the number of other live entry instances that are preferred to this one for
	// the duty with a key.
	Rank(key string) int
	// AliveInstances returns the number of live entry instances, including this one.
	AliveInstances() int
}

// Options configure a Handler.
type Options struct {
	Headers Headers
	Now     Clock
	Peers   Peers
	Log     *logrus.Logger
	Metrics *telemetry.Metrics
	// DataCentre is the data centre of this entry instance.
	DataCentre ident.DataCentre
	// ColdFactor and ColdSlack limit the requests per second that all entry
	// instances together send to a cold backend server: the service's cold rate
	// times ColdFactor, plus ColdSlack.
	ColdFactor, ColdSlack float64
	// RetryRatio and RetrySlack limit the retries of all entry instances together
	// in each RetryWindow: the number of requests times RetryRatio, plus RetrySlack.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// DrainTime is the time from a response of a leaving backend server after which no new
	// request may be sent to it.
	DrainTime time.Duration
	// HeldBytes limits the memory of the request and response bodies that are held. 0 means no
	// limit.
	HeldBytes int64
	// Dial, if not nil, opens the connections to backend servers.
	Dial DialFunc
	// Prompt, if not nil, describes a request's prompt.
	Prompt func(http.Header) Prompt
	// ConfigCurrent, if not nil, reports whether requests may be decided by the view's
	// configuration: it may have been replaced without this entry instance knowing.
	ConfigCurrent func() bool
	// OnFindings, if not nil, is called when the other entry instances have to know of a crash
	// of a backend server, of requests that are refused since, or of a request limit.
	OnFindings func()
	// OnRun, if not nil, is called once for each request of an account that a backend server
	// has begun to run, with the time since then: for a stream when its first event comes, for
	// other requests when the response comes.
	OnRun func(account ident.Account, ago time.Duration)
	// OnStalledGroup, if not nil, is called with each group that stops sending data to its
	// requests.
	OnStalledGroup func(group ident.GroupID, epoch ident.Epoch)
}

// Handler is the HTTP handler that forwards requests to backend servers.
type Handler struct {
	opts     Options
	view     atomic.Pointer[View]
	inFlight atomic.Int64
	accepted atomic.Int64
	panics   atomic.Int64
	draining atomic.Bool
	crashes  *crashes
	limits   *limits
	// departures are the backend servers that get no new requests because they leave.
	departures   *departures
	pauses       *requestedPauses
	memory       *memory
	observations *observations

	mu          sync.Mutex
	backends    map[backendKey]*Backend
	demands     map[modelKey]*demand
	retryBudget *admission.SharedRetryBudget
}

// New returns a handler without a view. It refuses all requests until SetView is
// called.
func New(opts Options) *Handler {
	if opts.Dial == nil {
		opts.Dial = (&net.Dialer{Timeout: dialTimeout, KeepAlive: -1}).DialContext
	}
	return &Handler{
		opts:         opts,
		crashes:      newCrashes(),
		limits:       newLimits(),
		departures:   newDepartures(opts.DrainTime),
		pauses:       newRequestedPauses(),
		memory:       newMemory(opts.HeldBytes, opts.Metrics),
		observations: newObservations(),
		backends:     make(map[backendKey]*Backend),
		demands:      make(map[modelKey]*demand),
		retryBudget:  admission.NewSharedRetryBudget(opts.RetryRatio, opts.RetrySlack, opts.RetryWindow),
	}
}

// Drain makes the handler close each caller's connection after its next response.
// Idle connections stay open: net/http may already have read a request from a
// connection that it still counts as idle, and closing it would lose the request.
func (h *Handler) Drain() { h.draining.Store(true) }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Accepted returns the number of requests received so far.
func (h *Handler) Accepted() int64 { return h.accepted.Load() }

// SetView replaces the configuration and the list of backend servers, and discards
// the state of backend servers that are gone or restarted.
func (h *Handler) SetView(v *View) {
	h.view.Store(v)
	h.departures.updateList(h.opts.Now(), v)
	h.observations.forget(v)
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, b := range h.backends {
		s, ok := v.servers.Get(key.id)
		if !ok || s.Incarnation != key.incarnation {
			b.closeIdleConns()
			h.limits.forget(key.id)
			if b.inFlight.Load() == 0 {
				delete(h.backends, key)
			}
		}
	}
}

// metricConfigOutdated counts the requests that were refused because the configuration may have been
// replaced.
const metricConfigOutdated = "configuration_not_current_total"

// View returns the current view, or nil before the first SetView.
func (h *Handler) View() *View { return h.view.Load() }

// recoverRequest logs a panic of a request and ends that request alone: its connection is
// closed, so that the response does not look complete.
func (h *Handler) recoverRequest(r *http.Request) {
	v := recover()
	if v == nil {
		return
	}
	if v != http.ErrAbortHandler {
		h.panics.Add(1)
		if h.opts.Log != nil {
			h.opts.Log.WithFields(logrus.Fields{
				"request": r.Header.Get(h.opts.Headers.RequestID), "panic": fmt.Sprint(v), "stack": string(debug.Stack()),
			}).Error("request ended by an unexpected error: report it with the stack")
		}
	}
	panic(http.ErrAbortHandler)
}

// Panics returns the number of requests that unexpected errors have ended.
func (h *Handler) Panics() int64 { return h.panics.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	h.accepted.Add(1)
	defer h.inFlight.Add(-1)
	defer h.recoverRequest(r)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	view := h.view.Load()
	if view == nil {
		c := &call{handler: h, writer: w, request: r, start: h.opts.Now()}
		c.refuse(refusal{reason: "no-configuration", retryAfter: noConfigRetryAfter})
		return
	}
	if h.opts.ConfigCurrent != nil && !h.opts.ConfigCurrent() {
		h.count(metricConfigOutdated)
		c := &call{handler: h, writer: w, request: r, start: h.opts.Now()}
		c.refuse(refusal{reason: "configuration-not-current", retryAfter: noConfigRetryAfter})
		return
	}
	c, status := h.newCall(w, r, view)
	defer c.release(&c.bodyHold)
	switch status {
	case 0:
	case http.StatusServiceUnavailable:
		c.refuseMemory()
		return
	default:
		c.reject(status)
		return
	}
	if c.route.Kind == route.Streaming {
		c.serveStream()
		return
	}
	c.servePlain()
}
