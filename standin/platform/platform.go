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

// Config configures the sizes and rates of the simulated platform.
type Config struct {
	// Address is a loopback address. Port 0 picks a free port.
	Address string
	// WritesPerSecond and ReadsPerSecond limit table calls. Calls over the limit are
	// refused with status 429 and have no effect.
	WritesPerSecond float64
	ReadsPerSecond  float64
	// InstanceLag is the time until a change is visible in the instance list.
	InstanceLag time.Duration
	// WeightBytesPerSecond is the rate of the weight store, which concurrent loads
	// share. WeightSlots is the number of concurrent loads; others wait.
	WeightBytesPerSecond float64
	WeightSlots          int
	// WeightBytes is the size of a load whose request does not specify one.
	WeightBytes int64
	// RecordLimit is the maximum number of recorded table writes. Older ones are
	// dropped and counted.
	RecordLimit int
}

// DefaultConfig returns the rates of the current platform.
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

// Faults are the injected faults of the table and the object store. Outage, Hang and
// LatencyMillis also apply to the weight store and the instance list.
type Faults struct {
	// Outage refuses every call with status 503.
	Outage bool `json:"outage"`
	// Hang accepts calls without a response until the faults change, and then closes
	// their connections. A call that hangs has no effect.
	Hang bool `json:"hang"`
	// LatencyMillis delays each call.
	LatencyMillis int `json:"latency_millis"`
	// LoseAnswers is the number of following transactions that are applied but whose
	// response is lost. A negative number applies to all.
	LoseAnswers int `json:"lose_answers"`
	// LoseTable restricts LoseAnswers to transactions that write this table.
	LoseTable string `json:"lose_table,omitempty"`
	// ThrottleAll refuses every table call with status 429.
	ThrottleAll bool `json:"throttle_all"`
}

// Server is a running simulated platform.
type Server struct {
	cfg             Config
	http            *httpd.Server
	writes          *rate.Limiter
	reads           *rate.Limiter
	table           *table
	listedInstances *instanceList
	weights         *weightStore

	mu            sync.Mutex
	faults        Faults
	faultsChanged chan struct{}
	counts        Counts
	objects       map[string][]byte
	closed        chan struct{}
}

// Counts counts calls and injected faults, so that a test can assert that a fault
// took effect.
type Counts struct {
	Reads  uint64 `json:"reads"`
	Writes uint64 `json:"writes"`
	// Throttled counts table calls that were refused with status 429, Refused calls
	// that were refused with status 503 in an outage.
	Throttled uint64 `json:"throttled"`
	Refused   uint64 `json:"refused"`
	// Hung counts calls that got no response because of Faults.Hang.
	Hung        uint64 `json:"hung"`
	LostAnswers uint64 `json:"lost_answers"`
	// WeightLoads counts the completed loads from the weight store.
	WeightLoads uint64 `json:"weight_loads"`
}

// Start starts the simulated platform on a loopback address.
func Start(cfg Config) (*Server, error) {
	s := &Server{
		cfg:             cfg,
		writes:          rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), max(1, int(cfg.WritesPerSecond/4))),
		reads:           rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), max(1, int(cfg.ReadsPerSecond/4))),
		table:           newTable(cfg.RecordLimit),
		listedInstances: newInstanceList(cfg.InstanceLag),
		weights:         newWeightStore(cfg),
		faultsChanged:   make(chan struct{}),
		objects:         make(map[string][]byte),
		closed:          make(chan struct{}),
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

// Close stops the simulated platform and discards its data.
func (s *Server) Close() {
	close(s.closed)
	s.http.Close()
}

// SetFaults replaces the injected faults. Calls that hang at that time fail.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	close(s.faultsChanged)
	s.faultsChanged = make(chan struct{})
}

// Restore returns the table to its state some time ago, as if it came back from a copy
// of that age, and starts the next era. Versions go back and are given out again. The
// recorded writes stay.
func (s *Server) Restore(age time.Duration) { s.table.restore(time.Now().Add(-age)) }

// Counts returns the current counts.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Writes returns the recorded writes to a table, or to all tables if the name is
// empty, in the order in which they were applied.
func (s *Server) Writes(tableName string) []TableWrite { return s.table.loggedWrites(tableName) }

// PutInstances adds instances to the list or updates them. The change is visible
// after the lag.
func (s *Server) PutInstances(instances ...infra.Instance) {
	s.listedInstances.change(InstanceChange{Put: instances})
}

// ChangeInstances applies a change to the instance list.
func (s *Server) ChangeInstances(c InstanceChange) { s.listedInstances.change(c) }

func (s *Server) updateCounts(fn func(*Counts)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fn(&s.counts)
}

// applyFaults applies an outage, a hang or latency to one call. It reports whether to
// continue the call.
func (s *Server) applyFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	f, changed := s.faults, s.faultsChanged
	s.mu.Unlock()
	if f.Hang {
		s.updateCounts(func(c *Counts) { c.Hung++ })
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
		s.updateCounts(func(c *Counts) { c.Refused++ })
		http.Error(w, "store outage", http.StatusServiceUnavailable)
		return false
	}
	return true
}

// admitTableCall applies the faults and the rate limit to a table call. It reports
// whether to continue the call.
func (s *Server) admitTableCall(w http.ResponseWriter, r *http.Request, limit *rate.Limiter) bool {
	if !s.applyFaults(w, r) {
		return false
	}
	s.mu.Lock()
	throttle := s.faults.ThrottleAll
	s.mu.Unlock()
	if throttle || !limit.Allow() {
		s.updateCounts(func(c *Counts) { c.Throttled++ })
		http.Error(w, "rate limit", http.StatusTooManyRequests)
		return false
	}
	return true
}

// loseAnswer reports whether the response to an applied transaction is lost, and
// counts it.
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

// sleep waits. It returns false if the context ends first.
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
