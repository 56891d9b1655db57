package search_test

import (
	"os"
	"reflect"
	"strings"
	"testing"

	"egrethaven/internal/state/problem"
	"egrethaven/internal/state/search"
)

const validSearch = `[search "a"]
service = s
schema_versions = 1, 2
prefer = coverage
deadline = 1s
`

func TestParseProblems(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"a"`, `"A b"`, "1: [search \"A b\"] section is not known"},
		{"[search", "[serch", "1: [serch \"a\"] section is not known"},
		{"1, 2", "1, 1", `3: [search "a"] schema_versions: "1, 1" is not allowed`},
		{"1, 2", "1, x", `3: [search "a"] schema_versions: "1, x" cannot be read`},
		{"prefer = coverage\n", "", `1: [search "a"] prefer: key is missing; allowed: coverage, latency`},
		{"coverage", "both", `4: [search "a"] prefer: "both" is not allowed; allowed: coverage, latency`},
		{"1s", "1h", `5: [search "a"] deadline: "1h" is not allowed`},
		{"1s\n", "1s\nextra_load = 0.6\n", `6: [search "a"] extra_load: "0.6" is not allowed; allowed: a number from 0 to 0.5`},
		{"1s\n", "1s\nextra_load = NaN\n", `6: [search "a"] extra_load: "NaN" cannot be read`},
		{"1s\n", "1s\nshares = x:0.6, y:0.6\n", `6: [search "a"] shares:`},
		{"1s\n", "1s\nwrites = yes\n", `6: [search "a"] writes: "yes" cannot be read; allowed: true or false`},
	} {
		_, ps := search.Parse("f", []byte(strings.Replace(validSearch, c.old, c.new, 1)))
		got := strings.Join(problem.Strings(ps), "\n")
		if len(ps) != 1 || !strings.HasPrefix(got, "f:"+c.want) {
			t.Errorf("%q: got %q, want %q", c.new, got, c.want)
		}
	}
	if _, ps := search.Parse("f", nil); len(ps) != 1 {
		t.Error("an empty file must have exactly one problem")
	}
}

func TestValidateReportsEveryInvalidField(t *testing.T) {
	var d search.Definition
	if got := len(d.Validate()); got != 7 {
		t.Errorf("%d problems: %v", got, d.Validate())
	}
}

func TestExamples(t *testing.T) {
	for file, prefer := range map[string]search.Preference{"takasago": search.PreferCoverage, "moisi": search.PreferLatency} {
		b, err := os.ReadFile("../../../examples/" + file + ".ini")
		if err != nil {
			t.Fatal(err)
		}
		ds, ps := search.Parse(file, b)
		if len(ps) > 0 || len(ds) != 4 || ds[0].Prefer != prefer {
			t.Error(file, ps, ds)
		}
	}
}

// FuzzParse checks that definitions accepted by Parse pass Validate and are
// unchanged after Format and a second Parse.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validSearch))
	f.Add([]byte(validSearch + "canary_text = \"x # y\"\nshares = a:0.5,b:1e-9\n"))
	f.Add([]byte("[search \"a\"\n= ]\n`"))
	f.Fuzz(func(t *testing.T, b []byte) {
		ds, ps := search.Parse("f", b)
		if len(ps) > 0 {
			return
		}
		text := ""
		for _, d := range ds {
			if ps := d.Validate(); len(ps) > 0 {
				t.Fatal(ps)
			}
			text += d.Format()
		}
		again, ps := search.Parse("f", []byte(text))
		if len(ps) > 0 || !reflect.DeepEqual(ds, again) {
			t.Fatalf("%v\n%+v\n%+v", ps, ds, again)
		}
	})
}
