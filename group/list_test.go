package group

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// TestUnchangedInstanceList guards against instances that never count as delisted
// because the platform does not send an unchanged list again, and against instances
// that count as delisted after a single read.
func TestUnchangedInstanceList(t *testing.T) {
	p := New(DefaultConfig(), "quotes")
	listed := func(ids ...ident.InstanceID) Event {
		var out []infra.Instance
		for _, id := range ids {
			out = append(out, infra.Instance{ID: id, Kind: infra.KindEngine})
		}
		return InstancesListed{Instances: out}
	}
	missedReads := func(id ident.InstanceID) int {
		if i, ok := p.instances[id]; ok {
			return i.missedReads
		}
		return -1
	}
	now := time.Duration(0)
	step := func(e Event) { now += time.Second; p.Step(now, e) }
	step(listed("a", "b", "c"))
	step(InstancesUnchanged{})
	assert.Equal(t, missedReads("a"), 0)
	// An assignment row names an instance that no list has.
	p.ensureInstance("ghost").assignment = &Assignment{}
	step(listed("a", "c"))
	p.instances["c"].assignment = &Assignment{}
	assert.Equal(t, missedReads("b"), 1)
	step(InstancesUnchanged{})
	assert.Equal(t, missedReads("b"), -1, "an instance that two reads lacked is dropped")
	assert.Assert(t, p.instances["ghost"].delisted())
	assert.Equal(t, missedReads("a"), 0)
	assert.Assert(t, !p.instances["c"].delisted())
	// Without its row, the instance is dropped at the next read.
	p.instances["ghost"].assignment = nil
	step(InstancesUnchanged{})
	assert.Equal(t, missedReads("ghost"), -1)
	// An instance that only a row names is added while the list does not change.
	p.ensureInstance("late").assignment = &Assignment{}
	step(InstancesUnchanged{})
	assert.Assert(t, !p.instances["late"].delisted())
	step(InstancesUnchanged{})
	assert.Assert(t, p.instances["late"].delisted())
}
