package gateway

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/quarantine"
	standin "github.com/bulrushfall/bulrushfall/standin/engine"
	"github.com/bulrushfall/bulrushfall/view"
)

// rawEngine answers on plain connections without allocating per token, so that all
// measured allocations are the gateway's. Each token is one chunk and one write.
type rawEngine struct {
	net.Listener
	status []byte
	tokens int
	// sendToken, if set, is received from before each token, so that tokens are
	// relayed one by one.
	sendToken chan struct{}
}

func startRawEngine(tb testing.TB) *rawEngine {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = l.Close() })
	e := &rawEngine{Listener: l}
	e.status, err = json.Marshal(engine.Status{
		Instance: "raw", Incarnation: "first", State: engine.StateReady, Group: "group", Epoch: 1, Limit: 1000,
	})
	assert.NilError(tb, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go e.serve(c)
		}
	}()
	return e
}

func (e *rawEngine) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	var attempt, frame, out []byte
	for {
		length := 0
		line, err := r.ReadSlice('\n')
		if err != nil {
			return
		}
		status := bytes.HasPrefix(line, []byte("GET"))
		for len(line) > 2 {
			if line, err = r.ReadSlice('\n'); err != nil {
				return
			}
			name, value, _ := bytes.Cut(bytes.TrimSpace(line), []byte(": "))
			switch {
			case bytes.EqualFold(name, []byte("Content-Length")):
				length, _ = strconv.Atoi(string(value))
			case bytes.EqualFold(name, []byte(engine.HeaderAttempt)):
				attempt = append(attempt[:0], value...)
			}
		}
		if _, err := r.Discard(length); err != nil {
			return
		}
		if status {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(e.status), e.status)
			continue
		}
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"))
		for i := range e.tokens {
			if e.sendToken != nil {
				<-e.sendToken
			}
			frame = append(append(append(frame[:0], "id: "...), attempt...), ':')
			frame = append(strconv.AppendInt(frame, int64(i), 10), "\ndata: {\"choices\":[{\"text\":\"token\"}]}\n\n"...)
			out = append(strconv.AppendInt(out[:0], int64(len(frame)), 16), "\r\n"...)
			out = append(append(out, frame...), "\r\n"...)
			if _, err := c.Write(out); err != nil {
				return
			}
		}
		_, _ = c.Write([]byte("e\r\ndata: [DONE]\n\n\r\n0\r\n\r\n"))
	}
}

// relayClient sends requests on one connection to a gateway with the daemon's
// filters.
type relayClient struct {
	tb      testing.TB
	engine  *rawEngine
	conn    net.Conn
	reader  *bufio.Reader
	lines   *bufio.Reader // of the answer's body
	request []byte
}

func newRelayClient(tb testing.TB) *relayClient {
	c := &relayClient{tb: tb, engine: startRawEngine(tb)}
	h := newHarness(tb, 0, standin.Config{}, func(o *Options) {
		doc := o.Snapshot().Services[0].Document
		doc.Accounts[0].RequestsPerSecond, doc.Accounts[0].Burst = 1e9, 1e9
		group := &view.Group{
			ID: "group", Epoch: 1, Confirmed: time.Hour, Limit: 1000, Incarnation: "first",
			Leader: view.Backend{Instance: "raw", Address: c.engine.Addr().String(), Incarnation: "first"},
		}
		snapshot := view.New(view.Snapshot{
			Ready: true, Entries: []view.Entry{o.Self},
			Services: []*view.Service{{Document: doc, Groups: []*view.Group{group}}},
		})
		o.Snapshot = func() *view.Snapshot { return snapshot }
		var b *Balancer
		routeWithBalancer(tb, &b, 200*time.Millisecond)(o)
		q := NewQuarantine(quarantine.DefaultConfig(), OrderOptions{Now: o.Now, Self: o.Self, Scope: o.Metrics.Scope})
		o.Router = q.Router(o.Router)
	})
	var err error
	c.conn, err = net.Dial("tcp", h.addr)
	assert.NilError(tb, err)
	tb.Cleanup(func() { _ = c.conn.Close() })
	c.reader, c.lines = bufio.NewReader(c.conn), bufio.NewReader(nil)
	_, body := completionBody(100, true)
	c.request = fmt.Appendf(nil, "POST %s HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		completionPath, testKey, len(body), body)
	h.waitFor("credits are granted", func() bool { return c.complete(1) })
	return c
}

// complete sends a request and reports whether an answer with the given number of
// tokens arrived.
func (c *relayClient) complete(tokens int) bool {
	c.engine.tokens = tokens
	_, err := c.conn.Write(c.request)
	assert.NilError(c.tb, err)
	c.allowToken()
	for line := []byte(nil); len(line) != len("\r\n"); {
		line, err = c.reader.ReadSlice('\n')
		assert.NilError(c.tb, err)
	}
	c.lines.Reset(httputil.NewChunkedReader(c.reader))
	got := 0
	for {
		line, err := c.lines.ReadSlice('\n')
		switch {
		case err == io.EOF:
			_, err = c.reader.Discard(len("\r\n"))
			assert.NilError(c.tb, err)
			return got == tokens
		case err != nil:
			c.tb.Fatal(err)
		case bytes.HasPrefix(line, []byte("data: {")):
			if got++; got < tokens {
				c.allowToken()
			}
		}
	}
}

// allowToken lets the engine send the next token.
func (c *relayClient) allowToken() {
	if c.engine.sendToken != nil {
		c.engine.sendToken <- struct{}{}
	}
}

func BenchmarkRelay(b *testing.B) {
	for _, tokens := range []int{1, 20, 200} {
		b.Run(strconv.Itoa(tokens), func(b *testing.B) {
			c := newRelayClient(b)
			b.ReportAllocs()
			for b.Loop() {
				assert.Assert(b, c.complete(tokens))
			}
		})
	}
}
