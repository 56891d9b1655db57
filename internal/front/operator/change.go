package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"mime"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"github.com/juju/errors"

	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/problem"
)

const (
	// maxChange bounds the body of a change, in bytes.
	maxChange = 1 << 20
	// maxWait bounds how long an answer waits for all nodes.
	maxWait = time.Minute
	// longestAuthor bounds the name of an author, in bytes.
	longestAuthor = 128
	// longestID bounds a change id, in bytes.
	longestID = 64
)

// change creates, replaces and deletes searches.
func (h *handler) change(w http.ResponseWriter, r *http.Request) {
	// A browser asks before it sends this type to another site.
	if m, _, err := mime.ParseMediaType(r.Header.Get("Content-Type")); err != nil || m != "application/json" {
		refuse(w, r, problemdetail.BadRequest("the Content-Type is not application/json").WithStatus(http.StatusUnsupportedMediaType))
		return
	}
	b, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxChange))
	if err != nil {
		refuse(w, r, problemdetail.BadRequest("the body is too large or did not arrive whole; allowed: at most 1048576 bytes").WithStatus(http.StatusRequestEntityTooLarge))
		return
	}
	var c config.Change
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		refuse(w, r, problemdetail.BadRequest("the body cannot be read: "+err.Error()))
		return
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		refuse(w, r, problemdetail.BadRequest("the body has more after its JSON object"))
		return
	}
	h.apply(w, r, c)
}

// remove deletes one search.
func (h *handler) remove(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	c := config.Change{ID: q.Get("change_id"), Author: q.Get("author"), Delete: []string{mux.Vars(r)["search"]}}
	if s := q.Get("expect_revision"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			refuse(w, r, problemdetail.BadRequest("expect_revision is not a whole number"))
			return
		}
		c.ExpectedRevision = n
	}
	h.apply(w, r, c)
}

// apply checks a change, makes it, and waits for all nodes if asked to.
func (h *handler) apply(w http.ResponseWriter, r *http.Request, c config.Change) {
	wait, err := waitOf(r)
	if err != nil {
		refuse(w, r, problemdetail.BadRequest(err.Error()))
		return
	}
	if ps := check(c); len(ps) > 0 {
		d := problemdetail.BadRequest("the change is not valid; nothing was written")
		d.Problems = ps
		h.refuseChange(w, r, d, config.Result{Verdict: config.Refused, ChangeID: c.ID, Problems: problem.Strings(ps)})
		return
	}
	if c.ID == "" {
		c.ID = uuid.NewString()
	}
	if c.Author == "" {
		c.Author = "operator"
	}
	h.c.Events.Emit(event.OperatorChanged, c.Author, "change "+c.ID)
	res := h.c.Configs.Apply(r.Context(), c)
	switch res.Verdict {
	case config.Accepted, config.Unchanged:
		problemdetail.WriteJSON(w, http.StatusOK, h.waited(r.Context(), res, wait))
	case config.Conflict:
		h.refuseChange(w, r, problemdetail.BadRequest("another change came first; look at the difference and apply again").WithStatus(http.StatusConflict), res)
	case config.Refused:
		h.refuseChange(w, r, problemdetail.BadRequest("the change is not valid; nothing was written"), res)
	case config.StoreDown:
		h.refuseChange(w, r, problemdetail.New(outcome.NotRun(outcome.StoreDown), "the platform's store cannot be reached; nothing was written"), res)
	default:
		h.refuseChange(w, r, problemdetail.New(outcome.Unknown(outcome.Timeout), "it is not known whether the change was made; apply it again with the same change id"), res)
	}
}

// refuseChange answers with a problem and the result of the change.
func (h *handler) refuseChange(w http.ResponseWriter, r *http.Request, d problemdetail.Detail, res config.Result) {
	d.Instance = r.URL.Path
	b, err := json.Marshal(Refused{Detail: d, Result: res})
	if err != nil {
		problemdetail.Write(w, d)
		return
	}
	w.Header().Set("Content-Type", problemdetail.ContentType)
	w.WriteHeader(d.Status)
	_, _ = w.Write(b) // an operator who is gone needs no answer
}

// waited waits until all live nodes have the change in force.
func (h *handler) waited(ctx context.Context, res config.Result, wait time.Duration) Applied {
	a := Applied{Result: res}
	if wait <= 0 {
		return a
	}
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	a.Waited = true
	a.Behind = h.c.Fleet.Wait(ctx, res.Revision)
	return a
}

// waitOf reads how long the answer may wait for all nodes.
func waitOf(r *http.Request) (time.Duration, error) {
	s := r.URL.Query().Get("wait")
	if s == "" {
		return 0, nil
	}
	d, err := time.ParseDuration(s)
	if err != nil || d < 0 || d > maxWait {
		return 0, errors.NotValidf("wait; allowed: a time such as 3s, at most %s; wait", maxWait)
	}
	return d, nil
}

// check returns every problem of a change.
func check(c config.Change) []problem.Problem {
	var ps []problem.Problem
	if len(c.Put)+len(c.Delete) == 0 {
		ps = append(ps, problem.Problem{Message: "the change is empty", Allowed: "at least one search in put or delete"})
	}
	if len(c.Author) > longestAuthor {
		ps = append(ps, problem.Problem{Key: "author", Message: "the name is too long", Allowed: "at most 128 bytes"})
	}
	if len(c.ID) > longestID {
		ps = append(ps, problem.Problem{Key: "change_id", Message: "the id is too long", Allowed: "at most 64 bytes"})
	}
	for _, d := range c.Put {
		ps = append(ps, d.Validate()...)
	}
	return append(ps, repeated(c)...)
}

// repeated returns a problem for each search that a change names twice.
func repeated(c config.Change) []problem.Problem {
	seen := make(map[string]bool)
	names := append([]string{}, c.Delete...)
	for _, d := range c.Put {
		names = append(names, d.Name)
	}
	var ps []problem.Problem
	for _, n := range names {
		if seen[n] {
			ps = append(ps, problem.Problem{Section: n, Message: "the search is named twice in one change"})
		}
		seen[n] = true
	}
	return ps
}
