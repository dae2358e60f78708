package gateway

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

// longPause is a Retry-After that does not end within a test, in seconds.
const longPause = "30"

// Guards against completions that reach an engine which has answered 503 with Retry-After, against
// callers that are refused although another engine works, and against requests that are held, or
// told another time to come back, when all engines ask for a pause.
func TestNoCompletionsDuringRequestedPause(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime = 0, 0
	var b *Balancer
	h := newHarness(t, 2, cfg, routeWithBalancer(t, &b, 20*time.Millisecond))
	_, body := completionBody(2, true)
	h.waitFor("credits are granted", func() bool { return h.post(body, HeaderDeadline, "500").StatusCode == http.StatusOK })
	paused, other := h.engines[0], h.engines[1]
	paused.AskForPause(longPause)
	h.waitFor("the engine has refused a request", func() bool {
		assert.Equal(t, h.post(body).StatusCode, http.StatusOK)
		return paused.PauseRefusals() > 0
	})
	for range 60 {
		assert.Equal(t, h.post(body).StatusCode, http.StatusOK)
	}
	assert.Equal(t, paused.PauseRefusals(), 1, "requests that reached the engine that asked for a pause")

	other.AskForPause(longPause)
	h.post(body) // The engine refuses this one.
	for range 5 {
		begun := time.Now()
		resp := h.post(body, HeaderDeadline, "5000")
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		took := time.Since(begun)
		assert.Assert(t, took < time.Second, "refused after %v", took)
		seconds, err := strconv.Atoi(resp.Header.Get("Retry-After"))
		assert.NilError(t, err)
		assert.Assert(t, seconds >= 20, "Retry-After %d", seconds)
	}
	assert.Assert(t, paused.PauseRefusals() == 1 && other.PauseRefusals() == 1, "%d and %d", paused.PauseRefusals(), other.PauseRefusals())

	// Another run of the engine asks for no pause.
	paused.AskForPause("")
	paused.Crash("restart")
	h.waitFor("the engine has restarted", func() bool {
		s, err := engine.NewControl().Status(t.Context(), paused.Addr())
		return err == nil && s.State == engine.StateIdle
	})
	h.assign(0)
	h.waitFor("the engine gets requests again", func() bool { return h.post(body, HeaderDeadline, "500").StatusCode == http.StatusOK })
	assert.Equal(t, other.PauseRefusals(), 1)
}

// Guards against a pause that outlasts its time, and against requests that wait although the pause
// of the only engine began after they had been queued.
func TestRequestedPauseOfOnlyEngine(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime = 0, 0
	var b *Balancer
	h := newHarness(t, 1, cfg, routeWithBalancer(t, &b, 20*time.Millisecond))
	_, body := completionBody(2, true)
	h.waitFor("credits are granted", func() bool { return h.post(body, HeaderDeadline, "500").StatusCode == http.StatusOK })
	e := h.engines[0]
	e.AskForPause("0.3")
	h.post(body, HeaderDeadline, "500")
	e.AskForPause("")
	h.waitFor("the pause has ended", func() bool { return h.post(body, HeaderDeadline, "500").StatusCode == http.StatusOK })
	assert.Equal(t, e.PauseRefusals(), 1)

	e.AskForPause(longPause)
	const callers = 12 * testLimit // most of them wait for a credit
	statuses := make(chan int)
	begun := time.Now()
	for range callers {
		go func() { statuses <- h.post(body, HeaderDeadline, "8000").StatusCode }()
	}
	for range callers {
		status := <-statuses
		assert.Check(t, status == http.StatusServiceUnavailable || status == http.StatusBadGateway, "status %d", status)
	}
	took := time.Since(begun)
	assert.Assert(t, took < 4*time.Second, "refused after %v", took)
	assert.Assert(t, e.PauseRefusals() <= 1+testLimit, "%d requests", e.PauseRefusals())
}

// pausingBackend is a backend server of a plain service that answers 503 with Retry-After.
type pausingBackend struct {
	retryAfter, notRun string
	received           atomic.Int32
}

func (b *pausingBackend) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	b.received.Add(1)
	w.Header().Set("Retry-After", b.retryAfter)
	if b.notRun != "" {
		w.Header().Set(engine.HeaderNotRun, b.notRun)
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Guards against plain calls and orders that reach a backend server which has answered 503 with
// Retry-After, whether or not the call ran, and against a refusal that does not say that the call
// did not run and when to come back.
func TestNoPlainCallsDuringRequestedPause(t *testing.T) {
	for _, notRun := range []string{"1", ""} {
		for _, path := range []string{"/services/orders/orders", "/services/orders/quote"} {
			f := newOrderFleet(t, 1)
			b := &pausingBackend{retryAfter: longPause, notRun: notRun}
			f.setBackend(&http.Server{Handler: b})
			call := func(i int) reply {
				return f.call(0, http.MethodPost, path, fmt.Sprint("k", i), `{"id":"o1"}`, 2*time.Second)
			}
			call(0)
			for i := range 5 {
				r := call(1 + i)
				wantProblem(t, r, ProblemNoCapacity, OutcomeNotRun)
				assert.Equal(t, r.status, http.StatusServiceUnavailable)
				seconds, err := strconv.Atoi(r.retry)
				assert.NilError(t, err)
				assert.Assert(t, seconds >= 20, "Retry-After %d", seconds)
			}
			assert.Equal(t, b.received.Load(), int32(1), "%s, not run %q", path, notRun)

			// Another run of the backend server asks for no pause.
			f.mu.Lock()
			next := *f.backends[0]
			next.Incarnation = "2"
			f.backends = []*view.Backend{&next}
			f.mu.Unlock()
			call(9)
			assert.Equal(t, b.received.Load(), int32(2))
		}
	}
}

// Guards against plain calls that reach a paused backend server while another one works.
func TestPlainCallsAvoidPausedServer(t *testing.T) {
	f := newOrderFleet(t, 1)
	b := &pausingBackend{retryAfter: longPause, notRun: "1"}
	f.setBackend(&http.Server{Handler: b}, &http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {})})
	for i := range 40 {
		r := f.call(0, http.MethodPost, "/services/orders/orders", fmt.Sprint("k", i), `{"id":"o1"}`, 2*time.Second)
		assert.Equal(t, r.status, http.StatusOK, r.body)
	}
	assert.Assert(t, b.received.Load() <= 1, "%d calls", b.received.Load())
}

// Guards against a completion that has got its credit, and a plain call whose connection is being
// opened, that reach a backend server although it has asked for a pause since.
func TestChosenServerIsNotReachedDuringPause(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime = 0, 0
	h := newHarness(t, 1, cfg, nil)
	group := h.gateway.opts.Snapshot().Services[0].Groups[0]
	_, body := completionBody(2, true)
	r := &Request{Name: testService, Path: completionPath, Body: body}
	h.gateway.opts.Pauses.observe(runOf(&group.Leader), http.StatusServiceUnavailable, http.Header{headerRetryAfter: {longPause}})
	d := &dispatch{gateway: h.gateway, ctx: t.Context(), request: r}
	a := d.newAttempt(t.Context(), r, Grant{Group: group, Release: func(Result) {}})
	result := a.relay()
	a.finish(result)
	assert.Assert(t, errors.Is(result.Err, engine.ErrNotSent), "%v", result.Err)
	assert.Equal(t, len(h.engines[0].Record().Requests), 0)

	run := fleet.Run{ID: "p", Incarnation: "1"}
	pauses := NewServerPauses(func() time.Duration { return time.Second }, nil)
	local, remote := net.Pipe()
	dialled := func(context.Context, string, string) (net.Conn, error) {
		pauses.observe(run, http.StatusServiceUnavailable, http.Header{headerRetryAfter: {longPause}})
		return local, nil
	}
	_, err := dialUnpaused(dialled, pauses)(context.WithValue(t.Context(), plainRunKey{}, run), "tcp", "p")
	assert.Assert(t, errors.Is(transportError(err), ErrBackendNotSent), "%v", err)
	_, err = remote.Read(make([]byte, 1))
	assert.ErrorContains(t, err, "EOF")
}

// Guards against calls that wait in the queue although all servers that they can still use ask for
// a pause, against a draining server or one that has failed the call that counts as another one,
// and against a stream that is cut although the first pause ends in time.
func TestQueueDuringRequestedPauses(t *testing.T) {
	doc := service.DefaultDocument()
	doc.Service, doc.Kind = testService, service.KindPlain
	svc := &view.Service{Document: doc, Backends: []*view.Backend{{Instance: "p1"}, {Instance: "p2"}, {Instance: "p3", Draining: true}}}
	snap := view.New(view.Snapshot{Ready: true, Services: []*view.Service{svc}, Entries: []view.Entry{{Instance: "e"}}})
	clock := 100 * time.Second
	now := func() time.Duration { return clock }
	b := NewBalancer(view.Entry{Instance: "e"}, func() *view.Snapshot { return snap }, now, telemetry.New())
	s := b.scheduler(testService)
	ask := func(id ident.InstanceID, retryAfter string) {
		b.pauses.observe(fleet.Run{ID: id}, http.StatusServiceUnavailable, http.Header{headerRetryAfter: {retryAfter}})
	}
	// The balancer has no credits, so that all calls wait that are not refused.
	enqueue := func(sink Sink, excluded ...credit.BackendID) *pendingRequest {
		r := &Request{Name: testService, Deadline: clock + resumeWait, Sink: sink}
		pr := &pendingRequest{request: r, excluded: excluded, result: make(chan acquireResult, 1), waiter: newWaiter(r, clock)}
		s.enqueue(pr)
		return pr
	}
	refused := func(pr *pendingRequest) time.Duration {
		select {
		case o := <-pr.result:
			var p pauseRefusal
			assert.Assert(t, errors.As(o.err, &p), "%v", o.err)
			assert.Equal(t, p.Outcome, OutcomeNotRun)
			return p.RetryAfter
		default:
			return 0
		}
	}
	retries := s.retries
	for range 100 {
		retries.RecordFirstAttempt()
	}
	first, retry := enqueue(nil), enqueue(nil, "p1")
	ask("p2", "4")
	s.tick(clock)
	assert.Equal(t, refused(first), time.Duration(0))
	assert.Equal(t, refused(retry), 4*time.Second, "only a paused and a draining server are left")
	assert.Equal(t, refused(enqueue(nil, "p1")), 4*time.Second)
	for f := range 20 {
		suspect := &pendingRequest{request: &Request{Name: testService, Isolated: true, Fingerprint: ident.Fingerprint(f)}}
		i := s.isolationTarget(clock, suspect, "p2")
		assert.Equal(t, s.targets[i].backend, ServerBackend("p1"), "a suspect reserves a server that asks for a pause")
	}
	ask("p1", "30")
	isolated := &Request{Name: testService, Deadline: clock + time.Hour, Isolated: true, Fingerprint: 1}
	_, err := b.acquire(t.Context(), &pendingRequest{request: isolated})
	assert.ErrorContains(t, err, "asks for a pause")
	assert.Equal(t, len(s.isolatedSuspects), 0)
	resumes := &sseSink{started: true}
	stream := enqueue(resumes)
	assert.Equal(t, refused(first), 4*time.Second, "refused with the next dispatch")
	assert.Equal(t, refused(enqueue(nil)), 4*time.Second)
	assert.Equal(t, refused(stream), time.Duration(0), "the first pause ends in time")
	clock += 3 * time.Second
	assert.Equal(t, refused(enqueue(nil)), time.Second)
	ask("p2", "20")
	s.tick(clock)
	assert.Equal(t, refused(stream), 20*time.Second, "no pause ends in time")
	clock += 20 * time.Second
	assert.Equal(t, refused(enqueue(nil)), time.Duration(0), "the first pause has ended")
}
