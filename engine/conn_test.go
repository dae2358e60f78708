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

// leader is a group leader that counts its connections.
type leader struct {
	*httptest.Server
	target Target
	dialed atomic.Int32
}

func startLeader(t *testing.T, complete http.HandlerFunc) *leader {
	l := &leader{target: Target{Group: "group", Epoch: 7, Incarnation: "first"}}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, _ *http.Request) {
		l.dialed.Add(1)
		_ = json.NewEncoder(w).Encode(Status{Incarnation: "first"})
	})
	mux.HandleFunc("POST /v1/completions", complete)
	l.Server = httptest.NewServer(mux)
	t.Cleanup(l.Close)
	l.target.Address = l.Listener.Addr().String()
	return l
}

func (l *leader) request() Request {
	return Request{Target: l.target, Attempt: "a", Path: "/v1/completions", Body: []byte("body"), Priority: -1, ResumeOffset: 3}
}

// answer reads a stream to its end and closes it.
func answer(t *testing.T, d *Data, r Request) {
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
// look like a crash.
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
		answer(t, d, l.request())
	}
	assert.Equal(t, l.dialed.Load(), int32(1))
	l.CloseClientConnections()
	answer(t, d, l.request())
	assert.Equal(t, l.dialed.Load(), int32(2))
	d.CloseIdle(l.target.Address)
	answer(t, d, l.request())
	assert.Equal(t, l.dialed.Load(), int32(3))
}

// TestRefusalKeepsConnection guards against a refusal that is not told from an
// answer, and against a dial after each one.
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
	assert.Equal(t, l.dialed.Load(), int32(1))
}

// TestHeaderBounds guards against a header of an engine that fills the memory,
// and against a value that adds a header field to a request.
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
