package merge

import (
	"testing"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/record"
	"egrethaven/internal/state/search"
)

func hit(key string, schema int, revision uint64, text string) ask.Hit {
	return ask.Hit{Record: record.Record{Key: key, SchemaVersion: schema, Revision: revision, Fields: record.Fields{"text": text}}, Score: 1}
}

func TestNewestStateHasToMatch(t *testing.T) {
	lists := [][]ask.Hit{
		{hit("a", 1, 5, "joint"), hit("a", 2, 7, "joint")},
		{hit("b", 2, 3, "joint"), hit("b", 1, 4, "moved")},
	}
	m := Merger{Reconcile: search.ReconcileNewestRevision, Text: "JOINT", Limit: 10}
	got := m.Merge(lists)
	if len(got) != 1 || got[0].Key != "a" || got[0].SchemaVersion != 2 {
		t.Fatalf("newest_revision: %+v", got)
	}
	m.Reconcile = search.ReconcileNewestSchema
	got = m.Merge(lists)
	if len(got) != 2 || got[1].Key != "b" || got[1].SchemaVersion != 2 {
		t.Fatalf("newest_schema: %+v", got)
	}
}

// TestEachRecordOnce checks that the result doesn't depend on how records are
// split over lists, nor on their order.
func TestEachRecordOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ask.Hit {
			h := hit(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), rapid.IntRange(1, 2).Draw(t, "schema"), rapid.Uint64Range(1, 3).Draw(t, "revision"), "x")
			return h
		}), 0, 12).Draw(t, "hits")
		split := rapid.IntRange(0, len(all)).Draw(t, "cut")
		m := Merger{Reconcile: search.ReconcileNewestRevision, Limit: 3}
		first, second := m.Merge([][]ask.Hit{all}), m.Merge([][]ask.Hit{all[split:], all[:split]})
		if len(first) != len(second) || len(first) > 3 {
			t.Fatalf("%d and %d hits", len(first), len(second))
		}
		for i := range first {
			if first[i].Key != second[i].Key || first[i].Revision != second[i].Revision || first[i].SchemaVersion != second[i].SchemaVersion {
				t.Fatalf("%v and %v", first, second)
			}
			if i > 0 && first[i].Key <= first[i-1].Key {
				t.Fatalf("key %s twice or out of order", first[i].Key)
			}
		}
	})
}
