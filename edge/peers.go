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
	// beaconEvery is the time between beacons for up to beaconFull instances. It
	// grows with their number, so that the datagrams a second stay bounded.
	beaconEvery = 200 * time.Millisecond
	beaconFull  = 12
	// beaconMost bounds the time between beacons below the time after which an
	// instance counts as silent.
	beaconMost = 400 * time.Millisecond
	// beaconPeers is the number of other addresses in a beacon.
	beaconPeers = 6
	// beaconPeersEvery is the number of beacons of which one holds addresses.
	beaconPeersEvery = 5
	// maxDatagram bounds a beacon.
	maxDatagram = 16 << 10
	// entryTable lists the addresses of entry instances.
	entryTable = "entry"
	// registerRetry is the pause between attempts to register.
	registerRetry = 700 * time.Millisecond
)

// wake sends a beacon now.
func (n *Node) wake() {
	select {
	case n.nudge <- struct{}{}:
	default: // One is due already.
	}
}

// announce sends beacons.
func (n *Node) announce(ctx context.Context, udp *net.UDPConn) {
	now := n.now()
	for _, a := range n.set.Seeds {
		n.peers.Know(now, a)
	}
	number := uint64(0)
	for ctx.Err() == nil {
		number++
		to := n.peers.Addresses()
		n.sendBeacon(udp, number, to)
		every := min(beaconMost, beaconEvery*time.Duration(max(beaconFull, len(to)))/beaconFull)
		if n.direct.Load() || n.holds.Load() {
			every = beaconEvery // The others rely on what these say.
		}
		t := time.NewTimer(every - every/8 + rand.N(every/4))
		select {
		case <-ctx.Done():
		case <-n.nudge:
		case <-t.C:
		}
		t.Stop()
	}
}

func (n *Node) sendBeacon(udp *net.UDPConn, number uint64, to []netip.Addr) {
	m := beacon.Message{
		From: n.set.Instance, Incarnation: n.self.Incarnation, Number: number, Callers: n.set.CallerAddress,
		DataCentre: n.set.DataCentre, Capacity: n.set.CPULimit, Ready: n.ready.Load(), Leaving: n.leaving.Load(),
		Served: n.handler.Accepted() > 0, Holds: n.holds.Load(),
		Direct: n.direct.Load(),
	}
	if m.Direct {
		m.StoreAge, m.Tops = n.age(n.now()), n.mirror.Tops()
	}
	n.handler.VisitInFlight(func(id ident.InstanceID, inFlight int) {
		m.Loads = append(m.Loads, beacon.NewLoad(id, inFlight))
	})
	now := n.now()
	failing, vouched := n.handler.HealthReports(now)
	m.Failing, m.Vouched = beacon.Hashes(failing), beacon.Hashes(vouched)
	n.suspects.Lock()
	for s, until := range n.suspects.list {
		if now >= until {
			delete(n.suspects.list, s)
			continue
		}
		m.Suspects = append(m.Suspects, s)
	}
	n.suspects.Unlock()
	if number%beaconPeersEvery == 1 {
		for range min(beaconPeers, len(to)) {
			m.Peers = append(m.Peers, to[rand.IntN(len(to))].String())
		}
	}
	b, err := beacon.Encode(&m)
	if err != nil {
		n.log.WithError(err).Error("beacon not sent")
		return
	}
	for _, a := range to {
		if a != n.set.IP {
			// A datagram that cannot be sent is as good as one that is lost.
			_, _ = udp.WriteToUDPAddrPort(b, netip.AddrPortFrom(a, uint16(n.set.PeerPort)))
		}
	}
}

// receive takes beacons.
func (n *Node) receive(udp *net.UDPConn) {
	b := make([]byte, maxDatagram)
	for {
		size, from, err := udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			time.Sleep(tickEvery)
			continue
		}
		m, err := beacon.Decode(b[:size])
		if err != nil {
			continue // Datagrams of others than entry instances are dropped.
		}
		m.Address = from.Addr().Unmap()
		news := n.peers.Receive(n.now(), m)
		if news.Stale {
			continue
		}
		if news.Appeared {
			n.log.WithField("peer", m.From).WithField("incarnation", m.Incarnation).Info("entry instance appeared")
			n.post(peerEvent{run: beacon.Run{Instance: m.From, Incarnation: m.Incarnation}, alive: true})
			n.wake() // It may not know of this instance yet.
		}
		if news.Ended != (beacon.Run{}) {
			n.post(peerEvent{run: news.Ended})
		}
		for _, s := range m.Suspects {
			n.post(suspectEvent{s, m.From})
		}
	}
}

// register writes this instance's address to the store, unless it stands there
// from an earlier run, and reads the others'. Those that start together write
// first, so that of two at least the later one learns of the other.
func (n *Node) register(ctx context.Context) {
	own := infra.RowKey{Table: entryTable, Key: string(n.set.Instance)}
	write := n.set.FirstStart
	for ctx.Err() == nil {
		var err error
		if write {
			row := infra.Write{RowKey: own, Value: []byte(n.set.IP.String())}
			_, err = n.plat.Table.Txn(ctx, infra.Txn{Writes: []infra.Write{row}})
		}
		if err == nil {
			var changes infra.Changes
			if changes, err = n.plat.Watcher.Snapshot(ctx, entryTable); err == nil {
				found := n.learn(changes.Rows)
				n.wake()
				if found {
					return
				}
			}
			write = err == nil
		}
		if err != nil {
			sleep(ctx, registerRetry/2+rand.N(registerRetry))
		}
	}
}

// learn takes the addresses of other entry instances, and reports whether this
// one's is among them.
func (n *Node) learn(rows []infra.Change) bool {
	found := false
	for _, r := range rows {
		a, err := netip.ParseAddr(string(r.Value))
		switch {
		case r.Deleted || err != nil:
		case r.Key == string(n.set.Instance) && a == n.set.IP:
			found = true
		default:
			n.peers.Know(n.now(), a)
		}
	}
	return found
}
