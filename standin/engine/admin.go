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

// checkFencingToken reports whether a command may run and stores its fencing token
// if it is the newest. An engine that checks tokens refuses a stale one; any other
// engine runs the command and records an event. The caller holds e.mu.
func (e *Engine) checkFencingToken(token ident.Epoch, command string) bool {
	if token >= e.fencingToken {
		e.fencingToken = token
		return true
	}
	detail := fmt.Sprintf("%s with fencing token %d after %d", command, token, e.fencingToken)
	if e.cfg.ChecksFencing {
		e.recordEvent(EventRefused, detail)
		return false
	}
	e.recordEvent(EventStaleCommand, detail)
	return true
}

func writeStaleToken(w http.ResponseWriter) {
	http.Error(w, "stale fencing token", http.StatusConflict)
}

func (e *Engine) handleAssign(w http.ResponseWriter, r *http.Request) {
	var cmd engine.AssignCommand
	if !httpd.ReadJSON(w, r, &cmd) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFencingToken(cmd.Fencing, "assign") {
		writeStaleToken(w)
		return
	}
	if e.sameAssignment(cmd) {
		httpd.WriteJSON(w, http.StatusOK, e.status())
		return
	}
	if e.cfg.ChecksFencing && cmd.Group == e.assigned.Group && cmd.Epoch < e.assigned.Epoch {
		e.recordEvent(EventRefused, "assign with an older epoch")
		writeStaleToken(w)
		return
	}
	if len(e.active) > 0 {
		e.recordEvent(EventRunningAborted, fmt.Sprintf("assign of %s/%d cut %d requests", cmd.Group, cmd.Epoch, len(e.active)))
		e.abortAll(OutcomeAborted)
	}
	e.assigned = cmd
	e.memberLost = false
	e.memberIncarnations = make(map[ident.InstanceID]ident.Incarnation, len(cmd.Members))
	e.recordEvent(EventAssign, fmt.Sprintf("rank %d of %d", cmd.Rank, len(cmd.Members)))
	e.startLoad()
	httpd.WriteJSON(w, http.StatusOK, e.status())
}

func (e *Engine) sameAssignment(cmd engine.AssignCommand) bool {
	a := &e.assigned
	return e.state != engine.StateIdle && !e.memberLost && a.Group == cmd.Group && a.Epoch == cmd.Epoch &&
		a.Rank == cmd.Rank && len(a.Members) == len(cmd.Members)
}

func weightsName(model, version string) string { return model + "@" + version }

// startLoad loads the weights of the assignment in the background and then makes
// the engine ready. It does nothing while the engine is crashed or closed (e.server is
// nil). A load that is followed by another load, leaveGroup or a crash does not make
// the engine ready. The caller holds e.mu.
func (e *Engine) startLoad() {
	if e.server == nil {
		return
	}
	name := weightsName(e.assigned.Model, e.assigned.Version)
	inMemory := e.weights[name]
	e.state = engine.StateLoading
	e.loadNumber++
	thisLoad, incarnation := e.loadNumber, e.incarnation
	cmd := e.assigned
	e.wg.Add(1)
	go func() {
		defer e.wg.Done()
		if !e.loadWeights(cmd.Model, cmd.Version, inMemory) {
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.loadNumber != thisLoad || e.incarnation != incarnation || e.server == nil {
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
		e.recordEvent(EventReady, "")
	}()
}

// loadWeights waits for the weight store and the load time. It returns false if
// the engine is closed first.
func (e *Engine) loadWeights(model, version string, inMemory bool) bool {
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

// readWeightStore retries until the weight store has served the bytes. It returns
// false if the engine is closed first.
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
	if !e.checkFencingToken(cmd.Fencing, "release") {
		writeStaleToken(w)
		return
	}
	if e.assigned.Group == cmd.Group && e.assigned.Epoch == cmd.Epoch {
		e.recordEvent(EventRelease, fmt.Sprintf("drain %t with %d held", cmd.Drain, len(e.active)))
		if cmd.Drain && len(e.active) > 0 {
			e.state = engine.StateDraining
		} else {
			e.abortAll(OutcomeAborted)
			e.leaveGroup()
		}
	}
	httpd.WriteJSON(w, http.StatusOK, e.status())
}

// leaveGroup makes the engine idle but keeps the weights in memory. The caller
// holds e.mu.
func (e *Engine) leaveGroup() {
	e.recordEvent(EventLeft, "")
	e.state = engine.StateIdle
	e.assigned = engine.AssignCommand{}
	e.loadNumber++
	e.memberLost = false
}

func (e *Engine) handlePreload(w http.ResponseWriter, r *http.Request) {
	var cmd engine.PreloadCommand
	if !httpd.ReadJSON(w, r, &cmd) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.checkFencingToken(cmd.Fencing, "preload") {
		writeStaleToken(w)
		return
	}
	name, incarnation := weightsName(cmd.Model, cmd.Version), e.incarnation
	if !e.weights[name] && e.server != nil {
		e.wg.Add(1)
		go func() {
			defer e.wg.Done()
			if !e.loadWeights(cmd.Model, cmd.Version, false) {
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
	for active := range e.active {
		if active.record.Attempt == cmd.Attempt {
			active.abort(OutcomeCanceled)
		}
	}
	httpd.WriteJSON(w, http.StatusOK, e.status())
}
