package caller_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"egrethaven/internal/front/caller"
	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/front/readiness"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/observe/metric"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/write"
	"egrethaven/internal/state/account"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
	"egrethaven/platform/dialect"
)

// fakeEngine returns fixed results and counts the dispatched requests.
type fakeEngine struct {
	answer     ask.Answer
	result     write.Result
	query      ask.Query
	dispatched int
}

func (e *fakeEngine) Ask(_ context.Context, a ask.Query) ask.Answer {
	e.dispatched++
	e.query = a
	return e.answer
}

func (e *fakeEngine) Write(context.Context, write.Request) write.Result {
	e.dispatched++
	return e.result
}

func (e *fakeEngine) Health(string) health.Report { return health.Report{Node: "a"} }

func snapshot() *config.Snapshot {
	d := search.Definition{Name: "s", SchemaVersions: []int{1, 2}, Deadline: time.Second, MaxLimit: 50, Writes: true}
	r := d
	r.Name, r.Writes = "readonly", false
	return &config.Snapshot{Searches: map[string]search.Definition{"s": d, "readonly": r}}
}

func newHandler(t *testing.T, e *fakeEngine) http.Handler {
	t.Helper()
	m, err := metric.New(metric.Config{Node: "a"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { m.Close() })
	g := readiness.New(readiness.Config{MaxInFlight: 1})
	g.SetReady()
	return caller.New(caller.Config{Engine: e, Snapshot: snapshot, Gate: g, MaxBodyBytes: 4096, Metrics: m})
}

func postJSON(h http.Handler, path, body string, headers ...string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	for i := 0; i < len(headers); i += 2 {
		r.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

const key = "0190163d-8694-739b-aea5-966c26f8ad91"

// TestInvalidRequests checks that an invalid request gets problem details with a
// 4xx status and is not dispatched.
func TestInvalidRequests(t *testing.T) {
	const query, records = "/v1/searches/s/query", "/v1/searches/s/records"
	const rec = `{"key":"k","schema_version":1,"fields":{"a":"b"}}`
	for _, c := range []struct {
		name, path, body string
		status           int
		reason           outcome.Reason
		headers          []string
	}{
		{"malformed", query, `{"text":`, 400, "bad_request", nil},
		{"empty", query, ``, 400, "bad_request", nil},
		{"array", query, `[]`, 400, "bad_request", nil},
		{"null", query, `null`, 400, "bad_request", nil},
		{"unknown member", query, `{"txet":"a"}`, 400, "bad_request", nil},
		{"wrong type", query, `{"text":1}`, 400, "bad_request", nil},
		{"trailing data", query, `{"text":"a"} {}`, 400, "bad_request", nil},
		{"limit 0", query, `{"limit":0}`, 400, "bad_request", nil},
		{"limit above", query, `{"limit":51}`, 400, "bad_request", nil},
		{"limit fraction", query, `{"limit":1.5}`, 400, "bad_request", nil},
		{"long text", query, `{"text":"` + strings.Repeat("a", 1025) + `"}`, 400, "bad_request", nil},
		{"filter without field", query, `{"filters":[{"value":"x"}]}`, 400, "bad_request", nil},
		{"deadline past", query, `{"deadline_ms":0}`, 400, "deadline_past", nil},
		{"deadline at past", query, `{"deadline_at":"2001-01-01T00:00:00Z"}`, 400, "deadline_past", nil},
		{"deadline above", query, `{"deadline_ms":1001}`, 400, "bad_request", nil},
		{"two deadlines", query, `{"deadline_ms":1,"deadline_at":"2001-01-01T00:00:00Z"}`, 400, "bad_request", nil},
		{"too large", query, `{"text":"` + strings.Repeat("a", 5000) + `"}`, 413, "bad_request", nil},
		{"not JSON", query, `{}`, 415, "bad_request", []string{"Content-Type", "text/plain"}},
		{"bad caller", query, `{}`, 400, "bad_request", []string{"X-Caller", "A B"}},
		{"unknown search", "/v1/searches/x/query", `{}`, 404, "unknown_search", nil},
		{"unknown path", "/v2", `{}`, 404, "bad_request", nil},
		{"wrong method", "/v1/searches/s/health", `{}`, 405, "bad_request", nil},
		{"no key", records, rec, 400, "bad_request", nil},
		{"key not v7", records, rec, 400, "bad_request", []string{"Idempotency-Key", "7b2a4e0e-8f0b-4d62-9d0b-0a53a5c7b7a1"}},
		{"key in braces", records, rec, 400, "bad_request", []string{"Idempotency-Key", "{" + key + "}"}},
		{"schema version", records, strings.Replace(rec, "1", "3", 1), 400, "bad_request", []string{"Idempotency-Key", key}},
		{"no fields", records, `{"key":"k","schema_version":1}`, 400, "bad_request", []string{"Idempotency-Key", key}},
		{"search without writes", "/v1/searches/readonly/records", rec, 400, "bad_request", []string{"Idempotency-Key", key}},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := &fakeEngine{}
			w := postJSON(newHandler(t, e), c.path, c.body, append(c.headers, "X-Request-Id", "r-1")...)
			var d problemdetail.Detail
			if err := json.Unmarshal(w.Body.Bytes(), &d); err != nil {
				t.Fatal(err, w.Body)
			}
			if w.Code != c.status || d.Status != c.status || d.Reason != c.reason || d.Outcome != outcome.KindNotRun || d.Detail == "" {
				t.Errorf("status %d, problem %+v", w.Code, d)
			}
			if w.Header().Get("Content-Type") != "application/problem+json" || w.Header().Get("X-Request-Id") != "r-1" || d.RequestID != "r-1" {
				t.Errorf("response headers: %v", w.Header())
			}
			if e.dispatched != 0 {
				t.Error("the request was dispatched")
			}
		})
	}
}

// TestPartialAnswers checks that a partial answer is a success only for a caller
// that accepts it, even if the engine flags the answer as complete.
func TestPartialAnswers(t *testing.T) {
	whole := coverage.New(1, []keyrange.Range{keyrange.Whole}, nil)
	half := coverage.New(1, keyrange.Split(2)[:1], nil)
	late := coverage.New(1, keyrange.Split(2)[:1], []coverage.Gap{{Range: keyrange.Split(2)[1], Reason: outcome.Timeout}})
	for _, c := range []struct {
		name, body string
		o          outcome.Outcome
		coverage   coverage.Coverage
		status     int
	}{
		{"whole", `{}`, outcome.OK(), whole, 200},
		{"half", `{}`, outcome.OK(), half, 503},
		{"half for time", `{}`, outcome.OK(), late, 504},
		{"half accepted", `{"accept_partial":true}`, outcome.OK(), half, 200},
		{"none accepted", `{"accept_partial":true}`, outcome.OK(), coverage.New(1, nil, nil), 503},
		{"shed", `{"accept_partial":true}`, outcome.NotRun(outcome.Shed), half, 503},
		{"over share", `{}`, outcome.NotRun(outcome.OverShare), coverage.Coverage{}, 429},
		{"timeout", `{}`, outcome.Unknown(outcome.Timeout), half, 504},
	} {
		e := &fakeEngine{answer: ask.Answer{Outcome: c.o, Coverage: c.coverage, Complete: true, Hits: []ask.Hit{{Score: 1}}}}
		w := postJSON(newHandler(t, e), "/v1/searches/s/query", c.body)
		complete := bytes.Contains(w.Body.Bytes(), []byte(`"complete":true`))
		hits := bytes.Contains(w.Body.Bytes(), []byte(`"hits"`))
		if w.Code != c.status || complete != (c.name == "whole") || hits != (c.status == 200) {
			t.Errorf("%s: %d %s", c.name, w.Code, w.Body)
		}
	}
}

func TestQueryForwardsFields(t *testing.T) {
	e := &fakeEngine{answer: ask.Answer{Outcome: outcome.OK(), Coverage: coverage.New(1, []keyrange.Range{keyrange.Whole}, nil)}}
	start := time.Now()
	h := newHandler(t, e)
	w := postJSON(h, "/v1/searches/s/query", `{"text":"t","limit":7,"deadline_ms":600,"filters":[{"field":"f","value":"v"}],"accept_partial":true,"explain":true}`, "X-Caller", "desk")
	a := e.query
	left := a.Deadline.Sub(start)
	if w.Code != 200 || a.Text != "t" || a.Limit != 7 || a.Caller != "desk" || !a.AcceptPartial || !a.Explain || a.Filters[0].Value != "v" || left < 600*time.Millisecond || a.QueryID == "" {
		t.Errorf("status %d, dispatched query %+v", w.Code, a)
	}
	if w.Header().Get("X-Request-Id") == "" {
		t.Error("response without a request ID")
	}
	postJSON(h, "/v1/searches/s/query", `{}`)
	if e.query.QueryID == a.QueryID || e.query.Limit != 20 {
		t.Errorf("second query: %+v", e.query)
	}
}

// TestNotReady checks that a node without a configuration answers not_ready, and
// that a caller that is still sending its body does not occupy a slot.
func TestNotReady(t *testing.T) {
	e := &fakeEngine{answer: ask.Answer{Outcome: outcome.OK(), Coverage: coverage.New(1, []keyrange.Range{keyrange.Whole}, nil)}}
	s := &config.Snapshot{}
	g := readiness.New(readiness.Config{MaxInFlight: 1})
	h := caller.New(caller.Config{Engine: e, Snapshot: func() *config.Snapshot { return s }, Gate: g, MaxBodyBytes: 4096})
	for _, path := range []string{"/v1/searches", "/v1/searches/s/health"} {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
		if w.Code != 503 || !strings.Contains(w.Body.String(), `"not_ready"`) {
			t.Errorf("%s: %d %s", path, w.Code, w.Body)
		}
	}
	if w := postJSON(h, "/v1/searches/s/query", "{}"); w.Code != 503 || !strings.Contains(w.Body.String(), `"not_ready"`) {
		t.Errorf("query: %d %s", w.Code, w.Body)
	}
	s = snapshot()
	g.SetReady()
	body, send := io.Pipe()
	r := httptest.NewRequest(http.MethodPost, "/v1/searches/s/query", body)
	r.Header.Set("Content-Type", "application/json")
	slow, done := httptest.NewRecorder(), make(chan struct{})
	go func() { h.ServeHTTP(slow, r); close(done) }()
	send.Write([]byte("{")) // the handler is now reading the body
	if w := postJSON(h, "/v1/searches/s/query", "{}"); w.Code != 200 {
		t.Errorf("request concurrent with a slow caller: %d %s", w.Code, w.Body)
	}
	send.Write([]byte("}"))
	send.Close()
	if <-done; slow.Code != 200 {
		t.Errorf("slow caller: %d %s", slow.Code, slow.Body)
	}
}

func TestRecord(t *testing.T) {
	for _, c := range []struct {
		o      outcome.Outcome
		status int
	}{
		{outcome.OK(), 201}, {outcome.NotRun(outcome.StoreDown), 503}, {outcome.NotRun(outcome.InProgress), 409}, {outcome.NotRun(outcome.KeyReused), 422},
		{outcome.Unknown(outcome.ConnectionLost), 502}, {outcome.Unknown(outcome.InProgress), 409}, {outcome.Failed(outcome.Rejected), 422},
	} {
		e := &fakeEngine{result: write.Result{Outcome: c.o, Repeated: true}}
		w := postJSON(newHandler(t, e), "/v1/searches/s/records", `{"key":"k","schema_version":1,"fields":{"a":"b"}}`, "Idempotency-Key", key)
		if w.Code != c.status || !strings.Contains(w.Body.String(), `"repeated":true`) || !strings.Contains(w.Body.String(), string(c.o.Kind)) {
			t.Errorf("%s: %d %s", c.o, w.Code, w.Body)
		}
	}
}

// FuzzQuery checks that no body causes a server error or the dispatch of a query
// with values out of range.
func FuzzQuery(f *testing.F) {
	f.Add(`{"text":"a","limit":3,"deadline_ms":5}`)
	f.Add(`{"filters":[{"field":"f","value":"v"}],"deadline_at":"2030-01-01T00:00:00Z"}`)
	e := &fakeEngine{answer: ask.Answer{Outcome: outcome.OK(), Coverage: coverage.New(1, []keyrange.Range{keyrange.Whole}, nil)}}
	g := readiness.New(readiness.Config{MaxInFlight: 1})
	g.SetReady()
	h := caller.New(caller.Config{Engine: e, Snapshot: snapshot, Gate: g, MaxBodyBytes: 4096})
	f.Fuzz(func(t *testing.T, body string) {
		before := e.dispatched
		w := postJSON(h, "/v1/searches/s/query", body)
		sent := e.dispatched > before
		if sent != (w.Code == 200) || w.Code >= 500 {
			t.Fatalf("status %d, dispatched: %v", w.Code, sent)
		}
		if left := time.Until(e.query.Deadline); sent && (e.query.Limit < 1 || e.query.Limit > 50 || left > time.Second) {
			t.Fatalf("dispatched query out of range: %+v", e.query)
		}
	})
}

// fakeQuota is a quota and an event sink that count what they get.
type fakeQuota struct {
	strings.Builder
	refuseFor, wait time.Duration
	taken, returned int
}

func (q *fakeQuota) Emit(n event.Number, s, d string) { fmt.Fprintln(q, n.Name(), s, d) }

func (q *fakeQuota) Take(_ context.Context, _ *account.Account, until time.Time) (bool, time.Duration) {
	q.taken, q.wait = q.taken+1, time.Until(until)
	return q.refuseFor == 0, q.refuseFor
}

func (q *fakeQuota) Return(*account.Account) { q.returned++ }

// TestAccounts guards against a request that is dispatched without a valid key or over the quota, a
// 401 while it is not known which keys are valid, a priority without effect, a key that stays in
// the request or gets elsewhere, a Retry-After that is too short, and permits that are lost with
// requests that have not run, or returned for others.
func TestAccounts(t *testing.T) {
	x, err := account.NewIndex([]account.Entry{
		{Account: account.Account{Name: "limited", Priority: 3, HasPriority: true, RatePerSecond: 1}, Keys: []string{"secret-1"}},
		{Account: account.Account{Name: "free"}, Keys: []string{"secret-2"}}})
	if err != nil {
		t.Fatal(err)
	}
	index, unknown := func() *account.Index { return x }, func() *account.Index { return nil }
	none := func() *config.Snapshot { return nil }
	ok, shed, lost := outcome.OK(), outcome.NotRun(outcome.Shed), outcome.Unknown(outcome.Timeout)
	for _, c := range []struct {
		name                      string
		accounts                  func() *account.Index
		snapshot                  func() *config.Snapshot
		keys                      string
		refuseFor                 time.Duration
		o                         outcome.Outcome
		status, list              int
		retryAfter                string
		priority, taken, returned int
	}{
		{"no accounts in use", nil, snapshot, "other", 0, ok, 200, 200, "", 0, 0, 0},
		{"no configuration yet", index, none, "secret-1", 0, ok, 503, 503, "1", 0, 0, 0},
		{"no configuration yet, no key", index, none, "", 0, ok, 503, 503, "1", 0, 0, 0},
		{"accounts not known yet", unknown, snapshot, "secret-1", 0, ok, 503, 503, "1", 0, 0, 0},
		{"no key", index, snapshot, "", 0, ok, 401, 401, "", 0, 0, 0},
		{"unknown key", index, snapshot, "secret", 0, ok, 401, 401, "", 0, 0, 0},
		{"two keys", index, snapshot, "secret-1 secret-2", 0, ok, 401, 401, "", 0, 0, 0},
		{"no limit", index, snapshot, "secret-2", time.Second, ok, 200, 200, "", 0, 0, 0},
		{"served", index, snapshot, "secret-1", 0, ok, 200, 200, "", 3, 1, 0},
		{"not run", index, snapshot, "secret-1", 0, shed, 503, 200, "1", 3, 1, 1},
		{"perhaps run", index, snapshot, "secret-1", 0, lost, 504, 200, "", 3, 1, 0},
		{"over quota", index, snapshot, "secret-1", 2100 * time.Millisecond, ok, 429, 200, "3", 0, 1, 0},
		{"just over quota", index, snapshot, "secret-1", time.Millisecond, ok, 429, 200, "1", 0, 1, 0},
	} {
		for path, body := range map[string]string{"": "", "/s/health": "", "/s/query": `{"deadline_ms":40}`, "/s/records": `{"deadline_ms":40,"key":"k","schema_version":1,"fields":{"a":"b"}}`} {
			e := &fakeEngine{answer: ask.Answer{Outcome: c.o, Coverage: coverage.New(1, []keyrange.Range{keyrange.Whole}, nil)}}
			e.result.Outcome = c.o
			g, q := readiness.New(readiness.Config{MaxInFlight: 1}), &fakeQuota{refuseFor: c.refuseFor}
			g.SetReady()
			h := caller.New(caller.Config{Engine: e, Snapshot: c.snapshot, Accounts: c.accounts, TakeKey: dialect.Dialect{}.TakeKey, Quota: q, Gate: g, MaxBodyBytes: 4096, Events: q})
			method, status, sent := http.MethodGet, c.list, 0
			if body != "" {
				method, status = http.MethodPost, c.status
				if c.list == 200 && status != 429 {
					sent = 1
				}
			}
			if path == "/s/records" && status == 200 {
				status = 201
			}
			r := httptest.NewRequest(method, "/v1/searches"+path, strings.NewReader(body))
			r.Header = http.Header{"Content-Type": {"application/json"}, "Idempotency-Key": {key}, dialect.APIKey: strings.Fields(c.keys)}
			w := httptest.NewRecorder()
			h.ServeHTTP(w, r)
			all := fmt.Sprint(r.Header, w.Header(), w.Body, q.String(), e.query)
			got := fmt.Sprint(w.Code, e.dispatched, g.InFlight(), strings.Contains(all, "secret"), q.wait > 10*time.Millisecond, strings.Contains(all, "Www-Authenticate"))
			if want := fmt.Sprint(status, sent, 0, false, false, status == 401); got != want {
				t.Errorf("%s, %s: got %s, want %s: %s", c.name, path, got, want, all)
			}
			got = fmt.Sprint(w.Header().Get("Retry-After"), " ", e.query.Priority, q.taken, q.returned)
			if want := fmt.Sprint(c.retryAfter, " ", c.priority, c.taken, c.returned); path == "/s/query" && got != want {
				t.Errorf("%s, %s: Retry-After, priority and permits %s, want %s", c.name, path, got, want)
			}
		}
	}
}
