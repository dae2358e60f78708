package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of the stand-in workers of a model, as in the sheets.
const (
	joinAgainTime = 200 * time.Millisecond
	warmTime      = 1600 * time.Millisecond
	loadTime      = 16 * time.Second
	formTime      = 300 * time.Millisecond
	stallTime     = 4 * time.Second
	coldTime      = 3 * time.Second
	// quickLoads divides the time of loads before the first request.
	quickLoads = 10
)

// cluster is all workers of a model in this process.
type cluster struct {
	mu      sync.Mutex
	store   *store
	rec     *record
	workers map[string]*groupWorker
	// traffic is set once there was a request.
	traffic bool
	// broken holds what broke the rules TWO and PARTIAL.
	twoBroken []string
	orders    int
	// onTainted, if not nil, handles a request with a part that crashes workers.
	onTainted func(w *groupWorker, id string)
	requests  int
	served    int
}

// membership is a worker's place in a group.
type membership struct {
	Name    string `json:"Name"`
	Epoch   uint64 `json:"epoch"`
	Rank    int    `json:"rank"`
	State   string `json:"State"`
	members []string
	model   string
}

// groupWorker is a stand-in of a worker that serves a model together with others.
type groupWorker struct {
	c                  *cluster
	id, zone, domain   string
	address            string
	slots              int
	born               int64
	server             *http.Server
	state              string
	staged             []string
	group              *membership
	lastModel          string
	maxEpoch, maxFence uint64
	sequence           int
	stallSince         time.Time
	// coldUntil is the end of the time for which a worker that started during traffic is cold.
	coldUntil time.Time
	gone      bool
}

func newCluster(s *store, rec *record) *cluster {
	c := &cluster{store: s, rec: rec, workers: make(map[string]*groupWorker)}
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			c.breakStalled()
		}
	}()
	return c
}

func (c *cluster) add(ip, id, zone, domain string) *groupWorker {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		notRun("%v", err)
	}
	w := &groupWorker{c: c, id: id, zone: zone, domain: domain, address: l.Addr().String(), slots: 26, born: time.Now().UnixMilli(), state: "ready", staged: []string{}}
	w.server = &http.Server{Handler: w}
	c.mu.Lock()
	c.workers[id] = w
	if c.traffic {
		w.coldUntil = time.Now().Add(coldTime)
	}
	w.write()
	c.mu.Unlock()
	go func() { _ = w.server.Serve(l) }()
	return w
}

// write writes the worker's entry. The mutex must be held.
func (w *groupWorker) write() {
	if w.gone {
		return
	}
	models := []any{}
	if w.group != nil && w.group.State != "joining" {
		models = append(models, map[string]any{"Name": w.group.model, "Version": 1, "Adapters": []string{}})
	}
	v := map[string]any{
		"Service": "member-desk-llm", "Address": w.address, "Zone": w.zone, "Version": "v1", "Slots": w.slots, "State": w.state,
		"ColdLeftMs": max(0, time.Until(w.coldUntil).Milliseconds()), "Stage": "unified", "Models": models, "Sequence": w.sequence, "born": w.born, "Domain": w.domain, "Staged": w.staged,
	}
	if w.group != nil {
		v["group"] = w.group
	}
	w.c.store.put("servers", w.id, v)
}

// drain reports the worker as draining, and ends it after a time.
func (w *groupWorker) drain(after time.Duration) {
	w.c.mu.Lock()
	w.state = "draining"
	w.write()
	w.c.mu.Unlock()
	time.AfterFunc(after, func() {
		w.c.mu.Lock()
		w.gone = true
		w.c.mu.Unlock()
		w.c.store.remove("servers", w.id)
		_ = w.server.Close()
	})
}

type order struct {
	Operation, Model, CloseMode string
	Group                       string   `json:"group"`
	Epoch                       uint64   `json:"epoch"`
	Members                     []string `json:"Members"`
	Fence                       uint64
}

// ServeHTTP serves orders, reports and requests.
func (w *groupWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != w.id {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/order":
		var o order
		if json.NewDecoder(r.Body).Decode(&o) != nil {
			rw.WriteHeader(http.StatusBadRequest)
			return
		}
		status := w.order(o)
		w.c.rec.line("order to %s: %s group %q epoch %d fence %d members %v: %d", w.id, o.Operation, o.Group, o.Epoch, o.Fence, o.Members, status)
		rw.WriteHeader(status)
	case "/report":
		w.c.mu.Lock()
		defer w.c.mu.Unlock()
		rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(rw).Encode(map[string]any{"Stage": "unified", "Sequence": w.sequence, "Busy": false, "born": w.born})
	case "/healthz":
		rw.Header().Set("Instance-Id", w.id)
	default:
		w.request(rw, r)
	}
}

// order carries out an order and returns the status of its answer.
func (w *groupWorker) order(o order) int {
	c := w.c
	c.mu.Lock()
	defer c.mu.Unlock()
	c.orders++
	if o.Fence < w.maxFence {
		return http.StatusPreconditionFailed
	}
	w.maxFence = max(w.maxFence, o.Fence)
	if o.Operation == "join" {
		return w.join(o)
	}
	if o.Operation == "Stage" {
		if slices.Contains(w.staged, o.Model) {
			return http.StatusOK
		}
		w.sequence++
		w.after(w.loadTime(), func() { w.stage(o.Model) })
		return http.StatusAccepted
	}
	if w.group == nil || w.group.Name != o.Group || w.group.Epoch != o.Epoch {
		return http.StatusConflict
	}
	switch {
	case o.Operation == "leave":
		w.group = nil
	case o.Operation == "close" && w.group.State == "open":
		w.group.State = "ready"
	case o.Operation == "open" && w.group.State == "open":
		return http.StatusOK
	case o.Operation == "open" && w.group.State == "ready" && w.group.Rank == 0:
		g := w.group
		w.after(formTime, func() {
			if w.group == g && g.State == "ready" {
				g.State = "open"
				c.rec.line("%s opens group %s epoch %d", w.id, g.Name, g.Epoch)
			}
		})
	default:
		return http.StatusConflict
	}
	w.sequence++
	w.write()
	return http.StatusAccepted
}

// after does something later, if the worker still runs, and writes its entry.
func (w *groupWorker) after(d time.Duration, do func()) {
	time.AfterFunc(d, func() {
		w.c.mu.Lock()
		defer w.c.mu.Unlock()
		if !w.gone {
			do()
			w.write()
		}
	})
}

func (w *groupWorker) stage(model string) { w.staged = []string{model} }

func (w *groupWorker) loadTime() time.Duration {
	if !w.c.traffic {
		return loadTime / quickLoads
	}
	return loadTime
}

func (w *groupWorker) join(o order) int {
	if o.Epoch < w.maxEpoch {
		return http.StatusPreconditionFailed
	}
	if g := w.group; g != nil && g.Name == o.Group && g.Epoch == o.Epoch {
		if !slices.Equal(g.members, o.Members) {
			return http.StatusPreconditionFailed
		}
		return http.StatusOK
	}
	if g := w.group; g != nil && g.Name != o.Group {
		if head := w.c.workers[g.members[0]]; head != nil && !head.gone && head.group != nil && head.group.Name == g.Name &&
			(head.group.State == "open" || head.group.State == "closing") {
			text := fmt.Sprintf("%s took a join of group %s epoch %d while the head %s of its group %s epoch %d, which it had not left, was %s",
				w.id, o.Group, o.Epoch, head.id, g.Name, g.Epoch, head.group.State)
			w.c.twoBroken = append(w.c.twoBroken, text)
			w.c.rec.say("TWO: %s", text)
		}
	}
	d := warmTime
	switch {
	case w.lastModel == o.Model:
		d = joinAgainTime
	case !slices.Contains(w.staged, o.Model):
		d = w.loadTime()
	}
	g := &membership{Name: o.Group, Epoch: o.Epoch, Rank: slices.Index(o.Members, w.id), State: "joining", members: o.Members, model: o.Model}
	w.group, w.maxEpoch = g, o.Epoch
	w.sequence++
	w.after(d, func() {
		if w.group == g && g.State == "joining" {
			g.State = "ready"
			w.lastModel = o.Model
			w.stage(o.Model)
		}
	})
	w.write()
	return http.StatusAccepted
}

// whole reports whether all members of the group that a worker heads are in it.
func (w *groupWorker) whole() bool {
	for _, id := range w.group.members {
		m := w.c.workers[id]
		if m == nil || m.gone || m.group == nil || m.group.Name != w.group.Name || m.group.Epoch != w.group.Epoch {
			return false
		}
	}
	return true
}

// breakStalled breaks the groups that have lacked a member for stallTime.
func (c *cluster) breakStalled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.workers {
		if w.gone || w.group == nil || w.group.State != "open" {
			w.stallSince = time.Time{}
			continue
		}
		switch {
		case w.stallSince.IsZero() && !w.whole():
			w.stallSince = time.Now()
		case !w.stallSince.IsZero() && time.Since(w.stallSince) >= stallTime:
			w.group.State = "broken"
			w.stallSince = time.Time{}
			c.rec.line("group %s epoch %d of %s is broken", w.group.Name, w.group.Epoch, w.id)
			w.write()
		}
	}
}

// request answers a request with a short stream.
func (w *groupWorker) request(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	c := w.c
	c.mu.Lock()
	c.traffic = true
	c.requests++
	open := w.group != nil && w.group.State == "open"
	c.mu.Unlock()
	rw.Header().Set("Request-Id", id)
	rw.Header().Set("Keep-Alive", "timeout=5")
	if !open {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if c.onTainted != nil && isTainted(r.Header.Get("Prompt-Prefix")) {
		c.onTainted(w, id)
		panic(http.ErrAbortHandler)
	}
	rw.Header().Set("Server-Seal", seal(id))
	rw.Header().Set("Content-Type", "text/event-stream")
	for n := 1; n <= 3; n++ {
		for end := time.Now().Add(stallTime); ; {
			c.mu.Lock()
			moves := w.group != nil && w.group.State == "open" && w.stallSince.IsZero() && w.whole()
			c.mu.Unlock()
			if moves || r.Context().Err() != nil {
				break
			}
			if time.Now().After(end) {
				panic(http.ErrAbortHandler)
			}
			time.Sleep(20 * time.Millisecond)
		}
		time.Sleep(30 * time.Millisecond)
		_, _ = fmt.Fprintf(rw, "id: %d\ndata: piece %d\n\n", n, n)
		_ = http.NewResponseController(rw).Flush()
	}
	c.mu.Lock()
	c.served++
	c.mu.Unlock()
}

// modelName is the only model.
const modelName = "daka510000"

func modelService(size int) map[string]any {
	return map[string]any{
		"Name": "member-desk-llm", "HealthPath": "/healthz", "MaxConns": 334, "Protocol": "h1", "Tls": false, "ColdS": 3.0, "ColdPerS": 28.0,
		"Engine": map[string]any{
			"Slots": 26, "KvCapacity": 1590000, "Stride": 7,
			"Models": []any{map[string]any{
				"Name": modelName, "size": size, "Share": 1.0, "pace": 1.0, "LoadS": loadTime.Seconds(), "WarmS": warmTime.Seconds(),
			}},
			"step_ms": 5.95, "per_seq_ms": 0.0445, "context_per_k": 0.00813, "read_per_s": 50700.0, "pairs_per_m": 0.368, "chunk": 2048,
			"LoadsPerS": 4.5, "loads_at_once": 6, "usual": map[string]any{"prompt": 1115, "answer": 178}, "Keeps": 1, "far_x": 2.5, "FormMs": 300.0,
		},
	}
}

func modelRoute() map[string]any {
	r := plainRoute("r-spec", "/lohu930/", "streaming", "member-desk-llm", 8*time.Second, 300*time.Millisecond, 2)
	r["Sticky"], r["Resumable"], r["GapAimMs"] = true, true, 300
	return r
}
