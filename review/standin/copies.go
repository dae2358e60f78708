package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Figures of the case of second copies of refusals.
const (
	copiesSlots = 6
	// copiesQueue is the number of orders that a worker queues when all its slots are in use.
	copiesQueue = 4
	copiesWork  = 30 * time.Millisecond
	// garbleShare is the part of their answers that faulty workers send twice, garbleFor how long,
	// and garbleTimes how often that comes, with a pause between.
	garbleShare = 0.03
	garbleFor   = 6400 * time.Millisecond
	garblePause = 2 * time.Second
	garbleTimes = 2
	// faultyWorkers of the three workers are faulty.
	faultyWorkers = 2
	// ordersAtOnce come at each machine every burstPause.
	ordersAtOnce = 14
	burstPause   = 100 * time.Millisecond
)

// orderBook records which worker ran which order.
type orderBook struct {
	mu   sync.Mutex
	runs map[string][]string
}

func (b *orderBook) ran(id, worker string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[id] = append(b.runs[id], worker)
}

// orderWorker is a worker that refuses orders when it is full. If it is faulty it sends some answers
// twice: the second copy comes late, where the answer to the next request on the channel is expected,
// and lacks the Request-Id, so that it belongs to no request. A refusal then looks as in the pages'
// example of one.
type orderWorker struct {
	id      string
	book    *orderBook
	rec     *record
	faulty  atomic.Bool
	held    atomic.Int64
	slots   chan struct{}
	refused atomic.Int64
	copies  atomic.Int64
}

func newOrderWorker(s *store, ip, zone string, rec *record, book *orderBook) *orderWorker {
	w := &orderWorker{
		id: fmt.Sprintf("i-%08x", 0x7f3a0000+workerCounter.Add(1)), book: book, rec: rec,
		slots: make(chan struct{}, copiesSlots),
	}
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		notRun("%v", err)
	}
	s.put("servers", w.id, map[string]any{
		"Service": "orders-ledger", "Address": l.Addr().String(), "Zone": zone, "Version": "v1", "Slots": copiesSlots,
		"State": "ready", "ColdLeftMs": 0, "Sequence": 1, "born": time.Now().UnixMilli(),
	})
	go func() {
		for {
			nc, err := l.Accept()
			if err != nil {
				return
			}
			go w.serve(nc)
		}
	}()
	return w
}

// serve serves the requests of one channel, one at a time.
func (w *orderWorker) serve(nc net.Conn) {
	defer func() { _ = nc.Close() }()
	r := bufio.NewReader(nc)
	second := "" // the copy that is still to be sent
	for {
		_ = nc.SetReadDeadline(time.Now().Add(5 * time.Second))
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		id := q.Header.Get("Request-Id")
		if second != "" {
			status, _, _ := strings.Cut(second, "\r\n")
			w.rec.line("%s sends the second copy of an earlier answer (%s) where the answer to %s is expected", w.id, status, id)
			if _, err := io.WriteString(nc, second); err != nil {
				return
			}
			second = ""
		}
		text := w.answer(q, id)
		if _, err := io.WriteString(nc, text); err != nil {
			return
		}
		if w.faulty.Load() && rand.Float64() < garbleShare {
			w.copies.Add(1)
			second = strings.Replace(text, requestID+id+"\r\n", "", 1)
		}
	}
}

const requestID = "Request-Id: "

// answer runs an order, or refuses it.
func (w *orderWorker) answer(q *http.Request, id string) string {
	if want := q.Header.Get("Expect-Instance"); want != "" && want != w.id {
		return "HTTP/1.1 421 Misdirected Request\r\n" + requestID + id + "\r\nInstance-Id: " + w.id + "\r\nContent-Length: 0\r\n\r\n"
	}
	defer w.held.Add(-1)
	if w.held.Add(1) > copiesSlots+copiesQueue {
		w.refused.Add(1)
		w.rec.line("%s is full and refuses %s", w.id, id)
		return "HTTP/1.1 503 Service Unavailable\r\n" + requestID + id + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
	}
	w.slots <- struct{}{}
	defer func() { <-w.slots }()
	w.book.ran(id, w.id)
	w.rec.line("%s runs %s", w.id, id)
	time.Sleep(copiesWork/2 + rand.N(copiesWork))
	body := "booked " + id
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n"+requestID+"%s\r\nServer-Seal: %s\r\nKeep-Alive: timeout=5\r\nContent-Length: %d\r\n\r\n%s", id, seal(id), len(body), body)
}

// caseCopies sends orders in bursts, so that workers are full now and then. With the disruption two
// workers send a few of their answers twice.
func caseCopies(rec *record) int {
	block := freeBlock()
	s := newStore(block + ".250")
	zones := []string{"brno-a", "brno-b", "brno-c"}
	book := &orderBook{runs: make(map[string][]string)}
	var workers []*orderWorker
	for i := range 3 {
		workers = append(workers, newOrderWorker(s, block+".251", zones[i], rec, book))
	}
	s.put("op", "config", config(7,
		[]any{plainRoute("r-order", "/puxa403/", "non_idempotent", "orders-ledger", 800*time.Millisecond, 150*time.Millisecond, 1)},
		[]any{plainService("orders-ledger")}))
	f := newFleet(rec, block, fleetConfig{zones: zones, perZone: 1, store: s.address, memoryMB: 284, graceS: 8})
	f.startAll()
	f.waitReady(15 * time.Second)
	rec.say("ready")
	var mu sync.Mutex
	answers := make(map[string]answer)
	var wg sync.WaitGroup
	end := time.Now().Add(2*time.Second + garbleTimes*(garbleFor+garblePause))
	for _, e := range f.entries {
		for range ordersAtOnce {
			wg.Go(func() {
				var c *channel
				// All clients send at the same moments.
				for next := start.Add(sinceStart().Truncate(burstPause) + burstPause); next.Before(end); next = next.Add(burstPause) {
					time.Sleep(time.Until(next))
					if c == nil {
						var err error
						if c, err = dialChannel(e.front()); err != nil {
							continue
						}
					}
					q := request{method: "POST", path: "/puxa403/2f", id: newRequestID("c"), deadline: 1500 * time.Millisecond, body: []byte(`{"item":"wadding","rolls":3}`)}
					a := c.send(&q)
					rec.line("%s at %s: status %d, error %v, body %q", q.id, e.name, a.status, a.err, a.body)
					mu.Lock()
					answers[q.id] = a
					mu.Unlock()
					if a.err != nil || a.close {
						c.close()
						c = nil
					}
				}
			})
		}
	}
	time.Sleep(2 * time.Second)
	for range garbleTimes {
		for _, w := range workers[:faultyWorkers] {
			w.faulty.Store(troubled())
		}
		rec.say("two workers send %g of their answers twice: %v", garbleShare, troubled())
		time.Sleep(garbleFor)
		for _, w := range workers {
			w.faulty.Store(false)
		}
		time.Sleep(garblePause)
	}
	wg.Wait()
	time.Sleep(time.Second)
	served, twice, refusedAndRan := 0, 0, 0
	book.mu.Lock()
	defer book.mu.Unlock()
	for id, a := range answers {
		if a.status == http.StatusOK {
			served++
		}
		if len(book.runs[id]) > 1 {
			twice++
			rec.say("TWICE: order %s ran at %v; its client got status %d", id, book.runs[id], a.status)
		}
		if (a.status == http.StatusServiceUnavailable || a.status == http.StatusTooManyRequests) && len(book.runs[id]) > 0 {
			refusedAndRan++
			rec.say("REFUSED: order %s was answered %d and ran at %v", id, a.status, book.runs[id])
		}
	}
	for _, w := range workers {
		rec.say("%s refused %d orders because it was full, and sent %d answers twice", w.id, w.refused.Load(), w.copies.Load())
	}
	rec.say("%d orders, %d answered with success, %d ran twice, %d were refused and ran", len(answers), served, twice, refusedAndRan)
	switch {
	case served == 0:
		return exitNotRun
	case twice > 0:
		rec.say("rule TWICE is broken")
		return exitBroken
	case refusedAndRan > 0:
		rec.say("rule REFUSED is broken")
		return exitBroken
	}
	rec.say("rules TWICE and REFUSED held")
	return exitHeld
}
