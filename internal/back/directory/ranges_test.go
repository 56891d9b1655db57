package directory

import (
	"testing"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"

	"egrethaven/internal/query/keyrange"
)

func TestChooseRangesFindsTiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "shards")
		tiles := keyrange.Split(n)
		var cs []RangeCandidate
		for _, r := range tiles {
			cs = append(cs, RangeCandidate{Range: r, Replicas: rapid.IntRange(1, 3).Draw(t, "replicas")})
		}
		for range rapid.IntRange(0, 30).Draw(t, "others") {
			a, b := rapid.Uint64().Draw(t, "a"), rapid.Uint64().Draw(t, "b")
			cs = append(cs, RangeCandidate{Range: keyrange.Range{First: min(a, b), Last: max(a, b)}, Replicas: 3})
		}
		cs = rapid.Permutation(cs).Draw(t, "order")
		if got := ChooseRanges(cs); !keyrange.Tile(got) {
			t.Fatalf("%v does not tile", got)
		}
	})
}

func TestChooseRangesPrefersReplicasThenFewerRanges(t *testing.T) {
	halves, quarters := keyrange.Split(2), keyrange.Split(4)
	cs := []RangeCandidate{{halves[0], 2}, {halves[1], 2}}
	for _, q := range quarters {
		cs = append(cs, RangeCandidate{q, 2})
	}
	if got := ChooseRanges(cs); len(got) != 2 {
		t.Fatalf("%v, want the halves", got)
	}
	cs[0].Replicas = 1
	if got := ChooseRanges(cs); len(got) != 3 || got[0] != quarters[0] {
		t.Fatalf("%v, want two quarters and a half", got)
	}
}

func TestChooseRangesWithGapMaximizesCoverage(t *testing.T) {
	q := keyrange.Split(4)
	got := ChooseRanges([]RangeCandidate{{q[0], 1}, {q[2], 1}, {keyrange.Range{First: q[2].First + 1, Last: q[3].Last}, 1}})
	if keyrange.Tile(got) || len(got) != 2 || got[1].Last != q[3].Last {
		t.Fatalf("%v, want the first range and the longer of the other two", got)
	}
}
