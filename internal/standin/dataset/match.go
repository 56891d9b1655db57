package dataset

import (
	"cmp"
	"slices"
	"strings"

	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/record"
)

// Query is what a searcher is asked to find.
type Query struct {
	SchemaVersions []int
	Text           string
	Filters        []ask.Filter
	// Limit is the largest number of keys; 0 is none.
	Limit int
}

// The scores of a match of the text.
const (
	scoreExact = 1.0
	scorePart  = 0.5
)

// Search returns the matches in one range of a version, best first, and the
// number of keys that match. A key matches when one of its records in an
// accepted schema version does; all its accepted records are returned, so
// that the tier can choose the valid one. Limit counts keys.
func (t *GroundTruth) Search(number uint64, r keyrange.Range, q Query) (hits []ask.Hit, total int) {
	v := t.version(number)
	if v == nil {
		return nil, 0
	}
	var ms []match
	for _, g := range v.in(r) {
		if m, ok := q.match(g); ok {
			ms = append(ms, m)
		}
	}
	total = len(ms)
	slices.SortFunc(ms, match.compare)
	if q.Limit > 0 && len(ms) > q.Limit {
		ms = ms[:q.Limit]
	}
	for _, m := range ms {
		for _, rec := range m.records {
			hits = append(hits, ask.Hit{Record: rec, Score: m.score})
		}
	}
	return hits, total
}

// match is a key that matches, with its accepted records.
type match struct {
	key     string
	score   float64
	records []record.Record
}

// compare orders matches by falling score, then by key.
func (m match) compare(o match) int {
	if c := cmp.Compare(o.score, m.score); c != 0 {
		return c
	}
	return cmp.Compare(m.key, o.key)
}

// match tells whether a record of g matches q.
func (q Query) match(g group) (match, bool) {
	m := match{key: g.key}
	found := false
	for _, r := range g.records {
		if !slices.Contains(q.SchemaVersions, r.SchemaVersion) {
			continue
		}
		m.records = append(m.records, r)
		if s, ok := q.score(r); ok {
			found = true
			m.score = max(m.score, s)
		}
	}
	return m, found
}

// score tells whether r matches q, and how well. The text has to occur in
// the key or in a field, without regard to case.
func (q Query) score(r record.Record) (float64, bool) {
	for _, f := range q.Filters {
		if r.Fields[f.Field] != f.Value {
			return 0, false
		}
	}
	if q.Text == "" {
		return 0, true
	}
	text := strings.ToLower(q.Text)
	best := scoreOf(r.Key, text)
	for _, v := range r.Fields {
		best = max(best, scoreOf(v, text))
	}
	return best, best > 0
}

// scoreOf returns the score of one value; 0 is no match.
func scoreOf(value, text string) float64 {
	value = strings.ToLower(value)
	switch {
	case value == text:
		return scoreExact
	case strings.Contains(value, text):
		return scorePart
	}
	return 0
}
