package faultproxy

import (
	"net/http"

	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// routes returns the control interface:
//
//	GET  /links                     list the links
//	POST /links                     add a link; the response includes its address
//	POST /links/{name}/fault        set the fault of a link
//	POST /links/{name}/silence      silence its established connections
//	POST /links/{name}/reset        reset its established connections
//	GET  /links/{name}/counters     read its counters
//	PUT  /cuts                      replace all partitions; [] ends them
func (p *Proxy) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /links", func(w http.ResponseWriter, _ *http.Request) {
		httpd.WriteJSON(w, http.StatusOK, p.Links())
	})
	mux.HandleFunc("POST /links", func(w http.ResponseWriter, r *http.Request) {
		var l Link
		if !httpd.ReadJSON(w, r, &l) {
			return
		}
		addr, err := p.Add(l)
		l.Listen = addr
		writeResult(w, l, err)
	})
	mux.HandleFunc("POST /links/{name}/fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if httpd.ReadJSON(w, r, &f) {
			writeResult(w, f, p.SetFault(r.PathValue("name"), f))
		}
	})
	mux.HandleFunc("POST /links/{name}/silence", func(w http.ResponseWriter, r *http.Request) {
		writeResult(w, struct{}{}, p.Silence(r.PathValue("name")))
	})
	mux.HandleFunc("POST /links/{name}/reset", func(w http.ResponseWriter, r *http.Request) {
		writeResult(w, struct{}{}, p.Reset(r.PathValue("name")))
	})
	mux.HandleFunc("GET /links/{name}/counters", func(w http.ResponseWriter, r *http.Request) {
		c, err := p.Counters(r.PathValue("name"))
		writeResult(w, c, err)
	})
	mux.HandleFunc("PUT /cuts", func(w http.ResponseWriter, r *http.Request) {
		var partitions []Partition
		if httpd.ReadJSON(w, r, &partitions) {
			p.SetPartitions(partitions...)
			writeResult(w, partitions, nil)
		}
	})
	return mux
}

func writeResult(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	httpd.WriteJSON(w, http.StatusOK, v)
}
