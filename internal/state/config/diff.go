package config

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"slices"

	"egrethaven/internal/state/search"
)

const (
	// maxChangeID bounds the id of a change, in bytes.
	maxChangeID = 128
	// maxPut bounds how many searches one change may put or delete.
	maxPut = 1000
)

// problems returns what is not valid about a change.
func (m *Manager) problems(c Change) []string {
	var ps []string
	if c.ID == "" || len(c.ID) > maxChangeID {
		ps = append(ps, fmt.Sprintf("change_id: has to have 1 to %d bytes", maxChangeID))
	}
	if n := len(c.Put) + len(c.Delete); n == 0 || n > maxPut {
		ps = append(ps, fmt.Sprintf("a change has to name 1 to %d searches", maxPut))
	}
	seen := map[string]bool{}
	for _, d := range c.Put {
		if d.Name == "" || seen[d.Name] {
			ps = append(ps, fmt.Sprintf("search %q: named twice or not at all", d.Name))
		}
		seen[d.Name] = true
		if m.c.Check == nil {
			continue
		}
		for _, p := range m.c.Check(d) {
			ps = append(ps, fmt.Sprintf("search %q: %s", d.Name, p))
		}
	}
	for _, n := range c.Delete {
		if seen[n] {
			ps = append(ps, fmt.Sprintf("search %q: put and deleted at once", n))
		}
	}
	return ps
}

// Diff shows, line by line, how the searches in force differ from what a
// change asks for.
func Diff(s *Snapshot, c Change) []string {
	var out []string
	for _, d := range c.Put {
		have, ok := s.Searches[d.Name]
		if !ok {
			out = append(out, fmt.Sprintf("%s: not there; asked to be put", d.Name))
			continue
		}
		out = append(out, fields(have, d)...)
	}
	for _, n := range c.Delete {
		if _, ok := s.Searches[n]; ok {
			out = append(out, fmt.Sprintf("%s: there; asked to be deleted", n))
		}
	}
	return out
}

// fields compares two definitions of one search, field by field.
func fields(have, asked search.Definition) []string {
	a, b := object(have), object(asked)
	all := maps.Clone(a)
	maps.Copy(all, b)
	var out []string
	for _, k := range slices.Sorted(maps.Keys(all)) {
		if !bytes.Equal(a[k], b[k]) {
			out = append(out, fmt.Sprintf("%s.%s: current %s, asked %s", have.Name, k, orNone(a[k]), orNone(b[k])))
		}
	}
	return out
}

func orNone(b json.RawMessage) string {
	if len(b) == 0 {
		return "none"
	}
	return string(b)
}

// object splits a definition into its JSON fields.
func object(d search.Definition) map[string]json.RawMessage {
	var o map[string]json.RawMessage
	if err := json.Unmarshal(encodeDocument(d), &o); err != nil {
		panic(err)
	}
	return o
}
