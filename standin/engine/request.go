package engine

import (
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// request is an active request: queued or running.
type request struct {
	body          engine.CompletionRequest
	prompt        string
	hashes        []uint64
	priority      int
	arrivalNumber uint64
	resumeOffset  int
	maxTokens     int
	tokens        int // context tokens
	countsAsCold  bool
	record        *RequestRecord
	slowdown      float64

	started   chan struct{} // closed when the request starts to run
	abortOnce sync.Once
	aborted   chan struct{} // closed when the engine aborts the request
	outcome   string
}

// abort ends the request with an outcome. Only the first call has an effect.
func (r *request) abort(outcome string) {
	r.abortOnce.Do(func() {
		r.outcome = outcome
		close(r.aborted)
	})
}

// abortAll aborts every active request. The caller holds e.mu.
func (e *Engine) abortAll(outcome string) {
	for r := range e.active {
		r.abort(outcome)
	}
}

// writeNotRun writes an error response with the header that says that the
// request did not run.
func writeNotRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(engine.HeaderNotRun, "1")
	http.Error(w, reason, status)
}

// parseRequest reads a request from its body and headers. It returns nil after it
// wrote an error response.
func (e *Engine) parseRequest(w http.ResponseWriter, hr *http.Request) *request {
	r := &request{started: make(chan struct{}), aborted: make(chan struct{}), slowdown: 1}
	if !httpd.ReadJSON(w, hr, &r.body) {
		return nil
	}
	r.prompt = r.body.Text()
	r.hashes = engine.PrefixHashes(r.prompt)
	r.maxTokens = r.body.MaxTokens
	if r.maxTokens <= 0 {
		r.maxTokens = e.cfg.DefaultMaxTokens
	}
	epoch, _ := strconv.ParseUint(hr.Header.Get(engine.HeaderEpoch), 10, 64)
	r.priority, _ = strconv.Atoi(hr.Header.Get(engine.HeaderPriority))
	r.resumeOffset, _ = strconv.Atoi(hr.Header.Get(engine.HeaderResumeOffset))
	r.resumeOffset = min(max(r.resumeOffset, 0), r.maxTokens)
	r.tokens = engine.TokenCount(r.prompt) + r.resumeOffset
	r.record = &RequestRecord{
		Attempt:   ident.AttemptID(hr.Header.Get(engine.HeaderAttempt)),
		Group:     ident.GroupID(hr.Header.Get(engine.HeaderGroup)),
		Epoch:     ident.Epoch(epoch),
		PromptSum: PromptSum(r.prompt), ResumeOffset: r.resumeOffset, Outcome: OutcomeRunning,
	}
	return r
}

// refusalReason returns why a request is refused, or "" if it is accepted. The
// caller holds e.mu.
func (e *Engine) refusalReason(r *request) string {
	switch {
	case e.state != engine.StateReady:
		return "engine is " + string(e.state)
	case e.assigned.Rank != 0:
		return "engine is not the leader of its group"
	case e.memberLost:
		return "group lost a member"
	case e.cfg.ChecksFencing && (r.record.Group != e.assigned.Group || r.record.Epoch != e.assigned.Epoch):
		return fmt.Sprintf("engine holds group %s epoch %d", e.assigned.Group, e.assigned.Epoch)
	case e.retryAfter != "":
		return "engine asks for a pause"
	}
	return ""
}

// admit queues a request, or refuses it with an error response and returns false.
// A request that exceeds a limit of the engine crashes it.
func (e *Engine) admit(w http.ResponseWriter, r *request) bool {
	group := e.checkGroup()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		// The request arrived before the crash; a crashed process sends no response.
		panic(http.ErrAbortHandler)
	}
	e.refresh()
	if reason := e.refusalReason(r); reason != "" {
		e.recordEvent(EventRefused, fmt.Sprintf("attempt %s: %s", r.record.Attempt, reason))
		if e.retryAfter != "" {
			e.pauseRefusals++
			w.Header().Set("Retry-After", e.retryAfter)
		}
		writeNotRun(w, http.StatusServiceUnavailable, reason)
		return false
	}
	r.slowdown = group.slowdown
	r.record.MembersConsistent = group.mismatchedMember == "" && group.lostMember == ""
	r.record.Detail = group.mismatchedMember
	e.addRequest(r)
	if e.cfg.PoisonMarker != "" && strings.Contains(r.prompt, e.cfg.PoisonMarker) {
		e.crash("request crashes the engine")
	} else if r.countsAsCold && e.coldActive > e.cfg.ColdLimit {
		e.crash(fmt.Sprintf("%d requests in cold start, limit %d", e.coldActive, e.cfg.ColdLimit))
	} else {
		e.checkTokenCapacity()
	}
	e.schedule()
	return true
}

// addRequest adds a request to the queue and to the record. The caller holds e.mu.
func (e *Engine) addRequest(r *request) {
	s := r.record
	s.Incarnation, s.AssignedGroup, s.AssignedEpoch = e.incarnation, e.assigned.Group, e.assigned.Epoch
	s.Cold, s.Start = e.cold, time.Now()
	if len(e.requestRecords) < e.cfg.RecordLimit {
		e.requestRecords = append(e.requestRecords, s)
	} else {
		e.engineRecord.Dropped++
	}
	e.sequence++
	r.arrivalNumber = e.sequence
	e.active[r] = struct{}{}
	e.queue = append(e.queue, r)
	e.activeTokens += r.tokens
	if e.cold && !s.Start.Before(e.coldLimitFrom) {
		r.countsAsCold = true
		e.coldActive++
		e.engineRecord.MaxRunningCold = max(e.engineRecord.MaxRunningCold, e.coldActive)
	}
	e.engineRecord.MaxRunning = max(e.engineRecord.MaxRunning, len(e.active))
}

// checkTokenCapacity crashes the engine when the context tokens of its active
// requests exceed its capacity. The caller holds e.mu.
func (e *Engine) checkTokenCapacity() {
	e.engineRecord.MaxHeldTokens = max(e.engineRecord.MaxHeldTokens, e.activeTokens)
	if e.activeTokens > e.cfg.TokenCapacity {
		e.crash(fmt.Sprintf("%d held tokens, capacity %d", e.activeTokens, e.cfg.TokenCapacity))
	}
}

// schedule starts queued requests by priority, up to the concurrency limit. The
// caller holds e.mu.
func (e *Engine) schedule() {
	sort.SliceStable(e.queue, func(a, b int) bool { return e.queue[a].priority > e.queue[b].priority })
	for e.running < e.cfg.Limit && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		close(r.started)
	}
}

// finishRequest removes a request and completes a drain with the last one.
func (e *Engine) finishRequest(r *request, outcome string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.active, r)
	select {
	case <-r.started:
		e.running--
	default:
		for i, q := range e.queue {
			if q == r {
				e.queue = append(e.queue[:i], e.queue[i+1:]...)
				break
			}
		}
	}
	e.activeTokens -= r.tokens
	if r.countsAsCold {
		e.coldActive--
	}
	r.record.Outcome, r.record.End = outcome, time.Now()
	if outcome == OutcomeDone && e.server != nil {
		e.addToCache(r.hashes)
	}
	if e.state == engine.StateDraining && len(e.active) == 0 {
		e.leaveGroup()
	}
	e.schedule()
}

// countToken adds one generated token to the request's context.
func (e *Engine) countToken(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.tokens++
	r.record.Tokens++
	e.activeTokens++
	e.checkTokenCapacity()
}

// prefillTime returns the prefill time of the tokens that are not cached.
func (e *Engine) prefillTime(r *request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	missing := max(engine.TokenCount(r.prompt)+r.resumeOffset-e.cache.cachedTokens(r.hashes), 0)
	return time.Duration(float64(missing) * float64(e.cfg.PrefillPerToken) * r.slowdown)
}

func (e *Engine) tokenInterval(r *request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.cfg.TokenInterval) * max(r.slowdown, e.slowdown))
}
