package main

import (
	"fmt"
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// The trouble of the case: add_nodes. Spare machines are added to the three of the start.
const (
	addedMachines    = 3
	orderKeepAlive   = 120
	orderMaxConns    = 100
	machinesTime     = 109 * time.Second
	machinesStreams  = 149.5
	machinesLookRate = 5.13
)

// machinesCase: machines are added, and the idle channels of all of them fill the workers of the orders.
func machinesCase(e *environment) (int, error) {
	e.spares = addedMachines
	order := func(w *worker, c *channel, r *http.Request, _ []byte) bool {
		time.Sleep(30 * time.Millisecond)
		w.reply(c, r.Header.Get("Request-Id"), 800)
		return true
	}
	stream := func(w *worker, c *channel, r *http.Request, _ []byte) bool {
		id := r.Header.Get("Request-Id")
		time.Sleep(10 * time.Millisecond)
		w.beginStream(c, id)
		for n := 1; n <= 3; n++ {
			if w.event(c, id, n) != nil {
				return false
			}
			time.Sleep(10 * time.Millisecond)
		}
		w.endStream(c)
		return true
	}
	var desks []*worker
	for i, z := range zones {
		w, err := e.workers.add("order-desk", fmt.Sprintf("i-3ad0b1%02x", i), z, 6, order)
		if err != nil {
			return failed, err
		}
		w.mu.Lock()
		w.maxConns, w.keepAlive = orderMaxConns, orderKeepAlive
		w.mu.Unlock()
		desks = append(desks, w)
	}
	for i := range 6 {
		if _, err := e.workers.add("draft-desk", fmt.Sprintf("i-77e2c0%02x", i), zones[i%3], 26, stream); err != nil {
			return failed, err
		}
	}
	routes := []map[string]any{
		{"Name": "r-order", "Host": "desk.example", "Prefix": "/order/", "Kind": "non_idempotent", "TimeoutMs": 1500, "GoalMs": 150, "Priority": 2, "Service": "order-desk", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false, "GapAimMs": 0},
		{"Name": "r-look", "Host": "desk.example", "Prefix": "/look/", "Kind": "idempotent", "TimeoutMs": 1500, "GoalMs": 150, "Priority": 2, "Service": "order-desk", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false, "GapAimMs": 0},
		{"Name": "r-draft", "Host": "desk.example", "Prefix": "/draft/", "Kind": "streaming", "TimeoutMs": 8000, "GoalMs": 300, "Priority": 1, "Service": "draft-desk", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": true, "GapAimMs": 300},
	}
	if err := e.start(3, routes, []map[string]any{plainService("order-desk", orderMaxConns), plainService("draft-desk", 334)}); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	total, served := make(map[string]int), make(map[string]int)
	statuses := make(map[string]int)
	addresses, err := e.sys.resolve(e.sys.machines[0])
	if err != nil {
		return failed, err
	}
	var wg sync.WaitGroup
	// attempt sends one client attempt to a machine that the directory names.
	attempt := func(kind, method, path, deadline string) (status int, retryAfter bool) {
		mu.Lock()
		address := addresses[rand.Intn(len(addresses))]
		mu.Unlock()
		id := newID()
		c, err := dial(address)
		if err != nil {
			return 0, true
		}
		defer c.Close()
		body := ""
		if method == "POST" {
			body = `{"cups":12}`
		}
		if c.send(method, path, id, deadline, body) != nil {
			return 0, false
		}
		resp, _, err := c.answer(10 * time.Second)
		status = resp0(resp)
		if err != nil {
			status = 0
		}
		mu.Lock()
		total[kind]++
		statuses[fmt.Sprintf("%s %d", kind, status)]++
		if status == 200 {
			served[kind]++
		}
		mu.Unlock()
		if status != 200 {
			e.rec.logf("%s %s at %s: %d", kind, id, address, status)
		}
		return status, status == 503 || status == 429
	}
	// client sends a request, and once more after a promise that it has not run.
	client := func(kind, method, path, deadline string) {
		defer wg.Done()
		if _, again := attempt(kind, method, path, deadline); again {
			time.Sleep(300 * time.Millisecond)
			attempt(kind, method, path, deadline)
		}
	}
	stop := make(chan struct{})
	every := func(rate float64, kind, method, path, deadline string) {
		defer wg.Done()
		t := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer t.Stop()
		for {
			select {
			case <-stop:
				return
			case <-t.C:
				wg.Add(1)
				go client(kind, method, path, deadline)
			}
		}
	}
	begin := time.Now()
	wg.Add(3)
	go every(orderRate, "order", "POST", "/order/2f", "1500")
	go every(machinesLookRate, "look", "GET", "/look/2f", "1500")
	go every(machinesStreams, "stream", "POST", "/draft/2f", "8000")
	if e.trouble {
		for range addedMachines {
			if err := e.sys.add(); err != nil {
				close(stop)
				wg.Wait()
				return failed, err
			}
		}
	}
	for n := 0; time.Since(begin) < machinesTime; n++ {
		time.Sleep(time.Second)
		if a, err := e.sys.resolve(e.sys.machines[n%len(e.sys.machines)]); err == nil {
			mu.Lock()
			addresses = a
			mu.Unlock()
		}
		if n%5 == 0 {
			line := ""
			for _, w := range desks {
				w.mu.Lock()
				line += fmt.Sprintf(" %s: %d channels, %d reset so far;", w.id, len(w.conns), w.resets)
				w.mu.Unlock()
			}
			mu.Lock()
			e.rec.logf("%d machines;%s orders served %d of %d", len(addresses), line, served["order"], total["order"])
			mu.Unlock()
		}
	}
	close(stop)
	wg.Wait()
	all, allServed := 0, 0
	for kind := range total {
		all, allServed = all+total[kind], allServed+served[kind]
	}
	share := func(a, b int) float64 { return float64(a) / float64(max(1, b)) }
	orders, everything := share(served["order"], total["order"]), share(allServed, all)
	e.rec.say("served: orders %d of %d (%.3f), look-ups %d of %d, streams %d of %d, all %.3f; %v", served["order"], total["order"], orders,
		served["look"], total["look"], served["stream"], total["stream"], everything, statuses)
	if orders < everything/4 {
		e.rec.say("Starved broken: a kind of request is served less than a quarter as often as all requests")
		return broken, nil
	}
	return held, nil
}
