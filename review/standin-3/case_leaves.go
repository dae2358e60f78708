package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// startPlain starts a system with three plain workers.
func startPlain(rec *Record, handle func(*Worker, net.Conn, *http.Request, []byte) bool) (*System, error) {
	store, err := NewStore("127.0.0.1")
	if err != nil {
		return nil, err
	}
	for i := range 3 {
		w, err := StartWorker(rec, "127.0.0.1", fmt.Sprintf("i-%d", i+1), "wuno96b", []string{"brno-a", "brno-b", "brno-c"}[i], 6, handle)
		if err != nil {
			return nil, err
		}
		store.Put("servers", w.ID, w.Entry("ready", 1))
	}
	store.Put("op", "config", plainConfig(7))
	sys, err := StartSystem(7, store.Addr)
	if err != nil {
		return sys, err
	}
	return sys, sys.WaitReady(15 * time.Second)
}

// leaveAfter is when a client leaves: half of the objective of 150 ms.
const leaveAfter = 75 * time.Millisecond

// caseLeaves: a part of the clients leave before their deadline. They close their sending side
// first, as in an orderly end of a TCP channel, and read what still comes. The rule MIXED: no client gets a
// success without the worker's Server-Seal, or one on a channel with no request waiting.
func caseLeaves(rec *Record, trouble bool) (bool, error) {
	var mu sync.Mutex
	dropped := map[string]bool{}
	handle := func(w *Worker, c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("Request-Id")
		rec.Run(w.ID, id)
		// Most workers drop a request when its channel closes.
		_ = c.SetReadDeadline(time.Now().Add(120 * time.Millisecond))
		if _, err := c.Read(make([]byte, 1)); err != nil {
			if e, ok := err.(net.Error); !ok || !e.Timeout() {
				rec.Add("worker %s drops %s, because its channel has ended: nothing is booked", w.ID, id)
				mu.Lock()
				dropped[id] = true
				mu.Unlock()
				return false
			}
		}
		_ = c.SetReadDeadline(time.Time{})
		b := orderBody(id)
		reply(c, r, "200 OK", b, "Server-Seal", seal(id, []byte(b)))
		rec.Add("worker %s has booked %s", w.ID, id)
		return true
	}
	sys, err := startPlain(rec, handle)
	if sys != nil {
		defer sys.Stop()
	}
	if err != nil {
		return false, err
	}
	broken, lost, served := 0, 0, 0
	for i := range 150 {
		e := sys.Entries[i%len(sys.Entries)]
		ch, err := Dial(e.Front)
		if err != nil {
			return false, err
		}
		r := &Request{ID: newID(), Method: "POST", Path: "/puxa403/2f", Body: fmt.Appendf(nil, "order %d", i), DeadlineMs: 1500, Key: key}
		leaves := trouble && i%10 < 3
		if leaves {
			time.AfterFunc(leaveAfter, func() {
				rec.Add("client leaves: it closes its sending side, %s", r.ID)
				_ = ch.conn.(*net.TCPConn).CloseWrite()
			})
		}
		rec.Add("client sends order %d as request %s to %s", i, r.ID, e.Name)
		a := ch.Do(r)
		ch.Close()
		rec.Add("client gets %d for %s (Server-Seal %q, %d bytes), error %v", a.Status, r.ID, a.Header.Get("Server-Seal"), len(a.Body), a.Err)
		if a.Status == 200 && a.Err == nil {
			if a.Header.Get("Server-Seal") == "" {
				broken++
				time.Sleep(20 * time.Millisecond)
				mu.Lock()
				if dropped[r.ID] {
					lost++
				}
				mu.Unlock()
				rec.Add("MIXED is broken: %s got a success without Server-Seal", r.ID)
			} else {
				served++
			}
		}
	}
	summary := fmt.Sprintf("%d orders with the worker's success, %d successes without Server-Seal, of which the worker had dropped %d orders", served, broken, lost)
	rec.Add("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		return false, fmt.Errorf("no order was served")
	}
	return broken > 0, nil
}
