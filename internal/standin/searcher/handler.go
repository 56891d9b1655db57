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

// ControlPath takes a Control.
const ControlPath = "/control"

// maxBody bounds a request, in bytes.
const maxBody = 1 << 20

// poisonDelay is how long a poisonous request runs before the crash.
const poisonDelay = 5 * time.Millisecond

// routes returns the handler of the dialect.
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
	if !s.thawed() || !read(w, r, &q) {
		return
	}
	ref := back.Refusal{QueryID: q.QueryID, AttemptID: q.AttemptID}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(q.DeadlineMS)*time.Millisecond)
	defer cancel()
	if !s.begin(ctx, w, ref) {
		return
	}
	defer s.release()
	if reason := s.holds(q.Version, q.Range); reason != outcome.None {
		s.refuse(w, ref, reason)
		return
	}
	s.c.Truth.RecordRun(q.QueryID)
	if s.poisoned(q.Text) || !s.work(ctx) {
		gone(ctx, w)
		return
	}
	hits, total := s.c.Truth.Search(q.Version, q.Range, dataset.Query{
		SchemaVersions: q.SchemaVersions, Text: q.Text, Filters: q.Filters, Limit: q.Limit,
	})
	answer(w, http.StatusOK, back.Answer{
		QueryID: q.QueryID, AttemptID: q.AttemptID, Version: q.Version, Range: q.Range,
		Hits: hits, Total: total, Load: s.Load(),
	})
}

func (s *Searcher) handleWrite(w http.ResponseWriter, r *http.Request) {
	var q back.Write
	if !s.thawed() || !read(w, r, &q) {
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
	defer s.release()
	rev, ok := s.c.Truth.Write(q.IdempotencyKey, q.Record)
	s.mu.Lock()
	s.stats.Writes++
	s.mu.Unlock()
	poison := false
	for _, v := range q.Record.Fields {
		poison = poison || s.poisoned(v)
	}
	if poison || !s.work(ctx) {
		gone(ctx, w)
		return
	}
	a := back.WriteAnswer{AttemptID: q.AttemptID, Accepted: ok, Revision: rev, Load: s.Load()}
	if !ok {
		a.Detail = "the record has no key"
	}
	answer(w, http.StatusOK, a)
}

func (s *Searcher) handleStatus(w http.ResponseWriter, _ *http.Request) {
	if s.thawed() {
		answer(w, http.StatusOK, s.Status())
	}
}

func (s *Searcher) handleControl(w http.ResponseWriter, r *http.Request) {
	var c Control
	if read(w, r, &c) {
		s.Control(c)
		w.WriteHeader(http.StatusNoContent)
	}
}

// begin admits a request and gives it a slot, or refuses it.
func (s *Searcher) begin(ctx context.Context, w http.ResponseWriter, ref back.Refusal) bool {
	if reason := s.arrive(); reason != outcome.None {
		s.refuse(w, ref, reason)
		return false
	}
	if reason := s.acquire(ctx); reason != outcome.None {
		s.leave()
		s.refuse(w, ref, reason)
		return false
	}
	return true
}

// holds tells why a range of a version can't be served, if it can't.
func (s *Searcher) holds(version uint64, r keyrange.Range) outcome.Reason {
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

// poisoned crashes the searcher if the text has the poison.
func (s *Searcher) poisoned(text string) bool {
	if s.c.PoisonText == "" || !strings.Contains(text, s.c.PoisonText) {
		return false
	}
	time.Sleep(poisonDelay)
	s.Crash(s.c.PoisonDowntime)
	return true
}

// refuse answers that a request did not run.
func (s *Searcher) refuse(w http.ResponseWriter, ref back.Refusal, reason outcome.Reason) {
	s.mu.Lock()
	s.stats.Refused++
	s.mu.Unlock()
	ref.Reason, ref.Load = reason, s.Load()
	status := http.StatusServiceUnavailable
	if reason == outcome.VersionGone || reason == outcome.NoReplica {
		status = http.StatusConflict
	}
	answer(w, status, ref)
}

// gone ends a request that ran without an answer: past its deadline, or
// because the searcher stopped.
func gone(ctx context.Context, w http.ResponseWriter) {
	if ctx.Err() == context.DeadlineExceeded {
		http.Error(w, "deadline passed while the request ran", http.StatusGatewayTimeout)
		return
	}
	panic(http.ErrAbortHandler)
}

// read decodes the body of a request, or answers 400.
func read(w http.ResponseWriter, r *http.Request, v any) bool {
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody)).Decode(v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

// answer sends v in JSON.
func answer(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(b)
}
