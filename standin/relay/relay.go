// Package relay is the baseline of the path measure: a bare net/http relay to a
// few targets in turn, without filters, credits, checks of frames or resumption.
package relay

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/bulrushfall/bulrushfall/telemetry"
)

// maxIdle bounds the idle connections to one target.
const maxIdle = 128

// Config sets up one relay.
type Config struct {
	// Listen is the address for callers and Metrics that of the process metrics.
	Listen  string
	Metrics string
	// Targets are host and port of the servers.
	Targets []string
}

// Relay is a running relay.
type Relay struct {
	callers, operators *http.Server
}

// Start listens and serves until Close.
func Start(cfg Config) (*Relay, error) {
	if len(cfg.Targets) == 0 {
		return nil, errors.New("relay has no target: name at least one")
	}
	h := &handler{
		targets:   cfg.Targets,
		transport: &http.Transport{MaxIdleConnsPerHost: maxIdle, DisableCompression: true},
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.New().Handler())
	r := &Relay{
		callers:   &http.Server{Handler: h, ReadHeaderTimeout: time.Second},
		operators: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second},
	}
	for s, address := range map[*http.Server]string{r.callers: cfg.Listen, r.operators: cfg.Metrics} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			r.Close()
			return nil, errors.Wrap(err, "listen")
		}
		go func() { _ = s.Serve(l) }()
	}
	return r, nil
}

// Close ends the relay.
func (r *Relay) Close() {
	_ = r.callers.Close()
	_ = r.operators.Close()
}

type handler struct {
	targets   []string
	next      atomic.Uint64
	transport http.RoundTripper
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The body is read first: the server closes it when the answer starts.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i := int(h.next.Add(1)) % len(h.targets)
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+h.targets[i]+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req.Header = r.Header
	resp, err := h.transport.RoundTrip(req)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer func() { _ = resp.Body.Close() }()
	w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
	w.WriteHeader(resp.StatusCode)
	flush, buf := http.NewResponseController(w), make([]byte, 8<<10)
	for {
		n, err := resp.Body.Read(buf)
		if _, werr := w.Write(buf[:n]); werr != nil || flush.Flush() != nil || err == io.EOF {
			return
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
