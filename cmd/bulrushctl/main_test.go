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

// part is the configuration part of a daemon with its operators' interface.
type configServer struct {
	*configshell.Shell
	store           *standin.Server
	operatorAddress string
	// err, if set, ends every edit.
	editErr error
}

func (p *configServer) Edit(ctx context.Context, e config.Edit) (ident.Revision, error) {
	if p.editErr != nil {
		return 0, p.editErr
	}
	return p.Shell.Edit(ctx, e)
}

// startConfigServer runs the part over a store stand-in until the test ends.
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
		Known: func(config.DrainKind) []string { return []string{"dc-a", "dc-b"} },
	}))
	p.operatorAddress = strings.TrimPrefix(server.URL, "http://")
	t.Cleanup(func() { server.Close(); cancel(); <-done; store.Close() })
	<-ready
	return p
}

func examplePath(name string) string { return filepath.Join("..", "..", "examples", name) }

// longTimeout is not reached by any test.
const longTimeout = time.Hour

// ctl runs the tool as a team and returns its exit code and output.
func (p *configServer) runTool(team string, args ...string) (int, string) {
	var out bytes.Buffer
	env := map[string]string{envAddresses: "127.0.0.1:1," + p.operatorAddress, envToken: "example-token-" + team}
	// The limits are far above any load of the machine, so that only the faults
	// that a test sets decide.
	args = append([]string{"--timeout", longTimeout.String()}, args...)
	code := run(context.Background(), args, &out, &out, func(k string) string { return env[k] })
	return code, out.String()
}

// TestEdits walks an operator through the life of a document and a drain. It
// guards against wrong exit codes, and against refusals without their remedy.
func TestEdits(t *testing.T) {
	p := startConfigServer(t, longTimeout)
	mine := filepath.Join(t.TempDir(), "mine.yaml")
	write := func(s string) { assert.NilError(t, os.WriteFile(mine, []byte(s), 0o600)) }
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
	expect(exitOK, "", "quotes", "service", "diff", mine)
	write(strings.Replace(got, "wanted: 6", "wanted: 7", 1))
	expect(exitDiffers, "+  wanted: 7", "quotes", "service", "diff", mine)
	expect(exitOK, "revision  2", "quotes", "service", "apply", mine)
	expect(exitConflict, "at revision 2, not 1", "quotes", "service", "apply", mine)
	write(strings.Replace(got, "wanted: 6", "wanted: 3", 1))
	expect(exitInvalid, "mine.yaml:10: replicas.minimum", "quotes", "service", "apply", mine)

	expect(exitNotFound, "dc-a, dc-b", "quotes", "datacentre", "drain", "dc-c")
	expect(exitOK, "revision  3", "quotes", "datacentre", "drain", "dc-a", "-m", "power work")
	assert.Assert(t, p.View().Drains.Covers("i", "dc-a", ""))
	expect(exitOK, "power work", "orders", "status")
	expect(exitConflict, "revision 3, not 0", "quotes", "datacentre", "restore", "dc-a", "--revision", "0")
	expect(exitOK, "revision  4", "orders", "datacentre", "restore", "dc-a")
	assert.Assert(t, !p.View().Drains.Covers("i", "dc-a", ""))
	expect(exitOK, "revision  5", "quotes", "partner", "withdraw", "firm", "--force")
	expect(exitOK, "revision  6", "quotes", "service", "delete", "quotes")
	expect(exitNotFound, "", "quotes", "service", "delete", "quotes")
}

// TestStoreFaults guards against an edit reported as refused that applied, and
// against an outage without its own exit code.
func TestStoreFaults(t *testing.T) {
	p := startConfigServer(t, longTimeout)
	p.store.SetFaults(standin.Faults{LoseAnswers: 1})
	code, out := p.runTool("quotes", "service", "apply", examplePath("quotes.yaml"))
	assert.Equal(t, code, exitOK, out)
	assert.Equal(t, p.store.Counts().LostAnswers, uint64(1))
	assert.Equal(t, p.View().Revision, ident.Revision(1))

	// The store refuses the reads before a commit too, so that the limit ends the
	// edit before its commit, however late.
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

// TestReplay guards against a replay that passes a broken expectation or trace.
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

// TestCheck guards against a check that accepts a broken file, and against
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

// TestExplain guards against an explanation that misses the request's own line
// or hides that there is none.
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
