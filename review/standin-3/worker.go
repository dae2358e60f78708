package main

import (
	"bufio"
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Worker is a stand-in of a plain backend server.
type Worker struct {
	ID, Service, Zone, Addr string
	Slots                   int
	Born                    int64
	rec                     *Record
	listener                net.Listener
	// Handle answers a request that has been read whole. It writes to the channel itself and
	// reports whether the channel is kept.
	Handle func(w *Worker, c net.Conn, r *http.Request, body []byte) bool
	mu     sync.Mutex
	conns  map[net.Conn]bool
}

// StartWorker starts a worker on a free port.
func StartWorker(rec *Record, ip, id, service, zone string, slots int, handle func(*Worker, net.Conn, *http.Request, []byte) bool) (*Worker, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	w := &Worker{ID: id, Service: service, Zone: zone, Addr: l.Addr().String(), Slots: slots, Born: time.Now().UnixMilli(), rec: rec, listener: l, Handle: handle, conns: make(map[net.Conn]bool)}
	go w.accept()
	return w, nil
}

// Entry is the worker's row in the store.
func (w *Worker) Entry(state string, sequence int) map[string]any {
	return map[string]any{
		"Service": w.Service, "Address": w.Addr, "Zone": w.Zone, "Version": "v1", "Slots": w.Slots, "State": state,
		"ColdLeftMs": 0, "Sequence": sequence, "born": w.Born,
	}
}

func (w *Worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(c)
	}
}

func (w *Worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		if id := req.Header.Get("Expect-Instance"); id != "" && id != w.ID {
			reply(c, req, "421 Misdirected Request", "", "Instance-Id", w.ID)
			continue
		}
		if !w.Handle(w, c, req, body) {
			return
		}
	}
}

// seal is the worker's digest of a body.
func seal(id string, body []byte) string {
	h := fnv.New64a()
	_, _ = h.Write([]byte(id))
	_, _ = h.Write(body)
	return fmt.Sprintf("%x.%d", h.Sum64(), len(body))
}

// reply writes a response with a length.
func reply(c net.Conn, r *http.Request, status, body string, headers ...string) {
	var b bytes.Buffer
	fmt.Fprintf(&b, "HTTP/1.1 %s\r\nRequest-Id: %s\r\n", status, r.Header.Get("Request-Id"))
	for i := 0; i+1 < len(headers); i += 2 {
		fmt.Fprintf(&b, "%s: %s\r\n", headers[i], headers[i+1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, _ = c.Write(b.Bytes())
}

// orderBody is the whole body of the success of a request.
func orderBody(id string) string { return "done " + id + " " + strings.Repeat("x", 780) }
