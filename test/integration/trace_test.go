package integration

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/trace/machines"
)

// runTool runs bulrushctl against an entry instance and returns its exit code and
// standard output.
func (r *rig) runTool(e *cluster.Entry, args ...string) (int, []byte) {
	r.t.Helper()
	var out, errs bytes.Buffer
	cmd := exec.CommandContext(r.ctx, filepath.Join(binDir, "bulrushctl"), append([]string{"--address", e.OperatorAddress}, args...)...)
	cmd.Env = append(os.Environ(), "BULRUSH_TOKEN="+cluster.TeamToken)
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		assert.NilError(r.t, err)
	}
	if errs.Len() > 0 {
		r.t.Logf("bulrushctl %v: %s", args, errs.Bytes())
	}
	return cmd.ProcessState.ExitCode(), out.Bytes()
}

// TestRecordedTraceReplays guards against a recorder that omits events that the
// decision machines need, or that records prompts or keys of callers. It records a
// run in which a group member crashes and a data centre is drained, replays the
// trace and compares the outcomes with the files in testdata.
func TestRecordedTraceReplays(t *testing.T) {
	t.Parallel()
	const (
		exitConflict = 4
		exitNotFound = 8
		secretText   = "the customer's own words"
	)
	r := startRig(t, nil)
	r.waitServing()
	holder := r.leaseHolder()
	code, _ := r.runTool(holder, "trace", "get")
	assert.Equal(t, code, exitNotFound)
	for _, e := range r.testCluster.Entries {
		code, _ = r.runTool(e, "trace", "start")
		assert.Equal(t, code, 0)
	}
	code, _ = r.runTool(holder, "trace", "start")
	assert.Equal(t, code, exitConflict)

	var n atomic.Int64
	stopLoad := startWorkers(t, 6, func(_ context.Context, worker int) {
		res := r.stream(r.testCluster.Entries[worker%3], fmt.Sprintf("%s %d %s", secretText, worker, t.Name()+fmt.Sprint(n.Add(1))), 20)
		assert.Check(t, res.Outcome == load.Answered, "%s %s", res.Outcome, res.Detail)
	})
	defer stopLoad()
	r.waitUntil("requests before the crash", func() bool { return n.Load() > 40 })
	r.crashMember(r.leaders()[0])
	r.waitGroups()
	before := n.Load()
	r.waitUntil("requests after the crash", func() bool { return n.Load() > before+40 })
	code, _ = r.runTool(holder, "datacentre", "drain", "dc-b")
	assert.Equal(t, code, 0)
	before = n.Load()
	r.waitUntil("requests during the drain", func() bool { return n.Load() > before+40 })
	stopLoad()

	for _, e := range r.testCluster.Entries {
		code, _ = r.runTool(e, "trace", "stop")
		assert.Equal(t, code, 0)
		code, text := r.runTool(e, "trace", "get")
		assert.Equal(t, code, 0)
		for _, secret := range []string{secretText, cluster.AccountKey(0), cluster.TeamToken} {
			assert.Assert(t, !bytes.Contains(text, []byte(secret)), "the trace contains %q", secret)
		}
		file := filepath.Join(t.TempDir(), string(e.Instance)+".jsonl")
		assert.NilError(t, os.WriteFile(file, text, 0o600))
		expect, machineNames := filepath.Join("testdata", "recorded-follower.expect.yaml"), []string{"choice", "group"}
		if e == holder {
			expect, machineNames = filepath.Join("testdata", "recorded-holder.expect.yaml"), machines.Names()
		}
		code, unmet := r.runTool(e, "trace", "replay", file, "--expect", expect)
		assert.Equal(t, code, 0, "%s: %s", e.Instance, unmet)
		var first, second bytes.Buffer
		for _, log := range []*bytes.Buffer{&first, &second} {
			_, _, err := machines.Replay(bytes.NewReader(text), log, machineNames...)
			assert.NilError(t, err)
		}
		assert.Assert(t, bytes.Equal(first.Bytes(), second.Bytes()), "two replays differ")
		if dir := os.Getenv("BULRUSH_TRACES"); dir != "" {
			assert.NilError(t, os.WriteFile(filepath.Join(dir, string(e.Instance)+".jsonl"), text, 0o600))
		}
	}
	r.checkHistory()
}
