package forward

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/fleet"
	"github.com/bulrushfall/bulrushfall/ident"
)

// countedRuns counts the calls of Options.OnRun by account.
type countedRuns struct {
	sync.Mutex
	byAccount map[ident.Account]int
}

// countRuns makes a setup count runs.
func countRuns(r *testSetup) *countedRuns {
	c := &countedRuns{byAccount: make(map[ident.Account]int)}
	r.handler.opts.OnRun = func(a ident.Account, _ time.Duration) {
		c.Lock()
		defer c.Unlock()
		c.byAccount[a]++
	}
	return c
}

func (c *countedRuns) of(a ident.Account) int {
	c.Lock()
	defer c.Unlock()
	return c.byAccount[a]
}

// answer returns a script that answers with a status.
func answer(status string, headers ...string) func(io.Writer, *http.Request) bool {
	return func(w io.Writer, r *http.Request) bool {
		reply(w, r.Header.Get("X-Request"), status, "body", headers...)
		return true
	}
}

// Guards against requests of an account that are counted twice or not at all, or without a
// run: each request counts once, with its first run at a backend server.
func TestCountedRequests(t *testing.T) {
	stream := func(s *scriptedServer, id string) fleet.Server { return s.groupHead(id) }
	plain := func(s *scriptedServer, id string) fleet.Server { return s.server(id) }
	refused := answer("503 Busy", "X-Not-Run", "1")
	for name, c := range map[string]struct {
		path   string
		server func(s *scriptedServer, id string) fleet.Server
		script func(io.Writer, *http.Request) bool
		// next is the script of a second backend server, if any.
		next func(io.Writer, *http.Request) bool
		want int
	}{
		"stream":                              {"/s/", stream, wholeStream(4), nil, 1},
		"stream that runs at two servers":     {"/s/", stream, brokenStream(2, func(io.Writer) {}), brokenStream(2, func(io.Writer) {}), 1},
		"stream that breaks off at once":      {"/c/", stream, brokenStream(0, func(io.Writer) {}), nil, 0},
		"stream refused as not run":           {"/s/", stream, refused, nil, 0},
		"stream with an error":                {"/c/", stream, answer("500 Failed"), nil, 0},
		"order":                               {"/o/", plain, answer("200 OK"), nil, 1},
		"order that fails at the server":      {"/o/", plain, answer("500 Failed"), nil, 1},
		"order refused as not run":            {"/o/", plain, refused, nil, 0},
		"look that is retried after an error": {"/l/", plain, answer("500 Failed"), answer("500 Failed"), 1},
	} {
		t.Run(name, func(t *testing.T) {
			servers := []fleet.Server{c.server(startScriptedServer(t, c.script), "s1")}
			if c.next != nil {
				servers = append(servers, c.server(startScriptedServer(t, c.next), "s2"))
			}
			r := newTestSetup(t, servers...)
			counted := countRuns(r)
			resp, err := r.frontend.Client().Do(r.request("POST", c.path, "body"))
			if err == nil {
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
			r.frontend.Close()
			assert.Equal(t, counted.of("mill"), c.want)
			assert.Equal(t, counted.of(""), 0)
		})
	}
}

// Guards against requests that are not counted because the caller has left after the first
// token.
func TestCountedAlthoughCallerLeft(t *testing.T) {
	left := make(chan struct{})
	r := newTestSetup(t, startScriptedServer(t, brokenStream(1, func(io.Writer) { <-left })).groupHead("s1"))
	counted := countRuns(r)
	ctx, cancel := context.WithCancel(t.Context())
	resp, err := r.frontend.Client().Do(r.request("POST", "/s/", "prompt").WithContext(ctx))
	assert.NilError(t, err)
	_, err = io.ReadFull(resp.Body, make([]byte, len(event(1))))
	assert.NilError(t, err)
	cancel()
	_ = resp.Body.Close()
	close(left)
	r.frontend.Close()
	assert.Equal(t, counted.of("mill"), 1)
}

// Guards against demand for services without models that is missing or counted where no duty
// needs it.
func TestDemandOfServices(t *testing.T) {
	for counts, want := range map[bool]uint64{false: 0, true: 1} {
		r := newTestSetup(t, startScriptedServer(t, answer("200 OK")).server("s1"))
		if counts {
			countRuns(r)
		}
		_, _, err := r.do(r.request("POST", "/o/", "body"))
		assert.NilError(t, err)
		seen := uint64(0)
		r.handler.VisitDemand(func(service ident.ServiceName, model string, requests, _, _ uint64) {
			assert.Assert(t, service == "plain" && model == "")
			seen += requests
		})
		assert.Equal(t, seen, want)
	}
}
