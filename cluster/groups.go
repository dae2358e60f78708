package cluster

import (
	"context"
	"fmt"
	"sort"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/platform"
	"github.com/bulrushfall/bulrushfall/service"
)

// FormGroups assigns idle engines to groups by direct commands. It serves
// clusters whose entry instances run without a planner.
func (c *Cluster) FormGroups(ctx context.Context, doc service.Document) error {
	instances, err := c.Instances(ctx)
	if err != nil {
		return err
	}
	byDomain := make(map[ident.Domain][]platform.Instance)
	for _, inst := range instances {
		if inst.Kind == platform.KindEngine {
			byDomain[inst.Domain] = append(byDomain[inst.Domain], inst)
		}
	}
	domains := make([]string, 0, len(byDomain))
	for d := range byDomain {
		domains = append(domains, string(d))
	}
	sort.Strings(domains)
	control, n := engine.NewControl(), 0
	for _, d := range domains {
		members := byDomain[ident.Domain(d)]
		size := doc.Replicas.InstancesPerReplica
		for len(members) >= size && n < doc.Replicas.Wanted {
			if err := assign(ctx, control, doc, ident.GroupID(fmt.Sprintf("group-%d", n)), members[:size]); err != nil {
				return err
			}
			members = members[size:]
			n++
		}
	}
	return nil
}

func assign(ctx context.Context, control *engine.Control, doc service.Document, id ident.GroupID, members []platform.Instance) error {
	cmd := engine.AssignCommand{
		Fencing: 1, Group: id, Epoch: 1, Service: doc.Service, Role: engine.RoleCombined,
		Model: doc.Model.Name, Version: doc.Model.Version,
	}
	for _, m := range members {
		cmd.Members = append(cmd.Members, engine.Member{Instance: m.ID, Address: m.Address})
	}
	for rank, m := range members {
		cmd.Rank = rank
		if err := control.Assign(ctx, m.Address, cmd); err != nil {
			return err
		}
	}
	return nil
}
