package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"go.uber.org/goleak"

	"egrethaven/internal/back/searcher"
	"egrethaven/internal/infra/vm"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// newBackend returns a backend for a searcher that serves requests with h.
func newBackend(t *testing.T, h http.HandlerFunc) *Backend {
	t.Helper()
	s := httptest.NewServer(h)
	b := New(Config{VM: vm.VM{ID: "s-1", Addr: s.Listener.Addr().String()}, MaxLinks: 2})
	t.Cleanup(func() { b.Close(); s.Close() })
	return b
}

// writeJSON writes v as the response body.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func query(attempt string) searcher.Query {
	return searcher.Query{QueryID: "q", AttemptID: attempt, Version: 3, Range: keyrange.Whole, Limit: 1}
}

// testContext returns a context with the timeout of a single call in a test.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func TestSearchOutcomes(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		var q searcher.Query
		if json.NewDecoder(r.Body).Decode(&q) != nil || q.DeadlineMS <= 0 {
			t.Error("request is not a valid query with a deadline")
		}
		a := searcher.Answer{QueryID: q.QueryID, AttemptID: q.AttemptID, Version: q.Version, Range: q.Range, Total: 7}
		switch q.AttemptID {
		case "crossed":
			a.AttemptID = "other"
		case "newer":
			a.Version++
		case "narrower":
			a.Range.Last--
		case "shed":
			writeJSON(w, http.StatusServiceUnavailable, searcher.Refusal{AttemptID: q.AttemptID, Reason: outcome.Shed})
			return
		case "foreign refusal":
			writeJSON(w, http.StatusServiceUnavailable, searcher.Refusal{AttemptID: "other", Reason: outcome.Shed})
			return
		case "cut":
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, http.StatusOK, a)
	})
	for attempt, want := range map[string]outcome.Outcome{
		"good":            outcome.OK(),
		"crossed":         outcome.Unknown(outcome.BadAnswer),
		"newer":           outcome.Unknown(outcome.BadAnswer),
		"narrower":        outcome.Unknown(outcome.BadAnswer),
		"shed":            outcome.NotRun(outcome.Shed),
		"foreign refusal": outcome.Unknown(outcome.BadAnswer),
		"cut":             outcome.Unknown(outcome.ConnectionLost),
	} {
		r := b.Search(testContext(t), query(attempt))
		if r.Outcome != want {
			t.Errorf("%s: %v, want %v", attempt, r.Outcome, want)
		}
		if (r.Answer.Total == 7) != want.OK() {
			t.Errorf("%s: answer returned: %+v", attempt, r.Answer)
		}
	}
	if n := b.DroppedAnswers(); n != 4 {
		t.Errorf("%d answers dropped, want 4", n)
	}
}

// TestWriteFailureWithoutRefusal checks that a write which failed with the status of a
// refusal counts as run, unless the body says that it has not.
func TestWriteFailureWithoutRefusal(t *testing.T) {
	for name, c := range map[string]struct {
		status int
		body   any
		want   outcome.Outcome
	}{
		"no statement":           {http.StatusServiceUnavailable, "failed", outcome.Unknown(outcome.BadAnswer)},
		"too many requests":      {http.StatusTooManyRequests, "failed", outcome.Unknown(outcome.BadAnswer)},
		"another call's refusal": {http.StatusServiceUnavailable, searcher.Refusal{AttemptID: "b", Reason: outcome.Shed}, outcome.Unknown(outcome.BadAnswer)},
		"refusal without a call": {http.StatusServiceUnavailable, searcher.Refusal{Reason: outcome.Shed}, outcome.Unknown(outcome.BadAnswer)},
		"refusal":                {http.StatusServiceUnavailable, searcher.Refusal{AttemptID: "a", Reason: outcome.Shed}, outcome.NotRun(outcome.Shed)},
	} {
		b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
			if r.URL.Path == searcher.WritePath {
				writeJSON(w, c.status, c.body)
			}
		})
		if r := b.Write(testContext(t), searcher.Write{AttemptID: "a"}); r.Outcome != c.want {
			t.Errorf("%s: %v, want %v", name, r.Outcome, c.want)
		}
	}
}

func TestCancelClosesConnection(t *testing.T) {
	arrived, canceled := make(chan bool, 1), make(chan bool, 1)
	b := newBackend(t, func(_ http.ResponseWriter, r *http.Request) {
		_ = json.NewDecoder(r.Body).Decode(&searcher.Query{})
		arrived <- true
		<-r.Context().Done()
		canceled <- true
	})
	ctx, cancel := context.WithCancel(testContext(t))
	go func() { <-arrived; cancel() }()
	if r := b.Search(ctx, query("a")); r.Outcome != outcome.Unknown(outcome.Canceled) {
		t.Fatalf("outcome %v", r.Outcome)
	}
	<-canceled
	if s := b.LinkStats(); s.Used != 0 {
		t.Fatalf("links after cancel: %+v", s)
	}
}

func TestDrainingTakesNoNewWork(t *testing.T) {
	b := newBackend(t, func(w http.ResponseWriter, r *http.Request) {
		var q searcher.Query
		_ = json.NewDecoder(r.Body).Decode(&q)
		writeJSON(w, http.StatusOK, searcher.Answer{QueryID: q.QueryID, AttemptID: q.AttemptID, Version: q.Version,
			Range: q.Range, Load: searcher.Load{Draining: true}})
	})
	if r := b.Search(testContext(t), query("a")); !r.Outcome.OK() {
		t.Fatalf("outcome %v", r.Outcome)
	}
	b.SetStatus(searcher.Status{ID: "s-1"})
	if r := b.Search(testContext(t), query("b")); r.Outcome != outcome.NotRun(outcome.Draining) {
		t.Fatalf("outcome %v after the searcher said that it drains", r.Outcome)
	}
}

func TestRefusedConnectionIsNotRun(t *testing.T) {
	s := httptest.NewServer(http.NotFoundHandler())
	s.Close()
	b := New(Config{VM: vm.VM{ID: "s-1", Addr: s.Listener.Addr().String()}})
	defer b.Close()
	if r := b.Search(testContext(t), query("a")); r.Outcome != outcome.NotRun(outcome.ConnectionRefused) {
		t.Fatalf("outcome %v", r.Outcome)
	}
}
