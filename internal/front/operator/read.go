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

// Number of events per node in the timeline.
const (
	defaultEvents = 1000
	maxEvents     = 1 << 20
)

func (h *handler) version(w http.ResponseWriter, _ *http.Request) {
	problemdetail.WriteJSON(w, http.StatusOK, Version{Version: h.c.Version, Go: runtime.Version(), Node: h.c.Node})
}

// list returns all searches.
func (h *handler) list(w http.ResponseWriter, _ *http.Request) {
	problemdetail.WriteJSON(w, http.StatusOK, searches(h.c.Configs.Current()))
}

// searches converts a snapshot to a response, with the searches sorted by name.
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

// get returns one search.
func (h *handler) get(w http.ResponseWriter, r *http.Request) {
	name := mux.Vars(r)["search"]
	out := searches(h.c.Configs.Current())
	out.Searches = slices.DeleteFunc(out.Searches, func(d search.Definition) bool { return d.Name != name })
	if len(out.Searches) == 0 {
		writeProblem(w, r, problemdetail.New(outcome.NotRun(outcome.UnknownSearch), "no search has this name; list shows all"))
		return
	}
	problemdetail.WriteJSON(w, http.StatusOK, out)
}

// history returns the accepted changes.
func (h *handler) history(w http.ResponseWriter, r *http.Request) {
	es, err := h.c.Configs.History(r.Context())
	if err != nil {
		writeProblem(w, r, problemdetail.New(outcome.NotRun(outcome.StoreDown), "the history cannot be read: "+err.Error()))
		return
	}
	if es == nil {
		es = []config.HistoryEntry{}
	}
	problemdetail.WriteJSON(w, http.StatusOK, es)
}

// status returns the configuration in force on each live node.
func (h *handler) status(w http.ResponseWriter, r *http.Request) {
	problemdetail.WriteJSON(w, http.StatusOK, h.c.Fleet.Status(r.Context()))
}

// health returns the health report of the fleet, optionally for one search only.
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

// timeline returns the merged events of all nodes.
func (h *handler) timeline(w http.ResponseWriter, r *http.Request) {
	afterMS, afterOK := queryInt(r, "after_ms", 0)
	limit, limitOK := queryInt(r, "limit", defaultEvents)
	if !afterOK || !limitOK || limit < 1 {
		writeProblem(w, r, problemdetail.BadRequest("after_ms must be a whole number from 0, and limit a whole number from 1"))
		return
	}
	problemdetail.WriteJSON(w, http.StatusOK, h.c.Fleet.Timeline(r.Context(), event.Stamp{WallMS: afterMS}, int(min(limit, maxEvents))))
}

// queryInt returns a non-negative integer query parameter, or fallback if it is
// missing, and false if the value is not valid.
func queryInt(r *http.Request, key string, fallback int64) (int64, bool) {
	s := r.URL.Query().Get(key)
	if s == "" {
		return fallback, true
	}
	n, err := strconv.ParseInt(s, 10, 64)
	return n, err == nil && n >= 0
}
