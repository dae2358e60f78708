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

// cutTime is longer than a change of the credit owner, a lease and the suspicion
// of membership. The clusters
// of the tests are too young to have given reserves; bulrush-bench partition
// shows those.
const cutTime = 13 * time.Second

// firstCall says that no earlier call had the same idempotency key.
var firstCall = load.Header{Name: gateway.HeaderFirstCall, Value: "true"}

// steady is a load of short streams through each entry.
type steady struct {
	mu      sync.Mutex
	results map[*cluster.Entry][]load.Result
	stop    func()
}

func (r *rig) startSteady(perEntry int) *steady {
	s := &steady{results: make(map[*cluster.Entry][]load.Result)}
	n := len(r.c.Entries)
	sent := make([]int, perEntry*n)
	s.stop = background(r.t, perEntry*n, func(ctx context.Context, worker int) {
		e := r.c.Entries[worker%n]
		sent[worker]++
		res := r.stream(e, fmt.Sprintf("%s %d %d", r.t.Name(), worker, sent[worker]), 10)
		s.mu.Lock()
		s.results[e] = append(s.results[e], res)
		s.mu.Unlock()
		pause(ctx, observeInterval)
	})
	return s
}

// count returns the outcomes of the streams that were sent through an entry in
// a period.
func (s *steady) count(e *cluster.Entry, from, to time.Time) map[load.Outcome]int {
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

// onlyAnswered asserts that an entry answered every stream of a period.
func (s *steady) onlyAnswered(t *testing.T, e *cluster.Entry, from, to time.Time) {
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

// edit drains a partner that has no servers.
func (r *rig) edit(e *cluster.Entry, partner string) operator.Accepted {
	r.t.Helper()
	a, err := operatorOf(e).SetDrain(r.ctx, config.DrainPartner, partner, true, operator.Edit{Force: true})
	assert.NilError(r.t, err)
	return a
}

// hasRevision reports whether an entry has a revision in force.
func (r *rig) hasRevision(e *cluster.Entry, want ident.Revision) bool {
	status, err := operatorOf(e).Status(r.ctx)
	return err == nil && status.Revision >= want
}

// TestDataCentreCutOff guards against a data centre that, cut off from the
// others and the store, refuses late or untruly or does not come back, and
// against others that need it.
func TestDataCentreCutOff(t *testing.T) {
	t.Parallel()
	r := startRig(t, proxied)
	r.serve()
	r.waitOrders()
	minority := r.c.Entries[1]
	majority := []*cluster.Entry{r.c.Entries[0], r.c.Entries[2]}
	s := r.startSteady(3)
	defer s.stop()
	p := prompts(t, 6)
	results := r.streams(r.c.Entries, p)
	r.waitRunning(p)
	r.c.CutDataCentre(minority.DataCentre)
	cut := time.Now()
	allAnswered(t, results())
	res := r.order(minority, "cut-off", false, firstCall)
	assert.Equal(t, res.Outcome, load.NotRun, "%s", res.Detail)
	edited := r.edit(majority[0], "firm")
	for i, e := range majority {
		assert.Equal(t, r.order(e, fmt.Sprintf("majority-%d", i), false).Outcome, load.Answered)
	}
	pause(r.ctx, time.Until(cut.Add(cutTime)))
	assert.Assert(t, !r.hasRevision(minority, edited.Revision), "the data centre is not cut off")

	healed := time.Now()
	r.c.Proxy.SetPartitions()
	r.wait("the edit in the minority", func() bool { return r.hasRevision(minority, edited.Revision) })
	assert.Check(t, time.Since(healed) < check.DefaultLimits().MaxConfigDelay, "the edit took %s", time.Since(healed))
	r.wait("streams through the minority", func() bool { return s.count(minority, healed, time.Now())[load.Answered] > 10 })
	r.wait("the order of the minority", func() bool { return r.order(minority, "cut-off", false).Outcome == load.Answered })
	t.Logf("streams and orders again after %s", time.Since(healed))
	r.waitGroups()
	s.stop()
	for _, e := range majority {
		s.onlyAnswered(t, e, cut, time.Now())
	}
	// An owner in the minority acts for 1.5 s after the cut, and its allocations
	// end 1.5 s later.
	during := s.count(minority, cut.Add(4*time.Second), healed)
	t.Logf("minority: %v", during)
	assert.Check(t, during[load.NotRun] > 10 && len(during) == 1, "%v", during)
	r.judge()
}

// TestOneWayLoss guards against an entry that stops to serve because it does
// not hear one other, which owns the credits and hears it.
func TestOneWayLoss(t *testing.T) {
	t.Parallel()
	r := startRig(t, proxied)
	r.serve()
	owner := r.leaseHolder()
	deaf := r.c.Entries[0]
	if deaf == owner {
		deaf = r.c.Entries[1]
	}
	s := r.startSteady(3)
	defer s.stop()
	r.c.Proxy.SetPartitions(faultproxy.Partition{A: string(owner.Instance), B: string(deaf.Instance), OneWay: true})
	cut := time.Now()
	pause(r.ctx, cutTime)
	r.c.Proxy.SetPartitions()
	pause(r.ctx, time.Second)
	s.stop()
	for _, e := range r.c.Entries {
		t.Logf("%s: %v", e.Instance, s.count(e, cut, time.Now()))
		s.onlyAnswered(t, e, cut, time.Now())
	}
	lost, err := r.c.Proxy.Counters(string(deaf.Instance) + "-udp")
	assert.NilError(t, err)
	assert.Assert(t, lost.Dropped > 0, "no datagram was lost")
	r.judge()
}

// TestStoreReachableForOne guards against entries that need the store
// themselves: the one that reaches it holds the leases, takes orders and edits,
// and the others get the edits.
func TestStoreReachableForOne(t *testing.T) {
	t.Parallel()
	r := startRig(t, proxied)
	r.serve()
	r.waitOrders()
	holder := r.leaseHolder()
	var near *cluster.Entry
	var cuts []faultproxy.Partition
	for _, e := range r.c.Entries {
		if e != holder && near == nil {
			near = e
			continue
		}
		cuts = append(cuts, faultproxy.Partition{A: string(e.Instance), B: cluster.PlatformGroup})
	}
	s := r.startSteady(2)
	defer s.stop()
	r.c.Proxy.SetPartitions(cuts...)
	cut := time.Now()
	stopObservers := background(t, len(r.c.Entries), func(ctx context.Context, i int) { r.observe(ctx, r.c.Entries[i]) })
	defer stopObservers()
	r.edited("drain/firm", r.edit(near, "firm"))
	_, err := operatorOf(holder).SetDrain(r.ctx, config.DrainPartner, "other-firm", true, operator.Edit{Force: true})
	assert.ErrorContains(t, err, "store")
	res := r.order(holder, "order", false, firstCall)
	assert.Equal(t, res.Outcome, load.NotRun, "%s", res.Detail)
	res = r.order(near, "order", false)
	assert.Equal(t, res.Outcome, load.Answered, "%s", res.Detail)
	r.wait("the lease at the one with the store", func() bool { return r.leaseHolder() == near })
	t.Logf("the lease moved within %s", time.Since(cut))
	r.crashMember(r.leaders()[0])
	r.waitGroups()
	// The lease of the orders moves by itself. Their credits change owner with it,
	// which has no reserves this soon after its start.
	r.wait("an order after the change of owner", func() bool { return r.order(near, "order-after", false).Outcome == load.Answered })
	moved := time.Now()
	for i := range 20 {
		res := r.order(near, fmt.Sprintf("order-%d", i), false)
		assert.Check(t, res.Outcome == load.Answered, "order %d: %s %s", i, res.Outcome, res.Detail)
		pause(r.ctx, 500*time.Millisecond)
	}
	t.Logf("20 orders took %s", time.Since(moved))
	r.wait("observations past the limit", func() bool { return time.Since(cut) > check.DefaultLimits().MaxConfigDelay+time.Second })
	r.c.Proxy.SetPartitions()
	r.wait("an order through the former holder", func() bool { return r.order(holder, "order", false).Outcome == load.Answered })
	assert.Equal(t, r.orderRecord().Counts["order"], 1)
	s.stop()
	stopObservers()
	for _, e := range r.c.Entries {
		s.onlyAnswered(t, e, cut, time.Now())
	}
	r.judge()
}
