package gateway

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/bulrushfall/bulrushfall/standin/engine"
)

// serveTLS serves the harness's gateway under TLS, as the daemon does, and returns
// the address.
func (h *harness) serveTLS() string {
	h.t.Helper()
	source := httptest.NewTLSServer(http.NotFoundHandler())
	cert := source.TLS.Certificates[0]
	source.Close()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(h.t, err)
	server := h.gateway.Server(h.gateway.Handler(), 1<<16)
	config := &tls.Config{MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}}
	go func() { _ = server.Serve(tls.NewListener(h.gateway.Listener(l), config)) }()
	h.t.Cleanup(func() { _ = server.Close() })
	return l.Addr().String()
}

// dialTLS connects a caller with a small receive buffer.
func (h *harness) dialTLS(addr string) net.Conn {
	h.t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(h.t, err)
	assert.NilError(h.t, conn.(*net.TCPConn).SetReadBuffer(4096))
	caller := tls.Client(conn, &tls.Config{InsecureSkipVerify: true})
	h.t.Cleanup(func() { _ = caller.Close() })
	return caller
}

// TestStoppedReaderIsParkedUnderTLS guards against TLS records of a parked answer
// that are lost, repeated or out of order when the caller reads again.
func TestStoppedReaderIsParkedUnderTLS(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime, cfg.TokenInterval = 0, 0, 20*time.Microsecond
	cfg.TokenCapacity = 10_000_000
	h := newHarness(t, 1, cfg, func(o *Options) { o.ParkAfter = 50 * time.Millisecond })
	const tokens = 20_000
	req, body := completionBody(tokens, true)
	conn := h.dialTLS(h.serveTLS())
	sendCompletion(t, conn, body)
	h.parkedAnswer(conn, standin.ExpectedText(&req, tokens))
}

// TestRefusalsUnderTLS guards against refusals that lose their problem type under
// TLS, where limitConn cannot read the headers.
func TestRefusalsUnderTLS(t *testing.T) {
	h := newHarness(t, 1, standin.DefaultConfig(), nil)
	addr := h.serveTLS()
	for name, request := range map[string]string{
		"unknown key": "POST " + completionPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer nobody\r\nContent-Length: 2\r\n\r\n{}",
		"malformed":   "POST " + completionPath + " HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer " + testKey + "\r\nContent-Length: 1\r\n\r\n{",
	} {
		conn := h.dialTLS(addr)
		_, err := io.WriteString(conn, request)
		assert.NilError(t, err)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		assert.NilError(t, err, name)
		assert.Equal(t, resp.Header.Get("Content-Type"), "application/problem+json", name)
		assert.Assert(t, resp.StatusCode >= 400 && resp.StatusCode < 500, "%s: %s", name, resp.Status)
		_ = resp.Body.Close()
	}
}
