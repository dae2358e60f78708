package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
)

// wholeStream returns a script that sends the events after Last-Event-Id up to last.
func wholeStream(last int) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, r *http.Request) bool {
		from := 1
		if id := r.Header.Get("Last-Event-Id"); id != "" {
			from = int(id[0]-'0') + 1
		}
		streamHead(w, r.Header.Get("X-Request"))
		for i := from; i <= last; i++ {
			chunk(w, event(i))
		}
		streamEnd(w)
		return true
	}
}

// brokenStream returns a script that sends some events and then calls stop.
func brokenStream(events int, stop func(w io.Writer)) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, r *http.Request) bool {
		streamHead(w, r.Header.Get("X-Request"))
		for i := 1; i <= events; i++ {
			chunk(w, event(i))
		}
		stop(w)
		return false
	}
}

// A stream that breaks off is resumed at another backend server, whatever the failure:
// the caller gets each event once, in order, and a complete response.
func TestStreamIsResumed(t *testing.T) {
	stops := map[string]func(w io.Writer){
		"connection closed":                 func(io.Writer) {},
		"connection closed inside an event": func(w io.Writer) { chunk(w, "id: 4\nda") },
		"stream ends inside an event":       func(w io.Writer) { chunk(w, "id: 4\nda"); streamEnd(w) },
		"no more data":                      func(io.Writer) { time.Sleep(1500 * time.Millisecond) },
		"garbage":                           func(w io.Writer) { _, _ = io.WriteString(w, "zz\r\n") },
		"an event is missing":               func(w io.Writer) { chunk(w, event(5)); streamEnd(w) },
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			serversSet := make(chan struct{})
			bad := startScriptedServer(t, brokenStream(3, func(w io.Writer) { <-serversSet; stop(w) }))
			good := startScriptedServer(t, wholeStream(8))
			r := newTestSetup(t, bad.groupHead("s1"))
			go func() {
				for len(bad.requests()) == 0 {
					time.Sleep(time.Millisecond)
				}
				r.setServers(bad.groupHead("s1"), good.groupHead("s2"))
				close(serversSet)
			}()
			resp, body, err := r.do(r.request("POST", "/s/", "prompt"))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, body, events(1, 8))
			assert.Equal(t, good.requests()[0].Header.Get("Last-Event-Id"), "3")
		})
	}
}

// A caller that resumes a stream gets the events after its last one.
func TestCallerResumes(t *testing.T) {
	good := startScriptedServer(t, wholeStream(6))
	r := newTestSetup(t, good.groupHead("s1"))
	_, body, err := r.do(r.request("POST", "/s/", "prompt", "Last-Event-Id", "4"))
	assert.NilError(t, err)
	assert.Equal(t, body, events(5, 6))
}

// A response whose stream cannot be resumed must not look complete.
func TestBrokenStreamIsNotComplete(t *testing.T) {
	bad := startScriptedServer(t, brokenStream(3, func(io.Writer) {}))
	r := newTestSetup(t, bad.groupHead("s1"))
	resp, _, err := r.do(r.request("POST", "/s/", "prompt"))
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, err != nil)
}

// A group that sends no data is reported, and gets no requests for a while.
func TestStalledGroupIsReported(t *testing.T) {
	bad := startScriptedServer(t, brokenStream(0, func(io.Writer) { time.Sleep(2 * time.Second) }))
	r := newTestSetup(t, bad.groupHead("s1"))
	_, _, _ = r.do(r.request("POST", "/s/", "prompt"))
	assert.Equal(t, string(<-r.stalledGroups), "g-s1")
	resp, _, err := r.do(r.request("POST", "/s/", "prompt"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(bad.requests()), 1)
}

// A request whose group is re-formed is sent to another group at once, because the
// re-formed group sends no more data for it.
func TestGroupIsReformed(t *testing.T) {
	bad := startScriptedServer(t, brokenStream(2, func(io.Writer) { time.Sleep(2 * time.Second) }))
	good := startScriptedServer(t, wholeStream(4))
	r := newTestSetup(t, bad.groupHead("s1"))
	go func() {
		for len(bad.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		reformed := bad.groupHead("s1")
		reformed.Epoch, reformed.Version = 2, 2
		reformed.State = fleet.Joining
		r.setServers(reformed, good.groupHead("s2"))
	}()
	begin := time.Now()
	_, body, err := r.do(r.request("POST", "/s/", "prompt"))
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 4))
	assert.Assert(t, time.Since(begin) < defaultStallTimeout, "resumed after %v", time.Since(begin))
}

// Guards against a stream that ends without its answer because its group, the only one, is
// re-formed: it waits and goes on there.
func TestOnlyGroupIsReformed(t *testing.T) {
	const reform = 600 * time.Millisecond
	only := startScriptedServer(t, func(w io.Writer, req *http.Request) bool {
		streamHead(w, req.Header.Get("X-Request"))
		if req.Header.Get("Last-Event-Id") == "" {
			chunk(w, event(1))
			chunk(w, event(2))
			time.Sleep(time.Second)
			return false
		}
		chunk(w, event(3))
		chunk(w, event(4))
		streamEnd(w)
		return true
	})
	r := newTestSetup(t, only.groupHead("s1"))
	go func() {
		for len(only.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		reformed := only.groupHead("s1")
		reformed.Epoch, reformed.Version, reformed.State = 2, 2, fleet.Joining
		r.setServers(reformed)
		time.Sleep(reform)
		reformed.Version, reformed.State = 3, fleet.Open
		r.setServers(reformed)
	}()
	_, body, err := r.do(r.request("POST", "/s/", "prompt"))
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 4))
}

// A request ends when its caller closes the connection.
func TestCallerDisconnects(t *testing.T) {
	bad := startScriptedServer(t, func(w io.Writer, r *http.Request) bool {
		streamHead(w, r.Header.Get("X-Request"))
		for i := 1; i < 200; i++ {
			chunk(w, event(i))
			time.Sleep(10 * time.Millisecond)
		}
		return true
	})
	r := newTestSetup(t, bad.groupHead("s1"))
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := r.frontend.Client().Do(r.request("POST", "/s/", "prompt").WithContext(ctx))
	assert.NilError(t, err)
	_, _ = resp.Body.Read(make([]byte, 1))
	cancel()
	_ = resp.Body.Close()
	for end := time.Now().Add(2 * time.Second); r.handler.InFlight() > 0; {
		assert.Assert(t, time.Now().Before(end), "a request is still in flight")
		time.Sleep(5 * time.Millisecond)
	}
}

func BenchmarkEvents(b *testing.B) {
	buf := []byte(event(12345))
	b.ReportAllocs()
	for b.Loop() {
		if end := eventEnd(buf); end > 0 {
			eventID(buf[:end])
		}
	}
}

// A stream whose first group is lost is resumed although the next groups refuse it
// because they lack members too: a send that a server refuses without running the request
// does not count as an attempt.
func TestRefusalIsNotAnAttempt(t *testing.T) {
	serversSet := make(chan struct{})
	bad := startScriptedServer(t, brokenStream(3, func(io.Writer) { <-serversSet }))
	refuse := func(w io.Writer, r *http.Request) bool {
		reply(w, r.Header.Get("X-Request"), "503 Service Unavailable", "", "X-Not-Run", "1")
		return true
	}
	one, two := startScriptedServer(t, refuse), startScriptedServer(t, refuse)
	good := startScriptedServer(t, wholeStream(8))
	r := newTestSetup(t, bad.groupHead("s1"))
	go func() {
		for len(bad.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		r.setServers(bad.groupHead("s1"), one.groupHead("s2"), two.groupHead("s3"), good.groupHead("s4"))
		close(serversSet)
	}()
	_, body, err := r.do(r.request("POST", "/s/", "prompt"))
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 8))
}
