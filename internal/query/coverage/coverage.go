// Package coverage describes which parts of the key space an answer covers.
//
// An answer is complete if its covered ranges tile the key space. The number of
// shards that answered is not considered.
//
// # Usage
//
//	c := coverage.New(version, covered, gaps)
//	if !c.Complete() { for _, g := range c.Missing { ... } }
package coverage

import (
	"slices"

	"egrethaven/internal/query/keyrange"
	"egrethaven/internal/query/outcome"
)

// Gap is a range that is missing in an answer, with the reason.
type Gap struct {
	Range  keyrange.Range `json:"range"`
	Reason outcome.Reason `json:"reason"`
}

// Coverage lists the covered and missing ranges of an answer, for one version
// of the index.
type Coverage struct {
	Version uint64           `json:"version"`
	Covered []keyrange.Range `json:"covered"`
	Missing []Gap            `json:"missing"`
}

// New returns the coverage of an answer. Parts of the key space that are in
// neither covered nor gaps are added as gaps with reason no_replica.
func New(version uint64, covered []keyrange.Range, gaps []Gap) Coverage {
	c := Coverage{Version: version, Covered: mergeAdjacent(covered), Missing: slices.Clone(gaps)}
	listed := slices.Clone(covered)
	for _, g := range gaps {
		listed = append(listed, g.Range)
	}
	for _, r := range keyrange.Gaps(listed) {
		c.Missing = append(c.Missing, Gap{Range: r, Reason: outcome.NoReplica})
	}
	slices.SortFunc(c.Missing, func(a, b Gap) int { return a.Range.Compare(b.Range) })
	return c
}

// Complete reports whether the covered ranges tile the key space.
func (c Coverage) Complete() bool {
	return keyrange.Tile(c.Covered)
}

// Fraction returns the covered fraction of the key space, between 0 and 1.
func (c Coverage) Fraction() float64 {
	var f float64
	for _, r := range c.Covered {
		f += (float64(r.Last-r.First) + 1) / (1 << 64)
	}
	return min(f, 1)
}

// mergeAdjacent joins adjacent ranges to keep answers short. Overlapping ranges
// are an error and not joined, so that Complete can detect them.
func mergeAdjacent(rs []keyrange.Range) []keyrange.Range {
	s := slices.SortedFunc(slices.Values(rs), keyrange.Range.Compare)
	out := make([]keyrange.Range, 0, 1)
	for _, r := range s {
		n := len(out)
		if n > 0 && out[n-1].Last+1 == r.First && r.First != 0 {
			out[n-1].Last = r.Last
			continue
		}
		out = append(out, r)
	}
	return out
}
