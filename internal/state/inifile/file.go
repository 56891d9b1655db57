// Package inifile parses INI files into sections and keys with line numbers.
//
// Each line is passed to the INI library separately, so that every syntax error
// is reported with its line number and the rest of the file is still parsed.
// Continuation lines and multi-line values are not supported.
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

// MaxSize is the maximum size of a file, in bytes.
const MaxSize = 1 << 20

// Key is a key = value line.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is a section header and the keys that follow it.
type Section struct {
	// Header is the text between the brackets.
	Header string
	// Kind is the first word of the header.
	Kind string
	// Name is the unquoted name after the kind, or empty.
	Name string
	Line int
	Keys []Key
}

// File is a parsed INI file.
type File struct {
	Name     string
	Sections []Section
	// secret keeps lines out of problems.
	secret bool
	// headers are the headers of the sections.
	headers map[string]bool
}

// loadOptions makes the library accept one key = value or header per line.
var loadOptions = ini.LoadOptions{
	IgnoreContinuation:       true,
	SpaceBeforeInlineComment: true,
	KeyValueDelimiters:       "=",
}

// Parse parses b. It returns all sections and keys that it could parse, and a
// problem for each line with a syntax error and each duplicate section or key.
// name is the file name in problems.
func Parse(name string, b []byte) (File, []problem.Problem) {
	return parse(File{Name: name}, b)
}

// parse adds the lines of b to f.
func parse(f File, b []byte) (File, []problem.Problem) {
	if len(b) > MaxSize {
		message := fmt.Sprintf("file has %d bytes", len(b))
		return f, []problem.Problem{{File: f.Name, Message: message, Allowed: "at most 1048576 bytes"}}
	}
	f.headers = map[string]bool{}
	var ps []problem.Problem
	for i, line := range bytes.Split(b, []byte("\n")) {
		if p, ok := f.addLine(i+1, bytes.TrimSpace(line)); !ok {
			ps = append(ps, p)
		}
	}
	return f, ps
}

// ParseSecret is Parse for a file with secrets. Problems do not quote lines; the sections and keys
// that they name may still be text of the file.
func ParseSecret(name string, b []byte) (File, []problem.Problem) {
	return parse(File{Name: name, secret: true}, b)
}

// addLine adds one line to f, or returns a problem and false.
func (f *File) addLine(lineNumber int, line []byte) (problem.Problem, bool) {
	p := problem.Problem{File: f.Name, Line: lineNumber}
	if len(line) == 0 || line[0] == '#' || line[0] == ';' {
		return p, true
	}
	parsed, err := ini.LoadSources(loadOptions, line)
	if err != nil {
		p.Message, p.Allowed = fmt.Sprintf("cannot read %q", truncate(line)), "[section], key = value, or # comment"
		if f.secret {
			p.Message = "cannot be read"
		}
		return p, false
	}
	if line[0] == '[' {
		return f.addSection(p, line, parsed)
	}
	return f.addKey(p, parsed)
}

// addSection adds the section that starts with the header line.
func (f *File) addSection(p problem.Problem, line []byte, parsed *ini.File) (problem.Problem, bool) {
	names := parsed.SectionStrings()
	header := names[len(names)-1]
	p.Section = header
	rest := bytes.TrimSpace(line[bytes.LastIndexByte(line, ']')+1:])
	s := Section{Header: header, Line: p.Line}
	kind, name, _ := strings.Cut(header, " ")
	s.Kind = kind
	invalid := len(rest) > 0 && rest[0] != '#' && rest[0] != ';'
	if name = strings.TrimSpace(name); name != "" {
		unquoted, err := strconv.Unquote(name)
		s.Name = unquoted
		invalid = invalid || err != nil
	}
	// An invalid header still starts a section, so that the keys after it are
	// not reported as keys of the previous section.
	duplicate := f.headers[header]
	f.headers[header] = true
	f.Sections = append(f.Sections, s)
	if invalid {
		p.Message, p.Allowed = "header cannot be read", `[kind] or [kind "name"]`
		return p, false
	}
	if duplicate {
		p.Message = "section is given twice"
		return p, false
	}
	return p, true
}

// addKey adds a key to the last section.
func (f *File) addKey(p problem.Problem, parsed *ini.File) (problem.Problem, bool) {
	keys := parsed.Section(ini.DefaultSection).Keys()
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
	for _, previous := range s.Keys {
		if previous.Name == k.Name {
			p.Message = fmt.Sprintf("key is given twice, first in line %d", previous.Line)
			return p, false
		}
	}
	s.Keys = append(s.Keys, k)
	return p, true
}

// truncate shortens a line for an error message.
func truncate(b []byte) string {
	const maxBytes = 60
	if len(b) <= maxBytes {
		return string(b)
	}
	return string(b[:maxBytes]) + "..."
}
