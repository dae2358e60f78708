package experiment

import (
	"context"
	"time"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/service"
)

// servingTimeout is the maximum wait for the first answer.
const servingTimeout = 30 * time.Second

// callerAddresses returns the addresses for callers of all entry instances.
func callerAddresses(c *cluster.Cluster) []string {
	var out []string
	for _, e := range c.Entries {
		out = append(out, e.CallerAddress)
	}
	return out
}

// StartServing starts a cluster and waits until its first service, which must be a model
// service, has formed its groups and answers. The caller must close the cluster.
func StartServing(ctx context.Context, cfg cluster.Config) (*cluster.Cluster, error) {
	doc, err := service.Parse([]byte(cfg.Documents[0]))
	if err != nil {
		return nil, err
	}
	c, err := cluster.Start(ctx, cfg)
	if err != nil {
		return nil, err
	}
	if err = c.WaitForGroups(ctx, doc); err == nil {
		err = waitServing(ctx, c)
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

// waitServing waits until a completion is answered.
func waitServing(ctx context.Context, c *cluster.Cluster) error {
	caller := load.NewCaller(cluster.AccountKey(0), callerAddresses(c))
	defer caller.Close()
	req := engine.CompletionRequest{Model: cluster.ModelService, Prompt: "first request", MaxTokens: 4}
	return cluster.WaitUntil(ctx, servingTimeout, "a completion is answered", func() bool {
		return caller.Stream(ctx, req, time.Minute).Outcome == load.Answered
	})
}
