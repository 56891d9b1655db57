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

// definition returns the search that the path names.
func (h *handler) definition(r *http.Request) (search.Definition, *problemdetail.Detail) {
	name := mux.Vars(r)["search"]
	s := h.c.Searches()
	if h.empty(s) {
		p := notReady()
		return search.Definition{}, &p
	}
	d, ok := s.Searches[name]
	if !ok {
		p := unknownSearch(clip(name))
		return d, &p
	}
	return d, nil
}

// empty tells whether there is no configuration to answer by. One without any
// search is there once the node is ready.
func (h *handler) empty(s *config.Snapshot) bool {
	return s == nil || s.Revision == 0 && h.c.Gate.Check().Reason == outcome.NotReady
}

// notReady is the problem of a node without a configuration.
func notReady() problemdetail.Detail {
	return problemdetail.New(outcome.NotRun(outcome.NotReady), "this node has no configuration yet; ask another")
}

// query answers one query.
func (h *handler) query(w http.ResponseWriter, r *http.Request) {
	begin := time.Now()
	a, p := h.readQuery(w, r, begin)
	if p != nil {
		refuse(w, r, *p)
		return
	}
	release := h.enter(w, r)
	if release == nil {
		return
	}
	defer release()
	ctx, cancel := remaining(r, a.Deadline)
	defer cancel()
	res := h.c.Engine.Ask(ctx, a)
	if h.c.Metrics != nil {
		h.c.Metrics.RecordQuery(a.Search, res, time.Since(begin))
	}
	// What the caller gets is decided by the ranges, whatever the flag says.
	res.Complete = res.Coverage.Complete()
	whole := res.Outcome.OK() && res.Complete
	part := res.Outcome.OK() && a.AcceptPartial && len(res.Coverage.Covered) > 0
	if whole || part {
		writeAnswer(w, res)
		return
	}
	h.c.Events.Emit(event.QueryRefused, a.Search, res.Outcome.String())
	refuse(w, r, withheld(a, res))
}

// readQuery reads and checks a query; nothing is dispatched for a problem.
func (h *handler) readQuery(w http.ResponseWriter, r *http.Request, now time.Time) (ask.Query, *problemdetail.Detail) {
	d, p := h.definition(r)
	if p != nil {
		return ask.Query{}, p
	}
	name, ok := callerName(r)
	if !ok {
		return ask.Query{}, bad("the X-Caller header is not a name; allowed: 1 to 63 of a-z 0-9 _ . -")
	}
	b, p := readBody(w, r, h.c.MaxBody)
	if p != nil {
		return ask.Query{}, p
	}
	a, p := decodeQuery(b, d, now)
	a.QueryID, a.Caller = newID(), name
	return a, p
}

// withheld is the problem of an answer that the caller must not get as one.
func withheld(a ask.Query, res ask.Answer) problemdetail.Detail {
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
	if o.Reason == outcome.IncompleteCoverage && allTimeout(res.Coverage) {
		d = d.WithStatus(http.StatusGatewayTimeout)
	}
	c := listed(res.Coverage)
	d.Coverage = &c
	return d
}

// allTimeout tells whether every gap is for lack of time.
func allTimeout(c coverage.Coverage) bool {
	for _, g := range c.Missing {
		if g.Reason != outcome.Timeout {
			return false
		}
	}
	return len(c.Missing) > 0
}

// listed puts empty lists in the place of nil ones, for JSON.
func listed(c coverage.Coverage) coverage.Coverage {
	if c.Covered == nil {
		c.Covered = []keyrange.Range{}
	}
	if c.Missing == nil {
		c.Missing = []coverage.Gap{}
	}
	return c
}

// writeAnswer sends an answer with a success status.
func writeAnswer(w http.ResponseWriter, res ask.Answer) {
	res.Coverage = listed(res.Coverage)
	if res.Hits == nil {
		res.Hits = []ask.Hit{}
	}
	problemdetail.WriteJSON(w, http.StatusOK, res)
}
