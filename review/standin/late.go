package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Figures of the case of a write that the store does late.
const (
	groupSize = 4
	// lateBy is how long after its call the write without an answer is done.
	lateBy = 5 * time.Second
	// leadTime is the time from the start of the machines to the first request.
	leadTime = 10 * time.Second
)

// caseLate forms groups at the first start. With the disruption the store does not answer the write of one
// group's row, and does it some seconds later. All else is planned work: two workers are added, a worker
// leaves, and the machine that holds the lease is restarted. The worker that leaves is one that the lost
// write names and that is in no group.
func caseLate(rec *record) int {
	block := freeBlock()
	s := newStore(block + ".250")
	c := newCluster(s, rec)
	zones := []string{"brno-a", "brno-b", "brno-c"}
	ip := block + ".251"
	// Six domains with two groups each, and one with a single group at first.
	for d, domain := range []string{"brno-a-d0", "brno-a-d1", "brno-b-d1", "brno-b-d2", "brno-c-d0", "brno-c-d1"} {
		for i := range 2 * groupSize {
			c.add(ip, fmt.Sprintf("i-%d%02d", d+1, i), domain[:6], domain)
		}
	}
	for i := range groupSize {
		c.add(ip, fmt.Sprintf("i-9%d", 2+i), "brno-b", "brno-b-d0")
	}
	addWorkers := func() {
		rec.say("planned: two workers are added")
		c.add(ip, "i-90", "brno-b", "brno-b-d0")
		c.add(ip, "i-96", "brno-b", "brno-b-d0")
	}
	s.put("op", "config", config(7, []any{modelRoute()}, []any{modelService(groupSize)}))
	var once sync.Once
	lateDone := make(chan struct{})
	s.late = func(t *transaction) (time.Duration, bool) {
		for _, p := range t.Puts {
			if p.Table == "formation" && strings.Contains(string(p.Value), `"i-95"`) && troubled() {
				late := false
				once.Do(func() {
					late = true
					rec.say("the store does not answer the write of row %s and does it in %v: %s", p.Key, lateBy, p.Value)
					time.AfterFunc(500*time.Millisecond, addWorkers)
				})
				return lateBy, late
			}
		}
		return 0, false
	}
	s.onLate = func(applied bool) {
		rec.say("the store does the late write: %v", applied)
		close(lateDone)
	}
	f := newFleet(rec, block, fleetConfig{zones: zones, perZone: 1, store: s.address, memoryMB: 284, graceS: 8})
	f.startAll()
	f.waitReady(15 * time.Second)
	if !troubled() {
		time.AfterFunc(3*time.Second, addWorkers)
	} else {
		select {
		case <-lateDone:
		case <-time.After(30 * time.Second):
			notRun("no row of the domain was written")
		}
	}
	time.Sleep(leadTime)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for i, e := range f.entries {
		wg.Go(func() { sendStreams(rec, e, i, stop) })
	}
	time.Sleep(4 * time.Second)
	c.logGroups()
	rec.say("planned: worker i-95 drains and leaves")
	c.workers["i-95"].drain(4 * time.Second)
	time.Sleep(6 * time.Second)
	c.logGroups()
	holder := s.leaseHolder()
	rec.say("planned: the machine %s, which holds the lease, is restarted with SIGTERM", holder)
	for _, e := range f.entries {
		if e.name == holder {
			e.signal(syscall.SIGTERM)
		}
	}
	time.Sleep(15 * time.Second)
	close(stop)
	wg.Wait()
	c.logGroups()
	c.mu.Lock()
	defer c.mu.Unlock()
	rec.say("%d requests at workers, %d served, %d orders, %d joins that break TWO", c.requests, c.served, c.orders, len(c.twoBroken))
	switch {
	case c.served == 0:
		return exitNotRun
	case len(c.twoBroken) > 0:
		rec.say("rule TWO is broken")
		return exitBroken
	}
	rec.say("rule TWO held")
	return exitHeld
}

// logGroups records the groups that are open.
func (c *cluster) logGroups() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		if w.group != nil && w.group.Rank == 0 {
			c.rec.line("group %s epoch %d of %v is %s", w.group.Name, w.group.Epoch, w.group.members, w.group.State)
		}
	}
}

// sendStreams sends a few requests a second to a machine.
func sendStreams(rec *record, e *entry, n int, stop <-chan struct{}) {
	var c *channel
	for i := 0; ; i++ {
		select {
		case <-stop:
			return
		case <-time.After(150 * time.Millisecond):
		}
		if c == nil {
			var err error
			if c, err = dialChannel(e.front()); err != nil {
				continue
			}
		}
		q := request{
			method: "POST", path: "/lohu930/2f", id: newRequestID("d"), deadline: 8 * time.Second, body: []byte("prompt"),
			headers: map[string]string{"Model": modelName, "Token-Counts": "1460,21", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:40,%x:1420", 1<<20+i*8+n)},
		}
		a := c.send(&q)
		rec.line("%s at %s: status %d, error %v, %d bytes", q.id, e.name, a.status, a.err, len(a.body))
		if a.err != nil || a.close {
			c.close()
			c = nil
		}
	}
}
