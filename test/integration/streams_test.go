package integration

import (
	"bufio"
	"bytes"
	"encoding/json"
	"net/http"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/check"
	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/load"
	standinengine "github.com/bulrushfall/bulrushfall/standin/engine"
)

// TestMemberKilledMidStream guards against streams that fail when a member of
// their group crashes.
func TestMemberKilledMidStream(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitServing()
	p := prompts(t, 24)
	results := r.startStreams(r.testCluster.Entries, p)
	busiest := onBusiestLeader(r.waitRunning(p))
	r.crashMember(busiest.leader)
	assertAnswered(t, results())
	var rec standinengine.Record
	assert.Assert(t, r.getJSON("http://"+busiest.leader.Address+"/debug/record", &rec))
	assert.Assert(t, hasEvent(rec, standinengine.EventMemberLost), "the leader recorded no lost member")
	r.waitGroups()
	r.checkHistory()
}

// onBusiestLeader returns a stream at the leader with the most streams.
func onBusiestLeader(streams []runningStream) runningStream {
	count := make(map[ident.InstanceID]int)
	best := streams[0]
	for _, s := range streams {
		count[s.leader.ID]++
		if count[s.leader.ID] > count[best.leader.ID] {
			best = s
		}
	}
	return best
}

func hasEvent(rec standinengine.Record, kind standinengine.EventKind) bool {
	for _, e := range rec.Events {
		if e.Kind == kind {
			return true
		}
	}
	return false
}

// TestDataCentreOfEnginesKilled guards against streams that fail when all engines
// of a data centre are killed at once.
func TestDataCentreOfEnginesKilled(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitServing()
	p := prompts(t, 6)
	results := r.startStreams(r.testCluster.Entries, p)
	engines := r.engineProcess(r.waitRunning(p)[0].leader.DataCentre)
	engines.Kill()
	assertAnswered(t, results())
	r.checkHistory()
}

// engineProcess returns the process of the engines of a data centre.
func (r *rig) engineProcess(dc ident.DataCentre) *cluster.Process {
	for _, p := range r.testCluster.Engines {
		if p.Name == "engines-"+string(dc) {
			return p
		}
	}
	r.t.Fatalf("no engines in %s", dc)
	return nil
}

// TestSilentConnections guards against requests that wait forever on established
// connections that stop carrying data, while new connections work.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	r := startRig(t, withFaultProxy)
	r.waitServing()
	p := prompts(t, 6)
	results := r.startStreams(r.testCluster.Entries, p)
	r.waitRunning(p)
	for _, b := range r.testCluster.Backends {
		assert.NilError(t, r.testCluster.Proxy.Silence(string(b.ID)))
	}
	assertAnswered(t, results())
	var silenced, held uint64
	for _, b := range r.testCluster.Backends {
		c, err := r.testCluster.Proxy.Counters(string(b.ID))
		assert.NilError(t, err)
		silenced, held = silenced+c.Silenced, held+c.HeldBack
	}
	assert.Assert(t, silenced >= uint64(len(p)) && held >= uint64(len(p)), "%d silenced, %d held", silenced, held)
	r.checkHistory()
}

// TestGracefulShutdown guards against a shutdown that aborts running streams, or
// that never ends.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitServing()
	leaving := r.testCluster.Entries[0]
	p := prompts(t, 6)
	results := r.startStreams([]*cluster.Entry{leaving}, p)
	r.waitRunning(p)
	r.history.Shutdowns = append(r.history.Shutdowns, check.Shutdown{Entry: leaving.Instance, StartedAt: time.Now()})
	assert.NilError(t, leaving.Signal(syscall.SIGTERM))
	assert.Assert(t, len(r.runningStreams(p, 0)) > 0, "no stream was running at the shutdown")
	assertAnswered(t, results())
	select {
	case <-leaving.Done():
		assert.NilError(t, leaving.Err())
	case <-time.After(waitTimeout):
		t.Fatal("the process did not exit after SIGTERM")
	}
	r.checkHistory()
}

// TestPausedLeaseHolder guards against an entry that resumes after its lease has
// moved and its groups were repaired by another entry, and that then sends
// requests to a group that no longer exists. The engines ignore fencing tokens, so
// only the entries can prevent it.
func TestPausedLeaseHolder(t *testing.T) {
	t.Parallel()
	r := startRig(t, func(c *cluster.Config) { c.EngineFlags = append(c.EngineFlags, "--ignore-fencing") })
	r.waitServing()
	paused := r.leaseHolder()
	assert.NilError(t, paused.Signal(syscall.SIGSTOP))
	r.waitUntil("the entry is stopped", func() bool { return processState(t, paused.PID()) == "T" })
	p := prompts(t, 12)
	results := r.startStreams([]*cluster.Entry{paused}, p)
	for _, leader := range r.leaders()[:2] {
		r.crashMember(leader)
	}
	r.waitGroups()
	assert.Equal(t, processState(t, paused.PID()), "T")
	assert.Assert(t, r.leaseHolder() != paused, "the lease did not move")
	assert.NilError(t, paused.Signal(syscall.SIGCONT))
	assertAnswered(t, results())
	r.checkHistory()
}

// leaseHolder returns the entry that holds the lease of the model service
// according to the table.
func (r *rig) leaseHolder() *cluster.Entry {
	r.t.Helper()
	row, err := infra.NewClient(r.testCluster.PlatformURL).Get(r.ctx, lease.Key(cluster.ModelService))
	assert.NilError(r.t, err)
	var value lease.Row
	assert.NilError(r.t, json.Unmarshal(row.Value, &value))
	for _, e := range r.testCluster.Entries {
		if e.Instance == value.Holder.Instance {
			return e
		}
	}
	r.t.Fatalf("the lease holder %s is not an entry of the cluster", value.Holder.Instance)
	return nil
}

// processState returns the state letter of a process from /proc, such as "T" for
// stopped.
func processState(t *testing.T, pid int) string {
	t.Helper()
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	assert.NilError(t, err)
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	return fields[0]
}

// TestColdWithoutWarning guards against normal load on an engine that turns cold
// while it runs requests: it crashes if it gets more than its cold limit.
func TestColdWithoutWarning(t *testing.T) {
	t.Parallel()
	r := startRig(t, func(c *cluster.Config) {
		c.EngineFlags = append(c.EngineFlags, "--cold-time", "3s", "--cold-limit", "2")
	})
	r.waitServing()
	stopLoad := r.startBackgroundStreams(12, 10, load.Answered, load.NotRun)
	defer stopLoad()
	leader := r.leaders()[0]
	r.waitUntil("requests at the engine", func() bool { return r.engineRecord(leader).MaxRunning > 2 })
	r.postJSON("http://"+leader.Address+"/debug/cold", nil)
	cold := func(s engine.Status) bool { return r.getJSON("http://"+leader.Address+"/status", &s) && s.Cold }
	assert.Assert(t, cold(engine.Status{}), "the engine did not turn cold")
	r.waitUntil("the engine is warm again", func() bool { return !cold(engine.Status{}) })
	stopLoad()
	rec := r.engineRecord(leader)
	assert.Equal(t, rec.Crashes, 0)
	r.checkHistory()
}

// engineRecord returns the record of an engine. It waits while the engine is
// down, because a crashed engine keeps its record when it restarts.
func (r *rig) engineRecord(e infra.Instance) standinengine.Record {
	r.t.Helper()
	var rec standinengine.Record
	r.waitUntil("a record of "+string(e.ID), func() bool { return r.getJSON("http://"+e.Address+"/debug/record", &rec) })
	return rec
}

// TestEntryKilledStreamResumes guards against a stream that cannot be resumed at
// another entry after the entry that served it was killed.
func TestEntryKilledStreamResumes(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitServing()
	prompt := t.Name()
	first, lastID := r.readEvents(r.testCluster.Entries[0], prompt, "", func(tokens int) {
		if tokens == 10 {
			r.testCluster.Entries[0].Kill()
		}
	})
	assert.Assert(t, len(first) >= 10 && len(first) < streamTokens, "%d tokens before the kill", len(first))
	rest, _ := r.readEvents(r.testCluster.Entries[1], prompt, lastID, func(int) {})
	req := request(prompt, streamTokens)
	assert.Equal(t, strings.Join(append(first, rest...), ""), standinengine.ExpectedText(&req, streamTokens))
	r.checkHistory()
}

// readEvents reads a stream until it ends or the connection breaks. If lastEventID is
// not empty, the stream starts after that event. readEvents calls onToken with the number
// of tokens after each one, and returns their texts and the last event id.
func (r *rig) readEvents(e *cluster.Entry, prompt, lastEventID string, onToken func(tokens int)) ([]string, string) {
	r.t.Helper()
	completion := request(prompt, streamTokens)
	completion.Stream = true
	body, err := json.Marshal(completion)
	assert.NilError(r.t, err)
	req, err := http.NewRequestWithContext(r.ctx, http.MethodPost, r.scheme+"://"+e.CallerAddress+"/v1/completions", bytes.NewReader(body))
	assert.NilError(r.t, err)
	req.Header.Set("Authorization", "Bearer "+cluster.AccountKey(0))
	if lastEventID != "" {
		req.Header.Set("Last-Event-ID", lastEventID)
	}
	resp, err := r.client.Do(req)
	assert.NilError(r.t, err)
	defer func() { _ = resp.Body.Close() }()
	assert.Equal(r.t, resp.StatusCode, http.StatusOK)
	var texts []string
	last, id := "", ""
	for sc := bufio.NewScanner(resp.Body); sc.Scan(); {
		line := sc.Text()
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			id = v
		}
		data, ok := strings.CutPrefix(line, "data: ")
		if !ok || data == engine.DoneMarker {
			continue
		}
		var c standinengine.Chunk
		if json.Unmarshal([]byte(data), &c) != nil || c.Choices[0].Text == "" {
			continue
		}
		texts, last = append(texts, c.Choices[0].Text), id
		onToken(len(texts))
	}
	return texts, last
}
