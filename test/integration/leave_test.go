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

// startOrders places orders through an entry and waits until each runs. The
// returned function waits for their answers.
func (r *rig) startOrders(e *cluster.Entry, name string, n int) (ids []string, wait func()) {
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
	r.waitUntil("the orders run", func() bool {
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

// startShutdown sends SIGTERM to an entry and records the shutdown in the
// history.
func (r *rig) startShutdown(e *cluster.Entry) {
	r.t.Helper()
	r.mu.Lock()
	r.history.Shutdowns = append(r.history.Shutdowns, check.Shutdown{Entry: e.Instance, StartedAt: time.Now()})
	r.mu.Unlock()
	assert.NilError(r.t, e.Signal(syscall.SIGTERM))
}

func (r *rig) waitExited(e *cluster.Entry) {
	r.t.Helper()
	select {
	case <-e.Done():
		assert.NilError(r.t, e.Err())
	case <-time.After(waitTimeout):
		r.t.Fatalf("%s did not exit after SIGTERM", e.Instance)
	}
}

// TestGracefulShutdownWithOrders guards against a shutdown that aborts a running
// order, refuses an order of a caller that cached an older lookup answer, or loses
// an outcome that could not be stored yet.
func TestGracefulShutdownWithOrders(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitOrdersServed()
	r.setOrderFaults(orders.Faults{DelayMillis: 3500})
	first, second, last := r.testCluster.Entries[0], r.testCluster.Entries[1], r.testCluster.Entries[2]
	ids, answers := r.startOrders(first, "running", 6)
	r.startShutdown(first)
	late, lateAnswers := r.startOrders(first, "late", 2)
	answers()
	lateAnswers()
	r.waitExited(first)

	more, answers := r.startOrders(second, "in-outage", 6)
	assert.NilError(t, r.testCluster.SetFaults(standin.Faults{Outage: true}))
	r.startShutdown(second)
	answers()
	// The orders above and this wait together take longer than the grace period for
	// cached lookup answers (3 s), which began at SIGTERM. Only the outcomes that are
	// not stored yet can now delay the exit.
	select {
	case <-second.Done():
		t.Error("the entry exited before it could store the outcomes")
	case <-time.After(time.Second):
	}
	assert.NilError(t, r.testCluster.SetFaults(standin.Faults{}))
	r.waitExited(second)

	r.setOrderFaults(orders.Faults{})
	runs := r.orderRuns()
	for _, id := range append(append(ids, late...), more...) {
		res := r.order(last, id, false)
		assert.Check(t, res.Outcome == load.Answered && runs[id] == 1, "retry of %s: %s %s, ran %d times", id, res.Outcome, res.Detail, runs[id])
	}
	r.checkHistory()
}

// TestPartnerWithdrawn guards against new requests at the backend servers of a
// withdrawn partner, and against requests that are lost when its servers are then
// removed without notice.
func TestPartnerWithdrawn(t *testing.T) {
	t.Parallel()
	const partner = "firm"
	r := startRig(t, func(c *cluster.Config) { c.OrderSystems = 2 })
	var change standin.InstanceChange
	for _, list := range [][]infra.Instance{r.engines, r.orderSystems} {
		for i := range list {
			if list[i].DataCentre == "dc-b" {
				list[i].Partner = partner
				change.Put = append(change.Put, list[i])
				change.Remove = append(change.Remove, list[i].ID)
			}
		}
	}
	assert.NilError(t, r.testCluster.ChangeInstances(standin.InstanceChange{Put: change.Put, Immediate: true}))
	r.waitServing()
	r.waitOrdersServed()
	first := r.testCluster.Entries[0]
	r.waitUntil("the count of groups that remain without the partner", func() bool { return r.usableGroupsWithout(first, partner) == 2 })
	c := r.startCallers(6)
	defer c.stop()
	r.waitUntil("requests at the partner", func() bool { return r.countServed("dc-b", time.Time{}) > 5 })
	a, err := operatorOf(first).SetDrain(r.ctx, config.DrainPartner, partner, true, operator.Edit{Reason: "end of the deal"})
	assert.NilError(t, err)
	withdrawnAt := time.Now()
	r.recordEdit("drain/"+partner, a)
	limit := check.DefaultLimits().MaxDrainDelay
	r.waitUntil("requests elsewhere after the drain limit", func() bool {
		return time.Since(withdrawnAt) > limit+time.Second && r.countServed("dc-a", withdrawnAt.Add(limit)) > 10
	})
	// The records of the engines are lost when their process ends.
	atPartner, missing, err := history.Collect(r.ctx, r.testCluster.PlatformURL, change.Put)
	assert.Assert(t, err == nil && len(missing) == 0, "%v %v", err, missing)
	r.engineProcess("dc-b").Kill()
	removedAt := time.Now()
	assert.NilError(t, r.testCluster.ChangeInstances(standin.InstanceChange{Remove: change.Remove}))
	r.waitUntil("requests after the servers were removed", func() bool {
		return time.Since(removedAt) > 2*time.Second && r.countServed("dc-a", removedAt.Add(time.Second)) > 10
	})
	c.stop()
	r.mu.Lock()
	for _, s := range atPartner.BackendRequests {
		if !s.NonIdempotent { // the order system still runs and has its record
			r.history.BackendRequests = append(r.history.BackendRequests, s)
		}
	}
	r.history.Drains = append(r.history.Drains, check.Drain{Kind: check.DrainPartner, Name: partner, AcceptedAt: withdrawnAt})
	r.mu.Unlock()
	answered, unknown := c.checkOrders()
	assert.Assert(t, answered > 20 && unknown == 0, "%d answered, %d unknown", answered, unknown)
	r.checkHistory()
}

// usableGroupsWithout returns the number of groups that an entry reports as
// usable without a partner, or -1 if it does not report one.
func (r *rig) usableGroupsWithout(e *cluster.Entry, partner ident.Partner) int {
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
