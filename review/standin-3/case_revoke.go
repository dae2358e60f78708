package main

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// configApply is ConfigApplyMs.
const configApply = 2 * time.Second

// unknownKey is a key that no config has ever held.
const unknownKey = "zzzzunknownkeyzzzzzz"

// caseRevoke: the operator takes the tenant and its keys away. The config contains Tenants before and
// after it. The rule ROUTE: no request runs whose key no config ever held.
func caseRevoke(rec *Record, trouble bool) (bool, error) {
	var mu sync.Mutex
	tenants := map[string]string{}
	handle := func(w *Worker, c net.Conn, r *http.Request, body []byte) bool {
		id := r.Header.Get("Request-Id")
		rec.Run(w.ID, id)
		mu.Lock()
		tenants[id] = r.Header.Get("Tenant")
		mu.Unlock()
		time.Sleep(30 * time.Millisecond)
		b := orderBody(id)
		reply(c, r, "200 OK", b, "Server-Seal", seal(id, []byte(b)))
		return true
	}
	sys, store, err := startPlain(rec, handle)
	if sys != nil {
		defer sys.Stop()
	}
	if err != nil {
		return false, err
	}
	served, unknownRuns, removedRuns := 0, 0, 0
	send := func(i int, k, what string) (ran bool, status int) {
		e := sys.Entries[i%len(sys.Entries)]
		ch, err := Dial(e.Front)
		if err != nil {
			return false, 0
		}
		r := &Request{ID: newID(), Method: "POST", Path: "/puxa403/2f", Body: fmt.Appendf(nil, "order %d", i), DeadlineMs: 1500, Key: k}
		a := ch.Do(r)
		ch.Close()
		n := rec.RunsOf(r.ID)
		mu.Lock()
		t := tenants[r.ID]
		mu.Unlock()
		rec.Add("order %d as request %s with %s to %s: %d; it ran %d times, with the Tenant %q", i, r.ID, what, e.Name, a.Status, n, t)
		return n > 0, a.Status
	}
	for i := range 42 { // with the tenant in the config
		if _, status := send(i, key, "the tenant's key"); status == 200 {
			served++
		}
		if ran, _ := send(i, unknownKey, "a key that no config ever held"); ran {
			unknownRuns++
		}
	}
	if trouble {
		c := plainConfig(8)
		c["Tenants"] = []any{}
		store.Put("op", "config", c)
		rec.Add("version 8 is confirmed: its Tenants are empty, the keys are taken away")
	} else {
		store.Put("op", "config", plainConfig(8))
		rec.Add("version 8 is confirmed: its Tenants are those of version 7")
	}
	time.Sleep(configApply + time.Second)
	for i := range 42 {
		if ran, _ := send(i, unknownKey, "a key that no config ever held"); ran {
			unknownRuns++
		}
		if ran, _ := send(i, key, "the key of version 7"); ran {
			removedRuns++
		}
	}
	summary := fmt.Sprintf("%d of 42 orders with a key served before; %d orders ran with a key that no config ever held; %d ran with the key of version 7 later than ConfigApplyMs after version 8", served, unknownRuns, removedRuns)
	rec.Add("%s", summary)
	fmt.Println(summary)
	if served == 0 {
		return false, fmt.Errorf("no order was served")
	}
	return unknownRuns > 0, nil
}
