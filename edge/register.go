package edge

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// The addresses of entry instances are kept in the store, so that a restarted instance
// finds the others when all its seeds are gone. With few instances, each has a row. With
// many, one instance of each data centre writes a row for all of them.
const (
	// entryTable is the store table of the addresses.
	entryTable = "entry"
	// dataCentreKeyPrefix begins the key of the row of a data centre, whose value is a
	// JSON list of addresses. The row of a single instance has its id as key and the
	// address as value.
	dataCentreKeyPrefix = "@"
	// registerRetryDelay is the pause between attempts to register.
	registerRetryDelay = 700 * time.Millisecond
	// addressListInterval is the least time between two writes of a data centre's row.
	addressListInterval = 2 * time.Second
)

// register adds the addresses of the other entry instances from the store to the peer
// table, and writes this instance's address to the store unless an earlier run has
// done so. At the first start of the whole system it writes before it reads: of two
// instances that start together at least the later one then finds the other. An instance
// that has found many others by its seeds leaves the store alone.
func (n *Node) register(ctx context.Context) {
	write := n.settings.FirstStart
	discoveryTime := peerDiscoveryTime
	if write {
		discoveryTime = firstStartDiscoveryTime
	}
	sleep(ctx, discoveryTime)
	key := infra.RowKey{Table: entryTable, Key: string(n.settings.Instance)}
	for ctx.Err() == nil && !n.peers.Relayed() {
		var err error
		if write {
			row := infra.Write{RowKey: key, Value: []byte(n.settings.IP.String())}
			_, err = n.platform.Table.Txn(ctx, infra.Txn{Writes: []infra.Write{row}})
		}
		if err == nil {
			var changes infra.Changes
			if changes, err = n.platform.Watcher.Snapshot(ctx, entryTable); err == nil {
				found := n.addPeerAddresses(changes.Rows)
				n.log.WithFields(logrus.Fields{"rows": len(changes.Rows), "own": found, "written": write}).Info("addresses of entry instances read")
				n.requestBeacon()
				if found {
					return
				}
			}
			write = err == nil
		}
		if err != nil {
			sleep(ctx, registerRetryDelay/2+rand.N(registerRetryDelay))
		}
	}
}

// addPeerAddresses adds the addresses of other entry instances to the peer table. It
// reports whether this instance's address is among the rows.
func (n *Node) addPeerAddresses(rows []infra.Change) bool {
	found := false
	for _, r := range rows {
		if r.Deleted {
			continue
		}
		for _, address := range parseAddresses(r.Value) {
			if address == n.settings.IP {
				found = true
				continue
			}
			n.peers.AddAddress(n.now(), address)
		}
	}
	return found
}

// parseAddresses returns the addresses in the value of a row. Values that cannot be
// decoded are ignored, like addresses at which no instance runs any more.
func parseAddresses(value []byte) []netip.Addr {
	if a, err := netip.ParseAddr(string(value)); err == nil {
		return []netip.Addr{a}
	}
	var list []netip.Addr
	if json.Unmarshal(value, &list) != nil {
		return nil
	}
	return list
}

// addressList is the state of the row of this instance's data centre.
type addressList struct {
	written   map[netip.Addr]bool
	writing   bool
	nextWrite time.Duration
}

// addressesWritten reports the result of a write of the data centre's row.
type addressesWritten struct {
	addresses []netip.Addr
	err       error
}

func (addressesWritten) edgeEvent() {}

// writeAddressList writes the row of the data centre if this instance is the first of it
// and the row lacks an address. Addresses of instances that are gone stay until then.
func (n *Node) writeAddressList(now time.Duration) {
	l := &n.addressList
	if !n.peers.Relayed() || n.roster.localRank > 0 || l.writing || now < l.nextWrite || n.leaving.Load() {
		return
	}
	addresses := []netip.Addr{n.settings.IP}
	missing := !l.written[n.settings.IP]
	for i := range n.roster.records {
		r := &n.roster.records[i]
		if a := r.Address(); r.DataCentre == n.settings.DataCentre && a.IsValid() {
			addresses = append(addresses, a)
			missing = missing || !l.written[a]
		}
	}
	if !missing {
		return
	}
	l.writing, l.nextWrite = true, now+addressListInterval
	go func() {
		ctx, cancel := context.WithTimeout(n.ctx, storeTimeout)
		defer cancel()
		n.post(addressesWritten{addresses, n.storeAddressList(ctx, n.settings.DataCentre, addresses)})
	}()
}

func (n *Node) storeAddressList(ctx context.Context, d ident.DataCentre, addresses []netip.Addr) error {
	value, err := json.Marshal(addresses)
	if err != nil {
		return err
	}
	row := infra.Write{RowKey: infra.RowKey{Table: entryTable, Key: dataCentreKeyPrefix + string(d)}, Value: value}
	_, err = n.platform.Table.Txn(ctx, infra.Txn{Writes: []infra.Write{row}})
	return err
}

func (n *Node) handleAddressesWritten(e addressesWritten) {
	n.addressList.writing = false
	if e.err != nil {
		n.warnRateLimited("addresses", "addresses of the data centre not stored: a restart relies on the seeds", e.err)
		return
	}
	n.addressList.written = make(map[netip.Addr]bool, len(e.addresses))
	for _, a := range e.addresses {
		n.addressList.written[a] = true
	}
	n.log.WithFields(logrus.Fields{"data_centre": n.settings.DataCentre, "addresses": len(e.addresses)}).Info("addresses of the data centre stored")
}
