package edge

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/admission"
	"github.com/bulrushfall/bulrushfall/beacon"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/quarantine"
)

// Parameters of beacons.
const (
	// beaconInterval is the time between beacons, well below beacon.PeerTimeout.
	beaconInterval = 200 * time.Millisecond
	// minBeaconSpacing is the least time between two beacons.
	minBeaconSpacing = 40 * time.Millisecond
	// beaconsPerSeed is the number of beacons after which the seeds are added again to the
	// known addresses, from which addresses without a live instance expire.
	beaconsPerSeed = 50
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
	sequence := uint64(0)
	for ctx.Err() == nil {
		if sequence%beaconsPerSeed == 0 {
			for _, seed := range n.settings.Seeds {
				n.peers.AddAddress(n.now(), seed)
			}
		}
		sequence++
		n.sendBeacon(udp, sequence)
		n.sendDigests(udp)
		sleep(ctx, minBeaconSpacing)
		t := time.NewTimer(beaconInterval - beaconInterval/8 + rand.N(beaconInterval/4) - minBeaconSpacing)
		select {
		case <-ctx.Done():
		case <-n.beaconRequests:
		case <-t.C:
		}
		t.Stop()
	}
}

// sendBeacon sends one beacon.
func (n *Node) sendBeacon(udp *net.UDPConn, sequence uint64) {
	plan := n.peers.PlanBeacon(n.now())
	n.isRelay.Store(plan.IsRelay)
	m := beacon.Message{
		From: n.settings.Instance, Incarnation: n.self.Incarnation, Sequence: sequence, CallerAddress: n.settings.CallerAddress,
		DataCentre: n.settings.DataCentre, CPUShare: n.settings.CPULimit, Ready: n.ready.Load(), Leaving: n.leaving.Load(),
		RequestsReceived: n.handler.Accepted() > 0, HoldsLease: n.holdsLease.Load(),
		ReadsStore: n.readsStore.Load() && n.announcesReading.Load(), WantDigest: plan.WantDigest, Acks: plan.Acks,
		PeerAddresses: plan.PeerAddresses, Crashes: n.handler.CrashFindings(n.now()), Limits: n.handler.LimitReports(n.now()),
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
	n.addActivity(&m)
	n.peers.SetSelf(m)
	b, err := beacon.Encode(&m)
	if err != nil {
		n.log.WithError(err).Error("beacon not sent: it cannot be encoded")
		return
	}
	n.sendDatagram(udp, b, plan.Targets)
}

// sendDigests sends the digests of a relay, and those for instances that asked for them.
func (n *Node) sendDigests(udp *net.UDPConn) {
	for _, o := range n.peers.PlanDigests(n.now()) {
		b, err := beacon.EncodeDigest(&o.Digest)
		if err != nil {
			n.log.WithError(err).Error("digest not sent: it cannot be encoded")
			continue
		}
		n.sendDatagram(udp, b, o.Targets)
	}
}

func (n *Node) sendDatagram(udp *net.UDPConn, b []byte, targets []netip.Addr) {
	for _, a := range targets {
		if a.IsValid() && a != n.settings.IP {
			// A send error has the same effect as a lost datagram, which peers tolerate.
			_, _ = udp.WriteToUDPAddrPort(b, netip.AddrPortFrom(a, uint16(n.settings.PeerPort)))
		}
	}
}

// receiveBeacons processes the beacons of other entry instances until the node's
// context ends.
func (n *Node) receiveBeacons(udp *net.UDPConn) {
	buffer := make([]byte, beacon.MaxDatagramBytes)
	for {
		size, from, err := udp.ReadFromUDPAddrPort(buffer)
		if err != nil {
			if n.ctx.Err() != nil {
				return
			}
			time.Sleep(tickInterval)
			continue
		}
		if beacon.IsDigest(buffer[:size]) {
			n.guard(func() { n.logDropped(n.receiveDigest(buffer[:size]), size, from) })
			continue
		}
		n.guard(func() { n.logDropped(n.receiveBeacon(buffer[:size], from.Addr().Unmap()), size, from) })
	}
}

// metricDroppedDatagrams counts the datagrams that could not be decoded.
const metricDroppedDatagrams = "beacons_dropped_total"

// logDropped counts and logs a datagram that was dropped because of an error.
func (n *Node) logDropped(err error, size int, from netip.AddrPort) {
	if err == nil {
		return
	}
	n.metrics.Scope.Counter(metricDroppedDatagrams).Inc(1)
	n.postWarning("dropped", "datagram dropped", errors.Wrapf(err, "%d bytes from %s, of which at most %d are read", size, from.Addr().Unmap(), beacon.MaxDatagramBytes))
}

// receiveBeacon processes a beacon of another entry instance.
func (n *Node) receiveBeacon(b []byte, from netip.Addr) error {
	m, err := beacon.Decode(b)
	if err != nil {
		return err
	}
	m.Address = from
	result := n.peers.Receive(n.now(), m)
	if result.Stale {
		return nil
	}
	n.receiveActivity(&m)
	if result.Appeared {
		n.post(peerEvent{run: beacon.Run{Instance: m.From, Incarnation: m.Incarnation}, alive: true})
		n.requestBeacon() // The peer may not know this instance yet.
	}
	n.mergeFindings(m.From, m.Crashes, m.Limits)
	if result.EndedRun != (beacon.Run{}) {
		n.post(peerEvent{run: result.EndedRun})
	}
	for _, group := range m.StalledGroups {
		n.post(stallReportEvent{group, m.From})
	}
	if len(m.StalledGroups) > 0 && n.isRelay.Load() {
		n.requestBeacon()
	}
	return nil
}

// mergeFindings applies what another entry instance has found out about backend servers:
// crashes and request limits. A relay passes on new findings at once.
func (n *Node) mergeFindings(from ident.InstanceID, f quarantine.Findings, limits []admission.LimitReport) {
	changed := n.handler.MergeCrashFindings(n.now(), from, f)
	changed = n.handler.MergeLimitReports(n.now(), limits) || changed
	if changed && n.isRelay.Load() {
		n.requestBeacon()
	}
}

// receiveDigest processes a digest of another entry instance.
func (n *Node) receiveDigest(b []byte) error {
	d, err := beacon.DecodeDigest(b)
	if err != nil {
		return err
	}
	result := n.peers.ReceiveDigest(n.now(), d)
	n.receiveTime(d.From, d.Time)
	n.mergeFindings(d.From, d.Crashes, d.Limits)
	for _, run := range result.Appeared {
		n.post(peerEvent{run: run, alive: true})
	}
	for _, run := range result.Ended {
		n.post(peerEvent{run: run})
	}
	for _, r := range result.Stalled {
		n.post(stallReportEvent{r.GroupEpoch, r.Reporter})
	}
	if len(result.Stalled) > 0 && n.isRelay.Load() {
		n.requestBeacon()
	}
	return nil
}
