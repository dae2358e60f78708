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

// errDatagramRefused is returned for datagrams without a valid code.
var errDatagramRefused = errors.New("membership datagram is not authentic: check the peers' shared secret")

// membershipPart drives the membership machine over datagrams. It is off
// without a socket.
type membershipPart struct {
	machine  *membership.Machine
	counters membershipCounters
}

type membershipCounters struct {
	sent, received, bytesSent, refused, sendErrors tally.Counter
	suspected, died, refuted, pauses               tally.Gauge
	selfSuspect                                    tally.Gauge
}

// membershipEvent carries an event to the machine.
type membershipEvent struct{ event membership.Event }

func (e membershipEvent) apply(l *Loop, now time.Duration) { l.stepMembership(now, e.event) }

func (l *Loop) startMembership() {
	if l.opts.Datagrams == nil {
		return
	}
	self := membership.Node{Instance: l.opts.Self.Instance, Address: l.opts.Self.PeerAddress}
	rng := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	s := l.opts.Scope
	l.membership = membershipPart{
		machine: membership.New(membership.DefaultConfig(), self, rng),
		counters: membershipCounters{
			sent:        s.Counter("membership_sent_total"),
			received:    s.Counter("membership_received_total"),
			bytesSent:   s.Counter("membership_sent_bytes_total"),
			refused:     s.Counter("membership_refused_total"),
			sendErrors:  s.Counter("membership_send_errors_total"),
			suspected:   s.Gauge("membership_suspected"),
			died:        s.Gauge("membership_died"),
			refuted:     s.Gauge("membership_refuted"),
			pauses:      s.Gauge("membership_pauses_noticed"),
			selfSuspect: s.Gauge("membership_self_suspect"),
		},
	}
}

// runMembership receives datagrams until the returned function closes the
// socket.
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

// receiveDatagrams posts authentic messages. It drops them while the control
// goroutine is behind: the machine copes with loss.
func (l *Loop) receiveDatagrams() {
	buffer := make([]byte, maxDatagramBytes)
	for {
		n, from, err := l.opts.Datagrams.ReadFrom(buffer)
		if err != nil {
			return
		}
		l.membership.counters.received.Inc(1)
		msg, err := l.openDatagram(buffer[:n])
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

func (l *Loop) openDatagram(b []byte) (membership.Message, error) {
	if len(b) < datagramMACBytes || !hmac.Equal(b[:datagramMACBytes], l.datagramMAC(b[datagramMACBytes:])) {
		return membership.Message{}, errDatagramRefused
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
			l.opts.Log.WithField("entry", a.Instance).WithField("state", a.State).Debug("opinion on entry instance changed")
		}
	}
}

// sendDatagram writes to the socket's buffer, which does not block for long.
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
	c.died.Update(float64(m.Counters.Died))
	c.refuted.Update(float64(m.Counters.Refuted))
	c.pauses.Update(float64(m.Counters.PausesNoticed))
	suspect := 0.0
	if m.SelfSuspect() {
		suspect = 1
	}
	c.selfSuspect.Update(suspect)
}

// membershipInstances passes the entries of a new instance list on.
func (l *Loop) membershipInstances(now time.Duration) {
	var nodes []membership.Node
	for _, inst := range l.instances {
		if inst.Kind == infra.KindEntry && inst.PeerAddress != "" {
			nodes = append(nodes, membership.Node{Instance: inst.ID, Address: inst.PeerAddress})
		}
	}
	l.listedNodes = membership.NodesListed{Nodes: nodes}
	l.stepMembership(now, l.listedNodes)
}

// entryStates returns membership's opinion on entry instances. A node that
// suspects itself has no opinion: it takes all others for alive. That looks at
// all nodes, so it is asked once for a pass over the entry instances.
func (l *Loop) entryStates() func(ident.InstanceID) membership.State {
	m := l.membership.machine
	if m == nil || m.SelfSuspect() {
		return func(ident.InstanceID) membership.State { return membership.StateAlive }
	}
	return func(id ident.InstanceID) membership.State {
		if id == l.opts.Self.Instance {
			return membership.StateAlive
		}
		return m.State(id)
	}
}
