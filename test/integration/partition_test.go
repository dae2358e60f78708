package integration

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/check"
	"github.com/bulrushfall/bulrushfall/cluster"
	"github.com/bulrushfall/bulrushfall/config"
	"github.com/bulrushfall/bulrushfall/gateway"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/standin/faultproxy"
)

// partitionDuration is longer than a change of the credit owner, the duration of a
// lease and the suspicion timeout of membership. The tests end before credit reserves
// are granted: an owner grants no new ones until those of an earlier owner must have
// ended, after credit.ReserveTTL and an allowance for clock drift. "bulrush-bench
// partition" covers reserves.
const partitionDuration = 13 * time.Second

// firstCallHeader states that no earlier call used the same idempotency key.
var firstCallHeader = load.Header{Name: gateway.HeaderFirstCall, Value: "true"}

// steadyLoad sends short streams through each entry and keeps their results.
type steadyLoad struct {
	mu      sync.Mutex
	results map[*cluster.Entry][]load.Result
	stop    func()
}

// startSteadyLoad starts a number of workers per entry. stop ends them.
func (r *rig) startSteadyLoad(perEntry int) *steadyLoad {
	s := &steadyLoad{results: make(map[*cluster.Entry][]load.Result)}
	n := len(r.testCluster.Entries)
	sent := make([]int, perEntry*n)
	s.stop = startWorkers(r.t, perEntry*n, func(ctx context.Context, worker int) {
		e := r.testCluster.Entries[worker%n]
		sent[worker]++
		res := r.stream(e, fmt.Sprintf("%s %d %d", r.t.Name(), worker, sent[worker]), 10)
		s.mu.Lock()
		s.results[e] = append(s.results[e], res)
		s.mu.Unlock()
		sleep(ctx, observeInterval)
	})
	return s
}

// countOutcomes counts, by outcome, the streams that were sent through an entry
// in a period.
func (s *steadyLoad) countOutcomes(e *cluster.Entry, from, to time.Time) map[load.Outcome]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[load.Outcome]int)
	for _, res := range s.results[e] {
		if !res.Start.Before(from) && res.Start.Before(to) {
			out[res.Outcome]++
		}
	}
	return out
}

// assertAllAnswered asserts that an entry got streams in a period and answered
// all of them.
func (s *steadyLoad) assertAllAnswered(t *testing.T, e *cluster.Entry, from, to time.Time) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, res := range s.results[e] {
		if !res.Start.Before(from) && res.Start.Before(to) {
			n++
			assert.Check(t, res.Outcome == load.Answered, "%s after %s: %s %s", e.Instance, res.Start.Sub(from), res.Outcome, res.Detail)
		}
	}
	assert.Check(t, n > 0, "no stream through %s", e.Instance)
}

// drainPartner drains a partner that has no servers, as a harmless edit of the
// configuration.
func (r *rig) drainPartner(e *cluster.Entry, partner string) operator.Accepted {
	r.t.Helper()
	a, err := operatorOf(e).SetDrain(r.ctx, config.DrainPartner, partner, true, operator.Edit{Force: true})
	assert.NilError(r.t, err)
	return a
}

// hasRevision reports whether an entry has applied a revision or a later one.
func (r *rig) hasRevision(e *cluster.Entry, want ident.Revision) bool {
	status, err := operatorOf(e).Status(r.ctx)
	return err == nil && status.Revision >= want
}

// TestDataCentreCutOff partitions a data centre from the others and the store. It
// guards against refusals there that are late or report a wrong outcome, against
// a data centre that does not recover, and against other data centres that depend
// on it.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	r := startRig(t, withFaultProxy)
	r.waitServing()
	r.waitOrdersServed()
	minority := r.testCluster.Entries[1]
	majority := []*cluster.Entry{r.testCluster.Entries[0], r.testCluster.Entries[2]}
	s := r.startSteadyLoad(3)
	defer s.stop()
	p := prompts(t, 6)
	results := r.startStreams(r.testCluster.Entries, p)
	r.waitRunning(p)
	r.testCluster.IsolateDataCentre(minority.DataCentre)
	partitionedAt := time.Now()
	assertAnswered(t, results())
	res := r.order(minority, "cut-off", false, firstCallHeader)
	assert.Equal(t, res.Outcome, load.NotRun, "%s", res.Detail)
	edited := r.drainPartner(majority[0], "firm")
	for i, e := range majority {
		assert.Equal(t, r.order(e, fmt.Sprintf("majority-%d", i), false).Outcome, load.Answered)
	}
	sleep(r.ctx, time.Until(partitionedAt.Add(partitionDuration)))
	assert.Assert(t, !r.hasRevision(minority, edited.Revision), "the data centre is not partitioned")

	healedAt := time.Now()
	r.testCluster.Proxy.SetPartitions()
	r.waitUntil("the edit is applied in the minority", func() bool { return r.hasRevision(minority, edited.Revision) })
	assert.Check(t, time.Since(healedAt) < check.DefaultLimits().MaxConfigDelay, "the edit took %s", time.Since(healedAt))
	r.waitUntil("streams through the minority", func() bool { return s.countOutcomes(minority, healedAt, time.Now())[load.Answered] > 10 })
	r.waitUntil("the order of the minority", func() bool { return r.order(minority, "cut-off", false).Outcome == load.Answered })
	t.Logf("streams and orders are answered again after %s", time.Since(healedAt))
	r.waitGroups()
	s.stop()
	for _, e := range majority {
		s.assertAllAnswered(t, e, partitionedAt, time.Now())
	}
	// A credit owner in the minority stays owner for 1.5 s after the start of the
	// partition, and its allocations expire 1.5 s later. The rest of the 4 s is margin.
	during := s.countOutcomes(minority, partitionedAt.Add(4*time.Second), healedAt)
	t.Logf("minority: %v", during)
	assert.Check(t, during[load.NotRun] > 10 && len(during) == 1, "%v", during)
	r.checkHistory()
}

// TestOneWayLoss guards against an entry that stops serving because it does not
// receive messages from the credit owner, which still receives its messages.
func TestOneWayLoss(t *testing.T) {
	t.Parallel()
	r := startRig(t, withFaultProxy)
	r.waitServing()
	owner := r.leaseHolder()
	receiver := r.testCluster.Entries[0]
	if receiver == owner {
		receiver = r.testCluster.Entries[1]
	}
	s := r.startSteadyLoad(3)
	defer s.stop()
	r.testCluster.Proxy.SetPartitions(faultproxy.Partition{A: string(owner.Instance), B: string(receiver.Instance), OneWay: true})
	partitionedAt := time.Now()
	sleep(r.ctx, partitionDuration)
	r.testCluster.Proxy.SetPartitions()
	sleep(r.ctx, time.Second)
	s.stop()
	for _, e := range r.testCluster.Entries {
		t.Logf("%s: %v", e.Instance, s.countOutcomes(e, partitionedAt, time.Now()))
		s.assertAllAnswered(t, e, partitionedAt, time.Now())
	}
	lost, err := r.testCluster.Proxy.Counters(string(receiver.Instance) + "-udp")
	assert.NilError(t, err)
	assert.Assert(t, lost.Dropped > 0, "no datagram was lost")
	r.checkHistory()
}

// TestStoreReachableForOne guards against entries that need a store connection of
// their own: the only entry that reaches the store must hold the leases and accept
// orders and edits, and the other entries must receive the edits.
func TestStoreReachableForOne(t *testing.T) {
	t.Parallel()
	r := startRig(t, withFaultProxy)
	r.waitServing()
	r.waitOrdersServed()
	holder := r.leaseHolder()
	var storeReachable *cluster.Entry
	var cuts []faultproxy.Partition
	for _, e := range r.testCluster.Entries {
		if e != holder && storeReachable == nil {
			storeReachable = e
			continue
		}
		cuts = append(cuts, faultproxy.Partition{A: string(e.Instance), B: cluster.PlatformName})
	}
	s := r.startSteadyLoad(2)
	defer s.stop()
	r.testCluster.Proxy.SetPartitions(cuts...)
	partitionedAt := time.Now()
	stopObservers := startWorkers(t, len(r.testCluster.Entries), func(ctx context.Context, i int) { r.observeEntry(ctx, r.testCluster.Entries[i]) })
	defer stopObservers()
	r.recordEdit("drain/firm", r.drainPartner(storeReachable, "firm"))
	_, err := operatorOf(holder).SetDrain(r.ctx, config.DrainPartner, "other-firm", true, operator.Edit{Force: true})
	assert.ErrorContains(t, err, "store")
	res := r.order(holder, "order", false, firstCallHeader)
	assert.Equal(t, res.Outcome, load.NotRun, "%s", res.Detail)
	res = r.order(storeReachable, "order", false)
	assert.Equal(t, res.Outcome, load.Answered, "%s", res.Detail)
	r.waitUntil("the lease moves to the entry that reaches the store", func() bool { return r.leaseHolder() == storeReachable })
	t.Logf("the lease moved within %s", time.Since(partitionedAt))
	r.crashMember(r.leaders()[0])
	r.waitGroups()
	// The lease of the order service moves independently of that of the model service,
	// and the credit owner of the order service with it. No credit reserves are granted
	// yet, so orders may fail until the credit owner has changed.
	r.waitUntil("an order after the change of credit owner", func() bool { return r.order(storeReachable, "order-after", false).Outcome == load.Answered })
	ordersStart := time.Now()
	for i := range 20 {
		res := r.order(storeReachable, fmt.Sprintf("order-%d", i), false)
		assert.Check(t, res.Outcome == load.Answered, "order %d: %s %s", i, res.Outcome, res.Detail)
		sleep(r.ctx, 500*time.Millisecond)
	}
	t.Logf("20 orders took %s", time.Since(ordersStart))
	r.waitUntil("observations for longer than the propagation limit", func() bool { return time.Since(partitionedAt) > check.DefaultLimits().MaxConfigDelay+time.Second })
	r.testCluster.Proxy.SetPartitions()
	r.waitUntil("an order through the former lease holder", func() bool { return r.order(holder, "order", false).Outcome == load.Answered })
	assert.Equal(t, r.orderRecord().Counts["order"], 1)
	s.stop()
	stopObservers()
	for _, e := range r.testCluster.Entries {
		s.assertAllAnswered(t, e, partitionedAt, time.Now())
	}
	r.checkHistory()
}
