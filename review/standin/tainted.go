package main

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of the case of a prompt part that crashes all workers at once.
const (
	taintedPart = "bad0c0de"
	// firstTainted requests with the part come at each machine at once, and later one to each machine
	// every taintedPause.
	firstTainted = 6
	taintedPause = 500 * time.Millisecond
	outbreakTime = 16 * time.Second
	// workerBack is how long a crashed worker is away.
	workerBack  = 4 * time.Second
	soundPause  = 300 * time.Millisecond
	stability   = 3 * time.Second
	lateAllowed = 3
)

// outbreak records the requests with the part that reach workers, and the crashes.
type outbreak struct {
	mu       sync.Mutex
	arrivals []time.Duration
	crashes  []time.Duration
}

// crash ends a worker as a crashed process does: its connections break and its port is closed. It is back
// after workerBack, under another id.
func (w *groupWorker) crash(o *outbreak, ip string) {
	c := w.c
	c.mu.Lock()
	if w.gone {
		c.mu.Unlock()
		return
	}
	w.gone = true
	c.mu.Unlock()
	o.mu.Lock()
	o.crashes = append(o.crashes, sinceStart())
	n := len(o.crashes)
	o.mu.Unlock()
	_ = w.server.Close()
	c.rec.line("crash %d: %s", n, w.id)
	time.AfterFunc(workerBack, func() {
		c.store.remove("servers", w.id)
		b := c.add(ip, fmt.Sprintf("%s-%d", w.id, n), w.zone, w.domain)
		c.mu.Lock()
		b.stage(modelName)
		b.write()
		c.mu.Unlock()
	})
}

// isTainted reports whether a request has the part that crashes workers, other than as its last part.
func isTainted(prefix string) bool {
	parts := strings.Split(prefix, ",")
	for _, p := range parts[:len(parts)-1] {
		if strings.HasPrefix(p, taintedPart+":") {
			return true
		}
	}
	return false
}

// caseTainted sends sound requests. With the disruption, requests with a part that crashes workers come too,
// the first ones at once.
func caseTainted(rec *record) int {
	block := freeBlock()
	s := newStore(block + ".250")
	c := newCluster(s, rec)
	o := &outbreak{}
	zones := []string{"brno-a", "brno-b", "brno-c"}
	ip := block + ".251"
	c.onTainted = func(w *groupWorker, id string) {
		o.mu.Lock()
		o.arrivals = append(o.arrivals, sinceStart())
		o.mu.Unlock()
		rec.line("%s with the part reaches %s", id, w.id)
		time.Sleep(time.Millisecond)
		w.crash(o, ip)
	}
	for i := range 9 {
		c.add(ip, fmt.Sprintf("i-%02d", i), zones[i%3], zones[i%3]+"-d0")
	}
	s.put("op", "config", config(7, []any{modelRoute()}, []any{modelService(1)}))
	f := newFleet(rec, block, fleetConfig{zones: zones, perZone: 2, store: s.address, memoryMB: 284, graceS: 8})
	f.startAll()
	f.waitReady(15 * time.Second)
	time.Sleep(leadTime)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	send := func(e *entry, prefix string) answer {
		ch, err := dialChannel(e.front())
		if err != nil {
			return answer{err: err}
		}
		defer ch.close()
		q := request{
			method: "POST", path: "/lohu930/2f", id: newRequestID("f"), deadline: 8 * time.Second, body: []byte("prompt " + prefix),
			headers: map[string]string{"Model": modelName, "Token-Counts": "1460,21", "Prompt-Prefix": prefix},
		}
		a := ch.send(&q)
		rec.line("%s at %s (%s): status %d, error %v", q.id, e.name, prefix, a.status, a.err)
		if wait, err := strconv.ParseFloat(a.header.Get("Retry-After"), 64); err == nil && wait < 2 {
			// A client comes back once, when it is told to, as another request.
			time.Sleep(time.Duration(wait * float64(time.Second)))
			q.id, q.deadline = newRequestID("h"), 6*time.Second
			if again, err := dialChannel(e.front()); err == nil {
				defer again.close()
				a = again.send(&q)
				rec.line("%s at %s (%s): status %d, error %v", q.id, e.name, prefix, a.status, a.err)
			}
		}
		return a
	}
	every := func(pause time.Duration, do func(i int)) {
		wg.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				wg.Go(func() { do(i) })
			}
		})
	}
	for n, e := range f.entries {
		every(soundPause, func(i int) { send(e, fmt.Sprintf("5c1e07a2:40,%x:600,%x:1420", 0xa0+i%7, 1<<20+i*8+n)) })
	}
	time.Sleep(4 * time.Second)
	if troubled() {
		rec.say("requests with the part begin")
		for n, e := range f.entries {
			for i := range firstTainted {
				wg.Go(func() { send(e, fmt.Sprintf("5c1e07a2:40,%s:600,%x:1420", taintedPart, 1<<24+i*8+n)) })
			}
			time.AfterFunc(time.Duration(n)*taintedPause/time.Duration(len(f.entries)), func() {
				every(taintedPause, func(i int) { send(e, fmt.Sprintf("5c1e07a2:40,%s:600,%x:1420", taintedPart, 1<<25+i*8+n)) })
			})
		}
	}
	time.Sleep(outbreakTime)
	close(stop)
	wg.Wait()
	o.mu.Lock()
	defer o.mu.Unlock()
	c.mu.Lock()
	rec.say("%d sound requests served; %d requests with the part reached workers, %d crashes", c.served, len(o.arrivals), len(o.crashes))
	served := c.served
	c.mu.Unlock()
	if served == 0 {
		return exitNotRun
	}
	late := 0
	if len(o.crashes) >= 5 {
		from := o.crashes[4] + stability
		for _, at := range o.arrivals {
			if at > from {
				late++
			}
		}
		rec.say("fifth crash at %v; %d requests with the part reached workers more than %v later (allowed: %d)", o.crashes[4].Round(time.Millisecond), late, stability, lateAllowed)
	}
	if late > lateAllowed {
		rec.say("rule BUDGET is broken")
		return exitBroken
	}
	rec.say("rule BUDGET held")
	return exitHeld
}
