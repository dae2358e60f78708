package platform

import (
	"context"
	"net/http"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// Config sets the sizes and rates of the stand-in.
type Config struct {
	// Address is a loopback address; port 0 picks a free one.
	Address string
	// WritesPerSecond and ReadsPerSecond limit table calls. Calls past the limit
	// are refused with 429 and do not apply.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// InstanceLag is the time until a change of an instance shows in the list.
	InstanceLag time.Duration
	// WeightBytesPerSecond and WeightSlots limit the weight store: concurrent
	// loads share the rate and wait for a slot.
	WeightBytesPerSecond float64
	WeightSlots          int
	// WeightBytes is the size of one load when the call does not name one.
	WeightBytes int64
	// RecordLimit bounds the kept table writes; older ones are dropped and counted.
	RecordLimit int
}

// DefaultConfig returns the rates of today's platform.
func DefaultConfig() Config {
	return Config{
		Address:              "127.0.0.1:0",
		WritesPerSecond:      400,
		ReadsPerSecond:       2000,
		InstanceLag:          time.Second,
		WeightBytesPerSecond: 20e9,
		WeightSlots:          64,
		WeightBytes:          1 << 30,
		RecordLimit:          200_000,
	}
}

// Faults are the switched faults of the table and the object store. The weight
// store and the instance list are part of the same outage.
type Faults struct {
	// Outage refuses every call with 503.
	Outage bool `json:"outage"`
	// Hang accepts calls and answers none until the fault ends; a call that
	// hangs does not apply.
	Hang bool `json:"hang"`
	// LatencyMillis delays each call.
	LatencyMillis int `json:"latency_millis"`
	// LoseAnswers is the number of following transactions that apply while
	// their answer is lost. A negative number loses all.
	LoseAnswers int `json:"lose_answers"`
	// LoseTable restricts LoseAnswers to transactions that write this table.
	LoseTable string `json:"lose_table,omitempty"`
	// ThrottleAll refuses every table call with 429.
	ThrottleAll bool `json:"throttle_all"`
}

// Server is a running stand-in.
type Server struct {
	cfg    Config
	http   *httpd.Server
	writes *rate.Limiter
	reads  *rate.Limiter
	table  *table
	list   *instanceList
	weight *weightStore

	mu      sync.Mutex
	faults  Faults
	changed chan struct{}
	counts  Counts
	objects map[string][]byte
	closed  chan struct{}
}

// Counts tells what the stand-in did, so that a test can assert that a fault
// really happened.
type Counts struct {
	Reads       uint64 `json:"reads"`
	Writes      uint64 `json:"writes"`
	Throttled   uint64 `json:"throttled"`
	Refused     uint64 `json:"refused"`
	Hung        uint64 `json:"hung"`
	LostAnswers uint64 `json:"lost_answers"`
	WeightLoads uint64 `json:"weight_loads"`
}

// Start serves the platform on a loopback address.
func Start(cfg Config) (*Server, error) {
	s := &Server{
		cfg:     cfg,
		writes:  rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), max(1, int(cfg.WritesPerSecond/4))),
		reads:   rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), max(1, int(cfg.ReadsPerSecond/4))),
		table:   newTable(cfg.RecordLimit),
		list:    newInstanceList(cfg.InstanceLag),
		weight:  newWeightStore(cfg),
		changed: make(chan struct{}),
		objects: make(map[string][]byte),
		closed:  make(chan struct{}),
	}
	h, err := httpd.Start(cfg.Address, s.routes())
	if err != nil {
		return nil, err
	}
	s.http = h
	return s, nil
}

// URL returns the base URL for infra.NewClient.
func (s *Server) URL() string { return "http://" + s.http.Addr() }

// Close stops the stand-in and drops its data.
func (s *Server) Close() {
	close(s.closed)
	s.http.Close()
}

// SetFaults replaces the switched faults. Hung calls of an ended Hang fail.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Counts returns what the stand-in did so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Writes returns the kept table writes in the order they applied, for one
// table or for all if the name is empty.
func (s *Server) Writes(tableName string) []TableWrite { return s.table.history(tableName) }

// PutInstances registers instances or changes their entry in the list, after
// the lag.
func (s *Server) PutInstances(instances ...infra.Instance) {
	s.list.change(InstanceChange{Put: instances})
}

// ChangeInstances applies a change to the instance list.
func (s *Server) ChangeInstances(c InstanceChange) { s.list.change(c) }

func (s *Server) count(fn func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.counts)
}

// pass applies outage, hang and latency to one call. It reports whether the
// call goes on.
func (s *Server) pass(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f, changed := s.faults, s.changed
	s.mu.Unlock()
	if f.Hang {
		s.count(func(c *Counts) { c.Hung++ })
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-s.closed:
		}
		httpd.Abort(w)
		return false
	}
	if f.LatencyMillis > 0 && !sleep(r.Context(), time.Duration(f.LatencyMillis)*time.Millisecond) {
		return false
	}
	if f.Outage {
		s.count(func(c *Counts) { c.Refused++ })
		http.Error(w, "store outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// admit applies the faults and the rate limit to a table call.
func (s *Server) admit(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	if !s.pass(w, r) {
		return false
	}
	s.mu.Lock()
	throttle := s.faults.ThrottleAll
	s.mu.Unlock()
	if throttle || !limit.Allow() {
		s.count(func(c *Counts) { c.Throttled++ })
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return true
}

// loseAnswer tells whether the answer of an applied transaction gets lost.
func (s *Server) loseAnswer(t infra.Txn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseAnswers == 0 || !writesTable(t, s.faults.LoseTable) {
		return false
	}
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
	}
	s.counts.LostAnswers++
	return true
}

func writesTable(t infra.Txn, name string) bool {
	if name == "" {
		return true
	}
	for _, w := range t.Writes {
		if w.Table == name {
			return true
		}
	}
	return false
}

// sleep waits and reports whether the context is still live.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
