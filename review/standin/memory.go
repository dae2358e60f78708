package main

import (
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of large requests at workers that read slowly.
const (
	memoryLimitMB = 284
	uploadBytes   = 4 << 20 // the deployment's BodyBytes
	// uploadsPerS is the rate of large requests to each machine.
	uploadsPerS   = 12
	uploadTime    = 12 * time.Second
	slowReadPiece = 64 << 10
	slowReadPause = 65 * time.Millisecond
	lookClients   = 8
	lookWork      = 250 * time.Millisecond
	// lostAllowed is the number of requests that the rule allows a machine to lose.
	lostAllowed = 3
)

// caseMemory sends requests of the largest allowed size. With the disruption their workers read
// slowly. Other clients have requests at sound workers meanwhile.
func caseMemory(rec *record) int {
	block := freeBlock()
	s := newStore(block + ".250")
	zones := []string{"brno-a", "brno-b", "brno-c"}
	slow := troubled()
	for i := range 9 {
		newWorker(s, block+".251", "sheets", zones[i%3], 26, func(_ *worker, rw http.ResponseWriter, r *http.Request) {
			begin := time.Now()
			if slow {
				for {
					n, err := io.CopyN(io.Discard, r.Body, slowReadPiece)
					if n == 0 || err != nil {
						break
					}
					time.Sleep(slowReadPause)
				}
			}
			n, err := io.Copy(io.Discard, r.Body)
			rec.line("worker read the body of %s in %v (%d more bytes, %v)", r.Header.Get("Request-Id"), time.Since(begin).Round(time.Millisecond), n, err)
			succeed(rw, r, []byte("stored"))
		})
	}
	var running sync.Map
	for i := range 3 {
		newWorker(s, block+".251", "stock", zones[i], 26, func(_ *worker, rw http.ResponseWriter, r *http.Request) {
			running.Store(r.Header.Get("Request-Id"), true)
			time.Sleep(lookWork)
			succeed(rw, r, []byte("in stock"))
		})
	}
	s.put("op", "config", config(7,
		[]any{
			plainRoute("r-sheet", "/lohu930/", "non_idempotent", "sheets", 8*time.Second, 300*time.Millisecond, 1),
			plainRoute("r-stock", "/cufi504/", "idempotent", "stock", 1500*time.Millisecond, 300*time.Millisecond, 2),
		},
		[]any{plainService("sheets"), plainService("stock")}))
	f := newFleet(rec, block, fleetConfig{zones: zones, perZone: 1, store: s.address, memoryMB: memoryLimitMB, graceS: 8})
	f.startAll()
	f.waitReady(15 * time.Second)
	stop := make(chan struct{})
	most := f.keepMemoryLimit(memoryLimitMB, stop)
	rec.say("ready; workers read slowly: %v", slow)
	lost := make([]atomic.Int64, len(f.entries))
	var looks, uploads, uploadsDone atomic.Int64
	var wg sync.WaitGroup
	end := time.Now().Add(uploadTime + 2*time.Second)
	for i, e := range f.entries {
		for range lookClients {
			wg.Go(func() {
				var c *channel
				for time.Now().Before(end) {
					if c == nil {
						var err error
						if c, err = dialChannel(e.front()); err != nil {
							time.Sleep(100 * time.Millisecond)
							continue
						}
					}
					q := request{method: "GET", path: "/cufi504/fi50/2f", id: newRequestID("a"), deadline: 1500 * time.Millisecond}
					kept := c.answered > 0
					a := c.send(&q)
					looks.Add(1)
					_, passedOn := running.Load(q.id)
					if a.err != nil && !isTimeout(a.err) && kept && passedOn {
						lost[i].Add(1)
						rec.line("LOST: %s, on a kept channel to %s, was passed on to a sound worker; its channel was closed without an answer (%v)", q.id, e.name, a.err)
					} else {
						rec.line("%s at %s: status %d, error %v, kept channel %v, passed on %v", q.id, e.name, a.status, a.err, kept, passedOn)
					}
					if a.err != nil || a.close {
						c.close()
						c = nil
					}
				}
			})
		}
	}
	time.Sleep(time.Second)
	body := make([]byte, uploadBytes)
	for _, e := range f.entries {
		wg.Go(func() {
			t := time.NewTicker(time.Second / uploadsPerS)
			defer t.Stop()
			for done := time.After(uploadTime); ; {
				select {
				case <-done:
					return
				case <-t.C:
				}
				wg.Go(func() {
					q := request{method: "POST", path: "/lohu930/2f", id: newRequestID("b"), deadline: 8 * time.Second, body: body}
					c, err := dialChannel(e.front())
					if err != nil {
						rec.line("%s: no channel to %s: %v", q.id, e.name, err)
						return
					}
					defer c.close()
					uploads.Add(1)
					a := c.send(&q)
					if a.status == http.StatusOK {
						uploadsDone.Add(1)
					}
					rec.line("%s (%d bytes) at %s: status %d, error %v", q.id, len(body), e.name, a.status, a.err)
				})
			}
		})
	}
	wg.Wait()
	close(stop)
	broken := false
	for i, e := range f.entries {
		rec.say("%s: process killed %d times for its memory, %d requests lost at sound workers (allowed: %d)", e.name, e.signals, lost[i].Load(), lostAllowed)
		broken = broken || lost[i].Load() > lostAllowed
	}
	rec.say("%d of %d large requests answered, %d small requests, most memory of a process %d MB", uploadsDone.Load(), uploads.Load(), looks.Load(), most.Load())
	if looks.Load() == 0 {
		return exitNotRun
	}
	if broken {
		rec.say("rule LOST is broken")
		return exitBroken
	}
	rec.say("rule LOST held")
	return exitHeld
}
