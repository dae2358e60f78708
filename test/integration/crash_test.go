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

// TestCrashingRequestResent guards against a request that crashes one backend
// server after another while its caller resends it, and against failures of other
// requests because of it.
func TestCrashingRequestResent(t *testing.T) {
	t.Parallel()
	const crashMarker = "crash marker"
	r := startRig(t, func(c *cluster.Config) { c.EngineFlags = append(c.EngineFlags, "--poison", crashMarker) })
	r.waitServing()
	stopLoad := r.startBackgroundStreams(4, 20, load.Answered)
	defer stopLoad()
	c := load.NewCaller(cluster.AccountKey(0), []string{r.testCluster.Entries[0].CallerAddress})
	defer c.Close()
	// Once the request is convicted of crashes, every entry refuses it.
	convicted := false
	for i := range 50 {
		res := c.StreamAt(r.ctx, r.testCluster.Entries[i%3].CallerAddress, request(crashMarker, 10), waitTimeout)
		assert.Assert(t, res.Outcome != load.Answered)
		refused := strings.Contains(res.Detail, "request-crashes-backends")
		assert.Assert(t, refused || !convicted, "resend %d: %s %s", i, res.Outcome, res.Detail)
		convicted = convicted || refused
	}
	assert.Assert(t, convicted)
	stopLoad()
	r.assertCrashes(crashMarker, 1, 2)
	r.checkHistory()
}

// TestFirstCopiesAtOnce guards against copies of a crashing request that crash
// more than two backend servers when they are sent concurrently through all entry
// instances before the first crash, and against failures of other requests
// because of them.
func TestFirstCopiesAtOnce(t *testing.T) {
	t.Parallel()
	const crashMarker, copies = "crash marker", 50
	r := startRig(t, func(c *cluster.Config) { c.EngineFlags = append(c.EngineFlags, "--poison", crashMarker) })
	r.waitServing()
	stopLoad := r.startBackgroundStreams(2, 20, load.Answered)
	defer stopLoad()
	results := make([]load.Result, copies)
	var wg sync.WaitGroup
	for i := range copies {
		wg.Go(func() {
			c := load.NewCaller(cluster.AccountKey(0), []string{r.testCluster.Entries[i%3].CallerAddress})
			defer c.Close()
			results[i] = c.StreamAt(r.ctx, r.testCluster.Entries[i%3].CallerAddress, request(crashMarker, 10), waitTimeout)
		})
	}
	wg.Wait()
	stopLoad()
	for i, res := range results {
		assert.Assert(t, strings.Contains(res.Detail, "request-crashes-backends"), "copy %d: %s %s", i, res.Outcome, res.Detail)
	}
	// The first crash makes the request a suspect, and the crash of its isolated run
	// convicts it. Without the second crash, its copies would not be refused.
	r.assertCrashes(crashMarker, 2, 2)
	r.checkHistory()
}

// assertCrashes asserts that a request crashed between least and most backend
// servers, and that none crashed for another reason.
func (r *rig) assertCrashes(crashMarker string, least, most int) {
	r.t.Helper()
	crashes := 0
	for _, e := range r.engines {
		for _, ev := range r.engineRecord(e).Events {
			if ev.Kind == standinengine.EventCrash {
				assert.Assert(r.t, strings.Contains(ev.Detail, "request crashes the engine"), "%s crashed: %s", e.ID, ev.Detail)
				crashes++
			}
		}
	}
	assert.Assert(r.t, crashes >= least && crashes <= most, "%d backend servers crashed because of %q", crashes, crashMarker)
}
