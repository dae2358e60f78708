package faultproxy

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

const (
	// chunkBytes is the unit of forwarding.
	chunkBytes = 4096
	// queueChunks bounds what the proxy holds per direction.
	queueChunks = 64
	// slowBufferBytes keeps the socket buffers small, so that slow draining
	// reaches the target.
	slowBufferBytes = 16 << 10
	dialTimeout     = time.Second
	// newConnHold bounds how long a new connection waits at a cut. Callers give
	// up sooner; without a bound their connections would pile up.
	newConnHold = 5 * time.Second
)

type tcpForwarder struct {
	st       *linkState
	listener net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[*tcpConn]struct{}
}

// tcpConn is one forwarded connection.
type tcpConn struct {
	f              *tcpForwarder
	from           string
	client, server *net.TCPConn
	silent         atomic.Bool
	wake           chan struct{} // closed when the connection ends
	once           sync.Once
	chunks         atomic.Uint64
}

type chunk struct {
	data []byte
	due  time.Time
}

func startTCP(st *linkState) (forwarder, error) {
	l, err := httpd.Listen(st.link.Listen)
	if err != nil {
		return nil, err
	}
	f := &tcpForwarder{st: st, listener: l, conns: make(map[*tcpConn]struct{})}
	f.wg.Add(1)
	go f.accept()
	return f, nil
}

func (f *tcpForwarder) address() string { return f.listener.Addr().String() }

func (f *tcpForwarder) close() {
	_ = f.listener.Close()
	f.mu.Lock()
	f.closed = true
	for c := range f.conns {
		c.end()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *tcpForwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if !c.silent.Swap(true) {
			f.st.counters.silenced.Add(1)
		}
	}
}

func (f *tcpForwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		f.st.counters.resets.Add(1)
		c.reset()
	}
}

func (f *tcpForwarder) accept() {
	defer f.wg.Done()
	for {
		nc, err := f.listener.Accept()
		if err != nil {
			return
		}
		client, ok := nc.(*net.TCPConn)
		if !ok {
			_ = nc.Close()
			continue
		}
		if f.st.read().Refuse {
			f.st.counters.refused.Add(1)
			_ = client.SetLinger(0)
			_ = client.Close()
			continue
		}
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			f.serve(client)
		}()
	}
}

func (f *tcpForwarder) serve(client *net.TCPConn) {
	c := &tcpConn{f: f, from: f.st.from(client.RemoteAddr()), client: client, wake: make(chan struct{})}
	giveUp := make(chan struct{})
	hold := time.AfterFunc(newConnHold, func() { close(giveUp) })
	healed := c.waitHealed(giveUp, true)
	hold.Stop()
	if !healed {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.Dial("tcp", f.st.link.Target)
	server, ok := nc.(*net.TCPConn)
	if err != nil || !ok {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c.server = server
	for _, s := range []*net.TCPConn{client, server} {
		_ = s.SetReadBuffer(slowBufferBytes)
		_ = s.SetWriteBuffer(slowBufferBytes)
	}
	if !f.track(c) {
		c.end()
		return
	}
	f.st.counters.connections.Add(1)
	f.st.counters.open.Add(1)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); c.pump(client, server, true) }()
	go func() { defer wg.Done(); c.pump(server, client, false) }()
	wg.Wait()
	c.end()
	f.st.counters.open.Add(-1)
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// waitHealed waits while a direction is cut, or until wake is closed.
func (c *tcpConn) waitHealed(wake <-chan struct{}, up bool) bool {
	f := c.f
	for {
		f.mu.Lock()
		closed := f.closed
		f.mu.Unlock()
		cut, change := f.st.cut(c.from, up)
		if !cut || closed {
			return !closed
		}
		f.st.counters.held.Add(1)
		t := time.NewTimer(dialTimeout)
		select {
		case <-change:
		case <-wake:
			t.Stop()
			return false
		case <-t.C: // look again whether the proxy was closed
		}
		t.Stop()
	}
}

func (f *tcpForwarder) track(c *tcpConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.conns[c] = struct{}{}
	return true
}

func (c *tcpConn) end() {
	c.once.Do(func() {
		close(c.wake)
		_ = c.client.Close()
		if c.server != nil {
			_ = c.server.Close()
		}
	})
}

func (c *tcpConn) reset() {
	_ = c.client.SetLinger(0)
	_ = c.server.SetLinger(0)
	c.end()
}

// pump forwards one direction. The end of one direction is passed on as a half
// close, unless the connection is silent.
func (c *tcpConn) pump(from, to *net.TCPConn, up bool) {
	queue := make(chan chunk, queueChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.write(to, queue, up)
	}()
	err := c.read(from, queue, up)
	close(queue)
	<-done
	if c.silent.Load() {
		// The other end must not learn that this one closed.
		<-c.wake
		return
	}
	if err != nil {
		c.end()
		return
	}
	_ = to.CloseWrite()
}

// read queues what arrives until the end of the direction.
func (c *tcpConn) read(from *net.TCPConn, queue chan<- chunk, up bool) error {
	for {
		b := make([]byte, chunkBytes)
		n, err := from.Read(b)
		if n > 0 {
			fault := c.f.st.read()
			if fault.LossEvery > 0 && c.chunks.Add(1)%uint64(fault.LossEvery) == 0 {
				c.f.st.counters.resets.Add(1)
				c.reset()
				return net.ErrClosed
			}
			if (up && fault.DropUp) || (!up && fault.DropDown) {
				c.f.st.counters.dropped.Add(uint64(n))
			} else {
				select {
				case queue <- chunk{data: b[:n], due: time.Now().Add(time.Duration(fault.LatencyMillis) * time.Millisecond)}:
				case <-c.wake:
					return net.ErrClosed
				}
			}
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				return nil
			}
			return err
		}
	}
}

// write forwards queued chunks with the link's delay and rate.
func (c *tcpConn) write(to *net.TCPConn, queue <-chan chunk, up bool) {
	for ch := range queue {
		if !c.pass(ch, up) {
			continue
		}
		if !up && !c.drain(len(ch.data)) {
			continue
		}
		if _, err := to.Write(ch.data); err != nil {
			c.end()
			continue
		}
		if up {
			c.f.st.counters.up.Add(uint64(len(ch.data)))
		} else {
			c.f.st.counters.down.Add(uint64(len(ch.data)))
		}
	}
}

// pass waits for the latency, a silence or a cut. It reports whether the chunk
// goes on.
func (c *tcpConn) pass(ch chunk, up bool) bool {
	if wait := time.Until(ch.due); wait > 0 {
		c.f.st.counters.delayed.Add(1)
		if !c.wait(wait) {
			return false
		}
	}
	if c.silent.Load() {
		c.f.st.counters.held.Add(1)
		<-c.wake
		return false
	}
	return c.waitHealed(c.wake, up)
}

// drain limits the rate of one direction.
func (c *tcpConn) drain(n int) bool {
	fault := c.f.st.read()
	if fault.BytesPerSecond <= 0 {
		return true
	}
	c.f.st.counters.slowed.Add(1)
	return c.wait(time.Duration(n) * time.Second / time.Duration(fault.BytesPerSecond))
}

func (c *tcpConn) wait(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.wake:
		return false
	}
}
