package integration

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/load"
)

// counter returns the sum of a counter's series at an entry instance, or 0 if its
// metrics cannot be read.
func (r *rig) counter(e *cluster.Entry, name string) float64 {
	resp, err := http.Get("http://" + e.OperatorAddress + "/metrics")
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	sum := 0.0
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if rest, ok := strings.CutPrefix(lines.Text(), "bulrushfall_"+name); ok && strings.IndexAny(rest, " {") == 0 {
			v, _ := strconv.ParseFloat(rest[strings.LastIndexByte(rest, ' ')+1:], 64)
			sum += v
		}
	}
	return sum
}

// TestCacheEventsOwnerKilled guards against the loss of cache events when the
// credit owner, which reads and relays them, dies: the other entry instances must
// read them from the engines until a new owner relays them.
func TestCacheEventsOwnerKilled(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitServing()
	owner := r.leaseHolder()
	var others []*cluster.Entry
	for _, e := range r.testCluster.Entries {
		if e != owner {
			others = append(others, e)
		}
	}
	prompts := 0
	// The new prompt of each call causes cache events at a leader.
	relayed := func(before map[*cluster.Entry]float64, minimum int) func() bool {
		return func() bool {
			prompts++
			prompt := strings.Repeat(fmt.Sprintf("%s prompt %d. ", t.Name(), prompts), 20)
			if r.stream(others[0], prompt, 2).Outcome != load.Answered {
				return false
			}
			n := 0
			for _, e := range others {
				if r.counter(e, "cache_events_relayed_total") > before[e] {
					n++
				}
			}
			return n >= minimum
		}
	}
	r.waitUntil("the owner relays events to both others", relayed(map[*cluster.Entry]float64{}, 2))
	before := make(map[*cluster.Entry]float64)
	reads := make(map[*cluster.Entry]float64)
	for _, e := range others {
		before[e], reads[e] = r.counter(e, "cache_events_relayed_total"), r.counter(e, "cache_event_reads_total")
	}
	owner.Kill()
	for _, e := range others {
		r.waitUntil(string(e.Instance)+" reads events itself", func() bool { return r.counter(e, "cache_event_reads_total") > reads[e] })
	}
	for _, e := range others {
		before[e] = r.counter(e, "cache_events_relayed_total")
	}
	// Ownership moves twice: to another entry instance, and then to the next holder
	// of the lease.
	assert.NilError(t, cluster.WaitUntil(r.ctx, 2*waitTimeout, "another owner relays events", relayed(before, 1)))
}
