package wire

import (
	"bytes"
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"gotest.tools/v3/assert"
)

// pipePeer is the far end of a connection. It authenticates and then does only
// what a test lets it do.
type pipePeer struct {
	t *testing.T
	c *conn
}

// authenticate runs the handshake. It reads first, because a pipe has no buffer
// and the other end writes first.
func (p *pipePeer) authenticate(own side, secret string) {
	p.t.Helper()
	mine := hello{Version: ProtocolVersion, Peer: Peer{Instance: "far"}, Nonce: make([]byte, nonceBytes)}
	var other hello
	p.receive(&other)
	p.send(&frame{Type: frameHello, Body: encode(p.t, mine)})
	var proof auth
	p.receive(&proof)
	p.send(&frame{Type: frameAuth, Body: encode(p.t, auth{MAC: sign([]byte(secret), nil, own, mine, other)})})
}

func (p *pipePeer) receive(out any) {
	p.t.Helper()
	f, err := readFrame(p.c.r, MaxFrameBytes)
	assert.NilError(p.t, err)
	assert.NilError(p.t, msgpack.Unmarshal(f.Body, out))
}

func (p *pipePeer) send(f *frame) { assert.NilError(p.t, writeFrame(p.c.w, f)) }

func encode(t *testing.T, v any) []byte {
	t.Helper()
	b, err := msgpack.Marshal(v)
	assert.NilError(t, err)
	return b
}

// TestListenerClosesSilentConnection guards against a half-open connection that
// an accepting node keeps, whether the far end still takes bytes or not.
func TestListenerClosesSilentConnection(t *testing.T) {
	for name, takes := range map[string]bool{"takes heartbeats": true, "takes nothing": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				near, far := net.Pipe()
				n := NewNode(Peer{Instance: "near"}, []byte("s"), NewMux())
				ended := make(chan time.Time, 1)
				go func() { n.serveConn(newConn(near)); ended <- time.Now() }()
				p := &pipePeer{t: t, c: newConn(far)}
				p.authenticate(sideDialer, "s")
				start := time.Now()
				if takes {
					go func() { _, _ = io.Copy(io.Discard, far) }()
				}
				assert.Equal(t, (<-ended).Sub(start), SilenceTimeout)
				assert.Equal(t, n.Counters.SilentConnections.Load(), uint64(1))
				assert.Equal(t, n.Counters.Malformed.Load(), uint64(0))
				n.Close()
				_ = far.Close()
			})
		})
	}
}

// TestCallEndsWithSilentConnection guards against a call that waits on a
// connection that has gone silent, and against a node that keeps using it.
func TestCallEndsWithSilentConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNode(Peer{Instance: "near"}, []byte("s"), NewMux())
		dials := 0
		n.dial = func(context.Context, string) (net.Conn, error) {
			dials++
			near, far := net.Pipe()
			go func() {
				(&pipePeer{t: t, c: newConn(far)}).authenticate(sideListener, "s")
				_, _ = io.Copy(io.Discard, far)
			}()
			return near, nil
		}
		for want := 1; want <= 2; want++ {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			start := time.Now()
			err := n.Call(ctx, "far", "echo", echo{}, &echo{})
			cancel()
			assert.Assert(t, errors.Is(err, ErrCallOutcomeUnknown), "%v", err)
			assert.Equal(t, time.Since(start), SilenceTimeout)
			assert.Equal(t, dials, want)
		}
		n.Close()
	})
}

// TestIdleConnectionCloses guards against connections that stay open to every
// peer ever called, and against an idle close that fails a call.
func TestIdleConnectionCloses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := NewNode(Peer{Instance: "near"}, []byte("s"), NewMux())
		var open atomic.Int64
		n.dial = func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			open.Add(1)
			go func() {
				p := &pipePeer{t: t, c: newConn(far)}
				p.authenticate(sideListener, "s")
				for {
					f, err := readFrame(p.c.r, MaxFrameBytes)
					if err != nil {
						open.Add(-1)
						return
					}
					answer := &frame{Type: framePong}
					if f.Type == frameRequest {
						answer = &frame{Type: frameResponse, ID: f.ID, Body: f.Body}
					}
					_ = writeFrame(p.c.w, answer)
				}
			}()
			return near, nil
		}
		for range 3 {
			assert.NilError(t, n.Call(context.Background(), "far", "echo", echo{}, &echo{}))
			time.Sleep(IdleTimeout / 2)
			synctest.Wait()
			assert.Equal(t, open.Load(), int64(1))
		}
		time.Sleep(IdleTimeout)
		synctest.Wait()
		assert.Equal(t, open.Load(), int64(0))
		n.mu.Lock()
		clients := len(n.clients)
		n.mu.Unlock()
		assert.Equal(t, clients, 0)
		assert.NilError(t, n.Call(context.Background(), "far", "echo", echo{}, &echo{}))
		n.Close()
	})
}

// mirrorConn sends back what it gets.
type mirrorConn struct {
	net.Conn
	bytes.Buffer
}

func (c *mirrorConn) Read(b []byte) (int, error)       { return c.Buffer.Read(b) }
func (c *mirrorConn) Write(b []byte) (int, error)      { return c.Buffer.Write(b) }
func (c *mirrorConn) SetWriteDeadline(time.Time) error { return nil }

// TestReflectedProof guards against an attacker without the secret that sends a
// node's own messages back to it.
func TestReflectedProof(t *testing.T) {
	for _, own := range []side{sideDialer, sideListener} {
		_, err := handshake(newConn(&mirrorConn{}), own, Peer{Instance: "near"}, []byte("s"))
		assert.Assert(t, errors.Is(err, ErrBadHandshake), "%v", err)
	}
}
