package edge

import (
	"net/http"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/lease"
)

// changeLimit is the time in which operators' changes have to be in force.
const changeLimit = 2 * time.Second

// Configurations, keys and data centres that are taken out reach all entry
// instances, and an older configuration changes nothing.
func TestOperatorsChanges(t *testing.T) {
	r := newRig(t, 1, 3)
	r.plainServer("p1", "a")
	r.plainServer("p2", "b")
	assert.Assert(t, !r.everywhere("/l/", "k1", http.StatusOK))
	r.store.put("op", "config", config(5, "k1"))
	r.eventually(5*time.Second, "requests are answered", func() bool { return r.everywhere("/l/", "k1", http.StatusOK) })
	r.store.put("op", "config", config(7, "k2"))
	r.eventually(changeLimit, "the new key is taken", func() bool { return r.everywhere("/l/", "k2", http.StatusOK) })
	r.store.put("op", "config", config(6, "k1"))
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, r.everywhere("/l/", "k1", http.StatusUnauthorized))
	assert.Assert(t, r.everywhere("/none/", "k2", http.StatusNotFound))
	r.store.put("op", "out/a", map[string]string{})
	only := func(id string) func() bool {
		return func() bool {
			for _, n := range r.nodes {
				for range 8 {
					if _, by := r.get(n, "/l/", "k2"); by != id {
						return false
					}
				}
			}
			return true
		}
	}
	r.eventually(changeLimit, "data centre a gets nothing", only("p2"))
	r.store.put("op", "out/b", map[string]string{})
	r.store.remove("op", "out/a")
	r.eventually(changeLimit, "data centre a is back, b out", only("p1"))
}

// Two entry instances read the store for all; when the path of both is lost
// without a sign, a change is still in force in time at those that reach it.
func TestReadersCutOff(t *testing.T) {
	r := newRig(t, 2, 5)
	r.plainServer("p1", "a")
	r.store.put("op", "config", config(1, "k1"))
	r.eventually(5*time.Second, "requests are answered", func() bool { return r.everywhere("/l/", "k1", http.StatusOK) })
	reading := func() (out []*testNode) {
		for _, n := range r.nodes {
			if n.direct.Load() {
				out = append(out, n)
			}
		}
		return out
	}
	r.eventually(5*time.Second, "two readers are left", func() bool { return len(reading()) == readers })
	lost := reading()
	for _, n := range lost {
		n.view.silence()
	}
	r.store.put("op", "config", config(2, "k2"))
	r.eventually(changeLimit, "the others have the change", func() bool {
		for _, n := range r.nodes {
			if slices.Contains(lost, n) {
				continue
			}
			if got, _ := r.get(n, "/l/", "k2"); got != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// A process that leaves is named to no caller any more, is not ready, and answers
// those that still come.
func TestLeave(t *testing.T) {
	r := newRig(t, 3, 3)
	r.plainServer("p1", "a")
	r.store.put("op", "config", config(1, "k1"))
	r.eventually(5*time.Second, "all are named", func() bool { return len(r.lookup(r.nodes[0])) == 3 })
	leaver := r.nodes[2]
	leaver.stop()
	r.eventually(time.Second, "the leaving one is not named", func() bool {
		for _, n := range r.nodes {
			if slices.Contains(r.lookup(n), leaver.set.CallerAddress) {
				return false
			}
		}
		return true
	})
	status, _ := r.get(leaver, "/l/", "k1")
	assert.Equal(t, status, http.StatusOK)
	resp, err := http.Get("http://" + leaver.set.ReadyAddress)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	select {
	case <-leaver.done:
	case <-time.After(leaver.set.GracePeriod):
		t.Fatal("still running at the end of the grace period")
	}
}

// Groups are formed, a member that falls silent is replaced, and another entry
// instance goes on when the holder of the lease is gone.
func TestGroupsAndHolder(t *testing.T) {
	r := newRig(t, 4, 3)
	for _, id := range []ident.InstanceID{"e1", "e2", "e3", "e4", "e5"} {
		r.engines.write(fleet.Server{ID: id, Incarnation: "1", Service: "llm", Address: "x", DataCentre: "a", Domain: "d", Slots: 8})
	}
	r.store.put("op", "config", config(1, "k1"))
	heads := func() (out []fleet.Server) {
		r.engines.mu.Lock()
		defer r.engines.mu.Unlock()
		for _, s := range r.engines.all {
			if s.State == fleet.Open && !r.engines.dark[s.ID] {
				out = append(out, s)
			}
		}
		return out
	}
	r.eventually(8*time.Second, "two groups serve", func() bool { return len(heads()) == 2 })
	i := slices.IndexFunc(r.nodes, func(n *testNode) bool { return n.holds.Load() })
	assert.Assert(t, i >= 0)
	holder := r.nodes[i]
	holder.view.silence()
	r.eventually(8*time.Second, "another one holds the lease", func() bool {
		return slices.ContainsFunc(r.nodes, func(n *testNode) bool { return n != holder && n.holds.Load() })
	})
	assert.Assert(t, !holder.holds.Load())
	victim := heads()[0]
	r.engines.mu.Lock()
	r.engines.dark[victim.ID] = true
	r.engines.mu.Unlock()
	for _, n := range r.nodes {
		n.suspect(victim.Group, victim.Epoch)
	}
	r.eventually(5*time.Second, "the group serves with a spare", func() bool {
		now := heads()
		return len(now) == 2 && !slices.ContainsFunc(now, func(s fleet.Server) bool { return s.ID == victim.ID })
	})
}

// Pattern: all entry instances lose power at once. The lease names a run that has
// ended, which only its own entry instance can know: it takes the lease without
// waiting for its end, so that groups are repaired again within two seconds.
func TestLeaseOfOwnFormerRun(t *testing.T) {
	const length = 30 * time.Second
	r := newRig(t, 7, 0)
	former := lease.Identity{Instance: "entry-0", Incarnation: "former"}
	r.store.put(lease.Table, string(formation.LeaseName), lease.Row{Holder: former, Epoch: 4, Length: length})
	r.store.put(lease.EpochTable, string(formation.LeaseName), lease.EpochRow{Holder: former, Epoch: 4})
	r.store.put("op", "config", config(1, "k1"))
	r.nodes = append(r.nodes, r.start(7, 0))
	r.eventually(2*time.Second, "the lease is held again", func() bool { return r.nodes[0].holds.Load() })
}

// A request that a leaving process takes later than 3 s after its SIGTERM has to
// end within the grace period, whatever its backend server does: one that was
// taken after 3.14 s was cut.
func TestLatestConnection(t *testing.T) {
	for _, s := range []Settings{
		{GracePeriod: 8 * time.Second, LookupTTL: 5 * time.Second},
		{GracePeriod: 8 * time.Second, LookupTTL: time.Second},
		{GracePeriod: 30 * time.Second, LookupTTL: 10 * time.Second},
		{GracePeriod: 2 * time.Second, LookupTTL: 5 * time.Second},
	} {
		linger := lingerTime(s)
		assert.Assert(t, linger < 3*time.Second, "%v", linger)
		assert.Assert(t, linger <= s.GracePeriod/2, "%v", linger)
	}
}

// A reader whose own path to the store hangs takes changes from the other one. It
// waited for its own call alone, and a configuration was in force too late.
func TestHungReaderFollowsTheOther(t *testing.T) {
	r := newRig(t, 5, 2)
	r.plainServer("p1", "a")
	r.store.put("op", "config", config(1, "k1"))
	r.eventually(5*time.Second, "both read the store", func() bool {
		return r.everywhere("/l/", "k1", http.StatusOK) && r.nodes[0].direct.Load() && r.nodes[1].direct.Load()
	})
	r.nodes[0].view.silence()
	r.store.put("op", "config", config(2, "k2"))
	r.eventually(changeLimit, "both have the change", func() bool { return r.everywhere("/l/", "k2", http.StatusOK) })
}

// After an outage the store is asked again soon enough: the platform counts
// processes as in touch 3 s after its return, and the call that began last may
// have to time out first.
func TestPollAfterOutage(t *testing.T) {
	const inTouch = 3 * time.Second
	const callSlack = 800 * time.Millisecond // of the adapter, beyond the wait
	r := reader{wait: operatorWait, lost: true}
	longestPause := watchRetryMost + watchRetryMost/2
	assert.Assert(t, r.pollWait()+callSlack+longestPause < inTouch-500*time.Millisecond)
	r.lost = false
	assert.Equal(t, r.pollWait(), operatorWait)
}
