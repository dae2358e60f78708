package platform

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/bulrushfall/bulrushfall/infra"
	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// Record is the response of GET /debug/record.
type Record struct {
	Counts  Counts       `json:"counts"`
	Faults  Faults       `json:"faults"`
	Dropped uint64       `json:"dropped"`
	Writes  []TableWrite `json:"writes"`
}

// RestoreRequest is the body of POST /debug/restore.
type RestoreRequest struct {
	// AgeMillis is the age of the copy that the table comes back from.
	AgeMillis int `json:"age_millis"`
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /table/txn", s.handleTxn)
	mux.HandleFunc("POST /table/get", s.handleGet)
	mux.HandleFunc("POST /table/scan", s.handleScan)
	mux.HandleFunc("GET /instances", s.handleInstances)
	mux.HandleFunc("/objects/{key}", s.handleObject)
	mux.HandleFunc("GET /weights/{model}/{version}", s.handleWeights)
	mux.HandleFunc("POST /debug/faults", s.handleFaults)
	mux.HandleFunc("POST /debug/restore", s.handleRestore)
	mux.HandleFunc("POST /debug/instances", s.handleInstanceChange)
	mux.HandleFunc("GET /debug/record", s.handleRecord)
	mux.HandleFunc("GET /debug/counts", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, s.Counts())
	})
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		setEra(w, s.table.currentEra())
		mux.ServeHTTP(w, r)
	})
}

// setEra names the era in the response. A handler that reads or writes rows sets it to
// the era in which it did.
func setEra(w http.ResponseWriter, era uint64) {
	w.Header().Set(infra.EraHeader, strconv.FormatUint(era, 10))
}

func (s *Server) handleTxn(w http.ResponseWriter, r *http.Request) {
	var txn infra.Txn
	if !httpd.ReadJSON(w, r, &txn) || !s.admitTableCall(w, r, s.writes) {
		return
	}
	s.updateCounts(func(c *Counts) { c.Writes++ })
	version, conflicts, era := s.table.apply(txn)
	setEra(w, era)
	if conflicts != nil {
		httpd.WriteJSON(w, http.StatusConflict, infra.ConflictError{Rows: conflicts})
		return
	}
	if s.loseAnswer(txn) {
		httpd.Abort(w)
		return
	}
	httpd.WriteJSON(w, http.StatusOK, infra.TxnResponse{Version: version})
}

func (s *Server) handleGet(w http.ResponseWriter, r *http.Request) {
	var req infra.GetRequest
	if !httpd.ReadJSON(w, r, &req) || !s.admitTableCall(w, r, s.reads) {
		return
	}
	s.updateCounts(func(c *Counts) { c.Reads++ })
	row, ok, era := s.table.get(req.RowKey)
	setEra(w, era)
	if !ok {
		http.Error(w, "row not found", http.StatusNotFound)
		return
	}
	httpd.WriteJSON(w, http.StatusOK, row)
}

func (s *Server) handleScan(w http.ResponseWriter, r *http.Request) {
	var req infra.ScanRequest
	if !httpd.ReadJSON(w, r, &req) || !s.admitTableCall(w, r, s.reads) {
		return
	}
	s.updateCounts(func(c *Counts) { c.Reads++ })
	rows, era := s.table.scan(req.Table, req.After, req.Limit)
	setEra(w, era)
	httpd.WriteJSON(w, http.StatusOK, infra.ScanResponse{Rows: rows})
}

func (s *Server) handleInstances(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	if knownTag := r.Header.Get("If-None-Match"); knownTag != "" && knownTag == s.listedInstances.tag() {
		w.Header().Set("ETag", knownTag)
		w.WriteHeader(http.StatusNotModified)
		return
	}
	list, tag := s.listedInstances.snapshot()
	w.Header().Set("ETag", tag)
	httpd.WriteJSON(w, http.StatusOK, infra.InstancesResponse{Instances: list})
}

func (s *Server) handleObject(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	key := r.PathValue("key")
	switch r.Method {
	case http.MethodPut:
		b, err := io.ReadAll(r.Body)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.setObject(key, b)
		w.WriteHeader(http.StatusNoContent)
	case http.MethodDelete:
		s.setObject(key, nil)
		w.WriteHeader(http.StatusNoContent)
	case http.MethodGet:
		b, ok := s.getObject(key)
		if !ok {
			http.Error(w, "object not found", http.StatusNotFound)
			return
		}
		_, _ = w.Write(b)
	default:
		http.Error(w, "method not allowed", http.StatusMethodNotAllowed)
	}
}

// setObject stores an object; nil deletes it.
func (s *Server) setObject(key string, b []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if b == nil {
		delete(s.objects, key)
		return
	}
	s.objects[key] = b
}

func (s *Server) getObject(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	b, ok := s.objects[key]
	return b, ok
}

func (s *Server) handleWeights(w http.ResponseWriter, r *http.Request) {
	if !s.applyFaults(w, r) {
		return
	}
	bytes := s.cfg.WeightBytes
	if q := r.URL.Query().Get("bytes"); q != "" {
		n, err := strconv.ParseInt(q, 10, 64)
		if err != nil || n < 0 {
			http.Error(w, "bytes must be a non-negative number", http.StatusBadRequest)
			return
		}
		bytes = n
	}
	waited, err := s.weights.load(r.Context(), bytes)
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	s.updateCounts(func(c *Counts) { c.WeightLoads++ })
	httpd.WriteJSON(w, http.StatusOK, WeightLoad{
		Model: r.PathValue("model"), Version: r.PathValue("version"),
		Bytes: bytes, WaitedMillis: waited.Milliseconds(),
	})
}

func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if httpd.ReadJSON(w, r, &f) {
		s.SetFaults(f)
		httpd.WriteJSON(w, http.StatusOK, f)
	}
}

func (s *Server) handleRestore(w http.ResponseWriter, r *http.Request) {
	var req RestoreRequest
	if httpd.ReadJSON(w, r, &req) {
		s.Restore(time.Duration(req.AgeMillis) * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) handleInstanceChange(w http.ResponseWriter, r *http.Request) {
	var c InstanceChange
	if httpd.ReadJSON(w, r, &c) {
		s.listedInstances.change(c)
		w.WriteHeader(http.StatusNoContent)
	}
}

func (s *Server) handleRecord(w http.ResponseWriter, r *http.Request) {
	writes := s.table.loggedWrites(r.URL.Query().Get("table"))
	s.mu.Lock()
	rec := Record{Counts: s.counts, Faults: s.faults, Writes: writes}
	s.mu.Unlock()
	s.table.mu.Lock()
	rec.Dropped = s.table.dropped
	s.table.mu.Unlock()
	httpd.WriteJSON(w, http.StatusOK, rec)
}
