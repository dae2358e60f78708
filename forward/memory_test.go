package forward

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
)

const (
	testHeldBytes = 40 << 20
	largeBody     = 4 << 20
)

// TestMemoryWithSlowServers guards against bodies held for slow backend servers that exceed the
// memory, or that take the room of requests at sound ones.
func TestMemoryWithSlowServers(t *testing.T) {
	for _, framing := range []string{"length", "chunks"} {
		t.Run(framing, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			sound := startScriptedServer(t, func(w io.Writer, r *http.Request) bool {
				reply(w, r.Header.Get("X-Request"), "404 Not Found", "read")
				return true
			})
			slow := startRawServer(t, 64<<10, func(c net.Conn, br *bufio.Reader) {
				req, err := http.ReadRequest(br)
				if err != nil {
					return
				}
				<-release
				n, _ := io.Copy(io.Discard, req.Body)
				reply(c, req.Header.Get("X-Request"), "200 OK", fmt.Sprint(n))
			})
			r := newTestSetup(t, slow, sound.groupHead("sound"))
			r.handler.memory = newMemory(testHeldBytes, nil)
			send := func(id, path string, size int) (status int, retryAfter, body string, took time.Duration) {
				req := r.request("POST", path, "")
				var content io.Reader = bytes.NewReader(make([]byte, size))
				if framing == "length" {
					req.ContentLength = int64(size)
				} else {
					req.ContentLength = -1
				}
				req.Body = io.NopCloser(content)
				req.Header.Set("X-Request", id)
				begin := time.Now()
				resp, body, err := r.do(req)
				assert.NilError(t, err)
				return resp.StatusCode, resp.Header.Get("Retry-After"), body, time.Since(begin)
			}
			var wg sync.WaitGroup
			var refused, answered atomic.Int32
			for i := range 30 {
				wg.Go(func() {
					switch status, retryAfter, body, took := send(fmt.Sprint("slow-", i), "/long-o/", largeBody); status {
					case http.StatusServiceUnavailable:
						refused.Add(1)
						assert.Check(t, took < time.Second, "refused after %s", took)
						s, err := strconv.ParseFloat(retryAfter, 64)
						assert.Check(t, err == nil && s > 0, "Retry-After %q", retryAfter)
					case http.StatusOK:
						answered.Add(1)
						assert.Check(t, body == fmt.Sprint(largeBody), "the backend server has read %s bytes", body)
					default:
						assert.Check(t, false, "status %d", status)
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			assert.Assert(t, r.handler.HeldBytes() > 0)
			for i := range 20 {
				size := []int{0, 1 << 10, 64 << 10, 2 << 20}[i%4]
				status, _, body, _ := send(fmt.Sprint("sound-", i), "/c/", size)
				assert.Equal(t, status, http.StatusNotFound, "%d bytes", size)
				assert.Equal(t, body, "read")
				assert.Assert(t, r.handler.HeldBytes() <= testHeldBytes)
			}
			close(release)
			wg.Wait()
			assert.Assert(t, refused.Load() > 0 && answered.Load() > 0, "%d refused, %d answered", refused.Load(), answered.Load())
			assert.Equal(t, r.handler.HeldBytes(), int64(0))
		})
	}
}

// TestMemoryReleased guards against bytes that stay in the account after a request has ended in an
// unusual way.
func TestMemoryReleased(t *testing.T) {
	s := startScriptedServer(t, func(w io.Writer, r *http.Request) bool {
		if r.URL.Path == "/long-l/broken" {
			return false
		}
		reply(w, "id-1", "200 OK", strings.Repeat("y", 600<<10))
		return true
	})
	r := newTestSetup(t, s.server("s1"))
	r.handler.memory = newMemory(testHeldBytes, nil)
	for _, path := range []string{"/long-o/", "/long-l/broken", "/long-l/", "/none/"} {
		resp, _, err := r.do(r.request("POST", path, strings.Repeat("x", 1<<20)))
		assert.NilError(t, err)
		_ = resp.Body.Close()
	}
	for _, head := range []string{"Content-Length: 100000\r\n\r\nabc", "Transfer-Encoding: chunked\r\n\r\n5\r\nab", "Transfer-Encoding: chunked\r\n\r\nnonsense\r\n"} {
		c, err := net.Dial("tcp", r.frontend.Listener.Addr().String())
		assert.NilError(t, err)
		_, err = fmt.Fprintf(c, "POST /long-o/ HTTP/1.1\r\nHost: a.example\r\nX-Request: id-1\r\nAuthorization: Bearer key\r\n%s", head)
		assert.NilError(t, err)
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
	}
	for end := time.Now().Add(2 * time.Second); r.handler.HeldBytes() > 0 && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	assert.Equal(t, r.handler.HeldBytes(), int64(0))
}

// TestLargeAnswerWithoutMemory guards against an answer that is lost because its buffer does not fit
// into the memory.
func TestLargeAnswerWithoutMemory(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 40<<10)
	s := startScriptedServer(t, func(w io.Writer, r *http.Request) bool {
		if strings.HasPrefix(r.URL.Path, "/c/") {
			streamHead(w, "id-1")
			for i := 1; i <= 200; i++ {
				chunk(w, event(i))
			}
			streamEnd(w)
			return true
		}
		reply(w, "id-1", "200 OK", body)
		return true
	})
	r := newTestSetup(t, s.server("s1"), s.groupHead("s2"))
	r.handler.memory = newMemory(1, nil)
	resp, got, err := r.do(r.request("GET", "/long-l/", ""))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, got == body, "%d bytes", len(got))
	resp, got, err = r.do(r.request("GET", "/c/", ""))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, got, events(1, 200))
}

// BenchmarkRequestBody measures requests with bodies of several sizes.
func BenchmarkRequestBody(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10, 4 << 20} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			backend := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.Copy(io.Discard, r.Body)
				w.Header().Set("X-Request", r.Header.Get("X-Request"))
				w.Header().Set("X-Proof", "p")
			}))
			defer backend.Close()
			start := time.Now()
			h := New(Options{Headers: testHeaders(), Now: func() time.Duration { return time.Since(start) }, Peers: noPeers{}})
			l := fleet.NewList()
			l.Put(fleet.Server{ID: "s1", Incarnation: "1", Service: "plain", Address: backend.Listener.Addr().String(), Slots: 100, Version: 1})
			h.SetView(NewView(testRoutes(), l.Snapshot(), nil))
			body := make([]byte, size)
			b.SetBytes(int64(size))
			b.ReportAllocs()
			for b.Loop() {
				req := httptest.NewRequest(http.MethodPost, "/long-o/", bytes.NewReader(body))
				req.Host = "a.example"
				req.Header.Set("X-Request", "id-1")
				req.Header.Set("Authorization", "Bearer key")
				w := httptest.NewRecorder()
				h.ServeHTTP(w, req)
				if w.Code != http.StatusOK {
					b.Fatal(w.Code)
				}
			}
		})
	}
}
