package engine

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/ident"
)

// statusServer returns the address of a server that responds with the text that
// answer returns for the numbers of the connection and of the request on it. An
// empty text closes the connection.
func statusServer(t testing.TB, answer func(conn, request int) string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for conn := 0; ; conn++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				r := bufio.NewReader(c)
				for request := 0; ; request++ {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					a := answer(conn, request)
					if a == "" {
						return
					}
					_, _ = io.WriteString(c, a)
				}
			}()
		}
	}()
	return l.Addr().String()
}

const okHead = "HTTP/1.1 200 OK\r\nContent-Length: "

// TestPollConnections guards against a poll that returns the report of an earlier
// one, against polls that fail because the engine closed the idle connection or
// that hang on an unresponsive one, and against the reuse of a connection after an
// invalid response.
func TestPollConnections(t *testing.T) {
	var conns, silent atomic.Int32
	block := make(chan struct{})
	defer close(block)
	addr := statusServer(t, func(conn, request int) string {
		conns.Store(int32(conn + 1))
		switch {
		case silent.Load() == int32(conn+1):
			<-block
		case conn == 0 && request < 2:
			return okHead + "21\r\n\r\n" + `{"incarnation":"r-` + string(rune('0'+request)) + `"}`
		case conn == 0: // closes the connection without a response
			return ""
		case conn == 1 && request == 0:
			return "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 4\r\n\r\nbusy"
		case conn == 1 && request == 1:
			return okHead + "5\r\n\r\n{bad}"
		case conn == 2:
			return okHead + "21\r\nConnection: close\r\n\r\n" + `{"incarnation":"r-2"}`
		}
		return okHead + "21\r\n\r\n" + `{"incarnation":"r-3"}`
	})
	c := NewControl()
	poll := func() (ident.Incarnation, error) {
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		s, err := c.Status(ctx, addr)
		return s.Incarnation, err
	}
	for _, want := range []ident.Incarnation{"r-0", "r-1"} {
		got, err := poll()
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	assert.Equal(t, conns.Load(), int32(1))
	_, err := poll()
	assert.ErrorContains(t, err, "503", "repeated on a new connection")
	_, err = poll()
	assert.ErrorContains(t, err, "decode")
	for _, want := range []ident.Incarnation{"r-2", "r-3", "r-3"} {
		got, err := poll()
		assert.NilError(t, err)
		assert.Equal(t, got, want)
	}
	assert.Equal(t, conns.Load(), int32(4))
	silent.Store(4)
	_, err = poll()
	assert.Assert(t, isTimeout(err), "%v", err)
	got, err := poll()
	assert.NilError(t, err)
	assert.Equal(t, got, ident.Incarnation("r-3"), "a new connection after a silent one")
}

// BenchmarkStatus measures a poll whose report is the same as the last one, and a
// poll whose report differs.
func BenchmarkStatus(b *testing.B) {
	const report = `{"instance":"worker-00001","incarnation":"4cf14f3c-9dd7-4aa1-8f2c-000000000001","state":"ready","group":"quotes-0001",` +
		`"epoch":7,"service":"quotes","role":"combined","rank":0,"size":4,"model":"m","version":"1","preloaded":["m@1"],"cold":false,` +
		`"cold_limit":4,"limit":64,"token_capacity":100000,"running":10,"queued":0,"held_tokens":52000,"token_micros":5000`
	for _, changed := range []bool{false, true} {
		name := map[bool]string{false: "unchanged", true: "changed"}[changed]
		b.Run(name, func(b *testing.B) {
			addr := statusServer(b, func(_, request int) string {
				fencing := byte('1')
				if changed {
					fencing += byte(request % 8)
				}
				return okHead + "368\r\nContent-Type: application/json\r\n\r\n" + report + `,"fencing":` + string(fencing) + "}"
			})
			c := NewControl()
			b.ReportAllocs()
			for b.Loop() {
				s, err := c.Status(context.Background(), addr)
				assert.NilError(b, err)
				assert.Equal(b, s.Running, 10)
			}
		})
	}
}
