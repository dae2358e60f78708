package gateway

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	standin "github.com/bulrushfall/bulrushfall/standin/engine"
)

// TestStreamResumesAfterCrash guards against tokens that are lost or duplicated
// when the engine crashes in the middle of an answer.
func TestStreamResumesAfterCrash(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime = 0, 0
	h := newHarness(t, 2, cfg, nil)
	req, body := completionBody(200, true)
	resp := h.post(body)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	crashed := false
	for _, e := range h.engines {
		if e.Record().Running > 0 {
			e.Crash("test")
			crashed = true
		}
	}
	assert.Assert(t, crashed, "no engine ran the request")
	text, _, done := readText(resp.Body)
	assert.Assert(t, done)
	assert.Equal(t, text, standin.ExpectedText(&req, 200))
}

// TestLastEventID guards against a gap or an overlap when a caller reconnects.
func TestLastEventID(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime, cfg.TokenInterval = 0, 0, time.Millisecond
	h := newHarness(t, 1, cfg, nil)
	req, body := completionBody(20, true)
	resp := h.post(body, HeaderLastEventID, "answer:7")
	text, lastID, done := readText(resp.Body)
	assert.Assert(t, done)
	assert.Equal(t, lastID, "answer:20")
	assert.Equal(t, standin.ExpectedText(&req, 8)+text, standin.ExpectedText(&req, 20))
}

// TestCollectedAnswer guards against missing text in an answer that is not
// streamed.
func TestCollectedAnswer(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime, cfg.TokenInterval = 0, 0, time.Millisecond
	h := newHarness(t, 1, cfg, nil)
	req, body := completionBody(10, false)
	resp := h.post(body)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	b, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, bytes.Contains(b, []byte(standin.ExpectedText(&req, 10))), string(b))
}

// TestStoppedReaderIsParked guards against a caller that occupies the engine after
// it has stopped reading, and against an answer that is incomplete when it reads
// again.
func TestStoppedReaderIsParked(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime, cfg.TokenInterval = 0, 0, 20*time.Microsecond
	cfg.TokenCapacity = 10_000_000
	h := newHarness(t, 1, cfg, func(o *Options) { o.ParkAfter = 50 * time.Millisecond })
	const tokens = 20_000
	req, body := completionBody(tokens, true)
	h.parkedAnswer(slowReader(t, h.addr, body), standin.ExpectedText(&req, tokens))
}

// parkedAnswer waits until the stream of an answer is parked, then reads the
// answer and compares it.
func (h *harness) parkedAnswer(conn net.Conn, want string) {
	h.t.Helper()
	h.waitFor("the stream is parked", func() bool { return h.gateway.parked.count() == 1 })
	h.waitFor("the engine runs no request", func() bool { return h.engines[0].Record().Running == 0 })
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(h.t, err)
	text, lastID, done := readText(resp.Body)
	assert.Assert(h.t, done, lastID)
	assert.Equal(h.t, text, want)
	h.waitFor("the stream is no longer parked", func() bool { return h.gateway.parked.count() == 0 })
}

// slowReader sends a request and does not read the answer.
func slowReader(t testing.TB, addr string, body []byte) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.(*net.TCPConn).SetReadBuffer(4096))
	sendCompletion(t, conn, body)
	return conn
}

// sendCompletion writes a completion request.
func sendCompletion(t testing.TB, conn net.Conn, body []byte) {
	t.Helper()
	_, err := fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		completionPath, testKey, len(body), body)
	assert.NilError(t, err)
}

// TestParkLimit guards against an account that parks more streams than its limit.
func TestParkLimit(t *testing.T) {
	cfg := standin.DefaultConfig()
	cfg.ColdTime, cfg.LoadTime, cfg.TokenInterval = 0, 0, 20*time.Microsecond
	cfg.TokenCapacity = 10_000_000
	h := newHarness(t, 1, cfg, func(o *Options) {
		o.ParkAfter = 50 * time.Millisecond
		o.AccountParkedStreams = 1
	})
	_, body := completionBody(20_000, true)
	slowReader(t, h.addr, body)
	h.waitFor("the first stream is parked", func() bool { return h.gateway.parked.count() == 1 })
	second := slowReader(t, h.addr, body)
	h.waitFor("the engine runs the second request", func() bool { return h.engines[0].Record().Running == 1 })
	h.waitFor("the second request is cancelled", func() bool { return h.engines[0].Record().Running == 0 })
	resp, err := http.ReadResponse(bufio.NewReader(second), nil)
	assert.NilError(t, err)
	_, _, done := readText(resp.Body)
	assert.Assert(t, !done)
	assert.Equal(t, h.gateway.parked.count(), 1)
}
