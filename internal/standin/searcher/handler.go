package searcher

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"
	"time"

	back "egrethaven/internal/back/searcher"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/standin/dataset"

	"github.com/gorilla/mux"
)

// ControlPath accepts POST requests with a Control in JSON.
const ControlPath = "/control"

// maxBodyBytes limits the size of a request body.
const maxBodyBytes = 1 << 20

// poisonDelay is how long a request with PoisonText runs before the crash.
const poisonDelay = 5 * time.Millisecond

// routes returns the HTTP handler of the searcher.
func (s *Searcher) routes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc(back.SearchPath, s.handleSearch).Methods(http.MethodPost)
	r.HandleFunc(back.WritePath, s.handleWrite).Methods(http.MethodPost)
	r.HandleFunc(back.StatusPath, s.handleStatus).Methods(http.MethodGet)
	r.HandleFunc(ControlPath, s.handleControl).Methods(http.MethodPost)
	return r
}

func (s *Searcher) handleSearch(w http.ResponseWriter, r *http.Request) {
	var q back.Query
	if !s.waitUntilThawed() || !readJSON(w, r, &q) {
		return
	}
	ref := back.Refusal{QueryID: q.QueryID, AttemptID: q.AttemptID}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(q.DeadlineMS)*time.Millisecond)
	defer cancel()
	if !s.begin(ctx, w, ref) {
		return
	}
	defer s.releaseSlot()
	if reason := s.checkHolding(q.Version, q.Range); reason != outcome.None {
		s.refuse(w, ref, reason)
		return
	}
	s.c.Truth.RecordRun(q.QueryID)
	if s.crashIfPoisoned(q.Text) || !s.execute(ctx) {
		abort(ctx, w)
		return
	}
	hits, total := s.c.Truth.Search(q.Version, q.Range, dataset.Query{
		SchemaVersions: q.SchemaVersions, Text: q.Text, Filters: q.Filters, Limit: q.Limit,
	})
	writeJSON(w, http.StatusOK, back.Answer{
		QueryID: q.QueryID, AttemptID: q.AttemptID, Version: q.Version, Range: q.Range,
		Hits: hits, Total: total, Load: s.Load(),
	})
}

func (s *Searcher) handleWrite(w http.ResponseWriter, r *http.Request) {
	var q back.Write
	if !s.waitUntilThawed() || !readJSON(w, r, &q) {
		return
	}
	ref := back.Refusal{AttemptID: q.AttemptID}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(q.DeadlineMS)*time.Millisecond)
	defer cancel()
	if !s.c.Writes {
		s.refuse(w, ref, outcome.NoReplica)
		return
	}
	if !s.begin(ctx, w, ref) {
		return
	}
	defer s.releaseSlot()
	rev, ok := s.c.Truth.Write(q.IdempotencyKey, q.Record)
	s.mu.Lock()
	s.stats.Writes++
	s.mu.Unlock()
	poisoned := false
	for _, v := range q.Record.Fields {
		poisoned = poisoned || s.crashIfPoisoned(v)
	}
	if poisoned || !s.execute(ctx) {
		abort(ctx, w)
		return
	}
	a := back.WriteAnswer{AttemptID: q.AttemptID, Accepted: ok, Revision: rev, Load: s.Load()}
	if !ok {
		a.Detail = "the record has no key"
	}
	writeJSON(w, http.StatusOK, a)
}

func (s *Searcher) handleStatus(w http.ResponseWriter, _ *http.Request) {
	if s.waitUntilThawed() {
		writeJSON(w, http.StatusOK, s.Status())
	}
}

func (s *Searcher) handleControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if readJSON(w, r, &c) {
		s.Control(c)
		w.WriteHeader(http.StatusNoContent)
	}
}

// begin admits a request and waits for a slot, or refuses it and returns
// false.
func (s *Searcher) begin(ctx context.Context, w http.ResponseWriter, ref back.Refusal) bool {
	if reason := s.admitRequest(); reason != outcome.None {
		s.refuse(w, ref, reason)
		return false
	}
	if reason := s.acquireSlot(ctx); reason != outcome.None {
		s.releaseAdmission()
		s.refuse(w, ref, reason)
		return false
	}
	return true
}

// checkHolding returns outcome.None if range r of a version is held,
// NoReplica if only the version is, and VersionGone otherwise.
func (s *Searcher) checkHolding(version uint64, r keyrange.Range) outcome.Reason {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.holdings {
		if h.Version != version {
			continue
		}
		for _, o := range h.Ranges {
			if o.Covers(r) {
				return outcome.None
			}
		}
		return outcome.NoReplica
	}
	return outcome.VersionGone
}

// crashIfPoisoned crashes the searcher and returns true if text contains
// PoisonText.
func (s *Searcher) crashIfPoisoned(text string) bool {
	if s.c.PoisonText == "" || !strings.Contains(text, s.c.PoisonText) {
		return false
	}
	time.Sleep(poisonDelay)
	s.Crash(s.c.PoisonDowntime)
	return true
}

// refuse sends a Refusal: the request did not run.
func (s *Searcher) refuse(w http.ResponseWriter, ref back.Refusal, reason outcome.Reason) {
	s.mu.Lock()
	s.stats.Refused++
	s.mu.Unlock()
	ref.Reason, ref.Load = reason, s.Load()
	status := http.StatusServiceUnavailable
	if reason == outcome.VersionGone || reason == outcome.NoReplica {
		status = http.StatusConflict
	}
	writeJSON(w, status, ref)
}

// abort ends a request that started without an answer: with 504 past its
// deadline, or by closing the connection if the searcher stopped.
func abort(ctx context.Context, w http.ResponseWriter) {
	if ctx.Err() == context.DeadlineExceeded {
		http.Error(w, "deadline passed while the request ran", http.StatusGatewayTimeout)
		return
	}
	panic(http.ErrAbortHandler)
}

// readJSON decodes the request body into v. On an error it answers 400 and
// returns false.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// writeJSON sends v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
