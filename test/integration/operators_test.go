package integration

import (
	"context"
	"fmt"
	"net/http"
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
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/load"
	"github.com/bulrushfall/bulrushfall/operator"
	"github.com/bulrushfall/bulrushfall/standin/history"
	standin "github.com/bulrushfall/bulrushfall/standin/platform"
)

// observeInterval is the time between observations of lookup answers and
// revisions.
const observeInterval = 100 * time.Millisecond

func operatorOf(e *cluster.Entry) *operator.Client {
	return operator.NewClient([]string{e.OperatorAddress}, cluster.TeamToken)
}

// sleep waits for a duration or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// observeEntry records the revision that an entry has applied and its lookup
// answer.
func (r *rig) observeEntry(ctx context.Context, e *cluster.Entry) {
	defer sleep(ctx, observeInterval)
	sent := time.Now()
	status, err := operatorOf(e).Status(ctx)
	var answer gateway.LookupAnswer
	ok := r.getJSON("http://"+e.CallerAddress+"/v1/lookup", &answer)
	// A lookup is recorded at the time of its answer: a request sent before a
	// restore may already show the restore.
	answered := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil && status.Ready {
		r.history.ActiveRevisions = append(r.history.ActiveRevisions, check.ActiveRevision{
			Node: e.Instance, Incarnation: status.Incarnation, Revision: status.Revision, ObservedAt: sent,
		})
	}
	if ok {
		for _, a := range answer.Addresses {
			r.history.Lookups = append(r.history.Lookups, check.LookupAnswer{AnsweredAt: answered, Entry: a.Instance, DataCentre: a.DataCentre})
		}
	}
}

// recordEdit records an accepted edit in the history.
func (r *rig) recordEdit(record string, a operator.Accepted) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.AcceptedEdits = append(r.history.AcceptedEdits, check.AcceptedEdit{Record: record, Revision: a.Revision, AcceptedAt: time.Now()})
}

// TestDataCentreDrainedUnderLoad guards against new requests in a drained data
// centre, against requests that the drain aborts, and against a data centre that
// gets no requests after it is restored.
func TestDataCentreDrainedUnderLoad(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	r.waitServing()
	seeds := []string{r.testCluster.Entries[0].CallerAddress, r.testCluster.Entries[1].CallerAddress, r.testCluster.Entries[2].CallerAddress}
	entryAt := make(map[string]*cluster.Entry)
	for _, e := range r.testCluster.Entries {
		entryAt[e.CallerAddress] = e
	}
	var n atomic.Int64
	stopLoad := startWorkers(t, 4, func(context.Context, int) {
		c := load.NewCaller(cluster.AccountKey(1), seeds)
		defer c.Close()
		prompt := fmt.Sprintf("%s %d", t.Name(), n.Add(1))
		res := c.Stream(r.ctx, request(prompt, 10), waitTimeout)
		r.recordResult(entryAt[res.EntryAddress], history.PromptRequestName(prompt), res, false)
	})
	defer stopLoad()
	stopObservers := startWorkers(t, len(r.testCluster.Entries), func(ctx context.Context, i int) { r.observeEntry(ctx, r.testCluster.Entries[i]) })
	defer stopObservers()
	servedInA := func(after time.Time) int { return r.countServed("dc-a", after) }
	r.waitUntil("requests in both data centres", func() bool { return servedInA(time.Time{}) > 3 && r.countServed("dc-b", time.Time{}) > 3 })

	client := operatorOf(r.testCluster.Entries[0])
	accepted, err := client.SetDrain(r.ctx, config.DrainDataCentre, "dc-a", true, operator.Edit{Reason: "test"})
	assert.NilError(t, err)
	drainedAt := time.Now()
	r.recordEdit("drain/dc-a", accepted)
	limit := check.DefaultLimits().MaxDrainDelay
	r.waitUntil("requests after the drain limit", func() bool {
		return time.Since(drainedAt) > limit+time.Second && r.countServed("dc-b", drainedAt.Add(limit)) > 20
	})
	restoredAt := time.Now()
	accepted, err = client.SetDrain(r.ctx, config.DrainDataCentre, "dc-a", false, operator.Edit{Expected: accepted.Revision})
	assert.NilError(t, err)
	r.recordEdit("drain/dc-a", accepted)
	r.waitUntil("requests in the restored data centre", func() bool { return servedInA(restoredAt) > 3 })
	stopLoad()
	stopObservers()
	r.history.Drains = append(r.history.Drains, check.Drain{Kind: check.DrainDataCentre, Name: "dc-a", AcceptedAt: drainedAt, RestoredAt: restoredAt})
	assert.Assert(t, len(r.history.Lookups) > 0)
	for _, c := range r.history.CallerRequests {
		assert.Equal(t, c.Outcome, check.OutcomeAnswered, "%s", c.String())
	}
	r.checkHistory()
}

// countServed returns the number of requests that started at engines of a data
// centre after a time.
func (r *rig) countServed(dc ident.DataCentre, after time.Time) int {
	var engines []infra.Instance
	for _, e := range r.engines {
		if e.DataCentre == dc {
			engines = append(engines, e)
		}
	}
	h, _, err := history.Collect(r.ctx, r.testCluster.PlatformURL, engines)
	if err != nil {
		return 0
	}
	n := 0
	for _, s := range h.BackendRequests {
		if s.StartedAt.After(after) {
			n++
		}
	}
	return n
}

// TestRacingEdits guards against edits that are lost because they race, because
// the answers of the store are lost, or because an entry restarts, and against an
// entry that returns to an earlier revision.
func TestRacingEdits(t *testing.T) {
	t.Parallel()
	r := startRig(t, nil)
	assert.NilError(t, r.testCluster.SetFaults(standin.Faults{LoseAnswers: 3, LoseTable: "config"}))
	stopObservers := startWorkers(t, len(r.testCluster.Entries)-1, func(ctx context.Context, i int) { r.observeEntry(ctx, r.testCluster.Entries[i]) })
	defer stopObservers()
	const rounds = 5
	var expected ident.Revision
	for round := range rounds {
		if round == 2 {
			r.testCluster.Entries[2].Kill()
		}
		var wg sync.WaitGroup
		answers, errs := make([]operator.Accepted, 2), make([]error, 2)
		for i := range 2 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				answers[i], errs[i] = operatorOf(r.testCluster.Entries[i]).SetDrain(r.ctx, config.DrainPartner, "firm", round%2 == 0,
					operator.Edit{Expected: expected, Force: true, Reason: fmt.Sprintf("operator %d", i)})
			}()
		}
		wg.Wait()
		acceptedEdits := 0
		for i := range 2 {
			if errs[i] == nil {
				acceptedEdits++
				expected = answers[i].Revision
				r.recordEdit("drain/firm", answers[i])
				continue
			}
			var problem *operator.Problem
			assert.Assert(t, errors.As(errs[i], &problem) && problem.Status == http.StatusConflict, "%v", errs[i])
		}
		assert.Equal(t, acceptedEdits, 1, "round %d", round)
	}
	var counts standin.Counts
	assert.Assert(t, r.getJSON(r.testCluster.PlatformURL+"/debug/counts", &counts))
	assert.Equal(t, counts.LostAnswers, uint64(3))
	assert.NilError(t, r.testCluster.StartEntry(r.testCluster.Entries[2]))
	r.waitUntil("the restarted entry has the last edit", func() bool {
		status, err := operatorOf(r.testCluster.Entries[2]).Status(r.ctx)
		if err == nil && status.Ready {
			assert.Assert(t, status.Revision >= expected, "ready at revision %d of %d", status.Revision, expected)
		}
		return err == nil && status.Ready
	})
	restartedAt := time.Now()
	r.waitUntil("observations for longer than the propagation limit", func() bool { return time.Since(restartedAt) > check.DefaultLimits().MaxConfigDelay+time.Second })
	stopObservers()
	assert.Assert(t, len(r.history.ActiveRevisions) > 20)
	r.checkHistory()
}
