package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/check"
	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/gateway"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/standin/history"
	"github.com/bulrushfall/bulrushfall/standin/orders"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// threeDataCentres spreads entry instances, engines and order systems over three
// data centres.
func threeDataCentres(c *cluster.Config) {
	c.DataCentres = []ident.DataCentre{"dc-a", "dc-b", "dc-c"}
	c.OrderSystems = 3
	c.Documents[0] = cluster.ModelDocument(6, 2, 2, 2) // use all engines
}

// retryingCallers are clients that look up entry instances and retry, with the
// final outcomes of their orders.
type retryingCallers struct {
	testRig *rig
	stop    func()
	// killedEntry is the entry that the test kills, or nil.
	killedEntry atomic.Pointer[cluster.Entry]

	mu            sync.Mutex
	orderOutcomes map[string]load.Outcome
}

// maxCallerAttempts bounds how often a caller sends the same request.
const maxCallerAttempts = 20

// startCallers starts n clients. Half of them send streams, the others orders.
func (r *rig) startCallers(n int) *retryingCallers {
	c := &retryingCallers{testRig: r, orderOutcomes: make(map[string]load.Outcome)}
	var seeds []string
	for _, e := range r.testCluster.Entries {
		seeds = append(seeds, e.CallerAddress)
	}
	// A caller uses its addresses in turn, so each worker has a caller of its own.
	clients := make([]*load.Caller, n)
	for i := range clients {
		clients[i] = load.NewCaller(cluster.AccountKey(1), seeds)
		r.t.Cleanup(clients[i].Close)
	}
	var count atomic.Int64
	c.stop = startWorkers(r.t, n, func(ctx context.Context, worker int) {
		name := fmt.Sprintf("%s-%d", r.t.Name(), count.Add(1))
		if worker%2 == 0 {
			c.stream(clients[worker], name)
			return
		}
		c.order(clients[worker], name)
		sleep(ctx, observeInterval)
	})
	return c
}

func (c *retryingCallers) entryByAddress(addr string) *cluster.Entry {
	i := slices.IndexFunc(c.testRig.testCluster.Entries, func(e *cluster.Entry) bool { return e.CallerAddress == addr })
	return c.testRig.testCluster.Entries[i]
}

// stream sends a request until an entry that is not killed answers. If the
// request ran alone after a crash, and that run ended because its entry was
// killed, it stays suspected and may be refused (docs/notes/orders.md).
func (c *retryingCallers) stream(client *load.Caller, prompt string) {
	sentToKilledEntry := false
	for range maxCallerAttempts {
		res := client.Stream(c.testRig.ctx, request(prompt, 10), waitTimeout)
		e := c.entryByAddress(res.EntryAddress)
		killed := e == c.killedEntry.Load()
		c.testRig.recordResult(e, history.PromptRequestName(prompt), res, killed)
		if sentToKilledEntry && res.Outcome == load.NotRun && strings.Contains(res.Detail, "run alone") {
			c.testRig.t.Logf("%s is still suspected of causing the crash and was refused", prompt)
			return
		}
		sentToKilledEntry = sentToKilledEntry || killed
		if res.Outcome == load.Answered || !killed {
			assert.Check(c.testRig.t, res.Outcome == load.Answered, "%s through %s: %s %s", prompt, e.Instance, res.Outcome, res.Detail)
			return
		}
	}
	c.testRig.t.Errorf("%s was not answered", prompt)
}

// order places an order, with the same idempotency key, until it is answered.
func (c *retryingCallers) order(client *load.Caller, id string) {
	body, err := json.Marshal(orders.Order{ID: id, Item: "cup", Quantity: 1})
	assert.Check(c.testRig.t, err)
	var res load.Result
	for range maxCallerAttempts {
		res = client.Order(c.testRig.ctx, "", ordersPath, id, body)
		e := c.entryByAddress(res.EntryAddress)
		c.testRig.recordResult(e, id, res, e == c.killedEntry.Load())
		if res.Outcome == load.Answered {
			break
		}
		sleep(c.testRig.ctx, observeInterval)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orderOutcomes[id] = res.Outcome
}

// checkOrders asserts that no order was lost or ran twice. It returns how many
// orders were answered and how many ended with an unknown outcome.
func (c *retryingCallers) checkOrders() (answered, unknown int) {
	c.testRig.t.Helper()
	runs := c.testRig.orderRuns()
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, outcome := range c.orderOutcomes {
		switch outcome {
		case load.Answered:
			answered++
			assert.Check(c.testRig.t, runs[id] == 1, "%s was answered and ran %d times", id, runs[id])
		default:
			unknown++
			assert.Check(c.testRig.t, outcome == load.Unknown && runs[id] <= 1, "%s: %s, ran %d times", id, outcome, runs[id])
		}
	}
	return answered, unknown
}

// orderRuns returns how often each order ran, summed over all order systems,
// including those that the platform no longer lists.
func (r *rig) orderRuns() map[string]int {
	r.t.Helper()
	runs := make(map[string]int)
	for _, b := range r.orderSystems {
		var rec orders.Record
		assert.Assert(r.t, r.getJSON("http://"+b.Address+"/debug/counts", &rec))
		for id, n := range rec.Counts {
			runs[id] += n
		}
	}
	return runs
}

// setDataCentreDrain drains or restores a data centre and records the edit in the
// history.
func (r *rig) setDataCentreDrain(e *cluster.Entry, dc ident.DataCentre, out bool, expected ident.Revision) operator.Accepted {
	r.t.Helper()
	a, err := operatorOf(e).SetDrain(r.ctx, config.DrainDataCentre, string(dc), out, operator.Edit{Expected: expected})
	assert.NilError(r.t, err)
	r.recordEdit("drain/"+string(dc), a)
	return a
}

func dataCentreDrain(dc ident.DataCentre, drainedAt, restoredAt time.Time) check.Drain {
	return check.Drain{Kind: check.DrainDataCentre, Name: string(dc), AcceptedAt: drainedAt, RestoredAt: restoredAt}
}

// TestTwoDataCentresDrained guards against requests that are aborted or refused,
// and orders that are lost or run twice, while one data centre after the other is
// drained and restored.
func TestTwoDataCentresDrained(t *testing.T) {
	t.Parallel()
	r := startRig(t, threeDataCentres)
	r.waitServing()
	r.waitOrdersServed()
	c := r.startCallers(6)
	defer c.stop()
	stopObservers := startWorkers(t, len(r.testCluster.Entries), func(ctx context.Context, i int) { r.observeEntry(ctx, r.testCluster.Entries[i]) })
	defer stopObservers()
	limit := check.DefaultLimits().MaxDrainDelay
	last := r.testCluster.Entries[2]
	a := r.setDataCentreDrain(last, "dc-a", true, 0)
	drainedAtA := time.Now()
	sleep(r.ctx, time.Second)
	b := r.setDataCentreDrain(last, "dc-b", true, 0)
	drainedAtB := time.Now()
	r.waitUntil("requests in the last data centre after the drain limit", func() bool {
		return time.Since(drainedAtB) > limit+time.Second && r.countServed("dc-c", drainedAtB.Add(limit)) > 10
	})
	restoredAtA := time.Now()
	r.setDataCentreDrain(last, "dc-a", false, a.Revision)
	r.waitUntil("the first data centre is in lookup answers", func() bool { return len(r.lookup(last)) == 2 })
	restoredAtB := time.Now()
	r.setDataCentreDrain(last, "dc-b", false, b.Revision)
	r.waitGroups()
	// The few callers cause too little load for the new groups; these streams need
	// all groups.
	streamsStart := time.Now()
	assertAnswered(t, r.startStreams(r.testCluster.Entries, prompts(t, 36))())
	for _, e := range r.testCluster.Entries {
		n := r.countServed(e.DataCentre, streamsStart)
		t.Logf("%d streams in %s", n, e.DataCentre)
		assert.Check(t, n > 3, "%d streams in %s", n, e.DataCentre)
	}
	c.stop()
	stopObservers()
	r.history.Drains = append(r.history.Drains, dataCentreDrain("dc-a", drainedAtA, restoredAtA), dataCentreDrain("dc-b", drainedAtB, restoredAtB))
	answered, unknown := c.checkOrders()
	assert.Assert(t, answered > 20 && unknown == 0, "%d answered, %d unknown", answered, unknown)
	r.checkHistory()
}

// TestDrainWhileStoreDown guards against a drain that is applied in part, or that
// is reported to its operator as anything but not applied, while the store refuses
// or does not answer.
func TestDrainWhileStoreDown(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitServing()
	for i, f := range []standin.Faults{{Outage: true}, {Hang: true}} {
		assert.NilError(t, r.testCluster.SetFaults(f))
		sentAt := time.Now()
		_, err := operatorOf(r.testCluster.Entries[0]).SetDrain(r.ctx, config.DrainDataCentre, "dc-a", true, operator.Edit{})
		var problem *operator.Problem
		assert.Assert(t, errors.As(err, &problem), "%v", err)
		assert.Equal(t, problem.Kind, operator.KindStoreUnavailable)
		assert.Equal(t, problem.Outcome, operator.OutcomeNotApplied)
		t.Logf("%s after %s: %s", problem.Kind, time.Since(sentAt), problem.Detail)
		p := []string{fmt.Sprintf("%s %d", t.Name(), i)}
		assertAnswered(t, r.startStreams(r.testCluster.Entries, p)())
		assert.NilError(t, r.testCluster.SetFaults(standin.Faults{}))
		for _, e := range r.testCluster.Entries {
			r.waitUntil("the drain record at "+string(e.Instance), func() bool {
				d, err := operatorOf(e).GetDrain(r.ctx, config.DrainDataCentre, "dc-a")
				assert.Check(t, err != nil || d.Revision == 0, "%s has a drain at revision %d", e.Instance, d.Revision)
				return err == nil
			})
			r.waitUntil("a lookup answer with all entries", func() bool { return len(r.lookup(e)) == len(r.testCluster.Entries) })
		}
	}
	accepted := r.setDataCentreDrain(r.testCluster.Entries[0], "dc-a", true, 0)
	for _, e := range r.testCluster.Entries {
		r.waitUntil("the repeated drain at "+string(e.Instance), func() bool { return r.hasRevision(e, accepted.Revision) })
		assert.Equal(t, len(r.lookup(e)), 1)
	}
	r.checkHistory()
}

// lookup returns the addresses in an entry's lookup answer.
func (r *rig) lookup(e *cluster.Entry) []gateway.LookupAddress {
	var answer gateway.LookupAnswer
	r.getJSON("http://"+e.CallerAddress+"/v1/lookup", &answer)
	return answer.Addresses
}

// TestDrainRacesRestore guards against accepting both a drain and a restore of
// the same revision, and against entries that apply the rejected one.
func TestDrainRacesRestore(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	last := r.setDataCentreDrain(r.testCluster.Entries[0], "dc-b", true, 0)
	for range 5 {
		expected := last.Revision
		answers, errs := make([]operator.Accepted, 2), make([]error, 2)
		var wg sync.WaitGroup
		for i := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				answers[i], errs[i] = operatorOf(r.testCluster.Entries[i]).SetDrain(r.ctx, config.DrainDataCentre, "dc-b", i == 0,
					operator.Edit{Expected: expected})
			}()
		}
		wg.Wait()
		winner := 0
		if errs[0] != nil {
			winner = 1
		}
		assert.NilError(t, errs[winner])
		last = answers[winner]
		r.recordEdit("drain/dc-b", last)
		var problem *operator.Problem
		assert.Assert(t, errors.As(errs[1-winner], &problem) && problem.Kind == operator.KindConflict, "%v", errs[1-winner])
		assert.Equal(t, problem.CurrentRevision, last.Revision)
		for _, e := range r.testCluster.Entries {
			r.waitUntil("the accepted edit at "+string(e.Instance), func() bool { return r.hasRevision(e, last.Revision) })
			d, err := operatorOf(e).GetDrain(r.ctx, config.DrainDataCentre, "dc-b")
			assert.NilError(t, err)
			assert.Assert(t, d.Revision == last.Revision && d.Out == (winner == 0), "%s: %+v", e.Instance, d)
			listed := slices.ContainsFunc(r.lookup(e), func(a gateway.LookupAddress) bool { return a.DataCentre == "dc-b" })
			assert.Equal(t, listed, winner == 1, "%s", e.Instance)
		}
	}
	r.checkHistory()
}

// TestDrainedDataCentreKilled guards against streams that are lost, and orders
// that are lost or run twice, when the processes of a data centre die while it is
// being drained.
func TestDrainedDataCentreKilled(t *testing.T) {
	t.Parallel()
	r := startRig(t, threeDataCentres)
	r.waitServing()
	r.waitOrdersServed()
	for _, b := range r.orderSystems {
		r.postJSON("http://"+b.Address+"/debug/faults", orders.Faults{DelayMillis: 300})
	}
	c := r.startCallers(8)
	defer c.stop()
	survivors := r.testCluster.Entries[1:]
	p := prompts(t, 12)
	results := r.startStreams(survivors, p)
	runningBeforeDrain := r.waitRunning(p)
	runningInA := 0
	for _, s := range runningBeforeDrain {
		if s.leader.DataCentre == "dc-a" {
			runningInA++
		}
	}
	assert.Assert(t, runningInA > 0, "no stream runs in dc-a")
	r.setDataCentreDrain(survivors[0], "dc-a", true, 0)
	drainedAt := time.Now()
	c.killedEntry.Store(r.testCluster.Entries[0])
	r.engineProcess("dc-a").Kill()
	r.testCluster.Entries[0].Kill()
	assertAnswered(t, results())
	r.waitUntil("requests elsewhere after the drain limit", func() bool {
		return time.Since(drainedAt) > check.DefaultLimits().MaxDrainDelay+time.Second && r.countServed("dc-c", drainedAt) > 10
	})
	c.stop()
	r.history.Drains = append(r.history.Drains, dataCentreDrain("dc-a", drainedAt, time.Time{}))
	answered, unknown := c.checkOrders()
	t.Logf("%d streams ran in dc-a; orders: %d answered, %d unknown", runningInA, answered, unknown)
	assert.Assert(t, answered > 10)
	r.checkHistory()
}
