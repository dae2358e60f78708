package gateway

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/credit"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/standin/orders"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

// lastResortEnd is when a leaving backend server gets no requests any more, even if there is no
// other: well before the drain time.
const lastResortEnd = drainTime / 2

// Guards against completions that are sent to an engine after it has answered that it leaves,
// while others are available, and later also if there are none, and against a new run of the
// engine that gets none.
func TestLeavingEngineGetsNoNewRequests(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime, cfg.RestartDelay = 0, 0, 50*time.Millisecond
	var b *Balancer
	h := newHarness(t, 2, cfg, routeWithBalancer(t, &b, 20*time.Millisecond))
	_, body := completionBody(2, true)
	post := func(deadline string) int {
		resp := h.post(body, HeaderDeadline, deadline)
		_, err := io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		return resp.StatusCode
	}
	received := func(i int) int { return len(h.engines[i].Record().Requests) }
	// The engine that has cached the prompt is preferred.
	first := -1
	h.waitFor("an engine serves", func() bool {
		if post("500") != http.StatusOK {
			return false
		}
		if first = 0; received(1) > received(0) {
			first = 1
		}
		return true
	})
	second := 1 - first

	h.engines[first].SetLeaving(true)
	before := received(first)
	h.waitFor("an answer says that the engine leaves", func() bool { post("500"); return received(first) > before })
	got, other := received(first), received(second)
	const requests = 60
	for range requests {
		assert.Equal(t, post("2000"), http.StatusOK)
	}
	assert.Equal(t, received(first), got)
	assert.Equal(t, received(second), other+requests)

	h.engines[second].SetLeaving(true)
	assert.Equal(t, post("2000"), http.StatusOK)
	time.Sleep(lastResortEnd)
	got, other = received(first), received(second)
	assert.Equal(t, post("300"), http.StatusServiceUnavailable)
	assert.Equal(t, received(first), got)
	assert.Equal(t, received(second), other)

	h.engines[second].Crash("restart")
	h.waitFor("the engine has restarted", func() bool {
		s, err := engine.NewControl().Status(t.Context(), h.engines[second].Addr())
		return err == nil && s.State == engine.StateIdle
	})
	h.assign(second)
	h.waitFor("the new run serves", func() bool { return post("500") == http.StatusOK })
	assert.Equal(t, received(first), got)
}

// Guards against calls to a backend server of a plain service after it has answered that it
// leaves.
func TestLeavingPlainServerGetsNoNewRequests(t *testing.T) {
	doc := service.DefaultDocument()
	doc.Service, doc.Kind = testService, service.KindPlain
	sum := sha256.Sum256([]byte(testKey))
	doc.Accounts = []service.Account{{Name: "tester", KeySHA256: hex.EncodeToString(sum[:])}}
	svc := &view.Service{Document: doc}
	var servers []*orders.Server
	for i := range 2 {
		s, err := orders.Start(orders.DefaultConfig())
		assert.NilError(t, err)
		t.Cleanup(s.Close)
		servers = append(servers, s)
		svc.Backends = append(svc.Backends, &view.Backend{Instance: ident.InstanceID(fmt.Sprint("p", i)), Address: s.Addr()})
	}
	self := view.Entry{Instance: "entry", Alive: true}
	snap := view.New(view.Snapshot{Ready: true, Services: []*view.Service{svc}, Entries: []view.Entry{self}})
	begin := time.Now()
	now := func() time.Duration { return time.Since(begin) }
	snapshot := func() *view.Snapshot { return snap }
	b := NewBalancer(self, snapshot, now, telemetry.New())
	go b.Run(t.Context())
	go func() {
		owner := credit.NewOwner(1, now()-time.Hour)
		for tick := time.NewTicker(20 * time.Millisecond); ; {
			select {
			case <-t.Context().Done():
				return
			case <-tick.C:
			case <-b.SyncRequests():
			}
			for _, s := range svc.Backends {
				owner.Step(now(), credit.Report{Backend: ServerBackend(s.Instance), Limits: credit.Limits{Requests: testLimit, HeldTokens: 1}, Sent: now()})
			}
			for _, a := range owner.Step(now(), b.NextSync(now(), testService)) {
				b.ApplyReply(now(), testService, a.(credit.Reply))
			}
		}
	}()
	g := New(Options{
		Snapshot: snapshot, Now: now, Metrics: telemetry.New(), Data: engine.NewData(), Router: b, ServerRouter: b, Self: self, MaxBodyBytes: 1 << 20,
	})
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := g.Server(g.Handler(), 1<<16)
	go func() { _ = server.Serve(g.Listener(l)) }()
	t.Cleanup(func() { _ = server.Close() })
	get := func() int {
		req, err := http.NewRequest(http.MethodGet, "http://"+l.Addr().String()+"/services/"+testService+"/stock/bolt", nil)
		assert.NilError(t, err)
		req.Header.Set("Authorization", "Bearer "+testKey)
		req.Header.Set(HeaderDeadline, "2000")
		resp, err := http.DefaultClient.Do(req)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		_, err = io.Copy(io.Discard, resp.Body)
		assert.NilError(t, err)
		return resp.StatusCode
	}
	lookups := func(i int) int { return servers[i].Record().Lookups }
	await := func(what string, holds func() bool) {
		for end := time.Now().Add(waitLimit); !holds(); {
			assert.Assert(t, time.Now().Before(end), what)
			time.Sleep(5 * time.Millisecond)
		}
	}
	await("both servers serve", func() bool { get(); return lookups(0) > 0 && lookups(1) > 0 })
	servers[0].SetFaults(orders.Faults{Leaving: true})
	before := lookups(0)
	await("an answer says that the server leaves", func() bool { get(); return lookups(0) > before })
	got, other := lookups(0), lookups(1)
	const requests = 60
	for range requests {
		assert.Equal(t, get(), http.StatusOK)
	}
	assert.Equal(t, lookups(0), got)
	assert.Equal(t, lookups(1), other+requests)
}

// Guards against a request that waits for a leaving target after all others have failed, and
// against a suspect that is isolated at a leaving target.
func TestLeavingTargetIsNoReplacement(t *testing.T) {
	m := newSchedulerModel(t, 1, 3, 4)
	s := m.schedulers[0]
	leaves := http.Header{}
	leaves.Set(engine.HeaderServerLeaving, "1")
	s.observe(m.now, &s.targets[0], leaves)
	pr := &pendingRequest{request: &Request{Name: testService}}
	assert.Assert(t, s.isolationTarget(m.now, pr, "") != 0)
	pr.excluded = []credit.BackendID{s.targets[1].backend}
	assert.Assert(t, s.ensureAllowedTarget(pr))
	assert.Equal(t, s.isolationTarget(m.now, pr, ""), 2)
	pr.excluded = append(pr.excluded, s.targets[2].backend)
	assert.Assert(t, !s.ensureAllowedTarget(pr))
	assert.Equal(t, s.isolationTarget(m.now, pr, s.targets[0].backend), -1)
	for i := range s.targets {
		s.observe(m.now, &s.targets[i], leaves)
	}
	assert.Equal(t, s.use(m.now, 0), fleet.UseLastResort)
	assert.Assert(t, s.ensureAllowedTarget(pr))
	assert.Equal(t, s.isolationTarget(m.now, pr, ""), 0)
	served := m.enqueue(s, 1)
	m.advance(2)
	assert.Equal(t, len(m.granted([]*pendingRequest{served})), 1, "all leave, and they still serve")
	m.now += lastResortEnd
	assert.Equal(t, s.isolationTarget(m.now, pr, ""), -1)
	waits := m.enqueue(s, 2)
	m.advance(100)
	assert.Equal(t, len(m.granted([]*pendingRequest{waits})), 0)
}
