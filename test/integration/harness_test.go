package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/check"
	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/service"
	standinengine "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/standin/history"
)

// binDir is the directory of the binaries that TestMain builds.
var binDir string

func TestMain(m *testing.M) {
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bulrushfall-bin-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "./cmd/bulrushfalld", "./cmd/bulrushctl", "./cmd/bulrush-standin")
	build.Dir = filepath.Join("..", "..")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the processes: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

const (
	// waitTimeout bounds each wait for a condition and is the deadline of streams.
	waitTimeout = 20 * time.Second
	// wantedGroups is the number of groups. They use all engines.
	wantedGroups = 4
	// streamTokens is the length of streams. With the token interval of the
	// engines they take about two seconds.
	streamTokens = 100
)

// rig is a test harness: a running cluster and the history of requests, edits and
// faults that the checker verifies.
type rig struct {
	t             *testing.T
	ctx           context.Context
	modelDocument service.Document // document of the model service
	testCluster   *cluster.Cluster
	engines       []infra.Instance // with the addresses they listen on, not those of proxies
	orderSystems  []infra.Instance
	// readEvents uses scheme and client to reach the entry instances.
	scheme string
	client *http.Client

	mu      sync.Mutex
	history check.History
}

// startRig starts three entries, and engines for groups of two, in two data
// centres. edit, if not nil, changes the configuration.
func startRig(t *testing.T, edit func(*cluster.Config)) *rig {
	t.Helper()

	cfg := cluster.DefaultConfig(binDir)
	cfg.DataCentres = []ident.DataCentre{"dc-a", "dc-b"}
	cfg.Entries, cfg.EnginesPerDataCentre, cfg.DomainSize, cfg.OrderSystems = 3, 4, 4, 1
	cfg.Documents = []string{cluster.ModelDocument(wantedGroups, 2, 2, 2), cluster.OrderDocument(2)}
	cfg.EngineFlags = []string{
		"--token-interval", "20ms", "--load-time", "50ms", "--cold-time", "50ms", "--restart-delay", "200ms",
	}
	cfg.PlatformFlags = []string{"--instance-lag", "200ms"}
	if edit != nil {
		edit(&cfg)
	}
	doc, err := service.Parse([]byte(cfg.Documents[0]))
	assert.NilError(t, err)
	r := &rig{t: t, ctx: t.Context(), modelDocument: doc, scheme: "http", client: http.DefaultClient}
	c, err := cluster.Start(t.Context(), cfg)
	assert.NilError(t, err)
	r.testCluster = c
	for _, inst := range c.Backends {
		if inst.Kind == infra.KindEngine {
			r.engines = append(r.engines, inst)
		} else {
			r.orderSystems = append(r.orderSystems, inst)
		}
	}
	t.Cleanup(func() {
		if t.Failed() {
			t.Log(c.Logs())
		}
		c.Close()
	})
	return r
}

// withFaultProxy puts a fault proxy between the processes.
func withFaultProxy(c *cluster.Config) { c.UseFaultProxy = true }

// waitServing waits until the groups are formed and warm, and a stream through
// each entry is answered.
func (r *rig) waitServing() {
	r.t.Helper()
	r.waitGroups()
	for i, e := range r.testCluster.Entries {
		r.waitUntil("an answer through "+string(e.Instance), func() bool {
			return r.stream(e, fmt.Sprintf("warm-up %d", i), 1).Outcome == load.Answered
		})
	}
}

// waitGroups waits until all wanted groups are complete and their leaders warm.
func (r *rig) waitGroups() {
	r.t.Helper()
	r.waitUntil("all groups are complete and warm", func() bool {
		groups, err := r.testCluster.Groups(r.ctx, r.modelDocument)
		warm := 0
		for _, g := range groups {
			if !g.Cold {
				warm++
			}
		}
		return err == nil && warm == r.modelDocument.Replicas.Wanted
	})
}

// leaders returns the engines that lead a group.
func (r *rig) leaders() []infra.Instance {
	var out []infra.Instance
	for _, e := range r.engines {
		var s engine.Status
		if r.getJSON("http://"+e.Address+"/status", &s) && s.State == engine.StateReady && s.Rank == 0 {
			out = append(out, e)
		}
	}
	return out
}

// isLeader reports whether an engine leads a group.
func (r *rig) isLeader(e infra.Instance) bool {
	for _, l := range r.leaders() {
		if l.ID == e.ID {
			return true
		}
	}
	return false
}

// crashMember crashes a member of a leader's group that is not the leader.
func (r *rig) crashMember(leader infra.Instance) {
	r.t.Helper()
	var status engine.Status
	assert.Assert(r.t, r.getJSON("http://"+leader.Address+"/status", &status))
	for _, e := range r.engines {
		var s engine.Status
		if r.getJSON("http://"+e.Address+"/status", &s) && s.Group == status.Group && s.Rank != 0 {
			r.postJSON("http://"+e.Address+"/debug/crash", nil)
			return
		}
	}
	r.t.Fatalf("group %s has no other member", status.Group)
}

// waitUntil fails the test if a condition does not hold within waitTimeout. what
// describes the condition.
func (r *rig) waitUntil(what string, cond func() bool) {
	r.t.Helper()
	assert.NilError(r.t, cluster.WaitUntil(r.ctx, waitTimeout, what, cond))
}

// getJSON decodes the response of a GET into v and reports whether it succeeded.
func (r *rig) getJSON(url string, v any) bool {
	resp, err := http.Get(url)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK && json.NewDecoder(resp.Body).Decode(v) == nil
}

func (r *rig) postJSON(url string, body any) {
	r.t.Helper()
	b, err := json.Marshal(body)
	assert.NilError(r.t, err)
	resp, err := http.Post(url, "application/json", bytes.NewReader(b))
	assert.NilError(r.t, err)
	_ = resp.Body.Close()
	assert.Assert(r.t, resp.StatusCode < 300, "%s: %s", url, resp.Status)
}

// request returns a completion request. The prompt has to be unique among all
// streams, because the history identifies requests by it.
func request(prompt string, tokens int) engine.CompletionRequest {
	return engine.CompletionRequest{Model: cluster.ModelService, Prompt: prompt, MaxTokens: tokens}
}

// recordResult adds a finished request to the history. killed means that the test
// kills the entry meanwhile.
func (r *rig) recordResult(e *cluster.Entry, name string, res load.Result, killed bool) {
	c := check.CallerRequest{
		Request: name, Entry: e.Instance, SentAt: res.Start, EndedAt: res.Start.Add(res.Duration),
		EntryKilled: killed, Complete: true,
	}
	switch res.Outcome {
	case load.Answered, load.Late:
		c.Outcome = check.OutcomeAnswered
	case load.Wrong:
		c.Outcome, c.Answer, c.WantAnswer = check.OutcomeAnswered, res.Detail, "the expected text"
	case load.NotRun:
		c.Outcome = check.OutcomeNotRun
	case load.Unknown:
		c.Outcome = check.OutcomeUnknown
	case load.Cut:
		c.Outcome = check.OutcomeCut
	default:
		c.Outcome = check.OutcomeUnreachable
		if !strings.Contains(res.Detail, "connection refused") {
			c.Outcome = check.OutcomeCut
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.CallerRequests = append(r.history.CallerRequests, c)
}

// stream sends a streamed completion through an entry and records its result.
func (r *rig) stream(e *cluster.Entry, prompt string, tokens int) load.Result {
	c := load.NewCaller(cluster.AccountKey(0), []string{e.CallerAddress})
	defer c.Close()
	res := c.StreamAt(r.ctx, e.CallerAddress, request(prompt, tokens), waitTimeout)
	r.recordResult(e, history.PromptRequestName(prompt), res, false)
	return res
}

// startStreams starts one stream per prompt, through the entries in turn. The
// returned function waits for the results.
func (r *rig) startStreams(entries []*cluster.Entry, prompts []string) func() []load.Result {
	out := make([]load.Result, len(prompts))
	var wg sync.WaitGroup
	for i, p := range prompts {
		wg.Add(1)
		go func() {
			defer wg.Done()
			out[i] = r.stream(entries[i%len(entries)], p, streamTokens)
		}()
	}
	return func() []load.Result { wg.Wait(); return out }
}

// prompts returns n different prompts for startStreams.
func prompts(t *testing.T, n int) []string {
	out := make([]string, n)
	for i := range out {
		out[i] = fmt.Sprintf("%s stream %d", t.Name(), i)
	}
	return out
}

// runningStream is a stream that runs at the leader of a group.
type runningStream struct {
	leader  infra.Instance
	request standinengine.RequestRecord
}

// runningStreams returns the running streams of some prompts that have sent at
// least a number of tokens.
func (r *rig) runningStreams(prompts []string, tokens int) []runningStream {
	sums := make(map[uint64]bool)
	for _, p := range prompts {
		sums[standinengine.PromptSum(p)] = true
	}
	var out []runningStream
	for _, e := range r.engines {
		var rec standinengine.Record
		if !r.getJSON("http://"+e.Address+"/debug/record", &rec) {
			continue
		}
		for _, s := range rec.Requests {
			if sums[s.PromptSum] && s.Outcome == standinengine.OutcomeRunning && s.ResumeOffset+s.Tokens >= tokens {
				out = append(out, runningStream{leader: e, request: s})
			}
		}
	}
	return out
}

// waitRunning waits until the streams of all prompts run and have sent at least
// five tokens.
func (r *rig) waitRunning(prompts []string) []runningStream {
	r.t.Helper()
	const tokens = 5
	var out []runningStream
	r.waitUntil("all streams run", func() bool {
		out = r.runningStreams(prompts, tokens)
		return len(out) == len(prompts)
	})
	return out
}

// checkHistory collects the records of the stand-ins, adds the history of the
// test and fails the test for each violation that the checker finds.
func (r *rig) checkHistory() {
	r.t.Helper()
	h, _, err := history.Collect(r.ctx, r.testCluster.PlatformURL, append(append([]infra.Instance{}, r.engines...), r.orderSystems...))
	assert.NilError(r.t, err)
	r.mu.Lock()
	defer r.mu.Unlock()
	h.Append(r.history)
	for _, v := range check.Check(&h, check.DefaultLimits()) {
		r.t.Error(v.String())
	}
}

// assertAnswered asserts that every request got its complete answer.
func assertAnswered(t *testing.T, results []load.Result) {
	t.Helper()
	for i, res := range results {
		assert.Equal(t, res.Outcome, load.Answered, "request %d: %s", i, res.Detail)
	}
}
