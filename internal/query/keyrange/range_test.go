package keyrange

import (
	"encoding/json"
	"math"
	"testing"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

func TestSplitTiles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 400).Draw(t, "n")
		rs := Split(n)
		if !Tile(rs) || len(Gaps(rs)) != 0 {
			t.Fatalf("Split(%d) does not tile", n)
		}
		i := rapid.IntRange(0, n-1).Draw(t, "removed")
		rest := append(append([]Range{}, rs[:i]...), rs[i+1:]...)
		g := Gaps(rest)
		if Tile(rest) || len(g) != 1 || g[0] != rs[i] {
			t.Fatalf("gaps without %v: %v", rs[i], g)
		}
	})
}

func TestTileRejectsOverlap(t *testing.T) {
	rs := []Range{{0, 10}, {10, math.MaxUint64}}
	if Tile(rs) {
		t.Fatal("overlapping ranges tile")
	}
	if Tile([]Range{Whole, Whole}) {
		t.Fatal("a duplicate range tiles")
	}
}

func TestTextRoundTrip(t *testing.T) {
	for _, r := range Split(7) {
		b, err := json.Marshal(r)
		if err != nil {
			t.Fatal(err)
		}
		var got Range
		if err := json.Unmarshal(b, &got); err != nil || got != r {
			t.Fatalf("%s parsed as %v, %v", b, got, err)
		}
	}
	var r Range
	for _, s := range []string{"", "0-1", "ffffffffffffffff-0000000000000000", "000000000000000g-ffffffffffffffff"} {
		if r.UnmarshalText([]byte(s)) == nil {
			t.Errorf("%q accepted", s)
		}
	}
}
