package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

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
// off, and against further attempts at that group while it is waited for.
func TestLastCandidateIsWaitedFor(t *testing.T) {
	silent := startPausingEngine(t, 0, func(e *pausingEngine) { e.tokenPause, e.breaks = enginePause, true })
	other := startPausingEngine(t, 1, func(e *pausingEngine) { e.headerPause = enginePause })
	newBalancedHarness(t, silent, other).assertWhole(true)
	resumed, _, _ := other.attempts()
	assert.Assert(t, len(resumed) <= 2, "%v", resumed) // before and after the silent engine's tokens
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

// TestSilentCandidateGoesOn guards against an answer that ends because the group that was found
// first hangs, and the sound one that was found next is silent for longer than ProgressTimeout.
func TestSilentCandidateGoesOn(t *testing.T) {
	hanging := startPausingEngine(t, 0, func(e *pausingEngine) { e.tokenPause = time.Hour })
	sound := startPausingEngine(t, 1, func(e *pausingEngine) { e.tokenPause = enginePause })
	h := newPausingHarness(t, []*pausingEngine{hanging, sound}, nil)
	h.gateway.minSilenceLimit = 3 * engine.ProgressTimeout
	h.assertWhole(true)
	resumed, canceled, _ := sound.attempts()
	assert.DeepEqual(t, resumed, []int{pauseOffset})
	assert.Equal(t, canceled, 0)
	h.waitFor("the hanging attempt is canceled", func() bool { _, canceled, _ := hanging.attempts(); return canceled == 1 })
}

// TestSilentCandidateReplaced guards against a search that waits for a silent group although a
// third one can take the request over, and against attempts that go on unused.
func TestSilentCandidateReplaced(t *testing.T) {
	hang := func(e *pausingEngine) { e.tokenPause = time.Hour }
	hanging := []*pausingEngine{startPausingEngine(t, 0, hang), startPausingEngine(t, 1, hang)}
	sound := startPausingEngine(t, 2, nil)
	h := newPausingHarness(t, append(hanging, sound), nil)
	begin := time.Now()
	h.assertWhole(true)
	assert.Assert(t, time.Since(begin) < 2*engine.ProgressTimeout+moveLimit, "%s", time.Since(begin))
	resumed, _, _ := sound.attempts()
	assert.DeepEqual(t, resumed, []int{pauseOffset})
	for _, e := range hanging {
		h.waitFor("the hanging attempt is canceled", func() bool { _, canceled, running := e.attempts(); return canceled == 1 && running == 0 })
	}
}

// TestSilentEngineGoesOnBesideCandidate guards against an attempt that goes on unused when the silent
// engine sends again while the group that was found is silent too.
func TestSilentEngineGoesOnBesideCandidate(t *testing.T) {
	silent := startPausingEngine(t, 0, func(e *pausingEngine) { e.tokenPause = 2*engine.ProgressTimeout + engine.ProgressTimeout/2 })
	other := startPausingEngine(t, 1, func(e *pausingEngine) { e.headerPause = time.Hour })
	h := newPausingHarness(t, []*pausingEngine{silent, other}, nil)
	h.assertWhole(true)
	resumed, canceled, _ := silent.attempts()
	assert.DeepEqual(t, resumed, []int{0})
	assert.Equal(t, canceled, 0)
	h.waitFor("the other attempt is canceled", func() bool { _, canceled, running := other.attempts(); return canceled == 1 && running == 0 })
}
