package engine

import (
	"context"
	"net/http"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// debugRoutes adds the routes for tests, which are not part of the engine protocol.
func (e *Engine) debugRoutes(mux *http.ServeMux) {
	mux.HandleFunc("GET /debug/record", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, e.Record())
	})
	mux.HandleFunc("GET /debug/self", e.handlePeerStatus)
	mux.HandleFunc("POST /debug/cold", func(w http.ResponseWriter, _ *http.Request) {
		e.TurnCold()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /debug/crash", func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
		_ = http.NewResponseController(w).Flush()
		e.Crash("crash on command")
	})
	mux.HandleFunc("POST /debug/slow", func(w http.ResponseWriter, r *http.Request) {
		f, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
		if err != nil || f <= 0 {
			http.Error(w, "factor must be a positive number", http.StatusBadRequest)
			return
		}
		e.SetSlowdown(f)
		w.WriteHeader(http.StatusNoContent)
	})
}

// ErrMemberCrashed means that a member of the group has crashed.
var ErrMemberCrashed = errors.New("group member has crashed")

// Registry holds the engines of one process, so that they query each other without
// HTTP.
type Registry struct {
	mu      sync.Mutex
	engines map[ident.InstanceID]*Engine
	remote  PeerLookup
}

// NewRegistry returns an empty registry. It queries members that are not registered
// over HTTP.
func NewRegistry() *Registry {
	return &Registry{engines: make(map[ident.InstanceID]*Engine), remote: NewHTTPLookup()}
}

// Start starts an engine and registers it.
func (g *Registry) Start(cfg Config) (*Engine, error) {
	cfg.Peers = g.lookup
	e, err := Start(cfg)
	if err != nil {
		return nil, err
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.engines[cfg.Instance] = e
	return e, nil
}

func (g *Registry) lookup(ctx context.Context, m engine.Member) (PeerStatus, error) {
	g.mu.Lock()
	e, ok := g.engines[m.Instance]
	g.mu.Unlock()
	if !ok {
		return g.remote(ctx, m)
	}
	s, alive := e.PeerStatus()
	if !alive {
		return s, ErrMemberCrashed
	}
	return s, nil
}

// Close closes all engines.
func (g *Registry) Close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, e := range g.engines {
		e.Close()
	}
}
