package engine

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// rebindInterval is the time between attempts to take the address again after
// a restart.
const rebindInterval = 20 * time.Millisecond

// Engine is one running stand-in.
type Engine struct {
	cfg  Config
	addr string

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu          sync.Mutex
	server      *httpd.Server // nil while dead
	incarnation ident.Incarnation
	run         int
	state       engine.State
	assigned    engine.AssignCommand
	loads       int // number of the current load, to ignore superseded ones
	fencing     ident.Epoch
	weights     map[string]bool // "model@version" in memory
	cold        bool
	coldSince   time.Time
	noticeAt    time.Time // from then on arrivals count as cold
	warmAt      time.Time
	slow        float64
	broken      bool // a member of the group was lost
	seen        map[ident.InstanceID]ident.Incarnation
	held        map[*request]struct{}
	queue       []*request
	running     int
	heldTokens  int
	coldHeld    int
	sequence    uint64
	cache       *prefixCache
	report      loadReport
	rec         Record
	served      []*RequestRecord
}

// loadReport is the lagging part of the status.
type loadReport struct {
	at                    time.Time
	running, queued, held int
}

// Start serves an engine on a loopback address.
func Start(cfg Config) (*Engine, error) {
	e := &Engine{cfg: cfg, slow: 1, held: make(map[*request]struct{})}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if e.cfg.Peers == nil {
		e.cfg.Peers = NewHTTPLookup()
	}
	e.rec = Record{Instance: cfg.Instance, Domain: cfg.Domain, ColdLimit: cfg.ColdLimit}
	if err := e.boot(cfg.Address); err != nil {
		return nil, err
	}
	e.wg.Add(1)
	go e.monitor()
	return e, nil
}

// boot starts a new incarnation: cold, idle and without weights.
func (e *Engine) boot(address string) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, err := httpd.Start(address, e.routes())
	if err != nil {
		return err
	}
	e.server, e.addr = s, s.Addr()
	e.run++
	e.incarnation = ident.Incarnation(fmt.Sprintf("%s-%d-%d", e.cfg.Instance, e.run, time.Now().UnixNano()))
	e.state = engine.StateIdle
	e.assigned = engine.AssignCommand{}
	e.fencing = 0
	e.weights = make(map[string]bool)
	e.setCold(true)
	e.broken = false
	e.cache = newPrefixCache(e.cfg)
	e.event(EventStart, "")
	return nil
}

// Addr returns the address of the engine, which stays over restarts.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Close ends the engine for good.
func (e *Engine) Close() {
	e.cancel()
	e.mu.Lock()
	s := e.server
	e.server = nil
	e.cutAll(OutcomeCut)
	e.mu.Unlock()
	if s != nil {
		s.Close()
	}
	e.wg.Wait()
}

// Crash ends the incarnation: the listener and all connections close, and the
// engine comes back cold after the restart delay.
func (e *Engine) Crash(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(reason)
}

// crash is Crash for callers that hold e.mu.
func (e *Engine) crash(reason string) {
	s := e.server
	if s == nil {
		return
	}
	e.server = nil
	e.rec.Crashes++
	e.event(EventCrash, reason)
	e.cutAll(OutcomeCrashed)
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		s.Close()
		wait := e.cfg.RestartDelay
		for {
			t := time.NewTimer(wait)
			select {
			case <-e.ctx.Done():
				t.Stop()
				return
			case <-t.C:
			}
			if e.boot(e.addr) == nil {
				return
			}
			wait = rebindInterval
		}
	}()
}

// TurnCold makes the engine cold without a restart.
func (e *Engine) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.setCold(true)
	e.noticeAt = e.coldSince.Add(e.cfg.ColdNotice)
	if e.state == engine.StateReady {
		e.warmAt = time.Now().Add(e.cfg.ColdTime)
	}
}

// SetSlow multiplies the time per token.
func (e *Engine) SetSlow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = factor
}

// setCold changes the cold flag. Requests held from before do not count
// against the cold limit. The caller holds e.mu.
func (e *Engine) setCold(cold bool) {
	e.cold = cold
	e.warmAt = time.Time{}
	if !cold {
		e.event(EventWarm, "")
		return
	}
	e.coldSince = time.Now()
	e.noticeAt = e.coldSince
	e.coldHeld = 0
	for r := range e.held {
		r.countsCold = false
	}
	e.event(EventCold, "")
}

// status returns the report. The caller holds e.mu.
func (e *Engine) status() engine.Status {
	e.refresh()
	s := engine.Status{
		Instance: e.cfg.Instance, Incarnation: e.incarnation, State: e.state,
		Group: e.assigned.Group, Epoch: e.assigned.Epoch, Service: e.assigned.Service,
		Role: e.assigned.Role, Rank: e.assigned.Rank, Size: len(e.assigned.Members),
		Model: e.assigned.Model, Version: e.assigned.Version, Adapters: e.assigned.Adapters,
		Cold: e.cold, ColdLimit: e.cfg.ColdLimit, Limit: e.cfg.Limit, TokenCapacity: e.cfg.TokenCapacity,
		Running: e.report.running, Queued: e.report.queued, HeldTokens: e.report.held,
		TokenMicros: int(float64(e.cfg.TokenInterval.Microseconds()) * e.slow),
		Fencing:     e.fencing,
	}
	if e.broken {
		s.State = engine.StateFailed
	}
	for w := range e.weights {
		s.Preloaded = append(s.Preloaded, w)
	}
	return s
}

// refresh renews the lagging load report and the cold flag. The caller holds e.mu.
func (e *Engine) refresh() {
	now := time.Now()
	if e.cold && !e.warmAt.IsZero() && now.After(e.warmAt) {
		e.setCold(false)
	}
	if now.Sub(e.report.at) >= e.cfg.ReportLag {
		e.report = loadReport{at: now, running: e.running, queued: len(e.queue), held: e.heldTokens}
	}
}

func (e *Engine) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		e.mu.Lock()
		s := e.status()
		e.mu.Unlock()
		httpd.WriteJSON(w, http.StatusOK, s)
	})
	mux.HandleFunc("POST /admin/assign", e.handleAssign)
	mux.HandleFunc("POST /admin/release", e.handleRelease)
	mux.HandleFunc("POST /admin/preload", e.handlePreload)
	mux.HandleFunc("POST /admin/cancel", e.handleCancel)
	mux.HandleFunc("POST /v1/completions", e.handleCompletion)
	mux.HandleFunc("POST /v1/chat/completions", e.handleCompletion)
	mux.HandleFunc("GET /cache/events", e.handleCacheEvents)
	mux.HandleFunc("POST /kv/export", e.handleExport)
	mux.HandleFunc("POST /kv/import", e.handleImport)
	e.debugRoutes(mux)
	return mux
}
