package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// maxDatagramBytes is the largest UDP payload over IPv4.
const maxDatagramBytes = 65507

// udpForwarder forwards datagrams. It keeps one socket to the target for each
// client address.
type udpForwarder struct {
	state  *linkState
	conn   *net.UDPConn
	target *net.UDPAddr
	wg     sync.WaitGroup

	mu            sync.Mutex
	closed        bool
	datagramCount uint64
	sessions      map[string]*udpSession
}

type udpSession struct {
	client      *net.UDPAddr
	clientGroup string
	server      *net.UDPConn
	silent      bool
}

func startUDP(state *linkState) (forwarder, error) {
	addr, err := net.ResolveUDPAddr("udp", state.link.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve %s", state.link.Listen)
	}
	if !addr.IP.IsLoopback() {
		return nil, errors.Wrap(httpd.ErrNotLoopback, state.link.Listen)
	}
	target, err := net.ResolveUDPAddr("udp", state.link.Target)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve %s", state.link.Target)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", state.link.Listen)
	}
	f := &udpForwarder{state: state, conn: conn, target: target, sessions: make(map[string]*udpSession)}
	f.wg.Add(1)
	go f.forwardRequests()
	return f, nil
}

func (f *udpForwarder) address() string { return f.conn.LocalAddr().String() }

func (f *udpForwarder) close() {
	f.mu.Lock()
	f.closed = true
	for _, s := range f.sessions {
		_ = s.server.Close()
	}
	f.mu.Unlock()
	_ = f.conn.Close()
	f.wg.Wait()
}

// silence drops all further datagrams of the current sessions.
func (f *udpForwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sessions {
		if !s.silent {
			s.silent = true
			f.state.counters.silenced.Add(1)
		}
	}
}

// reset ends all sessions. The next datagram of a client reaches the target from a
// new port.
func (f *udpForwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, s := range f.sessions {
		_ = s.server.Close()
		delete(f.sessions, k)
		f.state.counters.resets.Add(1)
	}
}

func (f *udpForwarder) forwardRequests() {
	defer f.wg.Done()
	b := make([]byte, maxDatagramBytes)
	for {
		n, client, err := f.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		s := f.session(client)
		if s == nil || !f.shouldForward(s, true) {
			f.state.counters.dropped.Add(uint64(n))
			continue
		}
		f.sendDelayed(append([]byte{}, b[:n]...), func(p []byte) {
			if _, err := s.server.Write(p); err == nil {
				f.state.counters.bytesUp.Add(uint64(len(p)))
			}
		})
	}
}

func (f *udpForwarder) session(client *net.UDPAddr) *udpSession {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s, ok := f.sessions[client.String()]; ok {
		return s
	}
	if f.closed {
		return nil
	}
	server, err := net.DialUDP("udp", nil, f.target)
	if err != nil {
		return nil
	}
	s := &udpSession{client: client, clientGroup: f.state.clientGroup(client), server: server}
	f.sessions[client.String()] = s
	f.state.counters.connections.Add(1)
	f.wg.Add(1)
	go f.forwardReplies(s)
	return s
}

func (f *udpForwarder) forwardReplies(s *udpSession) {
	defer f.wg.Done()
	b := make([]byte, maxDatagramBytes)
	for {
		n, err := s.server.Read(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the target refused an earlier datagram
		}
		if !f.shouldForward(s, false) {
			f.state.counters.dropped.Add(uint64(n))
			continue
		}
		f.sendDelayed(append([]byte{}, b[:n]...), func(p []byte) {
			if _, err := f.conn.WriteToUDP(p, s.client); err == nil {
				f.state.counters.bytesDown.Add(uint64(len(p)))
			}
		})
	}
}

// shouldForward applies silencing, partitions, drops and loss to one datagram.
func (f *udpForwarder) shouldForward(s *udpSession, up bool) bool {
	fault := f.state.currentFault()
	blocked, _ := f.state.partitioned(s.clientGroup, up)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.datagramCount++
	lost := fault.LossEvery > 0 && f.datagramCount%uint64(fault.LossEvery) == 0
	return !s.silent && !blocked && !lost && !(up && fault.DropUp) && !(!up && fault.DropDown)
}

// sendDelayed sends a datagram after the latency of the link.
func (f *udpForwarder) sendDelayed(p []byte, send func([]byte)) {
	fault := f.state.currentFault()
	if fault.LatencyMillis <= 0 {
		send(p)
		return
	}
	f.state.counters.delayed.Add(1)
	time.AfterFunc(time.Duration(fault.LatencyMillis)*time.Millisecond, func() { send(p) })
}
