// Package field reads the keys of an INI section into a struct, each by one
// row of a table that also documents it.
//
// # Usage
//
//	var fields = []field.Field[Settings]{
//		field.Duration(field.About{Section: "platform", Key: "timeout", Default: "2s", Help: "..."},
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

// Spec describes one key.
type Spec struct {
	// Section is the kind of section that the key belongs to.
	Section string
	Key     string
	Unit    string
	// Default is used when the key is not given; empty for the zero value.
	Default string
	// Allowed is the range in words.
	Allowed  string
	Help     string
	Required bool
	// Secret values are kept out of messages.
	Secret bool
}

// Field is one key of a struct T.
type Field[T any] struct {
	Spec
	// parse sets the value from text, false when the type is wrong.
	parse func(*T, string) bool
	// valid tells whether the value that is set is in range.
	valid func(*T) bool
}

// ReadFile sets the fields of t from an INI file that has each section once,
// without a name, and returns every problem. The fields' sections are the ones
// that are known.
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

// FindSection returns the first section of a kind without a name, or an empty one, so
// that its missing keys are reported and its defaults set.
func FindSection(f inifile.File, kind string) inifile.Section {
	for _, s := range f.Sections {
		if s.Kind == kind && s.Name == "" {
			return s
		}
	}
	return inifile.Section{Header: kind, Kind: kind}
}

// Sections lists the kinds of section of the fields, in their order.
func Sections[T any](fs []Field[T]) []string {
	var out []string
	for _, f := range fs {
		if !slices.Contains(out, f.Section) {
			out = append(out, f.Section)
		}
	}
	return out
}

// Reference returns the description of every key, in the order of the fields.
func Reference[T any](fs []Field[T]) []Spec {
	out := make([]Spec, len(fs))
	for i, f := range fs {
		out[i] = f.Spec
	}
	return out
}

// Read sets the fields of t that belong to s, defaults included, and returns
// every problem of the section.
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

// read sets one field of t from s.
func (f Field[T]) read(file string, s inifile.Section, t *T) (problem.Problem, bool) {
	p := problem.Problem{File: file, Line: s.Line, Section: s.Header, Key: f.Key, Allowed: f.Allowed}
	i := slices.IndexFunc(s.Keys, func(k inifile.Key) bool { return k.Name == f.Key })
	if i < 0 && f.Required {
		p.Message = "key is missing"
		return p, false
	}
	if i < 0 {
		return p, f.Default == "" || f.parse(t, f.Default)
	}
	k := s.Keys[i]
	p.Line = k.Line
	shown := fmt.Sprintf("%q", k.Value)
	if f.Secret {
		shown = "the value"
	}
	if !f.parse(t, k.Value) {
		p.Message = shown + " cannot be read"
		return p, false
	}
	p.Message = shown + " is not allowed"
	return p, f.valid(t)
}

// Validate returns a problem for each field of t, in the section kind, whose
// value is not allowed.
func Validate[T any](fs []Field[T], header string, t *T) []problem.Problem {
	var ps []problem.Problem
	for _, f := range fs {
		if !f.valid(t) {
			ps = append(ps, problem.Problem{Section: header, Key: f.Key, Message: "the value is not allowed", Allowed: f.Allowed})
		}
	}
	return ps
}

// Keys lists the keys of a kind of section in words.
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
