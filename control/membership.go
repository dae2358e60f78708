package control

import (
	"crypto/hmac"
	"crypto/sha256"
	"math/rand/v2"
	"net"
	"time"

	"github.com/pkg/errors"
	"github.com/uber-go/tally/v4"

	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/membership"
)

// Format of membership datagrams: a truncated HMAC-SHA256 over the shared
// secret, then the message.
const (
	datagramMACBytes = 16
	maxDatagramBytes = 4096
)

// errDatagramUnauthenticated is returned for datagrams without a valid HMAC.
var errDatagramUnauthenticated = errors.New("membership datagram failed authentication: check that all peers have the same shared secret")

// membershipState holds the membership machine, whose messages are sent as datagrams.
// Without a socket machine is nil and membership is disabled.
type membershipState struct {
	machine  *membership.Machine
	counters membershipCounters
}

type membershipCounters struct {
	sent, received, bytesSent, refused, sendErrors   tally.Counter
	suspected, declaredDead, refuted, pausesDetected tally.Gauge
	suspectsItself                                   tally.Gauge
}

// membershipEvent carries an event to the membership machine.
type membershipEvent struct{ event membership.Event }

func (e membershipEvent) apply(l *Loop, now time.Duration) { l.stepMembership(now, e.event) }

func (l *Loop) startMembership() {
	if l.opts.Datagrams == nil {
		return
	}
	self := membership.Node{Instance: l.opts.Self.Instance, Address: l.opts.Self.PeerAddress}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := l.opts.Scope
	l.membership = membershipState{
		machine: membership.New(membership.DefaultConfig(), self, rng),
		counters: membershipCounters{
			sent:           s.Counter("membership_sent_total"),
			received:       s.Counter("membership_received_total"),
			bytesSent:      s.Counter("membership_sent_bytes_total"),
			refused:        s.Counter("membership_refused_total"),
			sendErrors:     s.Counter("membership_send_errors_total"),
			suspected:      s.Gauge("membership_suspected"),
			declaredDead:   s.Gauge("membership_died"),
			refuted:        s.Gauge("membership_refuted"),
			pausesDetected: s.Gauge("membership_pauses_noticed"),
			suspectsItself: s.Gauge("membership_self_suspect"),
		},
	}
}

// runMembership starts to receive datagrams. The returned function closes the socket,
// which ends it.
func (l *Loop) runMembership() (stop func()) {
	if l.opts.Datagrams == nil {
		return func() {}
	}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		l.receiveDatagrams()
	}()
	return func() { _ = l.opts.Datagrams.Close() }
}

// receiveDatagrams posts authenticated messages to the control goroutine. It drops
// them while the event queue is full, because membership tolerates message loss.
func (l *Loop) receiveDatagrams() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.opts.Datagrams.ReadFrom(buffer)
		if err != nil {
			return
		}
		l.membership.counters.received.Inc(1)
		msg, err := l.verifyDatagram(buffer[:n])
		if err != nil {
			l.membership.counters.refused.Inc(1)
			continue
		}
		select {
		case l.events <- membershipEvent{membership.MessageReceived{Address: from.String(), Message: msg}}:
		default:
			l.counters.droppedEvents.Inc(1)
		}
	}
}

// verifyDatagram checks the HMAC of a datagram and decodes its message.
func (l *Loop) verifyDatagram(b []byte) (membership.Message, error) {
	if len(b) < datagramMACBytes || !hmac.Equal(b[:datagramMACBytes], l.datagramMAC(b[datagramMACBytes:])) {
		return membership.Message{}, errDatagramUnauthenticated
	}
	return membership.Decode(b[datagramMACBytes:])
}

func (l *Loop) datagramMAC(body []byte) []byte {
	m := hmac.New(sha256.New, l.opts.PeerSecret)
	_, _ = m.Write([]byte("membership"))
	_, _ = m.Write(body)
	return m.Sum(nil)[:datagramMACBytes]
}

func (l *Loop) stepMembership(now time.Duration, ev membership.Event) {
	if l.membership.machine == nil {
		return
	}
	for _, a := range l.membership.machine.Step(now, ev) {
		switch a := a.(type) {
		case membership.SendMessage:
			l.sendDatagram(a)
		case membership.StateChanged:
			l.traceMembership(a)
			l.opts.Log.WithField("entry", a.Instance).WithField("state", a.State).Debug("assumed state of entry instance changed")
		}
	}
}

// sendDatagram sends a message. The write goes to the socket's buffer and does not
// block for long.
func (l *Loop) sendDatagram(s membership.SendMessage) {
	c := &l.membership.counters
	addr, err := net.ResolveUDPAddr("udp", s.Address)
	if err != nil {
		c.sendErrors.Inc(1)
		return
	}
	body, err := membership.Encode(s.Message)
	if err != nil {
		c.sendErrors.Inc(1)
		return
	}
	b := append(l.datagramMAC(body), body...)
	if _, err := l.opts.Datagrams.WriteTo(b, addr); err != nil {
		c.sendErrors.Inc(1)
		return
	}
	c.sent.Inc(1)
	c.bytesSent.Inc(int64(len(b)))
}

func (l *Loop) tickMembership(now time.Duration) {
	m := l.membership.machine
	if m == nil {
		return
	}
	l.stepMembership(now, membership.Tick{})
	c := &l.membership.counters
	c.suspected.Update(float64(m.Counters.Suspected))
	c.declaredDead.Update(float64(m.Counters.DeclaredDead))
	c.refuted.Update(float64(m.Counters.Refuted))
	c.pausesDetected.Update(float64(m.Counters.PausesDetected))
	gaugeValue := 0.0
	if m.SuspectsItself() {
		gaugeValue = 1
	}
	c.suspectsItself.Update(gaugeValue)
}

// updateMembershipNodes passes the entry instances of a new instance list to the
// membership machine.
func (l *Loop) updateMembershipNodes(now time.Duration) {
	var nodes []membership.Node
	for _, inst := range l.instances {
		if inst.Kind == infra.KindEntry && inst.PeerAddress != "" {
			nodes = append(nodes, membership.Node{Instance: inst.ID, Address: inst.PeerAddress})
		}
	}
	l.membershipNodes = membership.NodesListed{Nodes: nodes}
	l.stepMembership(now, l.membershipNodes)
}

// entryStates returns a function that returns the state of an entry instance, as
// membership assumes it. If this entry instance suspects itself, all others count as
// alive. That check reads all nodes, so callers use one function for a pass over the
// entry instances.
func (l *Loop) entryStates() func(ident.InstanceID) membership.State {
	m := l.membership.machine
	if m == nil || m.SuspectsItself() {
		return func(ident.InstanceID) membership.State { return membership.StateAlive }
	}
	return func(id ident.InstanceID) membership.State {
		if id == l.opts.Self.Instance {
			return membership.StateAlive
		}
		return m.State(id)
	}
}
