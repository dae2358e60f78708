package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/service"
)

// TestLargeAccount guards against an account that sends ten times its share and raises
// the 95th percentile of the others' times by more than a tenth.
func TestLargeAccount(t *testing.T) {
	for _, slots := range []int{23, 64} {
		load := fairLoad{queue: admission.DefaultConfig(), slots: slots, firstAccountFactor: 1, duration: fairDuration / 3, seed: 1}
		equal := runFairness(load)
		load.firstAccountFactor = 10
		large := runFairness(load)
		for _, c := range []struct {
			name          string
			before, after []time.Duration
		}{{"first token", equal.othersFirstToken(), large.othersFirstToken()}, {"whole answer", equal.wholeAnswer, large.wholeAnswer}} {
			before, after := percentile(c.before, 95), percentile(c.after, 95)
			assert.Assert(t, after <= before+before/10, "%d slots, %s: p95 %v at its share, %v at ten times", slots, c.name, before, after)
		}
	}
}

// TestCapacityLoss guards against a loss of capacity that causes refusals in the rush
// class, and against batch requests that never start.
func TestCapacityLoss(t *testing.T) {
	r := runFairness(capacityLossLoad())
	refused := func(c service.Class) float64 { return float64(r.refused[c]) / float64(r.refused[c]+r.started[c]) }
	assert.Assert(t, refused(service.ClassRush) < 0.02, "rush refused %.3f", refused(service.ClassRush))
	assert.Assert(t, refused(service.ClassBatch) > refused(service.ClassInteractive))
	assert.Assert(t, r.started[service.ClassBatch] > 0)
}

// TestPolicies guards against a default routing policy that is no better than the
// baselines in first-token time or in cached prompt tokens.
func TestPolicies(t *testing.T) {
	trace := generateRouteTrace(1, 20*time.Second, 150)
	best := runRouting(trace, 40, routingPolicies[3].make)
	for _, p := range routingPolicies[:3] {
		m := runRouting(trace, 40, p.make)
		assert.Assert(t, percentile(best.firstTokens, 50) < percentile(m.firstTokens, 50), p.name)
		assert.Assert(t, percentile(best.firstTokens, 95) < percentile(m.firstTokens, 95), p.name)
		assert.Assert(t, best.cachedTokens > m.cachedTokens, p.name)
	}
}

// TestColdModel guards against a backend server that gets more requests than its cold
// limit during a cold start. Static shares exceed the limit, which shows that the model
// detects the fault.
func TestColdModel(t *testing.T) {
	m := runCold(1, true)
	assert.Equal(t, m.overloads, 0)
	assert.Assert(t, m.startedCold > coldRestarts)
	assert.Assert(t, runCold(1, false).overloads > coldRestarts/2)
}
