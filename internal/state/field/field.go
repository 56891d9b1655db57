// Package field parses INI sections into structs. Each key is defined by one
// entry of a table, which also holds its documentation.
//
// # Usage
//
//	var fields = []field.Field[Settings]{
//		field.Duration(field.Spec{Section: "platform", Key: "timeout", Default: "2s", Help: "..."},
//			50*time.Millisecond, 30*time.Second, func(s *Settings) *time.Duration { return &s.Platform.Timeout }),
//	}
//	ps := field.Read(fields, "node.ini", section, &s)
package field

import (
	"fmt"
	"slices"
	"strings"

	"egrethaven/internal/state/inifile"
	"egrethaven/internal/state/problem"
)

// Spec is the definition of one key.
type Spec struct {
	// Section is the kind of the section that contains the key.
	Section string
	Key     string
	Unit    string
	// Default is the value if the key is missing or has no text; if empty, the zero value.
	Default string
	// Allowed describes the allowed values.
	Allowed  string
	Help     string
	Required bool
	// Secret keeps the value out of error messages.
	Secret bool
}

// Field maps one key to a field of the struct T.
type Field[T any] struct {
	Spec
	// parse sets the value from text. It returns false if the text does not
	// have the type of the field.
	parse func(*T, string) bool
	// valid returns true if the current value is allowed.
	valid func(*T) bool
}

// ReadFile sets the fields of t from an INI file and returns all problems. The
// file may contain only the sections of the fields, each at most once and
// without a name.
func ReadFile[T any](fs []Field[T], f inifile.File, t *T) []problem.Problem {
	var ps []problem.Problem
	known := Sections(fs)
	for _, sec := range f.Sections {
		if sec.Name != "" || !slices.Contains(known, sec.Kind) {
			ps = append(ps, problem.Problem{File: f.Name, Line: sec.Line, Section: sec.Header,
				Message: "section is not known", Allowed: strings.Join(known, ", ")})
		}
	}
	for _, kind := range known {
		ps = append(ps, Read(fs, f.Name, FindSection(f, kind), t)...)
	}
	return ps
}

// FindSection returns the first unnamed section of a kind. If there is none, it
// returns an empty section, so that missing keys are reported and defaults are
// set.
func FindSection(f inifile.File, kind string) inifile.Section {
	for _, s := range f.Sections {
		if s.Kind == kind && s.Name == "" {
			return s
		}
	}
	return inifile.Section{Header: kind, Kind: kind}
}

// Sections returns the section kinds of the fields, in order of first use.
func Sections[T any](fs []Field[T]) []string {
	var out []string
	for _, f := range fs {
		if !slices.Contains(out, f.Section) {
			out = append(out, f.Section)
		}
	}
	return out
}

// Reference returns the definitions of all keys, in the order of the fields.
func Reference[T any](fs []Field[T]) []Spec {
	out := make([]Spec, len(fs))
	for i, f := range fs {
		out[i] = f.Spec
	}
	return out
}

// Read sets the fields of t that belong to section s, including defaults, and
// returns all problems of the section.
func Read[T any](fs []Field[T], file string, s inifile.Section, t *T) []problem.Problem {
	var ps []problem.Problem
	for _, k := range s.Keys {
		known := func(f Field[T]) bool { return f.Section == s.Kind && f.Key == k.Name }
		if !slices.ContainsFunc(fs, known) {
			ps = append(ps, problem.Problem{File: file, Line: k.Line, Section: s.Header, Key: k.Name,
				Message: "key is not known", Allowed: Keys(fs, s.Kind)})
		}
	}
	for _, f := range fs {
		if f.Section != s.Kind {
			continue
		}
		if p, ok := f.read(file, s, t); !ok {
			ps = append(ps, p)
		}
	}
	return ps
}

// read sets one field of t from section s. If the value is missing or invalid,
// it returns the problem and false.
func (f Field[T]) read(file string, s inifile.Section, t *T) (problem.Problem, bool) {
	p := problem.Problem{File: file, Line: s.Line, Section: s.Header, Key: f.Key, Allowed: f.Allowed}
	i := slices.IndexFunc(s.Keys, func(k inifile.Key) bool { return k.Name == f.Key })
	if i < 0 && f.Required {
		p.Message = "key is missing"
		return p, false
	}
	// A placeholder of a template that has no value is filled in as empty text.
	if i < 0 || f.Default != "" && s.Keys[i].Value == "" {
		return p, f.Default == "" || f.parse(t, f.Default)
	}
	k := s.Keys[i]
	p.Line = k.Line
	quoted := fmt.Sprintf("%q", k.Value)
	if f.Secret {
		quoted = "the value"
	}
	if !f.parse(t, k.Value) {
		p.Message = quoted + " cannot be read"
		return p, false
	}
	p.Message = quoted + " is not allowed"
	return p, f.valid(t)
}

// Validate returns a problem for each field of t whose value is not allowed.
// header is the section header in the problems.
func Validate[T any](fs []Field[T], header string, t *T) []problem.Problem {
	var ps []problem.Problem
	for _, f := range fs {
		if !f.valid(t) {
			ps = append(ps, problem.Problem{Section: header, Key: f.Key, Message: "the value is not allowed", Allowed: f.Allowed})
		}
	}
	return ps
}

// Keys returns the keys of a section kind, separated by commas.
func Keys[T any](fs []Field[T], kind string) string {
	var s string
	for _, f := range fs {
		if f.Section != kind {
			continue
		}
		if s != "" {
			s += ", "
		}
		s += f.Key
	}
	return s
}
