// Package httpd holds code that the simulated HTTP services share: a server on a
// loopback address that can be closed abruptly, and JSON helpers.
package httpd

import (
	"encoding/json"
	"io"
	"net"
	"net/http"

	"github.com/pkg/errors"
)

// maxBodyBytes is the maximum number of bytes that ReadJSON reads from a request body.
const maxBodyBytes = 16 << 20

// ErrNotLoopback is returned for a listen address that other machines can reach.
var ErrNotLoopback = errors.New("stand-ins listen on loopback only: use an address such as 127.0.0.1:0")

// Server is an HTTP server on a loopback address.
type Server struct {
	http      *http.Server
	listener  net.Listener
	serveDone chan struct{}
}

// Listen opens a TCP listener on a loopback address.
func Listen(address string) (net.Listener, error) {
	tcp, err := net.ResolveTCPAddr("tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "resolve %s", address)
	}
	if !tcp.IP.IsLoopback() {
		return nil, errors.Wrap(ErrNotLoopback, address)
	}
	l, err := net.ListenTCP("tcp", tcp)
	return l, errors.Wrapf(err, "listen on %s", address)
}

// Start starts a server that serves a handler until Close.
func Start(address string, h http.Handler) (*Server, error) {
	l, err := Listen(address)
	if err != nil {
		return nil, err
	}
	s := &Server{http: &http.Server{Handler: h}, listener: l, serveDone: make(chan struct{})}
	go func() {
		defer close(s.serveDone)
		_ = s.http.Serve(l)
	}()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the listener and all connections at once.
func (s *Server) Close() {
	_ = s.http.Close()
	<-s.serveDone
}

// ReadJSON decodes a request body. If the body is malformed, it responds with status
// 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	b, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err == nil {
		err = json.Unmarshal(b, v)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// WriteJSON writes a JSON response.
func WriteJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// Abort closes the connection of a request without a response.
func Abort(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
