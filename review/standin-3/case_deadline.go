package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// noLimitMs is what a client without a limit of its own states as the time that it will wait.
const noLimitMs = "9223372036854775807"

// timeoutMs is the route's TimeoutMs, and answerSlack the time after it within which an answer is due.
const (
	timeoutMs   = 800 * time.Millisecond
	answerSlack = 500 * time.Millisecond
)

// caseDeadline: some workers hang. The clients state a very large Deadline-Ms. The rule CONFIG: of the
// requests still unanswered at their route's TimeoutMs, at least half have an answer half a second later.
func caseDeadline(rec *Record, trouble bool) (bool, error) {
	var mu sync.Mutex
	n := 0
	handle := func(w *Worker, c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("Request-Id")
		rec.Run(w.ID, id)
		rec.Add("worker %s got %s with Deadline-Ms %s", w.ID, id, r.Header.Get("Deadline-Ms"))
		mu.Lock()
		n++
		hangs := trouble && w.ID == "i-1" && n%5 < 2
		mu.Unlock()
		if hangs {
			rec.Add("worker %s hangs with %s", w.ID, id)
			time.Sleep(20 * time.Second)
			return false
		}
		time.Sleep(30 * time.Millisecond)
		b := orderBody(id)
		reply(c, r, "200 OK", b, "Server-Seal", seal(id, []byte(b)))
		return true
	}
	sys, err := startPlain(rec, handle)
	if sys != nil {
		defer sys.Stop()
	}
	if err != nil {
		return false, err
	}
	unanswered, late, served := 0, 0, 0
	var wg sync.WaitGroup
	for i := range 150 {
		wg.Add(1)
		time.Sleep(60 * time.Millisecond)
		go func() {
			defer wg.Done()
			e := sys.Entries[i%len(sys.Entries)]
			ch, err := Dial(e.Front)
			if err != nil {
				return
			}
			r := &Request{ID: newID(), Method: "POST", Path: "/puxa403/2f", Body: fmt.Appendf(nil, "order %d", i), DeadlineMs: 8000, DeadlineText: noLimitMs, Key: key}
			a := ch.Do(r)
			ch.Close()
			rec.Add("client of %s gets %d after %v, error %v", r.ID, a.Status, a.Took.Round(time.Millisecond), a.Err)
			mu.Lock()
			defer mu.Unlock()
			if a.Status == 200 && a.Err == nil {
				served++
			}
			if a.Took > timeoutMs {
				unanswered++
				if a.Took > timeoutMs+answerSlack {
					late++
				}
			}
		}()
	}
	wg.Wait()
	summary := fmt.Sprintf("%d orders served; %d unanswered at TimeoutMs, of these %d without an answer half a second later", served, unanswered, late)
	rec.Add("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		return false, fmt.Errorf("no order was served")
	}
	return late >= 5 && 2*late > unanswered, nil
}
