package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// caseForeign: a row of another writer lies in the table of the workers. Its service is none of the
// config's. The rule Starved: no kind of request is served less than a quarter as often as all requests.
func caseForeign(rec *Record, trouble bool) (bool, error) {
	store, err := NewStore("127.0.0.1")
	if err != nil {
		return false, err
	}
	zones := []string{"brno-a", "brno-b", "brno-c"}
	fleet := newFleet(rec, store)
	for i := range 27 {
		if _, err := fleet.Add(fmt.Sprintf("i-m%02d", i), zones[i/9], i/9); err != nil {
			return false, err
		}
	}
	handle := func(w *Worker, c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("Request-Id")
		rec.Run(w.ID, id)
		time.Sleep(30 * time.Millisecond)
		b := orderBody(id)
		reply(c, r, "200 OK", b, "Server-Seal", seal(id, []byte(b)))
		return true
	}
	for i := range 3 {
		w, err := StartWorker(rec, "127.0.0.1", fmt.Sprintf("i-o%d", i+1), "wuno96b", zones[i], 6, handle)
		if err != nil {
			return false, err
		}
		store.Put("servers", w.ID, w.Entry("ready", 1))
	}
	if trouble {
		store.Put("servers", "i-foreign", map[string]any{
			"Service": "cache", "Address": "127.0.0.1:1", "Zone": "brno-b", "Version": "v1", "Slots": 1, "State": "ready", "ColdLeftMs": 0, "Sequence": 1,
			"born": time.Now().UnixMilli(), "group": map[string]any{"Name": "cache", "epoch": uint64(18446744073709551615), "rank": 0, "State": "ready"},
		})
		rec.Add("a row of another writer, of the service cache, lies in the table servers; the epoch of its group is 18446744073709551615")
	}
	store.Put("op", "config", fullConfig(7))
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
	time.Sleep(formTime)
	var mu sync.Mutex
	asked, served := map[string]int{}, map[string]int{}
	stop := make(chan struct{})
	var wg sync.WaitGroup
	client := func(kind string, pause time.Duration, first int) {
		defer wg.Done()
		for i := first; ; i++ {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			ch, err := Dial(sys.Entries[i%len(sys.Entries)].Front)
			if err != nil {
				continue
			}
			r := &Request{ID: newID(), DeadlineMs: 1500, Key: key, Method: "POST", Path: "/puxa403/2f"}
			r.Body = []byte(r.ID + strings.Repeat("p", 500))
			if kind != "sample-order" {
				r.Path, r.DeadlineMs = "/lohu930/2f", 5000
				r.Headers = [][2]string{{"Model", []string{"m0", "m1"}[i%2]}, {"Token-Counts", "1460,80"}, {"Prompt-Prefix", fmt.Sprintf("5c1e07a2:40,%s:900", r.ID)}}
			}
			a := ch.Do(r)
			ch.Close()
			rec.Add("client: %s %s gets %d, whole %v", kind, r.ID, a.Status, a.Err == nil)
			mu.Lock()
			asked[kind]++
			if a.Status == 200 && a.Err == nil {
				served[kind]++
			}
			mu.Unlock()
		}
	}
	for i := range 20 {
		wg.Add(2)
		go client("spec-sheet", 250*time.Millisecond, i)
		go client("sample-order", 600*time.Millisecond, i)
	}
	time.Sleep(30 * time.Second)
	close(stop)
	wg.Wait()
	all, allServed := 0, 0
	for k := range asked {
		all, allServed = all+asked[k], allServed+served[k]
	}
	summary := fmt.Sprintf("served: %d of %d spec-sheet, %d of %d sample-order, %d of %d in all", served["spec-sheet"], asked["spec-sheet"], served["sample-order"], asked["sample-order"], allServed, all)
	rec.Add("%s", summary)
	fmt.Println(summary)
	if allServed == 0 || asked["spec-sheet"] < 100 {
		return false, fmt.Errorf("nothing was served")
	}
	return float64(served["spec-sheet"])/float64(asked["spec-sheet"]) < 0.25*float64(allServed)/float64(all), nil
}
