package edge

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against whole tables that are read by each instance that begins to read the store, although
// its replica lacks nothing but the newest changes.
func TestNewReaderReadsOnlyChanges(t *testing.T) {
	tc := newTestCluster(t, 52, 3)
	tc.startPlainServer("p1", "a")
	tc.store.put("op", "config", config(5, "k1"))
	tc.eventually(5*time.Second, "requests are answered", func() bool { return tc.allAnswer("/l/", "k1", http.StatusOK) })
	time.Sleep(time.Second)
	var follower, reader *testNode
	for _, n := range tc.nodes {
		if n.readsStore.Load() {
			reader = n
		} else {
			follower = n
		}
	}
	assert.Assert(t, follower != nil && reader != nil)
	before := follower.view.snapshotCalls()
	reader.stop()
	tc.eventually(5*time.Second, "the follower reads the store", follower.readsStore.Load)
	tc.store.put("op", "config", config(6, "k2"))
	tc.eventually(changeDeadline, "the new key is accepted", func() bool {
		status, _ := tc.get(follower, "/l/", "k2")
		return status == http.StatusOK
	})
	assert.Equal(t, follower.view.snapshotCalls(), before)
}

// Guards against instances without a source of changes: the next ones in the order replace store
// readers that are cut off from the store, also where all are in one data centre.
func TestReadersAreReplacedInOneDataCentre(t *testing.T) {
	tc := newTestCluster(t, 55, 5)
	tc.startPlainServer("p1", "a")
	tc.store.put("op", "config", config(5, "k1"))
	tc.eventually(5*time.Second, "requests are answered", func() bool { return tc.allAnswer("/l/", "k1", http.StatusOK) })
	time.Sleep(time.Second)
	for _, n := range tc.nodes {
		if n.readsStore.Load() {
			n.view.hang()
		}
	}
	time.Sleep(2 * maxReaderAge)
	tc.store.put("op", "config", config(6, "k2"))
	tc.eventually(changeDeadline, "the new key is accepted", func() bool { return tc.allAnswer("/l/", "k2", http.StatusOK) })
}
