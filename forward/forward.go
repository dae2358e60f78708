// Package forward is the request path of an entry instance for routes: it
// authenticates a request, picks a backend server, passes method, path, headers
// and body on unchanged, and relays the answer. It owns the retries of a request
// and resumes streams at another backend server within one answer.
package forward

import (
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/route"
	"github.com/bulrushfall/bulrushfall/telemetry"
)

// Headers holds the names of the headers that the request path reads and sets.
type Headers struct {
	// RequestID identifies one request; answers repeat it.
	RequestID string
	// Deadline is the time left in milliseconds.
	Deadline string
	// Server names the only backend server that may run the request.
	Server string
	// Account names the client account toward backend servers.
	Account string
	// NotRun is set on answers of a backend server that did not run a request.
	NotRun string
	// Attestation is the backend server's proof on an answer.
	Attestation string
	// Model names the model.
	Model string
	// Priority ranks a request at a backend server.
	Priority string
	// FailedMember names the member at fault on refusals.
	FailedMember string
}

// Standard headers that the request path handles.
const (
	headerLastEvent  = "Last-Event-Id"
	headerRetryAfter = "Retry-After"
	headerAuth       = "Authorization"
	bearerPrefix     = "Bearer "
)

// Clock returns the time on a clock that also counts suspensions.
type Clock func() time.Duration

// Peers tells what other entry instances have under way at a backend server.
type Peers interface {
	InFlight(id ident.InstanceID) int
	// HealthReports is the number of other entry instances to which a backend server's
	// last answer was a failure, and of those that it has answered lately.
	HealthReports(id ident.InstanceID) (complaints, vouchers int)
	// Entries is the number of entry instances alive, this one included.
	Entries() int
}

// Options configure a Handler.
type Options struct {
	Headers Headers
	Now     Clock
	Peers   Peers
	Log     *logrus.Logger
	Metrics *telemetry.Metrics
	// DataCentre is that of this entry instance.
	DataCentre ident.DataCentre
	// ColdFactor and ColdSlack bound what a cold backend server gets in a
	// second from all entry instances: rate times factor, plus slack.
	ColdFactor, ColdSlack float64
	// RetryRatio is the part of requests that may be sent once more, and
	// RetrySlack the number beyond it in each RetryWindow, over all entry
	// instances.
	RetryRatio, RetrySlack float64
	RetryWindow            time.Duration
	// OnStalledGroup is told of groups whose requests make no progress.
	OnStalledGroup func(group ident.GroupID, epoch ident.Epoch)
}

// Handler answers callers.
type Handler struct {
	opts     Options
	view     atomic.Pointer[View]
	inFlight atomic.Int64
	accepted atomic.Int64
	draining atomic.Bool

	mu       sync.Mutex
	backends map[backendKey]*Backend
	demands  map[modelKey]*demand
	retries  *admission.Budget
}

// New returns a handler without a view: it refuses all requests until SetView.
func New(opts Options) *Handler {
	return &Handler{
		opts:     opts,
		backends: make(map[backendKey]*Backend),
		demands:  make(map[modelKey]*demand),
		retries:  admission.NewBudget(opts.RetryRatio, opts.RetrySlack, opts.RetryWindow),
	}
}

// Drain closes each connection of a caller after its next answer. Idle ones stay
// open: net/http may have read a request on a connection that it still takes for
// idle, and closing it would lose the request.
func (h *Handler) Drain() { h.draining.Store(true) }

// InFlight is the number of requests under way.
func (h *Handler) InFlight() int64 { return h.inFlight.Load() }

// Accepted is the number of requests so far.
func (h *Handler) Accepted() int64 { return h.accepted.Load() }

// SetView puts a configuration and a list of backend servers in force.
func (h *Handler) SetView(v *View) {
	h.view.Store(v)
	h.mu.Lock()
	defer h.mu.Unlock()
	for key, b := range h.backends {
		s, ok := v.servers.Get(key.id)
		if !ok || s.Incarnation != key.incarnation {
			b.closeIdle()
			if b.inFlight.Load() == 0 {
				delete(h.backends, key)
			}
		}
	}
}

// View returns the view in force, or nil.
func (h *Handler) View() *View { return h.view.Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.inFlight.Add(1)
	h.accepted.Add(1)
	defer h.inFlight.Add(-1)
	if h.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	view := h.view.Load()
	if view == nil {
		c := &call{h: h, w: w, r: r, start: h.opts.Now()}
		c.refuse(refusal{reason: "no-configuration", after: noConfigRetry})
		return
	}
	c, status := h.accept(w, r, view)
	if status != 0 {
		c.reject(status)
		return
	}
	if c.route.Kind == route.Streaming {
		c.serveStream()
		return
	}
	c.servePlain()
}
