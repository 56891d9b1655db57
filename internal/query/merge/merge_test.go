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

func TestNewestStateDecides(t *testing.T) {
	lists := [][]ask.Hit{
		{hit("a", 1, 5, "joint"), hit("a", 2, 7, "joint")},
		{hit("b", 2, 3, "joint"), hit("b", 1, 4, "moved")},
	}
	m := Merger{Reconcile: search.NewestRevision, Text: "JOINT", Limit: 10}
	got := m.Merge(lists)
	if len(got) != 1 || got[0].Key != "a" || got[0].SchemaVersion != 2 {
		t.Fatalf("newest_revision: %+v", got)
	}
	m.Reconcile = search.NewestSchema
	got = m.Merge(lists)
	if len(got) != 2 || got[1].Key != "b" || got[1].SchemaVersion != 2 {
		t.Fatalf("newest_schema: %+v", got)
	}
}

// TestEachRecordOnce checks that the split of records over lists, and their
// order, never changes the result.
func TestEachRecordOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) ask.Hit {
			h := hit(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key"), rapid.IntRange(1, 2).Draw(t, "schema"), rapid.Uint64Range(1, 3).Draw(t, "revision"), "x")
			return h
		}), 0, 12).Draw(t, "hits")
		cut := rapid.IntRange(0, len(all)).Draw(t, "cut")
		m := Merger{Reconcile: search.NewestRevision, Limit: 3}
		one, two := m.Merge([][]ask.Hit{all}), m.Merge([][]ask.Hit{all[cut:], all[:cut]})
		if len(one) != len(two) || len(one) > 3 {
			t.Fatalf("%d and %d hits", len(one), len(two))
		}
		for i := range one {
			if one[i].Key != two[i].Key || one[i].Revision != two[i].Revision || one[i].SchemaVersion != two[i].SchemaVersion {
				t.Fatalf("%v and %v", one, two)
			}
			if i > 0 && one[i].Key <= one[i-1].Key {
				t.Fatalf("key %s twice or out of order", one[i].Key)
			}
		}
	})
}
