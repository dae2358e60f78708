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
	// chunkBytes is the maximum size of one read.
	chunkBytes = 4096
	// queueChunks is the maximum number of chunks that a connection queues per
	// direction.
	queueChunks = 64
	// socketBufferBytes is the size of the socket buffers. It is small, so that a
	// bandwidth limit causes backpressure at the target.
	socketBufferBytes = 16 << 10
	// dialTimeout limits a connection attempt to the target.
	dialTimeout = time.Second
	// closeCheckInterval is how often a wait for the end of a partition checks
	// whether the proxy is closed.
	closeCheckInterval = time.Second
	// newConnWait is how long a new connection waits for the end of a partition.
	// Callers time out sooner; without a limit their connections would accumulate.
	newConnWait = 5 * time.Second
)

type tcpForwarder struct {
	state    *linkState
	listener net.Listener
	wg       sync.WaitGroup

	mu     sync.Mutex
	closed bool
	conns  map[*tcpConn]struct{}
}

// tcpConn is one forwarded connection.
type tcpConn struct {
	forwarder      *tcpForwarder
	clientGroup    string
	client, server *net.TCPConn
	silent         atomic.Bool
	closed         chan struct{} // closed when the connection ends
	closeOnce      sync.Once
	chunkCount     atomic.Uint64
}

type chunk struct {
	data   []byte
	sendAt time.Time
}

func startTCP(state *linkState) (forwarder, error) {
	l, err := httpd.Listen(state.link.Listen)
	if err != nil {
		return nil, err
	}
	f := &tcpForwarder{state: state, listener: l, conns: make(map[*tcpConn]struct{})}
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
		c.shutdown()
	}
	f.mu.Unlock()
	f.wg.Wait()
}

func (f *tcpForwarder) silence() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if !c.silent.Swap(true) {
			f.state.counters.silenced.Add(1)
		}
	}
}

func (f *tcpForwarder) reset() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		f.state.counters.resets.Add(1)
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
		if f.state.currentFault().Refuse {
			f.state.counters.refused.Add(1)
			_ = client.SetLinger(0)
			_ = client.Close()
			continue
		}
		f.wg.Add(1)
		go func() {
			defer f.wg.Done()
			f.forwardConn(client)
		}()
	}
}

// forwardConn forwards one connection until both directions have ended. It resets
// the client if a partition lasts longer than newConnWait or the target cannot be
// reached.
func (f *tcpForwarder) forwardConn(client *net.TCPConn) {
	c := &tcpConn{forwarder: f, clientGroup: f.state.clientGroup(client.RemoteAddr()), client: client, closed: make(chan struct{})}
	giveUp := make(chan struct{})
	timer := time.AfterFunc(newConnWait, func() { close(giveUp) })
	reachable := c.waitWhilePartitioned(giveUp, true)
	timer.Stop()
	if !reachable {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.Dial("tcp", f.state.link.Target)
	server, ok := nc.(*net.TCPConn)
	if err != nil || !ok {
		_ = client.SetLinger(0)
		_ = client.Close()
		return
	}
	c.server = server
	for _, s := range []*net.TCPConn{client, server} {
		_ = s.SetReadBuffer(socketBufferBytes)
		_ = s.SetWriteBuffer(socketBufferBytes)
	}
	if !f.register(c) {
		c.shutdown()
		return
	}
	f.state.counters.connections.Add(1)
	f.state.counters.open.Add(1)
	var wg sync.WaitGroup
	wg.Add(2)
	go func() { defer wg.Done(); c.forwardDirection(client, server, true) }()
	go func() { defer wg.Done(); c.forwardDirection(server, client, false) }()
	wg.Wait()
	c.shutdown()
	f.state.counters.open.Add(-1)
	f.mu.Lock()
	delete(f.conns, c)
	f.mu.Unlock()
}

// waitWhilePartitioned waits while a partition blocks a direction. It returns false
// if cancel or the proxy is closed first.
func (c *tcpConn) waitWhilePartitioned(cancel <-chan struct{}, up bool) bool {
	f := c.forwarder
	for {
		f.mu.Lock()
		closed := f.closed
		f.mu.Unlock()
		blocked, changed := f.state.partitioned(c.clientGroup, up)
		if !blocked || closed {
			return !closed
		}
		f.state.counters.heldBack.Add(1)
		t := time.NewTimer(closeCheckInterval)
		select {
		case <-changed:
		case <-cancel:
			t.Stop()
			return false
		case <-t.C: // check again whether the proxy is closed
		}
		t.Stop()
	}
}

// register adds a connection. It returns false if the forwarder is closed.
func (f *tcpForwarder) register(c *tcpConn) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.closed {
		return false
	}
	f.conns[c] = struct{}{}
	return true
}

func (c *tcpConn) shutdown() {
	c.closeOnce.Do(func() {
		close(c.closed)
		_ = c.client.Close()
		if c.server != nil {
			_ = c.server.Close()
		}
	})
}

func (c *tcpConn) reset() {
	_ = c.client.SetLinger(0)
	_ = c.server.SetLinger(0)
	c.shutdown()
}

// forwardDirection forwards one direction. It forwards the end of the direction as
// a half-close, unless the connection is silenced.
func (c *tcpConn) forwardDirection(from, to *net.TCPConn, up bool) {
	queue := make(chan chunk, queueChunks)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.writeChunks(to, queue, up)
	}()
	err := c.readChunks(from, queue, up)
	close(queue)
	<-done
	if c.silent.Load() {
		// A silenced connection must not show the other end that this one closed.
		<-c.closed
		return
	}
	if err != nil {
		c.shutdown()
		return
	}
	_ = to.CloseWrite()
}

// readChunks reads and queues chunks until the end of the direction, and applies
// loss and drops.
func (c *tcpConn) readChunks(from *net.TCPConn, queue chan<- chunk, up bool) error {
	for {
		b := make([]byte, chunkBytes)
		n, err := from.Read(b)
		if n > 0 {
			fault := c.forwarder.state.currentFault()
			if fault.LossEvery > 0 && c.chunkCount.Add(1)%uint64(fault.LossEvery) == 0 {
				c.forwarder.state.counters.resets.Add(1)
				c.reset()
				return net.ErrClosed
			}
			if (up && fault.DropUp) || (!up && fault.DropDown) {
				c.forwarder.state.counters.dropped.Add(uint64(n))
			} else {
				select {
				case queue <- chunk{data: b[:n], sendAt: time.Now().Add(time.Duration(fault.LatencyMillis) * time.Millisecond)}:
				case <-c.closed:
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

// writeChunks writes queued chunks with the latency and the rate limit of the link.
func (c *tcpConn) writeChunks(to *net.TCPConn, queue <-chan chunk, up bool) {
	for ch := range queue {
		if !c.waitToForward(ch, up) {
			continue
		}
		if !up && !c.limitRate(len(ch.data)) {
			continue
		}
		if _, err := to.Write(ch.data); err != nil {
			c.shutdown()
			continue
		}
		if up {
			c.forwarder.state.counters.bytesUp.Add(uint64(len(ch.data)))
		} else {
			c.forwarder.state.counters.bytesDown.Add(uint64(len(ch.data)))
		}
	}
}

// waitToForward waits for the latency and for the end of a partition. It reports
// whether to forward the chunk. A silenced connection forwards none.
func (c *tcpConn) waitToForward(ch chunk, up bool) bool {
	if wait := time.Until(ch.sendAt); wait > 0 {
		c.forwarder.state.counters.delayed.Add(1)
		if !c.sleep(wait) {
			return false
		}
	}
	if c.silent.Load() {
		c.forwarder.state.counters.heldBack.Add(1)
		<-c.closed
		return false
	}
	return c.waitWhilePartitioned(c.closed, up)
}

// limitRate waits for as long as n bytes take at the rate limit. It returns false
// if the connection is closed first.
func (c *tcpConn) limitRate(n int) bool {
	fault := c.forwarder.state.currentFault()
	if fault.BytesPerSecond <= 0 {
		return true
	}
	c.forwarder.state.counters.slowed.Add(1)
	return c.sleep(time.Duration(n) * time.Second / time.Duration(fault.BytesPerSecond))
}

func (c *tcpConn) sleep(d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-c.closed:
		return false
	}
}
