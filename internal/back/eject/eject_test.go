package eject

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

var start = time.Unix(1_000_000, 0)

// TestEjectedFractionIsLimited checks that at most half of each shard is ejected,
// for random shards and service times.
func TestEjectedFractionIsLimited(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, replicas := rapid.IntRange(2, 12).Draw(t, "searchers"), rapid.IntRange(2, 4).Draw(t, "replicas")
		var shards [][]int
		for range rapid.IntRange(1, 12).Draw(t, "shards") {
			shards = append(shards, rapid.Permutation(indexes(n)).Draw(t, "order")[:min(replicas, n)])
		}
		d := New(Config{})
		for range 5 {
			ss := make([]Searcher, n)
			for i := range ss {
				ss[i] = Searcher{ID: fmt.Sprint(i), Latency: time.Duration(rapid.IntRange(1, 60).Draw(t, "ms")) * time.Millisecond,
					Samples: rapid.IntRange(0, 100).Draw(t, "samples")}
			}
			ws := d.Update(start, ss, shards)
			for _, reps := range shards {
				ejected := 0
				for _, i := range reps {
					if d.ejected[ss[i].ID] {
						ejected++
					}
				}
				if 2*ejected > len(reps) {
					t.Fatalf("%d of %d replicas ejected", ejected, len(reps))
				}
			}
			for id, w := range ws {
				if w < minWeight || w > 1 {
					t.Fatalf("weight %v of %s", w, id)
				}
			}
		}
	})
}

// indexes returns the integers from 0 to n-1.
func indexes(n int) []int {
	s := make([]int, n)
	for i := range s {
		s[i] = i
	}
	return s
}

func TestOutlierIsEjectedAndReturns(t *testing.T) {
	d := New(Config{})
	searchers := func(last time.Duration) []Searcher {
		ms := time.Millisecond
		return []Searcher{{ID: "a", Latency: ms, Samples: 99}, {ID: "b", Latency: ms, Samples: 99}, {ID: "c", Latency: last, Samples: 99}}
	}
	shards := [][]int{{0, 1, 2}}
	first := d.Update(start, searchers(5*time.Millisecond), shards)["c"]
	if first != decreaseFactor {
		t.Fatalf("weight %v after the first update", first)
	}
	var ws map[string]float64
	for range 20 {
		ws = d.Update(start, searchers(5*time.Millisecond), shards)
	}
	if ws["c"] != minWeight || ws["a"] != 1 || ws["b"] != 1 {
		t.Fatalf("weights %v", ws)
	}
	for range 20 {
		ws = d.Update(start, searchers(time.Millisecond), shards)
	}
	if ws["c"] != 1 {
		t.Fatalf("weight %v after recovery", ws["c"])
	}
	all := searchers(time.Millisecond)
	for i := range all {
		all[i].Latency = 90 * time.Millisecond
	}
	if ws = d.Update(start, all, shards); ws["a"] != 1 || ws["c"] != 1 {
		t.Fatalf("weights %v when all replicas are slow", ws)
	}
}

func TestSlowStart(t *testing.T) {
	d := New(Config{})
	ss := []Searcher{{ID: "a"}, {ID: "b", ActiveSince: start}}
	for _, c := range []struct {
		after time.Duration
		want  float64
	}{{0, coldWeight}, {slowStartDuration / 2, 0.5}, {slowStartDuration, 1}} {
		ws := d.Update(start.Add(c.after), ss, [][]int{{0, 1}})
		if ws["b"] != c.want || ws["a"] != 1 {
			t.Fatalf("after %v: %v", c.after, ws)
		}
	}
}
