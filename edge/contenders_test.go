package edge

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/beacon"
	"github.com/bulrushfall/bulrushfall/formation"
	"github.com/bulrushfall/bulrushfall/ident"
)

// Guards against a lease that all instances of a large fleet read and try to acquire once its
// holder has ended, also the weakest: only the most preferred contend for it.
func TestFewContendForLease(t *testing.T) {
	tc := newTestCluster(t, 51, 1)
	n := tc.nodes[0]
	holder := beacon.Run{Instance: "strong-0", Incarnation: "1"}
	for i := range 20 {
		m := beacon.Message{
			From: ident.InstanceID(fmt.Sprint("strong-", i)), Incarnation: "1", Sequence: 1, CPUShare: 4, DataCentre: "a",
			CallerAddress: "127.0.0.1:1", Address: n.settings.IP, HoldsLease: i == 0,
		}
		n.peers.Receive(n.now(), m)
	}
	tc.eventually(5*time.Second, "the holder is known", func() bool { return n.peers.Relayed() })
	time.Sleep(300 * time.Millisecond)
	reads := n.view.getCalls()
	n.events <- peerEvent{run: holder}
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, n.view.getCalls(), reads, "%s is read by an instance of rank 20", formation.LeaseName)
}
