package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Store is a stand-in of the platform's metadata store: tables of rows, transactions and feeds
// (PROTOCOL.md, "The platform's metadata store").
type Store struct {
	Addr    string
	mu      sync.Mutex
	version uint64
	rows    map[rowKey]storeRow
	log     []storeRow // every change, in order
	changed chan struct{}
	begin   time.Time
	era     int // Store-Era is sent if it is not 0
	down    bool
}

type rowKey struct{ Table, Part, Key string }

type storeRow struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte
	SchemaVersion uint64
	Deleted       bool `json:",omitempty"`
}

// NewStore starts a store on a free port of a loopback address.
func NewStore(ip string) (*Store, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return nil, err
	}
	s := &Store{Addr: l.Addr().String(), rows: make(map[rowKey]storeRow), changed: make(chan struct{}), begin: time.Now()}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.tx)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	h := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		down, era := s.down, s.era
		s.mu.Unlock()
		if down {
			if era != 0 {
				w.Header().Set("Store-Era", strconv.Itoa(era))
			}
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
	go func() { _ = http.Serve(l, h) }()
	return s, nil
}

// Put writes a row as the operator or a worker does.
func (s *Store) Put(table, key string, value any) uint64 {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, Value: b, SchemaVersion: s.version})
	s.wake()
	return s.version
}

// Remove removes a row.
func (s *Store) Remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.apply(storeRow{Table: table, Key: key, SchemaVersion: s.version, Deleted: true})
	s.wake()
}

func (s *Store) apply(r storeRow) {
	k := rowKey{r.Table, r.Part, r.Key}
	if r.Deleted {
		delete(s.rows, k)
	} else {
		s.rows[k] = r
	}
	s.log = append(s.log, r)
}

func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) reply(w http.ResponseWriter, status int, rows []storeRow, more bool, version uint64) {
	if rows == nil {
		rows = []storeRow{}
	}
	w.Header().Set("Content-Type", "application/json")
	if s.era != 0 {
		w.Header().Set("Store-Era", strconv.Itoa(s.era))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "HasMore": more, "SchemaVersion": version, "NowMs": time.Since(s.begin).Milliseconds(),
	})
}

func (s *Store) tx(w http.ResponseWriter, r *http.Request) {
	var in struct {
		ExpectRev, Puts, Remove []storeRow
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(5 * time.Millisecond) // TxMs
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflict []storeRow
	failed := false
	for _, c := range in.ExpectRev {
		row, ok := s.rows[rowKey{c.Table, c.Part, c.Key}]
		if ok {
			conflict = append(conflict, row)
		}
		if row.SchemaVersion != c.SchemaVersion {
			failed = true
		}
	}
	if failed {
		s.reply(w, http.StatusPreconditionFailed, conflict, false, s.version)
		return
	}
	for _, p := range append(in.Puts, in.Remove...) {
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	s.version++
	for _, p := range in.Puts {
		p.SchemaVersion = s.version
		s.apply(p)
	}
	for _, p := range in.Remove {
		p.SchemaVersion, p.Deleted, p.Value = s.version, true, nil
		s.apply(p)
	}
	s.wake()
	s.reply(w, http.StatusOK, nil, false, s.version)
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := 500
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n < limit {
		limit = n
	}
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []storeRow
	for k, row := range s.rows {
		if k.Table == q.Get("Table") && k.Part == q.Get("part") && k.Key >= q.Get("From") && (!q.Has("To") || k.Key < q.Get("To")) {
			out = append(out, row)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	more := len(out) > limit
	s.reply(w, http.StatusOK, out[:min(limit, len(out))], more, s.version)
}

func (s *Store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("AfterRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timer := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		if after > s.version {
			if s.era != 0 {
				w.Header().Set("Store-Era", strconv.Itoa(s.era))
			}
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		var out []storeRow
		for _, row := range s.log {
			if row.Table == q.Get("Table") && row.SchemaVersion > after {
				out = append(out, row)
			}
		}
		version, changed := s.version, s.changed
		if len(out) > 0 {
			s.reply(w, http.StatusOK, out, false, version)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timer:
			s.reply(w, http.StatusOK, nil, false, version)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// Copy is a copy of the store's rows.
type Copy struct {
	version uint64
	rows    map[rowKey]storeRow
	log     []storeRow
}

// Copy copies the rows.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &Copy{s.version, maps.Clone(s.rows), slices.Clone(s.log)}
}

// Restore puts the store away for a moment and back with a copy.
func (s *Store) Restore(c *Copy, away time.Duration) {
	s.mu.Lock()
	s.down = true
	s.mu.Unlock()
	time.Sleep(away)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down, s.version, s.rows, s.log = false, c.version, maps.Clone(c.rows), slices.Clone(c.log)
	s.era++
	s.wake()
}
