package caller

import (
	"fmt"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

// definition returns the definition of the search named in the path.
func (h *handler) definition(r *http.Request) (search.Definition, *problemdetail.Detail) {
	name := mux.Vars(r)["search"]
	s := h.c.Snapshot()
	if h.lacksConfig(s) {
		p := notReadyProblem()
		return search.Definition{}, &p
	}
	d, ok := s.Searches[name]
	if !ok {
		p := unknownSearchProblem(truncate(name))
		return d, &p
	}
	return d, nil
}

// lacksConfig reports whether the node has no configuration yet. A ready node at
// revision 0 has one, without any searches.
func (h *handler) lacksConfig(s *config.Snapshot) bool {
	return s == nil || s.Revision == 0 && h.c.Gate.Check().Reason == outcome.NotReady
}

// notReadyProblem reports that the node has no configuration yet.
func notReadyProblem() problemdetail.Detail {
	return problemdetail.New(outcome.NotRun(outcome.NotReady), "this node has no configuration yet; ask another")
}

// query serves one query.
func (h *handler) query(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	a, p := h.readQuery(w, r, start)
	if p != nil {
		writeProblem(w, r, *p)
		return
	}
	release := h.acquire(w, r)
	if release == nil {
		return
	}
	defer release()
	ctx, cancel := withDeadline(r, a.Deadline)
	defer cancel()
	if !h.takePermit(ctx, w, r, a.Deadline) {
		return
	}
	res := h.c.Engine.Ask(ctx, a)
	h.returnPermit(r, res.Outcome)
	if h.c.Metrics != nil {
		h.c.Metrics.RecordQuery(a.Search, res, time.Since(start))
	}
	// The covered ranges decide, not the flag set by the engine.
	res.Complete = res.Coverage.Complete()
	complete := res.Outcome.OK() && res.Complete
	acceptedPartial := res.Outcome.OK() && a.AcceptPartial && len(res.Coverage.Covered) > 0
	if complete || acceptedPartial {
		writeAnswer(w, res)
		return
	}
	h.c.Events.Emit(event.QueryRefused, a.Search, res.Outcome.String())
	writeProblem(w, r, withheldProblem(a, res))
}

// readQuery reads and validates a query.
func (h *handler) readQuery(w http.ResponseWriter, r *http.Request, now time.Time) (ask.Query, *problemdetail.Detail) {
	d, p := h.definition(r)
	if p != nil {
		return ask.Query{}, p
	}
	name, ok := callerName(r)
	if !ok {
		return ask.Query{}, badRequest("the X-Caller header is not a name; allowed: 1 to 63 of a-z 0-9 _ . -")
	}
	b, p := h.readBody(w, r)
	if p != nil {
		return ask.Query{}, p
	}
	a, p := decodeQuery(b, d, now)
	a.QueryID, a.Caller = newID(), name
	if c := accountOf(r); c != nil && c.HasPriority {
		a.Priority = c.Priority
	}
	return a, p
}

// withheldProblem returns the problem that replaces a failed answer, or a partial
// one that the caller did not accept.
func withheldProblem(a ask.Query, res ask.Answer) problemdetail.Detail {
	o := res.Outcome
	if o.OK() {
		o = outcome.Failed(outcome.IncompleteCoverage)
	}
	d := problemdetail.New(o, "")
	if len(res.Coverage.Covered) > 0 {
		d.Detail = fmt.Sprintf("the answer covers %.4f of the key space and partial answers were not accepted", res.Coverage.Fraction())
		if a.AcceptPartial {
			d.Detail = fmt.Sprintf("the answer covers %.4f of the key space", res.Coverage.Fraction())
		}
	}
	if o.Reason == outcome.IncompleteCoverage && onlyTimeouts(res.Coverage) {
		d = d.WithStatus(http.StatusGatewayTimeout)
	}
	c := nonNilLists(res.Coverage)
	d.Coverage = &c
	return d
}

// onlyTimeouts reports whether there are gaps and all of them are timeouts.
func onlyTimeouts(c coverage.Coverage) bool {
	for _, g := range c.Missing {
		if g.Reason != outcome.Timeout {
			return false
		}
	}
	return len(c.Missing) > 0
}

// nonNilLists replaces nil lists by empty ones, which JSON encodes as [].
func nonNilLists(c coverage.Coverage) coverage.Coverage {
	if c.Covered == nil {
		c.Covered = []keyrange.Range{}
	}
	if c.Missing == nil {
		c.Missing = []coverage.Gap{}
	}
	return c
}

// writeAnswer sends res with status 200.
func writeAnswer(w http.ResponseWriter, res ask.Answer) {
	res.Coverage = nonNilLists(res.Coverage)
	if res.Hits == nil {
		res.Hits = []ask.Hit{}
	}
	problemdetail.WriteJSON(w, http.StatusOK, res)
}
