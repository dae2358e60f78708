package edge

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/mirror"
)

// updateCurrency records how old this instance's copy of the operator table is. Requests are not
// decided by a copy that is older than Settings.ConfigTime while the store can be reached. late is the
// time for which the process did not run: what it reads since may have waited as long.
func (n *Node) updateCurrency(now, late time.Duration) {
	boot := bootNow()
	operator := n.tableReaders[0]
	if at := time.Duration(operator.lastAnswerAt.Load()); n.readsStore.Load() && at != 0 {
		n.currency.Confirm(boot - (now - at) - late)
	}
	known := n.mirror.Versions()
	readers, anyReaches := 0, false
	for _, r := range n.peers.Readers() {
		if now-r.Heard >= maxReaderAge {
			continue
		}
		readers++
		if isStaleReader(r, now) {
			continue
		}
		anyReaches = true
		if mirror.CoversTable(known, r.TableVersions, n.platform.OperatorTable) {
			n.currency.Confirm(boot - (now - r.Heard + r.Age) - late)
		}
	}
	ownFails := n.readsStore.Load() && operator.failing.Load()
	if !anyReaches && (readers > 0 || ownFails) {
		n.currency.StoreUnreachable(boot)
	}
	if current := n.configCurrent(); current != n.wasCurrent {
		n.wasCurrent = current
		n.log.WithFields(logrus.Fields{"current": current, "age_ms": n.currency.Age(boot).Milliseconds(), "readers": readers}).Info("currency of the configuration changed")
	}
}

// configCurrent reports whether requests may be decided by the configuration of this instance. The
// clock also counts while the machine is suspended.
func (n *Node) configCurrent() bool { return n.currency.Current(bootNow(), n.settings.ConfigTime) }
