package forward

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// framedResponse is a response in the segments between which it may be interrupted. The
// connection ends after the last segment if closes is set.
type framedResponse struct {
	segments []string
	closes   bool
	body     string
}

// framedResponses returns a response with two events for each way in which a body can end.
func framedResponses(id string) map[string]framedResponse {
	head := []string{"HTTP/1.1", " 200 OK", "\r\n", "X-Request: ", id + "\r\n", "X-Proof: p\r\n", "Content-Type: text/event-stream\r\n"}
	first, second := event(1), event(2)
	body := []string{"id", ": 1\n", "data: piece-1\n", "\n", second}
	size := fmt.Sprintf("%x", len(first+second))
	frame := func(closes bool, header string, content ...string) framedResponse {
		return framedResponse{slices.Concat(head, []string{header + "\r", "\n", "\r", "\n"}, content), closes, first + second}
	}
	chunks := []string{
		"0", "0" + size[:1], size[1:], "\r", "\n", "id", ": 1\n", "data: piece-1\n", "\n" + second[:4], second[4:],
		"\r", "\n", "0", "\r", "\n", "\r", "\n",
	}
	return map[string]framedResponse{
		"length":    frame(false, fmt.Sprintf("Content-Length: %d", len(first+second)), body...),
		"chunks":    frame(false, "Transfer-Encoding: chunked", chunks...),
		"until end": frame(true, "X-Other: a", body...),
	}
}

// TestResponseInSegments guards against a request that ends without a whole answer because its
// backend server is silent between two segments of the response, wherever these part.
func TestResponseInSegments(t *testing.T) {
	const silence = 1300 * time.Millisecond
	var wg sync.WaitGroup
	for _, path := range []string{"/s/", "/c/", "/long-o/", "/long-l/"} {
		for framing, response := range framedResponses("id-1") {
			for cut := range len(response.segments) + 1 {
				if cut == len(response.segments) && !response.closes {
					continue // Nothing is left to be sent.
				}
				wg.Go(func() {
					s := startScriptedServer(t, func(w io.Writer, _ *http.Request) bool {
						_, _ = io.WriteString(w, strings.Join(response.segments[:cut], ""))
						time.Sleep(silence)
						_, _ = io.WriteString(w, strings.Join(response.segments[cut:], ""))
						return !response.closes
					})
					r := newTestSetup(t, s.server("s1"), s.groupHead("s2"))
					resp, body, err := r.do(r.request("POST", path, "prompt"))
					if err != nil || resp.StatusCode != http.StatusOK || body != response.body {
						t.Errorf("%s %s, silent after %q: status %d, body %q, %v",
							path, framing, strings.Join(response.segments[:cut], ""), resp.StatusCode, body, err)
					}
					if n := len(s.requests()); n != 1 {
						t.Errorf("%s %s, silent after %q: %d sends", path, framing, strings.Join(response.segments[:cut], ""), n)
					}
				})
			}
		}
	}
	wg.Wait()
}

// TestConnectionEndsAfterLastEvent guards against a stream without length and chunks that counts as
// broken off, and its backend server as crashed, because the connection ends a moment after the
// last event.
func TestConnectionEndsAfterLastEvent(t *testing.T) {
	response := framedResponses("id-1")["until end"]
	for _, delay := range []time.Duration{0, time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
		t.Run(delay.String(), func(t *testing.T) {
			t.Parallel()
			s := startScriptedServer(t, func(w io.Writer, _ *http.Request) bool {
				_, _ = io.WriteString(w, strings.Join(response.segments, ""))
				time.Sleep(delay)
				return false
			})
			for _, path := range []string{"/s/", "/c/"} {
				r := newTestSetup(t, s.groupHead("s1"))
				_, body, err := r.do(r.request("POST", path, "prompt"))
				assert.NilError(t, err)
				assert.Equal(t, body, response.body)
				assert.Assert(t, !r.handler.backend(new(s.groupHead("s1"))).paused(new(s.groupHead("s1")), r.now()))
			}
		})
	}
}

// TestStreamEndsInsideEvent guards against a stream that looks whole to its caller although the
// connection ended inside an event, or before the first one.
func TestStreamEndsInsideEvent(t *testing.T) {
	response := framedResponses("id-1")["until end"]
	for _, cut := range []int{len(response.segments) - 5, len(response.segments) - 4, len(response.segments) - 2} {
		s := startScriptedServer(t, func(w io.Writer, _ *http.Request) bool {
			_, _ = io.WriteString(w, strings.Join(response.segments[:cut], ""))
			time.Sleep(20 * time.Millisecond)
			return false
		})
		r := newTestSetup(t, s.groupHead("s1"))
		resp, body, err := r.do(r.request("POST", "/c/", "prompt"))
		assert.Assert(t, err != nil || resp.StatusCode >= http.StatusInternalServerError, "status %d, body %q", resp.StatusCode, body)
	}
}
