package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// The trouble of the case: a request that crashes each worker that begins to run it, and comes again.
const (
	poisonWorkers = 9
	poisonCopies  = 4
	poisonPeriod  = 4 * time.Second
	poisonWaves   = 4
	poisonBack    = 3 * time.Second
	stability     = 3 * time.Second
	poisonBody    = `{"cups":"many","note":"crash"}`
)

// poisonCase: copies of a request that crashes workers come at several machines at once, and again every 4 s.
func poisonCase(e *environment) (int, error) {
	var lives atomic.Int64
	var mu sync.Mutex
	var crashes []time.Time
	handle := func(w *worker, c *channel, r *http.Request, body []byte) bool {
		id := r.Header.Get("Request-Id")
		time.Sleep(10 * time.Millisecond)
		if string(body) == poisonBody {
			if w.crash(r.Header.Get("Expect-Instance"), poisonBack, fmt.Sprintf("i-6c11%04x", 0x100+lives.Add(1))) {
				mu.Lock()
				crashes = append(crashes, time.Now())
				mu.Unlock()
			}
			return false
		}
		time.Sleep(20 * time.Millisecond)
		w.reply(c, id, 800)
		return true
	}
	for i := range poisonWorkers {
		if _, err := e.workers.add("order-desk", fmt.Sprintf("i-6c11%04x", i), zones[i%3], 6, handle); err != nil {
			return failed, err
		}
	}
	routes := []map[string]any{{"Name": "r-order", "Host": "desk.example", "Prefix": "/order/", "Kind": "non_idempotent", "TimeoutMs": 1500, "GoalMs": 150, "Priority": 0, "Service": "order-desk", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false, "GapAimMs": 0}}
	if err := e.start(3, routes, []map[string]any{plainService("order-desk", 100)}); err != nil {
		return failed, err
	}
	type copyOf struct {
		id   string
		sent time.Time
	}
	var copies []copyOf
	statuses := make(map[int]int)
	var wg sync.WaitGroup
	send := func(m *machine, body string, poison bool) {
		defer wg.Done()
		id := newID()
		c, err := dial(m.front)
		if err != nil {
			return
		}
		defer c.Close()
		sent := time.Now()
		if c.send("POST", "/order/2f", id, "1500", body) != nil {
			return
		}
		if poison {
			e.rec.logf("the request that crashes workers is sent to %s as %s", m.name, id)
			mu.Lock()
			copies = append(copies, copyOf{id, sent})
			mu.Unlock()
		}
		resp, _, err := c.answer(5 * time.Second)
		if poison {
			e.rec.logf("%s: status %d, %v", id, resp0(resp), err)
			return
		}
		mu.Lock()
		statuses[resp0(resp)]++
		mu.Unlock()
	}
	begin := time.Now()
	wave := 0
	for n := 0; time.Since(begin) < 2*time.Second+poisonWaves*poisonPeriod; n++ {
		if e.trouble && wave < poisonWaves && time.Since(begin) >= 2*time.Second+time.Duration(wave)*poisonPeriod {
			wave++
			for k := range poisonCopies {
				wg.Add(1)
				go send(e.sys.machines[k%len(e.sys.machines)], poisonBody, true)
			}
		}
		wg.Add(1)
		go send(e.sys.machines[n%len(e.sys.machines)], fmt.Sprintf(`{"cups":%d}`, n), false)
		time.Sleep(time.Duration(float64(time.Second) / orderRate))
	}
	wg.Wait()
	var list []string
	retries := 0
	for _, p := range copies {
		runs := e.workers.runsOf(p.id)
		if len(crashes) >= 3 && len(runs) > 0 && p.sent.After(crashes[2].Add(stability)) {
			retries++
			list = append(list, fmt.Sprintf("%s at %d ms", p.id, p.sent.Sub(e.rec.start).Milliseconds()))
		}
	}
	e.rec.say("%d copies of the request, %d crashes, of which the third at %d ms; sent later than %v after it and run: %d (%s); sound orders by status: %v",
		len(copies), len(crashes), thirdAt(crashes, e.rec.start), stability, retries, strings.Join(list, ", "), statuses)
	if retries > 3 {
		e.rec.say("BUDGET broken: a request that crashes the workers that run it reaches workers in more than three retries later than StabilityMs after it has crashed the third")
		return broken, nil
	}
	return held, nil
}

func thirdAt(crashes []time.Time, start time.Time) int64 {
	if len(crashes) < 3 {
		return -1
	}
	return crashes[2].Sub(start).Milliseconds()
}
