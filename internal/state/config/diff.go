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
	// maxChangeIDBytes bounds the length of a change ID.
	maxChangeIDBytes = 128
	// maxChangedSearches bounds the number of searches that one change puts and
	// deletes.
	maxChangedSearches = 1000
)

// validateChange returns the problems of a change.
func (m *Manager) validateChange(c Change) []string {
	var ps []string
	if c.ID == "" || len(c.ID) > maxChangeIDBytes {
		ps = append(ps, fmt.Sprintf("change_id: has to have 1 to %d bytes", maxChangeIDBytes))
	}
	if n := len(c.Put) + len(c.Delete); n == 0 || n > maxChangedSearches {
		ps = append(ps, fmt.Sprintf("a change has to name 1 to %d searches", maxChangedSearches))
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

// Diff lists the differences between the searches of a snapshot and those that
// a change requests.
func Diff(s *Snapshot, c Change) []string {
	var out []string
	for _, d := range c.Put {
		current, ok := s.Searches[d.Name]
		if !ok {
			out = append(out, fmt.Sprintf("%s: not there; asked to be put", d.Name))
			continue
		}
		out = append(out, diffFields(current, d)...)
	}
	for _, n := range c.Delete {
		if _, ok := s.Searches[n]; ok {
			out = append(out, fmt.Sprintf("%s: there; asked to be deleted", n))
		}
	}
	return out
}

// diffFields compares two definitions of one search, field by field.
func diffFields(current, requested search.Definition) []string {
	a, b := jsonFields(current), jsonFields(requested)
	all := maps.Clone(a)
	maps.Copy(all, b)
	var out []string
	for _, k := range slices.Sorted(maps.Keys(all)) {
		if !bytes.Equal(a[k], b[k]) {
			out = append(out, fmt.Sprintf("%s.%s: current %s, asked %s", current.Name, k, orNone(a[k]), orNone(b[k])))
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

// jsonFields returns the JSON fields of a definition by name.
func jsonFields(d search.Definition) map[string]json.RawMessage {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(encodeDocument(d), &fields); err != nil {
		panic(err)
	}
	return fields
}
