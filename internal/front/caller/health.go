package caller

import (
	"cmp"
	"net/http"
	"slices"

	"egrethaven/internal/front/problemdetail"
)

// listedSearch is one search as callers see it.
type listedSearch struct {
	Name       string `json:"name"`
	MaxLimit   int    `json:"max_limit"`
	DeadlineMS int64  `json:"deadline_ms"`
	Writes     bool   `json:"writes"`
}

// list names the searches.
func (h *handler) list(w http.ResponseWriter, r *http.Request) {
	s := h.c.Searches()
	if h.empty(s) {
		refuse(w, r, notReady())
		return
	}
	out := make([]listedSearch, 0, len(s.Searches))
	for _, d := range s.Searches {
		out = append(out, listedSearch{Name: d.Name, MaxLimit: d.MaxLimit, DeadlineMS: d.Deadline.Milliseconds(), Writes: d.Writes})
	}
	slices.SortFunc(out, func(a, b listedSearch) int { return cmp.Compare(a.Name, b.Name) })
	problemdetail.WriteJSON(w, http.StatusOK, out)
}

// health reports on one search.
func (h *handler) health(w http.ResponseWriter, r *http.Request) {
	d, p := h.definition(r)
	if p != nil {
		refuse(w, r, *p)
		return
	}
	problemdetail.WriteJSON(w, http.StatusOK, h.c.Engine.Health(d.Name))
}
