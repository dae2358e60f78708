package gateway

import (
	"io"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/view"
)

// Limits of request bodies.
const (
	// bodyGrace and minBodyRate bound the time of a body: callers on slow links
	// send a few kilobytes a second, senders that hold a connection on purpose
	// send less.
	bodyGrace   = 5 * time.Second
	minBodyRate = 1 << 10 // bytes a second
	// maxBodyTime bounds any body.
	maxBodyTime = 2 * time.Minute
	// defaultBodyMemoryBytes bounds the request bodies held at a time.
	defaultBodyMemoryBytes = 64 << 20
)

// Problems of hostile or slow senders.
var (
	ProblemSlowBody = newProblem("slow-body", http.StatusRequestTimeout, OutcomeNotRun,
		"The request body arrived too slowly: send at least 1 KiB a second")
	ProblemBodyMemory = newProblem("body-memory", http.StatusServiceUnavailable, OutcomeNotRun,
		"This entry instance holds too many request bodies: retry after the given time")
	ProblemConflictingLength = newProblem("conflicting-length", http.StatusBadRequest, OutcomeNotRun,
		"The request has both Content-Length and Transfer-Encoding: send one of them")
	ProblemSlowHeader = newProblem("slow-header", http.StatusRequestTimeout, OutcomeNotRun,
		"The request header arrived too slowly: send it within 5 seconds")
	ProblemHeaderTooLarge = newProblem("header-too-large", http.StatusRequestHeaderFieldsTooLarge, OutcomeNotRun,
		"The request header exceeds the limit: send fewer or shorter header fields")
	ProblemMalformed = newProblem("malformed-request", http.StatusBadRequest, OutcomeNotRun,
		"The bytes on the connection are not an HTTP/1.1 request: check the client")
	ProblemUnsupported = newProblem("unsupported-request", http.StatusNotImplemented, OutcomeNotRun,
		"The request uses a part of HTTP that is not supported: use HTTP/1.1 and no transfer encoding but chunked")
	ProblemConnections = newProblem("too-many-connections", http.StatusServiceUnavailable, OutcomeNotRun,
		"This entry instance has too many open connections: use another address from the lookup")
)

// limits refuses what must not reach the filters, before the body is read.
func (g *Gateway) limits(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		control := http.NewResponseController(w)
		if h.Body != nil && h.ContentLength != 0 {
			// net/http reads the rest of a body that the handler left, which has to
			// end too. A connection without deadlines is limited by the size alone.
			_ = control.SetReadDeadline(time.Now().Add(g.bodyGrace))
		}
		if c := limitConnOf(h.Context()); c != nil && c.conflict.Load() {
			g.refuse(w, h, &ProblemConflictingLength)
			return
		}
		if h.URL.Path != lookupPath && !g.knownKey(h.Header.Get("Authorization")) {
			g.refuse(w, h, &ProblemUnknownAccount)
			return
		}
		if h.Body != nil && h.ContentLength != 0 {
			b := &limitedBody{
				body:    h.Body,
				control: control,
				started: time.Now(),
				grace:   g.bodyGrace,
				held:    &g.bodyBytes,
				limit:   g.opts.BodyMemoryBytes,
			}
			// The server looks at the type of its own request's body.
			own := *h
			h = &own
			h.Body = b
			defer b.release()
		}
		next.ServeHTTP(w, h)
	})
}

// refuse answers without reading the body and closes the connection.
func (g *Gateway) refuse(w http.ResponseWriter, h *http.Request, p *Problem) {
	g.counters.refusedEarly.Inc(1)
	w.Header().Set("Connection", "close")
	writeProblem(h.Context(), p, w)
}

// limitedBody is a request body with a deadline and a share of the memory that
// all bodies may take.
type limitedBody struct {
	body    io.ReadCloser
	control *http.ResponseController
	started time.Time
	grace   time.Duration
	read    int64
	held    *atomic.Int64
	limit   int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	allowed := b.grace + time.Duration(b.read)*time.Second/minBodyRate
	_ = b.control.SetReadDeadline(b.started.Add(min(allowed, maxBodyTime)))
	n, err := b.body.Read(p)
	b.read += int64(n)
	if b.held.Add(int64(n)) > b.limit {
		return n, ProblemBodyMemory.After(time.Second)
	}
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, ProblemSlowBody.With("%d bytes arrived in %s", b.read, time.Since(b.started).Round(time.Second))
	default:
		// The server reads on after the body, to notice that the caller is gone.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error { return b.body.Close() }

func (b *limitedBody) release() { b.held.Add(-b.read) }

// keyIndex is the set of bearer keys that a snapshot's services know.
type keyIndex struct {
	snapshot *view.Snapshot
	keys     map[string]bool
}

// knownKey reports whether some service has a client account with this bearer
// key, so that strangers cannot make this process read bodies.
func (g *Gateway) knownKey(authorization string) bool {
	sum, ok := keySHA256(authorization)
	if !ok {
		return false
	}
	snap := g.opts.Snapshot()
	if !snap.Ready {
		return true // the filters answer that this entry instance is not ready
	}
	index := g.keys.Load()
	if index == nil || index.snapshot != snap {
		index = &keyIndex{snapshot: snap, keys: make(map[string]bool)}
		for _, s := range snap.Services {
			for _, a := range s.Document.Accounts {
				index.keys[a.KeySHA256] = true
			}
		}
		g.keys.Store(index)
	}
	return index.keys[sum]
}
