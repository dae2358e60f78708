package gateway

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/telemetry"
)

// TestRefusalBeforeRecord guards against a refusal that says "not run" to a
// retry whose earlier call may have run.
func TestRefusalBeforeRecord(t *testing.T) {
	g := New(Options{Metrics: telemetry.New(), Now: nil})
	refuse := func(context.Context, *Request) (*Answer, error) { return nil, ProblemAccountLimit.With("rate") }
	for name, c := range map[string]struct {
		request Request
		want    Outcome
	}{
		"retry":         {Request{IdempotencyKey: "k"}, OutcomeUnknown},
		"first call":    {Request{IdempotencyKey: "k", FirstCall: true}, OutcomeNotRun},
		"recorded":      {Request{IdempotencyKey: "k", reachedRecord: true}, OutcomeNotRun},
		"idempotent":    {Request{IdempotencyKey: "k", Idempotent: true}, OutcomeNotRun},
		"without a key": {Request{}, OutcomeNotRun},
	} {
		r := c.request
		_, err := g.account(refuse)(t.Context(), &r)
		assert.Equal(t, asProblem(err).Outcome, c.want, name)
	}
	g.cancel()
}
