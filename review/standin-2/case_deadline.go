package main

import (
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// The trouble of the case: answer_lost with share 0.6, x 0.3 and for_s 6, as a day of the site has it.
const (
	lostShare    = 0.6
	lostFraction = 0.3
	lostTime     = 6 * time.Second
	// orderRate is the site's rate of orders a second.
	orderRate = 12.8
	// orderTimeout is the route's TimeoutMs, and timeoutSlack the half second of the rule.
	orderTimeout = 1500 * time.Millisecond
	timeoutSlack = 500 * time.Millisecond
	// patience is how long a client listens in all. It would wait for ever.
	patience = 20 * time.Second
	// noLimit is how a client says that it waits as long as it takes.
	noLimit = "9223372036854775807"
)

// deadlineCase: clients state a very long Deadline-Ms, and workers lose answers.
func deadlineCase(e *environment) (int, error) {
	var mu sync.Mutex
	losing := false
	random := rand.New(rand.NewSource(1))
	handle := func(w *worker, c *channel, r *http.Request, _ []byte) bool {
		time.Sleep(30 * time.Millisecond)
		id := r.Header.Get("Request-Id")
		mu.Lock()
		lost := losing && float64(w.index) < lostShare*3-0.5 && random.Float64() < lostFraction
		mu.Unlock()
		if lost {
			e.rec.logf("worker %s has run %s (Deadline-Ms %s) and its answer is lost", w.id, id, r.Header.Get("Deadline-Ms"))
			return true
		}
		w.reply(c, id, 800)
		return true
	}
	for i, z := range zones {
		if _, err := e.workers.add("order-desk", "i-7f3a91c"+string(rune('0'+i)), z, 6, handle); err != nil {
			return failed, err
		}
	}
	routes := []map[string]any{{"Name": "r-order", "Host": "desk.example", "Prefix": "/order/", "Kind": "non_idempotent", "TimeoutMs": 1500, "GoalMs": 150, "Priority": 0, "Service": "order-desk", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false, "GapAimMs": 0}}
	if err := e.start(3, routes, []map[string]any{plainService("order-desk", 100)}); err != nil {
		return failed, err
	}
	type result struct {
		long                          bool
		answered, inTime, overTimeout bool
	}
	var results []result
	var wg sync.WaitGroup
	order := func(n int) {
		defer wg.Done()
		m := e.sys.machines[n%len(e.sys.machines)]
		id, deadline := newID(), noLimit
		if n%8 == 7 {
			deadline = "1500"
		}
		c, err := dial(m.front)
		if err != nil {
			e.rec.logf("order %s: %v", id, err)
			return
		}
		defer c.Close()
		sent := time.Now()
		if err := c.send("POST", "/order/2f", id, deadline, `{"cups":12}`); err != nil {
			e.rec.logf("order %s: %v", id, err)
			return
		}
		e.rec.logf("order %s sent to %s, Deadline-Ms %s", id, m.name, deadline)
		resp, _, err := c.answer(patience)
		took := time.Since(sent)
		r := result{long: deadline == noLimit, answered: err == nil, inTime: err == nil && took <= orderTimeout+timeoutSlack, overTimeout: took > orderTimeout}
		if err != nil {
			e.rec.logf("order %s: no answer after %d ms: %v", id, took.Milliseconds(), err)
		} else {
			e.rec.logf("order %s: %d after %d ms", id, resp.StatusCode, took.Milliseconds())
		}
		mu.Lock()
		results = append(results, r)
		mu.Unlock()
	}
	begin := time.Now()
	for n := 0; time.Since(begin) < 3*time.Second+lostTime+2*time.Second; n++ {
		mu.Lock()
		was := losing
		losing = e.trouble && time.Since(begin) >= 3*time.Second && time.Since(begin) < 3*time.Second+lostTime
		if losing != was {
			e.rec.logf("answers are lost: %v", losing)
		}
		mu.Unlock()
		wg.Add(1)
		go order(n)
		time.Sleep(time.Duration(float64(time.Second) / orderRate))
	}
	wg.Wait()
	total, over, late, never, ordinaryOver, ordinaryLate := len(results), 0, 0, 0, 0, 0
	for _, r := range results {
		switch {
		case r.overTimeout && r.long:
			over++
			if !r.inTime {
				late++
			}
			if !r.answered {
				never++
			}
		case r.overTimeout:
			ordinaryOver++
			if !r.inTime {
				ordinaryLate++
			}
		}
	}
	e.rec.say("%d orders; lasted longer than TimeoutMs: %d, of which %d had no answer 0.5 s after it", total, over+ordinaryOver, late+ordinaryLate)
	e.rec.say("of these with Deadline-Ms %s: %d lasted longer, %d had no answer 0.5 s after it, %d none within %v; with 1500: %d and %d", noLimit, over, late, never, patience, ordinaryOver, ordinaryLate)
	if n := late + ordinaryLate; n >= 8 && 4*n > over+ordinaryOver {
		e.rec.say("CONFIG broken: eight or more, and over a quarter, have no final answer 0.5 s after the route's TimeoutMs")
		return broken, nil
	}
	return held, nil
}
