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

// rebindInterval is the time between attempts to listen on the same address
// again after a crash.
const rebindInterval = 20 * time.Millisecond

// Engine is one simulated engine.
type Engine struct {
	cfg  Config
	addr string

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup

	mu                 sync.Mutex
	server             *httpd.Server // nil after a crash, until the restart
	incarnation        ident.Incarnation
	bootCount          int
	state              engine.State
	assigned           engine.AssignCommand
	loadNumber         int // number of the latest load; earlier loads are ignored when they complete
	fencingToken       ident.Epoch
	weights            map[string]bool // "model@version" of the weights in memory
	cold               bool
	turnedColdAt       time.Time
	coldLimitFrom      time.Time // requests that arrive earlier do not count against the cold limit
	warmAt             time.Time
	slowdown           float64
	leaving            bool   // responses say that the engine leaves
	retryAfter         string // requests are refused with this Retry-After, if not empty
	pauseRefusals      int    // refusals with Retry-After
	memberLost         bool   // a member of the group crashed or restarted
	memberIncarnations map[ident.InstanceID]ident.Incarnation
	active             map[*request]struct{}
	queue              []*request
	running            int
	activeTokens       int    // context tokens of all active requests
	coldActive         int    // active requests that count against the cold limit
	sequence           uint64 // number of the latest request or cache event
	cache              *prefixCache
	report             loadReport
	engineRecord       Record
	requestRecords     []*RequestRecord
}

// loadReport holds the load fields of the status, which are updated once per
// Config.ReportLag.
type loadReport struct {
	updatedAt               time.Time
	running, queued, tokens int
}

// Start starts an engine on a loopback address.
func Start(cfg Config) (*Engine, error) {
	e := &Engine{cfg: cfg, slowdown: 1, active: make(map[*request]struct{})}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	if e.cfg.Peers == nil {
		e.cfg.Peers = NewHTTPLookup()
	}
	e.engineRecord = Record{Instance: cfg.Instance, Domain: cfg.Domain, ColdLimit: cfg.ColdLimit}
	if err := e.boot(cfg.Address); err != nil {
		return nil, err
	}
	e.wg.Add(1)
	go e.monitorGroup()
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
	e.bootCount++
	e.leaving = false
	e.incarnation = ident.Incarnation(fmt.Sprintf("%s-%d-%d", e.cfg.Instance, e.bootCount, time.Now().UnixNano()))
	e.state = engine.StateIdle
	e.assigned = engine.AssignCommand{}
	e.fencingToken = 0
	e.weights = make(map[string]bool)
	e.setCold(true)
	e.memberLost = false
	e.cache = newPrefixCache(e.cfg)
	e.recordEvent(EventStart, "")
	return nil
}

// Addr returns the address of the engine, which stays the same across restarts.
func (e *Engine) Addr() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// Close stops the engine without a restart.
func (e *Engine) Close() {
	e.cancel()
	e.mu.Lock()
	s := e.server
	e.server = nil
	e.abortAll(OutcomeAborted)
	e.mu.Unlock()
	if s != nil {
		s.Close()
	}
	e.wg.Wait()
}

// Crash ends the current incarnation: it closes the listener and all connections
// and starts a new, cold incarnation after Config.RestartDelay.
func (e *Engine) Crash(reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash(reason)
}

// crash implements Crash. The caller holds e.mu.
func (e *Engine) crash(reason string) {
	s := e.server
	if s == nil {
		return
	}
	e.server = nil
	e.engineRecord.Crashes++
	e.recordEvent(EventCrash, reason)
	e.abortAll(OutcomeCrashed)
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
	e.coldLimitFrom = e.turnedColdAt.Add(e.cfg.ColdLimitDelay)
	if e.state == engine.StateReady {
		e.warmAt = time.Now().Add(e.cfg.ColdTime)
	}
}

// SetLeaving sets whether all responses to requests say that the engine leaves. A restart ends
// that.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = leaving
}

// AskForPause makes the engine refuse all requests with a value of Retry-After, or none
// if it is empty. A restart does not end it.
func (e *Engine) AskForPause(retryAfter string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.retryAfter = retryAfter
}

// PauseRefusals returns the number of requests that were refused with Retry-After.
func (e *Engine) PauseRefusals() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.pauseRefusals
}

// SetSlowdown multiplies the time per token.
func (e *Engine) SetSlowdown(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowdown = factor
}

// setCold sets the cold flag. Requests that were active before the engine turned
// cold do not count against the cold limit. The caller holds e.mu.
func (e *Engine) setCold(cold bool) {
	e.cold = cold
	e.warmAt = time.Time{}
	if !cold {
		e.recordEvent(EventWarm, "")
		return
	}
	e.turnedColdAt = time.Now()
	e.coldLimitFrom = e.turnedColdAt
	e.coldActive = 0
	for r := range e.active {
		r.countsAsCold = false
	}
	e.recordEvent(EventCold, "")
}

// status returns the status report. The caller holds e.mu.
func (e *Engine) status() engine.Status {
	e.refresh()
	s := engine.Status{
		Instance: e.cfg.Instance, Incarnation: e.incarnation, State: e.state,
		Group: e.assigned.Group, Epoch: e.assigned.Epoch, Service: e.assigned.Service,
		Role: e.assigned.Role, Rank: e.assigned.Rank, Size: len(e.assigned.Members),
		Model: e.assigned.Model, Version: e.assigned.Version, Adapters: e.assigned.Adapters,
		Cold: e.cold, ColdLimit: e.cfg.ColdLimit, Limit: e.cfg.Limit, TokenCapacity: e.cfg.TokenCapacity,
		Running: e.report.running, Queued: e.report.queued, HeldTokens: e.report.tokens,
		TokenMicros: int(float64(e.cfg.TokenInterval.Microseconds()) * e.slowdown),
		Fencing:     e.fencingToken,
	}
	if e.memberLost {
		s.State = engine.StateFailed
	}
	for w := range e.weights {
		s.Preloaded = append(s.Preloaded, w)
	}
	return s
}

// refresh updates the load report and the cold flag if they are due. The caller
// holds e.mu.
func (e *Engine) refresh() {
	now := time.Now()
	if e.cold && !e.warmAt.IsZero() && now.After(e.warmAt) {
		e.setCold(false)
	}
	if now.Sub(e.report.updatedAt) >= e.cfg.ReportLag {
		e.report = loadReport{updatedAt: now, running: e.running, queued: len(e.queue), tokens: e.activeTokens}
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
