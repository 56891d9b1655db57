package dataset_test

import (
	"testing"

	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/query/record"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/state/search"
)

var (
	definition = search.Definition{Name: "jobs", SchemaVersions: []int{2}, Reconcile: search.ReconcileNewestRevision}
	question   = ask.Query{QueryID: "q", Search: "jobs", Text: "Otaru"}
)

// right returns the true answer over some ranges of a version.
func right(t *dataset.Truth, version uint64, rs []keyrange.Range) ask.Answer {
	a := ask.Answer{QueryID: "q", Search: "jobs", Outcome: outcome.OK()}
	for _, r := range rs {
		hits, total := t.Search(version, r, dataset.Request{SchemaVersions: []int{2}, Text: "Otaru"})
		a.Hits = append(a.Hits, hits...)
		a.Total += total
	}
	a.Coverage = coverage.New(version, rs, nil)
	a.Complete = a.Coverage.Complete()
	return a
}

func TestCheckFindsEachFault(t *testing.T) {
	rs := keyrange.Split(5)
	tr := dataset.New(dataset.Config{Records: dataset.Jobs(), Ranges: rs})
	tr.Publish(nil, true)
	tr.MarkRan("q")
	if a := right(tr, 1, rs); len(tr.Check(question, definition, a)) != 0 || len(a.Hits) < 10 {
		t.Fatalf("true answer: %v", tr.Check(question, definition, a))
	}
	cases := map[string]struct {
		kind  dataset.FaultKind
		spoil func(a *ask.Answer)
	}{
		"other version": {dataset.Mixed, func(a *ask.Answer) { a.Hits[3] = right(tr, 2, rs).Hits[3] }},
		"twice":         {dataset.Mixed, func(a *ask.Answer) { a.Hits[3] = a.Hits[4] }},
		"no version":    {dataset.Mixed, func(a *ask.Answer) { a.Coverage.Version = 9 }},
		"hit lost":      {dataset.FalseComplete, func(a *ask.Answer) { a.Hits = a.Hits[1:] }},
		"said complete": {dataset.FalseComplete, func(a *ask.Answer) { a.Coverage.Covered = rs[1:] }},
		"partial":       {dataset.FalseComplete, func(a *ask.Answer) { *a = right(tr, 1, rs[1:]) }},
		"total":         {dataset.FalseComplete, func(a *ask.Answer) { a.Total++ }},
		"not run": {dataset.FalseNotRun, func(a *ask.Answer) {
			*a = ask.Answer{QueryID: "q", Search: "jobs", Outcome: outcome.NotRun(outcome.Shed)}
		}},
		"other question":  {dataset.Foreign, func(a *ask.Answer) { a.QueryID = "other" }},
		"does not match":  {dataset.Foreign, func(a *ask.Answer) { a.Hits = append(a.Hits, other(tr)) }},
		"outside of gaps": {dataset.FalseComplete, func(a *ask.Answer) { h := a.Hits; *a = right(tr, 1, rs[1:]); a.Hits = h }},
	}
	for name, c := range cases {
		a := right(tr, 1, rs)
		c.spoil(&a)
		found := false
		for _, f := range tr.Check(question, definition, a) {
			found = found || f.Kind == c.kind
		}
		if !found {
			t.Errorf("%s: %v", name, tr.Check(question, definition, a))
		}
	}
}

// other returns a hit for another question.
func other(t *dataset.Truth) ask.Hit {
	hits, _ := t.Search(1, keyrange.Whole, dataset.Request{SchemaVersions: []int{2}, Text: "Hakodate"})
	return hits[0]
}

func TestCheckWantsTheValidSchemaVersion(t *testing.T) {
	rs := []record.Record{
		{Key: "S-1", SchemaVersion: 1, Revision: 9, Fields: record.Fields{"a": "Otaru"}},
		{Key: "S-1", SchemaVersion: 2, Revision: 8, Fields: record.Fields{"b": "Otaru"}},
	}
	tr := dataset.New(dataset.Config{Records: rs, Ranges: keyrange.Split(1)})
	d := search.Definition{Name: "jobs", SchemaVersions: []int{1, 2}, Reconcile: search.ReconcileNewestRevision}
	a := right(tr, 1, keyrange.Split(1))
	a.Hits[0].Record = rs[0]
	if fs := tr.Check(question, d, a); len(fs) != 0 {
		t.Fatal(fs)
	}
	d.Reconcile = search.ReconcileNewestSchema
	if fs := tr.Check(question, d, a); len(fs) != 1 || fs[0].Kind != dataset.Mixed {
		t.Fatal(fs)
	}
}

func TestWritesCountRunsAndAppearInTheNextVersion(t *testing.T) {
	tr := dataset.New(dataset.Config{Records: dataset.Returns(), Ranges: keyrange.Split(2)})
	r := record.Record{Key: "R-9999", SchemaVersion: 2, Fields: record.Fields{"depot": "nowhere else"}}
	for range 2 {
		if _, ok := tr.Write("key", r); !ok {
			t.Fatal("turned down")
		}
	}
	if tr.Runs("key") != 2 || tr.DoubleRuns() != 1 {
		t.Fatal(tr.Runs("key"), tr.DoubleRuns())
	}
	v := tr.Publish(nil, false)
	for version, want := range map[uint64]int{1: 0, v: 1} {
		if _, n := tr.Search(version, keyrange.Whole, dataset.Request{SchemaVersions: []int{2}, Text: "nowhere else"}); n != want {
			t.Errorf("version %d: %d", version, n)
		}
	}
}
