package engine

import (
	"fmt"
	"net/http"
	"net/url"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// fence applies a fencing token. An engine that checks tokens refuses a stale
// one; the others obey and the record shows it. The caller holds e.mu.
func (e *Engine) fence(token ident.Epoch, command string) bool {
	if token >= e.fencing {
		e.fencing = token
		return true
	}
	detail := fmt.Sprintf("%s with fencing token %d after %d", command, token, e.fencing)
	if e.cfg.ChecksFencing {
		e.event(EventRefused, detail)
		return false
	}
	e.event(EventStaleCommand, detail)
	return true
}

func staleToken(w http.ResponseWriter) {
	http.Error(w, "stale fencing token", http.StatusConflict)
}

func (e *Engine) handleAssign(w http.ResponseWriter, r *http.Request) {
	var cmd engine.AssignCommand
	if !httpd.ReadJSON(w, r, &cmd) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.fence(cmd.Fencing, "assign") {
		staleToken(w)
		return
	}
	if e.sameAssignment(cmd) {
		httpd.WriteJSON(w, http.StatusOK, e.status())
		return
	}
	if e.cfg.ChecksFencing && cmd.Group == e.assigned.Group && cmd.Epoch < e.assigned.Epoch {
		e.event(EventRefused, "assign with an older epoch")
		staleToken(w)
		return
	}
	if len(e.held) > 0 {
		e.event(EventCutRun, fmt.Sprintf("assign of %s/%d cut %d requests", cmd.Group, cmd.Epoch, len(e.held)))
		e.cutAll(OutcomeCut)
	}
	e.assigned = cmd
	e.broken = false
	e.seen = make(map[ident.InstanceID]ident.Incarnation, len(cmd.Members))
	e.event(EventAssign, fmt.Sprintf("rank %d of %d", cmd.Rank, len(cmd.Members)))
	e.load()
	httpd.WriteJSON(w, http.StatusOK, e.status())
}

func (e *Engine) sameAssignment(cmd engine.AssignCommand) bool {
	a := &e.assigned
	return e.state != engine.StateIdle && !e.broken && a.Group == cmd.Group && a.Epoch == cmd.Epoch &&
		a.Rank == cmd.Rank && len(a.Members) == len(cmd.Members)
}

func weightsName(model, version string) string { return model + "@" + version }

// load makes the engine ready for its assignment after the load time. The
// caller holds e.mu.
func (e *Engine) load() {
	if e.server == nil {
		return
	}
	name := weightsName(e.assigned.Model, e.assigned.Version)
	inMemory := e.weights[name]
	e.state = engine.StateLoading
	e.loads++
	load, incarnation := e.loads, e.incarnation
	cmd := e.assigned
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		if !e.fetchWeights(cmd.Model, cmd.Version, inMemory) {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.loads != load || e.incarnation != incarnation || e.server == nil {
			return
		}
		e.weights[name] = true
		e.state = engine.StateReady
		if !inMemory && !e.cold {
			e.setCold(true)
		}
		if e.cold {
			e.warmAt = time.Now().Add(e.cfg.ColdTime)
		}
		e.event(EventReady, "")
	}()
}

// fetchWeights waits for the weight store and the load time.
func (e *Engine) fetchWeights(model, version string, inMemory bool) bool {
	wait := e.cfg.PreloadedLoadTime
	if !inMemory {
		wait = e.cfg.LoadTime
		if !e.readWeightStore(model, version) {
			return false
		}
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-e.ctx.Done():
		return false
	}
}

// readWeightStore retries until the weight store granted the bytes.
func (e *Engine) readWeightStore(model, version string) bool {
	if e.cfg.WeightStore == "" {
		return true
	}
	u := fmt.Sprintf("%s/weights/%s/%s?bytes=%d", e.cfg.WeightStore,
		url.PathEscape(model), url.PathEscape(version), e.cfg.WeightBytes)
	for e.ctx.Err() == nil {
		req, err := http.NewRequestWithContext(e.ctx, http.MethodGet, u, nil)
		if err != nil {
			return false
		}
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return true
			}
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-e.ctx.Done():
		}
	}
	return false
}

func (e *Engine) handleRelease(w http.ResponseWriter, r *http.Request) {
	var cmd engine.ReleaseCommand
	if !httpd.ReadJSON(w, r, &cmd) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.fence(cmd.Fencing, "release") {
		staleToken(w)
		return
	}
	if e.assigned.Group == cmd.Group && e.assigned.Epoch == cmd.Epoch {
		e.event(EventRelease, fmt.Sprintf("drain %t with %d held", cmd.Drain, len(e.held)))
		if cmd.Drain && len(e.held) > 0 {
			e.state = engine.StateDraining
		} else {
			e.cutAll(OutcomeCut)
			e.idle()
		}
	}
	httpd.WriteJSON(w, http.StatusOK, e.status())
}

// idle leaves the group but keeps the weights. The caller holds e.mu.
func (e *Engine) idle() {
	e.event(EventLeft, "")
	e.state = engine.StateIdle
	e.assigned = engine.AssignCommand{}
	e.loads++
	e.broken = false
}

func (e *Engine) handlePreload(w http.ResponseWriter, r *http.Request) {
	var cmd engine.PreloadCommand
	if !httpd.ReadJSON(w, r, &cmd) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.fence(cmd.Fencing, "preload") {
		staleToken(w)
		return
	}
	name, incarnation := weightsName(cmd.Model, cmd.Version), e.incarnation
	if !e.weights[name] && e.server != nil {
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			if !e.fetchWeights(cmd.Model, cmd.Version, false) {
				return
			}
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.incarnation == incarnation {
				e.weights[name] = true
			}
		}()
	}
	httpd.WriteJSON(w, http.StatusOK, e.status())
}

func (e *Engine) handleCancel(w http.ResponseWriter, r *http.Request) {
	var cmd engine.CancelCommand
	if !httpd.ReadJSON(w, r, &cmd) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	for held := range e.held {
		if held.served.Attempt == cmd.Attempt {
			held.cut(OutcomeCanceled)
		}
	}
	httpd.WriteJSON(w, http.StatusOK, e.status())
}
