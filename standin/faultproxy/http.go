package faultproxy

import (
	"net/http"

	"github.com/bulrushfall/bulrushfall/standin/httpd"
)

// routes is the control interface:
//
//	GET  /links                     the links
//	POST /links                     add a link; answers it with its address
//	POST /links/{name}/fault        set the fault of a link
//	POST /links/{name}/silence      silence its established connections
//	POST /links/{name}/reset        reset its established connections
//	GET  /links/{name}/counters     its counters
//	PUT  /cuts                      replace all cuts; [] heals
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
		answer(w, l, err)
	})
	mux.HandleFunc("POST /links/{name}/fault", func(w http.ResponseWriter, r *http.Request) {
		var f Fault
		if httpd.ReadJSON(w, r, &f) {
			answer(w, f, p.SetFault(r.PathValue("name"), f))
		}
	})
	mux.HandleFunc("POST /links/{name}/silence", func(w http.ResponseWriter, r *http.Request) {
		answer(w, struct{}{}, p.Silence(r.PathValue("name")))
	})
	mux.HandleFunc("POST /links/{name}/reset", func(w http.ResponseWriter, r *http.Request) {
		answer(w, struct{}{}, p.Reset(r.PathValue("name")))
	})
	mux.HandleFunc("GET /links/{name}/counters", func(w http.ResponseWriter, r *http.Request) {
		c, err := p.Counters(r.PathValue("name"))
		answer(w, c, err)
	})
	mux.HandleFunc("PUT /cuts", func(w http.ResponseWriter, r *http.Request) {
		var cuts []Partition
		if httpd.ReadJSON(w, r, &cuts) {
			p.SetPartitions(cuts...)
			answer(w, cuts, nil)
		}
	})
	return mux
}

func answer(w http.ResponseWriter, v any, err error) {
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	httpd.WriteJSON(w, http.StatusOK, v)
}
