package caller

import (
	"cmp"
	"net/http"
	"slices"

	"egrethaven/internal/front/problemdetail"
)

// searchSummary is the public part of a search definition.
type searchSummary struct {
	Name       string `json:"name"`
	MaxLimit   int    `json:"max_limit"`
	DeadlineMS int64  `json:"deadline_ms"`
	Writes     bool   `json:"writes"`
}

// list returns all searches, sorted by name.
func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	s := h.c.Snapshot()
	if h.lacksConfig(s) {
		writeProblem(w, r, notReadyProblem())
		return
	}
	out := make([]searchSummary, 0, len(s.Searches))
	for _, d := range s.Searches {
		out = append(out, searchSummary{Name: d.Name, MaxLimit: d.MaxLimit, DeadlineMS: d.Deadline.Milliseconds(), Writes: d.Writes})
	}
	slices.SortFunc(out, func(a, b searchSummary) int { return cmp.Compare(a.Name, b.Name) })
	problemdetail.WriteJSON(w, http.StatusOK, out)
}

// health returns the health of one search.
func (h *handler) health(w http.ResponseWriter, r *http.Request) {
	d, p := h.definition(r)
	if p != nil {
		writeProblem(w, r, *p)
		return
	}
	problemdetail.WriteJSON(w, http.StatusOK, h.c.Engine.Health(d.Name))
}
