package gateway

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/telemetry"
)

// TestRefusalOutcomeOfRetry guards against a refusal with the outcome "not-run"
// for a retry whose earlier call may have run.
func TestRefusalOutcomeOfRetry(t *testing.T) {
	g := New(Options{Metrics: telemetry.New(), Now: nil})
	refuse := func(context.Context, *Request) (*Answer, error) { return nil, ProblemAccountLimit.WithDetail("rate") }
	for name, c := range map[string]struct {
		request Request
		want    Outcome
	}{
		"retry":         {Request{IdempotencyKey: "k"}, OutcomeUnknown},
		"first call":    {Request{IdempotencyKey: "k", FirstCall: true}, OutcomeNotRun},
		"recorded":      {Request{IdempotencyKey: "k", reachedAtMostOnce: true}, OutcomeNotRun},
		"idempotent":    {Request{IdempotencyKey: "k", Idempotent: true}, OutcomeNotRun},
		"without a key": {Request{}, OutcomeNotRun},
	} {
		r := c.request
		_, err := g.recordOutcome(refuse)(t.Context(), &r)
		assert.Equal(t, asProblem(err).Outcome, c.want, name)
	}
	g.cancel()
}

// TestDrainingRemovedFromLookup guards against lookup answers that send callers to
// an entry instance that shuts down, and against connections to it that are kept
// open.
func TestDrainingRemovedFromLookup(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime = 0, 0
	h := newHarness(t, 1, cfg, nil)
	look := func() (LookupAnswer, bool) {
		resp, err := http.Get(h.url + lookupPath)
		assert.NilError(t, err)
		defer func() { _ = resp.Body.Close() }()
		var a LookupAnswer
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&a))
		return a, resp.Close
	}
	a, closed := look()
	assert.Assert(t, len(a.Addresses) == 1 && !closed)
	h.gateway.SetDraining()
	a, closed = look()
	assert.Assert(t, len(a.Addresses) == 0 && closed)
}
