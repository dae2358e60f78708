package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// caseStrayRow: a row of another writer lies in the table of the workers. It lacks Zone, Version, Slots,
// ColdLeftMs and Sequence, so it names no worker to use. Behind its address runs a program of that writer, a
// copy of the order application for trials. The rule ROUTE: a request is run only by a service to which a config
// allows it to go.
func caseStrayRow(rec *Record, trouble bool) (bool, error) {
	var mu sync.Mutex
	strayRuns := map[string]bool{}
	answer := func(stray bool) func(w *Worker, c net.Conn, r *http.Request, body []byte) bool {
		return func(w *Worker, c net.Conn, r *http.Request, body []byte) bool {
			id := r.Header.Get("Request-Id")
			rec.Run(w.ID, id)
			if stray {
				mu.Lock()
				strayRuns[id] = true
				mu.Unlock()
			}
			time.Sleep(30 * time.Millisecond)
			b := orderBody(id)
			reply(c, r, "200 OK", b, "Server-Seal", seal(id, []byte(b)))
			return true
		}
	}
	sys, store, err := startPlain(rec, answer(false))
	if sys != nil {
		defer sys.Stop()
	}
	if err != nil {
		return false, err
	}
	trial, err := StartWorker(rec, "127.0.0.1", "trial-orders", "trial", "", 6, answer(true))
	if err != nil {
		return false, err
	}
	if trouble {
		store.Put("servers", trial.ID, map[string]any{"Service": "wuno96b", "Address": trial.Addr, "State": "ready", "born": trial.Born})
		rec.Add("a row %s of another writer lies in the table servers, without Zone, Version, Slots, ColdLeftMs and Sequence", trial.ID)
	}
	time.Sleep(3 * time.Second)
	served, wrong := 0, 0
	for i := range 150 {
		e := sys.Entries[i%len(sys.Entries)]
		ch, err := Dial(e.Front)
		if err != nil {
			return false, err
		}
		r := &Request{ID: newID(), Method: "POST", Path: "/puxa403/2f", Body: fmt.Appendf(nil, "order %d", i), DeadlineMs: 1500, Key: key}
		a := ch.Do(r)
		ch.Close()
		mu.Lock()
		stray := strayRuns[r.ID]
		mu.Unlock()
		rec.Add("client: order %d as request %s to %s gets %d; run by the program of the other writer: %v", i, r.ID, e.Name, a.Status, stray)
		switch {
		case stray:
			wrong++
		case a.Status == 200:
			served++
		}
	}
	summary := fmt.Sprintf("%d orders booked by workers of the service, %d booked by the program of the other writer", served, wrong)
	rec.Add("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		return false, fmt.Errorf("no order was served")
	}
	return wrong > 0, nil
}
