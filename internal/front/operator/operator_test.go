package operator_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"egrethaven/internal/front/operator"
	"egrethaven/internal/observe/event"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/observe/timeline"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

// fakeBackend implements Configs and Fleet. It records the last applied change.
type fakeBackend struct {
	verdict config.Verdict
	change  *config.Change
	behind  []config.NodeStatus
}

func (f *fakeBackend) Apply(_ context.Context, c config.Change) config.Result {
	f.change = &c
	return config.Result{Verdict: f.verdict, ChangeID: c.ID, Revision: 7, Diff: []string{"- a"}}
}

func (f *fakeBackend) Current() *config.Snapshot {
	return &config.Snapshot{Revision: 7, Searches: map[string]search.Definition{"b": {Name: "b"}, "a": {Name: "a"}}}
}

func (f *fakeBackend) History(context.Context) ([]config.HistoryEntry, error) { return nil, nil }
func (f *fakeBackend) Status(context.Context) []config.NodeStatus             { return nil }

func (f *fakeBackend) Wait(_ context.Context, revision uint64) []config.NodeStatus {
	if revision != 7 {
		return nil
	}
	return f.behind
}

func (f *fakeBackend) Timeline(_ context.Context, _ event.Stamp, limit int) timeline.Timeline {
	return timeline.Timeline{Events: make([]event.Event, limit)}
}

func request(f *fakeBackend, token, method, path, body string) *httptest.ResponseRecorder {
	callers := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { w.Write([]byte("caller " + r.URL.Path)) })
	h := operator.New(operator.Config{Token: "0123456789abcdef", Configs: f, Fleet: f, CallerAPI: callers,
		Health: func(context.Context) health.Report {
			return health.Report{States: []health.State{{Search: "a"}, {Search: "b"}}}
		}})
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set("Content-Type", "application/json")
	if token != "" {
		r.Header.Set("Authorization", token)
	}
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

const bearer = "Bearer 0123456789abcdef"

func TestToken(t *testing.T) {
	for token, want := range map[string]int{bearer: 200, "bearer 0123456789abcdef": 200, "": 401, "Bearer": 401,
		"Bearer 0123456789abcdeg": 401, "Basic 0123456789abcdef": 401, "0123456789abcdef": 401} {
		for _, path := range []string{"/admin/v1/version", "/admin/v1/health"} {
			if w := request(&fakeBackend{}, token, "GET", path, ""); w.Code != want {
				t.Errorf("token %q, path %s: status %d", token, path, w.Code)
			}
		}
	}
	if w := request(&fakeBackend{}, "", "GET", "/nowhere", ""); w.Code != 401 {
		t.Error("unknown path without a token: status", w.Code)
	}
}

// TestCrossSiteRequests checks that, if no token is configured, a web page of
// another site cannot use the operator port, either by a simple request or by DNS
// rebinding.
func TestCrossSiteRequests(t *testing.T) {
	f := &fakeBackend{verdict: config.Accepted}
	h := operator.New(operator.Config{Configs: f, Fleet: f})
	for _, c := range []struct {
		host, typ string
		status    int
	}{{"127.0.0.1:7801", "application/json", 200}, {"localhost:7801", "application/json", 200}, {"[::1]:7801", "application/json", 200},
		{"127.0.0.1:7801", "text/plain", 415}, {"127.0.0.1:7801", "", 415}, {"rebound.example:7801", "application/json", 403}} {
		f.change = nil
		r := httptest.NewRequest("POST", "/admin/v1/changes", strings.NewReader(`{"delete":["a"]}`))
		r.Host = c.host
		r.Header.Set("Content-Type", c.typ)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != c.status || (f.change != nil) != (c.status == 200) {
			t.Errorf("%+v: status %d", c, w.Code)
		}
	}
}

func definition() search.Definition {
	return search.Definition{Name: "a", Service: "s", SchemaVersions: []int{1}, Reconcile: search.ReconcileNewestRevision, Prefer: search.PreferCoverage, Deadline: time.Second, MaxLimit: 5}
}

func TestChange(t *testing.T) {
	ok, _ := json.Marshal(config.Change{Put: []search.Definition{definition()}})
	invalid := definition()
	invalid.MaxLimit, invalid.Service = 0, ""
	bad, _ := json.Marshal(config.Change{Put: []search.Definition{invalid}})
	for _, c := range []struct {
		verdict    config.Verdict
		path, body string
		status     int
		applied    bool
	}{
		{config.Accepted, "changes", string(ok), 200, true},
		{config.Unchanged, "changes", string(ok), 200, true},
		{config.Conflict, "changes", string(ok), 409, true},
		{config.Refused, "changes", string(ok), 400, true},
		{config.Unsure, "changes", string(ok), 504, true},
		{config.StoreDown, "changes", string(ok), 503, true},
		{config.Accepted, "changes", string(bad), 400, false},
		{config.Accepted, "changes", `{}`, 400, false},
		{config.Accepted, "changes", `{"delete":["a"]} x`, 400, false},
		{config.Accepted, "changes", `{"remove":["a"]}`, 400, false},
		{config.Accepted, "changes", `{"delete":["a","a"]}`, 400, false},
		{config.Accepted, "changes?wait=2h", string(ok), 400, false},
	} {
		f := &fakeBackend{verdict: c.verdict}
		w := request(f, bearer, "POST", "/admin/v1/"+c.path, c.body)
		if w.Code != c.status || (f.change != nil) != c.applied {
			t.Errorf("verdict %s, body %.40s: status %d, response %s", c.verdict, c.body, w.Code, w.Body)
		}
		if f.change != nil && f.change.ID == "" {
			t.Error("change applied without an ID")
		}
		if c.status != 200 && c.applied && !strings.Contains(w.Body.String(), `"diff":["- a"]`) {
			t.Error(w.Body)
		}
	}
	if w := request(&fakeBackend{}, bearer, "POST", "/admin/v1/changes", string(bad)); strings.Count(w.Body.String(), `"allowed"`) != 2 {
		t.Error("response does not list all problems:", w.Body)
	}
}

func TestWaitAndRead(t *testing.T) {
	f := &fakeBackend{verdict: config.Accepted, behind: []config.NodeStatus{{Node: "n3"}}}
	w := request(f, bearer, "DELETE", "/admin/v1/searches/a?wait=1s&expect_revision=6", "")
	if w.Code != 200 || !strings.Contains(w.Body.String(), `"waited":true,"behind":[{"node":"n3"`) || f.change.ExpectedRevision != 6 || f.change.Delete[0] != "a" {
		t.Error(w.Code, w.Body, f.change)
	}
	for path, want := range map[string]string{
		"searches":         `"revision":7`,
		"searches/b":       `"searches":[{"name":"b"`,
		"searches/c":       `unknown_search`,
		"history":          `[]`,
		"health?search=b":  `"states":[{"search":"b"`,
		"timeline?limit=1": `"events":[{`,
		"timeline?limit=x": `bad_request`,
	} {
		if w := request(f, bearer, "GET", "/admin/v1/"+path, ""); !strings.Contains(w.Body.String(), want) {
			t.Error(path, w.Body)
		}
	}
	if w := request(f, bearer, "POST", "/admin/v1/searches/a/query", "{}"); w.Body.String() != "caller /v1/searches/a/query" {
		t.Error(w.Body)
	}
}
