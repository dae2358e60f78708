package forward

import (
	"io"
	"net/http"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/standin/malformed"
)

// TestMalformedHead guards against a malformed response that reaches the caller as an answer, and
// against a request that is repeated after one although its route does not allow that.
func TestMalformedHead(t *testing.T) {
	header := "X-Request: id-1\r\nX-Proof: p\r\n"
	for path, body := range map[string]string{"/long-o/": "answer", "/long-l/": "answer", "/c/": events(1, 2), "/s/": events(1, 2)} {
		for name, response := range malformed.All(header, body) {
			t.Run(name+path, func(t *testing.T) {
				t.Parallel()
				checkMalformedHead(t, path, response, body)
			})
		}
	}
}

// checkMalformedHead sends a request to a path. The first response of a backend server is the given
// one, and the next is sound and has the given body.
func checkMalformedHead(t *testing.T, path, response, body string) {
	var received atomic.Int32
	script := func(w io.Writer, _ *http.Request) bool {
		if received.Add(1) == 1 {
			_, _ = io.WriteString(w, response)
			return false
		}
		reply(w, "id-1", "200 OK", body)
		return true
	}
	first, second := startScriptedServer(t, script), startScriptedServer(t, script)
	r := newTestSetup(t, first.server("s1"), second.server("s2"), first.groupHead("s3"), second.groupHead("s4"))
	resp, got, err := r.do(r.request("POST", path, "prompt"))
	assert.NilError(t, err)
	repeatable := path == "/long-l/" || path == "/s/"
	if !repeatable {
		assert.Equal(t, resp.StatusCode, http.StatusBadGateway, "%q, header %v", got, resp.Header)
		assert.Equal(t, resp.Header.Get("X-Proof"), "")
		assert.Equal(t, received.Load(), int32(1), "attempts")
		return
	}
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, resp.Header.Get("X-Proof"), "p")
	assert.Equal(t, got, body)
	assert.Equal(t, received.Load(), int32(2), "attempts")
}
