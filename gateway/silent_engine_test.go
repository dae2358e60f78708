package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/quarantine"
	"github.com/bulrushfall/bulrushfall/service"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

const (
	// pausedTokens is the number of tokens of an answer, and pauseOffset the offset
	// of the token before which an engine pauses.
	pausedTokens = 6
	pauseOffset  = 3
	// enginePause is a silence of a sound engine.
	enginePause = engine.ProgressTimeout + engine.ProgressTimeout/2
	// moveLimit is how long the move to another group may take after
	// ProgressTimeout.
	moveLimit = 400 * time.Millisecond
)

// pausingEngine is an engine without heartbeats that falls silent in its answers.
type pausingEngine struct {
	*httptest.Server
	instance ident.InstanceID
	// headerPause is the time before the response header, resumePause that of a resumed
	// attempt, and tokenPause the time before the token at pauseOffset.
	headerPause, resumePause, tokenPause time.Duration
	// breaks makes the engine close the connection after tokenPause.
	breaks bool
	// refuses makes the engine refuse requests as not run.
	refuses bool

	mu       sync.Mutex
	resumed  []int // the resume offset of each attempt
	canceled int   // attempts that ended early
	running  int
}

// startPausingEngine starts an engine. change may be nil.
func startPausingEngine(t testing.TB, n int, change func(*pausingEngine)) *pausingEngine {
	e := &pausingEngine{instance: ident.InstanceID(fmt.Sprintf("pausing-%d", n))}
	if change != nil {
		change(e)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprintf(w, `{"instance":%q,"incarnation":"first","state":"ready","group":%q,"epoch":1,"limit":1000}`, e.instance, e.group().ID)
	})
	mux.HandleFunc("POST "+completionPath, e.complete)
	e.Server = httptest.NewServer(mux)
	t.Cleanup(e.Close)
	t.Cleanup(e.CloseClientConnections)
	return e
}

func (e *pausingEngine) group() *view.Group {
	address := ""
	if e.Server != nil {
		address = e.Listener.Addr().String()
	}
	return &view.Group{
		ID: ident.GroupID("group-" + e.instance), Epoch: 1, Confirmed: time.Hour, Limit: 1000, Incarnation: "first",
		Leader: view.Backend{Instance: e.instance, Address: address, Incarnation: "first"},
	}
}

func (e *pausingEngine) complete(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	resume, _ := strconv.Atoi(r.Header.Get(engine.HeaderResumeOffset))
	e.mu.Lock()
	e.resumed = append(e.resumed, resume)
	e.running++
	e.mu.Unlock()
	defer func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.running--
		if r.Context().Err() != nil {
			e.canceled++
		}
	}()
	if e.refuses {
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "no room", http.StatusServiceUnavailable)
		return
	}
	pause := func(d time.Duration) {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(d):
		}
	}
	pause(e.headerPause)
	if resume > 0 {
		pause(e.resumePause)
	}
	w.Header().Set("Content-Type", "text/event-stream")
	flush := w.(http.Flusher).Flush
	w.WriteHeader(http.StatusOK)
	flush()
	for i := resume; i < pausedTokens; i++ {
		if i == pauseOffset {
			pause(e.tokenPause)
			if e.breaks {
				panic(http.ErrAbortHandler)
			}
		}
		_, _ = fmt.Fprintf(w, "id: %s:%d\ndata: {\"choices\":[{\"text\":\"%d\"}]}\n\n", r.Header.Get(engine.HeaderAttempt), i, i)
		flush()
	}
	_, _ = io.WriteString(w, "data: "+engine.DoneMarker+"\n\n")
}

// attempts returns the resume offset of each attempt, the number of attempts that were
// canceled and of those that run.
func (e *pausingEngine) attempts() (resumed []int, canceled, running int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]int(nil), e.resumed...), e.canceled, e.running
}

// newPausingHarness starts a gateway whose groups are the engines. The router prefers
// the first one.
func newPausingHarness(t testing.TB, engines []*pausingEngine, change func(*Options)) *harness {
	return newHarness(t, 0, standin.Config{}, func(o *Options) {
		doc := o.Snapshot().Services[0].Document
		var groups []*view.Group
		for _, e := range engines {
			groups = append(groups, e.group())
		}
		o.Snapshot = pausingSnapshot(doc, o.Self, groups)
		o.Router = &StaticShares{Snapshot: o.Snapshot, Now: o.Now, Self: o.Self.Instance}
		if change != nil {
			change(o)
		}
	})
}

func pausingSnapshot(doc service.Document, self view.Entry, groups []*view.Group) func() *view.Snapshot {
	s := view.New(view.Snapshot{
		Ready: true, Entries: []view.Entry{self}, Services: []*view.Service{{Document: doc, Groups: groups}},
	})
	return func() *view.Snapshot { return s }
}

// pausedText is the text of a whole answer.
const pausedText = "012345"

// assertWhole sends a request and reads its answer, which must be whole.
func (h *harness) assertWhole(stream bool) {
	h.t.Helper()
	_, body := completionBody(pausedTokens, stream)
	resp := h.post(body)
	if !stream {
		b, err := io.ReadAll(resp.Body)
		assert.NilError(h.t, err)
		assert.Assert(h.t, bytes.Contains(b, []byte(`"`+pausedText+`"`)), "status %d: %s", resp.StatusCode, b)
		return
	}
	text, lastID, done := readText(resp.Body)
	assert.Assert(h.t, done, "status %d: the stream ended after %q (%s)", resp.StatusCode, text, lastID)
	assert.Equal(h.t, text, pausedText)
}

// TestSilentEngineGoesOn guards against an answer that is aborted because its engine is
// silent for longer than ProgressTimeout and no other group can take the request over.
func TestSilentEngineGoesOn(t *testing.T) {
	pauseBeforeHeader := func(e *pausingEngine) { e.headerPause = enginePause }
	pauseBeforeToken := func(e *pausingEngine) { e.tokenPause = enginePause }
	refuse := func(e *pausingEngine) { e.refuses = true }
	for _, c := range []struct {
		name   string
		stream bool
		pause  func(*pausingEngine)
		others []func(*pausingEngine)
	}{
		{"stream, no other group", true, pauseBeforeToken, nil},
		{"stream, the other group refuses", true, pauseBeforeToken, []func(*pausingEngine){refuse}},
		{"stream, eight groups refuse", true, pauseBeforeToken, []func(*pausingEngine){refuse, refuse, refuse, refuse, refuse, refuse, refuse, refuse}},
		{"collected answer, no other group", false, pauseBeforeToken, nil},
		{"silent before the response header", true, pauseBeforeHeader, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			first := startPausingEngine(t, 0, c.pause)
			engines := []*pausingEngine{first}
			for i, change := range c.others {
				engines = append(engines, startPausingEngine(t, i+1, change))
			}
			h := newPausingHarness(t, engines, nil)
			h.assertWhole(c.stream)
			resumed, canceled, _ := first.attempts()
			assert.DeepEqual(t, resumed, []int{0})
			assert.Equal(t, canceled, 0)
			attempts := 0
			for _, e := range engines {
				resumed, _, _ := e.attempts()
				attempts += len(resumed)
			}
			assert.Assert(t, attempts <= maxAttempts, "%d attempts", attempts)
		})
	}
}

// TestSilentBackendServerGoesOn guards against a call to a plain service that ends
// because its backend server is silent for longer than ProgressTimeout.
func TestSilentBackendServerGoesOn(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			t.Parallel()
			calls := 0
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				calls++
				_, _ = io.WriteString(w, "one ")
				w.(http.Flusher).Flush()
				time.Sleep(enginePause)
				_, _ = io.WriteString(w, "two")
			}))
			t.Cleanup(server.Close)
			h := newHarness(t, 0, standin.Config{}, func(o *Options) {
				doc := o.Snapshot().Services[0].Document
				doc.Kind = service.KindPlain
				snapshot := view.New(view.Snapshot{Ready: true, Entries: []view.Entry{o.Self}, Services: []*view.Service{{
					Document: doc, Backends: []*view.Backend{{Instance: "plain", Address: server.Listener.Addr().(*net.TCPAddr).String()}},
				}}})
				o.Snapshot = func() *view.Snapshot { return snapshot }
			})
			req, err := http.NewRequest(method, h.url+servicesPrefix+testService+"/x", nil)
			assert.NilError(t, err)
			req.Header.Set("Authorization", "Bearer "+testKey)
			resp, err := http.DefaultClient.Do(req)
			assert.NilError(t, err)
			defer func() { _ = resp.Body.Close() }()
			b, err := io.ReadAll(resp.Body)
			assert.NilError(t, err)
			assert.Equal(t, string(b), "one two")
			assert.Equal(t, calls, 1)
		})
	}
}

// TestSilentEngineReplaced guards against a silent engine that is closed before another
// group has accepted the request, against a move to that group that takes longer than
// ProgressTimeout and moveLimit, and against tokens that are lost or sent twice by it.
func TestSilentEngineReplaced(t *testing.T) {
	const acceptDelay = 300 * time.Millisecond
	for _, c := range []struct {
		name  string
		pause func(*pausingEngine)
		want  int // the resume offset at the other group
	}{
		{"between tokens", func(e *pausingEngine) { e.tokenPause = time.Hour }, pauseOffset},
		{"before the response header", func(e *pausingEngine) { e.headerPause = time.Hour }, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			silent := startPausingEngine(t, 0, c.pause)
			other := startPausingEngine(t, 1, func(e *pausingEngine) { e.headerPause = acceptDelay })
			h := newPausingHarness(t, []*pausingEngine{silent, other}, nil)
			begin := time.Now()
			done := make(chan time.Duration)
			go func() {
				h.assertWhole(true)
				done <- time.Since(begin)
			}()
			h.waitFor("the other group gets the request", func() bool { _, _, running := other.attempts(); return running == 1 })
			_, canceled, running := silent.attempts()
			assert.Equal(t, canceled, 0)
			assert.Equal(t, running, 1)
			took := <-done
			assert.Assert(t, took < engine.ProgressTimeout+acceptDelay+moveLimit, "%s", took)
			h.waitFor("the silent attempt is canceled", func() bool { _, canceled, _ := silent.attempts(); return canceled == 1 })
			resumed, _, _ := other.attempts()
			assert.DeepEqual(t, resumed, []int{c.want})
		})
	}
}

// TestSilentEngineSendsFirst guards against tokens of two attempts in one answer, and
// against an attempt that goes on unused, when a silent engine sends again while another
// group is accepting the request.
func TestSilentEngineSendsFirst(t *testing.T) {
	silent := startPausingEngine(t, 0, func(e *pausingEngine) { e.tokenPause = enginePause })
	other := startPausingEngine(t, 1, func(e *pausingEngine) { e.headerPause = engine.ProgressTimeout - 100*time.Millisecond })
	scope := tally.NewTestScope("", nil)
	h := newPausingHarness(t, []*pausingEngine{silent, other}, func(o *Options) { o.Metrics.Scope = scope })
	h.assertWhole(true)
	h.waitFor("the other attempt is canceled", func() bool { _, canceled, running := other.attempts(); return canceled == 1 && running == 0 })
	resumed, canceled, _ := silent.attempts()
	assert.DeepEqual(t, resumed, []int{0})
	assert.Equal(t, canceled, 0)
	counters := scope.Snapshot().Counters()
	assert.Equal(t, counters["engine_silences_total+"].Value(), int64(1))
	assert.Equal(t, counters["engine_silences_ended_total+"].Value(), int64(1))
}

// TestSilentEngineBreaks guards against a request that loses the group that is accepting
// it when the connection to its silent engine breaks.
func TestSilentEngineBreaks(t *testing.T) {
	silent := startPausingEngine(t, 0, func(e *pausingEngine) { e.tokenPause, e.breaks = enginePause, true })
	other := startPausingEngine(t, 1, func(e *pausingEngine) { e.headerPause = engine.ProgressTimeout - 100*time.Millisecond })
	h := newPausingHarness(t, []*pausingEngine{silent, other}, nil)
	h.assertWhole(true)
	resumed, _, _ := other.attempts()
	assert.DeepEqual(t, resumed, []int{pauseOffset})
}

// TestSilenceLimit guards against a request that stays open without a bound although its
// engine stays silent and no other group takes it over. The deadline bounds the silence
// before the answer has started, and its length the silence after that.
func TestSilenceLimit(t *testing.T) {
	const deadline = 1500 * time.Millisecond
	for _, c := range []struct {
		name      string
		pause     func(*pausingEngine)
		status    int
		min, max  time.Duration
		limit     time.Duration // the minimum of the limit
		tokenText string
	}{
		{"not started", func(e *pausingEngine) { e.headerPause = time.Hour }, http.StatusGatewayTimeout, deadline, deadline + moveLimit, 0, ""},
		{
			"started", func(e *pausingEngine) { e.tokenPause = time.Hour }, http.StatusOK,
			engine.ProgressTimeout + deadline, engine.ProgressTimeout + deadline + moveLimit, 0, "012",
		},
		{
			"started, short deadline", func(e *pausingEngine) { e.tokenPause = time.Hour }, http.StatusOK,
			engine.ProgressTimeout + 2*deadline, engine.ProgressTimeout + 2*deadline + moveLimit, 2 * deadline, "012",
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			e := startPausingEngine(t, 0, c.pause)
			h := newPausingHarness(t, []*pausingEngine{e}, nil)
			h.gateway.minSilenceLimit = c.limit
			_, body := completionBody(pausedTokens, true)
			begin := time.Now()
			resp := h.post(body, HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
			text, _, done := readText(resp.Body)
			took := time.Since(begin)
			assert.Assert(t, !done)
			assert.Equal(t, resp.StatusCode, c.status)
			assert.Equal(t, text, c.tokenText)
			assert.Assert(t, took >= c.min && took < c.max, "%s", took)
			h.waitFor("the attempt is canceled", func() bool { _, canceled, _ := e.attempts(); return canceled == 1 })
		})
	}
}

// TestCallerLeavesSilentEngine guards against attempts that go on, and credits that stay
// in use, after the caller of a silent engine has left while another group is accepting
// the request.
func TestCallerLeavesSilentEngine(t *testing.T) {
	pause := func(e *pausingEngine) {
		e.tokenPause, e.resumePause = time.Hour, engine.ProgressTimeout-100*time.Millisecond
	}
	silent, other := startPausingEngine(t, 0, pause), startPausingEngine(t, 1, pause)
	var b *Balancer
	h := newPausingHarness(t, []*pausingEngine{silent, other}, func(o *Options) {
		routeWithBalancer(t, &b, 20*time.Millisecond)(o)
	})
	h.waitFor("credits are granted", func() bool {
		s := b.scheduler(testService)
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.targets) == 2 && s.holder.FreeCredits(b.now(), s.targets[0].backend, true) > 0 && s.holder.FreeCredits(b.now(), s.targets[1].backend, true) > 0
	})
	_, body := completionBody(pausedTokens, true)
	resp := h.post(body)
	h.waitFor("both groups have the request", func() bool {
		_, _, first := silent.attempts()
		_, _, second := other.attempts()
		return first == 1 && second == 1
	})
	assert.NilError(t, resp.Body.Close())
	h.waitFor("both attempts are canceled", func() bool {
		_, _, first := silent.attempts()
		_, _, second := other.attempts()
		return first == 0 && second == 0
	})
	h.waitFor("all credits are released", func() bool { ok, _ := b.scheduler(testService).idle(); return ok })
}

// TestSilenceReleasesCreditsOnce guards against credits that stay in use or are released
// twice, and against answers that are not whole, when engines fall silent at the same
// time, some go on and some do not.
func TestSilenceReleasesCreditsOnce(t *testing.T) {
	engines := []*pausingEngine{
		startPausingEngine(t, 0, func(e *pausingEngine) { e.tokenPause = enginePause }),
		startPausingEngine(t, 1, func(e *pausingEngine) { e.tokenPause = time.Hour }),
		startPausingEngine(t, 2, nil),
	}
	var b *Balancer
	h := newPausingHarness(t, engines, func(o *Options) {
		routeWithBalancer(t, &b, 20*time.Millisecond)(o)
		q := NewQuarantine(quarantine.DefaultConfig(), OrderOptions{Now: o.Now, Self: o.Self, Scope: o.Metrics.Scope, Snapshot: o.Snapshot})
		o.Router = q.Router(o.Router)
	})
	_, body := completionBody(1, true)
	h.waitFor("credits are granted", func() bool { return h.post(body, HeaderDeadline, "500").StatusCode == http.StatusOK })
	var wg sync.WaitGroup
	for i := range 8 {
		wg.Go(func() {
			req := engine.CompletionRequest{Model: testService, Prompt: fmt.Sprint("prompt ", i), MaxTokens: pausedTokens, Stream: true}
			body, _ := json.Marshal(req)
			text, _, done := readText(h.post(body).Body)
			assert.Check(t, done)
			assert.Check(t, text == pausedText, text)
		})
	}
	wg.Wait()
	h.waitFor("all credits are released", func() bool { ok, _ := b.scheduler(testService).idle(); return ok })
	for _, e := range engines {
		h.waitFor("no attempt runs", func() bool { _, _, running := e.attempts(); return running == 0 })
	}
}

// TestSilentSuspect guards against a suspect that cannot move to another group while its
// engine is silent, because the silent attempt holds the permission for its run, and
// against a permission that is never released.
func TestSilentSuspect(t *testing.T) {
	for _, c := range []struct {
		name  string
		pause time.Duration
		moved bool
	}{{"moves", time.Hour, true}, {"goes on", enginePause, false}} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			silent := startPausingEngine(t, 0, func(e *pausingEngine) { e.tokenPause = c.pause })
			engines := []*pausingEngine{silent, startPausingEngine(t, 1, func(e *pausingEngine) { e.refuses = !c.moved })}
			var q *Quarantine
			h := newPausingHarness(t, engines, func(o *Options) {
				q = NewQuarantine(quarantine.DefaultConfig(), OrderOptions{Now: o.Now, Self: o.Self, Scope: o.Metrics.Scope, Snapshot: o.Snapshot})
				o.Router = q.Router(o.Router)
			})
			_, body := completionBody(pausedTokens, true)
			f := fingerprint(&Request{Name: testService, Completion: &engine.CompletionRequest{}, Body: body})
			q.applyFinding(quarantine.Finding{Fingerprint: f, Status: quarantine.Suspect})
			begin := time.Now()
			h.assertWhole(true)
			assert.Assert(t, time.Since(begin) < enginePause+moveLimit, "%s", time.Since(begin))
			resumed, _, _ := engines[1].attempts()
			assert.Equal(t, len(resumed) > 0, true)
			h.waitFor("the request is cleared", func() bool { s, _ := q.standing(f); return s == quarantine.NotSuspect })
			q.applyFinding(quarantine.Finding{Fingerprint: f, Status: quarantine.Suspect})
			h.waitFor("the permission is released", func() bool {
				return q.acquireAsOwner(f, quarantine.Holder{Attempt: "other"}, 0) == quarantine.PermitIsolated
			})
		})
	}
}

// TestSilentGroupIsPaused guards against a silent group that gets further requests before
// a status poll has confirmed it, and against copies that wait for a silent copy or are no
// longer kept together when it goes on.
func TestSilentGroupIsPaused(t *testing.T) {
	now := 40 * time.Second
	doc := service.DefaultDocument()
	doc.Service, doc.Kind = testService, service.KindModel
	group := &view.Group{ID: "g", Epoch: 1, Limit: 4, Incarnation: "first", Confirmed: now}
	snapshot := view.New(view.Snapshot{
		Ready: true, Entries: []view.Entry{{Instance: "e"}}, Services: []*view.Service{{Document: doc, Groups: []*view.Group{group}}},
	})
	b := NewBalancer(view.Entry{Instance: "e"}, func() *view.Snapshot { return snapshot }, func() time.Duration { return now }, telemetry.New())
	owner := credit.NewOwner(1, 0)
	for range 3 {
		owner.Step(now, credit.Report{
			Backend: GroupBackend("g"), Incarnation: "first", Polled: true, Sent: now, Received: now,
			Limits: credit.Limits{Requests: 4, ColdRequests: 1, HeldTokens: 1000, ColdRamp: time.Millisecond},
		})
		for _, a := range owner.Step(now, b.NextSync(now, testService)) {
			b.ApplyReply(now, testService, a.(credit.Reply))
		}
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // makes Acquire return without waiting
	acquire := func() (Grant, error) {
		return b.Acquire(ctx, &Request{Name: testService, Deadline: now + time.Second, Fingerprint: 7}, nil)
	}
	first, err := acquire()
	assert.NilError(t, err)
	s := b.scheduler(testService)
	first.Silence(true)
	_, err = acquire()
	assert.Assert(t, err != nil, "the silent group got a request")
	assert.Assert(t, !s.copies.RunsAt(7, "g"))
	first.Silence(false)
	assert.Assert(t, s.copies.RunsAt(7, "g"))
	group.Confirmed = now + time.Millisecond
	second, err := acquire()
	assert.NilError(t, err)
	second.Silence(true)
	second.Release(Result{Err: engine.ErrNoProgress})
	assert.Assert(t, s.copies.RunsAt(7, "g"))
	first.Release(Result{})
	assert.Assert(t, !s.copies.RunsAt(7, "g"))
	assert.Equal(t, s.holder.InFlight(GroupBackend("g")), 0)
}
