package dataset

import (
	"cmp"
	"slices"
	"strings"

	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/record"
)

// Query selects records of an index.
type Query struct {
	SchemaVersions []int
	Text           string
	Filters        []ask.Filter
	// Limit is the maximum number of keys; 0 means no limit.
	Limit int
}

// Scores of a text match.
const (
	scoreExact     = 1.0
	scoreSubstring = 0.5
)

// Search returns the hits in range r of a version, by descending score, and
// the number of matching keys, before q.Limit. A key matches if one of its
// records in an accepted schema version does; all its records in accepted
// schema versions are returned, because the tier selects the current one.
func (t *GroundTruth) Search(number uint64, r keyrange.Range, q Query) (hits []ask.Hit, total int) {
	v := t.version(number)
	if v == nil {
		return nil, 0
	}
	var ms []match
	for _, g := range v.groupsIn(r) {
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

// match is a matching key with its records in accepted schema versions.
type match struct {
	key     string
	score   float64
	records []record.Record
}

// compare orders matches by descending score, then by key.
func (m match) compare(o match) int {
	if c := cmp.Compare(o.score, m.score); c != 0 {
		return c
	}
	return cmp.Compare(m.key, o.key)
}

// match returns the match of group g, and false if none of its records match
// q.
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

// score returns the score of r, and false if r does not match q. The text
// must occur in the key or a field, ignoring case.
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
	best := textScore(r.Key, text)
	for _, v := range r.Fields {
		best = max(best, textScore(v, text))
	}
	return best, best > 0
}

// textScore returns the score of one value; 0 means no match.
func textScore(value, text string) float64 {
	value = strings.ToLower(value)
	switch {
	case value == text:
		return scoreExact
	case strings.Contains(value, text):
		return scoreSubstring
	}
	return 0
}
