package duty

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/lease"
)

// stepAll steps a machine and answers its store accesses from rows at once. Each call is accepted, or
// has no answer if lost is set. It returns the windows of the calls.
func stepAll(m *Machine, now time.Duration, rows map[infra.RowKey]infra.Row, lost bool, ev Event) (reported []int64) {
	for _, a := range m.Step(now, ev) {
		switch a := a.(type) {
		case ReadRows:
			read := RowsRead{Attempt: a.Attempt, Era: 1}
			for _, r := range rows {
				read.Rows = append(read.Rows, r)
			}
			reported = append(reported, stepAll(m, now, rows, lost, read)...)
		case WriteRow:
			for _, w := range a.Txn.Writes {
				if delete(rows, w.RowKey); !w.Delete {
					rows[w.RowKey] = infra.Row{RowKey: w.RowKey, Version: uint64(len(rows) + 1), Value: w.Value}
				}
			}
			reported = append(reported, stepAll(m, now, rows, lost, Written{Attempt: a.Attempt, Outcome: infra.OutcomeApplied})...)
		case Call:
			reported = append(reported, a.Window)
			result := Accepted
			if lost {
				result = Unanswered
			}
			reported = append(reported, stepAll(m, now, rows, lost, Called{Attempt: a.Attempt, Outcome: Outcome{Result: result}})...)
		}
	}
	return reported
}

// Guards against a window that no holder reports: its counts were known after those of the next one,
// and the holder that has stored them ends before it has reported them.
func TestTakeoverOfWindowThatWasLate(t *testing.T) {
	rows := make(map[infra.RowKey]infra.Row)
	counts := map[ident.Account]uint64{"a": 1}
	held := func(epoch ident.Epoch) LeaseChanged {
		return LeaseChanged{Held: true, Grant: lease.Grant{Epoch: epoch, EpochVersion: uint64(epoch), Expires: time.Hour}}
	}
	former := New(simConfig(true, 0))
	stepAll(former, 20*time.Second, rows, false, held(1))
	assert.DeepEqual(t, stepAll(former, 30*time.Second, rows, false, WindowCounted{Window: 11, Counts: counts, Ended: 29 * time.Second}), []int64{11})
	stepAll(former, 32*time.Second, rows, true, WindowCounted{Window: 10, Counts: counts, Ended: 24 * time.Second})

	next := New(simConfig(true, 0))
	reported := stepAll(next, 30*time.Second, rows, false, held(2))
	for now := 30 * time.Second; now < 36*time.Second; now += 100 * time.Millisecond {
		reported = append(reported, stepAll(next, now, rows, false, Tick{})...)
	}
	assert.Assert(t, slices.Contains(reported, 10), "reported: %v", reported)
}
