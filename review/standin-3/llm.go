package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Fleet holds what all model workers of a case do to groups, to check TWO and PARTIAL.
type Fleet struct {
	mu      sync.Mutex
	rec     *Record
	store   *Store
	Workers map[string]*LLM
	// ready holds the members that have been ready under a name, epoch and list.
	ready map[string]map[string]bool
	// Broken are the breaks of rules that were seen.
	Broken []string
	sizes  map[string]int
}

// LLM is a stand-in of a model worker.
type LLM struct {
	*Worker
	fleet    *Fleet
	Domain   int
	staged   []string
	last     string
	loading  bool
	sequence int
	fence    uint64
	seen     uint64
	g        *membership
	active   int
	started  bool
	gone     bool
	// OnBegin, if not nil, is called when a request begins, and reports whether the worker goes on.
	OnBegin func(*LLM, *http.Request) bool
}

type membership struct {
	Name, State, Model string
	Epoch              uint64
	Rank               int
	Members            []string
	timer              *time.Timer
	brokenAt           time.Time
}

func (m *membership) key() string {
	return fmt.Sprintf("%s/%d/%s", m.Name, m.Epoch, strings.Join(m.Members, ","))
}

func newFleet(rec *Record, store *Store) *Fleet {
	return &Fleet{rec: rec, store: store, Workers: map[string]*LLM{}, ready: map[string]map[string]bool{}, sizes: map[string]int{"m0": 4, "m1": 3}}
}

func (f *Fleet) broken(format string, args ...any) {
	s := fmt.Sprintf(format, args...)
	f.Broken = append(f.Broken, s)
	f.rec.Add("BROKEN %s", s)
}

// Add starts a worker.
func (f *Fleet) Add(id, zone string, domain int) (*LLM, error) {
	l := &LLM{fleet: f, Domain: domain}
	w, err := StartWorker(f.rec, "127.0.0.1", id, "huvo11a", zone, 26, l.handle)
	if err != nil {
		return nil, err
	}
	l.Worker = w
	f.mu.Lock()
	f.Workers[id] = l
	f.publish(l)
	f.mu.Unlock()
	return l, nil
}

func (f *Fleet) entry(l *LLM) map[string]any {
	e := l.Entry("ready", l.sequence)
	e["Stage"], e["Domain"], e["Staged"] = "unified", l.Domain, l.staged
	if l.staged == nil {
		e["Staged"] = []string{}
	}
	models := []any{}
	if l.g != nil {
		models = append(models, map[string]any{"Name": l.g.Model, "Version": 1, "Adapters": []string{}})
		e["group"] = map[string]any{"Name": l.g.Name, "epoch": l.g.Epoch, "rank": l.g.Rank, "State": l.g.State}
	}
	e["Models"] = models
	return e
}

// publish writes the worker's entry. f.mu is held.
func (f *Fleet) publish(l *LLM) {
	if !l.gone {
		f.store.Put("servers", l.ID, f.entry(l))
	}
}

func (l *LLM) handle(w *Worker, c net.Conn, r *http.Request, body []byte) bool {
	switch {
	case r.URL.Path == "/report":
		l.fleet.mu.Lock()
		e := l.fleet.entry(l)
		e["Busy"], e["Queued"], e["Active"], e["KvUsed"], e["KvTotal"], e["Handles"], e["pace"] = l.loading, 0, l.active, 0, 1590000, 0, 1.0
		l.fleet.mu.Unlock()
		b, _ := json.Marshal(e)
		reply(c, r, "200 OK", string(b), "Content-Type", "application/json")
		return true
	case r.URL.Path == "/order":
		status := l.order(body)
		reply(c, r, status, "{}", "Content-Type", "application/json")
		return true
	default:
		return l.stream(c, r, body)
	}
}

type orderIn struct {
	Operation string
	Group     string `json:"group"`
	Epoch     uint64 `json:"epoch"`
	Model     string
	Members   []string
	CloseMode string
	Fence     uint64
}

func (l *LLM) order(body []byte) string {
	var o orderIn
	if json.Unmarshal(body, &o) != nil {
		return "400 Bad Request"
	}
	f := l.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rec.Add("worker %s gets order %s", l.ID, body)
	if o.Operation != "Stage" && !bytes.Contains(body, []byte(`"epoch":`)) {
		return "400 Bad Request" // These orders specify group and epoch.
	}
	if o.Fence < l.fence {
		return "412 Precondition Failed"
	}
	l.fence = o.Fence
	switch o.Operation {
	case "Stage":
		if slices.Contains(l.staged, o.Model) {
			return "200 OK"
		}
		l.sequence++
		l.loading = true
		time.AfterFunc(f.loadTime(o.Model), func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			l.loading, l.staged = false, []string{o.Model}
			f.publish(l)
		})
		return "202 Accepted"
	case "join":
		if o.Epoch < l.seen || (l.g != nil && l.g.Name == o.Group && l.g.Epoch == o.Epoch && !slices.Equal(l.g.Members, o.Members)) {
			return "412 Precondition Failed"
		}
		if l.g != nil && l.g.Name == o.Group && l.g.Epoch == o.Epoch {
			return "200 OK"
		}
		if l.g != nil && l.g.Name != o.Group {
			f.checkTwo(l, o)
		}
		l.seen = o.Epoch
		l.setGroup(&membership{Name: o.Group, State: "joining", Model: o.Model, Epoch: o.Epoch, Rank: slices.Index(o.Members, l.ID), Members: o.Members})
		l.sequence++
		g := l.g
		wait := 1600 * time.Millisecond
		switch {
		case l.last == o.Model:
			wait = 200 * time.Millisecond
		case !slices.Contains(l.staged, o.Model):
			wait = f.loadTime(o.Model)
		}
		g.timer = time.AfterFunc(wait, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if l.g != g {
				return
			}
			g.State, l.last, l.staged = "ready", g.Model, []string{g.Model}
			if f.ready[g.key()] == nil {
				f.ready[g.key()] = map[string]bool{}
			}
			f.ready[g.key()][l.ID] = true
			f.publish(l)
		})
		f.publish(l)
		return "202 Accepted"
	}
	if l.g == nil || l.g.Name != o.Group || l.g.Epoch != o.Epoch {
		return "409 Conflict"
	}
	g := l.g
	switch o.Operation {
	case "open":
		if g.State == "open" {
			return "200 OK"
		}
		if g.State != "ready" || g.Rank != 0 {
			return "409 Conflict"
		}
		l.sequence++
		time.AfterFunc(300*time.Millisecond, func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if l.g == g && g.State == "ready" {
				g.State = "open"
				f.publish(l)
			}
		})
		return "202 Accepted"
	case "close":
		if g.State != "open" {
			return "409 Conflict"
		}
		l.sequence++
		g.State = "closing"
		f.publish(l)
		go func() {
			for {
				time.Sleep(20 * time.Millisecond)
				f.mu.Lock()
				if l.g != g || g.State != "closing" {
					f.mu.Unlock()
					return
				}
				if l.active == 0 {
					g.State = "ready"
					f.publish(l)
					f.mu.Unlock()
					return
				}
				f.mu.Unlock()
			}
		}()
		return "202 Accepted"
	case "leave":
		l.sequence++
		l.setGroup(nil)
		f.publish(l)
		return "202 Accepted"
	}
	return "400 Bad Request"
}

func (l *LLM) setGroup(g *membership) {
	if l.g != nil && l.g.timer != nil {
		l.g.timer.Stop()
	}
	l.g = g
}

func (f *Fleet) loadTime(model string) time.Duration {
	if model == "m0" {
		return 3 * time.Second
	}
	return 2 * time.Second
}

// checkTwo checks the rule TWO for a join of another group.
func (f *Fleet) checkTwo(l *LLM, o orderIn) {
	h := f.Workers[l.g.Members[0]]
	if h != nil && !h.gone && h.g != nil && h.g.Name == l.g.Name && h.g.Epoch == l.g.Epoch && (h.g.State == "open" || h.g.State == "closing") {
		f.broken("TWO: %s, of %s/%d whose head %s is %s, takes a join of %s/%d", l.ID, l.g.Name, l.g.Epoch, h.ID, h.g.State, o.Group, o.Epoch)
	}
}

// intact reports whether all members are in the group, and since when one is missing.
func (f *Fleet) intact(g *membership) bool {
	for _, id := range g.Members {
		m := f.Workers[id]
		if m == nil || m.gone || m.g == nil || m.g.Name != g.Name || m.g.Epoch != g.Epoch {
			return false
		}
	}
	return true
}

// pieces returns the number of events of a request.
func pieces(path string, body []byte) int {
	h := fnv.New32a()
	_, _ = io.WriteString(h, path)
	_, _ = h.Write(body)
	return 3 + int(h.Sum32()%25)
}

func (l *LLM) stream(c net.Conn, r *http.Request, body []byte) bool {
	f := l.fleet
	id := r.Header.Get("Request-Id")
	f.mu.Lock()
	if l.g == nil || l.g.Rank != 0 {
		f.mu.Unlock()
		reply(c, r, "421 Misdirected Request", "", "Instance-Id", l.ID)
		return true
	}
	if l.g.State != "open" || l.active >= 26 || l.g.Model != r.Header.Get("Model") {
		f.mu.Unlock()
		f.rec.Reject(l.ID, id)
		reply(c, r, "503 Service Unavailable", "", "Not-Executed", "1")
		return true
	}
	g := l.g
	if len(g.Members) != f.sizes[g.Model] {
		f.broken("PARTIAL: %s runs in %s/%d of %d members", id, g.Name, g.Epoch, len(g.Members))
	}
	for _, m := range g.Members {
		if !f.ready[g.key()][m] {
			f.broken("PARTIAL: %s runs in %s/%d, %s was never ready", id, g.Name, g.Epoch, m)
		}
	}
	l.active++
	f.mu.Unlock()
	defer func() {
		f.mu.Lock()
		l.active--
		f.mu.Unlock()
	}()
	f.rec.Run(l.ID, id)
	if l.OnBegin != nil {
		time.Sleep(20 * time.Millisecond) // the prompt is read
		if !l.OnBegin(l, r) {
			return false
		}
	}
	from := 1
	if n, err := strconv.Atoi(r.Header.Get("Last-Event-Id")); err == nil {
		from = n + 1
	}
	total := pieces(r.RequestURI, body)
	w := bufio.NewWriter(c)
	head := "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nContent-Type: text/event-stream\r\nServer-Seal: " + seal(id, body) + "\r\n"
	_, _ = w.WriteString(head + "Transfer-Encoding: chunked\r\n\r\n")
	for k := from; k <= total; k++ {
		ev := fmt.Sprintf("id: %d\ndata: %s\n\n", k, strings.Repeat(strconv.Itoa(k%10), 60))
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(ev), ev)
		if w.Flush() != nil {
			return false
		}
		f.mu.Lock()
		ok := f.intact(g)
		f.mu.Unlock()
		if !ok {
			// Work that depends on a lost member stalls for StallMs and is cut off.
			time.Sleep(4 * time.Second)
			return false
		}
		time.Sleep(12 * time.Millisecond)
	}
	_, _ = w.WriteString("0\r\n\r\n")
	_ = w.Flush()
	return true
}
