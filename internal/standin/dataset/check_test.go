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
	truth := dataset.New(dataset.Config{Records: dataset.Jobs(), Ranges: rs})
	truth.Publish(nil, true)
	truth.RecordRun("q")
	if a := correctAnswer(truth, 1, rs); len(truth.CheckAnswer(query, definition, a)) != 0 || len(a.Hits) < 10 {
		t.Fatalf("violations of a correct answer: %v", truth.CheckAnswer(query, definition, a))
	}
	cases := map[string]struct {
		kind    dataset.ViolationKind
		corrupt func(a *ask.Answer)
	}{
		"other version":   {dataset.MixedSnapshots, func(a *ask.Answer) { a.Hits[3] = correctAnswer(truth, 2, rs).Hits[3] }},
		"key twice":       {dataset.MixedSnapshots, func(a *ask.Answer) { a.Hits[3] = a.Hits[4] }},
		"unknown version": {dataset.MixedSnapshots, func(a *ask.Answer) { a.Coverage.Version = 9 }},
		"missing hit":     {dataset.FalseCompleteness, func(a *ask.Answer) { a.Hits = a.Hits[1:] }},
		"false complete":  {dataset.FalseCompleteness, func(a *ask.Answer) { a.Coverage.Covered = rs[1:] }},
		"partial":         {dataset.FalseCompleteness, func(a *ask.Answer) { *a = correctAnswer(truth, 1, rs[1:]) }},
		"wrong total":     {dataset.FalseCompleteness, func(a *ask.Answer) { a.Total++ }},
		"false not_run": {dataset.FalseNotRun, func(a *ask.Answer) {
			*a = ask.Answer{QueryID: "q", Search: "jobs", Outcome: outcome.NotRun(outcome.Shed)}
		}},
		"other query id":       {dataset.ForeignAnswer, func(a *ask.Answer) { a.QueryID = "other" }},
		"unrelated hit":        {dataset.ForeignAnswer, func(a *ask.Answer) { a.Hits = append(a.Hits, unrelatedHit(truth)) }},
		"hit outside coverage": {dataset.FalseCompleteness, func(a *ask.Answer) { h := a.Hits; *a = correctAnswer(truth, 1, rs[1:]); a.Hits = h }},
	}
	for name, c := range cases {
		a := correctAnswer(truth, 1, rs)
		c.corrupt(&a)
		found := false
		for _, v := range truth.CheckAnswer(query, definition, a) {
			found = found || v.Kind == c.kind
		}
		if !found {
			t.Errorf("%s: expected violation is not among %v", name, truth.CheckAnswer(query, definition, a))
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
	truth := dataset.New(dataset.Config{Records: rs, Ranges: keyrange.Split(1)})
	d := search.Definition{Name: "jobs", SchemaVersions: []int{1, 2}, Reconcile: search.ReconcileNewestRevision}
	a := correctAnswer(truth, 1, keyrange.Split(1))
	a.Hits[0].Record = rs[0]
	if violations := truth.CheckAnswer(query, d, a); len(violations) != 0 {
		t.Fatal(violations)
	}
	d.Reconcile = search.ReconcileNewestSchema
	if violations := truth.CheckAnswer(query, d, a); len(violations) != 1 || violations[0].Kind != dataset.MixedSnapshots {
		t.Fatal(violations)
	}
}

func TestWritesAreCountedAndPublished(t *testing.T) {
	truth := dataset.New(dataset.Config{Records: dataset.Returns(), Ranges: keyrange.Split(2)})
	r := record.Record{Key: "R-9999", SchemaVersion: 2, Fields: record.Fields{"depot": "nowhere else"}}
	for range 2 {
		if _, ok := truth.Write("key", r); !ok {
			t.Fatal("record was not accepted")
		}
	}
	if truth.RunCount("key") != 2 || truth.DuplicateRuns() != 1 {
		t.Fatal(truth.RunCount("key"), truth.DuplicateRuns())
	}
	v := truth.Publish(nil, false)
	for version, want := range map[uint64]int{1: 0, v: 1} {
		if _, n := truth.Search(version, keyrange.Whole, dataset.Query{SchemaVersions: []int{2}, Text: "nowhere else"}); n != want {
			t.Errorf("version %d has %d matches", version, n)
		}
	}
}
