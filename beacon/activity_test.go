package beacon

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/activity"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Guards against beacons that are larger than receivers read because of their counts, and
// against other content that is dropped for them.
func TestBeaconWithManyCounts(t *testing.T) {
	m := message("a", "1", 1, NewLoad("s", 5))
	m.Activity = &activity.Report{Time: time.Hour}
	for w := range 3 {
		counts := activity.WindowCounts{Window: int64(w), Total: 400}
		for i := range 400 {
			counts.Counts = append(counts.Counts, activity.Count{Account: ident.Account(fmt.Sprintf("account-with-a-long-name-%d", i)), Runs: 1})
		}
		m.Activity.Windows = append(m.Activity.Windows, counts)
	}
	b, err := Encode(&m)
	assert.NilError(t, err)
	assert.Assert(t, len(b) <= MaxDatagramBytes, "%d bytes", len(b))
	got, err := Decode(b)
	assert.NilError(t, err)
	assert.DeepEqual(t, got.Loads, m.Loads)
	assert.Equal(t, got.Activity.Windows[2].Total, uint64(400))
	assert.Assert(t, len(got.Activity.Windows[2].Counts) >= 100)
	assert.Equal(t, m.Activity.Counts(), 1200)
}

// Guards against digests without the time of their sender, by which instances that receive no
// beacons correct their own, and against more bytes where no duty needs it.
func TestDigestCarriesTime(t *testing.T) {
	for _, report := range []*activity.Report{nil, {Time: time.Hour}} {
		table := NewTable("self")
		m := message("self", "1", 1)
		m.Activity = report
		table.SetSelf(m)
		d := table.digest(0, 0, "", Sums{})
		b, err := EncodeDigest(&d)
		assert.NilError(t, err)
		got, err := DecodeDigest(b)
		assert.NilError(t, err)
		if report != nil {
			assert.Equal(t, got.Time, report.Time)
			d.Time = 0
			without, err := EncodeDigest(&d)
			assert.NilError(t, err)
			assert.Assert(t, len(b)-len(without) <= timeBytes, "%d", len(b)-len(without))
			continue
		}
		assert.Equal(t, got.Time, time.Duration(0))
	}
}

// Guards against a lease holder that asks other instances for the sums of a data centre than
// those to which its instances send their counts.
func TestRelaysOf(t *testing.T) {
	sim := newBeaconSimulation(t, 1, 30, 3)
	sim.run(3 * time.Second)
	holder := sim.nodes[29].table
	for d := range 3 {
		dataCentre := ident.DataCentre(fmt.Sprintf("dc-%d", d))
		asked := make(map[ident.InstanceID]bool)
		for _, p := range holder.RelaysOf(dataCentre, sim.now) {
			asked[p.Instance] = true
		}
		assert.Equal(t, len(asked), relaysPerDataCentre)
		for _, n := range sim.nodes {
			if n.message.DataCentre == dataCentre {
				assert.Equal(t, n.table.PlanBeacon(sim.now).IsRelay, asked[n.message.From], "%s", n.message.From)
			}
		}
	}
	assert.Equal(t, len(NewTable("self").RelaysOf("dc-0", 0)), 0)
}
