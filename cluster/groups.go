package cluster

import (
	"context"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/group"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/service"
	"github.com/bulrushfall/bulrushfall/view"
)

// groupFormationTimeout bounds the wait until the entry instances have formed the
// groups of a service: a lease, a transaction per group and the loading of
// weights.
const groupFormationTimeout = 60 * time.Second

// WaitForGroups waits until the entry instances have formed the number of groups
// that a document requests.
func (c *Cluster) WaitForGroups(ctx context.Context, doc service.Document) error {
	return WaitUntil(ctx, groupFormationTimeout, "the wanted groups are ready", func() bool {
		groups, err := c.Groups(ctx, doc)
		return err == nil && len(groups) >= doc.Replicas.Wanted
	})
}

// Groups polls the engines and returns the groups of a service that all members
// confirm.
func (c *Cluster) Groups(ctx context.Context, doc service.Document) ([]*view.Group, error) {
	instances, err := c.Instances(ctx)
	if err != nil {
		return nil, err
	}
	control := engine.NewControl()
	var polled []group.PolledInstance
	for _, inst := range instances {
		if inst.Kind != infra.KindEngine {
			continue
		}
		s, err := control.Status(ctx, inst.Address)
		polled = append(polled, group.PolledInstance{Info: inst, Report: group.Report{Instance: inst.ID, OK: err == nil, Status: s}})
	}
	// The polls have no times, so now is 0 and none of them expires.
	return group.Confirmed(&doc, polled, 0), nil
}
