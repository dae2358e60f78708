package engine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

const (
	// monitorInterval is the time between a leader's checks of its members.
	monitorInterval = 100 * time.Millisecond
	// peerTimeout bounds one look at a member.
	peerTimeout = 500 * time.Millisecond
	// crossDomainFactor is how much slower a group is whose members do not
	// share a fabric domain.
	crossDomainFactor = 4
)

// Self is what an engine tells another member of its group.
type Self struct {
	Status engine.Status `json:"status"`
	Domain ident.Domain  `json:"domain"`
	Slow   float64       `json:"slow"`
}

// PeerLookup asks a member of the group what it holds.
type PeerLookup func(ctx context.Context, m engine.Member) (Self, error)

// NewHTTPLookup asks members at their address.
func NewHTTPLookup() PeerLookup {
	client := &http.Client{Timeout: peerTimeout}
	return func(ctx context.Context, m engine.Member) (Self, error) {
		var s Self
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Address+"/debug/self", nil)
		if err != nil {
			return s, err
		}
		resp, err := client.Do(req)
		if err != nil {
			return s, err
		}
		defer func() { _ = resp.Body.Close() }()
		return s, json.NewDecoder(resp.Body).Decode(&s)
	}
}

// Self returns what the engine tells its peers.
func (e *Engine) Self() (Self, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return Self{}, false
	}
	return Self{Status: e.status(), Domain: e.cfg.Domain, Slow: e.slow}, true
}

func (e *Engine) handleSelf(w http.ResponseWriter, _ *http.Request) {
	s, _ := e.Self()
	httpd.WriteJSON(w, http.StatusOK, s)
}

// wholeness is the result of a look at all members.
type wholeness struct {
	lost    string // a member that is gone or came back as a new incarnation
	partial string // a member that holds another group or epoch
	slow    float64
}

// inspect asks all other members of an assignment at the same time.
func (e *Engine) inspect(cmd engine.AssignCommand, seen map[ident.InstanceID]ident.Incarnation) wholeness {
	ctx, cancel := context.WithTimeout(e.ctx, peerTimeout)
	defer cancel()
	selves := make([]Self, len(cmd.Members))
	errs := make([]error, len(cmd.Members))
	var wg sync.WaitGroup
	for i, m := range cmd.Members {
		if m.Instance == e.cfg.Instance {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			selves[i], errs[i] = e.cfg.Peers(ctx, m)
		}()
	}
	wg.Wait()
	return e.judge(cmd, seen, selves, errs)
}

func (e *Engine) judge(cmd engine.AssignCommand, seen map[ident.InstanceID]ident.Incarnation, selves []Self, errs []error) wholeness {
	e.mu.Lock()
	defer e.mu.Unlock()
	w := wholeness{slow: e.slow}
	for i, m := range cmd.Members {
		if m.Instance == e.cfg.Instance {
			continue
		}
		s := selves[i]
		before, known := seen[m.Instance]
		switch {
		case errs[i] != nil, known && before != s.Status.Incarnation:
			w.lost = string(m.Instance)
			continue
		case s.Status.Group != cmd.Group || s.Status.Epoch != cmd.Epoch || s.Status.State == engine.StateLoading:
			w.partial = string(m.Instance)
		default:
			seen[m.Instance] = s.Status.Incarnation
		}
		w.slow = max(w.slow, s.Slow)
		if s.Domain != e.cfg.Domain {
			w.slow = max(w.slow, crossDomainFactor)
		}
	}
	return w
}

// check looks at the members of the current group. When a member is lost the
// replica dies: its requests are cut and it serves nothing until it is
// assigned again.
func (e *Engine) check() wholeness {
	e.mu.Lock()
	cmd, seen := e.assigned, e.seen
	e.mu.Unlock()
	if len(cmd.Members) < 2 {
		return wholeness{slow: 1}
	}
	w := e.inspect(cmd, seen)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.assigned.Group != cmd.Group || e.assigned.Epoch != cmd.Epoch {
		return w
	}
	if w.lost != "" && !e.broken && e.ctx.Err() == nil {
		e.broken = true
		e.event(EventMemberLost, w.lost)
		e.cutAll(OutcomeCut)
	}
	return w
}

// monitor checks the members of the group while this engine leads it.
func (e *Engine) monitor() {
	defer e.wg.Done()
	t := time.NewTicker(monitorInterval)
	defer t.Stop()
	for {
		select {
		case <-e.ctx.Done():
			return
		case <-t.C:
		}
		e.mu.Lock()
		leads := e.server != nil && e.state != engine.StateIdle && e.state != engine.StateLoading &&
			e.assigned.Rank == 0 && !e.broken
		e.mu.Unlock()
		if !leads {
			continue
		}
		w := e.check()
		e.mu.Lock()
		if w.partial != "" && e.running > 0 && !e.broken && e.state == engine.StateReady {
			e.event(EventPartial, w.partial)
		}
		e.mu.Unlock()
	}
}
