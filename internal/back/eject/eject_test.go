package eject

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

var start = time.Unix(1_000_000, 0)

// TestNeverMoreThanTheShare draws fleets and service times at random.
func TestNeverMoreThanTheShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, replicas := rapid.IntRange(2, 12).Draw(t, "searchers"), rapid.IntRange(2, 4).Draw(t, "replicas")
		var shards [][]int
		for range rapid.IntRange(1, 12).Draw(t, "shards") {
			shards = append(shards, rapid.Permutation(seq(n)).Draw(t, "order")[:min(replicas, n)])
		}
		s := New(Config{})
		for range 5 {
			ss := make([]Searcher, n)
			for i := range ss {
				ss[i] = Searcher{ID: fmt.Sprint(i), Latency: time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond,
					Samples: rapid.IntRange(0, 100).Draw(t, "samples")}
			}
			ws := s.Update(start, ss, shards)
			for _, reps := range shards {
				out := 0
				for _, i := range reps {
					if s.slow[ss[i].ID] {
						out++
					}
				}
				if 2*out > len(reps) {
					t.Fatalf("%d of %d replicas moved out", out, len(reps))
				}
			}
			for id, w := range ws {
				if w < leastWeight || w > 1 {
					t.Fatalf("weight %v of %s", w, id)
				}
			}
		}
	})
}

func seq(n int) []int {
	s := make([]int, n)
	for i := range s {
		s[i] = i
	}
	return s
}

func TestOneStragglerGoesAndReturns(t *testing.T) {
	s := New(Config{})
	fleet := func(last time.Duration) []Searcher {
		ms := time.Millisecond
		return []Searcher{{ID: "a", Latency: ms, Samples: 99}, {ID: "b", Latency: ms, Samples: 99}, {ID: "c", Latency: last, Samples: 99}}
	}
	shards := [][]int{{0, 1, 2}}
	first := s.Update(start, fleet(5*time.Millisecond), shards)["c"]
	if first != down {
		t.Fatalf("the first step goes to %v", first)
	}
	var ws map[string]float64
	for range 20 {
		ws = s.Update(start, fleet(5*time.Millisecond), shards)
	}
	if ws["c"] != leastWeight || ws["a"] != 1 || ws["b"] != 1 {
		t.Fatalf("weights %v", ws)
	}
	for range 20 {
		ws = s.Update(start, fleet(time.Millisecond), shards)
	}
	if ws["c"] != 1 {
		t.Fatalf("weight %v after recovery", ws["c"])
	}
	all := fleet(time.Millisecond)
	for i := range all {
		all[i].Latency = 90 * time.Millisecond
	}
	if ws = s.Update(start, all, shards); ws["a"] != 1 || ws["c"] != 1 {
		t.Fatalf("weights %v when all replicas are slow", ws)
	}
}

func TestSlowStart(t *testing.T) {
	s := New(Config{})
	ss := []Searcher{{ID: "a"}, {ID: "b", ActiveSince: start}}
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, coldWeight}, {coldTime / 2, 0.5}, {coldTime, 1}} {
		ws := s.Update(start.Add(c.after), ss, [][]int{{0, 1}})
		if ws["b"] != c.want || ws["a"] != 1 {
			t.Fatalf("after %v: %v", c.after, ws)
		}
	}
}
