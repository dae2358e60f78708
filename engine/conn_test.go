package engine

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"

	"github.com/bulrushfall/bulrushfall/internal/httpconn"
)

// testLeader is a group leader that counts its connections.
type testLeader struct {
	*httptest.Server
	target      Target
	connections atomic.Int32
}

func startLeader(t *testing.T, complete http.HandlerFunc) *testLeader {
	l := &testLeader{target: Target{Group: "group", Epoch: 7, Incarnation: "first"}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		l.connections.Add(1)
		_ = json.NewEncoder(w).Encode(Status{Incarnation: "first"})
	})
	mux.HandleFunc("POST /v1/completions", complete)
	l.Server = httptest.NewServer(mux)
	t.Cleanup(l.Close)
	l.target.Address = l.Listener.Addr().String()
	return l
}

func (l *testLeader) request() Request {
	return Request{Target: l.target, Attempt: "a", Path: "/v1/completions", Body: []byte("body"), Priority: -1, ResumeOffset: 3}
}

// readAnswer reads a stream to its end and closes it.
func readAnswer(t *testing.T, d *Data, r Request) {
	t.Helper()
	s, err := d.Open(t.Context(), r)
	assert.NilError(t, err)
	defer s.Close()
	for f := (Frame{}); !f.Done; {
		assert.NilError(t, s.Next(&f))
	}
}

// TestConnectionReuse guards against a new connection for each request, and
// against a request on a connection that its leader has closed, which would
// be reported as a crash of the leader.
func TestConnectionReuse(t *testing.T) {
	l := startLeader(t, func(w http.ResponseWriter, r *http.Request) {
		h := r.Header
		assert.Check(t, h.Get(HeaderGroup) == "group" && h.Get(HeaderEpoch) == "7" && h.Get(HeaderAttempt) == "a" &&
			h.Get(HeaderPriority) == "-1" && h.Get(HeaderResumeOffset) == "3" && r.ContentLength == 4, "%v", h)
		_, _ = fmt.Fprint(w, "id: a:3\ndata: x\n\ndata: [DONE]\n\n")
	})
	d := NewData()
	defer d.Close()
	for range 3 {
		readAnswer(t, d, l.request())
	}
	assert.Equal(t, l.connections.Load(), int32(1))
	l.CloseClientConnections()
	readAnswer(t, d, l.request())
	assert.Equal(t, l.connections.Load(), int32(2))
	d.CloseIdle(l.target.Address)
	readAnswer(t, d, l.request())
	assert.Equal(t, l.connections.Load(), int32(3))
}

// TestRefusalKeepsConnection guards against a refusal that is reported as an
// answer, and against a new connection after each refusal.
func TestRefusalKeepsConnection(t *testing.T) {
	l := startLeader(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, "1")
		http.Error(w, "full", http.StatusServiceUnavailable)
	})
	d := NewData()
	defer d.Close()
	for range 2 {
		_, err := d.Open(t.Context(), l.request())
		var refused *RefusedError
		assert.Assert(t, err != nil)
		assert.Check(t, errors.As(err, &refused) && refused.NotRun && refused.Detail == "full", err)
	}
	assert.Equal(t, l.connections.Load(), int32(1))
}

// TestHeaderBounds guards against unbounded memory use by a response header of an
// engine, and against header injection by a value in a request.
func TestHeaderBounds(t *testing.T) {
	l := startLeader(t, func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Long", strings.Repeat("x", 2*httpconn.MaxHeaderBytes))
	})
	d := NewData()
	defer d.Close()
	_, err := d.Open(t.Context(), l.request())
	assert.ErrorIs(t, err, ErrConnectionFailed)
	assert.ErrorContains(t, err, httpconn.ErrHeaderTooLarge.Error())
	status := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Long", strings.Repeat("x", 2*httpconn.MaxHeaderBytes))
	}))
	defer status.Close()
	_, err = NewControl().Status(t.Context(), status.Listener.Addr().String())
	assert.ErrorContains(t, err, httpconn.ErrHeaderTooLarge.Error())
	r := l.request()
	r.Attempt = "a\r\nInjected: 1"
	_, err = d.Open(t.Context(), r)
	assert.ErrorIs(t, err, ErrNotSent)
}
