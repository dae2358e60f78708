package forward

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
)

// startRawServer starts a backend server that calls serve for each connection, which has a receive
// buffer of the given size.
func startRawServer(t *testing.T, readBuffer int, serve func(c net.Conn, br *bufio.Reader)) fleet.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_ = c.(*net.TCPConn).SetReadBuffer(readBuffer)
			go func() {
				defer func() { _ = c.Close() }()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return fleet.Server{ID: "s1", Incarnation: "1", Service: "plain", Address: l.Addr().String(), Slots: 1000, Version: 1}
}

// TestEarlyAnswerToLargeRequest guards against an answer that is lost because the backend server
// sends it without reading the whole request.
func TestEarlyAnswerToLargeRequest(t *testing.T) {
	for _, closes := range []bool{false, true} {
		t.Run(fmt.Sprintf("closes %v", closes), func(t *testing.T) {
			t.Parallel()
			s := startRawServer(t, 4<<10, func(c net.Conn, br *bufio.Reader) {
				if _, err := http.ReadRequest(br); err != nil {
					return
				}
				reply(c, "id-1", "503 Service Unavailable", "full", "X-Not-Run", "1", "Connection", "close")
				if closes {
					_ = c.(*net.TCPConn).CloseWrite()
				}
				time.Sleep(8 * time.Second)
			})
			r := newTestSetup(t, s)
			begin := time.Now()
			resp, _, err := r.do(r.request("POST", "/long-o/", strings.Repeat("x", 4<<20)))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, "after %s", time.Since(begin))
		})
	}
}

// TestSlowReaderOfLargeRequest guards against a request that is lost because its backend server
// reads nothing for a while.
func TestSlowReaderOfLargeRequest(t *testing.T) {
	s := startRawServer(t, 64<<10, func(c net.Conn, br *bufio.Reader) {
		req, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		time.Sleep(1300 * time.Millisecond)
		_, _ = io.Copy(io.Discard, req.Body)
		reply(c, "id-1", "200 OK", "done")
	})
	r := newTestSetup(t, s)
	resp, body, err := r.do(r.request("POST", "/long-o/", strings.Repeat("x", 4<<20)))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, body, "done")
}

// TestNoOtherBytesInsideLargeRequest guards against a connection that carries another request where
// the rest of a body is due, because its backend server has answered before it read that body.
func TestNoOtherBytesInsideLargeRequest(t *testing.T) {
	const size = 16 << 20
	foreign := make(chan int, 8)
	s := startRawServer(t, 256<<10, func(c net.Conn, br *bufio.Reader) {
		for {
			req, err := http.ReadRequest(br)
			if err != nil {
				return
			}
			reply(c, req.Header.Get("X-Request"), "200 OK", "done")
			time.Sleep(100 * time.Millisecond)
			b, err := io.ReadAll(req.Body)
			foreign <- len(b) - strings.Count(string(b), "x")
			if err != nil {
				return
			}
		}
	})
	r := newTestSetup(t, s)
	r.handler.View().Routes.Limits.BodyBytes = size
	for i := range 4 {
		req := r.request("POST", "/long-o/", strings.Repeat("x", size))
		req.Header.Set("X-Request", fmt.Sprint("id-", i))
		resp, body, err := r.do(req)
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
		assert.Equal(t, body, "done")
	}
	for range 4 {
		assert.Equal(t, <-foreign, 0)
	}
}
