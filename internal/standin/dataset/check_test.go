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
	query      = ask.Query{QueryID: "q", Search: "jobs", Text: "Otaru"}
)

// correctAnswer returns the correct answer for some ranges of a version.
func correctAnswer(t *dataset.GroundTruth, version uint64, rs []keyrange.Range) ask.Answer {
	a := ask.Answer{QueryID: "q", Search: "jobs", Outcome: outcome.OK()}
	for _, r := range rs {
		hits, total := t.Search(version, r, dataset.Query{SchemaVersions: []int{2}, Text: "Otaru"})
		a.Hits = append(a.Hits, hits...)
		a.Total += total
	}
	a.Coverage = coverage.New(version, rs, nil)
	a.Complete = a.Coverage.Complete()
	return a
}

func TestCheckAnswerFindsEachViolation(t *testing.T) {
	rs := keyrange.Split(5)
	tr := dataset.New(dataset.Config{Records: dataset.Jobs(), Ranges: rs})
	tr.Publish(nil, true)
	tr.RecordRun("q")
	if a := correctAnswer(tr, 1, rs); len(tr.CheckAnswer(query, definition, a)) != 0 || len(a.Hits) < 10 {
		t.Fatalf("violations of a correct answer: %v", tr.CheckAnswer(query, definition, a))
	}
	cases := map[string]struct {
		kind    dataset.ViolationKind
		corrupt func(a *ask.Answer)
	}{
		"other version":   {dataset.MixedSnapshots, func(a *ask.Answer) { a.Hits[3] = correctAnswer(tr, 2, rs).Hits[3] }},
		"key twice":       {dataset.MixedSnapshots, func(a *ask.Answer) { a.Hits[3] = a.Hits[4] }},
		"unknown version": {dataset.MixedSnapshots, func(a *ask.Answer) { a.Coverage.Version = 9 }},
		"missing hit":     {dataset.FalseCompleteness, func(a *ask.Answer) { a.Hits = a.Hits[1:] }},
		"false complete":  {dataset.FalseCompleteness, func(a *ask.Answer) { a.Coverage.Covered = rs[1:] }},
		"partial":         {dataset.FalseCompleteness, func(a *ask.Answer) { *a = correctAnswer(tr, 1, rs[1:]) }},
		"wrong total":     {dataset.FalseCompleteness, func(a *ask.Answer) { a.Total++ }},
		"false not_run": {dataset.FalseNotRun, func(a *ask.Answer) {
			*a = ask.Answer{QueryID: "q", Search: "jobs", Outcome: outcome.NotRun(outcome.Shed)}
		}},
		"other query id":       {dataset.ForeignAnswer, func(a *ask.Answer) { a.QueryID = "other" }},
		"unrelated hit":        {dataset.ForeignAnswer, func(a *ask.Answer) { a.Hits = append(a.Hits, unrelatedHit(tr)) }},
		"hit outside coverage": {dataset.FalseCompleteness, func(a *ask.Answer) { h := a.Hits; *a = correctAnswer(tr, 1, rs[1:]); a.Hits = h }},
	}
	for name, c := range cases {
		a := correctAnswer(tr, 1, rs)
		c.corrupt(&a)
		found := false
		for _, f := range tr.CheckAnswer(query, definition, a) {
			found = found || f.Kind == c.kind
		}
		if !found {
			t.Errorf("%s: expected violation is not among %v", name, tr.CheckAnswer(query, definition, a))
		}
	}
}

// unrelatedHit returns a hit for another query.
func unrelatedHit(t *dataset.GroundTruth) ask.Hit {
	hits, _ := t.Search(1, keyrange.Whole, dataset.Query{SchemaVersions: []int{2}, Text: "Hakodate"})
	return hits[0]
}

func TestCheckAnswerReconcilesSchemaVersions(t *testing.T) {
	rs := []record.Record{
		{Key: "S-1", SchemaVersion: 1, Revision: 9, Fields: record.Fields{"a": "Otaru"}},
		{Key: "S-1", SchemaVersion: 2, Revision: 8, Fields: record.Fields{"b": "Otaru"}},
	}
	tr := dataset.New(dataset.Config{Records: rs, Ranges: keyrange.Split(1)})
	d := search.Definition{Name: "jobs", SchemaVersions: []int{1, 2}, Reconcile: search.ReconcileNewestRevision}
	a := correctAnswer(tr, 1, keyrange.Split(1))
	a.Hits[0].Record = rs[0]
	if fs := tr.CheckAnswer(query, d, a); len(fs) != 0 {
		t.Fatal(fs)
	}
	d.Reconcile = search.ReconcileNewestSchema
	if fs := tr.CheckAnswer(query, d, a); len(fs) != 1 || fs[0].Kind != dataset.MixedSnapshots {
		t.Fatal(fs)
	}
}

func TestWritesAreCountedAndPublished(t *testing.T) {
	tr := dataset.New(dataset.Config{Records: dataset.Returns(), Ranges: keyrange.Split(2)})
	r := record.Record{Key: "R-9999", SchemaVersion: 2, Fields: record.Fields{"depot": "nowhere else"}}
	for range 2 {
		if _, ok := tr.Write("key", r); !ok {
			t.Fatal("record was not accepted")
		}
	}
	if tr.RunCount("key") != 2 || tr.DuplicateRuns() != 1 {
		t.Fatal(tr.RunCount("key"), tr.DuplicateRuns())
	}
	v := tr.Publish(nil, false)
	for version, want := range map[uint64]int{1: 0, v: 1} {
		if _, n := tr.Search(version, keyrange.Whole, dataset.Query{SchemaVersions: []int{2}, Text: "nowhere else"}); n != want {
			t.Errorf("version %d has %d matches", version, n)
		}
	}
}
