package integration

import (
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/load"
	standinengine "github.com/bulrushfall/bulrushfall/standin/engine"
)

// TestCrashingRequestResent guards against a request that takes one backend
// server after the other with it while its caller resends it, and against other
// requests that suffer from it.
func TestCrashingRequestResent(t *testing.T) {
	t.Parallel()
	const poison = "crash marker"
	r := startRig(t, func(c *cluster.Config) { c.EngineFlags = append(c.EngineFlags, "--poison", poison) })
	r.waitServing()
	stopLoad := r.startBackgroundStreams(4, 20, load.Answered)
	defer stopLoad()
	c := load.NewCaller(cluster.AccountKey(0), []string{r.testCluster.Entries[0].Callers})
	defer c.Close()
	// Once it is convicted, every entry refuses it.
	convicted := false
	for i := range 50 {
		res := c.StreamAt(r.ctx, r.testCluster.Entries[i%3].Callers, request(poison, 10), waitTimeout)
		assert.Assert(t, res.Outcome != load.Answered)
		refused := strings.Contains(res.Detail, "request-crashes-backends")
		assert.Assert(t, refused || !convicted, "resend %d: %s %s", i, res.Outcome, res.Detail)
		convicted = convicted || refused
	}
	assert.Assert(t, convicted)
	stopLoad()
	r.assertCrashes(poison, 1, 2)
	r.checkHistory()
}

// TestFirstCopiesAtOnce guards against first copies of a crashing request, sent
// at once through all entry instances before anything is known, that cost more
// than two backend servers, and against other requests that suffer from it.
func TestFirstCopiesAtOnce(t *testing.T) {
	t.Parallel()
	const poison, copies = "crash marker", 50
	r := startRig(t, func(c *cluster.Config) { c.EngineFlags = append(c.EngineFlags, "--poison", poison) })
	r.waitServing()
	stopLoad := r.startBackgroundStreams(2, 20, load.Answered)
	defer stopLoad()
	results := make([]load.Result, copies)
	var wg sync.WaitGroup
	for i := range copies {
		wg.Go(func() {
			c := load.NewCaller(cluster.AccountKey(0), []string{r.testCluster.Entries[i%3].Callers})
			defer c.Close()
			results[i] = c.StreamAt(r.ctx, r.testCluster.Entries[i%3].Callers, request(poison, 10), waitTimeout)
		})
	}
	wg.Wait()
	stopLoad()
	for i, res := range results {
		assert.Assert(t, strings.Contains(res.Detail, "request-crashes-backends"), "copy %d: %s %s", i, res.Outcome, res.Detail)
	}
	r.assertCrashes(poison, 2, 2)
	r.checkHistory()
}

// assertCrashes asserts how many backend servers a request crashed, and that none
// died for another reason.
func (r *rig) assertCrashes(poison string, least, most int) {
	r.t.Helper()
	crashes := 0
	for _, e := range r.engines {
		for _, ev := range r.engineRecord(e).Events {
			if ev.Kind == standinengine.EventCrash {
				assert.Assert(r.t, strings.Contains(ev.Detail, "request crashes the engine"), "%s died: %s", e.ID, ev.Detail)
				crashes++
			}
		}
	}
	assert.Assert(r.t, crashes >= least && crashes <= most, "%d backend servers died of %q", crashes, poison)
}
