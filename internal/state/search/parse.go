package search

import (
	"strconv"
	"strings"

	"egrethaven/internal/state/field"
	"egrethaven/internal/state/inifile"
	"egrethaven/internal/state/problem"
)

// Parse parses the definitions in b, one per [search "name"] section. file is
// the file name in problems. The definitions are valid only if there are no
// problems.
func Parse(file string, b []byte) ([]Definition, []problem.Problem) {
	f, ps := inifile.Parse(file, b)
	var ds []Definition
	for _, s := range f.Sections {
		if s.Kind != sectionKind || !field.IsName(s.Name) {
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

// Validate returns all problems of d. It makes the same checks as Parse.
func (d Definition) Validate() []problem.Problem {
	header := sectionKind + " " + strconv.Quote(d.Name)
	ps := field.Validate(fields, header, &d)
	if !field.IsName(d.Name) {
		ps = append(ps, problem.Problem{Section: header, Message: "the name is not allowed", Allowed: "1 to 63 of a-z 0-9 _ . -"})
	}
	return ps
}

// Format returns d as an INI section that Parse accepts.
func (d Definition) Format() string {
	var b strings.Builder
	writeKey := func(k, v string) { b.WriteString(k + " = " + v + "\n") }
	b.WriteString("[" + sectionKind + " " + strconv.Quote(d.Name) + "]\n")
	writeKey("service", d.Service)
	writeKey("schema_versions", joinVersions(d.SchemaVersions))
	writeKey("reconcile", string(d.Reconcile))
	writeKey("prefer", string(d.Prefer))
	writeKey("deadline", d.Deadline.String())
	writeKey("extra_load", strconv.FormatFloat(d.ExtraLoad, 'g', -1, 64))
	writeKey("max_limit", strconv.Itoa(d.MaxLimit))
	writeKey("writes", strconv.FormatBool(d.Writes))
	if d.CanaryText != "" {
		writeKey("canary_text", d.CanaryText)
	}
	if len(d.Shares) > 0 {
		writeKey("shares", joinShares(d.Shares))
	}
	return b.String()
}
