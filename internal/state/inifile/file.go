// Package inifile reads INI text into sections and keys that know their line.
//
// Every line is given to the INI library on its own, so that each fault is
// reported with its line and the rest of the file is still read. Continuation
// lines and multi-line values are not part of the form.
//
// # Usage
//
//	f, ps := inifile.Parse("node.ini", b)
//	for _, s := range f.Sections { ... }
package inifile

import (
	"bytes"
	"fmt"
	"strconv"
	"strings"

	"gopkg.in/ini.v1"

	"egrethaven/internal/state/problem"
)

// MaxSize is the largest file that is read, in bytes.
const MaxSize = 1 << 20

// Key is one assignment.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is a header with the keys under it.
type Section struct {
	// Header is the text between the brackets.
	Header string
	// Kind is the first word of the header.
	Kind string
	// Name is the quoted word after the kind, if there is one.
	Name string
	Line int
	Keys []Key
}

// File is the content of one INI file.
type File struct {
	Name     string
	Sections []Section
}

// options make the library accept one plain assignment or header a line.
var options = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// Parse reads b. It returns what could be read and a problem for each line
// that could not, for each section or key given twice.
func Parse(name string, b []byte) (File, []problem.Problem) {
	f := File{Name: name}
	if len(b) > MaxSize {
		what := fmt.Sprintf("file has %d bytes", len(b))
		return f, []problem.Problem{{File: name, Message: what, Allowed: "at most 1048576 bytes"}}
	}
	var ps []problem.Problem
	for i, line := range bytes.Split(b, []byte("\n")) {
		if p, ok := f.add(i+1, bytes.TrimSpace(line)); !ok {
			ps = append(ps, p)
		}
	}
	return f, ps
}

// add takes in one line.
func (f *File) add(n int, line []byte) (problem.Problem, bool) {
	p := problem.Problem{File: f.Name, Line: n}
	if len(line) == 0 || line[0] == '#' || line[0] == ';' {
		return p, true
	}
	one, err := ini.LoadSources(options, line)
	if err != nil {
		p.Message, p.Allowed = fmt.Sprintf("cannot read %q", clip(line)), "[section], key = value, or # comment"
		return p, false
	}
	if line[0] == '[' {
		return f.addSection(p, line, one)
	}
	return f.addKey(p, one)
}

// addSection begins the section of a header line.
func (f *File) addSection(p problem.Problem, line []byte, one *ini.File) (problem.Problem, bool) {
	names := one.SectionStrings()
	header := names[len(names)-1]
	p.Section = header
	rest := bytes.TrimSpace(line[bytes.LastIndexByte(line, ']')+1:])
	s := Section{Header: header, Line: p.Line}
	kind, name, _ := strings.Cut(header, " ")
	s.Kind = kind
	bad := len(rest) > 0 && rest[0] != '#' && rest[0] != ';'
	if name = strings.TrimSpace(name); name != "" {
		u, err := strconv.Unquote(name)
		s.Name = u
		bad = bad || err != nil
	}
	// A header that cannot be read still takes the keys under it, so that
	// they are not reported against the section before.
	repeated := f.has(header)
	f.Sections = append(f.Sections, s)
	if bad {
		p.Message, p.Allowed = "header cannot be read", `[kind] or [kind "name"]`
		return p, false
	}
	if repeated {
		p.Message = "section is given twice"
		return p, false
	}
	return p, true
}

// addKey takes in one assignment.
func (f *File) addKey(p problem.Problem, one *ini.File) (problem.Problem, bool) {
	keys := one.Section(ini.DefaultSection).Keys()
	if len(keys) != 1 {
		p.Message, p.Allowed = "cannot be read", "key = value"
		return p, false
	}
	k := Key{Name: keys[0].Name(), Value: keys[0].Value(), Line: p.Line}
	p.Key = k.Name
	if len(f.Sections) == 0 {
		p.Message, p.Allowed = "key stands before any section", "a [section] line first"
		return p, false
	}
	s := &f.Sections[len(f.Sections)-1]
	p.Section = s.Header
	for _, o := range s.Keys {
		if o.Name == k.Name {
			p.Message = fmt.Sprintf("key is given twice, first in line %d", o.Line)
			return p, false
		}
	}
	s.Keys = append(s.Keys, k)
	return p, true
}

// has tells whether a section with the header was read before.
func (f *File) has(header string) bool {
	for _, s := range f.Sections {
		if s.Header == header {
			return true
		}
	}
	return false
}

// clip shortens a line for a message.
func clip(b []byte) string {
	const limit = 60
	if len(b) <= limit {
		return string(b)
	}
	return string(b[:limit]) + "..."
}
