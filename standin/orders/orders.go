// Package orders simulates an order system: a plain HTTP service whose orders must
// run at most once. It counts how often each order ran.
package orders

import (
	"net/http"
	"sort"
	"sync"
	"time"

	"github.com/bulrushfall/bulrushfall/engine"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// Config configures the order system.
type Config struct {
	// Address is a loopback address. Port 0 picks a free port.
	Address string
	Faults  Faults
	// RecordLimit is the maximum number of recorded runs.
	RecordLimit int
}

// DefaultConfig returns the configuration of an order system without faults.
func DefaultConfig() Config {
	return Config{Address: "127.0.0.1:0", RecordLimit: 1_000_000}
}

// Faults are the injected faults. A test can change them at run time.
type Faults struct {
	// DelayMillis is the time between the run of an order and its response.
	DelayMillis int `json:"delay_millis"`
	// RefuseNotRun is the number of further orders that are refused without running.
	// The response has the header engine.HeaderNotRun. A negative number refuses all.
	RefuseNotRun int `json:"refuse_not_run"`
	// LoseAnswers is the number of following orders that run but whose connection
	// is closed without a response. A negative number applies to all.
	LoseAnswers int `json:"lose_answers"`
	// Leaving makes all responses say that the order system leaves.
	Leaving bool `json:"leaving,omitempty"`
}

// Order is the request body of POST /orders.
type Order struct {
	ID       string `json:"id"`
	Item     string `json:"item,omitempty"`
	Quantity int    `json:"quantity,omitempty"`
}

// Receipt is the response to an order that ran.
type Receipt struct {
	ID     string `json:"id"`
	Item   string `json:"item,omitempty"`
	Number uint64 `json:"number"`
	Server string `json:"server"`
}

// Stock is the response of GET /stock/{item}.
type Stock struct {
	Item     string `json:"item"`
	Quantity int    `json:"quantity"`
}

// Run is one execution of an order.
type Run struct {
	Time  time.Time `json:"at"`
	Order string    `json:"order"`
}

// Record is the response of GET /debug/counts.
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

	mu            sync.Mutex
	faults        Faults
	record        Record
	receiptNumber uint64
	addr          string
}

// Start starts the order system on a loopback address.
func Start(cfg Config) (*Server, error) {
	s := &Server{cfg: cfg, faults: cfg.Faults, closed: make(chan struct{})}
	s.record.Counts = make(map[string]int)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /orders", s.announceLeaving(s.handleOrder))
	mux.HandleFunc("GET /stock/{item}", s.announceLeaving(s.handleStock))
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

// Close stops the order system and closes its connections.
func (s *Server) Close() {
	close(s.closed)
	s.http.Close()
}

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Record returns a copy of the record.
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

// announceLeaving adds the header of a leaving backend server to responses while Faults.Leaving
// is set.
func (s *Server) announceLeaving(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		leaving := s.faults.Leaving
		s.mu.Unlock()
		if leaving {
			w.Header().Set(engine.HeaderServerLeaving, "1")
		}
		next(w, r)
	}
}

// orderResult is the result of one order, with the faults to apply to its response.
type orderResult struct {
	refused, loseAnswer bool
	delay               time.Duration
	receipt             Receipt
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
	result := s.execute(o)
	if result.refused {
		w.Header().Set(engine.HeaderNotRun, "1")
		http.Error(w, "order system is busy", http.StatusServiceUnavailable)
		return
	}
	defer func() {
		s.mu.Lock()
		s.record.Running--
		s.mu.Unlock()
	}()
	if result.delay > 0 {
		t := time.NewTimer(result.delay)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done():
		case <-s.closed:
		}
	}
	if result.loseAnswer {
		httpd.Abort(w)
		return
	}
	httpd.WriteJSON(w, http.StatusCreated, result.receipt)
}

// execute runs an order, unless a fault refuses it.
func (s *Server) execute(o Order) orderResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	if consumeFault(&s.faults.RefuseNotRun) {
		s.record.Refused = append(s.record.Refused, o.ID)
		return orderResult{refused: true}
	}
	s.receiptNumber++
	s.record.Counts[o.ID]++
	s.record.Running++
	if len(s.record.Runs) < s.cfg.RecordLimit {
		s.record.Runs = append(s.record.Runs, Run{Time: time.Now(), Order: o.ID})
	}
	result := orderResult{
		delay:   time.Duration(s.faults.DelayMillis) * time.Millisecond,
		receipt: Receipt{ID: o.ID, Item: o.Item, Number: s.receiptNumber, Server: s.addr},
	}
	if consumeFault(&s.faults.LoseAnswers) {
		s.record.LostAnswers++
		result.loseAnswer = true
	}
	return result
}

// consumeFault reports whether a counted fault applies, and decrements a positive
// count.
func consumeFault(n *int) bool {
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
