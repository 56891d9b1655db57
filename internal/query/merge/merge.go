// Package merge makes one list of hits from the answers of many shards.
//
// A record may be held in several schema versions while a migration runs,
// and the old ledger may hold it beside the new system. It is returned once:
// the definition of the search tells which state wins. The winner has to
// match the question itself; an older state that matched does not bring back
// a record whose newest state does not.
//
// # Usage
//
//	m := merge.Merger{Reconcile: search.NewestRevision, Text: a.Text, Filters: a.Filters, Limit: a.Limit}
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

// Merger joins lists of hits.
type Merger struct {
	Reconcile search.Reconcile
	Text      string
	Filters   []ask.Filter
	Limit     int
}

// Merge returns the best hits of all lists, each record once, in order of
// falling score and then of key.
func (m Merger) Merge(lists [][]ask.Hit) []ask.Hit {
	n := 0
	for _, l := range lists {
		n += len(l)
	}
	all := make([]ask.Hit, 0, n)
	at := make(map[string]int, n)
	for _, l := range lists {
		for _, h := range l {
			i, seen := at[h.Key]
			if !seen {
				at[h.Key] = len(all)
				all = append(all, h)
			} else if m.newer(h, all[i]) {
				all[i] = h
			}
		}
	}
	all = slices.DeleteFunc(all, func(h ask.Hit) bool { return !Match(h.Record, m.Text, m.Filters) })
	slices.SortFunc(all, better)
	return all[:min(m.Limit, len(all))]
}

// newer tells whether a replaces b, which has the same key.
func (m Merger) newer(a, b ask.Hit) bool {
	if m.Reconcile == search.NewestSchema && a.SchemaVersion != b.SchemaVersion {
		return a.SchemaVersion > b.SchemaVersion
	}
	if a.Revision != b.Revision {
		return a.Revision > b.Revision
	}
	return a.SchemaVersion > b.SchemaVersion
}

// better orders hits as they are returned.
func better(a, b ask.Hit) int {
	if c := cmp.Compare(b.Score, a.Score); c != 0 {
		return c
	}
	return strings.Compare(a.Key, b.Key)
}

// Match tells whether a record answers the question: text occurs in its key
// or one of its fields, without regard to case, and every filter holds.
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
