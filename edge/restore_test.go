package edge

import (
	"net/http"
	"testing"
	"time"

	"github.com/bulrushfall/bulrushfall/infra"
)

// TestChangeAfterRestore guards against changes of operators that never come in force after
// the store was restored from an older copy, and against configurations and evacuations that
// come back older.
func TestChangeAfterRestore(t *testing.T) {
	tc := newTestCluster(t, 31, 3)
	tc.startPlainServer("p1", "a")
	tc.startPlainServer("p2", "b")
	tc.store.put("op", "config", config(5, "k1"))
	tc.eventually(5*time.Second, "requests are answered", func() bool { return tc.allAnswer("/l/", "k1", http.StatusOK) })
	older := tc.store.copyState()
	for i := range 20 {
		tc.store.put("other", "row", i)
	}
	tc.store.put("op", "config", config(7, "k2"))
	tc.store.put("op", "out/a", map[string]string{})
	onlyB := func() bool {
		for _, n := range tc.nodes {
			for range 8 {
				if _, server := tc.get(n, "/l/", "k2"); server != "p2" {
					return false
				}
			}
		}
		return true
	}
	tc.eventually(changeDeadline, "the new key is accepted and data centre a gets no requests", onlyB)

	tc.store.restore(older)
	until := time.Now().Add(time.Second)
	for time.Now().Before(until) {
		if !onlyB() {
			t.Fatal("the older configuration or the end of the evacuation came in force after the restore")
		}
		time.Sleep(20 * time.Millisecond)
	}
	tc.store.put("op", "config", config(7, "k2"))
	tc.store.put("op", "out/a", map[string]string{})
	tc.store.put("op", "config", config(8, "k3"))
	tc.eventually(changeDeadline, "the change after the restore is in force", func() bool { return tc.allAnswer("/l/", "k3", http.StatusOK) })
	tc.store.remove("op", "out/a")
	tc.eventually(changeDeadline, "data centre a gets requests again", func() bool {
		for range 8 {
			if _, server := tc.get(tc.nodes[0], "/l/", "k3"); server == "p1" {
				return true
			}
		}
		return false
	})
}

// TestAddressesAfterRestore guards against an entry instance whose address the restored store
// lacks, so that a restarted one whose seeds are gone can't find it.
func TestAddressesAfterRestore(t *testing.T) {
	tc := newTestCluster(t, 32, 2)
	older := tc.store.copyState()
	tc.store.put("op", "config", config(5, "k1"))
	registered := func() bool {
		tc.store.mu.Lock()
		defer tc.store.mu.Unlock()
		for _, n := range tc.nodes {
			if _, ok := tc.store.rows[infra.RowKey{Table: entryTable, Key: string(n.settings.Instance)}]; !ok {
				return false
			}
		}
		return true
	}
	tc.eventually(5*time.Second, "all instances have registered", registered)
	for i := range 20 {
		tc.store.put("other", "row", i)
	}
	tc.store.restore(older)
	tc.store.put("op", "config", config(5, "k1"))
	tc.eventually(5*time.Second, "all instances have registered again", registered)
}
