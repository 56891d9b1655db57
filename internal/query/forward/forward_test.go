package forward

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/state/routing"
)

// TestNoPromiseForAnAnswerInHand ends a request at the moment at which the
// searcher's failure has come in but was not looked at: the request has run,
// so it must not be refused as not run.
func TestNoPromiseForAnAnswerInHand(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &fakeSearcher{id: "s-1", answer: func(int, *http.Request) fakeAnswer {
			return fakeAnswer{after: 10 * time.Millisecond, status: http.StatusGatewayTimeout}
		}}
		w := newWorld(t, []routing.Route{plain(routing.AtMostOnce)}, map[string][]*fakeSearcher{"s": {s}})
		synctest.Wait()
		x := w.e.newRun(request(time.Second), w.snap, &w.snap.Config.Routes[0])
		x.parts[0].first(time.Now())
		time.Sleep(20 * time.Millisecond)
		synctest.Wait()
		if len(x.events) != 1 {
			t.Fatalf("%d events, want the answer in hand", len(x.events))
		}
		if a := x.fail(x.end); a.Status == http.StatusServiceUnavailable {
			t.Fatalf("refused with %d as not run, but %d requests ran", a.Status, s.requests())
		}
	})
}

// TestPlain plays one request for each thing that a searcher may do, and
// checks what the client gets and how often the request was sent.
func TestPlain(t *testing.T) {
	ok := served(10*time.Millisecond, "good")
	fail := func(int, *http.Request) fakeAnswer {
		return fakeAnswer{after: 10 * time.Millisecond, status: http.StatusInternalServerError, body: "bad"}
	}
	shed := func(int, *http.Request) fakeAnswer {
		return fakeAnswer{status: http.StatusServiceUnavailable, notRun: true}
	}
	cut := func(int, *http.Request) fakeAnswer { return fakeAnswer{after: 10 * time.Millisecond, cut: true} }
	unsigned := func(int, *http.Request) fakeAnswer {
		return fakeAnswer{status: http.StatusOK, body: "forged", noStamp: true}
	}
	foreign := func(int, *http.Request) fakeAnswer {
		return fakeAnswer{status: http.StatusOK, body: "theirs", id: "other"}
	}
	unnamed := func(int, *http.Request) fakeAnswer {
		return fakeAnswer{status: http.StatusOK, body: "theirs", unnamed: true}
	}
	moved := func(int, *http.Request) fakeAnswer { return fakeAnswer{status: http.StatusMisdirectedRequest} }
	teapot := func(int, *http.Request) fakeAnswer { return fakeAnswer{status: http.StatusTeapot, body: "no"} }
	silent := func(int, *http.Request) fakeAnswer { return fakeAnswer{after: time.Hour, cut: true} }
	for name, c := range map[string]struct {
		repeat routing.Repeat
		first  func(int, *http.Request) fakeAnswer
		status int
		body   string
		sends  int
	}{
		"served":                       {routing.AtMostOnce, ok, http.StatusOK, "good", 1},
		"failed, repeatable":           {routing.Idempotent, fail, http.StatusOK, "good", 2},
		"failed, once only":            {routing.AtMostOnce, fail, http.StatusInternalServerError, "bad", 1},
		"refused, once only":           {routing.AtMostOnce, shed, http.StatusOK, "good", 2},
		"moved, once only":             {routing.AtMostOnce, moved, http.StatusOK, "good", 2},
		"cut, repeatable":              {routing.Idempotent, cut, http.StatusOK, "good", 2},
		"cut, once only":               {routing.AtMostOnce, cut, http.StatusBadGateway, "", 1},
		"unsigned, repeatable":         {routing.Idempotent, unsigned, http.StatusOK, "good", 2},
		"unsigned, once only":          {routing.AtMostOnce, unsigned, http.StatusBadGateway, "", 1},
		"foreign answer, repeatable":   {routing.Idempotent, foreign, http.StatusOK, "good", 2},
		"foreign answer, once only":    {routing.AtMostOnce, foreign, http.StatusGatewayTimeout, "", 1},
		"unnamed answer, repeatable":   {routing.Idempotent, unnamed, http.StatusOK, "good", 2},
		"unnamed answer, once only":    {routing.AtMostOnce, unnamed, http.StatusGatewayTimeout, "", 1},
		"the request's fault":          {routing.Idempotent, teapot, http.StatusTeapot, "no", 1},
		"silent, repeatable":           {routing.Idempotent, silent, http.StatusOK, "good", 2},
		"silent, once only":            {routing.AtMostOnce, silent, http.StatusGatewayTimeout, "", 1},
		"refused by all, repeatable":   {routing.Idempotent, nil, http.StatusServiceUnavailable, "", 2},
		"refused by all, once only":    {routing.AtMostOnce, nil, http.StatusServiceUnavailable, "", 2},
		"served late, still in time":   {routing.AtMostOnce, served(700*time.Millisecond, "late"), http.StatusOK, "late", 1},
		"served after the client left": {routing.AtMostOnce, served(1500*time.Millisecond, "late"), http.StatusGatewayTimeout, "", 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				a, b := &fakeSearcher{id: "s-1", answer: c.first}, &fakeSearcher{id: "s-2", answer: ok}
				if c.first == nil {
					a.answer, b.answer = shed, shed
				}
				w := newWorld(t, []routing.Route{plain(c.repeat)}, map[string][]*fakeSearcher{"s": {a, b}})
				synctest.Wait()
				// The second searcher looks worse, so the first is chosen.
				w.snap.Instances["s"][1].Learn(2, 0, 0)
				if w.snap.Instances["s"][0].Searcher().ID != "s-1" {
					t.Fatal("the searchers are in another order")
				}
				got := w.e.Do(t.Context(), request(time.Second))
				if got.Status != c.status || string(got.Body) != c.body || a.requests()+b.requests() != c.sends {
					t.Errorf("got %d %q (%s) after %d sends, want %d %q after %d",
						got.Status, got.Body, got.Reason, a.requests()+b.requests(), c.status, c.body, c.sends)
				}
				if got.Status == http.StatusServiceUnavailable && got.RetryAfter == 0 {
					t.Error("refused without saying when to come back")
				}
			})
		})
	}
}
