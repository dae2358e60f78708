package main

import (
	"math/rand"
	"net/http"
	"sync"
	"time"
)

// The trouble of the case: garble (extra, late) with share 0.6, x 0.03 and for_s 5, as a day of the site has it.
const (
	extraShare    = 0.6
	extraFraction = 0.03
	extraTime     = 5 * time.Second
	extraRate     = 60
)

// extraBytes are the additional bytes: the beginning of a rejection.
const extraBytes = "HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1"

// extraCase: workers send additional bytes after a complete answer; the requests may not be repeated.
func extraCase(e *environment) (int, error) {
	var mu sync.Mutex
	garbling := false
	random := rand.New(rand.NewSource(1))
	handle := func(w *worker, c *channel, r *http.Request, _ []byte) bool {
		id := r.Header.Get("Request-Id")
		time.Sleep(20 * time.Millisecond)
		w.beginStream(c, id)
		for n := 1; n <= 3; n++ {
			if w.event(c, id, n) != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
		w.endStream(c)
		mu.Lock()
		defer mu.Unlock()
		if garbling && float64(w.index) < extraShare*3-0.5 && random.Float64() < extraFraction {
			c.extra = []byte(extraBytes) // They come late, where the next answer is expected.
		}
		return true
	}
	for i, z := range zones {
		if _, err := e.workers.add("draft-desk", "i-51c0e7a"+string(rune('0'+i)), z, 26, handle); err != nil {
			return failed, err
		}
	}
	routes := []map[string]any{{"Name": "r-draft", "Host": "desk.example", "Prefix": "/draft/", "Kind": "streaming", "TimeoutMs": 8000, "GoalMs": 300, "Priority": 1, "Service": "draft-desk", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false, "GapAimMs": 300}}
	if err := e.start(3, routes, []map[string]any{plainService("draft-desk", 334)}); err != nil {
		return failed, err
	}
	var wg sync.WaitGroup
	statuses := make(map[string]int)
	var ids []string
	request := func(n int) {
		defer wg.Done()
		m := e.sys.machines[n%len(e.sys.machines)]
		id := newID()
		c, err := dial(m.front)
		if err != nil {
			return
		}
		defer c.Close()
		if c.send("POST", "/draft/2f", id, "8000", `{"sheet":"batting"}`) != nil {
			return
		}
		resp, _, err := c.answer(10 * time.Second)
		status := "none"
		if resp != nil {
			status = resp.Status
		}
		e.rec.logf("stream %s at %s: %s, end: %v", id, m.name, status, err)
		mu.Lock()
		statuses[id] = resp0(resp)
		ids = append(ids, id)
		mu.Unlock()
	}
	begin := time.Now()
	for n := 0; time.Since(begin) < 2*time.Second+extraTime+time.Second; n++ {
		mu.Lock()
		garbling = e.trouble && time.Since(begin) >= 2*time.Second && time.Since(begin) < 2*time.Second+extraTime
		mu.Unlock()
		wg.Add(1)
		go request(n)
		time.Sleep(time.Second / extraRate)
	}
	wg.Wait()
	time.Sleep(500 * time.Millisecond)
	twice, refused := 0, 0
	for _, id := range ids {
		runs := e.workers.runsOf(id)
		if len(runs) > 1 {
			twice++
			e.rec.say("%s ran %d times: %v; its client got %d", id, len(runs), runs, statuses[id])
		}
		if len(runs) > 0 && (statuses[id] == 503 || statuses[id] == 429) {
			refused++
			e.rec.say("%s ran and its client got %d", id, statuses[id])
		}
	}
	e.rec.say("%d requests that may run once at most; ran twice: %d; refused although run: %d", len(ids), twice, refused)
	if twice+refused > 0 {
		e.rec.say("TWICE (or REFUSED) broken")
		return broken, nil
	}
	return held, nil
}

func resp0(r *http.Response) int {
	if r == nil {
		return 0
	}
	return r.StatusCode
}
