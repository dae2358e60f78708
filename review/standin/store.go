package main

import (
	"encoding/json"
	"net"
	"net/http"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

type row struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte `json:",omitempty"`
	SchemaVersion uint64
	Deleted       bool `json:",omitempty"`
}

type rowName struct {
	Table, Part, Key string
}

type txEntry struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte
	SchemaVersion uint64
}

type transaction struct {
	ExpectRev, Puts, Remove []txEntry
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu      sync.Mutex
	rows    map[rowName]row
	history []row
	version uint64
	changed chan struct{}
	latency time.Duration
	// era is named in all answers if it is set.
	era     uint64
	address string
	// late, if not nil, decides whether a transaction gets no answer, and how much later it is done.
	late func(t *transaction) (time.Duration, bool)
	// onLate, if not nil, is called when that is done.
	onLate func(applied bool)
	// delay, if not nil, returns the additional time of a call.
	delay func(r *http.Request) time.Duration
}

func newStore(ip string) *store {
	s := &store{rows: make(map[rowName]row), changed: make(chan struct{}), latency: 4 * time.Millisecond}
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		notRun("%v", err)
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.serveTransaction)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	go func() { _ = http.Serve(l, mux) }()
	return s
}

func (s *store) wait(r *http.Request) {
	d := s.latency
	if s.delay != nil {
		d += s.delay(r)
	}
	time.Sleep(d)
}

// put writes a row of the operator or of a worker.
func (s *store) put(table, key string, value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		notRun("%v", err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]txEntry{{Table: table, Key: key, Value: b}}, nil)
	return s.version
}

func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []txEntry{{Table: table, Key: key}})
}

func (s *store) apply(puts, removes []txEntry) {
	s.version++
	for _, w := range puts {
		r := row{Table: w.Table, Part: w.Part, Key: w.Key, Value: w.Value, SchemaVersion: s.version}
		s.rows[rowName{w.Table, w.Part, w.Key}] = r
		s.history = append(s.history, r)
	}
	for _, w := range removes {
		name := rowName{w.Table, w.Part, w.Key}
		if _, ok := s.rows[name]; ok {
			delete(s.rows, name)
			s.history = append(s.history, row{Table: w.Table, Part: w.Part, Key: w.Key, SchemaVersion: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) answer(w http.ResponseWriter, status int, v map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	if s.era > 0 {
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	}
	v["NowMs"] = sinceStart().Milliseconds()
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if s.late != nil {
		if by, late := s.late(&t); late {
			time.AfterFunc(by, func() {
				s.mu.Lock()
				status, _ := s.perform(&t)
				s.mu.Unlock()
				if s.onLate != nil {
					s.onLate(status == http.StatusOK)
				}
			})
			<-r.Context().Done()
			return
		}
	}
	s.wait(r)
	s.mu.Lock()
	defer s.mu.Unlock()
	status, v := s.perform(&t)
	s.answer(w, status, v)
}

// perform performs a transaction if its conditions hold. The mutex must be held.
func (s *store) perform(t *transaction) (int, map[string]any) {
	for _, p := range slices.Concat(t.Puts, t.Remove) {
		if p.Table == "op" || p.Table == "servers" {
			return http.StatusForbidden, map[string]any{}
		}
	}
	current, failed := []row{}, false
	for _, c := range t.ExpectRev {
		known, ok := s.rows[rowName{c.Table, c.Part, c.Key}]
		if known.SchemaVersion != c.SchemaVersion {
			failed = true
		}
		if ok {
			current = append(current, known)
		}
	}
	if failed {
		return http.StatusPreconditionFailed, map[string]any{"Rows": current, "SchemaVersion": s.version}
	}
	s.apply(t.Puts, t.Remove)
	return http.StatusOK, map[string]any{"SchemaVersion": s.version}
}

// leaseHolder returns the machine that last wrote the lease.
func (s *store) leaseHolder() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name, r := range s.rows {
		if name.Table != "lease" {
			continue
		}
		if m := holderName.FindSubmatch(r.Value); m != nil {
			return string(m[1])
		}
	}
	return ""
}

var holderName = regexp.MustCompile(`"instance":"([^"]+)"`)

// pageRows is the largest number of rows of one answer.
const pageRows = 500

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.wait(r)
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(limit, n)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	out := []row{}
	for _, known := range s.rows {
		if known.Table == q.Get("Table") && known.Part == q.Get("part") && known.Key >= q.Get("From") && (q.Get("To") == "" || known.Key < q.Get("To")) {
			out = append(out, known)
		}
	}
	slices.SortFunc(out, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	more := len(out) > limit
	s.answer(w, http.StatusOK, map[string]any{"Rows": out[:min(limit, len(out))], "HasMore": more, "SchemaVersion": s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	s.wait(r)
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("AfterRev"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("WaitMs"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after > s.version {
			s.answer(w, http.StatusGone, map[string]any{})
			s.mu.Unlock()
			return
		}
		out, changed := []row{}, s.changed
		for i := len(s.history) - 1; i >= 0 && s.history[i].SchemaVersion > after; i-- {
			if s.history[i].Table == q.Get("Table") {
				out = append(out, s.history[i])
			}
		}
		slices.Reverse(out)
		if len(out) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"Rows": out, "SchemaVersion": s.version})
			s.mu.Unlock()
			return
		}
		version := s.version
		s.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			s.answer(w, http.StatusOK, map[string]any{"Rows": out, "SchemaVersion": version})
			return
		}
	}
}
