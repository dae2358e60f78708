package forward

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
)

// longPause is a Retry-After that does not end within a test, in seconds.
const longPause = "30"

// refuseWith returns a script that answers each request with 503 and the given headers.
func refuseWith(headers ...string) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, r *http.Request) bool {
		reply(w, r.Header.Get("X-Request"), "503 Service Unavailable", "no", headers...)
		return true
	}
}

func answerAll(w io.Writer, r *http.Request) bool {
	if r.Header.Get("X-Model") != "" && r.URL.Path == "/s/" {
		streamHead(w, r.Header.Get("X-Request"))
		chunk(w, event(0))
		streamEnd(w)
		return true
	}
	reply(w, r.Header.Get("X-Request"), "200 OK", "ok")
	return true
}

// Guards against requests to a backend server that has answered 503 with Retry-After, on routes
// of each kind, whether or not the request ran there, while another server takes requests.
func TestNoRequestsDuringRequestedPause(t *testing.T) {
	for _, c := range []struct {
		name, method, path string
		headers            []string
	}{
		{"order not run", "POST", "/o/", []string{"Retry-After", longPause, "X-Not-Run", "1"}},
		{"order ran", "POST", "/o/", []string{"Retry-After", longPause}},
		{"lookup not run", "GET", "/l/", []string{"Retry-After", longPause, "X-Not-Run", "1"}},
		{"lookup ran", "GET", "/l/", []string{"Retry-After", longPause}},
		{"stream not run", "POST", "/s/", []string{"Retry-After", longPause, "X-Not-Run", "1"}},
		{"stream ran", "POST", "/s/", []string{"Retry-After", longPause}},
	} {
		t.Run(c.name, func(t *testing.T) {
			paused, working := startScriptedServer(t, refuseWith(c.headers...)), startScriptedServer(t, answerAll)
			servers := []fleet.Server{paused.server("s1"), working.server("s2")}
			if c.path == "/s/" {
				servers = []fleet.Server{paused.groupHead("s1"), working.groupHead("s2")}
			}
			r := newTestSetup(t, servers...)
			for i := range 40 {
				asked := len(paused.requests())
				resp, _, err := r.do(r.request(c.method, c.path, "", "X-Request", fmt.Sprint("id-", i)))
				assert.NilError(t, err)
				if asked > 0 {
					assert.Check(t, resp.StatusCode == http.StatusOK, "request %d: status %d", i, resp.StatusCode)
				}
			}
			assert.Assert(t, len(paused.requests()) <= 1, "%d requests reached the server that asked for a pause", len(paused.requests()))
		})
	}
}

// Guards against requests that are held, or refused with another time to come back, when all
// backend servers ask for a pause.
func TestAllServersAskForPause(t *testing.T) {
	for _, c := range []struct{ method, path string }{{"POST", "/o/"}, {"GET", "/l/"}, {"POST", "/s/"}} {
		first, second := startScriptedServer(t, refuseWith("Retry-After", "20", "X-Not-Run", "1")), startScriptedServer(t, refuseWith("Retry-After", longPause, "X-Not-Run", "1"))
		servers := []fleet.Server{first.server("s1"), second.server("s2")}
		if c.path == "/s/" {
			servers = []fleet.Server{first.groupHead("s1"), second.groupHead("s2")}
		}
		r := newTestSetup(t, servers...)
		begun := time.Now()
		var refusals []float64
		for i := range 10 {
			resp, _, err := r.do(r.request(c.method, c.path, "", "X-Request", fmt.Sprint("id-", i)))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
			if i == 0 {
				continue // It may have met one server only.
			}
			seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
			assert.NilError(t, err)
			refusals = append(refusals, seconds)
		}
		took := time.Since(begun).Seconds()
		assert.Assert(t, len(first.requests()) == 1 && len(second.requests()) == 1, "%s: %d and %d requests", c.path, len(first.requests()), len(second.requests()))
		for _, s := range refusals[1:] {
			assert.Check(t, s >= 20-took && s < 21, "%s: Retry-After %v after at most %v s", c.path, s, took)
		}
		assert.Assert(t, took < 1, "ten refusals took %v s", took)
	}
}

// Guards against a requested pause that ends early: by data and the good end of a stream that
// was in flight, by a later and shorter Retry-After, by another epoch of the group, or because
// the server was missing from the list for a while. Only another run of the server ends it.
func TestRequestedPauseIsNotEndedEarly(t *testing.T) {
	var streams, refusals atomic.Int32
	release := make(chan struct{})
	b := startScriptedServer(t, func(w io.Writer, r *http.Request) bool {
		id := r.Header.Get("X-Request")
		switch {
		case id != "refused-1" && id != "refused-2":
			streams.Add(1)
			streamHead(w, id)
			chunk(w, event(0))
			if id == "slow" {
				<-release
				chunk(w, event(1))
			}
			streamEnd(w)
		case id == "refused-1":
			// Both refusals are in flight at the same time; the shorter pause comes second.
			for refusals.Add(1); refusals.Load() < 2; time.Sleep(time.Millisecond) {
			}
			reply(w, id, "503 Service Unavailable", "", "Retry-After", longPause, "X-Not-Run", "1")
		default:
			refusals.Add(1)
			time.Sleep(100 * time.Millisecond)
			reply(w, id, "503 Service Unavailable", "", "Retry-After", "0.01", "X-Not-Run", "1")
		}
		return true
	})
	head := b.groupHead("s1")
	r := newTestSetup(t, head)
	done := make(chan string)
	send := func(id string) {
		resp, body, err := r.do(r.request("POST", "/s/", "", "X-Request", id))
		assert.Check(t, err)
		done <- fmt.Sprint(resp.StatusCode, " ", body)
	}
	go send("slow")
	for streams.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	go send("refused-1")
	go send("refused-2")
	for range 2 {
		assert.Equal(t, <-done, "503 ")
	}
	time.Sleep(20 * time.Millisecond) // The shorter pause has ended.
	close(release)
	assert.Equal(t, <-done, "200 "+events(0, 1))
	next := func(id, what string, want string) {
		go send(id)
		assert.Equal(t, <-done, want, what)
	}
	next("a", "after data and the end of a stream", "503 ")
	r.setServers()
	r.setServers(head)
	next("b", "after the server was missing", "503 ")
	head.Epoch++
	r.setServers(head)
	next("c", "in another epoch", "503 ")
	head.Incarnation = "2"
	r.setServers(head)
	next("d", "after a restart", "200 "+event(0))
	assert.Equal(t, streams.Load(), int32(2))
}

// Guards against values of Retry-After that are no numbers of seconds and stop all requests, and
// against a status other than 503 that does.
func TestBadRetryAfterIsIgnored(t *testing.T) {
	for _, c := range []struct{ status, value string }{
		{"503 Service Unavailable", "soon"},
		{"503 Service Unavailable", "-3"},
		{"503 Service Unavailable", "NaN"},
		{"503 Service Unavailable", "Inf"},
		{"503 Service Unavailable", "0"},
		{"503 Service Unavailable", "Fri, 31 Dec 2100 23:59:59 GMT"},
		{"500 Internal Server Error", longPause},
		{"200 OK", longPause},
	} {
		b := startScriptedServer(t, func(w io.Writer, r *http.Request) bool {
			reply(w, r.Header.Get("X-Request"), c.status, "", "Retry-After", c.value)
			return true
		})
		r := newTestSetup(t, b.server("s1"))
		for range 3 {
			_, _, err := r.do(r.request("POST", "/o/", ""))
			assert.NilError(t, err)
		}
		assert.Equal(t, len(b.requests()), 3, "%s with %q", c.status, c.value)
	}
}

// Guards against a request that has picked a backend server, and is sent there although the
// server has asked for a pause since.
func TestPickedRequestIsNotSentDuringPause(t *testing.T) {
	b := startScriptedServer(t, refuseWith("Retry-After", longPause, "X-Not-Run", "1"))
	r := newTestSetup(t, b.server("s1"))
	picked, status := r.handler.newCall(httptest.NewRecorder(), r.request("POST", "/o/", ""), r.handler.View())
	assert.Equal(t, status, 0)
	s, backend, _ := picked.pick(picked.now())
	assert.Assert(t, s != nil)
	_, _, err := r.do(r.request("POST", "/o/", ""))
	assert.NilError(t, err)
	_, result := picked.send(s, backend, 0, 0)
	assert.Equal(t, result, notSent)
	assert.Equal(t, len(b.requests()), 1)
	assert.Assert(t, picked.possibleRuns == 0 && picked.sendCount == 0 && len(picked.triedServers) == 0)
	assert.Equal(t, backend.inFlight.Load(), int32(0))
}

// Guards against a pause because of a second copy of a response to an earlier request.
func TestUnmatchedResponseAsksForNoPause(t *testing.T) {
	b := startScriptedServer(t, func(w io.Writer, r *http.Request) bool {
		reply(w, "id-of-another", "503 Service Unavailable", "", "Retry-After", longPause, "X-Not-Run", "1")
		reply(w, r.Header.Get("X-Request"), "200 OK", "ok")
		return true
	})
	r := newTestSetup(t, b.server("s1"))
	for range 3 {
		resp, _, err := r.do(r.request("POST", "/o/", ""))
		assert.NilError(t, err)
		assert.Equal(t, resp.StatusCode, http.StatusOK)
	}
}

// Guards against a log line for each refusal instead of one for each pause.
func TestRequestedPauseIsLoggedOnce(t *testing.T) {
	for value, line := range map[string]string{longPause: "backend server asks for a pause", "soon": "pause that backend server asks for is ignored"} {
		var arrived atomic.Int32
		b := startScriptedServer(t, func(w io.Writer, r *http.Request) bool {
			for arrived.Add(1); arrived.Load() < 4; time.Sleep(time.Millisecond) {
			}
			reply(w, r.Header.Get("X-Request"), "503 Service Unavailable", "", "Retry-After", value, "X-Not-Run", "1")
			return true
		})
		r := newTestSetup(t, b.server("s1"))
		var out bytes.Buffer
		r.handler.opts.Log = logrus.New()
		r.handler.opts.Log.SetOutput(&out)
		done := make(chan error)
		for range 4 {
			go func() {
				_, _, err := r.do(r.request("POST", "/o/", ""))
				done <- err
			}()
		}
		for range 4 {
			assert.NilError(t, <-done)
		}
		r.frontend.Close()
		assert.Equal(t, strings.Count(out.String(), line), 1, out.String())
	}
}
