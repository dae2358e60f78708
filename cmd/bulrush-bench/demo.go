package main

import (
	"context"
	"fmt"
	"os"

	"github.com/integrii/flaggy"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/experiment"
)

func demoSubcommand() subcommand {
	keep := false
	sub := flaggy.NewSubcommand("demo")
	sub.Description = "seven entry instances in three data centres with stand-ins: streams, orders, a drain"
	sub.Bool(&keep, "", "keep", "keep the processes running and print lines to try")
	return subcommand{sub: sub, run: func(ctx context.Context, binDir string) error {
		if keep {
			return keepRunning(ctx, binDir)
		}
		return experiment.Move(ctx, os.Stdout, binDir, experiment.DemoMove())
	}}
}

// keepRunning starts the processes of the demo and keeps them until a signal
// cancels ctx.
func keepRunning(ctx context.Context, binDir string) error {
	c, err := experiment.StartServing(ctx, cluster.DefaultConfig(binDir))
	if err != nil {
		return err
	}
	defer c.Close()
	printExampleCommands(c)
	<-ctx.Done()
	return nil
}

// printExampleCommands prints commands to try against a running cluster.
func printExampleCommands(c *cluster.Cluster) {
	callers, operators := c.Entries[0].CallerAddress, c.Entries[0].OperatorAddress
	fmt.Printf("curl -s http://%s/v1/lookup\n", callers)
	fmt.Printf("curl -sN -H 'Authorization: Bearer %s' -d '{\"model\":\"%s\",\"prompt\":\"hello\",\"max_tokens\":20,\"stream\":true}' http://%s/v1/completions\n",
		cluster.AccountKey(0), cluster.ModelService, callers)
	fmt.Printf("curl -s -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' -d '{\"id\":\"order-1\"}' http://%s/services/%s/orders\n",
		cluster.AccountKey(0), callers, cluster.OrderService)
	fmt.Printf("BULRUSH_TOKEN=%s bin/bulrushctl --address %s status\n", cluster.TeamToken, operators)
	fmt.Printf("BULRUSH_TOKEN=%s bin/bulrushctl --address %s datacentre drain %s\n", cluster.TeamToken, operators, c.Entries[0].DataCentre)
	fmt.Printf("curl -s http://%s/metrics\n", operators)
	fmt.Println("press Ctrl-C to end")
}
