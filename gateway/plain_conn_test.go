package gateway

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/ident"
	"github.com/bulrushfall/bulrushfall/view"
)

func newTestPlainClient() *plainClient {
	return newPlainClient(netip.Addr{}, NewServerPauses(func() time.Duration { return time.Second }, nil))
}

// sendPlain makes one attempt at a backend server.
func (s *rawServer) sendPlain(ctx context.Context, c *plainClient, method string, idempotent bool, body []byte, incarnation ident.Incarnation) (*Answer, error) {
	b := &view.Backend{Instance: "raw", Address: s.address, Incarnation: incarnation}
	a, _, err := c.send(ctx, &Request{Method: method, Path: "/x", Idempotent: idempotent, Body: body}, b, "a")
	return a, err
}

// respondWith writes a response with a length.
func respondWith(w io.Writer, body string) {
	_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestPlainConnections guards against a new connection for each idempotent call, a call that is
// sent on a connection of an earlier run of its backend server or on one that has ended, and
// against a non-idempotent call on a connection that was used before.
func TestPlainConnections(t *testing.T) {
	s := startRawServer(t, func(c *net.TCPConn, r *http.Request) bool {
		respondWith(c, c.RemoteAddr().String())
		return !r.Close
	})
	c := newTestPlainClient()
	call := func(method string, idempotent bool, incarnation ident.Incarnation) string {
		a, err := s.sendPlain(t.Context(), c, method, idempotent, []byte("body"), incarnation)
		assert.NilError(t, err)
		return string(a.Body)
	}
	first := call(http.MethodGet, true, "one")
	assert.Equal(t, call(http.MethodPost, true, "one"), first)
	order := call(http.MethodPost, false, "one")
	assert.Assert(t, order != first)
	other := call(http.MethodPost, false, "one")
	assert.Assert(t, other != first && other != order)
	assert.Assert(t, call(http.MethodGet, true, "two") != first)
	assert.Equal(t, call(http.MethodGet, true, "one"), first)
}

// TestReusedPlainConnectionEnds guards against a call that fails because its backend server closes
// an idle connection at that moment, and against one that is sent twice although it is not
// idempotent or has an answer in part.
func TestReusedPlainConnectionEnds(t *testing.T) {
	for _, c := range []struct {
		name       string
		idempotent bool
		part       string
		requests   int
		succeeds   bool
	}{
		{"no answer", true, "", 3, true},
		{"part of an answer", true, "HTTP/1.1 20", 2, false},
		{"malformed answer", true, "HTTP/1.1 000 Failure\r\nContent-Length: 0\r\n\r\n", 2, false},
		{"not idempotent", false, "", 2, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s *rawServer
			s = startRawServer(t, func(conn *net.TCPConn, _ *http.Request) bool {
				if s.requestCount() == 2 {
					_, _ = io.WriteString(conn, c.part)
					return false
				}
				respondWith(conn, "x")
				return true
			})
			client := newTestPlainClient()
			_, err := s.sendPlain(t.Context(), client, http.MethodGet, true, nil, "one")
			assert.NilError(t, err)
			_, err = s.sendPlain(t.Context(), client, http.MethodGet, c.idempotent, nil, "one")
			assert.Equal(t, err == nil, c.succeeds, "%v", err)
			assert.Assert(t, c.succeeds || errors.Is(err, ErrBackendOutcomeUnknown), "%v", err)
			assert.Equal(t, s.requestCount(), c.requests)
		})
	}
}

// TestResetDuringUpload guards against a part of an answer without length that counts as the whole one: the
// backend server answers a large call at once and resets the connection while it is written.
func TestResetDuringUpload(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 100))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
			time.Sleep(2 * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
			_ = c.Close()
		}
	}()
	s := &rawServer{address: l.Addr().String()}
	whole := 0
	for i := range 80 {
		_, err := s.sendPlain(t.Context(), newTestPlainClient(), http.MethodPost, i%2 == 0, make([]byte, 16<<20), "one")
		if err == nil {
			whole++
			continue
		}
		assert.ErrorIs(t, err, ErrBackendOutcomeUnknown)
	}
	assert.Equal(t, whole, 0, "answers that look whole, of 80")
}

// TestPlainAnswerBeforeRequest guards against a call whose outcome counts as unknown although its
// backend server has refused it before it read the whole request.
func TestPlainAnswerBeforeRequest(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = io.ReadFull(c, make([]byte, 100))
			_, _ = io.WriteString(c, "HTTP/1.1 503 Service Unavailable\r\n"+engine.HeaderNotRun+": true\r\nContent-Length: 4\r\n\r\nbusy")
			t.Cleanup(func() { _ = c.Close() })
		}
	}()
	s := &rawServer{address: l.Addr().String()}
	for _, idempotent := range []bool{false, true} {
		_, err := s.sendPlain(t.Context(), newTestPlainClient(), http.MethodPost, idempotent, bytes.Repeat([]byte("x"), 16<<20), "one")
		assert.ErrorIs(t, err, ErrBackendNotRun)
	}
}

// TestPlainAnswerSize guards against an answer that is held in memory although it is too large, or
// counts as a crash, and against one of the largest size that is refused.
func TestPlainAnswerSize(t *testing.T) {
	for _, size := range []int{maxPlainAnswerBytes, maxPlainAnswerBytes + 1} {
		s := startRawServer(t, func(c *net.TCPConn, _ *http.Request) bool {
			respondWith(c, strings.Repeat("x", size))
			return true
		})
		a, err := s.sendPlain(t.Context(), newTestPlainClient(), http.MethodGet, true, nil, "one")
		if size > maxPlainAnswerBytes {
			assert.ErrorIs(t, err, errAnswerTooLarge)
			continue
		}
		assert.NilError(t, err)
		assert.Equal(t, len(a.Body), size)
	}
}

// TestPlainCallGivenUp guards against a connection that stays open after its call was given up, and
// against such a call that counts as not run.
func TestPlainCallGivenUp(t *testing.T) {
	for _, part := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nx"} {
		received := make(chan struct{})
		s := startRawServer(t, func(c *net.TCPConn, _ *http.Request) bool {
			_, _ = io.WriteString(c, part)
			close(received)
			_, _ = c.Read(make([]byte, 1))
			return false
		})
		ctx, cancel := context.WithCancel(t.Context())
		go func() {
			<-received
			time.Sleep(20 * time.Millisecond)
			cancel()
		}()
		_, err := s.sendPlain(ctx, newTestPlainClient(), http.MethodGet, true, nil, "one")
		assert.ErrorIs(t, err, ErrBackendOutcomeUnknown)
		assert.ErrorContains(t, err, context.Canceled.Error())
		assert.Assert(t, s.awaitNoConnection())
	}
}
