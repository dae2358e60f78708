package integration

import (
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/check"
	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/standin/history"
	"github.com/bulrushfall/bulrushfall/standin/orders"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// runningOrders places orders through an entry and waits until they run. The
// returned function waits for their answers.
func (r *rig) runningOrders(e *cluster.Entry, name string, n int) (ids []string, wait func()) {
	r.t.Helper()
	var wg sync.WaitGroup
	for i := range n {
		id := fmt.Sprintf("%s-%d", name, i)
		ids = append(ids, id)
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := r.order(e, id, false)
			assert.Check(r.t, res.Outcome == load.Answered, "%s: %s %s", id, res.Outcome, res.Detail)
		}()
	}
	r.wait("the orders run", func() bool {
		runs := r.orderRuns()
		for _, id := range ids {
			if runs[id] != 1 {
				return false
			}
		}
		return true
	})
	return ids, wg.Wait
}

// shutDown asks an entry to end, gracefully.
func (r *rig) shutDown(e *cluster.Entry) {
	r.t.Helper()
	r.mu.Lock()
	r.history.Shutdowns = append(r.history.Shutdowns, check.Shutdown{Entry: e.Instance, StartedAt: time.Now()})
	r.mu.Unlock()
	assert.NilError(r.t, e.Signal(syscall.SIGTERM))
}

func (r *rig) waitEnded(e *cluster.Entry) {
	r.t.Helper()
	select {
	case <-e.Done():
		assert.NilError(r.t, e.Err())
	case <-time.After(deadline):
		r.t.Fatalf("%s did not end", e.Instance)
	}
}

// TestGracefulShutdownWithOrders guards against a shutdown that cuts a running
// order, refuses one of a caller with an older address, or loses an outcome that
// the store did not take yet.
func TestGracefulShutdownWithOrders(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitOrders()
	r.orderFaults(orders.Faults{DelayMillis: 3500})
	first, second, last := r.c.Entries[0], r.c.Entries[1], r.c.Entries[2]
	ids, answers := r.runningOrders(first, "running", 6)
	r.shutDown(first)
	late, lateAnswers := r.runningOrders(first, "late", 2)
	answers()
	lateAnswers()
	r.waitEnded(first)

	more, answers := r.runningOrders(second, "in-outage", 6)
	assert.NilError(t, r.c.SetFaults(standin.Faults{Outage: true}))
	r.shutDown(second)
	answers()
	// Longer than the grace for older lookup answers, which began at the signal.
	select {
	case <-second.Done():
		t.Error("the entry ended before it could write the outcomes")
	case <-time.After(time.Second):
	}
	assert.NilError(t, r.c.SetFaults(standin.Faults{}))
	r.waitEnded(second)

	r.orderFaults(orders.Faults{})
	runs := r.orderRuns()
	for _, id := range append(append(ids, late...), more...) {
		res := r.order(last, id, false)
		assert.Check(t, res.Outcome == load.Answered && runs[id] == 1, "retry of %s: %s %s, ran %d times", id, res.Outcome, res.Detail, runs[id])
	}
	r.judge()
}

// TestPartnerWithdrawn guards against new work at the backend servers of a
// partner that was withdrawn, and against requests that are lost when its servers
// then vanish without notice.
func TestPartnerWithdrawn(t *testing.T) {
	t.Parallel()
	const partner = "firm"
	r := startRig(t, func(c *cluster.Config) { c.OrderSystems = 2 })
	var change standin.InstanceChange
	for _, list := range [][]infra.Instance{r.engines, r.plain} {
		for i := range list {
			if list[i].DataCentre == "dc-b" {
				list[i].Partner = partner
				change.Put = append(change.Put, list[i])
				change.Remove = append(change.Remove, list[i].ID)
			}
		}
	}
	assert.NilError(t, r.c.ChangeInstances(standin.InstanceChange{Put: change.Put, Immediate: true}))
	r.serve()
	r.waitOrders()
	first := r.c.Entries[0]
	r.wait("what remains without the partner", func() bool { return r.usableWithout(first, partner) == 2 })
	c := r.startCallers(6)
	defer c.stop()
	r.wait("work at the partner", func() bool { return r.servedIn("dc-b", time.Time{}) > 5 })
	a, err := operatorOf(first).SetDrain(r.ctx, config.DrainPartner, partner, true, operator.Edit{Reason: "end of the deal"})
	assert.NilError(t, err)
	withdrawn := time.Now()
	r.edited("drain/"+partner, a)
	limit := check.DefaultLimits().MaxDrainDelay
	r.wait("work elsewhere long after the withdrawal", func() bool {
		return time.Since(withdrawn) > limit+time.Second && r.servedIn("dc-a", withdrawn.Add(limit)) > 10
	})
	// The records of the engines end with their process.
	atPartner, missing, err := history.Collect(r.ctx, r.c.PlatformURL, change.Put)
	assert.Assert(t, err == nil && len(missing) == 0, "%v %v", err, missing)
	r.enginesProcess("dc-b").Kill()
	gone := time.Now()
	assert.NilError(t, r.c.ChangeInstances(standin.InstanceChange{Remove: change.Remove}))
	r.wait("work after the servers left", func() bool {
		return time.Since(gone) > 2*time.Second && r.servedIn("dc-a", gone.Add(time.Second)) > 10
	})
	c.stop()
	r.mu.Lock()
	for _, s := range atPartner.BackendRequests {
		if !s.NonIdempotent { // the order system still has its record
			r.history.BackendRequests = append(r.history.BackendRequests, s)
		}
	}
	r.history.Drains = append(r.history.Drains, check.Drain{Kind: check.DrainPartner, Name: partner, AcceptedAt: withdrawn})
	r.mu.Unlock()
	answered, unknown := c.checkOrders()
	assert.Assert(t, answered > 20 && unknown == 0, "%d answered, %d unknown", answered, unknown)
	r.judge()
}

// usableWithout returns the groups that an entry expects to remain without a
// partner.
func (r *rig) usableWithout(e *cluster.Entry, partner ident.Partner) int {
	status, err := operatorOf(e).Status(r.ctx)
	if err != nil {
		return -1
	}
	for _, s := range status.Services {
		for _, p := range s.WithoutPartner {
			if s.Name == cluster.ModelService && p.Partner == partner {
				return p.Usable
			}
		}
	}
	return -1
}
