package main

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/config/configshell"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/settings"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// configServer is the configuration component of a daemon behind its operators'
// HTTP interface.
type configServer struct {
	*configshell.Shell
	store           *standin.Server
	operatorAddress string
	// editErr, if set, is returned by every edit.
	editErr error
}

func (p *configServer) Edit(ctx context.Context, e config.Edit) (ident.Revision, error) {
	if p.editErr != nil {
		return 0, p.editErr
	}
	return p.Shell.Edit(ctx, e)
}

// startConfigServer starts a configServer on a store stand-in. It runs until the
// test ends.
func startConfigServer(t *testing.T, editTimeout time.Duration) *configServer {
	t.Helper()
	store, err := standin.Start(standin.DefaultConfig())
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	loop := configshell.NewLoop(ctx)
	set := config.DefaultSettings()
	set.EditTimeout = editTimeout
	machine := config.New("self", set, rand.New(rand.NewPCG(1, 1)))
	p := &configServer{store: store}
	p.Shell = configshell.New(ctx, machine, configshell.NewStore(infra.NewClient(store.URL())), nil, loop.Post)
	ready := make(chan struct{})
	p.OnPublish = func(v *config.View) {
		if v.Ready && v.Revision == 0 {
			close(ready)
		}
	}
	done := make(chan struct{})
	go func() { loop.Run(p.Shell); close(done) }()
	cfg, err := settings.Load(examplePath("settings.yaml"))
	assert.NilError(t, err)
	server := httptest.NewServer(operator.Handler(operator.Options{
		Configuration: p, Team: cfg.Team, Now: time.Now,
		DrainTargets: func(config.DrainKind) []string { return []string{"dc-a", "dc-b"} },
	}))
	p.operatorAddress = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() { server.Close(); cancel(); <-done; store.Close() })
	<-ready
	return p
}

func examplePath(name string) string { return filepath.Join("..", "..", "examples", name) }

// longTimeout is longer than any test runs.
const longTimeout = time.Hour

// runTool runs the tool with a team's token and returns its exit code and output.
func (p *configServer) runTool(team string, args ...string) (int, string) {
	var out bytes.Buffer
	env := map[string]string{envAddresses: "127.0.0.1:1," + p.operatorAddress, envToken: "example-token-" + team}
	// The timeout is far longer than a busy machine needs, so that only the
	// faults that a test injects cause failures.
	args = append([]string{"--timeout", longTimeout.String()}, args...)
	code := run(context.Background(), args, &out, &out, func(k string) string { return env[k] })
	return code, out.String()
}

// TestEdits edits a document and a drain from creation to deletion. It guards
// against wrong exit codes, and against refusals that name no remedy.
func TestEdits(t *testing.T) {
	p := startConfigServer(t, longTimeout)
	editedFile := filepath.Join(t.TempDir(), "mine.yaml")
	write := func(s string) { assert.NilError(t, os.WriteFile(editedFile, []byte(s), 0o600)) }
	expect := func(code int, want, team string, args ...string) string {
		t.Helper()
		got, out := p.runTool(team, args...)
		assert.Equal(t, got, code, "%v: %s", args, out)
		assert.Assert(t, strings.Contains(out, want), "%v: %s", args, out)
		return out
	}
	expect(exitForbidden, "settings", "nobody", "service", "list")
	expect(exitNotFound, "service list", "quotes", "service", "get", "quotes")
	expect(exitDiffers, "+service: quotes", "quotes", "service", "diff", examplePath("quotes.yaml"))
	expect(exitOK, "revision  1", "quotes", "service", "apply", examplePath("quotes.yaml"))
	expect(exitForbidden, `team "quotes"`, "orders", "service", "apply", examplePath("quotes.yaml"))
	expect(exitForbidden, `team "quotes"`, "orders", "service", "delete", "quotes")
	expect(exitOK, `"quotes"`, "quotes", "-o", "json", "service", "list")

	got := expect(exitOK, "# revision: 1\n", "quotes", "service", "get", "quotes")
	write(got)
	expect(exitOK, "", "quotes", "service", "diff", editedFile)
	write(strings.Replace(got, "wanted: 6", "wanted: 7", 1))
	expect(exitDiffers, "+  wanted: 7", "quotes", "service", "diff", editedFile)
	expect(exitOK, "revision  2", "quotes", "service", "apply", editedFile)
	expect(exitConflict, "at revision 2, not 1", "quotes", "service", "apply", editedFile)
	write(strings.Replace(got, "wanted: 6", "wanted: 3", 1))
	expect(exitInvalid, "mine.yaml:10: replicas.minimum", "quotes", "service", "apply", editedFile)

	expect(exitNotFound, "dc-a, dc-b", "quotes", "datacentre", "drain", "dc-c")
	expect(exitOK, "revision  3", "quotes", "datacentre", "drain", "dc-a", "-m", "power work")
	assert.Assert(t, p.View().Drains.InstanceDrained("i", "dc-a", ""))
	expect(exitOK, "power work", "orders", "status")
	expect(exitConflict, "revision 3, not 0", "quotes", "datacentre", "restore", "dc-a", "--revision", "0")
	expect(exitOK, "revision  4", "orders", "datacentre", "restore", "dc-a")
	assert.Assert(t, !p.View().Drains.InstanceDrained("i", "dc-a", ""))
	expect(exitOK, "revision  5", "quotes", "partner", "withdraw", "firm", "--force")
	expect(exitOK, "revision  6", "quotes", "service", "delete", "quotes")
	expect(exitNotFound, "", "quotes", "service", "delete", "quotes")
}

// TestStoreFaults guards against an edit that is reported as refused but was
// applied, and against a store outage without an exit code of its own.
func TestStoreFaults(t *testing.T) {
	p := startConfigServer(t, longTimeout)
	p.store.SetFaults(standin.Faults{LoseAnswers: 1})
	code, out := p.runTool("quotes", "service", "apply", examplePath("quotes.yaml"))
	assert.Equal(t, code, exitOK, out)
	assert.Equal(t, p.store.Counts().LostAnswers, uint64(1))
	assert.Equal(t, p.View().Revision, ident.Revision(1))

	// The store also refuses the reads before the commit, so the timeout always
	// ends the edit before it can commit.
	p = startConfigServer(t, 300*time.Millisecond)
	p.store.SetFaults(standin.Faults{Outage: true})
	code, out = p.runTool("quotes", "service", "apply", examplePath("quotes.yaml"))
	assert.Equal(t, code, exitNotApplied, out)
	assert.Assert(t, strings.Contains(out, "did not apply"), out)

	p.editErr = config.ErrOutcomeUnknown
	code, out = p.runTool("quotes", "service", "apply", examplePath("quotes.yaml"))
	assert.Equal(t, code, exitOutcomeUnknown, out)
	assert.Assert(t, strings.Contains(out, "read the record") && strings.Contains(out, "attempt: "), out)
}

// TestReplay guards against a replay that succeeds although an expectation is
// not met or the trace is malformed.
func TestReplay(t *testing.T) {
	p := &configServer{}
	data := filepath.Join("..", "..", "trace", "testdata")
	code, out := p.runTool("", "trace", "replay", filepath.Join(data, "config-store-down.expect.yaml"))
	assert.Equal(t, code, exitOK, out)
	code, out = p.runTool("", "trace", "replay", filepath.Join(data, "config-store-down.jsonl"), "--machine", "config")
	assert.Equal(t, code, exitOK, out)
	assert.Assert(t, strings.Contains(out, `"action":"accepted"`), out)

	dir := t.TempDir()
	b, err := os.ReadFile(filepath.Join(data, "config-store-down.jsonl"))
	assert.NilError(t, err)
	write := func(name, s string) string {
		file := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(file, []byte(s), 0o600))
		return file
	}
	write("a.jsonl", string(b))
	code, out = p.runTool("", "trace", "replay", write("a.expect.yaml",
		"trace: a.jsonl\nmachines: [config]\nexpect: [{outcome: none is accepted, machine: config, action: accepted, at_most: 0}]\n"))
	assert.Equal(t, code, exitExpectationsUnmet, out)
	assert.Assert(t, strings.Contains(out, "none is accepted: 1 decisions"), out)
	code, out = p.runTool("", "trace", "replay", write("b.jsonl", "{}\n"))
	assert.Equal(t, code, exitInvalid, out)
}

// TestCheck guards against a check that accepts an invalid file, and against
// defaults that --explain leaves out.
func TestCheck(t *testing.T) {
	p := &configServer{}
	for file, want := range map[string]string{"orders.yaml": "cold_ramp: 5s", "settings.yaml": "max_header_bytes: 32768"} {
		code, out := p.runTool("", "check", examplePath(file), "--explain")
		assert.Equal(t, code, exitOK, out)
		assert.Assert(t, strings.Contains(out, want), out)
	}
	bad := filepath.Join(t.TempDir(), "bad.yaml")
	assert.NilError(t, os.WriteFile(bad, []byte("service: a\nowner: b\nkind: plan\n"), 0o600))
	code, out := p.runTool("", "check", bad)
	assert.Equal(t, code, exitInvalid)
	assert.Assert(t, strings.Contains(out, "bad.yaml:3: kind: \"plan\" is not allowed: use one of model, plain"), out)
	code, _ = p.runTool("", "service", "list", "-o", "xml")
	assert.Equal(t, code, exitUsage)
	code, _ = p.runTool("quotes", "--timeout", "0s", "status")
	assert.Equal(t, code, exitUsage)
}

// TestExplain guards against an explanation without the log line of the request,
// and against success if no log has such a line.
func TestExplain(t *testing.T) {
	p := &configServer{}
	file := filepath.Join(t.TempDir(), "entry.log")
	line := `{"msg":"request","outcome":"refused","request":"r1","time":"2026-05-04T02:53:37Z"}` + "\n"
	assert.NilError(t, os.WriteFile(file, []byte(line), 0o600))
	code, out := p.runTool("", "explain", "r1", "--log", file)
	assert.Equal(t, code, 0, out)
	assert.Assert(t, strings.Contains(out, `"outcome":"refused"`), out)
	code, out = p.runTool("", "explain", "r2", "--log", file)
	assert.Assert(t, code != 0, out)
	code, out = p.runTool("", "explain", "r1")
	assert.Assert(t, code != 0, out)
}
