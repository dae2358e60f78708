package integration

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/gateway"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/standin/orders"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

const ordersPath = "/services/" + cluster.OrderService + "/orders"

// order places an order through an entry, with its id as the idempotency key, and
// records the result. killed means that the test kills the entry meanwhile.
func (r *rig) order(e *cluster.Entry, id string, killed bool, headers ...load.Header) load.Result {
	c := load.NewCaller(cluster.AccountKey(0), []string{e.CallerAddress})
	defer c.Close()
	body, err := json.Marshal(orders.Order{ID: id, Item: "cup", Quantity: 1})
	assert.NilError(r.t, err)
	res := c.Order(r.ctx, e.CallerAddress, ordersPath, id, body, headers...)
	r.recordResult(e, id, res, killed)
	return res
}

// orderRecord returns the record of the order system.
func (r *rig) orderRecord() orders.Record {
	r.t.Helper()
	var rec orders.Record
	assert.Assert(r.t, r.getJSON("http://"+r.orderSystems[0].Address+"/debug/counts", &rec))
	return rec
}

// setOrderFaults replaces the faults that the order system injects.
func (r *rig) setOrderFaults(f orders.Faults) {
	r.t.Helper()
	r.postJSON("http://"+r.orderSystems[0].Address+"/debug/faults", f)
}

// waitOrdersServed waits until an order through each entry is answered.
func (r *rig) waitOrdersServed() {
	r.t.Helper()
	for _, e := range r.testCluster.Entries {
		n := 0
		r.waitUntil("an order through "+string(e.Instance), func() bool {
			n++
			return r.order(e, fmt.Sprintf("warm-up-%s-%d", e.Instance, n), false).Outcome == load.Answered
		})
	}
}

// TestOrderThroughTwoEntries guards against an order that runs twice because its
// caller sends it to two entries concurrently.
func TestOrderThroughTwoEntries(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitOrdersServed()
	r.setOrderFaults(orders.Faults{DelayMillis: 100})
	const n = 20
	var wg sync.WaitGroup
	answered := make([]bool, 2*n)
	for i := range 2 * n {
		wg.Add(1)
		go func() {
			defer wg.Done()
			res := r.order(r.testCluster.Entries[i%2], fmt.Sprintf("order-%d", i/2), false)
			answered[i] = res.Outcome == load.Answered
		}()
	}
	wg.Wait()
	rec := r.orderRecord()
	for i := range n {
		assert.Assert(t, answered[2*i] || answered[2*i+1], "order %d has no answer", i)
		assert.Equal(t, rec.Counts[fmt.Sprintf("order-%d", i)], 1)
	}
	r.checkHistory()
}

// TestEntryKilledBetweenClaimAndAnswer guards against a retry that runs an order
// again, or that is answered with not-run, after the entry that dispatched the
// order died.
func TestEntryKilledBetweenClaimAndAnswer(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitOrdersServed()
	r.setOrderFaults(orders.Faults{DelayMillis: 60_000})
	first := make(chan load.Result, 1)
	go func() { first <- r.order(r.testCluster.Entries[0], "order", true) }()
	r.waitUntil("the order runs", func() bool { return r.orderRecord().Counts["order"] == 1 })
	r.testCluster.Entries[0].Kill()
	assert.Assert(t, (<-first).Outcome != load.Answered, "the entry answered before it was killed")
	r.setOrderFaults(orders.Faults{})
	for range 3 {
		for _, e := range r.testCluster.Entries[1:] {
			res := r.order(e, "order", false)
			assert.Equal(t, res.Outcome, load.Unknown, "%s", res.Detail)
		}
	}
	assert.Equal(t, r.orderRecord().Counts["order"], 1)
	r.checkHistory()
}

// TestLostOrderAnswer guards against a second run when the connection to the
// order system breaks after the order ran.
func TestLostOrderAnswer(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitOrdersServed()
	r.setOrderFaults(orders.Faults{LoseAnswers: 1})
	assert.Equal(t, r.order(r.testCluster.Entries[0], "order", false).Outcome, load.Unknown)
	assert.Equal(t, r.orderRecord().LostAnswers, 1)
	for _, e := range r.testCluster.Entries {
		assert.Equal(t, r.order(e, "order", false).Outcome, load.Unknown)
	}
	assert.Equal(t, r.orderRecord().Counts["order"], 1)
	r.checkHistory()
}

// TestRefusedOrder guards against a refusal of the order system that is reported
// as an outcome other than not-run, and against a later retry that cannot run.
func TestRefusedOrder(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitOrdersServed()
	r.setOrderFaults(orders.Faults{RefuseNotRun: -1})
	assert.Equal(t, r.order(r.testCluster.Entries[0], "order", false).Outcome, load.NotRun)
	assert.Assert(t, len(r.orderRecord().Refused) > 0)
	r.setOrderFaults(orders.Faults{})
	assert.Equal(t, r.order(r.testCluster.Entries[1], "order", false).Outcome, load.Answered)
	assert.Equal(t, r.orderRecord().Counts["order"], 1)
	r.checkHistory()
}

// TestStoreOutage guards against streams that depend on the store, and against
// orders that run without a claim while the store is down or its answers are lost.
func TestStoreOutage(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitServing()
	r.waitOrdersServed()
	for i, f := range []standin.Faults{{Outage: true}, {Hang: true}} {
		assert.NilError(t, r.testCluster.SetFaults(f))
		p := []string{fmt.Sprintf("%s %d a", t.Name(), i), fmt.Sprintf("%s %d b", t.Name(), i)}
		results := r.startStreams(r.testCluster.Entries, p)
		id := fmt.Sprintf("outage-%d", i)
		res := r.order(r.testCluster.Entries[0], id, false, load.Header{Name: gateway.HeaderFirstCall, Value: "true"})
		assert.Equal(t, res.Outcome, load.NotRun, "%s", res.Detail)
		res = r.order(r.testCluster.Entries[1], id, false)
		assert.Equal(t, res.Outcome, load.Unknown, "an earlier call may have run: %s", res.Detail)
		assert.Equal(t, r.orderRecord().Counts[id], 0)
		assertAnswered(t, results())
		assert.NilError(t, r.testCluster.SetFaults(standin.Faults{}))
		r.waitUntil("the order runs after the outage", func() bool {
			return r.order(r.testCluster.Entries[1], id, false).Outcome == load.Answered
		})
	}
	assert.NilError(t, r.testCluster.SetFaults(standin.Faults{LoseAnswers: 1, LoseTable: "claim"}))
	assert.Equal(t, r.order(r.testCluster.Entries[0], "lossy", false).Outcome, load.Answered)
	var counts standin.Counts
	assert.Assert(t, r.getJSON(r.testCluster.PlatformURL+"/debug/counts", &counts))
	assert.Assert(t, counts.Refused > 0 && counts.Hung > 0 && counts.LostAnswers == 1, "%+v", counts)
	assert.Equal(t, r.orderRecord().Counts["lossy"], 1)
	r.checkHistory()
}

// TestIdempotentLookups guards against idempotent requests that need a claim like
// orders: a GET of the stock must work while the store is down.
func TestIdempotentLookups(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitOrdersServed()
	assert.NilError(t, r.testCluster.SetFaults(standin.Faults{Outage: true}))
	req, err := http.NewRequest(http.MethodGet, "http://"+r.testCluster.Entries[0].CallerAddress+"/services/"+cluster.OrderService+"/stock/cup", nil)
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer "+cluster.AccountKey(0))
	client := http.Client{Timeout: 5 * time.Second}
	resp, err := client.Do(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var stock orders.Stock
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&stock))
	assert.Equal(t, stock.Item, "cup")
}
