package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

// latePeers stands for a process that gets no processor time while it chooses a backend server.
type latePeers struct {
	noPeers
	// while, if not nil, is what happens in that time.
	while func()
}

func (p *latePeers) InFlight(ident.InstanceID) int {
	if f := p.while; f != nil {
		p.while = nil
		f()
	}
	return 0
}

// newLateSetup returns a handler with a backend server to which it has an idle connection.
func newLateSetup(t *testing.T) (*testSetup, *scriptedServer, *latePeers) {
	t.Helper()
	b := startScriptedServer(t, func(w io.Writer, r *http.Request) bool {
		reply(w, r.Header.Get("X-Request"), "200 OK", "answer")
		return true
	})
	r := newTestSetup(t, b.server("s1"))
	peers := &latePeers{}
	r.handler.opts.Peers = peers
	resp, _, err := r.do(r.request("GET", "/l/", ""))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	return r, b, peers
}

// Guards against requests that are sent to a backend server after their deadline, because the
// process was late between the choice of the server and the send.
func TestNoSendAfterDeadline(t *testing.T) {
	for _, path := range []string{"/l/", "/o/"} {
		r, b, peers := newLateSetup(t)
		peers.while = func() { time.Sleep(300 * time.Millisecond) }
		resp, _, err := r.do(r.request("GET", path, "", "X-Deadline", "200"))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, path)
		assert.Equal(t, len(b.requests()), 1, "%s: the request was sent after its deadline", path)
	}
}

// Guards against requests that are sent to a backend server although their callers have closed
// the connection, because the process was late and the server of the callers' connections has not
// read the end yet.
func TestNoSendForCallerThatLeft(t *testing.T) {
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	for _, path := range []string{"/l/", "/o/"} {
		r, b, peers := newLateSetup(t)
		conn, err := net.Dial("tcp", strings.TrimPrefix(r.frontend.URL, "http://"))
		assert.NilError(t, err)
		peers.while = func() { assert.Check(t, conn.Close()) }
		_, err = fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: a.example\r\nX-Request: id-2\r\nAuthorization: Bearer key\r\n\r\n", path)
		assert.NilError(t, err)
		time.Sleep(300 * time.Millisecond)
		assert.Equal(t, r.handler.InFlight(), int64(0))
		assert.Equal(t, len(b.requests()), 1, "%s: the request was sent after its caller had left", path)
	}
}
