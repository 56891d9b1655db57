package sample_test

import (
	"math"
	"testing"
	"time"

	"egrethaven/internal/bench/sample"
	"egrethaven/internal/query/ask"
	"egrethaven/internal/query/coverage"
	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
	"egrethaven/internal/standin/dataset"
	"egrethaven/internal/state/search"
)

func TestTotalsAndCheck(t *testing.T) {
	rs := keyrange.Split(2)
	truth := dataset.New(dataset.Config{Ranges: rs})
	truth.RecordRun("q-ran")
	start := time.Unix(1000, 0)
	set := sample.New()
	for i := range 100 {
		a := ask.Answer{QueryID: "q", Outcome: outcome.OK(), Coverage: coverage.New(1, rs, nil), Complete: true, Cost: ask.Cost{Primaries: 2}}
		if i == 0 {
			a.Cost.Hedges, a.Cost.Retries = 1, 1
		}
		due := start.Add(time.Duration(i) * 10 * time.Millisecond)
		set.Add(sample.Sample{Due: due, Ended: due.Add(time.Duration(i+1) * time.Millisecond), Query: ask.Query{QueryID: "q"}, Answer: a})
	}
	set.Add(sample.Sample{Due: start, Ended: start.Add(time.Hour), Query: ask.Query{QueryID: "q-ran"},
		Answer: ask.Answer{QueryID: "q-ran", Outcome: outcome.NotRun(outcome.Shed)}})
	n := set.Totals()
	if n.Queries != 101 || n.Refused != 1 || n.CompleteShare() != 1 || n.ExtraLoad() != 0.01 {
		t.Errorf("totals: %+v", n)
	}
	if p := set.QuantileMS(0.99); math.Abs(p-99) > 0.2 {
		t.Errorf("p99: %v ms", p)
	}
	if w := set.Between(start.Add(500*time.Millisecond), start.Add(time.Second)); w.Len() != 50 {
		t.Errorf("the second half has %d samples", w.Len())
	}
	w, notes := set.Check(truth, search.Definition{})
	if w.FalseNotRun != 1 || w.Total() != 1 || len(notes) != 1 {
		t.Errorf("wrong answers: %+v, notes: %v", w, notes)
	}
}
