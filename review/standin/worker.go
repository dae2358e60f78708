package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// worker is a stand-in of a worker of a service without groups.
type worker struct {
	id, service, zone string
	address           string
	slots             int
	handle            func(w *worker, rw http.ResponseWriter, r *http.Request)

	arrived atomic.Int64
	mu      sync.Mutex
	server  *http.Server
	born    int64
}

var workerCounter atomic.Int64

// smallWindow makes the receive buffers of a listener's connections small, so that a worker that
// does not read blocks the writer.
func smallWindow(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 64<<10) })
}

// newWorker starts a worker and registers it in the store.
func newWorker(s *store, ip, service, zone string, slots int, handle func(w *worker, rw http.ResponseWriter, r *http.Request)) *worker {
	w := &worker{id: fmt.Sprintf("i-%08x", 0x7f3a0000+workerCounter.Add(1)), service: service, zone: zone, slots: slots, handle: handle}
	w.listen(ip + ":0")
	w.register(s, "ready", 0)
	return w
}

func (w *worker) listen(address string) {
	lc := net.ListenConfig{Control: smallWindow}
	l, err := lc.Listen(context.Background(), "tcp4", address)
	if err != nil {
		notRun("%v", err)
	}
	w.address, w.born = l.Addr().String(), time.Now().UnixMilli()
	server := &http.Server{Handler: w}
	w.mu.Lock()
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
}

func (w *worker) entry(state string, cold time.Duration) map[string]any {
	return map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots,
		"State": state, "ColdLeftMs": cold.Milliseconds(), "Sequence": 1, "born": w.born,
	}
}

func (w *worker) register(s *store, state string, cold time.Duration) {
	s.put("servers", w.id, w.entry(state, cold))
}

// ServeHTTP refuses requests that expect another worker, and passes on the others.
func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	rw.Header().Set("Keep-Alive", "timeout=5")
	if r.URL.Path == "/healthz" {
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	w.arrived.Add(1)
	w.handle(w, rw, r)
}

// seal is the proof of a worker's answer to a request.
func seal(id string) string { return "3e1b." + id }

// succeed answers a request that has run.
func succeed(rw http.ResponseWriter, r *http.Request, body []byte) {
	id := r.Header.Get("Request-Id")
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Server-Seal", seal(id))
	rw.Header().Set("Content-Length", fmt.Sprint(len(body)))
	rw.WriteHeader(http.StatusOK)
	_, _ = rw.Write(body)
}

func plainService(name string) map[string]any {
	return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 300, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0}
}

func plainRoute(name, prefix, kind, service string, timeout, goal time.Duration, attempts int) map[string]any {
	return map[string]any{
		"Name": name, "Host": host, "Prefix": prefix, "Kind": kind, "TimeoutMs": timeout.Milliseconds(), "GoalMs": goal.Milliseconds(),
		"Priority": 1, "Service": service, "MaxAttempts": attempts, "Public": false, "Sticky": false, "Resumable": false,
	}
}

func config(version int, routes, services []any) map[string]any {
	return map[string]any{
		"Version": version, "Routes": routes, "Services": services,
		"Limits":  map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "hule930", "ApiKeys": []string{clientKey}, "Priority": 1}},
	}
}
