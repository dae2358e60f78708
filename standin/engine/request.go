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

// request is one held request: queued or running.
type request struct {
	body       engine.CompletionRequest
	prompt     string
	hashes     []uint64
	priority   int
	arrival    uint64
	resume     int
	maxTokens  int
	tokens     int // held context tokens
	countsCold bool
	served     *RequestRecord
	slow       float64

	start   chan struct{} // closed when the request runs
	once    sync.Once
	end     chan struct{} // closed when the engine cuts the request
	outcome string
}

// cut ends a request from the engine's side.
func (r *request) cut(outcome string) {
	r.once.Do(func() {
		r.outcome = outcome
		close(r.end)
	})
}

// cutAll cuts every held request. The caller holds e.mu.
func (e *Engine) cutAll(outcome string) {
	for r := range e.held {
		r.cut(outcome)
	}
}

func notRun(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(engine.HeaderNotRun, "1")
	http.Error(w, reason, status)
}

// parse reads the request from its body and headers.
func (e *Engine) parse(w http.ResponseWriter, hr *http.Request) *request {
	r := &request{start: make(chan struct{}), end: make(chan struct{}), slow: 1}
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
	r.resume, _ = strconv.Atoi(hr.Header.Get(engine.HeaderResumeOffset))
	r.resume = min(max(r.resume, 0), r.maxTokens)
	r.tokens = engine.TokenCount(r.prompt) + r.resume
	r.served = &RequestRecord{
		Attempt:   ident.AttemptID(hr.Header.Get(engine.HeaderAttempt)),
		Group:     ident.GroupID(hr.Header.Get(engine.HeaderGroup)),
		Epoch:     ident.Epoch(epoch),
		PromptSum: PromptSum(r.prompt), ResumeOffset: r.resume, Outcome: OutcomeRunning,
	}
	return r
}

// refusal tells why a request is not taken, or "". The caller holds e.mu.
func (e *Engine) refusal(r *request) string {
	switch {
	case e.state != engine.StateReady:
		return "engine is " + string(e.state)
	case e.assigned.Rank != 0:
		return "engine is not the leader of its group"
	case e.broken:
		return "group lost a member"
	case e.cfg.ChecksFencing && (r.served.Group != e.assigned.Group || r.served.Epoch != e.assigned.Epoch):
		return fmt.Sprintf("engine holds group %s epoch %d", e.assigned.Group, e.assigned.Epoch)
	}
	return ""
}

// admit holds a request, or answers why not. Holding more than the engine can
// bear kills it.
func (e *Engine) admit(w http.ResponseWriter, r *request) bool {
	whole := e.check()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		// The request arrived before the crash; a dead process answers nothing.
		panic(http.ErrAbortHandler)
	}
	e.refresh()
	if reason := e.refusal(r); reason != "" {
		e.event(EventRefused, fmt.Sprintf("attempt %s: %s", r.served.Attempt, reason))
		notRun(w, http.StatusServiceUnavailable, reason)
		return false
	}
	r.slow = whole.slow
	r.served.MembersWhole = whole.partial == "" && whole.lost == ""
	r.served.Detail = whole.partial
	e.hold(r)
	if e.cfg.PoisonMarker != "" && strings.Contains(r.prompt, e.cfg.PoisonMarker) {
		e.crash("request crashes the engine")
	} else if r.countsCold && e.coldHeld > e.cfg.ColdLimit {
		e.crash(fmt.Sprintf("%d requests in cold start, limit %d", e.coldHeld, e.cfg.ColdLimit))
	} else {
		e.checkTokens()
	}
	e.schedule()
	return true
}

// hold adds a request to the batch and the record. The caller holds e.mu.
func (e *Engine) hold(r *request) {
	s := r.served
	s.Incarnation, s.HeldGroup, s.HeldEpoch = e.incarnation, e.assigned.Group, e.assigned.Epoch
	s.Cold, s.Start = e.cold, time.Now()
	if len(e.served) < e.cfg.RecordLimit {
		e.served = append(e.served, s)
	} else {
		e.rec.Dropped++
	}
	e.sequence++
	r.arrival = e.sequence
	e.held[r] = struct{}{}
	e.queue = append(e.queue, r)
	e.heldTokens += r.tokens
	if e.cold && !s.Start.Before(e.noticeAt) {
		r.countsCold = true
		e.coldHeld++
		e.rec.MaxRunningCold = max(e.rec.MaxRunningCold, e.coldHeld)
	}
	e.rec.MaxRunning = max(e.rec.MaxRunning, len(e.held))
}

// checkTokens kills the engine when the held tokens outgrow its capacity. The
// caller holds e.mu.
func (e *Engine) checkTokens() {
	e.rec.MaxHeldTokens = max(e.rec.MaxHeldTokens, e.heldTokens)
	if e.heldTokens > e.cfg.TokenCapacity {
		e.crash(fmt.Sprintf("%d held tokens, capacity %d", e.heldTokens, e.cfg.TokenCapacity))
	}
}

// schedule starts queued requests by priority while there is room. The caller
// holds e.mu.
func (e *Engine) schedule() {
	sort.SliceStable(e.queue, func(a, b int) bool { return e.queue[a].priority > e.queue[b].priority })
	for e.running < e.cfg.Limit && len(e.queue) > 0 {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.running++
		close(r.start)
	}
}

// release ends a held request and completes a drain.
func (e *Engine) release(r *request, outcome string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	delete(e.held, r)
	select {
	case <-r.start:
		e.running--
	default:
		for i, q := range e.queue {
			if q == r {
				e.queue = append(e.queue[:i], e.queue[i+1:]...)
				break
			}
		}
	}
	e.heldTokens -= r.tokens
	if r.countsCold {
		e.coldHeld--
	}
	r.served.Outcome, r.served.End = outcome, time.Now()
	if outcome == OutcomeDone && e.server != nil {
		e.cacheAdd(r.hashes)
	}
	if e.state == engine.StateDraining && len(e.held) == 0 {
		e.idle()
	}
	e.schedule()
}

// grow counts one generated token.
func (e *Engine) grow(r *request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.tokens++
	r.served.Tokens++
	e.heldTokens++
	e.checkTokens()
}

// firstTokenDelay is the prefill time of what the cache does not hold.
func (e *Engine) firstTokenDelay(r *request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	missing := max(engine.TokenCount(r.prompt)+r.resume-e.cache.hit(r.hashes), 0)
	return time.Duration(float64(missing) * float64(e.cfg.PrefillPerToken) * r.slow)
}

func (e *Engine) tokenInterval(r *request) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Duration(float64(e.cfg.TokenInterval) * max(r.slow, e.slow))
}
