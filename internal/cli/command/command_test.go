package command

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/spf13/cobra"

	"egrethaven/internal/front/operator"
	"egrethaven/internal/front/problemdetail"
	"egrethaven/internal/observe/health"
	"egrethaven/internal/observe/timeline"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/state/config"
	"egrethaven/internal/state/search"
)

const examples = "../../../examples/"

// run runs the program against a node that responds with status and v as JSON.
// If status is 0, no node is reachable.
func run(t *testing.T, status int, v any, args ...string) (code int, out, errOut string) {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("Authorization") != "Bearer 0123456789abcdef" {
			status = http.StatusUnauthorized
		}
		w.WriteHeader(status)
		if err := json.NewEncoder(w).Encode(v); err != nil {
			t.Error(err)
		}
	}))
	defer s.Close()
	t.Setenv(addrEnv, s.Listener.Addr().String())
	t.Setenv(tokenEnv, "0123456789abcdef")
	if status == 0 {
		s.Close()
	}
	var stdout, stderr bytes.Buffer
	code = Main(args, strings.NewReader(""), &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

func TestExitCodes(t *testing.T) {
	whole := coverage.New(1, []keyrange.Range{keyrange.Whole}, nil)
	part := coverage.New(1, keyrange.Split(2)[:1], nil)
	conflict := operator.ChangeProblem{Detail: problemdetail.Detail{Status: 409, Detail: "first"}, Result: config.Result{Verdict: config.Conflict, Diff: []string{"warranty: deadline"}}}
	for _, c := range []struct {
		args   string
		status int
		v      any
		code   int
		text   string // expected in standard output or standard error
	}{
		{"health", 200, health.Report{States: []health.State{{Search: "s", Verdict: health.OK}}}, 0, "OK: 1 ok"},
		{"health", 200, health.Report{States: []health.State{{Search: "s", Verdict: health.OK}, {Search: "r", Verdict: health.Unknown, UnresponsiveNodes: []string{"n1"}}}}, 1, "silent: n1"},
		{"health", 200, health.Report{}, 1, "UNKNOWN"},
		{"health", 200, health.Report{States: []health.State{{Search: "s", Verdict: health.OK, WritesRefused: true}}}, 1, "WRITES REFUSED"},
		{"health", 0, nil, 3, "check --addr"},
		{"health --token wrong", 200, nil, 2, "refused the token"},
		{"query s a", 200, ask.Answer{Complete: true, Coverage: whole}, 0, "complete: 0 of 0 hits"},
		{"query s a --partial", 200, ask.Answer{Coverage: part}, 1, "missing 8000000000000000-ffffffffffffffff: no_replica"},
		{"query s a", 503, problemdetail.Detail{Status: 503, Detail: "busy"}, 1, "busy"},
		{"query s a", 404, problemdetail.Detail{Status: 404, Detail: "no search"}, 2, "no search"},
		{"query s --filter x", 200, nil, 2, "FIELD=VALUE"},
		{"apply -f " + examples + "takasago.ini", 200, operator.ChangeResponse{Result: config.Result{Verdict: config.Accepted, Revision: 3}, Waited: true}, 0, "in force on all live nodes"},
		{"apply -f " + examples + "takasago.ini", 200, operator.ChangeResponse{Waited: true, Behind: []config.NodeStatus{{Node: "n7"}}}, 1, "n7"},
		{"apply -f " + examples + "takasago.ini", 409, conflict, 1, "in force: warranty: deadline"},
		{"apply -f " + examples + "takasago.ini", 0, nil, 3, "repeat with --change-id"},
		{"apply -f " + examples + "takasago.ini --dry-run", 200, operator.Searches{Revision: 9}, 0, "4 differences from revision 9"},
		{"apply -f nowhere.ini", 200, nil, 2, "nowhere.ini"},
		{"apply", 200, nil, 2, "give -f FILE"},
		{"delete s", 200, operator.ChangeResponse{Result: config.Result{Verdict: config.Accepted}}, 0, "accepted"},
		{"status", 200, []config.NodeStatus{{Node: "a", Revision: 3, Reached: true}, {Node: "b", Revision: 2, Reached: true}}, 1, "1 of 2 nodes have revision 3"},
		{"status", 200, []config.NodeStatus{{Node: "a", Revision: 3, Reached: true}, {Node: "b"}}, 1, "1 of 2"},
		{"timeline", 200, timeline.Timeline{Nodes: []timeline.NodeEvents{{Node: "a"}}}, 1, "a did not answer"},
		{"get s", 200, operator.Searches{Searches: []search.Definition{{Name: "s"}}}, 0, `[search "s"]`},
		{"list --json", 200, operator.Searches{Revision: 4}, 0, `"revision": 4`},
		{"history", 200, []config.HistoryEntry{{Author: "ito\x1b[2J"}}, 0, "ito?[2J"},
		{"record s --key k --field a=b", 504, problemdetail.Detail{Status: 504, Outcome: "unknown", Reason: "timeout"}, 1, "unknown, timeout"},
		{"serve", 200, nil, 2, "give -c FILE"},
		{"serve -c nowhere.ini", 200, nil, 2, "nowhere.ini"},
		{"version", 0, nil, 0, Version()},
		{"nonsense", 200, nil, 2, "unknown command"},
		{"health --nonsense", 200, nil, 2, "see egrethaven health --help"},
		{"check -c " + examples + "node-moisi.ini -f " + examples + "moisi.ini", 200, nil, 0, "ok"},
		{"bench nonsense", 200, nil, 2, "see egrethaven bench --help"},
	} {
		code, out, errOut := run(t, c.status, c.v, strings.Fields(c.args)...)
		if code != c.code || !strings.Contains(out+errOut, c.text) {
			t.Errorf("%s: exit code %d, want %d, and %q in\n%s%s", c.args, code, c.code, c.text, out, errOut)
		}
		for l := range strings.Lines(errOut) {
			if !strings.HasPrefix(l, "egrethaven: ") {
				t.Errorf("%s: message %q", c.args, l)
			}
		}
	}
}

func TestCheckReportsAllProblems(t *testing.T) {
	file := filepath.Join(t.TempDir(), "node.ini")
	b, err := os.ReadFile(examples + "node-takasago.ini")
	if err != nil {
		t.Fatal(err)
	}
	s := strings.NewReplacer("id = sapporo-entry-1", "id = Sapporo 1", "timeout = 2s", "timout = 2s", "max_body = 65536", "max_body = lots").Replace(string(b))
	if err := os.WriteFile(file, []byte(s), 0o600); err != nil {
		t.Fatal(err)
	}
	code, _, errOut := run(t, 0, nil, "check", "-c", file)
	for _, want := range []string{"[node] id: ", "[platform] timout: ", "[limits] max_body: "} {
		if !strings.Contains(errOut, want) {
			t.Errorf("no %q in %s", want, errOut)
		}
	}
	if code != 2 || strings.Count(errOut, "\n") != 3 {
		t.Errorf("exit code %d, want 2 and three messages in\n%s", code, errOut)
	}
}

// TestManual checks that docs/egrethaven.1.md names all commands, flags and
// environment variables.
func TestManual(t *testing.T) {
	b, err := os.ReadFile("../../../docs/egrethaven.1.md")
	if err != nil {
		t.Fatal(err)
	}
	page := string(b)
	for _, c := range newRootCommand(&session{}).Commands() {
		if c.Name() == "help" || c.Name() == "completion" {
			continue
		}
		if !strings.Contains(page, "**"+c.Name()+"**") {
			t.Errorf("the manual lacks the command %s", c.Name())
		}
		for _, f := range flagNames(c) {
			if !strings.Contains(page, "**--"+f+"**") {
				t.Errorf("the manual lacks --%s of %s", f, c.Name())
			}
		}
	}
	variables := regexp.MustCompile(`EGRETHAVEN_[A-Z_]+`).FindAllString(page, -1)
	slices.Sort(variables)
	if got := slices.Compact(variables); !slices.Equal(got, []string{addrEnv, tokenEnv}) {
		t.Errorf("the manual names the variables %q", got)
	}
}

// flagNames returns the long names of a command's flags.
func flagNames(c *cobra.Command) []string {
	var out []string
	for l := range strings.Lines(c.Flags().FlagUsages()) {
		if _, rest, ok := strings.Cut(l, "--"); ok {
			out = append(out, strings.FieldsFunc(rest, func(r rune) bool { return r == ' ' || r == '[' })[0])
		}
	}
	return out
}
