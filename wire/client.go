package wire

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
)

// dialTimeout bounds a connection attempt including the handshake.
const dialTimeout = 500 * time.Millisecond

// client holds the outgoing connection to one peer address, if one is open, and its
// pending calls.
type client struct {
	node *Node
	addr string

	dialMu sync.Mutex // serialises connection attempts

	mu      sync.Mutex
	conn    *conn
	peer    Peer
	nextID  uint64
	pending map[uint64]chan *frame
	// lastUsed is the time of the last call or message on the connection.
	lastUsed time.Time
}

// Call sends a request to the peer at an address and decodes its response.
func (n *Node) Call(ctx context.Context, addr string, kind Kind, req, resp any) error {
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, CallTimeout)
		defer cancel()
	}
	body, err := Marshal(req)
	if err != nil {
		return errors.Wrapf(err, "encode %s", kind)
	}
	f, err := n.clientFor(addr).call(ctx, &frame{Type: frameRequest, Kind: kind, Body: body})
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
	body, err := Marshal(msg)
	if err != nil {
		return errors.Wrapf(err, "encode %s", kind)
	}
	cl := n.clientFor(addr)
	c, err := cl.connect(ctx)
	if err != nil {
		return err
	}
	n.Counters.FramesOut.Add(1)
	return c.write(&frame{Type: frameOneWay, Kind: kind, Body: body})
}

func (n *Node) clientFor(addr string) *client {
	n.mu.Lock()
	defer n.mu.Unlock()
	cl, ok := n.clients[addr]
	if !ok {
		cl = &client{node: n, addr: addr, pending: make(map[uint64]chan *frame)}
		n.clients[addr] = cl
	}
	return cl
}

// connect returns the open connection or opens one.
func (cl *client) connect(ctx context.Context) (*conn, error) {
	cl.dialMu.Lock()
	defer cl.dialMu.Unlock()
	if c := cl.liveConn(); c != nil {
		return c, nil
	}
	nc, err := cl.node.dial(ctx, cl.addr)
	if err != nil {
		cl.node.removeClient(cl)
		return nil, errors.Wrap(ErrPeerUnreachable, err.Error())
	}
	c := newConn(nc)
	_ = nc.SetDeadline(time.Now().Add(dialTimeout))
	peer, err := handshake(c, sideDialer, cl.node.self, cl.node.secret)
	if err != nil {
		c.close()
		cl.node.Counters.HandshakeFailures.Add(1)
		return nil, errors.Wrap(ErrPeerUnreachable, err.Error())
	}
	if !cl.node.track(c) {
		c.close()
		return nil, errors.Wrap(ErrPeerUnreachable, "this node is closed")
	}
	cl.setConn(c, peer)
	cl.node.startGoroutine(func() { c.sendHeartbeats(cl.detachIfIdle) })
	cl.node.startGoroutine(func() { cl.readLoop(c) })
	return c, nil
}

// liveConn returns the open connection, or nil, and restarts its idle timeout.
func (cl *client) liveConn() *conn {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.lastUsed = time.Now()
	return cl.conn
}

func (cl *client) setConn(c *conn, peer Peer) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.conn, cl.peer, cl.lastUsed = c, peer, time.Now()
}

// detachIfIdle reports whether the connection has no pending calls and was not used
// for IdleTimeout. It then also removes the connection from the client, so that no
// call uses it and the caller can close it.
func (cl *client) detachIfIdle() bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.pending) > 0 || time.Since(cl.lastUsed) <= IdleTimeout {
		return false
	}
	cl.conn = nil
	return true
}

// readLoop delivers responses to the waiting calls until the connection fails.
func (cl *client) readLoop(c *conn) {
	defer cl.node.untrack(c)
	for {
		f, err := c.read()
		if err != nil {
			cl.node.countReadError(err)
			cl.closeAndFailCalls(c)
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

// closeAndFailCalls closes the connection and fails the calls that wait for responses
// on it.
func (cl *client) closeAndFailCalls(c *conn) {
	c.close()
	cl.node.removeClient(cl)
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
	if !cl.addPending(c, f, ch) {
		return nil, errors.Wrap(ErrPeerUnreachable, "connection closed")
	}
	cl.node.Counters.FramesOut.Add(1)
	if err := c.write(f); err != nil {
		cl.closeAndFailCalls(c)
		return nil, errors.Wrap(ErrCallOutcomeUnknown, err.Error())
	}
	select {
	case resp, ok := <-ch:
		if !ok {
			return nil, ErrCallOutcomeUnknown
		}
		return resp, nil
	case <-ctx.Done():
		cl.removePending(f.ID)
		return nil, errors.Wrap(ErrCallOutcomeUnknown, ctx.Err().Error())
	}
}

// addPending gives a request its id and registers the channel for its response. It
// reports false if the client no longer uses the connection.
func (cl *client) addPending(c *conn, f *frame, ch chan *frame) bool {
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

func (cl *client) removePending(id uint64) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	delete(cl.pending, id)
}
