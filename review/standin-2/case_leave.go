package main

import (
	"io"
	"math/rand"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The trouble of the case: give_up with share 0.3 for 5 s; the clients leave within half of the objective,
// which is 300 ms for streams and 150 ms for orders.
const (
	leaveShare       = 0.3
	leaveTime        = 5 * time.Second
	leaveMin         = 20 * time.Millisecond
	leaveMaxOfStream = 150 * time.Millisecond
	leaveMaxOfOrder  = 75 * time.Millisecond
	leaveRate        = 30
	eventCount       = 25
	orderBytes       = 800
)

// leaveCase: clients leave before their deadline. They close their channels in the orderly way: they
// end their own direction first and read what still comes.
func leaveCase(e *environment) (int, error) {
	handle := func(w *worker, c *channel, r *http.Request, _ []byte) bool {
		id := r.Header.Get("Request-Id")
		if strings.HasPrefix(r.URL.Path, "/order/") {
			time.Sleep(60 * time.Millisecond)
			w.reply(c, id, orderBytes)
			return true
		}
		time.Sleep(80 * time.Millisecond)
		w.beginStream(c, id)
		for n := 1; n <= eventCount; n++ {
			if w.event(c, id, n) != nil {
				return false
			}
			time.Sleep(20 * time.Millisecond)
		}
		w.endStream(c)
		return true
	}
	for i, z := range zones {
		if _, err := e.workers.add("draft-desk", "i-02d9e6b"+string(rune('0'+i)), z, 26, handle); err != nil {
			return failed, err
		}
	}
	routes := []map[string]any{
		{"Name": "r-draft", "Host": "desk.example", "Prefix": "/draft/", "Kind": "streaming", "TimeoutMs": 8000, "GoalMs": 300, "Priority": 1, "Service": "draft-desk", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": true, "GapAimMs": 300},
		{"Name": "r-order", "Host": "desk.example", "Prefix": "/order/", "Kind": "non_idempotent", "TimeoutMs": 1500, "GoalMs": 150, "Priority": 0, "Service": "draft-desk", "MaxAttempts": 2, "Public": false, "Sticky": false, "Resumable": false, "GapAimMs": 0},
	}
	if err := e.start(3, routes, []map[string]any{plainService("draft-desk", 334)}); err != nil {
		return failed, err
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	stayed, left, noSealStream, noSealOrder, cutButComplete := 0, 0, 0, 0, 0
	request := func(n int, isOrder, leaves bool, after time.Duration) {
		defer wg.Done()
		m := e.sys.machines[n%len(e.sys.machines)]
		id := newID()
		c, err := dial(m.front)
		if err != nil {
			return
		}
		defer c.Close()
		kind, path, deadline := "stream", "/draft/2f", "8000"
		if isOrder {
			kind, path, deadline = "order", "/order/2f", "1500"
		}
		if c.send("POST", path, id, deadline, `{"sheet":"batting"}`) != nil {
			return
		}
		e.rec.logf("%s %s sent to %s", kind, id, m.name)
		if leaves {
			time.AfterFunc(after, func() {
				e.rec.logf("%s %s: the client leaves after %d ms", kind, id, after.Milliseconds())
				c.Conn.(*net.TCPConn).CloseWrite()
			})
		}
		resp, err := c.head(10 * time.Second)
		if err != nil {
			e.rec.logf("%s %s: closed without an answer: %v", kind, id, err)
			mu.Lock()
			defer mu.Unlock()
			if leaves {
				left++
			}
			return
		}
		body, err := io.ReadAll(resp.Body)
		events := strings.Count(string(body), "\n\n")
		e.rec.logf("%s %s: %d, Server-Seal %q, %d bytes, %d events, end of the body: %v", kind, id, resp.StatusCode, resp.Header.Get("Server-Seal"), len(body), events, err)
		mu.Lock()
		defer mu.Unlock()
		if leaves {
			left++
		} else {
			stayed++
		}
		switch {
		case resp.StatusCode/100 != 2:
		case resp.Header.Get("Server-Seal") == "" && isOrder:
			noSealOrder++
		case resp.Header.Get("Server-Seal") == "":
			noSealStream++
		case err == nil && !isOrder && events < eventCount, err == nil && isOrder && string(body) != content(id, orderBytes):
			cutButComplete++
		}
	}
	random := rand.New(rand.NewSource(1))
	begin := time.Now()
	for n := 0; time.Since(begin) < 2*time.Second+leaveTime+time.Second; n++ {
		inTrouble := e.trouble && time.Since(begin) >= 2*time.Second && time.Since(begin) < 2*time.Second+leaveTime
		leaves := inTrouble && random.Float64() < leaveShare
		isOrder, most := random.Intn(3) == 0, leaveMaxOfStream
		if isOrder {
			most = leaveMaxOfOrder
		}
		wg.Add(1)
		go request(n, isOrder, leaves, leaveMin+time.Duration(random.Int63n(int64(most-leaveMin))))
		time.Sleep(time.Second / leaveRate)
	}
	wg.Wait()
	e.rec.say("%d clients stayed, %d left; successes without Server-Seal: %d for orders, %d for streams; successes that look complete without the whole body: %d", stayed, left, noSealOrder, noSealStream, cutButComplete)
	if noSealOrder+noSealStream+cutButComplete > 0 {
		e.rec.say("MIXED broken: a client gets a success without the worker's Server-Seal, or with a body that isn't the worker's whole body")
		return broken, nil
	}
	return held, nil
}
