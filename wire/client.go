package wire

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// dialTimeout bounds a connection attempt including the handshake.
const dialTimeout = 500 * time.Millisecond

// client is the outgoing connection to one peer address.
type client struct {
	node *Node
	addr string

	dial sync.Mutex // serialises connection attempts

	mu      sync.Mutex
	conn    *conn
	peer    Peer
	nextID  uint64
	pending map[uint64]chan *frame
}

// Call sends a request to the peer at an address and decodes its response.
func (n *Node) Call(ctx context.Context, addr string, kind Kind, req, resp any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, CallTimeout)
		defer cancel()
	}
	body, err := msgpack.Marshal(req)
	if err != nil {
		return errors.Wrapf(err, "encode %s", kind)
	}
	f, err := n.client(addr).call(ctx, &frame{Type: frameRequest, Kind: kind, Body: body})
	if err != nil {
		return err
	}
	if f.Error != "" {
		return &RemoteError{Message: f.Error}
	}
	return errors.Wrapf(msgpack.Unmarshal(f.Body, resp), "decode response to %s", kind)
}

// Send sends a one-way message to the peer at an address.
func (n *Node) Send(ctx context.Context, addr string, kind Kind, msg any) error {
	body, err := msgpack.Marshal(msg)
	if err != nil {
		return errors.Wrapf(err, "encode %s", kind)
	}
	cl := n.client(addr)
	c, err := cl.connect(ctx)
	if err != nil {
		return err
	}
	n.Counters.FramesOut.Add(1)
	return c.write(&frame{Type: frameOneWay, Kind: kind, Body: body})
}

func (n *Node) client(addr string) *client {
	n.mu.Lock()
	defer n.mu.Unlock()
	cl, ok := n.clients[addr]
	if !ok {
		cl = &client{node: n, addr: addr, pending: make(map[uint64]chan *frame)}
		n.clients[addr] = cl
	}
	return cl
}

// connect returns the live connection or opens one.
func (cl *client) connect(ctx context.Context) (*conn, error) {
	cl.dial.Lock()
	defer cl.dial.Unlock()
	if c := cl.live(); c != nil {
		return c, nil
	}
	d := net.Dialer{Timeout: dialTimeout}
	nc, err := d.DialContext(ctx, "tcp", cl.addr)
	if err != nil {
		return nil, errors.Wrap(ErrPeerUnreachable, err.Error())
	}
	c := newConn(nc)
	_ = nc.SetDeadline(time.Now().Add(dialTimeout))
	peer, err := handshake(c, cl.node.self, cl.node.secret)
	if err != nil {
		c.close()
		cl.node.Counters.HandshakeFailures.Add(1)
		return nil, errors.Wrap(ErrPeerUnreachable, err.Error())
	}
	if !cl.node.track(c) {
		c.close()
		return nil, errors.Wrap(ErrPeerUnreachable, "node is closed")
	}
	cl.set(c, peer)
	cl.node.start(c.heartbeat)
	cl.node.start(func() { cl.readLoop(c) })
	return c, nil
}

func (cl *client) live() *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.conn
}

func (cl *client) set(c *conn, peer Peer) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.conn, cl.peer = c, peer
}

// readLoop hands responses to their callers until the connection fails.
func (cl *client) readLoop(c *conn) {
	defer cl.node.untrack(c)
	for {
		f, err := c.read()
		if err != nil {
			cl.node.countReadError(err)
			cl.fail(c)
			return
		}
		cl.node.Counters.FramesIn.Add(1)
		if f.Type == frameResponse {
			cl.deliver(f)
		}
	}
}

func (cl *client) deliver(f *frame) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if ch, ok := cl.pending[f.ID]; ok {
		delete(cl.pending, f.ID)
		ch <- f
	}
}

// fail drops the connection and ends the calls that wait on it.
func (cl *client) fail(c *conn) {
	c.close()
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.conn != c {
		return
	}
	cl.conn = nil
	for id, ch := range cl.pending {
		delete(cl.pending, id)
		close(ch)
	}
}

func (cl *client) call(ctx context.Context, f *frame) (*frame, error) {
	c, err := cl.connect(ctx)
	if err != nil {
		return nil, err
	}
	ch := make(chan *frame, 1)
	if !cl.add(c, f, ch) {
		return nil, errors.Wrap(ErrPeerUnreachable, "connection closed")
	}
	cl.node.Counters.FramesOut.Add(1)
	if err := c.write(f); err != nil {
		cl.fail(c)
		return nil, errors.Wrap(ErrCallOutcomeUnknown, err.Error())
	}
	select {
	case resp, ok := <-ch:
		if !ok {
			return nil, ErrCallOutcomeUnknown
		}
		return resp, nil
	case <-ctx.Done():
		cl.remove(f.ID)
		return nil, errors.Wrap(ErrCallOutcomeUnknown, ctx.Err().Error())
	}
}

// add registers a call on the connection that will carry it.
func (cl *client) add(c *conn, f *frame, ch chan *frame) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.conn != c {
		return false
	}
	cl.nextID++
	f.ID = cl.nextID
	cl.pending[f.ID] = ch
	return true
}

func (cl *client) remove(id uint64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	delete(cl.pending, id)
}
