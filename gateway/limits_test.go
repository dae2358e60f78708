package gateway

import (
	"bufio"
	"context"
	"crypto/tls"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/claim"
	"github.com/bulrushfall/bulrushfall/telemetry"
	"github.com/bulrushfall/bulrushfall/view"
)

// TestHostileInput guards against requests that are malformed, too large, too slow
// or from an unknown caller but still reach a backend server or get no typed
// problem.
func TestHostileInput(t *testing.T) {
	f := newOrderFleet(t, 1)
	f.entries[0].gateway.bodyGrace = 50 * time.Millisecond
	addr := strings.TrimPrefix(f.entries[0].url, "http://")
	const post = "POST /services/orders/orders HTTP/1.1\r\nHost: x\r\nIdempotency-Key: k\r\n"
	const auth = "Authorization: Bearer " + testKey + "\r\n"
	cases := []struct {
		name, request string
		want          Problem
	}{
		{"no key", post + "Content-Length: 100\r\n\r\n", ProblemUnknownAccount},
		{"unknown key", post + "Authorization: Bearer no\r\nContent-Length: 100\r\n\r\n", ProblemUnknownAccount},
		{"huge header", post + auth + "X: " + strings.Repeat("x", 200_000) + "\r\n\r\n", ProblemHeaderTooLarge},
		{"not HTTP", "\x16\x03\x01\x02\x00\r\n\r\n", ProblemMalformedRequest},
		{"two lengths", post + auth + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabc", ProblemMalformedRequest},
		{"length and encoding", post + auth + "Content-Length: 3\r\ntransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", ProblemConflictingLength},
		{"unknown encoding", post + auth + "Transfer-Encoding: gzip\r\n\r\n", ProblemUnsupportedRequest},
		{"large body", post + auth + "Content-Length: 9000000000\r\n\r\n", ProblemBodyTooLarge},
		{"large chunks", post + auth + "Transfer-Encoding: chunked\r\n\r\n200000\r\n" + strings.Repeat("x", 0x200000) + "\r\n0\r\n\r\n", ProblemBodyTooLarge},
		{"slow body", post + auth + "Content-Length: 100\r\n\r\n{", ProblemSlowBody},
		{"bad ticket", strings.Replace(post, "Key: k", "Key: bt1.x", 1) + auth + "\r\n", ProblemBadTicket},
		{"bad JSON", "POST /v1/tickets HTTP/1.1\r\nHost: x\r\n" + auth + "Content-Length: 2\r\n\r\n{{", ProblemBadRequest},
		{"bad deadline", post + auth + "Bulrush-Deadline-Ms: -1\r\n\r\n", ProblemBadRequest},
		{"long deadline", post + auth + "Bulrush-Deadline-Ms: 9223372036854775807\r\n\r\n", ProblemBadRequest},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { wantRawProblem(t, addr, c.request, c.want) })
	}
	g := f.entries[0].gateway
	g.opts.BodyMemoryBytes = 10
	wantRawProblem(t, addr, post+auth+"Content-Length: 20\r\n\r\n12345678901234567890", ProblemBodyMemory)
	g.opts.BodyMemoryBytes = defaultBodyMemoryBytes
	assert.Equal(t, len(f.orders.Record().Runs), 0)
	assert.Equal(t, f.order(0, "k", "o1").status, http.StatusCreated)
	assert.Equal(t, g.heldBodyBytes.Load(), int64(0), "the memory of request bodies is released")
}

func wantRawProblem(t *testing.T, addr, request string, want Problem) {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	assert.NilError(t, conn.SetDeadline(time.Now().Add(waitLimit)))
	go func() { _, _ = io.WriteString(conn, request) }()
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	var p Problem
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&p))
	assert.Equal(t, p.Type, want.Type, p.Detail)
	assert.Equal(t, resp.StatusCode, want.Status)
	assert.Equal(t, p.Outcome, OutcomeNotRun)
}

// TestSlowHeaderAndConnections guards against clients that hold connections open
// with unfinished headers or without sending anything.
func TestSlowHeaderAndConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	ll := &limitListener{Listener: l, limit: 1}
	s := &http.Server{ReadHeaderTimeout: 50 * time.Millisecond, Handler: http.NotFoundHandler(), ConnContext: withLimitConn, ConnState: connState}
	go func() { _ = s.Serve(ll) }()
	defer func() { _ = s.Close() }()
	wantRawProblem(t, l.Addr().String(), "GET / HTTP/1.1\r\nHost: x\r\n", ProblemSlowHeader)
	for ll.openConns.Load() != 0 {
		time.Sleep(time.Millisecond)
	}
	idleConn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	for ll.openConns.Load() != 1 {
		time.Sleep(time.Millisecond)
	}
	wantRawProblem(t, l.Addr().String(), "GET / HTTP/1.1\r\nHost: x\r\n\r\n", ProblemTooManyConnections)
	_ = idleConn.Close()
}

// TestHeaderScanner guards against a length conflict that is missed because of the
// way the header is split into packets, and against one that is detected in a
// body.
func TestHeaderScanner(t *testing.T) {
	scan := func(text string, cut int) headerScanner {
		s := headerScanner{inHeader: true}
		for len(text) > 0 {
			n := min(cut, len(text))
			s.scan([]byte(text[:n]))
			text = text[n:]
		}
		return s
	}
	for cut := 1; cut < 70; cut++ {
		s := scan("POST / HTTP/1.1\r\nContent-LENGTH: 3\r\nX: transfer-encoding:\r\nTransfer-Encoding: chunked\r\n\r\n", cut)
		assert.Assert(t, s.hasContentLength && s.hasTransferEncoding && !s.inHeader, "cut %d", cut)
		s = scan("POST / HTTP/1.1\r\nContent-Length: 30\r\n\r\nTransfer-Encoding: chunked\r\n\r\n", cut)
		assert.Assert(t, s.hasContentLength && !s.hasTransferEncoding && !s.inHeader, "cut %d", cut)
	}
}

// TestLimitContext guards against a stallConn that is not found inside its
// limitConn, with and without TLS.
func TestLimitContext(t *testing.T) {
	stall := &stallConn{}
	for _, wrap := range []func(net.Conn) net.Conn{
		func(c net.Conn) net.Conn { return c },
		func(c net.Conn) net.Conn { return tls.Server(c, nil) },
	} {
		c := &limitConn{Conn: stall}
		ctx := withLimitConn(context.Background(), wrap(c))
		assert.Assert(t, ctx.Value(stallConnKey{}).(*stallConn) == stall)
		assert.Assert(t, limitConnFrom(ctx) == c)
	}
}

func fuzzGateway() *Gateway {
	return New(Options{
		Snapshot: func() *view.Snapshot { return view.New(view.Snapshot{}) }, Now: func() time.Duration { return 0 },
		Metrics: telemetry.New(), MaxBodyBytes: 1 << 16,
	})
}

// checkDecoded fails unless the request was decoded within its limits or refused
// as not run.
func checkDecoded(t *testing.T, got any, err error) {
	if err != nil {
		var p *Problem
		assert.Assert(t, errors.As(err, &p), "error is not a Problem: %v", err)
		assert.Equal(t, p.Outcome, OutcomeNotRun)
		return
	}
	r := got.(*Request)
	assert.Assert(t, r.Tokens >= 0 && r.CallerDeadline >= 0 && r.CallerDeadline <= maxDeadline)
	assert.Assert(t, r.Assembler.NextOffset() >= 0)
}

// FuzzDecodeCompletion guards against bodies and headers that cause a panic,
// exceed a limit or get an error that is not a Problem.
func FuzzDecodeCompletion(f *testing.F) {
	g := fuzzGateway()
	f.Add([]byte(`{"model":"chat","prompt":"x","max_tokens":9223372036854775807}`), "", "", "")
	f.Add([]byte(`{"model":"chat","messages":[{"role":"user","content":"x"}],"stream":true}`), "answer:7", "100", "-3")
	f.Add([]byte(`null`), "a:9223372036854775807", "9223372036854775807", "x")
	f.Add([]byte(strings.Repeat("[", 20000)), ":", "0", "")
	f.Fuzz(func(t *testing.T, body []byte, lastID, deadline, priority string) {
		h := httptest.NewRequest(http.MethodPost, completionPath, strings.NewReader(string(body)))
		h.Header.Set("Authorization", "Bearer k")
		h.Header.Set(HeaderLastEventID, lastID)
		h.Header.Set(HeaderDeadline, deadline)
		h.Header.Set(HeaderPriority, priority)
		got, err := g.decodeCompletion(context.Background(), h)
		checkDecoded(t, got, err)
	})
}

// FuzzIdempotencyKey guards against accepting an invalid key, and against a key
// that is both a ticket and a caller's own key.
func FuzzIdempotencyKey(f *testing.F) {
	for _, key := range []string{"", "k", "bt1.", "bt1.a.b.c.d", strings.Repeat("k", 256), "a b", "k\x7f"} {
		f.Add(key)
	}
	f.Fuzz(func(t *testing.T, key string) {
		if claim.IsTicket(key) {
			if ticket, err := claim.ParseTicket(key); err == nil {
				assert.Assert(t, ticket.Instance != "" && len(key) <= 512)
			}
			return
		}
		valid := validKey(key)
		for _, c := range []byte(key) {
			assert.Assert(t, !valid || c > ' ' && c < 0x7f, fmt.Sprintf("%q", key))
		}
		assert.Assert(t, !valid || len(key) > 0 && len(key) <= maxIdempotencyKeyBytes)
	})
}
