package wire

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/bulrushfall/bulrushfall/internal/dial"
)

// maxConcurrentRequests bounds the handlers that run for one connection.
const maxConcurrentRequests = 64

// Handler answers one message from a peer.
type Handler func(ctx context.Context, from Peer, body []byte) ([]byte, error)

// Mux maps kinds of messages to handlers. Register all handlers before Serve.
type Mux struct {
	handlers map[Kind]Handler
}

// NewMux returns an empty Mux.
func NewMux() *Mux {
	return &Mux{handlers: make(map[Kind]Handler)}
}

// Register adds a typed handler for a kind of message.
func Register[Req, Resp any](m *Mux, kind Kind, fn func(ctx context.Context, from Peer, req Req) (Resp, error)) {
	m.handlers[kind] = func(ctx context.Context, from Peer, body []byte) ([]byte, error) {
		var req Req
		if err := msgpack.Unmarshal(body, &req); err != nil {
			return nil, errors.Wrapf(err, "decode %s", kind)
		}
		resp, err := fn(ctx, from, req)
		if err != nil {
			return nil, err
		}
		return Marshal(resp)
	}
}

// RemoteError is an error that the peer's handler returned.
type RemoteError struct {
	Message string
}

// Error returns the peer's message.
func (e *RemoteError) Error() string { return "peer: " + e.Message }

// Counters counts protocol events. All fields are atomic.
type Counters struct {
	FramesIn, FramesOut, Malformed, HandshakeFailures, SilentConnections atomic.Uint64
}

// Node is one end of the peer protocol: it accepts connections, and keeps one
// outgoing connection per peer address.
type Node struct {
	self     Peer
	secret   []byte
	mux      *Mux
	Counters Counters
	// dial opens a connection; tests replace it.
	dial func(ctx context.Context, addr string) (net.Conn, error)
	// serverTLS is nil without TLS.
	serverTLS *tls.Config

	mu      sync.Mutex
	clients map[string]*client
	conns   map[*conn]struct{}
	closed  bool
	wg      sync.WaitGroup
}

// NewNode returns a node that authenticates with the shared secret.
func NewNode(self Peer, secret []byte, mux *Mux) *Node {
	return &Node{
		self:    self,
		secret:  secret,
		mux:     mux,
		dial:    tcpFrom(netip.Addr{}),
		clients: make(map[string]*client),
		conns:   make(map[*conn]struct{}),
	}
}

func tcpFrom(local netip.Addr) func(ctx context.Context, addr string) (net.Conn, error) {
	from := dial.From(local, dialTimeout)
	return func(ctx context.Context, addr string) (net.Conn, error) { return from(ctx, "tcp", addr) }
}

// DialFrom sets the local address of outgoing connections. Call it before
// UseTLS and Serve.
func (n *Node) DialFrom(local netip.Addr) { n.dial = tcpFrom(local) }

// UseTLS makes the node speak TLS on all its connections. Call it before Serve.
func (n *Node) UseTLS(server, client *tls.Config) {
	n.serverTLS = server
	plain := n.dial
	n.dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := plain(ctx, addr)
		if err != nil {
			return nil, err
		}
		return tls.Client(c, client), nil
	}
}

// forget drops a client without a connection. Addresses of instances that were
// replaced would otherwise stay.
func (n *Node) forget(cl *client) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.clients[cl.addr] == cl {
		delete(n.clients, cl.addr)
	}
}

// Self returns the node's own identity.
func (n *Node) Self() Peer { return n.self }

// Serve accepts connections until the listener or the node closes.
func (n *Node) Serve(l net.Listener) error {
	for {
		c, err := l.Accept()
		if err != nil {
			if n.isClosed() {
				return nil
			}
			return errors.Wrap(err, "accept peer connection")
		}
		if n.serverTLS != nil {
			c = tls.Server(c, n.serverTLS)
		}
		if !n.start(func() { n.serveConn(newConn(c)) }) {
			_ = c.Close()
			return nil
		}
	}
}

// start runs fn in a goroutine that Close waits for.
func (n *Node) start(fn func()) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		fn()
	}()
	return true
}

func (n *Node) isClosed() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.closed
}

// Close ends all connections and waits for their goroutines. The caller closes
// the listener.
func (n *Node) Close() {
	n.mu.Lock()
	n.closed = true
	for c := range n.conns {
		c.close()
	}
	n.mu.Unlock()
	n.wg.Wait()
}

func (n *Node) track(c *conn) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.closed {
		return false
	}
	n.conns[c] = struct{}{}
	return true
}

func (n *Node) untrack(c *conn) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
}

// serveConn authenticates an accepted connection and answers its requests.
func (n *Node) serveConn(c *conn) {
	defer c.close()
	if !n.track(c) {
		return
	}
	defer n.untrack(c)
	_ = c.net.SetDeadline(time.Now().Add(SilenceTimeout))
	peer, err := handshake(c, sideListener, n.self, n.secret)
	if err != nil {
		n.Counters.HandshakeFailures.Add(1)
		return
	}
	if !n.start(func() { c.heartbeat(neverIdle) }) {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	n.readRequests(ctx, c, peer)
}

// neverIdle leaves it to the dialling end to close an idle connection.
func neverIdle() bool { return false }

func (n *Node) readRequests(ctx context.Context, c *conn, peer Peer) {
	slots := make(chan struct{}, maxConcurrentRequests)
	for {
		f, err := c.read()
		if err != nil {
			n.countReadError(err)
			return
		}
		n.Counters.FramesIn.Add(1)
		switch f.Type {
		case framePing, framePong:
		case frameRequest, frameOneWay:
			slots <- struct{}{}
			ok := n.start(func() {
				defer func() { <-slots }()
				n.answer(ctx, c, peer, f)
			})
			if !ok {
				return
			}
		default:
			n.Counters.Malformed.Add(1)
			return
		}
	}
}

func (n *Node) countReadError(err error) {
	var ne net.Error
	switch {
	case errors.As(err, &ne) && ne.Timeout():
		n.Counters.SilentConnections.Add(1)
	case errors.As(err, &ne), errors.Is(err, net.ErrClosed),
		errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.ErrClosedPipe):
	default:
		n.Counters.Malformed.Add(1)
	}
}

// answer runs the handler of one request and writes its response.
func (n *Node) answer(ctx context.Context, c *conn, peer Peer, f *frame) {
	resp := &frame{Type: frameResponse, ID: f.ID}
	h, ok := n.mux.handlers[f.Kind]
	if !ok {
		resp.Error = ErrUnknownKind.Error()
	} else if body, err := h(ctx, peer, f.Body); err != nil {
		resp.Error = err.Error()
	} else {
		resp.Body = body
	}
	if f.Type == frameOneWay {
		return
	}
	if err := c.write(resp); err != nil {
		c.close()
		return
	}
	n.Counters.FramesOut.Add(1)
}
