package settings_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/settings"
)

const validSettings = `[node]
id = a
failure_domain = sapporo
[listen]
caller = 127.0.0.1:1
operator = 127.0.0.1:2
peer = 127.0.0.1:3
[platform]
addr = 127.0.0.1:4
`

func TestParseDefaults(t *testing.T) {
	s, ps := settings.Parse("n.ini", []byte(validSettings))
	if len(ps) > 0 {
		t.Fatal(ps)
	}
	if s.Platform.Timeout != 2*time.Second || s.Limits.MaxBody != 65536 || s.Observe.LogLevel != settings.Info {
		t.Fatalf("%+v", s)
	}
}

// TestParseProblems checks the complete list of problems for each invalid file.
func TestParseProblems(t *testing.T) {
	for _, c := range []struct {
		name, old, new string
		want           []string
	}{
		{"unknown section", "[platform]", "[plattform]", []string{
			"n.ini: [platform] addr: key is missing; allowed: IP:port",
			"n.ini:8: [plattform] section is not known; allowed: node, listen,"}},
		{"unknown key", "id = a", "id = a\nidd = b", []string{"n.ini:3: [node] idd: key is not known; allowed: id, failure_domain"}},
		{"wrong type", "[platform]", "[limits]\nmax_body = many\n[platform]", []string{`n.ini:9: [limits] max_body: "many" cannot be read; allowed: a whole number`}},
		{"out of range", "[platform]", "[limits]\nmax_body = 1\n[platform]", []string{`n.ini:9: [limits] max_body: "1" is not allowed; allowed: a whole number from 1024`}},
		{"host name", "caller = 127.0.0.1:1", "caller = localhost:1", []string{`n.ini:5: [listen] caller: "localhost:1" is not allowed; allowed: IP:port`}},
		{"no token", "127.0.0.1:2", "10.0.0.1:2", []string{`n.ini:4: [listen] operator: "10.0.0.1:2" can be reached`}},
		{"secret not shown", "[platform]", "[operator]\ntoken = hush\n[platform]", []string{`n.ini:9: [operator] token: the value is not allowed`}},
		{"no assignment", "id = a", "id = a\nnonsense", []string{`n.ini:3: cannot read "nonsense"`}},
		{"given twice", "id = a", "id = a\nid = b", []string{"n.ini:3: [node] id: key is given twice, first in line 2"}},
		{"bad header", "[platform]", "[platform] x", []string{"n.ini:8: [platform] header cannot be read"}},
		{"several at once", "id = a\nfailure_domain = sapporo", "failure_domain = SAP\nx = 1", []string{
			"n.ini:1: [node] id: key is missing",
			`n.ini:2: [node] failure_domain: "SAP" is not allowed`,
			"n.ini:3: [node] x: key is not known"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			_, ps := settings.Parse("n.ini", []byte(strings.Replace(validSettings, c.old, c.new, 1)))
			got := problem.Strings(ps)
			same := slices.EqualFunc(got, c.want, strings.HasPrefix)
			if !same {
				t.Errorf("got\n%s\nwant\n%s", strings.Join(got, "\n"), strings.Join(c.want, "\n"))
			}
		})
	}
}

func TestExamples(t *testing.T) {
	files, _ := filepath.Glob("../../../examples/node-*.ini")
	if len(files) != 2 {
		t.Fatal(files)
	}
	for _, f := range files {
		b, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		if _, ps := settings.Parse(f, b); len(ps) > 0 {
			t.Error(ps)
		}
	}
}
