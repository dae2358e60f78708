package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// maxDatagramBytes is the largest UDP payload.
const maxDatagramBytes = 65507

// udpForwarder forwards datagrams and keeps one socket to the target for each
// client address.
type udpForwarder struct {
	st     *linkState
	conn   *net.UDPConn
	target *net.UDPAddr
	wg     sync.WaitGroup

	mu       sync.Mutex
	closed   bool
	packets  uint64
	sessions map[string]*udpSession
}

type udpSession struct {
	client *net.UDPAddr
	from   string
	server *net.UDPConn
	silent bool
}

func startUDP(st *linkState) (forwarder, error) {
	addr, err := net.ResolveUDPAddr("udp", st.link.Listen)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve %s", st.link.Listen)
	}
	if !addr.IP.IsLoopback() {
		return nil, errors.Wrap(httpd.ErrNotLoopback, st.link.Listen)
	}
	target, err := net.ResolveUDPAddr("udp", st.link.Target)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve %s", st.link.Target)
	}
	conn, err := net.ListenUDP("udp", addr)
	if err != nil {
		return nil, errors.Wrapf(err, "listen on %s", st.link.Listen)
	}
	f := &udpForwarder{st: st, conn: conn, target: target, sessions: make(map[string]*udpSession)}
	f.wg.Add(1)
	go f.receive()
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

// silence drops all further datagrams of the clients known so far.
func (f *udpForwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.sessions {
		if !s.silent {
			s.silent = true
			f.st.counters.silenced.Add(1)
		}
	}
}

// reset forgets all clients: their next datagram comes from a new port.
func (f *udpForwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for k, s := range f.sessions {
		_ = s.server.Close()
		delete(f.sessions, k)
		f.st.counters.resets.Add(1)
	}
}

func (f *udpForwarder) receive() {
	defer f.wg.Done()
	b := make([]byte, maxDatagramBytes)
	for {
		n, client, err := f.conn.ReadFromUDP(b)
		if err != nil {
			return
		}
		s := f.session(client)
		if s == nil || !f.passes(s, true) {
			f.st.counters.dropped.Add(uint64(n))
			continue
		}
		f.later(append([]byte{}, b[:n]...), func(p []byte) {
			if _, err := s.server.Write(p); err == nil {
				f.st.counters.up.Add(uint64(len(p)))
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
	s := &udpSession{client: client, from: f.st.from(client), server: server}
	f.sessions[client.String()] = s
	f.st.counters.connections.Add(1)
	f.wg.Add(1)
	go f.answer(s)
	return s
}

func (f *udpForwarder) answer(s *udpSession) {
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
		if !f.passes(s, false) {
			f.st.counters.dropped.Add(uint64(n))
			continue
		}
		f.later(append([]byte{}, b[:n]...), func(p []byte) {
			if _, err := f.conn.WriteToUDP(p, s.client); err == nil {
				f.st.counters.down.Add(uint64(len(p)))
			}
		})
	}
}

// passes applies silence, cuts, drops and loss to one datagram.
func (f *udpForwarder) passes(s *udpSession, up bool) bool {
	fault := f.st.read()
	cut, _ := f.st.cut(s.from, up)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.packets++
	lost := fault.LossEvery > 0 && f.packets%uint64(fault.LossEvery) == 0
	return !s.silent && !cut && !lost && !(up && fault.DropUp) && !(!up && fault.DropDown)
}

// later forwards a datagram after the latency.
func (f *udpForwarder) later(p []byte, send func([]byte)) {
	fault := f.st.read()
	if fault.LatencyMillis <= 0 {
		send(p)
		return
	}
	f.st.counters.delayed.Add(1)
	time.AfterFunc(time.Duration(fault.LatencyMillis)*time.Millisecond, func() { send(p) })
}
