package gateway

import (
	"encoding/json"
	"net/http"
	"strings"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/front/ingress"
	"egrethaven/internal/front/operator"
	"egrethaven/internal/query/explain"
	"egrethaven/internal/state/registry"
)

const (
	// explainPath is where the metrics address tells what would be done with a request.
	explainPath = operator.Prefix + "/explain"
	// maxExplainBytes is the maximum size of such a question, in bytes.
	maxExplainBytes = 128 << 10
)

// handleExplain answers with an explain.Report. Nothing of the question is logged, as it may
// have a key.
func (g *Gateway) handleExplain(w http.ResponseWriter, r *http.Request) {
	var q explain.Query
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxExplainBytes)).Decode(&q)
	if err != nil || q.Method == "" || q.Host == "" || !strings.HasPrefix(q.Path, "/") || q.BodyBytes < 0 {
		http.Error(w, "the question needs a method, a host, and a path that begins with a slash", http.StatusBadRequest)
		return
	}
	if q.Fingerprint != "" {
		if _, err := quarantine.ParseFingerprint(q.Fingerprint); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	out := g.engine.Explain(q)
	out.VM = g.c.Settings.ID
	if ingress.IsBodyTooLarge(g.clientLimits(), q.BodyBytes) {
		out.Admitted, out.Status, out.Reason = false, http.StatusRequestEntityTooLarge, "body_too_large"
		out.Why = "the body exceeds the limit on clients' requests"
	}
	for i := range out.Shards {
		s := &out.Shards[i]
		s.Searchers = append(s.Searchers, g.storeView.unused(s.Service)...)
	}
	w.Header().Set("Content-Type", "application/json")
	// The client may have left.
	_ = json.NewEncoder(w).Encode(out)
}

// unused returns the registered searchers of a service that get no requests, and why.
func (v *storeView) unused(service string) []explain.Searcher {
	v.mu.Lock()
	defer v.mu.Unlock()
	var out []explain.Searcher
	for _, s := range v.registry.Searchers() {
		if s.Service != service {
			continue
		}
		why := ""
		switch {
		case s.State != registry.Ready:
			why = "it is draining"
		case v.isLeaving(s):
			why = "it said that it is leaving"
		case v.evacuated.Has(s.Domain):
			why = "its failure domain is evacuated"
		default:
			continue
		}
		out = append(out, explain.Searcher{ID: s.ID, Domain: s.Domain, Why: why})
	}
	return out
}
