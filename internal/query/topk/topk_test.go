package topk

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "egrethaven/internal/proof/fixedseed"
)

// TestMerge compares Merge with a byte-wise sort of all records.
func TestMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.SampledFrom([]byte{0, 1, 127, 128, 255}), 0, 70), 0, 5).Draw(t, "parts")
		k := rapid.IntRange(0, 20).Draw(t, "k")
		var all [][]byte
		for _, p := range parts {
			for r := range slices.Chunk(p, RecordSize) {
				if len(r) == RecordSize {
					all = append(all, r)
				}
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(k, len(all))], nil)
		if got := Merge(parts, k); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}
