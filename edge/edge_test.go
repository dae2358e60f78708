package edge

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/lease"
	"github.com/bulrushfall/bulrushfall/telemetry"
)

// changeDeadline is the time within which operators' changes have to be in force.
const changeDeadline = 2 * time.Second

// TestOperatorChanges checks that new configurations, keys and evacuated data centres
// reach all entry instances in time, and that an older configuration is ignored.
func TestOperatorChanges(t *testing.T) {
	tc := newTestCluster(t, 1, 3)
	tc.startPlainServer("p1", "a")
	tc.startPlainServer("p2", "b")
	assert.Assert(t, !tc.allAnswer("/l/", "k1", http.StatusOK))
	tc.store.put("op", "config", config(5, "k1"))
	tc.eventually(5*time.Second, "requests are answered", func() bool { return tc.allAnswer("/l/", "k1", http.StatusOK) })
	tc.store.put("op", "config", config(7, "k2"))
	tc.eventually(changeDeadline, "the new key is accepted", func() bool { return tc.allAnswer("/l/", "k2", http.StatusOK) })
	tc.store.put("op", "config", config(6, "k1"))
	time.Sleep(300 * time.Millisecond)
	assert.Assert(t, tc.allAnswer("/l/", "k1", http.StatusUnauthorized))
	assert.Assert(t, tc.allAnswer("/none/", "k2", http.StatusNotFound))
	tc.store.put("op", "out/a", map[string]string{})
	only := func(id string) func() bool {
		return func() bool {
			for _, n := range tc.nodes {
				for range 8 {
					if _, server := tc.get(n, "/l/", "k2"); server != id {
						return false
					}
				}
			}
			return true
		}
	}
	tc.eventually(changeDeadline, "data centre a gets no requests", only("p2"))
	tc.store.put("op", "out/b", map[string]string{})
	tc.store.remove("op", "out/a")
	tc.eventually(changeDeadline, "data centre a gets requests again, b gets none", only("p1"))
}

// TestBothStoreReadersHang checks that changes reach the other entry instances in time
// when the store calls of both readers hang.
func TestBothStoreReadersHang(t *testing.T) {
	tc := newTestCluster(t, 2, 5)
	tc.startPlainServer("p1", "a")
	tc.store.put("op", "config", config(1, "k1"))
	tc.eventually(5*time.Second, "requests are answered", func() bool { return tc.allAnswer("/l/", "k1", http.StatusOK) })
	reading := func() (out []*testNode) {
		for _, n := range tc.nodes {
			if n.readsStore.Load() {
				out = append(out, n)
			}
		}
		return out
	}
	tc.eventually(5*time.Second, "two instances read the store", func() bool { return len(reading()) == storeReaders })
	hung := reading()
	for _, n := range hung {
		n.view.hang()
	}
	tc.store.put("op", "config", config(2, "k2"))
	tc.eventually(changeDeadline, "the others have the change", func() bool {
		for _, n := range tc.nodes {
			if slices.Contains(hung, n) {
				continue
			}
			if got, _ := tc.get(n, "/l/", "k2"); got != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// TestLeavingInstance checks that an instance that shuts down is listed in no lookup and
// not ready, but still answers callers that connect to it.
func TestLeavingInstance(t *testing.T) {
	tc := newTestCluster(t, 3, 3)
	tc.startPlainServer("p1", "a")
	tc.store.put("op", "config", config(1, "k1"))
	tc.eventually(5*time.Second, "the lookup lists all instances", func() bool { return len(tc.lookup(tc.nodes[0])) == 3 })
	leaving := tc.nodes[2]
	leaving.stop()
	tc.eventually(time.Second, "no lookup lists the leaving instance", func() bool {
		for _, n := range tc.nodes {
			if slices.Contains(tc.lookup(n), leaving.settings.CallerAddress) {
				return false
			}
		}
		return true
	})
	status, _ := tc.get(leaving, "/l/", "k1")
	assert.Equal(t, status, http.StatusOK)
	resp, err := http.Get("http://" + leaving.settings.ReadyAddress)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	select {
	case <-leaving.stopped:
	case <-time.After(leaving.settings.GracePeriod):
		t.Fatal("still running at the end of the grace period")
	}
}

// TestGroupRepairAndLeaseTakeover checks that groups are formed, that another entry
// instance takes over the lease when the holder loses the store, and that it then
// replaces an unreachable member.
func TestGroupRepairAndLeaseTakeover(t *testing.T) {
	tc := newTestCluster(t, 4, 3)
	for _, id := range []ident.InstanceID{"e1", "e2", "e3", "e4", "e5"} {
		tc.servers.write(fleet.Server{ID: id, Incarnation: "1", Service: "llm", Address: "x", DataCentre: "a", Domain: "d", Slots: 8})
	}
	tc.store.put("op", "config", config(1, "k1"))
	heads := func() (out []fleet.Server) {
		tc.servers.mu.Lock()
		defer tc.servers.mu.Unlock()
		for _, s := range tc.servers.byID {
			if s.State == fleet.Open && !tc.servers.unreachable[s.ID] {
				out = append(out, s)
			}
		}
		return out
	}
	tc.eventually(8*time.Second, "two groups serve", func() bool { return len(heads()) == 2 })
	i := slices.IndexFunc(tc.nodes, func(n *testNode) bool { return n.holdsLease.Load() })
	assert.Assert(t, i >= 0)
	holder := tc.nodes[i]
	holder.view.hang()
	tc.eventually(8*time.Second, "another instance holds the lease", func() bool {
		return slices.ContainsFunc(tc.nodes, func(n *testNode) bool { return n != holder && n.holdsLease.Load() })
	})
	assert.Assert(t, !holder.holdsLease.Load())
	failedHead := heads()[0]
	tc.servers.mu.Lock()
	tc.servers.unreachable[failedHead.ID] = true
	tc.servers.mu.Unlock()
	for _, n := range tc.nodes {
		n.reportStall(failedHead.Group, failedHead.Epoch)
	}
	tc.eventually(5*time.Second, "a spare has replaced the unreachable head", func() bool {
		current := heads()
		return len(current) == 2 && !slices.ContainsFunc(current, func(s fleet.Server) bool { return s.ID == failedHead.ID })
	})
}

// TestLeaseOfOwnFormerRun guards against a long time without a lease holder after all
// entry instances have lost power. The stored lease names a run that has ended, which
// only the restarted instance itself can know. It has to acquire the lease without
// waiting for its expiry, so that groups are repaired again within two seconds.
func TestLeaseOfOwnFormerRun(t *testing.T) {
	const length = 30 * time.Second
	tc := newTestCluster(t, 7, 0)
	former := lease.Identity{Instance: "entry-0", Incarnation: "former"}
	tc.store.put(lease.Table, string(formation.LeaseName), lease.Row{Holder: former, Epoch: 4, Length: length})
	tc.store.put(lease.EpochTable, string(formation.LeaseName), lease.EpochRow{Holder: former, Epoch: 4})
	tc.store.put("op", "config", config(1, "k1"))
	tc.nodes = append(tc.nodes, tc.startNode(7, 0))
	tc.eventually(2*time.Second, "the lease is held again", func() bool { return tc.nodes[0].holdsLease.Load() })
}

// TestDrainTime guards against accepting requests later than 3 s after SIGTERM. Such a
// request has to complete within the grace period however slow its backend server is;
// one that was accepted after 3.14 s was cut.
func TestDrainTime(t *testing.T) {
	for _, s := range []Settings{
		{GracePeriod: 8 * time.Second, LookupTTL: 5 * time.Second},
		{GracePeriod: 8 * time.Second, LookupTTL: time.Second},
		{GracePeriod: 30 * time.Second, LookupTTL: 10 * time.Second},
		{GracePeriod: 2 * time.Second, LookupTTL: 5 * time.Second},
	} {
		drain := drainTime(s)
		assert.Assert(t, drain < 3*time.Second, "%v", drain)
		assert.Assert(t, drain <= s.GracePeriod/2, "%v", drain)
	}
}

// TestHungReaderFollowsOtherReader guards against a reader that gets changes only from
// the store: while its own store call hung, a configuration was in force too late. It
// has to follow the other reader too.
func TestHungReaderFollowsOtherReader(t *testing.T) {
	tc := newTestCluster(t, 5, 2)
	tc.startPlainServer("p1", "a")
	tc.store.put("op", "config", config(1, "k1"))
	tc.eventually(5*time.Second, "both read the store", func() bool {
		return tc.allAnswer("/l/", "k1", http.StatusOK) && tc.nodes[0].readsStore.Load() && tc.nodes[1].readsStore.Load()
	})
	tc.nodes[0].view.hang()
	tc.store.put("op", "config", config(2, "k2"))
	tc.eventually(changeDeadline, "both have the change", func() bool { return tc.allAnswer("/l/", "k2", http.StatusOK) })
}

// TestPollTimeoutDuringOutage guards against noticing the end of a store outage too late.
// The platform expects processes to have reached the store 3 s after its return, and a
// call that began during the outage may have to time out first.
func TestPollTimeoutDuringOutage(t *testing.T) {
	const reconnectDeadline = 3 * time.Second
	const callSlack = 800 * time.Millisecond // the store adapter waits this much longer than the poll timeout
	reader := tableReader{pollTimeout: operatorPollTimeout, storeUnavailable: true}
	longestPause := maxWatchRetryDelay + maxWatchRetryDelay/2
	assert.Assert(t, reader.nextPollTimeout()+callSlack+longestPause < reconnectDeadline-500*time.Millisecond)
	reader.storeUnavailable = false
	assert.Equal(t, reader.nextPollTimeout(), operatorPollTimeout)
}

// Planned stop under load: callers send on kept connections until the instance is gone. A
// request that a backend server has run is answered in full, and a new connection that
// was accepted is not cut.
func TestStopUnderLoad(t *testing.T) {
	const callers = 40
	tc := newTestCluster(t, 8, 1)
	n := tc.nodes[0]
	var ran sync.Map
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Request")
		ran.Store(id, true)
		time.Sleep(20 * time.Millisecond)
		w.Header().Set("X-Request", id)
		w.Header().Set("X-Proof", "p")
		_, _ = io.WriteString(w, id)
	})}
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	tc.store.put("servers", "p1", fleet.Server{ID: "p1", Incarnation: "1", Service: "plain", Address: l.Addr().String(), DataCentre: "a", Slots: 4 * callers})
	tc.store.put("op", "config", config(1, "k1"))
	tc.eventually(5*time.Second, "requests are answered", func() bool { return tc.allAnswer("/l/", "k1", http.StatusOK) })
	var wg sync.WaitGroup
	for c := range callers {
		wg.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for i := 0; ; i++ {
				id := fmt.Sprintf("id-%d-%d", c, i)
				req, err := http.NewRequest(http.MethodPost, "http://"+n.settings.CallerAddress+"/l/", strings.NewReader("x"))
				assert.Check(t, err)
				req.Host = "a.example"
				req.Header.Set("X-Request", id)
				req.Header.Set("Authorization", "Bearer k1")
				resp, err := client.Do(req)
				if err != nil {
					_, started := ran.Load(id)
					assert.Check(t, !started, "%s ran and was cut: %v", id, err)
					select {
					case <-n.stopped:
						return
					default:
						continue
					}
				}
				body, err := io.ReadAll(resp.Body)
				assert.Check(t, err)
				assert.Check(t, resp.Body.Close())
				if resp.StatusCode == http.StatusOK {
					assert.Check(t, string(body) == id, "%s got %q", id, body)
				} else if _, started := ran.Load(id); started && resp.StatusCode == http.StatusServiceUnavailable {
					t.Errorf("%s ran and was answered %d", id, resp.StatusCode)
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	n.stop()
	wg.Wait()
}

// An event that makes the control goroutine panic is dropped; the instance goes on.
func TestUnexpectedErrorOfAnEvent(t *testing.T) {
	tc := newTestCluster(t, 9, 1)
	tc.startPlainServer("p1", "a")
	tc.store.put("op", "config", config(1, "k1"))
	tc.eventually(5*time.Second, "requests are answered", func() bool { return tc.allAnswer("/l/", "k1", http.StatusOK) })
	tc.nodes[0].post(plannerEvent{formation.ServersChanged{}}) // It lacks the list of servers.
	tc.store.put("op", "config", config(2, "k2"))
	tc.eventually(changeDeadline, "the next change is in force", func() bool { return tc.allAnswer("/l/", "k2", http.StatusOK) })
}

// Guards against a holder that never gives up a lease that has expired, because others are
// preferred to it: it announced the lease on, and no other instance acted.
func TestExpiredLeaseIsGivenUp(t *testing.T) {
	n := New(testSettings(10, 0), Platform{}, logrus.New(), telemetry.New())
	n.roster.leaseRank = 10 * maxLeaseContenders
	n.holdsLease.Store(true)
	assert.Assert(t, n.contendsForLease(time.Minute, lease.Identity{}))
}
