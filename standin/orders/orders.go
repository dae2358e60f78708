// Package orders is a stand-in for an order system: a plain service whose
// orders must run at most once. It counts how often each order ran.
package orders

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// Config sets up the order system.
type Config struct {
	// Address is a loopback address; port 0 picks a free one.
	Address string
	Faults  Faults
	// RecordLimit bounds the kept runs.
	RecordLimit int
}

// DefaultConfig returns an order system that answers at once.
func DefaultConfig() Config {
	return Config{Address: "127.0.0.1:0", RecordLimit: 1_000_000}
}

// Faults are switched by a test.
type Faults struct {
	// DelayMillis is the time between the run of an order and its answer.
	DelayMillis int `json:"delay_millis"`
	// RefuseNotRun is the number of following orders that are refused before
	// they run, with the header that says so. A negative number refuses all.
	RefuseNotRun int `json:"refuse_not_run"`
	// LoseAnswers is the number of following orders that run while the
	// connection closes without an answer. A negative number loses all.
	LoseAnswers int `json:"lose_answers"`
}

// Order is the body of POST /orders.
type Order struct {
	ID       string `json:"id"`
	Item     string `json:"item,omitempty"`
	Quantity int    `json:"quantity,omitempty"`
}

// Receipt is the answer to an order that ran.
type Receipt struct {
	ID     string `json:"id"`
	Item   string `json:"item,omitempty"`
	Number uint64 `json:"number"`
	Server string `json:"server"`
}

// Stock is the answer of GET /stock/{item}.
type Stock struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// Run is one execution of an order.
type Run struct {
	At    time.Time `json:"at"`
	Order string    `json:"order"`
}

// Record is the answer of GET /debug/counts.
type Record struct {
	// Counts maps an order id to the number of times that it ran.
	Counts      map[string]int `json:"counts"`
	Runs        []Run          `json:"runs"`
	Refused     []string       `json:"refused"`
	LostAnswers int            `json:"lost_answers"`
	Lookups     int            `json:"lookups"`
	Running     int            `json:"running"`
}

// Server is a running order system.
type Server struct {
	cfg    Config
	http   *httpd.Server
	closed chan struct{}

	mu     sync.Mutex
	faults Faults
	record Record
	number uint64
	addr   string
}

// Start serves the order system on a loopback address.
func Start(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg, faults: cfg.Faults, closed: make(chan struct{})}
	s.record.Counts = make(map[string]int)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.handleOrder)
	mux.HandleFunc("GET /stock/{item}", s.handleStock)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("POST /debug/faults", s.handleFaults)
	mux.HandleFunc("GET /debug/counts", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, s.Record())
	})
	h, err := httpd.Start(cfg.Address, mux)
	if err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.http, s.addr = h, h.Addr()
	return s, nil
}

// Addr returns the address of the order system.
func (s *Server) Addr() string { return s.http.Addr() }

// Close ends the order system and cuts its connections.
func (s *Server) Close() {
	close(s.closed)
	s.http.Close()
}

// SetFaults replaces the switched faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Record returns a copy of what ran so far.
func (s *Server) Record() Record {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := s.record
	r.Counts = make(map[string]int, len(s.record.Counts))
	for k, v := range s.record.Counts {
		r.Counts[k] = v
	}
	r.Runs = append([]Run{}, s.record.Runs...)
	r.Refused = append([]string{}, s.record.Refused...)
	sort.Strings(r.Refused)
	return r
}

// verdict tells what happens to one order.
type verdict struct {
	refuse, lose bool
	delay        time.Duration
	receipt      Receipt
}

func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var o Order
	if !httpd.ReadJSON(w, r, &o) {
		return
	}
	if o.ID == "" {
		w.Header().Set(engine.HeaderNotRun, "1")
		http.Error(w, "order has no id", http.StatusBadRequest)
		return
	}
	v := s.run(o)
	if v.refuse {
		w.Header().Set(engine.HeaderNotRun, "1")
		http.Error(w, "order system is busy", http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.record.Running--
		s.mu.Unlock()
	}()
	if v.delay > 0 {
		t := time.NewTimer(v.delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
		case <-s.closed:
		}
	}
	if v.lose {
		httpd.Abort(w)
		return
	}
	httpd.WriteJSON(w, http.StatusCreated, v.receipt)
}

// run executes an order, unless a fault refuses it.
func (s *Server) run(o Order) verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	if take(&s.faults.RefuseNotRun) {
		s.record.Refused = append(s.record.Refused, o.ID)
		return verdict{refuse: true}
	}
	s.number++
	s.record.Counts[o.ID]++
	s.record.Running++
	if len(s.record.Runs) < s.cfg.RecordLimit {
		s.record.Runs = append(s.record.Runs, Run{At: time.Now(), Order: o.ID})
	}
	v := verdict{
		delay:   time.Duration(s.faults.DelayMillis) * time.Millisecond,
		receipt: Receipt{ID: o.ID, Item: o.Item, Number: s.number, Server: s.addr},
	}
	if take(&s.faults.LoseAnswers) {
		s.record.LostAnswers++
		v.lose = true
	}
	return v
}

// take consumes one of a counted fault.
func take(n *int) bool {
	if *n == 0 {
		return false
	}
	if *n > 0 {
		*n--
	}
	return true
}

func (s *Server) handleStock(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.record.Lookups++
	s.mu.Unlock()
	item := r.PathValue("item")
	httpd.WriteJSON(w, http.StatusOK, Stock{Item: item, Quantity: 40 + len(item)})
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if httpd.ReadJSON(w, r, &f) {
		s.SetFaults(f)
		httpd.WriteJSON(w, http.StatusOK, f)
	}
}
