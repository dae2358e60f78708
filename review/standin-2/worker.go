package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// run is one run of a request at a worker.
type run struct {
	worker, id string
	at         int64
}

// workers are the workers of one service, with the list of all runs.
type workers struct {
	rec   *record
	store *store
	list  []*worker

	mu   sync.Mutex
	runs map[string][]run
}

// worker is a stand-in of a worker of a plain service. handle answers the requests of clients.
type worker struct {
	all     *workers
	index   int
	id      string
	service string
	zone    string
	slots   int
	born    int64
	address string
	// handle answers a request that may run, and reports whether the channel stays open.
	handle func(w *worker, c *channel, r *http.Request, body []byte) bool

	mu       sync.Mutex
	busy     int
	sequence int
	conns    map[net.Conn]bool
	// maxConns is the number of channels that the worker accepts, if it is not 0; keepAlive is its
	// idle timeout in seconds. resets counts the channels that it has reset.
	maxConns, keepAlive, resets int
}

// channel is a channel to a worker.
type channel struct {
	net.Conn
	// requests is the number of requests so far, and extra what the worker sends before it
	// answers the next one: bytes that belong to no request.
	requests int
	extra    []byte
}

// heartbeat is the time between two pings of a worker.
const heartbeat = 1200 * time.Millisecond

func (all *workers) add(service, id, zone string, slots int, handle func(*worker, *channel, *http.Request, []byte) bool) (*worker, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &worker{
		all: all, index: len(all.list), id: id, service: service, zone: zone, slots: slots,
		born: time.Now().UnixMilli(), address: l.Addr().String(), handle: handle, conns: make(map[net.Conn]bool), keepAlive: 10,
	}
	all.list = append(all.list, w)
	w.accept(l)
	w.ping()
	go func() {
		for {
			time.Sleep(heartbeat)
			w.ping()
		}
	}()
	return w, nil
}

// accept serves the channels of a listener.
func (w *worker) accept(l net.Listener) {
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			full := w.maxConns > 0 && len(w.conns) >= w.maxConns
			if full {
				w.resets++
			} else {
				w.conns[c] = true
			}
			w.mu.Unlock()
			if full {
				c.(*net.TCPConn).SetLinger(0)
				c.Close()
				continue
			}
			go func() {
				w.serve(c)
				w.mu.Lock()
				delete(w.conns, c)
				w.mu.Unlock()
			}()
		}
	}()
}

// ping writes the worker's entry.
func (w *worker) ping() {
	w.mu.Lock()
	w.sequence++
	entry := map[string]any{
		"Service": w.service, "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots,
		"State": "ready", "ColdLeftMs": 0, "Sequence": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	w.all.store.put("servers", w.id, entry)
}

// recordRun records that the worker has begun to work on a request.
func (w *worker) recordRun(id string) {
	w.all.mu.Lock()
	w.all.runs[id] = append(w.all.runs[id], run{w.id, id, w.all.rec.now()})
	w.all.mu.Unlock()
	w.all.rec.logf("worker %s runs %s", w.id, id)
}

// runsOf returns the runs of a request.
func (all *workers) runsOf(id string) []run {
	all.mu.Lock()
	defer all.mu.Unlock()
	return append([]run(nil), all.runs[id]...)
}

// take takes a slot, and reports whether there was one.
func (w *worker) take() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.busy >= w.slots {
		return false
	}
	w.busy++
	return true
}

func (w *worker) release() {
	w.mu.Lock()
	w.busy--
	w.mu.Unlock()
}

func (w *worker) serve(conn net.Conn) {
	defer conn.Close()
	c := &channel{Conn: conn}
	br := bufio.NewReader(conn)
	for {
		conn.SetReadDeadline(time.Now().Add(time.Duration(w.keepAlive) * time.Second))
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		c.requests++
		if len(c.extra) > 0 {
			w.all.rec.logf("worker %s sends %d bytes that belong to no request: %q", w.id, len(c.extra), c.extra)
			c.Write(c.extra)
			c.extra = nil
		}
		id := r.Header.Get("Request-Id")
		switch {
		case r.URL.Path == "/healthz":
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", w.id)
			continue
		case r.Header.Get("Expect-Instance") != w.id:
			fmt.Fprintf(c, "HTTP/1.1 421 Misdirected Request\r\nRequest-Id: %s\r\nInstance-Id: %s\r\nContent-Length: 0\r\n\r\n", id, w.id)
			continue
		}
		if !w.take() {
			w.all.rec.logf("worker %s is full and rejects %s", w.id, id)
			io.WriteString(c, rejection(id))
			continue
		}
		w.recordRun(id)
		keep := w.handle(w, c, r, body)
		w.release()
		if !keep {
			return
		}
	}
}

// rejection is the answer of a worker that did not run a request.
func rejection(id string) string {
	return fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nContent-Length: 0\r\nNot-Executed: 1\r\n\r\n", id)
}

// reply writes a whole answer.
func (w *worker) reply(c *channel, id string, size int) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\nKeep-Alive: timeout=%d\r\nContent-Length: %d\r\n\r\n%s", id, w.id, id, w.keepAlive, size, content(id, size))
}

// content returns the body of the answer to a request.
func content(id string, size int) string {
	b := make([]byte, size)
	for i := range b {
		b[i] = id[i%len(id)]
	}
	return string(b)
}

// beginStream writes the head of a stream.
func (w *worker) beginStream(c *channel, id string) {
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: %s.%s\r\nContent-Type: text/event-stream\r\nKeep-Alive: timeout=10\r\nTransfer-Encoding: chunked\r\n\r\n", id, w.id, id)
}

// event writes one event of a stream.
func (w *worker) event(c *channel, id string, n int) error {
	e := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
	_, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e)
	return err
}

// endStream writes the end of a stream.
func (w *worker) endStream(c *channel) { io.WriteString(c, "0\r\n\r\n") }
