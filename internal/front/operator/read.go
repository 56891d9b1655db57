package operator

import (
	"cmp"
	"net/http"
	"runtime"
	"slices"
	"strconv"

	"github.com/gorilla/mux"

	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

// defaultEvents is how many events of each node the time line holds.
const defaultEvents = 1000

func (h *handler) version(w http.ResponseWriter, _ *http.Request) {
	problemdetail.WriteJSON(w, http.StatusOK, Version{Version: h.c.Version, Go: runtime.Version(), Node: h.c.Node})
}

// list shows all searches.
func (h *handler) list(w http.ResponseWriter, _ *http.Request) {
	problemdetail.WriteJSON(w, http.StatusOK, searches(h.c.Configs.Current()))
}

// searches returns a snapshot in the order of names.
func searches(s *config.Snapshot) Searches {
	out := Searches{Searches: []search.Definition{}}
	if s == nil {
		return out
	}
	out.Revision, out.ChangeID = s.Revision, s.ChangeID
	for _, d := range s.Searches {
		out.Searches = append(out.Searches, d)
	}
	slices.SortFunc(out.Searches, func(a, b search.Definition) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// get shows one search.
func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["search"]
	out := searches(h.c.Configs.Current())
	out.Searches = slices.DeleteFunc(out.Searches, func(d search.Definition) bool { return d.Name != name })
	if len(out.Searches) == 0 {
		refuse(w, r, problemdetail.New(outcome.NotRun(outcome.UnknownSearch), "no search has this name; list shows all"))
		return
	}
	problemdetail.WriteJSON(w, http.StatusOK, out)
}

// history shows accepted changes.
func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	es, err := h.c.Configs.History(r.Context())
	if err != nil {
		refuse(w, r, problemdetail.New(outcome.NotRun(outcome.StoreDown), "the history cannot be read: "+err.Error()))
		return
	}
	if es == nil {
		es = []config.HistoryEntry{}
	}
	problemdetail.WriteJSON(w, http.StatusOK, es)
}

// status shows the configuration in force on each live node.
func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	problemdetail.WriteJSON(w, http.StatusOK, h.c.Fleet.Status(r.Context()))
}

// health judges the whole fleet, or one search of it.
func (h *handler) health(w http.ResponseWriter, r *http.Request) {
	rep := h.c.Health(r.Context())
	if name := r.URL.Query().Get("search"); name != "" {
		rep.States = slices.DeleteFunc(rep.States, func(s health.State) bool { return s.Search != name })
	}
	if rep.States == nil {
		rep.States = []health.State{}
	}
	problemdetail.WriteJSON(w, http.StatusOK, rep)
}

// timeline merges the events of all nodes.
func (h *handler) timeline(w http.ResponseWriter, r *http.Request) {
	after, ok := number(r, "after_ms", 0)
	limit, also := number(r, "limit", defaultEvents)
	if !ok || !also || limit < 1 {
		refuse(w, r, problemdetail.BadRequest("after_ms or limit is not a whole number above 0"))
		return
	}
	problemdetail.WriteJSON(w, http.StatusOK, h.c.Fleet.Timeline(r.Context(), event.Stamp{WallMS: after}, int(min(limit, 1<<20))))
}

// number reads a whole number of the query part.
func number(r *http.Request, key string, otherwise int64) (int64, bool) {
	s := r.URL.Query().Get(key)
	if s == "" {
		return otherwise, true
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil && n >= 0
}
