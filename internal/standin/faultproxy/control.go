package faultproxy

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// Request sets a fault by HTTP.
type Request struct {
	Scope Scope `json:"scope"`
	Fault Fault `json:"fault"`
}

// Handler returns the proxy's control by HTTP.
func (p *Proxy) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/fault", p.handleFault).Methods(http.MethodPost)
	for path, f := range map[string]func(){"/cut": p.Cut, "/reset": p.Reset, "/half_open": p.HalfOpen} {
		r.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			f()
			w.WriteHeader(http.StatusNoContent)
		}).Methods(http.MethodPost)
	}
	return r
}

func (p *Proxy) handleFault(w http.ResponseWriter, r *http.Request) {
	q := Request{Scope: All}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Set(q.Scope, q.Fault)
	w.WriteHeader(http.StatusNoContent)
}
