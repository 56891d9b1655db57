package faultproxy

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// FaultRequest sets a fault by HTTP.
type FaultRequest struct {
	Scope Scope `json:"scope"`
	Fault Fault `json:"fault"`
}

// Handler returns the proxy's control by HTTP.
func (p *Proxy) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/fault", p.handleFault).Methods(http.MethodPost)
	for path, f := range map[string]func(){"/cut": p.CloseConnections, "/reset": p.ResetConnections, "/half_open": p.HalfOpenConnections} {
		r.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			f()
			w.WriteHeader(http.StatusNoContent)
		}).Methods(http.MethodPost)
	}
	return r
}

func (p *Proxy) handleFault(w http.ResponseWriter, r *http.Request) {
	q := FaultRequest{Scope: ScopeAll}
	if err := json.NewDecoder(r.Body).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(q.Scope, q.Fault)
	w.WriteHeader(http.StatusNoContent)
}
