package integration

import (
	"fmt"
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
	"github.com/bulrushfall/bulrushfall/platform"
	standinengine "github.com/bulrushfall/bulrushfall/standin/engine"
)

// TestMemberKilledMidStream guards against streams that die with a member of
// their group.
func TestMemberKilledMidStream(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.serve()
	p := prompts(t, 6)
	results := r.streams(r.c.Entries, p)
	victim := r.waitRunning(p)[0]
	var status engine.Status
	assert.Assert(t, r.get("http://"+victim.leader.Address+"/status", &status))
	for _, e := range r.engines {
		var s engine.Status
		if r.get("http://"+e.Address+"/status", &s) && s.Group == status.Group && s.Rank != 0 {
			r.post("http://"+e.Address+"/debug/crash", nil)
			break
		}
	}
	allAnswered(t, results())
	var rec standinengine.Record
	assert.Assert(t, r.get("http://"+victim.leader.Address+"/debug/record", &rec))
	assert.Assert(t, has(rec, standinengine.EventMemberLost), "no member was lost")
	r.judge()
}

func has(rec standinengine.Record, kind standinengine.EventKind) bool {
	for _, e := range rec.Events {
		if e.Kind == kind {
			return true
		}
	}
	return false
}

// TestDataCentreOfEnginesKilled guards against streams that die when all
// engines of a data centre die at once.
func TestDataCentreOfEnginesKilled(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.serve()
	p := prompts(t, 6)
	results := r.streams(r.c.Entries, p)
	inA := 0
	for _, s := range r.waitRunning(p) {
		if s.leader.DataCentre == "dc-a" {
			inA++
		}
	}
	assert.Assert(t, inA > 0, "no stream runs in the data centre that dies")
	r.c.Engines[0].Kill()
	allAnswered(t, results())
	r.judge()
}

// TestSilentConnections guards against requests that wait for ever on
// established connections that carry nothing, while new ones work.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.interpose()
	r.serve()
	r.wait("every entry polls through the proxy", func() bool {
		for _, e := range r.engines {
			if c, err := r.proxy.Counters(string(e.ID)); err != nil || c.Connections < uint64(len(r.c.Entries)) {
				return false
			}
		}
		return true
	})
	p := prompts(t, 6)
	results := r.streams(r.c.Entries, p)
	r.waitRunning(p)
	for _, l := range r.proxy.Links() {
		assert.NilError(t, r.proxy.Silence(l.Name))
	}
	allAnswered(t, results())
	var silenced, held uint64
	for _, l := range r.proxy.Links() {
		c, err := r.proxy.Counters(l.Name)
		assert.NilError(t, err)
		silenced, held = silenced+c.Silenced, held+c.Held
	}
	assert.Assert(t, silenced >= uint64(len(p)) && held >= uint64(len(p)), "%d silenced, %d held", silenced, held)
	r.judge()
}

// TestGracefulShutdown guards against a shutdown that cuts running streams, or
// that never ends.
func TestGracefulShutdown(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.serve()
	leaving := r.c.Entries[0]
	p := prompts(t, 6)
	results := r.streams([]*cluster.Entry{leaving}, p)
	r.waitRunning(p)
	r.history.Shutdowns = append(r.history.Shutdowns, check.Shutdown{Entry: leaving.Instance, At: time.Now()})
	assert.NilError(t, leaving.Signal(syscall.SIGTERM))
	assert.Assert(t, len(r.runningStreams(p, 0)) > 0, "no stream was running at the shutdown")
	allAnswered(t, results())
	select {
	case <-leaving.Done():
		assert.NilError(t, leaving.Err())
	case <-time.After(deadline):
		t.Fatal("the process did not end")
	}
	r.judge()
}

// TestPausedEntryMissesReassignment guards against an entry that wakes up and
// sends requests to a group that was dissolved while it was paused. The engines
// ignore fencing tokens, so nothing but the entry prevents it.
func TestPausedEntryMissesReassignment(t *testing.T) {
	t.Parallel()
	r := startRig(t, func(c *cluster.Config) { c.EngineFlags = append(c.EngineFlags, "--ignore-fencing") })
	r.serve()
	paused := r.c.Entries[0]
	assert.NilError(t, paused.Signal(syscall.SIGSTOP))
	r.wait("the entry is stopped", func() bool { return processState(t, paused.PID()) == "T" })
	stopped := time.Now()
	p := prompts(t, 12)
	results := r.streams([]*cluster.Entry{paused}, p)
	// Each group in one data centre swaps its members' ranks under a new name.
	var members []platform.Instance
	for _, e := range r.engines {
		if e.DataCentre == "dc-a" {
			members = append(members, e)
		}
	}
	regroup(t, r, members)
	r.wait("the confirmations of the paused entry are stale", func() bool { return time.Since(stopped) > 2*time.Second })
	assert.NilError(t, paused.Signal(syscall.SIGCONT))
	allAnswered(t, results())
	r.judge()
}

// regroup dissolves the groups of engines and forms new ones with other
// members: the first with the third, the second with the fourth.
func regroup(t *testing.T, r *rig, e []platform.Instance) {
	t.Helper()
	assert.Equal(t, len(e), 4)
	for _, inst := range e {
		var s engine.Status
		assert.Assert(t, r.get("http://"+inst.Address+"/status", &s))
		r.post("http://"+inst.Address+"/admin/release", engine.ReleaseCommand{Fencing: 2, Group: s.Group, Epoch: s.Epoch})
	}
	for i, pair := range [][]platform.Instance{{e[0], e[2]}, {e[1], e[3]}} {
		cmd := engine.AssignCommand{
			Fencing: 2, Group: ident.GroupID(fmt.Sprintf("regrouped-%d", i)), Epoch: 2, Service: cluster.ModelService,
			Role: engine.RoleCombined, Model: "base-model", Version: "1",
		}
		for _, m := range pair {
			cmd.Members = append(cmd.Members, engine.Member{Instance: m.ID, Address: m.Address})
		}
		for rank, m := range pair {
			cmd.Rank = rank
			r.post("http://"+m.Address+"/admin/assign", cmd)
		}
	}
}

// processState returns the state letter of a process from the proc file system.
func processState(t *testing.T, pid int) string {
	t.Helper()
	b, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/stat")
	assert.NilError(t, err)
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	return fields[0]
}
