package directory

import (
	"math/bits"
	"slices"
	"sort"

	"egrethaven/internal/query/keyrange"
)

// RangeCandidate is a range that some searchers hold.
type RangeCandidate struct {
	Range keyrange.Range
	// Replicas is how many searchers hold it.
	Replicas int
}

// plan is a choice among the candidates from one index on.
type plan struct {
	// hi and lo count the points covered.
	hi, lo uint64
	// weakest is the smallest number of replicas of a chosen range.
	weakest int
	// ranges is how many are chosen.
	ranges int
	// take tells that the candidate at the index is chosen.
	take bool
	// next is the index that the choice goes on from.
	next int
}

// ChooseRanges returns ranges without overlap, in order, that cover as many points
// as possible; among those the set whose weakest range has the most
// replicas, and then the one with the fewest ranges.
func ChooseRanges(cs []RangeCandidate) []keyrange.Range {
	s := slices.SortedFunc(slices.Values(cs), func(a, b RangeCandidate) int { return a.Range.Compare(b.Range) })
	ps := make([]plan, len(s)+1)
	ps[len(s)].weakest = int(^uint(0) >> 1)
	for i := len(s) - 1; i >= 0; i-- {
		skip := ps[i+1]
		skip.take, skip.next = false, i+1
		ps[i] = skip
		if t := taken(s, ps, i); t.better(skip) {
			ps[i] = t
		}
	}
	var out []keyrange.Range
	for i := 0; i < len(s); i = ps[i].next {
		if ps[i].take {
			out = append(out, s[i].Range)
		}
	}
	return out
}

// taken returns the plan that chooses candidate i and goes on with the first
// one behind its end.
func taken(s []RangeCandidate, ps []plan, i int) plan {
	r := s[i].Range
	j := i + 1 + sort.Search(len(s)-i-1, func(k int) bool { return s[i+1+k].Range.First > r.Last })
	p := ps[j]
	var carry uint64
	p.lo, carry = bits.Add64(p.lo, r.Last-r.First, 1)
	p.hi += carry
	p.weakest = min(p.weakest, s[i].Replicas)
	p.ranges++
	p.take, p.next = true, j
	return p
}

// better tells whether p is the better choice.
func (p plan) better(o plan) bool {
	switch {
	case p.hi != o.hi:
		return p.hi > o.hi
	case p.lo != o.lo:
		return p.lo > o.lo
	case p.weakest != o.weakest:
		return p.weakest > o.weakest
	}
	return p.ranges < o.ranges
}
