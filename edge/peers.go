package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/bulrushfall/bulrushfall/beacon"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
)

// Parameters of beacons.
const (
	// beaconInterval is the time between beacons to up to fullRatePeers instances. With
	// more of them the interval grows, so that the number of datagrams per second
	// stays bounded.
	beaconInterval = 200 * time.Millisecond
	fullRatePeers  = 12
	// maxBeaconInterval caps the time between beacons well below beacon.PeerTimeout,
	// after which an instance counts as dead.
	maxBeaconInterval = 400 * time.Millisecond
	// addressesPerBeacon is the number of peer addresses in a beacon that lists any.
	addressesPerBeacon = 6
	// beaconsPerAddressList is the period of such beacons: one in so many lists
	// addresses.
	beaconsPerAddressList = 5
	// maxBeaconSize bounds the size of a received beacon.
	maxBeaconSize = 16 << 10
	// entryTable is the store table of the addresses of entry instances.
	entryTable = "entry"
	// registerRetryDelay is the pause between attempts to register.
	registerRetryDelay = 700 * time.Millisecond
)

// requestBeacon has sendBeacons send a beacon without delay.
func (n *Node) requestBeacon() {
	select {
	case n.beaconRequests <- struct{}{}:
	default: // A request is pending already.
	}
}

// sendBeacons sends beacons until ctx ends: regularly and when requested.
func (n *Node) sendBeacons(ctx context.Context, udp *net.UDPConn) {
	now := n.now()
	for _, seed := range n.settings.Seeds {
		n.peers.AddAddress(now, seed)
	}
	sequence := uint64(0)
	for ctx.Err() == nil {
		sequence++
		addresses := n.peers.Addresses()
		n.sendBeacon(udp, sequence, addresses)
		interval := min(maxBeaconInterval, beaconInterval*time.Duration(max(fullRatePeers, len(addresses)))/fullRatePeers)
		if n.readsStore.Load() || n.holdsLease.Load() {
			interval = beaconInterval // The others depend on the beacons of store readers and the lease holder.
		}
		t := time.NewTimer(interval - interval/8 + rand.N(interval/4))
		select {
		case <-ctx.Done():
		case <-n.beaconRequests:
		case <-t.C:
		}
		t.Stop()
	}
}

// sendBeacon sends one beacon to the given addresses.
func (n *Node) sendBeacon(udp *net.UDPConn, sequence uint64, addresses []netip.Addr) {
	m := beacon.Message{
		From: n.settings.Instance, Incarnation: n.self.Incarnation, Sequence: sequence, CallerAddress: n.settings.CallerAddress,
		DataCentre: n.settings.DataCentre, CPUShare: n.settings.CPULimit, Ready: n.ready.Load(), Leaving: n.leaving.Load(),
		RequestsReceived: n.handler.Accepted() > 0, HoldsLease: n.holdsLease.Load(),
		ReadsStore: n.readsStore.Load(),
	}
	if m.ReadsStore {
		m.StoreAge, m.TableVersions = n.storeAge(n.now()), n.mirror.Versions()
	}
	n.handler.VisitInFlight(func(id ident.InstanceID, inFlight int) {
		m.Loads = append(m.Loads, beacon.NewLoad(id, inFlight))
	})
	now := n.now()
	failing, healthy := n.handler.HealthReports(now)
	m.FailingServers, m.HealthyServers = beacon.HashIDs(failing), beacon.HashIDs(healthy)
	n.stalledGroups.Lock()
	for s, until := range n.stalledGroups.reportUntil {
		if now >= until {
			delete(n.stalledGroups.reportUntil, s)
			continue
		}
		m.StalledGroups = append(m.StalledGroups, s)
	}
	n.stalledGroups.Unlock()
	if sequence%beaconsPerAddressList == 1 {
		for range min(addressesPerBeacon, len(addresses)) {
			m.PeerAddresses = append(m.PeerAddresses, addresses[rand.IntN(len(addresses))].String())
		}
	}
	b, err := beacon.Encode(&m)
	if err != nil {
		n.log.WithError(err).Error("beacon not sent: it cannot be encoded")
		return
	}
	for _, a := range addresses {
		if a != n.settings.IP {
			// A send error has the same effect as a lost datagram, which peers tolerate.
			_, _ = udp.WriteToUDPAddrPort(b, netip.AddrPortFrom(a, uint16(n.settings.PeerPort)))
		}
	}
}

// receiveBeacons processes the beacons of other entry instances until the node's
// context ends.
func (n *Node) receiveBeacons(udp *net.UDPConn) {
	buffer := make([]byte, maxBeaconSize)
	for {
		size, from, err := udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			time.Sleep(tickInterval)
			continue
		}
		m, err := beacon.Decode(buffer[:size])
		if err != nil {
			continue // Drop datagrams that are not beacons.
		}
		m.Address = from.Addr().Unmap()
		result := n.peers.Receive(n.now(), m)
		if result.Stale {
			continue
		}
		if result.Appeared {
			n.log.WithField("peer", m.From).WithField("incarnation", m.Incarnation).Info("entry instance appeared")
			n.post(peerEvent{run: beacon.Run{Instance: m.From, Incarnation: m.Incarnation}, alive: true})
			n.requestBeacon() // The peer may not know this instance yet.
		}
		if result.EndedRun != (beacon.Run{}) {
			n.post(peerEvent{run: result.EndedRun})
		}
		for _, group := range m.StalledGroups {
			n.post(stallReportEvent{group, m.From})
		}
	}
}

// register adds the addresses of the other entry instances from the store to the peer
// table, and writes this instance's address to the store unless an earlier run has
// done so. At the first start of the whole system it writes before it reads: of two
// instances that start together at least the later one then finds the other.
func (n *Node) register(ctx context.Context) {
	key := infra.RowKey{Table: entryTable, Key: string(n.settings.Instance)}
	write := n.settings.FirstStart
	for ctx.Err() == nil {
		var err error
		if write {
			row := infra.Write{RowKey: key, Value: []byte(n.settings.IP.String())}
			_, err = n.platform.Table.Txn(ctx, infra.Txn{Writes: []infra.Write{row}})
		}
		if err == nil {
			var changes infra.Changes
			if changes, err = n.platform.Watcher.Snapshot(ctx, entryTable); err == nil {
				found := n.addPeerAddresses(changes.Rows)
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
		address, err := netip.ParseAddr(string(r.Value))
		switch {
		case r.Deleted || err != nil:
		case r.Key == string(n.settings.Instance) && address == n.settings.IP:
			found = true
		default:
			n.peers.AddAddress(n.now(), address)
		}
	}
	return found
}
