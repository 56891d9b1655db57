package forward

import (
	"context"
	"fmt"
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
		repeat routing.Idempotency
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
				w.snap.Instances["s"][1].RecordOutcome(2, 0, 0)
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

// TestFanOut plays one fan-out over four shards, of which some have searchers
// that fail in one way, and checks the coverage and the time of the answer.
func TestFanOut(t *testing.T) {
	const part, other = "0123456789abcdef", "zzzzzzzzzzzzzzzz"
	silent := func(int, *http.Request) fakeAnswer { return fakeAnswer{after: time.Hour, cut: true} }
	fail := func(int, *http.Request) fakeAnswer { return fakeAnswer{status: http.StatusInternalServerError} }
	for name, c := range map[string]struct {
		bad      func(int, *http.Request) fakeAnswer
		shards   int
		coverage float64
		status   int
		missing  string
		within   time.Duration
	}{
		"complete":                        {nil, 0, 1, http.StatusOK, "0", 15 * time.Millisecond},
		"one replica silent":              {silent, 0, 1, http.StatusOK, "0", 60 * time.Millisecond},
		"a shard fails, enough are in":    {fail, 1, 0.75, http.StatusOK, "1", 15 * time.Millisecond},
		"a shard fails, all are needed":   {fail, 1, 1, http.StatusBadGateway, "", 15 * time.Millisecond},
		"a shard is silent, enough in":    {silent, 1, 0.75, http.StatusOK, "1", 80 * time.Millisecond},
		"a shard is silent, all needed":   {silent, 1, 1, http.StatusGatewayTimeout, "", 300 * time.Millisecond},
		"two shards silent, one too many": {silent, 2, 0.75, http.StatusGatewayTimeout, "", 300 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				searchers := map[string][]*fakeSearcher{}
				for i := range 4 {
					a := &fakeSearcher{id: fmt.Sprintf("i-%d-a", i), answer: served(10*time.Millisecond, part)}
					b := &fakeSearcher{id: fmt.Sprintf("i-%d-b", i), answer: served(10*time.Millisecond, other)}
					if i < c.shards {
						a.answer, b.answer = c.bad, c.bad
					} else if c.shards == 0 && c.bad != nil && i == 0 {
						a.answer = c.bad
					}
					searchers[fmt.Sprintf("s%d", i)] = []*fakeSearcher{a, b}
				}
				r := fanOut(4)
				r.MinCoverage = c.coverage
				w := newWorld(t, []routing.Route{r}, searchers)
				synctest.Wait()
				q := request(300 * time.Millisecond)
				a := w.e.Do(t.Context(), q)
				if took := time.Since(q.Arrived); a.Status != c.status || a.Header.Get("Missing") != c.missing || took > c.within {
					t.Errorf("got %d (%s), %q missing, after %s; want %d, %q missing, within %s",
						a.Status, a.Reason, a.Header.Get("Missing"), took, c.status, c.missing, c.within)
				}
				if a.Status == http.StatusOK && len(a.Body) != min(4-c.shards, r.TopK)*16 {
					t.Errorf("%d bytes of records", len(a.Body))
				}
			})
		})
	}
}

// TestShardLeftAlone asks again once the searchers of a shard are known not
// to answer: with enough others the answer comes without waiting for them,
// else the request is refused before anything is sent.
func TestShardLeftAlone(t *testing.T) {
	for name, c := range map[string]struct {
		coverage float64
		status   int
	}{"enough others": {0.75, http.StatusOK}, "all are needed": {1, http.StatusServiceUnavailable}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				searchers := map[string][]*fakeSearcher{}
				for i := range 4 {
					s := &fakeSearcher{id: fmt.Sprintf("i-%d", i), answer: served(10*time.Millisecond, "0123456789abcdef")}
					if i == 0 {
						s.answer = func(int, *http.Request) fakeAnswer { return fakeAnswer{after: time.Hour, cut: true} }
					}
					searchers[fmt.Sprintf("s%d", i)] = []*fakeSearcher{s}
				}
				r := fanOut(4)
				r.MinCoverage = c.coverage
				w := newWorld(t, []routing.Route{r}, searchers)
				synctest.Wait()
				w.e.Do(t.Context(), request(300*time.Millisecond))
				time.Sleep(300 * time.Millisecond)
				before := w.searchers["i-1"].requests()
				q := request(300 * time.Millisecond)
				a := w.e.Do(t.Context(), q)
				if took := time.Since(q.Arrived); a.Status != c.status || took > 15*time.Millisecond {
					t.Errorf("got %d (%s) after %s, want %d at once", a.Status, a.Reason, took, c.status)
				}
				if sent := w.searchers["i-1"].requests() > before; sent != (c.status == http.StatusOK) {
					t.Errorf("sent to the other shards: %v", sent)
				}
			})
		})
	}
}

// TestClientLeaves ends work for a client that has left, unless the request
// may run once only: that one is let run to its end.
func TestClientLeaves(t *testing.T) {
	for repeat, want := range map[routing.Idempotency]int{routing.Idempotent: 1, routing.AtMostOnce: 0} {
		synctest.Test(t, func(t *testing.T) {
			s := &fakeSearcher{id: "s-1", answer: served(time.Second, "good")}
			w := newWorld(t, []routing.Route{plain(repeat)}, map[string][]*fakeSearcher{"s": {s}})
			synctest.Wait()
			ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
			defer cancel()
			if a := w.e.Do(ctx, request(2*time.Second)); a.Reason != ClientGone {
				t.Errorf("got %d (%s)", a.Status, a.Reason)
			}
			time.Sleep(1500 * time.Millisecond)
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.brokenOff != want {
				t.Errorf("repeat %v: %d answers broken off, want %d", repeat, s.brokenOff, want)
			}
		})
	}
}
