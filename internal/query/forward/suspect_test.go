package forward

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/instance"
	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/state/routing"
)

// crash is the answer of a searcher that crashes.
func crash(int, *http.Request) fakeAnswer { return fakeAnswer{disconnect: true} }

// newFanOut returns an engine with n shards of three searchers, all of which answer in the
// given way.
func newFanOut(t *testing.T, n int, answer func(int, *http.Request) fakeAnswer) *fixture {
	route := routing.Route{Name: "r", Host: "h", Prefix: "/", Idempotency: routing.Idempotent, MaxAttempts: 2,
		LatencyObjective: 100 * time.Millisecond, MinCoverage: 0.75, TopK: 1}
	searchers := map[string][]*fakeSearcher{}
	for i := range n {
		name := fmt.Sprint("s", i)
		route.Shards = append(route.Shards, name)
		for k := range 3 {
			searchers[name] = append(searchers[name], &fakeSearcher{id: fmt.Sprintf("%s-%d", name, k), answer: answer})
		}
	}
	fx := newFixture(t, []routing.Route{route}, searchers)
	synctest.Wait()
	return fx
}

// requests returns the number of requests that have reached searchers.
func (fx *fixture) requests() int {
	n := 0
	for _, s := range fx.searchers {
		n += s.requests()
	}
	return n
}

// suspect adds an incident with the test's request at each of the given services.
func (fx *fixture) suspect(trial bool, services ...string) {
	q := newRequest(0)
	var is []quarantine.Incident
	for _, s := range services {
		is = append(is, quarantine.Incident{Searcher: fmt.Sprint(s, "-", time.Now()), Service: s, At: time.Now(), Weight: 1, Trial: trial})
	}
	fx.engine.c.Guard.AddEvidence(q.fingerprint(""), is)
}

// TestSuspectRunsAloneFirst: a fan-out that had crashed searchers before was sent to all
// shards at once, and retried.
func TestSuspectRunsAloneFirst(t *testing.T) {
	for name, c := range map[string]struct {
		answer           func(int, *http.Request) fakeAnswer
		status, requests int
	}{
		"crashes again": {crash, http.StatusBadGateway, 1},
		"is answered":   {answerAfter(10*time.Millisecond, "0123456789abcdef"), http.StatusOK, 8},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fx := newFanOut(t, 8, c.answer)
				fx.suspect(false, "s3")
				got := fx.recordHandovers()
				q := newRequest(0)
				fingerprint := q.fingerprint("")
				a := fx.engine.Do(t.Context(), newRequest(time.Second))
				if a.Status != c.status || fx.requests() != c.requests || len(*got) > 0 {
					t.Errorf("status %d after %d requests and %d handovers, want %d after %d", a.Status, fx.requests(), len(*got), c.status, c.requests)
				}
				if a.Status == http.StatusOK && fx.engine.c.Guard.Verdict(fingerprint).Class == quarantine.Suspect {
					t.Error("still a suspect after an answer by the service that had lost a searcher")
				}
			})
		})
	}
}

// TestQuarantinedRequestIsRefusedAtOnce checks that nothing is sent, and that the client
// learns when to come back. Other requests are served.
func TestQuarantinedRequestIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFanOut(t, 4, answerAfter(10*time.Millisecond, "0123456789abcdef"))
		fx.suspect(false, "s0")
		fx.suspect(true, "s1", "s2")
		began := time.Now()
		a := fx.engine.Do(t.Context(), newRequest(time.Second))
		if a.Status != http.StatusServiceUnavailable || a.Reason != Quarantined || a.RetryAfter != quarantine.DefaultDuration || time.Since(began) > 0 || fx.requests() > 0 {
			t.Errorf("status %d, reason %q, Retry-After %s after %s and %d requests", a.Status, a.Reason, a.RetryAfter, time.Since(began), fx.requests())
		}
		q := newRequest(time.Second)
		q.Target = "/y"
		if a := fx.engine.Do(t.Context(), q); a.Status != http.StatusOK {
			t.Errorf("another request got status %d", a.Status)
		}
	})
}

// TestRetriesOfManyShardsWaitForTheFirst: a request that crashes searchers was retried on
// every shard, which took two searchers of each.
func TestRetriesOfManyShardsWaitForTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx := newFanOut(t, 42, crash)
		a := fx.engine.Do(t.Context(), newRequest(time.Second))
		if n := fx.requests(); a.Status != http.StatusBadGateway || n > 42+maxTrialLosses {
			t.Errorf("status %d after %d requests", a.Status, n)
		}
	})
}

// TestLostRackIsServedByRetries checks that a fan-out which loses a third of its searchers
// at once is still complete, and within its objective.
func TestLostRackIsServedByRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lost := true
		fx := newFanOut(t, 12, func(_ int, r *http.Request) fakeAnswer {
			if id := r.Header.Get("Expect"); lost && id[len(id)-1] == '0' {
				return fakeAnswer{disconnect: true}
			}
			return fakeAnswer{status: http.StatusOK, delay: 10 * time.Millisecond, body: "0123456789abcdef"}
		})
		for n := range 20 {
			q := newRequest(time.Second)
			q.Target = fmt.Sprint("/", n)
			began := time.Now()
			if a := fx.engine.Do(t.Context(), q); a.Status != http.StatusOK || a.Header.Get("Missing") != "0" || time.Since(began) > 60*time.Millisecond {
				t.Errorf("request %d: status %d, %s parts missing after %s", n, a.Status, a.Header.Get("Missing"), time.Since(began))
			}
			time.Sleep(500 * time.Millisecond)
		}
	})
}

// TestSuspectsWaitForEachOther: several arrivals of a request that crashes searchers at the
// same VM each took one.
func TestSuspectsWaitForEachOther(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		defer time.Sleep(lossDelay)
		fx := newFanOut(t, 4, func(int, *http.Request) fakeAnswer { return fakeAnswer{delay: 20 * time.Millisecond, disconnect: true} })
		for _, is := range fx.snapshot.Instances {
			for _, i := range is {
				// The process ends with its first request.
				i.Drain()
			}
		}
		fx.reconnect(t)
		fx.suspect(false, "s0")
		fx.suspect(true, "s1")
		statuses := make(chan int, 10)
		for range 10 {
			go func() { statuses <- fx.engine.Do(t.Context(), newRequest(time.Second)).Status }()
		}
		var got []int
		for range 10 {
			got = append(got, <-statuses)
		}
		slices.Sort(got)
		if fx.requests() != 1 || got[0] != http.StatusBadGateway || got[1] != http.StatusServiceUnavailable {
			t.Errorf("%d requests, statuses %v, want one request and 502, others 503", fx.requests(), got)
		}
	})
}

// reconnect replaces the connections to all searchers by such that report the end of a
// process to the guard with its first lost call.
func (fx *fixture) reconnect(t *testing.T) {
	for service, is := range fx.snapshot.Instances {
		for n, i := range is {
			s := i.Searcher()
			k := instance.New(instance.Config{Conns: instance.ConnLimits{MinOpen: 1, MaxOpen: 2}, Searcher: s, Dial: fx.dial})
			t.Cleanup(k.Close)
			fx.snapshot.Instances[service][n] = k
			fx.engine.c.Guard.SearcherEnded(s.Process())
		}
	}
	synctest.Wait()
}

// TestNoWakeAfterTrial: once two retries of a fan-out were lost, the time at which its trial
// would have been released stayed in the past, and the request's goroutine used the processor
// until the request ended.
func TestNoWakeAfterTrial(t *testing.T) {
	now := time.Now()
	x := &dispatch{route: &routing.Route{}, deadline: now.Add(time.Second), trial: &trial{losses: maxTrialLosses, releaseAt: now.Add(-time.Millisecond)}}
	if w := x.nextWake(now); w != x.deadline {
		t.Errorf("the request is woken %s after now, want at its deadline", w.Sub(now))
	}
}
