// Package coverage states which parts of the key space an answer holds.
//
// Complete is derived from the ranges themselves: the covered ranges have to
// tile the key space. A counter of answered shards never enters it.
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

// Gap is a range that an answer does not hold, and why.
type Gap struct {
	Range  keyrange.Range `json:"range"`
	Reason outcome.Reason `json:"reason"`
}

// Coverage lists what an answer holds and what it misses, for one version of
// the index.
type Coverage struct {
	Version uint64           `json:"version"`
	Covered []keyrange.Range `json:"covered"`
	Missing []Gap            `json:"missing"`
}

// New returns the coverage of an answer. Every part of the key space that
// neither covered nor gaps name is added as a gap with reason no_replica, so
// that nothing is missing in silence.
func New(version uint64, covered []keyrange.Range, gaps []Gap) Coverage {
	c := Coverage{Version: version, Covered: merge(covered), Missing: slices.Clone(gaps)}
	named := slices.Clone(covered)
	for _, g := range gaps {
		named = append(named, g.Range)
	}
	for _, r := range keyrange.Gaps(named) {
		c.Missing = append(c.Missing, Gap{Range: r, Reason: outcome.NoReplica})
	}
	slices.SortFunc(c.Missing, func(a, b Gap) int { return a.Range.Compare(b.Range) })
	return c
}

// Complete tells whether the covered ranges tile the key space.
func (c Coverage) Complete() bool {
	return keyrange.Tile(c.Covered)
}

// Fraction returns the covered part of the key space, between 0 and 1.
func (c Coverage) Fraction() float64 {
	var f float64
	for _, r := range c.Covered {
		f += (float64(r.Last-r.First) + 1) / (1 << 64)
	}
	return min(f, 1)
}

// merge joins ranges that touch, to keep answers short. Overlaps are kept
// apart: they are a fault that Complete has to see.
func merge(rs []keyrange.Range) []keyrange.Range {
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
