package gateway

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/service"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

const (
	testKey     = "test-key"
	testService = "chat"
	waitLimit   = 20 * time.Second
)

// harness runs a gateway with engines that each form a group of one member.
type harness struct {
	t       testing.TB
	gateway *Gateway
	server  *http.Server
	engines []*standin.Engine
	url     string
	addr    string

	mu    sync.Mutex
	polls []*view.Group
}

// newHarness starts the gateway and n engines.
func newHarness(t testing.TB, n int, cfg standin.Config, change func(*Options)) *harness {
	t.Helper()
	h := &harness{t: t}
	start := time.Now()
	now := func() time.Duration { return time.Since(start) }
	for i := range n {
		cfg.Instance = ident.InstanceID(fmt.Sprintf("engine-%d", i))
		e, err := standin.Start(cfg)
		assert.NilError(t, err)
		t.Cleanup(e.Close)
		h.engines = append(h.engines, e)
		h.assign(i)
	}
	doc := service.DefaultDocument()
	doc.Service, doc.Kind = testService, service.KindModel
	doc.Backend.Requests = 1000
	sum := sha256.Sum256([]byte(testKey))
	doc.Accounts = []service.Account{{Name: "tester", KeySHA256: hex.EncodeToString(sum[:])}}
	self := view.Entry{Instance: "entry", Alive: true}
	control := engine.NewControl()
	snapshot := func() *view.Snapshot {
		svc := &view.Service{Document: doc, Groups: h.groups(control, now)}
		return view.New(view.Snapshot{Ready: true, Services: []*view.Service{svc}, Entries: []view.Entry{self}})
	}
	opts := Options{
		Snapshot:             snapshot,
		Now:                  now,
		Metrics:              telemetry.New(),
		Data:                 engine.NewData(),
		Router:               &StaticShares{Snapshot: snapshot, Now: now, Self: self.Instance},
		Self:                 self,
		LookupTTL:            time.Second,
		MaxBodyBytes:         1 << 20,
		AccountParkedStreams: 100,
		ProcessParkedStreams: 100,
	}
	if change != nil {
		change(&opts)
	}
	h.gateway = New(opts)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	h.server = h.gateway.Server(h.gateway.Handler(), 1<<16)
	go func() { _ = h.server.Serve(h.gateway.Listener(l)) }()
	t.Cleanup(func() { _ = h.server.Close() })
	h.addr = l.Addr().String()
	h.url = "http://" + h.addr
	return h
}

func (h *harness) assign(i int) {
	id := ident.GroupID(fmt.Sprintf("group-%d", i))
	addr := h.engines[i].Addr()
	err := engine.NewControl().Assign(context.Background(), addr, engine.AssignCommand{
		Group: id, Epoch: 1, Fencing: 1, Service: testService,
		Members: []engine.Member{{Instance: ident.InstanceID(fmt.Sprintf("engine-%d", i)), Address: addr}},
	})
	assert.NilError(h.t, err)
	h.waitFor("engine is warm", func() bool {
		s, err := engine.NewControl().Status(context.Background(), addr)
		return err == nil && s.State == engine.StateReady && !s.Cold
	})
}

// groups polls the engines and caches the result for 100 ms.
func (h *harness) groups(control *engine.Control, now func() time.Duration) []*view.Group {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.polls) > 0 && now()-h.polls[0].Confirmed < 100*time.Millisecond {
		return h.polls
	}
	var out []*view.Group
	for _, e := range h.engines {
		sent := now()
		s, err := control.Status(context.Background(), e.Addr())
		if err != nil || s.State != engine.StateReady {
			continue
		}
		out = append(out, &view.Group{
			ID: s.Group, Epoch: s.Epoch, Confirmed: sent, Limit: 1000, Cold: s.Cold, Status: s,
			Incarnation: string(s.Incarnation),
			Leader:      view.Backend{Instance: s.Instance, Address: e.Addr(), Incarnation: s.Incarnation},
		})
	}
	h.polls = out
	return out
}

func (h *harness) waitFor(what string, cond func() bool) {
	h.t.Helper()
	for end := time.Now().Add(waitLimit); !cond(); {
		if time.Now().After(end) {
			h.t.Fatalf("condition was not met within %s: %s", waitLimit, what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func completionBody(tokens int, stream bool) (engine.CompletionRequest, []byte) {
	req := engine.CompletionRequest{Model: testService, Prompt: "a prompt", MaxTokens: tokens, Stream: stream}
	b, _ := json.Marshal(req)
	return req, b
}

func (h *harness) post(body []byte, headers ...string) *http.Response {
	h.t.Helper()
	return h.postTo(completionPath, body, headers...)
}

func (h *harness) postTo(path string, body []byte, headers ...string) *http.Response {
	h.t.Helper()
	req, err := http.NewRequest(http.MethodPost, h.url+path, bytes.NewReader(body))
	assert.NilError(h.t, err)
	req.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(h.t, err)
	h.t.Cleanup(func() { _ = resp.Body.Close() })
	return resp
}

// readText reads a stream and returns its text, the last event ID and whether the
// end marker arrived.
func readText(r io.Reader) (text, lastID string, done bool) {
	var b strings.Builder
	scanner := bufio.NewScanner(r)
	for scanner.Scan() {
		line := scanner.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			lastID = id
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if data == engine.DoneMarker {
			return b.String(), lastID, true
		}
		var c tokenFrame
		if json.Unmarshal([]byte(data), &c) != nil {
			return b.String(), lastID, false
		}
		for _, choice := range c.Choices {
			b.WriteString(choice.Text)
		}
	}
	return b.String(), lastID, false
}
