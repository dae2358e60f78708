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
	// peerTimeout is the timeout of a status query to the other members.
	peerTimeout = 500 * time.Millisecond
	// crossDomainSlowdown is the slowdown factor of a group whose members are in
	// different fabric domains.
	crossDomainSlowdown = 4
)

// PeerStatus is what an engine reports to other members of its group.
type PeerStatus struct {
	Status   engine.Status `json:"status"`
	Domain   ident.Domain  `json:"domain"`
	Slowdown float64       `json:"slow"`
}

// PeerLookup returns the status of a member of the group.
type PeerLookup func(ctx context.Context, m engine.Member) (PeerStatus, error)

// NewHTTPLookup returns a PeerLookup that queries members over HTTP.
func NewHTTPLookup() PeerLookup {
	client := &http.Client{Timeout: peerTimeout}
	return func(ctx context.Context, m engine.Member) (PeerStatus, error) {
		var s PeerStatus
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

// PeerStatus returns what the engine reports to its peers, and false while it is
// not running.
func (e *Engine) PeerStatus() (PeerStatus, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return PeerStatus{}, false
	}
	return PeerStatus{Status: e.status(), Domain: e.cfg.Domain, Slowdown: e.slowdown}, true
}

func (e *Engine) handlePeerStatus(w http.ResponseWriter, _ *http.Request) {
	s, _ := e.PeerStatus()
	httpd.WriteJSON(w, http.StatusOK, s)
}

// groupCheck is the result of a check of all members.
type groupCheck struct {
	lostMember       string // a member that does not respond or has restarted as a new incarnation
	mismatchedMember string // a member that is loading or assigned to another group or epoch
	slowdown         float64
}

// queryMembers queries all other members of an assignment concurrently.
func (e *Engine) queryMembers(cmd engine.AssignCommand, incarnations map[ident.InstanceID]ident.Incarnation) groupCheck {
	ctx, cancel := context.WithTimeout(e.ctx, peerTimeout)
	defer cancel()
	statuses := make([]PeerStatus, len(cmd.Members))
	errs := make([]error, len(cmd.Members))
	var wg sync.WaitGroup
	for i, m := range cmd.Members {
		if m.Instance == e.cfg.Instance {
			continue
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			statuses[i], errs[i] = e.cfg.Peers(ctx, m)
		}()
	}
	wg.Wait()
	return e.evaluateMembers(cmd, incarnations, statuses, errs)
}

// evaluateMembers compares the statuses of the members with the assignment and
// stores the incarnations of matching members in incarnations.
func (e *Engine) evaluateMembers(cmd engine.AssignCommand, incarnations map[ident.InstanceID]ident.Incarnation, statuses []PeerStatus, errs []error) groupCheck {
	e.mu.Lock()
	defer e.mu.Unlock()
	result := groupCheck{slowdown: e.slowdown}
	for i, m := range cmd.Members {
		if m.Instance == e.cfg.Instance {
			continue
		}
		s := statuses[i]
		previous, known := incarnations[m.Instance]
		switch {
		case errs[i] != nil, known && previous != s.Status.Incarnation:
			result.lostMember = string(m.Instance)
			continue
		case s.Status.Group != cmd.Group || s.Status.Epoch != cmd.Epoch || s.Status.State == engine.StateLoading:
			result.mismatchedMember = string(m.Instance)
		default:
			incarnations[m.Instance] = s.Status.Incarnation
		}
		result.slowdown = max(result.slowdown, s.Slowdown)
		if s.Domain != e.cfg.Domain {
			result.slowdown = max(result.slowdown, crossDomainSlowdown)
		}
	}
	return result
}

// checkGroup checks the members of the current group. When a member is lost, the
// replica fails: its requests are aborted, and it refuses new ones until it is
// assigned again.
func (e *Engine) checkGroup() groupCheck {
	e.mu.Lock()
	cmd, incarnations := e.assigned, e.memberIncarnations
	e.mu.Unlock()
	if len(cmd.Members) < 2 {
		return groupCheck{slowdown: 1}
	}
	result := e.queryMembers(cmd, incarnations)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.assigned.Group != cmd.Group || e.assigned.Epoch != cmd.Epoch {
		return result
	}
	if result.lostMember != "" && !e.memberLost && e.ctx.Err() == nil {
		e.memberLost = true
		e.recordEvent(EventMemberLost, result.lostMember)
		e.abortAll(OutcomeAborted)
	}
	return result
}

// monitorGroup checks the members of the group periodically while this engine is
// its leader.
func (e *Engine) monitorGroup() {
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
			e.assigned.Rank == 0 && !e.memberLost
		e.mu.Unlock()
		if !leads {
			continue
		}
		result := e.checkGroup()
		e.mu.Lock()
		if result.mismatchedMember != "" && e.running > 0 && !e.memberLost && e.state == engine.StateReady {
			e.recordEvent(EventPartialGroup, result.mismatchedMember)
		}
		e.mu.Unlock()
	}
}
