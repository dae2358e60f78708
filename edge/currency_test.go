package edge

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against requests that are decided by a configuration that was replaced long ago, because the
// instance that decides is late and does not know.
func TestReplacedConfigurationDecidesNothing(t *testing.T) {
	tc := newTestCluster(t, 53, 3)
	tc.startPlainServer("p1", "a")
	tc.store.put("op", "config", config(5, "k1"))
	tc.eventually(5*time.Second, "requests are answered", func() bool { return tc.allAnswer("/l/", "k1", http.StatusOK) })
	n := tc.nodes[0]
	release := make(chan struct{})
	stall := func() { <-release }
	n.beforeDecode.Store(&stall)
	tc.store.put("op", "config", config(6, "k2"))
	time.Sleep(changeDeadline + 300*time.Millisecond)
	status, _ := tc.get(n, "/l/", "k1")
	assert.Equal(t, status, http.StatusServiceUnavailable, "a dropped key is not known to be dropped")
	status, _ = tc.get(n, "/l/", "k2")
	assert.Equal(t, status, http.StatusServiceUnavailable, "a new key is not known to be new")
	close(release)
	tc.eventually(time.Second, "the new key is accepted", func() bool {
		status, _ := tc.get(n, "/l/", "k2")
		return status == http.StatusOK
	})
}

// Guards against refusals of all requests while the store is away for long.
func TestConfigurationStaysInUseInOutage(t *testing.T) {
	tc := newTestCluster(t, 54, 3)
	tc.startPlainServer("p1", "a")
	tc.store.put("op", "config", config(5, "k1"))
	tc.eventually(5*time.Second, "requests are answered", func() bool { return tc.allAnswer("/l/", "k1", http.StatusOK) })
	for _, n := range tc.nodes {
		n.view.hang()
	}
	for end := time.Now().Add(3 * changeDeadline); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		assert.Assert(t, tc.allAnswer("/l/", "k1", http.StatusOK))
	}
}
