package integration

import (
	"context"
	"fmt"
	"strings"
	"sync/atomic"
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
	r.serve()
	var n atomic.Int64
	stopLoad := background(t, 4, func(_ context.Context, worker int) {
		res := r.stream(r.c.Entries[worker%3], fmt.Sprintf("%s %d", t.Name(), n.Add(1)), 20)
		assert.Check(t, res.Outcome == load.Answered, "%s %s", res.Outcome, res.Detail)
	})
	defer stopLoad()
	c := load.NewCaller(cluster.AccountKey(0), []string{r.c.Entries[0].Callers})
	defer c.Close()
	// Once it is convicted, every entry refuses it.
	convicted := false
	for i := range 50 {
		res := c.StreamAt(r.ctx, r.c.Entries[i%3].Callers, request(poison, 10), deadline)
		assert.Assert(t, res.Outcome != load.Answered)
		refused := strings.Contains(res.Detail, "request-crashes-backends")
		assert.Assert(t, refused || !convicted, "resend %d: %s %s", i, res.Outcome, res.Detail)
		convicted = convicted || refused
	}
	assert.Assert(t, convicted)
	stopLoad()
	crashes := 0
	for _, e := range r.engines {
		for _, ev := range r.engineRecord(e).Events {
			if ev.Kind == standinengine.EventCrash {
				assert.Assert(t, strings.Contains(ev.Detail, "request crashes the engine"), "%s died: %s", e.ID, ev.Detail)
				crashes++
			}
		}
	}
	assert.Assert(t, crashes >= 1 && crashes <= 2, "%d backend servers died", crashes)
	r.judge()
}
