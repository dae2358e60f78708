package gateway

import (
	"testing"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
)

// newBalancedHarness starts a gateway with a Balancer whose groups are the engines.
func newBalancedHarness(t *testing.T, engines ...*pausingEngine) *harness {
	var b *Balancer
	h := newPausingHarness(t, engines, func(o *Options) { routeWithBalancer(t, &b, 20*time.Millisecond)(o) })
	h.waitFor("credits are granted", func() bool {
		s := b.scheduler(testService)
		s.mu.Lock()
		defer s.mu.Unlock()
		if len(s.targets) != len(engines) {
			return false
		}
		for i := range s.targets {
			if s.holder.FreeCredits(b.now(), s.targets[i].backend, true) == 0 {
				return false
			}
		}
		return true
	})
	return h
}

// TestLastCandidateIsWaitedFor guards against an answer that ends because the only group that is
// left takes longer than ProgressTimeout to accept the request, after the silent engine has broken
// off.
func TestLastCandidateIsWaitedFor(t *testing.T) {
	silent := startPausingEngine(t, 0, func(e *pausingEngine) { e.tokenPause, e.breaks = enginePause, true })
	other := startPausingEngine(t, 1, func(e *pausingEngine) { e.headerPause = enginePause })
	newBalancedHarness(t, silent, other).assertWhole(true)
}

// TestAcceptingGroupBreaksOff guards against an answer that ends because the group that has
// accepted the request breaks off before its first token, although the silent engine is sound.
func TestAcceptingGroupBreaksOff(t *testing.T) {
	silent := startPausingEngine(t, 0, func(e *pausingEngine) { e.tokenPause = enginePause })
	other := startPausingEngine(t, 1, func(e *pausingEngine) { e.tokenPause, e.breaks = 200*time.Millisecond, true })
	newBalancedHarness(t, silent, other).assertWhole(true)
}

// TestAcceptingGroupHangs guards against an answer that ends because the group that has accepted
// the request sends nothing, although the silent engine is sound.
func TestAcceptingGroupHangs(t *testing.T) {
	silent := startPausingEngine(t, 0, func(e *pausingEngine) { e.tokenPause = enginePause })
	other := startPausingEngine(t, 1, func(e *pausingEngine) { e.tokenPause = time.Hour })
	h := newBalancedHarness(t, silent, other)
	h.gateway.minSilenceLimit = 3 * engine.ProgressTimeout
	h.assertWhole(true)
}
