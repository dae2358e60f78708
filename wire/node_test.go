package wire

import (
	"context"
	"net"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

type echo struct {
	Text string `msgpack:"t"`
}

// startNode starts a node with an echo handler on a loopback address.
func startNode(t *testing.T, name, secret string) (*Node, string) {
	t.Helper()
	mux := NewMux()
	Register(mux, "echo", func(_ context.Context, from Peer, req echo) (echo, error) {
		return echo{Text: req.Text + " from " + string(from.Instance)}, nil
	})
	n := NewNode(Peer{Instance: ident.InstanceID(name), Incarnation: "1"}, []byte(secret), mux)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = n.Serve(l) }()
	t.Cleanup(func() {
		_ = l.Close()
		n.Close()
	})
	return n, l.Addr().String()
}

// TestCall guards against a call that does not get its response.
func TestCall(t *testing.T) {
	a, _ := startNode(t, "a", "s")
	_, addr := startNode(t, "b", "s")
	var resp echo
	assert.NilError(t, a.Call(context.Background(), addr, "echo", echo{Text: "hi"}, &resp))
	assert.Equal(t, resp.Text, "hi from a")
}

// TestWrongSecret guards against a connection from a peer without the shared secret.
func TestWrongSecret(t *testing.T) {
	a, _ := startNode(t, "a", "s")
	b, addr := startNode(t, "b", "other")
	err := a.Call(context.Background(), addr, "echo", echo{}, &echo{})
	assert.Assert(t, errors.Is(err, ErrPeerUnreachable))
	assert.Assert(t, b.Counters.FramesIn.Load() == 0)
}

// TestUnknownKind guards against a request of unknown kind that gets no error.
func TestUnknownKind(t *testing.T) {
	a, _ := startNode(t, "a", "s")
	_, addr := startNode(t, "b", "s")
	err := a.Call(context.Background(), addr, "none", echo{}, &echo{})
	var remote *RemoteError
	assert.Assert(t, errors.As(err, &remote))
}
