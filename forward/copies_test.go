package forward

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// copyingServer answers requests and sends a copy of each answer, without the name of its request,
// where the answer to the next request on the connection is expected.
type copyingServer struct {
	mu   sync.Mutex
	last map[io.Writer]string // the last answer on each connection
	runs map[string]int
}

// script returns a script that refuses the first requests without running them, and runs the others
// with a status.
func (s *copyingServer) script(refusals int, status string) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, r *http.Request) bool {
		id := r.Header.Get("X-Request")
		s.mu.Lock()
		defer s.mu.Unlock()
		_, _ = io.WriteString(w, strings.Replace(s.last[w], "X-Request: ", "X-Unnamed: ", 1))
		var b strings.Builder
		if refusals > 0 {
			refusals--
			reply(&b, id, "503 Service Unavailable", "", "X-Not-Run", "1")
		} else {
			s.runs[id]++
			reply(&b, id, status, "answer to "+id)
		}
		s.last[w] = b.String()
		_, _ = io.WriteString(w, b.String())
		return true
	}
}

// TestLateCopyWithoutName guards against an order that runs twice, or is refused although it ran,
// and against an answer to another request, because a copy of an earlier response that names no
// request arrives where the response to the next request on the connection is expected.
func TestLateCopyWithoutName(t *testing.T) {
	for _, path := range []string{"/o/", "/l/"} {
		for name, c := range map[string]struct {
			refusals int
			status   string
			want     int
		}{
			"refusal": {1, "200 OK", http.StatusOK},
			"failure": {0, "404 Not Found", http.StatusNotFound},
		} {
			t.Run(path+name, func(t *testing.T) {
				book := &copyingServer{last: make(map[io.Writer]string), runs: make(map[string]int)}
				one := startScriptedServer(t, book.script(c.refusals, c.status))
				two := startScriptedServer(t, book.script(c.refusals, c.status))
				r := newTestSetup(t, one.server("s1"), two.server("s2"))
				for i := range 12 {
					id := fmt.Sprint("id-", i)
					resp, body, err := r.do(r.request("POST", path, "x", "X-Request", id))
					assert.NilError(t, err)
					book.mu.Lock()
					runs := book.runs[id]
					book.mu.Unlock()
					if path == "/o/" {
						assert.Assert(t, runs <= 1, "%s ran %d times", id, runs)
					}
					if resp.StatusCode == http.StatusServiceUnavailable {
						assert.Equal(t, runs, 0, "%s was refused", id)
						continue
					}
					assert.Equal(t, resp.StatusCode, c.want)
					assert.Equal(t, body, "answer to "+id)
					assert.Equal(t, resp.Header.Get("X-Request"), id)
				}
			})
		}
	}
}

// TestOrdersUseNewConnections guards against an order on a connection that may still bring a copy of
// an earlier response.
func TestOrdersUseNewConnections(t *testing.T) {
	b := startScriptedServer(t, func(w io.Writer, r *http.Request) bool {
		reply(w, r.Header.Get("X-Request"), "200 OK", "ok")
		return true
	})
	r := newTestSetup(t, b.server("s1"))
	from := make(map[string]bool)
	for _, path := range []string{"/l/", "/o/", "/o/", "/l/", "/o/"} {
		_, _, err := r.do(r.request("POST", path, "x"))
		assert.NilError(t, err)
		received := b.requests()
		last := received[len(received)-1]
		if path == "/o/" {
			assert.Assert(t, !from[last.RemoteAddr], "an order on a connection that was used before")
		}
		from[last.RemoteAddr] = true
	}
}
