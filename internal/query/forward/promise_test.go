package forward

import (
	"net/http"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/state/routing"
)

// TestFailureThatLooksLikeRefusal: a searcher's failure with a status that promises that the
// request has not run was passed on, so that the client sent it again and it ran twice.
func TestFailureThatLooksLikeRefusal(t *testing.T) {
	for _, status := range []int{http.StatusRequestTimeout, http.StatusTooManyRequests, http.StatusServiceUnavailable} {
		for _, repeat := range []routing.Idempotency{routing.AtMostOnce, routing.Idempotent} {
			for _, signed := range []bool{true, false} {
				t.Run(strconv.Itoa(status), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) {
						fail := func(int, *http.Request) fakeAnswer {
							return fakeAnswer{delay: 10 * time.Millisecond, status: status, body: "failed", noStamp: !signed}
						}
						ss := []*fakeSearcher{{id: "s-1", answer: fail}, {id: "s-2", answer: fail}}
						fx := newFixture(t, []routing.Route{plainRoute(repeat)}, map[string][]*fakeSearcher{"s": ss})
						synctest.Wait()
						a := fx.engine.Do(t.Context(), newRequest(time.Second))
						want := map[routing.Idempotency]int{routing.AtMostOnce: 1, routing.Idempotent: 2}[repeat]
						if n := ss[0].requests() + ss[1].requests(); n != want {
							t.Errorf("%d searchers ran the request, want %d", n, want)
						}
						if a.Status != http.StatusBadGateway || a.Header.Get("Stamp") != "" || len(a.Body) > 0 {
							t.Errorf("signed %t, repeat %v: got %d %q with the signature %q, want an unsigned 502", signed, repeat, a.Status, a.Body, a.Header.Get("Stamp"))
						}
					})
				})
			}
		}
	}
}

// TestFailureIsPassedOnBesideRefusal checks that of two failures the client gets the one
// whose status promises nothing.
func TestFailureIsPassedOnBesideRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		n := 0
		fail := func(int, *http.Request) fakeAnswer {
			if n++; n == 1 {
				return fakeAnswer{status: http.StatusServiceUnavailable}
			}
			return fakeAnswer{status: http.StatusInternalServerError, body: "failed"}
		}
		ss := []*fakeSearcher{{id: "s-1", answer: fail}, {id: "s-2", answer: fail}}
		fx := newFixture(t, []routing.Route{plainRoute(routing.Idempotent)}, map[string][]*fakeSearcher{"s": ss})
		synctest.Wait()
		a := fx.engine.Do(t.Context(), newRequest(time.Second))
		if a.Status != http.StatusInternalServerError || string(a.Body) != "failed" {
			t.Errorf("got %d %q, want the second searcher's failure", a.Status, a.Body)
		}
	})
}
