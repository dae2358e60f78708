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
	// bodyGrace and minBodyRate limit the time that a body may take. Callers on
	// slow links send a few kilobytes per second; clients that hold connections
	// open on purpose send less.
	bodyGrace   = 5 * time.Second
	minBodyRate = 1 << 10 // bytes per second
	// maxBodyTime limits the time of any body.
	maxBodyTime = 2 * time.Minute
	// defaultBodyMemoryBytes limits the total size of the request bodies in
	// memory.
	defaultBodyMemoryBytes = 64 << 20
)

// Problems of malformed, oversized or slow requests.
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
	ProblemMalformedRequest = newProblem("malformed-request", http.StatusBadRequest, OutcomeNotRun,
		"The bytes on the connection are not an HTTP/1.1 request: check the client")
	ProblemUnsupportedRequest = newProblem("unsupported-request", http.StatusNotImplemented, OutcomeNotRun,
		"The request uses a part of HTTP that is not supported: use HTTP/1.1 and no transfer encoding but chunked")
	ProblemTooManyConnections = newProblem("too-many-connections", http.StatusServiceUnavailable, OutcomeNotRun,
		"This entry instance has too many open connections: use another address from the lookup")
)

// enforceLimits refuses invalid requests before their body is read.
func (g *Gateway) enforceLimits(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, h *http.Request) {
		control := http.NewResponseController(w)
		if h.Body != nil && h.ContentLength != 0 {
			// After the handler returns, net/http reads the rest of the body,
			// which needs a deadline too. If deadlines cannot be set, only the
			// size is limited.
			_ = control.SetReadDeadline(time.Now().Add(g.bodyGrace))
		}
		if c := limitConnFrom(h.Context()); c != nil && c.conflictingLength.Load() {
			g.refuseEarly(w, h, &ProblemConflictingLength)
			return
		}
		if h.URL.Path != lookupPath && !g.knownKey(h.Header.Get("Authorization")) {
			g.refuseEarly(w, h, &ProblemUnknownAccount)
			return
		}
		if h.Body != nil && h.ContentLength != 0 {
			b := &limitedBody{
				body:         h.Body,
				control:      control,
				startedAt:    time.Now(),
				grace:        g.bodyGrace,
				heldBytes:    &g.heldBodyBytes,
				maxHeldBytes: g.opts.BodyMemoryBytes,
			}
			// net/http checks the type of the original request's Body, so that one
			// must not be replaced.
			requestCopy := *h
			h = &requestCopy
			h.Body = b
			defer b.release()
		}
		next.ServeHTTP(w, h)
	})
}

// refuseEarly sends the problem without reading the body and closes the
// connection.
func (g *Gateway) refuseEarly(w http.ResponseWriter, h *http.Request, p *Problem) {
	g.counters.refusedEarly.Inc(1)
	w.Header().Set("Connection", "close")
	writeProblem(h.Context(), p, w)
}

// limitedBody is a request body with a deadline. Its bytes count towards the
// memory limit of all bodies.
type limitedBody struct {
	body         io.ReadCloser
	control      *http.ResponseController
	startedAt    time.Time
	grace        time.Duration
	bytesRead    int64
	heldBytes    *atomic.Int64
	maxHeldBytes int64
}

// Read implements io.Reader.
func (b *limitedBody) Read(p []byte) (int, error) {
	allowed := b.grace + time.Duration(b.bytesRead)*time.Second/minBodyRate
	_ = b.control.SetReadDeadline(b.startedAt.Add(min(allowed, maxBodyTime)))
	n, err := b.body.Read(p)
	b.bytesRead += int64(n)
	if b.heldBytes.Add(int64(n)) > b.maxHeldBytes {
		return n, ProblemBodyMemory.WithRetryAfter(time.Second)
	}
	switch {
	case err == nil:
	case errors.Is(err, os.ErrDeadlineExceeded):
		return n, ProblemSlowBody.WithDetail("%d bytes arrived in %s", b.bytesRead, time.Since(b.startedAt).Round(time.Second))
	default:
		// net/http keeps reading after the end of the body to detect a disconnect.
		_ = b.control.SetReadDeadline(time.Time{})
	}
	return n, err
}

// Close implements io.Closer.
func (b *limitedBody) Close() error { return b.body.Close() }

func (b *limitedBody) release() { b.heldBytes.Add(-b.bytesRead) }

// keyIndex is the set of the bearer key hashes of all services in a snapshot.
type keyIndex struct {
	snapshot *view.Snapshot
	keys     map[string]bool
}

// knownKey reports whether some service has a client account with this bearer key.
// It prevents unauthenticated clients from making this process read bodies.
func (g *Gateway) knownKey(authorization string) bool {
	sum, ok := keySHA256(authorization)
	if !ok {
		return false
	}
	snap := g.opts.Snapshot()
	if !snap.Ready {
		return true // the filters refuse the request as not ready
	}
	index := g.knownKeys.Load()
	if index == nil || index.snapshot != snap {
		index = &keyIndex{snapshot: snap, keys: make(map[string]bool)}
		for _, s := range snap.Services {
			for _, a := range s.Document.Accounts {
				index.keys[a.KeySHA256] = true
			}
		}
		g.knownKeys.Store(index)
	}
	return index.keys[sum]
}
