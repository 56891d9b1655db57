package search

import (
	"strconv"
	"strings"

	"egrethaven/internal/state/field"
	"egrethaven/internal/state/inifile"
	"egrethaven/internal/state/problem"
)

// Parse reads the definitions in b, one [search "name"] section each; file is
// the file's name for problems. The definitions may be used only when there
// is no problem.
func Parse(file string, b []byte) ([]Definition, []problem.Problem) {
	f, ps := inifile.Parse(file, b)
	var ds []Definition
	for _, s := range f.Sections {
		if s.Kind != kind || !field.IsName(s.Name) {
			ps = append(ps, problem.Problem{File: file, Line: s.Line, Section: s.Header,
				Message: "section is not known", Allowed: `[search "name"], the name 1 to 63 of a-z 0-9 _ . -`})
			continue
		}
		d := Definition{Name: s.Name}
		ps = append(ps, field.Read(fields, file, s, &d)...)
		ds = append(ds, d)
	}
	if len(f.Sections) == 0 && len(ps) == 0 {
		ps = append(ps, problem.Problem{File: file, Message: "no search is defined", Allowed: `at least one [search "name"] section`})
	}
	problem.Sort(ps)
	return ds, ps
}

// Validate returns every problem of d, as strictly as Parse.
func (d Definition) Validate() []problem.Problem {
	header := kind + " " + strconv.Quote(d.Name)
	ps := field.Validate(fields, header, &d)
	if !field.IsName(d.Name) {
		ps = append(ps, problem.Problem{Section: header, Message: "the name is not allowed", Allowed: "1 to 63 of a-z 0-9 _ . -"})
	}
	return ps
}

// Format returns d in the form that Parse reads.
func (d Definition) Format() string {
	var b strings.Builder
	line := func(k, v string) { b.WriteString(k + " = " + v + "\n") }
	b.WriteString("[" + kind + " " + strconv.Quote(d.Name) + "]\n")
	line("service", d.Service)
	line("schema_versions", joinVersions(d.SchemaVersions))
	line("reconcile", string(d.Reconcile))
	line("prefer", string(d.Prefer))
	line("deadline", d.Deadline.String())
	line("extra_load", strconv.FormatFloat(d.ExtraLoad, 'g', -1, 64))
	line("max_limit", strconv.Itoa(d.MaxLimit))
	line("writes", strconv.FormatBool(d.Writes))
	if d.CanaryText != "" {
		line("canary_text", d.CanaryText)
	}
	if len(d.Shares) > 0 {
		line("shares", joinShares(d.Shares))
	}
	return b.String()
}
