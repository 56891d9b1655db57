package deployment

import (
	"slices"

	"egrethaven/internal/query/keyrange"
)

// SplitShard returns a copy of ranges with the i-th range split into two
// halves.
func SplitShard(ranges []keyrange.Range, i int) []keyrange.Range {
	r := ranges[i]
	mid := r.First + (r.Last-r.First)/2
	return slices.Concat(ranges[:i], []keyrange.Range{{First: r.First, Last: mid}, {First: mid + 1, Last: r.Last}}, ranges[i+1:])
}

// MergeShards returns a copy of ranges with the i-th and the next range
// merged.
func MergeShards(ranges []keyrange.Range, i int) []keyrange.Range {
	return slices.Concat(ranges[:i], []keyrange.Range{{First: ranges[i].First, Last: ranges[i+1].Last}}, ranges[i+2:])
}
