// Package relay is a minimal net/http reverse proxy with round-robin selection of
// targets. It is the baseline with which the request path of an entry instance is
// compared, and has no filters, no credits, no checks of the engine's token frames and no
// resumption of streams.
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

// maxIdleConnsPerTarget is the maximum number of idle connections to one target.
const maxIdleConnsPerTarget = 128

// Config configures a relay.
type Config struct {
	// Listen is the listen address for callers, and Metrics the one for process metrics.
	Listen  string
	Metrics string
	// Targets are the host:port addresses of the servers.
	Targets []string
}

// Relay is a running relay.
type Relay struct {
	proxyServer, metricsServer *http.Server
}

// Start starts a relay that serves until Close.
func Start(cfg Config) (*Relay, error) {
	if len(cfg.Targets) == 0 {
		return nil, errors.New("relay has no target: name at least one")
	}
	h := &handler{
		targets:   cfg.Targets,
		transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConnsPerTarget, DisableCompression: true},
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", telemetry.New().Handler())
	r := &Relay{
		proxyServer:   &http.Server{Handler: h, ReadHeaderTimeout: time.Second},
		metricsServer: &http.Server{Handler: mux, ReadHeaderTimeout: time.Second},
	}
	for s, address := range map[*http.Server]string{r.proxyServer: cfg.Listen, r.metricsServer: cfg.Metrics} {
		l, err := net.Listen("tcp", address)
		if err != nil {
			r.Close()
			return nil, errors.Wrap(err, "listen")
		}
		go func() { _ = s.Serve(l) }()
	}
	return r, nil
}

// Close stops the relay.
func (r *Relay) Close() {
	_ = r.proxyServer.Close()
	_ = r.metricsServer.Close()
}

type handler struct {
	targets   []string
	next      atomic.Uint64
	transport http.RoundTripper
}

// ServeHTTP implements http.Handler.
func (h *handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The body is read first: the server closes it when the response starts.
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
