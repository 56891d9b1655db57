// Package choice picks the replica that a call goes to.
//
// Among the usable replicas of the failure domain two are drawn at random,
// by their weights, and the better one is taken: the one with fewer of this
// node's calls in flight, and among equals the one that reported less load.
// Drawing two keeps nodes with the same stale report from all running to the
// same replica. A weight below 1 gives a searcher that is cold or moved out
// of rotation its share of calls; one of weight 0 is a last resort. Replicas of other failure domains are used
// only when none is left at home.
//
// # Usage
//
//	cs := []choice.Candidate{{Home: true, Usable: true, Load: choice.Load(2, 0.5), Weight: 1}, ...}
//	i := choice.Pick(rand, cs, tried)
//	if i < 0 { /* none is left */ }
package choice

import "math/rand/v2"

// Candidate is one replica as the node sees it.
type Candidate struct {
	// Local tells that it is in the failure domain of the node.
	Local bool
	// Usable tells that it may get new work.
	Usable bool
	// LoadScore is the score of LoadScore; the lower is the better.
	LoadScore float64
	// Weight is the share of its normal work that it should get.
	Weight float64
}

// LoadScore scores a replica: by the node's own calls in flight, and among equals
// by what the replica reported, which lags.
func LoadScore(inFlight int, reported float64) float64 {
	return float64(inFlight) + reported/(1+reported)
}

// Tried is the set of the candidates that had a call already, by index. Only
// the first 64 are kept apart.
type Tried uint64

// Has tells whether i is in the set.
func (t Tried) Has(i int) bool { return t&(1<<uint(i%64)) != 0 }

// With returns the set with i.
func (t Tried) With(i int) Tried { return t | 1<<uint(i%64) }

// Policy picks a candidate, or -1 when none is left.
type Policy func(r *rand.Rand, cs []Candidate, tried Tried) int

// Pick takes the better of two candidates drawn by weight.
func Pick(r *rand.Rand, cs []Candidate, tried Tried) int {
	if i := pick(r, cs, tried, true); i >= 0 {
		return i
	}
	return pick(r, cs, tried, false)
}

// PickUniform draws uniformly among the candidates that were not tried, whatever
// is known of them.
func PickUniform(r *rand.Rand, cs []Candidate, tried Tried) int {
	best, n := -1, 0
	for i := range cs {
		if tried.Has(i) {
			continue
		}
		n++
		if r.IntN(n) == 0 {
			best = i
		}
	}
	return best
}

// pick takes the better of two candidates, at home or elsewhere.
func pick(r *rand.Rand, cs []Candidate, tried Tried, home bool) int {
	a := draw(r, cs, tried, home, -1)
	if a < 0 {
		return -1
	}
	b := draw(r, cs, tried, home, a)
	if b >= 0 && cs[b].LoadScore < cs[a].LoadScore && (cs[b].Weight > 0 || cs[a].Weight <= 0) {
		return b
	}
	return a
}

// draw draws one candidate by weight, but not the one at except. Where all
// weights are 0, it draws uniformly.
func draw(r *rand.Rand, cs []Candidate, tried Tried, home bool, except int) int {
	best, sum, n := -1, 0.0, 0
	for i, c := range cs {
		if i == except || !c.Usable || c.Local != home || tried.Has(i) {
			continue
		}
		n++
		sum += c.Weight
		if sum == 0 && r.IntN(n) == 0 || sum > 0 && r.Float64()*sum < c.Weight {
			best = i
		}
	}
	return best
}
