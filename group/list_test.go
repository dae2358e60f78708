package group

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// TestUnchangedList guards against instances that never count as gone because
// the platform does not send the list again, and against ones that do after a
// single read.
func TestUnchangedList(t *testing.T) {
	p := New(DefaultConfig(), "quotes")
	listed := func(ids ...ident.InstanceID) Event {
		var out []infra.Instance
		for _, id := range ids {
			out = append(out, infra.Instance{ID: id, Kind: infra.KindEngine})
		}
		return InstancesListed{Instances: out}
	}
	missed := func(id ident.InstanceID) int {
		if i, ok := p.instances[id]; ok {
			return i.missed
		}
		return -1
	}
	now := time.Duration(0)
	step := func(e Event) { now += time.Second; p.Step(now, e) }
	step(listed("a", "b", "c"))
	step(InstancesUnchanged{})
	assert.Equal(t, missed("a"), 0)
	// A row names an instance that no list has.
	p.instance("ghost").assigned = &Assignment{}
	step(listed("a", "c"))
	p.instances["c"].assigned = &Assignment{}
	assert.Equal(t, missed("b"), 1)
	step(InstancesUnchanged{})
	assert.Equal(t, missed("b"), -1, "missing in two reads")
	assert.Assert(t, p.instances["ghost"].gone())
	assert.Equal(t, missed("a"), 0)
	assert.Assert(t, !p.instances["c"].gone())
	// The row goes: the instance is forgotten at the next read.
	p.instances["ghost"].assigned = nil
	step(InstancesUnchanged{})
	assert.Equal(t, missed("ghost"), -1)
	// One that only a row names arrives after the list settled.
	p.instance("late").assigned = &Assignment{}
	step(InstancesUnchanged{})
	assert.Assert(t, !p.instances["late"].gone())
	step(InstancesUnchanged{})
	assert.Assert(t, p.instances["late"].gone())
}
