package directory

import (
	"math/bits"
	"slices"
	"sort"

	"egrethaven/internal/query/keyrange"
)

// RangeCandidate is a range that at least one searcher holds.
type RangeCandidate struct {
	Range keyrange.Range
	// Replicas is the number of searchers that hold the range.
	Replicas int
}

// plan is the best selection among the candidates from some index to the end.
type plan struct {
	// hi and lo are the number of covered keys, as a 128-bit integer.
	hi, lo uint64
	// minReplicas is the minimum number of replicas of the selected ranges.
	minReplicas int
	// ranges is the number of selected ranges.
	ranges int
	// selected is true if the candidate at the index is selected.
	selected bool
	// next is the index of the plan for the rest of the selection.
	next int
}

// ChooseRanges returns non-overlapping ranges, in order, that cover as many keys
// as possible. Among equal coverage it prefers the largest minimum number of
// replicas, then the fewest ranges.
func ChooseRanges(cs []RangeCandidate) []keyrange.Range {
	sorted := slices.SortedFunc(slices.Values(cs), func(a, b RangeCandidate) int { return a.Range.Compare(b.Range) })
	plans := make([]plan, len(sorted)+1)
	plans[len(sorted)].minReplicas = int(^uint(0) >> 1)
	for i := len(sorted) - 1; i >= 0; i-- {
		without := plans[i+1]
		without.selected, without.next = false, i+1
		plans[i] = without
		if with := planWith(sorted, plans, i); with.betterThan(without) {
			plans[i] = with
		}
	}
	var out []keyrange.Range
	for i := 0; i < len(sorted); i = plans[i].next {
		if plans[i].selected {
			out = append(out, sorted[i].Range)
		}
	}
	return out
}

// planWith returns the plan that selects candidate i and continues at the first
// candidate that does not overlap it.
func planWith(sorted []RangeCandidate, plans []plan, i int) plan {
	r := sorted[i].Range
	next := i + 1 + sort.Search(len(sorted)-i-1, func(k int) bool { return sorted[i+1+k].Range.First > r.Last })
	p := plans[next]
	var carry uint64
	p.lo, carry = bits.Add64(p.lo, r.Last-r.First, 1)
	p.hi += carry
	p.minReplicas = min(p.minReplicas, sorted[i].Replicas)
	p.ranges++
	p.selected, p.next = true, next
	return p
}

// betterThan returns true if p is better than o.
func (p plan) betterThan(o plan) bool {
	switch {
	case p.hi != o.hi:
		return p.hi > o.hi
	case p.lo != o.lo:
		return p.lo > o.lo
	case p.minReplicas != o.minReplicas:
		return p.minReplicas > o.minReplicas
	}
	return p.ranges < o.ranges
}
