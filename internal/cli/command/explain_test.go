package command

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"egrethaven/internal/back/quarantine"
	"egrethaven/internal/proof/commandtest"
	"egrethaven/internal/query/explain"
)

// TestExplain checks the exit code and output for each kind of report, and that the key is
// never printed, and the body and the Authorization header are neither printed nor sent.
func TestExplain(t *testing.T) {
	const key, secret = "s3cret-key", "s3cret-authorization"
	body := filepath.Join(t.TempDir(), "body")
	if err := os.WriteFile(body, []byte("s3cret body"), 0o600); err != nil {
		t.Fatal(err)
	}
	// Of the body and the header, a gateway gets the hash only.
	hash := quarantine.FormatFingerprint(quarantine.FingerprintHTTP("GET", "h", "/x", quarantine.Credentials("", "acme"), []byte("s3cret body")))
	hashWithout := quarantine.FormatFingerprint(quarantine.FingerprintHTTP("GET", "h", "/x", quarantine.Credentials(secret, "acme"), nil))
	held := explain.Report{Route: "f", Account: "acme", Suspicion: explain.Quarantined, Status: 503, Reason: "quarantined", RetryAfterMS: 1000}
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
		"quota":           {"", 200, explain.Report{Admitted: true, Route: "f", QuotaPerSecond: 7, QuotaPermits: []explain.Permits{{Count: 3, LeftMS: 900}}, QuotaNext: explain.PermitHeld}, 0, []string{"7 requests/s", "3 for 900 ms; the next request gets one"}},
		"over quota":      {"", 200, explain.Report{Status: 429, Reason: "over_quota", Route: "f", QuotaPerSecond: 7, QuotaNext: explain.PermitRefused}, 1, []string{"429 (over_quota)", "held: none; the next request gets none"}},
		"regions":         {"", 200, explain.Report{Admitted: true, Route: "f", RouteRegions: []string{"north"}, Shards: []explain.Shard{{Searchers: []explain.Searcher{{Why: "not there", ExcludedBy: []explain.Owner{explain.Route, explain.Account}}}}}}, 0, []string{"the route permits: north", "not there; excluded by the route; excluded by the account"}},
		"body":            {"--body " + body, 200, held, 1, []string{"503 (quarantined)", hash + ", quarantined"}},
		"body from input": {"--body -", 200, held, 1, []string{hash}},
		"header":          {"--authorization " + secret, 200, held, 1, []string{hashWithout}},
		"no such body":    {"--body " + body + "x", 200, held, 2, []string{"no such file"}},
		"body and size":   {"--body-bytes 4 --body " + body, 200, held, 2, []string{"body-bytes"}},
		"no fingerprint":  {"--body " + body, 201, held, 2, []string{"earlier build"}},
		"body not known":  {"--body-bytes 4", 200, explain.Report{Admitted: true, Route: "f", Shards: []explain.Shard{shard}}, 0, []string{"not checked"}},
		"no slash":        {"--path x", 200, explain.Report{}, 2, []string{"begins with a slash"}},
		"no host":         {"--host=", 200, explain.Report{}, 2, []string{"a host"}},
		"negative length": {"--body-bytes -1", 200, explain.Report{}, 2, []string{"at least 0"}},
	} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var q explain.Query
			question, _ := io.ReadAll(r.Body)
			if err := json.Unmarshal(question, &q); err != nil || q.Key != key || q.Host != "h" || q.Method != "GET" || r.URL.Path != "/admin/v1/explain" {
				t.Errorf("%s: asked %s with %+v, %v", name, r.URL, q, err)
			}
			if strings.Contains(string(question), "s3cret body") || strings.Contains(string(question), secret) {
				t.Errorf("%s: the gateway was told %s", name, question)
			}
			w.WriteHeader(c.status)
			out := c.report
			if c.status == 200 {
				out.Fingerprint = q.Fingerprint
			}
			_ = json.NewEncoder(w).Encode(out)
		}))
		if c.status == 0 {
			s.Close()
		}
		t.Setenv(addrEnv, s.Listener.Addr().String())
		r := commandtest.Runner{Main: Main, Args: []string{"explain", "--host", "h", "--path", "/x", "--key", key}, Input: "s3cret body", Secret: "s3cret"}
		r.Check(t, c.code, c.texts, strings.Fields(c.args)...)
		s.Close()
	}
}
