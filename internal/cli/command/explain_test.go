package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"egrethaven/internal/query/explain"
)

// TestExplain checks the exit code and output for each kind of report, and that the key is
// never printed.
func TestExplain(t *testing.T) {
	const key = "s3cret-key"
	shard := explain.Shard{Service: "s0", Searchers: []explain.Searcher{{ID: "i-1", Domain: "d0", Chosen: true, EstimateMS: 4.5}, {ID: "i-2", Domain: "d1", Why: "it does not respond"}},
		Hedge: explain.Hedge{AfterMS: 30, Searcher: "i-3"}}
	for name, c := range map[string]struct {
		args   string
		status int
		report explain.Report
		code   int
		texts  []string
	}{
		"admitted":        {"", 200, explain.Report{Admitted: true, Route: "f", Why: "fine", Account: "acme", Shards: []explain.Shard{shard}}, 0, []string{"ADMITTED: fine", "account acme", "i-2", "it does not respond", "after 30 ms"}},
		"JSON":            {"--json", 200, explain.Report{Admitted: true, Route: "f", Shards: []explain.Shard{shard}}, 0, []string{`"searcher": "i-3"`}},
		"unknown host":    {"", 200, explain.Report{Status: 404, Reason: "no_route", Why: "no route has this host"}, 1, []string{"REFUSED with 404 (no_route): no route has this host"}},
		"no config":       {"", 200, explain.Report{Status: 503, Reason: "no_config", RetryAfterMS: 500}, 1, []string{"REFUSED with 503 (no_config)", "retry after 500 ms"}},
		"refused by it":   {"", 400, explain.Report{}, 2, []string{"egrethaven: "}},
		"earlier build":   {"", 404, explain.Report{}, 2, []string{"egrethaven: "}},
		"unreachable":     {"", 0, explain.Report{}, 3, []string{"calling 127.0.0.1"}},
		"no slash":        {"--path x", 200, explain.Report{}, 2, []string{"begins with a slash"}},
		"no host":         {"--host=", 200, explain.Report{}, 2, []string{"a host"}},
		"negative length": {"--body-bytes -1", 200, explain.Report{}, 2, []string{"at least 0"}},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var q explain.Query
			if err := json.NewDecoder(r.Body).Decode(&q); err != nil || q.Key != key || q.Host != "h" || q.Method != "GET" || r.URL.Path != "/admin/v1/explain" {
				t.Errorf("%s: asked %s with %+v, %v", name, r.URL, q, err)
			}
			w.WriteHeader(c.status)
			_ = json.NewEncoder(w).Encode(c.report)
		}))
		if c.status == 0 {
			s.Close()
		}
		t.Setenv(addrEnv, s.Listener.Addr().String())
		var stdout, stderr bytes.Buffer
		code := Main(append([]string{"explain", "--host", "h", "--path", "/x", "--key", key}, strings.Fields(c.args)...), strings.NewReader(""), &stdout, &stderr)
		s.Close()
		out := stdout.String() + stderr.String()
		for _, text := range c.texts {
			if !strings.Contains(out, text) {
				t.Errorf("%s: no %q in\n%s", name, text, out)
			}
		}
		if code != c.code || strings.Contains(out, key) {
			t.Errorf("%s: exit code %d, want %d; printed\n%s", name, code, c.code, out)
		}
	}
}
