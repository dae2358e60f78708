package lease

import (
	"maps"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// restore replaces the table's state by that of a copy, and begins an era.
func (f *fakeTable) restore(c fakeTable) {
	f.era++
	f.version, f.rows = c.version, maps.Clone(c.rows)
}

func (f *fakeTable) copyState() fakeTable {
	return fakeTable{version: f.version, rows: maps.Clone(f.rows)}
}

// TestOneHolderAcrossRestores guards against two holders by true time, and against an epoch
// that is given out twice, when the store comes back from an older copy that lacks the last
// acquisitions.
func TestOneHolderAcrossRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, rapid.IntRange(2, 4).Draw(t, "nodes"))
		sim.table.era = 1
		older := sim.table.copyState()
		holderOf := make(map[ident.Epoch]ident.InstanceID)
		check := func(now time.Duration) {
			for _, n := range sim.nodes {
				if g, ok := n.machine.Held(n.local(now)); ok {
					holder, known := holderOf[g.Epoch]
					assert.Assert(t, !known || holder == n.machine.self.Instance, "epoch %d of %s and %s", g.Epoch, holder, n.machine.self.Instance)
					holderOf[g.Epoch] = n.machine.self.Instance
				}
			}
		}
		restores := 0
		sim.run(0, 60*time.Second, true, func(now time.Duration) {
			// Rows of other tables are written too.
			sim.table.version += uint64(sim.rng.IntN(20))
			switch sim.rng.IntN(120) {
			case 0:
				older = sim.table.copyState()
			case 1:
				sim.table.restore(older)
				restores++
			}
			check(now)
		})
		acquired := false
		sim.run(60*time.Second, 105*time.Second, false, func(now time.Duration) {
			check(now)
			acquired = acquired || len(sim.holders(now)) == 1
		})
		assert.Assert(t, acquired, "no holder within 45 s after the last fault, %d restores", restores)
	})
}

// TestEpochAfterRestore guards against a fencing token that was given out before, to the
// holder that the restored store no longer knows.
func TestEpochAfterRestore(t *testing.T) {
	table := &fakeTable{rows: map[infra.RowKey]infra.Row{}, era: 1}
	cfg := DefaultConfig()
	cfg.Fenced = true
	acquire := func(m *Machine, now time.Duration) Grant {
		actions := m.Step(now, Tick{})
		for len(actions) > 0 {
			a := actions[0]
			actions = actions[1:]
			switch a := a.(type) {
			case ReadRows:
				actions = append(actions, m.Step(now, RowsRead{Lease: table.get(Key(service)), Epoch: table.get(EpochKey(service)), Era: table.era})...)
			case WriteRows:
				version, outcome := table.txn(a.Txn)
				actions = append(actions, m.Step(now, Written{a.Attempt, outcome, version})...)
			}
		}
		g, ok := m.Held(now)
		assert.Assert(t, ok)
		return g
	}
	older := table.copyState()
	before := acquire(New(cfg, Identity{"a", "1"}, service), 0)
	table.restore(older)
	after := acquire(New(cfg, Identity{"b", "1"}, service), time.Second)
	assert.Assert(t, after.Epoch > before.Epoch, "%d after %d", after.Epoch, before.Epoch)
}
