package faultproxy

import (
	"encoding/json"
	"net/http"

	"github.com/gorilla/mux"
)

// FaultRequest is the body of POST /fault. Without a scope it applies to all
// connections.
type FaultRequest struct {
	Scope Scope `json:"scope"`
	Fault Fault `json:"fault"`
}

// Handler returns the HTTP handler that controls the proxy.
func (p *Proxy) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/fault", p.handleFault).Methods(http.MethodPost)
	for path, action := range map[string]func(){"/cut": p.CloseConnections, "/reset": p.ResetConnections, "/half_open": p.HalfOpenConnections} {
		r.HandleFunc(path, func(w http.ResponseWriter, _ *http.Request) {
			action()
			w.WriteHeader(http.StatusNoContent)
		}).Methods(http.MethodPost)
	}
	return r
}

func (p *Proxy) handleFault(w http.ResponseWriter, r *http.Request) {
	req := FaultRequest{Scope: ScopeAll}
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetFault(req.Scope, req.Fault)
	w.WriteHeader(http.StatusNoContent)
}
