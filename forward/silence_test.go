package forward

import (
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// silentStream returns a script that sends the first events of a stream, pauses, and sends
// the rest.
func silentStream(first, last int, pause time.Duration) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, r *http.Request) bool {
		streamHead(w, r.Header.Get("X-Request"))
		for i := 1; i <= last; i++ {
			if i == first+1 {
				time.Sleep(pause)
			}
			chunk(w, event(i))
		}
		streamEnd(w)
		return true
	}
}

// refusing is a script that refuses each request without running it.
func refusing(w io.Writer, r *http.Request) bool {
	reply(w, r.Header.Get("X-Request"), "503 Service Unavailable", "", "X-Not-Run", "1")
	return true
}

// TestSilentServerIsWaitedFor guards against requests that end without an answer because
// their backend server was silent for a while, although no other one could take them over.
func TestSilentServerIsWaitedFor(t *testing.T) {
	const silence = 1200 * time.Millisecond
	cases := map[string]struct {
		path  string
		other func(io.Writer, *http.Request) bool
		// spend empties the retry budget.
		spend bool
		first int
	}{
		"no other group":                       {path: "/s/", first: 3},
		"no other group, before the head":      {path: "/s/", first: 0},
		"no other group, stream not resumable": {path: "/c/", first: 3},
		"stream not resumable":                 {path: "/c/", first: 3, other: wholeStream(6)},
		"other group refuses":                  {path: "/s/", first: 3, other: refusing},
		"no retries left":                      {path: "/s/", first: 3, other: wholeStream(6), spend: true},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent := startScriptedServer(t, silentStream(c.first, 6, silence))
			r := newTestSetup(t, silent.groupHead("s1"))
			if c.spend {
				for r.handler.retryBudget.TakeRetry(time.Since(r.start), 1) {
				}
			}
			if c.other != nil {
				other := startScriptedServer(t, c.other)
				go func() {
					for len(silent.requests()) == 0 {
						time.Sleep(time.Millisecond)
					}
					r.setServers(silent.groupHead("s1"), other.groupHead("s2"))
				}()
			}
			resp, body, err := r.do(r.request("POST", c.path, "prompt"))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, body, events(1, 6))
		})
	}
}

// TestSilentPlainServerIsWaitedFor guards against look-ups that fail because their backend
// server is silent for several latency goals, although there is no other one.
func TestSilentPlainServerIsWaitedFor(t *testing.T) {
	for name, other := range map[string]func(io.Writer, *http.Request) bool{"no other server": nil, "other server refuses": refusing} {
		t.Run(name, func(t *testing.T) {
			silent := startScriptedServer(t, func(w io.Writer, r *http.Request) bool {
				time.Sleep(500 * time.Millisecond)
				reply(w, r.Header.Get("X-Request"), "200 OK", "done")
				return true
			})
			r := newTestSetup(t, silent.server("s1"))
			if other != nil {
				o := startScriptedServer(t, other)
				go func() {
					for len(silent.requests()) == 0 {
						time.Sleep(time.Millisecond)
					}
					r.setServers(silent.server("s1"), o.server("s2"))
				}()
			}
			resp, body, err := r.do(r.request("GET", "/l/", ""))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, body, "done")
		})
	}
}

// TestMoveWhenAServerIsFree guards against a request that stays at a silent backend server
// although another one becomes free.
func TestMoveWhenAServerIsFree(t *testing.T) {
	silent := startScriptedServer(t, silentStream(3, 6, 4*time.Second))
	other := startScriptedServer(t, wholeStream(6))
	r := newTestSetup(t, silent.groupHead("s1"))
	time.AfterFunc(900*time.Millisecond, func() { r.setServers(silent.groupHead("s1"), other.groupHead("s2")) })
	begin := time.Now()
	_, body, err := r.do(r.request("POST", "/s/", "prompt"))
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 6))
	assert.Assert(t, time.Since(begin) < 900*time.Millisecond+moveRetryDelay+2*progressCheckInterval, "%v", time.Since(begin))
}

// TestBrokenServerWhileAnotherIsSilent guards against a request that ends because its
// second backend server fails at once, while the first one is only silent.
func TestBrokenServerWhileAnotherIsSilent(t *testing.T) {
	for name, script := range map[string]func(io.Writer, *http.Request) bool{
		"closes": func(io.Writer, *http.Request) bool { return false },
		"error": func(w io.Writer, r *http.Request) bool {
			reply(w, r.Header.Get("X-Request"), "500 Internal Server Error", "")
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			silent := startScriptedServer(t, silentStream(3, 6, 1500*time.Millisecond))
			other := startScriptedServer(t, script)
			r := newTestSetup(t, silent.groupHead("s1"))
			time.AfterFunc(300*time.Millisecond, func() { r.setServers(silent.groupHead("s1"), other.groupHead("s2")) })
			_, body, err := r.do(r.request("POST", "/s/", "prompt"))
			assert.NilError(t, err)
			assert.Equal(t, body, events(1, 6))
			assert.Equal(t, len(other.requests()), 1)
		})
	}
}
