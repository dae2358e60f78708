package edge

import (
	"strings"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/infra"
)

// checkRestore notices that the store was restored from an older copy, and takes over what
// its copy says once writers have written their rows again.
func (n *Node) checkRestore() {
	if era := n.mirror.Era(); n.storeEraKnown && era > n.storeEra {
		n.log.WithFields(logrus.Fields{"era": era, "former_era": n.storeEra}).Warn("store was restored from an older copy: rows that may be older are withheld")
		n.storeEra = era
		n.registerAgain()
	}
	for table, rows := range n.mirror.Settle() {
		n.log.WithFields(logrus.Fields{"table": table, "era": n.storeEra, "rows": len(rows)}).Info("withheld rows of the restored store in force")
		n.applyRows(table, rows)
	}
}

// registerAgain writes the addresses of entry instances again that the restored store may
// lack.
func (n *Node) registerAgain() {
	n.addressList.written = nil
	go n.register(n.ctx)
}

// isNewerRow implements mirror.NewerFunc: a configuration with a higher version, a backend
// server that drains, or an evacuation, which does no harm if it has ended.
func (n *Node) isNewerRow(table string, known, row infra.Row) bool {
	switch {
	case table == n.platform.ServerTable:
		before, err := n.platform.DecodeServer(known, 0)
		after, afterErr := n.platform.DecodeServer(row, 0)
		return err == nil && afterErr == nil && before.Incarnation == after.Incarnation && after.Draining && !before.Draining
	case table == n.platform.OperatorTable && row.Key == n.platform.ConfigKey:
		before, _, err := n.platform.DecodeConfig(known.Value)
		after, _, afterErr := n.platform.DecodeConfig(row.Value)
		return afterErr == nil && (err != nil || after.Version > before.Version)
	}
	return table == n.platform.OperatorTable && strings.HasPrefix(row.Key, n.platform.EvacuatePrefix)
}
