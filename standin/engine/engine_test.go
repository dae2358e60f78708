package engine

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
)

// startGroup starts engines, assigns them to one group and waits until all are
// ready.
func startGroup(t *testing.T, size int, edit func(*Config)) []*Engine {
	t.Helper()
	registry := NewRegistry()
	t.Cleanup(registry.Close)
	engines := make([]*Engine, size)
	members := make([]engine.Member, size)
	for i := range engines {
		cfg := DefaultConfig()
		cfg.LoadTime, cfg.ColdTime, cfg.ReportLag = time.Millisecond, time.Millisecond, 0
		cfg.TokenInterval = time.Millisecond
		members[i].Instance = engineID(i)
		cfg.Instance = members[i].Instance
		edit(&cfg)
		e, err := registry.Start(cfg)
		assert.NilError(t, err)
		engines[i], members[i].Address = e, e.Addr()
	}
	for i, e := range engines {
		cmd := engine.AssignCommand{Fencing: 2, Group: "g", Epoch: 1, Model: "m", Version: "1", Rank: i, Members: members}
		assert.Equal(t, post(t, e, "/admin/assign", cmd).StatusCode, http.StatusOK)
	}
	for _, e := range engines {
		waitFor(t, func() bool { s, _ := e.Self(); return s.Status.State == engine.StateReady })
	}
	return engines
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if done() {
			return poll.Success()
		}
		return poll.Continue("condition does not hold")
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}

func post(t *testing.T, e *Engine, path string, body any) *http.Response {
	t.Helper()
	resp, err := call(e, path, body, 0)
	assert.NilError(t, err)
	_ = resp.Body.Close()
	return resp
}

func call(e *Engine, path string, body any, resume int) (*http.Response, error) {
	b, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Addr()+path, bytes.NewReader(b))
	if err != nil {
		return nil, err
	}
	req.Header.Set(engine.HeaderGroup, "g")
	req.Header.Set(engine.HeaderEpoch, "1")
	req.Header.Set(engine.HeaderAttempt, "a")
	req.Header.Set(engine.HeaderResumeOffset, fmt.Sprint(resume))
	return http.DefaultClient.Do(req)
}

// stream reads a whole stream and returns its text and ids.
func stream(t *testing.T, e *Engine, req engine.CompletionRequest, resume int) (string, []string) {
	t.Helper()
	resp, err := call(e, "/v1/completions", req, resume)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	var ids []string
	done := false
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		line := sc.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, id)
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok {
			continue
		}
		if done = data == engine.DoneMarker; done {
			break
		}
		var c Chunk
		assert.NilError(t, json.Unmarshal([]byte(data), &c))
		text.WriteString(c.Choices[0].Text)
	}
	assert.Assert(t, done)
	return text.String(), ids
}

// TestStreamResumes guards against an answer that depends on the attempt: a
// resumed stream must continue the text of the first.
func TestStreamResumes(t *testing.T) {
	e := startGroup(t, 2, func(*Config) {})[0]
	req := engine.CompletionRequest{Prompt: strings.Repeat("quote ", 40), MaxTokens: 8, Stream: true}
	whole, ids := stream(t, e, req, 0)
	assert.Equal(t, whole, ExpectedText(&req, 8))
	assert.DeepEqual(t, ids[:2], []string{"a:0", "a:1"})
	assert.Equal(t, ids[8], "a:8")
	rest, ids := stream(t, e, req, 3)
	assert.Equal(t, rest, whole[len(ExpectedText(&req, 3)):])
	assert.Equal(t, ids[0], "a:3")
	rec := e.Record()
	assert.Assert(t, rec.Requests[0].MembersWhole)
	assert.Assert(t, e.cache.hit(engine.PrefixHashes(req.Prompt)) > 0)
}

// TestColdOverloadKills guards against a stand-in that bears any load.
func TestColdOverloadKills(t *testing.T) {
	e := startGroup(t, 1, func(c *Config) {
		c.ColdTime, c.ColdLimit, c.TokenInterval, c.RestartDelay = time.Hour, 1, time.Hour, 0
	})[0]
	req := engine.CompletionRequest{Prompt: "p", MaxTokens: 5, Stream: true}
	resp, err := call(e, "/v1/completions", req, 0)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	if second, err := call(e, "/v1/completions", req, 0); err == nil {
		_ = second.Body.Close()
	}
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil)
	waitFor(t, func() bool { s, alive := e.Self(); return alive && s.Status.State == engine.StateIdle })
	rec := e.Record()
	assert.Equal(t, rec.Crashes, 1)
	assert.Equal(t, rec.MaxRunningCold, 2)
	s, _ := e.Self()
	assert.Assert(t, s.Status.Cold)
}

// TestMemberLossKillsReplica guards against a replica that outlives a member.
func TestMemberLossKillsReplica(t *testing.T) {
	engines := startGroup(t, 3, func(c *Config) { c.TokenInterval = time.Hour })
	req := engine.CompletionRequest{Prompt: "p", MaxTokens: 5, Stream: true}
	resp, err := call(engines[0], "/v1/completions", req, 0)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	engines[2].Crash("test")
	_, err = io.ReadAll(resp.Body)
	assert.Assert(t, err != nil)
	again := post(t, engines[0], "/v1/completions", req)
	assert.Equal(t, again.Header.Get(engine.HeaderNotRun), "1")
}

// TestRecordShowsPartialGroup guards against a record that hides a request
// served while a member belongs to another group, on engines that ignore
// fencing tokens.
func TestRecordShowsPartialGroup(t *testing.T) {
	engines := startGroup(t, 2, func(c *Config) { c.ChecksFencing = false })
	post(t, engines[1], "/admin/assign", engine.AssignCommand{Fencing: 1, Group: "other", Epoch: 1})
	req := engine.CompletionRequest{Prompt: "p", MaxTokens: 1, Stream: true}
	_, _ = stream(t, engines[0], req, 0)
	assert.Assert(t, !engines[0].Record().Requests[0].MembersWhole)
	var stale int
	for _, ev := range engines[1].Record().Events {
		if ev.Kind == EventStaleCommand {
			stale++
		}
	}
	assert.Equal(t, stale, 1)
}

func engineID(i int) ident.InstanceID { return ident.InstanceID(fmt.Sprintf("w%d", i)) }

// TestDeadEngineRunsNothing guards against a request that arrived just before a
// crash and is run after it.
func TestDeadEngineRunsNothing(t *testing.T) {
	e := startGroup(t, 1, func(c *Config) { c.RestartDelay = time.Hour })[0]
	e.mu.Lock()
	e.crash("test")
	e.mu.Unlock()
	r := &request{start: make(chan struct{}), end: make(chan struct{}), served: &RequestRecord{Group: "g", Epoch: 1}}
	defer func() {
		assert.Equal(t, recover(), http.ErrAbortHandler)
		assert.Equal(t, len(e.Record().Requests), 0)
	}()
	e.admit(nil, r)
	t.Error("a dead engine answered")
}
