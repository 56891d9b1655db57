// Package merge merges the hits of many shards into one list.
//
// During a migration, a record may exist in several schema versions or in both
// the old ledger and the new system. It is returned once, in the state that the
// search definition selects. That state has to match the query: a record is
// left out if only an older state of it matches.
//
// # Usage
//
//	m := merge.Merger{Reconcile: search.ReconcileNewestRevision, Text: a.Text, Filters: a.Filters, Limit: a.Limit}
//	hits := m.Merge(lists)
package merge

import (
	"cmp"
	"slices"
	"strings"

	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/record"
	"egrethaven/internal/state/search"
)

// Merger merges the lists of hits of one query.
type Merger struct {
	Reconcile search.Reconcile
	Text      string
	Filters   []ask.Filter
	Limit     int
}

// Merge returns up to Limit hits of all lists, each record once, by descending
// score and ascending key.
func (m Merger) Merge(lists [][]ask.Hit) []ask.Hit {
	n := 0
	for _, l := range lists {
		n += len(l)
	}
	all := make([]ask.Hit, 0, n)
	index := make(map[string]int, n)
	for _, l := range lists {
		for _, h := range l {
			i, seen := index[h.Key]
			if !seen {
				index[h.Key] = len(all)
				all = append(all, h)
			} else if m.newer(h, all[i]) {
				all[i] = h
			}
		}
	}
	all = slices.DeleteFunc(all, func(h ask.Hit) bool { return !Match(h.Record, m.Text, m.Filters) })
	slices.SortFunc(all, compareHits)
	return all[:min(m.Limit, len(all))]
}

// newer reports whether a replaces b, which has the same key.
func (m Merger) newer(a, b ask.Hit) bool {
	if m.Reconcile == search.ReconcileNewestSchema && a.SchemaVersion != b.SchemaVersion {
		return a.SchemaVersion > b.SchemaVersion
	}
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.SchemaVersion > b.SchemaVersion
}

// compareHits orders hits by descending score and ascending key.
func compareHits(a, b ask.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return strings.Compare(a.Key, b.Key)
}

// Match reports whether a record matches a query: text occurs in its key or one
// of its fields, ignoring case, and every filter matches.
func Match(r record.Record, text string, filters []ask.Filter) bool {
	for _, f := range filters {
		if r.Fields[f.Field] != f.Value {
			return false
		}
	}
	if text == "" {
		return true
	}
	t := strings.ToLower(text)
	if strings.Contains(strings.ToLower(r.Key), t) {
		return true
	}
	for _, v := range r.Fields {
		if strings.Contains(strings.ToLower(v), t) {
			return true
		}
	}
	return false
}
