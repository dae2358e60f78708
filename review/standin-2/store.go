package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// row is a row of the platform's store.
type row struct {
	Table         string
	Part          string `json:"part"`
	Key           string
	Value         []byte
	SchemaVersion uint64
	Deleted       bool `json:",omitempty"`
}

// rowKey names a row; the case uses the part with the empty name only.
type rowKey struct{ table, key string }

// store is a stand-in of the platform's store: rows, transactions and feeds, as PROTOCOL.md
// describes them. It is sound: each call takes 4 ms, none is lost.
type store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	history []row
	version uint64
	changed chan struct{}
	address string
}

// callTime is how long an answer of the store takes.
const callTime = 4 * time.Millisecond

func startStore() (*store, error) {
	s := &store{rows: make(map[rowKey]row), changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /rows-tx", s.txn)
	mux.HandleFunc("GET /rows-get", s.get)
	mux.HandleFunc("GET /rows-feed", s.feed)
	go http.Serve(l, mux)
	return s, nil
}

// put writes a row as the operator or a worker does.
func (s *store) put(table, key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply([]row{{Table: table, Key: key, Value: b}}, nil)
}

// remove deletes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.apply(nil, []row{{Table: table, Key: key}})
}

func (s *store) apply(puts, removes []row) {
	s.version++
	for _, r := range puts {
		r.SchemaVersion, r.Deleted = s.version, false
		s.rows[rowKey{r.Table, r.Key}] = r
		s.history = append(s.history, r)
	}
	for _, r := range removes {
		delete(s.rows, rowKey{r.Table, r.Key})
		s.history = append(s.history, row{Table: r.Table, Key: r.Key, SchemaVersion: s.version, Deleted: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

type storeAnswer struct {
	Rows          []row
	HasMore       bool
	SchemaVersion uint64
	NowMs         int64
}

func answer(w http.ResponseWriter, status int, a storeAnswer) {
	a.NowMs = time.Now().UnixMilli()
	if a.Rows == nil {
		a.Rows = []row{}
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	json.NewEncoder(w).Encode(a)
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		ExpectRev, Puts, Remove []row
	}
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(callTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	var failed []row
	for _, c := range t.ExpectRev {
		if now := s.rows[rowKey{c.Table, c.Key}]; now.SchemaVersion != c.SchemaVersion {
			now.Table, now.Key = c.Table, c.Key
			failed = append(failed, now)
		}
	}
	if len(failed) > 0 {
		answer(w, http.StatusPreconditionFailed, storeAnswer{Rows: failed, SchemaVersion: s.version})
		return
	}
	s.apply(t.Puts, t.Remove)
	answer(w, http.StatusOK, storeAnswer{SchemaVersion: s.version})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	time.Sleep(callTime)
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []row
	for k, v := range s.rows {
		if k.table == q.Get("Table") && k.key >= q.Get("From") && (q.Get("To") == "" || k.key < q.Get("To")) {
			rows = append(rows, v)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	if more {
		rows = rows[:limit]
	}
	answer(w, http.StatusOK, storeAnswer{Rows: rows, HasMore: more, SchemaVersion: s.version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("AfterRev"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	time.Sleep(callTime)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		var rows []row
		for _, v := range s.history {
			if v.Table == q.Get("Table") && v.SchemaVersion > after {
				rows = append(rows, v)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			answer(w, http.StatusOK, storeAnswer{Rows: rows, SchemaVersion: version})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-end:
			answer(w, http.StatusOK, storeAnswer{SchemaVersion: version})
			return
		}
	}
}
