package forward

import (
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/state/routing"
)

// TestCopyOfRejection guards against a late copy of a rejection that passes for the answer to
// another send of the same attempt: the client got 503 for a request that ran, or it ran twice.
func TestCopyOfRejection(t *testing.T) {
	for _, idempotency := range []routing.Idempotency{routing.AtMostOnce, routing.Idempotent} {
		for searchers := 1; searchers <= 2; searchers++ {
			for rejections := 1; rejections <= 4; rejections++ {
				t.Run(fmt.Sprintf("idempotency %v, %d searchers, %d rejections", idempotency, searchers, rejections), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { checkCopies(t, idempotency, searchers, rejections) })
				})
			}
		}
	}
}

// checkCopies sends a request that is rejected some times, each time with a copy, and then runs.
func checkCopies(t *testing.T, idempotency routing.Idempotency, searchers, rejections int) {
	var received, runs atomic.Int64
	answer := func(int, *http.Request) fakeAnswer {
		if int(received.Add(1)) <= rejections {
			return fakeAnswer{status: http.StatusServiceUnavailable, notRun: true, noStamp: true, copied: true}
		}
		runs.Add(1)
		return fakeAnswer{delay: 10 * time.Millisecond, status: http.StatusOK, body: "done"}
	}
	var ss []*fakeSearcher
	for n := range searchers {
		ss = append(ss, &fakeSearcher{id: fmt.Sprint("s-", n), answer: answer})
	}
	route := plainRoute(idempotency)
	route.MaxAttempts = rejections + 1
	fx := newFixture(t, []routing.Route{route}, map[string][]*fakeSearcher{"s": ss})
	synctest.Wait()
	a := fx.engine.Do(t.Context(), newRequest(4*time.Second))
	time.Sleep(time.Second)
	n := int(runs.Load())
	if PromisesNotRun(a.Status) && n > 0 {
		t.Errorf("answered %d after %d runs", a.Status, n)
	}
	if n > 1 && idempotency == routing.AtMostOnce {
		t.Errorf("ran %d times", n)
	}
	if a.Status != http.StatusOK {
		t.Errorf("answered %d (%s), with a send left for a searcher that is free", a.Status, a.Reason)
	}
}

// TestRequestHandedOverAgain: another VM may hand a request over again after it lost the answer,
// and a send of this VM must not take a copy of an earlier rejection for its answer.
func TestRequestHandedOverAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// There are two connections to the searcher.
		const rejections = 2
		runs := 0
		s := &fakeSearcher{id: "s-0", answer: func(n int, _ *http.Request) fakeAnswer {
			if n <= rejections {
				return fakeAnswer{status: http.StatusServiceUnavailable, notRun: true, noStamp: true, copied: true}
			}
			runs++
			return fakeAnswer{delay: 10 * time.Millisecond, status: http.StatusOK, body: "done"}
		}}
		route := plainRoute(routing.AtMostOnce)
		route.MaxAttempts = 1
		fx := newFixture(t, []routing.Route{route}, map[string][]*fakeSearcher{"s": {s}})
		synctest.Wait()
		status := 0
		for range rejections + 1 {
			q := newRequest(4 * time.Second)
			q.ID, q.HandedOver = "a", true
			status = fx.engine.Do(t.Context(), q).Status
		}
		if status != http.StatusOK || runs != 1 {
			t.Errorf("the last was answered %d after %d runs, want 200 after one", status, runs)
		}
	})
}
