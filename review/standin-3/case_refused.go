package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// caseRefused: a worker fails a part of its requests after it has run them, and says so with 503
// without Not-Executed. The rule REFUSED: an order that is answered 503 must not have run.
func caseRefused(rec *Record, trouble bool) (bool, error) {
	store, err := NewStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	var rng sync.Mutex
	rnd := rand.New(rand.NewSource(1))
	handle := func(w *Worker, c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("Request-Id")
		rec.Run(w.ID, id)
		rng.Lock()
		fails := trouble && w.ID == "i-1" && rnd.Float64() < 0.4
		rng.Unlock()
		time.Sleep(30 * time.Millisecond)
		if fails {
			rec.Add("worker %s has run %s and answers 503 without Not-Executed", w.ID, id)
			reply(c, r, "503 Service Unavailable", "booked, but the receipt could not be made", "Server-Seal", seal(id, nil))
			return true
		}
		b := orderBody(id)
		reply(c, r, "200 OK", b, "Server-Seal", seal(id, []byte(b)))
		return true
	}
	for i := range 3 {
		w, err := StartWorker(rec, "127.0.0.1", fmt.Sprintf("i-%d", i+1), "wuno96b", []string{"brno-a", "brno-b", "brno-c"}[i], 6, handle)
		if err != nil {
			return false, err
		}
		store.Put("servers", w.ID, w.Entry("ready", 1))
	}
	store.Put("op", "config", plainConfig(7))
	sys, err := StartSystem(7, store.Addr)
	if sys != nil {
		defer sys.Stop()
	}
	if err != nil {
		return false, err
	}
	if err := sys.WaitReady(15 * time.Second); err != nil {
		return false, err
	}
	broken, answered, twice := 0, 0, 0
	for i := range orders {
		// A client sends each order once more after a promise that it has not run (the sheet: one retry).
		runs := 0
		for attempt := range 2 {
			e := sys.Entries[(i+attempt)%len(sys.Entries)]
			ch, err := Dial(e.Front)
			if err != nil {
				return false, err
			}
			r := &Request{ID: newID(), Method: "POST", Path: "/puxa403/2f", Body: fmt.Appendf(nil, "order %d", i), DeadlineMs: 1500, Key: key}
			rec.Add("client sends order %d as request %s to %s", i, r.ID, e.Name)
			a := ch.Do(r)
			ch.Close()
			rec.Add("client gets %d for %s (Server-Seal %q, Not-Executed %q), error %v", a.Status, r.ID, a.Header.Get("Server-Seal"), a.Header.Get("Not-Executed"), a.Err)
			n := rec.RunsOf(r.ID)
			runs += n
			if a.Status == 200 {
				answered++
			}
			if a.Status != 503 && a.Status != 429 {
				break
			}
			if n > 0 {
				broken++
				rec.Add("REFUSED is broken: request %s was answered %d and has run", r.ID, a.Status)
			}
			if wait, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64); err == nil {
				time.Sleep(time.Duration(min(wait, 0.4) * float64(time.Second)))
			}
		}
		if runs > 1 {
			twice++
			rec.Add("order %d was booked %d times", i, runs)
		}
	}
	summary := fmt.Sprintf("%d requests with success, %d answered 503 although they had run, %d orders booked twice by clients that trusted the answer", answered, broken, twice)
	rec.Add("%s", summary)
	fmt.Println(summary)
	if answered == 0 {
		return false, fmt.Errorf("no order was served")
	}
	return broken > 0, nil
}

// orders is the number of orders that caseRefused sends.
const orders = 150
