package forward

import (
	"context"
	"io"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// wholeStream serves the events from the one after Last-Event-Id to the last.
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

// brokenStream ends in the way that stop says after some events.
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

// A stream that stops in whatever way goes on at another backend server: each
// event comes once, in order, and the answer is whole.
func TestStreamIsResumed(t *testing.T) {
	stops := map[string]func(w io.Writer){
		"connection closed":   func(io.Writer) {},
		"torn event":          func(w io.Writer) { chunk(w, "id: 4\nda") },
		"end inside an event": func(w io.Writer) { chunk(w, "id: 4\nda"); streamEnd(w) },
		"silence":             func(io.Writer) { time.Sleep(1500 * time.Millisecond) },
		"garbage":             func(w io.Writer) { _, _ = io.WriteString(w, "zz\r\n") },
		"an event is missing": func(w io.Writer) { chunk(w, event(5)); streamEnd(w) },
	}
	for name, stop := range stops {
		t.Run(name, func(t *testing.T) {
			shown := make(chan struct{})
			bad := serve(t, brokenStream(3, func(w io.Writer) { <-shown; stop(w) }))
			good := serve(t, wholeStream(8))
			r := newRig(t, bad.head("s1"))
			go func() {
				for len(bad.requests()) == 0 {
					time.Sleep(time.Millisecond)
				}
				r.show(bad.head("s1"), good.head("s2"))
				close(shown)
			}()
			resp, body, err := r.do(r.request("POST", "/s/", "prompt"))
			assert.NilError(t, err)
			assert.Equal(t, resp.StatusCode, http.StatusOK)
			assert.Equal(t, body, events(1, 8))
			assert.Equal(t, good.requests()[0].Header.Get("Last-Event-Id"), "3")
		})
	}
}

// A caller that resumes gets what follows its last event.
func TestCallerResumes(t *testing.T) {
	good := serve(t, wholeStream(6))
	r := newRig(t, good.head("s1"))
	_, body, err := r.do(r.request("POST", "/s/", "prompt", "Last-Event-Id", "4"))
	assert.NilError(t, err)
	assert.Equal(t, body, events(5, 6))
}

// A stream that cannot go on must not look complete.
func TestCutStreamLooksCut(t *testing.T) {
	bad := serve(t, brokenStream(3, func(io.Writer) {}))
	r := newRig(t, bad.head("s1"))
	resp, _, err := r.do(r.request("POST", "/s/", "prompt"))
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Assert(t, err != nil)
}

// A group that sends nothing is reported, and left alone for a while.
func TestSilentGroupIsReported(t *testing.T) {
	bad := serve(t, brokenStream(0, func(io.Writer) { time.Sleep(2 * time.Second) }))
	r := newRig(t, bad.head("s1"))
	_, _, _ = r.do(r.request("POST", "/s/", "prompt"))
	assert.Equal(t, string(<-r.suspects), "g-s1")
	resp, _, err := r.do(r.request("POST", "/s/", "prompt"))
	assert.NilError(t, err)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, len(bad.requests()), 1)
}

// A request whose group was formed anew goes elsewhere at once: what ran there
// sends nothing more.
func TestGroupFormedAnew(t *testing.T) {
	bad := serve(t, brokenStream(2, func(io.Writer) { time.Sleep(2 * time.Second) }))
	good := serve(t, wholeStream(4))
	r := newRig(t, bad.head("s1"))
	go func() {
		for len(bad.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		again := bad.head("s1")
		again.Epoch, again.Version = 2, 2
		again.State = 1
		r.show(again, good.head("s2"))
	}()
	begin := time.Now()
	_, body, err := r.do(r.request("POST", "/s/", "prompt"))
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 4))
	assert.Assert(t, time.Since(begin) < stallPatience, "%v", time.Since(begin))
}

// A caller that leaves is cancelled at the backend server.
func TestCallerLeaves(t *testing.T) {
	bad := serve(t, func(w io.Writer, r *http.Request) bool {
		streamHead(w, r.Header.Get("X-Request"))
		for i := 1; i < 200; i++ {
			chunk(w, event(i))
			time.Sleep(10 * time.Millisecond)
		}
		return true
	})
	r := newRig(t, bad.head("s1"))
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := r.front.Client().Do(r.request("POST", "/s/", "prompt").WithContext(ctx))
	assert.NilError(t, err)
	_, _ = resp.Body.Read(make([]byte, 1))
	cancel()
	_ = resp.Body.Close()
	for end := time.Now().Add(2 * time.Second); r.handler.InFlight() > 0; {
		assert.Assert(t, time.Now().Before(end), "still under way")
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

// A stream whose first group is lost goes on although the next groups refuse it
// for want of members of their own: what did not run is no attempt.
func TestRefusalIsNoAttempt(t *testing.T) {
	shown := make(chan struct{})
	bad := serve(t, brokenStream(3, func(io.Writer) { <-shown }))
	refuse := func(w io.Writer, r *http.Request) bool {
		reply(w, r.Header.Get("X-Request"), "503 Service Unavailable", "", "X-Not-Run", "1")
		return true
	}
	one, two := serve(t, refuse), serve(t, refuse)
	good := serve(t, wholeStream(8))
	r := newRig(t, bad.head("s1"))
	go func() {
		for len(bad.requests()) == 0 {
			time.Sleep(time.Millisecond)
		}
		r.show(bad.head("s1"), one.head("s2"), two.head("s3"), good.head("s4"))
		close(shown)
	}()
	_, body, err := r.do(r.request("POST", "/s/", "prompt"))
	assert.NilError(t, err)
	assert.Equal(t, body, events(1, 8))
}
