package experiment

import (
	"context"
	"time"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/load"
)

// servingWait bounds the wait for the first answer.
const servingWait = 30 * time.Second

// seeds returns the callers' addresses of all entry instances.
func seeds(c *cluster.Cluster) []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, e.Callers)
	}
	return out
}

// waitServing waits until a completion is answered.
func waitServing(ctx context.Context, c *cluster.Cluster) error {
	caller := load.NewCaller(cluster.AccountKey(0), seeds(c))
	defer caller.Close()
	req := engine.CompletionRequest{Model: cluster.ModelService, Prompt: "first request", MaxTokens: 4}
	return cluster.Wait(ctx, servingWait, "a completion is answered", func() bool {
		return caller.Stream(ctx, req, time.Minute).Outcome == load.Answered
	})
}
