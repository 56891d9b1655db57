package forward

import (
	"maps"
	"net/http"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"egrethaven/internal/back/conn"
	"egrethaven/internal/back/crashguard"
	"egrethaven/internal/back/healthscore"
	"egrethaven/internal/back/instance"
	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/query/explain"
	"egrethaven/internal/query/retrypool"
	"egrethaven/internal/query/shedding"
	"egrethaven/internal/state/account"
	"egrethaven/internal/state/routing"
)

// best returns the searchers of a shard that a report names as chosen, and those that are as
// good, among which a request chooses at random.
func best(s explain.Shard) (ids []string) {
	for _, c := range s.Searchers {
		if c.Chosen || c.Why == "as good as the chosen one" {
			ids = append(ids, c.ID)
		}
	}
	return ids
}

// counted returns the sends that the retry budgets count, by service.
func (fx *fixture) counted() map[string]retrypool.Usage {
	out := map[string]retrypool.Usage{}
	for _, u := range fx.engine.Usage(time.Now()) {
		out[u.Service] = u
	}
	return out
}

// TestExplain: a report must name what the next request does, and change nothing: no request
// is sent, no limit, budget or share of a split is used.
func TestExplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fanOut, split, once := plainRoute(routing.Idempotent), plainRoute(routing.Idempotent), plainRoute(routing.AtMostOnce)
		fanOut.Name, fanOut.Prefix, fanOut.WeightedServices, fanOut.Shards, fanOut.MinCoverage, fanOut.TopK = "f", "/f/", nil, []string{"s", "t"}, 1, 1
		split.Name, split.Prefix, split.WeightedServices = "split", "/split/", []routing.WeightedService{{Service: "s", Weight: 2}, {Service: "t", Weight: 1}}
		once.Name, once.Prefix, once.WeightedServices = "once", "/once/", []routing.WeightedService{{Service: "t", Weight: 1}}
		all := map[string][]*fakeSearcher{"s": {}, "t": {}}
		for i, id := range []string{"s-1", "s-2", "s-3", "t-1", "t-2", "t-3"} {
			p := &fakeSearcher{id: id, answer: answerAfter(time.Duration(5*i+5)*time.Millisecond, "good")}
			all[id[:1]] = append(all[id[:1]], p)
		}
		fx := newFixture(t, []routing.Route{fanOut, split, once}, all)
		synctest.Wait()
		requests := func() map[string]int {
			out := map[string]int{}
			for id, s := range fx.searchers {
				out[id] = s.requests()
			}
			return out
		}
		for n := range 60 {
			path := []string{"/f/x", "/split/x", "/once/x"}[n%3]
			if n == 30 {
				fx.snapshot.Instances["t"][0].RecordLimit(4)
			}
			time.Sleep(50 * time.Millisecond)
			synctest.Wait()
			before, counted := requests(), fx.counted()
			q := explain.Query{Method: http.MethodGet, Host: "h", Path: path}
			for range 5 {
				fx.engine.Explain(q)
			}
			r := fx.engine.Explain(q)
			if !maps.Equal(requests(), before) || !maps.Equal(fx.counted(), counted) {
				t.Fatal("an explanation sent a request, or used a budget")
			}
			for _, h := range r.Shards {
				if once := path == "/once/x"; once != (h.Hedge.AfterMS == 0) || h.Hedge.Searcher == "" && h.Hedge.Why == "" {
					t.Errorf("%s: hedge %+v", path, h.Hedge)
				}
			}
			req := newRequest(time.Second)
			req.Target = path
			if a := fx.engine.Do(t.Context(), req); !r.Admitted || a.Status != http.StatusOK {
				t.Fatalf("%s: admitted %v, status %d", path, r.Admitted, a.Status)
			}
			after := requests()
			for _, h := range r.Shards {
				if !slices.ContainsFunc(best(h), func(id string) bool { return after[id] > before[id] }) {
					t.Errorf("%d, %s: got %v after %v, explained as %+v", n, path, after, before, h)
				}
			}
		}
	})
}

// TestExplainRefusal checks the report on requests that get an answer at once.
func TestExplainRefusal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := &fakeSearcher{id: "s-1", answer: answerAfter(time.Millisecond, "good")}
		fx := newFixture(t, []routing.Route{plainRoute(routing.Idempotent)}, map[string][]*fakeSearcher{"s": {p}})
		synctest.Wait()
		x, err := account.NewIndex([]account.Entry{{Account: account.Account{Name: "acme", Priority: 3, HasPriority: true, RatePerSecond: 7}, Keys: []string{"k"}}})
		if err != nil {
			t.Fatal(err)
		}
		fx.snapshot.Config.Accounts = x
		q := explain.Query{Method: http.MethodGet, Host: "h", Path: "/x", Key: "k"}
		check := func(name string, q explain.Query, status int, reason Reason) {
			t.Helper()
			req := newRequest(time.Second)
			req.Target, req.Host, req.Header = q.Path, q.Host, http.Header{"Key": {q.Key}}
			r, a := fx.engine.Explain(q), fx.engine.Do(t.Context(), req)
			if r.Admitted != (status == http.StatusOK) || !r.Admitted && (r.Status != status || r.Reason != string(reason) || r.Why == "") || a.Status != status || a.Reason != reason {
				t.Errorf("%s: explained as %d %s %q, answered %d %s, want %d %s", name, r.Status, r.Reason, r.Why, a.Status, a.Reason, status, reason)
			}
		}
		check("account", q, http.StatusOK, Served)
		if r := fx.engine.Explain(q); r.Account != "acme" || r.Priority != 3 || r.QuotaPerSecond != 7 {
			t.Errorf("%+v", r)
		}
		check("wrong key", explain.Query{Method: q.Method, Host: "h", Path: "/x", Key: "K"}, http.StatusUnauthorized, UnknownKey)
		check("other host", explain.Query{Method: q.Method, Host: "g", Path: "/x", Key: "k"}, http.StatusNotFound, NoRoute)
		fx.snapshot.Instances["s"][0].Drain()
		check("no searcher", q, http.StatusServiceUnavailable, NoSearcher)
		fx.snapshot = nil
		check("no configuration", q, http.StatusServiceUnavailable, NoConfig)
	})
}

// TestExplainSuspect guards against a report on a request that crashes searchers which differs
// from what happens to it, is made without its body, or ends its quarantine.
func TestExplainSuspect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fx, steps := newFanOut(t, 4, answerAfter(10*time.Millisecond, "0123456789abcdef")), 0
		fx.engine.c.Guard = crashguard.New(crashguard.Config{Quarantine: quarantine.New(quarantine.Config{MinIncidents: MinIncidents, TrustAnswered: true,
			OnStep: func(quarantine.Step) { steps++ }})})
		req := newRequest(time.Second)
		req.Body = []byte("body")
		f := req.fingerprint("")
		q := explain.Query{Method: req.Method, Host: req.Host, Path: req.Target, BodyBytes: 4}
		check := func(want explain.Suspicion) explain.Report {
			t.Helper()
			before, r := steps, fx.engine.Explain(q)
			if steps != before || r.Suspicion != want || r.Fingerprint != q.Fingerprint || r.Admitted != (want != explain.Quarantined) || fx.requests() > 0 {
				t.Errorf("want %s, got %+v after %d steps and %d requests", want, r, steps-before, fx.requests())
			}
			return r
		}
		lose := func(trial bool, service string) {
			fx.engine.c.Guard.AddEvidence(f, []quarantine.Incident{{Searcher: service, Service: service, At: time.Now(), Weight: 1, Trial: trial}})
		}
		check("")
		q.Fingerprint = quarantine.FormatFingerprint(f)
		check(explain.NotSuspected)
		lose(false, "s2")
		for n, s := range check(explain.Suspected).Shards {
			if sent := s.Why == ""; sent != (n == 2) || len(best(s)) == 0 && sent || sent != (s.Hedge.Why != "") || s.Hedge.Searcher != "" {
				t.Errorf("a suspect is sent as %+v", s)
			}
		}
		lose(true, "s0")
		lose(true, "s1")
		r, a := check(explain.Quarantined), fx.engine.Do(t.Context(), req)
		if string(a.Reason) != r.Reason || a.Status != r.Status || milliseconds(a.RetryAfter) != r.RetryAfterMS {
			t.Errorf("answered %+v, explained as %+v", a, r)
		}
		time.Sleep(quarantine.DefaultDuration)
		end, _ := fx.engine.c.Guard.BeginTrial(f)
		if running := check(explain.Suspected).TrialRunning; !running {
			t.Error("a trial under way was not told")
		}
		end()
		if check(explain.Suspected).TrialRunning {
			t.Error("a trial that has ended was told")
		}
	})
}

// TestExplainSearchers guards against a wrong reason why a searcher is not chosen, against a
// hedge that goes elsewhere than explained, and against one that the route does not permit.
func TestExplainSearchers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		score := func(slowdown, failures float64) func(*instance.Instance) {
			return func(i *instance.Instance) {
				i.SetSharedScore(time.Now(), healthscore.Score{SlowdownFactor: slowdown, FailureRate: failures})
			}
		}
		cases := map[string]struct {
			why   string
			setup func(*instance.Instance)
		}{
			"best": {"", score(1, 0)}, "second": {"slower", score(1.2, 0)}, "failing": {"failing", score(1, 0.9)}, "leaving": {"it is leaving", (*instance.Instance).Drain},
			"busy":      {"busier", func(i *instance.Instance) { i.RecordLoad(instance.Load{Waiting: 9}) }},
			"displaced": {"another searcher has its address", func(i *instance.Instance) { i.RecordOutcome(instance.WrongSearcher, 0, 0) }},
		}
		var all []*fakeSearcher
		for id := range cases {
			delay := map[bool]time.Duration{true: 2 * time.Second, false: 10 * time.Millisecond}[id == "best"]
			all = append(all, &fakeSearcher{id: id, slots: 8, answer: answerAfter(delay, "0123456789abcdef")})
		}
		route := plainRoute(routing.Idempotent)
		route.MaxAttempts = 3
		fx := newFixture(t, []routing.Route{route}, map[string][]*fakeSearcher{"s": all})
		synctest.Wait()
		for _, i := range fx.snapshot.Instances["s"] {
			cases[i.Searcher().ID].setup(i)
		}
		q := explain.Query{Method: http.MethodGet, Host: "h", Path: "/x"}
		r := fx.engine.Explain(q)
		ss := r.Shards[0].Searchers
		best := ss[slices.IndexFunc(ss, func(s explain.Searcher) bool { return s.Chosen })]
		for _, s := range ss {
			why, sum := s.Why, 0.0
			for _, d := range slices.Backward(s.Later) {
				why, sum = string(d.Cause), sum+d.MS
			}
			if why != cases[s.ID].why || s.EstimateMS > 0 && sum < s.EstimateMS-best.EstimateMS-0.01 {
				t.Errorf("%+v, want %q", s, cases[s.ID].why)
			}
		}
		fx.engine.Do(t.Context(), newRequest(time.Second))
		if best, second := fx.searchers["best"].requests(), fx.searchers["second"].requests(); best != 1 || second != 1 || r.Shards[0].Hedge.Searcher != "second" {
			t.Errorf("%d requests at the best, %d at the second; hedge explained as %+v", best, second, r.Shards[0].Hedge)
		}
		fx.snapshot.Config.Routes[0].MaxAttempts = 1
		if h := fx.engine.Explain(q).Shards[0].Hedge; h.Searcher != "" || h.Why != "the route permits no further attempt" {
			t.Errorf("hedge without a second attempt: %+v", h)
		}
		full := fx.snapshot.Instances["s"][slices.IndexFunc(fx.snapshot.Instances["s"], func(i *instance.Instance) bool { return i.Searcher().ID == "best" })]
		fx.snapshot.Instances["s"] = []*instance.Instance{full}
		for full.WouldReject(time.Now(), shedding.Standing{}) == nil {
			full.Send(instance.Request{Build: func() []byte { return []byte("GET /x HTTP/1.1\r\nHost: h\r\nId: a1\r\n\r\n") }, Done: func(conn.Result) {}, Matches: func(http.Header) bool { return true }})
		}
		if s := fx.engine.Explain(q).Shards[0]; s.Why != "no searcher takes it now; it is tried again later" || s.Searchers[0].Chosen || s.Searchers[0].Why != "the queue of requests to it is full" {
			t.Errorf("with a full queue: %+v", s)
		}
	})
}
