package main

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of workers that fall silent during a planned stop.
const (
	silentEvents = 12
	eventPause   = 150 * time.Millisecond
	// silentAt is the event inside which the workers fall silent, for silentFor.
	silentAt  = 7
	silentFor = 1300 * time.Millisecond
	// streamsEach is the number of streams at each machine.
	streamsEach = 8
)

// caseSilence stops a machine with SIGTERM while it answers streams. With the disruption the workers, which
// are sound, fall silent for a moment inside an event and go on.
func caseSilence(rec *record) int {
	block := freeBlock()
	s := newStore(block + ".250")
	zones := []string{"brno-a", "brno-b", "brno-c"}
	silent := troubled()
	var mu sync.Mutex
	atWorker := make(map[string]string)
	for i := range 3 {
		newWorker(s, block+".251", "drafts", zones[i], 26, func(w *worker, rw http.ResponseWriter, r *http.Request) {
			id := r.Header.Get("Request-Id")
			_, _ = io.Copy(io.Discard, r.Body)
			nc, _, err := rw.(http.Hijacker).Hijack()
			if err != nil {
				return
			}
			defer func() { _ = nc.Close() }()
			note := func(what string) {
				mu.Lock()
				defer mu.Unlock()
				atWorker[id] = what
			}
			note("running")
			write := func(text string) bool {
				_, err := io.WriteString(nc, text)
				if err != nil {
					note("its channel was closed: " + err.Error())
					rec.line("%s: channel of %s closed while it was at work: %v", w.id, id, err)
				}
				return err == nil
			}
			if !write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nServer-Seal: " + seal(id) + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n") {
				return
			}
			for n := 1; n <= silentEvents; n++ {
				time.Sleep(eventPause)
				first, rest := fmt.Sprintf("id: %d\n", n), fmt.Sprintf("data: piece %d\n\n", n)
				if !write(fmt.Sprintf("%x\r\n%s", len(first)+len(rest), first)) {
					return
				}
				if n == silentAt && silent {
					rec.line("%s falls silent inside event %d of %s for %v", w.id, n, id, silentFor)
					time.Sleep(silentFor)
				}
				if !write(rest + "\r\n") {
					return
				}
			}
			if write("0\r\n\r\n") {
				note("done")
			}
		})
	}
	route := plainRoute("r-draft", "/gono990/", "streaming", "drafts", 8*time.Second, 300*time.Millisecond, 1)
	route["GapAimMs"] = 300
	s.put("op", "config", config(7, []any{route}, []any{plainService("drafts")}))
	f := newFleet(rec, block, fleetConfig{zones: zones, perZone: 1, store: s.address, memoryMB: 284, graceS: 8})
	f.startAll()
	f.waitReady(15 * time.Second)
	time.Sleep(4 * time.Second)
	stopped := f.entries[1]
	answers := make(map[string]answer)
	lost := make(map[*entry]int)
	var wg sync.WaitGroup
	for _, e := range f.entries {
		for range streamsEach {
			wg.Go(func() {
				c, err := dialChannel(e.front())
				if err != nil {
					rec.line("no channel to %s: %v", e.name, err)
					return
				}
				defer c.close()
				q := request{method: "POST", path: "/gono990/2f", id: newRequestID("e"), deadline: 8 * time.Second, body: []byte("draft a sheet")}
				sent := sinceStart()
				a := c.send(&q)
				whole := a.err == nil && a.status == http.StatusOK && strings.Count(string(a.body), "data: piece") == silentEvents
				rec.line("%s at %s: status %d, error %v, %d bytes, whole: %v, after %v", q.id, e.name, a.status, a.err, len(a.body), whole, sinceStart()-sent)
				mu.Lock()
				defer mu.Unlock()
				answers[q.id] = a
				if a.err != nil {
					lost[e]++
				}
			})
		}
	}
	time.Sleep(500 * time.Millisecond)
	rec.say("planned: %s gets SIGTERM; the workers will fall silent for %v: %v", stopped.name, silentFor, silent)
	stopped.mu.Lock()
	stopped.stopped = true
	stopped.mu.Unlock()
	stopped.signal(syscall.SIGTERM)
	wg.Wait()
	mu.Lock()
	defer mu.Unlock()
	done := 0
	for id := range answers {
		if atWorker[id] == "done" {
			done++
		}
	}
	for _, e := range f.entries {
		rec.say("%s: %d of %d streams ended without a complete answer", e.name, lost[e], streamsEach)
	}
	rec.say("%d streams, %d done at their workers; no worker broke off", len(answers), done)
	switch {
	case len(answers) != len(f.entries)*streamsEach:
		return exitNotRun
	case lost[stopped] > 0:
		rec.say("rule LOST is broken: %d requests around the planned stop of %s", lost[stopped], stopped.name)
		return exitBroken
	}
	rec.say("rule LOST held")
	return exitHeld
}
