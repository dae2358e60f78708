package experiment

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
)

// relay is the baseline of the path measure: a bare HTTP relay to a few targets
// in turn, without filters, credits, checks of frames or resumption.
type relay struct {
	targets   []string
	next      atomic.Uint64
	transport http.RoundTripper
}

// ServeHTTP implements http.Handler.
func (y *relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	// The body is read first: the server closes it when the answer starts.
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	i := int(y.next.Add(1)) % len(y.targets)
	req, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+y.targets[i]+r.URL.Path, bytes.NewReader(body))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	req.Header = r.Header
	resp, err := y.transport.RoundTrip(req)
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
